//! Recent latencies of a service, for adaptive delays.

use std::time::Duration;

/// Latencies that are remembered.
const WINDOW: usize = 512;

/// Latencies between two computations of the quantiles.
const REFRESH: usize = 32;

/// Fewest latencies from which quantiles are told.
const ENOUGH: usize = 32;

/// A sliding window of latencies with a median and one high quantile.
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
    /// Empty window that tells the given high quantile, 0 to 1.
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
        if self.window.len() >= ENOUGH && (self.fresh >= REFRESH || self.median.is_none()) {
            self.refresh();
        }
    }

    /// Median; `None` until enough is known.
    pub fn median(&self) -> Option<Duration> {
        self.median
    }

    /// The high quantile; `None` until enough is known.
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
