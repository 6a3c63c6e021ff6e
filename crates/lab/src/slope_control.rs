//! Cost of the control plane, by number of targets in the catalogue, peers, hosts, links, changes
//! and open moves.

use std::net::TcpStream;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use sapphirerack_catalogue::{
    DeadlineAction, Goal, Move, MoveState, Name, PER_MILLE, Service, Stage,
};

use crate::fake_peers::FakePeers;
use crate::fleet::{Fleet, HostProcess, MEMBER_KEY, Plan};
use crate::slopes::{Series, Slope};

const CATALOGUE_SIZES: [usize; 4] = [300, 1_000, 2_000, 4_000];
const PEER_SIZES: [usize; 4] = [50, 200, 500, 1_040];
const HOST_SIZES: [usize; 4] = [3, 6, 12, 24];
const LINK_SIZES: [usize; 3] = [100, 400, 1_600];
const CHANGE_SIZES: [usize; 3] = [10, 30, 90];

const MOVE_SIZES: [usize; 4] = [1, 50, 150, 450];

/// Targets in the catalogue when moves are measured.
const MOVE_TARGETS: usize = 500;
const MOVE_HOSTS: usize = 3;
const MOVE_HOLD: Duration = Duration::from_secs(3600);

/// Hosts that apply the changes.
const CHANGE_HOSTS: usize = 6;

/// Targets per service in a large catalogue.
const SERVICE_TARGETS: usize = 100;

const SETTLE_TIME: Duration = Duration::from_secs(2);
const IDLE_TIME: Duration = Duration::from_secs(5);
const CHANGE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Measures catalogues of several sizes on one host.
pub fn catalogue(program: &Path) -> Vec<Slope> {
    let mut series = Series::default();
    for targets in CATALOGUE_SIZES {
        let mut plan = Plan::group(10, 3, 2);
        plan.catalogue.services = services(&plan.catalogue.services[0], targets);
        plan.hosts.truncate(1);
        plan.stand_ins = false;
        let fleet = Fleet::launch(program, plan);
        fleet.hosts[0].await_ok("healthz");
        thread::sleep(SETTLE_TIME);
        let before = fleet.hosts[0].memory();
        let start = fleet.hosts[0].cpu();
        fleet.apply(program);
        fleet.await_ready();
        thread::sleep(SETTLE_TIME);
        let adoption = fleet.hosts[0].cpu() - start;
        let text = serde_json::to_string(&fleet.catalogue).unwrap();
        series.add(
            targets as f64,
            &[
                ("memory by catalogue", "KB", fleet.hosts[0].memory() as f64 - before as f64),
                ("CPU of one change by catalogue", "ms", adoption.as_secs_f64() * 1e3),
                ("catalogue as JSON", "KB", text.len() as f64 / 1024.0),
                ("idle CPU by catalogue", "% of a core", idle_cpu(&fleet.hosts[0])),
            ],
        );
    }
    series.fit("target in the catalogue")
}

/// Services with this many targets in total; none of them is queried.
fn services(template: &Service, targets: usize) -> Vec<Service> {
    let shards = u32::try_from(SERVICE_TARGETS).unwrap();
    let service = |i: usize| {
        let mut service = template.clone();
        service.name = format!("service-{i}").into();
        let shard = |j: u32| {
            let mut shard = template.shards[0].clone();
            shard.name = j.to_string().into();
            shard.span = crate::fleet::span(j, shards);
            shard.targets.truncate(1);
            shard.targets[0].name = format!("target-{i}-{j}").into();
            shard
        };
        service.shards = (0..shards).map(shard).collect();
        service
    };
    (0..targets / SERVICE_TARGETS).map(service).collect()
}

/// Measures one host with several numbers of peers.
pub fn peers(program: &Path) -> Vec<Slope> {
    let mut series = Series::default();
    for count in PEER_SIZES {
        let mut plan = Plan::group(10, 3, 2);
        plan.hosts.truncate(1);
        let fleet = Fleet::launch(program, plan);
        let host = &fleet.hosts[0];
        let fake = FakePeers::start(count, &host.data_centre);
        let mut entries = fake.entries().to_vec();
        entries.push(host.entry());
        fleet.store.set_hosts(entries);
        fleet.apply(program);
        fleet.await_ready();
        thread::sleep(SETTLE_TIME);
        fleet.store.reset_calls();
        let before = fake.counts();
        let start = Instant::now();
        let cpu = idle_cpu(host);
        let seconds = start.elapsed().as_secs_f64();
        let [datagrams, received, sent] = fake.counts();
        let rate = |now: u64, before: u64| (now - before) as f64 / seconds;
        let calls = fleet.store.calls();
        series.add(
            count as f64,
            &[
                ("idle CPU by peers", "% of a core", cpu),
                ("memory by peers", "KB", host.memory() as f64),
                ("datagrams sent by peers", "/s", rate(datagrams, before[0])),
                ("bytes sent by peers", "B/s", rate(received, before[1])),
                ("bytes of acks by peers", "B/s", rate(sent, before[2])),
                ("store calls of a host by peers", "/s", calls.all_reads() as f64 / seconds),
                ("bytes from the store by peers", "B/s", calls.bytes_out as f64 / seconds),
            ],
        );
    }
    series.fit("peer")
}

