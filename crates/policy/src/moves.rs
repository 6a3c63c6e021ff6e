//! Effect of a move at a given time, and its next step.
//!
//! [`effective`] is a pure function of the record, the wall clock and the known verdicts, so that
//! every host reverses an undecided move at its deadline without any coordination. [`next_step`]
//! is the state machine of the stages; [`apply_step`] writes a step into a catalogue, with the
//! record's revision as fencing token.
//!
//! Clocks of hosts differ by at most [`MAX_CLOCK_SKEW`]. A move can be finished only until
//! [`decide_by`], which precedes the deadline by the time that a change needs to be in force
//! everywhere, so that hosts receive it before their own clocks make them reverse the move. A
//! record that is no longer open is final: a host that has already reversed the move follows the
//! record, which corrects it at most once.

use std::time::{Duration, SystemTime};

use sapphirerack_catalogue::{
    Catalogue, Goal, Move, MoveState, Name, PER_MILLE, Presence, Reason, Stage, TargetState,
};

pub use crate::start::{Plan, StartError, start};
use crate::{Verdicts, rank};

/// Largest difference between the clocks of two hosts.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_millis(500);

/// Time within which an accepted change is in force everywhere.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);

/// Time after which a drained data centre or retired target must get no new work.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Time for which ended moves are kept.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Outcomes of the new version that are enough evidence, for each stage up to the current one.
pub const STAGE_TRIALS: u64 = 250;

/// The decision margin is at most a move's duration divided by this.
const MARGIN_DIVISOR: u32 = 10;

/// A move's duration divided by this is left for the last write.
const WRITE_RESERVE_DIVISOR: u32 = 20;

/// Shortest hold of a stage, as a share of the planned hold.
const MIN_HOLD_SHARE: f64 = 0.25;

/// Effect of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect<'a> {
    /// None yet.
    Pending,
    /// That of the given stage.
    Open(usize, &'a Stage),
    /// Its goal is reached.
    Done,
    /// None any more: the move was reversed.
    Reversed(Reason),
}

/// Observations on an open move.
#[derive(Clone, Copy, Debug, Default)]
pub struct Facts {
    /// Whether every live host has the record's revision in force.
    pub in_force: bool,
    /// Outcomes of the new version on all hosts.
    pub trials: u64,
    /// Usable answers among them.
    pub successes: u64,
    /// Whether the evidence makes the new version suspect, though not enough for a verdict.
    pub suspicious: bool,
    /// Whether evidence from every data centre is recent.
    pub fresh: bool,
}

/// A step of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Goes on to the next stage.
    Advance,
    /// Ends the move with its goal reached.
    Finish,
    /// Ends the move without effect.
    Reverse(Reason),
}

/// Why a step was not applied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StepError {
    /// There is no such record.
    #[error("no such move")]
    Unknown,
    /// Another step was written first.
    #[error("another step came first")]
    Fenced,
    /// The step is too late or too early.
    #[error("out of time")]
    Time,
}

/// Effect of a move at the wall-clock time `now`.
pub fn effective<'a>(record: &'a Move, now: SystemTime, verdicts: &Verdicts) -> Effect<'a> {
    let stage = match &record.state {
        MoveState::Done { .. } => return Effect::Done,
        MoveState::Reversed { reason, .. } => return Effect::Reversed(reason.clone()),
        MoveState::Open { stage, .. } => *stage,
    };
    if let Some(verdict) = verdicts.get(&record.id) {
        return Effect::Reversed(verdict.reason());
    }
    if now >= record.deadline {
        return Effect::Reversed(Reason::Deadline);
    }
    if now < record.start {
        return Effect::Pending;
    }
    record.stages.get(stage).map_or(Effect::Pending, |s| Effect::Open(stage, s))
}

/// Last time at which a move may still advance or finish.
pub fn decide_by(record: &Move) -> SystemTime {
    let margin = (IN_FORCE_LIMIT + MAX_CLOCK_SKEW).min(duration(record) / MARGIN_DIVISOR);
    record.deadline - margin
}

