//! Decides what the clients of a server may hold together, and which of them goes first.
//!
//! A connection holds its buffers, heads, bodies and answers. When the sum reaches the capacity, the
//! client goes that holds most and moves least: the one with the largest product of what it holds and
//! the time since it last moved something. A request that has been read whole stays, as it may run.
//! The last part of the capacity is for clients that hold little, so that large bodies do not lock
//! the others out.

use std::collections::BTreeMap;
use std::time::Instant;

/// What a client may hold and still use the last part of the capacity, in bytes.
const SMALL_SIZE: usize = 128 << 10;

/// Part of the capacity that is left for clients that hold little.
const RESERVED_PART: usize = 4;

/// What all clients of a server may hold together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Memory, in bytes.
    pub memory: usize,
    /// Connections.
    pub connections: usize,
}

/// What a client is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It is idle, sends a head, or takes an answer.
    Open,
    /// It sends a body.
    Receiving,
    /// Its request has been read and may run.
    Running,
}

/// Outcome of a request for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// It is granted and counted.
    Granted,
    /// It fits once clients that were told to go have gone.
    Wait,
    /// This client has to go first, and has been marked as such.
    Evict(Evicted),
    /// It is refused.
    Refused,
}

/// What one client holds.
#[derive(Debug)]
struct Holder {
    held: usize,
    phase: Phase,
    /// When it last moved something, or began something else.
    since: Instant,
    /// Whether it has been told to go.
    leaving: bool,
}

impl Holder {
    /// What it holds multiplied by the time for which it has moved nothing.
    fn weight(&self, now: Instant) -> f64 {
        self.held as f64 * now.saturating_duration_since(self.since).as_secs_f64()
    }
}

/// The clients of a server.
#[derive(Debug)]
pub struct Clients {
    capacity: Capacity,
    held: usize,
    /// Part of `held` of the clients that were told to go.
    leaving: usize,
    next: u64,
    holders: BTreeMap<u64, Holder>,
}

impl Clients {
    /// No clients yet.
    pub fn new(capacity: Capacity) -> Self {
        Self { capacity, held: 0, leaving: 0, next: 0, holders: BTreeMap::new() }
    }

    /// Adds a connection that holds nothing yet; `None` if there are too many and all have requests
    /// that may run.
    pub fn open(&mut self, now: Instant) -> Option<Opened> {
        let staying = self.holders.values().filter(|h| !h.leaving).count();
        let evicted = match staying < self.capacity.connections {
            true => None,
            false => Some(self.evict(now)?),
        };
        let id = self.next;
        self.next += 1;
        let holder = Holder { held: 0, phase: Phase::Open, since: now, leaving: false };
        self.holders.insert(id, holder);
        Some(Opened { id, evicted })
    }

    /// Removes a connection; what its requests still hold is released on its own.
    pub fn close(&mut self, id: u64) {
        if let Some(holder) = self.holders.remove(&id)
            && holder.leaving
        {
            self.leaving -= holder.held;
        }
    }

    /// Asks for more memory for a client.
    pub fn request(&mut self, id: u64, size: usize, now: Instant) -> Grant {
        let limit = self.limit(id, size);
        if self.held + size <= limit {
            self.add(id, size);
            return Grant::Granted;
        }
        if self.held - self.leaving + size <= limit {
            return Grant::Wait;
        }
        match self.heaviest(now) {
            Some(heaviest) if heaviest != id => Grant::Evict(self.mark_leaving(heaviest)),
            _ => Grant::Refused,
        }
    }

    /// Counts memory that a client holds already.
    pub fn add(&mut self, id: u64, size: usize) {
        self.held += size;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.held += size;
            self.leaving += if holder.leaving { size } else { 0 };
        }
    }

    /// Releases memory of a client, which may be closed.
    pub fn release(&mut self, id: u64, size: usize) {
        self.held -= size;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.held -= size;
            self.leaving -= if holder.leaving { size } else { 0 };
        }
    }

    /// Records that a client moves something.
    pub fn touch(&mut self, id: u64, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.since = now;
        }
    }

    /// Changes what a client is doing; one that has ended a request need no longer go.
    pub fn set_phase(&mut self, id: u64, phase: Phase, now: Instant) {
        let Some(holder) = self.holders.get_mut(&id) else { return };
        holder.phase = phase;
        holder.since = now;
        if phase == Phase::Open && holder.leaving {
            holder.leaving = false;
            self.leaving -= holder.held;
        }
    }

    /// Whether a client has been told to go.
    pub fn is_leaving(&self, id: u64) -> bool {
        self.holders.get(&id).is_none_or(|h| h.leaving)
    }

    /// Memory that is held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Number of connections.
    pub fn count(&self) -> usize {
        self.holders.len()
    }

    /// Most that may be held when this client gets `size` more.
    fn limit(&self, id: u64, size: usize) -> usize {
        let own = self.holders.get(&id).map_or(0, |h| h.held) + size;
        let memory = self.capacity.memory;
        if own <= SMALL_SIZE { memory } else { memory - memory / RESERVED_PART }
    }

    /// Marks the client that has to go first; `None` if none can.
    pub fn evict(&mut self, now: Instant) -> Option<Evicted> {
        let heaviest = self.heaviest(now)?;
        Some(self.mark_leaving(heaviest))
    }

    /// Whether more is held than the capacity, without clients that have been told to go.
    pub fn is_over(&self) -> bool {
        self.held - self.leaving > self.capacity.memory
    }

    fn heaviest(&self, now: Instant) -> Option<u64> {
        let can_go = |h: &Holder| h.phase != Phase::Running && !h.leaving;
        let holders = self.holders.iter().filter(|(_, h)| can_go(h));
        let weighed = holders.map(|(id, h)| (id, h.weight(now), h.held));
        let heaviest = weighed.max_by(|a, b| a.1.total_cmp(&b.1).then(a.2.cmp(&b.2)));
        heaviest.map(|(id, ..)| *id)
    }

    fn mark_leaving(&mut self, id: u64) -> Evicted {
        let mut phase = Phase::Open;
        if let Some(holder) = self.holders.get_mut(&id) {
            holder.leaving = true;
            phase = holder.phase;
            self.leaving += holder.held;
        }
        Evicted { id, phase }
    }
}

/// A client that has to go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Evicted {
    /// Number of the client.
    pub id: u64,
    /// What it is doing.
    pub phase: Phase,
}

/// A connection that was added.
#[derive(Debug)]
pub struct Opened {
    /// Number of the client.
    pub id: u64,
    /// Client that has to go for it.
    pub evicted: Option<Evicted>,
}
