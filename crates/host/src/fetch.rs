//! Fetches configurations and membership views from other hosts when gossip shows that the local
//! ones are out of date.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sapphirerack_policy::Repair;
use sapphirerack_protocol::{Reply, Request};

use crate::calls::{Call, Calls};
use crate::peers::Peers;
use crate::{Error, Result};

/// Timeout of a request; the next datagrams name another host to fetch from.
const TIMEOUT: Duration = Duration::from_secs(1);

/// A fetch that is due.
pub(crate) enum Fetch {
    /// The configuration of the host at the address.
    Configuration(SocketAddr),
    /// A view of the hosts of a data centre.
    Peers(Repair),
}

/// Blocking requests to other hosts.
#[derive(Clone)]
pub(crate) struct Fetcher {
    calls: Arc<Calls>,
}

impl Fetcher {
    pub(crate) fn new(calls: Arc<Calls>) -> Self {
        Self { calls }
    }

    /// Reply of one host; `None` if there is none within the timeout.
    pub(crate) fn call(&self, peer: SocketAddr, request: Request) -> Option<Reply> {
        let (sender, answers) = flume::bounded(1);
        let ids = self.calls.send(vec![Call { index: 0, peer, request }], &sender);
        let answer = answers.recv_timeout(TIMEOUT).ok();
        self.calls.forget(&ids);
        answer?.reply
    }

    /// Replies of several hosts, in the order of `peers`; `None` for those without one in time.
    pub(crate) fn call_all(&self, peers: &[SocketAddr], request: &Request) -> Vec<Option<Reply>> {
        let (sender, answers) = flume::unbounded();
        let call = |(index, peer): (usize, &SocketAddr)| Call {
            index,
            peer: *peer,
            request: request.clone(),
        };
        let ids = self.calls.send(peers.iter().enumerate().map(call).collect(), &sender);
        drop(sender);
        let mut replies = vec![None; peers.len()];
        let limit = std::time::Instant::now() + TIMEOUT;
        while let Ok(answer) = answers.recv_deadline(limit) {
            replies[answer.index] = answer.reply;
        }
        self.calls.forget(&ids);
        replies
    }
}

/// Starts the thread that executes fetches.
pub(crate) fn spawn(
    fetcher: Fetcher,
    peers: Arc<Peers>,
    fetches: flume::Receiver<Fetch>,
    fetch_config: impl Fn(SocketAddr) + Send + 'static,
) -> Result<()> {
    let run = move || {
        for fetch in fetches {
            match fetch {
                Fetch::Configuration(peer) => fetch_config(peer),
                Fetch::Peers(repair) => {
                    let data_centre = repair.data_centre;
                    let reply = fetcher.call(repair.peer, Request::Peers { data_centre });
                    if let Some(Reply::Peers(view)) = reply {
                        peers.merge(&view);
                    }
                }
            }
        }
    };
    let builder = std::thread::Builder::new().name("fetch".into());
    builder.spawn(run).map(drop).map_err(|e| Error::io("start thread", "fetch", e))
}
