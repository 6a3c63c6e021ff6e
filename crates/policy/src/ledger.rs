//! State machine of the owner of one booking partition: events in, actions out.
//!
//! The machine keeps an index of the partition's log, claims keys in the log, and returns the
//! dispatches that are due. It replies "not run" only for an attempt that is closed in the log. A
//! claim stays open for ever if a target may have run the request but no answer of it is known.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::booking::{AttemptOutcome, BookingOutcome, KeyId, Progress, Record, Runner, Segment};
use crate::event::{Action, ClaimRequest, Event, Found, LedgerLimits, Written};
use crate::log_copy::LogCopy;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// The claim is not yet known to be durable; `sent` if a write may have included it.
    Claiming { sent: bool },
    /// The request was dispatched.
    Running,
    /// The record that closes the attempt as not run is not yet known to be durable.
    Closing,
}

/// A booking that this incarnation handles.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ActiveBooking {
    claim: Record,
    deadline: Duration,
    first_call: u64,
    stage: Stage,
    calls: Vec<(u64, Duration)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// The stale slots of the log must be read.
    Reading,
    /// The index is up to date with the last read or write.
    Ready,
    /// A write to the slot is in flight.
    Writing(u64, Segment),
}

/// The owner of one partition.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    runner: Runner,
    limits: LedgerLimits,
    state: State,
    log: LogCopy,
    reads: BTreeSet<u64>,
    active: BTreeMap<KeyId, ActiveBooking>,
    closing: BTreeMap<KeyId, Record>,
    requests: Vec<ClaimRequest>,
    refreshed: bool,
    next_read: Duration,
    next_refresh: Duration,
    next_write: Duration,
}

/// What to do with a request.
enum Decision {
    Reply(BookingOutcome),
    Wait,
    /// Another incarnation holds the key; the log may have its outcome by now.
    Refresh,
}

impl Ledger {
    /// Creates an owner that has read nothing of the log.
    pub fn new(runner: Runner, limits: LedgerLimits) -> Self {
        Self {
            runner,
            state: State::Reading,
            log: LogCopy::new(limits.slots),
            reads: BTreeSet::new(),
            active: BTreeMap::new(),
            closing: BTreeMap::new(),
            requests: Vec::new(),
            refreshed: false,
            next_read: Duration::ZERO,
            next_refresh: Duration::ZERO,
            next_write: Duration::ZERO,
            limits,
        }
    }

    /// Whether no work is pending, so that the owner can be dropped.
    pub fn is_idle(&self) -> bool {
        self.active.is_empty() && self.closing.is_empty() && self.requests.is_empty()
    }

    /// Number of keys in the index.
    pub fn len(&self) -> usize {
        self.log.len()
    }

    /// Whether the index has no keys.
    pub fn is_empty(&self) -> bool {
        self.log.len() == 0
    }

