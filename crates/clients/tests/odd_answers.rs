//! Answers of targets and of the store that are odd in their head or framing are errors, and never
//! those to a request.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use sapphirerack_catalogue::Span;
use sapphirerack_clients::{BookingRequest, SearchRequest, Store, TargetClient};
use sapphirerack_policy::booking::AttemptOutcome;

/// Timeout of a call; some of the answers have no end.
const TIMEOUT: Duration = Duration::from_millis(300);

/// A body that is a good answer to a search, a booking and a read.
const BODY: &str = r#"{"request":"r","snapshot":1,"span":{"start":0,"end":1},"results":[]}"#;

/// A peer that sends these bytes for each connection's first request, and closes it.
fn peer(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            // One read holds the head of a request, which is all that is needed.
            let _ = stream.read(&mut [0; 4_096]);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

fn answer(status: &str, fields: &str) -> String {
    let len = BODY.len();
    format!("HTTP/1.1 {status}\r\nx-version: 1\r\n{fields}content-length: {len}\r\n\r\n{BODY}")
}

fn search(address: SocketAddr) -> bool {
    let request = SearchRequest {
        request: "r",
        snapshot: 1,
        span: Span { start: 0, end: 1 },
        route: "search",
        deadline: TIMEOUT,
        timeout: TIMEOUT,
        query: b"x",
    };
    TargetClient::new(address, 1).search(&request).is_ok()
}

fn book(address: SocketAddr) -> AttemptOutcome {
    let request =
        BookingRequest { request: "r", key: "k", deadline: TIMEOUT, timeout: TIMEOUT, body: b"x" };
    TargetClient::new(address, 1).book(&request)
}

#[test]
fn good_answer_is_one_to_each_call() {
    let address = peer(answer("200 OK", ""));

    assert!(search(address));
    assert!(matches!(book(address), AttemptOutcome::Answer(_)));
    assert!(Store::new(address, TIMEOUT).get("a").unwrap().is_some());
}

#[test]
fn odd_answers_are_errors() {
    let odd_statuses =
        ["000 OK", "099 OK", "0 OK", "2000 OK", "101 Switching Protocols", "999 Odd"];
    let odd_fields = [
        "x odd: 1",
        "x-odd : 1",
        " x-odd: 1",
        "x\u{1}odd: 1",
        "x\u{0}odd: 1",
        "x\u{7f}odd: 1",
        "x-odd",
        ": 1",
        "content-length : 8",
        "content-length: 8",
        "x-odd: a\u{0}",
    ];
    let by_status = odd_statuses.iter().map(|status| answer(status, ""));
    let by_field = odd_fields.iter().map(|field| answer("200 OK", &format!("{field}\r\n")));
    for odd in by_status.chain(by_field) {
        let address = peer(odd.clone());

        assert!(!search(address), "{odd:?}");
        let booked = book(address);
        assert!(matches!(booked, AttemptOutcome::Unknown), "{booked:?} for {odd:?}");
        assert!(Store::new(address, TIMEOUT).get("a").is_err(), "{odd:?}");
    }
}
