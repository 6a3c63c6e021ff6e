//! Evidence for and against a new version, from one host and from many.
//!
//! Each host compares the two versions on its own targets, so that differences between hosts and
//! data centres are not mistaken for differences between versions. Hosts exchange the log products
//! of their tests, which add up over hosts. These are kept by host, and the latest one wins, so
//! that repeated and reordered messages do no harm. In a large tier only a fixed sample of the
//! hosts is merged; each host always tests its own evidence, pooled and by route.

use std::collections::BTreeMap;
use std::time::Duration;

use sapphirerack_catalogue::{Fault, Name};
use serde::{Deserialize, Serialize};

use crate::rank;
use crate::verdict::{
    Count, Design, FAILING, Products, SLOW_MEDIAN, SLOW_TAIL, TESTS, Test, alarm_threshold,
};

/// Number of latency buckets.
pub const BUCKETS: usize = 64;

/// Largest number of hosts whose evidence is merged.
pub const SAMPLE_SIZE: usize = 256;

/// Lower bound of the second bucket.
const FIRST_BOUND_US: f64 = 64.0;

/// Number of buckets over which the latency doubles.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Usable answers of each version needed before latencies are compared.
const MIN_ANSWERS: u64 = 20;

const DESIGNS: [Design; TESTS] = [FAILING, SLOW_MEDIAN, SLOW_TAIL];

/// Fault that each test detects.
const FAULTS: [Fault; TESTS] = [Fault::Failing, Fault::Slow, Fault::Slow];

/// Quantile of the old version that the bound of the tail is based on.
const TAIL_QUANTILE: f64 = 0.97;

/// Buckets between that quantile and the tail, a factor of at least 1.41.
const TAIL_OFFSET: usize = 2;

/// Buckets between the median and latencies that count as slow, a factor of at least 1.68.
const MEDIAN_OFFSET: usize = 3;

/// Bucket of a latency.
pub fn bucket(time: Duration) -> usize {
    let scaled = time.as_secs_f64() * 1e6 / FIRST_BOUND_US;
    if scaled < 1.0 {
        return 0;
    }
    // The cast rounds down; latencies are finite and positive.
    (((scaled.log2() * BUCKETS_PER_DOUBLING) as usize) + 1).min(BUCKETS - 1)
}

/// Outcomes of one version in one period.
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
    /// Adds one request; `time` is the latency of a usable answer, or `None` for a failure.
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

    fn failure_count(&self) -> Count {
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
        let needed = (self.answers() as f64 * quantile).ceil() as u64;
        let mut count = 0;
        self.latency
            .iter()
            .position(|n| {
                count += n;
                count >= needed
            })
            .unwrap_or(BUCKETS - 1)
    }
}

/// Comparison of two versions on one host, for one route or for all routes.
#[derive(Clone, Debug)]
pub struct Comparison {
    tests: [Test; TESTS],
    old: Outcomes,
    new: Outcomes,
}

impl Comparison {
    /// A comparison without evidence, planned for a number of blocks.
    pub fn new(blocks: u64) -> Self {
        let (old, new) = (Outcomes::default(), Outcomes::default());
        Self { tests: DESIGNS.map(|d| Test::new(d, blocks)), old, new }
    }

    /// Adds the outcomes of both versions since the last call; latencies are compared only if
    /// `is_warm`.
    pub fn observe(&mut self, old: &Outcomes, new: &Outcomes, is_warm: bool) {
        let [failing, median, tail] = &mut self.tests;
        failing.observe(old.failure_count(), new.failure_count());
        let answers = self.old.answers().min(self.new.answers());
        if is_warm && answers >= MIN_ANSWERS {
            // The test is valid only if its bounds depend on past blocks alone.
            let median_bound = self.old.quantile(0.5) + MEDIAN_OFFSET;
            median.observe(old.above(median_bound), new.above(median_bound));
            let tail_bound = self.old.quantile(TAIL_QUANTILE) + TAIL_OFFSET;
            tail.observe(old.above(tail_bound), new.above(tail_bound));
        }
        self.old.add(old);
        self.new.add(new);
    }

    /// Log products of the tests.
    pub fn products(&self) -> [Products; TESTS] {
        [0, 1, 2].map(|i| self.tests[i].products())
    }

    /// Requests to the new version and usable answers among them.
    pub fn new_counts(&self) -> (u64, u64) {
        (self.new.trials, self.new.trials - self.new.failures)
    }

    /// Detected fault, if `tests` comparisons share the false-alarm rate.
    pub fn fault(&self, tests: usize) -> Option<Fault> {
        fault(&self.products(), tests)
    }
}

/// Detected fault, if `shares` groups of tests share the false-alarm rate.
pub fn fault(products: &[Products; TESTS], shares: usize) -> Option<Fault> {
    let threshold = alarm_threshold(shares * TESTS);
    let found = products.iter().position(|p| p.log_value() >= threshold)?;
    FAULTS.get(found).copied()
}

/// Evidence of one host on one move.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// Host.
    pub host: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Milliseconds since the Unix epoch by the host's clock; the latest evidence wins.
    pub at: u64,
    /// Requests to the new version.
    pub trials: u64,
    /// Usable answers among them.
    pub successes: u64,
    /// Log products of the tests over all routes together.
    pub products: [Products; TESTS],
}

/// Evidence of many hosts on one move.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Pool {
    by_host: BTreeMap<Name, Evidence>,
}

impl Pool {
    /// Replaces a host's evidence by later evidence; returns whether it was later.
    pub fn merge(&mut self, evidence: Evidence) -> bool {
        let known = self.by_host.get(&evidence.host);
        if known.is_some_and(|k| k.at >= evidence.at) {
            return false;
        }
        self.by_host.insert(evidence.host.clone(), evidence);
        true
    }

    /// Reduces the pool to a sample of hosts that is the same on every host; `id` is the id of the
    /// move.
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

    /// Log products of the tests over all hosts.
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

    /// Whether there is evidence from the data centre at or after `since`, in Unix milliseconds.
    pub fn is_fresh(&self, data_centre: &str, since: u64) -> bool {
        self.by_host.values().any(|e| *e.data_centre == *data_centre && e.at >= since)
    }
}
