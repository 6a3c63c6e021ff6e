//! A host on the users' platform, between stand-ins that speak its protocols.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod platform_support;

use std::process::Stdio;
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use platform_support::{Host, Manner, Store, Target, configuration, free, wait_until};

const SHARDS: [&str; 3] = ["s1", "s2", "s3"];

/// Time after which a changed file of settings must have been read.
const SETTINGS_TIME: Duration = Duration::from_secs(3);

/// Time after which a target that drains must get no new request.
const DRAIN_BOUND: Duration = Duration::from_secs(3);

/// A host with three shards of two targets each and a desk of two.
struct Setup {
    store: Store,
    shards: Vec<[Target; 2]>,
    desk: [Target; 2],
    host: Host,
}

fn setup() -> Setup {
    setup_with(Stdio::null(), json!({ "grace": 6, "linger": "300ms" }))
}

fn setup_with(out: Stdio, stop: Value) -> Setup {
    let store = Store::start();
    store.put("op/config", &configuration(3, &SHARDS, "desk"));
    let pair = |records: &[u8]| [(); 2].map(|()| Target::start(records, Manner::Good));
    let shards = vec![pair(&[1, 9]), pair(&[7]), pair(&[8, 3])];
    let desk = pair(&[5]);
    for (name, targets) in SHARDS.iter().zip(&shards) {
        announce(&store, name, targets);
    }
    announce(&store, "desk", &desk);
    let host = Host::start_with(&store, out, stop);
    host.await_ready();
    Setup { store, shards, desk, host }
}

fn announce(store: &Store, service: &str, targets: &[Target]) {
    for target in targets {
        store.put(&format!("servers/{}", target.id), &target.announcement(service));
    }
}

fn set(targets: &[Target], manner: Manner) {
    targets.iter().for_each(|t| t.set(manner));
}

fn arrivals(targets: &[Target]) -> usize {
    targets.iter().map(|t| t.requests().len()).sum()
}

fn records(body: &[u8]) -> Vec<u8> {
    body.chunks(16).map(|r| r[0]).collect()
}

#[test]
fn parts_of_all_shards_are_merged_and_their_signatures_named() {
    let setup = setup();

    let answer = setup.host.get("/query/a?b=c");

    assert_eq!(answer.status(), 200);
    assert_eq!(records(&answer.body), [9, 8, 7, 3]);
    assert_eq!(answer.header("missing-parts"), Some("0"));
    let seals: Vec<&str> = answer.header("part-seals").unwrap().split(", ").collect();
    assert_eq!(seals.len(), 3);
    let asked = setup.shards.iter().flatten().flat_map(Target::requests).next().unwrap();
    assert_eq!(asked.path(), "/query/a?b=c");
    let budget: u64 = asked.header("time-budget").unwrap().parse().unwrap();
    assert!(budget <= 1500);
}

#[test]
fn shard_whose_targets_fail_is_left_out_and_counted() {
    let setup = setup();
    for manner in [Manner::Foreign, Manner::Unsigned, Manner::Cut, Manner::Lose, Manner::Vague] {
        set(&setup.shards[1], manner);

        let answer = setup.host.get("/query/a");

        assert_eq!(answer.status(), 200, "{manner:?}");
        assert_eq!(records(&answer.body), [9, 8, 3, 1], "{manner:?}");
        assert_eq!(answer.header("missing-parts"), Some("1"), "{manner:?}");
    }
}

#[test]
fn request_that_reached_no_target_is_sent_again_without_extra_requests() {
    let Setup { store, shards, host, .. } = setup();
    let address = free();
    store.put("servers/late", &Target::announcement_of(address, "s2"));
    for target in &shards[1] {
        store.remove(&format!("servers/{}", target.id));
    }
    wait_until(|| host.get("/query/").header("missing-parts") == Some("1"));

    let caller = host.open("/query/");
    thread::sleep(Duration::from_millis(30));
    let late = Target::start_as("late", address, &[7]);

    let answer = Host::answer(caller);
    assert_eq!(answer.status(), 200);
    assert_eq!(answer.header("missing-parts"), Some("0"));
    assert_eq!(late.requests().len(), 1);
}

