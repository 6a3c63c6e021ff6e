//! Validation rules for the catalogue's moves.

use crate::check::{check_name, check_unique};
use crate::{Catalogue, Error, Goal, Move, MoveState, PER_MILLE, Result, Set, Subject};

/// Maximum number of moves in the catalogue, including ended ones.
const MOVES_LIMIT: usize = 512;

/// Validates the moves; stops at the first violated rule.
pub(crate) fn check_moves(catalogue: &Catalogue) -> Result<()> {
    let moves = &catalogue.moves;
    if moves.len() > MOVES_LIMIT {
        return Err(Error::rule("moves".into(), moves.len().to_string(), "at most 512 moves"));
    }
    check_unique("moves", moves.iter().map(|m| &m.id))?;
    let mut open = Set::default();
    for (i, record) in moves.iter().enumerate() {
        let path = format!("moves[{i}]");
        check_record(catalogue, record, &path)?;
        if !record.is_open() {
            continue;
        }
        check_subject(catalogue, &record.goal, &path)?;
        if !open.insert(record.goal.subject()) {
            let found = format!("a second open move of {:?}", record.goal.subject());
            return Err(Error::rule(format!("{path}.goal"), found, "one open move per subject"));
        }
    }
    Ok(())
}

fn check_record(catalogue: &Catalogue, record: &Move, path: &str) -> Result<()> {
    if record.is_open() && catalogue.member(&record.owner).is_none() {
        let found = format!("{:?}", record.owner);
        return Err(Error::rule(format!("{path}.owner"), found, "the name of a member"));
    }
    if record.deadline <= record.start {
        let found = "a deadline that is not after the start";
        return Err(Error::rule(format!("{path}.deadline"), found, "a later deadline"));
    }
    for (i, stage) in record.stages.iter().enumerate() {
        if stage.share > PER_MILLE || stage.hosts > PER_MILLE {
            let found = format!("share {} on {} of hosts", stage.share, stage.hosts);
            return Err(Error::rule(
                format!("{path}.stages[{i}]"),
                found,
                "at most 1000 per mille",
            ));
        }
    }
    let stage = match record.state {
        MoveState::Open { stage, .. } => stage,
        MoveState::Done { .. } | MoveState::Reversed { .. } => 0,
    };
    if stage >= record.stages.len() {
        let found = format!("stage {stage} of {}", record.stages.len());
        return Err(Error::rule(format!("{path}.state"), found, "the index of a stage"));
    }
    Ok(())
}

fn check_subject(catalogue: &Catalogue, goal: &Goal, path: &str) -> Result<()> {
    let exists = match goal.subject() {
        Subject::DataCentre(name) => catalogue.data_centre(name).is_some(),
        Subject::Target(name) => catalogue.target(name).is_some(),
        Subject::Service(name) => catalogue.service(name).is_some(),
    };
    if !exists {
        let found = format!("{:?}", goal.subject());
        return Err(Error::rule(format!("{path}.goal"), found, "a subject that exists"));
    }
    let Goal::Shift { from, to, .. } = goal else {
        return Ok(());
    };
    check_name(from, &format!("{path}.goal.from"))?;
    check_name(to, &format!("{path}.goal.to"))?;
    if from == to {
        return Err(Error::rule(format!("{path}.goal.to"), format!("{to:?}"), "another version"));
    }
    Ok(())
}
