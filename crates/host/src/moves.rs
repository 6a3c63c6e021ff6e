//! Executes moves: every host evaluates every open move from its record.
//!
//! A thread evaluates the open moves periodically. It sets the traffic shares of new versions,
//! judges these versions, and queues the steps that are due. A verdict takes effect on this host
//! before it is gossiped, and reaches the other hosts without the store.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use sapphirerack_catalogue::{Catalogue, Goal, Map, Move, MoveState, Name, Presence, Set};
use sapphirerack_policy::evidence::SAMPLE_SIZE;
use sapphirerack_policy::moves::{self, Effect, Facts};
use sapphirerack_policy::{Clock, Host, Verdict, rank};

use crate::config::{Config, View};
use crate::gossip::Gossip;
use crate::judge::{Judge, Summary};
use crate::move_gossip::{KnownVersions, MoveUpdate};
use crate::peers::Peers;
use crate::routing::Routing;
use crate::steps::DueStep;
use crate::versions::{Versions, Watch};
use crate::{Error, Result};

/// Gossip topic of the moves.
const TOPIC: &str = "moves";

/// Interval between evaluations of the open moves.
const TICK: Duration = Duration::from_millis(200);

/// Delay before writing a step, for each host that ranks before this one.
const RANK_DELAY: Duration = Duration::from_millis(400);

/// Highest position in the ranking that adds to the delay; all later hosts use the same delay.
const MAX_RANK: usize = 16;

/// Interval between attempts at the same step.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Age up to which evidence from a data centre counts as fresh.
const MAX_EVIDENCE_AGE: Duration = Duration::from_secs(10);

/// Time for which the share of a reversed shift is still enforced, as 0.
const REVERSED_RETENTION: Duration = Duration::from_secs(60);

/// Shared components that [`MoveExecutor`] uses.
pub(crate) struct Context {
    pub clock: Arc<dyn Clock>,
    pub config: Arc<Config>,
    pub routing: Arc<Routing>,
    pub peers: Arc<Peers>,
    pub versions: Arc<Versions>,
    pub gossip: Arc<Gossip>,
    pub steps: flume::Sender<DueStep>,
}

/// Executes moves.
pub(crate) struct MoveExecutor {
    context: Context,
    judge: Judge,
}

/// A step that is due, with the time of the next attempt.
struct PendingStep {
    revision: u64,
    next: Instant,
}

impl MoveExecutor {
    /// Registers the gossip topic and starts the thread.
    pub(crate) fn spawn(context: Context) -> Result<Arc<Self>> {
        let judge = Judge::new(context.peers.own().clone());
        let moves = Arc::new(Self { context, judge });
        let (producer, consumer, ticker) = (moves.clone(), moves.clone(), moves.clone());
        moves.context.gossip.register(
            TOPIC,
            move || producer.produce(),
            move |b| consumer.consume(b),
        );
        let run = move || {
            let mut pending = Map::default();
            loop {
                ticker.tick(&mut pending);
                thread::sleep(TICK);
            }
        };
        let builder = thread::Builder::new().name("moves".into());
        builder.spawn(run).map_err(|e| Error::io("start thread", "moves", e))?;
        Ok(moves)
    }

    /// Evidence on a move.
    pub(crate) fn summary(&self, id: &str) -> Summary {
        self.judge.summary(id)
    }

    fn tick(&self, pending: &mut Map<Name, PendingStep>) {
        let view = self.context.config.view();
        let now = self.context.routing.now();
        let live = self.context.peers.live();
        let own = KnownVersions::hash(&self.context.peers.own().name);
        self.judge.merge_version(own, view.version);
        self.update_watches(&view.catalogue, now, &live);
        self.observe(&view.catalogue, now, live.len());
        let sample = sample(&live);
        pending.retain(|id, _| view.catalogue.find_move(id).is_some_and(|m| m.is_open()));
        for record in open_moves(&view.catalogue) {
            self.evaluate(&view, record, now, &live, &sample, pending);
        }
        let ids: Set<Name> = open_moves(&view.catalogue).map(|m| m.id.clone()).collect();
        self.judge.retain(&ids, &sample);
        self.context.routing.prune(&view.catalogue);
    }