#[test]
fn request_whose_answers_were_lost_goes_once_more_to_a_target_that_had_it() {
    let setup = setup();
    set(&setup.desk, Manner::LoseFirst(1));

    let answer = setup.host.get("/read/x");

    assert_eq!(answer.status(), 200);
    assert_eq!(arrivals(&setup.desk), 3, "two that were lost, and one");
}

#[test]
fn refusal_does_not_hide_that_its_target_may_have_run_the_request_before() {
    let Setup { store, desk, host, .. } = setup();
    let third = Target::start(&[5], Manner::Good);
    announce(&store, "desk", std::slice::from_ref(&third));
    wait_until(|| {
        host.get("/read/x");
        !third.requests().is_empty()
    });
    let targets = [desk[0].clone(), desk[1].clone(), third];
    let before: Vec<usize> = targets.iter().map(|t| t.ran().len()).collect();
    set(&targets, Manner::LoseThenRefuse);

    let answer = host.send("GET", "/read/x", "attempt-2", "").unwrap();

    let ran = targets.iter().zip(before).filter(|(t, n)| t.ran().len() > *n).count();
    assert_eq!(ran, 2, "the route allows two targets");
    assert_eq!(answer.status(), 502);
}

#[test]
fn second_answer_on_a_connection_reaches_nobody() {
    let setup = setup();
    set(&setup.desk, Manner::Twice);

    for n in 0..10 {
        let answer = setup.host.send("GET", "/read/x", &format!("attempt-{n}"), "").unwrap();

        assert_eq!(answer.status(), 200);
        assert_eq!(answer.header("attempt-id"), Some(format!("attempt-{n}").as_str()));
    }
}

#[test]
fn request_that_must_not_be_repeated_is_sent_once_when_its_answer_is_lost() {
    for manner in [Manner::Lose, Manner::Cut, Manner::Foreign, Manner::Vague, Manner::Unsigned] {
        let setup = setup();
        set(&setup.desk, manner);

        let answer = setup.host.send("POST", "/book/x", "attempt-1", "body").unwrap();

        assert_eq!(answer.status(), 502, "{manner:?}: it may have run");
        assert_eq!(arrivals(&setup.desk), 1, "{manner:?}");
    }
}

#[test]
fn request_that_was_refused_as_not_run_goes_to_another_target() {
    let setup = setup();
    setup.desk[0].set(Manner::Refuse);

    for n in 0..6 {
        let answer = setup.host.send("POST", "/book/x", &format!("attempt-{n}"), "body").unwrap();
        assert_eq!(answer.status(), 200);
    }

    assert!(setup.desk[1].requests().iter().all(|r| r.body == b"body"));
}

#[test]
fn refusal_by_all_targets_is_passed_on_with_a_time_to_come_back() {
    let setup = setup();
    set(&setup.desk, Manner::Refuse);

    let answer = setup.host.send("POST", "/book/x", "attempt-1", "body").unwrap();

    assert_eq!(answer.status(), 503);
    let after: f64 = answer.header("retry-after").unwrap().parse().unwrap();
    assert!(after > 0.0 && after < 2.0);
}

#[test]
fn refusal_after_a_lost_answer_does_not_say_that_the_request_has_not_run() {
    let setup = setup();
    setup.desk[0].set(Manner::Lose);
    setup.desk[1].set(Manner::Refuse);

    for n in 0..6 {
        let before = setup.desk[0].requests().len();
        let answer = setup.host.send("GET", "/read/x", &format!("attempt-{n}"), "").unwrap();

        let ran = setup.desk[0].requests().len() > before;
        assert!(!ran || answer.status() == 502, "{}", answer.status());
    }
    assert!(!setup.desk[0].requests().is_empty());
}

