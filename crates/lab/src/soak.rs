//! A run of real processes under faults by a seeded schedule, and its history.
//!
//! Hosts are killed, frozen, stopped and restarted, data centres cut off from
//! the store, the store fails or loses answers, targets lose bookings' answers, and the catalogue
//! changes, while callers book and search through any host and retry what has no outcome.

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

const BOOKERS: u64 = 6;
const SEARCHERS: u64 = 2;
const SAMPLE_PAUSE: Duration = Duration::from_millis(50);

/// Longest fault, in milliseconds.
const FAULT_MS: u64 = 1_200;

/// Time in which hosts that were healed must serve again.
const HEAL_TIME: Duration = Duration::from_secs(2);

/// A run under faults.
#[derive(Clone, Debug)]
pub struct Soak {
    /// Seed of the schedule and of the callers.
    pub seed: u64,
    /// Time for which faults come.
    pub duration: Duration,
}

/// What a run came to.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Summary {
    /// Seed of the run.
    pub seed: u64,
    /// Faults that were brought about.
    pub faults: u64,
    /// Booking calls, retries included.
    pub calls: usize,
    /// Keys that ran.
    pub ran: usize,
    /// Calls that got the answer.
    pub answers: usize,
    /// Calls that were told not run.
    pub not_run: usize,
    /// Calls that were told unknown, lost connections included.
    pub unknown: usize,
    /// Calls that were told in progress.
    pub in_progress: usize,
    /// Searches that were answered.
    pub searches: usize,
    /// Highest version of the configuration that was seen in force.
    pub version: u64,
    /// What is not allowed.
    pub violations: Vec<String>,
}

struct Shared {
    hosts: Vec<Host>,
    incarnations: Vec<AtomicU64>,
    history: Mutex<History>,
    over: AtomicBool,
}

/// Runs the fleet under faults with the shipped binary `program`.
pub fn run(program: &Path, soak: &Soak) -> Summary {
    let mut fleet = start(program);
    let hosts: Vec<Host> = fleet.hosts.iter().map(Host::of).collect();
    let shared = Shared {
        incarnations: hosts.iter().map(|_| AtomicU64::new(0)).collect(),
        hosts,
        history: Mutex::default(),
        over: AtomicBool::new(false),
    };
    let faults = thread::scope(|scope| {
        for i in 0..BOOKERS {
            let shared = &shared;
            scope.spawn(move || shared.book(soak.seed, i));
        }
        for i in 0..SEARCHERS {
            let shared = &shared;
            scope.spawn(move || shared.search(soak.seed, i));
        }
        scope.spawn(|| shared.sample());
        let faults = disturb(program, &mut fleet, &shared, soak);
        thread::sleep(HEAL_TIME);
        shared.over.store(true, Ordering::Relaxed);
        faults
    });
    let mut history = shared.history.into_inner().unwrap();
    settle(&shared.hosts, &mut history);
    history.effects = effects(&fleet);
    summary(soak.seed, faults, &history)
}

fn start(program: &Path) -> Fleet {
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
        while !self.over.load(Ordering::Relaxed) {
            count += 1;
            let calls = caller.book(&format!("s{seed}-c{index}-{count}"));
            self.history.lock().unwrap().bookings.extend(calls);
        }
    }

    fn search(&self, seed: u64, index: u64) {
        let mut caller = Caller::new(seed ^ (index + 101), &self.hosts);
        let mut count = 0;
        while !self.over.load(Ordering::Relaxed) {
            count += 1;
            if let Some(search) = caller.search(&format!("q{index}-{count}")) {
                self.history.lock().unwrap().searches.push(search);
            }
        }
    }

    fn sample(&self) {
        let start = Instant::now();
        while !self.over.load(Ordering::Relaxed) {
            for (host, incarnation) in self.hosts.iter().zip(&self.incarnations) {
                let before = incarnation.load(Ordering::SeqCst);
                let Some(version) = host.version() else { continue };
                if incarnation.load(Ordering::SeqCst) == before {
                    let host = format!("{}/{before}", host.name);
                    let seen = VersionSample { host, time: start.elapsed(), version };
                    self.history.lock().unwrap().versions.push(seen);
                }
            }
            thread::sleep(SAMPLE_PAUSE);
        }
    }
}

