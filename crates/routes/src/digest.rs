//! Digests of sets of names: the XOR of the hashes of their members.

use xxhash_rust::xxh3::xxh3_64;

/// Digest of one name; the same on all hosts.
pub(crate) fn digest(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}
