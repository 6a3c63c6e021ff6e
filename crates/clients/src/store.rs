//! Client of the platform's key-value store and of its host list.
//!
//! Each key has a version that is incremented on every write. Writes are compare-and-swap on the
//! version; version 0 denotes a key that does not exist. A watch is a long poll until the version
//! of the key exceeds a given one.
//!
//! Uses `ureq`, because `minreq` has whole-second timeouts and no connection pool.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

use crate::error::Code;
use crate::http::{self, Response};
use crate::{Error, Result};

const VERSION_HEADER: &str = "x-version";

/// Maximum number of idle connections to the store.
const IDLE_LIMIT: usize = 4;

/// Maximum size of a value in the store, in bytes.
const VALUE_LIMIT: u64 = 1 << 20;

/// Time added to the wait of a watch for the timeout of the call.
const WATCH_GRACE: Duration = Duration::from_secs(1);

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Version of the key.
    pub version: u64,
    /// The value.
    pub bytes: Vec<u8>,
}

/// State of a host as reported by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Running.
    Live,
    /// Shutting down.
    Leaving,
}

/// Entry of the platform's host list, which may be stale.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Unique name.
    pub name: Name,
    /// Data centre of the host.
    pub data_centre: Name,
    /// Address for other hosts.
    pub address: SocketAddr,
    /// State of the host.
    pub state: HostState,
}

/// Client of the store.
#[derive(Clone, Debug)]
pub struct Store {
    agent: ureq::Agent,
    address: Arc<str>,
    timeout: Duration,
}

impl Store {
    /// Creates a client of the store at `address`; calls fail after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { agent: http::agent(IDLE_LIMIT), address: address.to_string().into(), timeout }
    }

    /// Reads a key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// The store did not reply, or refused the request.
    pub fn get(&self, key: &str) -> Result<Option<Value>> {
        let step = "read key";
        let request = self.agent.get(self.url(&format!("kv/{key}")));
        let response = http::fetch(request, self.timeout);
        self.read_value(step, response)
    }

    /// Waits up to `wait` until the version of the key exceeds `after`; `None` if it does not.
    ///
    /// # Errors
    ///
    /// The store did not reply, or refused the request.
    pub fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Value>> {
        let step = "watch key";
        let path = format!("kv/{key}?after={after}&wait_ms={}", wait.as_millis());
        let request = self.agent.get(self.url(&path));
        let response = http::fetch(request, wait + WATCH_GRACE);
        self.read_value(step, response)
    }

    /// Writes a key if its current version is `expected`; returns the new version.
    ///
    /// # Errors
    ///
    /// A conflict if the version differs. If the store did not reply, the write may have taken
    /// effect.
    pub fn swap(&self, key: &str, expected: u64, bytes: &[u8]) -> Result<u64> {
        let step = "write key";
        let request = self.agent.put(self.url(&format!("kv/{key}?version={expected}")));
        let response = self.check_result(step, http::send(request, self.timeout, bytes))?;
        match response.status().as_u16() {
            200 => self.read_version(step, &response),
            409 => Err(self.error(step, Code::Conflict)),
            status => Err(self.error(step, Code::Refused(status))),
        }
    }

    /// Reads the platform's host list, without the entries that are not those of a host.
    ///
    /// # Errors
    ///
    /// The store did not reply, or refused the request.
    pub fn hosts(&self) -> Result<Vec<HostEntry>> {
        let step = "read host list";
        let request = self.agent.get(self.url("hosts"));
        let response = http::fetch(request, self.timeout);
        let mut response = self.check_result(step, response)?;
        match response.status().as_u16() {
            200 => {
                let rows = http::read_json(&mut response, VALUE_LIMIT);
                let rows: Vec<Box<RawValue>> = rows.map_err(|c| self.error(step, c))?;
                Ok(rows.iter().filter_map(|row| read_host(row)).collect())
            }
            status => Err(self.error(step, Code::Refused(status))),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }

    fn check_result(&self, step: &'static str, response: http::CallResult) -> Result<Response> {
        response.map_err(|code| self.error(step, code))
    }

    fn read_value(&self, step: &'static str, response: http::CallResult) -> Result<Option<Value>> {
        let mut response = self.check_result(step, response)?;
        match response.status().as_u16() {
            200 => {
                let version = self.read_version(step, &response)?;
                let bytes = http::read_bytes(&mut response, VALUE_LIMIT);
                Ok(Some(Value { version, bytes: bytes.map_err(|c| self.error(step, c))? }))
            }
            304 | 404 => Ok(None),
            status => Err(self.error(step, Code::Refused(status))),
        }
    }

    fn read_version(&self, step: &'static str, response: &Response) -> Result<u64> {
        let header = response.headers().get(VERSION_HEADER).and_then(|v| v.to_str().ok());
        let parsed = header.and_then(|v| v.parse().ok());
        parsed.ok_or_else(|| self.error(step, Code::Malformed("no version".into())))
    }

    fn error(&self, step: &'static str, code: Code) -> Error {
        Error::new(step, &self.address, code)
    }
}

/// A row of the host list; `None` if it is not the entry of a host.
fn read_host(row: &RawValue) -> Option<HostEntry> {
    let entry = serde_json::from_str(row.get());
    entry.inspect_err(|e| log::warn!("step=\"read host list\" entry=odd error=\"{e}\"")).ok()
}
