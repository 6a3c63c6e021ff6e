//! A host process.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use serde_json::{Value, json};

use super::message::{Message, read_message, request};
use super::store::Store;
use super::{ATTEMPT, free, wait_until};

/// Time that callers wait, in milliseconds: usually, and when the test is about something else.
const USUAL_MS: u32 = 1_500;
const LONG_MS: u32 = 30_000;

/// A host process.
pub struct Host {
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    pub settings: PathBuf,
    child: Child,
}

impl Host {
    /// Starts a host that uses the store.
    pub fn start(store: &Store) -> Self {
        Self::start_with(store, Stdio::null(), json!({ "grace": 6, "linger": "300ms" }))
    }

    /// Starts a host whose standard output goes to `out` and that stops as `stop` says.
    pub fn start_with(store: &Store, out: Stdio, stop: Value) -> Self {
        let [callers, ready, hosts] = [free(), free(), free()];
        let settings = json!({
            "name": "host-1", "data_centre": "here",
            "listen": { "callers": callers, "ready": ready, "hosts": hosts },
            "store": store.address, "seeds": [hosts],
            "bounds": { "extra": 0.2, "slack": 50.0 }, "stop": stop,
        });
        Self::start_set(callers, ready, &settings, out)
    }

    /// Starts a host with these settings, which name the addresses for callers and readiness.
    pub fn start_set(callers: SocketAddr, ready: SocketAddr, settings: &Value, out: Stdio) -> Self {
        let name = format!("forward-{}-{}.json", std::process::id(), callers.port());
        let path = std::env::temp_dir().join(name);
        std::fs::write(&path, settings.to_string()).unwrap();
        let child = spawn(&path, out);
        Self { callers, ready, settings: path, child }
    }

    /// Starts the process again after it has ended.
    pub fn restart(&mut self, out: Stdio) {
        let _ = self.child.wait();
        self.child = spawn(&self.settings, out);
    }

    /// Waits until the host says that it is ready.
    pub fn await_ready(&self) {
        wait_until(|| self.is_ready());
    }

    pub fn is_ready(&self) -> bool {
        let probe = || {
            let mut stream = TcpStream::connect(self.ready).ok()?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n").ok()?;
            read_message(&mut BufReader::new(stream))
        };
        probe().is_some_and(|m| m.status() == 200)
    }

    /// Reads the answer to a request that was sent with [`Host::open`].
    pub fn answer(caller: TcpStream) -> Message {
        read_message(&mut BufReader::new(caller)).unwrap()
    }

    /// Sends a request without waiting for its answer.
    pub fn open(&self, path: &str) -> TcpStream {
        let mut stream = TcpStream::connect(self.callers).unwrap();
        stream.write_all(request("GET", path, ATTEMPT, LONG_MS, "").as_bytes()).unwrap();
        stream
    }

    /// Changes the file of settings.
    pub fn change_settings(&self, change: impl Fn(&mut Value)) {
        let text = std::fs::read_to_string(&self.settings).unwrap();
        let mut settings = serde_json::from_str(&text).unwrap();
        change(&mut settings);
        std::fs::write(&self.settings, settings.to_string()).unwrap();
    }

    /// Sends a request on a connection of its own; `None` if there is no whole answer.
    pub fn send(&self, method: &str, path: &str, attempt: &str, body: &str) -> Option<Message> {
        let mut stream = TcpStream::connect(self.callers).ok()?;
        let request = request(method, path, attempt, USUAL_MS, body);
        stream.write_all(request.as_bytes()).ok()?;
        read_message(&mut BufReader::new(stream))
    }

    pub fn get(&self, path: &str) -> Message {
        self.send("GET", path, ATTEMPT, "").unwrap()
    }

    /// Tells the process to stop.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Sends the process a signal.
    pub fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &id]).status().unwrap().success());
    }

    /// Waits for the end of the process; true if it ended well.
    pub fn join(&mut self) -> bool {
        self.child.wait().unwrap().success()
    }

    /// Standard output, if it was piped.
    pub fn output(&mut self) -> std::process::ChildStdout {
        self.child.stdout.take().unwrap()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn spawn(settings: &Path, out: Stdio) -> Child {
    Command::new(env!("CARGO_BIN_EXE_sapphirerack"))
        .arg("forward")
        .env("SAPPHIRERACK_SETTINGS", settings)
        .stdout(out)
        .spawn()
        .unwrap()
}
