//! A forwarding host and targets that are leaving, want no requests for a while, or send bytes that
//! are no answer.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod platform_support;

use std::process::Stdio;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use platform_support::{Framing, Host, Store, Target, TargetBehaviour, configuration, wait_until};

const SHARDS: [&str; 3] = ["s1", "s2", "s3"];

/// Most memory that a host may take while its targets send without end, in KiB.
const MAX_MEMORY_KIB: u64 = 120 << 10;

/// Answers in tiny chunks at the same time, and the time for which they are read.
const CHUNKED_ANSWERS: usize = 12;
const CHUNKS_TIME: Duration = Duration::from_secs(24);

/// A host, and a service of three targets that is also its only shard's.
struct Setup {
    store: Store,
    targets: Vec<Target>,
    host: Host,
}

fn setup() -> Setup {
    setup_with(Stdio::null())
}

fn setup_with(out: Stdio) -> Setup {
    let store = Store::start();
    store.put("op/config", &configuration(3, &SHARDS[..1], "desk"));
    let targets: Vec<Target> =
        (1..=3).map(|n| Target::start(&[n], TargetBehaviour::Normal)).collect();
    for target in &targets {
        store.put(&format!("servers/{}", target.id), &target.announcement("desk"));
    }
    let host = Host::start_with(&store, out, json!({ "grace": 6, "linger": "300ms" }));
    host.await_ready();
    Setup { store, targets, host }
}

fn counts(targets: &[Target]) -> Vec<usize> {
    targets.iter().map(|t| t.requests().len()).collect()
}

/// Sends reads until the target has got one.
fn reach(host: &Host, target: &Target) {
    let before = target.requests().len();
    wait_until(|| {
        host.get("/read/x");
        target.requests().len() > before
    });
}

/// Sends reads and requests that must not be repeated; all are answered.
fn load(host: &Host, count: usize) {
    for n in 0..count {
        assert_eq!(host.get("/read/x").status(), 200);
        let booked = host.send("POST", "/book/x", &format!("b-{n}"), "body").unwrap();
        assert_eq!(booked.status(), 200);
    }
}

/// Sends reads while all targets but the first refuse them, which makes it the last resort.
fn press(setup: &Setup) {
    let others = &setup.targets[1..];
    others.iter().for_each(|t| t.set_behaviour(TargetBehaviour::Refuse));
    for _ in 0..5 {
        setup.host.get("/read/x");
    }
    others.iter().for_each(|t| t.set_behaviour(TargetBehaviour::Normal));
}

#[test]
fn target_that_leaves_gets_nothing_new_after_its_answer() {
    for behaviour in [TargetBehaviour::Leaving, TargetBehaviour::LeavingRefusal] {
        let setup = setup();
        reach(&setup.host, &setup.targets[0]);
        setup.targets[0].set_behaviour(behaviour);
        reach(&setup.host, &setup.targets[0]);

        let before = counts(&setup.targets);
        load(&setup.host, 20);
        press(&setup);

        assert_eq!(counts(&setup.targets)[0], before[0], "{behaviour:?}");
    }
}

#[test]
fn target_that_leaves_is_noticed_by_the_loser_of_a_hedge() {
    let setup = setup();
    let slow = TargetBehaviour::SlowLeaving(Duration::from_millis(180));
    setup.targets[0].set_behaviour(slow);
    reach(&setup.host, &setup.targets[0]);
    thread::sleep(Duration::from_millis(250));

    let before = counts(&setup.targets);
    press(&setup);

    assert_eq!(counts(&setup.targets)[0], before[0]);
}

#[test]
fn target_that_leaves_is_not_revived_by_its_next_announcement() {
    let setup = setup();
    setup.targets[0].set_behaviour(TargetBehaviour::Leaving);
    reach(&setup.host, &setup.targets[0]);
    let mut again = setup.targets[0].announcement("desk");
    again["Seq"] = 2.into();
    setup.store.put(&format!("servers/{}", setup.targets[0].id), &again);
    thread::sleep(Duration::from_millis(1_500));

    let before = counts(&setup.targets);
    press(&setup);

    assert_eq!(counts(&setup.targets)[0], before[0]);
}

