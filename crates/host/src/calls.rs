//! Requests to other hosts and their replies.
//!
//! A reply is matched to its request by id, and accepted only from the peer that the request was
//! sent to. A reply to a request that is no longer pending is dropped. Requests to the host itself
//! skip the network.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use sapphirerack_catalogue::{Map, Set};
use sapphirerack_policy::Clock;
use sapphirerack_protocol::{Message, Reply, Request};

use crate::contacts::Contacts;
use crate::links::{LinkId, Links};

/// A request to one peer; `index` identifies it to the caller and is returned with the answer.
pub(crate) struct Call {
    pub index: usize,
    pub peer: SocketAddr,
    pub request: Request,
}

/// Result of a call; `reply` is `None` if the link to the peer broke first.
pub(crate) struct Answer {
    pub id: u64,
    pub index: usize,
    pub reply: Option<Reply>,
}

/// Destination of the reply to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum ReplyTo {
    /// A call of this host, by id.
    Local(u64),
    /// Another host, by its link and request id.
    Link(LinkId, u64),
}

/// A message for this host, from another host or from itself.
pub(crate) enum Inbound {
    /// A request, with the destination of its reply.
    Request(Request, ReplyTo),
    /// Cancels an earlier request.
    Cancel(ReplyTo),
}

struct Pending {
    peer: SocketAddr,
    index: usize,
    answers: flume::Sender<Answer>,
}

/// Calls of this host that are in flight, and requests that it has yet to reply to.
pub(crate) struct Calls {
    own: SocketAddr,
    links: Links,
    inbound: flume::Sender<Inbound>,
    next: AtomicU64,
    pending: Mutex<Map<u64, Pending>>,
    contacts: Contacts,
    unanswered: Mutex<Set<ReplyTo>>,
}

impl Calls {
    /// Creates calls over `links`; requests to the address `own` go to `inbound`.
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
            unanswered: Mutex::default(),
        })
    }

    /// Failure detector for the other hosts.
    pub(crate) fn contacts(&self) -> &Contacts {
        &self.contacts
    }

    /// Whether `peer` is the address of this host.
    pub(crate) fn is_own(&self, peer: SocketAddr) -> bool {
        peer == self.own
    }

    /// Sends a ping; its reply is only recorded in the contacts.
    pub(crate) fn ping(&self, peer: SocketAddr) {
        let id = self.next.fetch_add(1, Ordering::Relaxed);
        self.links.request([(peer, Message::Request { id, body: Request::Ping })]);
    }

    /// Drops calls and sends cancellations to their peers.
    pub(crate) fn cancel(&self, ids: &[u64]) {
        let mut remote = Vec::new();
        for id in ids {
            let Some(call) = self.pending().remove(id) else { continue };
            if call.peer == self.own {
                // The receiver lives as long as the process.
                let _ = self.inbound.send(Inbound::Cancel(ReplyTo::Local(*id)));
            } else {
                remote.push((call.peer, Message::Cancel { id: *id }));
            }
        }
        if !remote.is_empty() {
            self.links.request(remote);
        }
    }

    /// Sends calls; their answers go to `answers`. Returns the ids, by which they can be cancelled.
    pub(crate) fn send(&self, calls: Vec<Call>, answers: &flume::Sender<Answer>) -> Vec<u64> {
        let mut ids = Vec::with_capacity(calls.len());
        let mut remote = Vec::with_capacity(calls.len());
        for call in calls {
            let id = self.register(&call, answers);
            ids.push(id);
            if call.peer == self.own {
                // The receiver lives as long as the process.
                let _ = self.inbound.send(Inbound::Request(call.request, ReplyTo::Local(id)));
            } else {
                remote.push((call.peer, Message::Request { id, body: call.request }));
            }
        }
        self.links.request(remote);
        ids
    }

    /// Drops calls without cancelling them at their peers.
    pub(crate) fn forget(&self, ids: &[u64]) {
        let mut pending = self.pending();
        for id in ids {
            pending.remove(id);
        }
    }

    /// Completes a call with a reply that came from `peer`.
    pub(crate) fn resolve(&self, id: u64, peer: SocketAddr, reply: Reply) {
        self.contacts.record_reply(peer);
        let mut pending = self.pending();
        if pending.get(&id).is_some_and(|p| p.peer == peer)
            && let Some(call) = pending.remove(&id)
        {
            let _ = call.answers.send(Answer { id, index: call.index, reply: Some(reply) });
        }
    }

    /// Fails all calls to `peer`, whose link broke, and suspects it.
    pub(crate) fn fail_peer(&self, peer: SocketAddr) {
        self.contacts.suspect(peer);
        self.pending().retain(|id, call| {
            if call.peer == peer {
                let _ = call.answers.send(Answer { id: *id, index: call.index, reply: None });
            }
            call.peer != peer
        });
    }

    /// Records a request of another host, which awaits a reply.
    pub(crate) fn on_request(&self, from: ReplyTo) {
        self.unanswered().insert(from);
    }

    /// Records that another host cancelled its request.
    pub(crate) fn on_cancel(&self, from: ReplyTo) {
        self.unanswered().remove(&from);
    }

    /// Whether no request of another host awaits a reply.
    pub(crate) fn is_idle(&self) -> bool {
        self.unanswered().is_empty()
    }

    /// Sends the reply to a request.
    pub(crate) fn reply(&self, to: ReplyTo, reply: Reply) {
        self.unanswered().remove(&to);
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

    fn unanswered(&self) -> std::sync::MutexGuard<'_, Set<ReplyTo>> {
        self.unanswered.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pending(&self) -> std::sync::MutexGuard<'_, Map<u64, Pending>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
