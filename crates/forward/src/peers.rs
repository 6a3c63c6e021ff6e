//! What other hosts say.
//!
//! The membership decides who is sent a datagram; each carries a summary of the view. A host that
//! sees that it misses something asks the sender for it over TCP.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use sapphirerack_policy::Outgoing;
use sapphirerack_policy::direct::SlowReport;
use sapphirerack_protocol::{
    Datagram, FRAME_LIMIT, PeerReply, PeerRequest, Topic, from_body, to_frame,
};
use sapphirerack_routes::{Delta, ViewSummary};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::task::spawn_local;

use crate::host::Host;
use crate::{Error, Result};

/// Time between two rounds of datagrams.
pub(crate) const INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a call to another host is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that a host which starts gives another one to answer.
const FIRST_TIMEOUT: Duration = Duration::from_millis(40);

/// Pause of a host which starts before it asks the others again.
const FIRST_PAUSE: Duration = Duration::from_millis(25);

/// Hosts of the own data centre that are sent urgent news at once.
const FANOUT: usize = 2;

/// Name of the topic that carries the summary of the view.
const VIEW_TOPIC: &str = "view";

/// Name of the topic that carries reports of slow targets.
const SLOW_TOPIC: &str = "slow";

/// Most reports in a datagram.
const REPORTS: usize = 12;

/// Shortest time between two urgent rounds on slow targets.
const NEWS_PAUSE: Duration = Duration::from_millis(30);

const RECEIVE_BUFFER: usize = 2_048;

