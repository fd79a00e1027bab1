//! Sends requests to the operator API until the answer is known.

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

/// The wait for the first answer when there are other servers to ask, so that
/// a silent one costs little. It doubles with each answer that did not come.
const FIRST_ATTEMPT_LIMIT: Duration = Duration::from_secs(1);
/// The longest wait for one answer.
const LAST_ATTEMPT_LIMIT: Duration = Duration::from_secs(5);
/// A server that did not answer is not asked again for so long, unless there
/// is no other.
const SILENCE_MEMORY: Duration = Duration::from_secs(5);
/// How many leader hints are followed in a row without a wait.
const MAX_HINTS_IN_A_ROW: u32 = 3;

/// A failure that a server reported, or that kept its answer away.
#[derive(Clone, Debug)]
pub struct Failure {
    /// The kind.
    pub kind: ErrorKind,
    /// What the server said.
    pub body: ErrorBody,
    /// Whether the server said nothing.
    pub is_silence: bool,
}

/// A client of the control replicas.
#[derive(Debug)]
pub struct OperatorClient {
    agent: Agent,
    servers: Vec<String>,
    /// The server that is asked next: the one that answered last.
    current: usize,
    /// Until when servers that did not answer are left alone.
    silent: BTreeMap<usize, Instant>,
    attempt_limit: Duration,
    backoff: Backoff,
    deadline: Instant,
}

impl OperatorClient {
    /// Makes a client of these servers.
    pub fn new(servers: &[String], retries: u32, deadline: Instant) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .build()
            .into();
        OperatorClient {
            agent,
            servers: servers.to_vec(),
            current: 0,
            silent: BTreeMap::new(),
            attempt_limit: match servers.len() {
                1 => LAST_ATTEMPT_LIMIT,
                _ => FIRST_ATTEMPT_LIMIT,
            },
            backoff: Backoff::new(retries),
            deadline,
        }
    }

    /// Reads a document.
    pub fn get<T: DeserializeOwned>(&mut self, path: &str) -> Result<T, Failure> {
        self.request(path, None)
    }

    /// Sends a document and reads the answer. The server must treat a resent
    /// document as the same request.
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
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            if !failure.kind.response().retryable {
                return Err(failure);
            }
            if failure.is_silence {
                self.note_silence();
            }
            let hinted = hints < MAX_HINTS_IN_A_ROW && self.follow_hint(&failure);
            if hinted {
                hints += 1;
                continue;
            }
            hints = 0;
            self.take_next_server();
            self.wait_before_retry(failure)?;
        }
    }

    fn note_silence(&mut self) {
        let until = Instant::now() + SILENCE_MEMORY;
        self.silent.insert(self.current, until);
        self.attempt_limit = (self.attempt_limit * 2).min(LAST_ATTEMPT_LIMIT);
    }

    fn is_silent(&self, server: usize) -> bool {
        let until = self.silent.get(&server);
        until.is_some_and(|until| Instant::now() < *until)
    }

    /// Takes the next server in turn, if possible one that is not silent.
    fn take_next_server(&mut self) {
        let count = self.servers.len();
        let mut others = (1..=count).map(|step| (self.current + step) % count);
        let next = others.find(|server| !self.is_silent(*server));
        self.current = next.unwrap_or((self.current + 1) % count);
    }

    /// Makes the leader that the failure names the next server, unless it did
    /// not answer just now.
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
        let wish = Duration::from_millis(failure.body.retry_after_ms.unwrap_or(0));
        let Some(wait) = self.backoff.next_wait(wish) else {
            return Err(failure);
        };
        if wait >= self.time_left() {
            let message = format!(
                "no answer in time; the last failure: {}",
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
        let limit = Some(self.time_left().min(self.attempt_limit));
        let sent = match body {
            Some(body) => self
                .agent
                .post(&url)
                .config()
                .timeout_global(limit)
                .build()
                .header("Content-Type", "application/json")
                .send(body),
            None => {
                let request = self.agent.get(&url).config().timeout_global(limit);
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
        let message = format!("{server} answered {}", response.status());
        Failure::new(ErrorKind::Unavailable, message)
    })?;
    let kind = kind_by_name(&reported.error.kind).unwrap_or(ErrorKind::Internal);
    Err(Failure {
        kind,
        body: reported.error,
        is_silence: false,
    })
}

fn unreachable(server: &str, error: &ureq::Error) -> Failure {
    let mut failure = Failure::new(ErrorKind::Unavailable, format!("{server}: {error}"));
    // Another server may answer at once; the backoff alone decides.
    failure.body.retry_after_ms = None;
    failure.is_silence = true;
    failure
}

impl Failure {
    /// Makes a failure that this client found.
    pub fn new(kind: ErrorKind, message: impl Into<String>) -> Self {
        Failure {
            kind,
            body: ErrorDocument::new(kind, message).error,
            is_silence: false,
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
