//! Load files are checked, and runs are counted and shown.

#![allow(clippy::expect_used)]

use std::path::Path;

use sapphirerack_lab::experiment;
use sapphirerack_lab::load::{LoadError, from_text};
use sapphirerack_lab::report::{Run, table};

const GOOD: &str = r#"{
    "deployment": "group",
    "service_time": "10ms", // mean
    "loads": [0.5],
    "conditions": ["healthy"],
    "variants": [{ "name": "naive", "dispatch": "naive" }],
    "mix": [{ "service": "search", "share": 1 }],
    "warm_up": "1s", "duration": "1s", "repeats": 1, "seed": 1
}"#;

fn refusal(old: &str, new: &str) -> String {
    let text = GOOD.replace(old, new);
    assert_ne!(text, GOOD, "nothing replaced");
    from_text(&text).expect_err("the file is wrong").to_string()
}

#[test]
fn good_file_is_read_and_its_capacity_worked_out() {
    let file = from_text(GOOD).expect("a good file");

    let capacity = file.capacity(&file.deployment.plan().catalogue);

    // 3 replicas of 2 slots, 10 ms each.
    assert!((capacity - 600.0).abs() < 1e-6, "{capacity}");
}

#[test]
fn shipped_files_are_good() {
    for text in [include_str!("../loads/bench.json"), include_str!("../loads/mixed.json")] {
        from_text(text).expect("a good file");
    }
}

#[test]
fn wrong_field_is_named_with_its_path() {
    assert!(refusal("[0.5]", "[0.5, 0]").contains("loads[1]: 0, expected a number above 0"));
    assert!(refusal("\"search\"", "\"none\"").contains("mix[0].service: \"none\", expected"));
    assert!(refusal("\"share\": 1", "\"share\": -1").contains("mix[0].share: -1"));
    assert!(refusal("[\"healthy\"]", "[]").contains("conditions: none, expected 1 or more"));
    assert!(refusal("\"repeats\": 1", "\"repeats\": 0").contains("repeats"));
    let twice = r#"{ "name": "naive", "dispatch": "naive" }, { "name": "naive""#;
    let found = refusal(r#"{ "name": "naive""#, twice);
    assert!(found.contains("variants[1].name: \"naive\" appears twice"));
}

#[test]
fn syntax_error_is_named_with_line_and_column() {
    let unknown = from_text(&GOOD.replace("\"seed\"", "\"sede\"")).expect_err("unknown field");
    let kind = refusal("\"naive\" }", "\"none\" }");

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
    let text = GOOD
        .replace("{ \"name\": \"naive\", \"dispatch\": \"naive\" }", variants)
        .replace("[\"healthy\"]", "[\"lost_replica\"]")
        .replace("\"1s\"", "\"200ms\"")
        .replace("[0.5]", "[0.1]");
    let file = from_text(&text).expect("a good file");

    let runs = experiment::run(Path::new("none"), &file, |_| ());

    assert_eq!(runs.len(), 3);
    for run in &runs {
        assert!(run.queries > 0 && run.answered + run.failed == run.queries, "{run:?}");
        assert_eq!((run.foreign, run.mixed, run.false_coverage), (0, 0, 0), "{run:?}");
    }
    assert!(runs[0].coverage < 1.0, "naive has no retry");
}
