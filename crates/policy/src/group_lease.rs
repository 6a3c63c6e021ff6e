//! Who may use how much of a target while hosts disagree about who owns its group.
//!
//! Hosts are ranked for a group among all that were live lately and are not known to be gone, so
//! that a host that is only unreachable keeps its rank. The first-ranked host holds the group and
//! the second stands in for it. Each sends the next-ranked one a [`Guard`] at short intervals,
//! which is answered once it has been taken note of; the first's names the targets that are not
//! fully warm.
//!
//! | who | when | share of a warm target | share of any other target |
//! |---|---|---|---|
//! | first or stand-in at work | its guard was answered within `contact`, or nobody is next | its ramp | its ramp if the answered guard lists it, else 0 |
//! | first | its guard was not answered | 1 | 0 |
//! | stand-in | guarded | 1 | 1 if the guard does not list it, else 0 |
//!
//! A host is at work once it has held its rank, and has had no guard, for `contact + work`. The
//! stand-in's 1 comes on top of slots and waiting and is never the first's, so that a killed owner
//! costs no coverage meanwhile. Why the sum holds, for clocks that run at the same rate:
//!
//! - A host uses more than 1 only within `contact` of sending a guard that was answered. The next
//!   one took note of that guard after it was sent, and is at work only `contact + work` after it
//!   took note, when all that the former had in hand has met its deadline (`work` is the longest
//!   deadline) and been dropped by the target.
//! - A guard is answered only once the answerer has no more than its small share in hand. So a
//!   host gets back what it had only after the other's work has ended.
//! - A target that is not fully warm gets nothing from the first until a guard that lists it was
//!   answered, and from then on nothing from the stand-in until it takes over.
//! - A host that was frozen finds its last answered guard too old, as it looks at the clock before
//!   each dispatch. A request that left late carries its deadline, after which the target drops it.
//! - A host that has just got a rank waits `contact + work` before it uses or answers anything, as
//!   what a former holder, or its own former process, sent may still run.
//!
//! What it does not cover: hosts of one data centre that have never heard of each other.

use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Name, Set};

/// Times of the protocol.
#[derive(Clone, Copy, Debug)]
pub struct GuardTiming {
    /// Time for which an answered guard is good.
    pub contact: Duration,
    /// Longest time that a request may be at a target, with a margin for clocks.
    pub work: Duration,
}

impl GuardTiming {
    /// Time after which a silent host has nothing in hand any more. Hosts must also have learnt of
    /// a change of the ranks within `contact` of each other.
    fn takeover(&self) -> Duration {
        self.contact + self.work
    }
}

/// Rank of a host for a group in its own view.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rank {
    /// First-ranked.
    First,
    /// Stand-in of the first-ranked host.
    Second,
    /// Neither.
    Other,
}

/// What a host tells the next-ranked one.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Guard {
    /// Whether the small share is free.
    pub shares: bool,
    /// Targets that are not fully warm.
    pub cold: Set<Name>,
}

impl Guard {
    /// Requests that it leaves to its receiver at a target.
    fn small_share(&self, target: &str) -> u32 {
        u32::from(self.shares && !self.cold.contains(target))
    }
}

/// One host's part in one group.
#[derive(Debug)]
pub struct Tenure {
    timing: GuardTiming,
    rank: Rank,
    next: Option<Name>,
    /// Start of the rank.
    since: Instant,
    /// Time by which all that former holders of the rank had in hand has ended.
    clean: Instant,
    /// Time by which all that the former next-ranked host had in hand has ended.
    alone: Instant,
    /// The last guard that was answered, with the time at which it was sent.
    answered: Option<(Instant, Guard)>,
    /// The last guard that came, with the time at which it was taken note of.
    received: Option<(Instant, Guard)>,
}

impl Tenure {
    /// A host without a rank.
    pub fn new(timing: GuardTiming, now: Instant) -> Self {
        let (rank, next, answered, received) = (Rank::Other, None, None, None);
        let clean = now + timing.takeover();
        Self { timing, rank, next, since: now, clean, alone: now, answered, received }
    }

    /// Takes note of the rank that the host has in its own view, and of the next-ranked host.
    pub fn set_rank(&mut self, now: Instant, rank: Rank, next: Option<Name>) {
        if rank != Rank::Other && self.rank == Rank::Other {
            self.since = now;
            self.clean = now + self.timing.takeover();
            self.received = None;
        }
        if next != self.next {
            // A lost stand-in out of contact may have been at work.
            let in_contact = self.contact(now).is_some();
            self.alone = if in_contact { now } else { now + self.timing.takeover() };
            self.answered = None;
        }
        (self.rank, self.next) = (rank, next);
    }

    /// Guard to be sent now, with its receiver; `cold` names the targets that are not fully warm.
    pub fn guard(&self, now: Instant, cold: Set<Name>) -> Option<(Name, Guard)> {
        let shares = self.rank == Rank::First && self.is_at_work(now);
        let sends = shares || self.rank == Rank::Second;
        let next = self.next.clone().filter(|_| sends)?;
        Some((next, Guard { shares, cold }))
    }

    /// Takes note of a guard of a host that ranks before this one.
    pub fn receive(&mut self, now: Instant, guard: Guard) {
        self.received = Some((now, guard));
    }

    /// Whether the last guard may be answered, given the requests in hand at each target.
    pub fn may_answer<'a>(
        &self,
        now: Instant,
        running: impl IntoIterator<Item = (&'a Name, u32)>,
    ) -> bool {
        let Some((_, guard)) = &self.received else { return false };
        // Before it knows its rank it can't tell what a former stand-in may have in hand.
        let knows = self.rank == Rank::Second || !guard.shares;
        knows
            && now >= self.clean
            && running.into_iter().all(|(t, count)| count <= guard.small_share(t))
    }

    /// Takes note that host `next` answered the guard sent at `sent`.
    pub fn answered(&mut self, next: &str, sent: Instant, guard: Guard) {
        let is_newer = self.answered.as_ref().is_none_or(|(at, _)| *at < sent);
        if is_newer && self.next.as_deref() == Some(next) {
            self.answered = Some((sent, guard));
        }
    }

    /// Requests that the host may have at a target whose ramp allows `level`.
    pub fn share(&self, now: Instant, target: &str, level: u32, is_warm: bool) -> u32 {
        if self.rank == Rank::Other || now < self.clean {
            return 0;
        }
        if !self.is_at_work(now) {
            let guard = self.received.as_ref();
            return guard.map_or(0, |(_, guard)| guard.small_share(target)).min(level);
        }
        if self.next.is_none() && now >= self.alone {
            return level;
        }
        match self.contact(now) {
            Some(guard) if is_warm || guard.cold.contains(target) => level,
            None if is_warm && self.rank == Rank::First => level.min(1),
            _ => 0,
        }
    }

    /// The last guard that was answered, if it is still good.
    fn contact(&self, now: Instant) -> Option<&Guard> {
        let (sent, guard) = self.answered.as_ref()?;
        (now < *sent + self.timing.contact).then_some(guard)
    }

    /// Whether nobody ranked before this host can have more than a small share in hand.
    fn is_at_work(&self, now: Instant) -> bool {
        let last = self.received.as_ref().map_or(self.since, |(at, _)| *at);
        now >= last + self.timing.takeover()
    }
}
