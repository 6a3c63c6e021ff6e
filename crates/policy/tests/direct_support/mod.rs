//! A balancer and its targets, as fixtures.

#![allow(dead_code, reason = "each test file uses a part")]
#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphirerack_policy::direct::{Balancer, SharedLimits};
use sapphirerack_routes::Target;

pub const EXPECTED: Duration = Duration::from_millis(10);
pub const OVERDUE: Duration = Duration::from_millis(25);

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn target(id: &str, data_centre: &str) -> Arc<Target> {
    Arc::new(Target {
        id: id.into(),
        service: "search".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: data_centre.into(),
        version: "v1".into(),
        slots: 2,
        draining: false,
        cold: Duration::ZERO,
        born: 1,
        sequence: 1,
    })
}

/// A balancer over these targets, for a host in the data centre "here".
pub fn balancer_of(targets: &[Arc<Target>], limits: SharedLimits, now: Instant) -> Balancer {
    let mut balancer = Balancer::new(limits, fastrand::Rng::with_seed(7), now);
    balancer.update(targets, "here", 0.0, now);
    balancer.set_connections(4);
    balancer
}
