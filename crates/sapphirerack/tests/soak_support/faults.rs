//! Faults by a seeded schedule: each begins while others last, and is healed after its time.

use std::process::Stdio;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use fastrand::Rng;
use sapphirerack_lab::relay::RelayFault;

use super::fleet::{Fleet, HOSTS, USUAL, VERSIONS};
use crate::platform_support::Manner;

const TICK: Duration = Duration::from_millis(10);

/// Time after a start within which a host is still taken for disturbed.
const START_TIME: Duration = Duration::from_secs(1);

const CUT: RelayFault =
    RelayFault { cut: true, closed: false, cut_replies: false, delay: Duration::ZERO };
const CLOSED: RelayFault = RelayFault { closed: true, cut: false, ..CUT };
const MUTE: RelayFault = RelayFault { cut_replies: true, cut: false, ..CUT };
const SLOW: RelayFault = RelayFault { delay: Duration::from_millis(40), cut: false, ..CUT };

const MANNERS: [Manner; 9] = [
    Manner::Slow(Duration::from_millis(200)),
    Manner::Refuse,
    Manner::Lose,
    Manner::Foreign,
    Manner::Cut,
    Manner::Unsigned,
    Manner::Vague,
    Manner::Twice,
    Manner::Hold,
];

/// What is broken now.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Killed(usize),
    Frozen(usize),
    Stopped(usize),
    HostRelay(usize),
    StoreRelay(usize),
    TargetRelay(usize),
    Target(usize),
    Store,
}

/// Brings faults about for `time`, heals all, and tells how many there were.
pub fn disturb(fleet: &Fleet, seed: u64, time: Duration) -> usize {
    let mut rng = Rng::with_seed(seed);
    let end = Instant::now() + time;
    let mut open: Vec<(Instant, Fault)> = Vec::new();
    let (mut version, mut count) = (1, 0);
    let mut next = Instant::now();
    while Instant::now() < end {
        let now = Instant::now();
        for (_, fault) in open.extract_if(.., |(until, _)| *until <= now) {
            heal(fleet, fault);
        }
        if now >= next {
            next = now + Duration::from_millis(rng.u64(60..350));
            count += 1;
            if rng.u32(..10) == 0 && version < VERSIONS {
                version += 1;
                fleet.configure(version);
            } else if let Some(fault) = begin(fleet, &mut rng, &open) {
                open.push((now + Duration::from_millis(rng.u64(100..1_300)), fault));
            }
        }
        thread::sleep(TICK);
    }
    open.into_iter().for_each(|(_, fault)| heal(fleet, fault));
    count
}

fn begin(fleet: &Fleet, rng: &mut Rng, open: &[(Instant, Fault)]) -> Option<Fault> {
    let host = rng.usize(..HOSTS);
    let replica = rng.usize(..fleet.replicas.len());
    let relayed = [CUT, CLOSED, MUTE, SLOW][rng.usize(..4)];
    let member = &fleet.members[host];
    let down = open.iter().any(
        |(_, f)| matches!(f, Fault::Killed(h) | Fault::Frozen(h) | Fault::Stopped(h) if *h == host),
    );
    let fault = match rng.u32(..14) {
        0 if !down => {
            disturbed(fleet, host);
            member.host.lock().unwrap().signal("-KILL");
            Fault::Killed(host)
        }
        1 if !down => {
            disturbed(fleet, host);
            member.host.lock().unwrap().signal("-STOP");
            Fault::Frozen(host)
        }
        2 | 12 | 13 if !down => {
            member.host.lock().unwrap().terminate();
            Fault::Stopped(host)
        }
        3 if !down => {
            let running = member.host.lock().unwrap();
            running.change_settings(|s| s["bounds"]["slack"] = (50 + host).into());
            running.signal("-HUP");
            return None;
        }
        4 => {
            member.inbound.set(relayed);
            Fault::HostRelay(host)
        }
        5 => {
            member.store.set(relayed);
            Fault::StoreRelay(host)
        }
        6 | 7 => {
            fleet.replicas[replica].relay.set(relayed);
            Fault::TargetRelay(replica)
        }
        8 | 9 => {
            fleet.replicas[replica].target.set(MANNERS[rng.usize(..MANNERS.len())]);
            Fault::Target(replica)
        }
        10 => {
            fleet.store.set_away(true);
            Fault::Store
        }
        _ => {
            fleet.store.forget_history();
            return None;
        }
    };
    Some(fault)
}

fn heal(fleet: &Fleet, fault: Fault) {
    match fault {
        Fault::Killed(host) => {
            restart(fleet, host);
            recovered(fleet, host);
        }
        Fault::Stopped(host) => {
            // It ends by itself, at the latest at the end of its grace period.
            fleet.members[host].host.lock().unwrap().join();
            restart(fleet, host);
        }
        Fault::Frozen(host) => {
            fleet.members[host].host.lock().unwrap().signal("-CONT");
            recovered(fleet, host);
        }
        Fault::HostRelay(host) => fleet.members[host].inbound.set(RelayFault::default()),
        Fault::StoreRelay(host) => fleet.members[host].store.set(RelayFault::default()),
        Fault::TargetRelay(at) => fleet.replicas[at].relay.set(RelayFault::default()),
        Fault::Target(at) => fleet.replicas[at].target.set(USUAL),
        Fault::Store => fleet.store.set_away(false),
    }
}

fn restart(fleet: &Fleet, host: usize) {
    let member = &fleet.members[host];
    member.run.fetch_add(1, Ordering::SeqCst);
    member.host.lock().unwrap().restart(Stdio::null());
}

/// Takes note that a host is disturbed from now on.
fn disturbed(fleet: &Fleet, host: usize) {
    let now = Instant::now();
    let forever = now + Duration::from_secs(3_600);
    fleet.history.lock().unwrap().disturbed.push((host, now, forever));
}

/// Takes note that a host's last disturbance has ended.
fn recovered(fleet: &Fleet, host: usize) {
    let mut history = fleet.history.lock().unwrap();
    let last = history.disturbed.iter_mut().rfind(|(h, _, _)| *h == host);
    if let Some((_, _, until)) = last {
        *until = Instant::now() + START_TIME;
    }
}
