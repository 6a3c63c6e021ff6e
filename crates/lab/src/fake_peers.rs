//! Stand-ins for many peers of one host: they acknowledge its pings and count its traffic.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use sapphirerack_catalogue::Name;
use sapphirerack_clients::{HostEntry, HostState};
use sapphirerack_protocol::{DATAGRAM_LIMIT, Datagram, Liveness, Peer, Purpose};
use tokio::net::UdpSocket;
use tokio::sync::watch;

use crate::fleet::LOOPBACK;
use crate::server::{run_until, runtime};

/// Datagrams and bytes received and sent by the peers.
#[derive(Debug, Default)]
struct Counts {
    datagrams: AtomicU64,
    received: AtomicU64,
    sent: AtomicU64,
}

/// Running peers; their sockets close when dropped.
pub struct FakePeers {
    entries: Vec<HostEntry>,
    counts: Arc<Counts>,
    _stop: watch::Sender<()>,
}

impl FakePeers {
    /// Starts `count` peers in a data centre.
    pub fn start(count: usize, data_centre: &Name) -> Self {
        let counts = Arc::new(Counts::default());
        let (stop, stopped) = watch::channel(());
        let peer = |i| {
            let name: Name = format!("peer-{i}").into();
            let socket = std::net::UdpSocket::bind(LOOPBACK).unwrap();
            socket.set_nonblocking(true).unwrap();
            let address = socket.local_addr().unwrap();
            let (counts, mut stopped) = (counts.clone(), stopped.clone());
            let own = own_entry(&name, data_centre, address);
            runtime().spawn(async move {
                let replies = acknowledge(socket, own, &counts);
                run_until(replies, stopped.changed()).await;
            });
            HostEntry { name, data_centre: data_centre.clone(), address, state: HostState::Live }
        };
        let entries = (0..count).map(peer).collect();
        Self { entries, counts, _stop: stop }
    }

    /// Host list entries of the peers.
    pub fn entries(&self) -> &[HostEntry] {
        &self.entries
    }

    /// Datagrams received, bytes received and bytes sent.
    pub fn counts(&self) -> [u64; 3] {
        let counts = &self.counts;
        [&counts.datagrams, &counts.received, &counts.sent].map(|c| c.load(Ordering::Relaxed))
    }
}

fn own_entry(name: &Name, data_centre: &Name, address: SocketAddr) -> Peer {
    Peer {
        name: name.clone(),
        data_centre: data_centre.clone(),
        address,
        incarnation: 1,
        liveness: Liveness::Alive,
        age: 0,
        capacity: 0,
    }
}

async fn acknowledge(socket: std::net::UdpSocket, own: Peer, counts: &Counts) {
    let socket = UdpSocket::from_std(socket).unwrap();
    let mut bytes = vec![0; DATAGRAM_LIMIT];
    while let Ok((len, from)) = socket.recv_from(&mut bytes).await {
        counts.datagrams.fetch_add(1, Ordering::Relaxed);
        counts.received.fetch_add(len as u64, Ordering::Relaxed);
        let Ok(datagram) = Datagram::decode(&bytes[..len]) else { continue };
        if let Purpose::Ping(seq) = datagram.purpose {
            let ack = ack(own.clone(), seq, datagram).encode().unwrap();
            counts.sent.fetch_add(ack.len() as u64, Ordering::Relaxed);
            let _ = socket.send_to(&ack, from).await;
        }
    }
}

/// An ack without gossip.
fn ack(from: Peer, seq: u64, ping: Datagram) -> Datagram {
    Datagram {
        from,
        purpose: Purpose::Ack(seq),
        peers: Vec::new(),
        summaries: Vec::new(),
        topics: Vec::new(),
        echo: Some(ping.stamp),
        ..ping
    }
}
