//! An entry host process.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Name, key_hash};
use sapphirerack_clients::{HostEntry, HostState};
use serde_json::{Value, json};

/// Key of every member in the lab's catalogues.
pub const MEMBER_KEY: &str = "lab member key";

/// Time within which a host must become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const READY_INTERVAL: Duration = Duration::from_millis(20);

/// First port used for hosts.
const FIRST_PORT: u16 = 10_000;

/// Bit that separates the lab's loopback addresses from 127.0.0.1; process ids take the 22 bits
/// below it.
const PROCESS_NET: u8 = 0x40;

/// Unit of CPU time in /proc.
const TICKS_PER_SECOND: f64 = 100.0;

/// An entry host process with its addresses.
pub struct HostProcess {
    /// Unique name.
    pub name: Name,
    /// Data centre of the host.
    pub data_centre: Name,
    /// HTTP address for callers.
    pub callers: SocketAddr,
    /// HTTP address for operators.
    pub operators: SocketAddr,
    /// Address for links from other hosts.
    pub hosts: SocketAddr,
    program: PathBuf,
    settings: PathBuf,
    child: Child,
}

impl HostProcess {
    /// Starts a host; `extra` is merged into its settings.
    pub fn start(
        program: &Path,
        name: &str,
        data_centre: &Name,
        store: SocketAddr,
        extra: &Value,
    ) -> Self {
        let [callers, operators, hosts] = addresses();
        let mut settings = json!({
            "name": name, "data_centre": data_centre,
            "listen": { "callers": callers, "operators": operators, "hosts": hosts },
            "store": { "address": store },
            "founding": key_hash(MEMBER_KEY),
            "log": "warn",
        });
        merge(&mut settings, extra);
        let settings = write_temp_file(&format!("{name}.json"), &settings.to_string());
        Self {
            name: name.into(),
            data_centre: data_centre.clone(),
            callers,
            operators,
            hosts,
            program: program.to_owned(),
            child: spawn(program, &settings),
            settings,
        }
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process if it runs and restarts it with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.program, &self.settings);
    }

    /// Sends SIGTERM, as the platform does on a stop.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Waits until the process exits; returns whether it succeeded.
    pub fn wait(&mut self) -> bool {
        self.child.wait().is_ok_and(|status| status.success())
    }

    /// Pauses the process with SIGSTOP.
    pub fn freeze(&self) {
        self.signal("STOP");
    }

    /// Resumes a paused process.
    pub fn thaw(&self) {
        self.signal("CONT");
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// CPU time used.
    pub fn cpu(&self) -> Duration {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap();
        // The process name may contain spaces; user and system time are counted from its end.
        let fields = text.rsplit_once(')').unwrap().1.split_whitespace().skip(11).take(2);
        let ticks: f64 = fields.map(|f| f.parse::<f64>().unwrap()).sum();
        Duration::from_secs_f64(ticks / TICKS_PER_SECOND)
    }

    /// Resident memory, in kilobytes.
    pub fn memory(&self) -> u64 {
        self.status("VmRSS:")
    }

    /// Number of threads.
    pub fn threads(&self) -> u64 {
        self.status("Threads:")
    }

    /// The host's entry in the platform's host list.
    pub fn entry(&self) -> HostEntry {
        HostEntry {
            name: self.name.clone(),
            data_centre: self.data_centre.clone(),
            address: self.hosts,
            state: HostState::Live,
        }
    }

    /// Waits until the host returns status 200 for `path` at its operators' address.
    pub fn await_ok(&self, path: &str) {
        let deadline = Instant::now() + READY_TIMEOUT;
        let url = format!("http://{}/{path}", self.operators);
        let get = || minreq::get(&url).with_timeout(1).send();
        while !get().is_ok_and(|r| r.status_code == 200) {
            assert!(
                Instant::now() < deadline,
                "{} did not return status 200 for {path} in time",
                self.name
            );
            thread::sleep(READY_INTERVAL);
        }
    }

    /// Waits until the host reports `hosts` live hosts.
    pub fn await_live_hosts(&self, hosts: usize) {
        let deadline = Instant::now() + READY_TIMEOUT;
        let url = format!("http://{}/status", self.operators);
        let seen = || {
            let response = minreq::get(&url).with_timeout(1).send().ok()?;
            let status: Value = serde_json::from_slice(response.as_bytes()).ok()?;
            status["live_hosts"].as_u64()
        };
        while seen() != Some(hosts as u64) {
            assert!(
                Instant::now() < deadline,
                "{} did not report {hosts} live hosts in time",
                self.name
            );
            thread::sleep(READY_INTERVAL);
        }
    }

    fn status(&self, field: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        let line = text.lines().find_map(|l| l.strip_prefix(field)).unwrap();
        line.split_whitespace().next().unwrap().parse().unwrap()
    }

    fn signal(&self, signal: &str) {
        let id = self.id().to_string();
        let status = Command::new("kill").args(["-s", signal, &id]).status().unwrap();
        assert!(status.success(), "sending signal {signal} to {} failed", self.name);
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn spawn(program: &Path, settings: &Path) -> Child {
    let mut command = Command::new(program);
    command.arg("serve").arg(settings).stdout(Stdio::null()).spawn().unwrap()
}

/// Merges `extra` into `base`, recursively for objects.
fn merge(base: &mut Value, extra: &Value) {
    match (base, extra) {
        (Value::Object(base), Value::Object(extra)) => {
            for (key, value) in extra {
                merge(base.entry(key.as_str()).or_insert(Value::Null), value);
            }
        }
        (_, Value::Null) => {}
        (base, extra) => *base = extra.clone(),
    }
}

/// Three addresses for a host that no other process uses: each lab process has its own loopback
/// address, with consecutive ports.
fn addresses() -> [SocketAddr; 3] {
    static NEXT: AtomicU16 = AtomicU16::new(FIRST_PORT);
    let [_, high, middle, low] = std::process::id().to_be_bytes();
    let own = Ipv4Addr::new(127, PROCESS_NET | high, middle, low);
    [(); 3].map(|()| SocketAddr::new(own.into(), NEXT.fetch_add(1, Ordering::Relaxed)))
}

/// Writes a temporary file with a unique name.
pub(crate) fn write_temp_file(name: &str, text: &str) -> PathBuf {
    let unique = format!("sapphirerack-{}-{:08x}-{name}", std::process::id(), fastrand::u32(..));
    let path = std::env::temp_dir().join(unique);
    std::fs::File::create(&path).unwrap().write_all(text.as_bytes()).unwrap();
    path
}
