//! Measures the rule that judges new versions: false alarms, misses and delay until detection,
//! beside a rule with fixed thresholds.
//!
//! Both rules see the same requests, drawn with fixed seeds: service times spread evenly by half
//! around the mean, with stragglers of ten times the time.

use std::io::Write;
use std::time::Duration;

use fastrand::Rng;
use sapphirerack_policy::evidence::{Comparison, Outcomes};
use serde::Serialize;

/// Requests in a block, both versions together.
const BLOCK: usize = 100;

/// Blocks of a run.
const BLOCKS: u64 = 400;

/// Runs of a case in which the version is good.
const GOOD_RUNS: u64 = 2_000;

/// Runs of a case in which the version is bad.
const BAD_RUNS: u64 = 400;

/// Requests of the new version that the fixed rule looks at.
const WINDOW: usize = 200;

/// Error rate above the old version's at which the fixed rule alarms.
const ERROR_THRESHOLD: f64 = 0.01;

/// Times the old version's mean latency at which the fixed rule alarms.
const SLOW_THRESHOLD: f64 = 1.25;

const MEAN_MS: f64 = 4.0;
const STRAGGLE: f64 = 10.0;

/// How a version behaves.
#[derive(Clone, Copy, Debug, Serialize)]
struct Version {
    /// Share of requests that fail.
    errors: f64,
    /// Times the normal service time.
    slow: f64,
    /// Share of stragglers.
    stragglers: f64,
}

const GOOD: Version = Version { errors: 0.001, slow: 1.0, stragglers: 0.01 };

/// What is measured.
#[derive(Clone, Debug, Serialize)]
struct Case {
    name: &'static str,
    version: Version,
    /// Share of the requests that go to the new version.
    share: f64,
    /// Block from which on the version is as given; good before.
    from: u64,
    is_bad: bool,
}

/// How a rule did in a case.
#[derive(Clone, Debug, Serialize)]
struct Score {
    /// Share of the runs with an alarm.
    alarms: f64,
    /// Median of the new version's requests until the alarm, from the time of the fault on.
    median: Option<u64>,
    /// 95th percentile of the same.
    p95: Option<u64>,
}

/// One line of the result.
#[derive(Clone, Debug, Serialize)]
struct Line {
    #[serde(flatten)]
    case: Case,
    runs: u64,
    sequential: Score,
    fixed: Score,
}

/// A rule with fixed thresholds over a window of requests.
#[derive(Default)]
struct Fixed {
    window: std::collections::VecDeque<(bool, f64)>,
    old: (f64, f64, f64),
}

impl Fixed {
    fn observe(&mut self, old: &[Option<f64>], new: &[Option<f64>]) -> bool {
        for time in old {
            self.old.0 += 1.0;
            self.old.1 += f64::from(u8::from(time.is_none()));
            self.old.2 += time.unwrap_or(MEAN_MS);
        }
        for time in new {
            self.window.push_back((time.is_none(), time.unwrap_or(MEAN_MS)));
        }
        while self.window.len() > WINDOW {
            self.window.pop_front();
        }
        if self.window.len() < WINDOW || self.old.0 == 0.0 {
            return false;
        }
        let errors = self.window.iter().filter(|w| w.0).count() as f64 / WINDOW as f64;
        let mean = self.window.iter().map(|w| w.1).sum::<f64>() / WINDOW as f64;
        errors > self.old.1 / self.old.0 + ERROR_THRESHOLD
            || mean > SLOW_THRESHOLD * self.old.2 / self.old.0
    }
}

/// Runs all cases; prints a table, and JSON lines to `json`.
pub fn run(json: &mut dyn Write) {
    println!(
        "{:<24} {:>5} {:>5} | {:>8} {:>7} {:>7} | {:>8} {:>7} {:>7}",
        "case", "share", "runs", "e-value", "median", "p95", "fixed", "median", "p95"
    );
    for case in cases() {
        let line = measure(case);
        let cell = |n: Option<u64>| n.map_or("-".to_owned(), |n| n.to_string());
        println!(
            "{:<24} {:>5} {:>5} | {:>8.4} {:>7} {:>7} | {:>8.4} {:>7} {:>7}",
            line.case.name,
            line.case.share,
            line.runs,
            line.sequential.alarms,
            cell(line.sequential.median),
            cell(line.sequential.p95),
            line.fixed.alarms,
            cell(line.fixed.median),
            cell(line.fixed.p95),
        );
        writeln!(json, "{}", serde_json::to_string(&line).unwrap()).unwrap();
    }
}

