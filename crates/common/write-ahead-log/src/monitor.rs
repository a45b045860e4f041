//! A value that two threads share, with waiting; tests put one in its place that plays all
//! interleavings.

use std::sync::{Condvar, Mutex, PoisonError};

/// A lock with a condition to wait for.
pub trait Monitor<T>: Send + Sync + Sized + 'static {
    /// Around a value.
    fn new(value: T) -> Self;
    /// Runs `act` with exclusive access to the value.
    fn with<R>(&self, act: impl FnOnce(&mut T) -> R) -> R;
    /// Blocks until `act` gives something; it runs at the beginning and after each
    /// [`Monitor::wake`].
    fn wait<R>(&self, act: impl FnMut(&mut T) -> Option<R>) -> R;
    /// Wakes the thread that waits.
    fn wake(&self);
}

/// The standard library's lock and condition variable.
pub struct StdMonitor<T> {
    value: Mutex<T>,
    changed: Condvar,
}

impl<T: Send + 'static> Monitor<T> for StdMonitor<T> {
    fn new(value: T) -> Self {
        Self {
            value: Mutex::new(value),
            changed: Condvar::new(),
        }
    }

    fn with<R>(&self, act: impl FnOnce(&mut T) -> R) -> R {
        // No code panics half way while it holds the lock, so a poisoned value is consistent.
        act(&mut self.value.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn wait<R>(&self, mut act: impl FnMut(&mut T) -> Option<R>) -> R {
        let mut value = self.value.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            if let Some(result) = act(&mut value) {
                return result;
            }
            value = self
                .changed
                .wait(value)
                .unwrap_or_else(PoisonError::into_inner);
        }
    }

    fn wake(&self) {
        self.changed.notify_one();
    }
}
