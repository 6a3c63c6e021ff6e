//! All searchers of a service crash and come back, cold, before their entries lapse.

use std::collections::HashMap;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Request, by_status};
use crate::deployment::{Deployment, LONG_IDLE, Plan, searcher};
use crate::record::Record;

/// `WarmupPerS` of the service.
const WARMUP_PER_S: f64 = 10.0;

/// `WarmupS` of the service.
const WARMUP: Duration = Duration::from_secs(3);

/// `WarmupOverage` and `WarmupSlack` of the small sites.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Requests in one second at which a cold searcher crashes: four times `WarmupPerS`.
const COLD_CRASH: usize = 40;

/// Time for which the searchers are down, each time.
const DOWN: Duration = Duration::from_millis(2_000);

/// Time from the first crash to the end.
const AFTERMATH: Duration = Duration::from_secs(20);

/// Time at the end over which the share of served requests is reported.
const LAST: Duration = Duration::from_secs(8);

const CONFIG: &str = r#"{"Version":7,"Routes":[{"Name":"r-desk","Host":"desk.example","Prefix":"/desk/","RouteType":"safe","TimeoutMs":1000,"TargetLatencyMs":100,"Priority":2,"Upstream":"desk","MaxAttempts":2}],"Upstreams":[{"Name":"desk","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":10.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

pub fn run(trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let work = Duration::from_millis(6);
    let ids = ["i-m1", "i-n1", "i-r1"];
    let specs = ids.iter().enumerate().map(|(at, id)| {
        let mut spec = searcher(id, "desk", at, work);
        spec.cold_crash = COLD_CRASH;
        spec
    });
    let plan = Plan {
        hosts: [3, 3, 2],
        seeds: vec![0, 3, 6],
        store_idle: LONG_IDLE,
        config: CONFIG.to_owned(),
        searchers: specs.collect(),
    };
    let mut deployment = match Deployment::start(plan, folder, record) {
        Ok(deployment) => deployment,
        Err(e) => return Verdict::NotRun(e),
    };
    let request = Request {
        method: "GET",
        host: "desk.example",
        path: "/desk/1",
        budget: Duration::from_millis(1_000),
    };
    let clients = deployment.clients(60, 180.0, &request);
    thread::sleep(Duration::from_secs(6));
    let begin = record.now();
    if trouble {
        record.say("all searchers of the service crash");
        deployment.searchers.iter_mut().for_each(|s| s.crash());
        thread::sleep(DOWN);
        record.say("they start again under their ids, cold");
        deployment.searchers.iter_mut().for_each(|s| s.start(WARMUP));
    }
    // A searcher that crashes because it is overrun is down for as long as before.
    let mut due: HashMap<usize, Duration> = HashMap::new();
    let mut crashes = 0;
    while record.now() < begin + AFTERMATH {
        for (at, searcher) in deployment.searchers.iter_mut().enumerate() {
            if searcher.is_alive() {
                continue;
            }
            let start_at = *due.entry(at).or_insert_with(|| {
                crashes += 1;
                record.now() + DOWN
            });
            if record.now() >= start_at {
                due.remove(&at);
                searcher.start(WARMUP);
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    let end = record.now();
    let sent = clients.stop();
    record.say(format_args!("answers by status: {:?}", by_status(&sent)));
    let last: Vec<_> = sent.iter().filter(|s| s.at + LAST > end).collect();
    record.say(format_args!(
        "crashes because of too many requests while cold: {crashes}; served in the last {} s: {} of {}",
        LAST.as_secs(),
        last.iter().filter(|s| s.status == 200).count(),
        last.len()
    ));
    let arrivals = deployment.arrivals();
    let bound = WARMUP_PER_S * OVERAGE + SLACK;
    let mut held = true;
    for id in ids {
        let cold: Vec<Duration> =
            arrivals.iter().filter(|a| a.searcher == id && a.cold).map(|a| a.at).collect();
        let in_second = |from: &Duration| {
            cold.iter().filter(|a| **a >= *from && **a < *from + Duration::from_secs(1)).count()
        };
        let most = cold.iter().map(in_second).max().unwrap_or(0);
        record.say(format_args!(
            "{id}: {} requests, {} of them while it was cold, {most} of these in one second at the \
             most; bound {bound}",
            arrivals.iter().filter(|a| a.searcher == id).count(),
            cold.len()
        ));
        held &= most as f64 <= bound;
    }
    let words = ["host_found", "target_seen", "store_lost", "event=start"];
    if let Err(e) = deployment.stop(&words) {
        return Verdict::NotRun(e);
    }
    Verdict::from(held)
}
