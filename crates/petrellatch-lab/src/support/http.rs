//! The small part of HTTP/1.1 that the stand-ins speak. Heads are parsed by
//! `httparse`; bodies are delimited by `Content-Length` only.

use std::io::{self, BufRead};

use snafu::{ResultExt, Snafu, ensure};

/// Header that marks an answer as a refusal of a request that was not run.
pub const NOT_RUN_HEADER: &str = "X-Petrellatch-Not-Run";
/// Header with the request's identifier, echoed by the answer.
pub const REQUEST_ID_HEADER: &str = "X-Request-Id";
/// Header of an answer with the name of the back end that gave it.
pub const BACKEND_HEADER: &str = "X-Backend";
/// Header of an answer with the service of the back end that gave it.
pub const SERVICE_HEADER: &str = "X-Service";
/// Header of a request with the milliseconds it may wait before it is run.
pub const DEADLINE_HEADER: &str = "X-Request-Deadline-Ms";

/// Largest head, in bytes, that is accepted.
const MAXIMUM_HEAD_BYTES: usize = 16 * 1024;
const MAXIMUM_HEADERS: usize = 64;

/// What can go wrong while a head is read.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"))]
    Connection {
        /// The cause.
        source: io::Error,
    },
    /// The connection ended within a head.
    #[snafu(display("the connection ended within the head, after {bytes} bytes"))]
    Truncated {
        /// How much of the head had arrived.
        bytes: usize,
    },
    /// The head is longer than this implementation accepts.
    #[snafu(display("the head is longer than {MAXIMUM_HEAD_BYTES} bytes"))]
    HeadTooLong,
    /// The head is not HTTP/1.1.
    #[snafu(display("the head is malformed: {source}"))]
    Malformed {
        /// The cause.
        source: httparse::Error,
    },
}

/// One header line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// The name as it was sent.
    pub name: String,
    /// The value, with bytes outside UTF-8 replaced.
    pub value: String,
}

/// The header lines of one message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(Vec<Header>);

impl Headers {
    /// Returns the value of the first header of this name, whatever its case.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|header| header.name.eq_ignore_ascii_case(name))
            .map(|header| header.value.as_str())
    }

    /// Returns the value of a header as a number.
    pub fn get_number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }

    /// Returns the length of the body, if it is stated.
    pub fn content_length(&self) -> Option<u64> {
        self.get_number("Content-Length")
    }

    /// Tells whether the sender closes the connection after this message.
    pub fn closes_connection(&self) -> bool {
        self.get("Connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }

    fn from_parsed(parsed: &[httparse::Header<'_>]) -> Headers {
        let headers = parsed.iter().map(|header| Header {
            name: header.name.to_owned(),
            value: String::from_utf8_lossy(header.value).into_owned(),
        });
        Headers(headers.collect())
    }
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// The method, such as `GET`.
    pub method: String,
    /// The path and the query string.
    pub target: String,
    /// The header lines.
    pub headers: Headers,
}

impl RequestHead {
    /// Returns the target without its query string.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the value of this query parameter, as it was sent.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        query
            .split('&')
            .filter_map(|parameter| parameter.split_once('='))
            .find(|(key, _)| *key == name)
            .map(|(_, value)| value)
    }

    /// Returns the value of this query parameter as a number.
    pub fn query_number(&self, name: &str) -> Option<u64> {
        self.query(name)?.parse().ok()
    }

    /// Returns the request's identifier, from its header or its `id`
    /// parameter.
    pub fn request_id(&self) -> Option<&str> {
        self.headers
            .get(REQUEST_ID_HEADER)
            .or_else(|| self.query("id"))
    }
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// The status code.
    pub status: u16,
    /// The header lines.
    pub headers: Headers,
}

impl ResponseHead {
    /// Tells whether the answer says that the request was not run.
    pub fn is_marked_not_run(&self) -> bool {
        self.headers.get(NOT_RUN_HEADER) == Some("1")
    }
}

/// Reads the head of a request, or nothing when the connection ended before
/// its first byte.
///
/// # Errors
/// Fails when the connection fails or the head is unacceptable.
pub fn read_request_head(reader: &mut impl BufRead) -> Result<Option<RequestHead>, HttpError> {
    let bytes = read_head_bytes(reader)?;
    if bytes.is_empty() {
        return Ok(None);
    }
    let mut headers = [httparse::EMPTY_HEADER; MAXIMUM_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    request.parse(&bytes).context(MalformedSnafu)?;
    Ok(Some(RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        headers: Headers::from_parsed(request.headers),
    }))
}

/// Reads the head of an answer.
///
/// # Errors
/// Fails when the connection fails or ends, or the head is unacceptable.
pub fn read_response_head(reader: &mut impl BufRead) -> Result<ResponseHead, HttpError> {
    let bytes = read_head_bytes(reader)?;
    ensure!(!bytes.is_empty(), TruncatedSnafu { bytes: 0usize });
    let mut headers = [httparse::EMPTY_HEADER; MAXIMUM_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    response.parse(&bytes).context(MalformedSnafu)?;
    Ok(ResponseHead {
        status: response.code.unwrap_or_default(),
        headers: Headers::from_parsed(response.headers),
    })
}

fn read_head_bytes(reader: &mut impl BufRead) -> Result<Vec<u8>, HttpError> {
    let mut head = Vec::new();
    loop {
        let line_start = head.len();
        let read = read_line(reader, &mut head)?;
        if read == 0 && head.is_empty() {
            return Ok(head);
        }
        ensure!(head.ends_with(b"\n"), TruncatedSnafu { bytes: head.len() });
        if matches!(&head[line_start..], b"\r\n" | b"\n") {
            return Ok(head);
        }
    }
}

/// Appends one line to `head`, however the bytes arrive.
fn read_line(reader: &mut impl BufRead, head: &mut Vec<u8>) -> Result<usize, HttpError> {
    let allowance = (MAXIMUM_HEAD_BYTES - head.len()) as u64;
    let mut limited = io::Read::take(reader, allowance);
    let read = limited.read_until(b'\n', head).context(ConnectionSnafu)?;
    ensure!(head.len() < MAXIMUM_HEAD_BYTES, HeadTooLongSnafu);
    Ok(read)
}
