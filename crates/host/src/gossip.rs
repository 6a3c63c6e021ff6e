//! Gossip between hosts, by datagrams.
//!
//! The membership chooses the receivers. Each datagram carries the version of the configuration
//! and the updates of the registered topics, as far as they fit; topics are served round-robin.
//! Urgent updates are sent at once to a few peers, which pass them on, so that they reach a large
//! data centre in a few hops; the periodic rounds (anti-entropy) repair losses. The bytes sent per
//! second are limited.

use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};
use std::thread;
use std::time::{Duration, Instant};

use sapphirerack_policy::Outgoing;
use sapphirerack_protocol::{Datagram, Topic};

use crate::config::Config;
use crate::fetch::Fetch;
use crate::peers::Peers;
use crate::settings::GossipSettings;
use crate::{Error, Result};

/// Largest update of one topic in a datagram, in bytes.
pub(crate) const TOPIC_LIMIT: usize = 512;

/// Bytes that a topic takes in addition to its update and its name.
const TOPIC_OVERHEAD: usize = 4;

/// Minimum time between two urgent rounds.
const URGENT_INTERVAL: Duration = Duration::from_millis(20);

const RECEIVE_BUFFER: usize = 2_048;

/// Encodes the current update of a topic: at most [`TOPIC_LIMIT`] bytes, empty if there is none.
type Produce = Box<dyn Fn() -> Vec<u8> + Send + Sync>;

/// Handles an update from a peer; runs on the gossip thread and must not block.
type Consume = Box<dyn Fn(&[u8]) + Send + Sync>;

struct TopicHandler {
    name: &'static str,
    produce: Produce,
    consume: Consume,
}

/// Gossip with other hosts.
pub(crate) struct Gossip {
    socket: UdpSocket,
    peers: Arc<Peers>,
    config: Arc<Config>,
    settings: GossipSettings,
    topics: RwLock<Vec<TopicHandler>>,
    next_topic: AtomicU64,
    urgent: AtomicBool,
    fetches: flume::Sender<Fetch>,
    sent: AtomicU64,
    received: AtomicU64,
}

impl Gossip {
    /// Binds the UDP port of the host's address.
    pub(crate) fn bind(
        peers: Arc<Peers>,
        config: Arc<Config>,
        settings: GossipSettings,
        fetches: flume::Sender<Fetch>,
    ) -> Result<Arc<Self>> {
        let address = peers.own().address;
        let socket = UdpSocket::bind(address)
            .map_err(|e| Error::io("listen for datagrams", address.to_string(), e))?;
        Ok(Arc::new(Self {
            socket,
            peers,
            config,
            settings,
            topics: RwLock::default(),
            next_topic: AtomicU64::new(0),
            urgent: AtomicBool::new(false),
            fetches,
            sent: AtomicU64::new(0),
            received: AtomicU64::new(0),
        }))
    }

    #[allow(dead_code, reason = "registered by the moves")]
    /// Registers a topic: `produce` gives its updates, `consume` handles those of peers.
    pub(crate) fn register(
        &self,
        name: &'static str,
        produce: impl Fn() -> Vec<u8> + Send + Sync + 'static,
        consume: impl Fn(&[u8]) + Send + Sync + 'static,
    ) {
        let topic = TopicHandler { name, produce: Box::new(produce), consume: Box::new(consume) };
        self.topics.write().unwrap_or_else(PoisonError::into_inner).push(topic);
    }

    /// Starts an urgent round; `consume` may call it to pass an update on.
    pub(crate) fn notify(&self) {
        if !self.urgent.swap(true, Ordering::AcqRel) {
            // An empty datagram wakes the gossip thread.
            let _ = self.socket.send_to(&[], self.peers.own().address);
        }
    }

    /// Bytes sent and received so far.
    pub(crate) fn bytes(&self) -> (u64, u64) {
        (self.sent.load(Ordering::Relaxed), self.received.load(Ordering::Relaxed))
    }

    /// Starts the gossip thread.
    pub(crate) fn spawn(self: &Arc<Self>) -> Result<()> {
        let gossip = self.clone();
        let run = move || gossip.run();
        let builder = thread::Builder::new().name("gossip".into());
        builder.spawn(run).map(drop).map_err(|e| Error::io("start thread", "gossip", e))
    }

