//! Two or three hosts that disagree about a group never exceed a target's limits together.

#![allow(clippy::unwrap_used)]

use std::time::{Duration, Instant};

use fastrand::Rng;
use sapphirerack_catalogue::{Name, Set};
use sapphirerack_policy::{Guard, GuardTiming, Rank, Tenure};

const CONTACT: Duration = Duration::from_millis(40);
const WORK: Duration = Duration::from_millis(100);
const STEP: Duration = Duration::from_millis(2);
const INTERVAL: u64 = 5;
const FULL: u32 = 3;
const STAND_IN: u32 = 1;
const HOSTS: usize = 3;
const TARGET: &str = "t";

/// A guard or its answer on the way.
struct Letter {
    to: usize,
    from: usize,
    at: Instant,
    sent: Instant,
    guard: Guard,
    is_answer: bool,
}

struct Host {
    tenure: Tenure,
    /// Hosts that are not known to be gone.
    sees: [bool; HOSTS],
    /// Time from which each host's being there or gone is known to it.
    learns: [Option<(Instant, bool)>; HOSTS],
    /// Down up to the time.
    down: Option<Instant>,
    frozen: Option<Instant>,
    /// End of each request at the target.
    running: Vec<Instant>,
    /// Whether the host takes the target for warm.
    warm: bool,
    inbox: Vec<Letter>,
}

struct World {
    now: Instant,
    hosts: Vec<Host>,
    cut: [[bool; HOSTS]; HOSTS],
    rng: Rng,
    turn: u64,
    most: u32,
}

fn name(host: usize) -> Name {
    host.to_string().into()
}

impl World {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let timing = GuardTiming { contact: CONTACT, work: WORK };
        let host = |_| Host {
            tenure: Tenure::new(timing, now),
            sees: [true; HOSTS],
            learns: [None; HOSTS],
            down: None,
            frozen: None,
            running: Vec::new(),
            warm: true,
            inbox: Vec::new(),
        };
        let hosts = (0..HOSTS).map(host).collect();
        let rng = Rng::with_seed(seed);
        Self { now, hosts, cut: [[false; HOSTS]; HOSTS], rng, turn: 0, most: 0 }
    }

    /// Rank in a host's own view, and the next-ranked host; lower indices rank first.
    fn rank(&self, host: usize) -> (Rank, Option<Name>) {
        let seen = |i: &usize| *i == host || self.hosts[host].sees[*i];
        let ranked: Vec<usize> = (0..HOSTS).filter(seen).collect();
        let place = ranked.iter().position(|i| *i == host).unwrap();
        let rank = [Rank::First, Rank::Second, Rank::Other][place];
        (rank, ranked.get(place + 1).map(|i| name(*i)))
    }

    fn disturb(&mut self) {
        let (a, b) = (self.rng.usize(0..HOSTS), self.rng.usize(0..HOSTS));
        match self.rng.u32(0..400) {
            0 => {
                let cut = self.rng.bool();
                (self.cut[a][b], self.cut[b][a]) = (cut, cut);
            }
            1 => self.hosts[a].frozen = Some(self.now + STEP * self.rng.u32(1..150)),
            2 => self.kill(a),
            3 => self.hosts[a].warm = !self.hosts[a].warm,
            _ => {}
        }
    }

    /// Kills a host for a while; its requests go on at the target.
    fn kill(&mut self, host: usize) {
        self.hosts[host].down = Some(self.now + STEP * self.rng.u32(0..200));
        self.hosts[host].inbox.clear();
        self.spread(host, false);
    }

    /// Starts a host anew, which knows nobody at first.
    fn start(&mut self, host: usize) {
        let timing = GuardTiming { contact: CONTACT, work: WORK };
        self.spread(host, true);
        let times = [(); HOSTS].map(|()| self.now + STEP * self.rng.u32(0..20));
        let entry = &mut self.hosts[host];
        entry.tenure = Tenure::new(timing, self.now);
        entry.down = None;
        entry.inbox.clear();
        entry.sees = [false; HOSTS];
        entry.learns = times.map(|at| Some((at, true)));
    }

    /// Lets the others learn that a host is gone, or there, each at another time.
    fn spread(&mut self, host: usize, is_there: bool) {
        for other in 0..HOSTS {
            let at = self.now + STEP * self.rng.u32(0..20);
            self.hosts[other].learns[host] = Some((at, is_there));
        }
    }

    fn step(&mut self) {
        self.disturb();
        self.pass();
    }

    fn pass(&mut self) {
        self.turn += 1;
        self.now += STEP;
        let now = self.now;
        for host in &mut self.hosts {
            host.running.retain(|end| *end > now);
            host.frozen = host.frozen.filter(|end| *end > now);
        }
        for host in 0..HOSTS {
            if self.hosts[host].down.is_some_and(|end| end <= now) {
                self.start(host);
            }
            if self.hosts[host].frozen.is_none() && self.hosts[host].down.is_none() {
                self.learn(host);
                self.act(host);
            }
        }
        let running: usize = self.hosts.iter().map(|h| h.running.len()).sum();
        let running = u32::try_from(running).unwrap_or(u32::MAX);
        self.most = self.most.max(running);
        assert!(running <= FULL + STAND_IN, "{running} requests at the target");
    }

    fn learn(&mut self, host: usize) {
        let now = self.now;
        let Host { sees, learns, .. } = &mut self.hosts[host];
        for (sees, learns) in sees.iter_mut().zip(learns) {
            if let Some((_, is_there)) = learns.take_if(|(at, _)| *at <= now) {
                *sees = is_there;
            }
        }
    }

    fn act(&mut self, host: usize) {
        self.read(host);
        let (rank, next) = self.rank(host);
        self.hosts[host].tenure.set_rank(self.now, rank, next);
        let cold = (!self.hosts[host].warm).then(|| TARGET.into()).into_iter().collect();
        let guard = self.hosts[host].tenure.guard(self.now, cold);
        if self.turn.is_multiple_of(INTERVAL)
            && let Some((next, guard)) = guard
        {
            self.post(host, next.parse().unwrap(), self.now, guard, false);
        }
        let now = self.now;
        let work = STEP * self.rng.u32(1..50);
        let entry = &mut self.hosts[host];
        let level = if entry.warm { FULL } else { 1 };
        let share = entry.tenure.share(now, TARGET, level, entry.warm);
        while entry.running.len() < share as usize {
            entry.running.push(now + work);
        }
    }

    fn post(&mut self, from: usize, to: usize, sent: Instant, guard: Guard, is_answer: bool) {
        if !self.cut[from][to] {
            let at = self.now + STEP * self.rng.u32(0..4);
            self.hosts[to].inbox.push(Letter { to, from, at, sent, guard, is_answer });
        }
    }

    fn read(&mut self, host: usize) {
        let now = self.now;
        let due: Vec<Letter> =
            self.hosts[host].inbox.extract_if(.., |letter| letter.at <= now).collect();
        for Letter { to, from, sent, guard, is_answer, .. } in due {
            let entry = &mut self.hosts[to];
            if is_answer {
                entry.tenure.answered(&name(from), sent, guard);
            } else if from < to {
                entry.tenure.receive(now, guard.clone());
                let running = u32::try_from(entry.running.len()).unwrap_or(u32::MAX);
                if entry.tenure.may_answer(now, [(&TARGET.into(), running)]) {
                    self.post(to, from, sent, guard, true);
                }
            }
        }
    }
}

