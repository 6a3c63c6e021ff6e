//! The catalogue in force.
//!
//! A host adopts a version only if it is higher than its own, whatever its source: a local change,
//! another host, or the store. The host that commits a change gossips it at once, and the
//! receivers pass it on. A few hosts of each data centre also watch the store, for changes whose
//! host ended before it could gossip them.

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

/// Timeout of one watch request; bounds the delay caused by a lost event.
const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a failed call, and between checks whether this host is one of the watchers.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Number of hosts in each data centre that watch the store.
const WATCHER_COUNT: usize = 2;
const WATCHERS_KEY: &[u8] = b"watch";

/// The view in force on this host.
pub(crate) type Config = CurrentView;

/// Fetches the configuration of the host at `peer` if its version is higher.
pub(crate) fn fetch(config: &Config, fetcher: &Fetcher, peer: SocketAddr) {
    let above = config.version();
    let Some(Reply::Head(Some(head))) = fetcher.call(peer, Request::Head { above }) else {
        return;
    };
    let parts = |keys: &[Name]| match fetcher.call(peer, Request::Parts(keys.to_vec())) {
        Some(Reply::Parts(parts)) => parts,
        _ => Vec::new(),
    };
    let adopted = config.adopt_head(&head, parts);
    if let Err(e) = adopted {
        log::info!("step=fetch peer={peer} error=\"{e}\"");
    }
}

/// Starts a thread that watches the store: until there is a configuration, and then while this
/// host is among the watchers of its data centre.
pub(crate) fn spawn_watcher(
    config: Arc<Config>,
    peers: Arc<Peers>,
    store: Store,
    repository: Arc<Repository>,
) -> Result<()> {
    let run = move || {
        let mut after = 0;
        loop {
            let is_unset = config.version() == 0;
            if is_unset || peers.is_among(WATCHERS_KEY, WATCHER_COUNT) {
                match store.watch(HEAD_KEY, after, WATCH_TIMEOUT) {
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
                    Ok(None) if !is_unset => continue,
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

/// Sleeps for `RETRY_PAUSE` with a jitter of up to half of it either way, so that hosts don't call
/// at the same time.
fn pause() {
    thread::sleep(RETRY_PAUSE.mul_f64(0.5 + fastrand::f64()));
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
