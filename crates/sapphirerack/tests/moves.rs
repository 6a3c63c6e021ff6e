//! Operators' moves on host processes: drains, shifts, reversals, faults of hosts and store.

#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Member, Name, Target, TargetState};
use sapphirerack_lab::fleet::{Fleet, MEMBER_KEY, Plan, Shape};
use sapphirerack_lab::target::{ColdStart, Defect, DefectKind, Overload, Trigger};
use serde_json::Value;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sapphirerack");

/// Longest wait for a condition.
const WAIT_LIMIT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time after which a drained data centre gets no new work.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Callers, and the time between two queries of each.
#[derive(Clone, Copy)]
struct Pace {
    callers: usize,
    pause: Duration,
}

const LIGHT: Pace = Pace { callers: 4, pause: Duration::from_millis(10) };

/// Keeps several requests in flight at each target that serves the whole load.
const HEAVY: Pace = Pace { callers: 12, pause: Duration::ZERO };

const SERVICE_TIME: Duration = Duration::from_millis(2);

/// Deadline of queries; long, because answers are checked here and not latency.
const DEADLINE: Duration = Duration::from_secs(3);

fn shape() -> Shape {
    Shape {
        data_centres: ["munich", "nuremberg"].map(Into::into).to_vec(),
        hosts: 2,
        shards: 2,
        slots: 4,
        service: SERVICE_TIME,
        stragglers: 0.0,
        seed: 1,
    }
}

fn launch(mut plan: Plan) -> Fleet {
    plan.catalogue.services[0].limits.deadline = DEADLINE;
    let fleet = Fleet::launch(Path::new(PROGRAM), plan);
    fleet.apply(Path::new(PROGRAM));
    fleet.await_ready();
    fleet
}

/// A fleet with a standby `v2` target, which has `defects`, for each `v1` target.
fn two_versions(defects: Vec<Defect>, service: Duration) -> Fleet {
    let mut plan = Plan::from(&Shape { service, ..shape() });
    for shard in &mut plan.catalogue.services[0].shards {
        let second = |t: &Target| Target {
            name: format!("{}-v2", t.name).into(),
            version: "v2".into(),
            state: TargetState::Standby,
            ..t.clone()
        };
        let added: Vec<Target> = shard.targets.iter().map(second).collect();
        shard.targets.extend(added);
    }
    let base = plan.behaviour;
    plan.behaviour = Box::new(move |service, target, behaviour| {
        let mut behaviour = base(service, target, behaviour);
        if &*target.version == "v2" {
            behaviour.defects.clone_from(&defects);
        }
        behaviour
    });
    launch(plan)
}

/// Requests served by the targets of a version.
fn served(fleet: &Fleet, version: &str) -> usize {
    let shards = fleet.catalogue.services[0].shards.iter();
    let targets = shards.flat_map(|s| &s.targets).filter(|t| &*t.version == version);
    targets.map(|t| fleet.target(&t.name).served()).sum()
}

/// Callers that query all hosts until stopped.
struct Load {
    stop: Arc<AtomicBool>,
    complete: Arc<AtomicU64>,
    incomplete: Arc<AtomicU64>,
    callers: Vec<JoinHandle<()>>,
}

impl Load {
    fn start(fleet: &Fleet, routes: &[&str], pace: Pace) -> Self {
        let load = Self {
            stop: Arc::default(),
            complete: Arc::default(),
            incomplete: Arc::default(),
            callers: Vec::new(),
        };
        let urls: Vec<String> =
            fleet.hosts.iter().map(|h| format!("http://{}/search/search", h.callers)).collect();
        let routes: Vec<String> = routes.iter().map(|r| (*r).to_owned()).collect();
        let caller = |i: usize| {
            let (stop, complete) = (load.stop.clone(), load.complete.clone());
            let (incomplete, urls, routes) =
                (load.incomplete.clone(), urls.clone(), routes.clone());
            thread::spawn(move || {
                let agent = ureq::Agent::new_with_defaults();
                for n in i.. {
                    if stop.load(Ordering::Relaxed) {
                        return;
                    }
                    let url = &urls[n % urls.len()];
                    let route = &routes[n / urls.len() % routes.len()];
                    let counter = if search(&agent, url, route) { &complete } else { &incomplete };
                    counter.fetch_add(1, Ordering::Relaxed);
                    thread::sleep(pace.pause);
                }
            })
        };
        let callers = (0..pace.callers).map(caller).collect();
        Self { callers, ..load }
    }

