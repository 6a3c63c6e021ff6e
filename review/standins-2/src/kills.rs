//! A host that gathers parts of queries for another one is killed while answers of searchers are lost.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::client::{Clients, HOST_NAME};
use crate::host::Host;
use crate::record::Record;
use crate::searcher::Searcher;
use crate::store::Store;
use crate::{Held, free_address, pause, start_hosts};

/// Shards, and searchers of each. The first half of the shards has its searchers in zone b, the other
/// one in zone c.
const SHARDS: usize = 15;
const SEARCHERS: usize = 3;

/// Hosts in each zone.
const HOSTS: u8 = 4;

const MAX_ATTEMPTS: usize = 2;

/// Requests that may run on more searchers than `MAX_ATTEMPTS`.
const ALLOWED: usize = 3;

const WORK: Duration = Duration::from_millis(11);

/// Answers of every second searcher are lost at this rate, for this time, again and again.
const LOST_PERCENT: u64 = 40;
const LOST_S: f64 = 4.0;

/// Time from the first lost answers to the kill, and from that until the process starts again.
const KILL_AFTER_S: f64 = 1.5;
const DOWN_S: f64 = 1.0;

/// Calm between two rounds.
const CALM_S: f64 = 1.5;

const ROUNDS: usize = 16;

fn shard(n: usize) -> String {
    format!("shard{n}")
}

fn zone(shard: usize) -> &'static str {
    if shard < SHARDS / 2 { "b" } else { "c" }
}

fn configuration() -> String {
    let names: Vec<String> = (0..SHARDS).map(|n| format!("\"{}\"", shard(n))).collect();
    let service = |name: &String| {
        format!(
            r#"{{"Name":{name},"HealthPath":"/health","MaxConns":26,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":0.0}}"#
        )
    };
    let services: Vec<String> = names.iter().map(service).collect();
    format!(
        r#"{{"Version":1,"Routes":[{{"Name":"sweep","Host":"{HOST_NAME}","Prefix":"/sweep/","RouteType":"safe","TimeoutMs":1000,"TargetLatencyMs":100,"Priority":1,"MaxAttempts":{MAX_ATTEMPTS},"Gather":[{}],"TopK":5,"MinCoverage":0.89}}],"Upstreams":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        names.join(","),
        services.join(","),
    )
}

fn lose(searchers: &[(usize, Searcher)], percentage: u64) {
    searchers.iter().skip(1).step_by(2).for_each(|(_, s)| s.lose_answers(percentage));
}

/// The hosts of zone c, a third of all, are killed at the same moment and start again.
pub fn run(record: &Record, is_troubled: bool) -> Held {
    let store = Store::start(free_address())?;
    store.put("op/config", &configuration());
    let mut searchers: Vec<(usize, Searcher)> = Vec::new();
    for n in 0..SHARDS {
        for m in 0..SEARCHERS {
            let id = format!("i-{n}-{m}");
            let searcher = Searcher::start(&id, &shard(n), zone(n), WORK, &store, record)?;
            searchers.push((n, searcher));
        }
    }
    let (deployment, mut hosts) = start_hosts(&store, HOSTS, record)?;
    let start = |host: &Host| {
        let gap = Duration::from_millis(40);
        Clients::start(&host.name, host.callers, "/sweep/1", 3, gap, record)
    };
    let clients: Vec<Clients> = hosts.iter().filter(|h| h.zone != "c").map(start).collect();
    pause(5.0);
    for _ in 0..ROUNDS {
        lose(&searchers, if is_troubled { LOST_PERCENT } else { 0 });
        pause(KILL_AFTER_S);
        let killed = hosts.iter_mut().filter(|h| is_troubled && h.zone == "c");
        let mut killed: Vec<&mut Host> = killed.collect();
        killed.iter_mut().for_each(|host| host.kill());
        record.say(&format!("{} hosts are killed", killed.len()));
        pause(DOWN_S);
        for host in killed {
            deployment.restart(host)?;
        }
        pause(LOST_S - KILL_AFTER_S - DOWN_S);
        lose(&searchers, 0);
        pause(CALM_S);
    }
    pause(1.0);
    let answered: usize = clients.iter().map(Clients::answered).sum();
    clients.into_iter().for_each(Clients::stop);
    record.say(&format!("{answered} answers"));
    if answered == 0 {
        return Err("no query was answered".into());
    }
    let mut ran: BTreeMap<(String, usize), BTreeSet<String>> = BTreeMap::new();
    for (n, searcher) in &searchers {
        for arrival in searcher.arrivals() {
            ran.entry((arrival.attempt, *n)).or_default().insert(searcher.id.clone());
        }
    }
    let over = ran.iter().filter(|(_, ids)| ids.len() > MAX_ATTEMPTS);
    let mut requests = BTreeSet::new();
    for ((attempt, n), ids) in over {
        record.line(&format!("{attempt} ran on {ids:?} of {}", shard(*n)));
        requests.insert(attempt.clone());
    }
    record.say(&format!(
        "BUDGET: {} requests ran on more than {MAX_ATTEMPTS} searchers of a shard, {ALLOWED} may",
        requests.len()
    ));
    Ok(requests.len() <= ALLOWED)
}