/// Next step of an open move, if it is due.
pub fn next_step(
    record: &Move,
    now: SystemTime,
    verdicts: &Verdicts,
    facts: &Facts,
) -> Option<Step> {
    let MoveState::Open { stage, since } = record.state else {
        return None;
    };
    match effective(record, now, verdicts) {
        Effect::Reversed(reason) => return Some(Step::Reverse(reason)),
        Effect::Open(..) => {}
        Effect::Pending | Effect::Done => return None,
    }
    let hold_over = now >= since + hold(record, stage, since);
    if !hold_over || now > decide_by(record) {
        return None;
    }
    let last = stage + 1 >= record.stages.len();
    let ready = match record.goal {
        Goal::Shift { .. } => is_shift_ready(record, stage, now, facts),
        Goal::Drain { .. } | Goal::Restore { .. } | Goal::Retire { .. } => facts.in_force,
    };
    ready.then_some(if last { Step::Finish } else { Step::Advance })
}

/// Whether a stage has enough evidence, or can no longer wait for more, and nothing speaks against
/// the new version. The last stage also needs a usable answer of it and recent evidence.
fn is_shift_ready(record: &Move, stage: usize, now: SystemTime, facts: &Facts) -> bool {
    let last = stage + 1 >= record.stages.len();
    if facts.suspicious || (last && (facts.successes == 0 || !facts.fresh)) {
        return false;
    }
    let enough = facts.trials >= STAGE_TRIALS * (stage as u64 + 1);
    enough || now >= evidence_deadline(record, stage)
}

/// Time from which a stage no longer waits for more evidence.
fn evidence_deadline(record: &Move, stage: usize) -> SystemTime {
    let rest: Duration = record.stages[stage + 1..].iter().map(|s| s.hold).sum();
    decide_by(record) - duration(record) / WRITE_RESERVE_DIVISOR - rest
}

/// Hold of a stage: as planned, or scaled down with those that follow if time was lost earlier.
fn hold(record: &Move, stage: usize, since: SystemTime) -> Duration {
    let planned: Duration = record.stages[stage..].iter().map(|s| s.hold).sum();
    let left = decide_by(record).duration_since(since).unwrap_or_default();
    let left = left.saturating_sub(duration(record) / WRITE_RESERVE_DIVISOR);
    let scale = left.as_secs_f64() / planned.as_secs_f64().max(f64::MIN_POSITIVE);
    record.stages[stage].hold.mul_f64(scale.clamp(MIN_HOLD_SHARE, 1.0))
}

fn duration(record: &Move) -> Duration {
    record.deadline.duration_since(record.start).unwrap_or_default()
}

/// Writes a step into a catalogue if the record still has the given revision.
///
/// # Errors
///
/// The move is unknown, another step was written first, or the step is too late or too early.
pub fn apply_step(
    catalogue: &Catalogue,
    id: &str,
    revision: u64,
    step: &Step,
    now: SystemTime,
) -> Result<Catalogue, StepError> {
    let record = catalogue.find_move(id).ok_or(StepError::Unknown)?;
    let MoveState::Open { stage, .. } = record.state else {
        return Err(StepError::Fenced);
    };
    if record.revision != revision {
        return Err(StepError::Fenced);
    }
    let state = match step {
        Step::Reverse(Reason::Deadline) if now < record.deadline => return Err(StepError::Time),
        Step::Reverse(reason) => MoveState::Reversed { at: now, reason: reason.clone() },
        Step::Advance | Step::Finish if now > decide_by(record) => return Err(StepError::Time),
        Step::Advance => MoveState::Open { stage: stage + 1, since: now },
        Step::Finish => MoveState::Done { at: now },
    };
    let mut changed = catalogue.clone();
    if *step == Step::Finish {
        apply_goal(&mut changed, &record.goal);
    }
    for record in changed.moves.iter_mut().filter(|m| &*m.id == id) {
        record.revision += 1;
        record.state = state.clone();
    }
    prune(&mut changed, now);
    Ok(changed)
}

