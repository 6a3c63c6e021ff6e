//! Requests and responses.

use std::time::Instant;

use hyper::{HeaderMap, Method};
use serde::Serialize;

/// A request whose body has been received in full.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: Method,
    /// Path, without the query.
    pub path: String,
    /// Query, without the question mark; empty if there is none.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Vec<u8>,
    /// Time at which the head of the request had been received.
    pub received: Instant,
}

impl Request {
    /// Value of a header; `None` if it is missing or not text.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Value of a query parameter, not percent-decoded; the first if it is repeated.
    pub fn param(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next()
    }
}

/// A response.
#[derive(Clone, Debug)]
pub struct Response {
    /// Status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Vec<u8>,
}

/// Body of a response that refuses a request.
#[derive(Serialize)]
struct Refusal<'a> {
    error: &'a str,
    not_run: bool,
}

impl Response {
    /// Response with a body of the given content type.
    pub fn new(status: u16, content: &str, body: impl Into<Vec<u8>>) -> Self {
        let headers = vec![("content-type", content.to_owned())];
        Self { status, headers, body: body.into() }
    }

    /// Plain text response.
    pub fn text(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self::new(status, "text/plain; charset=utf-8", body)
    }

    /// JSON response.
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        match serde_json::to_vec(body) {
            Ok(body) => Self::new(status, "application/json", body),
            Err(e) => Self::text(500, format!("encode response: {e}")),
        }
    }

    /// JSON response that refuses a request; `not_run` states that nothing was dispatched.
    pub fn refuse(status: u16, error: &str, not_run: bool) -> Self {
        Self::json(status, &Refusal { error, not_run })
    }

    /// Adds a header.
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }
}
