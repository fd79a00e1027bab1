//! The listener of the back-end stand-in and the state its connections share.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use mio::net::TcpListener;
use mio::{Events, Interest, Poll, Token};
use serde::Serialize;
use slog::{Logger, debug, info, warn};

use super::admission::Slots;
use super::connection::Connection;
use super::control::{ControlRequest, LoadReport, ReportControl};
use super::executions::{ExecutionLog, ExecutionReport};
use super::options::BackendOptions;
use super::service_time::{Distribution, ServiceTimes};
use crate::support::process::{StopFlag, print_json_line};

/// How often the load is sampled and the stop flag is read.
const TICK: Duration = Duration::from_millis(50);
/// Stack of a connection's thread, in bytes.
const CONNECTION_STACK_BYTES: usize = 256 * 1024;
const LISTENER: Token = Token(0);

/// State shared by the connections of one back end.
#[derive(Debug)]
pub struct BackendState {
    options: BackendOptions,
    started: Instant,
    slots: Slots,
    connections: AtomicUsize,
    executions: ExecutionLog,
    service_times: Mutex<ServiceTimes>,
    reports: Mutex<ReportControl>,
    stop: StopFlag,
}

impl BackendState {
    fn new(options: BackendOptions, stop: StopFlag) -> BackendState {
        let distribution = if options.tail {
            Distribution::HeavyTailed
        } else {
            Distribution::Exponential
        };
        let service_times = ServiceTimes::new(
            options.seed,
            distribution,
            options.mean_service_time(),
            options.cold_start(),
        );
        BackendState {
            started: Instant::now(),
            slots: Slots::new(options.slots, options.queue),
            connections: AtomicUsize::new(0),
            executions: ExecutionLog::default(),
            service_times: Mutex::new(service_times),
            reports: Mutex::default(),
            stop,
            options,
        }
    }

    /// Returns the name of the back end.
    pub fn name(&self) -> &str {
        &self.options.name
    }

    /// Returns the name of its service.
    pub fn service(&self) -> &str {
        &self.options.service
    }

    /// Returns the slots.
    pub fn slots(&self) -> &Slots {
        &self.slots
    }

    /// Tells whether the back end is about to stop.
    pub fn is_stopping(&self) -> bool {
        self.stop.is_set()
    }

    /// Tells whether the back end is leaving.
    pub fn is_draining(&self) -> bool {
        self.reports().is_draining()
    }

    /// Records that a request begins to run.
    pub fn record_execution(&self, request_id: &str) {
        self.executions.record(request_id);
    }

    /// Reports what was run.
    pub fn executions(&self) -> ExecutionReport {
        self.executions.report(self.name(), self.service())
    }

    /// Draws the service time of a request that begins now.
    pub fn draw_service_time(&self) -> Duration {
        self.service_times
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .draw(self.started.elapsed())
    }

    /// Counts a connection, accepted then, that brought work.
    pub fn count_flow(&self, accepted: Instant) {
        self.reports().count_flow(accepted);
    }

    /// Applies a control request.
    pub fn control(&self, request: ControlRequest) {
        let truth = self.true_report();
        self.reports().apply(Instant::now(), request, truth);
    }

    /// Returns the report to give now, or nothing while it is to hang.
    pub fn load_report(&self) -> Option<LoadReport> {
        let truth = self.true_report();
        self.reports().report(Instant::now(), truth)
    }

    /// Estimates when a slot will be free for a new request.
    pub fn retry_after_seconds(&self) -> u64 {
        let ahead = self.slots.occupancy().waiting + 1;
        let rounds = ahead.div_ceil(self.slots.total().max(1));
        let wait = self.options.mean_service_time() * u32::try_from(rounds).unwrap_or(u32::MAX);
        wait.as_secs().max(1)
    }

    fn true_report(&self) -> LoadReport {
        let occupancy = self.slots.occupancy();
        let mut report = LoadReport {
            backend: self.name().to_owned(),
            service: self.service().to_owned(),
            healthy: !self.is_stopping(),
            slots: self.slots.total(),
            busy: occupancy.busy,
            waiting: occupancy.waiting,
            connections: self.connections.load(Ordering::Relaxed),
            connection_limit: self.options.connections,
            ..LoadReport::default()
        };
        self.reports().complete(&mut report);
        report
    }

    fn sample_load(&self) {
        let truth = self.true_report();
        self.reports().sample(Instant::now(), truth);
    }

