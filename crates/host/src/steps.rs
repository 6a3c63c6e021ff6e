//! Writes the steps of moves through the store, on a thread of its own.
//!
//! Any host may write any step: the record's revision and the store's compare-and-swap let one
//! take effect. Hosts try in the order of a rank, so that usually one does.

use std::sync::Arc;
use std::thread;

use sapphirerack_catalogue::{Catalogue, Name};
use sapphirerack_policy::moves::{self, Step};

use crate::changes::{Changes, Rejection};
use crate::routing::Routing;
use crate::{Error, Result};

/// A step that is due.
pub(crate) struct Due {
    /// Id of the move.
    pub id: Name,
    /// Revision of the record that it was decided on.
    pub revision: u64,
    /// The step.
    pub step: Step,
}

/// Writes steps of moves.
pub(crate) struct Steps {
    pub(crate) changes: Arc<Changes>,
    pub(crate) routing: Arc<Routing>,
}

impl Steps {
    /// Takes steps on a thread of its own; a step that finds it busy is dropped and comes again.
    pub(crate) fn spawn(self) -> Result<flume::Sender<Due>> {
        let (sender, due) = flume::bounded::<Due>(1);
        let run = move || {
            for due in due {
                self.write(&due);
            }
        };
        let builder = thread::Builder::new().name("steps".into());
        builder.spawn(run).map_err(|e| Error::io("start thread", "steps", e))?;
        Ok(sender)
    }

    fn write(&self, due: &Due) {
        let (id, revision, step) = (&due.id, due.revision, &due.step);
        let change: Name = format!("{id}-{revision}-{:08x}", fastrand::u32(..)).into();
        match self.changes.apply(change, |catalogue| self.edit(catalogue, due)) {
            Ok(version) => {
                log::info!("step=move move={id} revision={revision} to={step:?} version={version}");
            }
            Err(e) => log::warn!("step=move move={id} revision={revision} to={step:?} error={e}"),
        }
    }

    /// The catalogue with the step taken; time and verdicts are looked at again, as the host may
    /// have been paused since the step was decided.
    fn edit(&self, catalogue: &Catalogue, due: &Due) -> std::result::Result<Catalogue, Rejection> {
        let is_reversal = matches!(due.step, Step::Reverse(_));
        if !is_reversal && self.routing.verdicts().get(&due.id).is_some() {
            return Err(Rejection::Conflict("found bad meanwhile".into()));
        }
        let now = self.routing.now();
        moves::apply_step(catalogue, &due.id, due.revision, &due.step, now)
            .map_err(|e| Rejection::Conflict(e.to_string()))
    }
}
