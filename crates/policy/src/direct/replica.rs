//! One target as this host sees it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::Name;
use sapphirerack_routes::Target;
use serde::{Deserialize, Serialize};

/// Weight of a new latency in a target's slowness.
const GAIN: f64 = 0.3;

/// Bounds of one observation of the slowness.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.2..=30.0;

/// Time after which half of a target's failures are forgotten.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Time after which half of a target's slowness is forgotten when it was slow once. It doubles each
/// time that the target is still slow: one that has paused is back at once, and one that stays
/// slow is tried ever less.
const SLOW_HALF_LIFE: Duration = Duration::from_millis(300);

/// Most doublings of that time.
const MOST_DOUBLINGS: u32 = 3;

/// Multiple of the usual time from which a target counts as slow.
const SLOW: f64 = 3.0;

/// How much a target that fails all its requests counts as slower.
const FAILURE_WEIGHT: f64 = 25.0;

/// How much a target that is silent beyond its usual time counts as slower.
const SILENCE_WEIGHT: f64 = 40.0;

/// Time for which a target is silent after which it does not just pause.
const LONG_SILENCE: Duration = Duration::from_millis(400);

/// Time after an opening of a connection that nobody answered before the target is tried again.
const UNREACHED_TIME: Duration = Duration::from_millis(1_500);

/// How much a request that is already there counts as slower.
const LOAD_WEIGHT: f64 = 0.6;

/// How much a target in another data centre counts as slower.
const DISTANCE_WEIGHT: f64 = 3.0;

/// Slow answers in a row from which a target is not just pausing.
const CERTAIN: u32 = 2;

/// Time between two slow answers that did not wait for the same pause.
const APART: Duration = Duration::from_millis(80);

/// Time for which a slow answer is told to other hosts.
const REPORT_LIFE: Duration = Duration::from_millis(1_500);

/// What one host tells the others of a slow target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowReport {
    /// Id of the target.
    pub target: Name,
    /// Multiple of the usual time that it took.
    pub slowness: f32,
    /// Times in a row that it was slow.
    pub strikes: u32,
    /// Time since the last answer that was slow, in milliseconds.
    pub age: u32,
}

/// A request in hand at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// With a good answer.
    Answered,
    /// The target refused it as not run.
    Refused,
    /// With an error, a broken connection or an answer that can't be used.
    Failed,
    /// Nobody answered when a connection was opened.
    Unreached,
    /// The caller needs it no more.
    Cancelled,
    /// It was never sent; nothing was learnt.
    Unsent,
}

#[derive(Debug)]
struct Held {
    ticket: Ticket,
    since: Instant,
    usual: Duration,
    overdue: Duration,
}

/// One target with what was observed of it.
#[derive(Debug)]
pub struct Replica {
    target: Arc<Target>,
    local: bool,
    held: Vec<Held>,
    slowness: f64,
    failing: f64,
    observed: Instant,
    heard: Instant,
    cold_until: Instant,
    /// When nobody answered there, unless something has come since.
    unreached: Option<Instant>,
    /// Times in a row that the target was slow.
    strikes: u32,
    struck: Option<Instant>,
}

impl Replica {
    /// A target of which nothing was observed yet.
    pub fn new(target: Arc<Target>, local: bool, now: Instant) -> Self {
        let cold_until = now + target.cold;
        let (held, slowness, failing) = (Vec::new(), 1.0, 0.0);
        Self {
            target,
            local,
            held,
            slowness,
            failing,
            observed: now,
            heard: now,
            cold_until,
            unreached: None,
            strikes: 0,
            struck: None,
        }
    }

    /// The target.
    pub fn target(&self) -> &Arc<Target> {
        &self.target
    }

    /// Whether the target stands in the host's own data centre.
    pub fn is_local(&self) -> bool {
        self.local
    }

    /// Requests of this host that are in hand there.
    pub fn load(&self) -> usize {
        self.held.len()
    }

    /// Whether the target is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Takes a newer announcement of the same run.
    pub fn update(&mut self, target: Arc<Target>, now: Instant) {
        if !target.cold.is_zero() {
            self.cold_until = now + target.cold;
        }
        self.target = target;
    }

    /// Takes note of a request that is sent; `id` is unique within the service.
    pub(super) fn start(
        &mut self,
        id: u64,
        usual: Duration,
        overdue: Duration,
        now: Instant,
    ) -> Ticket {
        let ticket = Ticket(id);
        self.held.push(Held { ticket, since: now, usual, overdue });
        ticket
    }

    /// Takes note of the end of a request; its latency if the ticket was in hand.
    pub(super) fn end(&mut self, ticket: Ticket, ending: Ending, now: Instant) -> Option<Duration> {
        let at = self.held.iter().position(|h| h.ticket == ticket)?;
        let held = self.held.swap_remove(at);
        let latency = now.saturating_duration_since(held.since);
        match ending {
            Ending::Answered => {
                self.hear_answer(now);
                self.observe(&held, latency, 0.0, now);
            }
            Ending::Refused | Ending::Failed => {
                self.hear_answer(now);
                self.fail(now);
            }
            Ending::Unreached => {
                self.unreached = Some(now);
                self.fail(now);
            }
            // It would have taken at least as long as this.
            Ending::Cancelled if latency > held.overdue => {
                let failing = self.failing;
                self.observe(&held, latency, failing, now);
            }
            Ending::Cancelled | Ending::Unsent => {}
        }
        Some(latency)
    }

