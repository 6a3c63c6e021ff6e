//! Queue of updates still to be gossiped, each sent a limited number of times.

use sapphirerack_catalogue::{Map, Name};

/// Times that an update is sent for each doubling of the number of hosts, so that it reaches all
/// of them with high probability.
const SENDS_PER_DOUBLING: u32 = 3;

/// Hosts with a pending update, and how often each was sent.
#[derive(Default)]
pub(crate) struct UpdateQueue {
    sent: Map<Name, u32>,
}

impl UpdateQueue {
    /// Queues the update of a host, with its count of sends at 0.
    pub(crate) fn add(&mut self, name: Name) {
        self.sent.insert(name, 0);
    }

    /// Takes the hosts whose updates are sent next, the least often sent first.
    pub(crate) fn take(&mut self, count: usize, hosts: usize) -> Vec<Name> {
        let limit = SENDS_PER_DOUBLING * (usize::BITS - hosts.leading_zeros());
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
