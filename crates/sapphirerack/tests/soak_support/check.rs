//! What callers and targets saw, and which of it is not allowed.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

/// Time beyond its deadline within which every request must have its answer.
const ANSWER_SLACK: Duration = Duration::from_secs(1);

/// Records in the answer to a query.
const TOP: usize = 4;

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

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Got {
    /// Status, the signatures in the answer, and the shards that it says to lack.
    Answer { status: u16, seals: Vec<String>, missing: usize },
    /// The connection ended before a whole answer.
    Cut,
    /// No connection could be opened.
    Nothing,
}

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: String,
    pub kind: Kind,
    pub host: usize,
    /// Which run of the host's process was there when it was sent.
    pub run: u64,
    pub start: Instant,
    pub end: Instant,
    pub deadline: Duration,
    pub got: Got,
    /// Records in the answer, each a byte that is repeated.
    pub records: Vec<u8>,
}

/// A request that a target ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub service: String,
}

/// A shard and the records that each of its targets holds.
#[derive(Clone, Debug)]
pub struct Shard {
    pub name: String,
    pub records: Vec<u8>,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    pub calls: Vec<Call>,
    pub runs: Vec<Run>,
    /// Times in which a host was killed or frozen, or started again.
    pub disturbed: Vec<(usize, Instant, Instant)>,
    pub shards: Vec<Shard>,
}

/// Rules that the history breaks, each in words.
pub fn check(history: &History) -> Vec<String> {
    let mut runs: HashMap<&str, Vec<&Run>> = HashMap::new();
    for run in &history.runs {
        runs.entry(&run.id).or_default().push(run);
    }
    let issued: HashSet<&str> = history.calls.iter().map(|c| c.id.as_str()).collect();
    let unasked = runs.keys().filter(|id| !issued.contains(*id));
    let mut broken: Vec<String> = unasked.map(|id| format!("{id}: ran and was not sent")).collect();
    let services: HashMap<&str, &str> =
        history.runs.iter().map(|r| (r.target.as_str(), r.service.as_str())).collect();
    for call in &history.calls {
        let ran = runs.get(call.id.as_str()).map_or(&[][..], Vec::as_slice);
        let rules = [
            once(call, ran),
            refusal(call, ran),
            own_answer(call, &services, &history.shards),
            answered(call, ran, history),
        ];
        broken.extend(rules.into_iter().flatten().map(|rule| format!("{}: {rule}", call.id)));
    }
    broken.extend(regressions(history, &services));
    broken
}

fn once(call: &Call, ran: &[&Run]) -> Option<String> {
    let twice = call.kind == Kind::Book && ran.len() > 1;
    twice.then(|| format!("ran {} times", ran.len()))
}

fn refusal(call: &Call, ran: &[&Run]) -> Option<String> {
    let Got::Answer { status, .. } = call.got else { return None };
    let promised = call.kind == Kind::Book && matches!(status, 408 | 421 | 429 | 503);
    (promised && !ran.is_empty()).then(|| format!("ran, and was answered {status}"))
}

fn own_answer(call: &Call, services: &HashMap<&str, &str>, shards: &[Shard]) -> Option<String> {
    let Got::Answer { status: 200, seals, missing } = &call.got else { return None };
    let mut named: Vec<&str> = Vec::new();
    for seal in seals {
        let Some((target, id)) = seal.strip_prefix("seal.").and_then(|s| s.split_once('.')) else {
            return Some(format!("unknown signature {seal}"));
        };
        if id != call.id {
            return Some(format!("answer to {id}"));
        }
        named.push(services.get(target).copied().unwrap_or("no service"));
    }
    if call.kind != Kind::Query {
        return (named.len() != 1).then(|| format!("{} signatures", named.len()));
    }
    let distinct: HashSet<&str> = named.iter().copied().collect();
    let wrong = distinct.len() != named.len()
        || named.len() + missing != shards.len()
        || !named.iter().all(|s| shards.iter().any(|shard| shard.name == **s));
    if wrong {
        return Some(format!("parts of {named:?}, {missing} missing"));
    }
    let parts = shards.iter().filter(|s| distinct.contains(s.name.as_str()));
    let mut greatest: Vec<u8> = parts.flat_map(|s| s.records.clone()).collect();
    greatest.sort_unstable_by(|a, b| b.cmp(a));
    greatest.truncate(TOP);
    let other = call.records != greatest;
    other.then(|| format!("records {:?}, expected {greatest:?}", call.records))
}

/// A host that is neither killed nor frozen answers each request that it has passed on, in time.
fn answered(call: &Call, ran: &[&Run], history: &History) -> Option<String> {
    let disturbed = history
        .disturbed
        .iter()
        .any(|(host, from, until)| *host == call.host && *from <= call.end && call.start <= *until);
    if disturbed {
        return None;
    }
    if call.got == Got::Cut && !ran.is_empty() {
        return Some(format!("passed on by host {} and cut", call.host));
    }
    let late = call.end > call.start + call.deadline + ANSWER_SLACK;
    late.then(|| format!("answered by host {} after {:?}", call.host, call.end - call.start))
}

/// A run of a host never goes back to an older configuration.
fn regressions(history: &History, services: &HashMap<&str, &str>) -> Vec<String> {
    let version = |call: &Call| -> Option<u64> {
        let Got::Answer { status: 200, seals, .. } = &call.got else { return None };
        let target = seals.first()?.strip_prefix("seal.")?.split('.').next()?;
        services.get(target)?.strip_prefix("desk-")?.parse().ok()
    };
    let mut seen: HashMap<(usize, u64), Vec<(&Call, u64)>> = HashMap::new();
    for call in history.calls.iter().filter(|c| c.kind != Kind::Query) {
        if let Some(version) = version(call) {
            seen.entry((call.host, call.run)).or_default().push((call, version));
        }
    }
    let mut broken = Vec::new();
    for calls in seen.values() {
        for (call, version) in calls {
            let newer = calls.iter().find(|(c, v)| v > version && c.end < call.start);
            if let Some((_, newer)) = newer {
                let host = call.host;
                broken.push(format!("{}: host {host} went from {newer} to {version}", call.id));
            }
        }
    }
    broken
}
