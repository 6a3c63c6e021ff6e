//! Exhaustive search over the interleavings of two owners of one partition.
//!
//! Every step that the world can take next is tried: a call comes, a message arrives, is lost or
//! arrives late, the store's answer is lost after the effect, a host crashes, time passes while a
//! host sleeps. The hosts run the shipped state machine.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use sapphirerack_policy::booking::{
    Action, BodyHash, BookingRequest, Ended, Event, Found, KeyId, Ledger, LedgerLimits, Progress,
    Runner, Segment, Verdict, Written,
};

const CALL_TIME: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_secs(20);
const HOSTS: usize = 2;

/// Writes of one slot beyond which a host is taken to write without end.
const WRITE_LIMIT: u64 = 20;

/// A protocol that is broken on purpose, or the shipped one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Variant {
    Shipped,
    /// Dispatches as soon as the claim is sent to the store.
    DispatchBeforeClaim,
    /// Sends again what a target did not answer.
    RetryAfterTimeout,
    /// Takes an open claim for free once its deadline has passed.
    LeaseAfterPause,
    /// Takes a write without an answer for one that did not happen.
    LostWriteIsNotRun,
}

/// Faults that may still come, and the shape of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Case {
    pub variant: Variant,
    pub slots: u64,
    pub segment: usize,
    pub calls: usize,
    pub crashes: u32,
    pub store_faults: u32,
    pub target_faults: u32,
    pub pauses: u32,
}

