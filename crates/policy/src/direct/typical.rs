//! Usual latency of a route.

use std::time::Duration;

/// Weight of a new latency once enough are known.
const GAIN: f64 = 0.03;

/// Latencies above this multiple of the mean count as that much only, so that stragglers do not
/// set the mean by which they are found.
const CLIP: f64 = 4.0;

/// Deviations above the mean at which an answer counts as overdue.
const DEVIATIONS: f64 = 2.5;

/// Least multiple of the mean at which an answer counts as overdue.
const LEAST: f64 = 1.5;

/// Running mean and mean deviation of latencies.
#[derive(Clone, Debug)]
pub struct LatencyEstimator {
    mean: f64,
    deviation: f64,
    count: u32,
}

impl LatencyEstimator {
    /// Starts from a guess.
    pub fn new(guess: Duration) -> Self {
        let mean = guess.as_secs_f64();
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

    /// Time after which an answer is overdue.
    pub fn overdue(&self) -> Duration {
        let limit = self.mean + DEVIATIONS * self.deviation;
        Duration::from_secs_f64(limit.max(LEAST * self.mean))
    }
}
