//! Operators' calls to an entry host.

use crate::command::Error;

/// Seconds after which a call is given up.
const TIMEOUT: u64 = 10;

/// Reads a path of the host at `host`.
pub(crate) fn get(host: &str, path: &str) -> Result<String, Error> {
    send(host, path, minreq::get(format!("http://{host}{path}")))
}

/// Sends a new catalogue to the host at `host`, as the change `change`.
pub(crate) fn put_catalogue(host: &str, change: &str, text: String) -> Result<String, Error> {
    let path = "/catalogue";
    let request = minreq::put(format!("http://{host}{path}"))
        .with_header("x-change-id", change)
        .with_body(text);
    send(host, path, request)
}

fn send(host: &str, path: &str, request: minreq::Request) -> Result<String, Error> {
    let response = request.with_timeout(TIMEOUT).send();
    let response = response.map_err(|e| Error::unreachable(path, host, e.to_string()))?;
    let body = response.as_str().unwrap_or_default().to_owned();
    match response.status_code {
        200 => Ok(body),
        409 => Err(Error::conflict(path, host, body)),
        status => Err(Error::refused(path, host, format!("status {status}: {body}"))),
    }
}