/// Removes moves that ended more than [`RETENTION`] ago.
pub fn prune(catalogue: &mut Catalogue, now: SystemTime) {
    let is_expired = |at: SystemTime| now.duration_since(at).is_ok_and(|age| age > RETENTION);
    catalogue.moves.retain(|m| !m.ended().is_some_and(is_expired));
}

/// The catalogue with its open moves applied; `None` if none is in effect.
pub fn project(catalogue: &Catalogue, now: SystemTime, verdicts: &Verdicts) -> Option<Catalogue> {
    let is_active = |m: &&Move| matches!(effective(m, now, verdicts), Effect::Open(..));
    let mut active = catalogue.moves.iter().filter(is_active).peekable();
    active.peek()?;
    let mut projected = catalogue.clone();
    for record in active {
        match &record.goal {
            Goal::Shift { service, to, .. } => {
                set_version(&mut projected, service, to, TargetState::Active);
            }
            goal => apply_goal(&mut projected, goal),
        }
    }
    Some(projected)
}

/// Writes a goal into the catalogue entries that it concerns.
fn apply_goal(catalogue: &mut Catalogue, goal: &Goal) {
    match goal {
        Goal::Drain { data_centre } => set_presence(catalogue, data_centre, Presence::Out),
        Goal::Restore { data_centre } => set_presence(catalogue, data_centre, Presence::In),
        Goal::Retire { target } => set_leaving(catalogue, target),
        Goal::Shift { service, from, to } => {
            set_version(catalogue, service, to, TargetState::Active);
            set_version(catalogue, service, from, TargetState::Standby);
        }
    }
}

fn set_presence(catalogue: &mut Catalogue, name: &Name, presence: Presence) {
    for centre in catalogue.data_centres.iter_mut().filter(|d| d.name == *name) {
        centre.presence = presence;
    }
}

fn set_leaving(catalogue: &mut Catalogue, name: &Name) {
    let shards = catalogue.services.iter_mut().flat_map(|s| &mut s.shards);
    for target in shards.flat_map(|s| &mut s.targets).filter(|t| t.name == *name) {
        target.state = TargetState::Leaving;
    }
}

/// Sets the state of a version's targets, except of those that are leaving.
pub(crate) fn set_version(
    catalogue: &mut Catalogue,
    service: &Name,
    version: &Name,
    state: TargetState,
) {
    let services = catalogue.services.iter_mut().filter(|s| s.name == *service);
    let targets = services.flat_map(|s| &mut s.shards).flat_map(|s| &mut s.targets);
    for target in targets.filter(|t| t.version == *version) {
        if target.state != TargetState::Leaving {
            target.state = state;
        }
    }
}

/// Share of a host's requests that go to the new version, in per mille.
///
/// If a stage exposes only some of the hosts, the others keep the highest share of the earlier
/// stages that exposed them. An exposed host applies the share to the full load of its groups.
pub fn host_share(record: &Move, stage: usize, own: &str, live: &[Name]) -> u32 {
    let stages = record.stages.iter().take(stage + 1);
    if stages.clone().all(|s| s.hosts >= PER_MILLE) {
        return stages.map(|s| s.share).max().unwrap_or(0);
    }
    let ranked = rank(record.id.as_bytes(), live, |h| h.as_bytes());
    let position = ranked.iter().position(|h| **h == *own).unwrap_or(usize::MAX);
    let exposed = |s: &&Stage| s.hosts >= PER_MILLE || position < exposed_hosts(s, ranked.len());
    stages.filter(exposed).map(|s| s.share).max().unwrap_or(0)
}

fn exposed_hosts(stage: &Stage, hosts: usize) -> usize {
    (hosts * stage.hosts as usize / PER_MILLE as usize).max(1)
}
