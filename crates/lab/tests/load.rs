//! Tests of load files, of the table of results and of the baselines.

#![allow(clippy::expect_used)]

use std::path::Path;

use sapphirerack_lab::experiment;
use sapphirerack_lab::load::{LoadError, from_text};
use sapphirerack_lab::report::{Run, table};

const VALID: &str = r#"{
    "deployment": "group",
    "service_time": "10ms", // mean
    "loads": [0.5],
    "conditions": ["healthy"],
    "variants": [{ "name": "naive", "dispatch": "naive" }],
    "mix": [{ "service": "search", "share": 1 }],
    "warm_up": "1s", "duration": "1s", "repeats": 1, "seed": 1
}"#;

fn error_after(old: &str, new: &str) -> String {
    let text = VALID.replace(old, new);
    assert_ne!(text, VALID, "the pattern does not occur in the file");
    from_text(&text).expect_err("invalid file accepted").to_string()
}

#[test]
fn capacity_follows_from_slots_and_service_time() {
    let file = from_text(VALID).expect("valid file");

    let capacity = file.capacity(&file.deployment.plan().catalogue);

    // 3 replicas of 2 slots, 10 ms each.
    assert!((capacity - 600.0).abs() < 1e-6, "{capacity}");
}

#[test]
fn shipped_files_are_valid() {
    for text in [include_str!("../loads/bench.json"), include_str!("../loads/mixed.json")] {
        from_text(text).expect("valid file");
    }
}

#[test]
fn invalid_field_is_reported_with_its_path() {
    assert!(error_after("[0.5]", "[0.5, 0]").contains("loads[1]: 0, expected a number above 0"));
    assert!(error_after("\"search\"", "\"none\"").contains("mix[0].service: \"none\", expected"));
    assert!(error_after("\"share\": 1", "\"share\": -1").contains("mix[0].share: -1"));
    assert!(error_after("[\"healthy\"]", "[]").contains("conditions: none, expected 1 or more"));
    assert!(error_after("\"repeats\": 1", "\"repeats\": 0").contains("repeats"));
    let twice = r#"{ "name": "naive", "dispatch": "naive" }, { "name": "naive""#;
    let found = error_after(r#"{ "name": "naive""#, twice);
    assert!(found.contains("variants[1].name: \"naive\" appears twice"));
}

#[test]
fn syntax_error_is_reported_with_line_and_column() {
    let unknown =
        from_text(&VALID.replace("\"seed\"", "\"sede\"")).expect_err("unknown field accepted");
    let kind = error_after("\"naive\" }", "\"none\" }");

    assert!(matches!(unknown, LoadError::Syntax(_)));
    assert!(unknown.to_string().contains("sede") && unknown.to_string().contains("line 8"));
    assert!(kind.contains("unknown variant `none`") && kind.contains("line 6"), "{kind}");
}

#[test]
fn table_shows_median_and_spread_of_repeats() {
    let run = |repeat, p99_ms| Run {
        variant: "product".into(),
        part: "all".into(),
        repeat,
        p99_ms,
        ..Run::default()
    };

    let table = table(&[run(0, 30.0), run(1, 10.0), run(2, 20.0)]);

    assert_eq!(table.lines().count(), 3);
    assert!(table.contains("| 20.0 (10.0 to 30.0) |"), "{table}");
}

#[test]
fn baselines_run_and_their_answers_are_checked() {
    let variants = r#"{ "name": "naive", "dispatch": "naive" },
        { "name": "shares", "dispatch": "static_shares" },
        { "name": "owners", "dispatch": "owner_per_target" }"#;
    let text = VALID
        .replace("{ \"name\": \"naive\", \"dispatch\": \"naive\" }", variants)
        .replace("[\"healthy\"]", "[\"lost_replica\"]")
        .replace("\"1s\"", "\"200ms\"")
        .replace("[0.5]", "[0.1]");
    let file = from_text(&text).expect("valid file");

    let runs = experiment::run(Path::new("none"), &file, |_| ());

    assert_eq!(runs.len(), 3);
    for run in &runs {
        assert!(run.queries > 0 && run.answered + run.failed == run.queries, "{run:?}");
        assert_eq!((run.foreign, run.mixed, run.false_coverage), (0, 0, 0), "{run:?}");
    }
    assert!(
        runs[0].coverage < 1.0,
        "incomplete coverage expected: the naive variant does not retry"
    );
}
