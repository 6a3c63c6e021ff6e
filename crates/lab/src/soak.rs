//! Fault injection against real processes, with a seeded schedule and a recorded history.
//!
//! Hosts are killed, frozen, stopped and restarted, data centres are partitioned from the store,
//! the store fails or loses responses, targets lose responses to bookings, and the catalogue
//! changes. Meanwhile callers book and search through random hosts and retry bookings without an
//! outcome.

use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use serde::Serialize;
use serde_json::json;

use crate::fleet::{Fleet, Plan, Shape};
use crate::history::{CallOutcome, Effect, History, VersionSample, Violation};
use crate::soak_calls::{Caller, Host};
use crate::store::StoreFault;
use crate::target::{BookingFault, BookingKind};

const BOOKING_CALLERS: u64 = 6;
const SEARCH_CALLERS: u64 = 2;
const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// Upper limit of the duration of a fault, in milliseconds.
const MAX_FAULT_MS: u64 = 1_200;

/// Time after the last fault for the hosts to serve again, before the callers stop and bookings
/// without an outcome are repeated.
const RECOVERY_TIME: Duration = Duration::from_secs(2);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Soak {
    /// Seed of the schedule and of the callers.
    pub seed: u64,
    /// Time during which faults are injected.
    pub duration: Duration,
}

/// Result of a run.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Seed of the run.
    pub seed: u64,
    /// Injected faults.
    pub faults: u64,
    /// Booking calls, retries included.
    pub calls: usize,
    /// Bookings that took effect.
    pub ran: usize,
    /// Calls that returned the answer.
    pub answers: usize,
    /// Calls reported as not run.
    pub not_run: usize,
    /// Calls with an unknown outcome, including lost connections.
    pub unknown: usize,
    /// Calls reported as in progress.
    pub in_progress: usize,
    /// Answered searches.
    pub searches: usize,
    /// Highest configuration version sampled at any host.
    pub version: u64,
    /// Violations of the consistency guarantees.
    pub violations: Vec<String>,
}

struct Shared {
    hosts: Vec<Host>,
    incarnations: Vec<AtomicU64>,
    history: Mutex<History>,
    stopped: AtomicBool,
}

/// Runs a fleet of the binary `program` under injected faults.
pub fn run(program: &Path, soak: &Soak) -> Summary {
    let mut fleet = launch_fleet(program);
    let hosts: Vec<Host> = fleet.hosts.iter().map(Host::new).collect();
    let shared = Shared {
        incarnations: hosts.iter().map(|_| AtomicU64::new(0)).collect(),
        hosts,
        history: Mutex::default(),
        stopped: AtomicBool::new(false),
    };
    let faults = thread::scope(|scope| {
        for i in 0..BOOKING_CALLERS {
            let shared = &shared;
            scope.spawn(move || shared.book(soak.seed, i));
        }
        for i in 0..SEARCH_CALLERS {
            let shared = &shared;
            scope.spawn(move || shared.search(soak.seed, i));
        }
        scope.spawn(|| shared.sample_versions());
        let faults = inject_faults(program, &mut fleet, &shared, soak);
        thread::sleep(RECOVERY_TIME);
        shared.stopped.store(true, Ordering::Relaxed);
        faults
    });
    let mut history = shared.history.into_inner().unwrap();
    retry_unresolved(&shared.hosts, &mut history);
    history.effects = collect_effects(&fleet);
    summarize(soak.seed, faults, &history)
}

fn launch_fleet(program: &Path) -> Fleet {
    let shape = Shape {
        data_centres: ["munich", "nuremberg", "augsburg"].map(Into::into).to_vec(),
        hosts: 2,
        shards: 3,
        slots: 4,
        service: Duration::from_millis(2),
        stragglers: 0.01,
        seed: 1,
    };
    let settings = json!({
        "store": { "timeout": "200ms" },
        "bookings": { "failover": "200ms", "pace": "50ms", "pause": "50ms" },
        "stop": { "linger": "200ms", "limit": "2s" },
        "log": "error",
    });
    let plan = Plan::from(&shape).with_settings(settings).with_network();
    let fleet = Fleet::launch(program, plan);
    fleet.apply(program);
    fleet.await_ready();
    fleet
}

impl Shared {
    fn book(&self, seed: u64, index: u64) {
        let mut caller = Caller::new(seed ^ (index + 1).wrapping_mul(0x9e37_79b9), &self.hosts);
        let mut count = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            count += 1;
            let calls = caller.book(&format!("s{seed}-c{index}-{count}"));
            self.history.lock().unwrap().bookings.extend(calls);
        }
    }

    fn search(&self, seed: u64, index: u64) {
        let mut caller = Caller::new(seed ^ (index + 101), &self.hosts);
        let mut count = 0;
        while !self.stopped.load(Ordering::Relaxed) {
            count += 1;
            if let Some(search) = caller.search(&format!("q{index}-{count}")) {
                self.history.lock().unwrap().searches.push(search);
            }
        }
    }

    fn sample_versions(&self) {
        let start = Instant::now();
        while !self.stopped.load(Ordering::Relaxed) {
            for (host, incarnation) in self.hosts.iter().zip(&self.incarnations) {
                let before = incarnation.load(Ordering::SeqCst);
                let Some(version) = host.version() else { continue };
                // A sample counts only if the host did not restart while it was taken.
                if incarnation.load(Ordering::SeqCst) == before {
                    let host = format!("{}/{before}", host.name);
                    let sample = VersionSample { host, time: start.elapsed(), version };
                    self.history.lock().unwrap().versions.push(sample);
                }
            }
            thread::sleep(SAMPLE_INTERVAL);
        }
    }
}

