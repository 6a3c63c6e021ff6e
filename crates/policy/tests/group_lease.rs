//! Hosts that disagree on the owner of a group never exceed the limits of a target together.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use fastrand::Rng;
use sapphirerack_catalogue::{Name, Set};
use sapphirerack_policy::{GroupLease, Heartbeat, LeaseTiming, Rank};

const VALIDITY: Duration = Duration::from_millis(40);
const MAX_REQUEST: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(2);
const INTERVAL: u64 = 5;
const FULL_LIMIT: u32 = 3;
const BACKUP_SHARE: u32 = 1;
const HOSTS: usize = 3;
const TARGET: &str = "t";

/// A heartbeat or its ack in transit.
struct Message {
    to: usize,
    from: usize,
    at: Instant,
    sent: Instant,
    heartbeat: Heartbeat,
    is_ack: bool,
}

struct Host {
    lease: GroupLease,
    /// Hosts that are up in this host's view.
    visible: [bool; HOSTS],
    /// Pending change of this view for each host: its time, and whether the host is up.
    updates: [Option<(Instant, bool)>; HOSTS],
    /// End of the downtime, if the host is down.
    down_until: Option<Instant>,
    paused_until: Option<Instant>,
    /// End of each request at the target.
    running: Vec<Instant>,
    /// Whether the target is warm in this host's view.
    warm: bool,
    inbox: Vec<Message>,
}

struct World {
    now: Instant,
    hosts: Vec<Host>,
    partitioned: [[bool; HOSTS]; HOSTS],
    rng: Rng,
    steps: u64,
    max_running: u32,
}

fn name(host: usize) -> Name {
    host.to_string().into()
}

