//! Counters, gauges and histograms in a registry of their own, exported in the Prometheus text format.
//!
//! ```
//! let meters = sapphirerack_meters::Meters::new()?;
//! meters.counter("refusals").add(2, &[]);
//! assert!(meters.text().contains("refusals_total"));
//! # Ok::<(), sapphirerack_meters::Error>(())
//! ```

use std::fmt;

use opentelemetry::metrics::{AsyncInstrument, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

pub use opentelemetry::KeyValue;
pub use opentelemetry::metrics::{Counter, Histogram};

/// The registry could not be set up.
#[derive(Debug)]
pub struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// Registry of instruments and their values.
pub struct Meters {
    registry: Registry,
    meter: Meter,
    _provider: SdkMeterProvider,
}

impl Meters {
    /// A registry without instruments.
    ///
    /// # Errors
    ///
    /// The exporter can't be built.
    pub fn new() -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| Error(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("sapphirerack");
        Ok(Self { registry, meter, _provider: provider })
    }

    /// A counter; the exported name ends in `_total`.
    pub fn counter(&self, name: &'static str) -> Counter<u64> {
        self.meter.u64_counter(name).build()
    }

    /// A histogram with these upper bounds.
    pub fn histogram(&self, name: &'static str, bounds: &[f64]) -> Histogram<f64> {
        self.meter.f64_histogram(name).with_boundaries(bounds.to_vec()).build()
    }

    /// A gauge whose value is read when the metrics are.
    pub fn gauge(&self, name: &'static str, read: impl Fn() -> u64 + Send + Sync + 'static) {
        let observe = move |observer: &dyn AsyncInstrument<u64>| observer.observe(read(), &[]);
        self.meter.u64_observable_gauge(name).with_callback(observe).build();
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> String {
        let mut text = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            log::error!("step=metrics error={e}");
        }
        String::from_utf8_lossy(&text).into_owned()
    }
}
