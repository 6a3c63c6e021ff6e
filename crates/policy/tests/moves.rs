//! Stages, deadlines and fencing of moves.

#![allow(clippy::unwrap_used)]

mod support;

use std::time::Duration;

use sapphirerack_catalogue::{Fault, Goal, MoveState, Name, Presence, Reason, TargetState};
use sapphirerack_policy::moves::{
    self, Effect, Facts, MAX_CLOCK_SKEW, RETENTION, StartError, Step, StepError,
};
use sapphirerack_policy::{Verdict, Verdicts};
use support::{at, catalogue, drain, plan, presence, record, shift, started, states};

const FULL: Facts =
    Facts { in_force: true, trials: 100_000, successes: 100_000, suspicious: false, fresh: true };

fn no_verdicts() -> Verdicts {
    Verdicts::default()
}

fn failing_verdict() -> Verdicts {
    let mut verdicts = Verdicts::default();
    verdicts.add("m".into(), Verdict { fault: Fault::Failing, route: None });
    verdicts
}

#[test]
fn drain_takes_effect_at_once_and_is_written_when_done() {
    let before = started(drain("leith"), 60);

    let projected = moves::project(&before, at(0), &no_verdicts()).unwrap();
    let early = moves::next_step(record(&before), at(1_000), &no_verdicts(), &FULL);
    let step = moves::next_step(record(&before), at(4_000), &no_verdicts(), &FULL).unwrap();
    let after = moves::apply_step(&before, "m", 1, &step, at(4_000)).unwrap();

    assert_eq!(
        presence(&before, "leith"),
        Presence::In,
        "the entry is unchanged until the move is done"
    );
    assert_eq!(presence(&projected, "leith"), Presence::Out);
    assert_eq!(early, None, "requests in flight may still run");
    assert_eq!(step, Step::Finish);
    assert_eq!(presence(&after, "leith"), Presence::Out);
    assert_eq!(moves::project(&after, at(4_000), &no_verdicts()), None);
}

#[test]
fn undecided_drain_is_reversed_at_the_deadline_without_a_write() {
    let catalogue = started(drain("leith"), 60);
    let facts = Facts { in_force: false, ..FULL };

    let waiting = moves::next_step(record(&catalogue), at(59_999), &no_verdicts(), &facts);
    let effect = moves::effective(record(&catalogue), at(60_000), &no_verdicts());

    assert_eq!(waiting, None);
    assert_eq!(effect, Effect::Reversed(Reason::Deadline));
    assert_eq!(moves::project(&catalogue, at(60_000), &no_verdicts()), None);
    let step = moves::next_step(record(&catalogue), at(60_000), &no_verdicts(), &facts);
    assert_eq!(step, Some(Step::Reverse(Reason::Deadline)));
}

#[test]
fn drain_that_loses_coverage_is_rejected() {
    let first = started(drain("leith"), 60);

    let second = moves::start(&first, plan("n", drain("perth"), 60), at(10));

    assert!(matches!(second, Err(StartError::Coverage(_))), "{second:?}");
}

#[test]
fn restore_brings_back_what_was_drained() {
    let mut out = catalogue();
    out.data_centres[0].presence = Presence::Out;
    let goal = Goal::Restore { data_centre: "leith".into() };

    let started = moves::start(&out, plan("m", goal, 60), at(0)).unwrap();
    let projected = moves::project(&started, at(0), &no_verdicts()).unwrap();
    let reversed = moves::project(&started, at(60_000), &no_verdicts());

    assert_eq!(presence(&projected, "leith"), Presence::In);
    assert_eq!(reversed, None, "drained again, as the entry says");
}

