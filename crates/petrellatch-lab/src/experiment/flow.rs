//! The caller's end of one flow, and the small protocol on it.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::Timestamp;

use crate::caller::{CallerEndpoint, CallerState, ReadStatus};

use super::workload::{FlowPlan, RequestPlan};

/// Bytes of a request, an answer and the word that a request was shed.
pub const MESSAGE_BYTES: usize = 24;

/// A caller gives up a request that is not answered in this time besides the
/// time that it takes in a slot, even a cold one.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// A refused caller that is not told when to come back does so after this time.
pub const DEFAULT_RETRY_TIME: Duration = Duration::from_secs(1);

/// A caller that was refused so often gives up.
pub const TRY_LIMIT: u32 = 8;

const END_OF_HEADERS: &[u8] = b"\r\n\r\n";
const RETRY_AFTER: &str = "Retry-After: ";

/// A request takes at most so many times as long on a cold back end.
pub const COLD_FACTOR: u32 = 3;

const REQUEST_MARK: u8 = b'R';
const ANSWER_MARK: u8 = b'A';
const SHED_MARK: u8 = b'S';
const REFUSAL_MARK: u8 = b'H';

/// A message between caller and back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Message {
    /// What it is.
    pub kind: MessageKind,
    /// The service: of the caller in a request, of the back end in an answer.
    pub service: u8,
    /// The request.
    pub request: u64,
    /// How long the request takes in a slot, in microseconds.
    pub service_micros: u64,
}

/// What a message is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageKind {
    /// A request.
    Request,
    /// Its answer.
    Answer,
    /// It was shed and did not run.
    Shed,
}

impl Message {
    /// Writes it.
    pub fn to_bytes(self) -> Vec<u8> {
        let mark = match self.kind {
            MessageKind::Request => REQUEST_MARK,
            MessageKind::Answer => ANSWER_MARK,
            MessageKind::Shed => SHED_MARK,
        };
        let mut bytes = vec![0; MESSAGE_BYTES];
        bytes[0] = mark;
        bytes[1] = self.service;
        bytes[8..16].copy_from_slice(&self.request.to_be_bytes());
        bytes[16..24].copy_from_slice(&self.service_micros.to_be_bytes());
        bytes
    }

    /// Reads it.
    pub fn parse(bytes: &[u8]) -> Option<Message> {
        let kind = match *bytes.first()? {
            REQUEST_MARK => MessageKind::Request,
            ANSWER_MARK => MessageKind::Answer,
            SHED_MARK => MessageKind::Shed,
            _ => return None,
        };
        Some(Message {
            kind,
            service: *bytes.get(1)?,
            request: u64::from_be_bytes(bytes.get(8..16)?.try_into().ok()?),
            service_micros: u64::from_be_bytes(bytes.get(16..24)?.try_into().ok()?),
        })
    }
}

/// How a flow ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FlowEnd {
    /// All its requests were answered.
    Complete,
    /// It was refused, and its request did not run. The caller comes back.
    Refused,
    /// Its opening packet was answered by a reset.
    RefusedByReset,
    /// A back end shed one of its requests.
    Shed,
    /// It was reset.
    Reset,
    /// A request got no answer.
    NoAnswer,
    /// It got an answer that it did not ask for.
    WrongAnswer,
}

impl FlowEnd {
    /// Returns whether the flow was cut although it had been accepted.
    pub fn is_broken(self) -> bool {
        matches!(
            self,
            FlowEnd::Reset | FlowEnd::NoAnswer | FlowEnd::WrongAnswer
        )
    }
}

/// One flow of a caller.
pub struct CallerFlow {
    /// What it does.
    pub plan: FlowPlan,
    /// The requests that were answered.
    pub answered: usize,
    endpoint: CallerEndpoint,
    sent: usize,
    /// When the last request was begun: for the first one, when the flow was
    /// opened.
    asked_at: Timestamp,
    /// When the caller first wanted to ask the last request, however often it
    /// was refused since.
    wanted_at: Timestamp,
    next_at: Timestamp,
    received: Vec<u8>,
    is_closing: bool,
}

impl CallerFlow {
    /// Opens the flow.
    pub fn open(now: Timestamp, seed: u64, local: SocketAddrV4, plan: FlowPlan) -> Self {
        let remote = super::deployment::Deployment::address(plan.service);
        let plan_wanted_at = plan.wanted_at.unwrap_or(now);
        let mut endpoint = CallerEndpoint::new(now, seed, local, remote);
        endpoint.set_timeout(PATIENCE);
        CallerFlow {
            plan,
            answered: 0,
            endpoint,
            sent: 0,
            asked_at: now,
            wanted_at: plan_wanted_at,
            next_at: now,
            received: Vec::new(),
            is_closing: false,
        }
    }

    /// Takes a packet.
    pub fn handle_packet(&mut self, now: Timestamp, packet: &[u8]) {
        self.endpoint.handle_packet(now, packet);
    }