    /// Maintains a watch for each open or recently reversed shift and sets its share.
    fn update_watches(&self, catalogue: &Catalogue, now: SystemTime, live: &[Host]) {
        let known = self.context.versions.watches();
        let wanted: Vec<Arc<Watch>> = catalogue
            .moves
            .iter()
            .filter(|m| is_watched(m, now))
            .filter_map(|m| known.iter().find(|w| w.id == m.id).cloned().or_else(|| new_watch(m)))
            .collect();
        let verdicts = self.context.routing.verdicts();
        for watch in &wanted {
            let Some(record) = catalogue.find_move(&watch.id) else { continue };
            let share = match moves::effective(record, now, &verdicts) {
                Effect::Open(stage, _) => self.share(record, stage, live),
                _ => 0,
            };
            watch.set_share(share);
        }
        let is_same =
            known.len() == wanted.len() && wanted.iter().all(|w| contains_watch(w, &known));
        if !is_same {
            self.context.versions.set_watches(wanted);
        }
    }

    fn share(&self, record: &Move, stage: usize, live: &[Host]) -> u32 {
        let names: Vec<Name> = live.iter().map(|h| h.name.clone()).collect();
        moves::host_share(record, stage, &self.context.peers.own().name, &names)
    }

    /// Judges the outcomes since the last tick.
    fn observe(&self, catalogue: &Catalogue, now: SystemTime, hosts: usize) {
        for watch in self.context.versions.watches().iter() {
            let Some(record) = catalogue.find_move(&watch.id).filter(|m| m.is_open()) else {
                continue;
            };
            // In the first stage the version's caches are cold; this must not count as slowness.
            let is_warm = !matches!(record.state, MoveState::Open { stage: 0, .. });
            let length = record.deadline.duration_since(record.start).unwrap_or_default();
            let blocks = length.as_millis() / TICK.as_millis();
            let blocks = u64::try_from(blocks).unwrap_or(u64::MAX);
            let outcomes = watch.take();
            let found = self.judge.observe(record, &outcomes, blocks, hosts, millis(now), is_warm);
            if let Some(verdict) = found {
                self.reject_version(&watch.id, verdict);
            }
        }
    }

    /// Stops traffic to a new version on this host at once and gossips the verdict.
    fn reject_version(&self, id: &Name, verdict: Verdict) {
        if self.context.routing.add_verdict(id.clone(), verdict.clone()) {
            log::warn!("step=verdict move={id} verdict={verdict:?}");
            self.context.versions.stop_new(id);
            self.context.gossip.notify();
        }
    }

    fn evaluate(
        &self,
        view: &View,
        record: &Move,
        now: SystemTime,
        live: &[Host],
        sample: &Set<u64>,
        pending: &mut Map<Name, PendingStep>,
    ) {
        let verdicts = self.context.routing.verdicts();
        let facts = self.facts(view, record, now, sample);
        let Some(step) = moves::next_step(record, now, &verdicts, &facts) else {
            pending.remove(&record.id);
            return;
        };
        let at = self.context.clock.now();
        let revision = record.revision;
        let first = || PendingStep { revision, next: at + self.rank_delay(record, live) };
        let entry = pending.entry(record.id.clone()).or_insert_with(first);
        if entry.revision != revision {
            *entry = first();
        }
        if at >= entry.next {
            entry.next = at + RETRY_INTERVAL;
            // A full queue means that the writer is busy; the step is retried.
            let _ = self.context.steps.try_send(DueStep { id: record.id.clone(), revision, step });
        }
    }

    fn rank_delay(&self, record: &Move, live: &[Host]) -> Duration {
        let key = format!("{}/{}", record.id, record.revision);
        let names: Vec<&Name> = live.iter().map(|h| &h.name).collect();
        let ranked = rank(key.as_bytes(), &names, |n| n.as_bytes());
        let own = &self.context.peers.own().name;
        let position = ranked.iter().position(|n| *n == own).unwrap_or(MAX_RANK);
        // Lossless: bounded by `MAX_RANK`.
        RANK_DELAY * position.min(MAX_RANK) as u32
    }

