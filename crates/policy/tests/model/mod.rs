//! Exhaustive search over the interleavings of two owners of one partition.
//!
//! In every state each possible next step is tried: a call arrives, a message arrives, is lost or
//! delayed, the answer to a write is lost after the write took effect, a host crashes, time passes
//! while a host is paused. The hosts run the shipped state machine.

use std::collections::HashSet;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use sapphirerack_policy::booking::{
    Action, AttemptOutcome, BodyHash, BookingOutcome, ClaimRequest, Event, Found, KeyId, Ledger,
    LedgerLimits, Progress, Runner, Segment, Written,
};

const CALL_TIME: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_secs(20);
const HOSTS: usize = 2;

/// Number of writes to one slot above which hosts are assumed to write forever.
const WRITE_LIMIT: u64 = 20;

/// The shipped protocol, or one with a deliberate fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Variant {
    Shipped,
    /// Dispatches when the claim is sent to the store, before it is written.
    DispatchBeforeClaim,
    /// Resends a request that a target did not answer.
    RetryAfterTimeout,
    /// Treats an open claim as free once its deadline has passed.
    LeaseAfterPause,
    /// Treats a write without an answer as not executed.
    LostWriteIsNotRun,
}

/// Variant, shape of the log, limit of calls, and faults that may still occur.
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
    /// A delayed write whose sender has timed out or crashed.
    LateWrite {
        slot: u64,
        expected: u64,
        segment: Segment,
    },
    /// A dispatch that was decided, but whose deadline has not been checked yet.
    Dispatch {
        host: usize,
        attempt: u32,
        deadline: Duration,
    },
    /// A request on its way to the target, with the deadline checked.
    Send {
        host: usize,
        attempt: u32,
    },
    /// A delayed request to the target whose sender has timed out or crashed.
    LateSend {
        attempt: u32,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Call {
    host: usize,
    deadline: Duration,
    outcome: Option<BookingOutcome>,
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
pub struct SearchResult {
    pub states: usize,
    pub violation: Option<String>,
}

/// Searches all interleavings of a case.
pub fn search(case: Case) -> SearchResult {
    let mut seen = HashSet::new();
    let mut open = vec![World::new(case)];
    while let Some(world) = open.pop() {
        if let Some(violation) = world.violation() {
            return SearchResult { states: seen.len(), violation: Some(violation) };
        }
        if seen.insert(fingerprint(&world)) {
            world.successors(&mut open);
        }
    }
    SearchResult { states: seen.len(), violation: None }
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
            return Some(format!(
                "the request ran {} times: attempts {:?}",
                self.executed.len(),
                self.executed
            ));
        }
        if self.store.iter().any(|(version, _)| *version > WRITE_LIMIT) {
            return Some("hosts write forever".into());
        }
        if self.is_stuck() {
            return Some("a call waits although nothing is outstanding".into());
        }
        let outcomes = self.calls.iter().filter_map(|c| c.outcome.as_ref());
        for outcome in outcomes {
            let is_false = match outcome {
                BookingOutcome::NotRun { attempt } => self.executed.iter().any(|e| e <= attempt),
                BookingOutcome::Answer(a) => !self.executed.iter().any(|e| answer(*e) == *a),
                BookingOutcome::OtherBody => true,
                BookingOutcome::InProgress | BookingOutcome::Unknown => false,
            };
            if is_false {
                return Some(format!(
                    "outcome {outcome:?} although attempts {:?} ran",
                    self.executed
                ));
            }
        }
        None
    }

    /// Whether a call still waits although its deadline has passed and nothing is outstanding.
    fn is_stuck(&self) -> bool {
        let is_over = self.ops.is_empty() && self.case.pauses == 0 && self.ticked == [true; HOSTS];
        let waits = |c: &Call| c.outcome.is_none() && c.deadline <= self.now;
        self.case.variant == Variant::Shipped && is_over && self.calls.iter().any(waits)
    }

    fn successors(&self, next: &mut Vec<Self>) {
        for host in 0..HOSTS {
            self.call(host, next);
            self.crash(host, next);
            self.tick(host, next);
        }
        self.advance_time(next);
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
        let refused = self.calls.iter().filter_map(|c| match &c.outcome {
            Some(BookingOutcome::NotRun { attempt }) => Some(attempt + 1),
            _ => None,
        });
        let mut attempts: Vec<u32> = refused.chain([1]).collect();
        attempts.sort_unstable();
        attempts.dedup();
        for attempt in attempts {
            let mut world = self.clone();
            let call = world.calls.len() as u64;
            let deadline = world.now + CALL_TIME;
            world.calls.push(Call { host, deadline, outcome: None });
            let body = BodyHash::new("p", b"b");
            world.drive(
                host,
                Event::Request(ClaimRequest { call, key: key(), attempt, body, deadline }),
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
            call.outcome.get_or_insert(BookingOutcome::Unknown);
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

    fn advance_time(&self, next: &mut Vec<Self>) {
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
                    world.drive(host, Event::Ended(key(), AttemptOutcome::NotRun));
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
        let entry = &mut self.store[slot as usize];
        if entry.0 != expected {
            return Written::Conflict;
        }
        *entry = (expected + 1, segment);
        Written::Stored(expected + 1)
    }

    fn send(self, host: usize, attempt: u32, next: &mut Vec<Self>) {
        if self.case.target_faults > 0 {
            let mut refused = self.clone();
            refused.case.target_faults -= 1;
            refused.drive(host, Event::Ended(key(), AttemptOutcome::NotRun));
            next.push(refused);

            let mut late = self.clone();
            late.case.target_faults -= 1;
            late.ops.push(Op::LateSend { attempt });
            late.on_no_answer(host, attempt);
            next.push(late);

            let mut lost = self.clone();
            lost.case.target_faults -= 1;
            lost.executed.push(attempt);
            lost.on_no_answer(host, attempt);
            next.push(lost);
        }
        let mut world = self;
        world.executed.push(attempt);
        world.drive(host, Event::Ended(key(), AttemptOutcome::Answer(answer(attempt))));
        next.push(world);
    }

    fn on_no_answer(&mut self, host: usize, attempt: u32) {
        if self.case.variant == Variant::RetryAfterTimeout {
            self.ops.push(Op::Send { host, attempt });
        } else {
            self.drive(host, Event::Ended(key(), AttemptOutcome::Unknown));
        }
    }

    fn drive(&mut self, host: usize, event: Event) {
        let event = self.mutate_event(host, event);
        for action in self.hosts[host].handle(self.now, event) {
            match action {
                Action::Read(slot) => self.ops.push(Op::Read { host, slot }),
                Action::Write { slot, expected, segment } => {
                    self.on_write_sent(host, &segment);
                    self.ops.push(Op::Write { host, slot, expected, segment });
                }
                Action::Dispatch { attempt, deadline, .. } => {
                    if self.case.variant != Variant::DispatchBeforeClaim {
                        self.ops.push(Op::Dispatch { host, attempt, deadline });
                    }
                }
                Action::Reply(call, outcome) => {
                    self.calls[call as usize].outcome.get_or_insert(outcome);
                }
            }
        }
        // The order of sending does not affect the possible next steps; a fixed order merges equal
        // states.
        self.ops.sort_by_cached_key(fingerprint);
    }

    fn on_write_sent(&mut self, host: usize, segment: &Segment) {
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

    fn mutate_event(&mut self, host: usize, event: Event) -> Event {
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
                    call.outcome.get_or_insert(BookingOutcome::NotRun { attempt: 1 });
                }
                Event::Written(Written::Unknown)
            }
            (_, event) => event,
        }
    }
}

/// What remains of an operation after its host crashed.
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
