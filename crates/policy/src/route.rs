//! Which hosts a sub-query is sent to.
//!
//! The targets of a shard in one data centre form a group. One live host of that data centre owns
//! the group; the next-ranked hosts are its backups. The entry host's own data centre is preferred
//! to the others, and one that operators have drained is never used.

use std::net::SocketAddr;

use sapphirerack_catalogue::{Catalogue, Name, Presence, Service, Shard, Target, TargetState};

use crate::{Candidate, rank};

/// Hosts tried per group: the owner and its first backup.
const OWNERS_PER_GROUP: usize = 2;

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// Unique name.
    pub name: Name,
    /// Its data centre.
    pub data_centre: Name,
    /// Address for other hosts.
    pub address: SocketAddr,
    /// Processor and link of its machine, in thousandths of a core; 0 if not stated.
    pub capacity: u32,
}

/// Hosts to try for a shard, in order of preference, as seen from data centre `own`.
pub fn owners(
    catalogue: &Catalogue,
    service: &Service,
    shard: &Shard,
    own: &str,
    live: &[Host],
) -> Vec<Candidate> {
    let mut centres: Vec<&Name> = data_centres(catalogue, shard).collect();
    centres.sort_by_key(|name| &***name != own);
    let key = group_key(&service.name, &shard.name);
    let ranked = centres.into_iter().flat_map(|centre| {
        let replicas = replicas(shard, centre).count();
        let hosts = rank_hosts(&key, centre, live).into_iter().take(OWNERS_PER_GROUP);
        hosts.map(move |host| Candidate { host: host.clone(), replicas })
    });
    ranked.collect()
}

/// Key for the rendezvous ranking of a data centre's hosts for a shard's group.
pub fn group_key(service: &str, shard: &str) -> String {
    format!("{service}/{shard}")
}

/// Hosts of a data centre in order of preference for a group.
pub fn rank_hosts<'a>(key: &str, centre: &str, live: &'a [Host]) -> Vec<&'a Host> {
    let hosts: Vec<&Host> = live.iter().filter(|h| *h.data_centre == *centre).collect();
    rank(key.as_bytes(), &hosts, |h| h.name.as_bytes())
}

fn replicas<'a>(shard: &'a Shard, centre: &'a str) -> impl Iterator<Item = &'a Target> {
    let active = |t: &&Target| t.state == TargetState::Active && *t.data_centre == *centre;
    shard.targets.iter().filter(active)
}

/// Data centres that are in service and have an active replica, in the catalogue's order.
fn data_centres<'a>(catalogue: &'a Catalogue, shard: &'a Shard) -> impl Iterator<Item = &'a Name> {
    let holds = |name: &Name| replicas(shard, name).next().is_some();
    let present = catalogue.data_centres.iter().filter(|d| d.presence == Presence::In);
    present.map(|d| &d.name).filter(move |name| holds(name))
}
