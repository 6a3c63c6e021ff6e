//! Observed state of one target.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::Name;
use sapphirerack_routes::Target;
use serde::{Deserialize, Serialize};

/// EWMA weight of a new observation.
const GAIN: f64 = 0.3;

/// Bounds of one observed slowness, a multiple of the expected latency.
const SLOWNESS_BOUNDS: std::ops::RangeInclusive<f64> = 0.2..=30.0;

/// Half-life of a target's failure rate while nothing is observed.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(1_500);

/// Half-life of a target's slowness after one slow answer. It doubles with each further one, so
/// that a target recovers quickly from a pause, and one that stays slow gets ever fewer requests.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_millis(300);

/// Most doublings of `SLOWNESS_HALF_LIFE`.
const MAX_DOUBLINGS: u32 = 3;

/// Multiple of the expected latency from which an answer is slow.
const SLOW_RATIO: f64 = 3.0;

/// Relative cost added for a target that fails all requests.
const FAILURE_WEIGHT: f64 = 25.0;

/// Cost added for a silent target.
const SILENCE_WEIGHT: f64 = 40.0;

/// Longest silence that a pause of the target's process explains.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Time after a connection attempt without an answer before the target is tried again.
const RECONNECT_DELAY: Duration = Duration::from_millis(1_500);

/// Longest time for which a target is taken to hold this host off.
const MAX_HOLD_OFF: Duration = Duration::from_secs(60);

/// Relative cost added for each request in flight.
const LOAD_WEIGHT: f64 = 0.6;

/// Cost added for a target in another data centre.
const DISTANCE_WEIGHT: f64 = 3.0;

/// Consecutive slow answers that a single pause does not explain.
const MIN_STREAK: u32 = 2;

/// Least time between two slow answers that a single pause does not explain.
const MIN_GAP: Duration = Duration::from_millis(80);

/// Time for which a slow answer is reported to other hosts.
const REPORT_TTL: Duration = Duration::from_millis(1_500);

/// Report of a slow target, gossiped between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SlowReport {
    /// Id of the target.
    pub target: Name,
    /// Latency as a multiple of the expected latency.
    pub slowness: f32,
    /// Consecutive slow answers.
    pub strikes: u32,
    /// Time since the last observation, in milliseconds.
    pub age: u32,
}

/// Identifies a request in flight at a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(u64);

/// How a request at a target ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// Successful answer.
    Answered,
    /// Refused by the target without running it.
    Refused,
    /// Error, broken connection or unusable answer.
    Failed,
    /// The connection attempt got no answer.
    Unreached,
    /// The result is no longer needed.
    Cancelled,
    /// Never sent; says nothing about the target.
    Unsent,
}

#[derive(Debug)]
struct InFlight {
    ticket: Ticket,
    sent: Instant,
    expected: Duration,
    overdue: Duration,
}

/// A target with this host's observations of it.
#[derive(Debug)]
pub struct Replica {
    target: Arc<Target>,
    local: bool,
    in_flight: Vec<InFlight>,
    slowness: f64,
    failing: f64,
    /// Last update of `slowness` and `failing`.
    observed: Instant,
    last_answer: Instant,
    cold_until: Instant,
    /// Last connection attempt without an answer, if the target has not answered since.
    unreached: Option<Instant>,
    /// Consecutive slow answers.
    slow_streak: u32,
    last_slow: Option<Instant>,
    /// End of the time for which the target asked for no requests.
    held_until: Option<Instant>,
}

impl Replica {
    /// A target without observations.
    pub fn new(target: Arc<Target>, local: bool, now: Instant) -> Self {
        let cold_until = cold_until(&target, now);
        let (in_flight, slowness, failing) = (Vec::new(), 1.0, 0.0);
        Self {
            target,
            local,
            in_flight,
            slowness,
            failing,
            observed: now,
            last_answer: now,
            cold_until,
            unreached: None,
            slow_streak: 0,
            last_slow: None,
            held_until: None,
        }
    }

    /// Last announcement of the target.
    pub fn target(&self) -> &Arc<Target> {
        &self.target
    }

