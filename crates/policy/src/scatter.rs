//! State machine of one query scattered to the owners of its shards.
//!
//! Every shard has candidates in order of preference: the owners and their backups, the entry
//! host's own data centre first. What happens when a candidate gives no answer:
//!
//! - It refused without dispatching: the next candidate replaces it at no cost.
//! - It has no free target and refused at once: the query spills to the next data centre; if all
//!   are busy, it queues where the fewest requests wait.
//! - It may have dispatched: it is replaced only within the retry budget.
//! - Its link broke, or it is silent (its request then stays in flight): it may also be replaced on
//!   credit, as the loss of a host must not reduce coverage.
//!
//! The owner of a group with a single replica can't hedge within the group. The query then hedges
//! across data centres after a high quantile of the service's latency.

use std::time::{Duration, Instant};

use sapphirerack_catalogue::Name;

use crate::{Budget, Host};

/// Overload errors after which a shard is given up.
const MAX_OVERLOADS: usize = 2;

/// A host that may be asked for a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The host.
    pub host: Host,
    /// Replicas of the shard in its data centre.
    pub replicas: usize,
}

/// Why a candidate gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardError {
    /// None of its targets is free; the value is the number of requests queued there. Nothing was
    /// dispatched.
    Busy(u32),
    /// It can't meet the deadline; nothing was dispatched.
    Overloaded,
    /// It is not the owner; nothing was dispatched.
    NotOwner,
    /// Its data centre lacks the snapshot.
    NoSnapshot,
    /// The request failed and may have been dispatched.
    Failed,
    /// Its link broke; the request may have been dispatched.
    Disconnected,
}

/// A request for a shard to one of its candidates.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShardRequest {
    /// Index of the shard.
    pub shard: usize,
    /// Index of the candidate.
    pub candidate: usize,
}

#[derive(Debug)]
struct ShardState<'a> {
    candidates: &'a [Candidate],
    tried: Vec<bool>,
    in_flight: Vec<(usize, Instant)>,
    /// Candidates that were busy, each with the number of requests queued there.
    busy: Vec<(u32, usize)>,
    /// Whether the next candidate, if busy, is to queue the request instead of refusing it.
    may_queue: bool,
    overloads: usize,
    hedged: bool,
    done: bool,
}

/// A scattered query.
#[derive(Debug, Default)]
pub struct Scatter<'a> {
    states: Vec<ShardState<'a>>,
    unfinished: usize,
    extra: u64,
}

