//! Invariants of the owner of a group under random load, faults and cancellations.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen};
use sapphirerack_catalogue::{Target, TargetState};
use sapphirerack_policy::{Action, Group, Job, Outcome, Tuning};

const SEEDS: u64 = 40;
const SIZE: usize = 400;
const EVENTS: usize = 3000;

#[derive(Clone, Copy, Debug)]
enum Event {
    Submit { timeout: u8 },
    Finish { pick: u8, outcome: u8 },
    Cancel { pick: u8 },
    Advance { time: u8 },
    SetSnapshots { target: u8, holds: bool },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        match u8::arbitrary(g) % 16 {
            0..6 => Self::Submit { timeout: u8::arbitrary(g) },
            6..12 => Self::Finish { pick: u8::arbitrary(g), outcome: u8::arbitrary(g) },
            12 => Self::Cancel { pick: u8::arbitrary(g) },
            13 => Self::SetSnapshots { target: u8::arbitrary(g) % 3, holds: bool::arbitrary(g) },
            _ => Self::Advance { time: u8::arbitrary(g) % 8 },
        }
    }
}

fn targets() -> Vec<Target> {
    let target = |i: u32| Target {
        name: format!("t{i}").into(),
        address: "127.0.0.1:1".parse().unwrap(),
        data_centre: "munich".into(),
        version: "v1".into(),
        slots: 2 + i,
        connections: 25,
        cold: 1,
        state: TargetState::Active,
    };
    (0..3).map(target).collect()
}

/// A group and the state of its targets and callers.
struct World {
    targets: Vec<Target>,
    group: Group,
    now: Instant,
    /// Requests that run at a target, as target and deadline by attempt.
    running: BTreeMap<u64, (String, Instant)>,
    deadlines: BTreeMap<u64, Instant>,
    replied: BTreeSet<u64>,
    cancelled: BTreeSet<u64>,
    tried: BTreeMap<u64, BTreeSet<String>>,
    extra: u32,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            targets: targets(),
            group: Group::new(&targets(), Tuning::default(), seed),
            now: Instant::now(),
            running: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            replied: BTreeSet::new(),
            cancelled: BTreeSet::new(),
            tried: BTreeMap::new(),
            extra: 0,
        }
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Submit { timeout } => {
                let id = self.deadlines.len() as u64;
                let deadline = self.now + Duration::from_millis(u64::from(timeout));
                self.deadlines.insert(id, deadline);
                self.group.submit(
                    self.now,
                    Job { id, snapshot: Some(1), deadline, single_attempt: false },
                );
            }
            Event::Finish { pick, outcome } => self.finish(pick, outcome),
            Event::Cancel { pick } if !self.deadlines.is_empty() => {
                let id = u64::from(pick) % self.deadlines.len() as u64;
                self.cancelled.insert(id);
                self.group.cancel(id);
            }
            Event::Cancel { .. } => {}
            Event::Advance { time } => self.now += Duration::from_millis(u64::from(time)),
            Event::SetSnapshots { target, holds } => {
                self.group
                    .set_snapshots(&format!("t{target}"), if holds { vec![1] } else { vec![2] });
            }
        }
        let now = self.now;
        self.running.retain(|_, (_, deadline)| *deadline > now);
        let actions = self.group.step(self.now, &mut |_, _| true);
        actions.into_iter().for_each(|a| self.perform(a));
        self.check();
    }

    fn finish(&mut self, pick: u8, outcome: u8) {
        let Some(attempt) = self.running.keys().nth(usize::from(pick) % 16).copied() else {
            return;
        };
        let outcome = match outcome {
            0 => Outcome::Failed,
            1 => Outcome::NoSnapshot,
            2..8 => Outcome::Cancelled,
            8 => Outcome::Late,
            9..12 => Outcome::Lost,
            _ => Outcome::Answered,
        };
        if outcome != Outcome::Lost {
            self.running.remove(&attempt);
        }
        self.group.finished(self.now, attempt, outcome);
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Dispatch { attempt, job, target, extra } => {
                let deadline = self.deadlines[&job];
                assert!(deadline > self.now, "dispatched after its deadline");
                assert!(!self.cancelled.contains(&job), "dispatched after its cancellation");
                assert!(!self.replied.contains(&job), "dispatched after its reply");
                let is_new = self.tried.entry(job).or_default().insert(target.to_string());
                assert!(is_new, "sent twice to one target");
                self.running.insert(attempt, (target.to_string(), deadline));
                let most = self.group.level(&target) as usize;
                assert!(self.live(&target) <= most, "concurrency limit of {target} exceeded");
                self.extra += u32::from(extra);
            }
            Action::Cancel { attempt, target } => {
                if let Some((at, _)) = self.running.get(&attempt) {
                    assert_eq!(*at, *target);
                }
            }
            Action::Reply { job, result, .. } => {
                assert!(!self.cancelled.contains(&job), "reply after its cancellation");
                assert!(self.replied.insert(job), "second reply to a job");
                if result == Err(sapphirerack_policy::Denial::Overloaded) {
                    assert!(
                        !self.tried.contains_key(&job),
                        "a dispatched job was reported as not dispatched"
                    );
                }
            }
        }
    }

    fn check(&self) {
        for target in &self.targets {
            let most = (target.slots + 1) as usize;
            assert!(
                self.live(&target.name) <= most,
                "slots and waiting requests of {} exceeded",
                target.name
            );
        }
        let jobs = self.deadlines.len() as f64;
        let most = jobs * 0.05 + Tuning::default().burst;
        assert!(f64::from(self.extra) <= most, "{} hedges and retries for {jobs} jobs", self.extra);
    }

    /// Requests that may run at a target.
    fn live(&self, target: &str) -> usize {
        self.running
            .values()
            .filter(|(name, deadline)| name == target && *deadline > self.now)
            .count()
    }

    /// Checks that every job has a reply or was cancelled once all deadlines passed.
    fn assert_all_completed(mut self) {
        self.now += Duration::from_secs(1);
        let actions = self.group.step(self.now, &mut |_, _| true);
        actions.into_iter().for_each(|a| self.perform(a));
        let is_completed = |id: &u64| self.replied.contains(id) || self.cancelled.contains(id);
        assert!(self.deadlines.keys().all(is_completed), "a job got no reply");
    }
}

#[test]
fn limits_budget_and_answers_hold() {
    for seed in 0..SEEDS {
        let mut random = Gen::from_size_and_seed(SIZE, seed);
        let mut world = World::new(seed);

        for _ in 0..EVENTS {
            world.apply(Event::arbitrary(&mut random));
        }

        world.assert_all_completed();
    }
}
