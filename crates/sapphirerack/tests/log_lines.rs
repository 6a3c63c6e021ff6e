//! The log of a forwarding host: each request that is rejected has a line that says why.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod platform_support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::process::Stdio;

use serde_json::json;

use platform_support::{
    Host, Store, Target, TargetBehaviour, configuration, read_message, wait_until,
};

/// Longest line of the log, in bytes: a text of 16 KiB and what stands before it.
const MAX_LINE: usize = 17 << 10;

/// A host that logs to a pipe and stops at once.
fn host(store: &Store) -> Host {
    Host::start_with(store, Stdio::piped(), json!({ "grace": 2, "linger": "1ms" }))
}

/// Lines that the host has logged until it stopped.
fn lines(mut host: Host) -> Vec<String> {
    let log = host.take_stdout();
    host.terminate();
    std::io::read_to_string(log).unwrap().lines().map(str::to_owned).collect()
}

fn has_line(lines: &[String], words: &[&str]) -> bool {
    lines.iter().any(|line| words.iter().all(|word| line.contains(word)))
}

#[test]
fn request_before_the_first_configuration_has_a_line() {
    let store = Store::start();
    let host = host(&store);
    wait_until(|| host.send("GET", "/read/x", "early", "").is_some_and(|a| a.status() == 503));

    let lines = lines(host);

    let words = ["event=request_rejected", "id=early", "status=503", "no configuration yet"];
    assert!(has_line(&lines, &words), "{lines:?}");
}

#[test]
fn request_without_an_id_or_with_too_large_a_body_has_a_line() {
    let store = Store::start();
    store.put("op/config", &configuration(3, &["s1"], "desk"));
    let host = host(&store);
    host.await_ready();

    let large = host.send("POST", "/book/x", "large", &"x".repeat(300_000)).unwrap();
    let mut anonymous = TcpStream::connect(host.callers).unwrap();
    anonymous.write_all(b"GET /read/x HTTP/1.1\r\nHost: find.example\r\n\r\n").unwrap();
    let anonymous = read_message(&mut BufReader::new(anonymous)).unwrap();
    let lines = lines(host);

    assert_eq!((large.status(), anonymous.status()), (413, 400));
    assert!(has_line(&lines, &["event=request_rejected", "id=large", "status=413"]));
    assert!(has_line(&lines, &["event=request_rejected", "status=400", "no attempt id"]));
}

#[test]
fn target_that_leaves_or_holds_off_has_a_line() {
    let store = Store::start();
    store.put("op/config", &configuration(3, &["s1"], "desk"));
    let behaviours =
        [TargetBehaviour::Leaving, TargetBehaviour::HoldOff(std::time::Duration::from_secs(9))];
    let targets = behaviours.map(|behaviour| Target::start(&[1], behaviour));
    for target in &targets {
        store.put(&format!("servers/{}", target.id), &target.announcement("desk"));
    }
    let host = host(&store);
    host.await_ready();
    wait_until(|| {
        host.get("/read/x");
        targets.iter().all(|t| !t.requests().is_empty())
    });

    let lines = lines(host);

    assert!(has_line(&lines, &["event=target_leaving", &targets[0].id]), "{lines:?}");
    assert!(has_line(&lines, &["event=target_holds_off", &targets[1].id, "ms=9000"]));
}

/// Guards against lines that another writer of the store makes up.
#[test]
fn names_and_values_of_the_store_do_not_break_lines() {
    let store = Store::start();
    store.put("op/config", &configuration(3, &["s1"], "desk"));
    let forged = "x\ntime=2026-01-01T00:00:00.000Z event=forged \u{1b}[2J\u{85}\u{2028}";
    let target = Target::start(&[1], TargetBehaviour::Normal);
    store.put(&format!("servers/{}", target.id), &target.announcement("desk"));
    store.put(&format!("servers/{forged}"), &target.announcement("desk"));
    store.put(&format!("op/evacuate/{forged}"), &json!({}));
    store.put_bytes(&format!("op/rollout/{forged}"), b"[[".to_vec());
    for field in ["State", "Upstream", "Zone", "Version"] {
        let mut entry = target.announcement("desk");
        entry[field] = forged.into();
        store.put(&format!("servers/odd-{field}"), &entry);
    }
    let host = host(&store);
    host.await_ready();
    wait_until(|| host.get("/read/x").status() == 200);

    let lines = lines(host);

    let is_whole = |line: &String| line.starts_with("time=") && !line.contains(char::is_control);
    assert!(lines.iter().all(is_whole), "{lines:#?}");
    assert!(has_line(&lines, &["event=order", "forged"]), "{lines:#?}");
}

/// The log waits for its reader in memory.
#[test]
fn line_on_a_huge_value_is_cut() {
    let store = Store::start();
    store.put("op/config", &configuration(3, &["s1"], "desk"));
    let target = Target::start(&[1], TargetBehaviour::Normal);
    let mut entry = target.announcement("desk");
    entry["State"] = "x".repeat(1 << 20).into();
    store.put("servers/odd", &entry);
    let host = host(&store);
    host.await_ready();

    let lines = lines(host);

    assert!(has_line(&lines, &["event=announcement_unreadable", "target=odd"]));
    let longest = lines.iter().map(String::len).max().unwrap();
    assert!(longest <= MAX_LINE, "{longest}");
}
