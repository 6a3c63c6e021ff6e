//! Settings of one host.

use std::net::SocketAddr;
use std::time::Duration;

use sapphirerack_catalogue::Name;
use sapphirerack_http::{Capacity, connections_of, max_connections};
use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Settings of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Unique name of the host.
    pub name: Name,
    /// Data centre of the host.
    pub data_centre: Name,
    /// Addresses that the host listens on.
    pub listen: Listen,
    /// Address of the store.
    pub store: SocketAddr,
    /// Hosts to contact first; their ports are ignored, as all hosts use the same port.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Limits that all hosts share.
    #[serde(default)]
    pub bounds: Bounds,
    /// Graceful shutdown.
    #[serde(default)]
    pub stop: Stop,
    /// Queries over several shards.
    #[serde(default)]
    pub queries: Queries,
    /// Machine that the host runs on.
    #[serde(default)]
    pub machine: Machine,
    /// Log level: off, error, warn, info, debug or trace.
    #[serde(default = "default_log")]
    pub log: Name,
}

impl Settings {
    /// Addresses of the other seeds; all hosts use the same port.
    pub(crate) fn seed_hosts(&self) -> Vec<SocketAddr> {
        let own = self.listen.advertised();
        let others = self.seeds.iter().filter(|s| s.ip() != own.ip());
        others.map(|s| (s.ip(), own.port()).into()).collect()
    }
}

/// Addresses that a host listens on.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Readiness and metrics.
    pub ready: SocketAddr,
    /// Other hosts: datagrams, and TCP on the same port.
    pub hosts: SocketAddr,
    /// Address at which other hosts reach `hosts`, if it differs.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub advertise: Option<SocketAddr>,
}

impl Listen {
    /// Address at which other hosts reach this one.
    pub fn advertised(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.hosts)
    }
}

/// Limits that all hosts share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// Extra requests (hedges and retries) to a service, as a share of its requests.
    pub extra: f64,
    /// Extra requests to a service beyond that share, in any time window.
    pub slack: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { extra: 0.1, slack: 20.0 }
    }
}

/// Graceful shutdown.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Stop {
    /// Time for which new connections are still accepted after the signal, until the load balancer
    /// in front has stopped sending them.
    #[serde(with = "humantime_serde")]
    pub linger: Duration,
    /// Whole seconds from the signal until every request is answered and the process exits.
    pub grace: u64,
}

impl Default for Stop {
    fn default() -> Self {
        Self { linger: Duration::from_millis(2_800), grace: 6 }
    }
}

/// Machine that a host runs on. Hosts on larger machines gather queries for the others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Machine {
    /// Share of the processor that the host may use; 0 if not stated.
    pub share: f64,
    /// Speed of the processor, as a multiple of one core.
    pub cores: f64,
    /// Bandwidth of the network link, in Mbit/s; 0 if not stated.
    pub link: f64,
    /// Memory that the process may take, in megabytes; 0 if not stated.
    pub memory: u64,
    /// Descriptors that the process may open; 0 for the limit of the operating system.
    pub descriptors: u64,
}

/// What a process may take, as it is stated beside the settings; 0 if it is not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Limits {
    /// Memory, in megabytes.
    pub memory: u64,
    /// Descriptors.
    pub descriptors: u64,
}

impl Machine {
    /// Takes what the settings leave open from `limits`.
    fn complete(&mut self, limits: Limits) {
        for (own, stated) in
            [(&mut self.memory, limits.memory), (&mut self.descriptors, limits.descriptors)]
        {
            if *own == 0 {
                *own = stated;
            }
        }
    }

    /// Capacity for gathering, in thousandths of a core: that of the processor or of the link,
    /// whichever is less.
    pub fn capacity(&self) -> u32 {
        let processor = self.share * self.cores.max(1.0);
        let link = if self.link > 0.0 { self.link / LINK_PER_CORE } else { processor };
        (processor.min(link) * 1e3) as u32
    }

