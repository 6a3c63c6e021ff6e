//! A forwarding host whose store lists entries of another writer under odd names, over several
//! pages.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod platform_support;

use platform_support::{
    Host, Store, Target, TargetBehaviour, configuration, unused_address, wait_until,
};

/// Names that mean something else in a query, a header or a line of the log.
const ODD_NAMES: [&str; 14] = [
    "i-&x",
    "i-+x",
    "i-#x",
    "i-50%",
    "i-%zz",
    "i-%26",
    "i- x",
    "i-?x=/",
    "i-\"x\"<>\\",
    "i-\u{e4}\u{1f600}",
    "i-\r\nx: y",
    "i-\u{1}\u{7f}",
    "i-a&after=servers/",
    "",
];

/// A store with this many items a page, and a service of two targets.
fn store(page_len: usize) -> (Store, [Target; 2]) {
    let store = Store::start();
    store.set_page_len(page_len);
    store.put("op/config", &configuration(3, &["s1"], "desk"));
    let targets = [1, 2].map(|n| Target::start(&[n], TargetBehaviour::Normal));
    for target in &targets {
        announce(&store, target);
    }
    (store, targets)
}

fn announce(store: &Store, target: &Target) {
    store.put(&format!("servers/{}", target.id), &target.announcement("desk"));
}

fn put_odd(store: &Store, name: &str) {
    store.put_bytes(&format!("servers/{name}"), b"{\"State\":\"odd\"}".to_vec());
}

/// Waits until reads have reached a target.
fn reach(host: &Host, target: &Target) {
    wait_until(|| {
        host.get("/read/x");
        !target.requests().is_empty()
    });
}

/// Waits until each target has got a read, while the others refuse theirs.
fn reach_each(host: &Host, targets: &[Target]) {
    for target in targets {
        let others = || targets.iter().filter(|t| t.id != target.id);
        others().for_each(|t| t.set_behaviour(TargetBehaviour::Refuse));
        reach(host, target);
        others().for_each(|t| t.set_behaviour(TargetBehaviour::Normal));
    }
}

#[test]
fn host_starts_and_serves_while_an_odd_name_ends_a_page() {
    for name in ODD_NAMES {
        let (store, targets) = store(1);
        put_odd(&store, name);

        let host = Host::start(&store);
        host.await_ready();

        reach_each(&host, &targets);
        assert_eq!(host.get("/read/x").status(), 200, "{name:?}");
    }
}

#[test]
fn hosts_that_all_start_again_serve_while_odd_names_stand_in_the_list() {
    let (store, targets) = store(2);
    ODD_NAMES.iter().for_each(|name| put_odd(&store, name));

    let port = unused_address().port();
    let hosts = [1, 2, 3].map(|n| Host::start_member(&store, "here", 0.25, n, port));
    hosts.iter().for_each(Host::await_ready);

    for host in &hosts {
        wait_until(|| host.get("/read/x").status() == 200);
    }
    reach_each(&hosts[2], &targets);
}

#[test]
fn host_follows_the_list_while_odd_names_stand_in_it() {
    let (store, targets) = store(1);
    let host = Host::start(&store);
    host.await_ready();
    ODD_NAMES.iter().for_each(|name| put_odd(&store, name));
    store.compact();
    let late = Target::start(&[9], TargetBehaviour::Normal);
    announce(&store, &late);
    store.remove(&format!("servers/{}", targets[0].id));
    store.compact();

    reach(&host, &late);

    let before = targets[0].requests().len();
    (0..20).for_each(|_| assert_eq!(host.get("/read/x").status(), 200));
    assert_eq!(targets[0].requests().len(), before);
}

/// Another writer may describe a target well under a name that no target has.
#[test]
fn nothing_is_sent_to_the_address_in_an_entry_with_an_odd_name() {
    let (store, targets) = store(3);
    let trap = Target::start(&[9], TargetBehaviour::Normal);
    for name in ODD_NAMES {
        store.put(&format!("servers/{name}"), &trap.announcement("desk"));
    }
    let host = Host::start(&store);
    host.await_ready();

    reach_each(&host, &targets);
    targets[0].set_behaviour(TargetBehaviour::Refuse);
    (0..40).for_each(|n| drop(host.send("POST", "/book/x", &format!("b-{n}"), "")));

    let requests = trap.requests();
    assert!(requests.is_empty(), "{} requests, first {:?}", requests.len(), requests.first());
}
