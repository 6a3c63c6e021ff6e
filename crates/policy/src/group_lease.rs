//! Lease on the capacity of a group's targets while hosts disagree on who owns the group.
//!
//! Hosts are ranked for a group among all that were live recently and are not known to have
//! stopped, so that a host that is merely unreachable keeps its rank. The first-ranked host owns
//! the group and the second is its backup. Each sends the next-ranked host a [`Heartbeat`] at short
//! intervals, which is acknowledged once it has been recorded. The owner's heartbeat lists the
//! targets that are not fully warm.
//!
//! | host | condition | share of a warm target | share of any other target |
//! |---|---|---|---|
//! | active owner or active backup | heartbeat acked within `validity`, or no next-ranked host | its ramp | its ramp if the acked heartbeat lists the target, else 0 |
//! | active owner | heartbeat not acked | 1 | 0 |
//! | passive backup | receives heartbeats | 1 | 1 if the heartbeat does not list the target, else 0 |
//!
//! A host is active once it has held its rank, and has received no heartbeat, for
//! `validity + max_request`. The backup's share of 1 is in addition to the target's slots and
//! waiting requests and is never used by the owner, so that coverage does not drop after an owner
//! crashes. The limit of the sum over all hosts holds if clocks run at the same rate, because:
//!
//! - A host uses more than 1 only within `validity` of sending a heartbeat that was acked. The
//!   next-ranked host recorded that heartbeat after it was sent, and becomes active only
//!   `validity + max_request` after that. By then all requests of the former host have reached
//!   their deadlines (`max_request` is the longest) and were dropped by the target.
//! - A heartbeat is acked only once the receiver has at most its small share in flight, so a host
//!   regains its full share only after the requests of the other have ended.
//! - A target that is not fully warm gets nothing from the owner until a heartbeat that lists it
//!   was acked, and from then on nothing from the backup until the backup takes over.
//! - A host that was paused finds its lease expired, as it checks the clock before each dispatch. A
//!   request that was sent late carries its deadline, after which the target drops it.
//! - A host that has just obtained a rank waits `validity + max_request` before it sends requests
//!   or acks, as requests of the previous holder, or of its own previous process, may still run.
//!
//! Not covered: hosts of one data centre that have never discovered each other.
//!
//! No host uses this lease yet.

use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Name, Set};

/// Durations of the lease protocol.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// Validity of a lease, from the sending of the acked heartbeat.
    pub validity: Duration,
    /// Longest time that a request may run at a target, with a margin for clock error.
    pub max_request: Duration,
}

impl LeaseTiming {
    /// Time after which a silent host has no requests in flight. A change of the ranks must reach
    /// all hosts within `validity` of each other.
    fn takeover(&self) -> Duration {
        self.validity + self.max_request
    }
}

/// Rank of a host for a group in its own view of the membership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// Owner of the group.
    First,
    /// Backup of the owner.
    Second,
    /// Neither.
    Other,
}

/// Message of a host to the next-ranked one; its ack grants the sender a lease.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heartbeat {
    /// Whether the receiver may use its small share.
    pub grants_share: bool,
    /// Targets that are not fully warm.
    pub cold: Set<Name>,
}

impl Heartbeat {
    /// Concurrency limit of the receiver at a target.
    fn small_share(&self, target: &str) -> u32 {
        u32::from(self.grants_share && !self.cold.contains(target))
    }
}

/// State of one host for one group.
#[derive(Debug)]
pub struct GroupLease {
    timing: LeaseTiming,
    rank: Rank,
    next: Option<Name>,
    /// Time since which the host has had a rank.
    since: Instant,
    /// Time by which all requests of previous holders of the rank have ended.
    drained_at: Instant,
    /// Time by which all requests of the previous next-ranked host have ended.
    next_drained: Instant,
    /// Last heartbeat that was acked, with the time at which it was sent.
    acked: Option<(Instant, Heartbeat)>,
    /// Last heartbeat that was received, with the time of receipt.
    received: Option<(Instant, Heartbeat)>,
}

