//! Validation of the settings of `forward` with `check --forward`.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

use std::process::Command;

/// Exit code and standard error of checking the example settings with `from` replaced by `to`.
fn check(from: &str, to: &str) -> (i32, String) {
    let example = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/forward.example.json");
    let text = std::fs::read_to_string(example).unwrap();
    assert!(text.contains(from));
    let name = format!("check-{}-{}.json", std::process::id(), to.len());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text.replace(from, to)).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_sapphirerack"));
    let output = command.args(["check", "--forward"]).arg(&path).output().unwrap();
    std::fs::remove_file(&path).unwrap();
    (output.status.code().unwrap(), String::from_utf8(output.stderr).unwrap())
}

#[test]
fn example_is_accepted() {
    assert_eq!(check("munich-1", "munich-1"), (0, String::new()));
}

#[test]
fn invalid_settings_are_rejected_with_the_field() {
    let invalid = [
        ("\"munich-1\"", "\"\"", "name"),
        ("\"extra\": 0.1", "\"extra\": 1.5", "bounds.extra"),
        ("\"grace\": 6", "\"grace\": 1", "stop.grace"),
        ("\"memory\": 0", "\"memory\": 15", "machine.memory"),
        ("\"descriptors\": 0", "\"descriptors\": 63", "machine.descriptors"),
        ("\"log\": \"info\"", "\"log\": \"loud\"", "log"),
        ("\"seeds\": []", "\"seedlings\": []", "seedlings"),
    ];
    for (from, to, field) in invalid {
        let (code, error) = check(from, to);

        assert_eq!(code, 3, "{field}: {error}");
        assert!(error.contains(field), "{field}: {error}");
    }
}
