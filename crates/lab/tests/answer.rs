//! Checks of answers detect false coverage and results of other requests or snapshots.

#![allow(clippy::unwrap_used)]

use sapphirerack_lab::answer::{Answer, CheckResult};
use serde_json::{Value, json};

fn part(start: u32, end: u32) -> Value {
    let span = json!({ "start": start, "end": end });
    json!({ "span": span, "results": [{ "snapshot": 1, "query": "q", "span": span }] })
}

fn check(coverage: f64, parts: Vec<Value>) -> CheckResult {
    let answer = json!({ "snapshot": 1, "coverage": coverage, "parts": parts });
    serde_json::from_value::<Answer>(answer).unwrap().check("q")
}

#[test]
fn correct_answers_pass() {
    let whole = check(1.0, vec![part(0, 32_768), part(32_768, 65_536)]);
    let half = check(0.5, vec![part(0, 32_768)]);

    assert_eq!(whole, CheckResult { coverage: 1.0, ..CheckResult::default() });
    assert_eq!(half, CheckResult { coverage: 0.5, ..CheckResult::default() });
}

#[test]
fn false_coverage_is_detected() {
    assert!(check(1.0, vec![part(0, 32_768)]).false_coverage);
    assert!(check(0.75, vec![part(0, 32_768), part(16_384, 49_152)]).false_coverage, "overlap");
    let mut other = part(0, 65_536);
    other["results"][0]["span"]["end"] = 100.into();
    assert!(check(1.0, vec![other]).false_coverage, "results of other partitions");
    let mut empty = part(0, 65_536);
    empty["results"] = json!([]);
    assert!(check(1.0, vec![empty]).false_coverage, "no results");
}

#[test]
fn results_of_other_requests_and_snapshots_are_detected() {
    let mut foreign = part(0, 65_536);
    foreign["results"][0]["query"] = "p".into();
    let mut mixed = part(0, 65_536);
    mixed["results"][0]["snapshot"] = 2.into();

    assert!(check(1.0, vec![foreign]).foreign);
    assert!(check(1.0, vec![mixed]).mixed);
}
