//! A store in memory whose faults are planned or drawn.

use std::cell::Cell;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use sapphirerack_catalogue::{Catalogue, Map};
use sapphirerack_clients::{Category, Error, Result, Value};
use sapphirerack_policy::Clock;
use sapphirerack_repository::{HEAD_KEY, Head, KeyValue, Part, Snapshot, part_key};

/// What happens to one write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    None,
    /// Takes effect; the answer is lost.
    LostAfter,
    /// Is lost without effect.
    LostBefore,
    /// Takes effect some time later, unless another write came first.
    Delayed,
    /// Is refused.
    Refused,
}

type Hook = Box<dyn FnOnce() + Send>;

#[derive(Default)]
struct State {
    values: Map<String, Vec<Vec<u8>>>,
    plan: VecDeque<Fault>,
    transit: Vec<(String, u64, Vec<u8>)>,
    down: bool,
    chaos: bool,
}

pub struct Fake {
    state: Mutex<State>,
    rng: Mutex<fastrand::Rng>,
    on_lost: Mutex<Option<Hook>>,
    before_swap: Mutex<Option<Hook>>,
}

impl Fake {
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::default(),
            rng: Mutex::new(fastrand::Rng::with_seed(seed)),
            on_lost: Mutex::default(),
            before_swap: Mutex::default(),
        })
    }

    /// Faults of the next writes, in order.
    pub fn plan(&self, faults: impl IntoIterator<Item = Fault>) {
        self.state.lock().unwrap().plan.extend(faults);
    }

    /// Called once, after the next answer is lost.
    pub fn on_lost(&self, hook: impl FnOnce() + Send + 'static) {
        *self.on_lost.lock().unwrap() = Some(Box::new(hook));
    }

    /// Called once, before the next write of the head.
    pub fn before_swap(&self, hook: impl FnOnce() + Send + 'static) {
        *self.before_swap.lock().unwrap() = Some(Box::new(hook));
    }

    pub fn set_down(&self, down: bool) {
        self.state.lock().unwrap().down = down;
    }

    pub fn set_chaos(&self, chaos: bool) {
        self.state.lock().unwrap().chaos = chaos;
    }

    /// Lets delayed writes arrive.
    pub fn land(&self) {
        let transit = std::mem::take(&mut self.state.lock().unwrap().transit);
        for (key, expected, bytes) in transit {
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

    fn draw(&self) -> Fault {
        let mut state = self.state.lock().unwrap();
        if let Some(fault) = state.plan.pop_front() {
            return fault;
        }
        if !state.chaos {
            return Fault::None;
        }
        match self.rng.lock().unwrap().u8(..10) {
            0 => Fault::LostAfter,
            1 => Fault::LostBefore,
            2 | 3 => Fault::Delayed,
            4 => Fault::Refused,
            _ => Fault::None,
        }
    }
}

impl KeyValue for Fake {
    fn get(&self, key: &str) -> Result<Option<Value>> {
        let state = self.state.lock().unwrap();
        let mut rng = self.rng.lock().unwrap();
        if state.down || (state.chaos && rng.u8(..8) == 0) {
            return Err(error(Category::Unreachable));
        }
        let Some(values) = state.values.get(key).filter(|v| !v.is_empty()) else {
            return Ok(None);
        };
        let stale = state.chaos && values.len() > 1 && rng.u8(..6) == 0;
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
        match self.draw() {
            Fault::None => self.write(key, expected, bytes),
            Fault::Refused => Err(error(Category::Refused)),
            Fault::LostBefore => Err(error(Category::Unreachable)),
            Fault::LostAfter => {
                let _ = self.write(key, expected, bytes);
                let hook = self.on_lost.lock().unwrap().take();
                if let Some(hook) = hook {
                    hook();
                }
                Err(error(Category::Unreachable))
            }
            Fault::Delayed => {
                let write = (key.to_owned(), expected, bytes.to_vec());
                self.state.lock().unwrap().transit.push(write);
                if self.rng.lock().unwrap().bool() {
                    self.land();
                }
                Err(error(Category::Unreachable))
            }
        }
    }
}

fn error(category: Category) -> Error {
    Error::stand_in("call", &"fake".into(), category)
}

thread_local! {
    static PASSED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    static START: Instant = Instant::now();
}

/// A clock, one for each test thread, that only pauses move.
pub struct PausingClock;

impl PausingClock {
    pub fn sleep(time: Duration) {
        PASSED.set(PASSED.get() + time);
    }
}

impl Clock for PausingClock {
    fn now(&self) -> Instant {
        START.with(|s| *s) + PASSED.get()
    }

    fn unix(&self) -> Duration {
        PASSED.get()
    }
}
