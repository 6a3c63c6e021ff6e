//! The booking partitions that this host owns.
//!
//! One thread drives the state machines of all partitions. Keys issued by this host have a
//! partition of their own, whose log is in memory and lost when the process ends. Ownership of a
//! partition only serves to batch its claims: two hosts that both act as owner are safe, as every
//! claim is a compare-and-swap.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use sapphirerack_catalogue::{Map, Name, PARTITION_SPACE};
use sapphirerack_policy::booking::{
    Action, AttemptOutcome, BodyHash, BookingOutcome, ClaimRequest, Event, Found, KeyId, Ledger,
    LedgerLimits, PARTITIONS, Runner, Segment, Written,
};
use sapphirerack_policy::{Clock, Host, owners};
use sapphirerack_protocol::{Booking, ClaimedBooking, Reply, Request};

use crate::calls::{Answer, Call, Calls, ReplyTo};
use crate::issued::IssuedKey;
use crate::peers::Peers;
use crate::routing::Routing;
use crate::settings::BookingSettings;
use crate::store_log::{Job, Task};
use crate::{Error, Result};

/// Partition of the keys issued by this host.
pub(crate) const ISSUED_PARTITION: u32 = PARTITIONS;

/// Time after which an unanswered ping to a candidate counts as failed.
const PING_TIMEOUT: Duration = Duration::from_millis(150);

const TICK: Duration = Duration::from_millis(20);

/// Time after its deadline up to which the result of a dispatched booking is awaited.
const RESULT_GRACE: Duration = Duration::from_millis(500);

/// Inputs of the partitions.
pub(crate) enum Input {
    /// A booking request.
    Book(Booking, ReplyTo),
    /// Result of a store operation on a partition.
    Log(u32, Event),
    /// Answer of a host, or the loss of the link to it.
    Answer(Answer),
}

/// Shared components and settings that [`Claims`] uses.
#[derive(Clone)]
pub(crate) struct Context {
    pub clock: Arc<dyn Clock>,
    pub routing: Arc<Routing>,
    pub peers: Arc<Peers>,
    pub calls: Arc<Calls>,
    pub settings: BookingSettings,
    pub runner: Runner,
    /// Number of unresolved bookings, updated at every tick.
    pub open: Arc<AtomicUsize>,
}

/// A call that waits for its outcome.
struct WaitingCall {
    booking: Booking,
    reply_to: ReplyTo,
}

/// A dispatched attempt.
struct RunningAttempt {
    partition: u32,
    key: KeyId,
    claimed: ClaimedBooking,
    peer: SocketAddr,
    candidates: Vec<Host>,
    stage: Stage,
    sent: Vec<u64>,
}

/// Last request sent to the current candidate.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// A ping that times out at this time. It is sent first, as a booking that was sent to a dead
    /// host could not be tried elsewhere: its outcome would be unknown.
    Pinged(Duration),
    /// The booking.
    Sent,
}

/// Drives the state machines of the partitions.
pub(crate) struct Claims {
    context: Context,
    jobs: flume::Sender<Job>,
    answers: flume::Sender<Answer>,
    ledgers: Map<u32, Ledger>,
    /// Log of the keys issued by this host: version and segment by slot.
    issued_log: Map<u64, (u64, Segment)>,
    waiting: Map<u64, WaitingCall>,
    running: Map<usize, RunningAttempt>,
    next: u64,
}

impl Claims {
    pub(crate) fn new(
        context: Context,
        jobs: flume::Sender<Job>,
        answers: flume::Sender<Answer>,
    ) -> Self {
        Self {
            context,
            jobs,
            answers,
            ledgers: Map::default(),
            issued_log: Map::default(),
            waiting: Map::default(),
            running: Map::default(),
            next: 0,
        }
    }

