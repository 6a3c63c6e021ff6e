//! The catalogue in the platform's store.
//!
//! The catalogue is split into parts, one for each service and one for the rest. A part's key is
//! the digest of its bytes, so a part never changes and writing it twice does no harm. One head
//! names the parts; its version rises strictly, moved by compare-and-swap. Whoever has a head can
//! check that the parts are those it names, wherever they come from.
//!
//! # Modules
//!
//! - `head`: the head and the recent changes that it lists
//! - `snapshot`: a version of the catalogue, split into parts and put together
//! - `in_force`: the view that is in force on a host
//! - `change`: one change, carried out and settled
//! - `store`: the store as an interface
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
pub use crate::head::{HEAD_KEY, Head, RECENT_CHANGES, Recent, part_key};
pub use crate::in_force::{InForce, View};
pub use crate::rejection::Rejection;
pub use crate::snapshot::{Keys, Part, Snapshot};
pub use crate::store::KeyValue;
