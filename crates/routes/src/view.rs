//! A host's view of configuration, targets and operators' orders.

use std::sync::Arc;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Name, Set};
use serde::{Deserialize, Serialize};

use crate::{
    Configuration, Delta, OrderChange, Orders, Registry, Revision, RouteTable, Source, Target,
};

/// Age from which a view may be older than the copy from which a store is restored.
const MAX_COPY_AGE: Duration = Duration::from_secs(20);

/// Summary of a view, which lets another host detect that its own view is behind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ViewSummary {
    /// Version of the configuration; 0 for none.
    pub version: u64,
    /// Revision of the last change of targets or orders.
    pub content: Revision,
    /// Digest of the announced targets and of the orders in effect.
    pub digest: u64,
    /// Revision of the store up to which the view is complete.
    pub synced: Revision,
    /// Time since the store confirmed that revision, in milliseconds; [`u64::MAX`] if it never did or
    /// a removal is held back.
    pub age: u64,
}

impl ViewSummary {
    fn has_content_of(&self, other: &Self) -> bool {
        let content = |s: &Self| (s.version, s.content, s.digest);
        content(self) == content(other)
    }
}

/// How a host's view relates to that of another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// The views have the same content, or this one is ahead.
    Current,
    /// The other view has newer content.
    Behind,
    /// Both views end at the same change, but differ. One of them missed a removal: it was listed
    /// by a host that never saw the removed entry, and so could not pass the removal on.
    Diverged,
}

/// A host's view of configuration, targets and orders, and when the store last confirmed it.
#[derive(Debug, Default)]
pub struct View {
    table: Arc<RouteTable>,
    registry: Registry,
    orders: Orders,
    synced: Revision,
    /// `synced` at the end of the era before.
    former: Revision,
    /// When the store last confirmed the view, read by this host or another.
    confirmed: Option<Instant>,
    /// Revision before the first removal that is held back, if any.
    certain: Option<Revision>,
}

impl View {
    /// Routes of the configuration in effect.
    pub fn table(&self) -> &Arc<RouteTable> {
        &self.table
    }

    /// Version of the configuration in effect; 0 for none.
    pub fn version(&self) -> u64 {
        self.table.configuration().version
    }

    /// Revision of the store up to which the view is complete.
    pub fn synced(&self) -> Revision {
        self.synced
    }

    /// Era of the store in which the view is; 0 if the store was never read.
    pub fn era(&self) -> u64 {
        self.registry.revision().max(self.orders.revision()).era
    }

    /// Enters a later era of the store. What is known stays, but for orders that may be older than
    /// the copy from which the store was restored.
    pub fn begin_era(&mut self, era: u64, now: Instant) {
        if era <= self.era() {
            return;
        }
        if self.age(now).is_some_and(|age| age > MAX_COPY_AGE) {
            self.orders.forget();
            (self.synced, self.former) = Default::default();
        }
        self.registry.begin_era(era);
        self.orders.begin_era(era);
    }

    /// Registry of targets.
    pub fn registry(&self) -> &Registry {
        &self.registry
    }

    /// Registry of targets, mutable.
    pub fn registry_mut(&mut self) -> &mut Registry {
        &mut self.registry
    }

    /// Operators' orders.
    pub fn orders(&self) -> &Orders {
        &self.orders
    }

    /// Operators' orders, mutable.
    pub fn orders_mut(&mut self) -> &mut Orders {
        &mut self.orders
    }

    /// Applies the orders that a listing of the store shows, which is complete as of `synced` and
    /// holds the keys `present`. Orders known from an earlier era stay in force. Returns the changes.
    pub fn list_orders(
        &mut self,
        mut listed: Vec<OrderChange>,
        present: &Set<Name>,
        synced: Revision,
    ) -> Vec<OrderChange> {
        // What has changed since this era was read first comes from no copy.
        let is_change = |r: Revision| r.era == self.synced.era && r > self.synced;
        for change in listed.iter_mut().filter(|c| is_change(c.revision)) {
            change.source = Source::Seen;
        }
        self.orders.list(listed, present, synced)
    }

    /// Targets that may get new requests.
    pub fn usable(&self) -> impl Iterator<Item = &Arc<Target>> {
        self.open().filter(|t| !self.is_withheld(t))
    }

    fn open(&self) -> impl Iterator<Item = &Arc<Target>> {
        let open = |t: &&Arc<Target>| !t.draining && !self.orders.is_closed(&t.data_centre);
        self.registry.targets().filter(open)
    }

    /// Whether a target has the new version of a shift while other versions have targets.
    fn is_withheld(&self, target: &Target) -> bool {
        let Some(version) = self.orders.new_version(&target.service) else { return false };
        let other = |t: &Arc<Target>| t.service == target.service && t.version != *version;
        target.version == *version && self.open().any(other)
    }

    /// Adopts a configuration if its version is higher.
    pub fn adopt(&mut self, configuration: Configuration) -> bool {
        if configuration.version <= self.version() {
            return false;
        }
        self.table = Arc::new(RouteTable::new(configuration));
        true
    }

    /// Records that the store confirmed the view up to a revision at that time.
    pub fn confirm(&mut self, synced: Revision, at: Instant) {
        if synced.era > self.synced.era {
            self.former = self.synced;
        }
        self.synced = self.synced.max(synced);
        self.confirmed = self.confirmed.max(Some(at));
    }

