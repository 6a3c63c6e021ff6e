//! Counters, gauges and histograms by route and service, in the Prometheus text format.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use sapphirerack_catalogue::Name;
use sapphirerack_http::Quota;
use sapphirerack_meters::{Counter, Histogram, KeyValue, Meters};

use crate::{Error, Result};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BOUNDS: [f64; 12] =
    [0.005, 0.010, 0.020, 0.030, 0.040, 0.060, 0.080, 0.1, 0.15, 0.25, 0.5, 1.0];

/// Upper bounds of the coverage buckets, as fractions.
const COVERAGE_BOUNDS: [f64; 5] = [0.5, 0.75, 0.9, 0.99, 0.999_999];

/// Instruments of one host.
pub(crate) struct Metrics {
    meters: Meters,
    latency: Histogram<f64>,
    coverage: Histogram<f64>,
    extra: Counter<u64>,
    delegated: Counter<u64>,
    connections: Counter<u64>,
    target_failures: Counter<u64>,
    refusals: Counter<u64>,
    rejections: Counter<u64>,
    store_calls: Counter<u64>,
    store_failures: Counter<u64>,
    store_restores: Counter<u64>,
    era: Arc<AtomicU64>,
}

impl Metrics {
    /// Instruments with a registry of their own.
    pub(crate) fn new() -> Result<Self> {
        let meters = Meters::new().map_err(|e| Error::metrics(e.to_string()))?;
        let era = Arc::<AtomicU64>::default();
        let shown = era.clone();
        meters.gauge("store_era", move || shown.load(Ordering::Relaxed));
        Ok(Self {
            latency: meters.histogram("request_latency_seconds", &LATENCY_BOUNDS),
            coverage: meters.histogram("request_coverage", &COVERAGE_BOUNDS),
            extra: meters.counter("extra_requests"),
            delegated: meters.counter("delegated_queries"),
            connections: meters.counter("target_connections"),
            target_failures: meters.counter("target_failures"),
            refusals: meters.counter("refusals"),
            rejections: meters.counter("rejections"),
            store_calls: meters.counter("store_calls"),
            store_failures: meters.counter("store_failures"),
            store_restores: meters.counter("store_restores"),
            era,
            meters,
        })
    }

    /// Shows what the callers of a host hold.
    pub(crate) fn show_callers(&self, callers: &Quota) {
        let quota = callers.clone();
        self.meters.gauge("caller_bytes", move || quota.held() as u64);
        let quota = callers.clone();
        self.meters.gauge("caller_connections", move || quota.connections() as u64);
    }

    /// Records the status and latency of an answer to a caller.
    pub(crate) fn record_answer(&self, route: &Name, status: u16, time: Duration) {
        let status = KeyValue::new("status", i64::from(status));
        self.latency.record(time.as_secs_f64(), &[label("route", route), status]);
    }

    /// Records the share of shards that an answer covers.
    pub(crate) fn record_coverage(&self, route: &Name, coverage: f64) {
        self.coverage.record(coverage, &[label("route", route)]);
    }

    /// Counts a hedge or a retry.
    pub(crate) fn count_extra(&self, route: &Name, kind: &'static str) {
        self.extra.add(1, &[label("route", route), KeyValue::new("kind", kind)]);
    }

    /// Counts a query that was passed to a gatherer.
    pub(crate) fn count_delegated(&self, route: &Name) {
        self.delegated.add(1, &[label("route", route)]);
    }

    /// Counts a new connection to a target.
    pub(crate) fn count_connection(&self) {
        self.connections.add(1, &[]);
    }

    /// Counts an attempt at a target that did not succeed.
    pub(crate) fn count_target_failure(&self, service: &Name) {
        self.target_failures.add(1, &[label("service", service)]);
    }

    /// Counts a request that was refused as not run.
    pub(crate) fn count_refusal(&self, route: &Name, reason: &'static str) {
        self.refusals.add(1, &[label("route", route), KeyValue::new("reason", reason)]);
    }

    /// Counts a request that was rejected before it was routed or read.
    pub(crate) fn count_rejection(&self, reason: &'static str) {
        self.rejections.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts an answered call to the store.
    pub(crate) fn count_store_call(&self) {
        self.store_calls.add(1, &[]);
    }

    /// Counts a failed read of the store.
    pub(crate) fn count_store_failure(&self) {
        self.store_failures.add(1, &[]);
    }

    /// Sets the era of the store; returns the one before.
    pub(crate) fn set_era(&self, era: u64) -> u64 {
        self.era.swap(era, Ordering::Relaxed)
    }

    /// Counts a restore of the store.
    pub(crate) fn count_restore(&self) {
        self.store_restores.add(1, &[]);
    }

    /// All metrics in the text format.
    pub(crate) fn text(&self) -> String {
        self.meters.text()
    }
}

fn label(key: &'static str, name: &Name) -> KeyValue {
    KeyValue::new(key, name.clone())
}
