//! Heads of requests: where they end, and which of them leave no doubt about their framing.

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderName, HeaderValue, Method, Request, Uri, Version};
use memchr::memchr_iter;

/// Where the head at the start of some bytes ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scan {
    /// Its length, with empty lines before it.
    End(usize),
    /// Its end hasn't been received.
    Partial,
    /// A line doesn't end in CR LF, so others may see another end.
    Ambiguous,
}

/// Progress of a search for the end of a head that arrives in pieces.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HeadScan {
    /// Bytes that were searched before.
    searched: usize,
}

impl HeadScan {
    /// Searches the bytes, which start with those that were searched before.
    pub(crate) fn search(&mut self, bytes: &[u8]) -> Scan {
        // Parsers skip empty lines before a request line.
        let mut start = 0;
        while bytes[start..].starts_with(b"\r\n") {
            start += 2;
        }
        let from = self.searched.max(start);
        for found in memchr_iter(b'\n', &bytes[from..]) {
            let at = from + found;
            if at == start || bytes[at - 1] != b'\r' {
                return Scan::Ambiguous;
            }
            if at >= start + 3 && bytes[at - 2] == b'\n' {
                return Scan::End(at + 1);
            }
        }
        self.searched = bytes.len();
        Scan::Partial
    }
}

/// Whether the bytes are exactly one head, without empty lines before it.
pub(crate) fn is_whole_head(bytes: &[u8]) -> bool {
    !bytes.starts_with(b"\r") && HeadScan::default().search(bytes) == Scan::End(bytes.len())
}

/// Parses a complete head; `None` if it isn't valid, or if it announces a body or anything else
/// than the end of the connection that makes a difference to what follows it.
pub(crate) fn parse_plain(raw: &Bytes, max_headers: usize) -> Option<Parts> {
    let lines = memchr_iter(b'\n', raw).count();
    let mut headers = vec![httparse::EMPTY_HEADER; lines.min(max_headers)];
    let mut parsed = httparse::Request::new(&mut headers);
    let status = parsed.parse(raw).ok()?;
    if status != httparse::Status::Complete(raw.len()) || parsed.version != Some(1) {
        return None;
    }
    let method = Method::from_bytes(parsed.method?.as_bytes()).ok()?;
    if method == Method::CONNECT {
        return None;
    }
    let uri = Uri::from_maybe_shared(raw.slice_ref(parsed.path?.as_bytes())).ok()?;
    let request = Request::builder().method(method).uri(uri);
    let (mut head, ()) = request
        .version(Version::HTTP_11)
        .body(())
        .ok()?
        .into_parts();
    head.headers.reserve(parsed.headers.len());
    for header in parsed.headers.iter() {
        let name = HeaderName::from_bytes(header.name.as_bytes()).ok()?;
        // Servers keep one of several lengths.
        let is_repeated = name == CONTENT_LENGTH && head.headers.contains_key(&name);
        if is_repeated || !(leaves_no_doubt(&name, header.value) || is_close(&name, header.value)) {
            return None;
        }
        let value = HeaderValue::from_maybe_shared(raw.slice_ref(header.value)).ok()?;
        head.headers.append(name, value);
    }
    Some(head)
}

/// Whether a request with this header has no body and leaves the connection as it is.
fn leaves_no_doubt(name: &HeaderName, value: &[u8]) -> bool {
    match *name {
        CONTENT_LENGTH => value == b"0",
        CONNECTION => value.eq_ignore_ascii_case(b"keep-alive"),
        TRANSFER_ENCODING | UPGRADE | EXPECT => false,
        _ => true,
    }
}

fn is_close(name: &HeaderName, value: &[u8]) -> bool {
    name == CONNECTION && value.eq_ignore_ascii_case(b"close")
}

/// Whether further requests may follow this one, whatever its body.
pub(crate) fn may_be_followed(head: &Parts) -> bool {
    let mut headers = head.headers.iter();
    head.version == Version::HTTP_11
        && head.method != Method::CONNECT
        && headers.all(|(name, value)| match *name {
            CONTENT_LENGTH => true,
            _ => leaves_no_doubt(name, value.as_bytes()),
        })
}
