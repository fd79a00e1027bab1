//! An HTTP/1.1 server without threads, which runs in the event loop of its
//! process. A request is returned once its body is complete, and the response
//! may follow at any later time. `httparse` parses the requests.

use std::collections::BTreeMap;
use std::io::{ErrorKind as IoErrorKind, Read, Write};
use std::net::SocketAddrV4;
use std::time::Duration;

use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use petrellatch_core::{ErrorKind, Timestamp};

use super::message::{HttpRequest, HttpResponse};
use crate::error::ProgramError;

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 32;
/// Maximum size of the request line and headers, in bytes.
const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 4 * 1024;
/// A connection without a complete request or a response is closed after this.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// A connection that was idle for this long may be closed for a new one when the
/// connection limit is reached. A client sends a request within less than a
/// second, so this does not interrupt a request.
const RECLAIM_IDLE_TIME: Duration = Duration::from_secs(1);
/// A request that is not complete after this is refused.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Identifies a connection. Ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(usize);

/// A request that awaits its response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedRequest {
    /// The connection that it was received on.
    pub connection: ConnectionId,
    /// The request.
    pub request: HttpRequest,
}

/// The server.
#[derive(Debug)]
pub struct EventServer {
    listener: TcpListener,
    listener_token: Token,
    connections: BTreeMap<ConnectionId, Connection>,
    next_connection: usize,
    max_connections: usize,
    max_body_bytes: usize,
}

#[derive(Debug)]
struct Connection {
    stream: TcpStream,
    input: Vec<u8>,
    output: Vec<u8>,
    /// A request was returned to the event loop and has no response yet.
    awaits_response: bool,
    close_after_response: bool,
    /// Time of the last complete request or response, at first of the accept.
    active_at: Timestamp,
    /// When the first bytes of the unfinished request in `input` arrived.
    input_since: Timestamp,
}

enum Parsed {
    Incomplete,
    Request {
        request: HttpRequest,
        bytes: usize,
        keep_alive: bool,
    },
    Refused(HttpResponse),
}

impl EventServer {
    /// Binds the address. Connections get selector tokens from `first_connection`
    /// on.
    pub fn open(
        address: SocketAddrV4,
        registry: &Registry,
        listener_token: Token,
        first_connection: usize,
        max_connections: usize,
        max_body_bytes: usize,
    ) -> Result<Self, ProgramError> {
        let failure = |source| ProgramError::Bind {
            purpose: "HTTP",
            address,
            source,
        };
        let mut listener = TcpListener::bind(address.into()).map_err(failure)?;
        registry
            .register(&mut listener, listener_token, Interest::READABLE)
            .map_err(failure)?;
        Ok(EventServer {
            listener,
            listener_token,
            connections: BTreeMap::new(),
            next_connection: first_connection,
            max_connections,
            max_body_bytes,
        })
    }

    /// Returns the address that is served.
    pub fn local_address(&self) -> Option<std::net::SocketAddr> {
        self.listener.local_addr().ok()
    }

    /// Handles a selector event. Returns the requests that are complete.
    pub fn handle_event(
        &mut self,
        now: Timestamp,
        registry: &Registry,
        token: Token,
    ) -> Vec<ReceivedRequest> {
        if token == self.listener_token {
            return self.accept(now, registry);
        }
        self.serve(now, ConnectionId(token.0))
    }

    /// Responds to a request. Does nothing if the client has disconnected.
    /// Returns the next pipelined request, if there is one.
    pub fn respond(
        &mut self,
        now: Timestamp,
        id: ConnectionId,
        response: &HttpResponse,
    ) -> Option<ReceivedRequest> {
        let connection = self.connections.get_mut(&id)?;
        connection.awaits_response = false;
        connection.active_at = now;
        write_response(
            response,
            connection.close_after_response,
            &mut connection.output,
        );
        self.flush(id);
        self.parse_next(now, id)
    }

