//! Quantiles of the recent latencies of a service, for adaptive delays.

use std::time::Duration;

/// Number of latencies in the window.
const WINDOW: usize = 512;

/// Number of new latencies after which the quantiles are computed again.
const REFRESH_INTERVAL: usize = 32;

/// Minimum number of latencies for quantiles.
const MIN_SAMPLES: usize = 32;

/// Sliding window of latencies with the median and one high quantile.
#[derive(Clone, Debug)]
pub struct Latency {
    window: Vec<Duration>,
    next: usize,
    fresh: usize,
    quantile: f64,
    median: Option<Duration>,
    high: Option<Duration>,
}

impl Latency {
    /// Creates an empty window for the given high quantile, 0 to 1.
    pub fn new(quantile: f64) -> Self {
        Self { window: Vec::new(), next: 0, fresh: 0, quantile, median: None, high: None }
    }

    /// Adds a latency.
    pub fn record(&mut self, time: Duration) {
        if self.window.len() < WINDOW {
            self.window.push(time);
        } else {
            self.window[self.next] = time;
        }
        self.next = (self.next + 1) % WINDOW;
        self.fresh += 1;
        if self.window.len() >= MIN_SAMPLES
            && (self.fresh >= REFRESH_INTERVAL || self.median.is_none())
        {
            self.refresh();
        }
    }

    /// Median; `None` before there are enough latencies.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// High quantile; `None` before there are enough latencies.
    pub fn high(&self) -> Option<Duration> {
        self.high
    }

    fn refresh(&mut self) {
        self.fresh = 0;
        let mut sorted = self.window.clone();
        sorted.sort_unstable();
        let at = |q: f64| sorted[((sorted.len() - 1) as f64 * q) as usize];
        self.median = Some(at(0.5));
        self.high = Some(at(self.quantile));
    }
}
