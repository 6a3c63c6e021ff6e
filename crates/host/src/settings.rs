//! What an operator sets for one host.

use std::net::SocketAddr;
use std::time::Duration;

use sapphirerack_catalogue::Name;
use sapphirerack_policy::Tuning;
use serde::Deserialize;

use crate::{Error, Result};

/// Shortest interval between two rounds of datagrams.
const GOSSIP_FLOOR: Duration = Duration::from_millis(10);

/// Most values that one partition's log may take.
const BOOKING_SLOTS: u64 = 1_024;

/// Largest size at which a value of a log counts as full, in bytes; the store holds a megabyte.
const BOOKING_SEGMENT: usize = 768 << 10;

/// Settings of one entry host.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Unique name of the host.
    pub name: Name,
    /// Data centre in which the host stands.
    pub data_centre: Name,
    /// Addresses that the host listens on.
    pub listen: Listen,
    /// The platform's store.
    pub store: StoreSettings,
    /// Limits on callers' requests.
    #[serde(default)]
    pub limits: RequestLimits,
    /// SHA-256, in hexadecimal, of the key with which the first catalogue is put in force; it has
    /// no use once the catalogue names a member. Without it an empty catalogue can't be changed.
    #[serde(default)]
    pub founding: Option<Name>,
    /// How queries are run.
    #[serde(default)]
    pub queries: QuerySettings,
    /// Bookings.
    #[serde(default)]
    pub bookings: BookingSettings,
    /// Planned stops.
    #[serde(default)]
    pub stop: StopSettings,
    /// Datagrams between hosts.
    #[serde(default)]
    pub gossip: GossipSettings,
    /// Log level: off, error, warn, info, debug or trace.
    #[serde(default = "default_log")]
    pub log: Name,
}

/// Addresses that a host listens on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Operators' HTTP, metrics and health.
    pub operators: SocketAddr,
    /// Links from other hosts.
    pub hosts: SocketAddr,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// HTTP address.
    pub address: SocketAddr,
    /// Time after which a call is given up.
    #[serde(with = "humantime_serde", default = "default_timeout")]
    pub timeout: Duration,
}

/// Limits on callers' requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestLimits {
    /// Requests in hand at the same time.
    pub requests: usize,
    /// Largest body, in bytes.
    pub body: usize,
    /// Longest request id, route or key, in bytes.
    pub header: usize,
    /// Longest timeout that a caller may ask for.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self { requests: 128, body: 64 << 10, header: 256, timeout: Duration::from_secs(10) }
    }
}

/// Requests that run at most once. `slots`, `segment` and `retention` must be the same on all
/// hosts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BookingSettings {
    /// Time that a booking may take if its caller does not say.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Time for which keys are remembered at least; a key that is used again later runs again.
    #[serde(with = "humantime_serde")]
    pub retention: Duration,
    /// Least time between two writes of one partition's log; 64 partitions share the store.
    #[serde(with = "humantime_serde")]
    pub pace: Duration,
    /// Time after which an unanswered call to the store is repeated.
    #[serde(with = "humantime_serde")]
    pub pause: Duration,
    /// Time after which the next-ranked owner of a partition is asked too.
    #[serde(with = "humantime_serde")]
    pub failover: Duration,
    /// Values of the store that hold one partition's log.
    pub slots: u64,
    /// Size at which such a value is full, in bytes.
    pub segment: usize,
    /// Bookings of one partition in hand at the same time.
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

/// Planned stops.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// Time for which the host goes on after it has announced that it leaves.
    #[serde(with = "humantime_serde")]
    pub linger: Duration,
    /// Time after which the host ends even if something is left, beyond `linger`.
    #[serde(with = "humantime_serde")]
    pub limit: Duration,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self { linger: Duration::from_secs(2), limit: Duration::from_secs(15) }
    }
}

/// Datagrams between hosts; they use the port of `listen.hosts`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct GossipSettings {
    /// Time between two rounds.
    #[serde(with = "humantime_serde")]
    pub interval: Duration,
    /// Hosts of the own data centre that are sent urgent news at once.
    pub fanout: usize,
    /// Bytes a second that the host sends at most, heartbeats excepted.
    pub bytes: u32,
    /// Hosts to ask when the platform's host list can't be read.
    pub seeds: Vec<SocketAddr>,
}

impl Default for GossipSettings {
    fn default() -> Self {
        let interval = Duration::from_millis(200);
        Self { interval, fanout: 3, bytes: 8_000, seeds: Vec::new() }
    }
}

/// How queries are run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct QuerySettings {
    /// Requests that may wait at a target beyond its slots.
    pub waiting: u32,
    /// Hedges and retries, as a share of the sub-queries, 0 to 1.
    pub extra: f64,
    /// Hedges and retries that are saved up at most, for each group of replicas.
    pub burst: u32,
    /// Quantile of a service's own latency after which a sub-query is hedged, 0 to 1.
    pub quantile: f64,
}

impl Default for QuerySettings {
    fn default() -> Self {
        let Tuning { waiting, extra, quantile, .. } = Tuning::default();
        Self { waiting, extra, burst: 8, quantile }
    }
}

impl QuerySettings {
    /// The settings as the state machines take them.
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
/// Syntax errors with line and column; broken rules with the path to the field.
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
    let fields = [("requests", limits.requests), ("body", limits.body), ("header", limits.header)];
    for (field, value) in fields {
        if value == 0 {
            return Err(Error::rule(format!("limits.{field}: 0, expected 1 or more")));
        }
    }
    settings.queries.check()?;
    if limits.timeout.is_zero() {
        return Err(Error::rule("limits.timeout: 0, expected a time such as \"10s\"".into()));
    }
    check_bookings(&settings.bookings)?;
    let gossip = &settings.gossip;
    if gossip.interval < GOSSIP_FLOOR {
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
    if !(2..=BOOKING_SLOTS).contains(&bookings.slots) {
        return Err(Error::rule(format!("bookings.slots: expected 2 to {BOOKING_SLOTS}")));
    }
    if !(1 << 10..=BOOKING_SEGMENT).contains(&bookings.segment) {
        return Err(Error::rule(format!("bookings.segment: expected 1024 to {BOOKING_SEGMENT}")));
    }
    if bookings.timeout.is_zero() || bookings.retention < bookings.timeout {
        return Err(Error::rule("bookings.retention: expected `timeout` or more".into()));
    }
    if bookings.open == 0 {
        return Err(Error::rule("bookings.open: 0, expected 1 or more".into()));
    }
    Ok(())
}
