//! Gossip about moves: verdicts, evidence and versions in force.
//!
//! Entries may be repeated, reordered or lost. A datagram carries what fits: verdicts first, then
//! this host's evidence, then a random sample of entries of others, drawn anew for each datagram, so
//! that the bytes sent are bounded whatever the number of hosts.

use sapphirerack_catalogue::{Map, Name};
use sapphirerack_policy::Verdict;
use sapphirerack_policy::evidence::Evidence;
use serde::{Deserialize, Serialize};

use crate::gossip::TOPIC_LIMIT;

/// Maximum number of host versions in one datagram.
const VERSIONS_LIMIT: usize = 12;

/// Evidence on one move.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct MoveEvidence {
    /// Id of the move.
    pub id: Name,
    /// Evidence of one host.
    pub evidence: Evidence,
}

/// Update on moves in one datagram.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct MoveUpdate {
    /// Verdicts by move.
    pub verdicts: Vec<(Name, Verdict)>,
    /// Versions in force, by the hash of the host's name.
    pub versions: Vec<(u64, u64)>,
    /// Evidence by move.
    pub items: Vec<MoveEvidence>,
}

impl MoveUpdate {
    /// Encodes as much as fits, in the order of the lists.
    pub(crate) fn encode(
        verdicts: Vec<(Name, Verdict)>,
        versions: Vec<(u64, u64)>,
        items: Vec<MoveEvidence>,
    ) -> Vec<u8> {
        let mut update = Self::default();
        let mut encoded = Vec::new();
        for verdict in verdicts {
            update.verdicts.push(verdict);
            if !update.try_encode(&mut encoded) {
                return encoded;
            }
        }
        update.versions = versions.into_iter().take(VERSIONS_LIMIT).collect();
        if !update.try_encode(&mut encoded) {
            return encoded;
        }
        for item in items {
            update.items.push(item);
            if !update.try_encode(&mut encoded) {
                return encoded;
            }
        }
        encoded
    }

    /// Decodes an update.
    pub(crate) fn decode(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Encodes the update into `encoded` if it fits into a datagram; otherwise returns false.
    fn try_encode(&self, encoded: &mut Vec<u8>) -> bool {
        match postcard::to_stdvec(self) {
            Ok(bytes) if bytes.len() <= TOPIC_LIMIT => {
                *encoded = bytes;
                true
            }
            _ => false,
        }
    }
}

/// Versions in force on the hosts; merging keeps the higher one.
#[derive(Debug, Default)]
pub(crate) struct KnownVersions {
    by_host: Map<u64, u64>,
}

impl KnownVersions {
    /// Hash that identifies a host by its name.
    pub(crate) fn hash(host: &str) -> u64 {
        xxhash_rust::xxh3::xxh3_64(host.as_bytes())
    }

    /// Merges the version of a host.
    pub(crate) fn merge(&mut self, host: u64, version: u64) {
        let known = self.by_host.entry(host).or_default();
        *known = version.max(*known);
    }

    /// Version of a host; 0 if unknown.
    pub(crate) fn version(&self, host: u64) -> u64 {
        self.by_host.get(&host).copied().unwrap_or_default()
    }

    /// Removes all but the given hosts.
    pub(crate) fn retain(&mut self, wanted: &sapphirerack_catalogue::Set<u64>) {
        self.by_host.retain(|host, _| wanted.contains(host));
    }

    /// New random sample of the entries.
    pub(crate) fn sample(&self) -> Vec<(u64, u64)> {
        let all = self.by_host.iter().map(|(h, v)| (*h, *v));
        fastrand::choose_multiple(all, VERSIONS_LIMIT)
    }
}
