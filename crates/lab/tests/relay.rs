//! The relay passes traffic, and cuts it as set.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream, UdpSocket};
use std::thread;
use std::time::Duration;

use sapphirerack_lab::fleet::LOOPBACK;
use sapphirerack_lab::relay::{Relay, RelayFault};

const PATIENCE: Duration = Duration::from_secs(10);
const SHORT: Duration = Duration::from_millis(100);

/// Server that sends back what it gets.
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

fn exchange(stream: &mut TcpStream, patience: Duration) -> std::io::Result<[u8; 4]> {
    stream.set_read_timeout(Some(patience))?;
    stream.write_all(b"ping")?;
    let mut answer = [0; 4];
    stream.read_exact(&mut answer)?;
    Ok(answer)
}

#[test]
fn cut_holds_traffic_back_and_mending_lets_it_pass() {
    let relay = Relay::start(echo());
    let mut stream = TcpStream::connect(relay.address()).unwrap();
    assert_eq!(&exchange(&mut stream, PATIENCE).unwrap(), b"ping");

    relay.set(RelayFault { cut: true, ..RelayFault::default() });
    assert!(exchange(&mut stream, SHORT).is_err());

    relay.set(RelayFault::default());
    assert_eq!(&exchange(&mut stream, PATIENCE).unwrap(), b"ping");
}

#[test]
fn closed_relay_ends_connections() {
    let relay = Relay::start(echo());
    let mut stream = TcpStream::connect(relay.address()).unwrap();
    assert!(exchange(&mut stream, PATIENCE).is_ok());

    relay.set(RelayFault { closed: true, ..RelayFault::default() });

    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    assert_eq!(stream.read(&mut [0; 4]).unwrap(), 0);
}

#[test]
fn datagrams_pass_and_are_lost_when_cut() {
    let far = UdpSocket::bind(LOOPBACK).unwrap();
    far.set_read_timeout(Some(PATIENCE)).unwrap();
    let relay = Relay::start(far.local_addr().unwrap());
    let near = UdpSocket::bind(LOOPBACK).unwrap();
    let mut datagram = [0; 16];

    near.send_to(b"one", relay.address()).unwrap();
    let (len, from) = far.recv_from(&mut datagram).unwrap();
    assert_eq!(&datagram[..len], b"one");
    far.send_to(b"back", from).unwrap();
    near.set_read_timeout(Some(PATIENCE)).unwrap();
    assert_eq!(near.recv_from(&mut datagram).unwrap().0, 4);

    relay.set(RelayFault { cut: true, ..RelayFault::default() });
    near.send_to(b"two", relay.address()).unwrap();
    far.set_read_timeout(Some(SHORT)).unwrap();
    assert!(far.recv_from(&mut datagram).is_err());
}
