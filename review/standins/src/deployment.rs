//! A small deployment: store, searchers, hosts and the platform's rotation, on loopback addresses.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::client::{Clients, Request};
use crate::fleet::{Host, Machine, Ports, Rotation, wait_until};
use crate::record::Record;
use crate::searcher::{Arrival, Arrivals, HEARTBEAT, Searcher, Spec};
use crate::store::Store;

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["muenchen", "nuernberg", "regensburg"];

/// Time until all hosts have to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Idle time of a store that closes no connection during a case.
pub const LONG_IDLE: Duration = Duration::from_secs(600);

/// A running deployment.
pub struct Deployment {
    pub record: Record,
    pub searchers: Vec<Searcher>,
    pub hosts: Vec<Host>,
    pub rotation: Arc<Rotation>,
    pub arrivals: Arrivals,
}

/// What differs between the cases.
pub struct Plan {
    /// Hosts in each zone.
    pub hosts: [u8; 3],
    /// Positions of the hosts that are seeds, in the order of their names.
    pub seeds: Vec<usize>,
    /// Time after which the store closes an idle connection.
    pub store_idle: Duration,
    /// Value of `op/config`.
    pub config: String,
    /// Searchers, without their addresses.
    pub searchers: Vec<Spec>,
}

/// Address of a host.
pub fn host_ip(zone: usize, number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 81, zone as u8 + 1, number)
}

fn searcher_ip(at: usize) -> Ipv4Addr {
    Ipv4Addr::new(127, 82, (at / 200) as u8 + 1, (at % 200) as u8 + 1)
}

/// A searcher; its address is set at the start of the deployment.
pub fn searcher(id: &str, service: &str, zone: usize, work: Duration) -> Spec {
    Spec {
        id: id.to_owned(),
        service: service.to_owned(),
        zone: ZONES[zone].to_owned(),
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        slots: 3,
        work,
        cold_crash: 0,
        starts_late: false,
    }
}

impl Deployment {
    /// Starts everything and waits until all hosts are in rotation.
    pub fn start(plan: Plan, folder: &Path, record: &Record) -> Result<Self, String> {
        let store_ip = Ipv4Addr::new(127, 80, 1, 1);
        let machines: Vec<Machine> = (0..3)
            .flat_map(|zone| (1..=plan.hosts[zone]).map(move |number| (zone, number)))
            .map(|(zone, number)| Machine {
                name: format!("edge-{}-{number}", ZONES[zone]),
                zone: ZONES[zone].to_owned(),
                ip: host_ip(zone, number),
            })
            .collect();
        let mut ips: Vec<Ipv4Addr> = machines.iter().map(|m| m.ip).collect();
        ips.push(store_ip);
        ips.extend((0..plan.searchers.len()).map(searcher_ip));
        let ports = Ports::free(&ips);
        let lapse = HEARTBEAT * 3;
        let store_address = (store_ip, ports.callers).into();
        let store = Store::start(store_address, lapse, plan.store_idle, record.clone());
        store.put("op/config", &plan.config, false);
        let arrivals: Arrivals = Arc::new(Mutex::default());
        let mut searchers = Vec::new();
        for (at, mut spec) in plan.searchers.into_iter().enumerate() {
            spec.address = (searcher_ip(at), ports.callers).into();
            let mut searcher = Searcher::new(spec, &store, record, &arrivals);
            if !searcher.spec.starts_late {
                searcher.start(Duration::ZERO);
            }
            searchers.push(searcher);
        }
        let control = |ip: Ipv4Addr| SocketAddr::from((ip, ports.hosts));
        let seeds: Vec<SocketAddr> =
            plan.seeds.iter().map(|at| control(machines[*at].ip)).collect();
        let start = |m: &Machine| Host::start(m, ports, store.address, &seeds, folder);
        let hosts: Vec<Host> = machines.iter().map(start).collect();
        record.line(format_args!("{} hosts started, seeds {seeds:?}", hosts.len()));
        let rotation = Rotation::start(&hosts);
        if !wait_until(START_TIMEOUT, || rotation.count() == hosts.len()) {
            return Err(format!("{} of {} hosts are ready", rotation.count(), hosts.len()));
        }
        Ok(Self { record: record.clone(), searchers, hosts, rotation, arrivals })
    }

    /// Starts clients.
    pub fn clients(&self, count: u32, rate: f64, request: &Request) -> Clients {
        Clients::start(count, rate, request, &self.rotation, &self.record)
    }

    /// Arrivals so far.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// Writes lines of the hosts' logs to the record, and ends all processes.
    pub fn stop(mut self, words: &[&str]) -> Result<(), String> {
        self.rotation.stop();
        let exited: Vec<String> =
            self.hosts.iter_mut().filter_map(|h| h.has_exited().then(|| h.name.clone())).collect();
        for host in &mut self.hosts {
            host.kill();
            for line in host.log_lines(words) {
                self.record.line(format_args!("log {line}"));
            }
        }
        if exited.is_empty() { Ok(()) } else { Err(format!("ended by themselves: {exited:?}")) }
    }
}

/// Folder for settings and logs, removed on drop.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> std::io::Result<Self> {
        let path = std::env::temp_dir().join(format!("review-standins-{}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}
