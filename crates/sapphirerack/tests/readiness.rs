//! The port for readiness and metrics.

#![allow(clippy::unwrap_used, reason = "a fixture that fails is a failed test")]

mod platform_support;

use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use platform_support::{Host, Store, configuration, read_message};

/// Time between two probes, and probes that take longer than a head or an idle connection may.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
const PROBES: usize = 34;

#[test]
fn kept_connection_of_a_load_balancer_stays_open() {
    let store = Store::start();
    store.put("op/config", &configuration(3, &["s1"], "desk"));
    let host = Host::start(&store);
    host.await_ready();
    let mut stream = TcpStream::connect(host.ready).unwrap();
    let mut reader = BufReader::new(stream.try_clone().unwrap());

    for probe in 0..PROBES {
        stream.write_all(b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
        let status = read_message(&mut reader).map(|m| m.status());

        assert_eq!(status, Some(200), "probe {probe}");
        thread::sleep(PROBE_INTERVAL);
    }
}
