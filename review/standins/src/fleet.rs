//! Host processes of the product, started with the command of the deploy file, and the platform's
//! readiness probes in front of them.

use std::fs::{self, File};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Command of the role in the deploy file.
const COMMAND: [&str; 2] = ["target/release/sapphirerack", "forward"];

/// Template of the settings, which the platform fills in.
const TEMPLATE: &str = "deploy/settings.json";

/// Ports that every host uses at its own address.
#[derive(Clone, Copy)]
pub struct Ports {
    pub callers: u16,
    pub ready: u16,
    pub hosts: u16,
}

impl Ports {
    /// Ports that are free at all of these addresses.
    pub fn free(addresses: &[Ipv4Addr]) -> Self {
        let mut free = (20_000 + (std::process::id() % 8_000) as u16..32_000)
            .filter(|port| addresses.iter().all(|a| is_free((*a, *port).into())));
        let mut next = || free.next().expect("a free port");
        Self { callers: next(), ready: next(), hosts: next() }
    }
}

fn is_free(address: SocketAddr) -> bool {
    TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok()
}

/// What the platform says of a machine and the fleet.
pub struct Machine {
    pub name: String,
    pub zone: String,
    pub ip: Ipv4Addr,
}

/// A host process.
pub struct Host {
    pub name: String,
    pub callers: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Host {
    /// Starts a host. `seeds` are the addresses of the platform's list of seeds.
    pub fn start(
        machine: &Machine,
        ports: Ports,
        store: SocketAddr,
        seeds: &[SocketAddr],
        folder: &Path,
    ) -> Self {
        let callers = SocketAddr::from((machine.ip, ports.callers));
        let ready = SocketAddr::from((machine.ip, ports.ready));
        let seeds: Vec<String> = seeds.iter().map(|s| format!("\"{s}\"")).collect();
        let fields = [
            ("Node|json", quoted(&machine.name)),
            ("Zone|json", quoted(&machine.zone)),
            ("BindAddresses.Front|json", quoted(callers)),
            ("BindAddresses.Ready|json", quoted(ready)),
            ("Ip", machine.ip.to_string()),
            ("InternalPorts.0", ports.hosts.to_string()),
            ("platform.Address|json", quoted(store)),
            ("Seeds|json", format!("[{}]", seeds.join(","))),
            ("Bounds.RetryBudgetRatio", "0.2".to_owned()),
            ("Bounds.BudgetSlack", "56".to_owned()),
            ("Bounds.GraceS", "6".to_owned()),
            ("Limits.CpuShare", "0.25".to_owned()),
            ("Limits.Cores", "1".to_owned()),
            ("Limits.LinkMbps", "1000.0".to_owned()),
        ];
        let mut text = fs::read_to_string(TEMPLATE).expect("read the template of the settings");
        for (field, value) in fields {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a field of the template is not filled in: {text}");
        let settings = folder.join(format!("{}.json", machine.name));
        fs::write(&settings, text).expect("write the settings");
        let log = folder.join(format!("{}.log", machine.name));
        let name = machine.name.clone();
        let mut host = Self { name, callers, ready, settings, log, child: None };
        host.spawn();
        host
    }

    fn spawn(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log).expect("open a log");
        let child = Command::new(COMMAND[0])
            .args(&COMMAND[1..])
            .env("SAPPHIRERACK_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("clone a handle"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("start a host"));
    }

    /// Ends the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Starts the process again.
    pub fn restart(&mut self) {
        self.kill();
        self.spawn();
    }

    /// Whether the process has ended by itself.
    pub fn has_exited(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| !matches!(c.try_wait(), Ok(None)))
    }

    /// Lines of the log that contain one of `words`.
    pub fn log_lines(&self, words: &[&str]) -> Vec<String> {
        let text = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = text.lines().filter(|l| words.iter().any(|w| l.contains(w)));
        lines.map(|l| format!("{}: {l}", self.name)).collect()
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

fn quoted(value: impl ToString) -> String {
    format!("\"{}\"", value.to_string())
}

/// The platform's rotation: hosts that pass their readiness probes get new connections.
pub struct Rotation {
    hosts: Vec<(SocketAddr, SocketAddr)>,
    misses: Mutex<Vec<u32>>,
    next: AtomicUsize,
    stopped: AtomicBool,
}

impl Rotation {
    pub fn start(hosts: &[Host]) -> Arc<Self> {
        let hosts: Vec<_> = hosts.iter().map(|h| (h.ready, h.callers)).collect();
        let misses = Mutex::new(vec![2; hosts.len()]);
        let (next, stopped) = (AtomicUsize::new(0), AtomicBool::new(false));
        let rotation = Arc::new(Self { hosts, misses, next, stopped });
        for at in 0..rotation.hosts.len() {
            let rotation = rotation.clone();
            thread::spawn(move || rotation.probe(at));
        }
        rotation
    }

    fn probe(&self, at: usize) {
        while !self.stopped.load(Ordering::SeqCst) {
            let started = Instant::now();
            let request = b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
            let answer = http::exchange(self.hosts[at].0, request, Duration::from_secs(1));
            let ready = answer.is_ok_and(|a| a.status() == 200);
            let mut misses = self.misses.lock().unwrap();
            misses[at] = if ready { 0 } else { misses[at] + 1 };
            drop(misses);
            thread::sleep(Duration::from_secs(1).saturating_sub(started.elapsed()));
        }
    }

    /// Number of hosts in rotation.
    pub fn count(&self) -> usize {
        self.misses.lock().unwrap().iter().filter(|m| **m < 2).count()
    }

    /// Host for the next connection.
    pub fn next(&self) -> Option<SocketAddr> {
        let misses = self.misses.lock().unwrap();
        let usable: Vec<usize> = (0..misses.len()).filter(|at| misses[*at] < 2).collect();
        let turn = self.next.fetch_add(1, Ordering::SeqCst);
        Some(self.hosts[*usable.get(turn % usable.len().max(1))?].1)
    }

    pub fn stop(&self) {
        self.stopped.store(true, Ordering::SeqCst);
    }
}

/// Waits until `condition` holds; false after `timeout`.
pub fn wait_until(timeout: Duration, condition: impl Fn() -> bool) -> bool {
    let start = Instant::now();
    while start.elapsed() < timeout {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}
