//! Failure detector for the hosts that this host calls, on the path of queries.
//!
//! A host that does not reply to a request is pinged; one that does not answer a ping, or whose
//! link breaks, is suspected until the next reply from it. Suspected hosts are pinged periodically,
//! to detect their recovery. The membership ([`crate::peers`]) has its own, slower suspicion.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use sapphirerack_catalogue::Map;
use sapphirerack_policy::Clock;

/// Time without a reply after which a host with an outstanding request is pinged.
pub(crate) const PING_DELAY: Duration = Duration::from_millis(10);

/// Interval at which a suspected host is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Default)]
struct Contact {
    last_reply: Option<Instant>,
    /// Time of the first unanswered ping.
    unanswered: Option<Instant>,
    last_ping: Option<Instant>,
    suspect: bool,
}

/// Last replies of other hosts, and suspicions.
pub(crate) struct Contacts {
    clock: Arc<dyn Clock>,
    known: Mutex<Map<SocketAddr, Contact>>,
}

impl Contacts {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, known: Mutex::default() }
    }

    /// Records a reply of a host; clears a suspicion.
    pub(crate) fn record_reply(&self, peer: SocketAddr) {
        let now = self.clock.now();
        let contact = Contact { last_reply: Some(now), ..Contact::default() };
        self.lock().insert(peer, contact);
    }

    /// Suspects a host until its next reply.
    pub(crate) fn suspect(&self, peer: SocketAddr) {
        let mut known = self.lock();
        let contact = known.entry(peer).or_default();
        if !std::mem::replace(&mut contact.suspect, true) {
            log::info!("step=suspect peer={peer}");
        }
    }

    /// Whether a host is suspected.
    pub(crate) fn is_suspect(&self, peer: SocketAddr) -> bool {
        self.lock().get(&peer).is_some_and(|c| c.suspect)
    }

    /// Whether to ping a host now that got a request at `sent`; if so, records the ping.
    pub(crate) fn ping_due(&self, peer: SocketAddr, sent: Instant) -> bool {
        let now = self.clock.now();
        let mut known = self.lock();
        let contact = known.entry(peer).or_default();
        let last = contact.last_reply.max(contact.last_ping).max(Some(sent));
        let is_due = last.is_none_or(|last| now.saturating_duration_since(last) >= PING_DELAY);
        if is_due {
            contact.ping(now);
        }
        is_due
    }

    /// Whether pings to a host have been unanswered for `limit`.
    pub(crate) fn is_unresponsive(&self, peer: SocketAddr, limit: Duration) -> bool {
        let now = self.clock.now();
        let unanswered = self.lock().get(&peer).and_then(|c| c.unanswered);
        unanswered.is_some_and(|at| now.saturating_duration_since(at) >= limit)
    }

    /// Suspected hosts to ping now; records the pings.
    pub(crate) fn due_pings(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let mut due = Vec::new();
        for (peer, contact) in self.lock().iter_mut().filter(|(_, c)| c.suspect) {
            let elapsed = contact.last_ping.map(|at| now.saturating_duration_since(at));
            if elapsed.is_none_or(|w| w >= PING_INTERVAL) {
                contact.ping(now);
                due.push(*peer);
            }
        }
        due
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<SocketAddr, Contact>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Contact {
    fn ping(&mut self, now: Instant) {
        self.last_ping = Some(now);
        self.unanswered.get_or_insert(now);
    }
}
