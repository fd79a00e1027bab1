//! The HTTP server of event loops, and its handling of idle connections.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpStream};
use std::time::{Duration, Instant};

use mio::{Events, Poll, Token};
use petrellatch::http::{EventServer, HttpResponse};
use petrellatch_core::Timestamp;

const MAX_CONNECTIONS: usize = 4;
const FIRST_CONNECTION: usize = 10;
const SERVER: Token = Token(0);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

struct TestServer {
    poll: Poll,
    server: EventServer,
    /// The current time, as passed to the server.
    now: Timestamp,
}

impl TestServer {
    fn start() -> TestServer {
        let poll = Poll::new().expect("a selector");
        let server = EventServer::open(
            SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0),
            poll.registry(),
            SERVER,
            FIRST_CONNECTION,
            MAX_CONNECTIONS,
            1_024,
        );
        TestServer {
            poll,
            server: server.expect("a free port"),
            now: Timestamp::from_millis(1_000),
        }
    }

    fn connect(&self) -> TcpStream {
        let address: SocketAddr = self.server.local_address().expect("the server is bound");
        let stream = TcpStream::connect(address).expect("the server listens");
        stream
            .set_read_timeout(Some(Duration::from_millis(20)))
            .expect("a socket");
        stream
    }

    /// Handles all pending events, and responds to all requests.
    fn run_once(&mut self) {
        let mut events = Events::with_capacity(16);
        let wait = Some(Duration::from_millis(5));
        self.poll.poll(&mut events, wait).expect("a selector");
        for event in &events {
            let registry = self.poll.registry();
            let received = self.server.handle_event(self.now, registry, event.token());
            for request in received {
                let response = HttpResponse::json(200, "{}".to_owned());
                self.server.respond(self.now, request.connection, &response);
            }
        }
        self.server.expire(self.now);
    }

    /// Sends a request. Returns whether a successful response arrives.
    fn is_served(&mut self, stream: &mut TcpStream) -> bool {
        let sent = stream.write_all(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
        if sent.is_err() {
            return false;
        }
        self.reads_success(stream)
    }

    /// Whether a successful response arrives.
    fn reads_success(&mut self, stream: &mut TcpStream) -> bool {
        let end = Instant::now() + RESPONSE_TIMEOUT;
        let mut response = [0; 256];
        while Instant::now() < end {
            self.run_once();
            match stream.read(&mut response) {
                Ok(0) => return false,
                Ok(length) => return response[..length].starts_with(b"HTTP/1.1 200"),
                Err(error) if error.kind() == std::io::ErrorKind::ConnectionReset => return false,
                Err(_) => {}
            }
        }
        false
    }
}

#[test]
fn idle_connections_are_closed_for_new_ones() {
    let mut server = TestServer::start();
    let mut idle: Vec<TcpStream> = (0..MAX_CONNECTIONS).map(|_| server.connect()).collect();
    for stream in &mut idle {
        assert!(server.is_served(stream));
    }
    server.now = server.now + Duration::from_secs(2);
    let mut new = server.connect();
    assert!(
        server.is_served(&mut new),
        "an idle connection is closed for a new one"
    );
    assert!(server.is_served(&mut new), "the new connection is kept");
}

#[test]
fn active_connections_are_not_closed_for_new_ones() {
    let mut server = TestServer::start();
    let mut open: Vec<TcpStream> = (0..MAX_CONNECTIONS).map(|_| server.connect()).collect();
    for stream in &mut open {
        assert!(server.is_served(stream));
    }
    server.now = server.now + Duration::from_millis(500);
    let mut new = server.connect();
    assert!(!server.is_served(&mut new));
    for stream in &mut open {
        assert!(server.is_served(stream));
    }
}

/// Sends a request in two parts on a connection that was idle for `idle_time`, the second part
/// `pause` after the first. Returns whether it is served.
fn is_served_in_parts(idle_time: Duration, pause: Duration) -> bool {
    let mut server = TestServer::start();
    let mut stream = server.connect();
    assert!(server.is_served(&mut stream));
    server.now = server.now + idle_time;
    let head = stream.write_all(b"PUT /x HTTP/1.1\r\nContent-Length: 2\r\n");
    head.expect("the connection is open");
    // The part has arrived once the server has handled its event.
    for _ in 0..10 {
        server.run_once();
    }
    server.now = server.now + pause;
    server.run_once();
    let sent = stream.write_all(b"Host: h\r\n\r\n{}");
    sent.is_ok() && server.reads_success(&mut stream)
}

// Guards against a request that is refused as cut short because its connection was idle before,
// and not because it takes long itself.
#[test]
fn the_time_of_a_request_begins_with_its_first_bytes() {
    let served = |idle, pause| {
        let (idle, pause) = (Duration::from_millis(idle), Duration::from_millis(pause));
        is_served_in_parts(idle, pause)
    };
    assert!(served(2_900, 1_100));
    assert!(served(3_500, 1_100));
    assert!(served(19_900, 2_900));
    assert!(!served(0, 3_000), "the request takes too long");
    assert!(!served(10_000, 3_000), "the request takes too long");
}
