//! TCP and UDP relay between two processes that can cut or delay their traffic.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use sapphirerack_catalogue::Map;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch};

use crate::server::{run_until, runtime};

const CHUNK_SIZE: usize = 16 << 10;

/// Maximum number of chunks in flight per direction.
const CHUNKS_IN_FLIGHT: usize = 256;

/// Faults that a relay injects into the traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayFault {
    /// Nothing passes; connections stay open and hang, as under packet loss.
    pub cut: bool,
    /// Open connections are closed, new ones are closed on accept.
    pub closed: bool,
    /// Traffic to the target passes, traffic from it doesn't.
    pub cut_replies: bool,
    /// Delay of every chunk and datagram.
    pub delay: Duration,
}

impl RelayFault {
    fn stops(&self, direction: Direction) -> bool {
        self.cut || (self.cut_replies && direction == Direction::Back)
    }
}

/// Direction of traffic.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    /// To the target.
    Forward,
    /// From the target.
    Back,
}

/// TCP bytes relayed in each direction.
#[derive(Debug, Default)]
struct Relayed {
    forward: AtomicU64,
    back: AtomicU64,
}

/// A running relay; closes its connections when dropped.
pub struct Relay {
    address: SocketAddr,
    relayed: Arc<Relayed>,
    fault: watch::Sender<RelayFault>,
}

impl Relay {
    /// Relays TCP and UDP from a port of 127.0.0.1 to `target`.
    pub fn start(target: SocketAddr) -> Self {
        let (tcp, udp) = bind();
        Self::serve(tcp, udp, target)
    }

    /// Relays TCP and UDP from `address` to `target`.
    pub fn start_at(address: SocketAddr, target: SocketAddr) -> Self {
        let tcp = std::net::TcpListener::bind(address).unwrap();
        let udp = std::net::UdpSocket::bind(address).unwrap();
        tcp.set_nonblocking(true).unwrap();
        udp.set_nonblocking(true).unwrap();
        Self::serve(tcp, udp, target)
    }

    fn serve(tcp: std::net::TcpListener, udp: std::net::UdpSocket, target: SocketAddr) -> Self {
        let address = tcp.local_addr().unwrap();
        let (fault, faults) = watch::channel(RelayFault::default());
        let relayed = Arc::new(Relayed::default());
        runtime().spawn(accept(tcp, target, faults.clone(), relayed.clone()));
        runtime().spawn(datagrams(udp, target, faults));
        Self { address, relayed, fault }
    }

    /// Listening address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// TCP bytes relayed to the target and from it.
    pub fn relayed(&self) -> (u64, u64) {
        let relayed = &self.relayed;
        (relayed.forward.load(Ordering::Relaxed), relayed.back.load(Ordering::Relaxed))
    }

    /// Sets the faults.
    pub fn set(&self, fault: RelayFault) {
        self.fault.send_replace(fault);
    }
}

/// Binds a port that is free for both TCP and UDP.
fn bind() -> (std::net::TcpListener, std::net::UdpSocket) {
    loop {
        let tcp = std::net::TcpListener::bind(crate::fleet::LOOPBACK).unwrap();
        if let Ok(udp) = std::net::UdpSocket::bind(tcp.local_addr().unwrap()) {
            tcp.set_nonblocking(true).unwrap();
            udp.set_nonblocking(true).unwrap();
            return (tcp, udp);
        }
    }
}

/// Waits until the relay closes its connections, or is dropped.
async fn until_closed(mut faults: watch::Receiver<RelayFault>) {
    let _ = faults.wait_for(|f| f.closed).await;
}

/// Waits until traffic passes in this direction; returns its delay, or `None` once the relay is
/// dropped.
async fn until_open(
    faults: &mut watch::Receiver<RelayFault>,
    direction: Direction,
) -> Option<Duration> {
    faults.wait_for(|f| !f.stops(direction)).await.ok().map(|f| f.delay)
}

async fn accept(
    listener: std::net::TcpListener,
    target: SocketAddr,
    faults: watch::Receiver<RelayFault>,
    relayed: Arc<Relayed>,
) {
    let listener = TcpListener::from_std(listener).unwrap();
    let mut dropped = faults.clone();
    let stopped = async move { while dropped.changed().await.is_ok() {} };
    let mut stopped = std::pin::pin!(stopped);
    while let Some(accepted) = run_until(listener.accept(), &mut stopped).await {
        let Ok((stream, _)) = accepted else { continue };
        if !faults.borrow().closed {
            let (faults, relayed) = (faults.clone(), relayed.clone());
            tokio::spawn(async move {
                let relaying = relay(stream, target, &faults, &relayed);
                run_until(relaying, until_closed(faults.clone())).await;
            });
        }
    }
}

