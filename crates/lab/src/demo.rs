//! The demonstration from the README: three data centres, a short load, one JSON line.

use std::path::Path;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::answer::Answer;
use crate::fleet::{Fleet, Shape};

const QUERIES: usize = 600;
const INTERVAL: Duration = Duration::from_millis(10);
const CALLERS: usize = 24;

/// Result of a demonstration.
#[derive(Debug, Default, Serialize)]
pub struct Summary {
    /// Queries sent.
    pub queries: u64,
    /// Queries answered.
    pub answered: u64,
    /// Answers with full coverage.
    pub complete: u64,
    /// Answers with results of another snapshot than reported.
    pub mixed_snapshots: u64,
    /// Answers whose reported coverage differs from the actual one.
    pub false_coverage: u64,
    /// Median latency, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// Searches at targets beyond one for each shard and query, as a share of those.
    pub extra_load: f64,
}

/// Shape of the demonstration's setup.
pub fn shape() -> Shape {
    Shape {
        data_centres: ["munich", "nuremberg", "augsburg"].map(Into::into).to_vec(),
        hosts: 2,
        shards: 10,
        slots: 2,
        service: Duration::from_millis(4),
        stragglers: 0.01,
        seed: 1,
    }
}

/// Runs the demonstration with the shipped binary `program`.
pub fn run(program: &Path) -> Summary {
    let shape = shape();
    let fleet = Fleet::start(program, &shape);
    fleet.apply(program);
    fleet.await_ready();
    run_load(&fleet, &shape)
}

fn run_load(fleet: &Fleet, shape: &Shape) -> Summary {
    let summary = Mutex::new(Summary::default());
    let latency = Mutex::new(Histogram::<u64>::new(3).unwrap());
    let start = Instant::now();
    thread::scope(|scope| {
        for caller in 0..CALLERS {
            let (summary, latency) = (&summary, &latency);
            scope.spawn(move || {
                let agent = ureq::Agent::new_with_defaults();
                for i in (caller..QUERIES).step_by(CALLERS) {
                    let intended = start + INTERVAL * u32::try_from(i).unwrap();
                    thread::sleep(intended.saturating_duration_since(Instant::now()));
                    let host = &fleet.hosts[i % fleet.hosts.len()];
                    let url = format!("http://{}/search/search", host.callers);
                    let query = format!("q{i}");
                    let answer = send_query(&agent, &url, &query);
                    let micros = u64::try_from(intended.elapsed().as_micros()).unwrap();
                    latency.lock().unwrap().record(micros).unwrap();
                    record(&mut summary.lock().unwrap(), answer.as_ref(), &query);
                }
            });
        }
    });
    let mut summary = summary.into_inner().unwrap();
    let latency = latency.into_inner().unwrap();
    summary.p50_ms = latency.value_at_quantile(0.5) as f64 / 1000.0;
    summary.p99_ms = latency.value_at_quantile(0.99) as f64 / 1000.0;
    let served: usize = fleet.targets.iter().map(|t| t.served()).sum();
    let needed = summary.queries * u64::from(shape.shards);
    summary.extra_load = served as f64 / needed as f64 - 1.0;
    summary
}

fn send_query(agent: &ureq::Agent, url: &str, query: &str) -> Option<Answer> {
    let mut response = agent.post(url).send(query).ok()?;
    let body = response.body_mut().read_to_vec().ok()?;
    serde_json::from_slice(&body).ok()
}

fn record(summary: &mut Summary, answer: Option<&Answer>, query: &str) {
    summary.queries += 1;
    let Some(answer) = answer else { return };
    summary.answered += 1;
    let result = answer.check(query);
    assert!(!result.foreign, "answer contains results of another request");
    summary.mixed_snapshots += u64::from(result.mixed);
    summary.false_coverage += u64::from(result.false_coverage);
    summary.complete += u64::from(result.coverage == 1.0);
}
