//! When other hosts were last heard, and which are suspected to be gone.
//!
//! A host that is asked something and stays silent is pinged; one that leaves a ping unanswered,
//! or whose link breaks, is suspected until it is heard again. A suspected host is pinged at
//! intervals, so that it is noticed when it is back.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use sapphirerack_catalogue::Map;
use sapphirerack_policy::Clock;

/// Silence after which a host is pinged.
pub(crate) const PING_AFTER: Duration = Duration::from_millis(10);

/// Interval at which a suspected host is pinged.
const PING_INTERVAL: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Default)]
struct Contact {
    heard: Option<Instant>,
    /// First ping that is unanswered.
    unanswered: Option<Instant>,
    pinged: Option<Instant>,
    suspect: bool,
}

/// Contacts with other hosts.
pub(crate) struct Contacts {
    clock: Arc<dyn Clock>,
    known: Mutex<Map<SocketAddr, Contact>>,
}

impl Contacts {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        Self { clock, known: Mutex::default() }
    }

    /// Takes note of a message from a host.
    pub(crate) fn hear(&self, peer: SocketAddr) {
        let now = self.clock.now();
        let contact = Contact { heard: Some(now), ..Contact::default() };
        self.lock().insert(peer, contact);
    }

    /// Suspects a host until it is heard again.
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

    /// Whether a host that was asked at `asked` is to be pinged now.
    pub(crate) fn ping_due(&self, peer: SocketAddr, asked: Instant) -> bool {
        let now = self.clock.now();
        let mut known = self.lock();
        let contact = known.entry(peer).or_default();
        let last = contact.heard.max(contact.pinged).max(Some(asked));
        let is_due = last.is_none_or(|last| now.saturating_duration_since(last) >= PING_AFTER);
        if is_due {
            contact.ping(now);
        }
        is_due
    }

    /// Whether a host has left pings unanswered for `limit`.
    pub(crate) fn is_silent(&self, peer: SocketAddr, limit: Duration) -> bool {
        let now = self.clock.now();
        let unanswered = self.lock().get(&peer).and_then(|c| c.unanswered);
        unanswered.is_some_and(|at| now.saturating_duration_since(at) >= limit)
    }

    /// Suspected hosts that are to be pinged now.
    pub(crate) fn lost(&self) -> Vec<SocketAddr> {
        let now = self.clock.now();
        let mut lost = Vec::new();
        for (peer, contact) in self.lock().iter_mut().filter(|(_, c)| c.suspect) {
            let waited = contact.pinged.map(|at| now.saturating_duration_since(at));
            if waited.is_none_or(|w| w >= PING_INTERVAL) {
                contact.ping(now);
                lost.push(*peer);
            }
        }
        lost
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Map<SocketAddr, Contact>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Contact {
    fn ping(&mut self, now: Instant) {
        self.pinged = Some(now);
        self.unanswered.get_or_insert(now);
    }
}
