//! Warm-up of a cold target: a concurrency limit that rises with successes.
//!
//! A target is cold when it is new, has returned, or starts to respond slowly, shed load or fail;
//! it then gets only its cold limit. Each step up requires a number of responses of ordinary
//! latency at the present level, with jitter, so that targets that warm up together don't step
//! together. The first step requires the most, as nothing else shows that the target has become
//! warm. A target that failed is left alone for a backoff that doubles with each further failure.

use std::time::{Duration, Instant};

use fastrand::Rng;

/// Successes required at the cold limit before the first step up.
pub(crate) const COLD_SUCCESSES: u32 = 64;

/// Successes required before each further step up, and upper bound of the jitter of every step.
const STEP_SUCCESSES: u32 = 16;

/// Consecutive slow responses after which a target is cold.
const MAX_SLOW_STREAK: u32 = 3;

const INITIAL_BACKOFF: Duration = Duration::from_millis(25);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Concurrency limit of a target between its cold and its full limit.
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
    backoff_end: Option<Instant>,
}

impl Ramp {
    /// Creates the ramp of a cold target, from `cold` to `full` requests.
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
            backoff_end: None,
        };
        ramp.restart_count(rng);
        ramp
    }

    /// Current concurrency limit.
    pub fn level(&self) -> u32 {
        self.level
    }

    /// Whether the limit has reached its full value.
    pub fn is_warm(&self) -> bool {
        self.level == self.full
    }

    /// Whether the target has not failed since its last success.
    pub fn is_healthy(&self) -> bool {
        self.failures == 0
    }

    /// Whether the target is held at its cold limit after a failure.
    pub fn is_recovering(&self) -> bool {
        self.recovering
    }

    /// End of the backoff after a failure, if later than `now`.
    pub fn backoff_end(&self, now: Instant) -> Option<Instant> {
        self.backoff_end.filter(|end| *end > now)
    }

    /// Changes the limits; a warm target stays warm.
    pub fn set_limits(&mut self, cold: u32, full: u32) {
        self.cold = cold.min(full);
        self.level = if self.is_warm() { full } else { self.level.clamp(self.cold, full) };
        self.full = full;
    }

    /// Records a response of ordinary latency.
    pub fn record_success(&mut self, rng: &mut Rng) {
        self.slow = 0;
        self.failures = 0;
        if self.is_warm() {
            return;
        }
        self.successes += 1;
        if self.successes >= self.needed {
            self.level += 1;
            self.recovering = false;
            self.restart_count(rng);
        }
    }

    /// Records a response that took far longer than usual.
    pub fn record_slow(&mut self, rng: &mut Rng) {
        self.slow += 1;
        if self.slow >= MAX_SLOW_STREAK {
            self.reset_to_cold(rng);
        }
    }

    /// Records a refusal or failure.
    pub fn record_failure(&mut self, now: Instant, rng: &mut Rng) {
        self.reset_to_cold(rng);
        let backoff = INITIAL_BACKOFF.saturating_mul(1 << self.failures.min(16)).min(MAX_BACKOFF);
        self.backoff_end = Some(now + backoff.mul_f64(0.5 + rng.f64() / 2.0));
        self.failures += 1;
        self.recovering = true;
    }

    fn reset_to_cold(&mut self, rng: &mut Rng) {
        self.level = self.cold;
        self.slow = 0;
        self.restart_count(rng);
    }

    fn restart_count(&mut self, rng: &mut Rng) {
        self.successes = 0;
        let base = if self.level == self.cold { COLD_SUCCESSES } else { STEP_SUCCESSES };
        self.needed = base + rng.u32(0..STEP_SUCCESSES);
    }
}
