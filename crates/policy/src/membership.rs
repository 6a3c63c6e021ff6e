//! Membership of entry hosts: heartbeats, failure detection and announced leaving.
//!
//! The protocol follows SWIM. Each interval a host pings one other host of its data centre, in
//! turn. A host that does not answer is probed indirectly through others, then suspected, and
//! declared dead if it does not refute the suspicion in time; it refutes by raising its
//! incarnation. A host that was itself paused detects the gap in its own activity, drops its
//! outstanding probes, restarts its suspicions, does not count the gap as time without contact, and
//! raises its incarnation.
//!
//! Failures are detected only within a data centre. Between data centres a few hosts per interval
//! exchange updates and summaries. A data centre without recent contact is cut off: its hosts stay
//! known but are not live in this view until there is contact again.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Map, Name, Set};
use sapphirerack_protocol::{Datagram, Liveness, Peer, Purpose, Summary};

use crate::Host;
use crate::contacts::Contacts;
use crate::probes::Probes;
use crate::roster::{Roster, is_live};
use crate::stamps::Stamps;
use crate::updates::UpdateQueue;

/// Claims on hosts in one datagram at most.
const MAX_CLAIMS: usize = 6;

/// Expected number of pings per interval from all hosts of one data centre to other data centres.
const CROSS_PINGS: f64 = 3.0;

/// Seeds pinged per interval by a host that knows no other, and helpers of an indirect probe.
const PROBE_FANOUT: usize = 3;

/// Ticks between two pings to a seed or to a dead host.
const SEED_PING_TICKS: u64 = 5;

/// Time limits of the membership.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// Time between two ticks.
    pub interval: Duration,
    /// Timeout of a direct probe, and again of the indirect probe that follows.
    pub probe: Duration,
    /// Time to refute a suspicion.
    pub suspicion: Duration,
    /// Gap between two ticks or received datagrams from which this host is taken to have been
    /// paused.
    pub pause: Duration,
    /// Time without contact after which a data centre counts as cut off.
    pub cut_off: Duration,
    /// Time for which departed hosts are kept.
    pub retention: Duration,
    /// Age of a difference between two views from which the whole view is fetched.
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

/// An anti-entropy request: the whole view of a data centre is to be fetched.
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

