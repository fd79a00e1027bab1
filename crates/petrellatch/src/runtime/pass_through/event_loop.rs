//! The part of the event loops that all roles share.

use std::time::Duration;

use mio::event::Event as ReadyEvent;
use mio::{Events, Poll, Token};
use petrellatch_core::{EventKind, Timestamp};

use crate::error::ProgramError;
use crate::http::{ConnectionId, EventServer, HttpRequest, HttpResponse, ReceivedRequest};
use crate::runtime::clock::ProcessClock;
use crate::runtime::process::{check_wait_result, open_poll};

use super::api_translator::{ApiRequest, ApiResponse, ApiTranslator};
use super::policy_api;
use super::rate_limited_log::RateLimitedLog;
use super::settings::PassThroughSettings;
use super::settings_watcher::SettingsWatcher;
use super::signals::Signals;

/// Tokens of the sockets and the waker that a loop polls.
pub(super) const MESSAGES: Token = Token(0);
pub(super) const PACKETS: Token = Token(1);
pub(super) const HTTP: Token = Token(2);
pub(super) const SECOND_HTTP: Token = Token(3);
pub(super) const WAKE: Token = Token(4);
pub(super) const REFUSALS: Token = Token(5);
/// First tokens of the connections of the two HTTP servers.
pub(super) const FIRST_CONNECTION: usize = 1 << 8;
pub(super) const SECOND_HTTP_FIRST_CONNECTION: usize = 1 << 40;

/// Path of the metrics of every process.
const METRICS_PATH: &str = "/metrics";
/// Maximum time of one wait. A signal that was delivered to another thread does not
/// interrupt the wait and is noticed after it.
const MAX_WAIT: Duration = Duration::from_millis(250);
/// Maximum number of events of one wait.
const EVENT_CAPACITY: usize = 64;
/// Maximum number of connections of one HTTP address.
pub(super) const MAX_CONNECTIONS: usize = 128;
/// Interval between checks for idle connections.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(1);

/// Clock, poll, log, signals and settings watcher of a process.
pub(super) struct EventLoop {
    pub(super) clock: ProcessClock,
    pub(super) poll: Poll,
    pub(super) log: RateLimitedLog,
    events: Events,
    signals: Signals,
    watcher: SettingsWatcher,
    stopping: bool,
    was_ready: bool,
    expire_at: Timestamp,
}

/// The tasks of a loop after a wait.
#[derive(Debug, Default)]
pub(super) struct Wakeup {
    /// Tokens that are ready to read or write.
    pub(super) tokens: Vec<Token>,
    /// The first request for a planned stop has arrived.
    pub(super) begin_stop: bool,
    /// The settings, if they were read again.
    pub(super) settings: Option<PassThroughSettings>,
    /// Idle connections must be closed.
    pub(super) expire_connections: bool,
}

impl EventLoop {
    pub(super) fn new(watcher: SettingsWatcher, name: &str) -> Result<Self, ProgramError> {
        Ok(EventLoop {
            clock: ProcessClock::start(),
            poll: open_poll()?,
            log: RateLimitedLog::new(name),
            events: Events::with_capacity(EVENT_CAPACITY),
            signals: Signals::register()?,
            watcher,
            stopping: false,
            was_ready: false,
            expire_at: Timestamp::ZERO,
        })
    }

    /// Waits until a token is ready, a signal arrives or `deadline` is reached. Returns
    /// at once if `has_backlog`, since a socket then still has datagrams to read.
    pub(super) fn wait(
        &mut self,
        deadline: Timestamp,
        has_backlog: bool,
    ) -> Result<Wakeup, ProgramError> {
        let wait = match has_backlog || (self.signals.stop_requested() && !self.stopping) {
            true => Duration::ZERO,
            false => self.clock.until(Some(deadline), MAX_WAIT),
        };
        check_wait_result(self.poll.poll(&mut self.events, Some(wait)))?;
        let now = self.clock.now();
        let begin_stop = self.signals.stop_requested() && !self.stopping;
        if begin_stop {
            self.stopping = true;
            self.log
                .write_always(now, EventKind::ProcessStopping, "asked to stop");
        }
        let expire_connections = now >= self.expire_at;
        if expire_connections {
            self.expire_at = now + EXPIRE_INTERVAL;
        }
        Ok(Wakeup {
            tokens: self.events.iter().map(ReadyEvent::token).collect(),
            begin_stop,
            settings: self.reload(now),
            expire_connections,
        })
    }

