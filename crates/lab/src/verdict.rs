//! Simulation of the rule that detects faulty new versions: false alarms, missed faults and
//! detection delay, compared with a rule with fixed thresholds.
//!
//! Both rules observe the same requests, sampled with fixed seeds: service times are uniform within
//! 50 % of the mean, and stragglers take ten times as long.

use std::io::Write;
use std::time::Duration;

use fastrand::Rng;
use sapphirerack_policy::evidence::{Comparison, Outcomes};
use serde::Serialize;

/// Requests per block, for both versions together.
const BLOCK_REQUESTS: usize = 100;

/// Blocks per run.
const BLOCKS: u64 = 400;

/// Runs per case with a good version.
const GOOD_RUNS: u64 = 2_000;

/// Runs per case with a bad version.
const BAD_RUNS: u64 = 400;

/// Requests to the new version in the window of the fixed rule.
const WINDOW_REQUESTS: usize = 200;

/// Excess of the error rate over the old version's that triggers the fixed rule.
const ERROR_THRESHOLD: f64 = 0.01;

/// Ratio to the old version's mean latency that triggers the fixed rule.
const LATENCY_THRESHOLD: f64 = 1.25;

const MEAN_SERVICE_MS: f64 = 4.0;
const STRAGGLER_FACTOR: f64 = 10.0;

/// Behaviour of a version.
#[derive(Clone, Copy, Debug, Serialize)]
struct Version {
    /// Fraction of requests that fail.
    errors: f64,
    /// Multiple of the normal service time.
    slow: f64,
    /// Fraction of stragglers.
    stragglers: f64,
}

const GOOD: Version = Version { errors: 0.001, slow: 1.0, stragglers: 0.01 };

/// Simulated case.
#[derive(Clone, Debug, Serialize)]
struct Case {
    name: &'static str,
    version: Version,
    /// Fraction of requests sent to the new version.
    share: f64,
    /// First block in which the new version behaves as `version`; before, it is good.
    from: u64,
    is_bad: bool,
}

/// Results of a rule in a case.
#[derive(Clone, Debug, Serialize)]
struct Score {
    /// Fraction of runs with an alarm.
    alarms: f64,
    /// Median number of requests to the new version from the fault to the alarm, over runs with one.
    median: Option<u64>,
    /// 95th percentile of the same number.
    p95: Option<u64>,
}

/// One line of the results.
#[derive(Clone, Debug, Serialize)]
struct Line {
    #[serde(flatten)]
    case: Case,
    runs: u64,
    sequential: Score,
    fixed: Score,
}

/// Rule with fixed thresholds over a sliding window of requests to the new version.
#[derive(Default)]
struct FixedRule {
    window: std::collections::VecDeque<(bool, f64)>,
    /// Requests to the old version, their errors and the sum of their times.
    old: (f64, f64, f64),
}

impl FixedRule {
    fn observe(&mut self, old: &[Option<f64>], new: &[Option<f64>]) -> bool {
        for time in old {
            self.old.0 += 1.0;
            self.old.1 += f64::from(u8::from(time.is_none()));
            self.old.2 += time.unwrap_or(MEAN_SERVICE_MS);
        }
        for time in new {
            self.window.push_back((time.is_none(), time.unwrap_or(MEAN_SERVICE_MS)));
        }
        while self.window.len() > WINDOW_REQUESTS {
            self.window.pop_front();
        }
        if self.window.len() < WINDOW_REQUESTS || self.old.0 == 0.0 {
            return false;
        }
        let errors = self.window.iter().filter(|w| w.0).count() as f64 / WINDOW_REQUESTS as f64;
        let mean = self.window.iter().map(|w| w.1).sum::<f64>() / WINDOW_REQUESTS as f64;
        errors > self.old.1 / self.old.0 + ERROR_THRESHOLD
            || mean > LATENCY_THRESHOLD * self.old.2 / self.old.0
    }
}

/// Simulates all cases; prints a table and writes JSON lines to `json`.
pub fn run(json: &mut dyn Write) {
    println!(
        "{:<24} {:>5} {:>5} | {:>8} {:>7} {:>7} | {:>8} {:>7} {:>7}",
        "case", "share", "runs", "e-value", "median", "p95", "fixed", "median", "p95"
    );
    for case in cases() {
        let line = simulate(case);
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

fn simulate(case: Case) -> Line {
    let runs = if case.is_bad { BAD_RUNS } else { GOOD_RUNS };
    let trials: Vec<[Option<u64>; 2]> = (0..runs).map(|seed| run_trial(&case, seed)).collect();
    let [sequential, fixed] = [0, 1].map(|rule| {
        let mut delays: Vec<u64> = trials.iter().filter_map(|t| t[rule]).collect();
        delays.sort_unstable();
        let quantile = |q: f64| delays.get((delays.len() as f64 * q) as usize).copied();
        Score {
            alarms: delays.len() as f64 / runs as f64,
            median: quantile(0.5),
            p95: quantile(0.95),
        }
    });
    Line { case, runs, sequential, fixed }
}

/// Number of requests to the new version from the fault until each rule raises an alarm; 0 for an
/// alarm before the fault.
fn run_trial(case: &Case, seed: u64) -> [Option<u64>; 2] {
    let mut rng = Rng::with_seed(seed);
    let mut comparison = Comparison::new(BLOCKS);
    let mut fixed = FixedRule::default();
    let mut delays = [None, None];
    let mut requests = 0;
    for block in 0..BLOCKS {
        let version = if block < case.from { GOOD } else { case.version };
        let (mut old, mut new) = (Vec::new(), Vec::new());
        for _ in 0..BLOCK_REQUESTS {
            if rng.f64() < case.share {
                new.push(sample_request(&mut rng, version));
            } else {
                old.push(sample_request(&mut rng, GOOD));
            }
        }
        if block >= case.from {
            requests += new.len() as u64;
        }
        comparison.observe(&outcomes(&old), &outcomes(&new), true);
        let alarms = [comparison.fault(1).is_some(), fixed.observe(&old, &new)];
        for (delay, alarm) in delays.iter_mut().zip(alarms) {
            if alarm && delay.is_none() {
                *delay = Some(requests);
            }
        }
        if delays.iter().all(Option::is_some) {
            break;
        }
    }
    delays
}

/// Samples the time of a request in milliseconds; `None` if it fails.
fn sample_request(rng: &mut Rng, version: Version) -> Option<f64> {
    let factor = if rng.f64() < version.stragglers { STRAGGLER_FACTOR } else { 1.0 };
    let time = MEAN_SERVICE_MS * version.slow * factor * (0.5 + rng.f64());
    (rng.f64() >= version.errors).then_some(time)
}

fn outcomes(times: &[Option<f64>]) -> Outcomes {
    let mut outcomes = Outcomes::default();
    for time in times {
        outcomes.record(time.map(|ms| Duration::from_secs_f64(ms / 1e3)));
    }
    outcomes
}