/// Membership as seen by one host.
pub struct Membership {
    own: Peer,
    timing: Timing,
    roster: Roster,
    updates: UpdateQueue,
    probes: Probes,
    contacts: Contacts,
    cut_off: Set<Name>,
    differences: Map<Name, Difference>,
    seeds: Vec<SocketAddr>,
    rng: fastrand::Rng,
    stamps: Stamps,
    ticks: u64,
    last_active: Instant,
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
            capacity: own.capacity,
        };
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut membership = Self {
            own,
            timing,
            roster: Roster::new(),
            updates: UpdateQueue::default(),
            probes: Probes::default(),
            contacts: Contacts::default(),
            cut_off: Set::default(),
            differences: Map::default(),
            seeds: Vec::new(),
            stamps: Stamps::new(now, &mut rng),
            rng,
            ticks: 0,
            last_active: now,
            start: now,
            epoch: 1,
            urgent: false,
        };
        membership.announce(now);
        membership
    }

    /// Increases with each change of [`Membership::live`].
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Hosts to which work may be sent; without this host once it is leaving.
    pub fn live(&self) -> Vec<Host> {
        let live = self.roster.live().filter(|p| self.is_reachable(&p.data_centre));
        let mut hosts: Vec<Host> = live.map(host).collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        hosts
    }

    /// Liveness of a host; `None` if it is not known.
    pub fn liveness(&self, name: &str) -> Option<Liveness> {
        self.roster.get(name).map(|p| p.liveness)
    }

    /// Host of a name, even if it is not live or its data centre is cut off.
    pub fn host(&self, name: &str) -> Option<Host> {
        self.roster.get(name).map(host)
    }

    /// Data centres that are known but cut off.
    pub fn cut_off(&self) -> &Set<Name> {
        &self.cut_off
    }

    /// Sets the seed addresses from the platform's list. Seeds are only pinged; being listed does
    /// not make a host a member.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Announces that this host leaves.
    pub fn leave(&mut self, now: Instant) {
        self.own.liveness = Liveness::Left;
        self.announce(now);
    }

    /// Returns and resets whether updates should be sent at once.
    pub fn take_urgent(&mut self) -> bool {
        std::mem::take(&mut self.urgent)
    }

    /// Runs the periodic work; to be called each interval.
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        self.detect_pause(now);
        self.ticks += 1;
        let mut out = Vec::new();
        self.advance_probes(now, &mut out);
        for name in self.roster.expired_suspicions(now, self.timing.suspicion) {
            self.set_liveness(&name, Liveness::Dead, now);
        }
        self.roster.expire(now, self.timing.retention);
        self.update_cut_off(now);
        self.probe_next(now, &mut out);
        self.ping_remote(now, &mut out);
        self.ping_seeds(now, &mut out);
        out
    }

    /// Datagrams that spread the pending updates at once to `fanout` local and some remote hosts.
    pub fn gossip(&mut self, now: Instant, fanout: usize) -> Vec<Outgoing> {
        let mut targets = self.local_peers();
        self.rng.shuffle(&mut targets);
        targets.truncate(fanout);
        targets.extend(self.remote_peers());
        targets.into_iter().map(|to| self.compose(to, Purpose::News, now)).collect()
    }

    /// Time before which a datagram was not sent; `None` if it replies to none of this host, as it
    /// may have been under way for any time.
    pub fn earliest_send(&self, datagram: &Datagram, now: Instant) -> Option<Instant> {
        datagram.echo.and_then(|stamp| self.stamps.time(stamp, now))
    }

    /// Reply to a datagram from `source`, which thereby learns when it was sent at the earliest.
    pub fn reply(&mut self, source: SocketAddr, datagram: &Datagram, now: Instant) -> Outgoing {
        let mut reply = self.compose(source, Purpose::News, now);
        reply.datagram.echo = Some(datagram.stamp);
        reply
    }

    /// Handles a datagram from `source`.
    pub fn receive(
        &mut self,
        source: SocketAddr,
        datagram: &Datagram,
        now: Instant,
    ) -> Vec<Outgoing> {
        self.detect_pause(now);
        let from = &datagram.from;
        if from.name == self.own.name {
            return Vec::new();
        }
        self.merge_and_gossip(from, now);
        self.contacts.record(&from.data_centre, now);
        for peer in &datagram.peers {
            self.merge_and_gossip(peer, now);
        }
        self.compare(datagram, now);
        self.update_cut_off(now);
        let mut out = Vec::new();
        match datagram.purpose {
            Purpose::Ping(seq) => out.push(self.acknowledge(source, datagram, seq, now)),
            Purpose::Ack(seq) => {
                if let Some((requester, seq)) = self.probes.answered(seq) {
                    out.push(self.compose(requester, Purpose::Ack(seq), now));
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

    /// Next view to fetch. Differences that updates have resolved meanwhile are dropped.
    pub fn repair(&mut self, now: Instant) -> Option<Repair> {
        let limit = if self.is_newcomer(now) { Duration::ZERO } else { self.timing.repair };
        let roster = &self.roster;
        self.differences.retain(|name, d| d.digest != roster.digest(name));
        let due = |d: &Difference| now.saturating_duration_since(d.since) >= limit;
        let name = self.differences.iter().find(|(_, d)| due(d)).map(|(n, _)| n.clone())?;
        let difference = self.differences.remove(&name)?;
        Some(Repair { peer: difference.peer, data_centre: name })
    }

    /// Whether this host started so recently that the others know more than it does.
    fn is_newcomer(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.start) < self.timing.cut_off
    }

    /// This host's view of a data centre, including departed hosts.
    pub fn view(&self, data_centre: &str, now: Instant) -> Vec<Peer> {
        self.roster.claims(now).filter(|p| &*p.data_centre == data_centre).collect()
    }

    /// Merges the whole view of another host.
    pub fn merge(&mut self, peers: &[Peer], now: Instant) {
        let newcomer = self.is_newcomer(now);
        for peer in peers {
            if newcomer {
                self.merge_claim(peer, now);
            } else {
                self.merge_and_gossip(peer, now);
            }
        }
        self.update_cut_off(now);
    }

    fn merge_and_gossip(&mut self, peer: &Peer, now: Instant) {
        if self.merge_claim(peer, now) {
            self.updates.add(peer.name.clone());
            self.urgent = true;
        }
    }

    /// Merges a claim; refutes it if it contradicts this host's own state.
    fn merge_claim(&mut self, peer: &Peer, now: Instant) -> bool {
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
        if changed && known.is_none_or(|k| changes_live_set(&k, peer)) {
            self.epoch += 1;
        }
        changed
    }

    fn is_leaving(&self) -> bool {
        self.own.liveness == Liveness::Left
    }

    fn announce(&mut self, now: Instant) {
        self.roster.merge(&self.own, now);
        self.updates.add(self.own.name.clone());
        self.epoch += 1;
        self.urgent = true;
    }

    fn set_liveness(&mut self, name: &Name, liveness: Liveness, now: Instant) {
        self.roster.set_liveness(name, liveness, now);
        self.updates.add(name.clone());
        self.urgent = true;
        if liveness == Liveness::Dead {
            self.epoch += 1;
        }
    }

    fn detect_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_active);
        self.last_active = self.last_active.max(now);
        if gap < self.timing.pause {
            return;
        }
        self.probes.clear();
        self.roster.restart_suspicions(now);
        self.contacts.record_pause(gap);
        self.own.incarnation += 1;
        self.announce(now);
    }

    fn advance_probes(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        for (seq, target) in self.probes.unanswered(now, self.timing.probe) {
            let mut helpers = self.local_peers();
            helpers.retain(|h| *h != target);
            self.rng.shuffle(&mut helpers);
            for helper in helpers.into_iter().take(PROBE_FANOUT) {
                out.push(self.compose(helper, Purpose::Relay { seq, target }, now));
            }
        }
        for name in self.probes.failed(now, self.timing.probe * 2) {
            if self.roster.get(&name).is_some_and(|p| p.liveness == Liveness::Alive) {
                self.set_liveness(&name, Liveness::Suspect, now);
            }
        }
    }

    fn probe_next(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        if let Some((seq, target)) = self.probes.next(&self.roster, &self.own, now, &mut self.rng) {
            out.push(self.compose(target, Purpose::Ping(seq), now));
        }
    }

    fn ping_remote(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let mut targets = self.remote_peers();
        self.rng.shuffle(&mut targets);
        if let Some(to) = targets.pop() {
            let seq = self.rng.u64(..);
            out.push(self.compose(to, Purpose::Ping(seq), now));
        }
    }

    fn ping_seeds(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let is_alone = self.roster.live_count() <= 1;
        if !is_alone && !self.ticks.is_multiple_of(SEED_PING_TICKS) {
            return;
        }
        let live: Set<SocketAddr> = self.roster.live().map(|p| p.address).collect();
        let dead = self.roster.dead().map(|p| p.address);
        let mut targets: Vec<SocketAddr> =
            self.seeds.iter().copied().chain(dead).filter(|a| !live.contains(a)).collect();
        self.rng.shuffle(&mut targets);
        targets.truncate(if is_alone { PROBE_FANOUT } else { 1 });
        for to in targets {
            let seq = self.rng.u64(..);
            out.push(self.compose(to, Purpose::Ping(seq), now));
        }
    }

    /// Addresses of the other live hosts of this data centre.
    fn local_peers(&self) -> Vec<SocketAddr> {
        let own = &self.own;
        let live = self.roster.live();
        let others = live.filter(|p| p.data_centre == own.data_centre && p.name != own.name);
        others.map(|p| p.address).collect()
    }

    /// One host of each other data centre, with the probability at which the whole data centre
    /// sends [`CROSS_PINGS`] on average; none otherwise.
    fn remote_peers(&mut self) -> Vec<SocketAddr> {
        let probability = CROSS_PINGS / (self.local_peers().len() + 1) as f64;
        if self.rng.f64() >= probability {
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

    fn acknowledge(&mut self, to: SocketAddr, ping: &Datagram, seq: u64, now: Instant) -> Outgoing {
        let from = &ping.from;
        let mut ack = self.compose(to, Purpose::Ack(seq), now);
        ack.datagram.echo = Some(ping.stamp);
        // A host that others suspect or declared dead must receive that claim to refute it.
        let contested = self
            .roster
            .claim(&from.name, now)
            .filter(|p| p.liveness > from.liveness && p.incarnation >= from.incarnation);
        ack.datagram.peers.extend(contested);
        ack
    }

    fn compose(&mut self, to: SocketAddr, purpose: Purpose, now: Instant) -> Outgoing {
        let names = self.updates.take(MAX_CLAIMS, self.roster.live_count());
        let peers = names.iter().filter_map(|n| self.roster.claim(n, now)).collect();
        let datagram = Datagram {
            from: self.own.clone(),
            purpose,
            version: 0,
            peers,
            summaries: self.summaries(now),
            topics: Vec::new(),
            stamp: self.stamps.make(now),
            echo: None,
        };
        Outgoing { to, datagram }
    }

    fn summaries(&self, now: Instant) -> Vec<Summary> {
        let summary = |name: &Name| {
            let is_own = *name == self.own.data_centre;
            let age = if is_own { Some(Duration::ZERO) } else { self.contacts.age(name, now) };
            let age = age.map_or(u128::MAX, |age| age.as_millis());
            Summary {
                data_centre: name.clone(),
                age: u32::try_from(age).unwrap_or(u32::MAX),
                digest: self.roster.digest(name),
            }
        };
        self.roster.data_centres().map(summary).collect()
    }

    /// Compares the sender's summaries with this host's view. The age of a contact is taken over
    /// from replies only, so that it is never too low.
    fn compare(&mut self, datagram: &Datagram, now: Instant) {
        let from = &datagram.from;
        let sent = self.earliest_send(datagram, now);
        let is_local = from.data_centre == self.own.data_centre;
        for summary in &datagram.summaries {
            let name = &summary.data_centre;
            if is_local
                && let Some(contact) = sent
                    .and_then(|sent| sent.checked_sub(Duration::from_millis(summary.age.into())))
            {
                self.contacts.record(name, contact);
            }
            if !is_local && *name != from.data_centre {
                continue;
            }
            if summary.digest != self.roster.digest(name) {
                let difference =
                    Difference { peer: from.address, digest: summary.digest, since: now };
                self.differences.entry(name.clone()).or_insert(difference);
            }
        }
    }

    fn update_cut_off(&mut self, now: Instant) {
        let is_silent = |name: &&Name| {
            let silence = self.contacts.silence(name, now);
            silence.is_none_or(|silence| silence >= self.timing.cut_off)
        };
        let others = self.roster.data_centres().filter(|n| **n != self.own.data_centre);
        let cut_off: Set<Name> = others.filter(is_silent).cloned().collect();
        if cut_off != self.cut_off {
            self.cut_off = cut_off;
            self.epoch += 1;
        }
    }

    fn is_reachable(&self, data_centre: &str) -> bool {
        !self.cut_off.contains(data_centre)
    }
}

fn host(peer: &Peer) -> Host {
    Host {
        name: peer.name.clone(),
        data_centre: peer.data_centre.clone(),
        address: peer.address,
        capacity: peer.capacity,
    }
}

/// Whether the claim changes the set of live hosts.
fn changes_live_set(known: &Peer, claim: &Peer) -> bool {
    is_live(known) != is_live(claim)
        || known.address != claim.address
        || known.incarnation != claim.incarnation
}
