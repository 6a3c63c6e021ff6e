//! Evidence for and against a new version, from one host and from many.
//!
//! Each host compares the two versions on its own targets, so that differences between hosts and
//! data centres do not pass for differences between versions. What hosts exchange are the sums of
//! their tests, which add up over hosts. They are kept by host and merged by the later one, so
//! that repeats and reordering do no harm. In a large tier a fixed sample of the hosts takes part;
//! each host always judges its own evidence, pooled and by route.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphirerack_catalogue::{Fault, Name};
use serde::{Deserialize, Serialize};

use crate::rank;
use crate::verdict::{
    Count, Design, FAILING, Products, SLOW_MEDIAN, SLOW_TAIL, TESTS, Test, alarm_threshold,
};

/// Latency buckets.
pub const BUCKETS: usize = 64;

/// Hosts whose evidence is merged.
pub const SAMPLE_SIZE: usize = 256;

/// Lower bound of the second bucket, in microseconds.
const FIRST_BOUND: f64 = 64.0;

/// Buckets in which the latency doubles.
const PER_DOUBLING: f64 = 4.0;

/// Outcomes of each version before its latency is judged.
const WARM_TRIALS: u64 = 20;

const DESIGNS: [Design; TESTS] = [FAILING, SLOW_MEDIAN, SLOW_TAIL];

/// Faults that the tests find, in the order of the tests.
const FAULTS: [Fault; TESTS] = [Fault::Failing, Fault::Slow, Fault::Slow];

/// Quantile that the tail is counted from.
const TAIL_QUANTILE: f64 = 0.97;

/// Buckets between that quantile and the tail: a factor of 1.41 or more.
const TAIL_STEP: usize = 2;

/// Buckets between the median and what counts as slow against it: a factor of 1.68 or more.
const MEDIAN_STEP: usize = 3;

/// Latency bucket of a time.
pub fn bucket(time: Duration) -> usize {
    let scaled = time.as_secs_f64() * 1e6 / FIRST_BOUND;
    if scaled < 1.0 {
        return 0;
    }
    // Rounds down; latencies are finite and positive.
    (((scaled.log2() * PER_DOUBLING) as usize) + 1).min(BUCKETS - 1)
}

/// Outcomes of one version in some time.
#[derive(Clone, Debug)]
pub struct Outcomes {
    /// Requests.
    pub trials: u64,
    /// Requests without a usable answer.
    pub failures: u64,
    /// Usable answers by latency.
    pub latency: [u64; BUCKETS],
}

impl Default for Outcomes {
    fn default() -> Self {
        Self { trials: 0, failures: 0, latency: [0; BUCKETS] }
    }
}

impl Outcomes {
    /// Adds one request; `time` is that of a usable answer, `None` stands for a failure.
    pub fn record(&mut self, time: Option<Duration>) {
        self.trials += 1;
        match time {
            Some(time) => self.latency[bucket(time)] += 1,
            None => self.failures += 1,
        }
    }

    /// Adds other outcomes.
    pub fn add(&mut self, other: &Self) {
        self.trials += other.trials;
        self.failures += other.failures;
        for (own, other) in self.latency.iter_mut().zip(other.latency) {
            *own += other;
        }
    }

    fn failing(&self) -> Count {
        Count { trials: self.trials, events: self.failures }
    }

    fn answers(&self) -> u64 {
        self.latency.iter().sum()
    }

    fn above(&self, bound: usize) -> Count {
        let events = self.latency.iter().skip(bound + 1).sum();
        Count { trials: self.answers(), events }
    }

    /// Bucket that holds the quantile of the latencies.
    fn quantile(&self, quantile: f64) -> usize {
        let wanted = (self.answers() as f64 * quantile).ceil() as u64;
        let mut seen = 0;
        self.latency
            .iter()
            .position(|n| {
                seen += n;
                seen >= wanted
            })
            .unwrap_or(BUCKETS - 1)
    }
}

/// Comparison of two versions on one host, for one route or for all.
#[derive(Clone, Debug)]
pub struct Comparison {
    tests: [Test; TESTS],
    old: Outcomes,
    new: Outcomes,
}

