//! What hosts tell each other about moves: verdicts, evidence and versions in force.
//!
//! All of it may be repeated, reordered or lost. One datagram carries what fits: verdicts first,
//! then this host's evidence, then a few entries of others, drawn anew each time, so that the
//! bytes sent are bounded whatever the number of hosts.

use sapphirerack_catalogue::{Map, Name};
use sapphirerack_policy::Verdict;
use sapphirerack_policy::evidence::Evidence;
use serde::{Deserialize, Serialize};

use crate::gossip::TOPIC_LIMIT;

/// Versions of other hosts told at most in one datagram.
const VERSIONS_LIMIT: usize = 12;

/// Evidence on one move.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct Item {
    /// Id of the move.
    pub id: Name,
    /// Evidence of one host.
    pub evidence: Evidence,
}

/// News of one datagram.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct News {
    /// Verdicts by move.
    pub verdicts: Vec<(Name, Verdict)>,
    /// Versions in force, by the hash of the host's name.
    pub versions: Vec<(u64, u64)>,
    /// Evidence.
    pub items: Vec<Item>,
}

impl News {
    /// Packs as much as fits: all lists are taken in their order.
    pub(crate) fn pack(
        verdicts: Vec<(Name, Verdict)>,
        versions: Vec<(u64, u64)>,
        items: Vec<Item>,
    ) -> Vec<u8> {
        let mut news = Self::default();
        let mut packed = Vec::new();
        for verdict in verdicts {
            news.verdicts.push(verdict);
            if !news.fits(&mut packed) {
                return packed;
            }
        }
        news.versions = versions.into_iter().take(VERSIONS_LIMIT).collect();
        if !news.fits(&mut packed) {
            return packed;
        }
        for item in items {
            news.items.push(item);
            if !news.fits(&mut packed) {
                return packed;
            }
        }
        packed
    }

    /// Reads news.
    pub(crate) fn unpack(bytes: &[u8]) -> Result<Self, postcard::Error> {
        postcard::from_bytes(bytes)
    }

    /// Replaces `packed` if the news fit into a datagram.
    fn fits(&self, packed: &mut Vec<u8>) -> bool {
        match postcard::to_stdvec(self) {
            Ok(bytes) if bytes.len() <= TOPIC_LIMIT => {
                *packed = bytes;
                true
            }
            _ => false,
        }
    }
}

/// Versions in force on other hosts; grows only, the higher one wins.
#[derive(Debug, Default)]
pub(crate) struct InForce {
    by_host: Map<u64, u64>,
}

impl InForce {
    /// Hash that stands for a host's name.
    pub(crate) fn hash(host: &str) -> u64 {
        xxhash_rust::xxh3::xxh3_64(host.as_bytes())
    }

    /// Takes note of a host's version.
    pub(crate) fn merge(&mut self, host: u64, version: u64) {
        let known = self.by_host.entry(host).or_default();
        *known = version.max(*known);
    }

    /// Version of a host; 0 if nothing is known.
    pub(crate) fn version(&self, host: u64) -> u64 {
        self.by_host.get(&host).copied().unwrap_or_default()
    }

    /// Keeps the given hosts.
    pub(crate) fn retain(&mut self, wanted: &sapphirerack_catalogue::Set<u64>) {
        self.by_host.retain(|host, _| wanted.contains(host));
    }

    /// A few entries, drawn anew each time.
    pub(crate) fn draw(&self) -> Vec<(u64, u64)> {
        let all = self.by_host.iter().map(|(h, v)| (*h, *v));
        fastrand::choose_multiple(all, VERSIONS_LIMIT)
    }
}
