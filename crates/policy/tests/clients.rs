//! Bound of what clients hold together, and the order in which they go.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen};
use sapphirerack_policy::clients::{Capacity, Clients, Evicted, Grant, Phase};

const MEMORY: usize = 16 << 20;
const CONNECTIONS: usize = 4;

/// More than a client may hold as one that holds little.
const LARGE: usize = 1 << 20;

const SEEDS: u64 = 100;
const EVENTS: usize = 400;

fn clients() -> Clients {
    Clients::new(Capacity { memory: MEMORY, connections: CONNECTIONS })
}

fn open(clients: &mut Clients, now: Instant) -> u64 {
    clients.open(now).unwrap().id
}

/// A client that receives a body of this size.
fn receiver(clients: &mut Clients, size: usize, now: Instant) -> u64 {
    let id = open(clients, now);
    clients.set_phase(id, Phase::Receiving, now);
    assert_eq!(clients.request(id, size, now), Grant::Granted);
    id
}

fn evict(id: u64, phase: Phase) -> Grant {
    Grant::Evict(Evicted { id, phase })
}

#[test]
fn client_that_holds_most_and_moves_least_goes_first() {
    let start = Instant::now();
    let mut clients = clients();
    let [small, stalled, moving] =
        [LARGE, 5 * LARGE, 6 * LARGE].map(|size| receiver(&mut clients, size, start));
    let now = start + Duration::from_secs(1);
    clients.touch(moving, now);
    let newcomer = open(&mut clients, now);

    let grant = clients.request(newcomer, LARGE, now);

    assert_eq!(grant, evict(stalled, Phase::Receiving));
    assert_eq!(clients.request(newcomer, LARGE, now), Grant::Wait);
    clients.release(stalled, 5 * LARGE);
    assert_eq!(clients.request(newcomer, LARGE, now), Grant::Granted);
    assert!(clients.is_leaving(stalled) && !clients.is_leaving(small));
}

#[test]
fn client_that_is_the_first_to_go_is_refused() {
    let start = Instant::now();
    let mut clients = clients();
    let stalled = receiver(&mut clients, 11 * LARGE, start);
    let now = start + Duration::from_secs(1);
    receiver(&mut clients, LARGE, now);

    assert_eq!(clients.request(stalled, LARGE, now), Grant::Refused);
}

#[test]
fn request_that_may_run_stays() {
    let start = Instant::now();
    let mut clients = clients();
    let running = receiver(&mut clients, 12 * LARGE, start);
    clients.set_phase(running, Phase::Running, start);
    let now = start + Duration::from_secs(1);
    let newcomer = open(&mut clients, now);
    clients.set_phase(newcomer, Phase::Receiving, now);

    assert_eq!(clients.request(newcomer, LARGE, now), Grant::Refused);
}

#[test]
fn last_part_of_the_memory_is_for_clients_that_hold_little() {
    let now = Instant::now();
    let mut clients = clients();
    let running = receiver(&mut clients, 12 * LARGE, now);
    clients.set_phase(running, Phase::Running, now);
    let newcomer = open(&mut clients, now);
    clients.set_phase(newcomer, Phase::Receiving, now);

    assert_eq!(clients.request(newcomer, 64 << 10, now), Grant::Granted);
    assert_eq!(clients.request(newcomer, LARGE, now), Grant::Refused);
}

#[test]
fn connection_that_has_been_idle_longest_goes_for_a_new_one() {
    let start = Instant::now();
    let mut clients = clients();
    let ids: Vec<u64> = (0..CONNECTIONS as u32)
        .map(|n| {
            let id = open(&mut clients, start + Duration::from_secs(1) * n);
            clients.add(id, 1);
            id
        })
        .collect();
    let now = start + Duration::from_secs(60);
    clients.set_phase(ids[0], Phase::Running, now);
    clients.touch(ids[1], now);

    let opened = clients.open(now).unwrap();

    assert_eq!(opened.evicted, Some(Evicted { id: ids[2], phase: Phase::Open }));
}

#[test]
fn connection_is_refused_while_all_have_requests_that_may_run() {
    let now = Instant::now();
    let mut clients = clients();
    for _ in 0..CONNECTIONS {
        let id = open(&mut clients, now);
        clients.set_phase(id, Phase::Running, now);
    }

    assert!(clients.open(now).is_none());
}

