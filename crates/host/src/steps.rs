//! Writes the steps of moves to the store, on a dedicated thread.
//!
//! Any host may write any step: the record's revision and the store's compare-and-swap ensure that
//! only one write takes effect. Hosts try in rank order, so that usually only one tries.

use std::sync::Arc;
use std::thread;

use sapphirerack_catalogue::{Catalogue, Name};
use sapphirerack_policy::moves::{self, Step};

use crate::changes::{Changes, Rejection};
use crate::routing::Routing;
use crate::{Error, Result};

/// A step that is due.
pub(crate) struct DueStep {
    /// Id of the move.
    pub id: Name,
    /// Revision of the record for which it was decided.
    pub revision: u64,
    /// The step.
    pub step: Step,
}

/// Writes steps of moves.
pub(crate) struct StepWriter {
    pub(crate) changes: Arc<Changes>,
    pub(crate) routing: Arc<Routing>,
}

impl StepWriter {
    /// Starts the writer thread. The queue holds one step; a sender drops a step that finds it full,
    /// and sends it again later.
    pub(crate) fn spawn(self) -> Result<flume::Sender<DueStep>> {
        let (sender, due) = flume::bounded::<DueStep>(1);
        let run = move || {
            for step in due {
                self.write(&step);
            }
        };
        let builder = thread::Builder::new().name("steps".into());
        builder.spawn(run).map_err(|e| Error::io("start thread", "steps", e))?;
        Ok(sender)
    }

    fn write(&self, due: &DueStep) {
        let (id, revision, step) = (&due.id, due.revision, &due.step);
        let change: Name = format!("{id}-{revision}-{:08x}", fastrand::u32(..)).into();
        match self.changes.apply(change, |catalogue| self.edit(catalogue, due)) {
            Ok(version) => {
                log::info!("step=move move={id} revision={revision} to={step:?} version={version}");
            }
            Err(e) => log::warn!("step=move move={id} revision={revision} to={step:?} error={e}"),
        }
    }

    /// Applies the step to the catalogue; checks time and verdicts again, as the host may have been
    /// paused since the step was decided.
    fn edit(
        &self,
        catalogue: &Catalogue,
        due: &DueStep,
    ) -> std::result::Result<Catalogue, Rejection> {
        let is_reversal = matches!(due.step, Step::Reverse(_));
        if !is_reversal && self.routing.verdicts().get(&due.id).is_some() {
            return Err(Rejection::Conflict("found bad meanwhile".into()));
        }
        let now = self.routing.now();
        moves::apply_step(catalogue, &due.id, due.revision, &due.step, now)
            .map_err(|e| Rejection::Conflict(e.to_string()))
    }
}
