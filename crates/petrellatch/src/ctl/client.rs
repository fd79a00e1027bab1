//! Sends requests to the operator API, with retries until the outcome is known.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::thread;
use std::time::{Duration, Instant};

use petrellatch_core::ErrorKind;
use serde::Serialize;
use serde::de::DeserializeOwned;
use ureq::http::Response;
use ureq::{Agent, Body};

use super::backoff::Backoff;
use super::request_error;
use crate::api::{ErrorBody, ErrorDocument, kind_by_name};
use crate::error::ProgramError;

/// Timeout of the first attempt if there are several servers, so that a silent
/// one costs little time. It doubles with each attempt without a response.
const FIRST_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum timeout of one attempt.
const MAX_ATTEMPT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a server that did not respond is skipped, unless there is no other.
const SILENCE_TTL: Duration = Duration::from_secs(5);
/// Maximum number of leader hints that are followed in a row without a wait.
const MAX_CONSECUTIVE_HINTS: u32 = 3;

/// An error that a server reported, or a failed attempt to reach it.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The kind.
    pub kind: ErrorKind,
    /// The error that the server reported or this client detected.
    pub body: ErrorBody,
    /// Whether the server did not respond.
    pub got_no_response: bool,
}

/// A client of the control replicas.
#[derive(Debug)]
pub struct OperatorClient {
    agent: Agent,
    servers: Vec<String>,
    /// The server for the next attempt; it stays the same while it responds.
    current: usize,
    /// Until when servers that did not respond are skipped.
    silent_until: BTreeMap<usize, Instant>,
    attempt_timeout: Duration,
    backoff: Backoff,
    deadline: Instant,
}

impl OperatorClient {
    /// Creates a client of these servers.
    pub fn new(servers: &[String], retries: u32, deadline: Instant) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        OperatorClient {
            agent,
            servers: servers.to_vec(),
            current: 0,
            silent_until: BTreeMap::new(),
            attempt_timeout: match servers.len() {
                1 => MAX_ATTEMPT_TIMEOUT,
                _ => FIRST_ATTEMPT_TIMEOUT,
            },
            backoff: Backoff::new(retries),
            deadline,
        }
    }

    /// Reads a document.
    pub fn get<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, Failure> {
        self.request(path, None)
    }

    /// Sends a document and reads the response. The server must treat a retry
    /// of the same document as the same request.
    pub fn post<T: DeserializeOwned>(
        &mut self,
        path: &str,
        document: &impl Serialize,
    ) -> Result<T, Failure> {
        let body = serde_json::to_vec(document)
            .map_err(|error| Failure::new(ErrorKind::Internal, error.to_string()))?;
        self.request(path, Some(&body))
    }

    /// Returns the time left before the deadline.
    pub fn time_left(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    fn request<T: DeserializeOwned>(
        &mut self,
        path: &str,
        body: Option<&[u8]>,
    ) -> Result<T, Failure> {
        let mut hints = 0;
        loop {
            let failure = match self.attempt(path, body) {
                Ok(response) => return Ok(response),
                Err(failure) => failure,
            };
            if !failure.kind.response().retryable {
                return Err(failure);
            }
            if failure.got_no_response {
                self.note_silent_server();
            }
            let hinted = hints < MAX_CONSECUTIVE_HINTS && self.follow_hint(&failure);
            if hinted {
                hints += 1;
                continue;
            }
            hints = 0;
            self.select_next_server();
            self.wait_before_retry(failure)?;
        }
    }

    fn note_silent_server(&mut self) {
        let until = Instant::now() + SILENCE_TTL;
        self.silent_until.insert(self.current, until);
        self.attempt_timeout = (self.attempt_timeout * 2).min(MAX_ATTEMPT_TIMEOUT);
    }

    fn is_silent(&self, server: usize) -> bool {
        let until = self.silent_until.get(&server);
        until.is_some_and(|until| Instant::now() < *until)
    }

    /// Selects the next server in order, preferably one that is not silent.
    fn select_next_server(&mut self) {
        let count = self.servers.len();
        let mut others = (1..=count).map(|step| (self.current + step) % count);
        let next = others.find(|server| !self.is_silent(*server));
        self.current = next.unwrap_or((self.current + 1) % count);
    }

    /// Selects the leader that the failure names as the next server, unless that
    /// server did not respond recently.
    fn follow_hint(&mut self, failure: &Failure) -> bool {
        let Some(leader) = &failure.body.leader else {
            return false;
        };
        if leader.parse::<SocketAddrV4>().is_err() || self.servers[self.current] == *leader {
            return false;
        }
        let known = self.servers.iter().position(|server| server == leader);
        let server = known.unwrap_or_else(|| {
            self.servers.push(leader.clone());
            self.servers.len() - 1
        });
        if self.is_silent(server) {
            return false;
        }
        self.current = server;
        true
    }

    fn wait_before_retry(&mut self, failure: Failure) -> Result<(), Failure> {
        let min_wait = Duration::from_millis(failure.body.retry_after_ms.unwrap_or(0));
        let Some(wait) = self.backoff.next_wait(min_wait) else {
            return Err(failure);
        };
        if wait >= self.time_left() {
            let message = format!(
                "no response before the deadline; the last failure: {}",
                failure.body.message
            );
            return Err(Failure::new(ErrorKind::DeadlineExceeded, message));
        }
        thread::sleep(wait);
        Ok(())
    }

    fn attempt<T: DeserializeOwned>(&self, path: &str, body: Option<&[u8]>) -> Result<T, Failure> {
        let server = &self.servers[self.current];
        let url = format!("http://{server}{path}");
        let timeout = Some(self.time_left().min(self.attempt_timeout));
        let sent = match body {
            Some(body) => self
                .agent
                .post(&url)
                .config()
                .timeout_global(timeout)
                .build()
                .header("Content-Type", "application/json")
                .send(body),
            None => {
                let request = self.agent.get(&url).config().timeout_global(timeout);
                request.build().call()
            }
        };
        let response = sent.map_err(|error| unreachable(server, &error))?;
        read(server, response)
    }
}

fn read<T: DeserializeOwned>(server: &str, mut response: Response<Body>) -> Result<T, Failure> {
    let text = response
        .body_mut()
        .read_to_string()
        .map_err(|error| unreachable(server, &error))?;
    if response.status().is_success() {
        return serde_json::from_str(&text)
            .map_err(|error| Failure::new(ErrorKind::Internal, format!("{server}: {error}")));
    }
    let reported: ErrorDocument = serde_json::from_str(&text).map_err(|_| {
        let message = format!("{server} responded with {}", response.status());
        Failure::new(ErrorKind::Unavailable, message)
    })?;
    let kind = kind_by_name(&reported.error.kind).unwrap_or(ErrorKind::Internal);
    Err(Failure {
        kind,
        body: reported.error,
        got_no_response: false,
    })
}

fn unreachable(server: &str, error: &ureq::Error) -> Failure {
    let mut failure = Failure::new(ErrorKind::Unavailable, format!("{server}: {error}"));
    // Another server may respond at once, so only the backoff sets the wait.
    failure.body.retry_after_ms = None;
    failure.got_no_response = true;
    failure
}

impl Failure {
    /// Creates a failure that this client detected.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Failure {
            kind,
            body: ErrorDocument::new(kind, message).error,
            got_no_response: false,
        }
    }
}

impl From<Failure> for ProgramError {
    fn from(failure: Failure) -> Self {
        let message = match failure.body.current_version {
            Some(version) => {
                format!("{} (current version {version})", failure.body.message)
            }
            None => failure.body.message,
        };
        request_error(failure.kind, message)
    }
}
