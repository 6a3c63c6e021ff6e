//! Tests of the server over real sockets.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::mpsc;
use std::time::Duration;

use sapphirerack_http::{Config, Response, Server, serve};

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
