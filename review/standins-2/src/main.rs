//! Runs the cases of the second review that are scripts: `review-2 CASE RECORD`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With
//! `TROUBLE=0` in the environment the disruption is left out.

mod client;
mod drill;
mod host;
mod http;
mod kills;
mod pages;
mod record;
mod searcher;
mod seeds;
mod store;

use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use client::HOST_NAME;
use host::{Deployment, Host};
use record::Record;
use store::Store;

/// Zones of the deployment.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// Time in which all hosts must be ready.
const START_LIMIT: Duration = Duration::from_secs(15);

static STORE_AWAY: AtomicBool = AtomicBool::new(false);

/// Result of a case that could run: whether the rule held.
pub type Held = Result<bool, Box<dyn std::error::Error>>;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: review-2 CASE RECORD");
        std::process::exit(2);
    };
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let result = Record::create(path).map_err(Into::into).and_then(|record| {
        record.say(&format!("case {case}, trouble: {is_troubled}"));
        let held = match case.as_str() {
            "evacuation" => drill::evacuation(&record, is_troubled),
            "route" => drill::route(&record, is_troubled),
            "drain" => drill::drain(&record, is_troubled),
            "seeds" => seeds::run(&record, is_troubled),
            "pages" => pages::run(&record, is_troubled),
            "kills" => kills::run(&record, is_troubled),
            _ => Err("no such case".into()),
        };
        record.flush();
        held
    });
    std::process::exit(match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(e) => {
            eprintln!("the case could not run: {e}");
            2
        }
    });
}

/// The time that searchers state as their start.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_millis() as u64)
}

/// An address that is free now.
pub fn free_address() -> SocketAddr {
    let free = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).and_then(|l| l.local_addr());
    free.unwrap_or_else(|_| SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
}

/// A port that is free on the addresses of all hosts.
fn free_port(hosts: u8) -> Option<u16> {
    let is_free = |port: &u16| {
        (1..=hosts).all(|n| TcpListener::bind((Ipv4Addr::new(127, 0, 0, n), *port)).is_ok())
    };
    (0..50).map(|_| free_address().port()).find(is_free)
}

/// Whether writers have to wait for the store.
pub fn is_store_away() -> bool {
    STORE_AWAY.load(Ordering::SeqCst)
}

pub fn set_store_away(is_away: bool) {
    STORE_AWAY.store(is_away, Ordering::SeqCst);
}

pub fn pause(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// Configuration with a route of repeatable requests, `/NAME/`, to each of these services.
pub fn configuration(version: u64, services: &[&str]) -> String {
    let route = |name: &&str| {
        format!(
            r#"{{"Name":"{name}","Host":"{HOST_NAME}","Prefix":"/{name}/","RouteType":"safe","TimeoutMs":2000,"TargetLatencyMs":400,"Priority":1,"MaxAttempts":2,"Upstream":"{name}"}}"#
        )
    };
    let service = |name: &&str| {
        format!(
            r#"{{"Name":"{name}","HealthPath":"/health","MaxConns":110,"Protocol":"h1","Tls":false,"WarmupS":3.0,"WarmupPerS":0.0}}"#
        )
    };
    let routes: Vec<String> = services.iter().map(route).collect();
    let services: Vec<String> = services.iter().map(service).collect();
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Upstreams":[{}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":262144,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}}}"#,
        routes.join(","),
        services.join(","),
    )
}

/// Starts so many hosts in each zone, and waits until all are ready.
pub fn start_hosts(
    store: &Store,
    in_zone: u8,
    record: &Record,
) -> Result<(Deployment, Vec<Host>), Box<dyn std::error::Error>> {
    let count = in_zone * ZONES.len() as u8;
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let port = free_port(count).ok_or("no port is free")?;
    let deployment = Deployment { folder: PathBuf::from(&folder), store: store.address, port };
    let zones = (1..=count).map(|n| (n, ZONES[usize::from(n - 1) % ZONES.len()]));
    let hosts: Result<Vec<Host>, _> = zones.map(|(n, zone)| deployment.start(n, zone)).collect();
    let hosts = hosts?;
    let limit = Instant::now() + START_LIMIT;
    while !hosts.iter().all(Host::is_ready) {
        if Instant::now() > limit {
            return Err("a host is not ready".into());
        }
        thread::sleep(Duration::from_millis(50));
    }
    record.say(&format!("{count} hosts are ready, logs in {}", folder.display()));
    Ok((deployment, hosts))
}