    fn hear_answer(&mut self, now: Instant) {
        self.heard = now;
        self.unreached = None;
    }

    fn observe(&mut self, held: &Held, latency: Duration, failing: f64, now: Instant) {
        let ratio = latency.as_secs_f64() / held.usual.as_secs_f64().max(1e-4);
        let ratio = ratio.clamp(*SLOWNESS.start(), *SLOWNESS.end());
        let (slowness, before) = (self.slowness(now), self.failing(now));
        // A sudden change shows in full; an average would send more requests into it.
        let gain = if ratio > slowness * SLOW { 0.7 } else { GAIN };
        self.slowness = slowness + gain * (ratio - slowness);
        self.failing = before + GAIN * (failing - before);
        self.observed = now;
        if ratio < SLOW {
            self.strikes = 0;
        } else if self.struck.is_none_or(|at| held.since > at) {
            // Requests that waited for the same pause count once.
            self.strikes += 1;
            self.struck = Some(now);
        }
    }

    fn fail(&mut self, now: Instant) {
        let (slowness, failing) = (self.slowness(now), self.failing(now));
        self.slowness = slowness;
        self.failing = failing + GAIN * (1.0 - failing);
        self.observed = now;
    }

    /// Part of what was observed that still counts, 0 to 1.
    fn kept(&self, half_life: Duration, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.observed);
        0.5_f64.powf(idle.as_secs_f64() / half_life.as_secs_f64())
    }

    fn slowness(&self, now: Instant) -> f64 {
        let doublings = self.strikes.saturating_sub(1).min(MOST_DOUBLINGS);
        1.0 + (self.slowness - 1.0) * self.kept(SLOW_HALF_LIFE * 2_u32.pow(doublings), now)
    }

    fn failing(&self, now: Instant) -> f64 {
        self.failing * self.kept(FAILURE_HALF_LIFE, now)
    }

    /// Whether a request in hand is overdue and the target has answered nothing since it was sent.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.held.iter().any(|h| now > h.since + h.overdue && self.heard <= h.since)
    }

    /// Whether nothing has come from the target for longer than a pause explains.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let unreached = self.unreached.is_some_and(|at| now < at + UNREACHED_TIME);
        let silent = |h: &Held| now > h.since + h.overdue.max(LONG_SILENCE);
        unreached || self.held.iter().any(|h| silent(h) && self.heard <= h.since)
    }

    /// Whether the target was found to be slow just now, and not for the first time.
    pub fn is_slow_again(&self, now: Instant) -> bool {
        self.struck == Some(now) && self.is_slow()
    }

    /// What other hosts should know of the target, if it is slow.
    pub fn report(&self, now: Instant) -> Option<SlowReport> {
        let age = now.saturating_duration_since(self.observed);
        let slow = self.strikes > 0 && self.slowness >= SLOW && age < REPORT_LIFE;
        slow.then(|| SlowReport {
            target: self.target.id.clone(),
            slowness: self.slowness as f32,
            strikes: self.strikes,
            age: age.as_millis() as u32,
        })
    }

    /// Takes note of what another host reports; true if that makes the target count as slow.
    ///
    /// One slow answer may come from a pause. Two that came apart, seen by whichever hosts, do not.
    pub fn merge_report(&mut self, report: &SlowReport, now: Instant) -> bool {
        let age = Duration::from_millis(report.age.into());
        let Some(at) = now.checked_sub(age) else { return false };
        if at <= self.observed || age > REPORT_LIFE {
            return false;
        }
        let apart = self.struck.is_some_and(|t| at > t + APART && at < t + REPORT_LIFE);
        let known = self.is_slow();
        self.strikes = self.strikes.max(report.strikes);
        if apart {
            self.strikes = self.strikes.max(CERTAIN);
        }
        if self.struck.is_none_or(|t| at > t + APART) {
            self.struck = Some(at);
        }
        if !self.is_slow() {
            return false;
        }
        let slowness = f64::from(report.slowness).clamp(1.0, *SLOWNESS.end());
        if slowness > self.slowness(now) {
            self.slowness = slowness;
            self.observed = at;
        }
        !known
    }

    /// Whether the target was slow more often than a pause explains.
    fn is_slow(&self) -> bool {
        self.strikes >= CERTAIN
    }

    /// What is believed of the target, for the log.
    pub fn describe(&self, now: Instant) -> String {
        let (id, load, slowness) = (&self.target.id, self.load(), self.slowness(now));
        let (failing, silent) = (self.failing(now), self.is_silent(now));
        format!("{id}/load={load}/slowness={slowness:.1}/failing={failing:.2}/silent={silent}")
    }

    /// How much slower than usual a new request is expected to be; comparable between targets.
    pub fn cost(&self, now: Instant) -> f64 {
        let mut cost = self.slowness(now) * (1.0 + LOAD_WEIGHT * self.load() as f64);
        cost *= 1.0 + FAILURE_WEIGHT * self.failing(now);
        if !self.local {
            cost += DISTANCE_WEIGHT;
        }
        if self.is_silent(now) {
            cost += SILENCE_WEIGHT;
        }
        cost
    }
}
