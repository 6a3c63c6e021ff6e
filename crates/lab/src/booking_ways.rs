//! Outcomes and latency of bookings by kind of key, during outages of parts of the system.

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
const BOOKINGS_PER_CALLER: u32 = 40;

/// Time between two bookings of one caller.
const INTERVAL: Duration = Duration::from_millis(200);

/// Time from the start of the load to the outage, and duration of the outage.
const OUTAGE_START: Duration = Duration::from_secs(2);
const OUTAGE_TIME: Duration = Duration::from_secs(4);

/// Maximum number of calls per booking.
const MAX_CALLS: u32 = 3;

/// Where and how the claim of a booking is recorded: in the store for a key chosen by the caller,
/// at the issuing host for a key requested from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimMode {
    /// In the store, one write at a time per booking log, with a pause between writes.
    StorePaced,
    /// In the store, one write at a time per booking log, without a pause.
    StoreAtOnce,
    /// At the host that issued the key.
    Host,
}

/// Part of the system that is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// Nothing.
    Nothing,
    /// The store.
    Store,
    /// The store, from one data centre.
    DataCentre,
    /// Every host in turn, for a rolling restart.
    Rolling,
}

/// Results for one kind of key and one outage.
#[derive(Clone, Debug, Serialize)]
pub struct Measurement {
    way: ClaimMode,
    away: Outage,
    bookings: u64,
    /// Fraction of bookings answered at the first booking call.
    at_once: f64,
    /// Fraction of bookings answered.
    served: f64,
    not_run: u64,
    unknown: u64,
    p50_ms: f64,
    p99_ms: f64,
    /// Store writes per booking.
    writes: f64,
}

struct Tally {
    latency: Histogram<u64>,
    at_once: u64,
    served: u64,
    not_run: u64,
    unknown: u64,
}

/// Measures every kind of key under every outage with the binary `program`.
pub fn run(program: &Path, report: &mut dyn FnMut(&Measurement)) {
    for outage in [Outage::Nothing, Outage::Store, Outage::DataCentre, Outage::Rolling] {
        for mode in [ClaimMode::StorePaced, ClaimMode::StoreAtOnce, ClaimMode::Host] {
            report(&measure(program, mode, outage));
        }
    }
}

fn measure(program: &Path, mode: ClaimMode, outage: Outage) -> Measurement {
    let mut fleet = launch_fleet(program, mode);
    let hosts: Vec<Host> = fleet.hosts.iter().map(Host::new).collect();
    let latency = Histogram::new(3).unwrap();
    let tally = Tally { latency, at_once: 0, served: 0, not_run: 0, unknown: 0 };
    let tally = Mutex::new(tally);
    let before = fleet.store.calls().writes;
    thread::scope(|scope| {
        for seed in 1..=CALLERS {
            let (hosts, tally) = (&hosts, &tally);
            scope.spawn(move || generate_load(Caller::new(seed, hosts), seed, mode, tally));
        }
        thread::sleep(OUTAGE_START);
        inject_outage(&mut fleet, outage);
    });
    let writes = fleet.store.calls().writes - before;
    let tally = tally.into_inner().unwrap();
    let bookings = CALLERS * u64::from(BOOKINGS_PER_CALLER);
    let share = |n: u64| n as f64 / bookings as f64;
    let millis = |q| tally.latency.value_at_quantile(q) as f64 / 1e3;
    Measurement {
        way: mode,
        away: outage,
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

fn launch_fleet(program: &Path, mode: ClaimMode) -> Fleet {
    let shape = Shape {
        data_centres: ["munich", "nuremberg", "augsburg"].map(Into::into).to_vec(),
        hosts: 2,
        shards: 3,
        slots: 4,
        service: Duration::from_millis(3),
        stragglers: 0.0,
        seed: 1,
    };
    let pace = if mode == ClaimMode::StoreAtOnce { "0ms" } else { "200ms" };
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

fn inject_outage(fleet: &mut Fleet, outage: Outage) {
    let centres: Vec<_> = fleet.catalogue.data_centres.iter().map(|d| d.name.clone()).collect();
    match outage {
        Outage::Nothing => {}
        Outage::Store => {
            centres.iter().for_each(|c| fleet.cut_from_store(c, true));
            thread::sleep(OUTAGE_TIME);
            centres.iter().for_each(|c| fleet.cut_from_store(c, false));
        }
        Outage::DataCentre => {
            fleet.cut_from_store(&centres[0], true);
            thread::sleep(OUTAGE_TIME);
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

fn generate_load(mut caller: Caller<'_>, seed: u64, mode: ClaimMode, tally: &Mutex<Tally>) {
    let start = Instant::now();
    for i in 0..BOOKINGS_PER_CALLER {
        let intended = start + INTERVAL * i;
        thread::sleep(intended.saturating_duration_since(Instant::now()));
        let own_key = format!("w{seed}-{i}");
        let key = match mode {
            ClaimMode::Host => (0..MAX_CALLS).find_map(|_| caller.request_key()),
            ClaimMode::StorePaced | ClaimMode::StoreAtOnce => Some(own_key),
        };
        let (calls, outcome) = key.map_or((0, CallOutcome::NotRun), |key| book(&mut caller, &key));
        let mut tally = tally.lock().unwrap();
        match outcome {
            CallOutcome::Answer(_) => {
                tally.served += 1;
                tally.at_once += u64::from(calls == 1);
                let micros = u64::try_from(intended.elapsed().as_micros()).unwrap();
                tally.latency.record(micros).unwrap();
            }
            CallOutcome::NotRun => tally.not_run += 1,
            _ => tally.unknown += 1,
        }
    }
}

/// Retries until the booking is answered or `MAX_CALLS` is reached; returns the number of calls
/// and the last outcome.
fn book(caller: &mut Caller<'_>, key: &str) -> (u32, CallOutcome) {
    let (mut calls, mut attempt) = (0, 1);
    loop {
        calls += 1;
        let outcome = caller.send_booking(key, attempt, key).outcome;
        if calls == MAX_CALLS || matches!(outcome, CallOutcome::Answer(_)) {
            return (calls, outcome);
        }
        if outcome == CallOutcome::NotRun {
            attempt += 1;
        }
    }
}
