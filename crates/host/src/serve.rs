//! Starts and joins all parts of a host.

use std::sync::Arc;

use sapphirerack_http::Server;
use sapphirerack_platform::Store;
use sapphirerack_policy::{Clock, SystemClock, Timing};
use sapphirerack_repository::Repository;

use crate::calls::Calls;
use crate::changes::Changes;
use crate::entry::Entry;
use crate::fetch::Fetcher;
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
use crate::settings::GossipSettings;
use crate::status::Reporter;
use crate::steps::Steps;
use crate::versions::Versions;
use crate::{Result, Settings, config, fetch, inbox, links, peers};

/// Fetches that may wait; datagrams name what is missing again and again.
const FETCH_QUEUE: usize = 16;

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
    let peers = Peers::new(own, clock.clone(), timing(&settings.gossip));
    let store = Store::new(settings.store.address, settings.store.timeout);

    let (links, poller) = links::bind(settings.listen.hosts)?;
    let (inbound, requests) = flume::unbounded();
    let calls = Calls::new(settings.listen.hosts, links, inbound.clone());
    poller.spawn(inbox::handler(calls.clone(), inbound))?;
    let versions = Arc::new(Versions::default());
    let centre = settings.data_centre.clone();
    let routing = Routing::new(config.clone(), clock.clone());
    let owner = Owner::new(clock.clone(), routing.clone(), calls.clone(), versions.clone(), centre);
    let (sender, owned) = flume::unbounded();
    owner.spawn(owned)?;
    let inbox =
        Inbox { calls: calls.clone(), config: config.clone(), peers: peers.clone(), owner: sender };
    inbox.spawn(requests)?;

    let shared = Arc::new(store.clone());
    let repository = Arc::new(Repository::new(shared, clock.clone(), std::thread::sleep));
    config::follow(config.clone(), peers.clone(), store.clone(), repository.clone())?;
    peers::follow(peers.clone(), store, settings.gossip.seeds.clone())?;

    let (sender, fetches) = flume::bounded(FETCH_QUEUE);
    let gossip = Gossip::bind(peers.clone(), config.clone(), settings.gossip.clone(), sender)?;
    let fetcher = Fetcher::new(calls.clone());
    let (own, asker) = (config.clone(), fetcher.clone());
    let fetch = move |peer| config::fetch(&own, &asker, peer);
    fetch::spawn(fetcher.clone(), peers.clone(), fetches, fetch)?;
    let spread = gossip.clone();
    config.listen(move || spread.notify());
    gossip.spawn()?;

    let changes = Arc::new(Changes::new(repository, config.clone()));
    let steps = Steps { changes: changes.clone(), routing: routing.clone() }.spawn()?;
    let moves = Moves::spawn(moves::Parts {
        clock: clock.clone(),
        config: config.clone(),
        routing: routing.clone(),
        peers: peers.clone(),
        versions,
        gossip: gossip.clone(),
        steps,
    })?;
    let founding = settings.founding.clone();
    let front = MoveFront {
        founding: founding.clone(),
        config: config.clone(),
        routing: routing.clone(),
        changes: changes.clone(),
        moves,
    };
    let reporter = Reporter { config: config.clone(), peers: peers.clone(), gossip, fetcher };
    let operators = Operators::new(config, reporter, metrics.clone(), changes, front, founding);
    let operators = operators.serve(settings.listen.operators)?;
    let gather = Gather::new(clock, routing, peers, calls, metrics.clone());
    let entry = Entry::new(gather, metrics, settings.limits.clone());
    let callers = entry.serve(settings.listen.callers)?;
    log::info!("step=serve host={} data_centre={}", settings.name, settings.data_centre);
    Ok(Host { _callers: callers, _operators: operators })
}

fn timing(settings: &GossipSettings) -> Timing {
    Timing { interval: settings.interval, ..Timing::default() }
}