/// Measures fleets of several sizes in one data centre.
pub fn hosts(program: &Path) -> Vec<Slope> {
    let mut series = Series::default();
    for count in HOST_SIZES {
        let fleet = launch_fleet(program, count);
        fleet.store.reset_calls();
        let start = Instant::now();
        let before: Vec<Duration> = fleet.hosts.iter().map(HostProcess::cpu).collect();
        let bytes = gossip_bytes(&fleet);
        thread::sleep(IDLE_TIME);
        let seconds = start.elapsed().as_secs_f64();
        let calls = fleet.store.calls();
        let after = gossip_bytes(&fleet);
        let cpu: f64 =
            fleet.hosts.iter().zip(before).map(|(h, b)| cpu_percent(h.cpu() - b, seconds)).sum();
        let memory: u64 = fleet.hosts.iter().map(HostProcess::memory).sum();
        let mean = |sum: f64| sum / count as f64;
        series.add(
            count as f64,
            &[
                ("store reads of all hosts", "/s", calls.reads as f64 / seconds),
                ("store watches of all hosts", "/s", calls.watches as f64 / seconds),
                ("host list reads of all hosts", "/s", calls.hosts as f64 / seconds),
                ("store writes of all hosts", "/s", calls.writes as f64 / seconds),
                ("datagram bytes sent by a host", "B/s", mean(after.0 - bytes.0) / seconds),
                ("datagram bytes received by a host", "B/s", mean(after.1 - bytes.1) / seconds),
                ("idle CPU of a host by hosts", "% of a core", mean(cpu)),
                ("memory of a host by hosts", "KB", mean(memory as f64)),
            ],
        );
    }
    series.fit("host")
}

/// Measures several numbers of idle links to one host.
pub fn links(program: &Path) -> Vec<Slope> {
    let mut series = Series::default();
    for count in LINK_SIZES {
        let fleet = launch_fleet(program, 1);
        let host = &fleet.hosts[0];
        let before = host.memory();
        let open: Vec<_> = (0..count).map(|_| TcpStream::connect(host.hosts).unwrap()).collect();
        thread::sleep(SETTLE_TIME);
        let growth = host.memory() as f64 - before as f64;
        let cpu = idle_cpu(host);
        drop(open);
        series.add(
            count as f64,
            &[("memory by links", "KB", growth), ("idle CPU by links", "% of a core", cpu)],
        );
    }
    series.fit("link")
}

/// Measures several numbers of consecutive changes.
pub fn changes(program: &Path) -> Vec<Slope> {
    let mut series = Series::default();
    for count in CHANGE_SIZES {
        let mut fleet = launch_fleet(program, CHANGE_HOSTS);
        fleet.store.reset_calls();
        let before: Vec<Duration> = fleet.hosts.iter().map(HostProcess::cpu).collect();
        let start = Instant::now();
        let mut times = Vec::new();
        for i in 0..count {
            fleet.catalogue.services[0].limits.concurrency = 64 + (i as u32 % 2);
            let start = Instant::now();
            let version = apply_change(&fleet, i);
            while !fleet.hosts.iter().all(|h| version_of(h) >= version) {
                assert!(
                    start.elapsed() < CHANGE_TIMEOUT,
                    "change {i} is not in force at all hosts after {CHANGE_TIMEOUT:?}"
                );
                thread::sleep(POLL_INTERVAL);
            }
            times.push(start.elapsed().as_secs_f64() * 1e3);
        }
        let seconds = start.elapsed().as_secs_f64();
        times.sort_by(f64::total_cmp);
        let calls = fleet.store.calls();
        let cpu: Duration = fleet.hosts.iter().zip(before).map(|(h, b)| h.cpu() - b).sum();
        series.add(
            count as f64,
            &[
                ("time until in force at all hosts, median", "ms", times[count / 2]),
                ("time until in force at all hosts, longest", "ms", times[count - 1]),
                ("time of all changes", "s", seconds),
                (
                    "CPU of a host, polls of its status included",
                    "ms",
                    millis(cpu) / CHANGE_HOSTS as f64,
                ),
                ("store writes by changes", "", calls.writes as f64),
                ("store reads by changes", "", calls.reads as f64),
                ("store watches by changes", "", calls.watches as f64),
                ("bytes from the store by changes", "KB", calls.bytes_out as f64 / 1024.0),
            ],
        );
    }
    series.fit("change")
}

