//! The catalogue in force.
//!
//! A host adopts only a higher version than the one it has, wherever it comes from: an own change,
//! another host, or the store. A host that accepted a change tells others at once, and these tell
//! others in turn. A few hosts of a data centre watch the store besides, for changes whose host
//! ended before it told anyone.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use sapphirerack_catalogue::Name;
use sapphirerack_clients::Store;
use sapphirerack_protocol::{Reply, Request};
use sapphirerack_repository::{CurrentView, HEAD_KEY, Head, Rejection, Repository};

pub(crate) use sapphirerack_repository::View;

use crate::fetch::Fetcher;
use crate::peers::Peers;
use crate::{Error, Result};

/// Time that one watch waits; bounds what a lost event delays.
const WATCH_WAIT: Duration = Duration::from_secs(2);

/// Pause after a failed call, and between two checks whether this host is to watch.
const PAUSE: Duration = Duration::from_millis(500);

/// Hosts of a data centre that watch the store.
const WATCHERS: usize = 2;
const WATCHERS_KEY: &[u8] = b"watch";

/// The view in force on this host.
pub(crate) type Config = CurrentView;

/// Fetches the configuration of the host at `peer` if it is higher.
pub(crate) fn fetch(config: &Config, fetcher: &Fetcher, peer: SocketAddr) {
    let above = config.version();
    let Some(Reply::Head(Some(head))) = fetcher.ask(peer, Request::Head { above }) else {
        return;
    };
    let parts = |keys: &[Name]| match fetcher.ask(peer, Request::Parts(keys.to_vec())) {
        Some(Reply::Parts(parts)) => parts,
        _ => Vec::new(),
    };
    let adopted = config.adopt_head(&head, parts);
    if let Err(e) = adopted {
        log::info!("step=fetch peer={peer} error=\"{e}\"");
    }
}

/// Follows the store on a thread of its own: until there is a configuration, and then as long as
/// this host is among the watchers of its data centre.
pub(crate) fn follow(
    config: Arc<Config>,
    peers: Arc<Peers>,
    store: Store,
    repository: Arc<Repository>,
) -> Result<()> {
    let run = move || {
        let mut after = 0;
        loop {
            let missing = config.version() == 0;
            if missing || peers.is_among(WATCHERS_KEY, WATCHERS) {
                match store.watch(HEAD_KEY, after, WATCH_WAIT) {
                    Ok(Some(value)) => {
                        let adopted = adopt_stored(&config, &repository, &value.bytes);
                        match adopted {
                            Ok(_) => after = value.version,
                            Err(e) => {
                                log::warn!("step=adopt error=\"{e}\"");
                                pause();
                            }
                        }
                        continue;
                    }
                    Ok(None) if !missing => continue,
                    Ok(None) => {}
                    Err(e) => log::warn!("step=watch error={e:?}"),
                }
            }
            pause();
        }
    };
    let builder = thread::Builder::new().name("config".into());
    builder.spawn(run).map(drop).map_err(|e| Error::io("start thread", "config", e))
}

/// Waits for the pause, give or take a half, so that hosts don't call all at once.
fn pause() {
    thread::sleep(PAUSE.mul_f64(0.5 + fastrand::f64()));
}

fn adopt_stored(
    config: &Config,
    repository: &Repository,
    bytes: &[u8],
) -> std::result::Result<bool, Rejection> {
    let head = Head::parse(bytes)?;
    if head.version <= config.version() {
        return Ok(false);
    }
    let view = config.view();
    let snapshot = repository.load(&head.keys, |key| view.part(key))?;
    Ok(config.adopt(View::new(head.version, &snapshot)))
}
