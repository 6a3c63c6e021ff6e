//! Moves: planned changes that complete by a deadline or are reversed.
//!
//! A move is a single record with its goal, stages and deadline, so that any host can derive from
//! the record and the clock alone what is in effect. A record that is still open at its deadline
//! counts as reversed, even if no host could write the reversal to the store. `revision` is
//! incremented by every step; a step is written only over the revision on which it was decided.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::Name;

/// Denominator of shares in per mille.
pub const PER_MILLE: u32 = 1000;

/// Goal of a move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Goal {
    /// A data centre receives no new work.
    Drain {
        /// Data centre to drain.
        data_centre: Name,
    },
    /// A drained data centre receives new work again.
    Restore {
        /// Data centre to restore.
        data_centre: Name,
    },
    /// A target receives no new work.
    Retire {
        /// Target to retire.
        target: Name,
    },
    /// A service's traffic shifts to another version of its back ends.
    Shift {
        /// Service to shift.
        service: Name,
        /// Version that currently serves.
        from: Name,
        /// Version to shift to.
        to: Name,
    },
}

/// Entry that a move changes; at most one open move per subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject<'a> {
    /// A data centre, by name.
    DataCentre(&'a str),
    /// A target, by name.
    Target(&'a str),
    /// A service, by name.
    Service(&'a str),
}

/// Traffic share and duration of one stage of a rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Share of requests on an exposed host that go to the new version, in per mille.
    pub share: u32,
    /// Share of hosts that are exposed to the new version, in per mille.
    pub hosts: u32,
    /// Planned duration.
    #[serde(with = "humantime_serde")]
    pub hold: Duration,
}

/// Action on a move that is still undecided at its deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DeadlineAction {
    /// The move is reversed.
    #[default]
    Reverse,
}

/// Regression of a new version against the old one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Higher error rate than the old version.
    Failing,
    /// Higher latency than the old version.
    Slow,
}

/// Reason for the reversal of a move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Reason {
    /// Still undecided at its deadline.
    Deadline,
    /// The new version was found to regress.
    Verdict {
        /// Kind of regression.
        fault: Fault,
        /// Affected route; `None` if found over all routes combined.
        route: Option<Name>,
    },
}

/// Progress of a move.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum MoveState {
    /// In progress.
    Open {
        /// Index of the current stage.
        stage: usize,
        /// Time at which the stage began.
        #[serde(with = "humantime_serde")]
        since: SystemTime,
    },
    /// The goal was reached.
    Done {
        /// Time of the decision.
        #[serde(with = "humantime_serde")]
        at: SystemTime,
    },
    /// The move was reversed.
    Reversed {
        /// Time of the decision.
        #[serde(with = "humantime_serde")]
        at: SystemTime,
        /// Reason for the reversal.
        reason: Reason,
    },
}

/// A planned change with a deadline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Move {
    /// Unique id.
    pub id: Name,
    /// Member that started the move.
    pub owner: Name,
    /// Goal of the move.
    pub goal: Goal,
    /// Stages in order, at least one.
    pub stages: Vec<Stage>,
    /// Start time.
    #[serde(with = "humantime_serde")]
    pub start: SystemTime,
    /// Time by which it must have ended.
    #[serde(with = "humantime_serde")]
    pub deadline: SystemTime,
    /// Action if it is undecided at the deadline.
    #[serde(default)]
    pub undecided: DeadlineAction,
    /// Incremented by every step.
    pub revision: u64,
    /// Current progress.
    pub state: MoveState,
}

impl Goal {
    /// Entry that the goal changes.
    pub fn subject(&self) -> Subject<'_> {
        match self {
            Self::Drain { data_centre } | Self::Restore { data_centre } => {
                Subject::DataCentre(data_centre)
            }
            Self::Retire { target } => Subject::Target(target),
            Self::Shift { service, .. } => Subject::Service(service),
        }
    }
}

impl Move {
    /// Whether the record is open. Even an open record has no effect from its deadline on.
    pub fn is_open(&self) -> bool {
        matches!(self.state, MoveState::Open { .. })
    }

    /// Time at which the move ended; `None` while it is open.
    pub fn ended(&self) -> Option<SystemTime> {
        match self.state {
            MoveState::Open { .. } => None,
            MoveState::Done { at } | MoveState::Reversed { at, .. } => Some(at),
        }
    }
}
