//! Cold start of a target.
//!
//! A target that is new, back, or suddenly slow, shedding or failing is cold: it gets no more
//! than its cold limit. Each step up takes a number of answers in ordinary time at the present
//! level, with jitter, so that targets that warm together don't step together; the first step
//! takes the most, as nothing else tells that the target has become warm. A target that failed
//! rests for a while that doubles with each further failure.

use std::time::{Duration, Instant};

use fastrand::Rng;

/// Successes at the cold limit before the first step up.
pub(crate) const COLD_SUCCESSES: u32 = 64;

/// Successes before each further step up, and the most by which any step is delayed at random.
const STEP_SUCCESSES: u32 = 16;

/// Slow answers in a row after which a target is cold.
const SLOW_RUN: u32 = 3;

const FIRST_REST: Duration = Duration::from_millis(25);
const LONGEST_REST: Duration = Duration::from_secs(1);

/// How many requests a target may be given at the same time.
#[derive(Clone, Debug)]
pub struct Ramp {
    cold: u32,
    full: u32,
    level: u32,
    successes: u32,
    needed: u32,
    slow: u32,
    failures: u32,
    recovering: bool,
    rest: Option<Instant>,
}

impl Ramp {
    /// Ramp of a cold target, from `cold` to `full` requests.
    pub fn new(cold: u32, full: u32, rng: &mut Rng) -> Self {
        let cold = cold.min(full);
        let mut ramp = Self {
            cold,
            full,
            level: cold,
            successes: 0,
            needed: 0,
            slow: 0,
            failures: 0,
            recovering: false,
            rest: None,
        };
        ramp.restart(rng);
        ramp
    }

    /// Requests that the target may have at the same time.
    pub fn level(&self) -> u32 {
        self.level
    }

    /// Whether the target is fully warm.
    pub fn is_warm(&self) -> bool {
        self.level == self.full
    }

    /// Whether the target has not failed since its last success.
    pub fn is_proven(&self) -> bool {
        self.failures == 0
    }

    /// Whether the target is held at its cold limit after a failure.
    pub fn is_recovering(&self) -> bool {
        self.recovering
    }

    /// End of the rest after a failure, if it is later than `now`.
    pub fn rest(&self, now: Instant) -> Option<Instant> {
        self.rest.filter(|end| *end > now)
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, cold: u32, full: u32) {
        self.cold = cold.min(full);
        self.level = if self.is_warm() { full } else { self.level.clamp(self.cold, full) };
        self.full = full;
    }

    /// Takes note of an answer in ordinary time.
    pub fn succeeded(&mut self, rng: &mut Rng) {
        self.slow = 0;
        self.failures = 0;
        if self.is_warm() {
            return;
        }
        self.successes += 1;
        if self.successes >= self.needed {
            self.level += 1;
            self.recovering = false;
            self.restart(rng);
        }
    }

    /// Takes note of an answer that took far longer than is usual.
    pub fn slowed(&mut self, rng: &mut Rng) {
        self.slow += 1;
        if self.slow >= SLOW_RUN {
            self.chill(rng);
        }
    }

    /// Takes note of a refusal or failure.
    pub fn failed(&mut self, now: Instant, rng: &mut Rng) {
        self.chill(rng);
        let rest = FIRST_REST.saturating_mul(1 << self.failures.min(16)).min(LONGEST_REST);
        self.rest = Some(now + rest.mul_f64(0.5 + rng.f64() / 2.0));
        self.failures += 1;
        self.recovering = true;
    }

    fn chill(&mut self, rng: &mut Rng) {
        self.level = self.cold;
        self.slow = 0;
        self.restart(rng);
    }

    fn restart(&mut self, rng: &mut Rng) {
        self.successes = 0;
        let base = if self.level == self.cold { COLD_SUCCESSES } else { STEP_SUCCESSES };
        self.needed = base + rng.u32(0..STEP_SUCCESSES);
    }
}