/// Measures several numbers of open moves; each retires a different target and stays in its first
/// stage.
pub fn moves(program: &Path) -> Vec<Slope> {
    let mut series = Series::default();
    for count in MOVE_SIZES {
        let mut plan = Plan::group(10, 3, 2);
        plan.catalogue.services = services(&plan.catalogue.services[0], MOVE_TARGETS);
        plan.hosts.truncate(MOVE_HOSTS);
        plan.stand_ins = false;
        let targets = plan.catalogue.services.iter().flat_map(|s| &s.shards);
        let names: Vec<Name> = targets.map(|s| s.targets[0].name.clone()).collect();
        let owner = plan.catalogue.members[0].name.clone();
        plan.catalogue.moves = names.iter().take(count).map(|n| retirement(n, &owner)).collect();
        let fleet = Fleet::launch(program, plan);
        fleet.apply(program);
        fleet.await_ready();
        thread::sleep(SETTLE_TIME);
        fleet.store.reset_calls();
        let start = Instant::now();
        let cpu = idle_cpu(&fleet.hosts[0]);
        let seconds = start.elapsed().as_secs_f64();
        let calls = fleet.store.calls();
        let text = serde_json::to_string(&fleet.catalogue).unwrap();
        series.add(
            count as f64,
            &[
                ("idle CPU by open moves", "% of a core", cpu),
                ("memory by open moves", "KB", fleet.hosts[0].memory() as f64),
                ("store writes by open moves", "/s", calls.writes as f64 / seconds),
                ("catalogue as JSON by moves", "KB", text.len() as f64 / 1024.0),
            ],
        );
    }
    series.fit("open move")
}

fn retirement(target: &Name, owner: &Name) -> Move {
    let start = SystemTime::now();
    Move {
        id: format!("retire-{target}").into(),
        owner: owner.clone(),
        goal: Goal::Retire { target: target.clone() },
        stages: vec![Stage { share: PER_MILLE, hosts: PER_MILLE, hold: MOVE_HOLD }],
        start,
        deadline: start + MOVE_HOLD * 2,
        undecided: DeadlineAction::Reverse,
        revision: 1,
        state: MoveState::Open { stage: 0, since: start },
    }
}

fn apply_change(fleet: &Fleet, i: usize) -> u64 {
    let host = &fleet.hosts[i % fleet.hosts.len()];
    let response = minreq::put(format!("http://{}/catalogue", host.operators))
        .with_header("x-change-id", format!("slope-{i}"))
        .with_header("x-member", &*fleet.catalogue.members[0].name)
        .with_header("authorization", format!("Bearer {MEMBER_KEY}"))
        .with_body(serde_json::to_string(&fleet.catalogue).unwrap())
        .with_timeout(10)
        .send()
        .unwrap();
    let text = response.as_str().unwrap();
    assert_eq!(response.status_code, 200, "{text}");
    field(text, "version")
}

fn version_of(host: &HostProcess) -> u64 {
    let response = minreq::get(format!("http://{}/status", host.operators)).with_timeout(5).send();
    response.map_or(0, |r| field(r.as_str().unwrap_or_default(), "version"))
}

/// Bytes of gossip datagrams sent and received by all hosts.
fn gossip_bytes(fleet: &Fleet) -> (f64, f64) {
    let mut sum = (0, 0);
    for host in &fleet.hosts {
        let url = format!("http://{}/status", host.operators);
        let response = minreq::get(url).with_timeout(5).send().unwrap();
        let text = response.as_str().unwrap();
        sum.0 += field(text, "gossip_sent");
        sum.1 += field(text, "gossip_received");
    }
    (sum.0 as f64, sum.1 as f64)
}

fn field(text: &str, name: &str) -> u64 {
    let value: serde_json::Value = serde_json::from_str(text).unwrap_or_default();
    value[name].as_u64().unwrap_or(0)
}

/// Launches hosts in one data centre with a small catalogue and waits until they are ready.
fn launch_fleet(program: &Path, count: usize) -> Fleet {
    let mut plan = Plan::group(10, 3, 2);
    let centre = plan.hosts[0].clone();
    plan.hosts = vec![centre; count];
    let fleet = Fleet::launch(program, plan);
    fleet.apply(program);
    fleet.await_ready();
    thread::sleep(SETTLE_TIME);
    fleet
}

/// CPU use of an idle host, in percent of a core.
fn idle_cpu(host: &HostProcess) -> f64 {
    let (start, before) = (Instant::now(), host.cpu());
    thread::sleep(IDLE_TIME);
    cpu_percent(host.cpu() - before, start.elapsed().as_secs_f64())
}

fn cpu_percent(cpu: Duration, seconds: f64) -> f64 {
    cpu.as_secs_f64() * 100.0 / seconds
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
