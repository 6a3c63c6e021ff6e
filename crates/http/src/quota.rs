//! The bound of what the clients of a server hold together, and the part of each connection.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use hyper::body::{Body, Incoming};
use sapphirerack_policy::Clock;
use sapphirerack_policy::clients::{Capacity, Clients, Evicted, Grant, Phase};
use tokio::sync::Notify;

use crate::stream::CONNECTION_SIZE;

/// Memory for a head, as a multiple of its size: its buffer grows by doubling.
const HEAD_FACTOR: usize = 2;

/// Bound of what the clients of a server hold together.
#[derive(Clone)]
pub struct Quota(Arc<Shared>);

struct Shared {
    state: Mutex<State>,
    /// Notified when memory was released.
    released: Notify,
    clock: Arc<dyn Clock>,
}

struct State {
    clients: Clients,
    signals: BTreeMap<u64, Arc<Signals>>,
}

/// Tells a client to go.
#[derive(Default)]
struct Signals {
    /// Its request is to be refused.
    refuse: Notify,
    /// Its connection is to be closed.
    close: Notify,
}

impl State {
    /// Tells a client to go; one that sends a body gets an answer.
    fn tell(&self, evicted: Evicted) {
        let Some(signals) = self.signals.get(&evicted.id) else { return };
        match evicted.phase {
            Phase::Receiving => signals.refuse.notify_one(),
            Phase::Open | Phase::Running => signals.close.notify_one(),
        }
    }
}

impl Shared {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Asks for memory; a client that has to go for it is told.
    fn request(&self, id: u64, size: usize) -> Grant {
        let now = self.now();
        let mut state = self.lock();
        let grant = state.clients.request(id, size, now);
        if let Grant::Evict(evicted) = grant {
            state.tell(evicted);
        }
        grant
    }

    /// Counts memory that is taken already; others are told to go for it.
    fn add(&self, id: u64, size: usize) {
        let now = self.now();
        let mut state = self.lock();
        state.clients.add(id, size);
        while state.clients.is_over()
            && let Some(evicted) = state.clients.evict(now)
        {
            state.tell(evicted);
        }
    }

    fn release(&self, id: u64, size: usize) {
        self.lock().clients.release(id, size);
        self.released.notify_waiters();
    }
}

impl Quota {
    /// A bound by this capacity.
    pub fn new(capacity: Capacity, clock: Arc<dyn Clock>) -> Self {
        let state = State { clients: Clients::new(capacity), signals: BTreeMap::new() };
        Self(Arc::new(Shared { state: Mutex::new(state), released: Notify::new(), clock }))
    }

    /// Adds a connection, for which another one may have to go; `None` if there are too many, all
    /// of them with requests that may run.
    pub fn open(&self) -> Option<Arc<Client>> {
        let now = self.0.now();
        let mut state = self.0.lock();
        let opened = state.clients.open(now)?;
        if let Some(evicted) = opened.evicted
            && let Some(signals) = state.signals.get(&evicted.id)
        {
            signals.close.notify_one();
        }
        let signals = Arc::<Signals>::default();
        state.signals.insert(opened.id, signals.clone());
        drop(state);
        self.0.add(opened.id, CONNECTION_SIZE);
        let connection = Charge { shared: self.0.clone(), id: opened.id, size: CONNECTION_SIZE };
        Some(Arc::new(Client {
            signals,
            head: Mutex::new(connection.empty()),
            connection,
            requests: AtomicU64::new(0),
            is_open: AtomicBool::new(true),
            is_unread: AtomicBool::new(false),
        }))
    }

    /// Memory that the clients hold, in bytes.
    pub fn held(&self) -> usize {
        self.0.lock().clients.held()
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.0.lock().clients.count()
    }
}

/// Memory that is counted until it is dropped.
pub struct Charge {
    shared: Arc<Shared>,
    id: u64,
    size: usize,
}

impl Charge {
    /// A charge of nothing for the same client.
    fn empty(&self) -> Self {
        Self { shared: self.shared.clone(), id: self.id, size: 0 }
    }

    /// Takes more memory once it is there; false if it is refused.
    pub(crate) async fn grow(&mut self, size: usize) -> bool {
        loop {
            let mut released = std::pin::pin!(self.shared.released.notified());
            released.as_mut().enable();
            match self.shared.request(self.id, size) {
                Grant::Granted => break,
                Grant::Refused => return false,
                Grant::Evict(_) => {}
                Grant::Wait => released.await,
            }
        }
        self.size += size;
        true
    }

