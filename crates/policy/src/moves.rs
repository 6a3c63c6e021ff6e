//! What a move has in effect, and its next step.
//!
//! [`effective`] is a pure function of the record, the wall clock and the known verdicts, so that
//! every host takes back an undecided move at its deadline without asking anyone. [`next`] is the
//! stage machine; [`take`] writes its step into a catalogue, fenced by the record's revision.
//!
//! Clocks of hosts differ by at most [`CLOCK_BOUND`]. A move is finished only up to
//! [`decide_by`], which lies before the deadline by the time that a change takes to be in force
//! everywhere, so that hosts learn of it before their own clocks make them take it back. A record
//! that is no longer open is final: a host that had taken the move back on its own follows the
//! record, once.

use std::time::{Duration, SystemTime};

use sapphirerack_catalogue::{
    Catalogue, Goal, Move, MoveState, Name, PER_MILLE, Presence, Reason, Stage, TargetState,
};

pub use crate::start::{Plan, StartError, start};
use crate::{Verdicts, rank};

/// Largest difference between the clocks of two hosts.
pub const CLOCK_BOUND: Duration = Duration::from_millis(500);

/// Time in which an accepted change is in force everywhere.
pub const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);

/// Time in which new work to what leaves must have ended.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Time for which finished moves are kept.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Outcomes of the new version, per stage gone through, that count as enough evidence.
pub const STAGE_TRIALS: u64 = 250;

/// The time to decide is never cut by more than this part of a move's length.
const DECIDE_PART: u32 = 10;

/// Part of a move's length left for the last write.
const LAST_PART: u32 = 20;

/// A stage shrinks to no less than this part of its planned length.
const SHRINK_LIMIT: f64 = 0.25;

/// What a move has in effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect<'a> {
    /// Nothing yet.
    Pending,
    /// The given stage.
    Open(usize, &'a Stage),
    /// Its goal.
    Done,
    /// Nothing any more.
    Reversed(Reason),
}

/// What is known about an open move.
#[derive(Clone, Copy, Debug, Default)]
pub struct Facts {
    /// Whether every live host has the record's revision in force.
    pub in_force: bool,
    /// Outcomes of the new version on all hosts.
    pub trials: u64,
    /// Usable answers among them.
    pub successes: u64,
    /// Whether the evidence leans against the new version without a verdict yet.
    pub suspicious: bool,
    /// Whether evidence from every data centre is recent.
    pub fresh: bool,
}

/// A step of a move.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// To the next stage.
    Advance,
    /// Done.
    Finish,
    /// Taken back.
    Reverse(Reason),
}

/// Why a step has no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StepError {
    /// The record is gone.
    #[error("no such move")]
    Unknown,
    /// Another step came first.
    #[error("another step came first")]
    Fenced,
    /// The time for the step is over, or has not come.
    #[error("out of time")]
    Time,
}

/// What a move has in effect at the wall-clock time `now`.
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

/// Last time at which a move may still be decided in its favour.
pub fn decide_by(record: &Move) -> SystemTime {
    let margin = (IN_FORCE_LIMIT + CLOCK_BOUND).min(length(record) / DECIDE_PART);
    record.deadline - margin
}

/// Next step of an open move, if it is due.
pub fn next(record: &Move, now: SystemTime, verdicts: &Verdicts, facts: &Facts) -> Option<Step> {
    let MoveState::Open { stage, since } = record.state else {
        return None;
    };
    match effective(record, now, verdicts) {
        Effect::Reversed(reason) => return Some(Step::Reverse(reason)),
        Effect::Open(..) => {}
        Effect::Pending | Effect::Done => return None,
    }
    let held = now >= since + hold(record, stage, since);
    if !held || now > decide_by(record) {
        return None;
    }
    let last = stage + 1 >= record.stages.len();
    let ready = match record.goal {
        Goal::Shift { .. } => is_shift_ready(record, stage, now, facts),
        Goal::Drain { .. } | Goal::Restore { .. } | Goal::Retire { .. } => facts.in_force,
    };
    ready.then_some(if last { Step::Finish } else { Step::Advance })
}

/// Enough evidence and none against it; or little evidence and no time to wait for more.
fn is_shift_ready(record: &Move, stage: usize, now: SystemTime, facts: &Facts) -> bool {
    let last = stage + 1 >= record.stages.len();
    if facts.suspicious || (last && (facts.successes == 0 || !facts.fresh)) {
        return false;
    }
    let enough = facts.trials >= STAGE_TRIALS * (stage as u64 + 1);
    enough || now >= latest(record, stage)
}

/// Time from which a stage no longer waits for more evidence.
fn latest(record: &Move, stage: usize) -> SystemTime {
    let rest: Duration = record.stages[stage + 1..].iter().map(|s| s.hold).sum();
    decide_by(record) - length(record) / LAST_PART - rest
}

/// Length of a stage: as planned, or shrunk evenly with the rest if time was lost before.
fn hold(record: &Move, stage: usize, since: SystemTime) -> Duration {
    let planned: Duration = record.stages[stage..].iter().map(|s| s.hold).sum();
    let left = decide_by(record).duration_since(since).unwrap_or_default();
    let left = left.saturating_sub(length(record) / LAST_PART);
    let part = left.as_secs_f64() / planned.as_secs_f64().max(f64::MIN_POSITIVE);
    record.stages[stage].hold.mul_f64(part.clamp(SHRINK_LIMIT, 1.0))
}

fn length(record: &Move) -> Duration {
    record.deadline.duration_since(record.start).unwrap_or_default()
}

/// Writes a step into a catalogue, if the record still has the given revision.
///
/// # Errors
///
/// Another step came first, or the step is out of time; the step then has no effect.
pub fn take(
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
        settle(&mut changed, &record.goal);
    }
    for record in changed.moves.iter_mut().filter(|m| &*m.id == id) {
        record.revision += 1;
        record.state = state.clone();
    }
    prune(&mut changed, now);
    Ok(changed)
}

/// Drops moves that ended longer ago than the retention time.
pub fn prune(catalogue: &mut Catalogue, now: SystemTime) {
    let old = |at: SystemTime| now.duration_since(at).is_ok_and(|age| age > RETENTION);
    catalogue.moves.retain(|m| !m.ended().is_some_and(old));
}

/// The catalogue with what its open moves have in effect; `None` if they change nothing.
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
            goal => settle(&mut projected, goal),
        }
    }
    Some(projected)
}

/// Writes a goal into the entries that it is about.
fn settle(catalogue: &mut Catalogue, goal: &Goal) {
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

/// Sets the state of a version's targets; those that leave keep leaving.
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
/// A stage that exposes only part of the hosts leaves the others at the last stage that exposed
/// them. The exposed ones see the full load of the groups that they own.
pub fn host_share(record: &Move, stage: usize, own: &str, live: &[Name]) -> u32 {
    let stages = record.stages.iter().take(stage + 1);
    if stages.clone().all(|s| s.hosts >= PER_MILLE) {
        return stages.map(|s| s.share).max().unwrap_or(0);
    }
    let ranked = rank(record.id.as_bytes(), live, |h| h.as_bytes());
    let place = ranked.iter().position(|h| **h == *own).unwrap_or(usize::MAX);
    let exposed = |s: &&Stage| s.hosts >= PER_MILLE || place < exposed_hosts(s, ranked.len());
    stages.filter(exposed).map(|s| s.share).max().unwrap_or(0)
}

fn exposed_hosts(stage: &Stage, hosts: usize) -> usize {
    (hosts * stage.hosts as usize / PER_MILLE as usize).max(1)
}
