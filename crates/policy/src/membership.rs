//! Membership of entry hosts: heartbeats, failure detection and announced leaving.
//!
//! Each interval a host pings one other host of its data centre, in turn. A host that does not
//! answer is asked through others, then suspected, and counted dead if it does not refute the
//! suspicion in time; it refutes by raising its incarnation. A host that was paused itself notices
//! the gap between its own ticks, drops its open suspicions and raises its incarnation.
//!
//! Failures are detected inside a data centre only. Between data centres a few hosts an interval
//! exchange news and summaries; a data centre of which nothing was heard directly is cut off:
//! its hosts are not live for this one, yet stay known, and are live again once it is heard of.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name, Set};
use sapphirerack_protocol::{Datagram, Liveness, Peer, Purpose, Summary};

use crate::Host;
use crate::probes::Probes;
use crate::roster::{Roster, is_live};
use crate::rumours::Rumours;

/// Claims on hosts in one datagram.
const CLAIMS: usize = 6;

/// Pings between data centres that all hosts of one send together in an interval.
const CROSS_PINGS: f64 = 3.0;

/// Seeds asked in an interval by a host that knows no other.
const FIRST_SEEDS: usize = 3;

/// Intervals between two pings to a seed or to a host believed dead.
const SEED_EVERY: u64 = 5;

/// Time limits of the membership.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two ticks.
    pub interval: Duration,
    /// Time to answer a ping; the same again for answers through other hosts.
    pub probe: Duration,
    /// Time to refute a suspicion.
    pub suspicion: Duration,
    /// Gap between two ticks that counts as a pause of this host.
    pub pause: Duration,
    /// Silence after which a data centre counts as cut off.
    pub cut_off: Duration,
    /// Time for which departed hosts are remembered.
    pub retention: Duration,
    /// Age of a difference between two views before the whole view is asked for.
    pub repair: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(200),
            probe: Duration::from_millis(500),
            suspicion: Duration::from_secs(3),
            pause: Duration::from_secs(1),
            cut_off: Duration::from_secs(5),
            retention: Duration::from_secs(24 * 60 * 60),
            repair: Duration::from_secs(1),
        }
    }
}

/// A datagram with its receiver.
#[derive(Clone, Debug)]
pub struct Outgoing {
    /// Receiver.
    pub to: SocketAddr,
    /// Datagram; its version and topics are left to the caller.
    pub datagram: Datagram,
}

/// A whole view of a data centre that is to be asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Repair {
    /// Host to ask.
    pub peer: SocketAddr,
    /// Data centre whose view differs.
    pub data_centre: Name,
}

struct Difference {
    peer: SocketAddr,
    digest: u64,
    since: Instant,
}

/// View of one host on all.
pub struct Membership {
    own: Peer,
    timing: Timing,
    roster: Roster,
    rumours: Rumours,
    probes: Probes,
    heard: Map<Name, Instant>,
    cut: Set<Name>,
    differences: Map<Name, Difference>,
    seeds: Vec<SocketAddr>,
    rng: fastrand::Rng,
    ticks: u64,
    active: Instant,
    start: Instant,
    epoch: u64,
    urgent: bool,
}

impl Membership {
    /// Membership of the host `own`, which starts at `now`; `unix` makes its incarnation higher
    /// than that of earlier processes of the same name.
    pub fn new(own: &Host, timing: Timing, now: Instant, unix: Duration, seed: u64) -> Self {
        let own = Peer {
            name: own.name.clone(),
            data_centre: own.data_centre.clone(),
            address: own.address,
            incarnation: u64::try_from(unix.as_millis()).unwrap_or(u64::MAX).max(1),
            liveness: Liveness::Alive,
            age: 0,
        };
        let mut membership = Self {
            own,
            timing,
            roster: Roster::new(),
            rumours: Rumours::default(),
            probes: Probes::default(),
            heard: Map::default(),
            cut: Set::default(),
            differences: Map::default(),
            seeds: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
            ticks: 0,
            active: now,
            start: now,
            epoch: 1,
            urgent: false,
        };
        membership.announce(now);
        membership
    }