#[test]
fn retired_target_is_leaving_at_once() {
    let goal = Goal::Retire { target: "0-leith-v1".into() };
    let catalogue = started(goal, 60);

    let projected = moves::project(&catalogue, at(0), &no_verdicts()).unwrap();
    let step = moves::next_step(record(&catalogue), at(4_000), &no_verdicts(), &FULL).unwrap();
    let after = moves::apply_step(&catalogue, "m", 1, &step, at(4_000)).unwrap();

    assert_eq!(projected.target("0-leith-v1").unwrap().state, TargetState::Leaving);
    assert_eq!(after.target("0-leith-v1").unwrap().state, TargetState::Leaving);
}

#[test]
fn good_shift_goes_through_all_stages_in_time() {
    let mut catalogue = started(shift(), 100);
    let mut now = 0;
    let mut stages = vec![0];

    while record(&catalogue).is_open() {
        now += 100;
        let step = moves::next_step(record(&catalogue), at(now), &no_verdicts(), &FULL);
        if let Some(step) = step {
            let revision = record(&catalogue).revision;
            catalogue = moves::apply_step(&catalogue, "m", revision, &step, at(now)).unwrap();
            if let MoveState::Open { stage, .. } = record(&catalogue).state {
                stages.push(stage);
            }
        }
    }

    assert_eq!(stages, [0, 1, 2, 3]);
    assert!(matches!(record(&catalogue).state, MoveState::Done { .. }));
    assert!(now <= 62_000, "done only after {now} ms");
    assert!(states(&catalogue, "v2").iter().all(|s| *s == TargetState::Active));
    assert!(states(&catalogue, "v1").iter().all(|s| *s == TargetState::Standby));
}

#[test]
fn shift_with_little_evidence_waits_and_completes_in_time() {
    let little = Facts { trials: 3, successes: 3, ..FULL };
    let end = run(started(shift(), 100), &little, 100_000);
    assert!(matches!(end, MoveState::Done { at } if at < support::at(100_000)));
}

#[test]
fn shift_to_a_version_that_never_answered_is_reversed() {
    let unanswered = Facts { trials: 0, successes: 0, ..FULL };
    let end = run(started(shift(), 100), &unanswered, 100_500);
    assert!(matches!(end, MoveState::Reversed { reason: Reason::Deadline, .. }), "{end:?}");
}

#[test]
fn suspicious_or_stale_evidence_prevents_finishing() {
    for facts in [Facts { suspicious: true, ..FULL }, Facts { fresh: false, ..FULL }] {
        let end = run(started(shift(), 100), &facts, 100_500);
        assert!(matches!(end, MoveState::Reversed { reason: Reason::Deadline, .. }), "{end:?}");
    }
}

/// Runs the state machine every 100 ms up to `limit` and returns the record's state.
fn run(mut catalogue: sapphirerack_catalogue::Catalogue, facts: &Facts, limit: u64) -> MoveState {
    for now in (0..=limit).step_by(100).map(at) {
        let revision = record(&catalogue).revision;
        if let Some(step) = moves::next_step(record(&catalogue), now, &no_verdicts(), facts) {
            catalogue = moves::apply_step(&catalogue, "m", revision, &step, now).unwrap();
        }
    }
    record(&catalogue).state.clone()
}

#[test]
fn shift_catches_up_after_an_outage() {
    let mut catalogue = started(shift(), 100);
    for now in (0..=100_000).step_by(100) {
        let is_down = (5_000..45_000).contains(&now);
        let revision = record(&catalogue).revision;
        match moves::next_step(record(&catalogue), at(now), &no_verdicts(), &FULL) {
            Some(step) if !is_down => {
                catalogue = moves::apply_step(&catalogue, "m", revision, &step, at(now)).unwrap();
            }
            _ => {}
        }
    }
    assert!(matches!(record(&catalogue).state, MoveState::Done { .. }));
}

