//! Keeps the view up to date from the store.

use std::rc::Rc;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Name, Set};
use sapphirerack_policy::direct::{ReadBackoff, max_staleness};
use sapphirerack_routes::{OrderChange, RemovalGuard, Revision, Source};

use crate::host::Host;
use crate::peers::fetch_initial_view;
use crate::store::{Found, Store};
use crate::{Category, Error, Event, Item, Result};

/// Least time at startup that a host which is not a seed waits for the seeds before it reads the
/// store itself.
const SEED_TIMEOUT: Duration = Duration::from_millis(400);

/// Most time that it waits beyond that.
const SEED_TIMEOUT_SPREAD: Duration = Duration::from_millis(800);

/// Time over which hosts that start together spread their first requests to the seeds.
const STARTUP_JITTER: Duration = Duration::from_millis(100);

/// Longest time between two checks whether removals that were held back are due.
const MAX_SLEEP: Duration = Duration::from_millis(400);

/// Reads the store whenever the view is older than this host's staleness limit.
pub(crate) async fn run(host: Rc<Host>) {
    let mut reader = Reader {
        host: host.clone(),
        store: Store::new(host.clone()),
        removals: RemovalGuard::default(),
        backoff: ReadBackoff::default(),
        missed_changes: true,
        covered: false,
        last_read: None,
    };
    if !host.is_seed() {
        // Few hosts wait much less than the others; these learn the view from them.
        let timeout = SEED_TIMEOUT + SEED_TIMEOUT_SPREAD.mul_f64(fastrand::f64().cbrt());
        let seeds = host.settings.borrow().seed_hosts();
        // All hosts may start at the same time, and the seeds slightly later than this one.
        tokio::time::sleep(STARTUP_JITTER.mul_f64(fastrand::f64())).await;
        // Whether or not a seed had a view, the store is read once the view is too old.
        let _ = tokio::time::timeout(timeout, fetch_initial_view(host.clone(), seeds)).await;
    }
    loop {
        let max_staleness = host.max_staleness();
        let age = host.view.borrow().age(host.boot_time());
        let fresh_for = age.map_or(Duration::ZERO, |age| max_staleness.saturating_sub(age));
        if !fresh_for.is_zero() && !reader.removals.needs_listing(host.boot_time()) {
            if reader.backoff.is_failing() && !reader.covered {
                reader.covered = true;
                log::info!("event=store_covered by=hosts");
            }
            tokio::time::sleep(fresh_for.min(MAX_SLEEP)).await;
            continue;
        }
        if let Err(e) = reader.read().await {
            let delay = reader.record_failure(&e, max_staleness);
            tokio::time::sleep(delay).await;
        }
    }
}

struct Reader {
    host: Rc<Host>,
    store: Store,
    removals: RemovalGuard,
    backoff: ReadBackoff,
    /// Whether changes since the last read may have been missed.
    missed_changes: bool,
    /// Whether other hosts have read the store since it was lost to this one.
    covered: bool,
    /// Start of the last successful read of this host.
    last_read: Option<Instant>,
}

impl Reader {
    async fn read(&mut self) -> Result<()> {
        let start = self.host.boot_time();
        let age = self.host.view.borrow().age(start);
        let due = self.removals.needs_listing(start);
        if due || self.missed_changes || self.host.view.borrow().synced() == Revision::default() {
            self.list_all(start).await?;
            self.missed_changes = false;
        } else {
            self.read_changes(start).await?;
        }
        self.removals.store_up(self.host.boot_time());
        self.host.record_era();
        self.log_read(start, age);
        if self.backoff.succeeded() {
            self.covered = false;
            log::info!("event=store_regained revision={}", self.host.view.borrow().synced());
        }
        Ok(())
    }

    /// Logs a read that started at `start` with a view of age `age`. If this host reads for all, the
    /// age equals the time since its own last read, unless other hosts have read meanwhile.
    fn log_read(&mut self, start: Instant, age: Option<Duration>) {
        let last = self.last_read.replace(start);
        let pause = last.map(|last| start.saturating_duration_since(last));
        let millis = |time: Option<Duration>| time.map_or(-1, |t| t.as_millis() as i64);
        log::info!(
            "event=store_read revision={} age_ms={} pause_ms={}",
            self.host.view.borrow().synced(),
            millis(age),
            millis(pause)
        );
    }

