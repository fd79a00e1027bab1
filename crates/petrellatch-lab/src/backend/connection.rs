//! One connection to the back-end stand-in: reads requests, runs them and
//! answers.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use serde::Serialize;
use snafu::{ResultExt, Snafu};

use super::admission::{Shed, SlotGuard};
use super::control::ControlRequest;
use super::response::{FilingReceipt, LookupAnswer, Response, Signature};
use super::server::BackendState;
use crate::support::content::{DownloadContent, checksum, lookup_value};
use crate::support::http::{DEADLINE_HEADER, HttpError, RequestHead, read_request_head};

/// How often an idle connection looks whether the back end stops.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Longest silence within a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Bytes of a download that are written at once.
const DOWNLOAD_CHUNK_BYTES: usize = 16 * 1024;
/// Largest request body, in bytes.
const MAXIMUM_BODY_BYTES: u64 = 64 * 1024 * 1024;

/// Why a connection was given up.
#[derive(Debug, Snafu)]
pub enum ConnectionError {
    /// A request could not be read.
    #[snafu(display("cannot read a request: {source}"))]
    Request {
        /// The cause.
        source: HttpError,
    },
    /// The connection failed.
    #[snafu(display("the connection failed: {source}"))]
    Transfer {
        /// The cause.
        source: io::Error,
    },
}

/// What becomes of the connection after an answer.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Next {
    KeepAlive,
    Close,
}

/// A connection that is being served.
pub struct Connection {
    state: Arc<BackendState>,
    reader: BufReader<TcpStream>,
    stream: TcpStream,
    accepted: Instant,
    over_limit: bool,
    counted_as_flow: bool,
}

