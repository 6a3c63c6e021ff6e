//! The owner of one partition of bookings, as a state machine: events in, actions out.
//!
//! The machine keeps an index of the partition's log, claims keys in it, and tells when to
//! dispatch. It answers "not run" only for an attempt that the log holds as closed, and it leaves
//! a claim open for ever if a target may have run it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::booking::{Ended, KeyId, Progress, Record, Runner, Segment, Verdict};
use crate::event::{Action, BookingRequest, Event, Found, LedgerLimits, Written};
use crate::log_copy::LogCopy;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Stage {
    /// Waits for its claim to be durable; `sent` if a write may have carried it.
    Claiming { sent: bool },
    /// Dispatched.
    Running,
    /// Waits for its closing as not run to be durable.
    Closing,
}

/// A booking that this incarnation handles.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Mine {
    claim: Record,
    deadline: Duration,
    first: u64,
    stage: Stage,
    calls: Vec<(u64, Duration)>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum State {
    /// The slots in `stale` must be read.
    Reading,
    /// The index is as new as the last read or write.
    Ready,
    /// A write to the slot is on its way.
    Writing(u64, Segment),
}

/// The owner of one partition.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ledger {
    runner: Runner,
    limits: LedgerLimits,
    state: State,
    log: LogCopy,
    reading: BTreeSet<u64>,
    mine: BTreeMap<KeyId, Mine>,
    closing: BTreeMap<KeyId, Record>,
    asks: Vec<BookingRequest>,
    refreshed: bool,
    read_at: Duration,
    refresh_at: Duration,
    write_at: Duration,
}

/// What becomes of a call.
enum Decision {
    Reply(Verdict),
    Wait,
    /// Another incarnation holds the key; the log may tell more by now.
    Refresh,
}

impl Ledger {
    /// Owner that knows nothing of the log yet.
    pub fn new(runner: Runner, limits: LedgerLimits) -> Self {
        Self {
            runner,
            state: State::Reading,
            log: LogCopy::new(limits.slots),
            reading: BTreeSet::new(),
            mine: BTreeMap::new(),
            closing: BTreeMap::new(),
            asks: Vec::new(),
            refreshed: false,
            read_at: Duration::ZERO,
            refresh_at: Duration::ZERO,
            write_at: Duration::ZERO,
            limits,
        }
    }

    /// Whether nothing is in hand, so that the owner may be dropped.
    pub fn is_idle(&self) -> bool {
        self.mine.is_empty() && self.closing.is_empty() && self.asks.is_empty()
    }

    /// Keys that are remembered.
    pub fn len(&self) -> usize {
        self.log.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.log.len() == 0
    }

