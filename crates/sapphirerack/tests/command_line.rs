//! Usage, exit codes and error messages of the command line.

#![allow(clippy::unwrap_used)]

use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Output};

const SETTINGS: &str = r#"{
    "name": "a", "data_centre": "leith", // comment
    "listen": {
        "callers": "127.0.0.1:1", "operators": "127.0.0.1:2", "hosts": "127.0.0.1:3"
    },
    "store": { "address": "127.0.0.1:4" }
}"#;

fn run(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sapphirerack")).args(args).output().unwrap()
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

fn stderr(output: &Output) -> String {
    String::from_utf8(output.stderr.clone()).unwrap()
}

fn write_temp(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("sapphirerack-cli-{}-{name}", std::process::id()));
    std::fs::write(&path, text).unwrap();
    path
}

fn check_settings(name: &str, text: &str) -> Output {
    let path = write_temp(name, text);
    let output = run(&["check", path.to_str().unwrap()]);
    std::fs::remove_file(path).unwrap();
    output
}

/// Address without a listener.
fn closed_address() -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap().to_string()
}

#[test]
fn help_and_version_succeed() {
    let commands = ["serve", "check", "apply", "get", "status"];

    for command in commands {
        let output = run(&[command, "--help"]);

        assert_eq!(exit_code(&output), 0, "{command}");
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(text.contains(&format!("Usage: sapphirerack {command}")), "{text}");
    }
    assert_eq!(exit_code(&run(&["--help"])), 0);
    assert!(run(&["--version"]).stdout.starts_with(b"sapphirerack "));
}

#[test]
fn wrong_usage_gives_one_line_and_exit_code_2() {
    let cases: [&[&str]; 6] = [
        &[],
        &["launch"],
        &["status"],
        &["status", "--hots", "x"],
        &["check"],
        &["get", "--host", "127.0.0.1:1", "operand"],
    ];

    for args in cases {
        let output = run(args);

        assert_eq!(exit_code(&output), 2, "{args:?}");
        assert_eq!(stderr(&output).lines().count(), 1, "{args:?}: {}", stderr(&output));
    }
}

#[test]
fn unreachable_host_gives_step_and_address_and_exit_code_4() {
    let address = closed_address();

    let output = run(&["status", "--host", &address]);

    assert_eq!(exit_code(&output), 4);
    assert!(stderr(&output).starts_with(&format!("sapphirerack: get status at {address}: ")));
    assert_eq!(stderr(&output).lines().count(), 1);
}

#[test]
fn good_settings_are_accepted() {
    let output = check_settings("good.json", SETTINGS);

    assert_eq!(exit_code(&output), 0, "{}", stderr(&output));
}

#[test]
fn bad_settings_are_refused_with_file_and_position() {
    let cases = [
        ("unknown.json", SETTINGS.replace("\"name\"", "\"nmae\""), "unknown field `nmae`"),
        ("empty.json", SETTINGS.replace("\"a\"", "\"\""), "name: "),
        ("address.json", SETTINGS.replace("127.0.0.1:4", "store"), "line 6"),
        ("cut.json", SETTINGS[..40].to_owned(), "line 2"),
        (
            "unit.json",
            SETTINGS.replace("\"127.0.0.1:4\"", "\"127.0.0.1:4\", \"timeout\": \"5 parsecs\""),
            "expected a duration at line 6",
        ),
        (
            "zero.json",
            SETTINGS.replace("\"store\"", "\"limits\": { \"requests\": 0 }, \"store\""),
            "limits.requests: 0, expected",
        ),
        (
            "memory.json",
            SETTINGS.replace("\"store\"", "\"limits\": { \"body\": 20000000 }, \"store\""),
            "limits.memory: expected",
        ),
        (
            "level.json",
            SETTINGS.replace("\"store\"", "\"log\": \"loud\", \"store\""),
            "log: \"loud\", expected",
        ),
    ];

    for (name, text, expected) in cases {
        let output = check_settings(name, &text);

        assert_eq!(exit_code(&output), 3, "{name}");
        let message = stderr(&output);
        assert!(message.contains(name), "{message}");
        assert!(message.contains(expected), "{message}");
    }
}

/// Log lines of three hosts, as a collector joins them, out of order.
const LOG: &str = r#"
12.9 edge-1 time=2026-01-01T00:00:12.900Z level=WARN event=request_failed id=q1 status=502 reason="parts=8/10" targets="i-1:no_answer,i-2:503" suppressed=0
12.8 edge-1 time=2026-01-01T00:00:12.800Z level=INFO event=query_moved id=q1 gatherer=edge-2 reason="not accepted" suppressed=0
11.0 edge-1 time=2026-01-01T00:00:11.000Z level=INFO event=host_lost host=edge-2 suppressed=0
11.5 edge-3 time=2026-01-01T00:00:11.500Z level=INFO event=target_slow target=i-1 suppressed=0
11.6 edge-3 time=2026-01-01T00:00:11.600Z level=INFO event=target_slow target=i-9 suppressed=0
13.0 edge-3 time=2026-01-01T00:00:13.000Z level=INFO event=target_gone target=i-2 revision=7
12.7 edge-1 time=2026-01-01T00:00:12.700Z level=WARN event=request_failed id=q10 status=504 reason="deadline" targets="" suppressed=0
"#;

#[test]
fn explain_prints_a_request_with_the_states_that_decided_it() {
    let path = write_temp("explain.log", LOG);

    let output = run(&["explain", "--log", path.to_str().unwrap(), "q1"]);

    std::fs::remove_file(path).unwrap();
    assert_eq!(exit_code(&output), 0);
    let text = String::from_utf8(output.stdout).unwrap();
    let words =
        ["host_lost host=edge-2", "target_slow target=i-1", "query_moved", "request_failed"];
    assert_eq!(text.lines().count(), words.len(), "{text}");
    for (line, word) in text.lines().zip(words) {
        assert!(line.contains(word), "{line}");
    }
}

#[test]
fn explain_of_an_unknown_request_fails() {
    let path = write_temp("explain-none.log", LOG);

    let output = run(&["explain", "--log", path.to_str().unwrap(), "q"]);

    std::fs::remove_file(path).unwrap();
    assert_eq!(exit_code(&output), 3);
    assert!(stderr(&output).contains("no line names"));
}
