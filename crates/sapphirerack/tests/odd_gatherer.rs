//! A host whose queries are gathered by another one, which the test plays and which sends odd
//! replies.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod platform_support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::process::Stdio;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use sapphirerack_protocol::{
    DATAGRAM_LIMIT, Datagram, Decoder, GatherMessage, GatherReply, PeerRequest, Purpose, to_frame,
};
use serde_json::json;

use platform_support::{
    Host, Store, Target, TargetBehaviour, configuration, unused_address, wait_until,
};

const SHARDS: [&str; 2] = ["s1", "s2"];

/// A host of a small machine, and the reply that the gatherer it knows sends to each query.
struct Setup {
    host: Host,
    reply: Arc<Mutex<GatherReply>>,
    _store: Store,
    _targets: Vec<Target>,
}

fn setup() -> Setup {
    let store = Store::start();
    let mut config = configuration(3, &SHARDS, "desk");
    for service in config["Upstreams"].as_array_mut().unwrap() {
        // Too few for two hosts, so that one of them gathers.
        service["MaxConns"] = 2.into();
    }
    store.put("op/config", &config);
    let targets: Vec<Target> = SHARDS.map(|_| Target::start(&[1], TargetBehaviour::Normal)).into();
    for (target, shard) in targets.iter().zip(SHARDS) {
        store.put(&format!("servers/{}", target.id), &target.announcement(shard));
    }
    let [callers, ready] = [unused_address(), unused_address()];
    // All hosts use the same port, each on an address of its own.
    let port = unused_address().port();
    let [own, gatherer] = [2, 3].map(|n| SocketAddr::from(([127, 0, 0, n], port)));
    let settings = json!({
        "name": "host-2", "data_centre": "here",
        "listen": { "callers": callers, "ready": ready, "hosts": own },
        "store": store.address, "seeds": [own],
        "machine": { "share": 0.1, "cores": 1, "link": 100 },
    });
    let reply = Arc::new(Mutex::new(good_reply()));
    serve_links(gatherer, reply.clone());
    let host = Host::start_with_settings(callers, ready, &settings, Stdio::null());
    join(gatherer, own);
    host.await_ready();
    let setup = Setup { host, reply, _store: store, _targets: targets };
    wait_until(|| setup.is_delegated());
    setup
}

fn good_reply() -> GatherReply {
    GatherReply::Answer { signatures: b"a, b".to_vec(), parts: 2, body: b"gathered".to_vec() }
}

impl Setup {
    fn is_delegated(&self) -> bool {
        let answer = self.host.get("/query/x");
        (answer.status(), &*answer.body) == (200, b"gathered")
    }
}

/// Plays a host of a large machine that `host` takes for alive: answers its pings.
fn join(own: SocketAddr, host: SocketAddr) {
    let socket = UdpSocket::bind(own).unwrap();
    thread::spawn(move || {
        let mut bytes = [0; DATAGRAM_LIMIT];
        let mut last = None;
        loop {
            // The host is told of this one until it pings it.
            socket.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
            if let Ok((len, _)) = socket.recv_from(&mut bytes) {
                last = Some(Datagram::decode(&bytes[..len]).unwrap());
            }
            let datagram = play(own, last.as_ref());
            let _ = socket.send_to(&datagram.encode().unwrap(), host);
        }
    });
}

/// Datagram of the played host, in reply to one of the host if there is one.
fn play(own: SocketAddr, received: Option<&Datagram>) -> Datagram {
    let from = sapphirerack_protocol::Peer {
        name: "host-3".into(),
        data_centre: "here".into(),
        address: own,
        incarnation: 1,
        liveness: sapphirerack_protocol::Liveness::Alive,
        age: 0,
        capacity: 1_000,
    };
    let purpose = match received.map(|d| d.purpose) {
        Some(Purpose::Ping(seq)) => Purpose::Ack(seq),
        _ => Purpose::News,
    };
    Datagram {
        from,
        purpose,
        version: received.map_or(0, |d| d.version),
        peers: Vec::new(),
        summaries: Vec::new(),
        topics: Vec::new(),
        stamp: 0,
        echo: received.map(|d| d.stamp),
    }
}

/// Accepts all queries on links and sends the reply to each.
fn serve_links(address: SocketAddr, reply: Arc<Mutex<GatherReply>>) {
    let listener = TcpListener::bind(address).unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let reply = reply.clone();
            thread::spawn(move || serve_link(stream, &reply));
        }
    });
}

fn serve_link(mut stream: TcpStream, reply: &Mutex<GatherReply>) {
    let mut decoder = Decoder::default();
    let mut buffer = [0; 4_096];
    let mut is_link = false;
    while let Ok(len @ 1..) = stream.read(&mut buffer) {
        decoder.push(&buffer[..len]);
        if !is_link {
            is_link = matches!(decoder.next_as(), Ok(Some(PeerRequest::Link)));
        }
        while let Ok(Some(message)) = decoder.next_as() {
            let GatherMessage::Query { id, .. } = message else { continue };
            let reply = GatherMessage::Reply { id, reply: reply.lock().unwrap().clone() };
            for message in [GatherMessage::Accepted { id }, reply] {
                stream.write_all(&to_frame(&message).unwrap()).unwrap();
            }
        }
    }
}

#[test]
fn odd_answer_of_a_gatherer_reaches_no_caller() {
    let setup = setup();
    let answer = |signatures: &[u8], parts| GatherReply::Answer {
        signatures: signatures.to_vec(),
        parts,
        body: b"odd".to_vec(),
    };
    for reply in [
        answer(b"a, b, c", 3),
        answer(b"a, b", u32::MAX),
        answer(b"a, b", 1),
        answer(b"a", 2),
        answer(b"a,,", 2),
        answer(b"", 1),
        answer(b"", 0),
        answer(b"a,\nb", 2),
    ] {
        *setup.reply.lock().unwrap() = reply.clone();

        let answer = setup.host.get("/query/x");

        assert_eq!((answer.status(), answer.body.len()), (502, 0), "{reply:?}: {answer:?}");
        *setup.reply.lock().unwrap() = good_reply();
        assert!(setup.is_delegated(), "after {reply:?}");
    }
}
