//! One change, carried out and settled.
//!
//! A change is a compare-and-swap of the head. If its answer is lost, the head is read back: the
//! change is accepted if the head lists its id, and refused if the head has moved on without it,
//! for the write can't take effect any more. As long as neither is seen the same write is sent
//! again; it takes effect at most once, since it names the version that it replaces.

use std::sync::Arc;
use std::time::Duration;

use sapphirerack_catalogue::{Catalogue, Name};
use sapphirerack_clients::{Category, Error};
use sapphirerack_policy::Clock;

use crate::head::{HEAD_KEY, Head, Recent, part_key};
use crate::snapshot::digest;
use crate::{KeyValue, Keys, Part, Rejection, Snapshot};

/// Longest id of a change, in bytes.
const ID_LIMIT: usize = 128;

/// Hexadecimal digits of the content's digest in an id.
const CONTENT_DIGITS: usize = 16;

/// Times that an edit is tried again on a newer catalogue.
const EDIT_TRIES: usize = 8;

/// Time after which a head that can't be read is given up.
const READ_TIME: Duration = Duration::from_secs(3);

/// Time after which a write of unknown outcome is given up.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// Pause between two calls to a store that did not answer.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);

/// Who changes what.
#[derive(Clone, Debug)]
pub struct Change {
    /// Unique id.
    pub id: Name,
    /// Member that makes it; empty for the system itself.
    pub member: Name,
    /// What it changes, for operators.
    pub summary: Name,
    /// Version that the operator has seen; the change is refused if there is a newer one.
    pub base: Option<u64>,
}

/// Id of a change that binds the operator's id to what was asked: the same id with another
/// content is another change.
pub fn change_id(id: &str, content: &[u8]) -> Name {
    format!("{id}.{}", &digest(content)[..CONTENT_DIGITS]).into()
}

enum Written {
    Accepted,
    /// Another head stands; the write has not taken effect and never will.
    Superseded,
}

/// Changes of the catalogue in a store.
pub struct Repository {
    store: Arc<dyn KeyValue>,
    clock: Arc<dyn Clock>,
    sleep: fn(Duration),
}

impl Repository {
    /// Changes through `store`; `sleep` passes the pauses between repeated calls.
    pub fn new(store: Arc<dyn KeyValue>, clock: Arc<dyn Clock>, sleep: fn(Duration)) -> Self {
        Self { store, clock, sleep }
    }

    /// Head in the store, with its version there; a default head if there is none.
    ///
    /// # Errors
    ///
    /// The store did not answer, or the head can't be read.
    pub fn head(&self) -> Result<(u64, Head), Rejection> {
        match self.store.get(HEAD_KEY).map_err(unavailable)? {
            Some(value) => Ok((value.version, Head::parse(&value.bytes)?)),
            None => Ok((0, Head::default())),
        }
    }

    /// Puts together the catalogue of a head; `known` gives parts that are at hand.
    ///
    /// # Errors
    ///
    /// The store did not answer, or a part is missing.
    pub fn load(
        &self,
        keys: &Keys,
        known: impl Fn(&str) -> Option<Part>,
    ) -> Result<Snapshot, Rejection> {
        let fetch = |key: &str| {
            let value = self.store.get(&part_key(key)).ok().flatten()?;
            Some(Part::from(value.bytes))
        };
        Snapshot::join(keys, |key| known(key).or_else(|| fetch(key)))
    }

    /// Applies `edit` to the newest catalogue. `known` gives the parts that are at hand and
    /// `floor` the version that is in force: a store that shows less is not believed.
    ///
    /// A change whose id the head lists already is accepted as the version that it made.
    ///
    /// # Errors
    ///
    /// The change was not accepted, or its outcome is unknown.
    pub fn apply(
        &self,
        change: &Change,
        floor: u64,
        known: impl Fn(&str) -> Option<Part>,
        edit: impl Fn(&Catalogue) -> Result<Catalogue, Rejection>,
    ) -> Result<(u64, Option<Snapshot>), Rejection> {
        if change.id.is_empty() || change.id.len() > ID_LIMIT {
            return Err(Rejection::Invalid(format!("change id: expected 1 to {ID_LIMIT} bytes")));
        }
        for _ in 0..EDIT_TRIES {
            let (stored, head) = self.newest(floor.max(change.base.unwrap_or(0)))?;
            if let Some(version) = head.find(&change.id) {
                return Ok((version, None));
            }
            if let Some(base) = change.base.filter(|b| *b != head.version) {
                return Err(conflict(base, &head));
            }
            let snapshot = self.edited(&head, &known, &edit)?;
            self.write_parts(&head.keys, &snapshot)?;
            let recent = Recent {
                version: 0,
                id: change.id.clone(),
                member: change.member.clone(),
                summary: change.summary.clone(),
            };
            let next = head.next(snapshot.keys().clone(), recent);
            match self.write_head(stored, &next, &change.id)? {
                Written::Accepted => return Ok((next.version, Some(snapshot))),
                Written::Superseded => {}
            }
        }
        Err(Rejection::Conflict("others change the catalogue all the time".into()))
    }