async fn relay(
    client: TcpStream,
    target: SocketAddr,
    faults: &watch::Receiver<RelayFault>,
    relayed: &Relayed,
) {
    if until_open(&mut faults.clone(), Direction::Forward).await.is_none() {
        return;
    }
    let Ok(upstream) = TcpStream::connect(target).await else { return };
    let _ = client.set_nodelay(true);
    let _ = upstream.set_nodelay(true);
    let (client_read, client_write) = client.into_split();
    let (upstream_read, upstream_write) = upstream.into_split();
    let forward =
        copy(client_read, upstream_write, faults.clone(), Direction::Forward, &relayed.forward);
    let back = copy(upstream_read, client_write, faults.clone(), Direction::Back, &relayed.back);
    run_until(forward, back).await;
}

/// Copies one direction; chunks in flight are delayed in parallel, not one after another.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<RelayFault>,
    direction: Direction,
    relayed: &AtomicU64,
) {
    let (sender, mut chunks) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNKS_IN_FLIGHT);
    let read = async {
        let mut chunk = vec![0; CHUNK_SIZE];
        while let Ok(len @ 1..) = from.read(&mut chunk).await {
            if sender.send((Instant::now(), chunk[..len].to_vec())).await.is_err() {
                break;
            }
        }
        drop(sender);
        // Never completes: the write side ends the pair once it has sent the chunks in flight.
        std::future::pending::<()>().await;
    };
    let write = async {
        while let Some((time, chunk)) = chunks.recv().await {
            let Some(delay) = until_open(&mut faults, direction).await else { return };
            tokio::time::sleep_until((time + delay).into()).await;
            if to.write_all(&chunk).await.is_err() {
                return;
            }
            relayed.fetch_add(chunk.len() as u64, Ordering::Relaxed);
        }
    };
    run_until(read, write).await;
}

async fn datagrams(
    socket: std::net::UdpSocket,
    target: SocketAddr,
    faults: watch::Receiver<RelayFault>,
) {
    let socket = Arc::new(UdpSocket::from_std(socket).unwrap());
    let mut senders: Map<SocketAddr, Arc<UdpSocket>> = Map::default();
    let mut datagram = vec![0; 1 << 16];
    let mut dropped = faults.clone();
    let stopped = async move { while dropped.changed().await.is_ok() {} };
    let mut stopped = std::pin::pin!(stopped);
    while let Some(received) = run_until(socket.recv_from(&mut datagram), &mut stopped).await {
        let Ok((len, from)) = received else { continue };
        let upstream = match senders.get(&from) {
            Some(upstream) => upstream.clone(),
            None => {
                let Ok(upstream) = UdpSocket::bind(crate::fleet::LOOPBACK).await else { continue };
                let upstream = Arc::new(upstream);
                senders.insert(from, upstream.clone());
                tokio::spawn(return_datagrams(
                    upstream.clone(),
                    socket.clone(),
                    from,
                    faults.clone(),
                ));
                upstream
            }
        };
        relay_datagram(
            upstream,
            target,
            datagram[..len].to_vec(),
            *faults.borrow(),
            Direction::Forward,
        );
    }
}

/// Returns datagrams received at `upstream` to the sender that this socket belongs to.
async fn return_datagrams(
    upstream: Arc<UdpSocket>,
    client: Arc<UdpSocket>,
    sender: SocketAddr,
    faults: watch::Receiver<RelayFault>,
) {
    let mut datagram = vec![0; 1 << 16];
    let mut dropped = faults.clone();
    let stopped = async move { while dropped.changed().await.is_ok() {} };
    let mut stopped = std::pin::pin!(stopped);
    while let Some(received) = run_until(upstream.recv_from(&mut datagram), &mut stopped).await {
        let Ok((len, _)) = received else { continue };
        relay_datagram(
            client.clone(),
            sender,
            datagram[..len].to_vec(),
            *faults.borrow(),
            Direction::Back,
        );
    }
}

/// Sends a datagram on, or drops it if its direction is cut or the relay is closed.
fn relay_datagram(
    socket: Arc<UdpSocket>,
    to: SocketAddr,
    datagram: Vec<u8>,
    fault: RelayFault,
    direction: Direction,
) {
    if fault.stops(direction) || fault.closed {
        return;
    }
    tokio::spawn(async move {
        tokio::time::sleep(fault.delay).await;
        let _ = socket.send_to(&datagram, to).await;
    });
}
