//! What the store says, and when it is read.

use std::rc::Rc;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Name, Set};
use sapphirerack_policy::direct::{ReadBackoff, max_staleness};
use sapphirerack_routes::{OrderChange, RemovalGuard};

use crate::host::Host;
use crate::peers::learn_first;
use crate::store::Store;
use crate::{Category, Error, Event, Item, Result};

/// Time that a host which is no seed gives the seeds to answer before it reads the store itself
/// at its start.
const START_PATIENCE: Duration = Duration::from_millis(400);

/// Time over which hosts that start together spread their first questions.
const START_SPREAD: Duration = Duration::from_millis(100);

/// Longest time between two looks at whether held-back removals are due.
const LONGEST_SLEEP: Duration = Duration::from_millis(400);

/// Reads the store whenever what is known is older than this host's patience.
pub(crate) async fn run(host: Rc<Host>) {
    let address = host.settings.borrow().store;
    let store = Store::new(address, host.dialect.store);
    let mut reader = Reader {
        host: host.clone(),
        store,
        lapses: RemovalGuard::default(),
        reading: ReadBackoff::default(),
        expired: true,
    };
    if !host.is_seed() {
        let patience = START_PATIENCE.mul_f64(0.75 + fastrand::f64() / 2.0);
        let seeds = host.settings.borrow().seed_hosts();
        // All hosts may start at once, the seeds a little later than this one.
        tokio::time::sleep(START_SPREAD.mul_f64(fastrand::f64())).await;
        // Whether or not a seed knew something, the store is asked when this is too old.
        let _ = tokio::time::timeout(patience, learn_first(host.clone(), seeds)).await;
    }
    loop {
        let patience = host.patience();
        let age = host.view.borrow().age(host.now());
        let left = age.map_or(Duration::ZERO, |age| patience.saturating_sub(age));
        if !left.is_zero() && !reader.lapses.needs_listing(host.now()) {
            tokio::time::sleep(left.min(LONGEST_SLEEP)).await;
            continue;
        }
        if let Err(e) = reader.read().await {
            let pause = reader.failed(&e, patience);
            tokio::time::sleep(pause).await;
        }
    }
}

struct Reader {
    host: Rc<Host>,
    store: Store,
    lapses: RemovalGuard,
    reading: ReadBackoff,
    /// Whether changes since the last reading may be unknown.
    expired: bool,
}

impl Reader {
    async fn read(&mut self) -> Result<()> {
        let start = self.host.now();
        let due = self.lapses.needs_listing(start);
        if due || self.expired || self.host.view.borrow().synced() == 0 {
            self.list_all(start).await?;
            self.expired = false;
        } else {
            self.changes(start).await?;
        }
        self.lapses.store_up(self.host.now());
        if self.reading.succeeded() {
            log::info!("event=store_regained synced={}", self.host.view.borrow().synced());
        }
        Ok(())
    }

    /// Takes note that the store did not answer; tells how long to pause.
    fn failed(&mut self, error: &Error, patience: Duration) -> Duration {
        self.host.metrics.store_failed();
        if error.classify() == Category::Expired {
            log::info!("event=store_history_gone error=\"{error}\"");
            self.expired = true;
            return Duration::ZERO;
        }
        self.lapses.store_down();
        if !self.reading.is_failing() {
            log::warn!("event=store_lost error=\"{error}\"");
        }
        self.reading.failed(patience)
    }

    async fn changes(&mut self, start: Instant) -> Result<()> {
        let after = self.host.view.borrow().synced();
        let mut synced = u64::MAX;
        let mut events = Vec::new();
        for prefix in self.host.dialect.store.prefixes {
            let found = self.store.changes(prefix, after).await?;
            self.host.metrics.store_called();
            synced = synced.min(found.revision);
            events.extend(found.events);
        }
        self.count_removed(&events);
        let mut changed = false;
        for event in events {
            changed |= self.apply(event);
        }
        self.host.view.borrow_mut().confirm(synced, start);
        if changed {
            self.host.update();
        }
        Ok(())
    }

    /// Takes note of how many usable targets the events remove.
    fn count_removed(&mut self, events: &[Event]) {
        let view = self.host.view.borrow();
        let usable: Set<&Name> = view.usable().map(|t| &t.id).collect();
        let removed = events.iter().filter(|e| e.value.is_none()).map(|e| self.read_item(e));
        let is_usable = |item: &Item| matches!(item, Item::Target(id, _) if usable.contains(id));
        self.lapses.record_removals(removed.filter(is_usable).count(), usable.len());
    }

