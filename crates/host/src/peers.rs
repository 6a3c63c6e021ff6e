//! The other hosts.

use std::sync::{Arc, PoisonError, RwLock};
use std::thread;
use std::time::Duration;

use sapphirerack_platform::{HostEntry, HostState, Store};
use sapphirerack_policy::Host;

use crate::{Error, Result};

const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Hosts that are believed to be live, this one included.
#[derive(Debug)]
pub(crate) struct Peers {
    own: Host,
    live: RwLock<Arc<[Host]>>,
}

impl Peers {
    /// Only this host, at first.
    pub(crate) fn new(own: Host) -> Arc<Self> {
        let live = RwLock::new(Arc::from([own.clone()]));
        Arc::new(Self { own, live })
    }

    /// This host.
    pub(crate) fn own(&self) -> &Host {
        &self.own
    }

    /// Hosts that are believed to be live.
    pub(crate) fn live(&self) -> Arc<[Host]> {
        self.live.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn replace(&self, entries: Vec<HostEntry>) {
        let live = entries.into_iter().filter(|e| e.state == HostState::Live);
        let mut hosts: Vec<Host> = live
            .map(|e| Host { name: e.name, data_centre: e.data_centre, address: e.address })
            .collect();
        if hosts.iter().all(|h| h.name != self.own.name) {
            hosts.push(self.own.clone());
        }
        *self.live.write().unwrap_or_else(PoisonError::into_inner) = hosts.into();
    }
}

/// Follows the platform's host list on a thread of its own.
pub(crate) fn follow(peers: Arc<Peers>, store: Store) -> Result<()> {
    let run = move || {
        loop {
            match store.hosts() {
                Ok(entries) => peers.replace(entries),
                Err(e) => log::warn!("step=hosts error={e:?}"),
            }
            thread::sleep(POLL_INTERVAL);
        }
    };
    let builder = thread::Builder::new().name("peers".into());
    builder.spawn(run).map(drop).map_err(|e| Error::io("start thread", "peers", e))
}
