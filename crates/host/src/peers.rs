//! The other hosts, according to the membership.
//!
//! The platform's host list only gives addresses to contact. Once a host knows others, it reads the
//! list only if it is one of a few readers of its data centre, and rarely: this reconnects groups
//! of hosts after a network partition.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::Name;
use sapphirerack_clients::{HostState, Store};
use sapphirerack_policy::{Clock, Host, Membership, Outgoing, Repair, Timing, rank};
use sapphirerack_protocol::{Datagram, Liveness, Peer};

use crate::{Error, Result};

/// Interval between reads of the host list while no other host is known.
const DISCOVERY_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between reads of the host list by a reader that knows other hosts.
const READER_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which a host that has found no other serves alone.
const JOIN_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of hosts in each data centre that keep reading the host list.
const READER_COUNT: usize = 2;
const READERS_KEY: &[u8] = b"host list";

/// The membership and its live hosts, this one included.
pub(crate) struct Peers {
    own: Host,
    clock: Arc<dyn Clock>,
    membership: Mutex<Membership>,
    live: RwLock<Arc<[Host]>>,
    epoch: AtomicU64,
    start: Instant,
    joined: AtomicBool,
}

impl Peers {
    /// Membership that starts with this host alone.
    pub(crate) fn new(own: Host, clock: Arc<dyn Clock>, timing: Timing) -> Arc<Self> {
        let seed = fastrand::u64(..);
        let start = clock.boot_time();
        let membership = Membership::new(&own, timing, start, clock.unix(), seed);
        let live = RwLock::new(Arc::from([own.clone()]));
        let epoch = AtomicU64::new(membership.epoch());
        let (membership, joined) = (Mutex::new(membership), AtomicBool::new(false));
        Arc::new(Self { own, clock, membership, live, epoch, start, joined })
    }

    /// This host.
    pub(crate) fn own(&self) -> &Host {
        &self.own
    }

    /// Hosts that the membership considers live.
    pub(crate) fn live(&self) -> Arc<[Host]> {
        self.live.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Counter that rises with each change of [`Peers::live`].
    #[allow(dead_code, reason = "read by the route cache")]
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch.load(Ordering::Acquire)
    }

    /// Whether this host has found others or may assume that there are none.
    ///
    /// Before that it would consider itself the owner of every group.
    pub(crate) fn is_joined(&self) -> bool {
        let waited = self.clock.boot_time().saturating_duration_since(self.start);
        self.joined.load(Ordering::Acquire) || waited >= JOIN_TIMEOUT
    }

    /// Whether a live host is suspected of failure.
    pub(crate) fn is_suspected(&self, name: &str) -> bool {
        self.membership().liveness(name) == Some(Liveness::Suspect)
    }

    /// Host of a name, even if it is leaving or unreachable.
    pub(crate) fn host(&self, name: &str) -> Option<Host> {
        if name == &*self.own.name {
            return Some(self.own.clone());
        }
        self.membership().host(name)
    }

    /// Known data centres that are cut off: there was no contact with any of their hosts lately.
    pub(crate) fn cut_off(&self) -> Vec<Name> {
        self.membership().cut_off().iter().cloned().collect()
    }

    /// Announces that this host leaves, so that others send it no new work.
    pub(crate) fn announce_leaving(&self) {
        let now = self.clock.boot_time();
        self.update(|m| m.leave(now));
    }

    /// Live hosts of this data centre.
    pub(crate) fn local_hosts(&self) -> Vec<Host> {
        let own = &self.own.data_centre;
        self.live().iter().filter(|h| h.data_centre == *own).cloned().collect()
    }

    /// Whether this host is among the first `count` of its data centre in the ranking for `key`.
    pub(crate) fn is_among(&self, key: &[u8], count: usize) -> bool {
        let ranked = rank(key, &self.local_hosts(), |h| h.name.as_bytes());
        ranked.iter().take(count).any(|h| h.name == self.own.name)
    }

    /// Datagrams of a periodic gossip round.
    pub(crate) fn tick(&self) -> Vec<Outgoing> {
        let now = self.clock.boot_time();
        self.update(|m| m.tick(now))
    }

    /// Datagrams of an urgent round, to at most `fanout` hosts.
    pub(crate) fn gossip(&self, fanout: usize) -> Vec<Outgoing> {
        let now = self.clock.boot_time();
        self.update(|m| m.gossip(now, fanout))
    }

    /// Handles a datagram; returns the replies.
    pub(crate) fn receive(&self, source: SocketAddr, datagram: &Datagram) -> Vec<Outgoing> {
        let now = self.clock.boot_time();
        self.update(|m| m.receive(source, datagram, now))
    }

    /// Whether there are urgent updates; resets the flag.
    pub(crate) fn take_urgent(&self) -> bool {
        self.membership().take_urgent()
    }

    /// View to fetch from another host, if one is due.
    pub(crate) fn repair(&self) -> Option<Repair> {
        self.membership().repair(self.clock.boot_time())
    }

    /// This host's view of a data centre.
    pub(crate) fn view(&self, data_centre: &str) -> Vec<Peer> {
        self.membership().view(data_centre, self.clock.boot_time())
    }

    /// Merges another host's view.
    pub(crate) fn merge(&self, peers: &[Peer]) {
        let now = self.clock.boot_time();
        self.update(|m| m.merge(peers, now));
    }

    /// Sets the addresses at which other hosts may be found.
    pub(crate) fn set_seeds(&self, seeds: Vec<SocketAddr>) {
        self.membership().set_seeds(seeds);
    }

    fn update<T>(&self, change: impl FnOnce(&mut Membership) -> T) -> T {
        let mut membership = self.membership();
        let result = change(&mut membership);
        let epoch = membership.epoch();
        if epoch != self.epoch.load(Ordering::Acquire) {
            let live: Arc<[Host]> = membership.live().into();
            if live.len() > 1 {
                self.joined.store(true, Ordering::Release);
            }
            *self.live.write().unwrap_or_else(PoisonError::into_inner) = live;
            self.epoch.store(epoch, Ordering::Release);
        }
        result
    }

    fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the thread that polls the platform's host list; `seeds` are used in addition.
pub(crate) fn spawn_poller(peers: Arc<Peers>, store: Store, seeds: Vec<SocketAddr>) -> Result<()> {
    peers.set_seeds(seeds.clone());
    let run = move || {
        loop {
            let is_alone = peers.live().len() <= 1;
            if is_alone || peers.is_among(READERS_KEY, READER_COUNT) {
                match store.hosts() {
                    Ok(entries) => {
                        let listed = entries.iter().filter(|e| e.state == HostState::Live);
                        let addresses = listed.map(|e| e.address).chain(seeds.iter().copied());
                        let addresses: Vec<SocketAddr> = addresses.collect();
                        if addresses.iter().all(|a| *a == peers.own.address) {
                            peers.joined.store(true, Ordering::Release);
                        }
                        peers.set_seeds(addresses);
                    }
                    Err(e) => log::warn!("step=hosts error={e:?}"),
                }
            }
            let interval =
                if peers.live().len() <= 1 { DISCOVERY_INTERVAL } else { READER_INTERVAL };
            // Jitter spreads the reads of hosts that start together.
            thread::sleep(interval.mul_f64(0.5 + fastrand::f64()));
        }
    };
    let builder = thread::Builder::new().name("peers".into());
    builder.spawn(run).map(drop).map_err(|e| Error::io("start thread", "peers", e))
}
