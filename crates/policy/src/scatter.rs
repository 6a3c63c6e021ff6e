//! One query scattered to the owners of its shards, as a state machine.
//!
//! Every shard has candidates in order of preference: the owners and their stand-ins, the entry
//! host's own data centre first. A candidate that refused without dispatching is replaced by the
//! next one at no cost; one that has no target free just now refuses at once, and the query spills to
//! the next data centre, or waits where the fewest wait if all are busy; one that may have dispatched is replaced within the budget; one whose
//! link broke, or that fell silent and keeps its chance meanwhile, may also be replaced on credit,
//! as a lost host must not cost coverage. Where a group has a single replica, its owner can't hedge: the query then hedges
//! across data centres after a high quantile of the service's latency.

use std::time::{Duration, Instant};

use sapphirerack_catalogue::Name;

use crate::{Budget, Host};

/// Refusals for lack of capacity after which a shard is given up.
const OVERLOADS: usize = 2;

/// A host that may be asked about a shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The host.
    pub host: Host,
    /// Replicas that its data centre has of the shard.
    pub replicas: usize,
}

/// Why a candidate has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ShardError {
    /// None of its targets is free, and so many wait there; nothing was dispatched.
    Busy(u32),
    /// It can't meet the deadline; nothing was dispatched.
    Overloaded,
    /// It is not the owner; nothing was dispatched.
    NotOwner,
    /// Its data centre lacks the snapshot.
    NoSnapshot,
    /// It may have dispatched.
    Failed,
    /// Its link broke.
    Disconnected,
}

/// A request to a candidate of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ShardRequest {
    /// Index of the shard.
    pub shard: usize,
    /// Index of the candidate.
    pub candidate: usize,
}

#[derive(Debug)]
struct State<'a> {
    candidates: &'a [Candidate],
    asked: Vec<bool>,
    open: Vec<(usize, Instant)>,
    /// Candidates that were busy, with how many waited there.
    busy: Vec<(u32, usize)>,
    /// Whether the next candidate is to queue the request rather than to refuse it when busy.
    patient: bool,
    overloads: usize,
    hedged: bool,
    done: bool,
}

/// A scattered query.
#[derive(Debug, Default)]
pub struct Scatter<'a> {
    states: Vec<State<'a>>,
    undone: usize,
    extra: u64,
}

