//! Results of runs, as a table and as JSON lines.

use std::fmt::Write;

use serde::Serialize;

use crate::load::Condition;

/// Results of one run, for the whole mix or one portion of it.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// Name of the variant.
    pub variant: String,
    /// Arrival rate, as a fraction of the capacity of healthy targets.
    pub load: f64,
    /// State of the targets.
    pub condition: Condition,
    /// Number of the repeat.
    pub repeat: u32,
    /// Member, class and route, or `all`.
    pub part: String,
    /// Intended arrivals per second.
    pub rate: f64,
    /// Queries that arrived during the measurement.
    pub queries: u64,
    /// Queries that got an answer.
    pub answered: u64,
    /// Queries refused as not run.
    pub refused: u64,
    /// Queries without an answer.
    pub failed: u64,
    /// Complete answers within the deadline, per second.
    pub goodput: f64,
    /// Complete answers within the deadline, as a fraction of the queries.
    pub good_share: f64,
    /// Mean actual coverage; a query without an answer counts as 0.
    pub coverage: f64,
    /// Median latency of answered queries, from the intended start.
    pub p50_ms: f64,
    /// 99th percentile of the same latency.
    pub p99_ms: f64,
    /// 99.9th percentile of the same latency.
    pub p999_ms: f64,
    /// Requests to targets beyond one per shard of an answered query, as a fraction.
    pub extra: f64,
    /// Mean utilization of the slots.
    pub busy: f64,
    /// Maximum number of requests running concurrently at one target.
    pub most_running: u32,
    /// Maximum number of requests running or queued at one target, divided by its slots.
    pub held_ratio: f64,
    /// Maximum number of connections to one target, including refused ones, divided by its limit.
    pub connection_ratio: f64,
    /// Maximum number of requests at one target while it was cold.
    pub most_cold: u32,
    /// Requests to cold targets beyond their capacity.
    pub overloads: u64,
    /// Requests shed by targets.
    pub shed: u64,
    /// Answers containing results of another request.
    pub foreign: u64,
    /// Answers with results of another snapshot than reported.
    pub mixed: u64,
    /// Answers whose reported coverage differs from the actual one.
    pub false_coverage: u64,
    /// CPU time of all hosts per query, in microseconds; 0 for baselines.
    pub query_cpu: f64,
}

impl Default for Run {
    fn default() -> Self {
        Self {
            variant: String::new(),
            load: 0.0,
            condition: Condition::Healthy,
            repeat: 0,
            part: String::new(),
            rate: 0.0,
            queries: 0,
            answered: 0,
            refused: 0,
            failed: 0,
            goodput: 0.0,
            good_share: 0.0,
            coverage: 0.0,
            p50_ms: 0.0,
            p99_ms: 0.0,
            p999_ms: 0.0,
            extra: 0.0,
            busy: 0.0,
            most_running: 0,
            held_ratio: 0.0,
            connection_ratio: 0.0,
            most_cold: 0,
            overloads: 0,
            shed: 0,
            foreign: 0,
            mixed: 0,
            false_coverage: 0,
            query_cpu: 0.0,
        }
    }
}

/// A column of the table.
struct Column {
    title: &'static str,
    value: fn(&Run) -> f64,
    digits: usize,
}

const COLUMNS: [Column; 13] = [
    Column { title: "p50 ms", value: |r| r.p50_ms, digits: 1 },
    Column { title: "p99 ms", value: |r| r.p99_ms, digits: 1 },
    Column { title: "p99.9 ms", value: |r| r.p999_ms, digits: 1 },
    Column { title: "coverage", value: |r| r.coverage, digits: 4 },
    Column { title: "good %", value: |r| r.good_share * 100.0, digits: 1 },
    Column { title: "goodput/s", value: |r| r.goodput, digits: 0 },
    Column { title: "refused %", value: |r| percent(r.refused, r.queries), digits: 1 },
    Column { title: "extra %", value: |r| r.extra * 100.0, digits: 1 },
    Column { title: "busy %", value: |r| r.busy * 100.0, digits: 0 },
    Column { title: "held/slots", value: |r| r.held_ratio, digits: 1 },
    Column { title: "conn/limit", value: |r| r.connection_ratio, digits: 2 },
    Column { title: "most cold", value: |r| f64::from(r.most_cold), digits: 0 },
    Column {
        title: "dishonest",
        value: |r| (r.foreign + r.mixed + r.false_coverage) as f64,
        digits: 0,
    },
];

fn percent(part: u64, whole: u64) -> f64 {
    part as f64 * 100.0 / whole.max(1) as f64
}

/// Table of the runs: median of the repeats, with minimum and maximum in brackets.
pub fn table(runs: &[Run]) -> String {
    let mut text = String::from("| condition | load | part | variant |");
    COLUMNS.iter().for_each(|c| write!(text, " {} |", c.title).unwrap());
    text.push_str("\n|---|---|---|---|");
    COLUMNS.iter().for_each(|_| text.push_str("---|"));
    text.push('\n');
    let mut seen: Vec<&Run> = Vec::new();
    for run in runs {
        if seen.iter().any(|other| is_repeat(other, run)) {
            continue;
        }
        seen.push(run);
        let repeats: Vec<&Run> = runs.iter().filter(|other| is_repeat(other, run)).collect();
        let (condition, load) = (run.condition, run.load);
        write!(text, "| {condition:?} | {load} | {} | {} |", run.part, run.variant).unwrap();
        for column in &COLUMNS {
            write!(text, " {} |", median_and_range(column, &repeats)).unwrap();
        }
        text.push('\n');
    }
    text
}

fn is_repeat(one: &Run, other: &Run) -> bool {
    let key = |r: &Run| (r.variant.clone(), r.condition, r.load.to_bits(), r.part.clone());
    key(one) == key(other)
}

fn median_and_range(column: &Column, runs: &[&Run]) -> String {
    let mut values: Vec<f64> = runs.iter().map(|r| (column.value)(r)).collect();
    values.sort_by(f64::total_cmp);
    let digits = column.digits;
    let median = values[values.len() / 2];
    let (min, max) = (values[0], values[values.len() - 1]);
    let text = format!("{median:.digits$}");
    if format!("{min:.digits$}") == text && format!("{max:.digits$}") == text {
        return text;
    }
    format!("{text} ({min:.digits$} to {max:.digits$})")
}
