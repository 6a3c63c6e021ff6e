//! Dispatches inbound requests to the components of this host.
//!
//! The handler runs on the polling thread of the links, so it only forwards. The inbox has a thread
//! of its own, and so have the components that may take long.

use std::sync::Arc;

use sapphirerack_protocol::{Message, Reply, Request};

use crate::calls::{Calls, Inbound, ReplyTo};
use crate::claims::Input;
use crate::config::Config;
use crate::links::{Event, Handler};
use crate::owner::OwnerEvent;
use crate::peers::Peers;
use crate::{Error, Result};

/// The components that handle requests.
pub(crate) struct Inbox {
    pub calls: Arc<Calls>,
    pub config: Arc<Config>,
    pub peers: Arc<Peers>,
    pub owner: flume::Sender<OwnerEvent>,
    pub bookings: flume::Sender<Input>,
}

impl Inbox {
    /// Dispatches messages on a dedicated thread.
    pub(crate) fn spawn(self, inbound: flume::Receiver<Inbound>) -> Result<()> {
        let run = move || {
            for message in inbound {
                match message {
                    Inbound::Request(request, reply_to) => self.request(request, reply_to),
                    Inbound::Cancel(reply_to) => self.send_to_owner(OwnerEvent::Cancel(reply_to)),
                }
            }
        };
        let builder = std::thread::Builder::new().name("inbox".into());
        builder.spawn(run).map(drop).map_err(|e| Error::io("start thread", "inbox", e))
    }

    fn request(&self, request: Request, reply_to: ReplyTo) {
        match request {
            Request::Ping => self.calls.reply(reply_to, Reply::Pong),
            Request::Describe { service, shard } => {
                self.send_to_owner(OwnerEvent::Describe { service, shard, reply_to });
            }
            Request::Peers { data_centre } => {
                self.calls.reply(reply_to, Reply::Peers(self.peers.view(&data_centre)));
            }
            Request::Version => self.calls.reply(reply_to, Reply::Version(self.config.version())),
            Request::Head { above } => {
                self.calls.reply(reply_to, Reply::Head(self.config.head_above(above)));
            }
            Request::Parts(keys) => {
                self.calls.reply(reply_to, Reply::Parts(self.config.parts(&keys)));
            }
            Request::Search(query) => self.send_to_owner(OwnerEvent::Search(query, reply_to)),
            Request::Run(claimed) => self.send_to_owner(OwnerEvent::Book(claimed, reply_to)),
            // The receiver lives as long as the process.
            Request::Book(booking) => drop(self.bookings.send(Input::Book(booking, reply_to))),
        }
    }

    fn send_to_owner(&self, event: OwnerEvent) {
        // The receiver lives as long as the process.
        let _ = self.owner.send(event);
    }
}

/// Forwards events of the links to the calls and the inbox.
pub(crate) fn handler(calls: Arc<Calls>, inbound: flume::Sender<Inbound>) -> Handler {
    Box::new(move |event| match event {
        Event::Message { link, message: Message::Request { id, body }, .. } => {
            // The receiver lives as long as the process.
            calls.on_request(ReplyTo::Link(link, id));
            let _ = inbound.send(Inbound::Request(body, ReplyTo::Link(link, id)));
        }
        Event::Message { link, message: Message::Cancel { id }, .. } => {
            calls.on_cancel(ReplyTo::Link(link, id));
            let _ = inbound.send(Inbound::Cancel(ReplyTo::Link(link, id)));
        }
        Event::Message { peer: Some(peer), message: Message::Reply { id, body }, .. } => {
            calls.resolve(id, peer, body);
        }
        Event::Message { peer: None, message: Message::Reply { id, .. }, .. } => {
            log::warn!("step=reply id={id} error=\"reply on a link that this host did not open\"");
        }
        Event::Closed { peer } => calls.fail_peer(peer),
    })
}
