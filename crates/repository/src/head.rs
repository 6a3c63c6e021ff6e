//! The head and the recent changes that it lists.

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

use crate::{Keys, Rejection};

/// Key of the head in the store.
pub const HEAD_KEY: &str = "catalogue/head";

/// Changes that the head lists; a repeated change is recognised as long as it is among them.
pub const RECENT_CHANGES: usize = 256;

/// Key of a part in the store.
pub fn part_key(digest: &str) -> String {
    format!("catalogue/part-{digest}")
}

/// An accepted change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Recent {
    /// Version that it made.
    pub version: u64,
    /// Its unique id.
    pub id: Name,
    /// Member that made it; empty for the system itself.
    pub member: Name,
    /// What it changed.
    pub summary: Name,
}

/// Names the parts of one version of the catalogue.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// Rises with every change; 0 stands for none.
    pub version: u64,
    /// Digests of the parts.
    pub keys: Keys,
    /// Latest changes, the newest last; empty in heads that hosts exchange.
    pub recent: Vec<Recent>,
}

impl Head {
    /// Reads a head.
    ///
    /// # Errors
    ///
    /// The bytes are not a head.
    pub fn parse(bytes: &[u8]) -> Result<Self, Rejection> {
        serde_json::from_slice(bytes).map_err(|e| Rejection::Invalid(format!("read head: {e}")))
    }

    /// Version that the change `id` made, if it is among the recent ones.
    pub fn find(&self, id: &str) -> Option<u64> {
        self.recent.iter().rev().find(|r| &*r.id == id).map(|r| r.version)
    }

    /// Changes after `version`, as one line.
    pub fn describe_since(&self, version: u64) -> String {
        let later = self.recent.iter().filter(|r| r.version > version);
        let lines: Vec<String> = later
            .map(|r| format!("version {} by {}: {}", r.version, r.member, r.summary))
            .collect();
        lines.join("; ")
    }

    /// Head of the next version.
    pub(crate) fn next(&self, keys: Keys, mut change: Recent) -> Self {
        let version = self.version + 1;
        change.version = version;
        let mut recent = self.recent.clone();
        recent.push(change);
        let surplus = recent.len().saturating_sub(RECENT_CHANGES);
        recent.drain(..surplus);
        Self { version, keys, recent }
    }
}
