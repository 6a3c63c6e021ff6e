//! Requests that are on their way while a host stops.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod platform_support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::process::Stdio;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use platform_support::{
    Host, Message, Store, Target, TargetBehaviour, configuration, encode_request, read_message,
    wait_until,
};

/// Grace period, in seconds.
const GRACE: u64 = 3;

/// Time from the signal until the host answers what is in flight.
const CLOSING: Duration = Duration::from_millis(GRACE * 1_000 - 600);

/// A host, and the only target of its requests, which does not answer.
struct Setup {
    _store: Store,
    target: Target,
    host: Host,
}

fn setup() -> Setup {
    let store = Store::start();
    store.put("op/config", &configuration(3, &["s1"], "desk"));
    let target = Target::start(&[5], TargetBehaviour::Hang);
    store.put(&format!("servers/{}", target.id), &target.announcement("desk"));
    let stop = json!({ "grace": GRACE, "linger": "300ms" });
    let host = Host::start_with(&store, Stdio::null(), stop);
    host.await_ready();
    Setup { _store: store, target, host }
}

/// Sends the first `sent` bytes of a request that must not be repeated, stops the host, and sends
/// the rest at `time` after the signal; the answer, if there was one.
fn answer_when_completed_at(
    host: &Host,
    request: &str,
    sent: usize,
    time: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect(host.callers).unwrap();
    stream.write_all(&request.as_bytes()[..sent]).unwrap();
    thread::sleep(Duration::from_millis(100));
    let start = Instant::now();
    host.terminate();
    thread::sleep(time.saturating_sub(start.elapsed()));
    // The host may have closed the connection.
    let _ = stream.write_all(&request.as_bytes()[sent..]);
    read_message(&mut BufReader::new(stream))
}

fn booking(body: &str) -> String {
    encode_request("POST", "/long/x", "late", 30_000, body)
}

/// Guards against a request that is passed on at the end of the grace and cut with no answer.
#[test]
fn request_that_comes_at_the_end_of_the_grace_is_refused_and_not_passed_on() {
    for (time, sent) in [(CLOSING + Duration::from_millis(100), 30), (CLOSING, 30)] {
        let Setup { target, host, .. } = setup();
        let request = booking("");

        let answer = answer_when_completed_at(&host, &request, sent, time).unwrap();

        assert_eq!(answer.status(), 503, "at {time:?}");
        assert!(answer.header("retry-after").is_some());
        assert!(target.requests().is_empty());
    }
}

#[test]
fn request_that_has_less_than_its_objective_is_refused_at_once() {
    let Setup { target, host, .. } = setup();
    let request = booking("");

    let start = Instant::now();
    let time = CLOSING - Duration::from_millis(250);
    let answer = answer_when_completed_at(&host, &request, 30, time).unwrap();

    assert_eq!(answer.status(), 503);
    assert!(start.elapsed() < CLOSING, "it waited for the end of the grace");
    assert!(target.requests().is_empty());
}

#[test]
fn request_whose_body_does_not_end_in_the_grace_is_refused() {
    let Setup { target, host, .. } = setup();
    let request = booking("0123456789");

    let time = CLOSING + Duration::from_millis(100);
    let answer = answer_when_completed_at(&host, &request, request.len() - 5, time).unwrap();

    assert_eq!(answer.status(), 503);
    assert!(target.requests().is_empty());
}

#[test]
fn request_in_flight_at_the_end_of_the_grace_is_answered() {
    let Setup { target, mut host, .. } = setup();
    let caller = host.start_get("/long/x");
    wait_until(|| !target.requests().is_empty());

    host.terminate();

    assert_eq!(Host::read_response(caller).status(), 504, "it may have run");
    assert!(host.wait());
}