    fn run(&self) {
        let mut buffer = [0; RECEIVE_BUFFER];
        let mut next = Instant::now();
        let mut urgent = next;
        let mut budget = Budget::new(self.settings.bytes);
        loop {
            let now = Instant::now();
            if now >= next {
                next = now + self.settings.interval;
                self.send_all(self.peers.tick(), &mut budget);
                self.request_repair();
            }
            if self.peers.take_urgent() {
                self.urgent.store(true, Ordering::Release);
            }
            if now >= urgent && self.urgent.swap(false, Ordering::AcqRel) {
                urgent = now + URGENT_INTERVAL;
                self.send_all(self.peers.gossip(self.settings.fanout), &mut budget);
            }
            let limit = if self.urgent.load(Ordering::Acquire) { next.min(urgent) } else { next };
            let wait = limit.saturating_duration_since(Instant::now());
            if let Err(e) = self.receive(&mut buffer, wait, &mut budget) {
                log::warn!("step=receive error={e}");
            }
        }
    }

    fn receive(&self, buffer: &mut [u8], wait: Duration, budget: &mut Budget) -> io::Result<()> {
        self.socket.set_read_timeout(Some(wait.max(Duration::from_millis(1))))?;
        let (len, peer) = match self.socket.recv_from(buffer) {
            Err(e) if is_transient(&e) => return Ok(()),
            result => result?,
        };
        if len == 0 {
            return Ok(());
        }
        let datagram = match Datagram::decode(&buffer[..len]) {
            Ok(datagram) => datagram,
            Err(e) => {
                log::debug!("step=decode peer={peer} error={e}");
                return Ok(());
            }
        };
        self.received.fetch_add(len as u64, Ordering::Relaxed);
        self.consume(&datagram);
        let from = datagram.from.address;
        if from != self.peers.own().address && datagram.version > self.config.version() {
            let _ = self.fetches.try_send(Fetch::Configuration(from));
        }
        self.send_all(self.peers.receive(peer, &datagram), budget);
        Ok(())
    }

    /// Requests the view of a data centre that has differed from that of a peer for too long.
    fn request_repair(&self) {
        if let Some(repair) = self.peers.repair() {
            let _ = self.fetches.try_send(Fetch::Peers(repair));
        }
    }

    fn consume(&self, datagram: &Datagram) {
        let topics = self.topics.read().unwrap_or_else(PoisonError::into_inner);
        for topic in &datagram.topics {
            if let Some(handler) = topics.iter().find(|t| *t.name == *topic.name) {
                (handler.consume)(&topic.bytes);
            }
        }
    }

    fn send_all(&self, out: Vec<Outgoing>, budget: &mut Budget) {
        for Outgoing { to, datagram } in out {
            self.send(to, datagram, budget);
        }
    }

    fn send(&self, peer: SocketAddr, mut datagram: Datagram, budget: &mut Budget) {
        datagram.version = self.config.version();
        if budget.has_tokens() {
            self.add_topics(&mut datagram);
        }
        match datagram.encode() {
            Ok(bytes) => {
                budget.spend(bytes.len());
                self.sent.fetch_add(bytes.len() as u64, Ordering::Relaxed);
                if let Err(e) = self.socket.send_to(&bytes, peer) {
                    log::debug!("step=send peer={peer} error={e}");
                }
            }
            Err(e) => log::warn!("step=encode peer={peer} error={e}"),
        }
    }

    /// Adds the updates of the topics as far as they fit, starting with another topic each time.
    fn add_topics(&self, datagram: &mut Datagram) {
        let topics = self.topics.read().unwrap_or_else(PoisonError::into_inner);
        let first = self.next_topic.fetch_add(1, Ordering::Relaxed) as usize;
        let mut room = datagram.room();
        for i in 0..topics.len() {
            let topic = &topics[(first + i) % topics.len()];
            let bytes = (topic.produce)();
            let len = bytes.len() + topic.name.len() + TOPIC_OVERHEAD;
            if bytes.len() > TOPIC_LIMIT {
                log::warn!("step=produce topic={} bytes={}", topic.name, bytes.len());
            } else if !bytes.is_empty() && len <= room {
                room -= len;
                datagram.topics.push(Topic { name: topic.name.into(), bytes });
            }
        }
    }
}

fn is_transient(error: &io::Error) -> bool {
    // The socket reports the refusal of an earlier datagram; heartbeats detect the failed
    // peer anyway.
    matches!(
        error.kind(),
        ErrorKind::WouldBlock
            | ErrorKind::TimedOut
            | ErrorKind::Interrupted
            | ErrorKind::ConnectionRefused
    )
}

/// Limit on the bytes sent: a token bucket with a capacity of one second.
struct Budget {
    rate: f64,
    tokens: f64,
    refilled: Instant,
}

impl Budget {
    fn new(rate: u32) -> Self {
        let rate = f64::from(rate);
        Self { rate, tokens: rate, refilled: Instant::now() }
    }

    fn has_tokens(&mut self) -> bool {
        let now = Instant::now();
        let passed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        self.tokens = (self.tokens + passed * self.rate).min(self.rate);
        self.tokens > 0.0
    }

    fn spend(&mut self, bytes: usize) {
        self.tokens -= bytes as f64;
    }
}
