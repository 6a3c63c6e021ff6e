//! The head and its list of recent changes.

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

use crate::{PartKeys, Rejection};

/// Store key of the head.
pub const HEAD_KEY: &str = "catalogue/head";

/// Maximum number of changes listed in the head; a repeated change is detected while it is listed.
pub const RECENT_CHANGES: usize = 256;

/// Store key of a part.
pub fn part_key(digest: &str) -> String {
    format!("catalogue/part-{digest}")
}

/// Record of an applied change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ChangeRecord {
    /// Version that the change created.
    pub version: u64,
    /// Unique id of the change.
    pub id: Name,
    /// Member that made the change; empty for the system itself.
    pub member: Name,
    /// Summary of the changed entries.
    pub summary: Name,
}

/// Manifest of one version of the catalogue: the digests of its parts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Incremented by every change; 0 means no configuration.
    pub version: u64,
    /// Digests of the parts.
    pub keys: PartKeys,
    /// Recent changes, newest last; empty in heads exchanged between hosts.
    pub recent: Vec<ChangeRecord>,
}

impl Head {
    /// Parses a head.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid head.
    pub fn parse(bytes: &[u8]) -> Result<Self, Rejection> {
        serde_json::from_slice(bytes).map_err(|e| Rejection::Invalid(format!("read head: {e}")))
    }

    /// Version created by the change `id`, if it is among the recent changes.
    pub fn find(&self, id: &str) -> Option<u64> {
        self.recent.iter().rev().find(|r| &*r.id == id).map(|r| r.version)
    }

    /// Changes after `version`, formatted on one line.
    pub fn describe_since(&self, version: u64) -> String {
        let later = self.recent.iter().filter(|r| r.version > version);
        let lines: Vec<String> = later
            .map(|r| format!("version {} by {}: {}", r.version, r.member, r.summary))
            .collect();
        lines.join("; ")
    }

    /// Creates the head of the next version.
    pub(crate) fn next(&self, keys: PartKeys, mut change: ChangeRecord) -> Self {
        let version = self.version + 1;
        change.version = version;
        let mut recent = self.recent.clone();
        recent.push(change);
        let surplus = recent.len().saturating_sub(RECENT_CHANGES);
        recent.drain(..surplus);
        Self { version, keys, recent }
    }
}
