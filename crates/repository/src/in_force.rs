//! The configuration view in force on a host.
//!
//! A view is replaced only by one of a higher version, so the version is monotonic.

use std::sync::{Arc, OnceLock, PoisonError, RwLock};

use sapphirerack_catalogue::{Catalogue, Map, Name};

use crate::{Head, Part, PartKeys, Rejection, Snapshot};

/// Maximum total size of the parts in one reply, in bytes.
const REPLY_LIMIT: usize = 2 << 20;

/// A catalogue with its version; version 0 means no configuration.
#[derive(Debug, Default)]
pub struct View {
    /// Version of the catalogue.
    pub version: u64,
    /// The catalogue.
    pub catalogue: Arc<Catalogue>,
    keys: PartKeys,
    parts: Map<Name, Part>,
}

impl View {
    /// Creates the view of a snapshot.
    pub fn new(version: u64, snapshot: &Snapshot) -> Self {
        Self {
            version,
            catalogue: snapshot.catalogue().clone(),
            keys: snapshot.keys().clone(),
            parts: snapshot.parts().clone(),
        }
    }

    /// View of the same version with the effects of moves applied; has no parts to serve to peers.
    pub fn projected(&self, catalogue: Catalogue) -> Self {
        Self { version: self.version, catalogue: Arc::new(catalogue), ..Self::default() }
    }

    /// Part with the digest `key`, if it belongs to this view.
    pub fn part(&self, key: &str) -> Option<Part> {
        self.parts.get(key).cloned()
    }
}

type Listener = Box<dyn Fn() + Send + Sync>;

/// The view in force on this host.
#[derive(Default)]
pub struct CurrentView {
    view: RwLock<Arc<View>>,
    listener: OnceLock<Listener>,
}

impl CurrentView {
    /// View in force.
    pub fn view(&self) -> Arc<View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Version in force; 0 means no configuration.
    pub fn version(&self) -> u64 {
        self.view().version
    }

    /// Registers a `listener` to call after each adoption; only the first registration counts.
    pub fn on_adopt(&self, listener: impl Fn() + Send + Sync + 'static) {
        let _ = self.listener.set(Box::new(listener));
    }

    /// Replaces the view in force if `view` has a higher version; returns whether it did.
    pub fn adopt(&self, view: View) -> bool {
        let mut current = self.view.write().unwrap_or_else(PoisonError::into_inner);
        if view.version <= current.version {
            return false;
        }
        log::info!("step=adopt version={}", view.version);
        *current = Arc::new(view);
        drop(current);
        if let Some(listener) = self.listener.get() {
            listener();
        }
        true
    }

    /// Head of the view in force as JSON, if its version is above `version`.
    pub fn head_above(&self, version: u64) -> Option<Vec<u8>> {
        let view = self.view();
        let head = Head { version: view.version, keys: view.keys.clone(), recent: Vec::new() };
        (view.version > version).then(|| serde_json::to_vec(&head).ok()).flatten()
    }

    /// Leading parts with the digests `keys`, as many as fit into a reply.
    pub fn parts(&self, keys: &[Name]) -> Vec<Vec<u8>> {
        let view = self.view();
        let mut remaining = REPLY_LIMIT;
        let mut parts = Vec::new();
        for part in keys.iter().map_while(|key| view.part(key)) {
            if part.len() > remaining {
                break;
            }
            remaining -= part.len();
            parts.push(part.to_vec());
        }
        parts
    }

    /// Adopts the head received from a peer and fetches missing parts with `fetch`, which may
    /// return only the first of the requested parts. Returns whether the view was adopted.
    ///
    /// # Errors
    ///
    /// The head can't be parsed, or parts are missing or corrupted.
    pub fn adopt_head(
        &self,
        head: &[u8],
        fetch: impl Fn(&[Name]) -> Vec<Vec<u8>>,
    ) -> Result<bool, Rejection> {
        let head = Head::parse(head)?;
        if head.version <= self.version() {
            return Ok(false);
        }
        let view = self.view();
        let mut parts: Map<Name, Part> = Map::default();
        let mut missing: Vec<Name> = Vec::new();
        for key in head.keys.all() {
            match view.part(key) {
                Some(part) => drop(parts.insert(key.clone(), part)),
                None => missing.push(key.clone()),
            }
        }
        while !missing.is_empty() {
            let found = fetch(&missing);
            if found.is_empty() {
                break;
            }
            let count = found.len().min(missing.len());
            parts.extend(missing.drain(..count).zip(found.into_iter().map(Part::from)));
        }
        let snapshot = Snapshot::join(&head.keys, |key| parts.get(key).cloned())?;
        Ok(self.adopt(View::new(head.version, &snapshot)))
    }
}
