//! Behaviour of a stand-in target and the faults that can be injected.

use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Name, PARTITION_SPACE, Span};

/// Behaviour of a stand-in target.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Unique name.
    pub name: Name,
    /// Partitions held.
    pub span: Span,
    /// Partitions held in snapshots whose partitioning differs from `span`.
    pub repartitioned: Vec<(u64, Span)>,
    /// Ids of the snapshots held.
    pub snapshots: Vec<u64>,
    /// Requests that can run at the same time.
    pub slots: u32,
    /// Length of the queue; requests beyond it are shed.
    pub queue: u32,
    /// Limit of open connections; further ones are closed on accept.
    pub connections: u32,
    /// Delay before a new connection is served.
    pub connect: Duration,
    /// Mean service time.
    pub service: Duration,
    /// Share of requests that are stragglers.
    pub stragglers: f64,
    /// Factor on the service time of a straggler.
    pub straggler_factor: f64,
    /// Cold start, while one is in progress.
    pub cold: Option<ColdStart>,
    /// Refuses new work as not run, like a draining target.
    pub draining: bool,
    /// Sheds every request, as not run.
    pub shedding: bool,
    /// Closes every connection without a response.
    pub down: bool,
    /// Defects of its version.
    pub defects: Vec<Defect>,
    /// Faults of its responses.
    pub replies: Vec<ReplyFault>,
    /// Faults of bookings.
    pub bookings: Vec<BookingFault>,
    /// Faults of its health endpoint.
    pub health: HealthFault,
    /// Seed of its service times and faults.
    pub seed: u64,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            name: "target".into(),
            span: Span::new(0, PARTITION_SPACE),
            repartitioned: Vec::new(),
            snapshots: vec![1],
            slots: 2,
            queue: 8,
            connections: 25,
            connect: Duration::ZERO,
            service: Duration::from_millis(2),
            stragglers: 0.0,
            straggler_factor: 10.0,
            cold: None,
            draining: false,
            shedding: false,
            down: false,
            defects: Vec::new(),
            replies: Vec::new(),
            bookings: Vec::new(),
            health: HealthFault::default(),
            seed: 1,
        }
    }
}

impl Behaviour {
    /// Partitions held in a snapshot.
    pub fn span_in(&self, snapshot: u64) -> Span {
        let other = self.repartitioned.iter().find(|(id, _)| *id == snapshot);
        other.map_or(self.span, |(_, span)| *span)
    }
}

/// A cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Limit of outstanding requests, running and waiting, while cold.
    pub capacity: u32,
    /// Requests that must complete before the target is warm.
    pub warmup_requests: u32,
    /// Factor on the service time while cold.
    pub slowdown: f64,
    /// Effect of a request beyond the capacity.
    pub overload: Overload,
}

/// Effect of a request beyond a cold target's capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overload {
    /// The request fails.
    Fail,
    /// The target loses all outstanding requests, is down for this time, and restarts cold.
    Crash(Duration),
}

/// A defect of a back-end version.
#[derive(Clone, Debug, PartialEq)]
pub struct Defect {
    /// Effect on a request.
    pub kind: DefectKind,
    /// Condition under which it occurs.
    pub trigger: Trigger,
    /// The only route affected; all if `None`.
    pub route: Option<Name>,
    /// Share of the requests affected.
    pub share: f64,
}

/// Effect of a defect on a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DefectKind {
    /// Requests fail with status 500.
    Fail,
    /// Factor on the service time.
    Slow(f64),
}

/// Condition under which a defect occurs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trigger {
    /// From the start.
    Always,
    /// From this time on.
    From(Instant),
    /// While at least this many requests run.
    Running(u32),
}

/// A fault of a target's responses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplyFault {
    /// Kind of fault.
    pub kind: ReplyKind,
    /// Share of the responses affected.
    pub share: f64,
}

/// Kind of fault of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyKind {
    /// Bytes that are not JSON.
    Garbage,
    /// Half of the body, then the connection closes.
    Truncated,
    /// Names and contains another snapshot than the requested one.
    WrongSnapshot,
    /// Reports only half of the partitions held.
    WrongSpan,
    /// Names another request.
    WrongRequest,
    /// Body padded by this many bytes.
    Huge(usize),
    /// The header is sent, the body never.
    Hang,
    /// Delayed by this time after the slot has been released.
    Delayed(Duration),
    /// The connection closes without a response.
    Reset,
}

/// A fault of bookings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BookingFault {
    /// Kind of fault.
    pub kind: BookingKind,
    /// Share of the bookings affected.
    pub share: f64,
}

/// Kind of fault of a booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BookingKind {
    /// The booking takes effect; no response is sent.
    Lost,
    /// The connection closes before it takes effect.
    ResetBefore,
    /// The connection closes after it took effect.
    ResetAfter,
    /// The booking is delayed by this time.
    Delay(Duration),
    /// The booking takes effect, then fails with status 500.
    FailAfter,
}

/// Faults of a target's health endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthFault {
    /// Maximum age up to which the previous response is repeated.
    pub lag: Duration,
    /// Reported health; the true one if `None`.
    pub healthy: Option<bool>,
    /// Reported load; the true one if `None`.
    pub load: Option<f64>,
    /// Reported snapshots; the true ones if `None`.
    pub snapshots: Option<Vec<u64>>,
}
