//! The clock of a searcher's machine is set back between two starts of the searcher under one id;
//! later the searcher drains.

use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Request, by_status};
use crate::deployment::{Deployment, LONG_IDLE, Plan, searcher};
use crate::record::Record;

/// `DrainMs` of the small sites.
const DRAIN: Duration = Duration::from_millis(3_000);

/// `ContactMs` of the small sites; the calm before the drain is twice as long.
const CONTACT: Duration = Duration::from_millis(4_000);

/// By how much the clock is ahead at first.
const AHEAD: Duration = Duration::from_millis(2_400);

/// Time from the first start of the searcher to its crash, and from there to its second start.
const FIRST_RUN: Duration = Duration::from_millis(1_000);
const DOWN: Duration = Duration::from_millis(500);

/// Time for which the searcher serves after it has reported `draining`, before it exits.
const SERVES_ON: Duration = Duration::from_secs(6);

/// Id of the searcher.
const DRAINING: &str = "i-n3";

const CONFIG: &str = r#"{"Version":7,"Routes":[{"Name":"r-desk","Host":"desk.example","Prefix":"/desk/","RouteType":"safe","TimeoutMs":4000,"TargetLatencyMs":400,"Priority":2,"Upstream":"desk","MaxAttempts":2}],"Upstreams":[{"Name":"desk","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let work = Duration::from_millis(20);
    let ids = ["i-m1", "i-m2", "i-n1", "i-n2", "i-r1", "i-r2"];
    let specs = ids.iter().enumerate();
    let mut specs: Vec<_> = specs.map(|(at, id)| searcher(id, "desk", at / 2, work)).collect();
    let mut late_start = searcher(DRAINING, "desk", 1, work);
    late_start.starts_late = true;
    specs.push(late_start);
    let plan = Plan {
        hosts: [3, 3, 2],
        seeds: vec![0, 3, 6],
        store_idle: LONG_IDLE,
        config: CONFIG.to_owned(),
        searchers: specs,
    };
    let mut deployment = match Deployment::start(plan, folder, record) {
        Ok(deployment) => deployment,
        Err(e) => return Verdict::NotRun(e),
    };
    let request = Request {
        method: "GET",
        host: "desk.example",
        path: "/desk/1",
        budget: Duration::from_millis(4_000),
    };
    let clients = deployment.clients(30, 120.0, &request);
    thread::sleep(Duration::from_secs(2));
    let searcher = deployment.searchers.last_mut().unwrap();
    if trouble {
        record.say(format_args!("the clock of {DRAINING} is {} ms ahead", AHEAD.as_millis()));
        searcher.ahead = AHEAD;
    }
    searcher.start(Duration::ZERO);
    thread::sleep(FIRST_RUN);
    searcher.crash();
    searcher.ahead = Duration::ZERO;
    thread::sleep(DOWN);
    record.say(format_args!("{DRAINING} starts again under its id, with the right time of day"));
    searcher.start(Duration::ZERO);
    thread::sleep(CONTACT * 2);
    let searcher = deployment.searchers.last_mut().unwrap();
    let reported = searcher.report_draining();
    record.say(format_args!("{DRAINING} has reported draining at {} ms", reported.as_millis()));
    thread::sleep(SERVES_ON);
    searcher.crash();
    record.say(format_args!("{DRAINING} exits"));
    thread::sleep(Duration::from_millis(500));
    let sent = clients.stop();
    record.say(format_args!("answers by status: {:?}", by_status(&sent)));
    let arrivals = deployment.arrivals();
    let at_searcher = || arrivals.iter().filter(|a| a.searcher == DRAINING).map(|a| a.at);
    let before = at_searcher().filter(|at| *at < reported).count();
    let late = at_searcher().filter(|at| *at > reported + DRAIN).count();
    let last = at_searcher().max().unwrap_or_default().saturating_sub(reported);
    record.say(format_args!(
        "requests at {DRAINING}: {before} before it drained, {late} later than {} ms after, the last \
         {} ms after",
        DRAIN.as_millis(),
        last.as_millis()
    ));
    let words = ["target_missing", "target_gone", "target_seen", "store_lost", "event=start"];
    if let Err(e) = deployment.stop(&words) {
        return Verdict::NotRun(e);
    }
    if before == 0 {
        return Verdict::NotRun("no request reached the searcher".to_owned());
    }
    Verdict::from(late == 0)
}
