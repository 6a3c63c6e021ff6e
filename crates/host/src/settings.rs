//! Settings of one host: reading, defaults and checks.

use std::net::SocketAddr;
use std::time::Duration;

use sapphirerack_catalogue::Name;
use sapphirerack_policy::Tuning;
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Shortest gossip interval.
const MIN_GOSSIP_INTERVAL: Duration = Duration::from_millis(10);

/// Least memory for what callers hold, in bytes.
const MIN_MEMORY: usize = 1 << 20;

/// Upper bound of the number of store values that hold one partition's log.
const MAX_BOOKING_SLOTS: u64 = 1_024;

/// Upper bound of the size of a log segment, in bytes; the store limits a value to 1 MB.
const MAX_BOOKING_SEGMENT: usize = 768 << 10;

/// Settings of one entry host.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Unique name of the host.
    pub name: Name,
    /// Data centre of the host.
    pub data_centre: Name,
    /// Addresses that the host listens on.
    pub listen: Listen,
    /// The platform's store.
    pub store: StoreSettings,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: RequestLimits,
    /// SHA-256, in hexadecimal, of the key that authorizes the first catalogue; unused once the
    /// catalogue names a member. Without it an empty catalogue can't be changed.
    #[serde(default)]
    pub founding: Option<Name>,
    /// Execution of queries.
    #[serde(default)]
    pub queries: QuerySettings,
    /// Bookings: requests that run at most once.
    #[serde(default)]
    pub bookings: BookingSettings,
    /// Graceful shutdown.
    #[serde(default)]
    pub stop: StopSettings,
    /// Gossip between hosts.
    #[serde(default)]
    pub gossip: GossipSettings,
    /// Log level: off, error, warn, info, debug or trace.
    #[serde(default = "default_log")]
    pub log: Name,
}

/// Addresses that a host listens on.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// HTTP for callers.
    pub callers: SocketAddr,
    /// HTTP for operators, with metrics and health checks.
    pub operators: SocketAddr,
    /// TCP links and UDP gossip with other hosts.
    pub hosts: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Timeout of a call.
    #[serde(with = "humantime_serde", default = "default_timeout")]
    pub timeout: Duration,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestLimits {
    /// Requests served at the same time; as many more may be queued.
    pub requests: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// Longest request id, route or key, in bytes.
    pub header: usize,
    /// Memory for what all callers together send and have not taken, in bytes.
    pub memory: usize,
    /// Open connections of callers; at most half of the descriptors that the process may open.
    pub connections: usize,
    /// Longest timeout that a caller may ask for.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            requests: 128,
            body: 64 << 10,
            header: 256,
            memory: 64 << 20,
            connections: 896,
            timeout: Duration::from_secs(10),
        }
    }
}

/// Bookings: requests that run at most once. `slots`, `segment` and `retention` must be the same
/// on all hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BookingSettings {
    /// Timeout of a booking whose caller gives none.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Minimum time for which idempotency keys are kept; a key reused after that runs again.
    #[serde(with = "humantime_serde")]
    pub retention: Duration,
    /// Minimum time between two writes of one partition's log; 64 partitions share the store.
    #[serde(with = "humantime_serde")]
    pub pace: Duration,
    /// Time after which an unanswered call to the store is retried.
    #[serde(with = "humantime_serde")]
    pub pause: Duration,
    /// Time without a final outcome after which a partition's next-ranked host is called too.
    #[serde(with = "humantime_serde")]
    pub failover: Duration,
    /// Store values that hold one partition's log.
    pub slots: u64,
    /// Size at which such a value counts as full, in bytes.
    pub segment: usize,
    /// Bookings of one partition in flight at the same time.
    pub open: usize,
}

impl Default for BookingSettings {
    fn default() -> Self {
        Self {
            timeout: Duration::from_secs(5),
            retention: Duration::from_secs(3_600),
            pace: Duration::from_millis(200),
            pause: Duration::from_millis(200),
            failover: Duration::from_secs(1),
            slots: 16,
            segment: 256 << 10,
            open: 4_096,
        }
    }
}

/// Graceful shutdown.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// Time for which the host keeps listening after it has announced that it leaves. It completes
    /// its work in flight and serves other hosts, but of callers' new requests it runs only bookings
    /// that have a key.
    #[serde(with = "humantime_serde")]
    pub linger: Duration,
    /// Time after `linger` at which the host exits even if requests are still in flight.
    #[serde(with = "humantime_serde")]
    pub limit: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { linger: Duration::from_secs(2), limit: Duration::from_secs(15) }
    }
}

