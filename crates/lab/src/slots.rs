//! Slots of a stand-in target: running and waiting requests, cold starts, cancellation.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use sapphirerack_catalogue::Map;
use tokio::sync::oneshot;

use crate::behaviour::{Behaviour, ColdStart, Overload};

/// Counters of a stand-in target.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Counters {
    /// Searches and bookings received.
    pub received: u64,
    /// Requests run to completion.
    pub served: u64,
    /// Requests refused as not run: queue full, shedding or draining.
    pub shed: u64,
    /// Requests whose deadline passed before they ran.
    pub expired: u64,
    /// Requests cancelled while waiting or running.
    pub cancelled: u64,
    /// Requests beyond the capacity of the cold target.
    pub overloads: u64,
    /// Requests that failed because of a defect or a crash.
    pub failed: u64,
    /// Requests for a snapshot that the target does not hold.
    pub conflicts: u64,
    /// Total time for which slots were occupied.
    pub busy: Duration,
    /// Peak number of running requests.
    pub most_running: u32,
    /// Peak number of outstanding requests, running or waiting.
    pub most_outstanding: u32,
    /// Peak number of outstanding requests while cold, refused ones included.
    pub most_cold: u32,
    /// Time of the last search or booking.
    pub last: Option<Instant>,
}

/// Event that ends a request's wait for a slot or for its service time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Signal {
    /// A slot is free.
    Run,
    /// The request was cancelled.
    Cancelled,
    /// The target crashed.
    Crashed,
}

/// Admission decision for a request.
#[derive(Debug)]
pub(crate) enum Admission {
    /// Runs at once.
    Run(oneshot::Receiver<Signal>),
    /// Waits for a slot.
    Wait(oneshot::Receiver<Signal>),
    /// Refused as not run.
    Shed,
    /// Fails, beyond the capacity of the cold target.
    Overloaded,
    /// Crashes the target, which is down for this time.
    Crash(Duration),
}

struct Entry {
    signal: oneshot::Sender<Signal>,
    request: String,
}

#[derive(Default)]
struct State {
    running: Map<u64, Entry>,
    waiting: VecDeque<(u64, Entry)>,
    /// Cold start in progress, and requests left until the target is warm.
    cold: Option<(ColdStart, u32)>,
    counters: Counters,
}

/// Slots of one target.
#[derive(Default)]
pub(crate) struct Slots {
    state: Mutex<State>,
}

impl Slots {
    /// Admits or refuses a request; `id` is unique within the target.
    pub(crate) fn admit(&self, id: u64, request: &str, behaviour: &Behaviour) -> Admission {
        let mut state = self.state.lock().unwrap();
        let outstanding = state.outstanding() + 1;
        if let Some((cold, _)) = state.cold {
            state.counters.most_cold = state.counters.most_cold.max(outstanding);
            if outstanding > cold.capacity {
                return state.overload(cold);
            }
        }
        if outstanding > behaviour.slots + behaviour.queue {
            state.counters.shed += 1;
            return Admission::Shed;
        }
        state.counters.most_outstanding = state.counters.most_outstanding.max(outstanding);
        let (signal, signals) = oneshot::channel();
        let entry = Entry { signal, request: request.to_owned() };
        if state.running() < behaviour.slots {
            state.run(id, entry);
            return Admission::Run(signals);
        }
        state.waiting.push_back((id, entry));
        Admission::Wait(signals)
    }

    /// A new receiver for a request that has just left the queue.
    pub(crate) fn rearm(&self, id: u64) -> oneshot::Receiver<Signal> {
        let (signal, signals) = oneshot::channel();
        if let Some(entry) = self.state.lock().unwrap().running.get_mut(&id) {
            entry.signal = signal;
        }
        signals
    }

    /// Removes a running or waiting request and starts waiting ones in the free slots.
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

    /// Cancels a waiting or running request; returns whether there was one.
    pub(crate) fn cancel(&self, request: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let id = state.find(request);
        let entry = id.and_then(|id| state.remove(id));
        entry.is_some_and(|e| e.signal.send(Signal::Cancelled).is_ok())
    }

    /// Counts a completed request, which also warms up a cold target.
    pub(crate) fn complete(&self) {
        let mut state = self.state.lock().unwrap();
        state.counters.served += 1;
        state.cold = state
            .cold
            .and_then(|(cold, left)| Some((cold, left.checked_sub(1).filter(|l| *l > 0)?)));
    }

    /// Begins a cold start, or ends it.
    pub(crate) fn set_cold(&self, cold: Option<ColdStart>) {
        self.state.lock().unwrap().cold = cold.map(|c| (c, c.warmup_requests));
    }

    /// The cold start in progress.
    pub(crate) fn cold(&self) -> Option<ColdStart> {
        self.state.lock().unwrap().cold.map(|(cold, _)| cold)
    }

    /// Number of running requests.
    pub(crate) fn running(&self) -> u32 {
        self.state.lock().unwrap().running()
    }

    /// Updates the counters.
    pub(crate) fn count(&self, change: impl FnOnce(&mut Counters)) {
        change(&mut self.state.lock().unwrap().counters);
    }

    pub(crate) fn counters(&self) -> Counters {
        self.state.lock().unwrap().counters
    }
}

impl State {
    fn running(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap()
    }

    fn outstanding(&self) -> u32 {
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
            let _ = entry.signal.send(Signal::Crashed);
        }
        self.cold = Some((cold, cold.warmup_requests));
        Admission::Crash(time)
    }

    fn find(&self, request: &str) -> Option<u64> {
        let waiting = self.waiting.iter().map(|(id, entry)| (id, entry));
        let mut all = waiting.chain(&self.running);
        all.find(|(_, entry)| entry.request == request).map(|(id, _)| *id)
    }

    fn remove(&mut self, id: u64) -> Option<Entry> {
        if let Some(entry) = self.running.remove(&id) {
            return Some(entry);
        }
        let index = self.waiting.iter().position(|(waiting, _)| *waiting == id)?;
        self.waiting.remove(index).map(|(_, entry)| entry)
    }
}
