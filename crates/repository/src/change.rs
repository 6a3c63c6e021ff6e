//! Applying a change and resolving unknown outcomes.
//!
//! A change is a compare-and-swap of the head. If the reply is lost, the head is read back. The
//! change was applied if the head lists its id. It was not if the head has a newer version without
//! the id, because the compare-and-swap can no longer succeed. Otherwise the same write is retried;
//! it takes effect at most once, since it is conditional on the version that it replaces.

use std::sync::Arc;
use std::time::Duration;

use sapphirerack_catalogue::{Catalogue, Name};
use sapphirerack_clients::{Category, Error};
use sapphirerack_policy::Clock;

use crate::head::{ChangeRecord, HEAD_KEY, Head, part_key};
use crate::snapshot::digest;
use crate::{KeyValue, Part, PartKeys, Rejection, Snapshot};

/// Maximum length of a change id, in bytes.
const ID_LIMIT: usize = 128;

/// Hexadecimal digits of the content digest in a change id.
const CONTENT_DIGITS: usize = 16;

/// Maximum attempts to apply an edit when concurrent changes replace the head.
const EDIT_ATTEMPTS: usize = 8;

/// Timeout for reading the head, including retries.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Timeout for resolving the outcome of a write, including retries.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(6);

/// Delay between retries of a store call.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Metadata of a change.
#[derive(Clone, Debug)]
pub struct Change {
    /// Unique id.
    pub id: Name,
    /// Member that makes the change; empty for the system itself.
    pub member: Name,
    /// Summary of the change, shown to operators.
    pub summary: Name,
    /// Version on which the change is based; the change is rejected if there is a newer version.
    pub base: Option<u64>,
}

/// Derives a change id from the operator's id and the content, so that reuse of an id with other
/// content is a different change.
pub fn change_id(id: &str, content: &[u8]) -> Name {
    format!("{id}.{}", &digest(content)[..CONTENT_DIGITS]).into()
}

enum WriteOutcome {
    Applied,
    /// Another change replaced the head; the write did not and can't take effect.
    Superseded,
}

/// Repository of the catalogue in a key-value store.
pub struct Repository {
    store: Arc<dyn KeyValue>,
    clock: Arc<dyn Clock>,
    sleep: fn(Duration),
}

impl Repository {
    /// Creates a repository on `store`; `sleep` is called for the delays between retries.
    pub fn new(store: Arc<dyn KeyValue>, clock: Arc<dyn Clock>, sleep: fn(Duration)) -> Self {
        Self { store, clock, sleep }
    }

    /// Reads the head and the version of its store key; a default head if there is none.
    ///
    /// # Errors
    ///
    /// The store did not reply, or the head can't be parsed.
    pub fn head(&self) -> Result<(u64, Head), Rejection> {
        match self.store.get(HEAD_KEY).map_err(unavailable)? {
            Some(value) => Ok((value.version, Head::parse(&value.bytes)?)),
            None => Ok((0, Head::default())),
        }
    }

    /// Loads the catalogue of a head; `cached` returns parts that need not be read from the store.
    ///
    /// # Errors
    ///
    /// The store did not reply, or a part is missing.
    pub fn load(
        &self,
        keys: &PartKeys,
        cached: impl Fn(&str) -> Option<Part>,
    ) -> Result<Snapshot, Rejection> {
        let fetch = |key: &str| {
            let value = self.store.get(&part_key(key)).ok().flatten()?;
            Some(Part::from(value.bytes))
        };
        Snapshot::join(keys, |key| cached(key).or_else(|| fetch(key)))
    }

    /// Applies `edit` to the latest catalogue. `cached` returns parts that need not be read from
    /// the store. `min_version` is the version in force; a head below it is a stale read.
    ///
    /// A change whose id is already listed in the head returns the version that it created.
    ///
    /// # Errors
    ///
    /// The change was rejected, or its outcome is unknown.
    pub fn apply(
        &self,
        change: &Change,
        min_version: u64,
        cached: impl Fn(&str) -> Option<Part>,
        edit: impl Fn(&Catalogue) -> Result<Catalogue, Rejection>,
    ) -> Result<(u64, Option<Snapshot>), Rejection> {
        if change.id.is_empty() || change.id.len() > ID_LIMIT {
            return Err(Rejection::Invalid(format!("change id: expected 1 to {ID_LIMIT} bytes")));
        }
        for _ in 0..EDIT_ATTEMPTS {
            let (stored, head) = self.read_head(min_version.max(change.base.unwrap_or(0)))?;
            if let Some(version) = head.find(&change.id) {
                return Ok((version, None));
            }
            if let Some(base) = change.base.filter(|b| *b != head.version) {
                return Err(conflict(base, &head));
            }
            let snapshot = self.apply_edit(&head, &cached, &edit)?;
            self.write_parts(&head.keys, &snapshot)?;
            let record = ChangeRecord {
                version: 0,
                id: change.id.clone(),
                member: change.member.clone(),
                summary: change.summary.clone(),
            };
            let next = head.next(snapshot.keys().clone(), record);
            match self.write_head(stored, &next, &change.id)? {
                WriteOutcome::Applied => return Ok((next.version, Some(snapshot))),
                WriteOutcome::Superseded => {}
            }
        }
        Err(Rejection::Conflict("others change the catalogue all the time".into()))
    }

