//! The relay forwards traffic and cuts it on request.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::Duration;

use sapphirerack_lab::fleet::LOOPBACK;
use sapphirerack_lab::relay::{Relay, RelayFault};

const TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);

/// Starts an echo server.
fn echo() -> std::net::SocketAddr {
    let listener = TcpListener::bind(LOOPBACK).unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let stream = stream.unwrap();
            thread::spawn(move || std::io::copy(&mut &stream, &mut &stream));
        }
    });
    address
}

fn exchange(stream: &mut TcpStream, timeout: Duration) -> std::io::Result<[u8; 4]> {
    stream.set_read_timeout(Some(timeout))?;
    stream.write_all(b"ping")?;
    let mut answer = [0; 4];
    stream.read_exact(&mut answer)?;
    Ok(answer)
}

#[test]
fn cut_blocks_traffic_until_it_is_lifted() {
    let relay = Relay::start(echo());
    let mut stream = TcpStream::connect(relay.address()).unwrap();
    assert_eq!(&exchange(&mut stream, TIMEOUT).unwrap(), b"ping");

    relay.set(RelayFault { cut: true, ..RelayFault::default() });
    assert!(exchange(&mut stream, SHORT_TIMEOUT).is_err());

    relay.set(RelayFault::default());
    assert_eq!(&exchange(&mut stream, TIMEOUT).unwrap(), b"ping");
}

#[test]
fn closed_relay_closes_connections() {
    let relay = Relay::start(echo());
    let mut stream = TcpStream::connect(relay.address()).unwrap();
    assert!(exchange(&mut stream, TIMEOUT).is_ok());

    relay.set(RelayFault { closed: true, ..RelayFault::default() });

    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(stream.read(&mut [0; 4]).unwrap(), 0);
}

#[test]
fn datagrams_are_forwarded_and_dropped_when_cut() {
    let upstream = UdpSocket::bind(LOOPBACK).unwrap();
    upstream.set_read_timeout(Some(TIMEOUT)).unwrap();
    let relay = Relay::start(upstream.local_addr().unwrap());
    let client = UdpSocket::bind(LOOPBACK).unwrap();
    let mut datagram = [0; 16];

    client.send_to(b"one", relay.address()).unwrap();
    let (len, from) = upstream.recv_from(&mut datagram).unwrap();
    assert_eq!(&datagram[..len], b"one");
    upstream.send_to(b"back", from).unwrap();
    client.set_read_timeout(Some(TIMEOUT)).unwrap();
    assert_eq!(client.recv_from(&mut datagram).unwrap().0, 4);

    relay.set(RelayFault { cut: true, ..RelayFault::default() });
    client.send_to(b"two", relay.address()).unwrap();
    upstream.set_read_timeout(Some(SHORT_TIMEOUT)).unwrap();
    assert!(upstream.recv_from(&mut datagram).is_err());
}