impl<'a> Scatter<'a> {
    /// A query with the candidates of each shard.
    pub fn new(shards: impl IntoIterator<Item = &'a [Candidate]>) -> Self {
        let state = |candidates: &'a [Candidate]| State {
            candidates,
            asked: vec![false; candidates.len()],
            open: Vec::new(),
            busy: Vec::new(),
            patient: candidates
                .iter()
                .all(|c| c.host.data_centre == candidates[0].host.data_centre),
            overloads: 0,
            hedged: false,
            done: false,
        };
        let states: Vec<State<'a>> = shards.into_iter().map(state).collect();
        Self { undone: states.len(), states, extra: 0 }
    }

    /// First requests, one for each shard that has a candidate.
    pub fn start(&mut self, now: Instant, suspect: &dyn Fn(&Host) -> bool) -> Vec<ShardRequest> {
        (0..self.states.len()).filter_map(|shard| self.ask(now, shard, None, suspect)).collect()
    }

    /// Whether nothing is open any more.
    pub fn is_done(&self) -> bool {
        self.undone == 0
    }

    /// Requests beyond the first that may have reached a target.
    pub fn extra(&self) -> u64 {
        self.extra
    }

    /// Takes note of an answer; returns the requests to withdraw, or `None` if it is too late.
    pub fn on_answer(&mut self, ask: ShardRequest) -> Option<Vec<ShardRequest>> {
        let state = self.states.get_mut(ask.shard).filter(|s| !s.done)?;
        self.undone -= 1;
        state.done = true;
        let others = state.open.drain(..).map(|(candidate, _)| candidate);
        let others = others.filter(|c| *c != ask.candidate);
        Some(others.map(|candidate| ShardRequest { candidate, ..ask }).collect())
    }

    /// Whether a request is to be refused at once if its candidate is busy.
    pub fn spills(&self, ask: ShardRequest) -> bool {
        !self.states[ask.shard].patient
    }

    /// Takes note of a setback; returns the next request for the shard if there is one.
    pub fn on_error(
        &mut self,
        now: Instant,
        ask: ShardRequest,
        setback: ShardError,
        suspect: &dyn Fn(&Host) -> bool,
        budget: &mut Budget,
    ) -> Option<ShardRequest> {
        let state = self.states.get_mut(ask.shard).filter(|s| !s.done)?;
        state.open.retain(|(candidate, _)| *candidate != ask.candidate);
        if let ShardError::Busy(waiting) = setback {
            return self.spill(now, ask, waiting, suspect);
        }
        let state = &mut self.states[ask.shard];
        let centre = &state.candidates[ask.candidate].host.data_centre;
        let (skip, may) = match setback {
            ShardError::Busy(_) => (None, true),
            ShardError::NotOwner => (None, true),
            ShardError::NoSnapshot => (Some(centre), true),
            ShardError::Overloaded => {
                state.overloads += 1;
                (Some(centre), state.overloads < OVERLOADS)
            }
            ShardError::Failed => (Some(centre), state.open.is_empty() && budget.retry()),
            ShardError::Disconnected => (None, state.open.is_empty() && budget.borrow()),
        };
        let is_extra = matches!(setback, ShardError::Failed | ShardError::Disconnected);
        let next = if may { self.ask(now, ask.shard, skip, suspect) } else { None };
        self.extra += u64::from(is_extra && next.is_some());
        let state = &mut self.states[ask.shard];
        if next.is_none() && state.open.is_empty() {
            state.done = true;
            self.undone -= 1;
        }
        next
    }

    /// Asks the next data centre instead of a busy one; if all are busy, lets the request wait where
    /// the fewest do, the nearest of these.
    fn spill(
        &mut self,
        now: Instant,
        ask: ShardRequest,
        waiting: u32,
        suspect: &dyn Fn(&Host) -> bool,
    ) -> Option<ShardRequest> {
        let state = &mut self.states[ask.shard];
        state.busy.push((waiting, ask.candidate));
        let candidates = state.candidates;
        let centre = |i: usize| &candidates[i].host.data_centre;
        let is_busy = |i: usize| state.busy.iter().any(|(_, b)| centre(*b) == centre(i));
        let fresh = (0..candidates.len())
            .find(|i| !state.asked[*i] && !is_busy(*i) && !suspect(&candidates[*i].host));
        let candidate = match fresh {
            Some(candidate) => candidate,
            None => {
                state.patient = true;
                let least = state.busy.iter().min()?;
                least.1
            }
        };
        state.asked[candidate] = true;
        state.open.push((candidate, now));
        Some(ShardRequest { candidate, ..ask })
    }

    /// Asks others where a host is silent; the host may still answer.
    pub fn on_silence(
        &mut self,
        now: Instant,
        host: &Host,
        suspect: &dyn Fn(&Host) -> bool,
        budget: &mut Budget,
    ) -> Vec<ShardRequest> {
        let waits = |s: &State<'_>| {
            !s.done && s.open.len() == 1 && s.candidates[s.open[0].0].host.name == host.name
        };
        let shards: Vec<usize> =
            (0..self.states.len()).filter(|i| waits(&self.states[*i])).collect();
        let next = shards.into_iter().filter_map(|shard| {
            let next = if budget.borrow() { self.ask(now, shard, None, suspect) } else { None };
            self.extra += u64::from(next.is_some());
            next
        });
        next.collect()
    }

    /// Hedges, across data centres, the shards whose only replica there is slow.
    pub fn hedge(
        &mut self,
        now: Instant,
        delay: Duration,
        suspect: &dyn Fn(&Host) -> bool,
        budget: &mut Budget,
    ) -> Vec<ShardRequest> {
        let mut asks = Vec::new();
        for shard in 0..self.states.len() {
            let state = &self.states[shard];
            let Some(centre) = due(state, now, delay) else { continue };
            if !budget.hedge() {
                return asks;
            }
            self.states[shard].hedged = true;
            if let Some(ask) = self.ask(now, shard, Some(centre), suspect) {
                self.extra += 1;
                asks.push(ask);
            }
        }
        asks
    }

    /// Time at which the next hedge is due.
    pub fn next_hedge(&self, delay: Duration) -> Option<Instant> {
        self.states.iter().filter_map(|s| hedge_time(s, delay)).min()
    }

    /// Requests that are open, with the host and the time of the request.
    pub fn in_flight(&self) -> impl Iterator<Item = (ShardRequest, &Host, Instant)> {
        let open = |(shard, state): (usize, &'_ State<'a>)| {
            let candidates = state.candidates;
            let asks: Vec<_> = state.open.clone();
            asks.into_iter().map(move |(candidate, at)| {
                (ShardRequest { shard, candidate }, &candidates[candidate].host, at)
            })
        };
        self.states.iter().enumerate().filter(|(_, s)| !s.done).flat_map(open)
    }

    /// Asks the best candidate not yet asked, those that are suspected last.
    fn ask(
        &mut self,
        now: Instant,
        shard: usize,
        skip: Option<&Name>,
        suspect: &dyn Fn(&Host) -> bool,
    ) -> Option<ShardRequest> {
        let state = &mut self.states[shard];
        let fresh: Vec<usize> = (0..state.candidates.len())
            .filter(|i| !state.asked[*i] && Some(&state.candidates[*i].host.data_centre) != skip)
            .collect();
        let trusted = fresh.iter().find(|i| !suspect(&state.candidates[**i].host));
        let candidate = trusted.or(fresh.first()).copied();
        match candidate {
            Some(candidate) => {
                state.asked[candidate] = true;
                state.open.push((candidate, now));
                Some(ShardRequest { shard, candidate })
            }
            None if state.open.is_empty() && !state.asked.iter().any(|a| *a) => {
                state.done = true;
                self.undone -= 1;
                None
            }
            None => None,
        }
    }
}

/// Data centre of the only request of a shard if it is to be hedged by now.
fn due<'a>(state: &State<'a>, now: Instant, delay: Duration) -> Option<&'a Name> {
    let candidates: &'a [Candidate] = state.candidates;
    hedge_time(state, delay)
        .filter(|at| *at <= now)
        .map(|_| &candidates[state.open[0].0].host.data_centre)
}

fn hedge_time(state: &State<'_>, delay: Duration) -> Option<Instant> {
    let [(candidate, at)] = state.open[..] else { return None };
    let single = state.candidates[candidate].replicas == 1;
    (single && !state.done && !state.hedged).then_some(at + delay)
}
