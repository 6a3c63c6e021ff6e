//! Whether a move may start, and its stages.

use std::time::{Duration, SystemTime};

use sapphirerack_catalogue::{
    Catalogue, DeadlineAction, Goal, Move, MoveState, Name, PER_MILLE, Presence, Set, Shard, Stage,
    TargetState,
};

use crate::Verdicts;
use crate::moves::{DRAIN_LIMIT, project, prune, set_version};

/// Shortest time allowed for a shift.
const MIN_SHIFT_TIME: Duration = Duration::from_secs(5);

/// Warm-up time of the targets of a restored data centre.
const RAMP_TIME: Duration = Duration::from_secs(10);

/// Stages of a shift: share and exposed hosts in per mille, and hold as a part of the whole time.
///
/// The third stage sends nearly the full load of a quarter of the hosts to the new version. The
/// last stage leaves a twentieth to the old version, for comparison.
const SHIFT_STAGES: [(u32, u32, f64); 4] =
    [(10, PER_MILLE, 0.10), (50, PER_MILLE, 0.10), (900, 250, 0.15), (950, PER_MILLE, 0.25)];

/// Why a move may not start.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StartError {
    /// An entry that the goal names does not exist.
    #[error("{0}")]
    Unknown(String),
    /// The goal is already reached, or conflicts with a known move.
    #[error("{0}")]
    Conflict(String),
    /// The deadline is too close.
    #[error("deadline too close: expected at least {0:?}")]
    Deadline(Duration),
    /// Part of a service would have no target.
    #[error("{0}")]
    Coverage(String),
}

/// A move that an operator requests.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Unique id.
    pub id: Name,
    /// Member that requests it.
    pub owner: Name,
    /// State to be reached.
    pub goal: Goal,
    /// Time within which it must end.
    pub within: Duration,
}

/// The catalogue with a new move, which takes effect at once.
///
/// # Errors
///
/// The goal names unknown entries or conflicts with the catalogue, the deadline is too close, or a
/// shard would lose its last target.
pub fn start(catalogue: &Catalogue, plan: Plan, now: SystemTime) -> Result<Catalogue, StartError> {
    check_goal(catalogue, &plan.goal)?;
    if let Some(other) = catalogue
        .moves
        .iter()
        .find(|m| m.id == plan.id || (m.is_open() && m.goal.subject() == plan.goal.subject()))
    {
        return Err(StartError::Conflict(format!("move {:?} is in the way", other.id)));
    }
    let record = Move {
        stages: stages(catalogue, &plan.goal, plan.within)?,
        id: plan.id,
        owner: plan.owner,
        goal: plan.goal,
        start: now,
        deadline: now + plan.within,
        undecided: DeadlineAction::Reverse,
        revision: 1,
        state: MoveState::Open { stage: 0, since: now },
    };
    let mut changed = catalogue.clone();
    if let Goal::Shift { service, to, .. } = &record.goal {
        set_version(&mut changed, service, to, TargetState::Standby);
    }
    changed.moves.push(record);
    prune(&mut changed, now);
    check_coverage(catalogue, &changed, now)?;
    Ok(changed)
}

fn check_goal(catalogue: &Catalogue, goal: &Goal) -> Result<(), StartError> {
    match goal {
        Goal::Drain { data_centre } => check_presence(catalogue, data_centre, Presence::In),
        Goal::Restore { data_centre } => check_presence(catalogue, data_centre, Presence::Out),
        Goal::Retire { target } => check_retire(catalogue, target),
        Goal::Shift { service, from, to } => check_shift(catalogue, service, from, to),
    }
}

fn check_presence(catalogue: &Catalogue, name: &str, expected: Presence) -> Result<(), StartError> {
    let centre = catalogue.data_centre(name);
    let centre = centre.ok_or_else(|| StartError::Unknown(format!("no data centre {name:?}")))?;
    if centre.presence != expected {
        let found = format!("data centre {name:?} is {:?} already", centre.presence);
        return Err(StartError::Conflict(found));
    }
    Ok(())
}