#[test]
fn client_that_was_told_to_go_may_stay_once_its_request_has_ended() {
    let start = Instant::now();
    let mut clients = clients();
    let refused = receiver(&mut clients, 12 * LARGE, start);
    let now = start + Duration::from_secs(1);
    let newcomer = open(&mut clients, now);
    assert_eq!(clients.request(newcomer, LARGE, now), evict(refused, Phase::Receiving));

    clients.release(refused, 12 * LARGE);
    clients.set_phase(refused, Phase::Open, now);

    assert!(!clients.is_leaving(refused));
    assert_eq!(clients.held(), 0);
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Open,
    Close { pick: u8 },
    Grow { pick: u8, size: u32 },
    Shrink { pick: u8 },
    Phase { pick: u8, phase: u8 },
    Advance { millis: u8 },
}

impl Arbitrary for Event {
    fn arbitrary(g: &mut Gen) -> Self {
        let pick = u8::arbitrary(g);
        match u8::arbitrary(g) % 12 {
            0..3 => Self::Open,
            3 => Self::Close { pick },
            4..8 => Self::Grow { pick, size: u32::arbitrary(g) % (3 << 20) },
            8 => Self::Shrink { pick },
            9..11 => Self::Phase { pick, phase: u8::arbitrary(g) % 3 },
            _ => Self::Advance { millis: u8::arbitrary(g) },
        }
    }
}

/// Clients beside a plain account of what each of them holds.
struct Model {
    clients: Clients,
    held: BTreeMap<u64, usize>,
    running: BTreeMap<u64, bool>,
    now: Instant,
}

impl Model {
    fn pick(&self, pick: u8) -> Option<u64> {
        let index = usize::from(pick) % self.held.len().max(1);
        self.held.keys().nth(index).copied()
    }

    fn assert_may_go(&self, evicted: Evicted) {
        assert!(!self.running[&evicted.id], "a request that may run was told to go");
    }

    fn apply(&mut self, event: Event) {
        match event {
            Event::Open => self.open(),
            Event::Advance { millis } => self.now += Duration::from_millis(millis.into()),
            Event::Close { pick } => self.with(pick, Self::close),
            Event::Grow { pick, size } => self.with(pick, |m, id| m.grow(id, size as usize)),
            Event::Shrink { pick } => self.with(pick, Self::shrink),
            Event::Phase { pick, phase } => self.with(pick, |m, id| m.set_phase(id, phase)),
        }
    }

    fn with(&mut self, pick: u8, f: impl FnOnce(&mut Self, u64)) {
        if let Some(id) = self.pick(pick) {
            f(self, id);
        }
    }

    fn open(&mut self) {
        let Some(opened) = self.clients.open(self.now) else {
            assert!(self.running.values().filter(|r| **r).count() >= CONNECTIONS);
            return;
        };
        if let Some(evicted) = opened.evicted {
            self.assert_may_go(evicted);
        }
        self.held.insert(opened.id, 0);
        self.running.insert(opened.id, false);
    }

    fn close(&mut self, id: u64) {
        self.shrink(id);
        self.clients.close(id);
        self.held.remove(&id);
        self.running.remove(&id);
    }

    fn grow(&mut self, id: u64, size: usize) {
        match self.clients.request(id, size, self.now) {
            Grant::Granted => *self.held.get_mut(&id).unwrap() += size,
            Grant::Evict(evicted) => self.assert_may_go(evicted),
            Grant::Wait | Grant::Refused => {}
        }
    }

    fn shrink(&mut self, id: u64) {
        let held = std::mem::take(self.held.get_mut(&id).unwrap());
        self.clients.release(id, held);
    }

    fn set_phase(&mut self, id: u64, phase: u8) {
        let phase = [Phase::Open, Phase::Receiving, Phase::Running][usize::from(phase)];
        // A request of a client that was told to go does not run.
        if phase == Phase::Running && self.clients.is_leaving(id) {
            return;
        }
        self.clients.set_phase(id, phase, self.now);
        self.running.insert(id, phase == Phase::Running);
    }
}

#[test]
fn sum_stays_within_the_capacity_whatever_happens() {
    for seed in 0..SEEDS {
        let mut g = Gen::from_size_and_seed(EVENTS, seed);
        let mut model = Model {
            clients: clients(),
            held: BTreeMap::new(),
            running: BTreeMap::new(),
            now: Instant::now(),
        };
        for _ in 0..EVENTS {
            model.apply(Event::arbitrary(&mut g));

            let sum: usize = model.held.values().sum();
            assert_eq!(model.clients.held(), sum, "seed {seed}");
            assert!(sum <= MEMORY, "seed {seed}");
            assert_eq!(model.clients.count(), model.held.len(), "seed {seed}");
        }
    }
}
