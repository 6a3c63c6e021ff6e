//! Starts and stops the components of a host.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use sapphirerack_clients::Store;
use sapphirerack_http::Server;
use sapphirerack_policy::{Clock, SystemClock, Timing};
use sapphirerack_repository::Repository;

use crate::bookings::Bookings;
use crate::calls::Calls;
use crate::changes::Changes;
use crate::entry::Entry;
use crate::fetch::Fetcher;
use crate::gather::Gather;
use crate::gossip::Gossip;
use crate::inbox::Inbox;
use crate::metrics::Metrics;
use crate::move_front::MoveFront;
use crate::moves::{self, MoveExecutor};
use crate::operators::Operators;
use crate::owner::Owner;
use crate::peers::Peers;
use crate::routing::Routing;
use crate::settings::{GossipSettings, StopSettings};
use crate::shutdown::Leaving;
use crate::status::StatusReporter;
use crate::steps::StepWriter;
use crate::versions::Versions;
use crate::{Result, Settings, config, fetch, inbox, links, owner, peers, shutdown};

/// Maximum number of queued fetches. Further ones are dropped, as later gossip names again what is
/// missing.
const FETCH_QUEUE: usize = 16;

/// Time limit for operators' connections to end when the host stops.
const OPERATORS_TIMEOUT: Duration = Duration::from_secs(1);

/// A running entry host.
pub struct Host {
    callers: Server,
    operators: Server,
    leaving: Arc<Leaving>,
    peers: Arc<Peers>,
    calls: Arc<Calls>,
    /// Number of unresolved bookings.
    open_bookings: Arc<AtomicUsize>,
    stop: StopSettings,
}

impl Host {
    /// Waits for a signal and stops the host; true if all work finished in time.
    ///
    /// # Errors
    ///
    /// The signal handler can't be installed.
    pub fn join(self) -> Result<bool> {
        shutdown::await_signal()?;
        Ok(self.stop())
    }

    fn stop(self) -> bool {
        log::info!("step=stop linger={:?} limit={:?}", self.stop.linger, self.stop.limit);
        self.leaving.set();
        self.peers.announce_leaving();
        std::thread::sleep(self.stop.linger);
        let limit = Instant::now() + self.stop.limit;
        let answered = self.callers.stop(self.stop.limit);
        let is_idle = || self.calls.is_idle() && self.open_bookings.load(Ordering::Relaxed) == 0;
        let finished = shutdown::wait_until(limit, is_idle);
        let left = limit.saturating_duration_since(Instant::now());
        self.operators.stop(left.min(OPERATORS_TIMEOUT));
        log::info!("step=stop answered={answered} finished={finished}");
        answered && finished
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
        capacity: 0,
    };
    let peers = Peers::new(own, clock.clone(), timing(&settings.gossip));
    let store = Store::new(settings.store.address, settings.store.timeout);

    let (links, poller) = links::bind(settings.listen.hosts)?;
    let (inbound, requests) = flume::unbounded();
    let calls = Calls::new(settings.listen.hosts, links, inbound.clone(), clock.clone());
    poller.spawn(inbox::handler(calls.clone(), inbound))?;
    let versions = Arc::new(Versions::default());
    let routing = Routing::new(config.clone(), clock.clone());
    let context = owner::Context {
        clock: clock.clone(),
        routing: routing.clone(),
        calls: calls.clone(),
        versions: versions.clone(),
        metrics: metrics.clone(),
        data_centre: settings.data_centre.clone(),
        tuning: settings.queries.tuning(),
    };
    let (sender, events) = flume::unbounded();
    Owner::new(context, sender.clone()).spawn(events)?;
    let leaving = Arc::new(Leaving::default());
    let open_bookings = Arc::new(AtomicUsize::new(0));
    let bookings = Bookings {
        clock: clock.clone(),
        routing: routing.clone(),
        peers: peers.clone(),
        calls: calls.clone(),
        settings: settings.bookings.clone(),
        limits: settings.limits.clone(),
        leaving: leaving.clone(),
        runner: fastrand::u64(..),
    };
    let claims = bookings.spawn_claims(&store, open_bookings.clone())?;
    let inbox = Inbox {
        calls: calls.clone(),
        config: config.clone(),
        peers: peers.clone(),
        owner: sender,
        bookings: claims,
    };
    inbox.spawn(requests)?;

    let shared = Arc::new(store.clone());
    let repository = Arc::new(Repository::new(shared, clock.clone(), std::thread::sleep));
    config::spawn_watcher(config.clone(), peers.clone(), store.clone(), repository.clone())?;
    peers::spawn_poller(peers.clone(), store, settings.gossip.seeds.clone())?;

    let (sender, fetches) = flume::bounded(FETCH_QUEUE);
    let gossip = Gossip::bind(peers.clone(), config.clone(), settings.gossip.clone(), sender)?;
    let fetcher = Fetcher::new(calls.clone());
    let (own_config, own_fetcher) = (config.clone(), fetcher.clone());
    let fetch = move |peer| config::fetch(&own_config, &own_fetcher, peer);
    fetch::spawn(fetcher.clone(), peers.clone(), fetches, fetch)?;
    let notifier = gossip.clone();
    config.on_adopt(move || notifier.notify());
    gossip.spawn()?;

    let changes = Arc::new(Changes::new(repository, config.clone()));
    let steps = StepWriter { changes: changes.clone(), routing: routing.clone() }.spawn()?;
    let moves = MoveExecutor::spawn(moves::Context {
        clock: clock.clone(),
        config: config.clone(),
        routing: routing.clone(),
        peers: peers.clone(),
        versions,
        gossip: gossip.clone(),
        steps,
    })?;
    let founding = settings.founding.clone();
    let move_front = MoveFront {
        founding: founding.clone(),
        config: config.clone(),
        routing: routing.clone(),
        changes: changes.clone(),
        moves,
    };
    let reporter = StatusReporter { config: config.clone(), peers: peers.clone(), gossip, fetcher };
    let operators = Operators {
        config,
        reporter,
        metrics: metrics.clone(),
        changes,
        moves: move_front,
        leaving: leaving.clone(),
        founding,
    };
    let operators = operators.serve(settings.listen.operators)?;
    let queries = settings.queries.clone();
    let gather =
        Gather::new(clock, routing, peers.clone(), calls.clone(), metrics.clone(), queries);
    let entry = Entry::new(gather, metrics, settings.limits.clone(), bookings, leaving.clone());
    let callers = entry.serve(settings.listen.callers)?;
    log::info!("step=serve host={} data_centre={}", settings.name, settings.data_centre);
    let stop = settings.stop.clone();
    Ok(Host { callers, operators, leaving, peers, calls, open_bookings, stop })
}

fn timing(settings: &GossipSettings) -> Timing {
    Timing { interval: settings.interval, ..Timing::default() }
}
