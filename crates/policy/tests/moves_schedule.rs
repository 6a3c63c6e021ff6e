//! Moves under random schedules: clock skew, pauses, partitions, store outages, delayed and lost
//! writes, concurrent hosts.

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

/// Time after the deadline within which all hosts must converge; faults end 5 s after the deadline.
const CONVERGE_MS: u64 = 20_000;

/// State of the move in the view of a host.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Status {
    Open,
    Done,
    Reversed,
}

struct Host {
    skew_ms: u64,
    view: (u64, Catalogue),
    verdicts: Verdicts,
    paused_until: u64,
    partitioned_until: u64,
    seen: Vec<Status>,
}

/// A write in flight; it takes effect only on the version that it is based on.
struct Write {
    applies_at: u64,
    base: u64,
    catalogue: Catalogue,
}

struct Simulation {
    rng: Rng,
    now: u64,
    store: (u64, Catalogue),
    outage_until: u64,
    writes: Vec<Write>,
    hosts: Vec<Host>,
    facts: Facts,
    is_bad: bool,
    /// Revision and stage of the record after each write that took effect.
    history: Vec<(u64, MoveState)>,
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut rng = Rng::with_seed(seed);
        let goal = if rng.bool() { shift() } else { drain("leith") };
        let store = (1, started(goal, LENGTH_MS / 1000));
        let host = |rng: &mut Rng| Host {
            skew_ms: rng.u64(0..=u64::try_from(MAX_CLOCK_SKEW.as_millis()).unwrap()),
            view: store.clone(),
            verdicts: Verdicts::default(),
            paused_until: 0,
            partitioned_until: 0,
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
        let (now, outage_until, writes) = (0, 0, Vec::new());
        Self { rng, now, store, outage_until, writes, hosts, facts, is_bad, history }
    }

    fn faults_ended(&self) -> bool {
        self.now >= LENGTH_MS + 5_000
    }

    fn run(mut self) -> Self {
        while self.now < LENGTH_MS + CONVERGE_MS {
            if !self.faults_ended() {
                self.inject_fault();
            }
            self.apply_writes();
            for i in 0..HOSTS {
                if self.hosts[i].paused_until <= self.now {
                    self.step(i);
                }
            }
            self.now += TICK_MS;
        }
        self
    }

    fn inject_fault(&mut self) {
        let until = self.now + self.rng.u64(1_000..30_000);
        let until = until.min(LENGTH_MS + 5_000);
        let i = self.rng.usize(0..HOSTS);
        match self.rng.u16(0..600) {
            0 => self.outage_until = until,
            1 => self.hosts[i].paused_until = until,
            2 => self.hosts[i].partitioned_until = until,
            3 if self.is_bad => {
                let verdict = Verdict { fault: Fault::Failing, route: None };
                if self.status(i) == Status::Open {
                    self.hosts[i].verdicts.add("m".into(), verdict);
                }
            }
            _ => {}
        }
    }

    /// Applies the writes that are due, if no other write came first.
    fn apply_writes(&mut self) {
        if self.outage_until > self.now {
            return;
        }
        let now = self.now;
        let (due, rest) = self.writes.drain(..).partition(|w: &Write| w.applies_at <= now);
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
        let is_reachable =
            self.hosts[i].partitioned_until <= self.now && self.outage_until <= self.now;
        if is_reachable && self.rng.u8(0..4) == 0 {
            self.hosts[i].view = self.store.clone();
        }
        self.gossip(i);
        let status = self.status(i);
        let host = &mut self.hosts[i];
        if host.seen.last() != Some(&status) {
            host.seen.push(status);
        }
        if is_reachable && self.rng.u8(0..3) == 0 {
            self.write_step(i);
        }
    }

    fn gossip(&mut self, i: usize) {
        let j = self.rng.usize(0..HOSTS);
        let is_up = |h: &Host| h.partitioned_until <= self.now && h.paused_until <= self.now;
        if i == j || !is_up(&self.hosts[i]) || !is_up(&self.hosts[j]) {
            return;
        }
        let verdicts = self.hosts[j].verdicts.clone();
        self.hosts[i].verdicts.merge(&verdicts);
        if self.hosts[j].view.0 > self.hosts[i].view.0 {
            self.hosts[i].view = self.hosts[j].view.clone();
        }
    }

