//! A forwarding host whose targets send whole answers that no caller must get: odd in their status
//! line, in the fields of their head or in their framing.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod platform_support;

use platform_support::{Framing, Host, Message, Store, Target, TargetBehaviour, configuration};

/// Attempt id of [`Host::get`].
const ATTEMPT: &str = "attempt-1";

const FRAMINGS: [Framing; 3] = [Framing::Length, Framing::Chunks, Framing::Close];

/// Body of an odd answer; two records that no target has.
const BODY: &str = "odd-body-odd-bodODD-BODY-ODD-BOD";

/// A host with a shard and a service of one target each.
struct Setup {
    host: Host,
    targets: [Target; 2],
    _store: Store,
}

fn setup() -> Setup {
    let store = Store::start();
    store.put("op/config", &configuration(3, &["s1"], "desk"));
    let services = ["s1", "desk"];
    let targets = services.map(|_| Target::start(&[1], TargetBehaviour::Normal));
    for (target, service) in targets.iter().zip(services) {
        store.put(&format!("servers/{}", target.id), &target.announcement(service));
    }
    let host = Host::start(&store);
    host.await_ready();
    Setup { host, targets, _store: store }
}

/// The body in one chunk with this size line.
fn in_chunks(size: &str) -> String {
    format!("{size}\r\n{BODY}\r\n0\r\n\r\n")
}

/// A signed answer with this status line, whose fields begin and end with these lines.
fn answer(status: &str, first: &str, last: &str, framing: Framing) -> Vec<u8> {
    let signed = format!("Server-Seal: seal.x\r\nAttempt-Id: {ATTEMPT}\r\n");
    let (field, body) = match framing {
        Framing::Length => ("Content-Length: 32\r\n", BODY.to_owned()),
        Framing::Chunks => ("Transfer-Encoding: chunked\r\n", in_chunks("20")),
        Framing::Close => ("Connection: close\r\n", BODY.to_owned()),
    };
    format!("HTTP/1.1 {status}\r\n{first}{signed}{field}{last}\r\n{body}").into_bytes()
}

/// A signed success with these fields and this body.
fn success(fields: &str, body: &str) -> Vec<u8> {
    let signed = format!("Server-Seal: seal.x\r\nAttempt-Id: {ATTEMPT}\r\n");
    format!("HTTP/1.1 200 OK\r\n{signed}{fields}\r\n{body}").into_bytes()
}

/// Answers to a read, a query and a request that must not be repeated. Reads and queries find a kept
/// connection, the other one opens a connection.
fn ask(setup: &Setup) -> Vec<Message> {
    let Setup { host, .. } = setup;
    let book = host.send("POST", "/book/x", ATTEMPT, "body").unwrap();
    vec![host.get("/read/x"), host.get("/query/x"), book]
}

/// Sends requests while the targets send `reply`, and checks that their answers are failures of the
/// host; then checks that the host serves again.
fn assert_refused(setup: &Setup, reply: &[u8]) {
    let case = String::from_utf8_lossy(reply).into_owned();
    assert!(ask(setup).iter().all(|a| a.status() == 200), "before {case:?}");
    setup.targets.iter().for_each(|t| t.set_reply(Some(reply)));

    let answers = ask(setup);

    setup.targets.iter().for_each(|t| t.set_reply(None));
    for answer in answers {
        let start = &answer.start_line;
        assert!([502, 504].contains(&answer.status()), "{start:?} for {case:?}");
        assert!(answer.body.is_empty() && answer.header("server-seal").is_none(), "{case:?}");
        let is_odd = |(name, _): &(String, String)| name.to_lowercase().contains("odd");
        assert!(!answer.headers.iter().any(is_odd), "{:?} for {case:?}", answer.headers);
    }
    assert!(ask(setup).iter().all(|a| a.status() == 200), "after {case:?}");
}

/// As [`assert_refused`], for an answer with this status line and these lines in each framing.
fn assert_refused_framed(setup: &Setup, status: &str, first: &str, last: &str) {
    for framing in FRAMINGS {
        assert_refused(setup, &answer(status, first, last, framing));
    }
}

#[test]
fn answer_with_an_odd_status_reaches_no_caller() {
    let setup = setup();
    let lines = [
        "000 ",
        "000 OK",
        "000",
        "001 OK",
        "099 OK",
        "0 OK",
        "00 OK",
        "0200 OK",
        "2000 OK",
        "20 OK",
        "-20 OK",
        "2x0 OK",
        "\u{1}200 OK",
        " 200 OK",
        "OK 200",
        "",
    ];
    for line in lines {
        assert_refused_framed(&setup, line, "", "");
    }
}

#[test]
fn answer_with_a_status_out_of_range_reaches_no_caller() {
    let setup = setup();
    for line in ["101 Switching Protocols", "600 Odd", "999 Odd"] {
        assert_refused_framed(&setup, line, "", "");
    }
}

