//! Dishonest answers are found out.

#![allow(clippy::unwrap_used)]

use sapphirerack_lab::answer::{Answer, Verdict};
use serde_json::{Value, json};

fn part(start: u32, end: u32) -> Value {
    let span = json!({ "start": start, "end": end });
    json!({ "span": span, "results": [{ "snapshot": 1, "query": "q", "span": span }] })
}

fn judge(coverage: f64, parts: Vec<Value>) -> Verdict {
    let answer = json!({ "snapshot": 1, "coverage": coverage, "parts": parts });
    serde_json::from_value::<Answer>(answer).unwrap().check("q")
}

#[test]
fn honest_answers_pass() {
    let whole = judge(1.0, vec![part(0, 32_768), part(32_768, 65_536)]);
    let half = judge(0.5, vec![part(0, 32_768)]);

    assert_eq!(whole, Verdict { coverage: 1.0, ..Verdict::default() });
    assert_eq!(half, Verdict { coverage: 0.5, ..Verdict::default() });
}

#[test]
fn coverage_that_is_not_there_is_found() {
    assert!(judge(1.0, vec![part(0, 32_768)]).false_coverage);
    assert!(judge(0.75, vec![part(0, 32_768), part(16_384, 49_152)]).false_coverage, "overlap");
    let mut other = part(0, 65_536);
    other["results"][0]["span"]["end"] = 100.into();
    assert!(judge(1.0, vec![other]).false_coverage, "results of other partitions");
    let mut empty = part(0, 65_536);
    empty["results"] = json!([]);
    assert!(judge(1.0, vec![empty]).false_coverage, "no results");
}

#[test]
fn other_requests_and_snapshots_are_found() {
    let mut foreign = part(0, 65_536);
    foreign["results"][0]["query"] = "p".into();
    let mut mixed = part(0, 65_536);
    mixed["results"][0]["snapshot"] = 2.into();

    assert!(judge(1.0, vec![foreign]).foreign);
    assert!(judge(1.0, vec![mixed]).mixed);
}
