//! The catalogue in force.
//!
//! A host adopts only a higher version than the one it has, wherever it comes from: an own change,
//! another host, or the store. A host that accepted a change tells others at once, and these tell
//! others in turn. A few hosts of a data centre watch the store besides, for changes whose host
//! ended before it told anyone.

use std::net::SocketAddr;
use std::sync::{Arc, OnceLock, PoisonError, RwLock};
use std::thread;
use std::time::Duration;

use sapphirerack_catalogue::{Catalogue, Map, Name};
use sapphirerack_platform::Store;
use sapphirerack_protocol::{Reply, Request};
use sapphirerack_repository::{HEAD_KEY, Head, Keys, Part, Rejection, Repository, Snapshot};

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

/// Bytes of parts in one reply.
const REPLY_LIMIT: usize = 2 << 20;

/// A catalogue with its version; version 0 stands for none.
#[derive(Debug, Default)]
pub(crate) struct View {
    pub version: u64,
    pub catalogue: Arc<Catalogue>,
    keys: Keys,
    parts: Map<Name, Part>,
}

impl View {
    pub(crate) fn new(version: u64, snapshot: &Snapshot) -> Self {
        Self {
            version,
            catalogue: snapshot.catalogue().clone(),
            keys: snapshot.keys().clone(),
            parts: snapshot.parts().clone(),
        }
    }

    /// The same version with what moves have in effect; it has no parts for other hosts.
    pub(crate) fn projected(&self, catalogue: Catalogue) -> Self {
        Self { version: self.version, catalogue: Arc::new(catalogue), ..Self::default() }
    }

    /// Part with the digest `key`, if it is of this view.
    pub(crate) fn part(&self, key: &str) -> Option<Part> {
        self.parts.get(key).cloned()
    }
}

type Listener = Box<dyn Fn() + Send + Sync>;

/// The view in force on this host.
#[derive(Default)]
pub(crate) struct Config {
    view: RwLock<Arc<View>>,
    listener: OnceLock<Listener>,
}

impl Config {
    /// View in force.
    pub(crate) fn view(&self) -> Arc<View> {
        self.view.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Version in force; 0 stands for none.
    pub(crate) fn version(&self) -> u64 {
        self.view().version
    }

    /// Has `listener` called after each adoption; the first one set stays.
    pub(crate) fn listen(&self, listener: impl Fn() + Send + Sync + 'static) {
        let _ = self.listener.set(Box::new(listener));
    }

    /// Puts a view in force if its version is higher; tells whether it did.
    pub(crate) fn adopt(&self, view: View) -> bool {
        let mut current = self.view.write().unwrap_or_else(PoisonError::into_inner);
        if view.version <= current.version {
            return false;
        }
        log::info!("step=adopt version={}", view.version);
        *current = Arc::new(view);
        drop(current);
        if let Some(listener) = self.listener.get() {
            listener();
        }
        true
    }

    /// Head of the view in force as JSON, if its version is above `version`.
    pub(crate) fn head_above(&self, version: u64) -> Option<Vec<u8>> {
        let view = self.view();
        let head = Head { version: view.version, keys: view.keys.clone(), recent: Vec::new() };
        (view.version > version).then(|| serde_json::to_vec(&head).ok()).flatten()
    }

    /// The first parts with the digests `keys`, as many as fit into a reply.
    pub(crate) fn parts(&self, keys: &[Name]) -> Vec<Vec<u8>> {
        let view = self.view();
        let mut room = REPLY_LIMIT;
        let mut parts = Vec::new();
        for part in keys.iter().map_while(|key| view.part(key)) {
            if part.len() > room {
                break;
            }
            room -= part.len();
            parts.push(part.to_vec());
        }
        parts
    }
}

/// Fetches the configuration of the host at `peer` if it is higher.
pub(crate) fn fetch(config: &Config, fetcher: &Fetcher, peer: SocketAddr) {
    let above = config.version();
    let Some(Reply::Head(Some(bytes))) = fetcher.ask(peer, Request::Head { above }) else {
        return;
    };
    let adopted = Head::parse(&bytes).and_then(|head| {
        let parts = fetch_parts(config, fetcher, peer, &head.keys);
        let snapshot = Snapshot::join(&head.keys, |key| parts.get(key).cloned())?;
        Ok(config.adopt(View::new(head.version, &snapshot)))
    });
    if let Err(e) = adopted {
        log::info!("step=fetch peer={peer} error=\"{e}\"");
    }
}

fn fetch_parts(
    config: &Config,
    fetcher: &Fetcher,
    peer: SocketAddr,
    keys: &Keys,
) -> Map<Name, Part> {
    let view = config.view();
    let mut parts: Map<Name, Part> = Map::default();
    let mut missing: Vec<Name> = Vec::new();
    for key in keys.all() {
        match view.part(key) {
            Some(part) => drop(parts.insert(key.clone(), part)),
            None => missing.push(key.clone()),
        }
    }
    while !missing.is_empty() {
        let reply = fetcher.ask(peer, Request::Parts(missing.clone()));
        let Some(Reply::Parts(found)) = reply.filter(|r| *r != Reply::Parts(Vec::new())) else {
            break;
        };
        let count = found.len().min(missing.len());
        parts.extend(missing.drain(..count).zip(found.into_iter().map(Part::from)));
    }
    parts
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
