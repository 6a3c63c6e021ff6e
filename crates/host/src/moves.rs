//! Carries moves on: every host evaluates every open move from its record.
//!
//! A thread looks at the open moves at intervals. It sets the new versions' shares, judges them,
//! and asks for the steps that are due. Verdicts take effect on this host before anyone else
//! hears of them, and reach the other hosts without the store.

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
use crate::news::{InForce, News};
use crate::peers::Peers;
use crate::routing::Routing;
use crate::steps::Due;
use crate::versions::{Versions, Watch};
use crate::{Error, Result};

/// Name of the topic between hosts.
const TOPIC: &str = "moves";

/// Time between two looks at the open moves.
const TICK: Duration = Duration::from_millis(200);

/// Time that a host waits for each host that ranks before it to write a step.
const RANK_PAUSE: Duration = Duration::from_millis(400);

/// Hosts that wait for the ones before them; the rest wait as long as the last of these.
const RANK_LIMIT: usize = 16;

/// Time between two tries of the same step.
const RETRY_PAUSE: Duration = Duration::from_secs(1);

/// Age up to which evidence from a data centre counts as recent.
const FRESH_LIMIT: Duration = Duration::from_secs(10);

/// Time for which a reversed shift is still kept from traffic by its share.
const DROP_TIME: Duration = Duration::from_secs(60);

/// What the executor of moves works with.
pub(crate) struct Parts {
    pub clock: Arc<dyn Clock>,
    pub config: Arc<Config>,
    pub routing: Arc<Routing>,
    pub peers: Arc<Peers>,
    pub versions: Arc<Versions>,
    pub gossip: Arc<Gossip>,
    pub steps: flume::Sender<Due>,
}

/// Carries moves on.
pub(crate) struct Moves {
    parts: Parts,
    judge: Judge,
}

/// A step that this host has seen to be due.
struct Waiting {
    revision: u64,
    next: Instant,
}

