//! Client of one target.
//!
//! Requests carry an absolute deadline, after which the target drops them. The client pools its
//! connections, because opening one takes up to 6 ms. Uses `ureq`, because `minreq` has no
//! connection pool.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use sapphirerack_catalogue::Span;
use sapphirerack_policy::SnapshotId;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use ureq::Agent;

use crate::error::Code;
use crate::http::{self, Response};
use crate::{Error, Result};

/// Maximum size of a target's response, in bytes.
const RESPONSE_LIMIT: u64 = 1 << 20;

/// Search request to one target.
#[derive(Clone, Debug)]
pub struct SearchRequest<'a> {
    /// Request id, echoed in the response.
    pub request: &'a str,
    /// Snapshot to search.
    pub snapshot: SnapshotId,
    /// Partitions to search.
    pub span: Span,
    /// Route of the query within the service.
    pub route: &'a str,
    /// Deadline since the Unix epoch, after which the target drops the request.
    pub deadline: Duration,
    /// Time remaining until the deadline.
    pub timeout: Duration,
    /// The caller's query.
    pub query: &'a [u8],
}

/// Response to a search.
#[derive(Debug, Deserialize)]
pub struct SearchResponse {
    /// Request id of the search.
    pub request: String,
    /// Snapshot that was searched.
    pub snapshot: SnapshotId,
    /// Partitions that were searched.
    pub span: Span,
    /// Snapshots that the target holds.
    #[serde(default)]
    pub held: Vec<SnapshotId>,
    /// Results as JSON text.
    pub results: Box<RawValue>,
}

/// Self-reported state of a target; may be stale or wrong.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Health {
    /// Whether the target reports itself healthy.
    pub healthy: bool,
    /// Utilization, 0 to 1.
    #[serde(default)]
    pub load: f64,
    /// Snapshots that the target holds.
    #[serde(default)]
    pub held: Vec<SnapshotId>,
}

/// Client of one target with a connection pool.
#[derive(Clone, Debug)]
pub struct TargetClient {
    pub(crate) agent: Agent,
    pub(crate) address: Arc<str>,
}

impl TargetClient {
    /// Creates a client of the target at `address` that keeps up to `connections` idle connections.
    pub fn new(address: SocketAddr, connections: usize) -> Self {
        let agent = http::agent(connections);
        Self { agent, address: address.to_string().into() }
    }

    /// Runs a search.
    ///
    /// # Errors
    ///
    /// The target did not reply in time, refused the request (503 when it sheds load, 409 when it
    /// does not hold the snapshot), or sent something other than the response to this request.
    pub fn search(&self, search: &SearchRequest<'_>) -> Result<SearchResponse> {
        let step = "search target";
        let request = self
            .agent
            .post(self.url("search"))
            .header("x-request-id", search.request)
            .header("x-snapshot", search.snapshot.to_string())
            .header("x-span", format!("{}-{}", search.span.start, search.span.end))
            .header("x-route", search.route)
            .header("x-deadline-us", search.deadline.as_micros().to_string());
        let response = http::send(request, search.timeout, search.query);
        let found: SearchResponse = self.read_json(step, response)?;
        if found.request != search.request {
            return Err(self.error(step, Code::Malformed("answer to another request".into())));
        }
        Ok(found)
    }

    /// Cancels a request.
    ///
    /// # Errors
    ///
    /// The target did not reply in time, or refused the cancellation.
    pub fn cancel(&self, request: &str, timeout: Duration) -> Result<()> {
        let request = self.agent.post(self.url(&format!("cancel/{request}")));
        self.check_status("cancel request", http::send(request, timeout, &[])).map(drop)
    }

    /// Reads the health of the target.
    ///
    /// # Errors
    ///
    /// The target did not reply in time, refused the request, or sent a malformed response.
    pub fn health(&self, timeout: Duration) -> Result<Health> {
        self.read_json("read health", http::fetch(self.agent.get(self.url("health")), timeout))
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }

    fn read_json<T: DeserializeOwned>(
        &self,
        step: &'static str,
        result: http::CallResult,
    ) -> Result<T> {
        let mut response = self.check_status(step, result)?;
        http::read_json(&mut response, RESPONSE_LIMIT).map_err(|c| self.error(step, c))
    }

    fn check_status(&self, step: &'static str, result: http::CallResult) -> Result<Response> {
        let response = result.map_err(|c| self.error(step, c))?;
        match response.status().as_u16() {
            200 => Ok(response),
            status => Err(self.error(step, Code::Refused(status))),
        }
    }

    fn error(&self, step: &'static str, code: Code) -> Error {
        Error::new(step, &self.address, code)
    }
}
