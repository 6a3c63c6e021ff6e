//! Simulated network of hosts, with a simulated clock.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Name, Set};
use sapphirerack_policy::{Host, Membership, Outgoing, Timing};
use sapphirerack_protocol::Datagram;

/// Step of the simulated clock.
const STEP: Duration = Duration::from_millis(10);

const DELAY: Duration = Duration::from_millis(3);

pub struct Node {
    pub host: Host,
    pub membership: Membership,
    pub up: bool,
    pub paused: bool,
    next_tick: Instant,
    backlog: Vec<(SocketAddr, Datagram)>,
}

pub struct Net {
    pub nodes: Vec<Node>,
    pub loss: f64,
    pub bytes: usize,
    pub now: Instant,
    start: Instant,
    partitions: Set<(Name, Name)>,
    in_flight: BTreeMap<(Instant, u64), (usize, SocketAddr, Datagram)>,
    sent: u64,
    rng: fastrand::Rng,
}

pub fn address(index: usize) -> SocketAddr {
    let index = u16::try_from(index).unwrap();
    SocketAddr::from(([10, 0, (index >> 8) as u8, index as u8], 9_000))
}

impl Net {
    pub fn new(data_centres: &[&str], hosts: usize, seed: u64) -> Self {
        let now = Instant::now() + Duration::from_secs(100_000);
        let mut net = Self {
            nodes: Vec::new(),
            loss: 0.0,
            bytes: 0,
            now,
            start: now,
            partitions: Set::default(),
            in_flight: BTreeMap::new(),
            sent: 0,
            rng: fastrand::Rng::with_seed(seed),
        };
        for centre in data_centres {
            for i in 0..hosts {
                let host = Host {
                    name: format!("{centre}-{i}").into(),
                    data_centre: (*centre).into(),
                    address: address(net.nodes.len()),
                    capacity: 0,
                };
                let node = net.node(host);
                net.nodes.push(node);
            }
        }
        net
    }

    fn node(&mut self, host: Host) -> Node {
        let unix = Duration::from_secs(1_000) + (self.now - self.start);
        let seed = self.rng.u64(..);
        let timing = Timing::default();
        let mut membership = Membership::new(&host, timing, self.now, unix, seed);
        membership.set_seeds(vec![address(0), address(1)]);
        let next_tick = self.now + timing.interval.mul_f64(self.rng.f64());
        Node { host, membership, up: true, paused: false, next_tick, backlog: Vec::new() }
    }

    /// Replaces the process by a new one of the same name.
    pub fn restart(&mut self, index: usize) {
        let host = self.nodes[index].host.clone();
        self.nodes[index] = self.node(host);
    }

    pub fn leave(&mut self, index: usize) {
        let now = self.now;
        self.nodes[index].membership.leave(now);
        self.run(Duration::from_secs(1));
        self.nodes[index].up = false;
    }

    pub fn partition(&mut self, a: &str, b: &str) {
        self.partitions.insert((a.into(), b.into()));
        self.partitions.insert((b.into(), a.into()));
    }

    pub fn heal(&mut self) {
        self.partitions.clear();
    }

    pub fn resume(&mut self, index: usize) {
        self.nodes[index].paused = false;
        for (source, datagram) in std::mem::take(&mut self.nodes[index].backlog) {
            self.deliver(index, source, &datagram);
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the condition holds and returns the time that took; panics after `limit`.
    pub fn run_until(&mut self, limit: Duration, holds: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !holds(self) {
            assert!(self.now < start + limit, "condition not reached within {limit:?}");
            self.step();
        }
        self.now - start
    }

    pub fn live(&self, index: usize) -> Vec<Name> {
        self.nodes[index].membership.live().into_iter().map(|h| h.name).collect()
    }

    /// Whether every running host has exactly the running hosts as live.
    pub fn has_converged(&self) -> bool {
        let running = self.nodes.iter().filter(|n| n.up && !n.paused);
        let mut names: Vec<Name> = running.map(|n| n.host.name.clone()).collect();
        names.sort();
        let sees = |i: usize| self.live(i) == names;
        (0..self.nodes.len()).filter(|i| self.nodes[*i].up).all(sees)
    }

    fn step(&mut self) {
        self.now += STEP;
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, source, datagram) = entry.remove();
            self.deliver(to, source, &datagram);
        }
        for i in 0..self.nodes.len() {
            let now = self.now;
            let node = &mut self.nodes[i];
            if !node.up || node.paused {
                continue;
            }
            if now >= node.next_tick {
                node.next_tick = now + Timing::default().interval;
                let out = node.membership.tick(now);
                self.send(i, out);
                self.repair(i);
            }
            if self.nodes[i].membership.take_urgent() {
                let out = self.nodes[i].membership.gossip(now, 3);
                self.send(i, out);
            }
        }
    }

    fn repair(&mut self, index: usize) {
        let Some(repair) = self.nodes[index].membership.repair(self.now) else {
            return;
        };
        let Some(peer) = self.reach(index, repair.peer) else {
            return;
        };
        let view = self.nodes[peer].membership.view(&repair.data_centre, self.now);
        self.nodes[index].membership.merge(&view, self.now);
    }

    fn send(&mut self, index: usize, out: Vec<Outgoing>) {
        let source = self.nodes[index].host.address;
        for outgoing in out {
            self.bytes += outgoing.datagram.encode().unwrap().len();
            let lost = self.rng.f64() < self.loss;
            let Some(to) = self.reach(index, outgoing.to).filter(|_| !lost) else {
                continue;
            };
            self.sent += 1;
            let at = self.now + DELAY;
            self.in_flight.insert((at, self.sent), (to, source, outgoing.datagram));
        }
    }

    fn deliver(&mut self, to: usize, source: SocketAddr, datagram: &Datagram) {
        let node = &mut self.nodes[to];
        if node.paused {
            node.backlog.push((source, datagram.clone()));
        } else if node.up {
            let out = node.membership.receive(source, datagram, self.now);
            self.send(to, out);
        }
    }

    fn reach(&self, from: usize, to: SocketAddr) -> Option<usize> {
        let index = self.nodes.iter().position(|n| n.host.address == to)?;
        let ends =
            (self.nodes[from].host.data_centre.clone(), self.nodes[index].host.data_centre.clone());
        (self.nodes[index].up && !self.partitions.contains(&ends)).then_some(index)
    }
}
