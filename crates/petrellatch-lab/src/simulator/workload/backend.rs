//! A simulated back end: it works on requests in a few slots and answers them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::RngExt;

use super::protocol::{self, AnswerLine, AttemptId, MAX_LINE_BYTES, RequestLine};
use crate::simulator::engine::VirtualTime;
use crate::simulator::engine::random::Random;

/// Bytes of a piece of a paced answer.
const PIECE_BYTES: u32 = 4_096;

/// One connection, numbered by whoever opens it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// How long requests take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServiceTimes {
    /// What most requests take.
    pub typical: Duration,
    /// A few requests take this many times as long.
    pub tail_factor: u32,
    /// How many of a thousand requests those few are.
    pub tail_per_mille: u32,
    /// For how long after a start requests take longer.
    pub cold: Duration,
    /// How many times as long they take then.
    pub cold_factor: u32,
}

/// What a back end is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BackendPlan {
    /// Its name.
    pub name: String,
    /// The service that it serves.
    pub service: String,
    /// Requests that it works on at once.
    pub slots: usize,
    /// Connections that it accepts at once.
    pub connections: usize,
    /// How long requests take.
    pub times: ServiceTimes,
}

/// One request that a back end began to work on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Execution {
    /// The back end.
    pub backend: String,
    /// The service of the back end.
    pub service: String,
    /// The service that the request named.
    pub requested_service: String,
    /// The request.
    pub id: AttemptId,
    /// When the work began.
    pub started: VirtualTime,
}

/// What a back end does to its connections.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BackendOutput {
    /// It accepted the connection.
    Accepted(ConnectionId),
    /// It did not accept the connection, or nothing listens.
    Refused(ConnectionId),
    /// It sends bytes.
    Data(ConnectionId, Vec<u8>),
    /// It has sent everything.
    Finished(ConnectionId),
    /// It resets the connection.
    Reset(ConnectionId),
}

#[derive(Debug)]
struct Connection {
    line: Vec<u8>,
    request: Option<RequestLine>,
    upload_missing: u32,
    answered: u32,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Receiving,
    Waiting,
    Working,
    Answering,
    Done,
}

/// The server process of one back end.
#[derive(Debug)]
pub struct SimulatedBackend {
    plan: BackendPlan,
    random: Random,
    running_since: Option<VirtualTime>,
    connections: BTreeMap<ConnectionId, Connection>,
    waiting: VecDeque<ConnectionId>,
    busy: usize,
    timers: BTreeSet<(VirtualTime, ConnectionId)>,
    outputs: VecDeque<BackendOutput>,
    executions: Vec<Execution>,
}

impl SimulatedBackend {
    /// Starts a back end that has run for long.
    pub fn new(plan: BackendPlan, random: Random) -> Self {
        SimulatedBackend {
            plan,
            random,
            running_since: Some(VirtualTime::ZERO),
            connections: BTreeMap::new(),
            waiting: VecDeque::new(),
            busy: 0,
            timers: BTreeSet::new(),
            outputs: VecDeque::new(),
            executions: Vec::new(),
        }
    }

    /// Returns what it is.
    pub fn plan(&self) -> &BackendPlan {
        &self.plan
    }

    /// Returns every request that it began to work on.
    pub fn executions(&self) -> &[Execution] {
        &self.executions
    }

    /// Returns how many requests it works on.
    pub fn busy(&self) -> usize {
        self.busy
    }

    /// Ends the process; every connection is reset.
    pub fn kill(&mut self) {
        self.running_since = None;
        self.waiting.clear();
        self.timers.clear();
        self.busy = 0;
        for (id, _) in std::mem::take(&mut self.connections) {
            self.outputs.push_back(BackendOutput::Reset(id));
        }
    }

    /// Starts the process again, cold.
    pub fn start(&mut self, now: VirtualTime) {
        self.running_since = Some(now);
    }

    /// Takes a connection.
    pub fn handle_open(&mut self, id: ConnectionId) {
        let full = self.connections.len() >= self.plan.connections;
        if self.running_since.is_none() || full {
            self.outputs.push_back(BackendOutput::Refused(id));
            return;
        }
        let connection = Connection {
            line: Vec::new(),
            request: None,
            upload_missing: 0,
            answered: 0,
            stage: Stage::Receiving,
        };
        self.connections.insert(id, connection);
        self.outputs.push_back(BackendOutput::Accepted(id));
    }

    /// Takes bytes of a connection.
    pub fn handle_data(&mut self, now: VirtualTime, id: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if connection.stage != Stage::Receiving {
            return;
        }
        match connection.receive(bytes) {
            Received::Incomplete => {}
            Received::Request => {
                connection.stage = Stage::Waiting;
                self.waiting.push_back(id);
                self.fill_slots(now);
            }
            Received::Nonsense => self.reset(now, id),
        }
    }

    /// The other end has sent everything. A request that is cut short is
    /// dropped; otherwise the answer goes on.
    pub fn handle_finish(&mut self, now: VirtualTime, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        match connection.stage {
            Stage::Receiving => self.reset(now, id),
            Stage::Done => {
                self.connections.remove(&id);
            }
            Stage::Waiting | Stage::Working | Stage::Answering => {}
        }
    }

