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
    DATAGRAM_LIMIT, Datagram, Decoder, FoundPart, GatherMessage, GatherReply, Liveness, Peer,
    PeerRequest, Purpose, to_frame,
};
use serde_json::json;

use platform_support::{
    Host, Store, Target, TargetBehaviour, configuration, unused_address, wait_until,
};

const SHARDS: [&str; 4] = ["s1", "s2", "s3", "s4"];

/// Time between two datagrams to a host that sends none.
const NEWS_INTERVAL: Duration = Duration::from_millis(50);

/// A host of a small machine, and the reply that the gatherer it knows sends to each query.
struct Setup {
    host: Host,
    reply: Arc<Mutex<GatherReply>>,
    _store: Store,
    _targets: Vec<Target>,
}

/// A host that the gatherer gathers all parts for.
fn setup() -> Setup {
    let setup = setup_with("here", 0.1, good_reply());
    wait_until(|| setup.is_delegated());
    setup
}

/// A host with this share of a core, and a gatherer in a data centre with all shards but the first.
fn setup_with(centre: &'static str, share: f64, reply: GatherReply) -> Setup {
    let store = Store::start();
    let mut config = configuration(3, &SHARDS, "desk");
    for service in config["Upstreams"].as_array_mut().unwrap() {
        // Too few for two hosts, so that one of them gathers.
        service["MaxConns"] = 2.into();
    }
    config["Routes"][0]["MinCoverage"] = 0.25.into();
    store.put("op/config", &config);
    let targets: Vec<Target> = SHARDS.map(|_| Target::start(&[1], TargetBehaviour::Normal)).into();
    for (target, shard) in targets.iter().zip(SHARDS) {
        let mut entry = target.announcement(shard);
        entry["Zone"] = if shard == SHARDS[0] { "here" } else { centre }.into();
        store.put(&format!("servers/{}", target.id), &entry);
    }
    let [callers, ready] = [unused_address(), unused_address()];
    // All hosts use the same port, each on an address of its own.
    let port = unused_address().port();
    let [own, gatherer] = [2, 3].map(|n| SocketAddr::from(([127, 0, 0, n], port)));
    let settings = json!({
        "name": "host-2", "data_centre": "here",
        "listen": { "callers": callers, "ready": ready, "hosts": own },
        "store": store.address, "seeds": [own],
        "machine": { "share": share, "cores": 1, "link": 100 },
    });
    let reply = Arc::new(Mutex::new(reply));
    serve_links(gatherer, reply.clone());
    let host = Host::start_with_settings(callers, ready, &settings, Stdio::null());
    join(gatherer, own, centre);
    host.await_ready();
    Setup { host, reply, _store: store, _targets: targets }
}

fn good_reply() -> GatherReply {
    GatherReply::Answer { signatures: b"a, b, c, d".to_vec(), parts: 4, body: b"gathered".to_vec() }
}

impl Setup {
    fn is_delegated(&self) -> bool {
        let answer = self.host.get("/query/x");
        (answer.status(), &*answer.body) == (200, b"gathered")
    }
}

fn part(shard: u32, signature: &[u8], body: &[u8]) -> GatherReply {
    let parts = vec![FoundPart { shard, signature: signature.to_vec() }];
    GatherReply::Parts { parts, body: body.to_vec(), shares: Vec::new(), last: true }
}

/// Plays a host of a large machine that `host` takes for alive: answers its pings.
fn join(own: SocketAddr, host: SocketAddr, centre: &'static str) {
    let socket = UdpSocket::bind(own).unwrap();
    // The host is told of this one until it pings it, and does not know of it before.
    socket.set_read_timeout(Some(NEWS_INTERVAL)).unwrap();
    thread::spawn(move || {
        let mut bytes = [0; DATAGRAM_LIMIT];
        let mut last = None;
        loop {
            if let Ok((len, _)) = socket.recv_from(&mut bytes) {
                last = Some(Datagram::decode(&bytes[..len]).unwrap());
            }
            let datagram = play(own, centre, last.as_ref());
            let _ = socket.send_to(&datagram.encode().unwrap(), host);
        }
    });
}

/// Datagram of the played host, in reply to one of the host if there is one.
fn play(own: SocketAddr, centre: &str, received: Option<&Datagram>) -> Datagram {
    let from = Peer {
        name: "host-3".into(),
        data_centre: centre.into(),
        address: own,
        incarnation: 1,
        liveness: Liveness::Alive,
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
        answer(b"a, b, c, d, e", 5),
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

#[test]
fn odd_part_of_another_data_centre_is_left_out() {
    let setup = setup_with("there", 0.5, part(0, b"good", &[9; 16]));
    let has_both = || {
        let answer = setup.host.get("/query/x");
        answer.header("part-seals").is_some_and(|seals| seals.contains("good"))
    };
    wait_until(has_both);
    for signature in [&b""[..], b"a, b", b"a b", b"a\nb", b"\xff", b"\0"] {
        *setup.reply.lock().unwrap() = part(0, signature, &[9; 16]);

        let answer = setup.host.get("/query/x");

        let seals = answer.header("part-seals").unwrap_or_default();
        assert_eq!((answer.status(), answer.header("missing-parts")), (200, Some("3")));
        assert!(seals.starts_with("seal.") && !seals.contains(','), "{seals:?}");
        assert_eq!(answer.body, [1; 16], "{signature:?}");
    }
}
