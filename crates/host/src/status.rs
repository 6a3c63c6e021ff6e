//! Status of this host and of the others, for operators.

use std::net::SocketAddr;
use std::sync::Arc;

use sapphirerack_catalogue::Name;
use sapphirerack_protocol::{Reply, Request};
use serde::Serialize;

use crate::config::Config;
use crate::fetch::Fetcher;
use crate::gossip::Gossip;
use crate::peers::Peers;

/// Status of one host.
#[derive(Serialize)]
pub(crate) struct Status {
    host: Name,
    data_centre: Name,
    version: u64,
    ready: bool,
    live_hosts: usize,
    cut: Vec<Name>,
    gossip_sent: u64,
    gossip_received: u64,
}

/// Version in force on one host.
#[derive(Serialize)]
struct HostVersion {
    host: Name,
    data_centre: Name,
    version: u64,
}

/// A live host that did not report its version.
#[derive(Serialize)]
struct Unanswered {
    host: Name,
    data_centre: Name,
    suspected: bool,
}

/// Versions in force on the hosts that replied; `version` is the highest.
#[derive(Serialize)]
pub(crate) struct ClusterVersions {
    version: u64,
    everywhere: bool,
    hosts: Vec<HostVersion>,
    unasked: Vec<Unanswered>,
    cut: Vec<Name>,
}

/// Collects the status for operators.
pub(crate) struct StatusReporter {
    pub config: Arc<Config>,
    pub peers: Arc<Peers>,
    pub gossip: Arc<Gossip>,
    pub fetcher: Fetcher,
}

impl StatusReporter {
    /// Status of this host.
    pub(crate) fn own(&self) -> Status {
        let own = self.peers.own();
        let version = self.config.version();
        let (gossip_sent, gossip_received) = self.gossip.bytes();
        Status {
            host: own.name.clone(),
            data_centre: own.data_centre.clone(),
            version,
            ready: version > 0 && self.peers.is_joined(),
            live_hosts: self.peers.live().len(),
            cut: self.peers.cut_off(),
            gossip_sent,
            gossip_received,
        }
    }

    /// Versions in force on all live hosts.
    pub(crate) fn all(&self) -> ClusterVersions {
        let live = self.peers.live();
        let addresses: Vec<SocketAddr> = live.iter().map(|h| h.address).collect();
        let replies = self.fetcher.call_all(&addresses, &Request::Version);
        let mut hosts = Vec::with_capacity(live.len());
        let mut unasked = Vec::new();
        for (host, reply) in live.iter().zip(replies) {
            let (name, data_centre) = (host.name.clone(), host.data_centre.clone());
            if let Some(Reply::Version(version)) = reply {
                hosts.push(HostVersion { host: name, data_centre, version });
            } else {
                let suspected = self.peers.is_suspected(&name);
                unasked.push(Unanswered { host: name, data_centre, suspected });
            }
        }
        let version = hosts.iter().map(|h| h.version).max().unwrap_or(0);
        let cut = self.peers.cut_off();
        let everywhere =
            unasked.is_empty() && cut.is_empty() && hosts.iter().all(|h| h.version == version);
        ClusterVersions { version, everywhere, hosts, unasked, cut }
    }
}
