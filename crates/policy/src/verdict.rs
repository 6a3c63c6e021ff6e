//! Sequential comparison of a new version with the old one.
//!
//! Outcomes come in blocks: what both versions did in the same short time. For each block and each
//! assumed effect, the test multiplies a likelihood ratio between "the new version's rate is higher
//! by the effect" and the closest case in which it is higher by no more than a margin. The mean of
//! the products over the effects is an e-value at any time (Turner and Grünwald, "Exact
//! anytime-valid confidence intervals for contingency tables and beyond"): if the new version is
//! within the margin, the chance that the e-value ever reaches `1 / a` is at most `a`, however
//! often it is looked at (Ville's inequality). Each of the tests of a move gets its part of
//! [`FALSE_ALARM_RATE`].
//!
//! A fault may show late, when a long good record weighs against it. So half of the stake is kept
//! back and paid in evenly over the planned blocks: the product is a mixture over the times at
//! which the fault may begin, and stays an e-value.

use serde::{Deserialize, Serialize};

/// Chance that a version within the margins is ever found bad in one move.
pub const FALSE_ALARM_RATE: f64 = 0.001;

/// Chance at which evidence counts as suspicion, so that a move does not go on.
pub const SUSPICION_RATE: f64 = 0.05;

/// Tests of a move: failures, the median and the tail of the latency.
pub const TESTS: usize = 3;

/// Effects that each test assumes.
const EFFECTS: usize = 3;

/// Part of the stake that is paid in over the planned blocks.
const RESERVE: f64 = 0.5;

/// Steps of the search for the closest harmless case.
const SEARCH_STEPS: usize = 40;

/// Rates stay this far from 0 and 1.
const RATE_FLOOR: f64 = 1e-6;

/// Outcomes that a version's assumed rate counts for.
const PRIOR_TRIALS: f64 = 5.0;

/// Requests of one version and how many of them show the event that a test is about.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Requests.
    pub trials: u64,
    /// Requests with the event.
    pub events: u64,
}

impl Count {
    /// Adds another count.
    pub fn add(&mut self, other: Self) {
        self.trials += other.trials;
        self.events += other.events;
    }
}

/// What a test is about.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Design {
    /// Rate of the event by which the new version may exceed the old.
    pub margin: f64,
    /// Excesses that are looked for.
    pub effects: [f64; EFFECTS],
    /// Rate assumed of the old version before anything is known.
    pub prior: f64,
}

/// The event is a failure.
pub const FAILING: Design = Design { margin: 0.005, effects: [0.02, 0.15, 0.9], prior: 0.01 };

/// The event is a latency well above the old version's median.
pub const SLOW_MEDIAN: Design = Design { margin: 0.1, effects: [0.2, 0.4, 0.8], prior: 0.1 };

/// The event is a latency well above nearly all of the old version's.
pub const SLOW_TAIL: Design = Design { margin: 0.02, effects: [0.05, 0.15, 0.5], prior: 0.05 };

/// Logarithms of the products of one test, one for each effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Products(pub [f32; EFFECTS]);

impl Products {
    /// Adds the products of an independent source.
    pub fn add(&mut self, other: &Self) {
        for (own, other) in self.0.iter_mut().zip(other.0) {
            *own += other;
        }
    }

    /// Logarithm of the e-value.
    pub fn log_value(&self) -> f64 {
        let logs = self.0.map(f64::from);
        let top = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = logs.iter().map(|l| (l - top).exp()).sum();
        top + (sum / EFFECTS as f64).ln()
    }
}

/// A sequential test of one event.
#[derive(Clone, Copy, Debug)]
pub struct Test {
    design: Design,
    logs: [f64; EFFECTS],
    /// Stake not paid in yet, and what is paid in before each block.
    reserve: f64,
    payment: f64,
    old: Count,
    pending: (Count, Count),
}

