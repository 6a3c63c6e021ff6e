//! Names and the collections keyed by them.

use std::sync::Arc;

/// Name of an entry; cheap to clone and share between threads.
pub type Name = Arc<str>;

/// Hash map with the workspace's fast hasher.
pub type Map<K, V> = std::collections::HashMap<K, V, foldhash::fast::RandomState>;

/// Hash set with the workspace's fast hasher.
pub type Set<K> = std::collections::HashSet<K, foldhash::fast::RandomState>;