impl World {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let timing = LeaseTiming { validity: VALIDITY, max_request: MAX_REQUEST };
        let host = |_| Host {
            lease: GroupLease::new(timing, now),
            visible: [true; HOSTS],
            updates: [None; HOSTS],
            down_until: None,
            paused_until: None,
            running: Vec::new(),
            warm: true,
            inbox: Vec::new(),
        };
        let hosts = (0..HOSTS).map(host).collect();
        let rng = Rng::with_seed(seed);
        Self { now, hosts, partitioned: [[false; HOSTS]; HOSTS], rng, steps: 0, max_running: 0 }
    }

    /// Rank in a host's own view, and the next-ranked host; lower indices rank first.
    fn rank(&self, host: usize) -> (Rank, Option<Name>) {
        let seen = |i: &usize| *i == host || self.hosts[host].visible[*i];
        let ranked: Vec<usize> = (0..HOSTS).filter(seen).collect();
        let index = ranked.iter().position(|i| *i == host).unwrap();
        let rank = [Rank::First, Rank::Second, Rank::Other][index];
        (rank, ranked.get(index + 1).map(|i| name(*i)))
    }

    fn inject_fault(&mut self) {
        let (a, b) = (self.rng.usize(0..HOSTS), self.rng.usize(0..HOSTS));
        match self.rng.u32(0..400) {
            0 => {
                let partitioned = self.rng.bool();
                (self.partitioned[a][b], self.partitioned[b][a]) = (partitioned, partitioned);
            }
            1 => self.hosts[a].paused_until = Some(self.now + STEP * self.rng.u32(1..150)),
            2 => self.kill(a),
            3 => self.hosts[a].warm = !self.hosts[a].warm,
            _ => {}
        }
    }

    /// Kills a host for a while; its requests continue at the target.
    fn kill(&mut self, host: usize) {
        self.hosts[host].down_until = Some(self.now + STEP * self.rng.u32(0..200));
        self.hosts[host].inbox.clear();
        self.announce(host, false);
    }

    /// Restarts a host, which at first has no other host in its view.
    fn start(&mut self, host: usize) {
        let timing = LeaseTiming { validity: VALIDITY, max_request: MAX_REQUEST };
        self.announce(host, true);
        let times = [(); HOSTS].map(|()| self.now + STEP * self.rng.u32(0..20));
        let entry = &mut self.hosts[host];
        entry.lease = GroupLease::new(timing, self.now);
        entry.down_until = None;
        entry.inbox.clear();
        entry.visible = [false; HOSTS];
        entry.updates = times.map(|at| Some((at, true)));
    }

    /// Schedules for every host, each at its own time, the update that a host is up or down.
    fn announce(&mut self, host: usize, is_up: bool) {
        for other in 0..HOSTS {
            let at = self.now + STEP * self.rng.u32(0..20);
            self.hosts[other].updates[host] = Some((at, is_up));
        }
    }

    fn step(&mut self) {
        self.inject_fault();
        self.advance();
    }

    fn advance(&mut self) {
        self.steps += 1;
        self.now += STEP;
        let now = self.now;
        for host in &mut self.hosts {
            host.running.retain(|end| *end > now);
            host.paused_until = host.paused_until.filter(|end| *end > now);
        }
        for host in 0..HOSTS {
            if self.hosts[host].down_until.is_some_and(|end| end <= now) {
                self.start(host);
            }
            if self.hosts[host].paused_until.is_none() && self.hosts[host].down_until.is_none() {
                self.apply_updates(host);
                self.run_host(host);
            }
        }
        let running: usize = self.hosts.iter().map(|h| h.running.len()).sum();
        let running = u32::try_from(running).unwrap_or(u32::MAX);
        self.max_running = self.max_running.max(running);
        assert!(
            running <= FULL_LIMIT + BACKUP_SHARE,
            "{running} requests at the target exceed the limit"
        );
    }

    fn apply_updates(&mut self, host: usize) {
        let now = self.now;
        let Host { visible, updates, .. } = &mut self.hosts[host];
        for (visible, updates) in visible.iter_mut().zip(updates) {
            if let Some((_, is_up)) = updates.take_if(|(at, _)| *at <= now) {
                *visible = is_up;
            }
        }
    }

    fn run_host(&mut self, host: usize) {
        self.receive_all(host);
        let (rank, next) = self.rank(host);
        self.hosts[host].lease.set_rank(self.now, rank, next);
        let cold = (!self.hosts[host].warm).then(|| TARGET.into()).into_iter().collect();
        let heartbeat = self.hosts[host].lease.heartbeat(self.now, cold);
        if self.steps.is_multiple_of(INTERVAL)
            && let Some((next, heartbeat)) = heartbeat
        {
            self.send(host, next.parse().unwrap(), self.now, heartbeat, false);
        }
        let now = self.now;
        let work = STEP * self.rng.u32(1..50);
        let entry = &mut self.hosts[host];
        let level = if entry.warm { FULL_LIMIT } else { 1 };
        let share = entry.lease.share(now, TARGET, level, entry.warm);
        while entry.running.len() < share as usize {
            entry.running.push(now + work);
        }
    }

    fn send(&mut self, from: usize, to: usize, sent: Instant, heartbeat: Heartbeat, is_ack: bool) {
        if !self.partitioned[from][to] {
            let at = self.now + STEP * self.rng.u32(0..4);
            self.hosts[to].inbox.push(Message { to, from, at, sent, heartbeat, is_ack });
        }
    }

    fn receive_all(&mut self, host: usize) {
        let now = self.now;
        let due: Vec<Message> =
            self.hosts[host].inbox.extract_if(.., |message| message.at <= now).collect();
        for Message { to, from, sent, heartbeat, is_ack, .. } in due {
            let entry = &mut self.hosts[to];
            if is_ack {
                entry.lease.record_ack(&name(from), sent, heartbeat);
            } else if from < to {
                entry.lease.receive(now, heartbeat.clone());
                let running = u32::try_from(entry.running.len()).unwrap_or(u32::MAX);
                if entry.lease.may_ack(now, [(&TARGET.into(), running)]) {
                    self.send(to, from, sent, heartbeat, true);
                }
            }
        }
    }
}