    /// What callers may hold together.
    pub(crate) fn caller_capacity(&self) -> Capacity {
        let memory = match self.memory {
            0 => DEFAULT_CALLER_MEMORY,
            memory => (memory as usize).saturating_mul(MEGABYTE) / CALLER_MEMORY_PART,
        };
        let connections = match self.descriptors {
            0 => max_connections(),
            descriptors => {
                let descriptors = descriptors as usize;
                connections_of(descriptors - FILES.min(descriptors / 2))
            }
        };
        Capacity { memory, connections }
    }
}

const MEGABYTE: usize = 1_000_000;

/// Part of the process's memory that callers may take: a third.
const CALLER_MEMORY_PART: usize = 3;

/// Memory that callers may take if that of the process is not stated, in bytes.
const DEFAULT_CALLER_MEMORY: usize = 64 << 20;

/// Least memory of a process, in megabytes, and least descriptors.
const MIN_MEMORY: u64 = 16;
const MIN_DESCRIPTORS: u64 = 64;

/// Descriptors that are reserved for files, half of them at most.
const FILES: usize = 200;

/// Bandwidth that a core fills with the parts that it gathers, in Mbit/s.
const LINK_PER_CORE: f64 = 100.0;

/// Queries over several shards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Queries {
    /// One-way network delay between callers and hosts.
    #[serde(with = "humantime_serde")]
    pub distance: Duration,
}

impl Default for Queries {
    fn default() -> Self {
        Self { distance: Duration::from_millis(3) }
    }
}

fn default_log() -> Name {
    "info".into()
}

/// Reads settings from JSON with comments, completes them and checks them.
///
/// # Errors
///
/// Syntax errors, with line and column; invalid values, with the path of the field.
pub fn from_text(text: &str, limits: Limits) -> Result<Settings> {
    let reader = json_comments::StripComments::new(text.as_bytes());
    let mut settings: Settings = serde_json::from_reader(reader).map_err(Error::syntax)?;
    settings.machine.complete(limits);
    check(&settings)?;
    Ok(settings)
}

/// Checks that what is stated of the machine suffices.
fn check_machine(machine: &Machine) -> Result<()> {
    let stated = [
        ("memory", machine.memory, MIN_MEMORY),
        ("descriptors", machine.descriptors, MIN_DESCRIPTORS),
    ];
    match stated.iter().find(|(_, value, min)| (1..*min).contains(value)) {
        None => Ok(()),
        Some((field, value, min)) => {
            Err(Error::rule(format!("machine.{field}: {value}, expected 0 or at least {min}")))
        }
    }
}

fn check(settings: &Settings) -> Result<()> {
    for (field, value) in [("name", &settings.name), ("data_centre", &settings.data_centre)] {
        if value.is_empty() {
            return Err(Error::rule(format!("{field}: empty, expected a name")));
        }
    }
    let Bounds { extra, slack } = settings.bounds;
    if !(0.0..=1.0).contains(&extra) {
        return Err(Error::rule(format!("bounds.extra: {extra}, expected 0 to 1")));
    }
    if !slack.is_finite() || slack < 0.0 {
        return Err(Error::rule(format!("bounds.slack: {slack}, expected 0 or more")));
    }
    let Machine { share, cores, link, .. } = settings.machine;
    for (field, value) in [("share", share), ("cores", cores), ("link", link)] {
        if !value.is_finite() || value < 0.0 {
            return Err(Error::rule(format!("machine.{field}: {value}, expected 0 or more")));
        }
    }
    check_machine(&settings.machine)?;
    if settings.stop.grace < 2 {
        return Err(Error::rule("stop.grace: expected 2 seconds or more".into()));
    }
    if settings.log.parse::<log::LevelFilter>().is_err() {
        let found = &settings.log;
        return Err(Error::rule(format!("log: {found:?}, expected a level such as \"info\"")));
    }
    Ok(())
}
