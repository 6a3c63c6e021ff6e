//! The stand-in for the store keeps its guarantees and injects faults.

use std::thread;
use std::time::Duration;

use sapphirerack_clients::{Category, HostEntry, HostState, Store};
use sapphirerack_lab::fleet::LOOPBACK;
use sapphirerack_lab::store::StoreServer;

const TIMEOUT: Duration = Duration::from_secs(5);

fn store() -> (StoreServer, Store) {
    let server = StoreServer::start(LOOPBACK);
    let client = Store::new(server.address(), TIMEOUT);
    (server, client)
}

fn host(name: &str) -> HostEntry {
    HostEntry {
        name: name.into(),
        data_centre: "leith".into(),
        address: LOOPBACK,
        state: HostState::Live,
    }
}

#[test]
fn writes_are_compare_and_swap() {
    let (server, client) = store();

    assert_eq!(client.swap("a", 0, b"one").unwrap(), 1);
    assert_eq!(client.swap("a", 0, b"two").unwrap_err().classify(), Category::Conflict);
    assert_eq!(client.swap("a", 1, b"two").unwrap(), 2);

    assert_eq!(client.get("a").unwrap().unwrap().bytes, b"two");
    let calls = server.calls();
    assert_eq!((calls.writes, calls.conflicts, calls.reads), (3, 1, 1));
}

#[test]
fn watch_waits_for_the_next_version() {
    let (server, client) = store();
    client.swap("a", 0, b"one").unwrap();

    thread::scope(|scope| {
        let watch = scope.spawn(|| client.watch("a", 1, TIMEOUT).unwrap().unwrap());
        while server.calls().watches == 0 {
            thread::sleep(Duration::from_millis(1));
        }
        client.swap("a", 1, b"two").unwrap();
        assert_eq!(watch.join().unwrap().version, 2);
    });
    assert_eq!(client.watch("a", 2, Duration::from_millis(20)).unwrap(), None);
}

#[test]
fn write_with_a_lost_response_takes_effect() {
    let (server, client) = store();
    server.update(|f| f.lost = 1.0);

    let lost = client.swap("a", 0, b"one").unwrap_err();

    assert_eq!(lost.classify(), Category::Unreachable);
    assert_eq!(server.value("a").unwrap().1, b"one");
}

#[test]
fn writes_refused_or_sent_during_an_outage_take_no_effect() {
    let (server, client) = store();

    server.update(|f| f.outage = true);
    assert_eq!(client.swap("a", 0, b"one").unwrap_err().classify(), Category::Unreachable);
    server.update(|f| (f.outage, f.refused) = (false, 1.0));
    assert_eq!(client.swap("a", 0, b"one").unwrap_err().status(), Some(503));

    assert_eq!(server.value("a"), None);
}

#[test]
fn stale_read_returns_the_previous_value() {
    let (server, client) = store();
    client.swap("a", 0, b"one").unwrap();
    client.swap("a", 1, b"two").unwrap();

    server.update(|f| f.stale = 1.0);

    assert_eq!(client.get("a").unwrap().unwrap().bytes, b"one");
}

#[test]
fn calls_beyond_the_rate_limit_are_refused() {
    let (server, client) = store();
    server.update(|f| f.write_rate = Some(0));

    assert_eq!(client.swap("a", 0, b"one").unwrap_err().status(), Some(429));
    assert_eq!(client.get("a").unwrap(), None, "reads have their own rate limit");
}

#[test]
fn endpoints_have_their_own_faults_and_host_lists() {
    let (server, client) = store();
    let endpoint = server.endpoint(LOOPBACK, 1);
    let other = Store::new(endpoint.address(), TIMEOUT);
    server.set_hosts(vec![host("a")]);
    endpoint.set_hosts(vec![host("b")]);
    client.swap("k", 0, b"one").unwrap();

    endpoint.update(|f| f.outage = true);
    assert!(other.get("k").is_err());
    endpoint.update(|f| f.outage = false);

    assert_eq!(other.get("k").unwrap().unwrap().version, 1, "the endpoints share the keys");
    assert_eq!(other.hosts().unwrap(), [host("b")]);
    assert_eq!(client.hosts().unwrap(), [host("a")]);
}

#[test]
fn host_list_changes_are_delayed() {
    let (server, client) = store();
    server.update(|f| f.lag = Duration::from_secs(3600));
    server.set_hosts(vec![host("a")]);
    server.set_hosts(vec![host("a"), host("b")]);

    assert_eq!(client.hosts().unwrap().len(), 1);
    server.update(|f| f.lag = Duration::ZERO);
    assert_eq!(client.hosts().unwrap().len(), 2);
}