#[test]
fn total_limit_holds_under_pauses_partitions_and_restarts() {
    let mut max_running = 0;
    for seed in 0..300 {
        let mut world = World::new(seed);
        (0..3000).for_each(|_| world.step());
        max_running = max_running.max(world.max_running);
    }
    assert_eq!(
        max_running,
        FULL_LIMIT + BACKUP_SHARE,
        "the limit was never reached, so the check proves nothing"
    );
}

#[test]
fn owner_without_faults_gets_its_full_ramp() {
    let mut world = World::new(1);
    (0..400).for_each(|_| world.advance());

    let lease = &world.hosts[0].lease;
    assert_eq!(lease.share(world.now, TARGET, FULL_LIMIT, true), FULL_LIMIT);
    assert_eq!(world.hosts[1].lease.share(world.now, TARGET, FULL_LIMIT, true), 1);
    assert_eq!(world.hosts[2].lease.share(world.now, TARGET, FULL_LIMIT, true), 0);
}

#[test]
fn backup_takes_over_from_a_silent_owner() {
    let now = Instant::now();
    let last = now + MAX_REQUEST + VALIDITY;
    let mut lease = lease(now, Rank::Second, None);
    lease.receive(last, Heartbeat { grants_share: true, ..Heartbeat::default() });

    let at = |after| lease.share(last + after, TARGET, FULL_LIMIT, true);

    assert_eq!(at(MAX_REQUEST), 1, "requests of the owner may still run");
    assert_eq!(at(MAX_REQUEST + VALIDITY), FULL_LIMIT);
}

fn cold() -> Set<Name> {
    [TARGET.into()].into_iter().collect()
}

fn lease(now: Instant, rank: Rank, next: Option<Name>) -> GroupLease {
    let mut lease =
        GroupLease::new(LeaseTiming { validity: VALIDITY, max_request: MAX_REQUEST }, now);
    lease.set_rank(now, rank, next);
    lease
}

#[test]
fn backup_sends_nothing_to_a_listed_target() {
    let now = Instant::now();
    let later = now + MAX_REQUEST + VALIDITY;
    let mut lease = lease(now, Rank::Second, None);
    lease.receive(later, Heartbeat { grants_share: true, cold: cold() });

    assert_eq!(lease.share(later, TARGET, 1, false), 0);
    assert_eq!(lease.share(later, "other", 1, false), 1);
}

#[test]
fn cold_target_gets_nothing_before_the_backup_acked_its_listing() {
    let now = Instant::now();
    let later = now + VALIDITY + MAX_REQUEST;
    let mut lease = lease(now, Rank::First, Some(name(1)));
    lease.record_ack("1", later, Heartbeat::default());

    assert_eq!(lease.share(later, TARGET, 1, false), 0);
    lease.record_ack("1", later + STEP, Heartbeat { grants_share: true, cold: cold() });

    assert_eq!(lease.share(later + STEP, TARGET, 1, false), 1);
}

#[test]
fn owner_whose_lease_expired_falls_back_to_a_small_share() {
    let now = Instant::now();
    let later = now + VALIDITY + MAX_REQUEST;
    let mut lease = lease(now, Rank::First, Some(name(1)));
    lease.record_ack("1", later, Heartbeat::default());

    assert_eq!(lease.share(later, TARGET, FULL_LIMIT, true), FULL_LIMIT);
    assert_eq!(lease.share(later + VALIDITY, TARGET, FULL_LIMIT, true), 1);
    assert_eq!(lease.share(later + VALIDITY, TARGET, 1, false), 0);
}

#[test]
fn sole_host_gets_its_full_ramp_after_the_takeover_time() {
    let now = Instant::now();
    let lease = lease(now, Rank::First, None);

    assert_eq!(lease.share(now + MAX_REQUEST, TARGET, FULL_LIMIT, true), 0);
    assert_eq!(lease.share(now + MAX_REQUEST + VALIDITY, TARGET, FULL_LIMIT, true), FULL_LIMIT);
}
