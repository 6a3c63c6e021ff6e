//! How many connections of clients the descriptors of a process allow.

use rustix::process::{Resource, getrlimit};

/// Part of a process's descriptors that clients may use; the others are for its own connections and
/// files.
const CLIENT_PART: usize = 2;

/// Connections of clients for a process that may open so many descriptors.
pub fn connections_of(descriptors: usize) -> usize {
    descriptors / CLIENT_PART
}

/// Connections of clients that the limits of this process allow.
pub fn max_connections() -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    limit.map_or(usize::MAX, |limit| connections_of(limit as usize))
}
