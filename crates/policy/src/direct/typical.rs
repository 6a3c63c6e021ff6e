//! Expected latency of a route.

use std::time::Duration;

/// EWMA weight of a new latency; the first latencies weigh more.
const GAIN: f64 = 0.03;

/// Latencies are clipped to this multiple of the mean, so that stragglers do not raise the
/// threshold that detects them.
const CLIP: f64 = 4.0;

/// Mean deviations above the mean at which a request is overdue.
const DEVIATIONS: f64 = 2.5;

/// Least multiple of the mean at which a request is overdue.
const MIN_OVERDUE: f64 = 1.5;

/// Running mean and mean deviation of latencies.
#[derive(Clone, Debug)]
pub struct LatencyEstimator {
    mean: f64,
    deviation: f64,
    count: u32,
}

impl LatencyEstimator {
    /// Starts with an initial estimate of the mean.
    pub fn new(initial: Duration) -> Self {
        let mean = initial.as_secs_f64();
        Self { mean, deviation: mean / 2.0, count: 0 }
    }

    /// Adds a latency.
    pub fn record(&mut self, latency: Duration) {
        self.count = self.count.saturating_add(1);
        let gain = GAIN.max(1.0 / (f64::from(self.count) + 4.0));
        let latency = latency.as_secs_f64().min(self.mean * CLIP);
        self.deviation += gain * ((latency - self.mean).abs() - self.deviation);
        self.mean += gain * (latency - self.mean);
    }

    /// Mean latency.
    pub fn mean(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Time after which a request is overdue.
    pub fn overdue(&self) -> Duration {
        let limit = self.mean + DEVIATIONS * self.deviation;
        Duration::from_secs_f64(limit.max(MIN_OVERDUE * self.mean))
    }
}