impl GroupLease {
    /// Creates the state of a host without a rank.
    pub fn new(timing: LeaseTiming, now: Instant) -> Self {
        let (rank, next, acked, received) = (Rank::Other, None, None, None);
        let drained_at = now + timing.takeover();
        Self { timing, rank, next, since: now, drained_at, next_drained: now, acked, received }
    }

    /// Sets the rank of the host in its own view, and the next-ranked host.
    pub fn set_rank(&mut self, now: Instant, rank: Rank, next: Option<Name>) {
        if rank != Rank::Other && self.rank == Rank::Other {
            self.since = now;
            self.drained_at = now + self.timing.takeover();
            self.received = None;
        }
        if next != self.next {
            // Without a valid lease, the previous backup may have been active.
            let has_lease = self.valid_lease(now).is_some();
            self.next_drained = if has_lease { now } else { now + self.timing.takeover() };
            self.acked = None;
        }
        (self.rank, self.next) = (rank, next);
    }

    /// Heartbeat to send now, with its receiver; `cold` names the targets that are not fully warm.
    pub fn heartbeat(&self, now: Instant, cold: Set<Name>) -> Option<(Name, Heartbeat)> {
        let grants_share = self.rank == Rank::First && self.is_active(now);
        let sends = grants_share || self.rank == Rank::Second;
        let next = self.next.clone().filter(|_| sends)?;
        Some((next, Heartbeat { grants_share, cold }))
    }

    /// Records a heartbeat of a higher-ranked host.
    pub fn receive(&mut self, now: Instant, heartbeat: Heartbeat) {
        self.received = Some((now, heartbeat));
    }

    /// Whether the last heartbeat may be acked, given the requests in flight to each target.
    pub fn may_ack<'a>(
        &self,
        now: Instant,
        in_flight: impl IntoIterator<Item = (&'a Name, u32)>,
    ) -> bool {
        let Some((_, heartbeat)) = &self.received else { return false };
        // Until the host is second, it can't tell what a previous backup has in flight.
        let is_eligible = self.rank == Rank::Second || !heartbeat.grants_share;
        is_eligible
            && now >= self.drained_at
            && in_flight.into_iter().all(|(t, count)| count <= heartbeat.small_share(t))
    }

    /// Records the ack of host `next` to the heartbeat sent at `sent`.
    pub fn record_ack(&mut self, next: &str, sent: Instant, heartbeat: Heartbeat) {
        let is_newer = self.acked.as_ref().is_none_or(|(at, _)| *at < sent);
        if is_newer && self.next.as_deref() == Some(next) {
            self.acked = Some((sent, heartbeat));
        }
    }

    /// Concurrency limit of the host at a target whose ramp allows `level`.
    pub fn share(&self, now: Instant, target: &str, level: u32, is_warm: bool) -> u32 {
        if self.rank == Rank::Other || now < self.drained_at {
            return 0;
        }
        if !self.is_active(now) {
            let heartbeat = self.received.as_ref();
            return heartbeat.map_or(0, |(_, heartbeat)| heartbeat.small_share(target)).min(level);
        }
        if self.next.is_none() && now >= self.next_drained {
            return level;
        }
        match self.valid_lease(now) {
            Some(heartbeat) if is_warm || heartbeat.cold.contains(target) => level,
            None if is_warm && self.rank == Rank::First => level.min(1),
            _ => 0,
        }
    }

    /// The last acked heartbeat, while its lease is valid.
    fn valid_lease(&self, now: Instant) -> Option<&Heartbeat> {
        let (sent, heartbeat) = self.acked.as_ref()?;
        (now < *sent + self.timing.validity).then_some(heartbeat)
    }

    /// Whether no higher-ranked host can have more than a small share in flight.
    fn is_active(&self, now: Instant) -> bool {
        let last = self.received.as_ref().map_or(self.since, |(at, _)| *at);
        now >= last + self.timing.takeover()
    }
}
