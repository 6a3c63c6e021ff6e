//! Load files.

use std::time::Duration;

use sapphirerack_catalogue::{Catalogue, Name, Service, Set};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::fleet::Plan;

/// Error in a load file, with its location.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// Malformed JSON, an unknown or missing field, or a field of the wrong type.
    #[error("read load file: {0}")]
    Syntax(#[from] serde_json::Error),
    /// A field has an invalid value.
    #[error("check load file: {path}: {found}, expected {expected}")]
    Rule {
        /// Path to the field.
        path: String,
        /// Value found.
        found: String,
        /// Values allowed.
        expected: &'static str,
    },
}

/// Deployment under load.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Reference deployment `zeugenwerk`, taken from the requirements.
    Zeugenwerk,
    /// Reference deployment `castlegate`, taken from the requirements.
    Castlegate,
    /// One data centre: 8 hosts, one service `search` of 10 shards with 3 replicas of 2 slots.
    Group,
}

impl Deployment {
    /// The plan of the deployment.
    pub fn plan(self) -> Plan {
        match self {
            Self::Zeugenwerk => Plan::zeugenwerk(),
            Self::Castlegate => Plan::castlegate(),
            Self::Group => Plan::group(10, 3, 2),
        }
    }
}

/// State of the targets during a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// No faults.
    Healthy,
    /// 1 % of the requests take ten times as long.
    Stragglers,
    /// One replica of each shard is down.
    LostReplica,
    /// One replica of each shard becomes cold when the measurement starts.
    ColdRestart,
}

/// Strategy that dispatches sub-queries to the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dispatch {
    /// Each host independently, to a random replica.
    Naive,
    /// Each host independently, within an equal share of the slots and connections; retries once.
    StaticShares,
    /// One owner per target; sends at most one second request, as a hedge after a delay counted
    /// from arrival or as a retry after a failure.
    OwnerPerTarget,
    /// The sapphirerack binary.
    Product,
}

/// A variant of the system under load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name in the table.
    pub name: Name,
    /// Dispatch strategy.
    pub dispatch: Dispatch,
    /// Merged into the settings of every host; used by the product only.
    #[serde(default)]
    pub settings: Value,
}

/// A part of the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Portion {
    /// Service queried; its owner and class are the member and class of the load.
    pub service: Name,
    /// Route within the service.
    #[serde(default = "default_route")]
    pub route: Name,
    /// Weight relative to the other portions.
    pub share: f64,
}

fn default_route() -> Name {
    "default".into()
}

/// A load file: every variant runs at every load level under every condition, `repeats` times.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFile {
    /// Deployment under load.
    pub deployment: Deployment,
    /// Mean service time of a sub-query at a target.
    #[serde(with = "humantime_serde")]
    pub service_time: Duration,
    /// Arrival rates, as fractions of the capacity of healthy targets.
    pub loads: Vec<f64>,
    /// States of the targets.
    pub conditions: Vec<Condition>,
    /// Variants of the system.
    pub variants: Vec<Variant>,
    /// Parts of the load.
    pub mix: Vec<Portion>,
    /// Duration of the load before the measurement.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// Duration of the measurement.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Runs per combination.
    pub repeats: u32,
    /// Seed of the arrivals and the targets; each repeat derives its own.
    pub seed: u64,
}

/// Parses and validates a load file, in JSON with comments.
///
/// # Errors
///
/// Syntax errors with line and column; invalid values with the path to the field.
pub fn from_text(text: &str) -> Result<LoadFile, LoadError> {
    let reader = json_comments::StripComments::new(text.as_bytes());
    let file: LoadFile = serde_json::from_reader(reader)?;
    validate(&file)?;
    Ok(file)
}

impl LoadFile {
    /// Queries per second that healthy targets can serve, limited by the most loaded service.
    pub fn capacity(&self, catalogue: &Catalogue) -> f64 {
        let total: f64 = self.mix.iter().map(|p| p.share).sum();
        let service_time = self.service_time.as_secs_f64();
        let capacities = self.mix.iter().filter_map(|portion| {
            let service = catalogue.service(&portion.service)?;
            let share: f64 =
                self.mix.iter().filter(|p| p.service == portion.service).map(|p| p.share).sum();
            Some(f64::from(min_shard_slots(service)) / service_time / (share / total))
        });
        capacities.fold(f64::INFINITY, f64::min)
    }
}

/// Slots of the shard with the fewest.
fn min_shard_slots(service: &Service) -> u32 {
    let slots = |targets: &[sapphirerack_catalogue::Target]| targets.iter().map(|t| t.slots).sum();
    service.shards.iter().map(|s| slots(&s.targets)).min().unwrap_or(0)
}

fn validate(file: &LoadFile) -> Result<(), LoadError> {
    check_not_empty("loads", file.loads.len())?;
    check_not_empty("conditions", file.conditions.len())?;
    check_not_empty("variants", file.variants.len())?;
    check_not_empty("mix", file.mix.len())?;
    check_not_empty("repeats", file.repeats as usize)?;
    for (i, load) in file.loads.iter().enumerate() {
        check_positive(&format!("loads[{i}]"), *load)?;
    }
    check_positive("service_time", file.service_time.as_secs_f64())?;
    check_positive("duration", file.duration.as_secs_f64())?;
    let mut names = Set::default();
    for (i, variant) in file.variants.iter().enumerate() {
        if !names.insert(&variant.name) {
            let found = format!("{:?} appears twice", variant.name);
            return Err(rule_error(format!("variants[{i}].name"), found, "unique names"));
        }
    }
    let catalogue = file.deployment.plan().catalogue;
    for (i, portion) in file.mix.iter().enumerate() {
        check_positive(&format!("mix[{i}].share"), portion.share)?;
        if catalogue.service(&portion.service).is_none() {
            let found = format!("{:?}", portion.service);
            return Err(rule_error(
                format!("mix[{i}].service"),
                found,
                "a service of the deployment",
            ));
        }
    }
    Ok(())
}

fn check_not_empty(path: &str, len: usize) -> Result<(), LoadError> {
    match len {
        0 => Err(rule_error(path.into(), "none".into(), "1 or more")),
        _ => Ok(()),
    }
}

fn check_positive(path: &str, value: f64) -> Result<(), LoadError> {
    match value > 0.0 && value.is_finite() {
        true => Ok(()),
        false => Err(rule_error(path.into(), value.to_string(), "a number above 0")),
    }
}

fn rule_error(path: String, found: String, expected: &'static str) -> LoadError {
    LoadError::Rule { path, found, expected }
}