    /// Closes connections that are idle or too slow to send a request.
    pub fn expire(&mut self, now: Timestamp) {
        let has_expired = |connection: &Connection| {
            let idle_time = now.saturating_since(connection.active_at);
            let partial = !connection.input.is_empty() && !connection.awaits_response;
            let request_age = now.saturating_since(connection.input_since);
            match partial {
                true => request_age >= REQUEST_TIMEOUT,
                false => idle_time >= IDLE_TIMEOUT,
            }
        };
        let expired: Vec<ConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| has_expired(connection))
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            if let Some(connection) = self.connections.get_mut(&id)
                && !connection.input.is_empty()
                && !connection.awaits_response
            {
                let response = HttpResponse::error(ErrorKind::Invalid, "the request is cut short");
                write_response(&response, true, &mut connection.output);
                let _ = connection.stream.write(&connection.output);
            }
            self.connections.remove(&id);
        }
    }

    /// Closes the connection that was idle longest, if it was idle for at least
    /// [`RECLAIM_IDLE_TIME`]: its client may have vanished without a reset.
    /// Returns whether one was closed.
    fn close_longest_idle(&mut self, now: Timestamp) -> bool {
        let reclaimable = self.connections.iter().filter(|(_, connection)| {
            let idle_time = now.saturating_since(connection.active_at);
            !connection.awaits_response && idle_time >= RECLAIM_IDLE_TIME
        });
        let longest_idle = reclaimable.min_by_key(|(_, connection)| connection.active_at);
        let Some(id) = longest_idle.map(|(id, _)| *id) else {
            return false;
        };
        self.connections.remove(&id);
        true
    }

    fn accept(&mut self, now: Timestamp, registry: &Registry) -> Vec<ReceivedRequest> {
        let mut received = Vec::new();
        while let Ok((mut stream, _)) = self.listener.accept() {
            if self.connections.len() >= self.max_connections && !self.close_longest_idle(now) {
                continue;
            }
            let id = ConnectionId(self.next_connection);
            self.next_connection += 1;
            let interest = Interest::READABLE | Interest::WRITABLE;
            if registry
                .register(&mut stream, Token(id.0), interest)
                .is_err()
            {
                continue;
            }
            let connection = Connection {
                stream,
                input: Vec::new(),
                output: Vec::new(),
                awaits_response: false,
                close_after_response: false,
                active_at: now,
                input_since: now,
            };
            self.connections.insert(id, connection);
            received.extend(self.serve(now, id));
        }
        received
    }

    fn serve(&mut self, now: Timestamp, id: ConnectionId) -> Vec<ReceivedRequest> {
        self.flush(id);
        let Some(connection) = self.connections.get_mut(&id) else {
            return Vec::new();
        };
        let limit = self.max_body_bytes + MAX_HEADER_BYTES;
        if connection.input.is_empty() {
            connection.input_since = now;
        }
        let is_open = read_available(connection, limit);
        if !is_open && connection.awaits_response {
            self.connections.remove(&id);
            return Vec::new();
        }
        let request = self.parse_next(now, id);
        if !is_open && request.is_none() {
            self.connections.remove(&id);
        }
        request.into_iter().collect()
    }

    /// Returns the next request of a connection, if it is complete and the
    /// previous one has its response.
    fn parse_next(&mut self, now: Timestamp, id: ConnectionId) -> Option<ReceivedRequest> {
        let connection = self.connections.get_mut(&id)?;
        if connection.awaits_response || connection.input.is_empty() {
            return None;
        }
        match parse(&connection.input, self.max_body_bytes) {
            Parsed::Incomplete => None,
            Parsed::Request {
                request,
                bytes,
                keep_alive,
            } => {
                connection.input.drain(..bytes);
                connection.input.shrink_to(READ_BYTES);
                connection.input_since = now;
                connection.awaits_response = true;
                connection.close_after_response = !keep_alive;
                connection.active_at = now;
                Some(ReceivedRequest {
                    connection: id,
                    request,
                })
            }
            Parsed::Refused(response) => {
                connection.input.clear();
                connection.close_after_response = true;
                write_response(&response, true, &mut connection.output);
                self.flush(id);
                None
            }
        }
    }

    /// Sends pending output, and closes a connection that is done.
    fn flush(&mut self, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let mut broken = false;
        while !connection.output.is_empty() {
            match connection.stream.write(&connection.output) {
                Ok(written) => {
                    connection.output.drain(..written);
                }
                Err(error) if error.kind() == IoErrorKind::WouldBlock => break,
                Err(_) => {
                    broken = true;
                    break;
                }
            }
        }
        let done = connection.output.is_empty() && !connection.awaits_response;
        if broken || (done && connection.close_after_response) {
            self.connections.remove(&id);
        }
    }
}

