//! Entry hosts as processes, with stand-ins around them.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{
    Catalogue, DataCentre, Limits, Member, Name, Presence, SPACE, Service, Shard, Span, Target,
    TargetState,
};
use sapphirerack_platform::{HostEntry, HostState};

use crate::store::StoreServer;
use crate::target::{Behaviour, TargetServer};

/// Time within which hosts must become ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
const READY_PAUSE: Duration = Duration::from_millis(20);

/// Ports for hosts. The system takes ports for outgoing connections from 32768 on.
const PORTS: std::ops::Range<u16> = 10_000..32_000;

/// Loopback address with any free port.
pub const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Shape of a small setup: one service with a replica of each shard in each data centre.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Names of the data centres.
    pub data_centres: Vec<Name>,
    /// Entry hosts in each data centre.
    pub hosts: usize,
    /// Shards of the service.
    pub shards: u32,
    /// Slots of each target.
    pub slots: u32,
    /// Mean service time.
    pub service: Duration,
    /// Share of requests that take ten times as long.
    pub stragglers: f64,
    /// Seed of the service times.
    pub seed: u64,
}

/// A host process with its addresses.
pub struct HostProcess {
    /// Unique name.
    pub name: Name,
    /// Data centre in which it stands.
    pub data_centre: Name,
    /// Callers' HTTP.
    pub callers: SocketAddr,
    /// Operators' HTTP.
    pub operators: SocketAddr,
    /// Links from other hosts.
    pub hosts: SocketAddr,
    settings: PathBuf,
    child: Child,
}

impl HostProcess {
    /// Kills the process.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Stand-ins and host processes of one setup.
pub struct Fleet {
    /// The entry hosts; first, so that they end before what they talk to.
    pub hosts: Vec<HostProcess>,
    /// The store's stand-in.
    pub store: StoreServer,
    /// The targets' stand-ins.
    pub targets: Vec<TargetServer>,
    /// The catalogue that names them.
    pub catalogue: Catalogue,
}

impl Fleet {
    /// Starts stand-ins and hosts; `program` is the shipped binary.
    pub fn start(program: &Path, shape: &Shape) -> Self {
        let store = StoreServer::start(LOOPBACK);
        let (catalogue, targets) = targets(shape);
        let mut hosts = Vec::new();
        for data_centre in &shape.data_centres {
            for i in 0..shape.hosts {
                let name = format!("{data_centre}-{i}");
                hosts.push(start_host(program, &name, data_centre, store.address()));
            }
        }
        store.set_hosts(hosts.iter().map(entry).collect());
        Self { store, targets, catalogue, hosts }
    }

    /// Puts the catalogue into force through the operators' command line.
    pub fn apply(&self, program: &Path) {
        await_answer(&self.hosts[0], "healthz");
        let text = serde_json::to_string(&self.catalogue).unwrap();
        let file = scratch("catalogue.json", &text);
        let status = Command::new(program)
            .args(["apply", "--host", &self.hosts[0].operators.to_string()])
            .arg(&file)
            .stdout(Stdio::null())
            .status()
            .unwrap();
        let _ = std::fs::remove_file(&file);
        assert!(status.success(), "apply failed");
    }

    /// Waits until every host says that it is ready.
    pub fn await_ready(&self) {
        for host in &self.hosts {
            await_answer(host, "readyz");
        }
    }
}

/// Waits until a host answers 200 at `path` on the operators' front.
fn await_answer(host: &HostProcess, path: &str) {
    let limit = Instant::now() + READY_LIMIT;
    let url = format!("http://{}/{path}", host.operators);
    let get = || minreq::get(&url).with_timeout(1).send();
    while !get().is_ok_and(|r| r.status_code == 200) {
        assert!(Instant::now() < limit, "{} does not answer {path}", host.name);
        thread::sleep(READY_PAUSE);
    }
}

fn entry(host: &HostProcess) -> HostEntry {
    HostEntry {
        name: host.name.clone(),
        data_centre: host.data_centre.clone(),
        address: host.hosts,
        state: HostState::Live,
    }
}

fn targets(shape: &Shape) -> (Catalogue, Vec<TargetServer>) {
    let mut servers = Vec::new();
    let mut shards = Vec::new();
    for i in 0..shape.shards {
        let bound =
            |i: u32| u32::try_from(u64::from(SPACE) * u64::from(i) / u64::from(shape.shards));
        let span = Span::new(bound(i).unwrap(), bound(i + 1).unwrap());
        let mut replicas = Vec::new();
        for data_centre in &shape.data_centres {
            let name: Name = format!("search-{i}-{data_centre}").into();
            let behaviour = Behaviour {
                name: name.clone(),
                span,
                slots: shape.slots,
                service: shape.service,
                stragglers: shape.stragglers,
                held: vec![1],
                seed: shape.seed.wrapping_add(servers.len() as u64),
                ..Behaviour::default()
            };
            let server = TargetServer::start(LOOPBACK, behaviour);
            replicas.push(Target {
                name,
                address: server.address(),
                data_centre: data_centre.clone(),
                version: "v1".into(),
                slots: shape.slots,
                connections: 25,
                cold: 1,
                state: TargetState::Active,
            });
            servers.push(server);
        }
        shards.push(Shard { name: i.to_string().into(), span, targets: replicas });
    }
    let service = Service {
        name: "search".into(),
        owner: "zeugenwerk".into(),
        class: "search".into(),
        limits: Limits { concurrency: 64, deadline: Duration::from_secs(1) },
        shards,
    };
    let centre = |name: &Name| DataCentre { name: name.clone(), presence: Presence::In };
    let catalogue = Catalogue {
        members: vec![Member { name: "zeugenwerk".into(), key: "0".into() }],
        data_centres: shape.data_centres.iter().map(centre).collect(),
        services: vec![service],
        moves: Vec::new(),
    };
    (catalogue, servers)
}

fn start_host(program: &Path, name: &str, data_centre: &Name, store: SocketAddr) -> HostProcess {
    let [callers, operators, hosts] = free_ports();
    let text = serde_json::json!({
        "name": name, "data_centre": data_centre,
        "listen": { "callers": callers, "operators": operators, "hosts": hosts },
        "store": { "address": store },
        "log": "warn",
    });
    let settings = scratch(&format!("{name}.json"), &text.to_string());
    let child = Command::new(program).arg("serve").arg(&settings).spawn().unwrap();
    HostProcess {
        name: name.into(),
        data_centre: data_centre.clone(),
        callers,
        operators,
        hosts,
        settings,
        child,
    }
}

/// Three ports that were free a moment ago, below those that the system hands to clients.
fn free_ports() -> [SocketAddr; 3] {
    [(); 3].map(|()| {
        let mut any =
            std::iter::repeat_with(|| SocketAddr::new(LOOPBACK.ip(), fastrand::u16(PORTS)));
        any.find(|address| TcpListener::bind(address).is_ok()).unwrap()
    })
}

/// Writes a file for a process of this run.
fn scratch(name: &str, text: &str) -> PathBuf {
    let unique = format!("sapphirerack-{}-{:08x}-{name}", std::process::id(), fastrand::u32(..));
    let path = std::env::temp_dir().join(unique);
    std::fs::File::create(&path).unwrap().write_all(text.as_bytes()).unwrap();
    path
}
