//! Bookings at a target.
//!
//! A booking is sent at most once. It counts as not run only if the target says so or if no
//! connection could be opened; after any other failure it may have run.

use std::io::ErrorKind;
use std::time::Duration;

use sapphirerack_policy::booking::AttemptOutcome;
use serde::Deserialize;
use ureq::Timeout;

use crate::TargetClient;
use crate::http;

/// Maximum size of a booking response, in bytes; responses are stored for retries.
const RESPONSE_LIMIT: u64 = 16 << 10;

/// Booking request to one target.
#[derive(Clone, Debug)]
pub struct BookingRequest<'a> {
    /// Request id, echoed in the response.
    pub request: &'a str,
    /// Idempotency key.
    pub key: &'a str,
    /// Deadline since the Unix epoch, after which the target drops the request.
    pub deadline: Duration,
    /// Time remaining until the deadline.
    pub timeout: Duration,
    /// The caller's request.
    pub body: &'a [u8],
}

#[derive(Deserialize)]
struct BookingResponse {
    request: String,
}

#[derive(Deserialize)]
struct ErrorResponse {
    #[serde(default)]
    not_run: bool,
}

impl TargetClient {
    /// Sends a booking, without retries.
    pub fn book(&self, book: &BookingRequest<'_>) -> AttemptOutcome {
        let request = self
            .agent
            .post(self.url("book"))
            .header("x-request-id", book.request)
            .header("x-idempotency-key", book.key)
            .header("x-deadline-us", book.deadline.as_micros().to_string())
            .config()
            .timeout_global(Some(book.timeout))
            .max_redirects(0)
            .build();
        let mut response = match request.send(book.body) {
            Ok(response) => response,
            Err(e) if is_unconnected(&e) => return AttemptOutcome::NotRun,
            Err(e) => {
                log::debug!("step=book request={} peer={} error={e}", book.request, self.address);
                return AttemptOutcome::Unknown;
            }
        };
        let body = http::read_bytes(&mut response, RESPONSE_LIMIT).unwrap_or_default();
        match response.status().as_u16() {
            200 if is_response_to(&body, book.request) => AttemptOutcome::Answer(body),
            503 if is_not_run(&body) => AttemptOutcome::NotRun,
            _ => AttemptOutcome::Unknown,
        }
    }
}

/// Whether the call failed before a connection was opened.
fn is_unconnected(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(e) => e.kind() == ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(t) => matches!(t, Timeout::Resolve | Timeout::Connect),
        _ => false,
    }
}

fn is_response_to(body: &[u8], request: &str) -> bool {
    serde_json::from_slice::<BookingResponse>(body).is_ok_and(|r| r.request == request)
}

fn is_not_run(body: &[u8]) -> bool {
    serde_json::from_slice::<ErrorResponse>(body).is_ok_and(|r| r.not_run)
}
