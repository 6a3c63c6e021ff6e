//! Which hosts a sub-query is sent to.
//!
//! The targets of a shard that stand in one data centre form a group. One live host of that data
//! centre owns the group; the next-ranked ones stand in for it. The entry host's own data centre
//! comes first, others follow, and one that operators have taken out never comes.

use std::net::SocketAddr;

use sapphirerack_catalogue::{Catalogue, Name, Presence, Service, Shard, TargetState};

use crate::rank;

/// Owners of one group that are tried: the first and its stand-in.
const OWNERS: usize = 2;

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Unique name.
    pub name: Name,
    /// Data centre in which it stands.
    pub data_centre: Name,
    /// Address for other hosts.
    pub address: SocketAddr,
}

/// Hosts to try for a shard, in order of preference, for an entry host in data centre `own`.
pub fn owners(
    catalogue: &Catalogue,
    service: &Service,
    shard: &Shard,
    own: &str,
    live: &[Host],
) -> Vec<Host> {
    let mut centres: Vec<&Name> = data_centres(catalogue, shard).collect();
    centres.sort_by_key(|name| &***name != own);
    let key = format!("{}/{}", service.name, shard.name);
    let ranked = centres.into_iter().flat_map(|centre| {
        let hosts: Vec<&Host> = live.iter().filter(|h| h.data_centre == *centre).collect();
        rank(key.as_bytes(), &hosts, |h| h.name.as_bytes()).into_iter().take(OWNERS)
    });
    ranked.cloned().collect()
}

/// Data centres that are in and hold an active replica, in the catalogue's order.
fn data_centres<'a>(catalogue: &'a Catalogue, shard: &'a Shard) -> impl Iterator<Item = &'a Name> {
    let holds = |name: &Name| {
        let mut targets = shard.targets.iter();
        targets.any(|t| t.state == TargetState::Active && t.data_centre == *name)
    };
    let present = catalogue.data_centres.iter().filter(|d| d.presence == Presence::In);
    present.map(|d| &d.name).filter(move |name| holds(name))
}
