//! Pings that wait for an answer.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name};
use sapphirerack_protocol::Peer;

use crate::roster::{Roster, is_live};

/// Time for which an ack is passed on to the host that asked for it.
const RELAY_TIME: Duration = Duration::from_secs(2);

struct Probe {
    name: Name,
    target: SocketAddr,
    sent: Instant,
    relayed: bool,
}

struct Relay {
    asker: SocketAddr,
    seq: u64,
    sent: Instant,
}

/// Open pings of this host, and those that it sent for others.
#[derive(Default)]
pub(crate) struct Probes {
    open: Map<u64, Probe>,
    relays: Map<u64, Relay>,
    round: Vec<Name>,
}

impl Probes {
    /// Pings the next other host of the data centre in a random round, each once a round.
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
        self.open.insert(seq, probe);
        Some((seq, peer.address))
    }

    /// Remembers that the ack of a new ping is to be passed on.
    pub(crate) fn relay(
        &mut self,
        asker: SocketAddr,
        seq: u64,
        now: Instant,
        rng: &mut fastrand::Rng,
    ) -> u64 {
        self.relays.retain(|_, r| now.saturating_duration_since(r.sent) < RELAY_TIME);
        let ping = rng.u64(..);
        self.relays.insert(ping, Relay { asker, seq, sent: now });
        ping
    }

    /// Takes an ack; returns to whom it is to be passed on.
    pub(crate) fn answered(&mut self, seq: u64) -> Option<(SocketAddr, u64)> {
        self.open.remove(&seq);
        self.relays.remove(&seq).map(|r| (r.asker, r.seq))
    }

    /// Pings older than `limit` that are now to be tried through other hosts, each once.
    pub(crate) fn unanswered(&mut self, now: Instant, limit: Duration) -> Vec<(u64, SocketAddr)> {
        let due = |p: &Probe| !p.relayed && now.saturating_duration_since(p.sent) >= limit;
        let late = self.open.iter_mut().filter(|(_, p)| due(p));
        late.map(|(seq, probe)| {
            probe.relayed = true;
            (*seq, probe.target)
        })
        .collect()
    }

    /// Hosts whose pings are older than `limit`; the pings are forgotten.
    pub(crate) fn failed(&mut self, now: Instant, limit: Duration) -> Vec<Name> {
        let late = |p: &Probe| now.saturating_duration_since(p.sent) >= limit;
        let names = self.open.values().filter(|p| late(p)).map(|p| p.name.clone()).collect();
        self.open.retain(|_, p| !late(p));
        names
    }

    /// Forgets all pings.
    pub(crate) fn clear(&mut self) {
        self.open.clear();
        self.relays.clear();
    }
}
