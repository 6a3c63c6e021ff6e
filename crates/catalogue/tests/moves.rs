//! Validation of the moves in a catalogue.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sapphirerack_catalogue::{
    Catalogue, DataCentre, DeadlineAction, Goal, Member, Move, MoveState, Presence, Stage,
    from_text,
};

fn at(seconds: u64) -> SystemTime {
    UNIX_EPOCH + Duration::from_secs(seconds)
}

fn drain(id: &str, data_centre: &str) -> Move {
    Move {
        id: id.into(),
        owner: "castlegate".into(),
        goal: Goal::Drain { data_centre: data_centre.into() },
        stages: vec![Stage { share: 0, hosts: 1000, hold: Duration::from_secs(4) }],
        start: at(100),
        deadline: at(160),
        undecided: DeadlineAction::Reverse,
        revision: 0,
        state: MoveState::Open { stage: 0, since: at(100) },
    }
}

fn catalogue(moves: Vec<Move>) -> Catalogue {
    let centre = |name: &str| DataCentre { name: name.into(), presence: Presence::In };
    Catalogue {
        members: vec![Member { name: "castlegate".into(), key: "0".into() }],
        data_centres: vec![centre("leith"), centre("stirling")],
        moves,
        ..Catalogue::default()
    }
}

fn violation(moves: Vec<Move>) -> String {
    catalogue(moves).check().unwrap_err().path().unwrap().to_owned()
}

#[test]
fn move_round_trips_through_json() {
    let before = catalogue(vec![drain("a", "leith")]);

    let text = serde_json::to_string(&before).unwrap();
    let after = from_text(&text).unwrap();

    assert_eq!(after, before);
    assert!(text.contains("1970-01-01T00:02:40Z"), "times are formatted as RFC 3339: {text}");
}

#[test]
fn ids_must_be_unique() {
    let moves = vec![drain("a", "leith"), drain("a", "stirling")];
    assert_eq!(violation(moves), "moves[1].name");
}

#[test]
fn subject_has_at_most_one_open_move() {
    let restore =
        Move { goal: Goal::Restore { data_centre: "leith".into() }, ..drain("b", "leith") };
    assert_eq!(violation(vec![drain("a", "leith"), restore.clone()]), "moves[1].goal");

    let ended = Move { state: MoveState::Done { at: at(110) }, ..drain("a", "leith") };
    assert!(catalogue(vec![ended, restore]).check().is_ok());
}

#[test]
fn subject_and_owner_must_exist() {
    assert_eq!(violation(vec![drain("a", "perth")]), "moves[0].goal");
    let unknown_owner = Move { owner: "nobody".into(), ..drain("a", "leith") };
    assert_eq!(violation(vec![unknown_owner]), "moves[0].owner");
}

#[test]
fn deadline_must_be_after_start() {
    let at_start = Move { deadline: at(100), ..drain("a", "leith") };
    assert_eq!(violation(vec![at_start]), "moves[0].deadline");
}

#[test]
fn stage_must_exist_and_share_must_be_within_per_mille() {
    let missing_stage =
        Move { state: MoveState::Open { stage: 1, since: at(100) }, ..drain("a", "leith") };
    assert_eq!(violation(vec![missing_stage]), "moves[0].state");
    let stages = vec![Stage { share: 1001, hosts: 1000, hold: Duration::ZERO }];
    assert_eq!(violation(vec![Move { stages, ..drain("a", "leith") }]), "moves[0].stages[0]");
}
