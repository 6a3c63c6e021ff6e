//! The stand-in for a target follows its configured behaviour and injects its faults.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Barrier;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sapphirerack_catalogue::Span;
use sapphirerack_lab::fleet::LOOPBACK;
use sapphirerack_lab::target::{
    Behaviour, BookingFault, BookingKind, ColdStart, Defect, DefectKind, Overload, ReplyFault,
    ReplyKind, TargetServer, Trigger,
};
use serde_json::Value;

const LONG: Duration = Duration::from_secs(20);
const SHORT: Duration = Duration::from_millis(150);

fn target(change: impl FnOnce(&mut Behaviour)) -> TargetServer {
    let mut behaviour = Behaviour { service: Duration::ZERO, ..Behaviour::default() };
    change(&mut behaviour);
    TargetServer::start(LOOPBACK, behaviour)
}

fn agent(timeout: Duration) -> ureq::Agent {
    let config =
        ureq::Agent::config_builder().http_status_as_error(false).timeout_global(Some(timeout));
    config.build().into()
}

/// Status and body of the response; `None` without a complete one.
fn send(address: SocketAddr, path: &str, headers: &[(&str, &str)]) -> Option<(u16, Value)> {
    let agent = agent(Duration::from_secs(5));
    let mut request = agent.post(format!("http://{address}/{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut response = request.send("query").ok()?;
    let body = response.body_mut().read_to_vec().ok()?;
    Some((response.status().as_u16(), serde_json::from_slice(&body).unwrap_or_default()))
}

fn search(target: &TargetServer, request: &str) -> Option<(u16, Value)> {
    send(target.address(), "search", &[("x-request-id", request), ("x-snapshot", "1")])
}

/// Responses to `count` searches that start at the same time.
fn search_concurrently(target: &TargetServer, count: usize) -> Vec<Option<(u16, Value)>> {
    let barrier = Barrier::new(count);
    let one = |i: usize| {
        barrier.wait();
        search(target, &i.to_string())
    };
    thread::scope(|scope| {
        let one = &one;
        let all: Vec<_> = (0..count).map(|i| scope.spawn(move || one(i))).collect();
        all.into_iter().map(|t| t.join().unwrap()).collect()
    })
}

fn count_status(answers: &[Option<(u16, Value)>], status: u16) -> usize {
    answers.iter().flatten().filter(|(s, _)| *s == status).count()
}

fn await_condition(failure: &str, condition: impl Fn() -> bool) {
    let limit = Instant::now() + LONG;
    while !condition() {
        assert!(Instant::now() < limit, "{failure}");
        thread::sleep(Duration::from_millis(2));
    }
}

#[test]
fn target_runs_up_to_its_slots_and_sheds_beyond_its_queue() {
    let target = target(|b| {
        (b.slots, b.queue) = (2, 3);
        b.service = LONG;
    });

    let answers = thread::scope(|scope| {
        let answers = scope.spawn(|| search_concurrently(&target, 9));
        await_condition("not all requests were received", || target.counters().received == 9);
        await_condition("not all excess requests were shed", || target.counters().shed == 4);
        for i in 0..9 {
            send(target.address(), &format!("cancel/{i}"), &[]).unwrap();
        }
        answers.join().unwrap()
    });

    let counters = target.counters();
    assert_eq!((counters.most_running, counters.most_outstanding, counters.cancelled), (2, 5, 5));
    let shed: Vec<_> = answers.iter().flatten().filter(|(s, _)| *s == 503).collect();
    assert_eq!(shed.len(), 4);
    assert!(shed.iter().all(|(_, body)| body["not_run"] == true));
}

#[test]
fn cold_target_fails_requests_beyond_its_capacity_and_warms_up() {
    let cold =
        ColdStart { capacity: 1, warmup_requests: 3, slowdown: 1.0, overload: Overload::Fail };
    let target = target(|b| {
        b.service = LONG;
        b.cold = Some(cold);
    });

    thread::scope(|scope| {
        let first = scope.spawn(|| search(&target, "first"));
        await_condition("the first request did not start", || target.counters().most_running == 1);
        let answers = search_concurrently(&target, 3);
        assert_eq!(count_status(&answers, 500), 3);
        send(target.address(), "cancel/first", &[]).unwrap();
        assert_eq!(first.join().unwrap().unwrap().0, 499);
    });

    assert_eq!(target.counters().overloads, 3);
    assert_eq!(target.counters().most_cold, 2);
    target.update(|b| b.service = Duration::ZERO);
    while target.is_cold() {
        assert_eq!(search(&target, "warm").unwrap().0, 200);
    }
    assert_eq!(target.counters().served, 3);
}

#[test]
fn overloaded_cold_target_crashes_and_restarts_cold() {
    let overload = Overload::Crash(Duration::from_millis(100));
    let target = target(|b| b.service = LONG);
    target.go_cold(ColdStart { capacity: 1, warmup_requests: 100, slowdown: 1.0, overload });

    thread::scope(|scope| {
        let first = scope.spawn(|| search(&target, "first"));
        await_condition("the first request did not start", || target.counters().most_running == 1);
        assert!(search(&target, "second").is_none());
        assert!(first.join().unwrap().is_none(), "the running request is lost");
    });

    target.update(|b| b.service = Duration::ZERO);
    await_condition("the target did not restart", || search(&target, "again").is_some());
    assert!(target.is_cold());
}

#[test]
fn connections_beyond_the_limit_are_refused() {
    let target = target(|b| b.connections = 2);
    let open: Vec<_> =
        (0..2).map(|_| std::net::TcpStream::connect(target.address()).unwrap()).collect();
    await_condition("the open connections were not counted", || target.connections() == 2);

    let third = search(&target, "third");

    assert!(third.is_none());
    assert!(target.refused() >= 1);
    drop(open);
    await_condition("the connections were not closed", || target.connections() == 0);
    assert_eq!(search(&target, "again").unwrap().0, 200);
}

#[test]
fn request_past_its_deadline_is_not_run() {
    let target = target(|_| {});
    let past = SystemTime::now().duration_since(UNIX_EPOCH).unwrap() - Duration::from_secs(1);
    let past = past.as_micros().to_string();

    let headers = [("x-request-id", "1"), ("x-snapshot", "1"), ("x-deadline-us", &past)];
    let (status, body) = send(target.address(), "search", &headers).unwrap();

    assert_eq!((status, &body["not_run"]), (504, &Value::Bool(true)));
    assert_eq!((target.counters().expired, target.served()), (1, 0));
}

#[test]
fn cancellation_ends_running_and_waiting_requests() {
    let target = target(|b| {
        b.slots = 1;
        b.service = LONG;
    });
    thread::scope(|scope| {
        let first = scope.spawn(|| search(&target, "first").unwrap());
        await_condition("the first request did not start", || {
            target.counters().most_outstanding == 1
        });
        let second = scope.spawn(|| search(&target, "second").unwrap());
        await_condition("the second request was not queued", || {
            target.counters().most_outstanding == 2
        });

        send(target.address(), "cancel/second", &[]).unwrap();
        let (status, body) = second.join().unwrap();
        assert_eq!((status, &body["not_run"]), (499, &Value::Bool(true)));

        send(target.address(), "cancel/first", &[]).unwrap();
        let (status, body) = first.join().unwrap();
        assert_eq!((status, &body["not_run"]), (499, &Value::Bool(false)));
    });
    assert_eq!((target.counters().cancelled, target.served()), (2, 0));
}

#[test]
fn defects_follow_their_trigger_and_route() {
    let defect = |trigger, route: Option<&str>| Defect {
        kind: DefectKind::Fail,
        trigger,
        route: route.map(Into::into),
        share: 1.0,
    };
    let status = |target: &TargetServer, route: &str| {
        let headers = [("x-request-id", "1"), ("x-snapshot", "1"), ("x-route", route)];
        send(target.address(), "search", &headers).unwrap().0
    };
    let later = Instant::now() + Duration::from_secs(3600);
    let target = target(|b| {
        b.defects = vec![
            defect(Trigger::Always, Some("verify")),
            defect(Trigger::From(later), None),
            defect(Trigger::Running(2), None),
        ];
    });

    assert_eq!(status(&target, "verify"), 500);
    assert_eq!(status(&target, "search"), 200);

    target.update(|b| {
        b.defects = vec![defect(Trigger::Running(2), None)];
        b.service = SHORT;
    });
    assert_eq!(status(&target, "search"), 200);
    target.update(|b| b.service = LONG);
    thread::scope(|scope| {
        scope.spawn(|| search(&target, "first"));
        await_condition("the first request was not received", || target.counters().received == 4);
        target.update(|b| b.service = Duration::ZERO);
        assert_eq!(status(&target, "search"), 500, "two requests are running");
        send(target.address(), "cancel/first", &[]).unwrap();
    });

    target.update(|b| b.defects = vec![defect(Trigger::From(Instant::now()), None)]);
    assert_eq!(status(&target, "search"), 500);
}

#[test]
fn reply_faults_are_injected() {
    let target = target(|_| {});
    let set = |kind| target.update(|b| b.replies = vec![ReplyFault { kind, share: 1.0 }]);

    set(ReplyKind::Garbage);
    assert_eq!(search(&target, "1").unwrap(), (200, Value::Null));
    set(ReplyKind::Truncated);
    assert!(search(&target, "1").is_none());
    set(ReplyKind::Reset);
    assert!(search(&target, "1").is_none());
    set(ReplyKind::WrongSnapshot);
    assert_eq!(search(&target, "1").unwrap().1["snapshot"], 2);
    set(ReplyKind::WrongSpan);
    assert_eq!(search(&target, "1").unwrap().1["span"]["end"], 32_768);
    set(ReplyKind::WrongRequest);
    assert_ne!(search(&target, "1").unwrap().1["request"], "1");
    set(ReplyKind::Huge(100_000));
    let (_, body) = search(&target, "1").unwrap();
    assert!(body["results"][0]["padding"].as_str().unwrap().len() == 100_000);
    set(ReplyKind::Hang);
    let url = format!("http://{}/search", target.address());
    let request = agent(SHORT).post(url).header("x-snapshot", "1");
    let hung = request.send("q").and_then(|mut r| r.body_mut().read_to_vec());
    assert!(hung.is_err());
}

#[test]
fn snapshots_can_be_replaced_and_repartitioned() {
    let target = target(|b| b.snapshots = vec![1, 2]);

    target.update(|b| {
        b.snapshots = vec![2, 3];
        b.repartitioned = vec![(3, Span::new(0, 100))];
    });

    let headers = [("x-request-id", "1"), ("x-snapshot", "3")];
    let (_, body) = send(target.address(), "search", &headers).unwrap();
    assert_eq!((&body["snapshot"], &body["span"]["end"]), (&3.into(), &100.into()));
    let (status, body) = search(&target, "1").unwrap();
    assert_eq!((status, &body["held"]), (409, &serde_json::json!([2, 3])));
}

#[test]
fn health_endpoint_reports_stale_and_false_values() {
    let target = target(|b| b.health.lag = Duration::from_secs(3600));
    let health = || {
        let mut response = ureq::get(format!("http://{}/health", target.address())).call().unwrap();
        let body = response.body_mut().read_to_vec().unwrap();
        serde_json::from_slice::<Value>(&body).unwrap()
    };
    assert_eq!(health()["healthy"], true);

    target.update(|b| b.draining = true);
    assert_eq!(health()["healthy"], true, "the stale health is reported");

    target.update(|b| b.health.lag = Duration::ZERO);
    assert_eq!(health()["healthy"], false);
    target.update(|b| b.health.healthy = Some(true));
    assert_eq!(health()["healthy"], true, "the false health is reported");
    assert_eq!(search(&target, "1").unwrap().0, 503);
}

#[test]
fn bookings_run_once_per_request_and_are_recorded() {
    let target = target(|_| {});
    let book = |request: &str| {
        let headers = [("x-request-id", request), ("x-idempotency-key", "k")];
        send(target.address(), "book", &headers)
    };
    let set = |kind| target.update(|b| b.bookings = vec![BookingFault { kind, share: 1.0 }]);

    assert_eq!(book("1").unwrap().1["booking"], 1);
    assert_eq!(book("2").unwrap().1["booking"], 2, "bookings are not deduplicated");
    set(BookingKind::ResetBefore);
    assert!(book("3").is_none());
    set(BookingKind::ResetAfter);
    assert!(book("4").is_none());
    set(BookingKind::FailAfter);
    assert_eq!(book("5").unwrap().0, 500);

    let requests: Vec<_> = target.executions().into_iter().map(|e| e.request).collect();
    assert_eq!(requests, ["1", "2", "4", "5"]);
    assert!(target.executions().iter().all(|e| e.key == "k"));
}
