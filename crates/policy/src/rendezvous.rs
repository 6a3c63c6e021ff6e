//! Rendezvous hashing: which host owns a key.
//!
//! Every host ranks the live hosts by a hash of host and key. When a host joins or leaves, only
//! the keys that it gains or loses change their owner.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hosts in order of preference for `key`, the owner first.
///
/// ```
/// use sapphirerack_policy::rank;
///
/// let all = rank(b"clocks/0", &["a", "b", "c"], |h| h.as_bytes());
/// let fewer = rank(b"clocks/0", &all[1..], |h| h.as_bytes());
/// assert_eq!(fewer[0], all[1], "the next-ranked host takes over");
/// ```
pub fn rank<H: Clone>(key: &[u8], hosts: &[H], id: impl Fn(&H) -> &[u8]) -> Vec<H> {
    let mut scored: Vec<(u64, &H)> = hosts.iter().map(|h| (score(key, id(h)), h)).collect();
    scored.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| id(a.1).cmp(id(b.1))));
    scored.into_iter().map(|(_, h)| h.clone()).collect()
}

fn score(key: &[u8], host: &[u8]) -> u64 {
    xxh3_64_with_seed(host, xxh3_64_with_seed(key, 0))
}