impl Connection {
    /// Takes over an accepted connection. One that is over the limit gets its
    /// work refused.
    ///
    /// # Errors
    /// Fails when the socket cannot be configured.
    pub fn new(state: Arc<BackendState>, stream: TcpStream, over_limit: bool) -> io::Result<Self> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        stream.set_write_timeout(Some(REQUEST_TIMEOUT))?;
        Ok(Connection {
            state,
            reader: BufReader::new(stream.try_clone()?),
            stream,
            accepted: Instant::now(),
            over_limit,
            counted_as_flow: false,
        })
    }

    /// Serves requests until the connection ends or the back end stops.
    ///
    /// # Errors
    /// Fails when the connection fails or a request is malformed.
    pub fn serve(&mut self) -> Result<(), ConnectionError> {
        while self.wait_for_request()? {
            let Some(head) = read_request_head(&mut self.reader).context(RequestSnafu)? else {
                return Ok(());
            };
            let next = self.answer(&head).context(TransferSnafu)?;
            if next == Next::Close || head.headers.closes_connection() {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Waits for the first byte of a request and returns whether it came.
    fn wait_for_request(&mut self) -> Result<bool, ConnectionError> {
        self.set_read_timeout(IDLE_CHECK_INTERVAL)?;
        let arrived = loop {
            match self.reader.fill_buf() {
                Ok(bytes) => break !bytes.is_empty(),
                Err(error) if is_timeout(&error) && self.state.is_stopping() => break false,
                Err(error) if is_timeout(&error) => {}
                Err(source) => return Err(ConnectionError::Transfer { source }),
            }
        };
        self.set_read_timeout(REQUEST_TIMEOUT)?;
        Ok(arrived)
    }

    fn set_read_timeout(&self, timeout: Duration) -> Result<(), ConnectionError> {
        self.stream
            .set_read_timeout(Some(timeout))
            .context(TransferSnafu)
    }

    fn answer(&mut self, head: &RequestHead) -> io::Result<Next> {
        match (head.method.as_str(), head.path()) {
            ("GET", "/executions") => self.answer_json(head, 200, &self.state.executions()),
            ("GET", "/health" | "/load") => self.answer_report(head),
            ("POST", "/control") => self.answer_control(head),
            ("GET", "/lookup") => self.answer_lookup(head),
            ("GET", "/map") => self.answer_map(head),
            ("POST", "/filing") => self.answer_filing(head),
            _ => self.answer_json(head, 404, &"there is no such path"),
        }
    }

    fn answer_report(&mut self, head: &RequestHead) -> io::Result<Next> {
        loop {
            if let Some(report) = self.state.load_report() {
                let is_failed_check = head.path() == "/health" && !report.healthy;
                let status = if is_failed_check { 503 } else { 200 };
                return self.answer_json(head, status, &report);
            }
            if self.state.is_stopping() || self.is_cancelled() {
                return Ok(Next::Close);
            }
            std::thread::sleep(IDLE_CHECK_INTERVAL);
        }
    }

    fn answer_control(&mut self, head: &RequestHead) -> io::Result<Next> {
        let Some(body) = self.read_body(head)? else {
            return self.answer_json(head, 411, &"a control request needs a body");
        };
        match serde_json::from_slice::<ControlRequest>(&body) {
            Ok(request) => {
                self.state.control(request);
                self.answer_json(head, 200, &request)
            }
            Err(error) => self.answer_json(head, 400, &error.to_string()),
        }
    }

    fn answer_lookup(&mut self, head: &RequestHead) -> io::Result<Next> {
        let Some(id) = head.request_id() else {
            return self.answer_json(head, 400, &"a lookup needs an id");
        };
        if let Err(shed) = self.run(head, id) {
            return self.answer_shed(head, shed);
        }
        let answer = LookupAnswer {
            id: id.to_owned(),
            value: lookup_value(self.state.service(), id),
        };
        self.answer_json(head, 200, &answer)
    }

    fn answer_filing(&mut self, head: &RequestHead) -> io::Result<Next> {
        let Some(id) = head.request_id() else {
            return self.answer_json(head, 400, &"a filing needs an X-Request-Id");
        };
        let Some(body) = self.read_body(head)? else {
            return self.answer_json(head, 411, &"a filing needs a Content-Length");
        };
        if let Err(shed) = self.run(head, id) {
            return self.answer_shed(head, shed);
        }
        let receipt = FilingReceipt {
            id: id.to_owned(),
            bytes: body.len() as u64,
            checksum: checksum(&body),
        };
        self.answer_json(head, 200, &receipt)
    }

    fn answer_map(&mut self, head: &RequestHead) -> io::Result<Next> {
        let (Some(id), Some(bytes)) = (head.request_id(), head.query_number("bytes")) else {
            return self.answer_json(head, 400, &"a map needs an id and a number of bytes");
        };
        if let Err(shed) = self.run(head, id) {
            return self.answer_shed(head, shed);
        }
        let close = self.closes_after(head);
        let response = Response::download(bytes).closing(close);
        response.write_head(&mut self.stream, signature(&self.state, head))?;
        let content = DownloadContent::new(self.state.service(), id);
        let rate = head.query_number("rate").filter(|rate| *rate > 0);
        send_download(&mut self.stream, content, bytes, rate)?;
        Ok(next_after(close))
    }

    /// Runs a request: takes a slot, records the execution and spends the
    /// service time. The slot is free again afterwards; a download occupies
    /// only its connection.
    fn run(&mut self, head: &RequestHead, id: &str) -> Result<(), Shed> {
        self.count_flow();
        if self.over_limit {
            return Err(Shed::QueueFull);
        }
        let deadline = head
            .headers
            .get_number(DEADLINE_HEADER)
            .map(|milliseconds| Instant::now() + Duration::from_millis(milliseconds));
        let slot: SlotGuard<'_> = self
            .state
            .slots()
            .acquire(deadline, || self.is_cancelled())?;
        self.state.record_execution(id);
        std::thread::sleep(self.state.draw_service_time());
        drop(slot);
        Ok(())
    }

    fn count_flow(&mut self) {
        if !self.counted_as_flow {
            self.counted_as_flow = true;
            self.state.count_flow(self.accepted);
        }
    }

    /// Tells whether the caller has reset the connection. A caller that only
    /// closed its sending direction still waits for the answer.
    fn is_cancelled(&self) -> bool {
        !matches!(self.stream.take_error(), Ok(None))
    }

    fn read_body(&mut self, head: &RequestHead) -> io::Result<Option<Vec<u8>>> {
        let Some(length) = head.headers.content_length() else {
            return Ok(None);
        };
        if length > MAXIMUM_BODY_BYTES {
            return Err(io::Error::other("the body is too long"));
        }
        if head.headers.get("Expect").is_some() {
            self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n")?;
        }
        let mut body = Vec::new();
        (&mut self.reader).take(length).read_to_end(&mut body)?;
        if body.len() as u64 == length {
            Ok(Some(body))
        } else {
            Err(io::ErrorKind::UnexpectedEof.into())
        }
    }

    fn answer_shed(&mut self, head: &RequestHead, shed: Shed) -> io::Result<Next> {
        let reason = match shed {
            Shed::QueueFull => "all slots are busy and the queue is full",
            Shed::DeadlinePassed => "the deadline passed before a slot was free",
            Shed::Cancelled => return Ok(Next::Close),
        };
        let body = serde_json::to_vec(reason)?;
        let response = Response::not_run(self.state.retry_after_seconds(), body.len() as u64);
        self.send(head, response, &body)
    }

    fn answer_json<T: Serialize>(
        &mut self,
        head: &RequestHead,
        status: u16,
        value: &T,
    ) -> io::Result<Next> {
        let body = serde_json::to_vec(value)?;
        self.send(head, Response::json(status, body.len() as u64), &body)
    }

    fn send(&mut self, head: &RequestHead, response: Response, body: &[u8]) -> io::Result<Next> {
        let close = self.closes_after(head);
        let mut message = Vec::new();
        response
            .closing(close)
            .write_head(&mut message, signature(&self.state, head))?;
        message.extend_from_slice(body);
        self.stream.write_all(&message)?;
        Ok(next_after(close))
    }

    fn closes_after(&self, head: &RequestHead) -> bool {
        head.headers.closes_connection()
            || self.over_limit
            || self.state.is_stopping()
            || self.state.is_draining()
    }
}

fn next_after(close: bool) -> Next {
    if close { Next::Close } else { Next::KeepAlive }
}

fn signature<'request>(
    state: &'request BackendState,
    head: &'request RequestHead,
) -> Signature<'request> {
    Signature {
        backend: state.name(),
        service: state.service(),
        request_id: head.request_id(),
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut | io::ErrorKind::Interrupted
    )
}

/// Sends the bytes of a download, no faster than `rate` bytes a second.
fn send_download(
    writer: &mut impl Write,
    content: DownloadContent,
    total: u64,
    rate: Option<u64>,
) -> io::Result<()> {
    let began = Instant::now();
    let mut chunk = vec![0; DOWNLOAD_CHUNK_BYTES];
    let mut sent = 0;
    while sent < total {
        let length = chunk_length(total - sent, rate);
        content.fill(sent, &mut chunk[..length]);
        writer.write_all(&chunk[..length])?;
        sent += length as u64;
        if let Some(rate) = rate {
            let due = Duration::from_secs_f64(sent as f64 / rate as f64);
            std::thread::sleep(due.saturating_sub(began.elapsed()));
        }
    }
    Ok(())
}

/// Returns the length of the next chunk: at most a tenth of a second's worth,
/// so that a slow download flows evenly.
fn chunk_length(remaining: u64, rate: Option<u64>) -> usize {
    const CHUNKS_PER_SECOND: u64 = 10;
    let limit = DOWNLOAD_CHUNK_BYTES as u64;
    let even = rate.map_or(limit, |rate| (rate / CHUNKS_PER_SECOND).max(1));
    remaining.min(limit).min(even) as usize
}