/// Brings faults about, one after another, and heals what it broke; returns how many.
fn disturb(program: &Path, fleet: &mut Fleet, shared: &Shared, soak: &Soak) -> u64 {
    let mut rng = Rng::with_seed(soak.seed);
    let end = Instant::now() + soak.duration;
    let mut faults = 0;
    while Instant::now() < end {
        let time = Duration::from_millis(rng.u64(200..FAULT_MS));
        let host = rng.usize(..fleet.hosts.len());
        match rng.u32(..8) {
            0 => restart(fleet, shared, host, time, |_| ()),
            1 => {
                fleet.hosts[host].freeze();
                thread::sleep(time);
                fleet.hosts[host].thaw();
            }
            2 | 3 => cut_store(fleet, &mut rng, time),
            4 => store(fleet, time, StoreFault { outage: true, ..StoreFault::default() }),
            5 => store(fleet, time, store_fault(&mut rng)),
            6 => targets(fleet, &mut rng, time),
            _ => restart(fleet, shared, host, Duration::ZERO, |h| {
                h.terminate();
                h.wait();
            }),
        }
        change(program, fleet, &mut rng);
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

fn cut_store(fleet: &Fleet, rng: &mut Rng, time: Duration) {
    let centre = rng.choice(&fleet.catalogue.data_centres).unwrap().name.clone();
    fleet.cut_from_store(&centre, true);
    thread::sleep(time);
    fleet.cut_from_store(&centre, false);
}

fn store_fault(rng: &mut Rng) -> StoreFault {
    let base = StoreFault::default();
    match rng.u32(..4) {
        0 => StoreFault { lost: 0.5, ..base },
        1 => StoreFault { silent: 0.3, ..base },
        2 => StoreFault { stale: 0.5, ..base },
        _ => StoreFault { latency: Duration::from_millis(150), refused: 0.3, ..base },
    }
}

fn store(fleet: &Fleet, time: Duration, fault: StoreFault) {
    let set = |fault: &StoreFault| {
        for centre in &fleet.catalogue.data_centres {
            fleet.store_endpoint(&centre.name).update(|f| *f = fault.clone());
        }
    };
    set(&fault);
    thread::sleep(time);
    set(&StoreFault::default());
}

fn targets(fleet: &Fleet, rng: &mut Rng, time: Duration) {
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
    thread::sleep(time);
    for target in &fleet.targets {
        target.update(|b| b.bookings.clear());
    }
    fleet.targets[draining].update(|b| b.draining = false);
}

/// Changes the configuration through any host, which may be away.
fn change(program: &Path, fleet: &mut Fleet, rng: &mut Rng) {
    fleet.catalogue.services[0].limits.concurrency = rng.u32(32..96);
    let host = rng.usize(..fleet.hosts.len());
    fleet.try_apply(program, host);
}

/// Asks again for every booking that has no outcome yet.
fn settle(hosts: &[Host], history: &mut History) {
    let is_final =
        |outcome: &CallOutcome| matches!(outcome, CallOutcome::Answer(_) | CallOutcome::NotRun);
    let mut last = std::collections::BTreeMap::new();
    for call in &history.bookings {
        last.insert(call.key.clone(), call.clone());
    }
    let mut caller = Caller::new(0, hosts);
    for call in last.into_values().filter(|c| !is_final(&c.outcome)) {
        history.bookings.push(caller.ask(&call.key, call.attempt, &call.body));
    }
}

fn effects(fleet: &Fleet) -> Vec<Effect> {
    let mut effects = Vec::new();
    for target in &fleet.targets {
        let name = target.behaviour().name.to_string();
        for e in target.executions() {
            let attempt = e.request.rsplit_once('.').unwrap().1.parse().unwrap();
            let (key, target, booking) = (e.key, name.clone(), e.booking);
            effects.push(Effect { key, attempt, target, booking });
        }
    }
    effects
}

fn summary(seed: u64, faults: u64, history: &History) -> Summary {
    let count =
        |is: fn(&CallOutcome) -> bool| history.bookings.iter().filter(|c| is(&c.outcome)).count();
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