    /// Rises with each change of [`Membership::live`].
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Hosts to which work may be sent; a host that leaves is not among its own.
    pub fn live(&self) -> Vec<Host> {
        let live = self.roster.live().filter(|p| self.is_reachable(&p.data_centre));
        let mut hosts: Vec<Host> = live.map(host).collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        hosts
    }

    /// What is believed of a host; `None` if it is not known.
    pub fn liveness(&self, name: &str) -> Option<Liveness> {
        self.roster.get(name).map(|p| p.liveness)
    }

    /// Host of a name, even if it leaves or is not heard of.
    pub fn host(&self, name: &str) -> Option<Host> {
        self.roster.get(name).map(host)
    }

    /// Data centres that are known but not heard of.
    pub fn cut_off(&self) -> &Set<Name> {
        &self.cut
    }

    /// Takes addresses from the platform's list; they are only pinged, never believed.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Announces that this host leaves.
    pub fn leave(&mut self, now: Instant) {
        self.own.liveness = Liveness::Left;
        self.announce(now);
    }

    /// Whether there are news that should leave at once; asking resets it.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// Does what is due; to be called each interval.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        self.notice_pause(now);
        self.ticks += 1;
        let mut out = Vec::new();
        self.advance_probes(now, &mut out);
        for name in self.roster.overdue(now, self.timing.suspicion) {
            self.believe(&name, Liveness::Dead, now);
        }
        self.roster.forget(now, self.timing.retention);
        self.update_cut(now);
        self.probe_next(now, &mut out);
        self.ping_across(now, &mut out);
        self.ping_seeds(now, &mut out);
        out
    }

    /// News for a few hosts, to be sent at once.
    pub fn gossip(&mut self, now: Instant, fanout: usize) -> Vec<Outgoing> {
        let mut targets = self.neighbours();
        self.rng.shuffle(&mut targets);
        targets.truncate(fanout);
        targets.extend(self.across());
        targets.into_iter().map(|to| self.compose(to, Purpose::News, now)).collect()
    }

    /// Takes a datagram from `source`.
    pub fn receive(
        &mut self,
        source: SocketAddr,
        datagram: &Datagram,
        now: Instant,
    ) -> Vec<Outgoing> {
        self.notice_pause(now);
        let from = &datagram.from;
        if from.name == self.own.name {
            return Vec::new();
        }
        self.learn(from, now);
        self.heard.insert(from.data_centre.clone(), now);
        for peer in &datagram.peers {
            self.learn(peer, now);
        }
        self.compare(datagram, now);
        self.update_cut(now);
        let mut out = Vec::new();
        match datagram.purpose {
            Purpose::Ping(seq) => out.push(self.answer(source, from, seq, now)),
            Purpose::Ack(seq) => {
                if let Some((asker, seq)) = self.probes.answered(seq) {
                    out.push(self.compose(asker, Purpose::Ack(seq), now));
                }
            }
            Purpose::Relay { seq, target } => {
                let ping = self.probes.relay(source, seq, now, &mut self.rng);
                out.push(self.compose(target, Purpose::Ping(ping), now));
            }
            Purpose::News => {}
        }
        out
    }

    /// Next view to be asked for. A difference that news in transit have settled is none.
    pub fn repair(&mut self, now: Instant) -> Option<Repair> {
        let limit = if self.is_fresh(now) { Duration::ZERO } else { self.timing.repair };
        let roster = &self.roster;
        self.differences.retain(|name, d| d.digest != roster.digest(name));
        let due = |d: &Difference| now.saturating_duration_since(d.since) >= limit;
        let name = self.differences.iter().find(|(_, d)| due(d)).map(|(n, _)| n.clone())?;
        let difference = self.differences.remove(&name)?;
        Some(Repair { peer: difference.peer, data_centre: name })
    }

    /// Whether this host started so lately that the others know more than it does.
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.start) < self.timing.cut_off
    }

    /// This host's view of a data centre, departed hosts included.
    pub fn view(&self, data_centre: &str, now: Instant) -> Vec<Peer> {
        self.roster.claims(now).filter(|p| &*p.data_centre == data_centre).collect()
    }

    /// Takes the whole view of another host.
    pub fn merge(&mut self, peers: &[Peer], now: Instant) {
        let fresh = self.is_fresh(now);
        for peer in peers {
            if fresh {
                self.accept(peer, now);
            } else {
                self.learn(peer, now);
            }
        }
        self.update_cut(now);
    }

    fn learn(&mut self, peer: &Peer, now: Instant) {
        if self.accept(peer, now) {
            self.rumours.add(peer.name.clone());
            self.urgent = true;
        }
    }

    /// Merges a claim; refutes it if it denies that this host lives.
    fn accept(&mut self, peer: &Peer, now: Instant) -> bool {
        if peer.name == self.own.name {
            let denied = peer.liveness != Liveness::Alive || peer.address != self.own.address;
            let newer = peer.incarnation > self.own.incarnation;
            if newer || (denied && peer.incarnation == self.own.incarnation && !self.is_leaving()) {
                self.own.incarnation = peer.incarnation + 1;
                self.announce(now);
            }
            return false;
        }
        let retention = self.timing.retention.as_secs();
        if !is_live(peer) && u64::from(peer.age) >= retention {
            return false;
        }
        let known = self.roster.get(&peer.name).cloned();
        let changed = self.roster.merge(peer, now);
        if changed && known.is_none_or(|k| differs(&k, peer)) {
            self.epoch += 1;
        }
        changed
    }

    fn is_leaving(&self) -> bool {
        self.own.liveness == Liveness::Left
    }

    fn announce(&mut self, now: Instant) {
        self.roster.merge(&self.own, now);
        self.rumours.add(self.own.name.clone());
        self.epoch += 1;
        self.urgent = true;
    }

    fn believe(&mut self, name: &Name, liveness: Liveness, now: Instant) {
        self.roster.set(name, liveness, now);
        self.rumours.add(name.clone());
        self.urgent = true;
        if liveness == Liveness::Dead {
            self.epoch += 1;
        }
    }

    fn notice_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.active);
        self.active = self.active.max(now);
        if gap < self.timing.pause {
            return;
        }
        self.probes.clear();
        self.roster.restart_suspicions(now);
        for heard in self.heard.values_mut() {
            *heard += gap;
        }
        self.own.incarnation += 1;
        self.announce(now);
    }

    fn advance_probes(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        for (seq, target) in self.probes.unanswered(now, self.timing.probe) {
            let mut helpers = self.neighbours();
            helpers.retain(|h| *h != target);
            self.rng.shuffle(&mut helpers);
            for helper in helpers.into_iter().take(FIRST_SEEDS) {
                out.push(self.compose(helper, Purpose::Relay { seq, target }, now));
            }
        }
        for name in self.probes.failed(now, self.timing.probe * 2) {
            if self.roster.get(&name).is_some_and(|p| p.liveness == Liveness::Alive) {
                self.believe(&name, Liveness::Suspect, now);
            }
        }
    }

    fn probe_next(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        if let Some((seq, target)) = self.probes.next(&self.roster, &self.own, now, &mut self.rng) {
            out.push(self.compose(target, Purpose::Ping(seq), now));
        }
    }

    fn ping_across(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let mut targets = self.across();
        self.rng.shuffle(&mut targets);
        if let Some(to) = targets.pop() {
            let seq = self.rng.u64(..);
            out.push(self.compose(to, Purpose::Ping(seq), now));
        }
    }

    fn ping_seeds(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let alone = self.roster.live_count() <= 1;
        if !alone && !self.ticks.is_multiple_of(SEED_EVERY) {
            return;
        }
        let live: Set<SocketAddr> = self.roster.live().map(|p| p.address).collect();
        let dead = self.roster.dead().map(|p| p.address);
        let mut targets: Vec<SocketAddr> =
            self.seeds.iter().copied().chain(dead).filter(|a| !live.contains(a)).collect();
        self.rng.shuffle(&mut targets);
        targets.truncate(if alone { FIRST_SEEDS } else { 1 });
        for to in targets {
            let seq = self.rng.u64(..);
            out.push(self.compose(to, Purpose::Ping(seq), now));
        }
    }

    /// Addresses of the other live hosts of the own data centre.
    fn neighbours(&self) -> Vec<SocketAddr> {
        let own = &self.own;
        let live = self.roster.live();
        let others = live.filter(|p| p.data_centre == own.data_centre && p.name != own.name);
        others.map(|p| p.address).collect()
    }

    /// A host of each other data centre, with the probability that makes the whole data centre
    /// send [`CROSS_PINGS`]; none otherwise.
    fn across(&mut self) -> Vec<SocketAddr> {
        let chance = CROSS_PINGS / (self.neighbours().len() + 1) as f64;
        if self.rng.f64() >= chance {
            return Vec::new();
        }
        let mut choices: Map<&Name, Vec<SocketAddr>> = Map::default();
        for peer in self.roster.live().filter(|p| p.data_centre != self.own.data_centre) {
            choices.entry(&peer.data_centre).or_default().push(peer.address);
        }
        let mut choices: Vec<_> = choices.into_iter().collect();
        choices.sort();
        choices.into_iter().filter_map(|(_, c)| self.rng.choice(c)).collect()
    }

    fn answer(&mut self, to: SocketAddr, from: &Peer, seq: u64, now: Instant) -> Outgoing {
        let mut answer = self.compose(to, Purpose::Ack(seq), now);
        // A host that others gave up must hear of it to refute it.
        let doubted = self
            .roster
            .claim(&from.name, now)
            .filter(|p| p.liveness > from.liveness && p.incarnation >= from.incarnation);
        answer.datagram.peers.extend(doubted);
        answer
    }

    fn compose(&mut self, to: SocketAddr, purpose: Purpose, now: Instant) -> Outgoing {
        let names = self.rumours.take(CLAIMS, self.roster.live_count());
        let peers = names.iter().filter_map(|n| self.roster.claim(n, now)).collect();
        let datagram = Datagram {
            from: self.own.clone(),
            purpose,
            version: 0,
            peers,
            summaries: self.summaries(now),
            topics: Vec::new(),
        };
        Outgoing { to, datagram }
    }

    fn summaries(&self, now: Instant) -> Vec<Summary> {
        let summary = |name: &Name| {
            let heard = self.heard.get(name).copied();
            let age = if *name == self.own.data_centre { Some(now) } else { heard }
                .map_or(u128::MAX, |h| now.saturating_duration_since(h).as_millis());
            Summary {
                data_centre: name.clone(),
                age: u32::try_from(age).unwrap_or(u32::MAX),
                digest: self.roster.digest(name),
            }
        };
        self.roster.data_centres().map(summary).collect()
    }

    /// Compares the sender's summaries with this host's view.
    fn compare(&mut self, datagram: &Datagram, now: Instant) {
        let from = &datagram.from;
        let near = from.data_centre == self.own.data_centre;
        for summary in &datagram.summaries {
            let name = &summary.data_centre;
            if near && let Some(heard) = now.checked_sub(Duration::from_millis(summary.age.into()))
            {
                let known = self.heard.entry(name.clone()).or_insert(heard);
                *known = heard.max(*known);
            }
            if !near && *name != from.data_centre {
                continue;
            }
            if summary.digest != self.roster.digest(name) {
                let difference =
                    Difference { peer: from.address, digest: summary.digest, since: now };
                self.differences.entry(name.clone()).or_insert(difference);
            }
        }
    }

    fn update_cut(&mut self, now: Instant) {
        let silent = |name: &&Name| {
            let heard = self.heard.get(*name);
            heard.is_none_or(|h| now.saturating_duration_since(*h) >= self.timing.cut_off)
        };
        let others = self.roster.data_centres().filter(|n| **n != self.own.data_centre);
        let cut: Set<Name> = others.filter(silent).cloned().collect();
        if cut != self.cut {
            self.cut = cut;
            self.epoch += 1;
        }
    }

    fn is_reachable(&self, data_centre: &str) -> bool {
        !self.cut.contains(data_centre)
    }
}

fn host(peer: &Peer) -> Host {
    Host { name: peer.name.clone(), data_centre: peer.data_centre.clone(), address: peer.address }
}

/// Whether the set of live hosts changes with the claim.
fn differs(known: &Peer, claim: &Peer) -> bool {
    is_live(known) != is_live(claim)
        || known.address != claim.address
        || known.incarnation != claim.incarnation
}