impl<'a> Scatter<'a> {
    /// A query with the candidates of each of its shards.
    pub fn new(shards: impl IntoIterator<Item = &'a [Candidate]>) -> Self {
        let state = |candidates: &'a [Candidate]| ShardState {
            candidates,
            tried: vec![false; candidates.len()],
            in_flight: Vec::new(),
            busy: Vec::new(),
            may_queue: candidates
                .iter()
                .all(|c| c.host.data_centre == candidates[0].host.data_centre),
            overloads: 0,
            hedged: false,
            done: false,
        };
        let states: Vec<ShardState<'a>> = shards.into_iter().map(state).collect();
        Self { unfinished: states.len(), states, extra: 0 }
    }

    /// First requests, one for each shard that has a candidate.
    pub fn start(&mut self, now: Instant, suspect: &dyn Fn(&Host) -> bool) -> Vec<ShardRequest> {
        (0..self.states.len())
            .filter_map(|shard| self.request_next(now, shard, None, suspect))
            .collect()
    }

    /// Whether every shard is answered or given up.
    pub fn is_done(&self) -> bool {
        self.unfinished == 0
    }

    /// Further requests for shards of which an earlier one may have reached a target.
    pub fn extra(&self) -> u64 {
        self.extra
    }

    /// Records an answer; returns the requests to cancel, or `None` if the shard is already done.
    pub fn on_answer(&mut self, request: ShardRequest) -> Option<Vec<ShardRequest>> {
        let state = self.states.get_mut(request.shard).filter(|s| !s.done)?;
        self.unfinished -= 1;
        state.done = true;
        let others = state.in_flight.drain(..).map(|(candidate, _)| candidate);
        let others = others.filter(|c| *c != request.candidate);
        Some(others.map(|candidate| ShardRequest { candidate, ..request }).collect())
    }

    /// Whether the candidate, if busy, is to refuse the request at once so that it spills.
    pub fn spills(&self, request: ShardRequest) -> bool {
        !self.states[request.shard].may_queue
    }

    /// Records an error; returns the next request for the shard if there is one.
    pub fn on_error(
        &mut self,
        now: Instant,
        request: ShardRequest,
        error: ShardError,
        suspect: &dyn Fn(&Host) -> bool,
        budget: &mut Budget,
    ) -> Option<ShardRequest> {
        let state = self.states.get_mut(request.shard).filter(|s| !s.done)?;
        state.in_flight.retain(|(candidate, _)| *candidate != request.candidate);
        if let ShardError::Busy(waiting) = error {
            return self.spill(now, request, waiting, suspect);
        }
        let state = &mut self.states[request.shard];
        let centre = &state.candidates[request.candidate].host.data_centre;
        let (skip, may) = match error {
            ShardError::Busy(_) => (None, true),
            ShardError::NotOwner => (None, true),
            ShardError::NoSnapshot => (Some(centre), true),
            ShardError::Overloaded => {
                state.overloads += 1;
                (Some(centre), state.overloads < MAX_OVERLOADS)
            }
            ShardError::Failed => (Some(centre), state.in_flight.is_empty() && budget.retry()),
            ShardError::Disconnected => (None, state.in_flight.is_empty() && budget.borrow()),
        };
        let is_extra = matches!(error, ShardError::Failed | ShardError::Disconnected);
        let next = if may { self.request_next(now, request.shard, skip, suspect) } else { None };
        self.extra += u64::from(is_extra && next.is_some());
        let state = &mut self.states[request.shard];
        if next.is_none() && state.in_flight.is_empty() {
            state.done = true;
            self.unfinished -= 1;
        }
        next
    }

    /// Sends the request to the next data centre that is not busy, at a host that is not suspected;
    /// if there is none, queues it where the fewest requests wait, the most preferred of these.
    fn spill(
        &mut self,
        now: Instant,
        request: ShardRequest,
        waiting: u32,
        suspect: &dyn Fn(&Host) -> bool,
    ) -> Option<ShardRequest> {
        let state = &mut self.states[request.shard];
        state.busy.push((waiting, request.candidate));
        let candidates = state.candidates;
        let centre = |i: usize| &candidates[i].host.data_centre;
        let is_busy = |i: usize| state.busy.iter().any(|(_, b)| centre(*b) == centre(i));
        let fresh = (0..candidates.len())
            .find(|i| !state.tried[*i] && !is_busy(*i) && !suspect(&candidates[*i].host));
        let candidate = match fresh {
            Some(candidate) => candidate,
            None => {
                state.may_queue = true;
                let least = state.busy.iter().min()?;
                least.1
            }
        };
        state.tried[candidate] = true;
        state.in_flight.push((candidate, now));
        Some(ShardRequest { candidate, ..request })
    }

    /// Sends a second request for each shard that waits only for the silent host, which may still
    /// answer.
    pub fn on_silence(
        &mut self,
        now: Instant,
        host: &Host,
        suspect: &dyn Fn(&Host) -> bool,
        budget: &mut Budget,
    ) -> Vec<ShardRequest> {
        let waits = |s: &ShardState<'_>| {
            !s.done
                && s.in_flight.len() == 1
                && s.candidates[s.in_flight[0].0].host.name == host.name
        };
        let shards: Vec<usize> =
            (0..self.states.len()).filter(|i| waits(&self.states[*i])).collect();
        let next = shards.into_iter().filter_map(|shard| {
            let next =
                if budget.borrow() { self.request_next(now, shard, None, suspect) } else { None };
            self.extra += u64::from(next.is_some());
            next
        });
        next.collect()
    }

    /// Hedges in another data centre the shards that wait for a data centre with a single replica.
    pub fn hedge(
        &mut self,
        now: Instant,
        delay: Duration,
        suspect: &dyn Fn(&Host) -> bool,
        budget: &mut Budget,
    ) -> Vec<ShardRequest> {
        let mut requests = Vec::new();
        for shard in 0..self.states.len() {
            let state = &self.states[shard];
            let Some(centre) = hedge_due(state, now, delay) else { continue };
            if !budget.hedge() {
                return requests;
            }
            self.states[shard].hedged = true;
            if let Some(request) = self.request_next(now, shard, Some(centre), suspect) {
                self.extra += 1;
                requests.push(request);
            }
        }
        requests
    }

    /// Time at which the next hedge is due.
    pub fn next_hedge(&self, delay: Duration) -> Option<Instant> {
        self.states.iter().filter_map(|s| hedge_time(s, delay)).min()
    }

    /// Requests in flight, with host and time of sending.
    pub fn in_flight(&self) -> impl Iterator<Item = (ShardRequest, &Host, Instant)> {
        let requests = |(shard, state): (usize, &'_ ShardState<'a>)| {
            let candidates = state.candidates;
            let requests: Vec<_> = state.in_flight.clone();
            requests.into_iter().map(move |(candidate, at)| {
                (ShardRequest { shard, candidate }, &candidates[candidate].host, at)
            })
        };
        self.states.iter().enumerate().filter(|(_, s)| !s.done).flat_map(requests)
    }

    /// Sends a request to the most preferred candidate not tried yet; suspected hosts come last.
    fn request_next(
        &mut self,
        now: Instant,
        shard: usize,
        skip: Option<&Name>,
        suspect: &dyn Fn(&Host) -> bool,
    ) -> Option<ShardRequest> {
        let state = &mut self.states[shard];
        let fresh: Vec<usize> = (0..state.candidates.len())
            .filter(|i| !state.tried[*i] && Some(&state.candidates[*i].host.data_centre) != skip)
            .collect();
        let trusted = fresh.iter().find(|i| !suspect(&state.candidates[**i].host));
        let candidate = trusted.or(fresh.first()).copied();
        match candidate {
            Some(candidate) => {
                state.tried[candidate] = true;
                state.in_flight.push((candidate, now));
                Some(ShardRequest { shard, candidate })
            }
            None if state.in_flight.is_empty() && !state.tried.iter().any(|a| *a) => {
                state.done = true;
                self.unfinished -= 1;
                None
            }
            None => None,
        }
    }
}

/// Data centre of the only request of a shard if a hedge is due.
fn hedge_due<'a>(state: &ShardState<'a>, now: Instant, delay: Duration) -> Option<&'a Name> {
    let candidates: &'a [Candidate] = state.candidates;
    hedge_time(state, delay)
        .filter(|at| *at <= now)
        .map(|_| &candidates[state.in_flight[0].0].host.data_centre)
}

fn hedge_time(state: &ShardState<'_>, delay: Duration) -> Option<Instant> {
    let [(candidate, at)] = state.in_flight[..] else { return None };
    let single = state.candidates[candidate].replicas == 1;
    (single && !state.done && !state.hedged).then_some(at + delay)
}