    /// Whether the target is in the host's own data centre.
    pub fn is_local(&self) -> bool {
        self.local
    }

    /// Number of this host's requests in flight at the target.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether the target is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Records that the target wants no requests from this host for `time`.
    pub fn hold_off(&mut self, time: Duration, now: Instant) {
        self.held_until = self.held_until.max(Some(now + time.min(MAX_HOLD_OFF)));
    }

    /// Time for which the target still wants no requests from this host.
    pub fn held_for(&self, now: Instant) -> Duration {
        self.held_until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Whether the target takes a request, as far as this host knows: it does not hold this host
    /// off and fewer than `limit` of its requests are in flight.
    pub fn has_room(&self, limit: usize, now: Instant) -> bool {
        self.in_flight.len() < limit && self.held_for(now).is_zero()
    }

    /// Applies a newer announcement of the same process.
    pub fn update(&mut self, target: Arc<Target>, now: Instant) {
        if !target.cold.is_zero() {
            self.cold_until = cold_until(&target, now);
        }
        self.target = target;
    }

    /// Records a request as sent; `id` is unique within the service.
    pub(super) fn start(
        &mut self,
        id: u64,
        expected: Duration,
        overdue: Duration,
        now: Instant,
    ) -> Ticket {
        let ticket = Ticket(id);
        self.in_flight.push(InFlight { ticket, sent: now, expected, overdue });
        ticket
    }

    /// Records the end of a request; returns its latency if it was in flight.
    pub(super) fn end(&mut self, ticket: Ticket, ending: Ending, now: Instant) -> Option<Duration> {
        let at = self.in_flight.iter().position(|r| r.ticket == ticket)?;
        let request = self.in_flight.swap_remove(at);
        let latency = now.saturating_duration_since(request.sent);
        match ending {
            Ending::Answered => {
                self.record_answer(now);
                self.observe(&request, latency, 0.0, now);
            }
            Ending::Refused | Ending::Failed => {
                self.record_answer(now);
                self.fail(now);
            }
            Ending::Unreached => {
                self.unreached = Some(now);
                self.fail(now);
            }
            // Its latency would have been at least this long.
            Ending::Cancelled if latency > request.overdue => {
                let failing = self.failing;
                self.observe(&request, latency, failing, now);
            }
            Ending::Cancelled | Ending::Unsent => {}
        }
        Some(latency)
    }

    fn record_answer(&mut self, now: Instant) {
        self.last_answer = now;
        self.unreached = None;
    }

    fn observe(&mut self, request: &InFlight, latency: Duration, failing: f64, now: Instant) {
        let ratio = latency.as_secs_f64() / request.expected.as_secs_f64().max(1e-4);
        let ratio = ratio.clamp(*SLOWNESS_BOUNDS.start(), *SLOWNESS_BOUNDS.end());
        let (slowness, before) = (self.slowness(now), self.failing(now));
        // A sudden slowdown gets a high weight: the usual one would react only after more requests.
        let gain = if ratio > slowness * SLOW_RATIO { 0.7 } else { GAIN };
        self.slowness = slowness + gain * (ratio - slowness);
        self.failing = before + GAIN * (failing - before);
        self.observed = now;
        if ratio < SLOW_RATIO {
            self.slow_streak = 0;
        } else if self.last_slow.is_none_or(|at| request.sent > at) {
            // Requests delayed by the same pause count once.
            self.slow_streak += 1;
            self.last_slow = Some(now);
        }
    }

    fn fail(&mut self, now: Instant) {
        let (slowness, failing) = (self.slowness(now), self.failing(now));
        self.slowness = slowness;
        self.failing = failing + GAIN * (1.0 - failing);
        self.observed = now;
    }

    /// Remaining weight of earlier observations, 0 to 1.
    fn decay(&self, half_life: Duration, now: Instant) -> f64 {
        let idle = now.saturating_duration_since(self.observed);
        0.5_f64.powf(idle.as_secs_f64() / half_life.as_secs_f64())
    }

    fn slowness(&self, now: Instant) -> f64 {
        let doublings = self.slow_streak.saturating_sub(1).min(MAX_DOUBLINGS);
        1.0 + (self.slowness - 1.0) * self.decay(SLOWNESS_HALF_LIFE * 2_u32.pow(doublings), now)
    }

    fn failing(&self, now: Instant) -> f64 {
        self.failing * self.decay(FAILURE_HALF_LIFE, now)
    }

    /// Whether a request is overdue and the target has not answered any request since it was sent.
    pub fn is_silent(&self, now: Instant) -> bool {
        self.in_flight.iter().any(|r| now > r.sent + r.overdue && self.last_answer <= r.sent)
    }

    /// Whether the target can't be reached, or has been silent for longer than a pause explains.
    pub fn is_unresponsive(&self, now: Instant) -> bool {
        let unreached = self.unreached.is_some_and(|at| now < at + RECONNECT_DELAY);
        let silent = |r: &InFlight| now > r.sent + r.overdue.max(MAX_PAUSE);
        unreached || self.in_flight.iter().any(|r| silent(r) && self.last_answer <= r.sent)
    }

    /// Whether a slow answer was recorded at `now` that was not the first in a row.
    pub fn is_slow_again(&self, now: Instant) -> bool {
        self.last_slow == Some(now) && self.is_slow()
    }

    /// Report for other hosts, if the target was slow recently.
    pub fn report(&self, now: Instant) -> Option<SlowReport> {
        let age = now.saturating_duration_since(self.observed);
        let slow = self.slow_streak > 0 && self.slowness >= SLOW_RATIO && age < REPORT_TTL;
        slow.then(|| SlowReport {
            target: self.target.id.clone(),
            slowness: self.slowness as f32,
            strikes: self.slow_streak,
            age: age.as_millis() as u32,
        })
    }

    /// Merges the report of another host; true if the target thereby starts to count as slow.
    ///
    /// A pause may explain one slow answer, but not two that are `MIN_GAP` apart, whichever hosts
    /// observed them.
    pub fn merge_report(&mut self, report: &SlowReport, now: Instant) -> bool {
        let age = Duration::from_millis(report.age.into());
        let Some(at) = now.checked_sub(age) else { return false };
        if at <= self.observed || age > REPORT_TTL {
            return false;
        }
        let separate = self.last_slow.is_some_and(|t| at > t + MIN_GAP && at < t + REPORT_TTL);
        let was_slow = self.is_slow();
        self.slow_streak = self.slow_streak.max(report.strikes);
        if separate {
            self.slow_streak = self.slow_streak.max(MIN_STREAK);
        }
        if self.last_slow.is_none_or(|t| at > t + MIN_GAP) {
            self.last_slow = Some(at);
        }
        if !self.is_slow() {
            return false;
        }
        let slowness = f64::from(report.slowness).clamp(1.0, *SLOWNESS_BOUNDS.end());
        if slowness > self.slowness(now) {
            self.slowness = slowness;
            self.observed = at;
        }
        !was_slow
    }

    /// Whether the target was slow more often than a single pause explains.
    fn is_slow(&self) -> bool {
        self.slow_streak >= MIN_STREAK
    }

    /// State of the target, for the log.
    pub fn describe(&self, now: Instant) -> String {
        let (id, load, slowness) = (&self.target.id, self.in_flight(), self.slowness(now));
        let (failing, silent) = (self.failing(now), self.is_silent(now));
        format!("{id}/load={load}/slowness={slowness:.1}/failing={failing:.2}/silent={silent}")
    }

    /// Expected slowness of a new request, as a score to compare targets by; lower is better.
    pub fn cost(&self, now: Instant) -> f64 {
        let mut cost = self.slowness(now) * (1.0 + LOAD_WEIGHT * self.in_flight() as f64);
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

/// End of a target's warm-up; one that is longer than any time is taken for none.
fn cold_until(target: &Target, now: Instant) -> Instant {
    now.checked_add(target.cold).unwrap_or(now)
}