fn cases() -> Vec<Case> {
    let errors = |errors| Version { errors, ..GOOD };
    let slow = |slow| Version { slow, ..GOOD };
    let stragglers = |stragglers| Version { stragglers, ..GOOD };
    let versions = [
        ("good", GOOD, false),
        ("errors 0.5 %", errors(0.005), false),
        ("10 % slower", slow(1.1), false),
        ("errors 2 %", errors(0.02), true),
        ("errors 5 %", errors(0.05), true),
        ("errors 20 %", errors(0.2), true),
        ("errors 100 %", errors(1.0), true),
        ("1.5 times slower", slow(1.5), true),
        ("2 times slower", slow(2.0), true),
        ("5 times slower", slow(5.0), true),
        ("stragglers 5 %", stragglers(0.05), true),
        ("stragglers 20 %", stragglers(0.2), true),
    ];
    let mut cases = Vec::new();
    for share in [0.01, 0.05, 0.95] {
        for (name, version, is_bad) in versions {
            cases.push(Case { name, version, share, from: 0, is_bad });
        }
    }
    let late = [("late: errors 5 %", errors(0.05)), ("late: 2 times slower", slow(2.0))];
    for (name, version) in late {
        cases.push(Case { name, version, share: 0.95, from: BLOCKS / 2, is_bad: true });
    }
    cases
}

fn measure(case: Case) -> Line {
    let runs = if case.is_bad { BAD_RUNS } else { GOOD_RUNS };
    let found: Vec<[Option<u64>; 2]> = (0..runs).map(|seed| trial(&case, seed)).collect();
    let [sequential, fixed] = [0, 1].map(|rule| {
        let mut delays: Vec<u64> = found.iter().filter_map(|f| f[rule]).collect();
        delays.sort_unstable();
        let at = |q: f64| delays.get((delays.len() as f64 * q) as usize).copied();
        Score { alarms: delays.len() as f64 / runs as f64, median: at(0.5), p95: at(0.95) }
    });
    Line { case, runs, sequential, fixed }
}

/// Requests of the new version until each rule alarms.
fn trial(case: &Case, seed: u64) -> [Option<u64>; 2] {
    let mut rng = Rng::with_seed(seed);
    let mut comparison = Comparison::new(BLOCKS);
    let mut fixed = Fixed::default();
    let mut found = [None, None];
    let mut requests = 0;
    for block in 0..BLOCKS {
        let version = if block < case.from { GOOD } else { case.version };
        let (mut old, mut new) = (Vec::new(), Vec::new());
        for _ in 0..BLOCK {
            if rng.f64() < case.share {
                new.push(draw(&mut rng, version));
            } else {
                old.push(draw(&mut rng, GOOD));
            }
        }
        if block >= case.from {
            requests += new.len() as u64;
        }
        comparison.observe(&outcomes(&old), &outcomes(&new), true);
        let alarms = [comparison.fault(1).is_some(), fixed.observe(&old, &new)];
        for (found, alarm) in found.iter_mut().zip(alarms) {
            if alarm && found.is_none() {
                *found = Some(requests);
            }
        }
        if found.iter().all(Option::is_some) {
            break;
        }
    }
    found
}

/// Milliseconds that a request takes; `None` if it fails.
fn draw(rng: &mut Rng, version: Version) -> Option<f64> {
    let straggle = if rng.f64() < version.stragglers { STRAGGLE } else { 1.0 };
    let time = MEAN_MS * version.slow * straggle * (0.5 + rng.f64());
    (rng.f64() >= version.errors).then_some(time)
}

fn outcomes(times: &[Option<f64>]) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for time in times {
        outcomes.record(time.map(|ms| Duration::from_secs_f64(ms / 1e3)));
    }
    outcomes
}
