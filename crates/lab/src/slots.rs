//! Slots of a stand-in target: what runs, what waits, cold starts, cancellation.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::Map;
use tokio::sync::oneshot;

use crate::behaviour::{Behaviour, ColdStart, Overload};

/// What a stand-in target has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Searches and bookings that arrived.
    pub received: u64,
    /// Requests that ran to their end.
    pub served: u64,
    /// Requests refused as not run: queue full, shedding or draining.
    pub shed: u64,
    /// Requests dropped before they ran, as their deadline had passed.
    pub expired: u64,
    /// Requests that were cancelled, waiting or running.
    pub cancelled: u64,
    /// Requests that came while it was cold and bore no more.
    pub overloads: u64,
    /// Requests that a defect or a fall made fail.
    pub failed: u64,
    /// Requests for a snapshot that it does not hold.
    pub conflicts: u64,
    /// Time for which slots were taken.
    pub busy: Duration,
    /// Most requests that ran at the same time.
    pub most_running: u32,
    /// Most requests that ran or waited at the same time.
    pub most_outstanding: u32,
    /// Most requests that ran or waited at the same time while it was cold.
    pub most_cold: u32,
    /// When the last search or booking arrived.
    pub last: Option<Instant>,
}

/// Why a request ends before its service time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    /// It may run now.
    Run,
    /// It was cancelled.
    Cancelled,
    /// The target fell over.
    Fell,
}

/// What becomes of a request that arrives.
#[derive(Debug)]
pub(crate) enum Admission {
    /// It runs.
    Run(oneshot::Receiver<Signal>),
    /// It waits for a slot.
    Wait(oneshot::Receiver<Signal>),
    /// It is refused as not run.
    Shed,
    /// It fails, as the target is cold and bears no more.
    Overloaded,
    /// It brings the target down for the time.
    Falls(Duration),
}

struct Entry {
    signal: oneshot::Sender<Signal>,
    request: String,
}

#[derive(Default)]
struct State {
    running: Map<u64, Entry>,
    waiting: VecDeque<(u64, Entry)>,
    cold: Option<(ColdStart, u32)>,
    counters: Counters,
}

/// Slots of one target.
#[derive(Default)]
pub(crate) struct Slots {
    state: Mutex<State>,
}

impl Slots {
    /// Takes in a request, known here by the unique `id`.
    pub(crate) fn admit(&self, id: u64, request: &str, behaviour: &Behaviour) -> Admission {
        let mut state = self.state.lock().unwrap();
        let held = state.held() + 1;
        if let Some((cold, _)) = state.cold {
            state.counters.most_cold = state.counters.most_cold.max(held);
            if held > cold.capacity {
                return state.overload(cold);
            }
        }
        if held > behaviour.slots + behaviour.queue {
            state.counters.shed += 1;
            return Admission::Shed;
        }
        state.counters.most_outstanding = state.counters.most_outstanding.max(held);
        let (signal, signals) = oneshot::channel();
        let entry = Entry { signal, request: request.to_owned() };
        if state.running() < behaviour.slots {
            state.run(id, entry);
            return Admission::Run(signals);
        }
        state.waiting.push_back((id, entry));
        Admission::Wait(signals)
    }

    /// A new receiver for a request that has just been told to run.
    pub(crate) fn rearm(&self, id: u64) -> oneshot::Receiver<Signal> {
        let (signal, signals) = oneshot::channel();
        if let Some(entry) = self.state.lock().unwrap().running.get_mut(&id) {
            entry.signal = signal;
        }
        signals
    }

    /// Lets a request go, whether it ran or waited; the next ones run.
    pub(crate) fn release(&self, id: u64, slots: u32, busy: Duration) {
        let mut state = self.state.lock().unwrap();
        state.waiting.retain(|(waiting, _)| *waiting != id);
        state.counters.busy += busy;
        state.running.remove(&id);
        while state.running() < slots
            && let Some((next, entry)) = state.waiting.pop_front()
        {
            let (signal, _) = oneshot::channel();
            let request = entry.request.clone();
            if entry.signal.send(Signal::Run).is_ok() {
                state.run(next, Entry { signal, request });
            }
        }
    }

    /// Ends a request that waits or runs; tells whether there was one.
    pub(crate) fn cancel(&self, request: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let id = state.find(request);
        let entry = id.and_then(|id| state.take(id));
        entry.is_some_and(|e| e.signal.send(Signal::Cancelled).is_ok())
    }

    /// Notes a request that ran to its end, which warms the target.
    pub(crate) fn ran(&self) {
        let mut state = self.state.lock().unwrap();
        state.counters.served += 1;
        state.cold = state
            .cold
            .and_then(|(cold, left)| Some((cold, left.checked_sub(1).filter(|l| *l > 0)?)));
    }

    /// Makes the target cold, or warm.
    pub(crate) fn set_cold(&self, cold: Option<ColdStart>) {
        self.state.lock().unwrap().cold = cold.map(|c| (c, c.warmup_requests));
    }

    /// The cold start that it is in.
    pub(crate) fn cold(&self) -> Option<ColdStart> {
        self.state.lock().unwrap().cold.map(|(cold, _)| cold)
    }

    /// Requests that run.
    pub(crate) fn running(&self) -> u32 {
        self.state.lock().unwrap().running()
    }

    /// Changes the counters.
    pub(crate) fn count(&self, change: impl FnOnce(&mut Counters)) {
        change(&mut self.state.lock().unwrap().counters);
    }

    /// The counters.
    pub(crate) fn counters(&self) -> Counters {
        self.state.lock().unwrap().counters
    }
}

impl State {
    fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap()
    }

    fn held(&self) -> u32 {
        self.running() + u32::try_from(self.waiting.len()).unwrap()
    }

    fn run(&mut self, id: u64, entry: Entry) {
        self.running.insert(id, entry);
        self.counters.most_running = self.counters.most_running.max(self.running());
    }

    fn overload(&mut self, cold: ColdStart) -> Admission {
        self.counters.overloads += 1;
        let Overload::Crash(time) = cold.overload else {
            return Admission::Overloaded;
        };
        let waiting = self.waiting.drain(..).map(|(_, entry)| entry);
        for entry in waiting.chain(self.running.drain().map(|(_, entry)| entry)) {
            let _ = entry.signal.send(Signal::Fell);
        }
        self.cold = Some((cold, cold.warmup_requests));
        Admission::Falls(time)
    }

    fn find(&self, request: &str) -> Option<u64> {
        let waiting = self.waiting.iter().map(|(id, entry)| (id, entry));
        let mut all = waiting.chain(&self.running);
        all.find(|(_, entry)| entry.request == request).map(|(id, _)| *id)
    }

    fn take(&mut self, id: u64) -> Option<Entry> {
        if let Some(entry) = self.running.remove(&id) {
            return Some(entry);
        }
        let place = self.waiting.iter().position(|(waiting, _)| *waiting == id)?;
        self.waiting.remove(place).map(|(_, entry)| entry)
    }
}
