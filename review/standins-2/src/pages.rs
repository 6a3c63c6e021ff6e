//! The store has discarded its history, and searchers leave while a host lists it page by page.

use std::sync::mpsc;
use std::time::Duration;

use crate::client::Clients;
use crate::host::Host;
use crate::record::Record;
use crate::searcher::Searcher;
use crate::store::Store;
use crate::{Held, ZONES, configuration, free_address, pause, start_hosts};

/// Searchers; more than a page of the store.
const SEARCHERS: usize = 60;

/// `DrainMs` of the small deployments.
const DRAIN_S: f64 = 3.0;

const WORK: Duration = Duration::from_millis(11);

/// Longest time until a host has listed the store.
const LIST_LIMIT: Duration = Duration::from_secs(10);

pub fn run(record: &Record, is_troubled: bool) -> Held {
    let store = Store::start(free_address())?;
    store.put("op/config", &configuration(1, &["desk", "other"]));
    let mut searchers = Vec::new();
    for n in 0..SEARCHERS {
        // The first six serve the route that is asked; the ids are in the order of the listing.
        let (id, service) = (format!("i-{n:02}"), if n < 6 { "desk" } else { "other" });
        searchers.push(Searcher::start(&id, service, ZONES[n % 3], WORK, &store, record)?);
    }
    let (_, mut hosts) = start_hosts(&store, 2, record)?;
    let start = |host: &Host| {
        let gap = Duration::from_millis(50);
        Clients::start(&host.name, host.callers, "/desk/1", 4, gap, record)
    };
    let clients: Vec<Clients> = hosts.iter().map(start).collect();
    pause(3.0);
    clients.iter().for_each(|c| c.pause(true));
    pause(0.5);
    let leaving = [searchers[1].clone(), searchers[SEARCHERS - 1].clone()];
    let drain = move || leaving.iter().map(Searcher::drain).fold(0.0, f64::max);
    let acknowledged = if is_troubled {
        let (sender, receiver) = mpsc::channel();
        store.put("op/config", &configuration(2, &["desk", "other"]));
        store.discard_history(move || {
            // The receiver may have given up.
            let _ = sender.send(drain());
        });
        record.say("a configuration, and the store discards its history");
        receiver.recv_timeout(LIST_LIMIT)?
    } else {
        drain()
    };
    pause(DRAIN_S + 0.5);
    clients.iter().for_each(|c| c.pause(false));
    pause(4.0);
    clients.into_iter().for_each(Clients::stop);
    if !hosts.iter_mut().all(Host::runs) {
        return Err("a host has ended".into());
    }
    let arrivals = searchers[1].arrivals();
    let late: Vec<_> = arrivals.iter().filter(|a| a.at > acknowledged + DRAIN_S).collect();
    for arrival in &late {
        let after = arrival.at - acknowledged;
        record.say(&format!("{} runs {after:.1} s after the acknowledgement", arrival.attempt));
    }
    record.say(&format!("DRAIN: {} requests reached the searcher later than DrainMs", late.len()));
    Ok(late.is_empty())
}
