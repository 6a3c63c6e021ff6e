//! News of hosts that are still to be passed on.

use sapphirerack_catalogue::{Map, Name};

/// Times that news are passed on for each doubling of the number of hosts.
const REPEATS: u32 = 3;

/// Names of hosts with news, and how often each was passed on.
#[derive(Default)]
pub(crate) struct Rumours {
    sent: Map<Name, u32>,
}

impl Rumours {
    /// Starts passing on news of a host.
    pub(crate) fn add(&mut self, name: Name) {
        self.sent.insert(name, 0);
    }

    /// Hosts whose news are passed on next, the least often repeated first.
    pub(crate) fn take(&mut self, count: usize, hosts: usize) -> Vec<Name> {
        let limit = REPEATS * (usize::BITS - hosts.leading_zeros());
        let mut order: Vec<(u32, Name)> = self.sent.iter().map(|(n, s)| (*s, n.clone())).collect();
        order.sort();
        order.truncate(count);
        for (sent, name) in &order {
            if sent + 1 >= limit {
                self.sent.remove(name);
            } else {
                self.sent.insert(name.clone(), sent + 1);
            }
        }
        order.into_iter().map(|(_, name)| name).collect()
    }
}