impl Comparison {
    /// Comparison without any evidence yet, planned for a number of blocks.
    pub fn new(blocks: u64) -> Self {
        let (old, new) = (Outcomes::default(), Outcomes::default());
        Self { tests: DESIGNS.map(|d| Test::new(d, blocks)), old, new }
    }

    /// Takes in what both versions did since the last time; `is_warm` allows judging the latency.
    pub fn observe(&mut self, old: &Outcomes, new: &Outcomes, is_warm: bool) {
        let [failing, median, tail] = &mut self.tests;
        failing.observe(old.failing(), new.failing());
        let known = self.old.answers().min(self.new.answers());
        if is_warm && known >= WARM_TRIALS {
            // Bounds come from the past alone, as the test demands.
            let slow = self.old.quantile(0.5) + MEDIAN_STEP;
            median.observe(old.above(slow), new.above(slow));
            let late = self.old.quantile(TAIL_QUANTILE) + TAIL_STEP;
            tail.observe(old.above(late), new.above(late));
        }
        self.old.add(old);
        self.new.add(new);
    }

    /// Sums of the tests.
    pub fn products(&self) -> [Products; TESTS] {
        [0, 1, 2].map(|i| self.tests[i].products())
    }

    /// Requests to the new version and usable answers among them.
    pub fn new_counts(&self) -> (u64, u64) {
        (self.new.trials, self.new.trials - self.new.failures)
    }

    /// Fault that shows, if `tests` comparisons share the chance of a false alarm.
    pub fn fault(&self, tests: usize) -> Option<Fault> {
        fault(&self.products(), tests)
    }
}

/// Fault that the tests show, if `shares` groups of tests share the chance of a false alarm.
pub fn fault(products: &[Products; TESTS], shares: usize) -> Option<Fault> {
    let level = alarm_threshold(shares * TESTS);
    let found = products.iter().position(|p| p.log_value() >= level)?;
    FAULTS.get(found).copied()
}

/// Evidence of one host on one move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Host.
    pub host: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Milliseconds since the Unix epoch by the host's clock; a later one replaces an earlier.
    pub at: u64,
    /// Requests to the new version.
    pub trials: u64,
    /// Usable answers among them.
    pub successes: u64,
    /// Sums of the tests over all routes.
    pub products: [Products; TESTS],
}

/// Evidence of many hosts on one move.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    by_host: BTreeMap<Name, Evidence>,
}

impl Pool {
    /// Takes in a host's evidence if it is later; tells whether it was.
    pub fn merge(&mut self, evidence: Evidence) -> bool {
        let known = self.by_host.get(&evidence.host);
        if known.is_some_and(|k| k.at >= evidence.at) {
            return false;
        }
        self.by_host.insert(evidence.host.clone(), evidence);
        true
    }

    /// Keeps a sample of the hosts, the same on every host; `id` is that of the move.
    pub fn trim(&mut self, id: &str) {
        if self.by_host.len() <= SAMPLE_SIZE {
            return;
        }
        let hosts: Vec<Name> = self.by_host.keys().cloned().collect();
        for host in rank(id.as_bytes(), &hosts, |h| h.as_bytes()).into_iter().skip(SAMPLE_SIZE) {
            self.by_host.remove(&host);
        }
    }

    /// Evidence of each host.
    pub fn iter(&self) -> impl Iterator<Item = &Evidence> {
        self.by_host.values()
    }

    /// Sums of the tests over all hosts.
    pub fn products(&self) -> [Products; TESTS] {
        let mut sums = [Products::default(); TESTS];
        for evidence in self.by_host.values() {
            for (sum, products) in sums.iter_mut().zip(&evidence.products) {
                sum.add(products);
            }
        }
        sums
    }

    /// Requests to the new version and usable answers among them.
    pub fn new_counts(&self) -> (u64, u64) {
        let all = self.by_host.values();
        all.fold((0, 0), |(t, s), e| (t + e.trials, s + e.successes))
    }

    /// Whether the data centre has told something at or after `since`, in Unix milliseconds.
    pub fn is_fresh(&self, data_centre: &str, since: u64) -> bool {
        self.by_host.values().any(|e| *e.data_centre == *data_centre && e.at >= since)
    }
}
