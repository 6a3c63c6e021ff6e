//! Client of the platform's key-value store and of its host list.
//!
//! Keys carry a version that rises with every write. Writes are compare-and-swap against it;
//! version 0 stands for a key that does not exist. A watch is a read that waits until the key's
//! version is above a given one.
//!
//! `minreq` counts timeouts in whole seconds and keeps no connections, so `ureq` stands in here.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sapphirerack_catalogue::Name;
use serde::{Deserialize, Serialize};

use crate::error::Code;
use crate::http::{self, Response};
use crate::{Error, Result};

const VERSION_HEADER: &str = "x-version";

/// Idle connections kept to the store.
const IDLE_LIMIT: usize = 4;

/// Largest value that the store holds, in bytes.
const VALUE_LIMIT: u64 = 1 << 20;

/// Time added to a watch's own wait before the call is given up.
const WATCH_GRACE: Duration = Duration::from_secs(1);

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Version of the key.
    pub version: u64,
    /// The value.
    pub bytes: Vec<u8>,
}

/// Whether the platform counts a host as live.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    /// Runs, as far as the platform knows.
    Live,
    /// Is about to stop.
    Leaving,
}

/// An entry host on the platform's list, which lags.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostEntry {
    /// Unique name.
    pub name: Name,
    /// Data centre in which it stands.
    pub data_centre: Name,
    /// Address for other hosts.
    pub address: SocketAddr,
    /// Whether it is live.
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
    /// Client of the store at `address`; calls are given up after `timeout`.
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self { agent: http::agent(IDLE_LIMIT), address: address.to_string().into(), timeout }
    }

    /// Reads a key; `None` if it does not exist.
    ///
    /// # Errors
    ///
    /// The store did not answer, or refused.
    pub fn get(&self, key: &str) -> Result<Option<Value>> {
        let step = "read key";
        let request = self.agent.get(self.url(&format!("kv/{key}")));
        let response = http::fetch(request, self.timeout);
        self.value(step, response)
    }

    /// Waits until the key's version is above `after`; `None` if that did not happen in time.
    ///
    /// # Errors
    ///
    /// The store did not answer, or refused.
    pub fn watch(&self, key: &str, after: u64, wait: Duration) -> Result<Option<Value>> {
        let step = "watch key";
        let path = format!("kv/{key}?after={after}&wait_ms={}", wait.as_millis());
        let request = self.agent.get(self.url(&path));
        let response = http::fetch(request, wait + WATCH_GRACE);
        self.value(step, response)
    }

    /// Writes a key if its version is `expected`; returns the new version.
    ///
    /// # Errors
    ///
    /// A conflict if the version is another. If the store did not answer, the write may have
    /// taken effect.
    pub fn swap(&self, key: &str, expected: u64, bytes: &[u8]) -> Result<u64> {
        let step = "write key";
        let request = self.agent.put(self.url(&format!("kv/{key}?version={expected}")));
        let response = self.reached(step, http::send(request, self.timeout, bytes))?;
        match response.status().as_u16() {
            200 => self.version(step, &response),
            409 => Err(self.error(step, Code::Conflict)),
            status => Err(self.error(step, Code::Refused(status))),
        }
    }

    /// Reads the platform's host list.
    ///
    /// # Errors
    ///
    /// The store did not answer, or refused.
    pub fn hosts(&self) -> Result<Vec<HostEntry>> {
        let step = "read host list";
        let request = self.agent.get(self.url("hosts"));
        let response = http::fetch(request, self.timeout);
        let mut response = self.reached(step, response)?;
        match response.status().as_u16() {
            200 => http::json(&mut response, VALUE_LIMIT).map_err(|c| self.error(step, c)),
            status => Err(self.error(step, Code::Refused(status))),
        }
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }

    fn reached(&self, step: &'static str, response: http::Answer) -> Result<Response> {
        response.map_err(|code| self.error(step, code))
    }

    fn value(&self, step: &'static str, response: http::Answer) -> Result<Option<Value>> {
        let mut response = self.reached(step, response)?;
        match response.status().as_u16() {
            200 => {
                let version = self.version(step, &response)?;
                let bytes = http::bytes(&mut response, VALUE_LIMIT);
                Ok(Some(Value { version, bytes: bytes.map_err(|c| self.error(step, c))? }))
            }
            304 | 404 => Ok(None),
            status => Err(self.error(step, Code::Refused(status))),
        }
    }

    fn version(&self, step: &'static str, response: &Response) -> Result<u64> {
        let header = response.headers().get(VERSION_HEADER).and_then(|v| v.to_str().ok());
        let parsed = header.and_then(|v| v.parse().ok());
        parsed.ok_or_else(|| self.error(step, Code::Malformed("no version".into())))
    }

    fn error(&self, step: &'static str, code: Code) -> Error {
        Error::new(step, &self.address, code)
    }
}
