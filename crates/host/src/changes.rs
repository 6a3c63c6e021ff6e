//! Changes of the catalogue that this host carries out for operators and for moves.

use std::sync::Arc;

use sapphirerack_catalogue::{Catalogue, Name};
use sapphirerack_repository::{Change, Repository, View};

use crate::claim::Claim;
use crate::config::Config;

pub(crate) use sapphirerack_repository::Rejection;

/// Carries out changes of the catalogue.
pub(crate) struct Changes {
    repository: Arc<Repository>,
    config: Arc<Config>,
}

impl Changes {
    pub(crate) fn new(repository: Arc<Repository>, config: Arc<Config>) -> Self {
        Self { repository, config }
    }

    /// Applies `edit` to the newest catalogue as the change `id` of the system itself; returns the
    /// accepted version. The edit is tried again if another change comes first.
    #[allow(dead_code, reason = "called by the moves")]
    pub(crate) fn apply(
        &self,
        id: Name,
        edit: impl Fn(&Catalogue) -> Result<Catalogue, Rejection>,
    ) -> Result<u64, Rejection> {
        let change = Change { id, member: "".into(), summary: "moves".into(), base: None };
        self.carry_out(&change, edit)
    }

    /// Applies `edit` to the newest catalogue as `change` of a member that proves itself; returns
    /// the accepted version. The edit must check the claim against the catalogue that it is given.
    pub(crate) fn submit(
        &self,
        change: &Change,
        claim: &Claim,
        edit: impl Fn(&Catalogue) -> Result<Catalogue, Rejection>,
    ) -> Result<u64, Rejection> {
        let view = self.config.view();
        if view.version > 0 {
            // A repeated change is not edited again, yet its member must prove itself.
            claim.check(&view.catalogue)?;
        }
        self.carry_out(change, edit)
    }

    fn carry_out(
        &self,
        change: &Change,
        edit: impl Fn(&Catalogue) -> Result<Catalogue, Rejection>,
    ) -> Result<u64, Rejection> {
        let view = self.config.view();
        let known = |key: &str| view.part(key);
        let (version, snapshot) = self.repository.apply(change, view.version, known, edit)?;
        let (id, member) = (&change.id, &change.member);
        log::info!("step=change id={id} member={member} version={version} outcome=accepted");
        if let Some(snapshot) = snapshot {
            self.config.adopt(View::new(version, &snapshot));
        }
        Ok(version)
    }
}