    /// Does what is due. Returns how the flow ended once it has.
    pub fn advance(&mut self, now: Timestamp) -> Option<FlowEnd> {
        if let Some(end) = self.read(now) {
            return Some(end);
        }
        self.ask(now);
        let state = self.endpoint.state();
        let is_waiting = self.sent > self.answered || state == CallerState::Connecting;
        if is_waiting && now >= self.gives_up_at() {
            return Some(FlowEnd::NoAnswer);
        }
        self.judge(state)
    }

    /// Returns the packets to send.
    pub fn poll_packets(&mut self, now: Timestamp) -> Vec<Vec<u8>> {
        std::iter::from_fn(|| self.endpoint.poll_packet(now)).collect()
    }

    /// Returns when [`CallerFlow::advance`] is due.
    pub fn poll_timeout(&mut self, now: Timestamp) -> Option<Timestamp> {
        let is_waiting =
            self.sent > self.answered || self.endpoint.state() == CallerState::Connecting;
        let own = if is_waiting {
            Some(self.gives_up_at())
        } else {
            (self.sent < self.plan.requests.len()).then_some(self.next_at)
        };
        let endpoint = self.endpoint.poll_timeout(now);
        own.into_iter().chain(endpoint).min()
    }

    /// Returns when the caller first wanted to ask the last request.
    pub fn wanted_at(&self) -> Timestamp {
        self.wanted_at
    }

    /// Returns when a refused caller comes back.
    pub fn retry_time(&self) -> Duration {
        let text = String::from_utf8_lossy(&self.received);
        let value = text.split(RETRY_AFTER).nth(1);
        let seconds = value.and_then(|it| it.lines().next()?.parse().ok());
        seconds.map_or(DEFAULT_RETRY_TIME, Duration::from_secs)
    }

    fn gives_up_at(&self) -> Timestamp {
        let request = self.plan.requests.get(self.answered);
        let service_time = request.map_or(Duration::ZERO, |it| it.service_time);
        self.asked_at + PATIENCE + service_time * COLD_FACTOR
    }

    /// Returns whether the flow was accepted.
    pub fn is_accepted(&self) -> bool {
        self.endpoint.state() != CallerState::Connecting
    }

    /// Gives the flow up with a reset.
    pub fn abort(&mut self) {
        self.endpoint.abort();
    }

    fn read(&mut self, now: Timestamp) -> Option<FlowEnd> {
        let mut buffer = [0; 1_024];
        while let ReadStatus::Bytes(count) = self.endpoint.read(&mut buffer) {
            self.received.extend_from_slice(&buffer[..count]);
        }
        if self.received.first() == Some(&REFUSAL_MARK) {
            let mut windows = self.received.windows(END_OF_HEADERS.len());
            let is_whole = windows.any(|window| window == END_OF_HEADERS);
            return is_whole.then_some(FlowEnd::Refused);
        }
        while self.received.len() >= MESSAGE_BYTES {
            let bytes: Vec<u8> = self.received.drain(..MESSAGE_BYTES).collect();
            if let Some(end) = self.take_answer(now, Message::parse(&bytes)) {
                return Some(end);
            }
        }
        None
    }

    fn take_answer(&mut self, now: Timestamp, message: Option<Message>) -> Option<FlowEnd> {
        let expected = self.plan.requests.get(self.answered);
        let (Some(message), Some(expected)) = (message, expected) else {
            return Some(FlowEnd::WrongAnswer);
        };
        let is_own =
            message.request == expected.id && usize::from(message.service) == self.plan.service;
        if !is_own {
            return Some(FlowEnd::WrongAnswer);
        }
        if message.kind == MessageKind::Shed {
            return Some(FlowEnd::Shed);
        }
        self.next_at = now + expected.think_time;
        self.answered += 1;
        None
    }

    fn ask(&mut self, now: Timestamp) {
        if self.answered == self.plan.requests.len() {
            if !self.is_closing {
                self.is_closing = true;
                self.endpoint.close();
            }
            return;
        }
        let may_ask = self.sent == self.answered && now >= self.next_at;
        if !may_ask || self.endpoint.write_capacity() < MESSAGE_BYTES {
            return;
        }
        if self.sent > 0 {
            self.asked_at = now;
            self.wanted_at = now;
        }
        let request: RequestPlan = self.plan.requests[self.sent];
        let message = Message {
            kind: MessageKind::Request,
            service: u8::try_from(self.plan.service).unwrap_or(u8::MAX),
            request: request.id,
            service_micros: u64::try_from(request.service_time.as_micros()).unwrap_or(u64::MAX),
        };
        self.endpoint.write(&message.to_bytes());
        self.sent += 1;
    }

    fn judge(&self, state: CallerState) -> Option<FlowEnd> {
        let is_complete = self.answered == self.plan.requests.len();
        match state {
            CallerState::Connecting | CallerState::Connected => None,
            CallerState::Finished if is_complete => Some(FlowEnd::Complete),
            // The answers are whole; only the end of the connection was not
            // confirmed.
            CallerState::TimedOut if is_complete => Some(FlowEnd::Complete),
            CallerState::Refused => Some(FlowEnd::RefusedByReset),
            CallerState::TimedOut => Some(FlowEnd::NoAnswer),
            CallerState::Finished | CallerState::Reset | CallerState::Aborted => {
                Some(FlowEnd::Reset)
            }
        }
    }
}