    /// Logs a change of readiness. `ready` is the present state.
    pub(super) fn note_ready(&mut self, ready: bool, subject: impl FnOnce() -> String) {
        if ready == self.was_ready {
            return;
        }
        self.was_ready = ready;
        let kind = match ready {
            true => EventKind::BecameReady,
            false => EventKind::BecameUnready,
        };
        self.log.write_always(self.clock.now(), kind, subject());
    }

    fn reload(&mut self, now: Timestamp) -> Option<PassThroughSettings> {
        let force = self.signals.take_reload_request();
        match self.watcher.poll(now, force)? {
            Ok(settings) => {
                let seeds = settings.seeds.len();
                let subject = format!("{seeds} seeds");
                self.log
                    .write_always(now, EventKind::SettingsReloaded, subject);
                Some(settings)
            }
            Err(message) => {
                self.log
                    .write_always(now, EventKind::SettingsIgnored, message);
                None
            }
        }
    }
}

/// A request whose response is sent later.
#[derive(Debug)]
pub(super) struct PendingRequest {
    /// The connection to respond on.
    pub(super) connection: ConnectionId,
    /// The request without its body, which the translation of the response needs.
    pub(super) request: HttpRequest,
}

impl PendingRequest {
    pub(super) fn new(received: &ReceivedRequest) -> PendingRequest {
        let HttpRequest {
            method,
            path,
            query,
            ..
        } = received.request.clone();
        PendingRequest {
            connection: received.connection,
            request: HttpRequest {
                method,
                path,
                query,
                body: Vec::new(),
            },
        }
    }
}

/// Serves the requests of one event. `handle` returns the response to a request, or
/// `None` if the response will be sent later. Returns a description of each request
/// that could not be parsed.
pub(super) fn serve_requests<T: ApiTranslator>(
    now: Timestamp,
    server: &mut EventServer,
    translator: &T,
    received: Vec<ReceivedRequest>,
    metrics: impl Fn() -> HttpResponse,
    mut handle: impl FnMut(&ReceivedRequest, ApiRequest) -> Option<ApiResponse>,
) -> Vec<String> {
    let mut refusals = Vec::new();
    let mut queue = received;
    while let Some(received) = queue.pop() {
        let request = match received.request.path.as_str() {
            METRICS_PATH => Err(metrics()),
            _ => match policy_api::parse_request(&received.request) {
                Some(parsed) => parsed.map(ApiRequest::Policies),
                None => translator.translate_request(&received.request),
            },
        };
        // The metrics come as `Err` too, since no translated request is left to handle.
        let response: Option<HttpResponse> = match request {
            Err(metrics) if metrics.status == 200 => Some(metrics),
            Err(refusal) => {
                refusals.push(describe_refusal(&received.request, &refusal));
                Some(refusal)
            }
            Ok(request) => {
                let response = handle(&received, request);
                response.map(|response| translator.translate_response(&received.request, &response))
            }
        };
        if let Some(response) = response {
            queue.extend(server.respond(now, received.connection, &response));
        }
    }
    refusals
}

fn describe_refusal(request: &HttpRequest, refusal: &HttpResponse) -> String {
    let HttpRequest { method, path, .. } = request;
    let reason = String::from_utf8_lossy(&refusal.body);
    format!("{method} {path} status={} {reason}", refusal.status)
}