/// Injects faults one after another, each reverted before the next; returns their number.
fn inject_faults(program: &Path, fleet: &mut Fleet, shared: &Shared, soak: &Soak) -> u64 {
    let mut rng = Rng::with_seed(soak.seed);
    let end = Instant::now() + soak.duration;
    let mut faults = 0;
    while Instant::now() < end {
        let duration = Duration::from_millis(rng.u64(200..MAX_FAULT_MS));
        let host = rng.usize(..fleet.hosts.len());
        match rng.u32(..8) {
            0 => restart(fleet, shared, host, duration, |_| ()),
            1 => {
                fleet.hosts[host].freeze();
                thread::sleep(duration);
                fleet.hosts[host].thaw();
            }
            2 | 3 => partition_data_centre(fleet, &mut rng, duration),
            4 => inject_store_fault(
                fleet,
                duration,
                StoreFault { outage: true, ..StoreFault::default() },
            ),
            5 => inject_store_fault(fleet, duration, random_store_fault(&mut rng)),
            6 => inject_target_faults(fleet, &mut rng, duration),
            _ => restart(fleet, shared, host, Duration::ZERO, |h| {
                h.terminate();
                h.wait();
            }),
        }
        change_configuration(program, fleet, &mut rng);
        faults += 1;
    }
    faults
}

fn restart(
    fleet: &mut Fleet,
    shared: &Shared,
    host: usize,
    down: Duration,
    stop: impl Fn(&mut crate::fleet::HostProcess),
) {
    let process = &mut fleet.hosts[host];
    stop(process);
    process.kill();
    shared.incarnations[host].fetch_add(1, Ordering::SeqCst);
    thread::sleep(down);
    process.restart();
}

fn partition_data_centre(fleet: &Fleet, rng: &mut Rng, duration: Duration) {
    let centre = rng.choice(&fleet.catalogue.data_centres).unwrap().name.clone();
    fleet.cut_from_store(&centre, true);
    thread::sleep(duration);
    fleet.cut_from_store(&centre, false);
}

fn random_store_fault(rng: &mut Rng) -> StoreFault {
    let base = StoreFault::default();
    match rng.u32(..4) {
        0 => StoreFault { lost: 0.5, ..base },
        1 => StoreFault { silent: 0.3, ..base },
        2 => StoreFault { stale: 0.5, ..base },
        _ => StoreFault { latency: Duration::from_millis(150), refused: 0.3, ..base },
    }
}

fn inject_store_fault(fleet: &Fleet, duration: Duration, fault: StoreFault) {
    let set = |fault: &StoreFault| {
        for centre in &fleet.catalogue.data_centres {
            fleet.store_endpoint(&centre.name).update(|f| *f = fault.clone());
        }
    };
    set(&fault);
    thread::sleep(duration);
    set(&StoreFault::default());
}

fn inject_target_faults(fleet: &Fleet, rng: &mut Rng, duration: Duration) {
    let kind = match rng.u32(..5) {
        0 => BookingKind::Lost,
        1 => BookingKind::ResetBefore,
        2 => BookingKind::ResetAfter,
        3 => BookingKind::Delay(Duration::from_millis(400)),
        _ => BookingKind::FailAfter,
    };
    let draining = rng.usize(..fleet.targets.len());
    for target in &fleet.targets {
        target.update(|b| b.bookings = vec![BookingFault { kind, share: 0.5 }]);
    }
    fleet.targets[draining].update(|b| b.draining = true);
    thread::sleep(duration);
    for target in &fleet.targets {
        target.update(|b| b.bookings.clear());
    }
    fleet.targets[draining].update(|b| b.draining = false);
}

/// Changes the configuration through a random host, which may be down.
fn change_configuration(program: &Path, fleet: &mut Fleet, rng: &mut Rng) {
    fleet.catalogue.services[0].limits.concurrency = rng.u32(32..96);
    let host = rng.usize(..fleet.hosts.len());
    fleet.try_apply(program, host);
}

/// Repeats the last call of every key without a final outcome.
fn retry_unresolved(hosts: &[Host], history: &mut History) {
    let is_final =
        |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answer(_) | CallOutcome::NotRun);
    let mut last = std::collections::BTreeMap::new();
    for call in &history.bookings {
        last.insert(call.key.clone(), call.clone());
    }
    let mut caller = Caller::new(0, hosts);
    for call in last.into_values().filter(|c| !is_final(&c.outcome)) {
        history.bookings.push(caller.send_booking(&call.key, call.attempt, &call.body));
    }
}

fn collect_effects(fleet: &Fleet) -> Vec<Effect> {
    let mut effects = Vec::new();
    for target in &fleet.targets {
        let name = target.behaviour().name.to_string();
        for execution in target.executions() {
            let attempt = execution.request.rsplit_once('.').unwrap().1.parse().unwrap();
            let (key, target, booking) = (execution.key, name.clone(), execution.booking);
            effects.push(Effect { key, attempt, target, booking });
        }
    }
    effects
}

fn summarize(seed: u64, faults: u64, history: &History) -> Summary {
    let count = |filter: fn(&CallOutcome) -> bool| {
        history.bookings.iter().filter(|c| filter(&c.outcome)).count()
    };
    let violations = history.check();
    Summary {
        seed,
        faults,
        calls: history.bookings.len(),
        ran: history.effects.len(),
        answers: count(|t| matches!(t, CallOutcome::Answer(_))),
        not_run: count(|t| *t == CallOutcome::NotRun),
        unknown: count(|t| *t == CallOutcome::Unknown),
        in_progress: count(|t| *t == CallOutcome::InProgress),
        searches: history.searches.len(),
        version: history.versions.iter().map(|v| v.version).max().unwrap_or(0),
        violations: violations.iter().map(|v: &Violation| format!("{v:?}")).collect(),
    }
}
