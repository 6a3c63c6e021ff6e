//! Client of one target.
//!
//! Requests carry an absolute deadline, after which the target drops them. The client keeps its
//! connections, as a new one costs up to 6 ms: `minreq` has no pool, so `ureq` stands in here.

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

/// Largest answer of a target, in bytes.
const ANSWER_LIMIT: u64 = 1 << 20;

/// A search at one target.
#[derive(Clone, Debug)]
pub struct Search<'a> {
    /// Request id, repeated in the answer.
    pub request: &'a str,
    /// Snapshot to read.
    pub snapshot: SnapshotId,
    /// Partitions to read.
    pub span: Span,
    /// Route of the query within the service.
    pub route: &'a str,
    /// Time since the Unix epoch after which the target drops the request.
    pub deadline: Duration,
    /// Time left until then.
    pub timeout: Duration,
    /// The caller's query.
    pub query: &'a [u8],
}

/// Answer to a search.
#[derive(Debug, Deserialize)]
pub struct Found {
    /// Request id of the search that it answers.
    pub request: String,
    /// Snapshot that was read.
    pub snapshot: SnapshotId,
    /// Partitions that were read.
    pub span: Span,
    /// Snapshots that the target holds.
    #[serde(default)]
    pub held: Vec<SnapshotId>,
    /// Results as JSON text.
    pub results: Box<RawValue>,
}

/// What a target says of itself; it lags and may mislead.
#[derive(Clone, Debug, PartialEq, Deserialize)]
pub struct Health {
    /// Whether it calls itself healthy.
    pub healthy: bool,
    /// Share of its capacity in use, 0 to 1.
    #[serde(default)]
    pub load: f64,
    /// Snapshots that it holds.
    #[serde(default)]
    pub held: Vec<SnapshotId>,
}

/// Client of one target with kept connections.
#[derive(Clone, Debug)]
pub struct TargetClient {
    pub(crate) agent: Agent,
    pub(crate) address: Arc<str>,
}

impl TargetClient {
    /// Client of the target at `address` that keeps up to `connections` idle ones.
    pub fn new(address: SocketAddr, connections: usize) -> Self {
        let agent = http::agent(connections);
        Self { agent, address: address.to_string().into() }
    }

    /// Runs a search.
    ///
    /// # Errors
    ///
    /// The target did not answer in time, refused (503 when it sheds load, 409 when it does not
    /// hold the snapshot), or sent something that is not the answer to this request.
    pub fn search(&self, search: &Search<'_>) -> Result<Found> {
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
        let found: Found = self.json(step, response)?;
        if found.request != search.request {
            return Err(self.error(step, Code::Malformed("answer to another request".into())));
        }
        Ok(found)
    }

    /// Withdraws a request.
    ///
    /// # Errors
    ///
    /// The target did not answer in time, or refused.
    pub fn cancel(&self, request: &str, timeout: Duration) -> Result<()> {
        let request = self.agent.post(self.url(&format!("cancel/{request}")));
        self.accept("cancel request", http::send(request, timeout, &[])).map(drop)
    }

    /// Asks the target how it is.
    ///
    /// # Errors
    ///
    /// The target did not answer in time, refused, or sent something else.
    pub fn health(&self, timeout: Duration) -> Result<Health> {
        self.json("read health", http::fetch(self.agent.get(self.url("health")), timeout))
    }

    pub(crate) fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }

    fn json<T: DeserializeOwned>(&self, step: &'static str, answer: http::Answer) -> Result<T> {
        let mut response = self.accept(step, answer)?;
        http::json(&mut response, ANSWER_LIMIT).map_err(|c| self.error(step, c))
    }

    fn accept(&self, step: &'static str, answer: http::Answer) -> Result<Response> {
        let response = answer.map_err(|c| self.error(step, c))?;
        match response.status().as_u16() {
            200 => Ok(response),
            status => Err(self.error(step, Code::Refused(status))),
        }
    }

    fn error(&self, step: &'static str, code: Code) -> Error {
        Error::new(step, &self.address, code)
    }
}