/// Reads the bytes that have arrived. Returns whether the connection is still open.
fn read_available(connection: &mut Connection, limit: usize) -> bool {
    let mut buffer = [0; READ_BYTES];
    loop {
        match connection.stream.read(&mut buffer) {
            Ok(0) => return false,
            Ok(length) => {
                connection.input.extend_from_slice(&buffer[..length]);
                if connection.input.len() > limit + READ_BYTES {
                    return true;
                }
            }
            Err(error) if error.kind() == IoErrorKind::WouldBlock => return true,
            Err(error) if error.kind() == IoErrorKind::Interrupted => {}
            Err(_) => return false,
        }
    }
}

fn parse(input: &[u8], max_body_bytes: usize) -> Parsed {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut header_block = httparse::Request::new(&mut headers);
    let header_bytes = match header_block.parse(input) {
        Ok(httparse::Status::Complete(bytes)) => bytes,
        Ok(httparse::Status::Partial) if input.len() <= MAX_HEADER_BYTES => {
            return Parsed::Incomplete;
        }
        Ok(httparse::Status::Partial) => {
            return refused(ErrorKind::TooLarge, "the head is too long");
        }
        Err(error) => return refused(ErrorKind::Invalid, &error.to_string()),
    };
    let header = |name: &str| {
        let found = header_block
            .headers
            .iter()
            .find(|it| it.name.eq_ignore_ascii_case(name));
        found.and_then(|it| std::str::from_utf8(it.value).ok())
    };
    if header("transfer-encoding").is_some() {
        return refused(ErrorKind::Invalid, "bodies need a Content-Length");
    }
    let length = match header("content-length").map(str::parse::<usize>) {
        None => 0,
        Some(Ok(length)) if length <= max_body_bytes => length,
        Some(Ok(_)) => return refused(ErrorKind::TooLarge, "the body is too large"),
        Some(Err(_)) => return refused(ErrorKind::Invalid, "Content-Length is no number"),
    };
    let end = header_bytes + length;
    if input.len() < end {
        return Parsed::Incomplete;
    }
    let connection = header("connection").unwrap_or("").to_ascii_lowercase();
    let keep_alive = match header_block.version {
        Some(1) => connection != "close",
        _ => connection == "keep-alive",
    };
    let target = header_block.path.unwrap_or("/");
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    Parsed::Request {
        request: HttpRequest {
            method: header_block.method.unwrap_or("").to_string(),
            path: path.to_string(),
            query: query.to_string(),
            body: input[header_bytes..end].to_vec(),
        },
        bytes: end,
        keep_alive,
    }
}

fn refused(kind: ErrorKind, message: &str) -> Parsed {
    Parsed::Refused(HttpResponse::error(kind, message))
}

fn write_response(response: &HttpResponse, close: bool, output: &mut Vec<u8>) {
    let status = response.status;
    let mut header_block = format!(
        "HTTP/1.1 {status} {}\r\nContent-Type: {}\r\nContent-Length: {}\r\n",
        reason_phrase(status),
        response.content_type,
        response.body.len()
    );
    if let Some(wait) = response.retry_after {
        header_block.push_str(&format!("Retry-After: {}\r\n", wait.as_secs().max(1)));
    }
    if let Some(location) = &response.location {
        header_block.push_str(&format!("Location: {location}\r\n"));
    }
    if close {
        header_block.push_str("Connection: close\r\n");
    }
    header_block.push_str("\r\n");
    output.extend_from_slice(header_block.as_bytes());
    output.extend_from_slice(&response.body);
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        404 => "Not Found",
        409 => "Conflict",
        413 => "Content Too Large",
        503 => "Service Unavailable",
        _ => "Other",
    }
}