    /// Decides on the newest record and writes the step; the write may be delayed.
    fn write_step(&mut self, i: usize) {
        let now = self.clock(i);
        let host = &self.hosts[i];
        let (base, catalogue) = self.store.clone();
        let entry = record(&catalogue);
        let Some(step) = moves::next_step(entry, now, &host.verdicts, &self.facts) else {
            return;
        };
        let catalogue = moves::apply_step(&catalogue, "m", entry.revision, &step, now).unwrap();
        let delay = if self.rng.u8(0..10) == 0 { self.rng.u64(0..20_000) } else { 0 };
        self.writes.push(Write { applies_at: self.now + delay, base, catalogue });
    }

    fn clock(&self, i: usize) -> SystemTime {
        at(self.now + self.hosts[i].skew_ms)
    }

    fn status(&self, i: usize) -> Status {
        let host = &self.hosts[i];
        match moves::effective(record(&host.view.1), self.clock(i), &host.verdicts) {
            Effect::Pending | Effect::Open(..) => Status::Open,
            Effect::Done => Status::Done,
            Effect::Reversed(_) => Status::Reversed,
        }
    }
}

/// Checks a property on fixed seeds.
fn for_all(property: fn(u64) -> bool) {
    let rng = Gen::from_size_and_seed(1 << 30, 20_261_204);
    QuickCheck::new().rng(rng).tests(400).quickcheck(property);
}

#[test]
fn every_move_ends_by_its_deadline() {
    fn property(seed: u64) -> bool {
        let mut sim = Simulation::new(seed);
        while sim.now <= LENGTH_MS {
            sim.inject_fault();
            sim.apply_writes();
            for i in 0..HOSTS {
                if sim.hosts[i].paused_until <= sim.now {
                    sim.step(i);
                }
            }
            sim.now += TICK_MS;
        }
        // Holds whatever a host knows, without any coordination.
        (0..HOSTS).all(|i| sim.status(i) != Status::Open)
    }
    for_all(property);
}

#[test]
fn no_step_takes_effect_twice() {
    fn property(seed: u64) -> bool {
        let sim = Simulation::new(seed).run();
        let stage = |state: &MoveState| match state {
            MoveState::Open { stage, .. } => *stage,
            MoveState::Done { .. } | MoveState::Reversed { .. } => usize::MAX,
        };
        sim.history.windows(2).all(|w| w[1].0 == w[0].0 + 1 && stage(&w[1].1) > stage(&w[0].1))
    }
    for_all(property);
}

#[test]
fn hosts_converge_to_the_written_state() {
    fn property(seed: u64) -> bool {
        let sim = Simulation::new(seed).run();
        let written = match record(&sim.store.1).state {
            MoveState::Open { .. } => return false,
            MoveState::Done { .. } => Status::Done,
            MoveState::Reversed { .. } => Status::Reversed,
        };
        (0..HOSTS).all(|i| sim.status(i) == written)
    }
    for_all(property);
}

#[test]
fn hosts_do_not_flap() {
    fn property(seed: u64) -> bool {
        let sim = Simulation::new(seed).run();
        sim.hosts.iter().all(|host| {
            let ended: Vec<&Status> = host.seen.iter().filter(|e| **e != Status::Open).collect();
            let reopened = host.seen.iter().skip(1).any(|e| *e == Status::Open);
            // At most one correction, to the state in the record.
            let corrected =
                ended.len() == 2 && *ended[0] == Status::Reversed && *ended[1] == Status::Done;
            !reopened && (ended.len() == 1 || corrected)
        })
    }
    for_all(property);
}

#[test]
fn schedules_reach_both_final_states() {
    let mut rng = Rng::with_seed(1);
    let sims: Vec<Simulation> = (0..200).map(|_| Simulation::new(rng.u64(..)).run()).collect();
    let count = |wanted: fn(&MoveState) -> bool| {
        sims.iter().filter(|w| wanted(&record(&w.store.1).state)).count()
    };

    assert!(count(|s| matches!(s, MoveState::Done { .. })) > 40);
    assert!(count(|s| matches!(s, MoveState::Reversed { .. })) > 40);
}

#[test]
fn moves_without_faults_are_done_before_the_deadline() {
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