    /// Starts the thread that handles inputs.
    pub(crate) fn spawn(mut self, inputs: flume::Receiver<Input>) -> Result<()> {
        let run = move || {
            let mut tick = self.context.clock.now() + TICK;
            loop {
                match inputs.recv_deadline(tick) {
                    Ok(input) => self.handle(input),
                    Err(flume::RecvTimeoutError::Disconnected) => return,
                    Err(flume::RecvTimeoutError::Timeout) => {}
                }
                if self.context.clock.now() >= tick {
                    self.tick();
                    self.context.open.store(self.open(), Ordering::Relaxed);
                    tick = self.context.clock.now() + TICK;
                }
            }
        };
        let builder = thread::Builder::new().name("bookings".into());
        builder.spawn(run).map(drop).map_err(|e| Error::io("start thread", "bookings", e))
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Book(booking, reply_to) => self.book(booking, reply_to),
            Input::Log(partition, event) => self.drive(partition, event),
            Input::Answer(answer) => self.handle_answer(answer),
        }
    }

    fn tick(&mut self) {
        let partitions: Vec<u32> = self.ledgers.keys().copied().collect();
        for partition in partitions {
            self.drive(partition, Event::Tick);
        }
        let now = self.context.clock.unix();
        let cutoff = now.saturating_sub(RESULT_GRACE);
        let ids: Vec<usize> = self.running.keys().copied().collect();
        for id in ids {
            let Some(running) = self.running.get(&id) else { continue };
            match running.stage {
                Stage::Pinged(until) if until <= now => self.retry(id),
                Stage::Sent if Duration::from_micros(running.claimed.deadline) < cutoff => {
                    self.finish(id, AttemptOutcome::Unknown);
                }
                _ => {}
            }
        }
    }

    /// Number of unresolved bookings.
    fn open(&self) -> usize {
        self.waiting.len() + self.ledgers.values().filter(|l| !l.is_idle()).count()
    }

    fn book(&mut self, booking: Booking, reply_to: ReplyTo) {
        let Some(partition) = self.partition(&booking) else {
            self.context.calls.reply(reply_to, Reply::Booked(BookingOutcome::Unknown));
            return;
        };
        let call = self.next;
        self.next += 1;
        let request = ClaimRequest {
            call,
            key: KeyId::new(&booking.service, &booking.key),
            attempt: booking.attempt,
            body: BodyHash::new(&booking.partition, &booking.body),
            deadline: Duration::from_micros(booking.deadline),
        };
        self.waiting.insert(call, WaitingCall { booking, reply_to });
        self.drive(partition, Event::Request(request));
    }

    /// Partition of a key; `None` if it was issued by another incarnation or has expired.
    fn partition(&self, booking: &Booking) -> Option<u32> {
        let Some(issued) = IssuedKey::parse(&booking.key) else {
            return Some(KeyId::new(&booking.service, &booking.key).partition());
        };
        let is_own = issued.runner == self.context.runner;
        let is_fresh = self.context.clock.unix() < issued.time + self.context.settings.retention;
        (is_own && is_fresh).then_some(ISSUED_PARTITION)
    }

    fn drive(&mut self, partition: u32, event: Event) {
        let now = self.context.clock.unix();
        let ledger = self.ledgers.entry(partition).or_insert_with(|| {
            Ledger::new(self.context.runner, limits(&self.context.settings, partition))
        });
        let mut actions: std::collections::VecDeque<Action> = ledger.handle(now, event).into();
        while let Some(action) = actions.pop_front() {
            let event = match action {
                Action::Read(slot) if partition == ISSUED_PARTITION => Some(self.read_issued(slot)),
                Action::Write { slot, segment, .. } if partition == ISSUED_PARTITION => {
                    Some(self.write_issued(slot, segment))
                }
                Action::Read(slot) => self.store(partition, Task::Read { slot }),
                Action::Write { slot, expected, segment } => {
                    self.store(partition, Task::Write { slot, expected, segment })
                }
                Action::Dispatch { key, attempt, call, deadline } => {
                    self.dispatch(partition, key, attempt, call, deadline)
                }
                Action::Reply(call, outcome) => self.reply(call, outcome),
            };
            if let (Some(event), Some(ledger)) = (event, self.ledgers.get_mut(&partition)) {
                actions.extend(ledger.handle(now, event));
            }
        }
    }

    fn store(&self, partition: u32, task: Task) -> Option<Event> {
        // The receivers live as long as the process.
        let _ = self.jobs.send(Job { partition, task });
        None
    }

    fn read_issued(&self, slot: u64) -> Event {
        let found = self.issued_log.get(&slot).cloned();
        Event::Read(slot, found.map_or(Found::Missing, |(v, s)| Found::Value(v, s)))
    }

    fn write_issued(&mut self, slot: u64, segment: Segment) -> Event {
        let version = self.issued_log.get(&slot).map_or(0, |(version, _)| *version) + 1;
        self.issued_log.insert(slot, (version, segment));
        Event::Written(Written::Stored(version))
    }

    /// Dispatches a claimed attempt to the owner of its targets or a backup; if that fails, returns
    /// the event.
    fn dispatch(
        &mut self,
        partition: u32,
        key: KeyId,
        attempt: u32,
        call: u64,
        deadline: Duration,
    ) -> Option<Event> {
        let waiting = self.waiting.get(&call)?;
        let Some((shard, candidates)) = self.route(&waiting.booking) else {
            return Some(Event::Ended(key, AttemptOutcome::NotRun));
        };
        let Booking { service, key: name, body, .. } = &waiting.booking;
        let claimed = ClaimedBooking {
            service: service.clone(),
            shard,
            key: name.clone(),
            attempt,
            deadline: u64::try_from(deadline.as_micros()).unwrap_or(u64::MAX),
            body: body.clone(),
        };
        let id = call as usize;
        let peer = self.context.peers.own().address;
        let stage = Stage::Pinged(Duration::ZERO);
        let sent = Vec::new();
        self.running
            .insert(id, RunningAttempt { partition, key, claimed, peer, candidates, stage, sent });
        if self.ping_next(id) {
            return None;
        }
        self.running.remove(&id);
        Some(Event::Ended(key, AttemptOutcome::NotRun))
    }

    /// Pings the next candidate; false if none is left or the deadline has passed.
    fn ping_next(&mut self, id: usize) -> bool {
        let now = self.context.clock.unix();
        let Some(running) = self.running.get_mut(&id) else { return false };
        let is_over = now >= Duration::from_micros(running.claimed.deadline);
        if running.candidates.is_empty() || is_over {
            return false;
        }
        running.peer = running.candidates.remove(0).address;
        running.stage = Stage::Pinged(now + PING_TIMEOUT);
        self.send(id, Request::Ping);
        true
    }

    fn send(&mut self, id: usize, request: Request) {
        let Some(running) = self.running.get_mut(&id) else { return };
        let call = Call { index: id, peer: running.peer, request };
        running.sent.extend(self.context.calls.send(vec![call], &self.answers));
    }

    /// Shard of a booking, and the owners and backups of its targets in order of preference.
    fn route(&self, booking: &Booking) -> Option<(Name, Vec<Host>)> {
        let view = self.context.routing.view();
        let service = view.catalogue.service(&booking.service)?;
        let position = KeyId::new("", &booking.partition).point() % PARTITION_SPACE;
        let holds =
            |s: &&sapphirerack_catalogue::Shard| (s.span.start..s.span.end).contains(&position);
        let shard = service.shards.iter().find(holds)?;
        let own = &self.context.peers.own().data_centre;
        let hosts = owners(&view.catalogue, service, shard, own, &self.context.peers.live());
        Some((shard.name.clone(), hosts.into_iter().map(|c| c.host).collect()))
    }

    fn handle_answer(&mut self, answer: Answer) {
        let id = answer.index;
        let Some(running) = self.running.get_mut(&id) else { return };
        match (running.stage, answer.reply) {
            (Stage::Pinged(_), Some(Reply::Pong)) => {
                let is_over =
                    self.context.clock.unix() >= Duration::from_micros(running.claimed.deadline);
                if is_over {
                    self.finish(id, AttemptOutcome::NotRun);
                    return;
                }
                running.stage = Stage::Sent;
                let request = Request::Run(running.claimed.clone());
                self.send(id, request);
            }
            // Only a ping was sent, or the host reports that the booking did not run.
            (Stage::Pinged(_), None) | (Stage::Sent, Some(Reply::Ran(AttemptOutcome::NotRun))) => {
                self.retry(id);
            }
            (Stage::Sent, Some(Reply::Ran(outcome))) => self.finish(id, outcome),
            (Stage::Sent, None) => self.finish(id, AttemptOutcome::Unknown),
            (Stage::Sent, Some(Reply::Pong)) => {}
            (_, Some(reply)) => log::warn!("step=book id={id} error=\"unexpected {reply:?}\""),
        }
    }

    fn retry(&mut self, id: usize) {
        if !self.ping_next(id) {
            self.finish(id, AttemptOutcome::NotRun);
        }
    }

    fn finish(&mut self, id: usize, outcome: AttemptOutcome) {
        if let Some(running) = self.running.remove(&id) {
            log::debug!("step=book key={} ended={outcome:?}", running.claimed.key);
            self.context.calls.forget(&running.sent);
            self.drive(running.partition, Event::Ended(running.key, outcome));
        }
    }

    fn reply(&mut self, call: u64, outcome: BookingOutcome) -> Option<Event> {
        if let Some(waiting) = self.waiting.remove(&call) {
            self.context.calls.reply(waiting.reply_to, Reply::Booked(outcome));
        }
        None
    }
}

fn limits(settings: &BookingSettings, partition: u32) -> LedgerLimits {
    let write_interval = if partition == ISSUED_PARTITION { Duration::ZERO } else { settings.pace };
    LedgerLimits {
        slots: settings.slots,
        segment_bytes: settings.segment,
        retention: settings.retention,
        write_interval,
        retry_delay: settings.pause,
        max_active: settings.open,
    }
}