    /// Records that a removal after a revision is held back. Until it is resolved, later changes
    /// are not sent to other hosts, which would take the view for complete without the removal.
    pub fn mark_uncertain(&mut self, revision: Revision) {
        self.certain = Some(self.certain.map_or(revision, |certain| certain.min(revision)));
    }

    /// Records that no removal is held back.
    pub fn mark_certain(&mut self) {
        self.certain = None;
    }

    /// Revision of the last change of targets or orders that is certain.
    pub fn content(&self) -> Revision {
        let content = self.registry.revision().max(self.orders.revision());
        self.certain.map_or(content, |certain| content.min(certain))
    }

    /// Summary for other hosts.
    pub fn summary(&self, now: Instant) -> ViewSummary {
        let version = self.version();
        let content = self.content();
        if let Some(certain) = self.certain {
            // Makes other hosts read the store themselves rather than take this view for complete.
            let synced = self.synced.min(certain);
            return ViewSummary { version, content, digest: self.digest(), synced, age: u64::MAX };
        }
        let age = self.age(now).map_or(u64::MAX, |a| a.as_millis() as u64);
        ViewSummary { version, content, digest: self.digest(), synced: self.synced, age }
    }

    fn digest(&self) -> u64 {
        self.registry.digest() ^ self.orders.digest()
    }

    /// Time since the store last confirmed the view; `None` if it never did.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.confirmed.map(|at| now.saturating_duration_since(at))
    }

    /// Compares this view with one of that summary.
    pub fn compare(&self, other: &ViewSummary, now: Instant) -> Comparison {
        let own = self.summary(now);
        if other.version > own.version || other.content > own.content {
            return Comparison::Behind;
        }
        let same = other.content == own.content && other.digest != own.digest;
        let is_certain = own.age != u64::MAX && other.age != u64::MAX;
        if same && is_certain && other.synced >= own.synced {
            return Comparison::Diverged;
        }
        Comparison::Current
    }

    /// Adopts the confirmation of another host's view if its content is the same. The summary must
    /// not have been made before `sent`, so that the view is never taken for younger than it is.
    pub fn refresh(&mut self, other: &ViewSummary, sent: Instant) {
        if self.summary(sent).has_content_of(other) {
            self.confirm_for(other.synced, other.age, sent);
        }
    }

    /// Whether another host's view has the same content and its age is higher by more than
    /// `margin`.
    pub fn is_fresher(&self, other: &ViewSummary, margin: Duration, now: Instant) -> bool {
        let own = self.summary(now);
        let margin = u64::try_from(margin.as_millis()).unwrap_or(u64::MAX);
        own.has_content_of(other) && own.age.saturating_add(margin) < other.age
    }

    /// Records a confirmation that had this age, in milliseconds, at `sent` or later.
    fn confirm_for(&mut self, synced: Revision, age: u64, sent: Instant) {
        if age == u64::MAX {
            return;
        }
        if let Some(at) = sent.checked_sub(Duration::from_millis(age)) {
            self.confirm(synced, at);
        }
    }

    /// The whole view, for a host whose view has diverged from this one.
    pub fn whole(&self, now: Instant) -> Delta {
        Delta { whole: true, ..self.delta(&ViewSummary::default(), now) }
    }

    /// Changes that a view with that summary lacks.
    pub fn delta(&self, other: &ViewSummary, now: Instant) -> Delta {
        let own = self.summary(now);
        let newer = own.version > other.version;
        Delta {
            configuration: newer.then(|| self.table.configuration().clone()),
            targets: self.registry.between(other.content, own.content),
            orders: self.orders.between(other.content, own.content),
            whole: false,
            content: own.content,
            digest: own.digest,
            synced: own.synced,
            age: own.age,
        }
    }

    /// Merges changes that another host was asked for at `asked`; true if something changed. The age
    /// in them counts from then on.
    pub fn merge(&mut self, mut delta: Delta, asked: Instant) -> bool {
        let adopted = delta.configuration.take().is_some_and(|c| self.adopt(c));
        if delta.content.era < self.era() {
            return adopted;
        }
        self.begin_era(delta.content.era, asked);
        self.merge_content(delta, asked) || adopted
    }

    fn merge_content(&mut self, delta: Delta, asked: Instant) -> bool {
        let synced = self.synced;
        let mut changed = false;
        // While a removal is held back here, the view knows more than any other.
        if delta.whole && delta.age != u64::MAX && self.certain.is_none() {
            // What is carried is compared below, and ends nothing by itself.
            let listed = delta.targets.iter().filter(|c| c.listed || c.carried);
            let targets: Set<Name> = listed.map(|c| c.id.clone()).collect();
            let is_carried = |c: &OrderChange| matches!(c.source, Source::Carried(_));
            let active = delta.orders.iter().filter(|c| c.order.is_some() || is_carried(c));
            let orders: Set<Name> = active.map(|c| c.key.clone()).collect();
            changed |= self.registry.retain(&targets, delta.synced);
            changed |= self.orders.retain(&orders, delta.synced);
        }
        for change in delta.targets {
            changed |= self.registry.merge(change, synced);
        }
        for order in delta.orders {
            changed |= self.orders.merge(order, &[self.former, synced]);
        }
        if delta.digest == self.digest() {
            self.confirm_for(delta.synced, delta.age, asked);
        }
        changed
    }
}
