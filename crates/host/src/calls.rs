//! Requests to other hosts and their replies.
//!
//! A reply reaches the request with its id only if it came from the peer that was asked. A reply
//! that nobody waits for any more is dropped. Requests to the host itself skip the network.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use sapphirerack_catalogue::{Map, Set};
use sapphirerack_policy::Clock;
use sapphirerack_protocol::{Message, Reply, Request};

use crate::contacts::Contacts;
use crate::links::{LinkId, Links};

/// A request to one peer, known to the asker by `index`.
pub(crate) struct Call {
    pub index: usize,
    pub peer: SocketAddr,
    pub request: Request,
}

/// Reply to a call; `None` if the link to the peer broke first.
pub(crate) struct Answer {
    pub id: u64,
    pub index: usize,
    pub reply: Option<Reply>,
}

/// Where the reply to a request goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ReplyTo {
    /// To a call of this host.
    Local(u64),
    /// To another host: its link and its request id.
    Link(LinkId, u64),
}

/// What another host, or this one, wants of this host.
pub(crate) enum Inbound {
    /// A request with the way back.
    Request(Request, ReplyTo),
    /// The answer to an earlier request is no longer wanted.
    Cancel(ReplyTo),
}

struct Pending {
    peer: SocketAddr,
    index: usize,
    answers: flume::Sender<Answer>,
}

/// Open calls of this host.
pub(crate) struct Calls {
    own: SocketAddr,
    links: Links,
    inbound: flume::Sender<Inbound>,
    next: AtomicU64,
    pending: Mutex<Map<u64, Pending>>,
    contacts: Contacts,
    in_hand: Mutex<Set<ReplyTo>>,
}

impl Calls {
    /// Calls over `links`; requests to the address `own` go to `inbound`.
    pub(crate) fn new(
        own: SocketAddr,
        links: Links,
        inbound: flume::Sender<Inbound>,
        clock: Arc<dyn Clock>,
    ) -> Arc<Self> {
        let next = AtomicU64::new(0);
        let contacts = Contacts::new(clock);
        Arc::new(Self {
            own,
            links,
            inbound,
            next,
            pending: Mutex::default(),
            contacts,
            in_hand: Mutex::default(),
        })
    }

    /// When other hosts were last heard.
    pub(crate) fn contacts(&self) -> &Contacts {
        &self.contacts
    }

    /// Whether an address is this host's own.
    pub(crate) fn is_own(&self, peer: SocketAddr) -> bool {
        peer == self.own
    }

    /// Asks a host for a sign of life.
    pub(crate) fn ping(&self, peer: SocketAddr) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        self.links.request([(peer, Message::Request { id, body: Request::Ping })]);
    }

    /// Tells those who were asked that their answers are no longer wanted.
    pub(crate) fn withdraw(&self, ids: &[u64]) {
        let mut remote = Vec::new();
        for id in ids {
            let Some(call) = self.pending().remove(id) else { continue };
            if call.peer == self.own {
                // The receiver goes away only when the process ends.
                let _ = self.inbound.send(Inbound::Cancel(ReplyTo::Local(*id)));
            } else {
                remote.push((call.peer, Message::Cancel { id: *id }));
            }
        }
        if !remote.is_empty() {
            self.links.request(remote);
        }
    }

    /// Sends calls; their answers go to `answers`. Returns the ids, to withdraw them.
    pub(crate) fn send(&self, calls: Vec<Call>, answers: &flume::Sender<Answer>) -> Vec<u64> {
        let mut ids = Vec::with_capacity(calls.len());
        let mut remote = Vec::with_capacity(calls.len());
        for call in calls {
            let id = self.register(&call, answers);
            ids.push(id);
            if call.peer == self.own {
                // The receiver goes away only when the process ends.
                let _ = self.inbound.send(Inbound::Request(call.request, ReplyTo::Local(id)));
            } else {
                remote.push((call.peer, Message::Request { id, body: call.request }));
            }
        }
        self.links.request(remote);
        ids
    }

    /// Forgets calls whose answers are no longer wanted.
    pub(crate) fn forget(&self, ids: &[u64]) {
        let mut pending = self.pending();
        for id in ids {
            pending.remove(id);
        }
    }

    /// Takes a reply that came from `peer`.
    pub(crate) fn resolve(&self, id: u64, peer: SocketAddr, reply: Reply) {
        self.contacts.record_message(peer);
        let mut pending = self.pending();
        if pending.get(&id).is_some_and(|p| p.peer == peer)
            && let Some(call) = pending.remove(&id)
        {
            let _ = call.answers.send(Answer { id, index: call.index, reply: Some(reply) });
        }
    }

    /// Answers every call to `peer` with a broken link.
    pub(crate) fn fail(&self, peer: SocketAddr) {
        self.contacts.suspect(peer);
        self.pending().retain(|id, call| {
            if call.peer == peer {
                let _ = call.answers.send(Answer { id: *id, index: call.index, reply: None });
            }
            call.peer != peer
        });
    }

    /// Takes note of a request of another host.
    pub(crate) fn received(&self, from: ReplyTo) {
        self.in_hand().insert(from);
    }

    /// Takes note that another host no longer wants a reply.
    pub(crate) fn withdrawn(&self, from: ReplyTo) {
        self.in_hand().remove(&from);
    }

    /// Whether every request of another host has its reply.
    pub(crate) fn is_idle(&self) -> bool {
        self.in_hand().is_empty()
    }

    /// Sends the reply to a request that this host received.
    pub(crate) fn reply(&self, to: ReplyTo, reply: Reply) {
        self.in_hand().remove(&to);
        match to {
            ReplyTo::Local(id) => self.resolve(id, self.own, reply),
            ReplyTo::Link(link, id) => self.links.reply(link, &Message::Reply { id, body: reply }),
        }
    }

    fn register(&self, call: &Call, answers: &flume::Sender<Answer>) -> u64 {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        let pending = Pending { peer: call.peer, index: call.index, answers: answers.clone() };
        self.pending().insert(id, pending);
        id
    }

    fn in_hand(&self) -> std::sync::MutexGuard<'_, Set<ReplyTo>> {
        self.in_hand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pending(&self) -> std::sync::MutexGuard<'_, Map<u64, Pending>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