    async fn list_all(&mut self, start: Instant) -> Result<()> {
        if self.expired && self.host.view.borrow().synced() > 0 {
            // What vanished unseen may have lapsed.
            self.lapses.store_down();
        }
        let content = self.host.view.borrow().content();
        let mut synced = u64::MAX;
        let mut keys: Set<String> = Set::default();
        let mut found = Vec::new();
        for prefix in self.host.dialect.store.prefixes {
            let mut after: Option<String> = None;
            loop {
                let page = self.store.list(prefix, after.as_deref()).await?;
                self.host.metrics.store_called();
                synced = synced.min(page.revision);
                after = page.items.last().map(|i| i.key.clone());
                found.extend(page.items);
                if !page.more || after.is_none() {
                    break;
                }
            }
        }
        let mut targets: Set<Name> = Set::default();
        for event in found {
            keys.insert(event.key.clone());
            if let Item::Target(id, _) = self.read_item(&event) {
                targets.insert(id);
            }
            self.apply(event);
        }
        self.drop_missing(&targets, &keys, content, synced, start);
        self.host.view.borrow_mut().confirm(synced, start);
        self.host.update();
        log::info!("event=store_listed synced={synced} keys={}", keys.len());
        Ok(())
    }

    /// Takes note of what a listing lacks; `content` was known for certain before it.
    fn drop_missing(
        &mut self,
        targets: &Set<Name>,
        keys: &Set<String>,
        content: u64,
        synced: u64,
        now: Instant,
    ) {
        let mut view = self.host.view.borrow_mut();
        let mut missing: Vec<Name> = view.registry().listed().cloned().collect();
        missing.retain(|id| !targets.contains(id));
        if missing.is_empty() || !self.lapses.hold(now) {
            self.lapses.resolved();
            view.mark_certain();
            for id in missing {
                log::info!("event=target_gone target={id} revision={synced} found=listing");
                view.registry_mut().remove(&id, synced);
            }
        } else {
            view.mark_uncertain(content);
        }
        let standing = view.orders().active().map(|(key, _)| key);
        let ended: Vec<Name> = standing.filter(|k| !keys.contains(&***k)).cloned().collect();
        for key in ended {
            log::info!("event=order_ended key={key} revision={synced} found=listing");
            view.orders_mut().apply(OrderChange { key, revision: synced, order: None });
        }
    }

    fn read_item(&self, event: &Event) -> Item {
        let value = event.value.as_deref().unwrap_or_default();
        (self.host.dialect.store.read_item)(&event.key, value)
    }

    /// Takes a change; true if it changes where requests may go.
    fn apply(&mut self, event: Event) -> bool {
        let now = self.host.now();
        let revision = event.revision;
        let gone = event.value.is_none();
        let item = self.read_item(&event);
        let mut view = self.host.view.borrow_mut();
        match item {
            Item::Configuration(configuration) if !gone => {
                let version = configuration.version;
                let adopted = view.adopt(configuration);
                if adopted {
                    log::info!("event=configuration_adopted version={version} source=store");
                }
                adopted
            }
            Item::Target(id, Some(target)) if !gone => {
                let (service, draining) = (target.service.clone(), target.draining);
                let changed = view.registry_mut().announce(target, revision);
                if changed {
                    log::info!(
                        "event=target_seen target={id} service={service} draining={draining} \
                         revision={revision}"
                    );
                }
                changed
            }
            Item::Target(id, _) => {
                if gone && self.lapses.hold(now) {
                    log::info!("event=target_missing target={id} revision={revision}");
                    view.mark_uncertain(revision - 1);
                    return false;
                }
                let changed = view.registry_mut().remove(&id, revision);
                if changed {
                    log::info!("event=target_gone target={id} revision={revision}");
                }
                changed
            }
            Item::Order(order) => {
                let change = OrderChange { key: event.key.as_str().into(), revision, order };
                let described = format!("{:?}", change.order);
                let changed = view.orders_mut().apply(change);
                if changed {
                    log::info!(
                        "event=order key={} order=\"{described}\" revision={revision}",
                        event.key
                    );
                }
                changed
            }
            Item::Unreadable(reason) if !gone => {
                log::warn!("event=item_unreadable key={} reason=\"{reason}\"", event.key);
                false
            }
            _ => false,
        }
    }
}

impl Host {
    /// Age that the view may reach before this host reads the store.
    fn patience(&self) -> Duration {
        let settings = self.settings.borrow();
        let live = self.members.borrow().live();
        let own = &settings.name;
        let before = live.iter().filter(|h| h.name < *own);
        let (mut rank, mut rank_here) = (0, 0);
        for host in before {
            rank += 1;
            rank_here += usize::from(host.data_centre == settings.data_centre);
        }
        max_staleness(rank, rank_here)
    }

    /// Whether the others ask this host first.
    fn is_seed(&self) -> bool {
        let settings = self.settings.borrow();
        settings.seeds.iter().any(|s| s.ip() == settings.listen.advertised().ip())
    }
}
