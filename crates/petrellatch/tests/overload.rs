//! A server with more requests than it takes answers the rest at once.

use std::io::Write;
use std::net::{SocketAddrV4, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use petrellatch::http::open_listener;
use petrellatch::http::{HttpHandler, HttpLimits, HttpRequest, HttpResponse, HttpServer};

/// Requests that the server takes at once.
const LIMIT: usize = 4;
/// How many times that is sent.
const FACTOR: usize = 10;

/// The longest wait for an answer.
const PATIENCE: Duration = Duration::from_secs(20);

/// Answers when the test says so.
struct HeldHandler {
    started: Mutex<Sender<()>>,
    release: Mutex<Receiver<()>>,
}

impl HttpHandler for HeldHandler {
    fn handle(&self, _request: &HttpRequest) -> HttpResponse {
        self.started
            .lock()
            .expect("no panic")
            .send(())
            .expect("the test waits");
        self.release
            .lock()
            .expect("no panic")
            .recv()
            .expect("the test lives");
        HttpResponse::json(200, "{}".to_string())
    }
}

/// Answers at once.
struct PromptHandler;

impl HttpHandler for PromptHandler {
    fn handle(&self, _request: &HttpRequest) -> HttpResponse {
        HttpResponse::json(200, "{}".to_string())
    }
}

struct Answered {
    status: u16,
    retry_after: Option<String>,
    body: String,
}

fn ask(address: SocketAddrV4) -> Answered {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(PATIENCE))
        .build()
        .into();
    let url = format!("http://{address}/v1/status");
    let mut response = agent.get(&url).call().expect("an answer");
    let retry_after = response.headers().get("Retry-After");
    Answered {
        status: response.status().as_u16(),
        retry_after: retry_after.map(|value| value.to_str().expect("text").to_string()),
        body: response.body_mut().read_to_string().expect("a body"),
    }
}

#[test]
fn ten_times_the_limit_is_shed_at_once_and_the_rest_is_served() {
    let (started_sender, started) = channel();
    let (release, released) = channel();
    let handler = HeldHandler {
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
    let server = HttpServer::start(listener, limits, Arc::new(handler)).expect("it starts");
    let address = server.address();
    let served: Vec<_> = (0..LIMIT)
        .map(|_| thread::spawn(move || ask(address)))
        .collect();
    for _ in 0..LIMIT {
        started.recv().expect("a request has started");
    }
    // None of the requests that are being served has ended, so every answer
    // that comes now was given without waiting for one of them.
    for _ in 0..LIMIT * FACTOR {
        let answered = ask(address);
        assert_eq!(answered.status, 429);
        assert_eq!(answered.retry_after.as_deref(), Some("1"));
        assert!(answered.body.contains("overloaded"), "{}", answered.body);
    }
    for _ in 0..LIMIT {
        release.send(()).expect("the handler waits");
    }
    for thread in served {
        assert_eq!(thread.join().expect("no panic").status, 200);
    }
}

#[test]
fn a_refused_client_that_keeps_its_body_back_holds_up_no_one() {
    let limits = HttpLimits {
        workers: LIMIT,
        requests: LIMIT,
        body_bytes: 1_024,
    };
    let any_port = "127.0.0.1:0".parse().expect("an address");
    let listener = open_listener(any_port, "a test").expect("a free port");
    let server = HttpServer::start(listener, limits, Arc::new(PromptHandler)).expect("it starts");
    let address = server.address();
    let mut slow = TcpStream::connect(address).expect("it is open");
    let head = "POST /v1/changes HTTP/1.1\r\nHost: test\r\nContent-Length: 1000000\r\n\r\n";
    slow.write_all(head.as_bytes()).expect("it is sent");
    slow.write_all(b"{").expect("it is sent");
    // The refusal of the slow client and these requests may come in any order,
    // so there are several.
    for _ in 0..LIMIT * FACTOR {
        assert_eq!(ask(address).status, 200);
    }
    drop(slow);
}