    /// Reads the latest head; retries while the store is unavailable or returns a version below
    /// `min_version`.
    fn read_head(&self, min_version: u64) -> Result<(u64, Head), Rejection> {
        let deadline = self.clock.now() + READ_TIMEOUT;
        loop {
            let reason = match self.head() {
                Ok((stored, head)) if head.version >= min_version => return Ok((stored, head)),
                Ok((_, head)) => format!("store shows {}, {min_version} is in force", head.version),
                Err(Rejection::Unavailable(reason)) => reason,
                Err(e) => return Err(e),
            };
            if self.clock.now() >= deadline {
                return Err(Rejection::Unavailable(reason));
            }
            (self.sleep)(RETRY_DELAY);
        }
    }

    fn apply_edit(
        &self,
        head: &Head,
        cached: &impl Fn(&str) -> Option<Part>,
        edit: &impl Fn(&Catalogue) -> Result<Catalogue, Rejection>,
    ) -> Result<Snapshot, Rejection> {
        let catalogue = if head.version == 0 {
            edit(&Catalogue::default())?
        } else {
            edit(self.load(&head.keys, cached)?.catalogue())?
        };
        catalogue.check().map_err(|e| Rejection::Invalid(e.to_string()))?;
        Snapshot::split(catalogue)
    }

    /// Writes the parts that are not listed in the previous head.
    fn write_parts(&self, old: &PartKeys, snapshot: &Snapshot) -> Result<(), Rejection> {
        for (key, part) in snapshot.parts() {
            if old.all().any(|k| k == key) {
                continue;
            }
            self.write_part(key, part)?;
        }
        Ok(())
    }

    /// Writes a part; if the reply is lost, reads the part back.
    fn write_part(&self, key: &str, part: &Part) -> Result<(), Rejection> {
        let key = part_key(key);
        let deadline = self.clock.now() + RESOLVE_TIMEOUT;
        loop {
            let error = match self.store.swap(&key, 0, part) {
                Ok(_) => return Ok(()),
                // Parts are content-addressed: an existing part has the same bytes.
                Err(e) if e.classify() == Category::Conflict => return Ok(()),
                Err(e) => e,
            };
            match self.store.get(&key) {
                Ok(Some(_)) => return Ok(()),
                Ok(None) if self.clock.now() < deadline => (self.sleep)(RETRY_DELAY),
                _ => return Err(unavailable(error)),
            }
        }
    }

    fn write_head(&self, stored: u64, next: &Head, id: &str) -> Result<WriteOutcome, Rejection> {
        let bytes = serde_json::to_vec(next).map_err(|e| Rejection::Invalid(e.to_string()))?;
        let deadline = self.clock.now() + RESOLVE_TIMEOUT;
        let mut sent = false;
        loop {
            match self.store.swap(HEAD_KEY, stored, &bytes) {
                Ok(_) => return Ok(WriteOutcome::Applied),
                Err(e) if e.classify() == Category::Conflict && !sent => {
                    return Ok(WriteOutcome::Superseded);
                }
                Err(e) if e.classify() == Category::Refused && !sent => return Err(unavailable(e)),
                Err(e) => log::info!("step=\"settle change\" id={id} error={e}"),
            }
            sent = true;
            if let Some(outcome) = self.read_back(stored, id) {
                return Ok(outcome);
            }
            if self.clock.now() >= deadline {
                let reason = format!("the store did not answer; ask again with the id {id}");
                return Err(Rejection::Unknown(reason));
            }
            (self.sleep)(RETRY_DELAY);
        }
    }

    /// Outcome of the write, if the head in the store decides it.
    fn read_back(&self, stored: u64, id: &str) -> Option<WriteOutcome> {
        let (now, head) = self.head().ok()?;
        if head.find(id).is_some() {
            return Some(WriteOutcome::Applied);
        }
        // Otherwise the read may be stale, or the write may still take effect.
        (now > stored).then_some(WriteOutcome::Superseded)
    }
}

fn conflict(base: u64, head: &Head) -> Rejection {
    let since = head.describe_since(base);
    let reason = format!("version {base} was changed, the newest is {}: {since}", head.version);
    Rejection::Conflict(reason)
}

fn unavailable(error: Error) -> Rejection {
    Rejection::Unavailable(error.to_string())
}
