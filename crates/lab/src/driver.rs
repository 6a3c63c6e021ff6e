//! Open-loop load: arrivals don't wait for answers, and latency counts from the intended start.

use std::io::{IsTerminal, Write};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use hdrhistogram::Histogram;
use sapphirerack_catalogue::Map;
use tokio::runtime::Runtime;

use crate::answer::CheckResult;

const THREADS: usize = 2;
const PROGRESS_INTERVAL: Duration = Duration::from_millis(250);

/// Time after the last arrival for outstanding queries to finish.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Outcome of a query.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Outcome {
    Answered(CheckResult),
    /// Refused as not run.
    Refused,
    /// No answer, or one that can't be decoded.
    Failed,
}

/// Arrival process of a load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrivals {
    /// Queries per second.
    pub rate: f64,
    pub warm_up: Duration,
    pub duration: Duration,
    pub seed: u64,
}

/// One query of the load.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub number: u64,
    /// Uniform in 0..1; selects the portion of the mix.
    pub portion: f64,
    /// Uniform; selects the host.
    pub host: usize,
}

/// Counts and latencies of a part of the load.
#[derive(Clone, Debug)]
pub(crate) struct Tally {
    pub queries: u64,
    pub answered: u64,
    pub refused: u64,
    pub failed: u64,
    /// Complete answers within the latency limit.
    pub good: u64,
    pub foreign: u64,
    pub mixed: u64,
    pub false_coverage: u64,
    /// Sum of the actual coverage of all queries; refused and failed ones count as 0.
    pub coverage: f64,
    /// Latencies of answered queries, in microseconds.
    pub latency: Histogram<u64>,
}

impl Default for Tally {
    fn default() -> Self {
        Self {
            queries: 0,
            answered: 0,
            refused: 0,
            failed: 0,
            good: 0,
            foreign: 0,
            mixed: 0,
            false_coverage: 0,
            coverage: 0.0,
            latency: Histogram::new(3).unwrap(),
        }
    }
}

impl Tally {
    fn add(&mut self, outcome: Outcome, latency: Duration, limit: Duration) {
        self.queries += 1;
        match outcome {
            Outcome::Refused => self.refused += 1,
            Outcome::Failed => self.failed += 1,
            Outcome::Answered(result) => {
                self.answered += 1;
                self.coverage += result.coverage;
                self.foreign += u64::from(result.foreign);
                self.mixed += u64::from(result.mixed);
                self.false_coverage += u64::from(result.false_coverage);
                self.good += u64::from(result.coverage == 1.0 && latency <= limit);
                let _ = self.latency.record(crate::server::micros(latency));
            }
        }
    }

    /// Adds the counts of another tally.
    pub(crate) fn merge(&mut self, other: &Self) {
        self.queries += other.queries;
        self.answered += other.answered;
        self.refused += other.refused;
        self.failed += other.failed;
        self.good += other.good;
        self.foreign += other.foreign;
        self.mixed += other.mixed;
        self.false_coverage += other.false_coverage;
        self.coverage += other.coverage;
        self.latency.add(&other.latency).unwrap();
    }

    /// Latency at a quantile, in milliseconds.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Runtime of the load, separate from that of the stand-ins.
pub(crate) fn runtime() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        builder.worker_threads(THREADS).thread_name("load").enable_all();
        builder.build().unwrap()
    })
}

/// Tallies by key; the key is the part of the load that a query belongs to.
pub(crate) type Tallies = Map<usize, Tally>;

/// Generates the arrivals; `send` runs one query and returns its part of the load, its latency
/// limit and its outcome.
pub(crate) fn drive<F>(
    arrivals: &Arrivals,
    label: &str,
    at_start: impl FnOnce(),
    send: impl Fn(Arrival) -> F,
) -> Tallies
where
    F: Future<Output = (usize, Duration, Outcome)> + Send + 'static,
{
    let tallies = Arc::new(Mutex::new(Tallies::default()));
    let mut rng = Rng::with_seed(arrivals.seed);
    let mut progress = Progress::new(label, arrivals);
    let mut at_start = Some(at_start);
    let start = Instant::now();
    let mut due = Duration::ZERO;
    let end = arrivals.warm_up + arrivals.duration;
    let mut tasks = Vec::new();
    for number in 0.. {
        due += Duration::from_secs_f64(-(1.0 - rng.f64()).ln() / arrivals.rate);
        if due >= end {
            break;
        }
        if due >= arrivals.warm_up
            && let Some(at_start) = at_start.take()
        {
            at_start();
        }
        let intended = start + due;
        thread::sleep(intended.saturating_duration_since(Instant::now()));
        let arrival = Arrival { number, portion: rng.f64(), host: rng.usize(..) };
        let (response, tallies) = (send(arrival), tallies.clone());
        let counts = due >= arrivals.warm_up;
        tasks.push(runtime().spawn(async move {
            let (part, limit, outcome) = response.await;
            let latency = intended.elapsed();
            if counts {
                tallies.lock().unwrap().entry(part).or_default().add(outcome, latency, limit);
            }
        }));
        progress.show(due, number);
    }
    progress.clear();
    let finished = async {
        for task in tasks {
            let _ = task.await;
        }
    };
    let _ = runtime().block_on(async { tokio::time::timeout(DRAIN_TIMEOUT, finished).await });
    std::mem::take(&mut tallies.lock().unwrap())
}

/// Progress line on standard error; disabled unless that is a terminal.
struct Progress {
    label: String,
    total: Duration,
    last: Option<Instant>,
}

impl Progress {
    fn new(label: &str, arrivals: &Arrivals) -> Self {
        let last = std::io::stderr().is_terminal().then(Instant::now);
        Self { label: label.to_owned(), total: arrivals.warm_up + arrivals.duration, last }
    }

    fn show(&mut self, due: Duration, sent: u64) {
        if self.last.is_some_and(|last| last.elapsed() >= PROGRESS_INTERVAL) {
            self.last = Some(Instant::now());
            let (due, total) = (due.as_secs_f64(), self.total.as_secs_f64());
            eprint!("\r\x1b[2K{}: {due:.1} of {total:.1} s, {sent} queries", self.label);
            let _ = std::io::stderr().flush();
        }
    }

    fn clear(&self) {
        if self.last.is_some() {
            eprint!("\r\x1b[2K");
        }
    }
}
