//! Membership view of the entry hosts, and how two views merge.
//!
//! Of two claims on a host the one with the higher incarnation wins; at equal incarnations, the one
//! with the worse liveness. Merging is therefore commutative and idempotent, whatever the order of
//! datagrams. Hosts that died or left are kept for a retention period, so that an old claim that
//! they are alive does not bring them back.

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

    /// Merges a claim; returns whether it changed the view.
    pub(crate) fn merge(&mut self, peer: &Peer, now: Instant) -> bool {
        if let Some(known) = self.entries.get(&peer.name)
            && precedence(&known.peer) >= precedence(peer)
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

    /// Sets the liveness of a host under its current incarnation.
    pub(crate) fn set_liveness(&mut self, name: &str, liveness: Liveness, now: Instant) {
        let Some(mut peer) = self.get(name).cloned() else {
            return;
        };
        peer.liveness = liveness;
        self.merge(&peer, now);
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Peer> {
        self.entries.get(name).map(|e| &e.peer)
    }

    /// All claims, with the current age of those on departed hosts.
    pub(crate) fn claims(&self, now: Instant) -> impl Iterator<Item = Peer> {
        self.entries.values().map(move |e| with_age(e, now))
    }

    /// Claim on one host, with its current age.
    pub(crate) fn claim(&self, name: &str, now: Instant) -> Option<Peer> {
        self.entries.get(name).map(|e| with_age(e, now))
    }

    /// Live hosts, including suspected ones.
    pub(crate) fn live(&self) -> impl Iterator<Item = &Peer> {
        self.entries.values().map(|e| &e.peer).filter(|p| is_live(p))
    }

    /// Number of live hosts, including suspected ones.
    pub(crate) fn live_count(&self) -> usize {
        self.live
    }

    /// Hosts that are considered dead, without those that left.
    pub(crate) fn dead(&self) -> impl Iterator<Item = &Peer> {
        self.entries.values().map(|e| &e.peer).filter(|p| p.liveness == Liveness::Dead)
    }

    /// Digest of the live hosts of a data centre; equal views have equal digests.
    pub(crate) fn digest(&self, data_centre: &str) -> u64 {
        self.digests.get(data_centre).copied().unwrap_or(0)
    }

    /// Data centres with known hosts.
    pub(crate) fn data_centres(&self) -> impl Iterator<Item = &Name> {
        self.digests.keys()
    }

    /// Names of the hosts that have been suspected for at least `limit`.
    pub(crate) fn expired_suspicions(&self, now: Instant, limit: Duration) -> Vec<Name> {
        let suspects = self.entries.values().filter(|e| e.peer.liveness == Liveness::Suspect);
        let expired = suspects.filter(|e| now.saturating_duration_since(e.since) >= limit);
        expired.map(|e| e.peer.name.clone()).collect()
    }

    /// Restarts the timeout of every suspicion.
    pub(crate) fn restart_suspicions(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            if entry.peer.liveness == Liveness::Suspect {
                entry.since = now;
            }
        }
    }

    /// Removes hosts that departed at least `retention` ago.
    pub(crate) fn expire(&mut self, now: Instant, retention: Duration) {
        self.entries
            .retain(|_, e| is_live(&e.peer) || now.saturating_duration_since(e.since) < retention);
    }

    /// Adds a live host to its data centre's digest, or removes it (XOR).
    fn toggle(&mut self, peer: &Peer) {
        let hash = xxh3_64_with_seed(peer.name.as_bytes(), peer.incarnation);
        *self.digests.entry(peer.data_centre.clone()).or_default() ^= hash;
    }
}

pub(crate) fn is_live(peer: &Peer) -> bool {
    peer.liveness <= Liveness::Suspect
}

fn precedence(peer: &Peer) -> (u64, Liveness) {
    (peer.incarnation, peer.liveness)
}

fn with_age(entry: &Entry, now: Instant) -> Peer {
    let mut peer = entry.peer.clone();
    if !is_live(&peer) {
        let age = now.saturating_duration_since(entry.since).as_secs();
        peer.age = u32::try_from(age).unwrap_or(u32::MAX);
    }
    peer
}
