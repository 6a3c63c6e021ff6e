//! What a stand-in target is like, and its faults.

use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Name, PARTITION_SPACE, Span};

/// What a stand-in target is like.
#[derive(Clone, Debug)]
pub struct Behaviour {
    /// Unique name.
    pub name: Name,
    /// Partitions that it holds.
    pub span: Span,
    /// Partitions that it holds in snapshots that are partitioned otherwise than `span`.
    pub repartitioned: Vec<(u64, Span)>,
    /// Snapshots that it holds.
    pub held: Vec<u64>,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Requests that may wait beyond its slots; more are shed.
    pub queue: u32,
    /// Connections that it accepts; more are closed at once.
    pub connections: u32,
    /// Time that a new connection costs.
    pub connect: Duration,
    /// Mean service time.
    pub service: Duration,
    /// Share of requests that are stragglers.
    pub stragglers: f64,
    /// Times the service time that a straggler takes.
    pub straggle: f64,
    /// Set while it is cold.
    pub cold: Option<ColdStart>,
    /// Refuses new work as not run, as a target that drains.
    pub draining: bool,
    /// Sheds every request, as not run.
    pub shedding: bool,
    /// Closes every connection without an answer.
    pub down: bool,
    /// What is wrong with its version.
    pub defects: Vec<Defect>,
    /// What is wrong with its answers.
    pub replies: Vec<ReplyFault>,
    /// What goes wrong with bookings.
    pub bookings: Vec<BookingFault>,
    /// What its health endpoint says.
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
            held: vec![1],
            slots: 2,
            queue: 8,
            connections: 25,
            connect: Duration::ZERO,
            service: Duration::from_millis(2),
            stragglers: 0.0,
            straggle: 10.0,
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
    /// Partitions that it holds in a snapshot.
    pub fn span_in(&self, snapshot: u64) -> Span {
        let other = self.repartitioned.iter().find(|(id, _)| *id == snapshot);
        other.map_or(self.span, |(_, span)| *span)
    }
}

/// A cold start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdStart {
    /// Requests that it bears at the same time, waiting ones included.
    pub bears: u32,
    /// Requests that it must run to become warm.
    pub runs: u32,
    /// Times the service time that a request takes.
    pub slow: f64,
    /// What happens to a target that gets more than it bears.
    pub overload: Overload,
}

/// What happens to a cold target that gets more than it bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Overload {
    /// The requests beyond fail.
    Fail,
    /// It loses all that it has, is down for the time, and starts cold again.
    FallOver(Duration),
}

/// A fault of a back-end version.
#[derive(Clone, Debug, PartialEq)]
pub struct Defect {
    /// What goes wrong.
    pub kind: DefectKind,
    /// When it shows.
    pub trigger: Trigger,
    /// The only route that it affects; all if `None`.
    pub route: Option<Name>,
    /// Share of the requests that it affects.
    pub share: f64,
}

/// What goes wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DefectKind {
    /// Requests fail with status 500.
    Fail,
    /// Requests take this many times as long.
    Slow(f64),
}

/// When a defect shows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trigger {
    /// At once.
    Always,
    /// From the time on.
    From(Instant),
    /// While at least so many requests run.
    Running(u32),
}

/// A fault of a target's answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReplyFault {
    /// What is wrong.
    pub kind: ReplyKind,
    /// Share of the answers that it affects.
    pub share: f64,
}

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReplyKind {
    /// Bytes that are no JSON.
    Garbage,
    /// Half of the body, then the connection closes.
    Cut,
    /// Names and holds another snapshot.
    Snapshot,
    /// Names other partitions.
    Span,
    /// Answers another request.
    Request,
    /// A body of so many bytes.
    Huge(usize),
    /// The header, then nothing.
    Hang,
    /// Comes so much later, after its slot is free.
    Late(Duration),
    /// The connection closes without an answer.
    Reset,
}

/// A fault of bookings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BookingFault {
    /// What goes wrong.
    pub kind: BookingKind,
    /// Share of the bookings that it affects.
    pub share: f64,
}

/// What goes wrong with a booking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BookingKind {
    /// It takes effect and no answer ever comes.
    Lost,
    /// The connection closes before it takes effect.
    ResetBefore,
    /// The connection closes after it took effect.
    ResetAfter,
    /// It takes so much longer.
    Delay(Duration),
    /// It takes effect and then fails with status 500.
    FailAfter,
}

/// What is wrong with a target's health endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HealthFault {
    /// Age up to which it repeats what it said before.
    pub lag: Duration,
    /// Says this of its health, whatever is true.
    pub healthy: Option<bool>,
    /// Says this of its load, whatever is true.
    pub load: Option<f64>,
    /// Says that it holds these snapshots, whatever is true.
    pub held: Option<Vec<u64>>,
}
