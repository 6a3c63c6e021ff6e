//! The catalogue that traffic is routed by: the one in force with its open moves laid over.
//!
//! What a move has in effect depends on the clock and on verdicts as well as on the catalogue. It
//! is worked out again only when one of them may have changed it, by whoever asks first; so a move
//! that is undecided at its deadline is taken back without any thread that has to run in time.

use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use sapphirerack_catalogue::{Catalogue, Name};
use sapphirerack_policy::moves::project;
use sapphirerack_policy::{Clock, Verdict, Verdicts};

use crate::config::{Config, View};

/// Verdicts kept at most, those on unknown moves included.
const VERDICTS_LIMIT: usize = 512;

/// A projection, good for one view and up to a time.
struct Projected {
    from: Arc<View>,
    until: SystemTime,
    view: Arc<View>,
}

/// The catalogue that traffic is routed by.
pub(crate) struct Routing {
    config: Arc<Config>,
    clock: Arc<dyn Clock>,
    verdicts: Mutex<Verdicts>,
    projected: RwLock<Option<Projected>>,
}

impl Routing {
    pub(crate) fn new(config: Arc<Config>, clock: Arc<dyn Clock>) -> Arc<Self> {
        let (verdicts, projected) = (Mutex::default(), RwLock::default());
        Arc::new(Self { config, clock, verdicts, projected })
    }

    /// Catalogue in force with what its moves have in effect now.
    pub(crate) fn view(&self) -> Arc<View> {
        let view = self.config.view();
        if !view.catalogue.moves.iter().any(|m| m.is_open()) {
            return view;
        }
        let now = self.now();
        let known = self.projected.read().unwrap_or_else(PoisonError::into_inner);
        match &*known {
            Some(p) if Arc::ptr_eq(&p.from, &view) && now < p.until => p.view.clone(),
            _ => {
                drop(known);
                self.project(&view, now)
            }
        }
    }

    /// Wall-clock time.
    pub(crate) fn now(&self) -> SystemTime {
        UNIX_EPOCH + self.clock.unix()
    }

    /// Verdicts known.
    pub(crate) fn verdicts(&self) -> Verdicts {
        self.lock().clone()
    }

    /// Adds a verdict; tells whether it was news.
    pub(crate) fn add_verdict(&self, id: Name, verdict: Verdict) -> bool {
        let mut verdicts = self.lock();
        if verdicts.len() >= VERDICTS_LIMIT && verdicts.get(&id).is_none() {
            return false;
        }
        let is_news = verdicts.add(id, verdict);
        if is_news {
            // Under the lock of the verdicts, so that no older set is projected afterwards.
            *self.projected.write().unwrap_or_else(PoisonError::into_inner) = None;
        }
        is_news
    }

    /// Forgets verdicts on moves that have ended, and all on unknown moves if there are many.
    pub(crate) fn prune(&self, catalogue: &Catalogue) {
        let mut verdicts = self.lock();
        let is_full = verdicts.len() >= VERDICTS_LIMIT;
        verdicts.retain(|id| catalogue.find_move(id).map_or(!is_full, |m| m.is_open()));
    }

    fn project(&self, view: &Arc<View>, now: SystemTime) -> Arc<View> {
        let verdicts = self.lock();
        let projected = match project(&view.catalogue, now, &verdicts) {
            Some(catalogue) => Arc::new(view.with(catalogue)),
            None => view.clone(),
        };
        let known = Projected {
            from: view.clone(),
            until: next_change(&view.catalogue, now),
            view: projected.clone(),
        };
        *self.projected.write().unwrap_or_else(PoisonError::into_inner) = Some(known);
        projected
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Verdicts> {
        self.verdicts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// First time after `now` at which the clock changes what a move has in effect.
fn next_change(catalogue: &Catalogue, now: SystemTime) -> SystemTime {
    let open = catalogue.moves.iter().filter(|m| m.is_open());
    let times = open.flat_map(|m| [m.start, m.deadline]).filter(|t| *t > now);
    times.min().unwrap_or(now + Duration::from_secs(3600))
}