#[test]
fn verdict_reverses_at_once_and_is_written() {
    let catalogue = started(shift(), 100);

    let effect = moves::effective(record(&catalogue), at(1), &failing_verdict());
    let step = moves::next_step(record(&catalogue), at(1), &failing_verdict(), &FULL).unwrap();
    let after = moves::apply_step(&catalogue, "m", 1, &step, at(1)).unwrap();

    assert!(matches!(effect, Effect::Reversed(Reason::Verdict { .. })));
    assert!(states(&after, "v2").iter().all(|s| *s == TargetState::Standby));
    assert!(states(&after, "v1").iter().all(|s| *s == TargetState::Active));
}

#[test]
fn step_is_fenced_by_the_revision() {
    let before = started(shift(), 100);
    let after = moves::apply_step(&before, "m", 1, &Step::Advance, at(10_000)).unwrap();

    let repeated = moves::apply_step(&after, "m", 1, &Step::Advance, at(10_000));
    let late = moves::apply_step(&after, "m", 2, &Step::Finish, at(95_000));

    assert_eq!(repeated, Err(StepError::Fenced));
    assert_eq!(
        late,
        Err(StepError::Time),
        "a paused host can't finish a move after the decision time"
    );
}

#[test]
fn decision_leaves_time_for_the_slowest_clock() {
    let catalogue = started(drain("leith"), 600);
    let margin = Duration::from_secs(6) + MAX_CLOCK_SKEW;
    assert_eq!(moves::decide_by(record(&catalogue)), at(600_000) - margin);
}

#[test]
fn finished_moves_are_pruned_after_the_retention_time() {
    let open = started(drain("leith"), 60);
    let mut done = moves::apply_step(&open, "m", 1, &Step::Finish, at(4_000)).unwrap();

    moves::prune(&mut done, at(4_000) + RETENTION);
    assert_eq!(done.moves.len(), 1);
    moves::prune(&mut done, at(4_001) + RETENTION);
    assert!(done.moves.is_empty());
}

#[test]
fn load_stage_exposes_a_quarter_of_the_hosts() {
    let catalogue = started(shift(), 100);
    let live: Vec<Name> = (0..8).map(|i| Name::from(format!("h{i}"))).collect();
    let shares = |stage| {
        let share = |h: &Name| moves::host_share(record(&catalogue), stage, h, &live);
        live.iter().map(share).collect::<Vec<u32>>()
    };

    assert!(shares(0).iter().all(|s| *s == 10));
    assert!(shares(1).iter().all(|s| *s == 50));
    assert_eq!(shares(2).iter().filter(|s| **s == 900).count(), 2);
    assert_eq!(shares(2).iter().filter(|s| **s == 50).count(), 6);
    assert!(shares(3).iter().all(|s| *s == 950));
}

#[test]
fn verdict_sets_merge_the_same_in_any_order() {
    let slow = Verdict { fault: Fault::Slow, route: Some("a".into()) };
    let failing = Verdict { fault: Fault::Failing, route: Some("b".into()) };
    let (mut left, mut right) = (Verdicts::default(), Verdicts::default());
    left.add("m".into(), slow);
    right.add("m".into(), failing);

    let (before, other) = (left.clone(), right.clone());
    left.merge(&other);
    right.merge(&before);

    assert_eq!(left, right);
    assert!(!left.merge(&before), "merging again changes nothing");
}

#[test]
fn start_rejects_invalid_moves() {
    let start = |goal, seconds| moves::start(&catalogue(), plan("m", goal, seconds), at(0));

    assert!(matches!(start(drain("oban"), 60), Err(StartError::Unknown(_))));
    assert!(matches!(start(drain("leith"), 5), Err(StartError::Deadline(_))));
    assert!(matches!(start(shift(), 1), Err(StartError::Deadline(_))));
    let missing = Goal::Shift { service: "clocks".into(), from: "v1".into(), to: "v9".into() };
    assert!(matches!(start(missing, 60), Err(StartError::Coverage(_))));
    let again = moves::start(&started(shift(), 60), plan("n", shift(), 60), at(0));
    assert!(matches!(again, Err(StartError::Conflict(_))));
}
