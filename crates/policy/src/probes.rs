//! Pings in flight, for failure detection.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name};
use sapphirerack_protocol::Peer;

use crate::roster::{Roster, is_live};

/// Time for which the ack of a relayed ping is forwarded to the host that requested it.
const RELAY_TTL: Duration = Duration::from_secs(2);

struct Probe {
    name: Name,
    target: SocketAddr,
    sent: Instant,
    relayed: bool,
}

struct Relay {
    requester: SocketAddr,
    seq: u64,
    sent: Instant,
}

/// Pings of this host that are in flight, and those that it relays for other hosts.
#[derive(Default)]
pub(crate) struct Probes {
    pending: Map<u64, Probe>,
    relays: Map<u64, Relay>,
    round: Vec<Name>,
}

impl Probes {
    /// Pings the next other host of the data centre, in random order and each once per round.
    pub(crate) fn next(
        &mut self,
        roster: &Roster,
        own: &Peer,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> Option<(u64, SocketAddr)> {
        if self.round.is_empty() {
            self.round = roster
                .live()
                .filter(|p| p.data_centre == own.data_centre && p.name != own.name)
                .map(|p| p.name.clone())
                .collect();
            self.round.sort();
            rng.shuffle(&mut self.round);
        }
        let peer = loop {
            let name = self.round.pop()?;
            match roster.get(&name) {
                Some(peer) if is_live(peer) => break peer,
                _ => {}
            }
        };
        let seq = rng.u64(..);
        let name = peer.name.clone();
        let probe = Probe { name, target: peer.address, sent: now, relayed: false };
        self.pending.insert(seq, probe);
        Some((seq, peer.address))
    }

    /// Creates a ping whose ack is forwarded to `requester`.
    pub(crate) fn relay(
        &mut self,
        requester: SocketAddr,
        seq: u64,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> u64 {
        self.relays.retain(|_, r| now.saturating_duration_since(r.sent) < RELAY_TTL);
        let ping = rng.u64(..);
        self.relays.insert(ping, Relay { requester, seq, sent: now });
        ping
    }

    /// Records an ack; returns where to forward it, if the ping was relayed.
    pub(crate) fn answered(&mut self, seq: u64) -> Option<(SocketAddr, u64)> {
        self.pending.remove(&seq);
        self.relays.remove(&seq).map(|r| (r.requester, r.seq))
    }

    /// Pings older than `timeout` that are to be relayed through other hosts now, each once.
    pub(crate) fn unanswered(&mut self, now: Instant, timeout: Duration) -> Vec<(u64, SocketAddr)> {
        let due = |p: &Probe| !p.relayed && now.saturating_duration_since(p.sent) >= timeout;
        let overdue = self.pending.iter_mut().filter(|(_, p)| due(p));
        overdue
            .map(|(seq, probe)| {
                probe.relayed = true;
                (*seq, probe.target)
            })
            .collect()
    }

    /// Removes the pings older than `timeout` and returns their hosts.
    pub(crate) fn failed(&mut self, now: Instant, timeout: Duration) -> Vec<Name> {
        let overdue = |p: &Probe| now.saturating_duration_since(p.sent) >= timeout;
        let names = self.pending.values().filter(|p| overdue(p)).map(|p| p.name.clone()).collect();
        self.pending.retain(|_, p| !overdue(p));
        names
    }

    /// Removes all pings.
    pub(crate) fn clear(&mut self) {
        self.pending.clear();
        self.relays.clear();
    }
}
