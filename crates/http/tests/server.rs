//! Tests of the server over real sockets.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;

use sapphirerack_http::{Capacity, Config, Response, Server, serve};

fn config() -> Config {
    Config::new("127.0.0.1:0".parse().unwrap())
}

fn echo(config: Config) -> Server {
    serve(config, |request| Response::text(200, request.body)).unwrap()
}

fn url(server: &Server) -> String {
    format!("http://{}/", server.address())
}

/// `tiny_http` left some connections of a burst without a thread.
#[test]
fn every_connection_of_a_burst_is_served() {
    let server = echo(config());

    let connect = |_| TcpStream::connect(server.address()).unwrap();
    let mut streams: Vec<TcpStream> = (0..200).map(connect).collect();
    for stream in &mut streams {
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        let mut head = [0; 12];
        stream.read_exact(&mut head).unwrap();

        assert_eq!(&head, b"HTTP/1.1 200");
    }
}

#[test]
fn peer_that_is_still_writing_gets_the_refusal() {
    let server = echo(Config { body: 64 << 10, ..config() });
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();

    stream.write_all(b"POST / HTTP/1.1\r\nhost: x\r\ncontent-length: 204800\r\n\r\n").unwrap();
    for _ in 0..20 {
        std::thread::sleep(Duration::from_millis(5));
        stream.write_all(&[b'x'; 10_240]).unwrap();
    }

    let mut head = [0; 12];
    stream.read_exact(&mut head).unwrap();
    assert_eq!(&head, b"HTTP/1.1 413");
}

#[test]
fn body_above_the_limit_is_refused_as_not_run() {
    let server = echo(Config { body: 10, ..config() });

    let response = minreq::post(url(&server)).with_body(vec![0; 11]).send().unwrap();

    assert_eq!(response.status_code, 413);
    assert!(response.as_str().unwrap().contains("\"not_run\":true"));
}

#[test]
fn refusal_reports_not_run_as_configured_for_its_path() {
    let server = echo(Config { body: 10, not_run: |path| path != "/book", ..config() });

    let post = |path: &str| {
        let url = format!("http://{}{path}", server.address());
        minreq::post(url).with_body(vec![0; 11]).send().unwrap().as_str().unwrap().to_owned()
    };

    assert!(post("/book").contains("\"not_run\":false"));
    assert!(post("/search").contains("\"not_run\":true"));
}

#[test]
fn slow_sender_is_disconnected() {
    let read_timeout = Duration::from_millis(50);
    let server = echo(Config { read_timeout, ..config() });

    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    stream.write_all(b"GET / HT").unwrap();
    let mut rest = Vec::new();

    // The server closes the connection, so that the read ends.
    stream.read_to_end(&mut rest).unwrap();
}

#[test]
fn handler_panic_fails_only_its_request() {
    let config = Config { workers: 1, ..config() };
    let server = serve(config, |request| {
        assert!(request.body.is_empty(), "injected panic");
        Response::text(200, "")
    })
    .unwrap();

    let failed = minreq::post(url(&server)).with_body("x").send().unwrap();
    let served = minreq::post(url(&server)).send().unwrap();

    assert_eq!((failed.status_code, served.status_code), (500, 200));
}

#[test]
fn full_queue_refuses_further_requests() {
    let config = Config { workers: 1, queue: 1, ..config() };
    let (entered, running) = mpsc::channel();
    let (release, gate) = flume::bounded::<()>(0);
    let server = serve(config, move |_| {
        entered.send(()).unwrap();
        let _ = gate.recv();
        Response::text(200, "")
    })
    .unwrap();
    let url = url(&server);
    let post = || {
        let url = url.clone();
        std::thread::spawn(move || minreq::post(url).send().unwrap())
    };

    let first = post();
    running.recv().unwrap();
    // One of these two waits in the queue; the other finds it full.
    let others = [post(), post()];
    while !others.iter().any(std::thread::JoinHandle::is_finished) {
        std::thread::yield_now();
    }
    drop(release);
    let mut codes: Vec<_> = others.map(|t| t.join().unwrap().status_code).to_vec();
    codes.sort_unstable();

    assert_eq!(first.join().unwrap().status_code, 200);
    assert_eq!(codes, [200, 503]);
}

