//! Relay between two processes that can cut or delay their traffic, for TCP and UDP.

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

const CHUNK: usize = 16 << 10;

/// Chunks of one direction that may be under way.
const CHUNKS: usize = 256;

/// What a relay does to the traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RelayFault {
    /// Nothing passes; connections stay open and wait, as when packets are lost.
    pub cut: bool,
    /// Connections are closed and new ones closed at once.
    pub closed: bool,
    /// Nothing passes back; what is sent forth arrives.
    pub cut_replies: bool,
    /// Time by which every chunk and datagram is delayed.
    pub delay: Duration,
}

impl RelayFault {
    fn stops(&self, way: Way) -> bool {
        self.cut || (self.cut_replies && way == Way::Back)
    }
}

/// Direction of traffic.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Way {
    /// Towards the target.
    Forth,
    /// From the target.
    Back,
}

/// Bytes of TCP that a relay has passed.
#[derive(Debug, Default)]
struct Passed {
    forth: AtomicU64,
    back: AtomicU64,
}

/// A running relay; dropping it closes its connections.
pub struct Relay {
    address: SocketAddr,
    passed: Arc<Passed>,
    fault: watch::Sender<RelayFault>,
}

impl Relay {
    /// Relays TCP and UDP at one port of 127.0.0.1 to `target`.
    pub fn start(target: SocketAddr) -> Self {
        let (tcp, udp) = bind();
        Self::serve(tcp, udp, target)
    }

    /// The same at a given address.
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
        let passed = Arc::new(Passed::default());
        runtime().spawn(accept(tcp, target, faults.clone(), passed.clone()));
        runtime().spawn(datagrams(udp, target, faults));
        Self { address, passed, fault }
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Bytes of TCP passed towards the target and back.
    pub fn passed(&self) -> (u64, u64) {
        let passed = &self.passed;
        (passed.forth.load(Ordering::Relaxed), passed.back.load(Ordering::Relaxed))
    }

    /// Changes what it does to the traffic.
    pub fn set(&self, fault: RelayFault) {
        self.fault.send_replace(fault);
    }
}

/// A port that is free for both TCP and UDP.
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
async fn closing(mut faults: watch::Receiver<RelayFault>) {
    let _ = faults.wait_for(|f| f.closed).await;
}

/// Waits until traffic passes that way.
async fn open(faults: &mut watch::Receiver<RelayFault>, way: Way) -> Option<Duration> {
    faults.wait_for(|f| !f.stops(way)).await.ok().map(|f| f.delay)
}

async fn accept(
    listener: std::net::TcpListener,
    target: SocketAddr,
    faults: watch::Receiver<RelayFault>,
    passed: Arc<Passed>,
) {
    let listener = TcpListener::from_std(listener).unwrap();
    let mut dropped = faults.clone();
    let ended = async move { while dropped.changed().await.is_ok() {} };
    let mut ended = std::pin::pin!(ended);
    while let Some(accepted) = run_until(listener.accept(), &mut ended).await {
        let Ok((stream, _)) = accepted else { continue };
        if !faults.borrow().closed {
            let (faults, passed) = (faults.clone(), passed.clone());
            tokio::spawn(async move {
                let relayed = relay(stream, target, &faults, &passed);
                run_until(relayed, closing(faults.clone())).await;
            });
        }
    }
}

async fn relay(
    near: TcpStream,
    target: SocketAddr,
    faults: &watch::Receiver<RelayFault>,
    passed: &Passed,
) {
    if open(&mut faults.clone(), Way::Forth).await.is_none() {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = near.set_nodelay(true);
    let _ = far.set_nodelay(true);
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let forth = pass(near_read, far_write, faults.clone(), Way::Forth, &passed.forth);
    let back = pass(far_read, near_write, faults.clone(), Way::Back, &passed.back);
    run_until(forth, back).await;
}

/// Passes one direction; chunks under way are delayed, not slowed.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut faults: watch::Receiver<RelayFault>,
    way: Way,
    passed: &AtomicU64,
) {
    let (sender, mut chunks) = mpsc::channel::<(Instant, Vec<u8>)>(CHUNKS);
    let read = async {
        let mut chunk = vec![0; CHUNK];
        while let Ok(len @ 1..) = from.read(&mut chunk).await {
            if sender.send((Instant::now(), chunk[..len].to_vec())).await.is_err() {
                break;
            }
        }
        drop(sender);
        // The writing side ends the pair once it has sent what is under way.
        std::future::pending::<()>().await;
    };
    let write = async {
        while let Some((time, chunk)) = chunks.recv().await {
            let Some(delay) = open(&mut faults, way).await else { return };
            tokio::time::sleep_until((time + delay).into()).await;
            if to.write_all(&chunk).await.is_err() {
                return;
            }
            passed.fetch_add(chunk.len() as u64, Ordering::Relaxed);
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
    let ended = async move { while dropped.changed().await.is_ok() {} };
    let mut ended = std::pin::pin!(ended);
    while let Some(received) = run_until(socket.recv_from(&mut datagram), &mut ended).await {
        let Ok((len, from)) = received else { continue };
        let far = match senders.get(&from) {
            Some(far) => far.clone(),
            None => {
                let Ok(far) = UdpSocket::bind(crate::fleet::LOOPBACK).await else { continue };
                let far = Arc::new(far);
                senders.insert(from, far.clone());
                tokio::spawn(answers(far.clone(), socket.clone(), from, faults.clone()));
                far
            }
        };
        forward(far, target, datagram[..len].to_vec(), *faults.borrow(), Way::Forth);
    }
}

/// Passes datagrams back to the sender whose traffic `far` carries.
async fn answers(
    far: Arc<UdpSocket>,
    near: Arc<UdpSocket>,
    sender: SocketAddr,
    faults: watch::Receiver<RelayFault>,
) {
    let mut datagram = vec![0; 1 << 16];
    let mut dropped = faults.clone();
    let ended = async move { while dropped.changed().await.is_ok() {} };
    let mut ended = std::pin::pin!(ended);
    while let Some(received) = run_until(far.recv_from(&mut datagram), &mut ended).await {
        let Ok((len, _)) = received else { continue };
        forward(near.clone(), sender, datagram[..len].to_vec(), *faults.borrow(), Way::Back);
    }
}

/// Sends a datagram on, run_until the relay is cut: then it is lost.
fn forward(socket: Arc<UdpSocket>, to: SocketAddr, datagram: Vec<u8>, fault: RelayFault, way: Way) {
    if fault.stops(way) || fault.closed {
        return;
    }
    tokio::spawn(async move {
        tokio::time::sleep(fault.delay).await;
        let _ = socket.send_to(&datagram, to).await;
    });
}
