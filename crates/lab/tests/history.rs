//! Tests of the consistency checker on valid and invalid histories.

use std::time::Duration;

use sapphirerack_catalogue::Span;
use sapphirerack_lab::history::{
    BookingCall, CallOutcome, Effect, History, Receipt, SearchCall, SearchPart, VersionSample,
    Violation,
};

fn receipt(booking: u64) -> Receipt {
    Receipt { target: "t".into(), booking, body: "b".into() }
}

fn call(attempt: u32, outcome: CallOutcome) -> BookingCall {
    BookingCall { key: "k".into(), attempt, body: "b".into(), outcome }
}

fn effect(attempt: u32, booking: u64) -> Effect {
    Effect { key: "k".into(), attempt, target: "t".into(), booking }
}

fn bookings(bookings: &[BookingCall], effects: &[Effect]) -> History {
    let (bookings, effects) = (bookings.to_vec(), effects.to_vec());
    History { bookings, effects, ..History::default() }
}

fn search(coverage: f64, parts: &[(Span, u64, &str)]) -> History {
    let parts = parts.iter().map(|(span, snapshot, query)| SearchPart {
        span: *span,
        snapshot: *snapshot,
        query: (*query).to_owned(),
    });
    let search = SearchCall { query: "q".into(), snapshot: 1, coverage, parts: parts.collect() };
    History { searches: vec![search], ..History::default() }
}

fn half(index: u32) -> Span {
    Span::new(index * 32_768, (index + 1) * 32_768)
}

fn key() -> String {
    "k".into()
}

#[test]
fn valid_histories_pass() {
    let answer = CallOutcome::Answer(receipt(1));
    let lost = call(1, CallOutcome::Unknown);
    let repeated = [call(1, CallOutcome::NotRun), call(2, answer.clone())];
    let histories = [
        bookings(&[call(1, answer.clone()), call(1, answer)], &[effect(1, 1)]),
        bookings(&[lost.clone(), call(1, CallOutcome::InProgress)], &[effect(1, 1)]),
        bookings(&[lost], &[]),
        bookings(&[call(1, CallOutcome::NotRun)], &[]),
        bookings(&repeated, &[effect(2, 1)]),
        search(1.0, &[(half(0), 1, "q"), (half(1), 1, "q")]),
        search(0.5, &[(half(1), 1, "q")]),
    ];

    for history in histories {
        assert_eq!(history.check(), [], "{history:?}");
    }
}

#[test]
fn key_that_ran_twice_is_rejected() {
    let history = bookings(&[call(1, CallOutcome::Unknown)], &[effect(1, 1), effect(2, 2)]);

    assert_eq!(history.check(), [Violation::RanTwice(key())]);
}

#[test]
fn false_not_run_is_rejected() {
    let history = bookings(&[call(1, CallOutcome::NotRun)], &[effect(1, 1)]);

    assert_eq!(history.check(), [Violation::FalseNotRun(key())]);
}

#[test]
fn not_run_of_a_later_attempt_is_rejected_if_an_earlier_one_ran() {
    let history = bookings(&[call(2, CallOutcome::NotRun)], &[effect(1, 1)]);

    assert_eq!(history.check(), [Violation::FalseNotRun(key())]);
}

#[test]
fn answer_that_no_target_returned_is_rejected() {
    let history = bookings(&[call(1, CallOutcome::Answer(receipt(2)))], &[effect(1, 1)]);

    assert_eq!(history.check(), [Violation::FalseAnswer(key())]);
}

#[test]
fn answer_to_another_request_is_rejected() {
    let answer = CallOutcome::Answer(Receipt { body: "other".into(), ..receipt(1) });
    let history = bookings(&[call(1, answer)], &[effect(1, 1)]);

    assert_eq!(history.check(), [Violation::ForeignAnswer(key())]);
}

#[test]
fn retries_that_disagree_are_rejected() {
    let answers = [1, 2].map(|n| call(1, CallOutcome::Answer(receipt(n))));
    let history = bookings(&answers, &[effect(1, 1), effect(1, 2)]);

    let expected = [Violation::RanTwice(key()), Violation::Disagreement(key())];
    assert_eq!(history.check(), expected);
}

#[test]
fn two_served_bodies_are_rejected() {
    let mut calls = [1, 1].map(|n| call(1, CallOutcome::Answer(receipt(n))));
    calls[1].body = "other".into();
    let history = bookings(&calls, &[effect(1, 1)]);

    let expected = [Violation::ForeignAnswer(key()), Violation::TwoBodies(key())];
    assert_eq!(history.check(), expected);
}

#[test]
fn false_other_body_is_rejected() {
    let history = bookings(&[call(1, CallOutcome::OtherBody), call(1, CallOutcome::Unknown)], &[]);

    assert_eq!(history.check(), [Violation::FalseOtherBody(key())]);
}

#[test]
fn mixed_snapshots_are_rejected() {
    let history = search(1.0, &[(half(0), 1, "q"), (half(1), 2, "q")]);

    assert_eq!(history.check(), [Violation::MixedSnapshots("q".into())]);
}

#[test]
fn false_coverage_is_rejected() {
    let overstated = search(1.0, &[(half(0), 1, "q")]);
    let doubled = search(1.0, &[(half(0), 1, "q"), (half(0), 1, "q")]);

    assert_eq!(overstated.check(), [Violation::FalseCoverage("q".into())]);
    assert_eq!(doubled.check(), [Violation::FalseCoverage("q".into())]);
}

#[test]
fn part_of_another_query_is_rejected() {
    let history = search(0.5, &[(half(0), 1, "other")]);

    assert_eq!(history.check(), [Violation::ForeignPart("q".into())]);
}

#[test]
fn decreasing_version_is_rejected() {
    let sample = |millis, version| VersionSample {
        host: "a".into(),
        time: Duration::from_millis(millis),
        version,
    };
    let history =
        History { versions: vec![sample(3, 2), sample(1, 1), sample(2, 3)], ..History::default() };

    assert_eq!(history.check(), [Violation::VersionFell("a".into())]);
}
