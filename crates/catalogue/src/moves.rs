//! Moves: planned changes that end by a deadline or are taken back.
//!
//! A move is one record. It names its goal, its stages and its deadline, so that any host can
//! tell from the record and the clock alone what is in effect. A record that is still open at its
//! deadline counts as taken back, whether or not anyone could write that down. `revision` rises
//! with every step; a step is written only over the revision it was decided on.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::Name;

/// Per mille that stands for everything.
pub const WHOLE: u32 = 1000;

/// What a move is to bring about.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Goal {
    /// A data centre receives no new work.
    Drain {
        /// Data centre to take out.
        data_centre: Name,
    },
    /// A data centre that was out serves again.
    Restore {
        /// Data centre to bring back.
        data_centre: Name,
    },
    /// A target receives no new work.
    Retire {
        /// Target to retire.
        target: Name,
    },
    /// A service's traffic goes to another version of its back ends.
    Shift {
        /// Service to shift.
        service: Name,
        /// Version that serves now.
        from: Name,
        /// Version that is to serve.
        to: Name,
    },
}

/// What a move changes; at most one open move has the same subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Subject<'a> {
    /// A data centre, by name.
    DataCentre(&'a str),
    /// A target, by name.
    Target(&'a str),
    /// A service, by name.
    Service(&'a str),
}

/// Traffic of the new version in one stage, and how long the stage lasts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stage {
    /// Share of an exposed host's requests that go to the new version, in per mille.
    pub share: u32,
    /// Share of the hosts that are exposed, in per mille.
    pub hosts: u32,
    /// Planned length.
    #[serde(with = "humantime_serde")]
    pub hold: Duration,
}

/// What happens to a move that is undecided at its deadline.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Undecided {
    /// It is taken back.
    #[default]
    Reverse,
}

/// How a new version misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// It fails more often than the old version.
    Failing,
    /// It is slower than the old version.
    Slow,
}

/// Why a move was taken back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum Reason {
    /// It was undecided at its deadline.
    Deadline,
    /// The new version was found bad.
    Verdict {
        /// What it does wrong.
        fault: Fault,
        /// Route on which it does so; `None` if on all together.
        route: Option<Name>,
    },
}

/// How far a move has come.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case", tag = "kind")]
pub enum MoveState {
    /// Under way.
    Open {
        /// Index of the stage.
        stage: usize,
        /// When the stage was entered.
        #[serde(with = "humantime_serde")]
        since: SystemTime,
    },
    /// Reached its goal.
    Done {
        /// When that was decided.
        #[serde(with = "humantime_serde")]
        at: SystemTime,
    },
    /// Was taken back.
    Reversed {
        /// When that was decided.
        #[serde(with = "humantime_serde")]
        at: SystemTime,
        /// Why.
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
    /// What it is to bring about.
    pub goal: Goal,
    /// Stages in order; at least one.
    pub stages: Vec<Stage>,
    /// When it begins.
    #[serde(with = "humantime_serde")]
    pub start: SystemTime,
    /// When it must have ended.
    #[serde(with = "humantime_serde")]
    pub deadline: SystemTime,
    /// What happens if it is undecided by then.
    #[serde(default)]
    pub undecided: Undecided,
    /// Rises with every step.
    pub revision: u64,
    /// How far it has come.
    pub state: MoveState,
}

impl Goal {
    /// What the goal changes.
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
    /// Whether the record is still open; at its deadline it no longer has effect even so.
    pub fn is_open(&self) -> bool {
        matches!(self.state, MoveState::Open { .. })
    }

    /// When the move was decided; `None` while it is open.
    pub fn ended(&self) -> Option<SystemTime> {
        match self.state {
            MoveState::Open { .. } => None,
            MoveState::Done { at } | MoveState::Reversed { at, .. } => Some(at),
        }
    }
}
