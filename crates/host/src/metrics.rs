//! Counters and histograms, by member and class, in the Prometheus text format.

use sapphirerack_meters::{Counter, Histogram, KeyValue, Meters};

use crate::{Error, Result};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS: [f64; 14] =
    [0.001, 0.002, 0.005, 0.010, 0.015, 0.020, 0.030, 0.040, 0.053, 0.075, 0.1, 0.25, 0.5, 1.0];

/// Upper bounds of the coverage buckets, as fractions.
const COVERAGE_BOUNDS: [f64; 7] = [0.0, 0.25, 0.5, 0.75, 0.9, 0.99, 0.999_999];

/// Instruments of one host.
pub(crate) struct Metrics {
    meters: Meters,
    latency: Histogram<f64>,
    coverage: Histogram<f64>,
    refusals: Counter<u64>,
    sub_queries: Counter<u64>,
    extra: Counter<u64>,
    target_failures: Counter<u64>,
}

/// Member and class to which a measurement belongs.
pub(crate) struct Labels([KeyValue; 2]);

impl Labels {
    /// Labels of a service: its owner and its class.
    pub(crate) fn new(member: &str, class: &str) -> Self {
        let member = KeyValue::new("member", member.to_owned());
        Self([member, KeyValue::new("class", class.to_owned())])
    }
}

impl Metrics {
    /// Instruments with a new registry.
    pub(crate) fn new() -> Result<Self> {
        let meters = Meters::new().map_err(|e| Error::metrics(e.to_string()))?;
        Ok(Self {
            latency: meters.histogram("query_latency_seconds", &LATENCY_BOUNDS),
            coverage: meters.histogram("query_coverage", &COVERAGE_BOUNDS),
            refusals: meters.counter("refusals"),
            sub_queries: meters.counter("sub_queries"),
            extra: meters.counter("extra_sub_queries"),
            target_failures: meters.counter("target_failures"),
            meters,
        })
    }

    /// Records an answered query.
    pub(crate) fn answered(&self, labels: &Labels, seconds: f64, coverage: f64) {
        self.latency.record(seconds, &labels.0);
        self.coverage.record(coverage, &labels.0);
    }

    /// Counts the sub-queries of a query, and as `extra` those beyond the first for each shard.
    pub(crate) fn sub_queries(&self, labels: &Labels, count: u64, extra: u64) {
        self.sub_queries.add(count, &labels.0);
        self.extra.add(extra, &labels.0);
    }

    /// Counts a refused request.
    pub(crate) fn refused(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request to a target without a usable answer.
    pub(crate) fn target_failed(&self, reason: &'static str) {
        self.target_failures.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// All metrics in the Prometheus text format.
    pub(crate) fn text(&self) -> String {
        self.meters.text()
    }
}