    /// Handles an event at the time `now` since the Unix epoch.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Request(request) => self.requests.push(request),
            Event::Read(slot, found) => self.read(now, slot, found, &mut actions),
            Event::Written(written) => self.written(now, written, &mut actions),
            Event::Ended(key, ended) => self.ended(key, ended, &mut actions),
            Event::Tick => self.expire(now, &mut actions),
        }
        self.advance(now, &mut actions);
        actions
    }

    fn advance(&mut self, now: Duration, actions: &mut Vec<Action>) {
        match self.state {
            State::Reading => self.read_stale(now, actions),
            State::Ready => {
                self.decide_all(now, actions);
                match self.state {
                    State::Ready => self.write(now, actions),
                    _ => self.read_stale(now, actions),
                }
            }
            State::Writing(..) => {}
        }
    }

    fn read_stale(&mut self, now: Duration, actions: &mut Vec<Action>) {
        if now < self.next_read || self.requests.is_empty() && self.is_idle() {
            return;
        }
        let wanted: Vec<u64> = self.log.stale.difference(&self.reads).copied().collect();
        self.reads.extend(&wanted);
        actions.extend(wanted.into_iter().map(Action::Read));
    }

    fn read(&mut self, now: Duration, slot: u64, found: Found, actions: &mut Vec<Action>) {
        self.reads.remove(&slot);
        match found {
            Found::Failed => {
                self.next_read = now + self.limits.retry_delay;
                return;
            }
            Found::Missing => {}
            Found::Value(version, segment) => self.log.merge(slot, version, segment),
        }
        if self.log.mark_read(slot) {
            self.state = State::Ready;
            self.refreshed = true;
            self.apply_durable(now, actions);
        }
    }

    fn written(&mut self, now: Duration, written: Written, actions: &mut Vec<Action>) {
        let (slot, segment) = match std::mem::replace(&mut self.state, State::Reading) {
            State::Writing(slot, segment) => (slot, segment),
            other => {
                self.state = other;
                return;
            }
        };
        match written {
            Written::Stored(version) => {
                self.log.merge(slot, version, segment);
                self.state = State::Ready;
                self.apply_durable(now, actions);
            }
            Written::Conflict => drop(self.log.stale.insert(slot)),
            Written::Unknown => {
                self.log.stale.insert(slot);
                self.next_read = now + self.limits.retry_delay;
            }
        }
    }

    /// Advances the bookings whose records are durable, and requeues those whose claims lost.
    fn apply_durable(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let log = &self.log;
        let is_durable = |r: &Record| log.record(r.key).is_some_and(|logged| logged == r);
        // A later attempt is claimed only after the earlier one was closed.
        let is_superseded = |r: &Record| log.record(r.key).is_some_and(|h| h.attempt > r.attempt);
        let is_closed = |r: &&Record| is_durable(r) || is_superseded(r);
        let durable: Vec<KeyId> = self.closing.values().filter(is_closed).map(|r| r.key).collect();
        let claimed: Vec<KeyId> = self
            .active
            .values()
            .filter(|b| matches!(b.stage, Stage::Claiming { .. }) && is_durable(&b.claim))
            .map(|b| b.claim.key)
            .collect();
        let superseded: Vec<KeyId> = self
            .active
            .values()
            .filter(|b| matches!(b.stage, Stage::Claiming { .. }))
            .filter(|b| log.record(b.claim.key).is_some_and(|r| conflicts(r, &b.claim)))
            .map(|b| b.claim.key)
            .collect();
        for key in durable {
            self.closed(key, actions);
        }
        for key in claimed {
            self.claimed(now, key, actions);
        }
        for key in superseded {
            self.requeue(key);
        }
    }

    fn closed(&mut self, key: KeyId, actions: &mut Vec<Action>) {
        let Some(record) = self.closing.remove(&key) else { return };
        let is_closing = self.active.get(&key).is_some_and(|b| b.stage == Stage::Closing);
        if !is_closing {
            return;
        }
        if let Some(booking) = self.active.remove(&key) {
            reply_all(&booking, &BookingOutcome::NotRun { attempt: record.attempt }, actions);
        }
    }

    fn claimed(&mut self, now: Duration, key: KeyId, actions: &mut Vec<Action>) {
        let Some(booking) = self.active.get_mut(&key) else { return };
        if now >= booking.deadline {
            self.close(key);
            return;
        }
        booking.stage = Stage::Running;
        let (attempt, call) = (booking.claim.attempt, booking.first_call);
        actions.push(Action::Dispatch { key, attempt, call, deadline: booking.deadline });
    }

    /// Requeues the calls of a booking whose claim lost to another owner's record in the log.
    fn requeue(&mut self, key: KeyId) {
        let Some(booking) = self.active.remove(&key) else { return };
        let Record { attempt, body, .. } = booking.claim;
        let requests = booking.calls.into_iter();
        let request = |(call, deadline)| ClaimRequest { call, key, attempt, body, deadline };
        self.requests.extend(requests.map(request));
    }

    fn close(&mut self, key: KeyId) {
        if let Some(booking) = self.active.get_mut(&key) {
            booking.stage = Stage::Closing;
            let record = Record { progress: Progress::NotRun, ..booking.claim.clone() };
            self.closing.insert(key, record);
        }
    }

    fn ended(&mut self, key: KeyId, ended: AttemptOutcome, actions: &mut Vec<Action>) {
        if self.active.get(&key).is_none_or(|b| b.stage != Stage::Running) {
            return;
        }
        if ended == AttemptOutcome::NotRun {
            self.close(key);
            return;
        }
        let Some(booking) = self.active.remove(&key) else { return };
        let AttemptOutcome::Answer(answer) = ended else {
            reply_all(&booking, &BookingOutcome::Unknown, actions);
            return;
        };
        reply_all(&booking, &BookingOutcome::Answer(answer.clone()), actions);
        let record = Record { progress: Progress::Done(answer), ..booking.claim };
        self.closing.insert(key, record);
    }

    /// Replies to the calls whose deadline passed.
    fn expire(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for booking in self.active.values_mut() {
            let outcome = match booking.stage {
                Stage::Running => BookingOutcome::InProgress,
                Stage::Claiming { .. } | Stage::Closing => BookingOutcome::Unknown,
            };
            let expired = booking.calls.extract_if(.., |(_, deadline)| *deadline <= now);
            actions.extend(expired.map(|(call, _)| Action::Reply(call, outcome.clone())));
        }
        self.active.retain(|_, b| {
            let is_unsent = b.stage == Stage::Claiming { sent: false };
            !(is_unsent && b.calls.is_empty())
        });
        let expired = self.requests.extract_if(.., |request| request.deadline <= now);
        actions.extend(expired.map(|request| Action::Reply(request.call, BookingOutcome::Unknown)));
    }

    /// Decides on the queued requests.
    fn decide_all(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut later = Vec::new();
        let is_fresh = std::mem::take(&mut self.refreshed);
        for request in std::mem::take(&mut self.requests) {
            match self.decide(now, &request, is_fresh) {
                Decision::Reply(outcome) => actions.push(Action::Reply(request.call, outcome)),
                Decision::Wait => {}
                Decision::Refresh => later.push(request),
            }
        }
        if later.is_empty() {
            return;
        }
        self.requests = later;
        self.next_refresh = now + self.limits.retry_delay;
        self.log.stale.insert(self.log.tail_slot());
        self.state = State::Reading;
    }

    fn decide(&mut self, now: Duration, req: &ClaimRequest, is_fresh: bool) -> Decision {
        if let Some(booking) = self.active.get_mut(&req.key) {
            if booking.claim.body != req.body {
                return Decision::Reply(BookingOutcome::OtherBody);
            }
            booking.calls.push((req.call, req.deadline));
            return Decision::Wait;
        }
        let Some(record) = self.closing.get(&req.key).or(self.log.record(req.key)) else {
            return self.claim(now, req);
        };
        if record.body != req.body {
            return Decision::Reply(BookingOutcome::OtherBody);
        }
        let outcome = match &record.progress {
            Progress::Done(answer) => BookingOutcome::Answer(answer.clone()),
            Progress::NotRun if req.attempt > record.attempt => return self.claim(now, req),
            Progress::NotRun => BookingOutcome::NotRun { attempt: record.attempt },
            Progress::Open { runner, .. } if *runner == self.runner => BookingOutcome::Unknown,
            Progress::Open { .. } if !is_fresh && now >= self.next_refresh => {
                return Decision::Refresh;
            }
            Progress::Open { deadline, .. } if now < *deadline => BookingOutcome::InProgress,
            Progress::Open { .. } => BookingOutcome::Unknown,
        };
        Decision::Reply(outcome)
    }

    fn claim(&mut self, now: Duration, request: &ClaimRequest) -> Decision {
        if now >= request.deadline || self.active.len() >= self.limits.max_active {
            return Decision::Reply(BookingOutcome::Unknown);
        }
        let progress = Progress::Open { runner: self.runner, deadline: request.deadline };
        let claim =
            Record { key: request.key, attempt: request.attempt, body: request.body, progress };
        let booking = ActiveBooking {
            claim,
            deadline: request.deadline,
            first_call: request.call,
            stage: Stage::Claiming { sent: false },
            calls: vec![(request.call, request.deadline)],
        };
        self.active.insert(request.key, booking);
        Decision::Wait
    }

    /// Writes pending records, if there are any and the write interval has passed.
    fn write(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_claiming = |b: &ActiveBooking| matches!(b.stage, Stage::Claiming { .. });
        let has_changes = !self.closing.is_empty() || self.active.values().any(is_claiming);
        if now < self.next_write || !has_changes {
            return;
        }
        let Some(mut segment) = self.log.next_segment(now, self.limits.retention) else {
            self.reject_unsent(actions);
            return;
        };
        for record in self.closing.values() {
            if segment.size() >= self.limits.segment_bytes {
                break;
            }
            segment.put(record.clone());
        }
        for booking in self.active.values_mut().filter(|b| is_claiming(b)) {
            if segment.size() >= self.limits.segment_bytes {
                break;
            }
            booking.stage = Stage::Claiming { sent: true };
            segment.put(booking.claim.clone());
        }
        segment.sealed = segment.size() >= self.limits.segment_bytes;
        segment.written = segment.written.max(now);
        let (slot, expected) = self.log.slot_of(segment.number);
        self.next_write = now + self.limits.write_interval;
        self.state = State::Writing(slot, segment.clone());
        actions.push(Action::Write { slot, expected, segment });
    }

    /// Replies to the calls whose claims don't fit in the log.
    fn reject_unsent(&mut self, actions: &mut Vec<Action>) {
        let is_unsent =
            |_: &KeyId, b: &mut ActiveBooking| b.stage == Stage::Claiming { sent: false };
        for (_, booking) in self.active.extract_if(.., is_unsent) {
            reply_all(&booking, &BookingOutcome::Unknown, actions);
        }
    }
}

/// Whether the log's record of the key rules out the claim.
fn conflicts(logged: &Record, claim: &Record) -> bool {
    let is_retry = logged.attempt < claim.attempt && logged.progress == Progress::NotRun;
    !is_retry && logged != claim
}

fn reply_all(booking: &ActiveBooking, outcome: &BookingOutcome, actions: &mut Vec<Action>) {
    actions.extend(booking.calls.iter().map(|(call, _)| Action::Reply(*call, outcome.clone())));
}
