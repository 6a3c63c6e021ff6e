//! Changes of the catalogue, requested by operators or made by moves.

use std::sync::Arc;

use sapphirerack_catalogue::{Catalogue, Name};
use sapphirerack_repository::{Change, Repository, View};

use crate::config::Config;
use crate::credentials::Credentials;

pub(crate) use sapphirerack_repository::Rejection;

/// Commits changes of the catalogue.
pub(crate) struct Changes {
    repository: Arc<Repository>,
    config: Arc<Config>,
}

impl Changes {
    pub(crate) fn new(repository: Arc<Repository>, config: Arc<Config>) -> Self {
        Self { repository, config }
    }

    /// Applies `edit` to the newest catalogue as the change `id`, on behalf of the system; returns
    /// the accepted version. The edit is retried if another change comes first.
    #[allow(dead_code, reason = "called by the moves")]
    pub(crate) fn apply(
        &self,
        id: Name,
        edit: impl Fn(&Catalogue) -> Result<Catalogue, Rejection>,
    ) -> Result<u64, Rejection> {
        let change = Change { id, member: "".into(), summary: "moves".into(), base: None };
        self.commit(&change, edit)
    }

    /// Applies `edit` to the newest catalogue as `change`, on behalf of an authenticated member;
    /// returns the accepted version. The edit must check the credentials against the catalogue
    /// that it is given.
    pub(crate) fn submit(
        &self,
        change: &Change,
        credentials: &Credentials,
        edit: impl Fn(&Catalogue) -> Result<Catalogue, Rejection>,
    ) -> Result<u64, Rejection> {
        let view = self.config.view();
        if view.version > 0 {
            // A repeated change is not edited again, but its member must still be authenticated.
            credentials.check(&view.catalogue)?;
        }
        self.commit(change, edit)
    }

    fn commit(
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
