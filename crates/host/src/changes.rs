//! Changes of the catalogue through the platform's store.
//!
//! A change is one compare-and-swap of the catalogue's head. It carries a unique id, so that a lost
//! answer of the store can be settled by reading back.

use std::sync::Arc;

use sapphirerack_catalogue::{Catalogue, Name};
use sapphirerack_platform::{Category, Store};

use crate::config::{Config, HEAD_KEY, Head, View, parse};

/// Why a change was not accepted.
#[derive(Clone, Debug, thiserror::Error)]
pub(crate) enum Rejection {
    /// The change breaks a rule; nothing changed.
    #[error("{0}")]
    Invalid(String),
    /// Another change came first; nothing changed.
    #[error("another change came first: {0}")]
    Conflict(String),
    /// The store can't be reached; nothing changed.
    #[error("{0}")]
    Unavailable(String),
    /// The store did not answer; the change may have been accepted.
    #[error("outcome unknown: {0}")]
    Unknown(String),
}

/// Carries out changes of the catalogue.
pub(crate) struct Changes {
    store: Store,
    config: Arc<Config>,
}

impl Changes {
    pub(crate) fn new(store: Store, config: Arc<Config>) -> Self {
        Self { store, config }
    }

    /// Applies `edit` to the newest catalogue as the change `id`; returns the accepted version.
    pub(crate) fn apply(
        &self,
        id: Name,
        edit: impl Fn(&Catalogue) -> Result<Catalogue, Rejection>,
    ) -> Result<u64, Rejection> {
        let current =
            self.store.get(HEAD_KEY).map_err(|e| Rejection::Unavailable(e.to_string()))?;
        let stored = current.as_ref().map_or(0, |v| v.version);
        let base = current.as_ref().and_then(parse);
        let version = base.as_ref().map_or(0, |h| h.version) + 1;
        let catalogue = edit(&base.map(|h| h.catalogue).unwrap_or_default())?;
        catalogue.check().map_err(|e| Rejection::Invalid(e.to_string()))?;
        let head = Head { version, change: id, catalogue };
        let bytes = serde_json::to_vec(&head).map_err(|e| Rejection::Invalid(e.to_string()))?;
        match self.store.swap(HEAD_KEY, stored, &bytes) {
            Ok(_) => {
                self.config.adopt(View { version, catalogue: head.catalogue });
                Ok(version)
            }
            Err(e) if e.classify() == Category::Conflict => Err(Rejection::Conflict(e.to_string())),
            Err(e) => Err(Rejection::Unknown(e.to_string())),
        }
    }
}
