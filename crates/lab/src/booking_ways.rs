//! How bookings fare by each kind of key while parts of the setup are away.

use std::path::Path;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;

use crate::fleet::{Fleet, Plan, Shape};
use crate::history::CallOutcome;
use crate::soak_calls::{Caller, Host};

const CALLERS: u64 = 24;
const PER_CALLER: u32 = 40;

/// Time between two bookings of one caller.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time after the start at which a part goes away, and for which it is away.
const FAULT_AFTER: Duration = Duration::from_secs(2);
const FAULT_TIME: Duration = Duration::from_secs(4);

/// Calls for one booking at most.
const TRIES: u32 = 3;

/// Where the claim of a booking stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimMode {
    /// In the store, one write at a time for each partition, with a pause between writes.
    StorePaced,
    /// In the store, one write at a time for each partition, without a pause.
    StoreAtOnce,
    /// At the host that handed the key out.
    Host,
}

/// What is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Nothing.
    Nothing,
    /// The store.
    Store,
    /// One data centre, from the store.
    DataCentre,
    /// Every host for a planned stop, one after another.
    Rolling,
}

/// How bookings fared.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    way: ClaimMode,
    away: Outage,
    bookings: u64,
    at_once: f64,
    served: f64,
    not_run: u64,
    unknown: u64,
    p50_ms: f64,
    p99_ms: f64,
    writes: f64,
}

struct Tally {
    latency: Histogram<u64>,
    at_once: u64,
    served: u64,
    not_run: u64,
    unknown: u64,
}

/// Measures every way in every situation with the shipped binary `program`.
pub fn run(program: &Path, report: &mut dyn FnMut(&Measurement)) {
    for away in [Outage::Nothing, Outage::Store, Outage::DataCentre, Outage::Rolling] {
        for way in [ClaimMode::StorePaced, ClaimMode::StoreAtOnce, ClaimMode::Host] {
            report(&measure(program, way, away));
        }
    }
}

fn measure(program: &Path, way: ClaimMode, away: Outage) -> Measurement {
    let mut fleet = start(program, way);
    let hosts: Vec<Host> = fleet.hosts.iter().map(Host::of).collect();
    let latency = Histogram::new(3).unwrap();
    let tally = Tally { latency, at_once: 0, served: 0, not_run: 0, unknown: 0 };
    let tally = Mutex::new(tally);
    let before = fleet.store.calls().writes;
    thread::scope(|scope| {
        for seed in 1..=CALLERS {
            let (hosts, tally) = (&hosts, &tally);
            scope.spawn(move || load(Caller::new(seed, hosts), seed, way, tally));
        }
        thread::sleep(FAULT_AFTER);
        disturb(&mut fleet, away);
    });
    let writes = fleet.store.calls().writes - before;
    let tally = tally.into_inner().unwrap();
    let bookings = CALLERS * u64::from(PER_CALLER);
    let share = |n: u64| n as f64 / bookings as f64;
    let millis = |q| tally.latency.value_at_quantile(q) as f64 / 1e3;
    Measurement {
        way,
        away,
        bookings,
        at_once: share(tally.at_once),
        served: share(tally.served),
        not_run: tally.not_run,
        unknown: tally.unknown,
        p50_ms: millis(0.5),
        p99_ms: millis(0.99),
        writes: share(writes),
    }
}

fn start(program: &Path, way: ClaimMode) -> Fleet {
    let shape = Shape {
        data_centres: ["munich", "nuremberg", "augsburg"].map(Into::into).to_vec(),
        hosts: 2,
        shards: 3,
        slots: 4,
        service: Duration::from_millis(3),
        stragglers: 0.0,
        seed: 1,
    };
    let pace = if way == ClaimMode::StoreAtOnce { "0ms" } else { "200ms" };
    let settings = json!({ "bookings": { "pace": pace }, "stop": { "linger": "1s" } });
    let plan = Plan::from(&shape).with_settings(settings).with_network();
    let fleet = Fleet::launch(program, plan);
    for centre in &fleet.catalogue.data_centres {
        fleet.store_endpoint(&centre.name).update(|f| f.latency = Duration::from_millis(3));
    }
    fleet.apply(program);
    fleet.await_ready();
    fleet
}

fn disturb(fleet: &mut Fleet, away: Outage) {
    let centres: Vec<_> = fleet.catalogue.data_centres.iter().map(|d| d.name.clone()).collect();
    match away {
        Outage::Nothing => {}
        Outage::Store => {
            centres.iter().for_each(|c| fleet.cut_from_store(c, true));
            thread::sleep(FAULT_TIME);
            centres.iter().for_each(|c| fleet.cut_from_store(c, false));
        }
        Outage::DataCentre => {
            fleet.cut_from_store(&centres[0], true);
            thread::sleep(FAULT_TIME);
            fleet.cut_from_store(&centres[0], false);
        }
        Outage::Rolling => {
            for host in &mut fleet.hosts {
                host.terminate();
                host.wait();
                host.restart();
                host.await_ok("readyz");
            }
        }
    }
}

fn load(mut caller: Caller<'_>, seed: u64, way: ClaimMode, tally: &Mutex<Tally>) {
    let start = Instant::now();
    for i in 0..PER_CALLER {
        let intended = start + INTERVAL * i;
        thread::sleep(intended.saturating_duration_since(Instant::now()));
        let own = format!("w{seed}-{i}");
        let key = match way {
            ClaimMode::Host => (0..TRIES).find_map(|_| caller.key()),
            ClaimMode::StorePaced | ClaimMode::StoreAtOnce => Some(own),
        };
        let (tries, outcome) = key.map_or((0, CallOutcome::NotRun), |key| book(&mut caller, &key));
        let mut tally = tally.lock().unwrap();
        match outcome {
            CallOutcome::Answer(_) => {
                tally.served += 1;
                tally.at_once += u64::from(tries == 1);
                let micros = u64::try_from(intended.elapsed().as_micros()).unwrap();
                tally.latency.record(micros).unwrap();
            }
            CallOutcome::NotRun => tally.not_run += 1,
            _ => tally.unknown += 1,
        }
    }
}

/// Calls until there is an outcome; returns the calls made and the last outcome.
fn book(caller: &mut Caller<'_>, key: &str) -> (u32, CallOutcome) {
    let (mut tries, mut attempt) = (0, 1);
    loop {
        tries += 1;
        let outcome = caller.ask(key, attempt, key).outcome;
        if tries == TRIES || matches!(outcome, CallOutcome::Answer(_)) {
            return (tries, outcome);
        }
        if outcome == CallOutcome::NotRun {
            attempt += 1;
        }
    }
}
