//! Starts and joins all parts of a host.

use std::sync::Arc;

use sapphirerack_http::Server;
use sapphirerack_platform::Store;
use sapphirerack_policy::{Clock, SystemClock};

use crate::calls::Calls;
use crate::changes::Changes;
use crate::entry::Entry;
use crate::gather::Gather;
use crate::gossip::Gossip;
use crate::inbox::Inbox;
use crate::metrics::Metrics;
use crate::move_front::MoveFront;
use crate::moves::{self, Moves};
use crate::operators::Operators;
use crate::owner::Owner;
use crate::peers::Peers;
use crate::routing::Routing;
use crate::steps::Steps;
use crate::versions::Versions;
use crate::{Result, Settings, config, inbox, links, owner, peers};

/// A running entry host.
pub struct Host {
    _callers: Server,
    _operators: Server,
}

impl Host {
    /// Waits as long as the host runs.
    pub fn join(self) {
        loop {
            std::thread::park();
        }
    }
}

/// Starts an entry host.
///
/// # Errors
///
/// An address can't be listened on, or a thread can't be started.
pub fn serve(settings: &Settings) -> Result<Host> {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let metrics = Arc::new(Metrics::new()?);
    let config = Arc::new(config::Config::default());
    let own = sapphirerack_policy::Host {
        name: settings.name.clone(),
        data_centre: settings.data_centre.clone(),
        address: settings.listen.hosts,
    };
    let peers = Peers::new(own);
    let store = Store::new(settings.store.address, settings.store.timeout);

    let (links, poller) = links::bind(settings.listen.hosts)?;
    let (inbound, requests) = flume::unbounded();
    let calls = Calls::new(settings.listen.hosts, links, inbound.clone(), clock.clone());
    poller.spawn(inbox::handler(calls.clone(), inbound))?;
    let versions = Arc::new(Versions::default());
    let routing = Routing::new(config.clone(), clock.clone());
    let parts = owner::Parts {
        clock: clock.clone(),
        routing: routing.clone(),
        calls: calls.clone(),
        versions: versions.clone(),
        metrics: metrics.clone(),
        data_centre: settings.data_centre.clone(),
        tuning: settings.queries.tuning(),
    };
    let (sender, owned) = flume::unbounded();
    Owner::new(parts, sender.clone()).spawn(owned)?;
    Inbox { calls: calls.clone(), owner: sender }.spawn(requests)?;

    config::follow(config.clone(), store.clone())?;
    peers::follow(peers.clone(), store.clone())?;

    let gossip = Gossip::bind(peers.clone(), config.clone(), settings.gossip.clone())?;
    gossip.spawn()?;

    let changes = Arc::new(Changes::new(store, config.clone()));
    let steps = Steps { changes: changes.clone(), routing: routing.clone() }.spawn()?;
    let moves = Moves::spawn(moves::Parts {
        clock: clock.clone(),
        config: config.clone(),
        routing: routing.clone(),
        peers: peers.clone(),
        versions,
        gossip,
        steps,
    })?;
    let front = MoveFront {
        config: config.clone(),
        routing: routing.clone(),
        changes: changes.clone(),
        moves,
    };
    let operators = Operators::new(config, peers.clone(), metrics.clone(), changes, front);
    let operators = operators.serve(settings.listen.operators)?;
    let gather =
        Gather::new(clock, routing, peers, calls, metrics.clone(), settings.queries.clone());
    let entry = Entry::new(gather, metrics, settings.limits.clone());
    let callers = entry.serve(settings.listen.callers)?;
    log::info!("step=serve host={} data_centre={}", settings.name, settings.data_centre);
    Ok(Host { _callers: callers, _operators: operators })
}