    fn facts(&self, view: &View, record: &Move, now: SystemTime, sample: &Set<u64>) -> Facts {
        let summary = self.judge.summary(&record.id);
        let since = millis(now - MAX_EVIDENCE_AGE);
        let centres = shift_centres(&view.catalogue, record);
        Facts {
            in_force: self.judge.is_in_force(sample, view.version),
            trials: summary.trials,
            successes: summary.successes,
            suspicious: summary.is_suspicious(),
            fresh: self.judge.is_fresh(&record.id, centres.into_iter(), since),
        }
    }

    fn produce(&self) -> Vec<u8> {
        let view = self.context.config.view();
        let known = self.context.routing.verdicts();
        let mut verdicts: Vec<(Name, Verdict)> =
            known.iter().map(|(id, v)| (id.clone(), v.clone())).collect();
        fastrand::shuffle(&mut verdicts);
        let (mut versions, items) = self.judge.gossip_entries();
        versions.insert(0, (KnownVersions::hash(&self.context.peers.own().name), view.version));
        MoveUpdate::encode(verdicts, versions, items)
    }

    fn consume(&self, bytes: &[u8]) {
        let update = match MoveUpdate::decode(bytes) {
            Ok(update) => update,
            Err(e) => {
                log::debug!("step=hear error={e}");
                return;
            }
        };
        let view = self.context.config.view();
        for (id, verdict) in update.verdicts {
            // A verdict may arrive before the record; once the record is final, it is obsolete.
            if view.catalogue.find_move(&id).is_none_or(Move::is_open) {
                self.reject_version(&id, verdict);
            }
        }
        for (host, version) in update.versions {
            self.judge.merge_version(host, version);
        }
        for item in update.items {
            self.judge.merge(item);
        }
    }
}

fn open_moves(catalogue: &Catalogue) -> impl Iterator<Item = &Move> {
    catalogue.moves.iter().filter(|m| m.is_open())
}

fn contains_watch(watch: &Arc<Watch>, known: &[Arc<Watch>]) -> bool {
    known.iter().any(|k| Arc::ptr_eq(k, watch))
}

/// Whether a move's share must be enforced: it is open, or was reversed recently.
fn is_watched(record: &Move, now: SystemTime) -> bool {
    match record.state {
        MoveState::Open { .. } => true,
        MoveState::Done { .. } => false,
        MoveState::Reversed { at, .. } => now < at + REVERSED_RETENTION,
    }
}

fn new_watch(record: &Move) -> Option<Arc<Watch>> {
    let Goal::Shift { service, from, to } = &record.goal else {
        return None;
    };
    let (id, service, from, to) = (&record.id, service, from, to);
    Some(Arc::new(Watch::new(id.clone(), service.clone(), from.clone(), to.clone())))
}

/// Data centres that receive new work and have targets of a shift's new version.
fn shift_centres<'a>(catalogue: &'a Catalogue, record: &Move) -> Set<&'a Name> {
    let Goal::Shift { service, to, .. } = &record.goal else {
        return Set::default();
    };
    let shards = catalogue.service(service).map(|s| s.shards.as_slice()).unwrap_or_default();
    let targets = shards.iter().flat_map(|s| &s.targets).filter(|t| t.version == *to);
    let names: Set<&Name> = targets.map(|t| &t.data_centre).collect();
    let present = catalogue.data_centres.iter().filter(|d| d.presence == Presence::In);
    present.map(|d| &d.name).filter(|n| names.contains(n)).collect()
}

/// Hosts whose version in force is checked: all, or a sample that is the same on all hosts.
fn sample(live: &[Host]) -> Set<u64> {
    let hashes = live.iter().map(|h| KnownVersions::hash(&h.name));
    if live.len() <= SAMPLE_SIZE {
        return hashes.collect();
    }
    let mut hashes: Vec<u64> = hashes.collect();
    hashes.sort_unstable();
    hashes.into_iter().take(SAMPLE_SIZE).collect()
}

fn millis(time: SystemTime) -> u64 {
    let since = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