    /// Records a failed read of the store; returns the delay before the next one.
    fn record_failure(&mut self, error: &Error, max_staleness: Duration) -> Duration {
        self.host.metrics.count_store_failure();
        if error.classify() == Category::Expired {
            log::info!("event=store_history_gone error=\"{error}\"");
            self.missed_changes = true;
            return Duration::ZERO;
        }
        if !self.backoff.is_failing() {
            log::warn!("event=store_lost error=\"{error}\"");
        }
        self.backoff.failed(max_staleness)
    }

    async fn read_changes(&mut self, start: Instant) -> Result<()> {
        let after = self.host.view.borrow().synced();
        let Found { events, synced } = self.store.changes(after).await?;
        self.check_era(synced)?;
        let items = self.read_items(events);
        let removals = items.iter().filter(|(event, _)| event.value.is_none());
        let removed: Set<Name> = removals.filter_map(|(_, item)| target_id(item)).collect();
        self.judge_answer(start, |id| removed.contains(id));
        let mut changed = false;
        for (event, item) in items {
            changed |= self.apply(event, item, synced.era);
        }
        self.host.view.borrow_mut().confirm(synced, start);
        if changed {
            self.host.update();
        }
        Ok(())
    }

    /// Refuses what was read if the view has entered a later era meanwhile, through another host.
    fn check_era(&self, synced: Revision) -> Result<()> {
        let known = self.host.view.borrow().era();
        if synced.era < known {
            return Err(self.store.outdated(synced.era, known));
        }
        Ok(())
    }

    /// Tells the guard what an answer of the store says of an outage; `is_removed` tells whether it
    /// removes a target.
    fn judge_answer(&mut self, start: Instant, is_removed: impl Fn(&Name) -> bool) {
        let view = self.host.view.borrow();
        let age = view.age(start);
        let (removed, kept): (Vec<_>, Vec<_>) = view.usable().partition(|t| is_removed(&t.id));
        // A listing that is due confirms removals that were held back.
        let is_due = self.removals.needs_listing(start);
        self.removals.store_answered(self.backoff.is_failing(), age);
        if !is_due {
            self.removals.record_removals(removed.len(), removed.len() + kept.len(), age);
        }
    }

    /// Tells the guard if a listing of an era is the first one since the store was restored, or lacks
    /// targets that were announced before that.
    fn judge_era(&mut self, start: Instant, era: u64, targets: &Set<Name>) {
        let view = self.host.view.borrow();
        let confirmed = view.synced().era;
        let is_first = confirmed > 0 && confirmed < era;
        let lacks_some = view.registry().announced_before(era).any(|id| !targets.contains(id));
        // A listing that is due confirms removals that were held back.
        if is_first || (lacks_some && !self.removals.needs_listing(start)) {
            self.removals.store_restored();
        }
    }

    async fn list_all(&mut self, start: Instant) -> Result<()> {
        let era = self.host.view.borrow().era();
        let Found { events, synced } = self.store.list(era).await?;
        self.check_era(synced)?;
        let content = self.host.view.borrow().content();
        let items = self.read_items(events);
        let targets: Set<Name> = items.iter().filter_map(|(_, item)| target_id(item)).collect();
        self.judge_answer(start, |id| !targets.contains(id));
        self.judge_era(start, synced.era, &targets);
        self.host.view.borrow_mut().begin_era(synced.era, start);
        let keys: Set<Name> = items.iter().map(|(event, _)| event.key.as_str().into()).collect();
        let mut orders = Vec::new();
        for (event, item) in items {
            if let Item::Order(order) = item {
                let revision = Revision::new(synced.era, event.revision);
                let (key, source) = (event.key.as_str().into(), Source::Listed);
                orders.push(OrderChange { key, revision, order, source });
            } else {
                self.apply(event, item, synced.era);
            }
        }
        self.apply_orders(orders, &keys, synced);
        self.remove_missing(&targets, content, synced, start);
        self.host.view.borrow_mut().confirm(synced, start);
        self.host.update();
        log::info!("event=store_listed revision={synced} keys={}", keys.len());
        Ok(())
    }

    /// Applies the orders that a listing with these keys shows.
    fn apply_orders(&mut self, orders: Vec<OrderChange>, keys: &Set<Name>, synced: Revision) {
        let mut view = self.host.view.borrow_mut();
        for change in view.list_orders(orders, keys, synced) {
            log_order(&change, "listing");
        }
        for (key, _) in view.orders().active().filter(|(key, _)| !keys.contains(*key)) {
            log::info!("event=order_kept key={key:?} revision={synced} reason=\"store restored\"");
        }
    }

