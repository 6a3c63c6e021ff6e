//! Files that describe a load.

use std::time::Duration;

use sapphirerack_catalogue::{Catalogue, Name, Service, Set};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::fleet::Plan;

/// Why a load file was refused, with the place.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The text is not well formed, or has a field too many or of another kind.
    #[error("read load file: {0}")]
    Syntax(#[from] serde_json::Error),
    /// A field breaks a rule.
    #[error("check load file: {path}: {found}, expected {expected}")]
    Rule {
        /// Path to the field.
        path: String,
        /// What it holds.
        found: String,
        /// What it should hold.
        expected: &'static str,
    },
}

/// Which setup the load runs on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// The brief's deployment of Zeugenwerk.
    Zeugenwerk,
    /// The brief's deployment of Castlegate.
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
    /// All is well.
    Healthy,
    /// 1 % of the requests take ten times as long.
    Stragglers,
    /// One replica of each shard is down.
    LostReplica,
    /// One replica of each shard turns cold as the measurement starts.
    ColdRestart,
}

/// Who dispatches sub-queries to the targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Dispatch {
    /// Each host on its own to a random replica.
    Naive,
    /// Each host on its own, with its share of the slots and connections; retries once.
    StaticShares,
    /// One owner for each target, hedged from arrival; retries once.
    OwnerPerTarget,
    /// The shipped program.
    Product,
}

/// One way of serving the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Name in the table.
    pub name: Name,
    /// Who dispatches.
    pub dispatch: Dispatch,
    /// Merged into the settings of every host, for the product.
    #[serde(default)]
    pub settings: Value,
}

/// A part of the load.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Portion {
    /// Service that is asked; its owner and class are the member and class of the load.
    pub service: Name,
    /// Route within the service.
    #[serde(default = "default_route")]
    pub route: Name,
    /// Weight against the other portions.
    pub share: f64,
}

fn default_route() -> Name {
    "default".into()
}

/// A load: every variant runs at every load level under every condition, several times.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadFile {
    /// Setup that it runs on.
    pub deployment: Deployment,
    /// Mean time that a target takes for a sub-query.
    #[serde(with = "humantime_serde")]
    pub service_time: Duration,
    /// Arrival rates, as shares of the capacity of healthy targets.
    pub loads: Vec<f64>,
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Ways of serving the load.
    pub variants: Vec<Variant>,
    /// Parts of the load.
    pub mix: Vec<Portion>,
    /// Time before the measurement starts.
    #[serde(with = "humantime_serde")]
    pub warm_up: Duration,
    /// Time of the measurement.
    #[serde(with = "humantime_serde")]
    pub duration: Duration,
    /// Runs of each combination.
    pub repeats: u32,
    /// Seed of the arrivals and of the targets; each repeat has another.
    pub seed: u64,
}

/// Reads a load file from JSON with comments and checks it.
///
/// # Errors
///
/// Syntax errors with line and column; broken rules with the path to the field.
pub fn from_text(text: &str) -> Result<LoadFile, LoadError> {
    let reader = json_comments::StripComments::new(text.as_bytes());
    let file: LoadFile = serde_json::from_reader(reader)?;
    check(&file)?;
    Ok(file)
}

impl LoadFile {
    /// Queries a second that healthy targets bear.
    pub fn capacity(&self, catalogue: &Catalogue) -> f64 {
        let total: f64 = self.mix.iter().map(|p| p.share).sum();
        let service_time = self.service_time.as_secs_f64();
        let bears = self.mix.iter().filter_map(|portion| {
            let service = catalogue.service(&portion.service)?;
            let asked: f64 =
                self.mix.iter().filter(|p| p.service == portion.service).map(|p| p.share).sum();
            Some(f64::from(narrowest(service)) / service_time / (asked / total))
        });
        bears.fold(f64::INFINITY, f64::min)
    }
}

/// Slots of the shard that has the fewest.
fn narrowest(service: &Service) -> u32 {
    let slots = |targets: &[sapphirerack_catalogue::Target]| targets.iter().map(|t| t.slots).sum();
    service.shards.iter().map(|s| slots(&s.targets)).min().unwrap_or(0)
}

fn check(file: &LoadFile) -> Result<(), LoadError> {
    filled("loads", file.loads.len())?;
    filled("conditions", file.conditions.len())?;
    filled("variants", file.variants.len())?;
    filled("mix", file.mix.len())?;
    filled("repeats", file.repeats as usize)?;
    for (i, load) in file.loads.iter().enumerate() {
        positive(&format!("loads[{i}]"), *load)?;
    }
    positive("service_time", file.service_time.as_secs_f64())?;
    positive("duration", file.duration.as_secs_f64())?;
    let mut names = Set::default();
    for (i, variant) in file.variants.iter().enumerate() {
        if !names.insert(&variant.name) {
            let found = format!("{:?} appears twice", variant.name);
            return Err(rule(format!("variants[{i}].name"), found, "unique names"));
        }
    }
    let catalogue = file.deployment.plan().catalogue;
    for (i, portion) in file.mix.iter().enumerate() {
        positive(&format!("mix[{i}].share"), portion.share)?;
        if catalogue.service(&portion.service).is_none() {
            let found = format!("{:?}", portion.service);
            return Err(rule(format!("mix[{i}].service"), found, "a service of the deployment"));
        }
    }
    Ok(())
}

fn filled(path: &str, len: usize) -> Result<(), LoadError> {
    match len {
        0 => Err(rule(path.into(), "none".into(), "1 or more")),
        _ => Ok(()),
    }
}

fn positive(path: &str, value: f64) -> Result<(), LoadError> {
    match value > 0.0 && value.is_finite() {
        true => Ok(()),
        false => Err(rule(path.into(), value.to_string(), "a number above 0")),
    }
}

fn rule(path: String, found: String, expected: &'static str) -> LoadError {
    LoadError::Rule { path, found, expected }
}
