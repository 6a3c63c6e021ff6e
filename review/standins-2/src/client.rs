//! Clients: each asks one host, again and again, on kept connections.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// Requests go to the route of this host name.
pub const HOST_NAME: &str = "find.example";

/// Time that a client waits.
const BUDGET: Duration = Duration::from_millis(2_000);

/// Clients of one host.
pub struct Clients {
    pause: Arc<AtomicBool>,
    end: Arc<AtomicBool>,
    threads: Vec<JoinHandle<()>>,
    sent: Arc<AtomicUsize>,
    answered: Arc<AtomicUsize>,
}

impl Clients {
    /// Starts `count` clients that send `path` each `gap`. Their attempts begin with `name`.
    pub fn start(
        name: &str,
        host: SocketAddr,
        path: &str,
        count: usize,
        gap: Duration,
        record: &Record,
    ) -> Self {
        let (pause, end) = (Arc::<AtomicBool>::default(), Arc::<AtomicBool>::default());
        let (total, answered) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        let client = |n: usize| {
            let (pause, end) = (pause.clone(), end.clone());
            let (total, answered) = (total.clone(), answered.clone());
            let (record, path) = (record.clone(), path.to_owned());
            let name = format!("{name}.{n}");
            thread::spawn(move || {
                let mut client = Client { host, connection: None };
                let mut sent = 0_u64;
                while !end.load(Ordering::SeqCst) {
                    thread::sleep(gap);
                    if pause.load(Ordering::SeqCst) {
                        client.connection = None;
                        continue;
                    }
                    sent += 1;
                    total.fetch_add(1, Ordering::SeqCst);
                    let attempt = format!("{name}.{sent}");
                    record.line(&format!("client sends {attempt}"));
                    let status = client.ask(&path, &attempt);
                    record.line(&format!("client has for {attempt}: {status:?}"));
                    if status == Some(200) {
                        answered.fetch_add(1, Ordering::SeqCst);
                    }
                }
            })
        };
        let threads = (0..count).map(client).collect();
        Self { pause, end, threads, sent: total, answered }
    }

    /// Requests sent so far.
    pub fn sent(&self) -> usize {
        self.sent.load(Ordering::SeqCst)
    }

    /// Successes so far.
    pub fn answered(&self) -> usize {
        self.answered.load(Ordering::SeqCst)
    }

    /// Stops or resumes sending.
    pub fn pause(&self, pause: bool) {
        self.pause.store(pause, Ordering::SeqCst);
    }

    pub fn stop(self) {
        self.end.store(true, Ordering::SeqCst);
        self.threads.into_iter().for_each(|t| drop(t.join()));
    }
}

struct Client {
    host: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    /// Status of the answer; `None` without a complete one.
    fn ask(&mut self, path: &str, attempt: &str) -> Option<u16> {
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect_timeout(&self.host, Duration::from_secs(1)).ok()?;
                stream.set_nodelay(true).ok()?;
                stream.set_read_timeout(Some(BUDGET)).ok()?;
                BufReader::new(stream)
            }
        };
        let budget = BUDGET.as_millis();
        let request = format!(
            "GET {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nAttempt-Id: {attempt}\r\n\
             Time-Budget: {budget}\r\n\r\n"
        );
        connection.get_mut().write_all(request.as_bytes()).ok()?;
        let reply = http::read(&mut connection)?;
        let closes = reply.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close"));
        self.connection = (!closes).then_some(connection);
        Some(reply.status())
    }
}
