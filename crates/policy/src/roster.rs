//! What is known of the entry hosts, and how two views of it merge.
//!
//! Of two claims on a host the one with the higher incarnation holds; of the same incarnation the
//! stronger one. Merging is therefore commutative and idempotent, whatever the order of datagrams.
//! Hosts that died or left are remembered for a retention period, so that an old claim that
//! they live is not believed.

use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name};
use sapphirerack_protocol::{Liveness, Peer};
use xxhash_rust::xxh3::xxh3_64_with_seed;

struct Entry {
    peer: Peer,
    /// When the claim was made, as far as is known.
    since: Instant,
}

/// Hosts by name.
pub(crate) struct Roster {
    entries: Map<Name, Entry>,
    digests: Map<Name, u64>,
    live: usize,
}

impl Roster {
    pub(crate) fn new() -> Self {
        Self { entries: Map::default(), digests: Map::default(), live: 0 }
    }

    /// Takes a claim; returns whether it was news.
    pub(crate) fn merge(&mut self, peer: &Peer, now: Instant) -> bool {
        if let Some(known) = self.entries.get(&peer.name)
            && strength(&known.peer) >= strength(peer)
        {
            return false;
        }
        let age = Duration::from_secs(u64::from(peer.age));
        let since = now.checked_sub(age).unwrap_or(now);
        let entry = Entry { peer: peer.clone(), since };
        if let Some(old) = self.entries.insert(peer.name.clone(), entry)
            && is_live(&old.peer)
        {
            self.toggle(&old.peer);
            self.live -= 1;
        }
        if is_live(peer) {
            self.toggle(peer);
            self.live += 1;
        }
        true
    }

    /// Sets what is believed of a host without a change of its incarnation.
    pub(crate) fn set(&mut self, name: &str, liveness: Liveness, now: Instant) {
        let Some(mut peer) = self.get(name).cloned() else {
            return;
        };
        peer.liveness = liveness;
        self.merge(&peer, now);
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Peer> {
        self.entries.get(name).map(|e| &e.peer)
    }

    /// All claims, the age of those on departed hosts brought up to date.
    pub(crate) fn claims(&self, now: Instant) -> impl Iterator<Item = Peer> {
        self.entries.values().map(move |e| aged(e, now))
    }

    /// Claim on one host, its age brought up to date.
    pub(crate) fn claim(&self, name: &str, now: Instant) -> Option<Peer> {
        self.entries.get(name).map(|e| aged(e, now))
    }

    /// Hosts that live, the suspected ones included.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Peer> {
        self.entries.values().map(|e| &e.peer).filter(|p| is_live(p))
    }

    /// Number of hosts that live.
    pub(crate) fn live_count(&self) -> usize {
        self.live
    }

    /// Hosts that were last believed dead; those that left are not among them.
    pub(crate) fn dead(&self) -> impl Iterator<Item = &Peer> {
        self.entries.values().map(|e| &e.peer).filter(|p| p.liveness == Liveness::Dead)
    }

    /// Digest of the live hosts of a data centre, the same wherever the views agree.
    pub(crate) fn digest(&self, data_centre: &str) -> u64 {
        self.digests.get(data_centre).copied().unwrap_or(0)
    }

    /// Data centres of which hosts are known.
    pub(crate) fn data_centres(&self) -> impl Iterator<Item = &Name> {
        self.digests.keys()
    }

    /// Names of the suspected hosts whose suspicion is older than `limit`.
    pub(crate) fn overdue(&self, now: Instant, limit: Duration) -> Vec<Name> {
        let suspects = self.entries.values().filter(|e| e.peer.liveness == Liveness::Suspect);
        let overdue = suspects.filter(|e| now.saturating_duration_since(e.since) >= limit);
        overdue.map(|e| e.peer.name.clone()).collect()
    }

    /// Lets every suspicion start anew.
    pub(crate) fn restart_suspicions(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            if entry.peer.liveness == Liveness::Suspect {
                entry.since = now;
            }
        }
    }

    /// Forgets hosts that departed longer than `retention` ago.
    pub(crate) fn forget(&mut self, now: Instant, retention: Duration) {
        self.entries
            .retain(|_, e| is_live(&e.peer) || now.saturating_duration_since(e.since) < retention);
    }

    /// Adds a live host to its data centre's digest, or takes it out again.
    fn toggle(&mut self, peer: &Peer) {
        let hash = xxh3_64_with_seed(peer.name.as_bytes(), peer.incarnation);
        *self.digests.entry(peer.data_centre.clone()).or_default() ^= hash;
    }
}

pub(crate) fn is_live(peer: &Peer) -> bool {
    peer.liveness <= Liveness::Suspect
}

fn strength(peer: &Peer) -> (u64, Liveness) {
    (peer.incarnation, peer.liveness)
}

fn aged(entry: &Entry, now: Instant) -> Peer {
    let mut peer = entry.peer.clone();
    if !is_live(&peer) {
        let age = now.saturating_duration_since(entry.since).as_secs();
        peer.age = u32::try_from(age).unwrap_or(u32::MAX);
    }
    peer
}
