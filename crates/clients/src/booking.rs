//! Bookings at a target.
//!
//! A booking is sent once. Only a target that says so, or that no connection could be opened to,
//! counts as one that did not run it; whatever else goes wrong, it may have.

use std::io::ErrorKind;
use std::time::Duration;

use sapphirerack_policy::booking::AttemptOutcome;
use serde::Deserialize;
use ureq::Timeout;

use crate::TargetClient;
use crate::http;

/// Largest answer to a booking, in bytes; it is kept for retries.
const ANSWER_LIMIT: u64 = 16 << 10;

/// A booking at one target.
#[derive(Clone, Debug)]
pub struct Book<'a> {
    /// Request id, repeated in the answer.
    pub request: &'a str,
    /// Idempotency key.
    pub key: &'a str,
    /// Time since the Unix epoch after which the target drops the request.
    pub deadline: Duration,
    /// Time left until then.
    pub timeout: Duration,
    /// The caller's request.
    pub body: &'a [u8],
}

#[derive(Deserialize)]
struct Answer {
    request: String,
}

#[derive(Deserialize)]
struct Refusal {
    #[serde(default)]
    not_run: bool,
}

impl TargetClient {
    /// Runs a booking; never sends it twice.
    pub fn book(&self, book: &Book<'_>) -> AttemptOutcome {
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
            Err(e) if never_sent(&e) => return AttemptOutcome::NotRun,
            Err(e) => {
                log::debug!("step=book request={} peer={} error={e}", book.request, self.address);
                return AttemptOutcome::Unknown;
            }
        };
        let body = http::bytes(&mut response, ANSWER_LIMIT).unwrap_or_default();
        match response.status().as_u16() {
            200 if answers(&body, book.request) => AttemptOutcome::Answer(body),
            503 if refuses(&body) => AttemptOutcome::NotRun,
            _ => AttemptOutcome::Unknown,
        }
    }
}

/// Whether no connection was opened.
fn never_sent(error: &ureq::Error) -> bool {
    match error {
        ureq::Error::Io(e) => e.kind() == ErrorKind::ConnectionRefused,
        ureq::Error::Timeout(t) => matches!(t, Timeout::Resolve | Timeout::Connect),
        _ => false,
    }
}

fn answers(body: &[u8], request: &str) -> bool {
    serde_json::from_slice::<Answer>(body).is_ok_and(|a| a.request == request)
}

fn refuses(body: &[u8]) -> bool {
    serde_json::from_slice::<Refusal>(body).is_ok_and(|r| r.not_run)
}
