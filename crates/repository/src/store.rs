//! Interface of the store.

use sapphirerack_clients::{Result, Store, Value};

/// A key-value store with compare-and-swap.
pub trait KeyValue: Send + Sync {
    /// Reads a key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// The store did not reply, or refused the request.
    fn get(&self, key: &str) -> Result<Option<Value>>;

    /// Writes a key if its current version is `expected`; returns the new version.
    ///
    /// # Errors
    ///
    /// A conflict if the version differs. If the store did not reply, the write may have taken
    /// effect, or may still do so.
    fn swap(&self, key: &str, expected: u64, bytes: &[u8]) -> Result<u64>;
}

impl KeyValue for Store {
    fn get(&self, key: &str) -> Result<Option<Value>> {
        Store::get(self, key)
    }

    fn swap(&self, key: &str, expected: u64, bytes: &[u8]) -> Result<u64> {
        Store::swap(self, key, expected, bytes)
    }
}
