//! Moves over random schedules: clocks that differ, pauses, cuts, store outages, late and lost
//! writes, racing hosts.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::{Duration, SystemTime};

use fastrand::Rng;
use quickcheck::{Gen, QuickCheck};
use sapphirerack_catalogue::{Catalogue, Fault, MoveState};
use sapphirerack_policy::moves::{self, Effect, Facts, MAX_CLOCK_SKEW, Step};
use sapphirerack_policy::{Verdict, Verdicts};
use support::{at, drain, record, shift, started};

const TICK_MS: u64 = 100;
const LENGTH_MS: u64 = 60_000;
const HOSTS: usize = 5;

/// Time after the deadline in which everything is healed and must settle.
const SETTLE_MS: u64 = 20_000;

/// What a host makes of the move.
#[derive(Clone, Debug, PartialEq, Eq)]
enum End {
    Open,
    Done,
    Reversed,
}

struct Host {
    skew_ms: u64,
    view: (u64, Catalogue),
    verdicts: Verdicts,
    paused_until: u64,
    cut_until: u64,
    seen: Vec<End>,
}

/// A write on its way; it lands only over the version it was decided on.
struct Write {
    lands: u64,
    base: u64,
    catalogue: Catalogue,
}

struct World {
    rng: Rng,
    now: u64,
    store: (u64, Catalogue),
    down_until: u64,
    writes: Vec<Write>,
    hosts: Vec<Host>,
    facts: Facts,
    is_bad: bool,
    /// Revision and stage of the record after each write that took effect.
    history: Vec<(u64, MoveState)>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let goal = if rng.bool() { shift() } else { drain("leith") };
        let store = (1, started(goal, LENGTH_MS / 1000));
        let host = |rng: &mut Rng| Host {
            skew_ms: rng.u64(0..=u64::try_from(MAX_CLOCK_SKEW.as_millis()).unwrap()),
            view: store.clone(),
            verdicts: Verdicts::default(),
            paused_until: 0,
            cut_until: 0,
            seen: Vec::new(),
        };
        let hosts = (0..HOSTS).map(|_| host(&mut rng)).collect();
        let trials = rng.u64(0..3_000);
        let facts = Facts {
            in_force: true,
            trials,
            successes: trials,
            suspicious: rng.u8(0..10) == 0,
            fresh: rng.u8(0..10) != 0,
        };
        let is_bad = rng.u8(0..3) == 0;
        let history = vec![(1, record(&store.1).state.clone())];
        let (now, down_until, writes) = (0, 0, Vec::new());
        Self { rng, now, store, down_until, writes, hosts, facts, is_bad, history }
    }

    fn is_healing(&self) -> bool {
        self.now >= LENGTH_MS + 5_000
    }

    fn run(mut self) -> Self {
        while self.now < LENGTH_MS + SETTLE_MS {
            if !self.is_healing() {
                self.disturb();
            }
            self.land();
            for i in 0..HOSTS {
                if self.hosts[i].paused_until <= self.now {
                    self.step(i);
                }
            }
            self.now += TICK_MS;
        }
        self
    }

    fn disturb(&mut self) {
        let until = self.now + self.rng.u64(1_000..30_000);
        let until = until.min(LENGTH_MS + 5_000);
        let i = self.rng.usize(0..HOSTS);
        match self.rng.u16(0..600) {
            0 => self.down_until = until,
            1 => self.hosts[i].paused_until = until,
            2 => self.hosts[i].cut_until = until,
            3 if self.is_bad => {
                let verdict = Verdict { fault: Fault::Failing, route: None };
                if self.end(i) == End::Open {
                    self.hosts[i].verdicts.add("m".into(), verdict);
                }
            }
            _ => {}
        }
    }

    /// Lets writes on their way take effect, if nothing came first.
    fn land(&mut self) {
        if self.down_until > self.now {
            return;
        }
        let now = self.now;
        let (due, rest) = self.writes.drain(..).partition(|w: &Write| w.lands <= now);
        self.writes = rest;
        for write in due {
            if write.base == self.store.0 {
                self.store = (write.base + 1, write.catalogue);
                let record = record(&self.store.1);
                self.history.push((record.revision, record.state.clone()));
            }
        }
    }

    fn step(&mut self, i: usize) {
        let is_reachable = self.hosts[i].cut_until <= self.now && self.down_until <= self.now;
        if is_reachable && self.rng.u8(0..4) == 0 {
            self.hosts[i].view = self.store.clone();
        }
        self.gossip(i);
        let end = self.end(i);
        let host = &mut self.hosts[i];
        if host.seen.last() != Some(&end) {
            host.seen.push(end);
        }
        if is_reachable && self.rng.u8(0..3) == 0 {
            self.act(i);
        }
    }

    fn gossip(&mut self, i: usize) {
        let j = self.rng.usize(0..HOSTS);
        let is_up = |h: &Host| h.cut_until <= self.now && h.paused_until <= self.now;
        if i == j || !is_up(&self.hosts[i]) || !is_up(&self.hosts[j]) {
            return;
        }
        let verdicts = self.hosts[j].verdicts.clone();
        self.hosts[i].verdicts.merge(&verdicts);
        if self.hosts[j].view.0 > self.hosts[i].view.0 {
            self.hosts[i].view = self.hosts[j].view.clone();
        }
    }

    /// Decides on the newest record and writes; the write may land late or its answer get lost.
    fn act(&mut self, i: usize) {
        let now = self.clock(i);
        let host = &self.hosts[i];
        let (base, catalogue) = self.store.clone();
        let entry = record(&catalogue);
        let Some(step) = moves::next_step(entry, now, &host.verdicts, &self.facts) else {
            return;
        };
        let catalogue = moves::apply_step(&catalogue, "m", entry.revision, &step, now).unwrap();
        let delay = if self.rng.u8(0..10) == 0 { self.rng.u64(0..20_000) } else { 0 };
        self.writes.push(Write { lands: self.now + delay, base, catalogue });
    }

    fn clock(&self, i: usize) -> SystemTime {
        at(self.now + self.hosts[i].skew_ms)
    }

    fn end(&self, i: usize) -> End {
        let host = &self.hosts[i];
        match moves::effective(record(&host.view.1), self.clock(i), &host.verdicts) {
            Effect::Pending | Effect::Open(..) => End::Open,
            Effect::Done => End::Done,
            Effect::Reversed(_) => End::Reversed,
        }
    }
}

