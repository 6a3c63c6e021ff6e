//! Links to the hosts that gather queries for this one.
//!
//! One connection to each of them carries many queries at once. It is opened with the first query
//! and stays open. When it breaks, all its queries end as lost.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sapphirerack_catalogue::Map;
use sapphirerack_protocol::{GatherMessage, GatherQuery, GatherReply, PeerRequest};
use tokio::net::TcpStream;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::spawn_local;

use crate::client::set_options;
use crate::frames::{Outbox, Queue, outbox, read_frames, write_frames};
use crate::{Error, Result};

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Links by the peer's address.
#[derive(Clone, Default)]
pub(crate) struct Links {
    open: Rc<RefCell<Map<SocketAddr, Rc<Link>>>>,
}

/// A link to one peer.
struct Link {
    outbox: Outbox,
    connected: Cell<bool>,
    last_id: Cell<u64>,
    pending: RefCell<Map<u64, Pending>>,
}

/// A query without its last reply.
struct Pending {
    acceptances: Rc<Cell<u32>>,
    replies: UnboundedSender<GatherReply>,
}

/// A query that was sent on a link; dropping it before the last reply cancels it.
pub(crate) struct SentQuery {
    link: Rc<Link>,
    id: u64,
    acceptances: Rc<Cell<u32>>,
    replies: UnboundedReceiver<GatherReply>,
}

impl Links {
    /// Sends a query, on a new link if none is open.
    ///
    /// # Errors
    ///
    /// The link is full or the query too large.
    pub(crate) fn send(&self, peer: SocketAddr, query: Box<GatherQuery>) -> Result<SentQuery> {
        let open = self.open.borrow().get(&peer).cloned();
        let link = open.unwrap_or_else(|| self.open_link(peer));
        let id = link.last_id.get() + 1;
        link.last_id.set(id);
        link.outbox.send(&GatherMessage::Query { id, query })?;
        let (sender, replies) = unbounded_channel();
        let acceptances = Rc::new(Cell::new(0));
        let pending = Pending { acceptances: acceptances.clone(), replies: sender };
        link.pending.borrow_mut().insert(id, pending);
        Ok(SentQuery { link, id, acceptances, replies })
    }

    fn remove(&self, link: &Rc<Link>) {
        self.open.borrow_mut().retain(|_, l| !Rc::ptr_eq(l, link));
    }

    fn open_link(&self, peer: SocketAddr) -> Rc<Link> {
        let (outbox, queue) = outbox(peer);
        let link = Rc::new(Link {
            outbox,
            connected: Cell::new(false),
            last_id: Cell::new(0),
            pending: RefCell::default(),
        });
        self.open.borrow_mut().insert(peer, link.clone());
        let (links, running) = (self.clone(), link.clone());
        spawn_local(async move {
            if let Err(e) = run(&running, peer, queue).await {
                log::debug!("event=link_broken error=\"{e}\"");
            }
            running.pending.borrow_mut().clear();
            links.remove(&running);
        });
        link
    }
}

/// Connects, then exchanges messages until the connection ends.
async fn run(link: &Link, peer: SocketAddr, queue: Queue) -> Result<()> {
    let connected = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(peer)).await;
    let stream = connected.map_err(|_| Error::timeout("connect", peer))?;
    let stream = stream.map_err(|e| Error::io("connect", peer, e))?;
    set_options(&stream);
    link.connected.set(true);
    let (read, write) = stream.into_split();
    let (hello, hello_queue) = outbox(peer);
    hello.send(&PeerRequest::Link)?;
    drop(hello);
    let write = write_frames(write, hello_queue).await?;
    tokio::select! {
        written = write_frames(write, queue) => written.map(drop),
        received = read_frames(read, peer, |message| link.receive(message)) => received,
    }
}

impl Link {
    fn receive(&self, message: GatherMessage) {
        match message {
            GatherMessage::Accepted { id } => {
                if let Some(pending) = self.pending.borrow().get(&id) {
                    pending.acceptances.set(pending.acceptances.get() + 1);
                }
            }
            GatherMessage::Reply { id, reply } => {
                let mut pending = self.pending.borrow_mut();
                let is_last = reply.is_last();
                if let Some(query) = pending.get(&id) {
                    // The receiver may have been dropped meanwhile.
                    let _ = query.replies.send(reply);
                }
                if is_last {
                    pending.remove(&id);
                }
            }
            GatherMessage::Query { id, .. }
            | GatherMessage::Due { id }
            | GatherMessage::Cancel { id } => {
                log::debug!("event=link_message_ignored id={id}");
            }
        }
    }
}

impl SentQuery {
    /// How often the peer has accepted the query.
    pub(crate) fn acceptances(&self) -> u32 {
        self.acceptances.get()
    }

    /// Tells the peer that the latency objective has come.
    pub(crate) fn ask_now(&self) {
        if let Err(e) = self.link.outbox.send(&GatherMessage::Due { id: self.id }) {
            log::debug!("event=due_not_sent error=\"{e}\"");
        }
    }

    /// Sends further queries to the peer on a new connection, as this one may have gone silent.
    pub(crate) fn replace_link(&self, links: &Links) {
        links.remove(&self.link);
    }

    /// Whether the peer may have received the query.
    pub(crate) fn may_have_arrived(&self) -> bool {
        self.link.connected.get()
    }

    /// Waits for the next reply; `None` if the link broke before.
    pub(crate) async fn reply(&mut self) -> Option<GatherReply> {
        self.replies.recv().await
    }
}

impl Drop for SentQuery {
    fn drop(&mut self) {
        let pending = self.link.pending.borrow_mut().remove(&self.id);
        if pending.is_none() {
            return;
        }
        if let Err(e) = self.link.outbox.send(&GatherMessage::Cancel { id: self.id }) {
            log::debug!("event=cancel_not_sent error=\"{e}\"");
        }
    }
}