#[test]
fn request_without_an_answer_ends_at_its_deadline() {
    let setup = setup();
    set(&setup.desk, Manner::Slow(Duration::from_secs(20)));

    let answer = setup.host.send("POST", "/book/x", "attempt-1", "body").unwrap();

    assert_eq!(answer.status(), 504);
    assert_eq!(arrivals(&setup.desk), 1);
}

#[test]
fn host_without_configuration_says_so_and_unknown_routes_are_not_found() {
    let store = Store::start();
    let host = Host::start(&store);
    wait_until(|| host.send("GET", "/read/x", "attempt-1", "").is_some());

    let early = host.get("/read/x");
    assert_eq!(early.status(), 503);
    assert!(early.header("retry-after").is_some());
    assert!(!host.is_ready());

    store.put("op/config", &configuration(1, &SHARDS, "desk"));
    host.await_ready();
    assert_eq!(host.get("/nowhere/x").status(), 404);
}

#[test]
fn draining_and_forged_entries_get_no_requests() {
    let setup = setup();
    let mut leaving = setup.desk[0].announcement("desk");
    leaving["State"] = "draining".into();
    leaving["Seq"] = 2.into();
    setup.store.put(&format!("servers/{}", setup.desk[0].id), &leaving);
    setup.store.put_bytes("servers/i-forged", b"\xff\xfe".to_vec());
    thread::sleep(DRAIN_BOUND);

    let before = setup.desk[0].requests().len();
    for _ in 0..30 {
        assert_eq!(setup.host.get("/read/x").status(), 200);
    }

    assert_eq!(setup.desk[0].requests().len(), before);
}

#[test]
fn closed_data_centre_gets_no_requests_until_it_is_opened() {
    let setup = setup();
    setup.store.put("op/evacuate/here", &json!({}));
    wait_until(|| setup.host.get("/read/x").status() == 503);

    let before = arrivals(&setup.desk);
    assert_eq!(setup.host.get("/read/x").status(), 503);
    assert_eq!(arrivals(&setup.desk), before);

    setup.store.remove("op/evacuate/here");
    wait_until(|| setup.host.get("/read/x").status() == 200);
}

#[test]
fn targets_that_lapsed_with_the_store_are_used_until_it_is_sure_that_they_have_gone() {
    let setup = setup();
    setup.store.set_away(true);
    thread::sleep(Duration::from_millis(1_500));
    for target in &setup.desk {
        setup.store.remove(&format!("servers/{}", target.id));
    }
    setup.store.forget_history();
    setup.store.set_away(false);

    assert_eq!(setup.host.get("/read/x").status(), 200);

    wait_until(|| setup.host.get("/read/x").status() == 503);
    let mut back = setup.desk[0].announcement("desk");
    back["Seq"] = 9.into();
    setup.store.put(&format!("servers/{}", setup.desk[0].id), &back);
    wait_until(|| setup.host.get("/read/x").status() == 200);
}

#[test]
fn targets_that_vanish_together_are_used_until_it_is_sure_that_they_have_gone() {
    let Setup { store, shards, desk, host } = setup();
    let entries: Vec<(String, Value)> = shards
        .iter()
        .zip(SHARDS)
        .flat_map(|(targets, service)| targets.iter().map(move |t| (t, service)))
        .chain(desk.iter().map(|t| (t, "desk")))
        .map(|(t, service)| (format!("servers/{}", t.id), t.announcement(service)))
        .collect();

    // They lapsed while the store was away and no host read it.
    entries.iter().for_each(|(key, _)| store.remove(key));
    thread::sleep(Duration::from_millis(1_500));
    let meanwhile = host.get("/query/");
    entries.iter().for_each(|(key, entry)| store.put(key, entry));
    thread::sleep(Duration::from_millis(2_000));

    assert_eq!(meanwhile.status(), 200);
    assert_eq!(meanwhile.header("missing-parts"), Some("0"));
    assert_eq!(host.get("/query/").header("missing-parts"), Some("0"));
    entries.iter().for_each(|(key, _)| store.remove(key));
    wait_until(|| host.get("/query/").status() == 503);
}

