//! Composition of a fleet: catalogue, entry hosts and behaviour of the targets.

use std::time::Duration;

use sapphirerack_catalogue::{
    Catalogue, DataCentre, Limits, Member, Name, PARTITION_SPACE, Presence, Service, Shard, Span,
    Target, TargetState,
};
use serde_json::Value;

use crate::fleet::LOOPBACK;
use crate::target::Behaviour;

/// New connections are cheap at targets with at least this connection limit, as in the reference
/// deployments.
const CHEAP_CONNECT_FROM: u32 = 40;
const COSTLY_CONNECT: Duration = Duration::from_millis(6);
const CHEAP_CONNECT: Duration = Duration::from_millis(1);

/// Entry hosts of each reference deployment.
const DEPLOYMENT_HOSTS: usize = 8;

/// Shape of a small setup: one service with a replica of each shard in each data centre.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Names of the data centres.
    pub data_centres: Vec<Name>,
    /// Entry hosts in each data centre.
    pub hosts: usize,
    /// Shards of the service.
    pub shards: u32,
    /// Slots of each target.
    pub slots: u32,
    /// Mean service time.
    pub service: Duration,
    /// Share of requests with ten times the service time.
    pub stragglers: f64,
    /// Seed of the service times.
    pub seed: u64,
}

/// Computes the behaviour of a target from the default one that the catalogue implies.
pub type BehaviourFn = Box<dyn Fn(&Service, &Target, Behaviour) -> Behaviour>;

/// Composition of a fleet.
pub struct Plan {
    /// The catalogue; target addresses are replaced by those of the stand-ins.
    pub catalogue: Catalogue,
    /// Data centre of each entry host.
    pub hosts: Vec<Name>,
    /// Behaviour of the targets.
    pub behaviour: BehaviourFn,
    /// Merged into the settings of every host.
    pub settings: Value,
    /// Gives every data centre its own path to the store, which can be cut.
    pub network: bool,
    /// Starts a stand-in for each target; otherwise the catalogue stays as it is.
    pub stand_ins: bool,
}

impl Plan {
    /// A catalogue with one host for each entry of `hosts`, the name of its data centre.
    pub fn new(catalogue: Catalogue, hosts: Vec<Name>) -> Self {
        let behaviour: BehaviourFn = Box::new(|_, _, behaviour| behaviour);
        Self { catalogue, hosts, behaviour, settings: Value::Null, network: false, stand_ins: true }
    }

    /// The reference deployment `zeugenwerk`.
    pub fn zeugenwerk() -> Self {
        Self::deployment(include_str!("../deployments/zeugenwerk.json"))
    }

    /// The reference deployment `castlegate`.
    pub fn castlegate() -> Self {
        Self::deployment(include_str!("../deployments/castlegate.json"))
    }

    /// One data centre with 8 hosts and the single service `search`.
    pub fn group(shards: u32, replicas: u32, slots: u32) -> Self {
        let shape = Shape {
            data_centres: vec!["leith".into()],
            hosts: DEPLOYMENT_HOSTS,
            shards,
            slots,
            service: Duration::ZERO,
            stragglers: 0.0,
            seed: 0,
        };
        let mut catalogue = catalogue(&shape);
        for (i, shard) in (0..).zip(&mut catalogue.services[0].shards) {
            let replica = |r| Target {
                name: format!("search-{i}-{r}").into(),
                ..target(&shape, i, &shape.data_centres[0])
            };
            shard.targets = (0..replicas).map(replica).collect();
        }
        Self::new(catalogue, vec![shape.data_centres[0].clone(); shape.hosts])
    }

    fn deployment(text: &str) -> Self {
        let catalogue = sapphirerack_catalogue::from_text(text).unwrap();
        let centres = catalogue.data_centres.iter().map(|d| d.name.clone());
        let hosts = centres.cycle().take(DEPLOYMENT_HOSTS).collect();
        Self::new(catalogue, hosts)
    }

    /// Sets the behaviour of the targets.
    pub fn with_behaviour(
        mut self,
        behaviour: impl Fn(&Service, &Target, Behaviour) -> Behaviour + 'static,
    ) -> Self {
        self.behaviour = Box::new(behaviour);
        self
    }

    /// Merges `settings` into those of every host.
    pub fn with_settings(mut self, settings: Value) -> Self {
        self.settings = settings;
        self
    }

    /// Gives every data centre its own path to the store, which can be cut.
    pub fn with_network(mut self) -> Self {
        self.network = true;
        self
    }
}

impl From<&Shape> for Plan {
    fn from(shape: &Shape) -> Self {
        let hosts = shape.data_centres.iter();
        let hosts = hosts.flat_map(|d| std::iter::repeat_n(d.clone(), shape.hosts)).collect();
        let (service, stragglers, seed) = (shape.service, shape.stragglers, shape.seed);
        let plan = Self::new(catalogue(shape), hosts);
        plan.with_behaviour(move |_, _, behaviour| Behaviour {
            service,
            stragglers,
            connect: Duration::ZERO,
            seed: behaviour.seed.wrapping_add(seed),
            ..behaviour
        })
    }
}

/// Behaviour that the catalogue implies; `index` is the seed.
pub(crate) fn default_behaviour(shard: &Shard, target: &Target, index: usize) -> Behaviour {
    let cheap = target.connections >= CHEAP_CONNECT_FROM;
    Behaviour {
        name: target.name.clone(),
        span: shard.span,
        slots: target.slots,
        connections: target.connections,
        connect: if cheap { CHEAP_CONNECT } else { COSTLY_CONNECT },
        seed: index as u64,
        ..Behaviour::default()
    }
}

/// The `i`th of `count` equal parts of the partition space.
pub fn span(i: u32, count: u32) -> Span {
    let bound =
        |i: u32| u32::try_from(u64::from(PARTITION_SPACE) * u64::from(i) / u64::from(count));
    Span::new(bound(i).unwrap(), bound(i + 1).unwrap())
}

fn catalogue(shape: &Shape) -> Catalogue {
    let shards = (0..shape.shards).map(|i| Shard {
        name: i.to_string().into(),
        span: span(i, shape.shards),
        targets: shape.data_centres.iter().map(|d| target(shape, i, d)).collect(),
    });
    let service = Service {
        name: "search".into(),
        owner: "zeugenwerk".into(),
        class: "search".into(),
        limits: Limits { concurrency: 64, deadline: Duration::from_secs(1) },
        shards: shards.collect(),
    };
    let centre = |name: &Name| DataCentre { name: name.clone(), presence: Presence::In };
    Catalogue {
        members: vec![Member { name: "zeugenwerk".into(), key: "0".into() }],
        data_centres: shape.data_centres.iter().map(centre).collect(),
        services: vec![service],
        ..Catalogue::default()
    }
}

fn target(shape: &Shape, shard: u32, data_centre: &Name) -> Target {
    Target {
        name: format!("search-{shard}-{data_centre}").into(),
        address: LOOPBACK,
        data_centre: data_centre.clone(),
        version: "v1".into(),
        slots: shape.slots,
        connections: 25,
        cold: 1,
        state: TargetState::Active,
    }
}