impl Moves {
    /// Attaches to the exchange between hosts and starts the thread.
    pub(crate) fn spawn(parts: Parts) -> Result<Arc<Self>> {
        let judge = Judge::new(parts.peers.own().clone());
        let moves = Arc::new(Self { parts, judge });
        let (telling, hearing, running) = (moves.clone(), moves.clone(), moves.clone());
        moves.parts.gossip.attach(TOPIC, move || telling.tell(), move |b| hearing.hear(b));
        let run = move || {
            let mut waiting = Map::default();
            loop {
                running.tick(&mut waiting);
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

    fn tick(&self, waiting: &mut Map<Name, Waiting>) {
        let view = self.parts.config.view();
        let now = self.parts.routing.now();
        let live = self.parts.peers.live();
        let own = InForce::hash(&self.parts.peers.own().name);
        self.judge.merge_version(own, view.version);
        self.watch(&view.catalogue, now, &live);
        self.observe(&view.catalogue, now, live.len());
        let sample = sample(&live);
        waiting.retain(|id, _| view.catalogue.find_move(id).is_some_and(|m| m.is_open()));
        for record in open(&view.catalogue) {
            self.step(&view, record, now, &live, &sample, waiting);
        }
        let ids: Set<Name> = open(&view.catalogue).map(|m| m.id.clone()).collect();
        self.judge.retain(&ids, &sample);
        self.parts.routing.prune(&view.catalogue);
    }

    /// Keeps a watch on each open shift and sets its share.
    fn watch(&self, catalogue: &Catalogue, now: SystemTime, live: &[Host]) {
        let known = self.parts.versions.watches();
        let wanted: Vec<Arc<Watch>> = catalogue
            .moves
            .iter()
            .filter(|m| is_watched(m, now))
            .filter_map(|m| known.iter().find(|w| w.id == m.id).cloned().or_else(|| new_watch(m)))
            .collect();
        let verdicts = self.parts.routing.verdicts();
        for watch in &wanted {
            let Some(record) = catalogue.find_move(&watch.id) else { continue };
            let share = match moves::effective(record, now, &verdicts) {
                Effect::Open(stage, _) => self.share(record, stage, live),
                _ => 0,
            };
            watch.set_share(share);
        }
        let is_same = known.len() == wanted.len() && wanted.iter().all(|w| is_among(w, &known));
        if !is_same {
            self.parts.versions.set_watches(wanted);
        }
    }

    fn share(&self, record: &Move, stage: usize, live: &[Host]) -> u32 {
        let names: Vec<Name> = live.iter().map(|h| h.name.clone()).collect();
        moves::host_share(record, stage, &self.parts.peers.own().name, &names)
    }

    /// Judges what happened since the last tick.
    fn observe(&self, catalogue: &Catalogue, now: SystemTime, hosts: usize) {
        for watch in self.parts.versions.watches().iter() {
            let Some(record) = catalogue.find_move(&watch.id).filter(|m| m.is_open()) else {
                continue;
            };
            // While it is new the version's caches are cold, which is no slowness.
            let is_warm = !matches!(record.state, MoveState::Open { stage: 0, .. });
            let length = record.deadline.duration_since(record.start).unwrap_or_default();
            let blocks = length.as_millis() / TICK.as_millis();
            let blocks = u64::try_from(blocks).unwrap_or(u64::MAX);
            let taken = watch.take();
            let found = self.judge.observe(record, &taken, blocks, hosts, millis(now), is_warm);
            if let Some(verdict) = found {
                self.condemn(&watch.id, verdict);
            }
        }
    }

    /// Drops a new version on this host at once and tells the others.
    fn condemn(&self, id: &Name, verdict: Verdict) {
        if self.parts.routing.add_verdict(id.clone(), verdict.clone()) {
            log::warn!("step=verdict move={id} verdict={verdict:?}");
            self.parts.versions.drop_new(id);
            self.parts.gossip.notify();
        }
    }

    fn step(
        &self,
        view: &View,
        record: &Move,
        now: SystemTime,
        live: &[Host],
        sample: &Set<u64>,
        waiting: &mut Map<Name, Waiting>,
    ) {
        let verdicts = self.parts.routing.verdicts();
        let facts = self.facts(view, record, now, sample);
        let Some(step) = moves::next_step(record, now, &verdicts, &facts) else {
            waiting.remove(&record.id);
            return;
        };
        let at = self.parts.clock.now();
        let revision = record.revision;
        let first = || Waiting { revision, next: at + self.rank_pause(record, live) };
        let entry = waiting.entry(record.id.clone()).or_insert_with(first);
        if entry.revision != revision {
            *entry = first();
        }
        if at >= entry.next {
            entry.next = at + RETRY_PAUSE;
            // A full queue means that the writer is busy; the step comes again.
            let _ = self.parts.steps.try_send(Due { id: record.id.clone(), revision, step });
        }
    }

    fn rank_pause(&self, record: &Move, live: &[Host]) -> Duration {
        let key = format!("{}/{}", record.id, record.revision);
        let names: Vec<&Name> = live.iter().map(|h| &h.name).collect();
        let ranked = rank(key.as_bytes(), &names, |n| n.as_bytes());
        let own = &self.parts.peers.own().name;
        let place = ranked.iter().position(|n| *n == own).unwrap_or(RANK_LIMIT);
        // Lossless: bounded by the limit.
        RANK_PAUSE * place.min(RANK_LIMIT) as u32
    }

    fn facts(&self, view: &View, record: &Move, now: SystemTime, sample: &Set<u64>) -> Facts {
        let summary = self.judge.summary(&record.id);
        let since = millis(now - FRESH_LIMIT);
        let centres = centres(&view.catalogue, record);
        Facts {
            in_force: self.judge.is_in_force(sample, view.version),
            trials: summary.trials,
            successes: summary.successes,
            suspicious: summary.is_suspicious(),
            fresh: self.judge.is_fresh(&record.id, centres.into_iter(), since),
        }
    }

    fn tell(&self) -> Vec<u8> {
        let view = self.parts.config.view();
        let known = self.parts.routing.verdicts();
        let mut verdicts: Vec<(Name, Verdict)> =
            known.iter().map(|(id, v)| (id.clone(), v.clone())).collect();
        fastrand::shuffle(&mut verdicts);
        let (mut versions, items) = self.judge.news();
        versions.insert(0, (InForce::hash(&self.parts.peers.own().name), view.version));
        News::pack(verdicts, versions, items)
    }

    fn hear(&self, bytes: &[u8]) {
        let news = match News::unpack(bytes) {
            Ok(news) => news,
            Err(e) => {
                log::debug!("step=hear error={e}");
                return;
            }
        };
        let view = self.parts.config.view();
        for (id, verdict) in news.verdicts {
            // The verdict may come before the record, but matters no more once that is final.
            if view.catalogue.find_move(&id).is_none_or(Move::is_open) {
                self.condemn(&id, verdict);
            }
        }
        for (host, version) in news.versions {
            self.judge.merge_version(host, version);
        }
        for item in news.items {
            self.judge.merge(item);
        }
    }
}

fn open(catalogue: &Catalogue) -> impl Iterator<Item = &Move> {
    catalogue.moves.iter().filter(|m| m.is_open())
}

fn is_among(watch: &Arc<Watch>, known: &[Arc<Watch>]) -> bool {
    known.iter().any(|k| Arc::ptr_eq(k, watch))
}

/// Whether a move's share matters: an open shift, or one that was taken back lately.
fn is_watched(record: &Move, now: SystemTime) -> bool {
    match record.state {
        MoveState::Open { .. } => true,
        MoveState::Done { .. } => false,
        MoveState::Reversed { at, .. } => now < at + DROP_TIME,
    }
}

fn new_watch(record: &Move) -> Option<Arc<Watch>> {
    let Goal::Shift { service, from, to } = &record.goal else {
        return None;
    };
    let (id, service, from, to) = (&record.id, service, from, to);
    Some(Arc::new(Watch::new(id.clone(), service.clone(), from.clone(), to.clone())))
}

/// Data centres that are in and hold targets of a shift's new version.
fn centres<'a>(catalogue: &'a Catalogue, record: &Move) -> Set<&'a Name> {
    let Goal::Shift { service, to, .. } = &record.goal else {
        return Set::default();
    };
    let shards = catalogue.service(service).map(|s| s.shards.as_slice()).unwrap_or_default();
    let targets = shards.iter().flat_map(|s| &s.targets).filter(|t| t.version == *to);
    let names: Set<&Name> = targets.map(|t| &t.data_centre).collect();
    let present = catalogue.data_centres.iter().filter(|d| d.presence == Presence::In);
    present.map(|d| &d.name).filter(|n| names.contains(n)).collect()
}

/// Hosts that are asked for the version in force: all, or a sample that all hosts agree on.
fn sample(live: &[Host]) -> Set<u64> {
    let hashes = live.iter().map(|h| InForce::hash(&h.name));
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