    fn reports(&self) -> MutexGuard<'_, ReportControl> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A running back end.
#[derive(Debug)]
pub struct BackendServer {
    address: SocketAddr,
    stop: StopFlag,
    acceptor: JoinHandle<io::Result<()>>,
}

impl BackendServer {
    /// Starts a back end on its own threads.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub fn start(options: BackendOptions, stop: StopFlag, log: Logger) -> io::Result<Self> {
        let listen = options
            .listen
            .unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
        let listener = TcpListener::bind(listen)?;
        let address = listener.local_addr()?;
        let state = Arc::new(BackendState::new(options, stop.clone()));
        let acceptor = std::thread::spawn(move || accept_loop(&state, listener, &log));
        Ok(BackendServer {
            address,
            stop,
            acceptor,
        })
    }

    /// Returns the address it serves on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks it to stop and waits until its open requests are answered.
    ///
    /// # Errors
    /// Fails when its listener failed.
    pub fn stop(self) -> io::Result<()> {
        self.stop.set();
        self.join()
    }

    /// Waits until it has stopped.
    ///
    /// # Errors
    /// Fails when its listener failed.
    pub fn join(self) -> io::Result<()> {
        self.acceptor
            .join()
            .unwrap_or_else(|_| Err(io::Error::other("the acceptor panicked")))
    }
}

fn accept_loop(
    state: &Arc<BackendState>,
    mut listener: TcpListener,
    log: &Logger,
) -> io::Result<()> {
    let mut poll = Poll::new()?;
    let mut events = Events::with_capacity(16);
    poll.registry()
        .register(&mut listener, LISTENER, Interest::READABLE)?;
    while !state.is_stopping() {
        match poll.poll(&mut events, Some(TICK)) {
            Err(error) if error.kind() != io::ErrorKind::Interrupted => return Err(error),
            _ => accept_all(state, &listener, log),
        }
        state.sample_load();
    }
    drop(listener);
    wait_for_connections(state, log);
    Ok(())
}

fn accept_all(state: &Arc<BackendState>, listener: &TcpListener, log: &Logger) {
    loop {
        match listener.accept() {
            Ok((stream, _)) => spawn_connection(state, TcpStream::from(stream), log),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
            Err(error) => {
                warn!(log, "cannot accept a connection"; "error" => %error);
                return;
            }
        }
    }
}

fn spawn_connection(state: &Arc<BackendState>, stream: TcpStream, log: &Logger) {
    let open = state.connections.fetch_add(1, Ordering::Relaxed);
    let over_limit = open >= state.options.connections;
    let shared = Arc::clone(state);
    let connection_log = log.clone();
    let spawned = std::thread::Builder::new()
        .stack_size(CONNECTION_STACK_BYTES)
        .spawn(move || {
            serve_connection(&shared, stream, over_limit, &connection_log);
            shared.connections.fetch_sub(1, Ordering::Relaxed);
        });
    if let Err(error) = spawned {
        state.connections.fetch_sub(1, Ordering::Relaxed);
        warn!(log, "cannot start a thread for a connection"; "error" => %error);
    }
}

fn serve_connection(state: &Arc<BackendState>, stream: TcpStream, over_limit: bool, log: &Logger) {
    let outcome = Connection::new(Arc::clone(state), stream, over_limit)
        .map(|mut connection| connection.serve());
    match outcome {
        Ok(Ok(())) => {}
        Ok(Err(error)) => debug!(log, "a connection ended early"; "error" => %error),
        Err(error) => debug!(log, "cannot serve a connection"; "error" => %error),
    }
}

/// Waits for open requests. Idle connections close by themselves once the
/// stop flag is set.
fn wait_for_connections(state: &BackendState, log: &Logger) {
    let limit = Instant::now() + Duration::from_millis(state.options.stop_ms);
    while state.connections.load(Ordering::Relaxed) > 0 {
        if Instant::now() >= limit {
            let left = state.connections.load(Ordering::Relaxed);
            warn!(log, "stopping with open connections"; "connections" => left);
            return;
        }
        std::thread::sleep(TICK);
    }
}

#[derive(Serialize)]
struct ReadyLine {
    ready: &'static str,
    listen: SocketAddr,
    name: String,
    service: String,
}

/// Runs the subcommand until it is asked to stop.
///
/// # Errors
/// Fails when the address cannot be bound or the listener fails.
pub fn run(options: BackendOptions, log: Logger) -> io::Result<()> {
    let stop = StopFlag::on_signals()?;
    let name = options.name.clone();
    let service = options.service.clone();
    let server = BackendServer::start(options, stop, log.clone())?;
    print_json_line(&ReadyLine {
        ready: "backend",
        listen: server.address(),
        name,
        service,
    })?;
    server.join()?;
    info!(log, "stopped");
    Ok(())
}
