//! The catalogue in the platform's store.
//!
//! The catalogue is split into parts, one per service and one for the rest. Parts are
//! content-addressed: the key is the digest of the bytes, so parts are immutable and writes are
//! idempotent. A single head lists the digests of the parts; it is replaced by compare-and-swap,
//! and its version strictly increases. Given a head, parts from any source can be verified.
//!
//! # Modules
//!
//! - `head`: the head and its list of recent changes
//! - `snapshot`: splitting a catalogue into parts and joining them
//! - `in_force`: the configuration view in force on a host
//! - `change`: applying a change and resolving unknown outcomes
//! - `rejection`: reasons for rejecting a change
//! - `store`: interface of the store
//!
//! # Example
//!
//! ```
//! use sapphirerack_catalogue::Catalogue;
//! use sapphirerack_repository::Snapshot;
//!
//! let snapshot = Snapshot::split(Catalogue::default())?;
//! let parts = snapshot.parts().clone();
//! let again = Snapshot::join(snapshot.keys(), |key| parts.get(key).cloned())?;
//! assert_eq!(again.catalogue(), snapshot.catalogue());
//! # Ok::<(), sapphirerack_repository::Rejection>(())
//! ```

mod change;
mod head;
mod in_force;
mod rejection;
mod snapshot;
mod store;

pub use crate::change::{Change, Repository, change_id};
pub use crate::head::{ChangeRecord, HEAD_KEY, Head, RECENT_CHANGES, part_key};
pub use crate::in_force::{CurrentView, View};
pub use crate::rejection::Rejection;
pub use crate::snapshot::{Part, PartKeys, Snapshot};
pub use crate::store::KeyValue;