    /// Handles an event at the time `now` since the Unix epoch.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Request(ask) => self.asks.push(ask),
            Event::Read(slot, found) => self.read(now, slot, found, &mut actions),
            Event::Written(written) => self.written(now, written, &mut actions),
            Event::Ended(key, ended) => self.ended(key, ended, &mut actions),
            Event::Tick => self.expire(now, &mut actions),
        }
        self.proceed(now, &mut actions);
        actions
    }

    fn proceed(&mut self, now: Duration, actions: &mut Vec<Action>) {
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
        if now < self.read_at || self.asks.is_empty() && self.is_idle() {
            return;
        }
        let wanted: Vec<u64> = self.log.stale.difference(&self.reading).copied().collect();
        self.reading.extend(&wanted);
        actions.extend(wanted.into_iter().map(Action::Read));
    }

    fn read(&mut self, now: Duration, slot: u64, found: Found, actions: &mut Vec<Action>) {
        self.reading.remove(&slot);
        match found {
            Found::Failed => {
                self.read_at = now + self.limits.retry_delay;
                return;
            }
            Found::Missing => {}
            Found::Value(version, segment) => self.log.merge(slot, version, segment),
        }
        if self.log.confirm(slot) {
            self.state = State::Ready;
            self.refreshed = true;
            self.settle(now, actions);
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
                self.settle(now, actions);
            }
            Written::Conflict => drop(self.log.stale.insert(slot)),
            Written::Unknown => {
                self.log.stale.insert(slot);
                self.read_at = now + self.limits.retry_delay;
            }
        }
    }

    /// Goes on with every booking whose record turned out to be durable.
    fn settle(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let log = &self.log;
        let is_durable = |r: &Record| log.record(r.key).is_some_and(|held| held == r);
        // A later attempt is claimed only after the earlier one was closed.
        let is_past = |r: &Record| log.record(r.key).is_some_and(|h| h.attempt > r.attempt);
        let is_closed = |r: &&Record| is_durable(r) || is_past(r);
        let durable: Vec<KeyId> = self.closing.values().filter(is_closed).map(|r| r.key).collect();
        let claimed: Vec<KeyId> = self
            .mine
            .values()
            .filter(|m| matches!(m.stage, Stage::Claiming { .. }) && is_durable(&m.claim))
            .map(|m| m.claim.key)
            .collect();
        let beaten: Vec<KeyId> = self
            .mine
            .values()
            .filter(|m| matches!(m.stage, Stage::Claiming { .. }))
            .filter(|m| log.record(m.claim.key).is_some_and(|r| excludes(r, &m.claim)))
            .map(|m| m.claim.key)
            .collect();
        for key in durable {
            self.closed(key, actions);
        }
        for key in claimed {
            self.claimed(now, key, actions);
        }
        for key in beaten {
            self.beaten(key);
        }
    }

    fn closed(&mut self, key: KeyId, actions: &mut Vec<Action>) {
        let Some(record) = self.closing.remove(&key) else { return };
        let is_closing = self.mine.get(&key).is_some_and(|m| m.stage == Stage::Closing);
        if !is_closing {
            return;
        }
        if let Some(mine) = self.mine.remove(&key) {
            reply_all(&mine, &Verdict::NotRun { attempt: record.attempt }, actions);
        }
    }

    fn claimed(&mut self, now: Duration, key: KeyId, actions: &mut Vec<Action>) {
        let Some(mine) = self.mine.get_mut(&key) else { return };
        if now >= mine.deadline {
            self.close(key);
            return;
        }
        mine.stage = Stage::Running;
        let (attempt, call) = (mine.claim.attempt, mine.first);
        actions.push(Action::Dispatch { key, attempt, call, deadline: mine.deadline });
    }

    /// Another owner's record stands in the log; the calls are decided anew by it.
    fn beaten(&mut self, key: KeyId) {
        let Some(mine) = self.mine.remove(&key) else { return };
        let Record { attempt, body, .. } = mine.claim;
        let asks = mine.calls.into_iter();
        let ask = |(call, deadline)| BookingRequest { call, key, attempt, body, deadline };
        self.asks.extend(asks.map(ask));
    }

    fn close(&mut self, key: KeyId) {
        if let Some(mine) = self.mine.get_mut(&key) {
            mine.stage = Stage::Closing;
            let record = Record { progress: Progress::NotRun, ..mine.claim.clone() };
            self.closing.insert(key, record);
        }
    }

    fn ended(&mut self, key: KeyId, ended: Ended, actions: &mut Vec<Action>) {
        if self.mine.get(&key).is_none_or(|m| m.stage != Stage::Running) {
            return;
        }
        if ended == Ended::NotRun {
            self.close(key);
            return;
        }
        let Some(mine) = self.mine.remove(&key) else { return };
        let Ended::Answer(answer) = ended else {
            reply_all(&mine, &Verdict::Unknown, actions);
            return;
        };
        reply_all(&mine, &Verdict::Answer(answer.clone()), actions);
        let record = Record { progress: Progress::Done(answer), ..mine.claim };
        self.closing.insert(key, record);
    }

    /// Answers the calls that waited until their deadline.
    fn expire(&mut self, now: Duration, actions: &mut Vec<Action>) {
        for mine in self.mine.values_mut() {
            let verdict = match mine.stage {
                Stage::Running => Verdict::InProgress,
                Stage::Claiming { .. } | Stage::Closing => Verdict::Unknown,
            };
            let expired = mine.calls.extract_if(.., |(_, deadline)| *deadline <= now);
            actions.extend(expired.map(|(call, _)| Action::Reply(call, verdict.clone())));
        }
        self.mine.retain(|_, m| {
            let is_unsent = m.stage == Stage::Claiming { sent: false };
            !(is_unsent && m.calls.is_empty())
        });
        let expired = self.asks.extract_if(.., |ask| ask.deadline <= now);
        actions.extend(expired.map(|ask| Action::Reply(ask.call, Verdict::Unknown)));
    }

    /// Decides on the calls that came while the log was read.
    fn decide_all(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let mut later = Vec::new();
        let is_fresh = std::mem::take(&mut self.refreshed);
        for ask in std::mem::take(&mut self.asks) {
            match self.decide(now, &ask, is_fresh) {
                Decision::Reply(verdict) => actions.push(Action::Reply(ask.call, verdict)),
                Decision::Wait => {}
                Decision::Refresh => later.push(ask),
            }
        }
        if later.is_empty() {
            return;
        }
        self.asks = later;
        self.refresh_at = now + self.limits.retry_delay;
        self.log.stale.insert(self.log.tail_slot());
        self.state = State::Reading;
    }

    fn decide(&mut self, now: Duration, ask: &BookingRequest, is_fresh: bool) -> Decision {
        if let Some(mine) = self.mine.get_mut(&ask.key) {
            if mine.claim.body != ask.body {
                return Decision::Reply(Verdict::OtherBody);
            }
            mine.calls.push((ask.call, ask.deadline));
            return Decision::Wait;
        }
        let Some(record) = self.closing.get(&ask.key).or(self.log.record(ask.key)) else {
            return self.claim(now, ask);
        };
        if record.body != ask.body {
            return Decision::Reply(Verdict::OtherBody);
        }
        let verdict = match &record.progress {
            Progress::Done(answer) => Verdict::Answer(answer.clone()),
            Progress::NotRun if ask.attempt > record.attempt => return self.claim(now, ask),
            Progress::NotRun => Verdict::NotRun { attempt: record.attempt },
            Progress::Open { runner, .. } if *runner == self.runner => Verdict::Unknown,
            Progress::Open { .. } if !is_fresh && now >= self.refresh_at => {
                return Decision::Refresh;
            }
            Progress::Open { deadline, .. } if now < *deadline => Verdict::InProgress,
            Progress::Open { .. } => Verdict::Unknown,
        };
        Decision::Reply(verdict)
    }

    fn claim(&mut self, now: Duration, ask: &BookingRequest) -> Decision {
        if now >= ask.deadline || self.mine.len() >= self.limits.max_active {
            return Decision::Reply(Verdict::Unknown);
        }
        let progress = Progress::Open { runner: self.runner, deadline: ask.deadline };
        let claim = Record { key: ask.key, attempt: ask.attempt, body: ask.body, progress };
        let mine = Mine {
            claim,
            deadline: ask.deadline,
            first: ask.call,
            stage: Stage::Claiming { sent: false },
            calls: vec![(ask.call, ask.deadline)],
        };
        self.mine.insert(ask.key, mine);
        Decision::Wait
    }

    /// Writes what came since the last write, if anything and if it is time.
    fn write(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let is_claiming = |m: &Mine| matches!(m.stage, Stage::Claiming { .. });
        let has_changes = !self.closing.is_empty() || self.mine.values().any(is_claiming);
        if now < self.write_at || !has_changes {
            return;
        }
        let Some(mut segment) = self.log.next_segment(now, self.limits.retention) else {
            self.give_up(actions);
            return;
        };
        for record in self.closing.values() {
            if segment.size() >= self.limits.segment_bytes {
                break;
            }
            segment.put(record.clone());
        }
        for mine in self.mine.values_mut().filter(|m| is_claiming(m)) {
            if segment.size() >= self.limits.segment_bytes {
                break;
            }
            mine.stage = Stage::Claiming { sent: true };
            segment.put(mine.claim.clone());
        }
        segment.sealed = segment.size() >= self.limits.segment_bytes;
        segment.written = segment.written.max(now);
        let (slot, expected) = self.log.place(segment.number);
        self.write_at = now + self.limits.write_interval;
        self.state = State::Writing(slot, segment.clone());
        actions.push(Action::Write { slot, expected, segment });
    }

    /// Answers the calls whose claims the log has no place for.
    fn give_up(&mut self, actions: &mut Vec<Action>) {
        let is_unsent = |_: &KeyId, m: &mut Mine| m.stage == Stage::Claiming { sent: false };
        for (_, mine) in self.mine.extract_if(.., is_unsent) {
            reply_all(&mine, &Verdict::Unknown, actions);
        }
    }
}

/// Whether the log's record rules out that the claim may be made.
fn excludes(held: &Record, claim: &Record) -> bool {
    let is_before = held.attempt < claim.attempt && held.progress == Progress::NotRun;
    !is_before && held != claim
}

fn reply_all(mine: &Mine, verdict: &Verdict, actions: &mut Vec<Action>) {
    actions.extend(mine.calls.iter().map(|(call, _)| Action::Reply(*call, verdict.clone())));
}
