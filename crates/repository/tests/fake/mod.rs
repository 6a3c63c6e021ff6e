//! In-memory store with scripted or random faults.

use std::cell::Cell;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Catalogue, Map};
use sapphirerack_clients::{Category, Error, Result, Value};
use sapphirerack_policy::Clock;
use sapphirerack_repository::{HEAD_KEY, Head, KeyValue, Part, Snapshot, part_key};

/// Fault injected into one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// The write takes effect; its reply is lost.
    LostReply,
    /// The write is lost.
    LostWrite,
    /// The write takes effect later, unless another write comes first.
    Delayed,
    /// The store refuses the write.
    Refused,
}

type Hook = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct State {
    values: Map<String, Vec<Vec<u8>>>,
    scheduled: VecDeque<Fault>,
    delayed: Vec<(String, u64, Vec<u8>)>,
    down: bool,
    random_faults: bool,
}

pub struct FakeStore {
    state: Mutex<State>,
    rng: Mutex<fastrand::Rng>,
    after_lost: Mutex<Option<Hook>>,
    before_swap: Mutex<Option<Hook>>,
}

impl FakeStore {
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            after_lost: Mutex::default(),
            before_swap: Mutex::default(),
        })
    }

    /// Schedules faults for the next writes, in order.
    pub fn inject(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state.lock().unwrap().scheduled.extend(faults);
    }

    /// Calls `hook` once, after the next lost reply.
    pub fn after_lost_reply(&self, hook: impl FnOnce() + Send + 'static) {
        *self.after_lost.lock().unwrap() = Some(Box::new(hook));
    }

    /// Calls `hook` once, before the next write of the head.
    pub fn before_swap(&self, hook: impl FnOnce() + Send + 'static) {
        *self.before_swap.lock().unwrap() = Some(Box::new(hook));
    }

    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
    }

    pub fn set_random_faults(&self, enabled: bool) {
        self.state.lock().unwrap().random_faults = enabled;
    }

    /// Delivers delayed writes.
    pub fn deliver_delayed(&self) {
        let delayed = std::mem::take(&mut self.state.lock().unwrap().delayed);
        for (key, expected, bytes) in delayed {
            let _ = self.write(&key, expected, &bytes);
        }
    }

    pub fn head(&self) -> Option<Vec<u8>> {
        self.state.lock().unwrap().values.get(HEAD_KEY).and_then(|v| v.last()).cloned()
    }

    pub fn catalogue(&self) -> Catalogue {
        let head = Head::parse(&self.head().unwrap()).unwrap();
        let state = self.state.lock().unwrap();
        let find = |key: &str| Some(Part::from(state.values.get(&part_key(key))?.last()?.clone()));
        (**Snapshot::join(&head.keys, find).unwrap().catalogue()).clone()
    }

    fn write(&self, key: &str, expected: u64, bytes: &[u8]) -> Result<u64> {
        let mut state = self.state.lock().unwrap();
        let values = state.values.entry(key.to_owned()).or_default();
        if values.len() as u64 != expected {
            return Err(error(Category::Conflict));
        }
        values.push(bytes.to_vec());
        Ok(values.len() as u64)
    }

    fn next_fault(&self) -> Fault {
        let mut state = self.state.lock().unwrap();
        if let Some(fault) = state.scheduled.pop_front() {
            return fault;
        }
        if !state.random_faults {
            return Fault::None;
        }
        match self.rng.lock().unwrap().u8(..10) {
            0 => Fault::LostReply,
            1 => Fault::LostWrite,
            2 | 3 => Fault::Delayed,
            4 => Fault::Refused,
            _ => Fault::None,
        }
    }
}

impl KeyValue for FakeStore {
    fn get(&self, key: &str) -> Result<Option<Value>> {
        let state = self.state.lock().unwrap();
        let mut rng = self.rng.lock().unwrap();
        if state.down || (state.random_faults && rng.u8(..8) == 0) {
            return Err(error(Category::Unreachable));
        }
        let Some(values) = state.values.get(key).filter(|v| !v.is_empty()) else {
            return Ok(None);
        };
        let stale = state.random_faults && values.len() > 1 && rng.u8(..6) == 0;
        let version = values.len() - usize::from(stale);
        Ok(Some(Value { version: version as u64, bytes: values[version - 1].clone() }))
    }

    fn swap(&self, key: &str, expected: u64, bytes: &[u8]) -> Result<u64> {
        let hook = (key == HEAD_KEY).then(|| self.before_swap.lock().unwrap().take()).flatten();
        if let Some(hook) = hook {
            hook();
        }
        if self.state.lock().unwrap().down {
            return Err(error(Category::Unreachable));
        }
        match self.next_fault() {
            Fault::None => self.write(key, expected, bytes),
            Fault::Refused => Err(error(Category::Refused)),
            Fault::LostWrite => Err(error(Category::Unreachable)),
            Fault::LostReply => {
                let _ = self.write(key, expected, bytes);
                let hook = self.after_lost.lock().unwrap().take();
                if let Some(hook) = hook {
                    hook();
                }
                Err(error(Category::Unreachable))
            }
            Fault::Delayed => {
                let write = (key.to_owned(), expected, bytes.to_vec());
                self.state.lock().unwrap().delayed.push(write);
                if self.rng.lock().unwrap().bool() {
                    self.deliver_delayed();
                }
                Err(error(Category::Unreachable))
            }
        }
    }
}

fn error(category: Category) -> Error {
    Error::simulated("call", &"fake".into(), category)
}

thread_local! {
    static ELAPSED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    static START: Instant = Instant::now();
}

/// Clock that advances only on `sleep`, separately for each test thread.
pub struct SleepClock;

impl SleepClock {
    pub fn sleep(time: Duration) {
        ELAPSED.set(ELAPSED.get() + time);
    }
}

impl Clock for SleepClock {
    fn now(&self) -> Instant {
        START.with(|s| *s) + ELAPSED.get()
    }

    fn unix(&self) -> Duration {
        ELAPSED.get()
    }
}
