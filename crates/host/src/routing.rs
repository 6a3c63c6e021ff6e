//! The catalogue that traffic is routed by: the one in force, with the effects of its open moves
//! applied.
//!
//! The effect of a move depends on the clock and on verdicts as well as on the catalogue. It is
//! recomputed on the first read after one of them may have changed it. So a move that is undecided
//! at its deadline is reversed without a thread that must run in time.

use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sapphirerack_catalogue::{Catalogue, Name};
use sapphirerack_policy::moves::project;
use sapphirerack_policy::{Clock, Verdict, Verdicts};

use crate::config::{Config, View};

/// Maximum number of verdicts kept, including those on unknown moves.
const MAX_VERDICTS: usize = 512;

/// A projection of the view `from`, valid until a time.
struct Projection {
    from: Arc<View>,
    until: SystemTime,
    view: Arc<View>,
}

/// Computes and caches the catalogue that traffic is routed by.
pub(crate) struct Routing {
    config: Arc<Config>,
    clock: Arc<dyn Clock>,
    verdicts: Mutex<Verdicts>,
    projected: RwLock<Option<Projection>>,
}

impl Routing {
    pub(crate) fn new(config: Arc<Config>, clock: Arc<dyn Clock>) -> Arc<Self> {
        let (verdicts, projected) = (Mutex::default(), RwLock::default());
        Arc::new(Self { config, clock, verdicts, projected })
    }

    /// Catalogue in force with the current effects of its moves applied.
    pub(crate) fn view(&self) -> Arc<View> {
        let view = self.config.view();
        if !view.catalogue.moves.iter().any(|m| m.is_open()) {
            return view;
        }
        let now = self.now();
        let cached = self.projected.read().unwrap_or_else(PoisonError::into_inner);
        match &*cached {
            Some(p) if Arc::ptr_eq(&p.from, &view) && now < p.until => p.view.clone(),
            _ => {
                drop(cached);
                self.project(&view, now)
            }
        }
    }

    /// Wall-clock time.
    pub(crate) fn now(&self) -> SystemTime {
        UNIX_EPOCH + self.clock.unix()
    }

    /// All verdicts.
    pub(crate) fn verdicts(&self) -> Verdicts {
        self.lock().clone()
    }

    /// Adds a verdict; returns whether it is new.
    pub(crate) fn add_verdict(&self, id: Name, verdict: Verdict) -> bool {
        let mut verdicts = self.lock();
        if verdicts.len() >= MAX_VERDICTS && verdicts.get(&id).is_none() {
            return false;
        }
        let is_new = verdicts.add(id, verdict);
        if is_new {
            // Invalidated under the lock of the verdicts, so that no projection of the older set is
            // cached afterwards.
            *self.projected.write().unwrap_or_else(PoisonError::into_inner) = None;
        }
        is_new
    }

    /// Removes the verdicts on ended moves, and those on unknown moves if the limit is reached.
    pub(crate) fn prune(&self, catalogue: &Catalogue) {
        let mut verdicts = self.lock();
        let is_full = verdicts.len() >= MAX_VERDICTS;
        verdicts.retain(|id| catalogue.find_move(id).map_or(!is_full, |m| m.is_open()));
    }

    fn project(&self, view: &Arc<View>, now: SystemTime) -> Arc<View> {
        let verdicts = self.lock();
        let projected = match project(&view.catalogue, now, &verdicts) {
            Some(catalogue) => Arc::new(view.projected(catalogue)),
            None => view.clone(),
        };
        let cached = Projection {
            from: view.clone(),
            until: next_change(&view.catalogue, now),
            view: projected.clone(),
        };
        *self.projected.write().unwrap_or_else(PoisonError::into_inner) = Some(cached);
        projected
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Verdicts> {
        self.verdicts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// First time after `now` at which the effect of a move changes with the clock.
fn next_change(catalogue: &Catalogue, now: SystemTime) -> SystemTime {
    let open = catalogue.moves.iter().filter(|m| m.is_open());
    let times = open.flat_map(|m| [m.start, m.deadline]).filter(|t| *t > now);
    times.min().unwrap_or(now + Duration::from_secs(3600))
}
