//! TCP links between hosts.
//!
//! One thread polls all links. Requests are sent on a link that this host opened to the peer's
//! address, and replies on the link that the request arrived on. Messages on one link stay in
//! order. A link that fails or receives a malformed frame is closed, which is reported once.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;

use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token, Waker};
use sapphirerack_catalogue::Map;
use sapphirerack_protocol::{Decoder, Message, encode};

use crate::{Error, Result};

const LISTENER: Token = Token(0);
const WAKER: Token = Token(1);
const FIRST_LINK: usize = 2;
const EVENTS: usize = 256;
const READ_CHUNK: usize = 64 << 10;

/// Number of bytes queued for a slow peer above which the link is closed.
const OUTBOX_LIMIT: usize = 16 << 20;

/// Id of a link, unique during the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) struct LinkId(usize);

/// An event on a link.
pub(crate) enum Event {
    /// A message arrived; `peer` is set if this host opened the link.
    Message { link: LinkId, peer: Option<SocketAddr>, message: Message },
    /// A link that this host opened to `peer` was closed, or could not be opened.
    Closed { peer: SocketAddr },
}

/// Called on the polling thread; must not block.
pub(crate) type Handler = Box<dyn Fn(Event) + Send>;

enum Command {
    Request(SocketAddr, Vec<u8>),
    Reply(LinkId, Vec<u8>),
}

/// Handle that sends messages on the links.
#[derive(Clone)]
pub(crate) struct Links {
    commands: flume::Sender<Command>,
    waker: Arc<Waker>,
}

/// Polls the links and owns their sockets.
pub(crate) struct Poller {
    poll: Poll,
    listener: TcpListener,
    commands: flume::Receiver<Command>,
    links: Map<Token, Link>,
    opened: Map<SocketAddr, Token>,
    next: usize,
    chunk: Vec<u8>,
}

struct Link {
    stream: TcpStream,
    peer: Option<SocketAddr>,
    decoder: Decoder,
    outbox: VecDeque<Vec<u8>>,
    /// Bytes of the first frame in the outbox that are written.
    sent: usize,
    /// Bytes in the outbox; a partly written frame counts in full.
    queued: usize,
}

/// Listens on an address for links from other hosts.
pub(crate) fn bind(address: SocketAddr) -> Result<(Links, Poller)> {
    open(address).map_err(|e| Error::io("listen for hosts", address.to_string(), e))
}

fn open(address: SocketAddr) -> io::Result<(Links, Poller)> {
    let poll = Poll::new()?;
    let mut listener = TcpListener::bind(address)?;
    poll.registry().register(&mut listener, LISTENER, Interest::READABLE)?;
    let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
    let (sender, commands) = flume::unbounded();
    let poller = Poller {
        poll,
        listener,
        commands,
        links: Map::default(),
        opened: Map::default(),
        next: FIRST_LINK,
        chunk: vec![0; READ_CHUNK],
    };
    Ok((Links { commands: sender, waker }, poller))
}

impl Links {
    /// Sends requests to peers, with a single wake-up of the polling thread.
    pub(crate) fn request(&self, requests: impl IntoIterator<Item = (SocketAddr, Message)>) {
        for (peer, message) in requests {
            match encode(&message) {
                Ok(frame) => self.push(Command::Request(peer, frame)),
                Err(e) => log::warn!("step=encode peer={peer} error={e:?}"),
            }
        }
        self.wake();
    }

    /// Sends a reply on the link that the request arrived on.
    pub(crate) fn reply(&self, link: LinkId, message: &Message) {
        match encode(message) {
            Ok(frame) => self.push(Command::Reply(link, frame)),
            Err(e) => log::warn!("step=encode error={e:?}"),
        }
        self.wake();
    }

    fn push(&self, command: Command) {
        // The receiver lives as long as the process.
        let _ = self.commands.send(command);
    }

    fn wake(&self) {
        if let Err(e) = self.waker.wake() {
            log::error!("step=wake error={e}");
        }
    }
}

impl Poller {
    /// Polls the links on a dedicated thread.
    pub(crate) fn spawn(mut self, handler: Handler) -> Result<()> {
        let run = move || {
            if let Err(e) = self.run(&handler) {
                log::error!("step=poll error={e}");
            }
        };
        let builder = thread::Builder::new().name("links".into());
        builder.spawn(run).map(drop).map_err(|e| Error::io("start thread", "links", e))
    }