fn check_retire(catalogue: &Catalogue, name: &str) -> Result<(), StartError> {
    let target = catalogue.target(name);
    let target = target.ok_or_else(|| StartError::Unknown(format!("no target {name:?}")))?;
    if target.state == TargetState::Leaving {
        return Err(StartError::Conflict(format!("target {name:?} is leaving already")));
    }
    Ok(())
}

fn check_shift(catalogue: &Catalogue, name: &str, from: &str, to: &str) -> Result<(), StartError> {
    let service = catalogue.service(name);
    let service = service.ok_or_else(|| StartError::Unknown(format!("no service {name:?}")))?;
    if from == to {
        return Err(StartError::Conflict(format!("{from:?} and {to:?} are the same version")));
    }
    for shard in &service.shards {
        for version in [from, to] {
            if !holds_version(catalogue, shard, version) {
                let found = format!("shard {:?} has no target of version {version:?}", shard.name);
                return Err(StartError::Coverage(found));
            }
        }
    }
    Ok(())
}

fn holds_version(catalogue: &Catalogue, shard: &Shard, version: &str) -> bool {
    shard.targets.iter().any(|t| {
        let centre = catalogue.data_centre(&t.data_centre);
        &*t.version == version
            && t.state != TargetState::Leaving
            && centre.is_some_and(|d| d.presence == Presence::In)
    })
}

/// Checks that a move leaves a target to every shard that has one.
fn check_coverage(
    before: &Catalogue,
    after: &Catalogue,
    now: SystemTime,
) -> Result<(), StartError> {
    let verdicts = Verdicts::default();
    let old = uncovered(project(before, now, &verdicts).as_ref().unwrap_or(before));
    let new = uncovered(project(after, now, &verdicts).as_ref().unwrap_or(after));
    match new.difference(&old).min() {
        Some((service, shard)) => {
            let found = format!("shard {shard:?} of {service:?} would have no target");
            Err(StartError::Coverage(found))
        }
        None => Ok(()),
    }
}

/// Shards without an active target in a data centre in service, by service and name.
fn uncovered(catalogue: &Catalogue) -> Set<(Name, Name)> {
    let present = catalogue.data_centres.iter().filter(|d| d.presence == Presence::In);
    let present: Set<&Name> = present.map(|d| &d.name).collect();
    let serves = |s: &Shard| {
        let mut targets = s.targets.iter();
        targets.any(|t| t.state == TargetState::Active && present.contains(&t.data_centre))
    };
    let mut found = Set::default();
    for service in &catalogue.services {
        for shard in service.shards.iter().filter(|s| !serves(s)) {
            found.insert((service.name.clone(), shard.name.clone()));
        }
    }
    found
}

fn stages(catalogue: &Catalogue, goal: &Goal, within: Duration) -> Result<Vec<Stage>, StartError> {
    let hold = match goal {
        Goal::Shift { .. } if within < MIN_SHIFT_TIME => {
            return Err(StartError::Deadline(MIN_SHIFT_TIME));
        }
        Goal::Shift { .. } => return Ok(shift_stages(within)),
        Goal::Restore { .. } => RAMP_TIME.min(within / 2),
        Goal::Drain { .. } | Goal::Retire { .. } => DRAIN_LIMIT + longest_deadline(catalogue),
    };
    if hold > within / 2 {
        return Err(StartError::Deadline(hold * 2));
    }
    Ok(vec![Stage { share: 0, hosts: PER_MILLE, hold }])
}

fn shift_stages(within: Duration) -> Vec<Stage> {
    let stage = |(share, hosts, part)| Stage { share, hosts, hold: within.mul_f64(part) };
    SHIFT_STAGES.map(stage).to_vec()
}

fn longest_deadline(catalogue: &Catalogue) -> Duration {
    catalogue.services.iter().map(|s| s.limits.deadline).max().unwrap_or_default()
}