    /// Applies the removals that a listing implies; `content` is the last revision that was certain
    /// before it.
    fn remove_missing(
        &mut self,
        targets: &Set<Name>,
        content: Revision,
        synced: Revision,
        now: Instant,
    ) {
        let mut view = self.host.view.borrow_mut();
        let mut missing: Vec<Name> = view.registry().listed().cloned().collect();
        missing.retain(|id| !targets.contains(id));
        if missing.is_empty() || !self.removals.hold(now) {
            self.removals.resolved();
            view.mark_certain();
            for id in missing {
                log::info!("event=target_gone target={id} revision={synced} found=listing");
                view.registry_mut().remove(&id, synced);
            }
        } else {
            for id in missing {
                log::info!("event=target_missing target={id} revision={synced} found=listing");
            }
            view.mark_uncertain(content);
        }
    }

    fn read_items(&self, events: Vec<Event>) -> Vec<(Event, Item)> {
        let read = |event: Event| {
            let value = event.value.as_deref().unwrap_or_default();
            let item = (self.host.dialect.store.read_item)(&event.key, value);
            (event, item)
        };
        events.into_iter().map(read).collect()
    }

    /// Applies a change of an era; true if it affects where requests may go.
    fn apply(&mut self, event: Event, item: Item, era: u64) -> bool {
        let now = self.host.boot_time();
        let revision = Revision::new(era, event.revision);
        let gone = event.value.is_none();
        let mut view = self.host.view.borrow_mut();
        match item {
            Item::Configuration(configuration) if !gone => {
                let version = configuration.version;
                let adopted = view.adopt(configuration);
                if adopted {
                    log::info!(
                        "event=configuration_adopted version={version} revision={revision} \
                         source=store"
                    );
                }
                adopted
            }
            Item::Target(id, Some(target)) if !gone => {
                let (service, draining) = (target.service.clone(), target.draining);
                let changed = view.registry_mut().announce(target, revision);
                if changed {
                    log::info!(
                        "event=target_seen target={id} service={service:?} draining={draining} \
                         revision={revision}"
                    );
                }
                changed
            }
            Item::Target(id, _) => {
                if gone && self.removals.hold(now) {
                    log::info!("event=target_missing target={id} revision={revision}");
                    view.mark_uncertain(revision.before());
                    return false;
                }
                let changed = view.registry_mut().remove(&id, revision);
                if changed {
                    log::info!("event=target_gone target={id} revision={revision}");
                }
                changed
            }
            Item::Order(order) => {
                let (key, source) = (event.key.as_str().into(), Source::Seen);
                let change = OrderChange { key, revision, order, source };
                let changed = view.orders_mut().apply(change.clone());
                if changed {
                    log_order(&change, "change");
                }
                changed
            }
            Item::Unreadable(reason) if !gone => {
                log::warn!("event=item_unreadable key={:?} reason=\"{reason}\"", event.key);
                false
            }
            _ => false,
        }
    }
}

/// Id of the target that an item is about, if it is about one.
fn target_id(item: &Item) -> Option<Name> {
    match item {
        Item::Target(id, _) => Some(id.clone()),
        _ => None,
    }
}

fn log_order(change: &OrderChange, found: &str) {
    let OrderChange { key, revision, order, .. } = change;
    log::info!("event=order key={key:?} order=\"{order:?}\" revision={revision} found={found}");
}

impl Host {
    /// Age of the view at which this host reads the store.
    fn max_staleness(&self) -> Duration {
        let settings = self.settings.borrow();
        let live = self.fleet.members.borrow().live();
        let own = &settings.name;
        let before = live.iter().filter(|h| h.name < *own);
        let (mut rank, mut local_rank) = (0, 0);
        for host in before {
            rank += 1;
            local_rank += usize::from(host.data_centre == settings.data_centre);
        }
        max_staleness(rank, local_rank)
    }

    /// Whether this host is a seed, which the other hosts contact first.
    fn is_seed(&self) -> bool {
        let settings = self.settings.borrow();
        settings.seeds.iter().any(|s| s.ip() == settings.listen.advertised().ip())
    }
}