/// Runs a property over fixed seeds.
fn for_all(property: fn(u64) -> bool) {
    let rng = Gen::from_size_and_seed(1 << 30, 20_261_204);
    QuickCheck::new().rng(rng).tests(400).quickcheck(property);
}

#[test]
fn every_move_ends_by_its_deadline() {
    fn property(seed: u64) -> bool {
        let mut world = World::new(seed);
        while world.now <= LENGTH_MS {
            world.disturb();
            world.land();
            for i in 0..HOSTS {
                if world.hosts[i].paused_until <= world.now {
                    world.step(i);
                }
            }
            world.now += TICK_MS;
        }
        // Whatever a host knows, and with no one to ask.
        (0..HOSTS).all(|i| world.end(i) != End::Open)
    }
    for_all(property);
}

#[test]
fn no_step_happens_twice_with_effect() {
    fn property(seed: u64) -> bool {
        let world = World::new(seed).run();
        let stage = |state: &MoveState| match state {
            MoveState::Open { stage, .. } => *stage,
            MoveState::Done { .. } | MoveState::Reversed { .. } => usize::MAX,
        };
        world.history.windows(2).all(|w| w[1].0 == w[0].0 + 1 && stage(&w[1].1) > stage(&w[0].1))
    }
    for_all(property);
}

#[test]
fn hosts_settle_on_the_same_end() {
    fn property(seed: u64) -> bool {
        let world = World::new(seed).run();
        let written = match record(&world.store.1).state {
            MoveState::Open { .. } => return false,
            MoveState::Done { .. } => End::Done,
            MoveState::Reversed { .. } => End::Reversed,
        };
        (0..HOSTS).all(|i| world.end(i) == written)
    }
    for_all(property);
}

#[test]
fn hosts_do_not_flap() {
    fn property(seed: u64) -> bool {
        let world = World::new(seed).run();
        world.hosts.iter().all(|host| {
            let ends: Vec<&End> = host.seen.iter().filter(|e| **e != End::Open).collect();
            let opened_again = host.seen.iter().skip(1).any(|e| *e == End::Open);
            // At most one correction, to what the record says.
            let corrected = ends.len() == 2 && *ends[0] == End::Reversed && *ends[1] == End::Done;
            !opened_again && (ends.len() == 1 || corrected)
        })
    }
    for_all(property);
}

#[test]
fn schedules_reach_every_end() {
    let mut rng = Rng::with_seed(1);
    let worlds: Vec<World> = (0..200).map(|_| World::new(rng.u64(..)).run()).collect();
    let count = |wanted: fn(&MoveState) -> bool| {
        worlds.iter().filter(|w| wanted(&record(&w.store.1).state)).count()
    };

    assert!(count(|s| matches!(s, MoveState::Done { .. })) > 40);
    assert!(count(|s| matches!(s, MoveState::Reversed { .. })) > 40);
}

#[test]
fn undisturbed_good_moves_are_done_before_the_deadline() {
    for goal in [shift(), drain("leith")] {
        let mut catalogue = started(goal, LENGTH_MS / 1000);
        let facts = Facts {
            in_force: true,
            trials: 9_000,
            successes: 9_000,
            suspicious: false,
            fresh: true,
        };
        let none = Verdicts::default();
        for now in (0..LENGTH_MS).step_by(100).map(at) {
            let entry = record(&catalogue);
            if let Some(step) = moves::next_step(entry, now, &none, &facts) {
                assert!(!matches!(step, Step::Reverse(_)));
                catalogue = moves::apply_step(&catalogue, "m", entry.revision, &step, now).unwrap();
            }
        }
        let ended = record(&catalogue).ended().unwrap();
        assert!(ended + Duration::from_secs(6) < record(&catalogue).deadline);
    }
}
