//! Starts and joins all parts of a host.

use std::sync::Arc;

use sapphirerack_http::Server;
use sapphirerack_platform::Store;
use sapphirerack_policy::{Clock, SystemClock};
use sapphirerack_protocol::Message;

use crate::calls::{Calls, Inbound, ReplyTo};
use crate::entry::Entry;
use crate::gather::Gather;
use crate::links::{Event, Handler};
use crate::metrics::Metrics;
use crate::operators::Operators;
use crate::owner::Owner;
use crate::peers::Peers;
use crate::{Result, Settings, config, links, peers};

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
    let calls = Calls::new(settings.listen.hosts, links, inbound.clone());
    poller.spawn(handler(calls.clone(), inbound))?;
    let centre = settings.data_centre.clone();
    Owner::new(clock.clone(), config.clone(), calls.clone(), centre).spawn(requests)?;

    config::follow(config.clone(), store.clone())?;
    peers::follow(peers.clone(), store.clone())?;

    let operators = Operators::new(config.clone(), peers.clone(), metrics.clone(), store);
    let operators = operators.serve(settings.listen.operators)?;
    let gather = Gather::new(clock, config, peers, calls, metrics.clone());
    let entry = Entry::new(gather, metrics, settings.limits.clone());
    let callers = entry.serve(settings.listen.callers)?;
    log::info!(
        "step=serve host={} data_centre={}",
        settings.name,
        settings.data_centre
    );
    Ok(Host {
        _callers: callers,
        _operators: operators,
    })
}

/// Passes what happens on the links on to the calls and the owner.
fn handler(calls: Arc<Calls>, inbound: flume::Sender<Inbound>) -> Handler {
    Box::new(move |event| match event {
        Event::Message {
            link,
            message: Message::Request { id, body },
            ..
        } => {
            let reply_to = ReplyTo::Link(link, id);
            // The receiver goes away only when the process ends.
            let _ = inbound.send(Inbound {
                request: body,
                reply_to,
            });
        }
        Event::Message {
            peer: Some(peer),
            message: Message::Reply { id, body },
            ..
        } => {
            calls.resolve(id, peer, body);
        }
        Event::Message { .. } => {}
        Event::Closed { peer } => calls.fail(peer),
    })
}