#[test]
fn target_that_starts_again_under_its_id_is_used_again() {
    let Setup { targets, host, store } = setup();
    targets[0].set_behaviour(TargetBehaviour::Leaving);
    reach(&host, &targets[0]);
    targets[0].set_behaviour(TargetBehaviour::Normal);
    let mut again = targets[0].announcement("desk");
    (again["born"], again["Seq"]) = (2.into(), 1.into());
    store.put(&format!("servers/{}", targets[0].id), &again);

    reach(&host, &targets[0]);
}

#[test]
fn target_that_holds_off_gets_nothing_for_the_time_it_stated() {
    let setup = setup();
    let time = Duration::from_millis(1_500);
    setup.targets[0].set_behaviour(TargetBehaviour::HoldOff(time));
    reach(&setup.host, &setup.targets[0]);
    let start = Instant::now();
    setup.targets[0].set_behaviour(TargetBehaviour::Normal);

    let before = counts(&setup.targets);
    while start.elapsed() < Duration::from_millis(1_200) {
        press(&setup);
    }

    assert_eq!(counts(&setup.targets)[0], before[0]);
    reach(&setup.host, &setup.targets[0]);
    assert!(start.elapsed() >= Duration::from_millis(1_400));
}

#[test]
fn request_is_refused_with_the_time_at_which_the_first_target_takes_one_again() {
    let Setup { targets, host, store: _store } = setup();
    for (target, seconds) in targets.iter().zip([9, 3, 6]) {
        target.set_behaviour(TargetBehaviour::HoldOff(Duration::from_secs(seconds)));
    }
    wait_until(|| {
        host.get("/read/x");
        counts(&targets).iter().all(|n| *n > 0)
    });

    let before = counts(&targets);
    let answer = host.get("/read/x");

    assert_eq!(answer.status(), 503);
    let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!((1.0..=3.0).contains(&after), "{after}");
    assert_eq!(counts(&targets), before);
}

#[test]
fn target_that_holds_off_for_no_time_is_used() {
    let Setup { targets, host, store: _store } = setup();
    targets.iter().for_each(|t| t.set_behaviour(TargetBehaviour::HoldOff(Duration::ZERO)));

    assert_eq!(host.get("/read/x").status(), 503);
    targets.iter().for_each(|t| t.set_behaviour(TargetBehaviour::Normal));

    assert_eq!(host.get("/read/x").status(), 200);
}

#[test]
fn late_copy_of_an_answer_is_not_taken_for_the_next_one() {
    let Setup { targets, host, store: _store } = setup();
    targets.iter().for_each(|t| t.set_behaviour(TargetBehaviour::LateCopy));

    let mut served = 0;
    for n in 0..30 {
        let id = format!("attempt-{n}");
        let answer = host.send("GET", "/read/x", &id, "").unwrap();

        if answer.status() == 200 {
            assert_eq!(answer.header("attempt-id"), Some(&*id));
            served += 1;
        }
    }
    assert!(served >= 15, "{served} of 30 are served");
}

#[test]
fn answers_without_end_are_ended_with_the_request() {
    for behaviour in [
        TargetBehaviour::EndlessHead,
        TargetBehaviour::EndlessBody,
        TargetBehaviour::EndlessChunks,
        TargetBehaviour::EndlessExtension,
        TargetBehaviour::EndlessTrailers,
        TargetBehaviour::EndlessInterim,
    ] {
        let Setup { targets, host, store: _store } = setup();
        targets.iter().for_each(|t| t.set_behaviour(behaviour));

        let answers = thread::scope(|scope| {
            let callers: Vec<_> = (0..12)
                .map(|n| {
                    let host = &host;
                    let path = if n % 2 == 0 { "/read/x" } else { "/book/x" };
                    let method = if n % 2 == 0 { "GET" } else { "POST" };
                    scope.spawn(move || host.send(method, path, &format!("e-{n}"), ""))
                })
                .collect();
            callers.into_iter().map(|c| c.join().unwrap().unwrap().status()).collect::<Vec<_>>()
        });

        let is_failure = |status: &u16| [502, 504].contains(status);
        assert!(answers.iter().all(is_failure), "{behaviour:?}: {answers:?}");
        let sent: usize = counts(&targets).iter().sum();
        wait_until(|| targets.iter().map(Target::aborted).sum::<usize>() == sent);
        let memory = host.peak_memory_kib();
        assert!(memory < MAX_MEMORY_KIB, "{behaviour:?}: {memory} KiB");
        targets.iter().for_each(|t| t.set_behaviour(TargetBehaviour::Normal));
        wait_until(|| host.get("/read/x").status() == 200);
    }
}