impl Case {
    pub fn new(variant: Variant) -> Self {
        let (slots, segment) = (2, 1 << 10);
        Self {
            variant,
            slots,
            segment,
            calls: 3,
            crashes: 1,
            store_faults: 1,
            target_faults: 1,
            pauses: 1,
        }
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Op {
    Read {
        host: usize,
        slot: u64,
    },
    Write {
        host: usize,
        slot: u64,
        expected: u64,
        segment: Segment,
    },
    /// A write whose sender has given it up.
    LateWrite {
        slot: u64,
        expected: u64,
        segment: Segment,
    },
    /// Decided, but the deadline has not been checked yet.
    Dispatch {
        host: usize,
        attempt: u32,
        deadline: Duration,
    },
    /// Checked, on its way to the target.
    Send {
        host: usize,
        attempt: u32,
    },
    /// On its way to the target; its sender has given it up or crashed.
    LateSend {
        attempt: u32,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Call {
    host: usize,
    deadline: Duration,
    verdict: Option<Verdict>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    case: Case,
    now: Duration,
    runner: Runner,
    store: Vec<(u64, Segment)>,
    hosts: Vec<Ledger>,
    runners: Vec<Runner>,
    ticked: Vec<bool>,
    ops: Vec<Op>,
    calls: Vec<Call>,
    executed: Vec<u32>,
}

/// Result of a search.
#[derive(Debug)]
pub struct Searched {
    pub states: usize,
    pub violation: Option<String>,
}

/// Searches every interleaving of the case.
pub fn search(case: Case) -> Searched {
    let mut seen = HashSet::new();
    let mut open = vec![World::new(case)];
    while let Some(world) = open.pop() {
        if let Some(violation) = world.violation() {
            return Searched { states: seen.len(), violation: Some(violation) };
        }
        if seen.insert(fingerprint(&world)) {
            world.successors(&mut open);
        }
    }
    Searched { states: seen.len(), violation: None }
}

fn fingerprint(value: &impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

fn key() -> KeyId {
    KeyId::new("desk", "k")
}

fn answer(attempt: u32) -> Vec<u8> {
    vec![attempt as u8]
}

impl World {
    fn new(case: Case) -> Self {
        let runners: Vec<Runner> = (0..HOSTS as Runner).collect();
        Self {
            now: Duration::from_secs(1),
            runner: HOSTS as Runner,
            store: vec![(0, Segment::default()); case.slots as usize],
            hosts: runners.iter().map(|r| ledger(&case, *r)).collect(),
            runners,
            ticked: vec![true; HOSTS],
            ops: Vec::new(),
            calls: Vec::new(),
            executed: Vec::new(),
            case,
        }
    }

    fn violation(&self) -> Option<String> {
        if self.executed.len() > 1 {
            return Some(format!("ran {} times: {:?}", self.executed.len(), self.executed));
        }
        if self.store.iter().any(|(version, _)| *version > WRITE_LIMIT) {
            return Some("writes without end".into());
        }
        if self.is_stuck() {
            return Some("a call waits for nothing".into());
        }
        let verdicts = self.calls.iter().filter_map(|c| c.verdict.as_ref());
        for verdict in verdicts {
            let is_false = match verdict {
                Verdict::NotRun { attempt } => self.executed.iter().any(|e| e <= attempt),
                Verdict::Answer(a) => !self.executed.iter().any(|e| answer(*e) == *a),
                Verdict::OtherBody => true,
                Verdict::InProgress | Verdict::Unknown => false,
            };
            if is_false {
                return Some(format!("{verdict:?} though {:?} ran", self.executed));
            }
        }
        None
    }

    /// Whether a call still waits though its time is over and nothing is on its way.
    fn is_stuck(&self) -> bool {
        let is_over = self.ops.is_empty() && self.case.pauses == 0 && self.ticked == [true; HOSTS];
        let waits = |c: &Call| c.verdict.is_none() && c.deadline <= self.now;
        self.case.variant == Variant::Shipped && is_over && self.calls.iter().any(waits)
    }

    fn successors(&self, next: &mut Vec<Self>) {
        for host in 0..HOSTS {
            self.call(host, next);
            self.crash(host, next);
            self.tick(host, next);
        }
        self.pass(next);
        for index in 0..self.ops.len() {
            let mut world = self.clone();
            let op = world.ops.remove(index);
            world.step(op, next);
        }
    }

    fn call(&self, host: usize, next: &mut Vec<Self>) {
        if self.calls.len() == self.case.calls {
            return;
        }
        let refused = self.calls.iter().filter_map(|c| match &c.verdict {
            Some(Verdict::NotRun { attempt }) => Some(attempt + 1),
            _ => None,
        });
        let mut attempts: Vec<u32> = refused.chain([1]).collect();
        attempts.sort_unstable();
        attempts.dedup();
        for attempt in attempts {
            let mut world = self.clone();
            let call = world.calls.len() as u64;
            let deadline = world.now + CALL_TIME;
            world.calls.push(Call { host, deadline, verdict: None });
            let body = BodyHash::new("p", b"b");
            world.drive(
                host,
                Event::Request(BookingRequest { call, key: key(), attempt, body, deadline }),
            );
            next.push(world);
        }
    }

    fn crash(&self, host: usize, next: &mut Vec<Self>) {
        if self.case.crashes == 0 || self.calls.is_empty() {
            return;
        }
        let mut world = self.clone();
        world.case.crashes -= 1;
        world.hosts[host] = ledger(&world.case, world.runner);
        world.runners[host] = world.runner;
        world.runner += 1;
        for call in world.calls.iter_mut().filter(|c| c.host == host) {
            call.verdict.get_or_insert(Verdict::Unknown);
        }
        let ops = std::mem::take(&mut world.ops);
        world.ops = ops.into_iter().filter_map(|op| orphan(op, host)).collect();
        next.push(world);
    }

    fn tick(&self, host: usize, next: &mut Vec<Self>) {
        if !self.ticked[host] {
            let mut world = self.clone();
            world.ticked[host] = true;
            world.drive(host, Event::Tick);
            next.push(world);
        }
    }

    fn pass(&self, next: &mut Vec<Self>) {
        if self.case.pauses > 0 && !self.calls.is_empty() {
            let mut world = self.clone();
            world.case.pauses -= 1;
            world.now += STEP;
            world.ticked.fill(false);
            next.push(world);
        }
    }

    fn step(self, op: Op, next: &mut Vec<Self>) {
        match op {
            Op::Read { host, slot } => self.read(host, slot, next),
            Op::Write { host, slot, expected, segment } => {
                self.write(host, slot, expected, segment, next);
            }
            Op::LateWrite { slot, expected, segment } => {
                next.push(self.clone());
                let mut world = self;
                world.store_write(slot, expected, segment);
                next.push(world);
            }
            Op::Dispatch { host, attempt, deadline } => {
                let mut world = self;
                if world.now < deadline {
                    world.ops.push(Op::Send { host, attempt });
                } else {
                    world.drive(host, Event::Ended(key(), Ended::NotRun));
                }
                next.push(world);
            }
            Op::Send { host, attempt } => self.send(host, attempt, next),
            Op::LateSend { attempt } => {
                next.push(self.clone());
                let mut world = self;
                world.executed.push(attempt);
                next.push(world);
            }
        }
    }

    fn read(self, host: usize, slot: u64, next: &mut Vec<Self>) {
        if self.case.store_faults > 0 {
            let mut world = self.clone();
            world.case.store_faults -= 1;
            world.drive(host, Event::Read(slot, Found::Failed));
            next.push(world);
        }
        let mut world = self;
        let (version, segment) = world.store[slot as usize].clone();
        let found = if version == 0 { Found::Missing } else { Found::Value(version, segment) };
        world.drive(host, Event::Read(slot, found));
        next.push(world);
    }

    fn write(self, host: usize, slot: u64, expected: u64, segment: Segment, next: &mut Vec<Self>) {
        if self.case.store_faults > 0 {
            let mut late = self.clone();
            late.case.store_faults -= 1;
            late.ops.push(Op::LateWrite { slot, expected, segment: segment.clone() });
            late.drive(host, Event::Written(Written::Unknown));
            next.push(late);

            let mut lost = self.clone();
            lost.case.store_faults -= 1;
            lost.store_write(slot, expected, segment.clone());
            lost.drive(host, Event::Written(Written::Unknown));
            next.push(lost);
        }
        let mut world = self;
        let written = world.store_write(slot, expected, segment);
        world.drive(host, Event::Written(written));
        next.push(world);
    }

    fn store_write(&mut self, slot: u64, expected: u64, segment: Segment) -> Written {
        let held = &mut self.store[slot as usize];
        if held.0 != expected {
            return Written::Conflict;
        }
        *held = (expected + 1, segment);
        Written::Stored(expected + 1)
    }

    fn send(self, host: usize, attempt: u32, next: &mut Vec<Self>) {
        if self.case.target_faults > 0 {
            let mut refused = self.clone();
            refused.case.target_faults -= 1;
            refused.drive(host, Event::Ended(key(), Ended::NotRun));
            next.push(refused);

            let mut late = self.clone();
            late.case.target_faults -= 1;
            late.ops.push(Op::LateSend { attempt });
            late.unanswered(host, attempt);
            next.push(late);

            let mut lost = self.clone();
            lost.case.target_faults -= 1;
            lost.executed.push(attempt);
            lost.unanswered(host, attempt);
            next.push(lost);
        }
        let mut world = self;
        world.executed.push(attempt);
        world.drive(host, Event::Ended(key(), Ended::Answer(answer(attempt))));
        next.push(world);
    }

    fn unanswered(&mut self, host: usize, attempt: u32) {
        if self.case.variant == Variant::RetryAfterTimeout {
            self.ops.push(Op::Send { host, attempt });
        } else {
            self.drive(host, Event::Ended(key(), Ended::Unknown));
        }
    }

    fn drive(&mut self, host: usize, event: Event) {
        let event = self.twist(host, event);
        for action in self.hosts[host].handle(self.now, event) {
            match action {
                Action::Read(slot) => self.ops.push(Op::Read { host, slot }),
                Action::Write { slot, expected, segment } => {
                    self.write_begins(host, &segment);
                    self.ops.push(Op::Write { host, slot, expected, segment });
                }
                Action::Dispatch { attempt, deadline, .. } => {
                    if self.case.variant != Variant::DispatchBeforeClaim {
                        self.ops.push(Op::Dispatch { host, attempt, deadline });
                    }
                }
                Action::Reply(call, verdict) => {
                    self.calls[call as usize].verdict.get_or_insert(verdict);
                }
            }
        }
        // The order in which messages were sent does not matter to what may come next.
        self.ops.sort_by_cached_key(fingerprint);
    }

    fn write_begins(&mut self, host: usize, segment: &Segment) {
        if self.case.variant != Variant::DispatchBeforeClaim {
            return;
        }
        for record in &segment.records {
            if let Progress::Open { runner, deadline } = record.progress
                && runner == self.runners[host]
            {
                self.ops.push(Op::Dispatch { host, attempt: record.attempt, deadline });
            }
        }
    }

    fn twist(&mut self, host: usize, event: Event) -> Event {
        match (self.case.variant, event) {
            (Variant::LeaseAfterPause, Event::Read(slot, Found::Value(version, mut segment))) => {
                let now = self.now;
                segment.records.retain(|r| match r.progress {
                    Progress::Open { deadline, .. } => now < deadline,
                    _ => true,
                });
                Event::Read(slot, Found::Value(version, segment))
            }
            (Variant::LostWriteIsNotRun, Event::Written(Written::Unknown)) => {
                for call in self.calls.iter_mut().filter(|c| c.host == host) {
                    call.verdict.get_or_insert(Verdict::NotRun { attempt: 1 });
                }
                Event::Written(Written::Unknown)
            }
            (_, event) => event,
        }
    }
}

/// What is left of an operation when its host crashes.
fn orphan(op: Op, crashed: usize) -> Option<Op> {
    match op {
        Op::Read { host, .. } | Op::Dispatch { host, .. } if host == crashed => None,
        Op::Write { host, slot, expected, segment } if host == crashed => {
            Some(Op::LateWrite { slot, expected, segment })
        }
        Op::Send { host, attempt } if host == crashed => Some(Op::LateSend { attempt }),
        other => Some(other),
    }
}

fn ledger(case: &Case, runner: Runner) -> Ledger {
    let limits = LedgerLimits {
        slots: case.slots,
        segment_bytes: case.segment,
        retention: Duration::from_secs(3_600),
        write_interval: Duration::ZERO,
        retry_delay: Duration::ZERO,
        max_active: 8,
    };
    Ledger::new(runner, limits)
}
