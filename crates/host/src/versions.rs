//! Which share of the traffic each back-end version gets, and how each fares.
//!
//! The owner asks [`Versions::admits`] before it sends a sub-query to a target, and reports every
//! outcome with [`Versions::record`].

use std::time::Duration;

/// How a request to a target ended.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    /// Whether the target gave a usable answer.
    pub ok: bool,
    /// Time from dispatch to the end.
    pub time: Duration,
}

/// Traffic shares and evidence of back-end versions.
#[derive(Debug, Default)]
pub(crate) struct Versions {}

impl Versions {
    /// Whether a request may go to a target of the version; `draw` is uniform in 0..1.
    pub(crate) fn admits(&self, _service: &str, _route: &str, _version: &str, _draw: f64) -> bool {
        true
    }

    /// Takes note of how a request to a target ended.
    pub(crate) fn record(&self, service: &str, route: &str, version: &str, outcome: Outcome) {
        log::trace!(
            "step=record service={service} route={route} version={version} ok={} time={:?}",
            outcome.ok,
            outcome.time
        );
    }
}
