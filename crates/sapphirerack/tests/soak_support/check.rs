//! History of requests and executions, and the checker of its invariants.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Time after its deadline by which every request must be answered.
const ANSWER_SLACK: Duration = Duration::from_secs(1);

/// Records per query response, as in `TopK` of the configuration.
const TOP_K: usize = 4;

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Scattered over all shards.
    Query,
    /// To one target; may be repeated.
    Read,
    /// To one target; must not be repeated.
    Book,
}

/// Outcome of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Complete response: status, signatures, and the number of shards reported missing.
    Answer { status: u16, seals: Vec<String>, missing: usize },
    /// The connection ended before a complete response.
    Incomplete,
    /// No connection could be opened.
    NotConnected,
}

/// A request as its caller saw it.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub kind: Kind,
    pub host: usize,
    /// Restarts of the host process before the request was sent.
    pub incarnation: u64,
    pub start: Instant,
    pub end: Instant,
    pub deadline: Duration,
    pub outcome: Outcome,
    /// Records in the response, each one byte repeated.
    pub records: Vec<u8>,
}

/// Execution of a request by a target.
#[derive(Clone, Debug)]
pub struct Execution {
    pub id: String,
    pub target: String,
    pub service: String,
}

/// A shard and the records on each of its targets.
#[derive(Clone, Debug)]
pub struct Shard {
    pub name: String,
    pub records: Vec<u8>,
}

/// Everything recorded in one run.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub calls: Vec<Call>,
    pub executions: Vec<Execution>,
    /// Host, start and end of each kill or freeze, including the restart.
    pub disruptions: Vec<(usize, Instant, Instant)>,
    pub shards: Vec<Shard>,
}

/// Violations in the history, described for the log.
pub fn check(history: &History) -> Vec<String> {
    let mut by_id: HashMap<&str, Vec<&Execution>> = HashMap::new();
    for execution in &history.executions {
        by_id.entry(&execution.id).or_default().push(execution);
    }
    let sent: HashSet<&str> = history.calls.iter().map(|c| c.id.as_str()).collect();
    let unsent = by_id.keys().filter(|id| !sent.contains(*id));
    let mut violations: Vec<String> =
        unsent.map(|id| format!("{id}: executed, but never sent")).collect();
    let services: HashMap<&str, &str> =
        history.executions.iter().map(|e| (e.target.as_str(), e.service.as_str())).collect();
    for call in &history.calls {
        let executions = by_id.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
        let found = [
            duplicate_execution(call, executions),
            false_refusal(call, executions),
            wrong_answer(call, &services, &history.shards),
            lost_or_late(call, executions, history),
        ];
        violations.extend(
            found.into_iter().flatten().map(|violation| format!("{}: {violation}", call.id)),
        );
    }
    violations.extend(configuration_rollbacks(history, &services));
    violations
}

fn duplicate_execution(call: &Call, executions: &[&Execution]) -> Option<String> {
    let duplicated = call.kind == Kind::Book && executions.len() > 1;
    duplicated.then(|| format!("executed {} times", executions.len()))
}

fn false_refusal(call: &Call, executions: &[&Execution]) -> Option<String> {
    let Outcome::Answer { status, .. } = call.outcome else { return None };
    let claims_not_run = call.kind == Kind::Book && matches!(status, 408 | 421 | 429 | 503);
    (claims_not_run && !executions.is_empty()).then(|| format!("executed, but answered {status}"))
}

fn wrong_answer(call: &Call, services: &HashMap<&str, &str>, shards: &[Shard]) -> Option<String> {
    let Outcome::Answer { status: 200, seals, missing } = &call.outcome else { return None };
    let mut sources: Vec<&str> = Vec::new();
    for seal in seals {
        let Some((target, id)) = seal.strip_prefix("seal.").and_then(|s| s.split_once('.')) else {
            return Some(format!("unknown signature {seal}"));
        };
        if id != call.id {
            return Some(format!("answered with the response to {id}"));
        }
        sources.push(services.get(target).copied().unwrap_or("unknown service"));
    }
    if call.kind != Kind::Query {
        return (sources.len() != 1).then(|| format!("{} signatures, expected 1", sources.len()));
    }
    let distinct: HashSet<&str> = sources.iter().copied().collect();
    let inconsistent = distinct.len() != sources.len()
        || sources.len() + missing != shards.len()
        || !sources.iter().all(|s| shards.iter().any(|shard| shard.name == **s));
    if inconsistent {
        return Some(format!("parts of {sources:?}, {missing} missing"));
    }
    let parts = shards.iter().filter(|s| distinct.contains(s.name.as_str()));
    let mut expected: Vec<u8> = parts.flat_map(|s| s.records.clone()).collect();
    expected.sort_unstable_by(|a, b| b.cmp(a));
    expected.truncate(TOP_K);
    let differs = call.records != expected;
    differs.then(|| format!("records {:?}, expected {expected:?}", call.records))
}

/// A host that is neither killed nor frozen answers each forwarded request in time.
fn lost_or_late(call: &Call, executions: &[&Execution], history: &History) -> Option<String> {
    let disrupted = history
        .disruptions
        .iter()
        .any(|(host, from, until)| *host == call.host && *from <= call.end && call.start <= *until);
    if disrupted {
        return None;
    }
    if call.outcome == Outcome::Incomplete && !executions.is_empty() {
        return Some(format!("forwarded by host {}, but no complete response", call.host));
    }
    let late = call.end > call.start + call.deadline + ANSWER_SLACK;
    late.then(|| format!("answered by host {} after {:?}", call.host, call.end - call.start))
}

/// A host process never goes back to an older configuration.
fn configuration_rollbacks(history: &History, services: &HashMap<&str, &str>) -> Vec<String> {
    let version = |call: &Call| -> Option<u64> {
        let Outcome::Answer { status: 200, seals, .. } = &call.outcome else { return None };
        let target = seals.first()?.strip_prefix("seal.")?.split('.').next()?;
        services.get(target)?.strip_prefix("desk-")?.parse().ok()
    };
    let mut by_incarnation: HashMap<(usize, u64), Vec<(&Call, u64)>> = HashMap::new();
    for call in history.calls.iter().filter(|c| c.kind != Kind::Query) {
        if let Some(version) = version(call) {
            by_incarnation.entry((call.host, call.incarnation)).or_default().push((call, version));
        }
    }
    let mut violations = Vec::new();
    for calls in by_incarnation.values() {
        for (call, version) in calls {
            let newer = calls.iter().find(|(c, v)| v > version && c.end < call.start);
            if let Some((_, newer)) = newer {
                let host = call.host;
                violations.push(format!(
                    "{}: host {host} went back from configuration {newer} to {version}",
                    call.id
                ));
            }
        }
    }
    violations
}
