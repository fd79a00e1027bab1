//! A threaded HTTP server: one thread accepts requests, workers handle them.

use std::io::Read;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use petrellatch_core::ErrorKind;
use tiny_http::{Header, Request, Response, Server};

use super::message::{HttpRequest, HttpResponse};
use crate::error::ProgramError;

/// Number of threads that respond to refused requests with large bodies.
const REFUSAL_THREADS: usize = 4;
/// The server library has already read a body of at most this size when it
/// passes on the request.
const READ_AHEAD_BYTES: usize = 1_024;
/// How long a closing server waits until its last responses are sent.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between checks for responses that are still to be sent.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Handles requests.
pub trait HttpHandler: Send + Sync + 'static {
    /// Handles one request. May be called by several threads at once.
    fn handle(&self, request: &HttpRequest) -> HttpResponse;
}

/// Threads and request limits of a server.
#[derive(Clone, Copy, Debug)]
pub struct HttpLimits {
    /// Number of threads that handle requests.
    pub workers: usize,
    /// Maximum number of requests that are handled or wait; more are refused.
    pub requests: usize,
    /// Maximum size of a body, in bytes.
    pub body_bytes: usize,
}

/// A running server. Dropping it closes the address, and waits a short time
/// until pending responses are sent.
pub struct HttpServer {
    address: SocketAddrV4,
    server: Arc<Server>,
    requests: Arc<AtomicUsize>,
    accept_thread: Option<JoinHandle<()>>,
}

/// A request that is refused, with its response.
struct Refusal {
    request: Request,
    response: HttpResponse,
}

/// State shared by the threads of one server.
struct ServerState<H> {
    handler: Arc<H>,
    limits: HttpLimits,
    requests: Arc<AtomicUsize>,
    queue: Mutex<Receiver<Request>>,
}

impl HttpServer {
    /// Starts the server.
    pub fn start<H: HttpHandler>(
        listener: TcpListener,
        limits: HttpLimits,
        handler: Arc<H>,
    ) -> Result<Self, ProgramError> {
        let unknown = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        let address = local_address(&listener).unwrap_or(unknown);
        let server =
            Server::from_listener(listener, None).map_err(|error| ProgramError::BindHttp {
                purpose: "HTTP",
                address,
                message: error.to_string(),
            })?;
        let (sender, receiver) = channel();
        let requests = Arc::new(AtomicUsize::new(0));
        let state = Arc::new(ServerState {
            handler,
            limits,
            requests: Arc::clone(&requests),
            queue: Mutex::new(receiver),
        });
        for _ in 0..limits.workers {
            let state = Arc::clone(&state);
            spawn("http-worker", move || state.run_worker())?;
        }
        let server = Arc::new(server);
        let accepting_server = Arc::clone(&server);
        let refusals = start_refusal_threads()?;
        let accept_thread = spawn("http-server", move || {
            state.accept(&accepting_server, &sender, &refusals);
        })?;
        Ok(HttpServer {
            address,
            server,
            requests,
            accept_thread: Some(accept_thread),
        })
    }

    /// Returns the address that is served.
    pub fn address(&self) -> SocketAddrV4 {
        self.address
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(accept_thread) = self.accept_thread.take() {
            let _ = accept_thread.join();
        }
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        while self.requests.load(Ordering::Acquire) > 0 && Instant::now() < deadline {
            thread::sleep(CLOSE_POLL_INTERVAL);
        }
    }
}

impl<H: HttpHandler> ServerState<H> {
    /// Accepts requests and refuses those above the limits.
    fn accept(&self, server: &Server, queue: &Sender<Request>, refusals: &Sender<Refusal>) {
        for request in server.incoming_requests() {
            let length = request.body_length().unwrap_or(0);
            if length > self.limits.body_bytes {
                refuse(request, too_large(self.limits.body_bytes), refusals);
                continue;
            }
            if self.requests.fetch_add(1, Ordering::AcqRel) >= self.limits.requests {
                self.requests.fetch_sub(1, Ordering::AcqRel);
                let message = "too many requests at once; this one did not run";
                let response = HttpResponse::error(ErrorKind::Overloaded, message);
                refuse(request, response, refusals);
                continue;
            }
            if queue.send(request).is_err() {
                return;
            }
        }
    }