#[test]
fn sum_holds_over_freezes_cuts_and_restarts() {
    let mut most = 0;
    for seed in 0..300 {
        let mut world = World::new(seed);
        (0..3000).for_each(|_| world.step());
        most = most.max(world.most);
    }
    assert_eq!(most, FULL + STAND_IN, "the limit is reached, so that the test could fail");
}

#[test]
fn undisturbed_first_has_its_whole_ramp() {
    let mut world = World::new(1);
    (0..400).for_each(|_| world.pass());

    let tenure = &world.hosts[0].tenure;
    assert_eq!(tenure.share(world.now, TARGET, FULL, true), FULL);
    assert_eq!(world.hosts[1].tenure.share(world.now, TARGET, FULL, true), 1);
    assert_eq!(world.hosts[2].tenure.share(world.now, TARGET, FULL, true), 0);
}

#[test]
fn stand_in_takes_over_from_a_silent_first() {
    let now = Instant::now();
    let last = now + WORK + CONTACT;
    let mut tenure = tenure(now, Rank::Second, None);
    tenure.receive(last, Guard { shares: true, ..Guard::default() });

    let at = |after| tenure.share(last + after, TARGET, FULL, true);

    assert_eq!(at(WORK), 1, "the first's work may not have ended");
    assert_eq!(at(WORK + CONTACT), FULL);
}

fn cold() -> Set<Name> {
    [TARGET.into()].into_iter().collect()
}

fn tenure(now: Instant, rank: Rank, next: Option<Name>) -> Tenure {
    let mut tenure = Tenure::new(GuardTiming { contact: CONTACT, work: WORK }, now);
    tenure.set_rank(now, rank, next);
    tenure
}

#[test]
fn listed_target_gets_nothing_from_the_stand_in() {
    let now = Instant::now();
    let later = now + WORK + CONTACT;
    let mut tenure = tenure(now, Rank::Second, None);
    tenure.receive(later, Guard { shares: true, cold: cold() });

    assert_eq!(tenure.share(later, TARGET, 1, false), 0);
    assert_eq!(tenure.share(later, "other", 1, false), 1);
}

#[test]
fn cold_target_waits_for_the_stand_in_to_know() {
    let now = Instant::now();
    let later = now + CONTACT + WORK;
    let mut tenure = tenure(now, Rank::First, Some(name(1)));
    tenure.answered("1", later, Guard::default());

    assert_eq!(tenure.share(later, TARGET, 1, false), 0);
    tenure.answered("1", later + STEP, Guard { shares: true, cold: cold() });

    assert_eq!(tenure.share(later + STEP, TARGET, 1, false), 1);
}

#[test]
fn first_that_lost_contact_falls_back() {
    let now = Instant::now();
    let later = now + CONTACT + WORK;
    let mut tenure = tenure(now, Rank::First, Some(name(1)));
    tenure.answered("1", later, Guard::default());

    assert_eq!(tenure.share(later, TARGET, FULL, true), FULL);
    assert_eq!(tenure.share(later + CONTACT, TARGET, FULL, true), 1);
    assert_eq!(tenure.share(later + CONTACT, TARGET, 1, false), 0);
}

#[test]
fn host_without_others_has_its_ramp_after_a_while() {
    let now = Instant::now();
    let tenure = tenure(now, Rank::First, None);

    assert_eq!(tenure.share(now + WORK, TARGET, FULL, true), 0);
    assert_eq!(tenure.share(now + WORK + CONTACT, TARGET, FULL, true), FULL);
}
