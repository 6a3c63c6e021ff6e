//! A host's process: its readiness, its settings, its log and its end.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod platform_support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::process::Stdio;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use platform_support::{
    Host, Store, Target, TargetBehaviour, configuration, read_message, wait_until,
};

/// Time within which a changed settings file must be reloaded.
const SETTINGS_RELOAD_LIMIT: Duration = Duration::from_secs(3);

/// Time between two probes, and probes that take longer than a head or an idle connection may.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBES: usize = 34;

/// A host with a service of two targets.
struct Setup {
    host: Host,
    targets: [Target; 2],
    _store: Store,
}

impl Setup {
    fn set_behaviour(&self, behaviour: TargetBehaviour) {
        self.targets.iter().for_each(|t| t.set_behaviour(behaviour));
    }

    /// Whether a request has reached a target.
    fn is_asked(&self) -> bool {
        self.targets.iter().any(|t| !t.requests().is_empty())
    }
}

fn setup() -> Setup {
    setup_with(Stdio::null(), json!({ "grace": 6, "linger": "300ms" }))
}

fn setup_with(out: Stdio, stop: Value) -> Setup {
    let store = Store::start();
    store.put("op/config", &configuration(3, &["s1"], "desk"));
    let targets = [(); 2].map(|()| Target::start(&[5], TargetBehaviour::Normal));
    for target in &targets {
        store.put(&format!("servers/{}", target.id), &target.announcement("desk"));
    }
    let host = Host::start_with(&store, out, stop);
    host.await_ready();
    Setup { host, targets, _store: store }
}

#[test]
fn kept_connection_of_a_load_balancer_stays_open() {
    let setup = setup();
    let mut stream = TcpStream::connect(setup.host.ready).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());

    for probe in 0..PROBES {
        stream.write_all(b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        let status = read_message(&mut reader).map(|m| m.status());

        assert_eq!(status, Some(200), "probe {probe}");
        thread::sleep(PROBE_INTERVAL);
    }
}

#[test]
fn changed_settings_are_reloaded_without_a_signal() {
    let short = json!({ "grace": 2, "linger": "1ms" });
    let setup = setup_with(Stdio::null(), short);
    setup.set_behaviour(TargetBehaviour::Slow(Duration::from_secs(4)));
    setup.host.change_settings(|s| s["stop"]["grace"] = 20.into());
    thread::sleep(SETTINGS_RELOAD_LIMIT);
    let caller = setup.host.start_get("/long/x");
    wait_until(|| setup.is_asked());

    setup.host.terminate();

    assert_eq!(
        Host::read_response(caller).status(),
        200,
        "the changed grace period was not applied"
    );
}

#[test]
fn stopping_host_answers_outstanding_requests_and_exits() {
    let mut setup = setup();
    setup.set_behaviour(TargetBehaviour::Slow(Duration::from_millis(600)));
    let answer = thread::scope(|scope| {
        let pending = scope.spawn(|| setup.host.get("/read/x"));
        wait_until(|| setup.is_asked());
        setup.host.terminate();
        pending.join().unwrap()
    });

    assert_eq!(answer.status(), 200);
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(setup.host.wait());
}

#[test]
fn log_names_the_target_that_did_not_answer_by_the_deadline() {
    let mut setup = setup_with(Stdio::piped(), json!({ "grace": 2, "linger": "1ms" }));
    let log = setup.host.take_stdout();
    setup.set_behaviour(TargetBehaviour::Hang);

    let answer = setup.host.send("POST", "/book/x", "attempt-9", "").unwrap();
    setup.host.terminate();

    let lines = std::io::read_to_string(log).unwrap();
    let failed = lines.lines().find(|l| l.contains("id=attempt-9")).unwrap();
    let receiver = setup.targets.iter().find(|t| !t.requests().is_empty()).unwrap();
    assert_eq!(answer.status(), 504);
    assert!(failed.contains(&format!("{}:no_answer", receiver.id)), "{failed}");
}

#[test]
fn host_serves_while_its_log_is_not_read() {
    let mut setup = setup_with(Stdio::piped(), json!({ "grace": 6 }));
    let _unread = setup.host.take_stdout();
    setup.set_behaviour(TargetBehaviour::Refuse);
    // Each request writes a log line; together the lines exceed the capacity of the pipe.
    for _ in 0..2_000 {
        assert_eq!(setup.host.send("GET", "/nowhere/x", "attempt-1", "").unwrap().status(), 404);
    }

    setup.set_behaviour(TargetBehaviour::Normal);
    wait_until(|| setup.host.get("/read/x").status() == 200);
}
