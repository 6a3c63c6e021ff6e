//! Sequential comparison of a new version with the old one.
//!
//! Outcomes come in blocks: those of both versions in the same short time. For each block and each
//! assumed effect, the test multiplies in the likelihood ratio between "the new version's rate is
//! higher by the effect" and the closest case in which it is higher by no more than a margin. The
//! mean of the products over the effects is an e-value at any time (Turner and Grünwald, "Exact
//! anytime-valid confidence intervals for contingency tables and beyond"): if the new version is
//! within the margin, the probability that the e-value ever reaches `1 / a` is at most `a`, however
//! often it is checked (Ville's inequality). The tests of a move share [`FALSE_ALARM_RATE`].
//!
//! A fault may begin late, after many good outcomes that count against it. Half of the initial
//! weight is therefore kept in reserve and released evenly over the planned blocks: the product is
//! then a mixture over the times at which the fault may begin, and still an e-value.

use serde::{Deserialize, Serialize};

/// Probability that a version within the margins is ever found bad in one move.
pub const FALSE_ALARM_RATE: f64 = 0.001;

/// False-alarm rate of a suspicion, which holds a move at its stage.
pub const SUSPICION_RATE: f64 = 0.05;

/// Number of tests of a move: failures, median latency, tail latency.
pub const TESTS: usize = 3;

/// Number of effects that each test assumes.
const EFFECTS: usize = 3;

/// Share of the initial weight that is released over the planned blocks.
const RESERVE_SHARE: f64 = 0.5;

/// Bisection steps in the search for the closest harmless case.
const SEARCH_STEPS: usize = 40;

/// Rates are kept this far from 0 and 1, so that logarithms stay finite.
const RATE_FLOOR: f64 = 1e-6;

/// Number of outcomes that the prior rate weighs as much as.
const PRIOR_TRIALS: f64 = 5.0;

/// Requests to one version, and those among them that show the event under test.
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

/// Parameters of a test.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Design {
    /// Excess of the new version's event rate that is tolerated.
    pub margin: f64,
    /// Excesses of the rate that are tested for.
    pub effects: [f64; EFFECTS],
    /// Rate of the old version assumed before any outcome.
    pub prior: f64,
}

/// The event is a failure.
pub const FAILING: Design = Design { margin: 0.005, effects: [0.02, 0.15, 0.9], prior: 0.01 };

/// The event is a latency well above the old version's median.
pub const SLOW_MEDIAN: Design = Design { margin: 0.1, effects: [0.2, 0.4, 0.8], prior: 0.1 };

/// The event is a latency well above a high quantile of the old version's.
pub const SLOW_TAIL: Design = Design { margin: 0.02, effects: [0.05, 0.15, 0.5], prior: 0.05 };

/// Logarithms of the likelihood products of one test, one for each effect.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Products(pub [f32; EFFECTS]);

impl Products {
    /// Multiplies in the products of an independent source, as a sum of logarithms.
    pub fn add(&mut self, other: &Self) {
        for (own, other) in self.0.iter_mut().zip(other.0) {
            *own += other;
        }
    }

    /// Logarithm of the e-value.
    pub fn log_value(&self) -> f64 {
        let logs = self.0.map(f64::from);
        let max = logs.iter().copied().fold(f64::NEG_INFINITY, f64::max);
        let sum: f64 = logs.iter().map(|l| (l - max).exp()).sum();
        max + (sum / EFFECTS as f64).ln()
    }
}

/// A sequential test of one event.
#[derive(Clone, Copy, Debug)]
pub struct Test {
    design: Design,
    logs: [f64; EFFECTS],
    /// Weight not released yet, and the part released before each block.
    reserve: f64,
    release: f64,
    old: Count,
    pending: (Count, Count),
}

impl Test {
    /// A test without evidence, planned for a number of blocks.
    pub fn new(design: Design, blocks: u64) -> Self {
        let (old, pending) = (Count::default(), Default::default());
        let release = RESERVE_SHARE / blocks.max(1) as f64;
        let logs = [(1.0 - RESERVE_SHARE).ln(); EFFECTS];
        Self { design, logs, reserve: RESERVE_SHARE, release, old, pending }
    }

    /// Adds the outcomes of both versions since the last call.
    ///
    /// Outcomes of one version are kept until there are outcomes of the other to compare them with.
    pub fn observe(&mut self, old: Count, new: Count) {
        self.pending.0.add(old);
        self.pending.1.add(new);
        let (old, new) = self.pending;
        if old.trials == 0 || new.trials == 0 {
            return;
        }
        self.pending = Default::default();
        let base = self.old_rate();
        let released = self.release.min(self.reserve);
        self.reserve -= released;
        for (log, effect) in self.logs.iter_mut().zip(self.design.effects) {
            let worse = (base + effect).min(1.0 - RATE_FLOOR);
            *log = log_sum(*log, released) + log_ratio(old, new, base, worse, self.design.margin);
        }
        self.old.add(old);
    }

    /// Products so far, to be combined with those of other hosts.
    pub fn products(&self) -> Products {
        Products(self.logs.map(|l| log_sum(l, self.reserve) as f32))
    }

    /// Estimate of the old version's rate from past blocks alone.
    fn old_rate(&self) -> f64 {
        let events = self.old.events as f64 + self.design.prior * PRIOR_TRIALS;
        let rate = events / (self.old.trials as f64 + PRIOR_TRIALS);
        rate.clamp(RATE_FLOOR, 1.0 - RATE_FLOOR)
    }
}

/// Logarithm of the sum of `exp(log)` and `value`.
fn log_sum(log: f64, value: f64) -> f64 {
    let other = value.max(f64::MIN_POSITIVE).ln();
    let max = log.max(other);
    max + ((log - max).exp() + (other - max).exp()).ln()
}

/// Log-likelihood ratio of a block: rates `base` and `worse` against the closest harmless pair.
fn log_ratio(old: Count, new: Count, base: f64, worse: f64, margin: f64) -> f64 {
    if worse <= base + margin {
        return 0.0;
    }
    let harmless = closest_harmless(old.trials as f64, new.trials as f64, base, worse, margin);
    log_likelihood(old, base) + log_likelihood(new, worse)
        - log_likelihood(old, harmless)
        - log_likelihood(new, harmless + margin)
}

fn log_likelihood(count: Count, rate: f64) -> f64 {
    let rate = rate.clamp(RATE_FLOOR, 1.0 - RATE_FLOOR);
    let rest = count.trials - count.events;
    count.events as f64 * rate.ln() + rest as f64 * (-rate).ln_1p()
}

/// Old version's rate in the pair of rates, `margin` apart, that is closest in relative entropy.
fn closest_harmless(old: f64, new: f64, base: f64, worse: f64, margin: f64) -> f64 {
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

/// Log e-value at which a test raises an alarm, if `tests` tests share the false-alarm rate.
pub fn alarm_threshold(tests: usize) -> f64 {
    (tests.max(1) as f64 / FALSE_ALARM_RATE).ln()
}

/// Log e-value from which a version is suspected.
pub fn suspicion_threshold() -> f64 {
    (1.0 / SUSPICION_RATE).ln()
}