impl Test {
    /// Test without any evidence yet, planned for a number of blocks.
    pub fn new(design: Design, blocks: u64) -> Self {
        let (old, pending) = (Count::default(), Default::default());
        let payment = RESERVE / blocks.max(1) as f64;
        let logs = [(1.0 - RESERVE).ln(); EFFECTS];
        Self { design, logs, reserve: RESERVE, payment, old, pending }
    }

    /// Takes in what both versions did since the last time.
    ///
    /// Outcomes of one version wait until there are some of the other to compare them with.
    pub fn observe(&mut self, old: Count, new: Count) {
        self.pending.0.add(old);
        self.pending.1.add(new);
        let (old, new) = self.pending;
        if old.trials == 0 || new.trials == 0 {
            return;
        }
        self.pending = Default::default();
        let base = self.old_rate();
        let paid = self.payment.min(self.reserve);
        self.reserve -= paid;
        for (log, effect) in self.logs.iter_mut().zip(self.design.effects) {
            let worse = (base + effect).min(1.0 - RATE_FLOOR);
            *log = log_sum(*log, paid) + log_ratio(old, new, base, worse, self.design.margin);
        }
        self.old.add(old);
    }

    /// Products so far, to be added to those of other hosts.
    pub fn products(&self) -> Products {
        Products(self.logs.map(|l| log_sum(l, self.reserve) as f32))
    }

    /// Estimate of the old version's rate from the past alone.
    fn old_rate(&self) -> f64 {
        let events = self.old.events as f64 + self.design.prior * PRIOR_TRIALS;
        let rate = events / (self.old.trials as f64 + PRIOR_TRIALS);
        rate.clamp(RATE_FLOOR, 1.0 - RATE_FLOOR)
    }
}

/// Logarithm of the sum of `exp(log)` and `value`.
fn log_sum(log: f64, value: f64) -> f64 {
    let other = value.max(f64::MIN_POSITIVE).ln();
    let top = log.max(other);
    top + ((log - top).exp() + (other - top).exp()).ln()
}

/// Log-likelihood ratio of a block: rates `base` and `worse` against the closest harmless pair.
fn log_ratio(old: Count, new: Count, base: f64, worse: f64, margin: f64) -> f64 {
    if worse <= base + margin {
        return 0.0;
    }
    let near = nearest(old.trials as f64, new.trials as f64, base, worse, margin);
    log_likelihood(old, base) + log_likelihood(new, worse)
        - log_likelihood(old, near)
        - log_likelihood(new, near + margin)
}

fn log_likelihood(count: Count, rate: f64) -> f64 {
    let rate = rate.clamp(RATE_FLOOR, 1.0 - RATE_FLOOR);
    let rest = count.trials - count.events;
    count.events as f64 * rate.ln() + rest as f64 * (-rate).ln_1p()
}

/// Old rate of the harmless pair, `margin` apart, that is closest in relative entropy.
fn nearest(old: f64, new: f64, base: f64, worse: f64, margin: f64) -> f64 {
    let slope = |rate: f64, goal: f64| {
        let rate = rate.clamp(RATE_FLOOR, 1.0 - RATE_FLOOR);
        (rate - goal) / (rate * (1.0 - rate))
    };
    let (mut low, mut high) = (base, worse - margin);
    for _ in 0..SEARCH_STEPS {
        let mid = f64::midpoint(low, high);
        if old * slope(mid, base) + new * slope(mid + margin, worse) < 0.0 {
            low = mid;
        } else {
            high = mid;
        }
    }
    f64::midpoint(low, high)
}

/// Log e-value at which a test alarms, if `tests` of them share the chance of a false alarm.
pub fn alarm_threshold(tests: usize) -> f64 {
    (tests.max(1) as f64 / FALSE_ALARM_RATE).ln()
}

/// Log e-value from which evidence counts as suspicion.
pub fn suspicion_threshold() -> f64 {
    (1.0 / SUSPICION_RATE).ln()
}
