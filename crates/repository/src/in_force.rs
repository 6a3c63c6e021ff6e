//! The view that is in force on a host.
//!
//! A higher version replaces a lower one; nothing else changes it, so the version never falls.

use std::sync::{Arc, OnceLock, PoisonError, RwLock};

use sapphirerack_catalogue::{Catalogue, Map, Name};

use crate::{Head, Keys, Part, Rejection, Snapshot};

/// Bytes of parts in one reply.
const REPLY_LIMIT: usize = 2 << 20;

/// A catalogue with its version; version 0 stands for none.
#[derive(Debug, Default)]
pub struct View {
    /// Version.
    pub version: u64,
    /// The catalogue.
    pub catalogue: Arc<Catalogue>,
    keys: Keys,
    parts: Map<Name, Part>,
}

impl View {
    /// View of a snapshot.
    pub fn new(version: u64, snapshot: &Snapshot) -> Self {
        Self {
            version,
            catalogue: snapshot.catalogue().clone(),
            keys: snapshot.keys().clone(),
            parts: snapshot.parts().clone(),
        }
    }

    /// The view with another catalogue in its place, such as one with moves in effect.
    pub fn with(&self, catalogue: Catalogue) -> Self {
        Self {
            version: self.version,
            catalogue: Arc::new(catalogue),
            keys: self.keys.clone(),
            parts: self.parts.clone(),
        }
    }

    /// Part with the digest `key`, if it is of this view.
    pub fn part(&self, key: &str) -> Option<Part> {
        self.parts.get(key).cloned()
    }
}

type Listener = Box<dyn Fn() + Send + Sync>;

/// The view in force on this host.
#[derive(Default)]
pub struct InForce {
    view: RwLock<Arc<View>>,
    listener: OnceLock<Listener>,
}

impl InForce {
    /// View in force.
    pub fn view(&self) -> Arc<View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Version in force; 0 stands for none.
    pub fn version(&self) -> u64 {
        self.view().version
    }

    /// Has `listener` called after each adoption; the first one set stays.
    pub fn listen(&self, listener: impl Fn() + Send + Sync + 'static) {
        let _ = self.listener.set(Box::new(listener));
    }

    /// Puts a view in force if its version is higher; tells whether it did.
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

    /// The first parts with the digests `keys`, as many as fit into a reply.
    pub fn parts(&self, keys: &[Name]) -> Vec<Vec<u8>> {
        let view = self.view();
        let mut room = REPLY_LIMIT;
        let mut parts = Vec::new();
        for part in keys.iter().map_while(|key| view.part(key)) {
            if part.len() > room {
                break;
            }
            room -= part.len();
            parts.push(part.to_vec());
        }
        parts
    }

    /// Takes the head that another host gave, and the parts that are missing here from `ask`,
    /// which gives the first of those asked for. Returns whether it came into force.
    ///
    /// # Errors
    ///
    /// The head can't be read, or parts are missing or broken.
    pub fn take(
        &self,
        head: &[u8],
        ask: impl Fn(&[Name]) -> Vec<Vec<u8>>,
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
            let found = ask(&missing);
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
