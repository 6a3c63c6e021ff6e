//! Digests of sets of names and targets: the XOR of the hashes of their members.

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::Target;

/// Digest of one name; the same on all hosts.
pub(crate) fn digest(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Digest of what is known of a target; not 0 for any state.
pub(crate) fn target_digest(target: &Target) -> u64 {
    let state = [target.born, target.sequence, 1 + u64::from(target.draining)];
    let seed = state.iter().fold(0, |seed, part| xxh3_64_with_seed(&part.to_le_bytes(), seed));
    xxh3_64_with_seed(target.id.as_bytes(), seed)
}
