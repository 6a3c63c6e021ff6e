//! A searcher leaves without having reported `draining` while the hosts that read the store for
//! all others have just been lost.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Request, by_status};
use crate::deployment::{Deployment, LONG_IDLE, Plan, searcher};
use crate::record::Record;

/// `DrainMs` of the small sites.
const DRAIN: Duration = Duration::from_millis(3_000);

/// Positions of the first host of each zone, which are the seeds.
const SEEDS: [usize; 3] = [0, 3, 6];

/// Time for which the killed hosts are down.
const DOWN: Duration = Duration::from_millis(3_500);

/// Time for which the searcher serves after its removal, before it exits.
const SERVES_ON: Duration = Duration::from_millis(3_900);

/// Id of the searcher that leaves.
const LEAVING: &str = "i-n1";

const CONFIG: &str = r#"{"Version":7,"Routes":[{"Name":"r-desk","Host":"desk.example","Prefix":"/desk/","RouteType":"unsafe","TimeoutMs":4000,"TargetLatencyMs":400,"Priority":2,"Upstream":"desk","MaxAttempts":2}],"Upstreams":[{"Name":"desk","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":0.0}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#;

/// What differs between the cases of this module.
pub struct Setup {
    /// Positions of the hosts that are killed.
    pub killed: &'static [usize],
    /// Time after which the store closes an idle connection.
    pub store_idle: Duration,
    /// Calm before the disruption.
    pub calm: Duration,
}

/// All seeds are killed.
pub const SEEDS_LOST: Setup =
    Setup { killed: &SEEDS, store_idle: LONG_IDLE, calm: Duration::from_secs(8) };

/// Only the host that reads the store is killed, and the store closes idle connections.
pub const READER_LOST: Setup =
    Setup { killed: &[0], store_idle: Duration::from_secs(10), calm: Duration::from_secs(14) };

/// Runs a case; `setup` tells which.
pub fn run(setup: &Setup, trouble: bool, folder: &Path, record: &Record) -> Verdict {
    let work = Duration::from_millis(100);
    let ids = ["i-m1", "i-m2", LEAVING, "i-n2", "i-r1", "i-r2"];
    let specs = ids.iter().enumerate();
    let specs = specs.map(|(at, id)| searcher(id, "desk", at / 2, work));
    let plan = Plan {
        hosts: [3, 3, 2],
        seeds: SEEDS.to_vec(),
        store_idle: setup.store_idle,
        config: CONFIG.to_owned(),
        searchers: specs.collect(),
    };
    let mut deployment = match Deployment::start(plan, folder, record) {
        Ok(deployment) => deployment,
        Err(e) => return Verdict::NotRun(e),
    };
    let killed: Vec<SocketAddr> =
        setup.killed.iter().map(|at| deployment.hosts[*at].callers).collect();
    let request = Request {
        method: "POST",
        host: "desk.example",
        path: "/desk/1",
        budget: Duration::from_millis(4_000),
    };
    let clients = deployment.clients(60, 80.0, &request);
    thread::sleep(setup.calm);
    if trouble {
        for at in setup.killed {
            let host = &mut deployment.hosts[*at];
            record.say(format_args!("SIGKILL to {}", host.name));
            host.kill();
        }
    }
    thread::sleep(Duration::from_millis(100));
    let leaving = deployment.searchers.iter().position(|s| s.spec.id == LEAVING).unwrap();
    let removed = deployment.searchers[leaving].leave_abruptly();
    record.say(format_args!("entry of {LEAVING} removed at {} ms", removed.as_millis()));
    thread::sleep(DOWN - Duration::from_millis(100));
    if trouble {
        for at in setup.killed {
            let host = &mut deployment.hosts[*at];
            record.say(format_args!("{} starts again", host.name));
            host.restart();
        }
    }
    thread::sleep(SERVES_ON.saturating_sub(record.now().saturating_sub(removed)));
    deployment.searchers[leaving].crash();
    record.say(format_args!("{LEAVING} exits"));
    thread::sleep(Duration::from_secs(2));
    let sent = clients.stop();
    record.say(format_args!("answers by status: {:?}", by_status(&sent)));
    let sent: HashMap<&str, (SocketAddr, u16)> =
        sent.iter().map(|s| (s.attempt.as_str(), (s.host, s.status))).collect();
    let arrivals = deployment.arrivals();
    let before = arrivals.iter().filter(|a| a.searcher == LEAVING && a.at < removed).count();
    // Only requests that hosts took which ran all the while.
    let (mut late, mut lost, mut last) = (0, 0, Duration::ZERO);
    for arrival in arrivals.iter().filter(|a| a.searcher == LEAVING && a.at > removed + DRAIN) {
        let Some((host, status)) = sent.get(arrival.attempt.as_str()) else { continue };
        if killed.contains(host) {
            continue;
        }
        late += 1;
        lost += u32::from(*status != 200);
        last = arrival.at - removed;
        record.line(format_args!(
            "late: {} by {host} at {LEAVING} {} ms after the removal, answered {status}",
            arrival.attempt,
            last.as_millis()
        ));
    }
    record.say(format_args!(
        "requests at {LEAVING}: {before} before the removal, {late} by hosts that ran all the while \
         and later than {} ms after it, the last {} ms after it; {lost} of these ran and were not \
         answered with success",
        DRAIN.as_millis(),
        last.as_millis()
    ));
    let words = ["target_missing", "target_gone", "store_listed", "store_lost", "event=start"];
    if let Err(e) = deployment.stop(&words) {
        return Verdict::NotRun(e);
    }
    if before == 0 {
        return Verdict::NotRun("no request reached the searcher".to_owned());
    }
    Verdict::from(late == 0)
}
