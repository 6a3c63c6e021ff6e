//! HTTP client of an entry host's operator API.

use serde_json::Value;

use crate::error::{Error, Result};

/// Request timeout, in seconds.
const TIMEOUT_S: u64 = 10;

/// Environment variable that holds the member's key if no key file is given.
const KEY_ENV: &str = "SAPPHIRERACK_KEY";

/// Client of one entry host.
pub(crate) struct Client {
    host: String,
    member: Option<String>,
    key: Option<String>,
}

impl Client {
    /// Client of the host at `host`, acting on behalf of `member`.
    ///
    /// # Errors
    ///
    /// The key file can't be read.
    pub(crate) fn new(
        host: String,
        member: Option<String>,
        key_file: Option<&str>,
    ) -> Result<Self> {
        let key = match key_file {
            Some(path) => Some(read_file(path)?.trim().to_owned()),
            None => std::env::var(KEY_ENV).ok(),
        };
        Ok(Self { host, member, key })
    }

    /// Sends a GET request for `path`.
    ///
    /// # Errors
    ///
    /// The host does not respond or refuses the request.
    pub(crate) fn get(&self, step: &'static str, path: &str) -> Result<Value> {
        self.send(step, minreq::get(self.url(path)))
    }

    /// Sends `body` to `path` with the change id `change`.
    ///
    /// # Errors
    ///
    /// The host does not respond, refuses the request or reports a conflict.
    pub(crate) fn change(
        &self,
        step: &'static str,
        method: minreq::Method,
        path: &str,
        change: &str,
        body: String,
    ) -> Result<Value> {
        let request = minreq::Request::new(method, self.url(path));
        self.send(step, request.with_header("x-change-id", change).with_body(body))
    }

    /// Posts `body` to `path`.
    ///
    /// # Errors
    ///
    /// The host does not respond, refuses the request or reports a conflict.
    pub(crate) fn post(&self, step: &'static str, path: &str, body: String) -> Result<Value> {
        self.send(step, minreq::post(self.url(path)).with_body(body))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.host)
    }

    fn send(&self, step: &'static str, request: minreq::Request) -> Result<Value> {
        let mut request = request.with_timeout(TIMEOUT_S);
        if let Some(member) = &self.member {
            request = request.with_header("x-member", member);
        }
        if let Some(key) = &self.key {
            request = request.with_header("authorization", format!("Bearer {key}"));
        }
        let peer = self.host.clone();
        let response = match request.send() {
            Ok(response) => response,
            Err(e) => return Err(Error::Unreachable { step, peer, message: e.to_string() }),
        };
        let status = response.status_code;
        let body = response.as_str().unwrap_or_default();
        match status {
            200 => serde_json::from_str(body).map_err(|e| Error::Unreachable {
                step,
                peer,
                message: e.to_string(),
            }),
            409 => Err(Error::Conflict { step, peer, message: error_message(body) }),
            504 => Err(Error::Unknown { step, peer, message: error_message(body) }),
            _ => Err(Error::Refused { step, peer, status, message: error_message(body) }),
        }
    }
}

/// Reads a file given by the operator.
///
/// # Errors
///
/// The file can't be read.
pub(crate) fn read_file(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|e| Error::File(format!("read {path}: {e}")))
}

/// Unique id of a change.
pub(crate) fn change_id() -> String {
    format!("{:016x}", fastrand::u64(..))
}

/// Error message in the body of a refusal, on one line.
fn error_message(body: &str) -> String {
    let parsed: Option<Value> = serde_json::from_str(body).ok();
    let error = parsed.as_ref().and_then(|v| v["error"].as_str());
    error.unwrap_or(body).replace('\n', " ")
}