    /// Counts memory that is taken already.
    fn add(&mut self, size: usize) {
        self.shared.add(self.id, size);
        self.size += size;
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        if self.size > 0 {
            self.shared.release(self.id, self.size);
        }
    }
}

/// One connection of a client.
pub struct Client {
    signals: Arc<Signals>,
    connection: Charge,
    /// What has been read of a request that has not begun.
    head: Mutex<Charge>,
    /// Requests that have begun.
    requests: AtomicU64,
    /// Whether no request is in hand.
    is_open: AtomicBool,
    /// Whether the body of the last request was not read to its end.
    is_unread: AtomicBool,
}

impl Client {
    fn shared(&self) -> &Arc<Shared> {
        &self.connection.shared
    }

    fn id(&self) -> u64 {
        self.connection.id
    }

    /// Runs the connection to its end; `None` if it had to go before.
    pub async fn run<T>(&self, connection: impl Future<Output = T>) -> Option<T> {
        tokio::select! {
            biased;
            () = self.signals.close.notified() => None,
            ended = connection => Some(ended),
        }
    }

    /// Begins a request whose head has been read, and whose body may follow.
    pub fn begin(self: &Arc<Self>, body: &Incoming) -> Arrival {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.is_open.store(false, Ordering::Relaxed);
        self.is_unread.store(!body.is_end_stream(), Ordering::Relaxed);
        self.set_phase(Phase::Receiving);
        let head = self.take_head();
        Arrival { client: self.clone(), charge: self.connection.empty(), head }
    }

    /// An answer's body that counts until it has been written.
    pub fn hold(&self, body: Bytes) -> Bytes {
        if body.is_empty() {
            return body;
        }
        let mut charge = self.connection.empty();
        charge.add(body.len());
        Bytes::from_owner(Held { body, _charge: charge })
    }

    /// Requests that have begun so far.
    pub(crate) fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }

    /// Whether no request is in hand.
    pub(crate) fn is_open(&self) -> bool {
        self.is_open.load(Ordering::Relaxed)
    }

    /// Whether the client may still be sending a body that is not wanted.
    pub(crate) fn is_unread(&self) -> bool {
        self.is_unread.load(Ordering::Relaxed)
    }

    /// Records that the client moves something.
    pub(crate) fn touch(&self) {
        let now = self.shared().now();
        self.shared().lock().clients.touch(self.id(), now);
    }

    /// Counts bytes of a head that have been read.
    pub(crate) fn add_head(&self, size: usize) {
        self.head.lock().unwrap_or_else(PoisonError::into_inner).add(size * HEAD_FACTOR);
    }

    fn take_head(&self) -> Charge {
        let mut head = self.head.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::replace(&mut *head, self.connection.empty())
    }

    fn set_phase(&self, phase: Phase) {
        let now = self.shared().now();
        self.shared().lock().clients.set_phase(self.id(), phase, now);
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let mut state = self.shared().lock();
        state.clients.close(self.id());
        state.signals.remove(&self.id());
    }
}

/// Bytes that are counted as long as they exist.
struct Held {
    body: Bytes,
    _charge: Charge,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// A request of a client, from its head to its answer.
pub struct Arrival {
    client: Arc<Client>,
    charge: Charge,
    head: Charge,
}

impl Arrival {
    /// Memory of the request's body.
    pub(crate) fn charge(&mut self) -> &mut Charge {
        &mut self.charge
    }

    /// Waits until the request has to be refused.
    pub(crate) fn refused(&self) -> impl Future<Output = ()> + use<> {
        let client = self.client.clone();
        async move { client.signals.refuse.notified().await }
    }

    /// Records that the body has been read; false if the request has to be refused.
    pub(crate) fn complete(&self) -> bool {
        self.client.is_unread.store(false, Ordering::Relaxed);
        if self.client.shared().lock().clients.is_leaving(self.client.id()) {
            return false;
        }
        self.client.set_phase(Phase::Running);
        true
    }

    /// Takes over the memory of the request, to count for longer than the connection lasts.
    pub(crate) fn take_charges(&mut self) -> [Charge; 2] {
        let empty = || self.client.connection.empty();
        let (body, head) = (empty(), empty());
        [std::mem::replace(&mut self.charge, body), std::mem::replace(&mut self.head, head)]
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        self.client.is_open.store(true, Ordering::Relaxed);
        self.client.set_phase(Phase::Open);
    }
}
