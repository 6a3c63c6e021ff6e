//! Fixtures for tests of moves.

#![allow(dead_code, clippy::unwrap_used)]

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sapphirerack_catalogue::{
    Catalogue, DataCentre, Goal, Limits, Member, Move, PARTITION_SPACE, Presence, Service, Shard,
    Span, Target, TargetState,
};
use sapphirerack_policy::moves::{self, Plan};

/// Wall-clock time `millis` after a fixed start.
pub fn at(millis: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(1_000_000) + Duration::from_millis(millis)
}

fn target(shard: u32, centre: &str, version: &str, state: TargetState) -> Target {
    Target {
        name: format!("{shard}-{centre}-{version}").into(),
        address: ([127, 0, 0, 1], 9000).into(),
        data_centre: centre.into(),
        version: version.into(),
        slots: 2,
        connections: 25,
        cold: 1,
        state,
    }
}

/// Two data centres, one service of two shards, versions v1 (active) and v2 (standby).
pub fn catalogue() -> Catalogue {
    let shard = |i: u32| Shard {
        name: i.to_string().into(),
        span: Span::new(i * PARTITION_SPACE / 2, (i + 1) * PARTITION_SPACE / 2),
        targets: ["leith", "perth"]
            .iter()
            .flat_map(|c| {
                let old = target(i, c, "v1", TargetState::Active);
                [old, target(i, c, "v2", TargetState::Standby)]
            })
            .collect(),
    };
    let service = Service {
        name: "clocks".into(),
        owner: "castlegate".into(),
        class: "search".into(),
        limits: Limits { concurrency: 8, deadline: Duration::from_secs(1) },
        shards: vec![shard(0), shard(1)],
    };
    let centre = |name: &str| DataCentre { name: name.into(), presence: Presence::In };
    Catalogue {
        members: vec![Member { name: "castlegate".into(), key: "0".into() }],
        data_centres: vec![centre("leith"), centre("perth")],
        services: vec![service],
        ..Catalogue::default()
    }
}

pub fn drain(centre: &str) -> Goal {
    Goal::Drain { data_centre: centre.into() }
}

pub fn shift() -> Goal {
    Goal::Shift { service: "clocks".into(), from: "v1".into(), to: "v2".into() }
}

pub fn plan(id: &str, goal: Goal, seconds: u64) -> Plan {
    let within = Duration::from_secs(seconds);
    Plan { id: id.into(), owner: "castlegate".into(), goal, within }
}

/// The catalogue with move "m" started at time 0.
pub fn started(goal: Goal, seconds: u64) -> Catalogue {
    moves::start(&catalogue(), plan("m", goal, seconds), at(0)).unwrap()
}

pub fn record(catalogue: &Catalogue) -> &Move {
    catalogue.find_move("m").unwrap()
}

/// States of the targets of a version.
pub fn states(catalogue: &Catalogue, version: &str) -> Vec<TargetState> {
    let targets = catalogue.services[0].shards.iter().flat_map(|s| &s.targets);
    targets.filter(|t| &*t.version == version).map(|t| t.state).collect()
}

pub fn presence(catalogue: &Catalogue, centre: &str) -> Presence {
    catalogue.data_centre(centre).unwrap().presence
}
