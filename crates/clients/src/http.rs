//! Common code of the HTTP clients.

use std::io::ErrorKind;
use std::time::Duration;

use serde::de::DeserializeOwned;
use ureq::typestate::{WithBody, WithoutBody};
use ureq::{Agent, RequestBuilder};

use crate::error::Code;

/// Response with an unread body.
pub(crate) type Response = ureq::http::Response<ureq::Body>;

/// Response with any status, or the error of the call.
pub(crate) type CallResult = Result<Response, Code>;

/// Agent that pools up to `idle` connections; error statuses and redirects are returned as is.
pub(crate) fn agent(idle: usize) -> Agent {
    let config = Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .max_redirects_will_error(false)
        .max_idle_connections(idle)
        .max_idle_connections_per_host(idle)
        .build();
    config.into()
}

/// Sends a request without a body.
pub(crate) fn fetch(request: RequestBuilder<WithoutBody>, timeout: Duration) -> CallResult {
    let request = request.config().timeout_global(Some(timeout)).build();
    request.call().map_err(error_code)
}

/// Sends a request with a body.
pub(crate) fn send(
    request: RequestBuilder<WithBody>,
    timeout: Duration,
    body: &[u8],
) -> CallResult {
    let request = request.config().timeout_global(Some(timeout)).build();
    request.send(body).map_err(error_code)
}

/// Reads a body of at most `limit` bytes.
pub(crate) fn read_bytes(response: &mut Response, limit: u64) -> Result<Vec<u8>, Code> {
    let body = response.body_mut().with_config().limit(limit).read_to_vec();
    body.map_err(error_code)
}

/// Reads a JSON body of at most `limit` bytes.
pub(crate) fn read_json<T: DeserializeOwned>(
    response: &mut Response,
    limit: u64,
) -> Result<T, Code> {
    let body = read_bytes(response, limit)?;
    serde_json::from_slice(&body).map_err(|e| Code::Malformed(e.to_string()))
}

fn error_code(error: ureq::Error) -> Code {
    match error {
        ureq::Error::Timeout(_) => Code::Timeout,
        ureq::Error::BodyExceedsLimit(limit) => {
            Code::Malformed(format!("body of more than {limit} bytes"))
        }
        ureq::Error::ConnectionFailed => Code::Unconnected(error.to_string()),
        ureq::Error::Io(e) if e.kind() == ErrorKind::ConnectionRefused => {
            Code::Unconnected(e.to_string())
        }
        e => Code::Unreachable(e.to_string()),
    }
}
