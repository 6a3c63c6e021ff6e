//! A forwarding host whose store sends odd answers for a while.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod platform_support;

use platform_support::{Host, Store, Target, TargetBehaviour, configuration, wait_until};

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
