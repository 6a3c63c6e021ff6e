//! Headers that concern one connection only, and are not forwarded.

use hyper::HeaderMap;
use hyper::header::{self, HeaderName};

/// Hop-by-hop headers, whether or not `connection` lists them.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
];

/// Headers without the hop-by-hop ones.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for option in connection_options(headers) {
        forwarded.remove(option);
    }
    for name in HOP_BY_HOP_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}

/// Whether a header is hop-by-hop in this message, as `connection` lists it.
pub(crate) fn is_connection_option(headers: &HeaderMap, name: &HeaderName) -> bool {
    connection_options(headers).any(|option| option.eq_ignore_ascii_case(name.as_str()))
}

/// Options in the `connection` headers; an option may be the name of another header, which is then
/// hop-by-hop too.
fn connection_options(headers: &HeaderMap) -> impl Iterator<Item = &str> {
    let values = headers.get_all(header::CONNECTION).iter().filter_map(|v| v.to_str().ok());
    values.flat_map(|value| value.split(',')).map(str::trim)
}