/// Gossip between hosts, by UDP on the port of `listen.hosts`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GossipSettings {
    /// Time between two gossip rounds.
    #[serde(with = "humantime_serde")]
    pub interval: Duration,
    /// Hosts of the same data centre that get urgent updates immediately.
    pub fanout: usize,
    /// Limit on the bytes sent per second, heartbeats excepted.
    pub bytes: u32,
    /// Hosts to contact besides those of the platform's host list, in case it can't be read.
    pub seeds: Vec<SocketAddr>,
}

impl Default for GossipSettings {
    fn default() -> Self {
        let interval = Duration::from_millis(200);
        Self { interval, fanout: 3, bytes: 8_000, seeds: Vec::new() }
    }
}

/// Execution of queries.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuerySettings {
    /// Requests that may be queued at a target beyond its slots.
    pub waiting: u32,
    /// Budget of hedges and retries, as a fraction of the sub-queries, 0 to 1.
    pub extra: f64,
    /// Largest unused budget of hedges and retries, for each group of replicas.
    pub burst: u32,
    /// Quantile of the service's latency after which a sub-query is hedged, 0 to 1.
    pub quantile: f64,
}

impl Default for QuerySettings {
    fn default() -> Self {
        let Tuning { waiting, extra, quantile, .. } = Tuning::default();
        Self { waiting, extra, burst: 8, quantile }
    }
}

impl QuerySettings {
    /// Parameters for the state machines of the policy crate.
    pub(crate) fn tuning(&self) -> Tuning {
        let Self { waiting, extra, burst, quantile } = *self;
        Tuning { waiting, extra, burst: burst.into(), quantile }
    }

    fn check(&self) -> Result<()> {
        for (field, value) in [("extra", self.extra), ("quantile", self.quantile)] {
            if !(0.0..=1.0).contains(&value) {
                return Err(Error::rule(format!("queries.{field}: {value}, expected 0 to 1")));
            }
        }
        Ok(())
    }
}

fn default_log() -> Name {
    "info".into()
}

fn default_timeout() -> Duration {
    Duration::from_millis(500)
}

/// Reads settings from JSON with comments and checks them.
///
/// # Errors
///
/// Syntax errors, with line and column, and invalid values, with the path of the field.
pub fn from_text(text: &str) -> Result<Settings> {
    let reader = json_comments::StripComments::new(text.as_bytes());
    let settings: Settings = serde_json::from_reader(reader).map_err(Error::syntax)?;
    check(&settings)?;
    Ok(settings)
}

fn check(settings: &Settings) -> Result<()> {
    if settings.name.is_empty() {
        return Err(Error::rule("name: empty, expected a unique name".into()));
    }
    let limits = &settings.limits;
    let fields = [
        ("requests", limits.requests),
        ("body", limits.body),
        ("header", limits.header),
        ("connections", limits.connections),
    ];
    for (field, value) in fields {
        if value == 0 {
            return Err(Error::rule(format!("limits.{field}: 0, expected 1 or more")));
        }
    }
    if limits.memory < MIN_MEMORY || limits.memory / 4 < limits.body {
        return Err(Error::rule(format!(
            "limits.memory: expected {MIN_MEMORY} or more, and 4 times `limits.body`"
        )));
    }
    settings.queries.check()?;
    if limits.timeout.is_zero() {
        return Err(Error::rule("limits.timeout: 0, expected a time such as \"10s\"".into()));
    }
    check_bookings(&settings.bookings)?;
    let gossip = &settings.gossip;
    if gossip.interval < MIN_GOSSIP_INTERVAL {
        return Err(Error::rule("gossip.interval: expected 10ms or more".into()));
    }
    if gossip.fanout == 0 || gossip.bytes == 0 {
        return Err(Error::rule("gossip: fanout or bytes is 0, expected 1 or more".into()));
    }
    if settings.log.parse::<log::LevelFilter>().is_err() {
        let found = &settings.log;
        return Err(Error::rule(format!("log: {found:?}, expected a level such as \"info\"")));
    }
    Ok(())
}

fn check_bookings(bookings: &BookingSettings) -> Result<()> {
    if !(2..=MAX_BOOKING_SLOTS).contains(&bookings.slots) {
        return Err(Error::rule(format!("bookings.slots: expected 2 to {MAX_BOOKING_SLOTS}")));
    }
    if !(1 << 10..=MAX_BOOKING_SEGMENT).contains(&bookings.segment) {
        return Err(Error::rule(format!(
            "bookings.segment: expected 1024 to {MAX_BOOKING_SEGMENT}"
        )));
    }
    if bookings.timeout.is_zero() || bookings.retention < bookings.timeout {
        return Err(Error::rule("bookings.retention: expected `timeout` or more".into()));
    }
    if bookings.open == 0 {
        return Err(Error::rule("bookings.open: 0, expected 1 or more".into()));
    }
    Ok(())
}