#[test]
fn older_configuration_is_not_taken_and_a_newer_one_is_in_force_soon() {
    let setup = setup();
    setup.store.put("op/config", &configuration(2, &SHARDS, "nobody"));
    let mut newer = configuration(5, &SHARDS, "desk");
    newer["Routes"][1]["Prefix"] = "/fetch/".into();

    assert_eq!(setup.host.get("/read/x").status(), 200);
    setup.store.put("op/config", &newer);

    wait_until(|| setup.host.get("/fetch/x").status() == 200);
    assert_eq!(setup.host.get("/read/x").status(), 404);
}

#[test]
fn request_is_ended_at_its_target_when_the_caller_leaves() {
    let setup = setup();
    set(&setup.desk, Manner::Hold);
    set(&setup.shards[0], Manner::Hold);

    for path in ["/read/x", "/query/x"] {
        let ended = || setup.desk.iter().chain(&setup.shards[0]).map(Target::ended).sum::<usize>();
        let before = (arrivals(&setup.desk) + arrivals(&setup.shards[0]), ended());
        let caller = setup.host.open(path);
        wait_until(|| arrivals(&setup.desk) + arrivals(&setup.shards[0]) > before.0);
        drop(caller);

        wait_until(|| ended() > before.1);
    }
}

#[test]
fn changed_settings_are_in_force_without_a_signal() {
    let short = json!({ "grace": 2, "linger": "1ms" });
    let setup = setup_with(Stdio::null(), short);
    set(&setup.desk, Manner::Slow(Duration::from_secs(4)));
    setup.host.change_settings(|s| s["stop"]["grace"] = 20.into());
    thread::sleep(SETTINGS_TIME);
    let caller = setup.host.open("/long/x");
    wait_until(|| arrivals(&setup.desk) > 0);

    setup.host.terminate();

    assert_eq!(Host::answer(caller).status(), 200, "it went by its former grace");
}

#[test]
fn stopping_host_answers_what_it_has_and_ends() {
    let mut setup = setup();
    set(&setup.desk, Manner::Slow(Duration::from_millis(600)));
    let answer = thread::scope(|scope| {
        let asked = scope.spawn(|| setup.host.get("/read/x"));
        wait_until(|| arrivals(&setup.desk) > 0);
        setup.host.terminate();
        asked.join().unwrap()
    });

    assert_eq!(answer.status(), 200);
    assert_eq!(answer.header("connection"), Some("close"));
    assert!(setup.host.join());
}

#[test]
fn log_names_the_target_that_did_not_answer_by_the_deadline() {
    let mut setup = setup_with(Stdio::piped(), json!({ "grace": 2, "linger": "1ms" }));
    let log = setup.host.output();
    set(&setup.desk, Manner::Hold);

    let answer = setup.host.send("POST", "/book/x", "attempt-9", "").unwrap();
    setup.host.terminate();

    let lines = std::io::read_to_string(log).unwrap();
    let failed = lines.lines().find(|l| l.contains("id=attempt-9")).unwrap();
    let holder = setup.desk.iter().find(|t| !t.requests().is_empty()).unwrap();
    assert_eq!(answer.status(), 504);
    assert!(failed.contains(&format!("{}:no_answer", holder.id)), "{failed}");
}

#[test]
fn host_serves_while_nobody_reads_its_log() {
    let mut setup = setup_with(Stdio::piped(), json!({ "grace": 6 }));
    let _unread = setup.host.output();
    set(&setup.desk, Manner::Refuse);
    // Each of these writes a line; together they exceed what a pipe holds.
    for _ in 0..2_000 {
        assert_eq!(setup.host.send("GET", "/nowhere/x", "attempt-1", "").unwrap().status(), 404);
    }

    set(&setup.desk, Manner::Good);
    wait_until(|| setup.host.get("/read/x").status() == 200);
}