/// Guards against an answer that takes far more memory than it has bytes.
#[test]
fn answers_in_tiny_chunks_take_bounded_memory() {
    let Setup { targets, host, store: _store } = setup();
    targets.iter().for_each(|t| t.set_behaviour(TargetBehaviour::EndlessChunks));

    let callers: Vec<_> = (0..CHUNKED_ANSWERS).map(|_| host.start_get("/long/x")).collect();
    thread::sleep(CHUNKS_TIME);
    let memory = host.peak_memory_kib();
    drop(callers);

    assert!(memory < MAX_MEMORY_KIB, "{memory} KiB");
}

/// Guards against an answer that is cut in its head and passed on as a whole one.
#[test]
fn answer_that_is_cut_in_its_head_is_never_a_success() {
    let store = Store::start();
    store.put("op/config", &configuration(3, &SHARDS[..1], "desk"));
    let services = [SHARDS[0], "desk"];
    let targets = services.map(|_| Target::start(&[1], TargetBehaviour::Normal));
    for (target, service) in targets.iter().zip(services) {
        store.put(&format!("servers/{}", target.id), &target.announcement(service));
    }
    let host = Host::start(&store);
    host.await_ready();

    for framing in [Framing::Length, Framing::Chunks, Framing::Close] {
        // A whole head whose body ends with the connection is a whole answer.
        let is_whole = |len| framing == Framing::Close && len == framing.head().len();
        for len in (0..=framing.head().len()).filter(|len| !is_whole(*len)) {
            targets.iter().for_each(|t| t.set_behaviour(TargetBehaviour::CutHead(framing, len)));
            let before = counts(&targets);
            for path in ["/read/x", "/query/x", "/long/x"] {
                let status = host.get(path).status();
                assert!(status >= 500, "{status} for {path} after {len} bytes, {framing:?}");
            }
            let after = counts(&targets);
            assert!(after.iter().zip(&before).all(|(a, b)| a > b), "all targets were asked");
        }
    }
    let len = Framing::Close.head().len();
    targets.iter().for_each(|t| t.set_behaviour(TargetBehaviour::CutHead(Framing::Close, len)));
    wait_until(|| host.get("/read/x").status() == 200);
}

#[test]
fn odd_entries_of_another_writer_do_not_stop_the_host_or_hide_other_entries() {
    let Setup { targets, host, store } = setup();
    let deep = [b"[".repeat(100_000), b"]".repeat(100_000)].concat();
    store.put_bytes("servers/odd-deep", deep);
    let entry = |field: &str, value: serde_json::Value| {
        let mut entry = targets[0].announcement("desk");
        entry[field] = value;
        entry
    };
    store.put("servers/odd-port", &entry("Address", "127.0.0.1:70000".into()));
    store.put("servers/odd-warmup", &entry("WarmupLeftMs", 1e22.into()));
    store.put("servers/odd-slots", &entry("Slots", u64::MAX.into()));
    store.put_bytes("op/rollout/odd", b"[[[".to_vec());
    let late = Target::start(&[9], TargetBehaviour::Normal);
    store.put(&format!("servers/{}", late.id), &late.announcement("desk"));

    reach(&host, &late);

    assert!(host.is_ready());
    load(&host, 10);
}