    fn run_worker(&self) {
        loop {
            let next = self
                .queue
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .recv();
            let Ok(mut request) = next else { return };
            let response = match read(&mut request, self.limits.body_bytes) {
                Ok(request) => self.handler.handle(&request),
                Err(refusal) => refusal,
            };
            send_response(request, &response);
            self.requests.fetch_sub(1, Ordering::AcqRel);
        }
    }
}

/// Starts the threads that respond to refused requests with large bodies. They
/// end when the returned sender is dropped.
fn start_refusal_threads() -> Result<Sender<Refusal>, ProgramError> {
    let (sender, receiver) = channel::<Refusal>();
    let receiver = Arc::new(Mutex::new(receiver));
    for _ in 0..REFUSAL_THREADS {
        let receiver = Arc::clone(&receiver);
        spawn("http-refuser", move || {
            loop {
                let next = receiver
                    .lock()
                    .unwrap_or_else(PoisonError::into_inner)
                    .recv();
                let Ok(refusal) = next else { return };
                send_response(refusal.request, &refusal.response);
            }
        })?;
    }
    Ok(sender)
}

/// Refuses a request. To respond, the rest of the body has to be read, and a slow
/// client can delay that without limit, so other threads do it. Small bodies
/// are read already.
fn refuse(request: Request, response: HttpResponse, refusals: &Sender<Refusal>) {
    let is_read = request
        .body_length()
        .is_none_or(|length| length <= READ_AHEAD_BYTES);
    if is_read {
        send_response(request, &response);
    } else {
        let _ = refusals.send(Refusal { request, response });
    }
}

fn read(request: &mut Request, body_bytes: usize) -> Result<HttpRequest, HttpResponse> {
    let mut body = Vec::new();
    let mut reader = request.as_reader().take(body_bytes as u64 + 1);
    reader
        .read_to_end(&mut body)
        .map_err(|error| HttpResponse::error(ErrorKind::Invalid, error.to_string()))?;
    if body.len() > body_bytes {
        return Err(too_large(body_bytes));
    }
    let (path, query) = match request.url().split_once('?') {
        Some((path, query)) => (path.to_string(), query.to_string()),
        None => (request.url().to_string(), String::new()),
    };
    Ok(HttpRequest {
        method: request.method().to_string(),
        path,
        query,
        body,
    })
}

fn too_large(body_bytes: usize) -> HttpResponse {
    let message = format!("the body is larger than {body_bytes} bytes");
    HttpResponse::error(ErrorKind::TooLarge, message)
}

/// Sends a response. A failure to send is ignored: the client has disconnected.
fn send_response(request: Request, response: &HttpResponse) {
    let mut http_response = Response::from_data(response.body.clone())
        .with_status_code(response.status)
        .with_header(header("Content-Type", response.content_type));
    if let Some(wait) = response.retry_after {
        let seconds = wait.as_secs().max(1);
        http_response = http_response.with_header(header("Retry-After", &seconds.to_string()));
    }
    let _ = request.respond(http_response);
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("names and values here are printable ASCII")
}

/// Binds a TCP address for HTTP.
pub fn open_listener(
    address: SocketAddrV4,
    purpose: &'static str,
) -> Result<TcpListener, ProgramError> {
    TcpListener::bind(address).map_err(|source| ProgramError::Bind {
        purpose,
        address,
        source,
    })
}

/// Returns the address that a listener is bound to.
pub fn local_address(listener: &TcpListener) -> Option<SocketAddrV4> {
    match listener.local_addr() {
        Ok(SocketAddr::V4(address)) => Some(address),
        _ => None,
    }
}

fn spawn(name: &str, work: impl FnOnce() + Send + 'static) -> Result<JoinHandle<()>, ProgramError> {
    thread::Builder::new()
        .name(name.to_string())
        .spawn(work)
        .map_err(|source| ProgramError::System {
            action: "start a thread",
            source,
        })
}
