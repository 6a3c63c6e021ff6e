//! All hosts lose power, and those that the others know as seeds come back later; meanwhile the
//! searchers of a service are replaced by cold ones.

use std::time::Duration;

use crate::client::{Clients, HOST_NAME};
use crate::host::Host;
use crate::record::Record;
use crate::searcher::Searcher;
use crate::store::Store;
use crate::{Held, ZONES, free_address, pause, start_hosts};

/// Hosts in each zone; the first one of each is a seed.
const HOSTS: u8 = 4;
const SEEDS: usize = 3;

/// How long a searcher is cold, and the requests a second that it then tolerates.
const WARMUP_S: f64 = 3.0;
const WARMUP_PER_S: f64 = 10.0;

/// `WarmupOverage` and `WarmupSlack` of the small deployments.
const OVERAGE: f64 = 1.5;
const SLACK: f64 = 5.0;

/// Time without power.
const DOWN_S: f64 = 1.4;

/// Time from the first searchers' draining to the start of the next ones.
const RELEASE_S: f64 = 7.0;

const WORK: Duration = Duration::from_millis(11);

fn configuration() -> String {
    format!(
        r#"{{"Version":1,"Routes":[{{"Name":"desk","Host":"{HOST_NAME}","Prefix":"/desk/","RouteType":"safe","TimeoutMs":2000,"TargetLatencyMs":400,"Priority":1,"MaxAttempts":2,"Upstream":"desk"}}],"Upstreams":[{{"Name":"desk","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false,"WarmupS":{WARMUP_S},"WarmupPerS":{WARMUP_PER_S}}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#
    )
}

/// Most requests that reached a searcher in one second while it was cold.
fn most_in_a_second(searcher: &Searcher, start: f64) -> usize {
    let arrivals = searcher.arrivals();
    let times: Vec<f64> =
        arrivals.iter().map(|a| a.at).filter(|at| *at < start + WARMUP_S).collect();
    let in_second = |from: &f64| times.iter().filter(|t| **t >= *from && **t < from + 1.0).count();
    times.iter().map(in_second).max().unwrap_or(0)
}

pub fn run(record: &Record, is_troubled: bool) -> Held {
    let store = Store::start(free_address())?;
    store.put("op/config", &configuration());
    let mut first = Vec::new();
    for zone in ZONES {
        let id = format!("i-first-{zone}");
        first.push(Searcher::start(&id, "desk", zone, WORK, &store, record)?);
    }
    let (deployment, mut hosts) = start_hosts(&store, HOSTS, record)?;
    let start = |host: &Host| {
        let gap = Duration::from_millis(40);
        Clients::start(&host.name, host.callers, "/desk/1", 2, gap, record)
    };
    let clients: Vec<Clients> = hosts[SEEDS..].iter().map(start).collect();
    pause(3.0);
    for searcher in &first {
        searcher.drain();
    }
    if is_troubled {
        hosts.iter_mut().for_each(Host::kill);
        record.say("all hosts lose power");
        pause(DOWN_S);
        for host in &mut hosts[SEEDS..] {
            deployment.restart(host)?;
        }
        record.say("all hosts but the seeds are back");
        pause(RELEASE_S - DOWN_S);
    } else {
        pause(RELEASE_S);
    }
    first.iter().for_each(Searcher::leave);
    pause(1.0);
    let mut next = Vec::new();
    for zone in ZONES {
        let (id, at) = (format!("i-next-{zone}"), record.now());
        let searcher = Searcher::start_cold(&id, "desk", zone, WORK, WARMUP_S, &store, record)?;
        next.push((searcher, at));
    }
    record.say("three searchers start, cold");
    pause(WARMUP_S + 3.0);
    let answered: usize = clients.iter().map(Clients::answered).sum();
    clients.into_iter().for_each(Clients::stop);
    record.say(&format!("{answered} answers"));
    let bound = WARMUP_PER_S * OVERAGE + SLACK;
    let mut held = true;
    for (searcher, start) in &next {
        let most = most_in_a_second(searcher, *start);
        held &= most as f64 <= bound;
        let id = &searcher.id;
        record.say(&format!("FAILBACK: {id} gets {most} requests in one second, bound {bound}"));
    }
    if next.iter().all(|(s, _)| s.arrivals().is_empty()) {
        return Err("no request reached the new searchers".into());
    }
    Ok(held)
}