    /// The other end gave the connection up.
    pub fn handle_abort(&mut self, now: VirtualTime, id: ConnectionId) {
        self.release(now, id);
    }

    /// Returns when [`handle_timeout`](Self::handle_timeout) is due.
    pub fn poll_timeout(&self) -> Option<VirtualTime> {
        self.timers.first().map(|(time, _)| *time)
    }

    /// Does what is due.
    pub fn handle_timeout(&mut self, now: VirtualTime) {
        while let Some((time, id)) = self.timers.first().copied() {
            if time > now {
                break;
            }
            self.timers.pop_first();
            self.advance(now, id);
        }
    }

    /// Returns the next thing that it does.
    pub fn poll_output(&mut self) -> Option<BackendOutput> {
        self.outputs.pop_front()
    }

    fn fill_slots(&mut self, now: VirtualTime) {
        while self.busy < self.plan.slots {
            let Some(id) = self.waiting.pop_front() else {
                break;
            };
            self.begin(now, id);
        }
    }

    fn begin(&mut self, now: VirtualTime, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(request) = &connection.request else {
            return;
        };
        connection.stage = Stage::Working;
        self.busy += 1;
        self.executions.push(Execution {
            backend: self.plan.name.clone(),
            service: self.plan.service.clone(),
            requested_service: request.service.clone(),
            id: request.id,
            started: now,
        });
        let duration = self.work_duration(now);
        self.timers.insert((now + duration, id));
    }

    fn work_duration(&mut self, now: VirtualTime) -> Duration {
        let times = self.plan.times;
        let scale = self.random.random_range(50..150_u32);
        let mut duration = times.typical * scale / 100;
        if self.random.random_range(0..1_000) < times.tail_per_mille {
            duration *= times.tail_factor;
        }
        let started = self.running_since.unwrap_or(now);
        let is_cold = started > VirtualTime::ZERO && now < started + times.cold;
        if is_cold {
            duration *= times.cold_factor;
        }
        duration
    }

    fn advance(&mut self, now: VirtualTime, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        let Some(request) = connection.request.clone() else {
            return;
        };
        if connection.stage == Stage::Working {
            connection.stage = Stage::Answering;
            let line = AnswerLine {
                service: self.plan.service.clone(),
                id: request.id,
                backend: self.plan.name.clone(),
                answer_bytes: request.answer_bytes,
            };
            let output = BackendOutput::Data(id, line.encode());
            self.outputs.push_back(output);
        }
        let missing = request.answer_bytes - connection.answered;
        let piece = if request.pace_millis == 0 {
            missing
        } else {
            missing.min(PIECE_BYTES)
        };
        if piece > 0 {
            let bytes = protocol::body(request.id.request, connection.answered, piece);
            connection.answered += piece;
            self.outputs.push_back(BackendOutput::Data(id, bytes));
        }
        if connection.answered < request.answer_bytes {
            let pace = Duration::from_millis(u64::from(request.pace_millis));
            self.timers.insert((now + pace, id));
            return;
        }
        self.outputs.push_back(BackendOutput::Finished(id));
        connection.stage = Stage::Done;
        self.connections.remove(&id);
        self.busy -= 1;
        self.fill_slots(now);
    }

    fn reset(&mut self, now: VirtualTime, id: ConnectionId) {
        self.release(now, id);
        self.outputs.push_back(BackendOutput::Reset(id));
    }

    fn release(&mut self, now: VirtualTime, id: ConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        self.waiting.retain(|other| *other != id);
        self.timers.retain(|(_, other)| *other != id);
        if matches!(connection.stage, Stage::Working | Stage::Answering) {
            self.busy -= 1;
        }
        self.fill_slots(now);
    }
}

enum Received {
    Incomplete,
    Request,
    Nonsense,
}

impl Connection {
    fn receive(&mut self, bytes: &[u8]) -> Received {
        let body = if self.request.is_some() {
            bytes
        } else {
            match self.receive_line(bytes) {
                Some(Ok(rest)) => rest,
                Some(Err(received)) => return received,
                None => return Received::Incomplete,
            }
        };
        let taken = u32::try_from(body.len()).unwrap_or(u32::MAX);
        if taken > self.upload_missing {
            return Received::Nonsense;
        }
        self.upload_missing -= taken;
        if self.upload_missing == 0 {
            Received::Request
        } else {
            Received::Incomplete
        }
    }

    /// Takes the line and returns the bytes after it, once it is complete.
    fn receive_line<'bytes>(
        &mut self,
        bytes: &'bytes [u8],
    ) -> Option<Result<&'bytes [u8], Received>> {
        let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
            self.line.extend_from_slice(bytes);
            let too_long = self.line.len() > MAX_LINE_BYTES;
            return too_long.then_some(Err(Received::Nonsense));
        };
        self.line.extend_from_slice(&bytes[..end]);
        let line = std::str::from_utf8(&self.line).ok();
        let Some(request) = line.and_then(RequestLine::decode) else {
            return Some(Err(Received::Nonsense));
        };
        self.upload_missing = request.upload_bytes;
        self.request = Some(request);
        Some(Ok(&bytes[end + 1..]))
    }
}