    /// Waits for `count` further complete answers.
    fn await_answers(&self, count: u64) {
        let goal = self.complete.load(Ordering::Relaxed) + count;
        await_that("complete answers", || self.complete.load(Ordering::Relaxed) >= goal);
    }

    fn stop(self) -> (u64, u64) {
        self.stop.store(true, Ordering::Relaxed);
        self.callers.into_iter().for_each(|c| c.join().unwrap());
        (self.complete.load(Ordering::Relaxed), self.incomplete.load(Ordering::Relaxed))
    }
}

/// Sends a query; returns whether the answer is complete.
fn search(agent: &ureq::Agent, url: &str, route: &str) -> bool {
    let Ok(mut response) = agent.post(url).header("x-route", route).send("spare clock") else {
        return false;
    };
    let body = response.body_mut().read_to_vec().unwrap();
    let answer: Value = serde_json::from_slice(&body).unwrap();
    answer["complete"] == true
}

fn await_that(what: &str, holds: impl Fn() -> bool) {
    let limit = Instant::now() + WAIT_LIMIT;
    while !holds() {
        assert!(Instant::now() < limit, "timed out waiting for {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Runs an operator command against the first host.
fn run_command(fleet: &Fleet, args: &[&str]) -> Output {
    let host = fleet.hosts[0].operators.to_string();
    let (command, rest) = args.split_first().unwrap();
    Command::new(PROGRAM)
        .args([command, "--host", &host, "--member", "zeugenwerk"])
        .env("SAPPHIRERACK_KEY", sapphirerack_lab::fleet::MEMBER_KEY)
        .args(rest)
        .env("SAPPHIRERACK_KEY", MEMBER_KEY)
        .output()
        .unwrap()
}

fn exit_code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

/// Status of a move at a host; null if the host has no such move.
fn status(fleet: &Fleet, host: usize, id: &str) -> Value {
    let url = format!("http://{}/moves/{id}", fleet.hosts[host].operators);
    let response = minreq::get(url).with_timeout(5).send();
    response.ok().and_then(|r| serde_json::from_slice(r.as_bytes()).ok()).unwrap_or_default()
}

fn state(fleet: &Fleet, host: usize, id: &str) -> String {
    status(fleet, host, id)["state"].as_str().unwrap_or_default().to_owned()
}

fn await_state_everywhere(fleet: &Fleet, id: &str, wanted: &str) {
    for host in 0..fleet.hosts.len() {
        await_that(wanted, || state(fleet, host, id) == wanted);
    }
}

fn shift(id: &'static str, deadline: &'static str) -> [&'static str; 8] {
    ["shift", "--id", id, "--deadline", deadline, "search", "v1", "v2"]
}

fn defect(kind: DefectKind, trigger: Trigger, route: Option<Name>) -> Vec<Defect> {
    vec![Defect { kind, trigger, route, share: 1.0 }]
}

#[test]
fn drained_data_centre_gets_no_new_work_until_it_is_back() {
    let fleet = launch(Plan::from(&shape()));
    let load = Load::start(&fleet, &["default"], LIGHT);
    load.await_answers(50);

    let started = run_command(&fleet, &["drain", "munich", "--id", "out", "--deadline", "30s"]);
    assert_eq!(exit_code(&started), 0, "{started:?}");
    thread::sleep(DRAIN_LIMIT);
    let before: usize = fleet.targets_in("munich").iter().map(|t| t.served()).sum();
    load.await_answers(300);
    let after: usize = fleet.targets_in("munich").iter().map(|t| t.served()).sum();
    assert_eq!(after, before, "new work at the drained data centre");
    await_state_everywhere(&fleet, "out", "done");

    let restored = run_command(&fleet, &["restore", "munich", "--deadline", "20s", "--wait"]);
    assert_eq!(exit_code(&restored), 0, "{restored:?}");
    await_that("work at the restored data centre", || {
        fleet.targets_in("munich").iter().map(|t| t.served()).sum::<usize>() > after
    });

    let (complete, incomplete) = load.stop();
    assert!(complete > 350);
    assert_eq!(incomplete, 0, "incomplete answers during the drain and restore");
}

#[test]
fn shift_to_a_good_version_is_done_by_its_deadline() {
    expect_done(&two_versions(Vec::new(), SERVICE_TIME));
}

#[test]
fn shift_to_a_good_version_that_starts_cold_is_done_by_its_deadline() {
    let fleet = two_versions(Vec::new(), SERVICE_TIME);
    let cold =
        ColdStart { capacity: 1, warmup_requests: 50, slowdown: 3.0, overload: Overload::Fail };
    for target in fleet.targets.iter().filter(|t| t.behaviour().name.ends_with("-v2")) {
        target.go_cold(cold);
    }
    expect_done(&fleet);
}

/// Shifts to `v2` and expects the shift to complete.
fn expect_done(fleet: &Fleet) {
    let load = Load::start(fleet, &["default", "other"], LIGHT);

    let output = run_command(fleet, &[&shift("up", "30s")[..], &["--wait"]].concat());

    assert_eq!(exit_code(&output), 0, "{output:?}\n{}", status(fleet, 0, "up"));
    await_state_everywhere(fleet, "up", "done");
    load.await_answers(50);
    let old = served(fleet, "v1");
    let new = served(fleet, "v2");
    load.await_answers(100);
    assert_eq!(served(fleet, "v1"), old, "the old version still gets requests");
    assert!(served(fleet, "v2") > new);
    load.stop();
}

/// Shifts to `v2` and expects a verdict to reverse the shift; returns the numbers of complete and
/// incomplete answers.
fn expect_reversed(fleet: &Fleet, pace: Pace, fault: &str) -> (u64, u64) {
    let load = Load::start(fleet, &["default", "other"], pace);

    let output = run_command(fleet, &[&shift("bad", "45s")[..], &["--wait"]].concat());

    assert_eq!(exit_code(&output), 8, "{output:?}\n{}", status(fleet, 0, "bad"));
    await_state_everywhere(fleet, "bad", "reversed");
    let status = status(fleet, 0, "bad");
    assert_eq!(status["reason"]["kind"], "verdict", "{status}");
    assert_eq!(status["reason"]["fault"], fault, "{status}");
    load.await_answers(20);
    let new = served(fleet, "v2");
    load.await_answers(100);
    assert_eq!(served(fleet, "v2"), new, "the bad version still gets requests");
    load.stop()
}

#[test]
fn version_that_fails_is_reversed_and_every_answer_is_complete() {
    let fleet = two_versions(defect(DefectKind::Fail, Trigger::Always, None), SERVICE_TIME);

    let (complete, incomplete) = expect_reversed(&fleet, LIGHT, "failing");

    assert!(complete > 0);
    assert_eq!(incomplete, 0, "incomplete answers although v1 could answer for v2");
}

#[test]
fn version_that_fails_later_is_reversed() {
    let later = Trigger::From(Instant::now() + Duration::from_secs(10));
    let fleet = two_versions(defect(DefectKind::Fail, later, None), SERVICE_TIME);
    expect_reversed(&fleet, LIGHT, "failing");
}

#[test]
fn version_that_fails_on_one_route_is_reversed() {
    let defects = defect(DefectKind::Fail, Trigger::Always, Some("other".into()));
    expect_reversed(&two_versions(defects, SERVICE_TIME), LIGHT, "failing");
}

#[test]
fn version_that_fails_under_load_is_reversed() {
    let service = Duration::from_millis(20);
    let fleet = two_versions(defect(DefectKind::Fail, Trigger::Running(2), None), service);
    expect_reversed(&fleet, HEAVY, "failing");
}

#[test]
fn version_that_is_slow_is_reversed() {
    let fleet = two_versions(defect(DefectKind::Slow(5.0), Trigger::Always, None), SERVICE_TIME);
    expect_reversed(&fleet, LIGHT, "slow");
}

#[test]
fn bad_version_is_dropped_everywhere_while_the_store_is_down() {
    let fleet = two_versions(defect(DefectKind::Fail, Trigger::Always, None), SERVICE_TIME);

    let output = run_command(&fleet, &shift("bad", "40s"));
    assert_eq!(exit_code(&output), 0, "{output:?}");
    await_state_everywhere(&fleet, "bad", "open");
    fleet.store.update(|fault| fault.outage = true);
    let load = Load::start(&fleet, &["default"], LIGHT);
    await_state_everywhere(&fleet, "bad", "reversed");

    let during = status(&fleet, 0, "bad");
    assert_eq!(during["is_final"], false, "{during}");
    assert_eq!(during["reason"]["kind"], "verdict", "{during}");
    fleet.store.update(|fault| fault.outage = false);
    await_that("the final record", || status(&fleet, 0, "bad")["is_final"] == true);
    assert_eq!(state(&fleet, 0, "bad"), "reversed");
    load.stop();
}

#[test]
fn undecided_move_is_reversed_on_every_host_while_the_store_is_down() {
    let fleet = launch(Plan::from(&shape()));

    let output = run_command(&fleet, &["drain", "munich", "--id", "out", "--deadline", "14s"]);
    assert_eq!(exit_code(&output), 0, "{output:?}");
    await_state_everywhere(&fleet, "out", "open");
    fleet.store.update(|fault| fault.outage = true);

    await_state_everywhere(&fleet, "out", "reversed");
    assert_eq!(status(&fleet, 0, "out")["reason"]["kind"], "deadline");
    fleet.store.update(|fault| fault.outage = false);
    await_that("the final record", || status(&fleet, 0, "out")["is_final"] == true);
    assert_eq!(state(&fleet, 0, "out"), "reversed");
}

#[test]
fn move_completes_after_hosts_are_frozen_and_killed() {
    let mut fleet = launch(Plan::from(&shape()));

    let output = run_command(&fleet, &["drain", "munich", "--id", "out", "--deadline", "40s"]);
    assert_eq!(exit_code(&output), 0, "{output:?}");
    await_state_everywhere(&fleet, "out", "open");
    fleet.hosts[1].freeze();
    fleet.hosts[2].kill();
    fleet.publish_hosts();

    // The drain is not confirmed while a host is frozen, and completes once it is thawed.
    thread::sleep(Duration::from_secs(5));
    fleet.hosts[1].thaw();
    fleet.hosts[2].restart();
    fleet.publish_hosts();
    await_state_everywhere(&fleet, "out", "done");
}

#[test]
fn concurrent_operators_start_one_move() {
    let fleet = launch(Plan::from(&shape()));
    let codes = Mutex::new(Vec::new());

    thread::scope(|scope| {
        for id in ["a", "b", "c", "d"] {
            let (fleet, codes) = (&fleet, &codes);
            scope.spawn(move || {
                let args = ["drain", "munich", "--id", id, "--deadline", "30s"];
                codes.lock().unwrap().push(exit_code(&run_command(fleet, &args)));
            });
        }
    });

    let mut codes = codes.into_inner().unwrap();
    codes.sort_unstable();
    assert_eq!(codes, [0, 6, 6, 6], "one accepted, the others refused with a conflict");
}

#[test]
fn repeated_start_with_the_same_id_changes_nothing() {
    let fleet = launch(Plan::from(&shape()));
    let args = ["drain", "munich", "--id", "out", "--deadline", "30s"];

    let first = run_command(&fleet, &args);
    let before = status(&fleet, 0, "out");
    let second = run_command(&fleet, &args);

    assert_eq!((exit_code(&first), exit_code(&second)), (0, 0));
    assert_eq!(status(&fleet, 0, "out")["start"], before["start"]);
}

/// Waits until the record of a move is final on every host; returns its state, which must be the
/// same everywhere.
fn await_final_everywhere(fleet: &Fleet, id: &str) -> String {
    for host in 0..fleet.hosts.len() {
        await_that("the final record", || status(fleet, host, id)["is_final"] == true);
    }
    let end = state(fleet, 0, id);
    for host in 1..fleet.hosts.len() {
        assert_eq!(state(fleet, host, id), end, "state at {}", fleet.hosts[host].name);
    }
    end
}

#[test]
fn step_is_recorded_once_when_replies_of_the_store_are_lost() {
    let fleet = launch(Plan::from(&shape()));
    let output = run_command(&fleet, &["drain", "munich", "--id", "out", "--deadline", "40s"]);
    assert_eq!(exit_code(&output), 0, "{output:?}");

    fleet.store.update(|fault| fault.lost = 0.7);
    let end = await_final_everywhere(&fleet, "out");

    assert_eq!(end, "done");
    assert_eq!(status(&fleet, 0, "out")["revision"], 2, "expected one step from start to end");
}

#[test]
fn host_frozen_past_the_deadline_agrees_with_the_others() {
    let fleet = launch(Plan::from(&shape()));
    let output = run_command(&fleet, &["drain", "munich", "--id", "out", "--deadline", "14s"]);
    assert_eq!(exit_code(&output), 0, "{output:?}");
    await_state_everywhere(&fleet, "out", "open");

    fleet.hosts[1].freeze();
    for host in [0, 2, 3] {
        await_that("the final record", || status(&fleet, host, "out")["is_final"] == true);
    }
    let end = state(&fleet, 0, "out");
    fleet.hosts[1].thaw();

    assert_eq!(await_final_everywhere(&fleet, "out"), end);
    assert_eq!(status(&fleet, 1, "out")["revision"], 2);
}

/// The lab cannot partition hosts from each other, so those of the data centre are frozen while the
/// move runs.
#[test]
fn data_centre_cut_off_from_the_store_gets_the_outcome_from_other_hosts() {
    let fleet = launch(Plan::from(&shape()).with_network());
    let isolated: Vec<_> = fleet.hosts.iter().filter(|h| &*h.data_centre == "nuremberg").collect();
    assert!(!isolated.is_empty());
    fleet.cut_from_store("nuremberg", true);
    isolated.iter().for_each(|h| h.freeze());

    let output = run_command(&fleet, &["drain", "nuremberg", "--id", "out", "--deadline", "30s"]);
    assert_eq!(exit_code(&output), 0, "{output:?}");
    await_that("the final record", || status(&fleet, 0, "out")["is_final"] == true);
    let end = state(&fleet, 0, "out");
    isolated.iter().for_each(|h| h.thaw());

    // The store is still cut off from them, so the outcome comes from the other hosts.
    assert_eq!(await_final_everywhere(&fleet, "out"), end);
    fleet.cut_from_store("nuremberg", false);
}

#[test]
fn move_of_another_members_service_is_refused() {
    let mut plan = Plan::from(&shape());
    let other = Member { name: "castlegate".into(), ..plan.catalogue.members[0].clone() };
    plan.catalogue.members.push(other);
    let fleet = launch(plan);
    let host = fleet.hosts[0].operators.to_string();
    let retire = |member: &str, key: &str| {
        let mut command = Command::new(PROGRAM);
        command.args(["retire", "--host", &host, "--member", member, "--id", "out"]);
        command.args(["--deadline", "60s", "search-0-munich"]).env("SAPPHIRERACK_KEY", key);
        exit_code(&command.output().unwrap())
    };

    assert_eq!(retire("castlegate", MEMBER_KEY), 5, "accepted from another member");
    assert_eq!(retire("zeugenwerk", "wrong"), 5, "accepted with a wrong key");
    assert_eq!(status(&fleet, 0, "out")["id"], Value::Null, "a refused move has started");
    assert_eq!(retire("zeugenwerk", MEMBER_KEY), 0);
}
