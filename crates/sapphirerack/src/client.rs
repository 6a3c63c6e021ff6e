//! Operators' calls to an entry host.

use serde_json::Value;

use crate::error::{Error, Result};

/// Seconds after which a call is given up.
const TIMEOUT: u64 = 10;

/// Variable that holds the member's key if no file is given.
const KEY_VARIABLE: &str = "SAPPHIRERACK_KEY";

/// Client of one entry host.
pub(crate) struct Client {
    host: String,
    member: Option<String>,
    key: Option<String>,
}

impl Client {
    /// Client of the host at `host`, acting for `member`.
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
            Some(path) => Some(read(path)?.trim().to_owned()),
            None => std::env::var(KEY_VARIABLE).ok(),
        };
        Ok(Self { host, member, key })
    }

    /// Reads `path`.
    ///
    /// # Errors
    ///
    /// No answer, or a refusal.
    pub(crate) fn get(&self, step: &'static str, path: &str) -> Result<Value> {
        self.send(step, minreq::get(self.url(path)))
    }

    /// Sends `body` to `path` as the change `change`.
    ///
    /// # Errors
    ///
    /// No answer, a refusal or a conflict.
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
    /// No answer, a refusal or a conflict.
    pub(crate) fn post(&self, step: &'static str, path: &str, body: String) -> Result<Value> {
        self.send(step, minreq::post(self.url(path)).with_body(body))
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.host)
    }

    fn send(&self, step: &'static str, request: minreq::Request) -> Result<Value> {
        let mut request = request.with_timeout(TIMEOUT);
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
            409 => Err(Error::Conflict { step, peer, message: reason(body) }),
            504 => Err(Error::Unknown { step, peer, message: reason(body) }),
            _ => Err(Error::Refused { step, peer, status, message: reason(body) }),
        }
    }
}

/// Reads a file that the operator named.
///
/// # Errors
///
/// The file can't be read.
pub(crate) fn read(path: &str) -> Result<String> {
    std::fs::read_to_string(path).map_err(|e| Error::File(format!("read {path}: {e}")))
}

/// Unique id of a change.
pub(crate) fn change_id() -> String {
    format!("{:016x}", fastrand::u64(..))
}

/// What a refusal says, on one line.
fn reason(body: &str) -> String {
    let parsed: Option<Value> = serde_json::from_str(body).ok();
    let error = parsed.as_ref().and_then(|v| v["error"].as_str());
    error.unwrap_or(body).replace('\n', " ")
}
