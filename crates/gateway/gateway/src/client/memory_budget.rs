//! How much of the memory is taken by what clients sent.

use std::cell::Cell;
use std::rc::Rc;

/// What a request takes beside its body.
const EACH: usize = 8 * 1024;

/// A budget of bytes.
#[derive(Clone, Debug)]
pub struct Memory(Rc<Inner>);

#[derive(Debug)]
struct Inner {
    taken: Cell<usize>,
    most: usize,
}

/// Bytes that are taken until it is dropped.
#[derive(Debug)]
pub struct Claim {
    memory: Memory,
    bytes: usize,
}

impl Memory {
    /// So many bytes.
    pub fn new(most: usize) -> Self {
        Memory(Rc::new(Inner {
            taken: Cell::new(0),
            most,
        }))
    }

    /// What is taken.
    pub fn taken(&self) -> usize {
        self.0.taken.get()
    }

    /// Takes bytes for a body of this length; none if there is no room.
    pub fn claim(&self, length: usize) -> Option<Claim> {
        let bytes = length.checked_add(EACH)?;
        let taken = self
            .0
            .taken
            .get()
            .checked_add(bytes)
            .filter(|taken| *taken <= self.0.most)?;
        self.0.taken.set(taken);
        Some(Claim {
            memory: self.clone(),
            bytes,
        })
    }
}

impl Claim {
    /// The body is so long by now; false if there is no room for it.
    pub fn grow(&mut self, length: usize) -> bool {
        let Some(more) = length.saturating_add(EACH).checked_sub(self.bytes) else {
            return true;
        };
        let taken = self.memory.0.taken.get().saturating_add(more);
        let fits = taken <= self.memory.0.most;
        if fits {
            self.bytes += more;
            self.memory.0.taken.set(taken);
        }
        fits
    }
}

impl Drop for Claim {
    fn drop(&mut self) {
        self.memory
            .0
            .taken
            .set(self.memory.0.taken.get().saturating_sub(self.bytes));
    }
}