    fn run(&mut self, handler: &Handler) -> io::Result<()> {
        let mut events = Events::with_capacity(EVENTS);
        loop {
            match self.poll.poll(&mut events, None) {
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                result => result?,
            }
            for event in &events {
                match event.token() {
                    LISTENER => self.accept(),
                    WAKER => self.handle_commands(handler),
                    token => self.transfer(token, event.is_readable(), handler),
                }
            }
        }
    }

    fn accept(&mut self) {
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => {
                    if let Err(e) = self.register(stream, None) {
                        log::warn!("step=accept error={e}");
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) => {
                    log::warn!("step=accept error={e}");
                    return;
                }
            }
        }
    }

    fn register(&mut self, mut stream: TcpStream, peer: Option<SocketAddr>) -> io::Result<Token> {
        let token = Token(self.next);
        let interest = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, token, interest)?;
        // Some systems reject this on a socket that is still connecting, which is harmless.
        let _ = stream.set_nodelay(true);
        self.next += 1;
        let link = Link {
            stream,
            peer,
            decoder: Decoder::default(),
            outbox: VecDeque::new(),
            sent: 0,
            queued: 0,
        };
        self.links.insert(token, link);
        Ok(token)
    }

    fn handle_commands(&mut self, handler: &Handler) {
        let mut touched = Vec::new();
        while let Ok(command) = self.commands.try_recv() {
            let token = match &command {
                Command::Request(peer, _) => self.get_or_connect(*peer, handler),
                Command::Reply(link, _) => Some(Token(link.0)),
            };
            let (Command::Request(_, frame) | Command::Reply(_, frame)) = command;
            let Some((token, link)) = token.and_then(|t| Some((t, self.links.get_mut(&t)?))) else {
                continue;
            };
            link.queued += frame.len();
            link.outbox.push_back(frame);
            if touched.last() != Some(&token) {
                touched.push(token);
            }
        }
        for token in touched {
            self.transfer(token, false, handler);
        }
    }

    fn get_or_connect(&mut self, peer: SocketAddr, handler: &Handler) -> Option<Token> {
        if let Some(token) = self.opened.get(&peer) {
            return Some(*token);
        }
        let opened = TcpStream::connect(peer).and_then(|s| self.register(s, Some(peer)));
        match opened {
            Ok(token) => {
                self.opened.insert(peer, token);
                Some(token)
            }
            Err(e) => {
                log::info!("step=connect peer={peer} error={e}");
                handler(Event::Closed { peer });
                None
            }
        }
    }

    fn transfer(&mut self, token: Token, readable: bool, handler: &Handler) {
        let Some(link) = self.links.get_mut(&token) else {
            return;
        };
        let mut result = link.flush();
        if result.is_ok() && readable {
            result = link.receive(LinkId(token.0), &mut self.chunk, handler);
        }
        if let Err(e) = result {
            self.close(token, &e, handler);
        }
    }

    fn close(&mut self, token: Token, error: &io::Error, handler: &Handler) {
        let Some(mut link) = self.links.remove(&token) else {
            return;
        };
        let _ = self.poll.registry().deregister(&mut link.stream);
        if let Some(peer) = link.peer {
            log::info!("step=link peer={peer} error={error}");
            self.opened.remove(&peer);
            handler(Event::Closed { peer });
        }
    }
}

impl Link {
    fn flush(&mut self) -> io::Result<()> {
        while let Some(frame) = self.outbox.front() {
            match self.stream.write(&frame[self.sent..]) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(n) => self.sent += n,
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if is_not_ready(&e) => return self.check_outbox(),
                Err(e) => return Err(e),
            }
            if self.sent == frame.len() {
                self.queued -= frame.len();
                self.sent = 0;
                self.outbox.pop_front();
            }
        }
        Ok(())
    }

    fn check_outbox(&self) -> io::Result<()> {
        if self.queued > OUTBOX_LIMIT {
            return Err(io::Error::other("outbox limit exceeded: peer does not read"));
        }
        Ok(())
    }

    fn receive(&mut self, id: LinkId, chunk: &mut [u8], handler: &Handler) -> io::Result<()> {
        loop {
            match self.stream.read(chunk) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(n) => self.decoder.push(&chunk[..n]),
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(e) if is_not_ready(&e) => return Ok(()),
                Err(e) => return Err(e),
            }
            while let Some(message) = self.decoder.next().map_err(io::Error::other)? {
                handler(Event::Message { link: id, peer: self.peer, message });
            }
        }
    }
}

/// Whether the operation can be repeated once the socket is reported ready.
fn is_not_ready(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected)
}
