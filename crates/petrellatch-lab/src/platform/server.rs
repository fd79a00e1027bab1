//! The HTTP server of the platform stand-in.

use std::fs;
use std::io;
use std::net::SocketAddr;
use std::thread::JoinHandle;
use std::time::Duration;

use serde::Serialize;
use slog::{Logger, info};
use tiny_http::{Request, Server};

use super::lagging_list::{LaggingList, parse_machines};
use super::options::PlatformOptions;
use crate::support::http_server::{json_response, not_found};
use crate::support::process::{ProcessClock, StopFlag, print_json_line};

/// How often the file is read and the stop flag is looked at.
const TICK: Duration = Duration::from_millis(100);
/// The path of the list.
const MACHINES_PATH: &str = "/machines";

/// A running platform.
#[derive(Debug)]
pub struct PlatformServer {
    address: SocketAddr,
    stop: StopFlag,
    thread: JoinHandle<()>,
}

impl PlatformServer {
    /// Starts a platform on its own thread.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub fn start(options: PlatformOptions, stop: StopFlag) -> io::Result<Self> {
        let listen = options
            .listen
            .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let server = Server::http(listen).map_err(io::Error::other)?;
        let address = server
            .server_addr()
            .to_ip()
            .ok_or_else(|| io::Error::other("the platform has no IP address"))?;
        let loop_stop = stop.clone();
        let thread = std::thread::spawn(move || serve(&server, &options, &loop_stop));
        Ok(PlatformServer {
            address,
            stop,
            thread,
        })
    }

    /// Returns the address it serves on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks it to stop and waits for that.
    pub fn stop(self) {
        self.stop.set();
        self.join();
    }

    /// Waits until it has stopped.
    pub fn join(self) {
        // A panic there was already reported on standard error.
        let _ = self.thread.join();
    }
}

fn serve(server: &Server, options: &PlatformOptions, stop: &StopFlag) {
    let clock = ProcessClock::start();
    let mut list = LaggingList::new(options.lag());
    while !stop.is_set() {
        // A file that is missing or half written changes nothing.
        if let Ok(content) = fs::read_to_string(&options.machines_file) {
            list.handle_list(clock.now(), parse_machines(&content));
        }
        if let Ok(Some(request)) = server.recv_timeout(TICK) {
            answer(request, list.machines(clock.now()));
        }
    }
}

fn answer<T: Serialize + ?Sized>(request: Request, machines: &T) {
    let response = if request.url() == MACHINES_PATH {
        json_response(machines)
    } else {
        not_found()
    };
    // The client may be gone, which is its own affair.
    let _ = request.respond(response);
}

#[derive(Serialize)]
struct ReadyLine {
    ready: &'static str,
    listen: SocketAddr,
    list_url: String,
}

/// Runs the subcommand until it is asked to stop.
///
/// # Errors
/// Fails when the address cannot be bound.
pub fn run(options: PlatformOptions, log: &Logger) -> io::Result<()> {
    let server = PlatformServer::start(options, StopFlag::on_signals()?)?;
    let listen = server.address();
    print_json_line(&ReadyLine {
        ready: "platform",
        listen,
        list_url: format!("http://{listen}{MACHINES_PATH}"),
    })?;
    server.join();
    info!(log, "stopped");
    Ok(())
}