#[test]
fn stop_completes_requests_in_flight() {
    let (entered, running) = mpsc::channel();
    let (release, gate) = flume::bounded::<()>(0);
    let server = serve(config(), move |_| {
        entered.send(()).unwrap();
        let _ = gate.recv();
        Response::text(200, "whole")
    })
    .unwrap();
    let address = url(&server);

    let caller = std::thread::spawn(move || minreq::get(address).send().unwrap());
    running.recv().unwrap();
    let stopper = std::thread::spawn(move || server.stop(Duration::from_secs(20)));
    drop(release);

    assert_eq!(caller.join().unwrap().as_str().unwrap(), "whole");
    assert!(stopper.join().unwrap(), "connections still open when the stop limit expired");
}

/// Opens a connection and sends the beginning of a request with a body of this size.
fn announce(server: &Server, size: usize) -> TcpStream {
    let mut stream = TcpStream::connect(server.address()).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    let head = format!("POST / HTTP/1.1\r\nhost: x\r\ncontent-length: {size}\r\n\r\n");
    stream.write_all(head.as_bytes()).unwrap();
    stream
}

fn read_all(mut stream: TcpStream) -> String {
    let mut text = String::new();
    stream.read_to_string(&mut text).unwrap();
    text
}

#[test]
fn body_that_stalls_is_refused_for_one_that_moves() {
    let capacity = Capacity { memory: 1 << 20, connections: 16 };
    let server = echo(Config { capacity, ..config() });
    let size = 600 << 10;
    let mut stalled = announce(&server, size);
    stalled.write_all(&vec![b'x'; size - 1]).unwrap();
    std::thread::sleep(Duration::from_millis(50));

    let served = minreq::post(url(&server)).with_body(vec![b'x'; size]).send().unwrap();

    assert_eq!(served.status_code, 200);
    let refusal = read_all(stalled).to_lowercase();
    assert!(refusal.starts_with("http/1.1 503 "), "{refusal}");
    assert!(refusal.contains("\r\nretry-after: ") && refusal.ends_with("\"not_run\":true}"));
}

#[test]
fn idle_connection_is_closed_for_a_new_one() {
    let capacity = Capacity { connections: 2, ..config().capacity };
    let server = echo(Config { capacity, ..config() });
    let connect = || TcpStream::connect(server.address()).unwrap();
    let [mut oldest, _next, mut newest] = [(); 3].map(|()| connect());

    newest.write_all(b"GET / HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let mut head = [0; 12];
    newest.read_exact(&mut head).unwrap();

    assert_eq!(&head, b"HTTP/1.1 200");
    oldest.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
    assert_eq!(oldest.read(&mut head).unwrap(), 0);
}

#[test]
fn client_that_takes_nothing_is_disconnected() {
    const ANSWER: usize = 16 << 20;
    let read_timeout = Duration::from_millis(200);
    let config = Config { read_timeout, ..config() };
    let server = serve(config, |_| Response::text(200, vec![b'x'; ANSWER])).unwrap();
    let mut stream = announce(&server, 0);

    std::thread::sleep(10 * read_timeout);
    let mut taken = Vec::new();
    let _ = stream.read_to_end(&mut taken);

    assert!(taken.len() < ANSWER, "the answer was kept");
}

#[test]
fn body_that_is_too_slow_is_refused() {
    let server = echo(Config { read_timeout: Duration::from_millis(50), ..config() });

    let stream = announce(&server, 10);

    assert!(read_all(stream).starts_with("HTTP/1.1 408 "));
}
