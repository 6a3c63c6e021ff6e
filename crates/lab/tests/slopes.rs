//! Tests of the fitted slopes and their table, and of the stand-ins for peers.

#![allow(clippy::unwrap_used)]

use std::net::UdpSocket;
use std::time::Duration;

use sapphirerack_lab::fake_peers::FakePeers;
use sapphirerack_lab::fleet::LOOPBACK;
use sapphirerack_lab::slopes::{Slope, repeat, table};
use sapphirerack_protocol::{DATAGRAM_LIMIT, Datagram, Liveness, Peer, Purpose};

#[test]
fn line_is_fitted_by_least_squares() {
    let points = vec![(1.0, 2.0), (2.0, 1.0), (3.0, 3.0)];

    let slope = Slope::fit("memory", "KB", "target", points);

    assert!((slope.slope - 0.5).abs() < 1e-9, "{slope:?}");
    assert!((slope.intercept - 1.0).abs() < 1e-9, "{slope:?}");
    let row = "| memory, KB | target | 1: 2.000, 2: 1.000, 3: 3.000 | 1.000 | 0.5000 | 0.5000 to 0.5000 |";
    assert!(table(&[slope]).contains(row));
}

#[test]
fn repeats_are_merged_into_medians_and_the_range_of_slopes() {
    let growth = std::cell::RefCell::new(vec![1.0, 9.0, 2.0]);

    let slopes = repeat(3, || {
        let growth = growth.borrow_mut().pop().unwrap();
        vec![Slope::fit("memory", "KB", "target", vec![(0.0, 0.0), (1.0, growth)])]
    });

    assert_eq!((slopes[0].slope, slopes[0].spread), (2.0, (1.0, 9.0)));
}

#[test]
fn fake_peers_acknowledge_pings_and_count_bytes() {
    let centre = "leith".into();
    let peers = FakePeers::start(2, &centre);
    let socket = UdpSocket::bind(LOOPBACK).unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let from = Peer {
        name: "own".into(),
        data_centre: centre,
        address: socket.local_addr().unwrap(),
        incarnation: 1,
        liveness: Liveness::Alive,
        age: 0,
        capacity: 0,
    };
    let ping = Datagram {
        from,
        purpose: Purpose::Ping(7),
        version: 3,
        peers: Vec::new(),
        summaries: Vec::new(),
        topics: Vec::new(),
        stamp: 1,
        echo: None,
    };
    let ping = ping.encode().unwrap();

    socket.send_to(&ping, peers.entries()[1].address).unwrap();

    let mut bytes = [0; DATAGRAM_LIMIT];
    let (len, _) = socket.recv_from(&mut bytes).unwrap();
    let ack = Datagram::decode(&bytes[..len]).unwrap();
    assert_eq!((ack.purpose, &*ack.from.name), (Purpose::Ack(7), "peer-1"));
    assert_eq!(peers.counts(), [1, ping.len() as u64, len as u64]);
}