#[test]
fn answer_with_an_odd_field_name_reaches_no_caller() {
    let setup = setup();
    let fields = [
        "X Odd: 1",
        "X-Odd : 1",
        " X-Odd: 1",
        "\tX-Odd: 1",
        "X\tOdd: 1",
        "X-Odd\t: 1",
        "X\u{0}Odd: 1",
        "X\u{1}Odd: 1",
        "X\u{b}Odd: 1",
        "X\u{1b}Odd: 1",
        "X\u{7f}Odd: 1",
        "X\rOdd: 1",
        "X-Odd\r: 1",
        "X\u{e4}Odd: 1",
        "X(Odd): 1",
        ": odd",
        "X-Odd",
        "Content-Length : 8",
        "Content Length: 8",
        "Content-Length\u{1}: 8",
        " Content-Length: 8",
        "Transfer-Encoding : chunked",
        "Server Seal: odd",
        "Server-Seal : odd",
    ];
    for field in fields {
        let line = format!("{field}\r\n");
        assert_refused_framed(&setup, "200 OK", &line, "");
        assert_refused_framed(&setup, "200 OK", "", &line);
    }
}

/// Such a body is not what the target signed until it is decoded.
#[test]
fn answer_with_a_coded_body_reaches_no_caller() {
    let setup = setup();
    let codings = [
        "gzip, chunked",
        "gzip\r\nTransfer-Encoding: chunked",
        "chunked, chunked",
        "chunked, gzip\r\nConnection: close",
        "gzip\r\nConnection: close",
        "xchunked\r\nConnection: close",
        "chunked;q=1\r\nConnection: close",
        "\r\nConnection: close",
    ];
    for coding in codings {
        let fields = format!("Transfer-Encoding: {coding}\r\n");
        assert_refused(&setup, &success(&fields, &in_chunks("20")));
    }
    for coding in ["gzip", "br", "odd", "identity, gzip"] {
        let coded = format!("Content-Encoding: {coding}\r\n");
        assert_refused_framed(&setup, "200 OK", "", &coded);
    }
}

#[test]
fn answer_in_a_coding_that_the_caller_accepts_is_passed_on() {
    let setup = setup();
    let coded = success("Content-Encoding: gzip\r\nContent-Length: 32\r\n", BODY);
    setup.targets[1].set_reply(Some(&coded));

    let answer = setup.host.get_with("/read/x", "Accept-Encoding: br, gzip;q=0.5\r\n");

    assert_eq!((answer.status(), &*answer.body), (200, BODY.as_bytes()));
    assert_eq!(answer.header("content-encoding"), Some("gzip"));
}

#[test]
fn answer_without_one_plain_signature_reaches_no_caller() {
    let setup = setup();
    for field in ["Server-Seal: other", "Connection: Server-Seal", "Connection: x, server-seal"] {
        assert_refused_framed(&setup, "200 OK", "", &format!("{field}\r\n"));
    }
    for signature in ["", "a, b", "a,", "a b", "a\tb", "\u{e4}"] {
        let fields = format!("Server-Seal: {signature}\r\nAttempt-Id: {ATTEMPT}\r\n");
        let reply = format!("HTTP/1.1 200 OK\r\n{fields}Content-Length: 32\r\n\r\n{BODY}");
        assert_refused(&setup, reply.as_bytes());
    }
}

#[test]
fn answer_with_a_second_id_reaches_no_caller() {
    let setup = setup();
    let second = "Attempt-Id: another\r\n";
    assert_refused_framed(&setup, "200 OK", "", second);
    assert_refused_framed(&setup, "200 OK", second, "");
}

#[test]
fn good_answer_is_passed_on_whatever_its_keep_alive_header_says() {
    let setup = setup();
    for timeout in ["nan", "inf", "-1", "1e400", "", "x"] {
        let fields = format!("Keep-Alive: timeout={timeout}\r\nContent-Length: 32\r\n");
        setup.targets.iter().for_each(|t| t.set_reply(Some(&success(&fields, BODY))));

        let statuses: Vec<u16> = ask(&setup).iter().map(Message::status).collect();

        assert_eq!(statuses, [200, 200, 200], "{timeout:?}");
    }
}

#[test]
fn answer_with_an_odd_length_reaches_no_caller() {
    let setup = setup();
    for length in [
        "32\r\nContent-Length: 16",
        "32, 16",
        "+32",
        "-1",
        "0x20",
        "32 16",
        "32;",
        "3 2",
        "",
        "1e9",
    ] {
        assert_refused(&setup, &success(&format!("Content-Length: {length}\r\n"), BODY));
    }
    for size in ["0x20", "+20", "-20", "2_0", " 20", "20 x", "2 0", "g", "", ";20", "\u{1}20"] {
        assert_refused(&setup, &success("Transfer-Encoding: chunked\r\n", &in_chunks(size)));
    }
    for body in [
        format!("20\r\n{BODY}0\r\n\r\n"),
        format!("20\r\n{BODY}\n0\r\n\r\n"),
        format!("1f\r\n{BODY}\r\n0\r\n\r\n"),
        format!("20\n{BODY}\r\n0\r\n\r\n"),
        in_chunks("10000000000000020"),
    ] {
        assert_refused(&setup, &success("Transfer-Encoding: chunked\r\n", &body));
    }
}
