//! A forwarding host whose store sends odd answers for a while.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod platform_support;

use std::thread;
use std::time::Duration;

use platform_support::{Host, Store, Target, TargetBehaviour, configuration, wait_until};

/// Time in which a host reads the store at least once.
const READ_TIME: Duration = Duration::from_millis(1_200);

/// A host that uses a store with a service of one target.
struct Setup {
    store: Store,
    target: Target,
    host: Host,
}

fn setup() -> Setup {
    let store = Store::start();
    store.put("op/config", &configuration(3, &["s1"], "desk"));
    let target = Target::start(&[1], TargetBehaviour::Normal);
    announce(&store, &target);
    let host = Host::start(&store);
    host.await_ready();
    wait_until(|| host.get("/read/x").status() == 200);
    Setup { store, target, host }
}

fn announce(store: &Store, target: &Target) {
    store.put(&format!("servers/{}", target.id), &target.announcement("desk"));
}

/// Announces a target and waits until the host sends it reads, which the other one refuses.
fn assert_follows(setup: &Setup, case: &str) {
    let Setup { store, target, host } = setup;
    let late = Target::start(&[9], TargetBehaviour::Normal);
    target.set_behaviour(TargetBehaviour::Refuse);
    announce(store, &late);
    println!("after {case:?}");
    wait_until(|| host.get("/read/x").status() == 200 && !late.requests().is_empty());
    target.set_behaviour(TargetBehaviour::Normal);
    late.set_behaviour(TargetBehaviour::Refuse);
    store.remove(&format!("servers/{}", late.id));
}

#[test]
fn host_follows_the_store_whatever_its_keep_alive_header_says() {
    let setup = setup();
    for timeout in ["nan", "-nan", "inf", "-1", "1e400", "1e-400", "", "x", "5, timeout=nan"] {
        setup.store.set_lines(&format!("Keep-Alive: timeout={timeout}\r\n"));

        assert_follows(&setup, timeout);
    }
}

/// Body of an answer to a listing and to a watch.
fn list_body(items: &str, more: bool, revision: &str) -> String {
    format!(r#"{{"items":{items},"events":{items},"HasMore":{more},"StoreRevision":{revision}}}"#)
}

/// Answers of a store in trouble; the body of a whole one is that of an empty list.
fn odd_replies() -> Vec<Vec<u8>> {
    let body = list_body("[]", false, "1");
    let head = |status: &str, fields: &str| {
        let len = body.len();
        format!("HTTP/1.1 {status}\r\n{fields}Content-Length: {len}\r\n\r\n{body}")
    };
    let chunked = |size: &str| {
        format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{size}\r\n{body}\r\n0\r\n\r\n"
        )
    };
    let whole =
        |body: &str| format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
    let replies = [
        head("000 OK", ""),
        head("101 Switching Protocols", ""),
        head("204 No Content", ""),
        head("999 Odd", ""),
        head("200 OK", "X Odd: 1\r\n"),
        head("200 OK", "X\u{1}Odd: 1\r\n"),
        head("200 OK", "Content-Length : 8\r\n"),
        head("200 OK", "Content-Length: 8\r\n"),
        chunked("ffffffffffffffff"),
        chunked("+3b"),
        whole(""),
        whole("[]"),
        whole("{}"),
        whole(&list_body("[]", false, "-1")),
        whole(&list_body("[]", false, "1e999")),
        whole(&list_body("7", false, "1")),
        whole(&list_body("[]", true, "1")),
    ];
    replies.into_iter().map(String::into_bytes).collect()
}

#[test]
fn host_serves_and_follows_the_store_after_odd_answers() {
    thread::scope(|scope| {
        for reply in odd_replies() {
            scope.spawn(move || {
                let case = String::from_utf8_lossy(&reply).into_owned();
                let setup = setup();
                setup.store.set_reply(Some(&reply));
                thread::sleep(READ_TIME);
                assert_eq!(setup.host.get("/read/x").status(), 200, "{case:?}");
                setup.store.set_reply(None);

                assert_follows(&setup, &case);
            });
        }
    });
}

#[test]
fn host_starts_while_a_row_of_the_list_is_no_text() {
    let rows: [&[u8]; 4] = [
        b"{\"Key\":\"servers/i-\xff\",\"Value\":\"aGk=\",\"Revision\":1}",
        b"{\"Key\":\"servers/i-\xc3\",\"Value\":\"\x80\",\"Revision\":1}",
        b"{\"Key\":\"servers/i-\\udcff\",\"Value\":\"aGk=\",\"Revision\":1}",
        b"{\"\xf0\x9f\":1}",
    ];
    for row in rows {
        let case = String::from_utf8_lossy(row).into_owned();
        let store = Store::start();
        store.put("op/config", &configuration(3, &["s1"], "desk"));
        let target = Target::start(&[1], TargetBehaviour::Normal);
        announce(&store, &target);
        store.set_raw_row(row);

        println!("with {case:?}");
        let host = Host::start(&store);
        host.await_ready();

        wait_until(|| host.get("/read/x").status() == 200);
    }
}
