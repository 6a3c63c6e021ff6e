//! As `crowds`, for hosts that run `sapphirerack serve`.

#![allow(clippy::unwrap_used)]

mod crowd_support;

use std::io::{self, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::MutexGuard;
use std::time::Duration;

use crowd_support::{
    BODY_LIMIT, Body, CROWD, Crowd, PIECE, Process, SMALL_CHUNK, SMALL_CHUNK_CLIENTS, connect,
    has_input, lock_crowd, read_head, send_bytes,
};
use sapphirerack_lab::fleet::{Fleet, Plan, Shape};
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_sapphirerack");

/// Clients with a head each, and what each sends of it; in sum more than the machine's memory.
const HEADS: usize = 600;
const HEAD_SIZE: usize = 400 << 10;

/// Connections that a host accepts, and its idle clients.
const CONNECTIONS: usize = 1024;
const IDLE_CLIENTS: usize = CONNECTIONS + 100;

/// A host with one target.
struct Setup {
    fleet: Fleet,
    _alone: MutexGuard<'static, ()>,
}

impl Setup {
    fn process(&self) -> Process {
        Process(self.fleet.hosts[0].id())
    }

    fn gather(
        &self,
        count: usize,
        send: impl Fn(usize, &mut TcpStream) -> io::Result<()> + Sync,
    ) -> Crowd {
        Crowd::gather(self.fleet.hosts[0].callers, count, send)
    }

    /// A crowd that sends queries with bodies.
    fn gather_bodies(&self, count: usize, body: Body) -> Crowd {
        self.gather(count, |_, stream| body.send(stream, |line| format!("{SEARCH}{line}\r\n")))
    }

    /// Asserts that the process, once it is idle, is within its bounds and answers an ordinary
    /// caller.
    fn assert_sound(&self) {
        self.process().await_idle();
        self.process().assert_within_machine();
        assert_eq!(self.ask(), Some(200), "an ordinary query");
        self.process().assert_within_machine();
    }

    /// Status of the answer to an ordinary query.
    fn ask(&self) -> Option<u16> {
        let mut stream = connect(self.fleet.hosts[0].callers).ok()?;
        stream.write_all(format!("{SEARCH}Content-Length: 1\r\n\r\nx").as_bytes()).ok()?;
        read_head(&stream).map(|(status, _)| status)
    }
}

/// Beginning of a query.
const SEARCH: &str = "POST /search/search HTTP/1.1\r\nHost: find.example\r\n";

fn setup() -> Setup {
    let alone = lock_crowd();
    let shape = Shape {
        data_centres: vec!["leith".into()],
        hosts: 1,
        shards: 1,
        slots: 2,
        service: Duration::from_millis(1),
        stragglers: 0.0,
        seed: 1,
    };
    let settings = json!({ "limits": { "body": BODY_LIMIT } });
    let fleet = Fleet::launch(Path::new(PROGRAM), Plan::from(&shape).with_settings(settings));
    fleet.apply(Path::new(PROGRAM));
    fleet.await_ready();
    Setup { fleet, _alone: alone }
}

#[test]
fn serve_crowd_of_bodies_that_lack_their_end() {
    let setup = setup();

    let _crowd = setup.gather_bodies(CROWD, Body::short(PIECE));

    setup.assert_sound();
}

#[test]
fn serve_crowd_of_large_chunks_that_lack_their_end() {
    let setup = setup();

    let body = Body::Chunked { sent: BODY_LIMIT, chunk: PIECE };
    let _crowd = setup.gather_bodies(CROWD, body);

    setup.assert_sound();
}

#[test]
fn serve_crowd_of_small_chunks_that_lack_their_end() {
    let setup = setup();

    let body = Body::Chunked { sent: BODY_LIMIT, chunk: SMALL_CHUNK };
    let _crowd = setup.gather_bodies(SMALL_CHUNK_CLIENTS, body);

    setup.assert_sound();
}

#[test]
fn serve_crowd_of_bodies_over_the_limit() {
    let setup = setup();

    let body = Body::Chunked { sent: 2 * BODY_LIMIT, chunk: PIECE };
    let _crowd = setup.gather_bodies(CROWD, body);

    setup.assert_sound();
}

#[test]
fn serve_crowd_of_heads_that_lack_their_end() {
    let setup = setup();

    let _crowd = setup.gather(HEADS, |_, stream| {
        stream.write_all(format!("{SEARCH}X-Long: ").as_bytes())?;
        send_bytes(stream, HEAD_SIZE, PIECE)
    });

    setup.assert_sound();
}

/// A host closes idle connections after a while; the crowd is in the way until then.
#[test]
fn serve_crowd_of_clients_that_send_nothing() {
    let setup = setup();

    let _crowd = Crowd::connect(setup.fleet.hosts[0].callers, IDLE_CLIENTS);

    assert_eq!(setup.ask(), Some(200), "an ordinary query");
    let open = setup.process().descriptors();
    assert!(open <= CONNECTIONS, "{open} descriptors open");
}

#[test]
fn serve_crowd_reads_true_refusals() {
    let setup = setup();

    let crowd = setup.gather_bodies(CROWD, Body::short(PIECE));

    setup.process().await_idle();
    let refused: Vec<_> = crowd.streams.iter().filter(|s| has_input(s)).collect();
    assert!(!refused.is_empty(), "nobody was refused");
    for stream in refused {
        let (status, head) = read_head(stream).unwrap();
        assert!([503, 408].contains(&status), "{head:?}");
    }
    let received = setup.fleet.targets[0].counters().received;
    assert_eq!(received, 0, "requests that ran");
}