/// Exchanges datagrams until the process ends.
pub(crate) async fn run(host: Rc<Host>, socket: UdpSocket) {
    let peers = Rc::new(Peers { host, socket, asking: Cell::new(false) });
    let mut buffer = vec![0; RECEIVE_BUFFER];
    let mut ticks = tokio::time::interval(INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut content = ViewSummary::default();
    let mut last_news = peers.host.now();
    loop {
        let mut slow = false;
        tokio::select! {
            () = peers.host.news.notified() => slow = true,
            _ = ticks.tick() => {
                let outgoing = peers.host.members.borrow_mut().tick(peers.host.now());
                peers.send(outgoing).await;
                peers.repair();
                let live = peers.host.members.borrow().live().len();
                peers.host.hosts_changed(live);
                peers.host.pool.sweep(peers.host.now());
            }
            received = peers.socket.recv_from(&mut buffer) => match received {
                Ok((size, source)) => peers.receive(source, &buffer[..size]).await,
                Err(e) => log::debug!("event=datagram_lost error=\"{e}\""),
            },
        }
        let now = peers.host.now();
        let own = peers.host.view.borrow().summary(now);
        let news = own.content > content.content || own.version > content.version;
        slow &= now.saturating_duration_since(last_news) >= NEWS_PAUSE;
        if slow {
            last_news = now;
        }
        if news || slow || peers.host.members.borrow_mut().take_urgent() {
            content = own;
            let outgoing = peers.host.members.borrow_mut().gossip(now, FANOUT);
            peers.send(outgoing).await;
        }
    }
}

struct Peers {
    host: Rc<Host>,
    socket: UdpSocket,
    asking: Cell<bool>,
}

impl Peers {
    async fn send(&self, outgoing: Vec<Outgoing>) {
        if outgoing.is_empty() {
            return;
        }
        let now = self.host.now();
        let slow = self.host.slow_reports(REPORTS);
        let slow = (!slow.is_empty()).then(|| postcard::to_stdvec(&slow).unwrap_or_default());
        for Outgoing { to, mut datagram } in outgoing {
            let own = self.host.view.borrow().summary(now);
            datagram.version = own.version;
            if let Ok(bytes) = postcard::to_stdvec(&own) {
                datagram.topics.push(Topic { name: VIEW_TOPIC.into(), bytes });
            }
            // The hosts that are told come first; reports repeat themselves.
            if let Some(bytes) =
                slow.clone().filter(|b| b.len() + SLOW_TOPIC.len() + 4 < datagram.room())
            {
                datagram.topics.push(Topic { name: SLOW_TOPIC.into(), bytes });
            }
            match datagram.encode() {
                // A datagram may be lost anyway.
                Ok(bytes) => drop(self.socket.send_to(&bytes, to).await),
                Err(e) => log::warn!("event=datagram_unsent peer={to} error=\"{e}\""),
            }
        }
    }

    async fn receive(self: &Rc<Self>, source: SocketAddr, bytes: &[u8]) {
        let datagram = match Datagram::decode(bytes) {
            Ok(datagram) => datagram,
            Err(e) => {
                log::debug!("event=datagram_refused peer={source} error=\"{e}\"");
                return;
            }
        };
        let now = self.host.now();
        let outgoing = self.host.members.borrow_mut().receive(source, &datagram, now);
        self.send(outgoing).await;
        if let Some(reports) = topic::<Vec<SlowReport>>(&datagram, SLOW_TOPIC)
            && self.host.hear(&reports)
        {
            self.host.news.notify_one();
        }
        let Some(published) = topic::<ViewSummary>(&datagram, VIEW_TOPIC) else { return };
        if self.host.view.borrow().is_behind(&published, now) {
            self.ask_view(datagram.from.address);
        } else {
            self.host.view.borrow_mut().refresh(&published, now);
        }
    }

    /// Asks a host for what this one misses, one host at a time.
    fn ask_view(self: &Rc<Self>, peer: SocketAddr) {
        if self.asking.replace(true) {
            return;
        }
        let peers = self.clone();
        spawn_local(async move {
            let own = peers.host.view.borrow().summary(peers.host.now());
            match ask(peer, &PeerRequest::View(own)).await {
                Ok(PeerReply::View(delta)) => learn(&peers.host, peer, *delta),
                Ok(PeerReply::Peers(_)) => log::warn!("event=view_refused peer={peer}"),
                Err(e) => log::debug!("event=view_not_learnt error=\"{e}\""),
            }
            peers.asking.set(false);
        });
    }

    /// Asks for the hosts of a data centre about which another host knows more.
    fn repair(self: &Rc<Self>) {
        let now = self.host.now();
        let Some(repair) = self.host.members.borrow_mut().repair(now) else { return };
        let host = self.host.clone();
        spawn_local(async move {
            match ask(repair.peer, &PeerRequest::Peers(repair.data_centre)).await {
                Ok(PeerReply::Peers(peers)) => host.members.borrow_mut().merge(&peers, host.now()),
                Ok(PeerReply::View(_)) => log::warn!("event=peers_refused peer={}", repair.peer),
                Err(e) => log::debug!("event=peers_not_learnt error=\"{e}\""),
            }
        });
    }
}

fn topic<T: serde::de::DeserializeOwned>(datagram: &Datagram, name: &str) -> Option<T> {
    let topic = datagram.topics.iter().find(|t| &*t.name == name)?;
    postcard::from_bytes(&topic.bytes).ok()
}

/// Takes over what another host knows beyond this one.
fn learn(host: &Host, peer: SocketAddr, delta: Delta) {
    let version = delta.configuration.as_ref().map_or(0, |c| c.version);
    let targets = delta.targets.len();
    let changed = host.view.borrow_mut().merge(delta, host.now());
    if changed {
        log::info!("event=view_learnt peer={peer} version={version} targets={targets}");
        host.update();
    }
}

/// Asks the given hosts in turn until a configuration is known, or until none of them answers:
/// then they are not there, and the store has to be asked.
pub(crate) async fn learn_first(host: Rc<Host>, mut peers: Vec<SocketAddr>) {
    fastrand::shuffle(&mut peers);
    loop {
        let mut answered = false;
        for peer in &peers {
            if host.view.borrow().version() > 0 {
                return;
            }
            let own = host.view.borrow().summary(host.now());
            let asked =
                tokio::time::timeout(FIRST_TIMEOUT, ask(*peer, &PeerRequest::View(own))).await;
            if let Ok(Ok(PeerReply::View(delta))) = asked {
                answered = true;
                learn(&host, *peer, *delta);
            }
        }
        if !answered {
            return;
        }
        tokio::time::sleep(FIRST_PAUSE).await;
    }
}

async fn ask(peer: SocketAddr, question: &PeerRequest) -> Result<PeerReply> {
    let call = async {
        let stream = TcpStream::connect(peer).await;
        let mut stream = stream.map_err(|e| Error::io("ask host", peer, e))?;
        write(&mut stream, question, peer).await?;
        read(&mut stream, peer).await
    };
    let answered = tokio::time::timeout(CALL_TIMEOUT, call).await;
    answered.map_err(|_| Error::timeout("ask host", peer))?
}

async fn write<T: serde::Serialize>(
    stream: &mut TcpStream,
    message: &T,
    peer: SocketAddr,
) -> Result<()> {
    let frame = to_frame(message);
    let frame = frame.map_err(|e| Error::malformed("write frame", peer, e.to_string()))?;
    stream.write_all(&frame).await.map_err(|e| Error::io("write frame", peer, e))
}

async fn read<T: serde::de::DeserializeOwned>(
    stream: &mut TcpStream,
    peer: SocketAddr,
) -> Result<T> {
    let failed = |e| Error::io("read frame", peer, e);
    let len = stream.read_u32_le().await.map_err(failed)? as usize;
    if len > FRAME_LIMIT {
        return Err(Error::malformed("read frame", peer, format!("{len} bytes")));
    }
    let mut body = vec![0; len];
    stream.read_exact(&mut body).await.map_err(failed)?;
    from_body(&body).map_err(|e| Error::malformed("read frame", peer, e.to_string()))
}

/// Answers other hosts' questions until the process ends.
pub(crate) async fn accept(host: Rc<Host>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let host = host.clone();
                spawn_local(async move {
                    let answered = tokio::time::timeout(CALL_TIMEOUT, reply(&host, stream, peer));
                    if let Ok(Err(e)) = answered.await {
                        log::debug!("event=question_not_answered error=\"{e}\"");
                    }
                });
            }
            Err(e) => log::warn!("event=accept_failed error=\"{e}\""),
        }
    }
}

async fn reply(host: &Host, mut stream: TcpStream, peer: SocketAddr) -> Result<()> {
    let question: PeerRequest = read(&mut stream, peer).await?;
    let now = host.now();
    let answer = match question {
        PeerRequest::View(other) => {
            PeerReply::View(Box::new(host.view.borrow().delta(&other, now)))
        }
        PeerRequest::Peers(data_centre) => {
            PeerReply::Peers(host.members.borrow().view(&data_centre, now))
        }
    };
    write(&mut stream, &answer, peer).await
}