    /// Newest head; waits for a store that does not answer or shows one older than `floor`.
    fn newest(&self, floor: u64) -> Result<(u64, Head), Rejection> {
        let limit = self.clock.now() + READ_TIME;
        loop {
            let reason = match self.head() {
                Ok((stored, head)) if head.version >= floor => return Ok((stored, head)),
                Ok((_, head)) => format!("store shows {}, {floor} is in force", head.version),
                Err(Rejection::Unavailable(reason)) => reason,
                Err(e) => return Err(e),
            };
            if self.clock.now() >= limit {
                return Err(Rejection::Unavailable(reason));
            }
            (self.sleep)(SETTLE_PAUSE);
        }
    }

    fn edited(
        &self,
        head: &Head,
        known: &impl Fn(&str) -> Option<Part>,
        edit: &impl Fn(&Catalogue) -> Result<Catalogue, Rejection>,
    ) -> Result<Snapshot, Rejection> {
        let catalogue = if head.version == 0 {
            edit(&Catalogue::default())?
        } else {
            edit(self.load(&head.keys, known)?.catalogue())?
        };
        catalogue.check().map_err(|e| Rejection::Invalid(e.to_string()))?;
        Snapshot::split(catalogue)
    }

    /// Writes the parts that the head does not name yet.
    fn write_parts(&self, old: &Keys, snapshot: &Snapshot) -> Result<(), Rejection> {
        for (key, part) in snapshot.parts() {
            if old.all().any(|k| k == key) {
                continue;
            }
            self.write_part(key, part)?;
        }
        Ok(())
    }

    /// Writes a part; an answer that is lost is settled by reading the part back.
    fn write_part(&self, key: &str, part: &Part) -> Result<(), Rejection> {
        let key = part_key(key);
        let limit = self.clock.now() + SETTLE_TIME;
        loop {
            let error = match self.store.swap(&key, 0, part) {
                Ok(_) => return Ok(()),
                // The key is the part's digest: whoever wrote it wrote the same.
                Err(e) if e.classify() == Category::Conflict => return Ok(()),
                Err(e) => e,
            };
            match self.store.get(&key) {
                Ok(Some(_)) => return Ok(()),
                Ok(None) if self.clock.now() < limit => (self.sleep)(SETTLE_PAUSE),
                _ => return Err(unavailable(error)),
            }
        }
    }

    fn write_head(&self, stored: u64, next: &Head, id: &str) -> Result<Written, Rejection> {
        let bytes = serde_json::to_vec(next).map_err(|e| Rejection::Invalid(e.to_string()))?;
        let limit = self.clock.now() + SETTLE_TIME;
        let mut sent = false;
        loop {
            match self.store.swap(HEAD_KEY, stored, &bytes) {
                Ok(_) => return Ok(Written::Accepted),
                Err(e) if e.classify() == Category::Conflict && !sent => {
                    return Ok(Written::Superseded);
                }
                Err(e) if e.classify() == Category::Refused && !sent => return Err(unavailable(e)),
                Err(e) => log::info!("step=\"settle change\" id={id} error={e}"),
            }
            sent = true;
            if let Some(written) = self.read_back(stored, id) {
                return Ok(written);
            }
            if self.clock.now() >= limit {
                let reason = format!("the store did not answer; ask again with the id {id}");
                return Err(Rejection::Unknown(reason));
            }
            (self.sleep)(SETTLE_PAUSE);
        }
    }

    /// Whether the write took effect, as far as the store tells.
    fn read_back(&self, stored: u64, id: &str) -> Option<Written> {
        let (now, head) = self.head().ok()?;
        if head.find(id).is_some() {
            return Some(Written::Accepted);
        }
        // An older value than the one replaced tells nothing.
        (now > stored).then_some(Written::Superseded)
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
