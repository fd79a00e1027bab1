//! A server above its request limit refuses further requests immediately.

use std::io::Write;
use std::net::{SocketAddrV4, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use petrellatch::http::open_listener;
use petrellatch::http::{HttpHandler, HttpLimits, HttpRequest, HttpResponse, HttpServer};

/// Maximum number of requests in progress at the server.
const LIMIT: usize = 4;
/// Number of refused requests, as a multiple of the limit.
const FACTOR: usize = 10;

/// How long a response is waited for.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Responds when the test releases it.
struct BlockedHandler {
    started: Mutex<Sender<()>>,
    release: Mutex<Receiver<()>>,
}

impl HttpHandler for BlockedHandler {
    fn handle(&self, _request: &HttpRequest) -> HttpResponse {
        self.started
            .lock()
            .expect("no panic")
            .send(())
            .expect("the test receives");
        self.release
            .lock()
            .expect("no panic")
            .recv()
            .expect("the test is running");
        HttpResponse::json(200, "{}".to_string())
    }
}

/// Responds immediately.
struct ImmediateHandler;

impl HttpHandler for ImmediateHandler {
    fn handle(&self, _request: &HttpRequest) -> HttpResponse {
        HttpResponse::json(200, "{}".to_string())
    }
}

struct ReceivedResponse {
    status: u16,
    retry_after: Option<String>,
    body: String,
}

fn send_request(address: SocketAddrV4) -> ReceivedResponse {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(RESPONSE_TIMEOUT))
        .build()
        .into();
    let url = format!("http://{address}/v1/status");
    let mut response = agent.get(&url).call().expect("a response");
    let retry_after = response.headers().get("Retry-After");
    ReceivedResponse {
        status: response.status().as_u16(),
        retry_after: retry_after.map(|value| value.to_str().expect("text").to_string()),
        body: response.body_mut().read_to_string().expect("a body"),
    }
}

#[test]
fn requests_above_the_limit_are_refused_at_once_and_the_others_are_served() {
    let (started_sender, started) = channel();
    let (release, released) = channel();
    let handler = BlockedHandler {
        started: Mutex::new(started_sender),
        release: Mutex::new(released),
    };
    let limits = HttpLimits {
        workers: LIMIT,
        requests: LIMIT,
        body_bytes: 1_024,
    };
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let listener = open_listener(any_port, "a test").expect("a free port");
    let server = HttpServer::start(listener, limits, Arc::new(handler)).expect("the server starts");
    let address = server.address();
    let served: Vec<_> = (0..LIMIT)
        .map(|_| thread::spawn(move || send_request(address)))
        .collect();
    for _ in 0..LIMIT {
        started.recv().expect("a request has started");
    }
    // All workers are busy until the test releases them, so each response
    // received here was sent without waiting for a worker.
    for _ in 0..LIMIT * FACTOR {
        let received = send_request(address);
        assert_eq!(received.status, 429);
        assert_eq!(received.retry_after.as_deref(), Some("1"));
        assert!(received.body.contains("overloaded"), "{}", received.body);
    }
    for _ in 0..LIMIT {
        release.send(()).expect("the handler waits");
    }
    for thread in served {
        assert_eq!(thread.join().expect("no panic").status, 200);
    }
}

#[test]
fn a_refused_client_that_withholds_its_body_delays_no_other_request() {
    let limits = HttpLimits {
        workers: LIMIT,
        requests: LIMIT,
        body_bytes: 1_024,
    };
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let listener = open_listener(any_port, "a test").expect("a free port");
    let server =
        HttpServer::start(listener, limits, Arc::new(ImmediateHandler)).expect("the server starts");
    let address = server.address();
    let mut slow = TcpStream::connect(address).expect("the server accepts connections");
    let request_header =
        "POST /v1/changes HTTP/1.1\r\nHost: test\r\nContent-Length: 1000000\r\n\r\n";
    slow.write_all(request_header.as_bytes())
        .expect("the bytes are sent");
    slow.write_all(b"{").expect("the bytes are sent");
    // The slow client may be refused before or after any of these requests, so
    // several are sent.
    for _ in 0..LIMIT * FACTOR {
        assert_eq!(send_request(address).status, 200);
    }
    drop(slow);
}
