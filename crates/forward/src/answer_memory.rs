//! Memory that the answers of peers may take, in sum over all connections.
//!
//! A faulty peer may send an answer without end. The limit of one answer does not suffice, because
//! many such answers at once would exceed the memory of the process.

use std::cell::Cell;
use std::rc::Rc;

/// Memory for the bodies of answers, in bytes.
const CAPACITY: usize = 48 << 20;

/// Memory that is left for the bodies of answers.
#[derive(Clone, Debug)]
pub(crate) struct AnswerMemory {
    left: Rc<Cell<usize>>,
}

impl AnswerMemory {
    /// An empty reservation.
    pub(crate) fn reserve(&self) -> Reservation {
        Reservation { memory: self.clone(), size: 0 }
    }
}

impl Default for AnswerMemory {
    fn default() -> Self {
        Self { left: Rc::new(Cell::new(CAPACITY)) }
    }
}

/// Memory that one answer takes, returned on drop.
#[derive(Debug)]
pub(crate) struct Reservation {
    memory: AnswerMemory,
    size: usize,
}

impl Reservation {
    /// Reserves `size` more bytes; false if fewer are left.
    pub(crate) fn grow(&mut self, size: usize) -> bool {
        let left = self.memory.left.get();
        if size > left {
            return false;
        }
        self.memory.left.set(left - size);
        self.size += size;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory.left.set(self.memory.left.get() + self.size);
    }
}
