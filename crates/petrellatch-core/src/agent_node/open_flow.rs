//! One flow at an agent: the caller's connection and the back end's.

use std::collections::VecDeque;
use std::time::Duration;

use crate::Timestamp;
use crate::admission::{BackendUse, DispatchState};
use crate::flow::{FlowBuffers, FlowTerminator};
use crate::identity::{BackendId, NodeId, ServiceId};
use crate::placement::FlowKey;

use super::agent_output::{AgentOutput, FlowId};
use super::flow_activity::FlowActivity;

/// Bytes of the largest single write to a back end.
const WRITE_LIMIT: usize = 16 << 10;

/// Bytes for the caller beyond which the agent stops reading from the back
/// end.
const PAUSE_BYTES: usize = 64 << 10;

/// A caller that has not completed the handshake by then is given up.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(10);

/// A refused caller is given up after this time.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Who decided that the flow is admitted here.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FlowOrigin {
    /// This agent, as the owner of the bucket.
    Owner,
    /// The agent that passed the flow here.
    Hunted {
        /// That agent's node.
        owner: NodeId,
    },
}

/// How far a flow has come.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum FlowPhase {
    /// The connection to the back end is being opened; the caller's first
    /// packet waits.
    Connecting {
        /// The packet that opens the flow.
        opening: Vec<u8>,
        /// The back ends that were asked before.
        asked: Vec<BackendId>,
    },
    /// Bytes are copied.
    Open,
    /// The flow is refused: what the caller sends is dropped.
    Refusing {
        /// What the caller gets, until it was written.
        answer: Option<Vec<u8>>,
    },
}

/// The connection to the back end.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct BackendSide {
    /// The connection does not exist any more, or never did.
    gone: bool,
    /// A write was handed over and not taken yet.
    writing: bool,
    /// The direction to the back end was shut down.
    finished_writing: bool,
    /// The back end closed its direction.
    finished_reading: bool,
    /// Reading is paused.
    paused: bool,
}

/// One flow.
pub(super) struct OpenFlow {
    /// The two ends.
    pub(super) key: FlowKey,
    /// The service.
    pub(super) service: ServiceId,
    /// The back end; the flow never gets another one.
    pub(super) backend: BackendId,
    /// Who decided.
    pub(super) origin: FlowOrigin,
    /// How far it has come.
    pub(super) phase: FlowPhase,
    /// Whether the back end got a byte.
    pub(super) dispatch: DispatchState,
    /// Whether a request is in progress.
    pub(super) activity: FlowActivity,
    /// What the flow was counted for at its back end.
    pub(super) counted: BackendUse,
    /// Whether it was counted as a refused one.
    pub(super) counted_refusing: bool,
    terminator: Option<FlowTerminator>,
    side: BackendSide,
    to_caller: VecDeque<u8>,
    answered: bool,
    /// The caller's side was ended on purpose by a reset.
    aborted: bool,
    started_at: Timestamp,
    moved_at: Timestamp,
}

impl OpenFlow {
    /// Starts a flow whose connection to the back end is being opened;
    /// `phase` is [`FlowPhase::Connecting`].
    pub(super) fn connecting(
        now: Timestamp,
        key: FlowKey,
        service: ServiceId,
        backend: BackendId,
        origin: FlowOrigin,
        phase: FlowPhase,
    ) -> Self {
        OpenFlow {
            key,
            service,
            backend,
            origin,
            phase,
            dispatch: DispatchState::NotSent,
            activity: FlowActivity::new(now),
            counted: BackendUse::default(),
            counted_refusing: false,
            terminator: None,
            side: BackendSide::default(),
            to_caller: VecDeque::new(),
            answered: false,
            aborted: false,
            started_at: now,
            moved_at: now,
        }
    }

    /// Starts a flow that is accepted only to be refused.
    pub(super) fn refusing(
        now: Timestamp,
        key: FlowKey,
        service: ServiceId,
        answer: Vec<u8>,
    ) -> Self {
        let origin = FlowOrigin::Owner;
        let none = BackendId::default();
        let phase = FlowPhase::Refusing { answer: None };
        let mut flow = OpenFlow::connecting(now, key, service, none, origin, phase);
        flow.side.gone = true;
        flow.refuse(now, answer);
        flow
    }

    /// Accepts the caller's connection with its first packet.
    pub(super) fn accept(
        &mut self,
        now: Timestamp,
        opening: &[u8],
        buffers: FlowBuffers,
        seed: u64,
    ) {
        let mut terminator = FlowTerminator::new(now, &self.key, buffers, seed);
        terminator.handle_packet(now, opening);
        self.terminator = Some(terminator);
        if matches!(self.phase, FlowPhase::Connecting { .. }) {
            self.phase = FlowPhase::Open;
        }
    }

    /// Turns the flow into a refused one. No byte may have gone to the back
    /// end or come from it.
    pub(super) fn refuse(&mut self, now: Timestamp, answer: Vec<u8>) {
        self.phase = FlowPhase::Refusing {
            answer: Some(answer),
        };
        self.activity.finish(now);
        self.started_at = now;
    }

    /// Takes a packet of the caller.
    pub(super) fn handle_packet(&mut self, now: Timestamp, packet: &[u8]) {
        self.moved_at = now;
        if let Some(terminator) = &mut self.terminator {
            terminator.handle_packet(now, packet);
        }
    }

    /// Takes bytes of the back end.
    pub(super) fn handle_data(&mut self, now: Timestamp, bytes: &[u8]) {
        self.moved_at = now;
        self.answered = true;
        self.activity.handle_answer(now);
        self.to_caller.extend(bytes);
    }

    /// The back end took the last write.
    pub(super) fn handle_writable(&mut self) {
        self.side.writing = false;
    }

    /// The back end closed its direction.
    pub(super) fn handle_finished(&mut self) {
        self.side.finished_reading = true;
    }

    /// The connection to the back end is gone.
    pub(super) fn handle_gone(&mut self) {
        self.side.gone = true;
    }

    /// Returns whether the back end closed its direction in good order.
    pub(super) fn is_answer_finished(&self) -> bool {
        self.side.finished_reading
    }

    /// Returns whether the back end sent anything.
    pub(super) fn is_answered(&self) -> bool {
        self.answered
    }

    /// Returns whether the caller may still be told that the flow did not run.
    pub(super) fn may_be_refused(&self) -> bool {
        self.dispatch.may_refuse_as_not_run() && !self.answered
    }

    /// Resets the caller's connection.
    pub(super) fn abort(&mut self, now: Timestamp) {
        self.aborted = true;
        self.activity.finish(now);
        if let Some(terminator) = &mut self.terminator {
            terminator.abort();
        }
    }

    /// Returns when the flow was admitted or, of a refused flow, refused.
    pub(super) fn started_at(&self) -> Timestamp {
        self.started_at
    }

    /// Returns whether the driver has a connection for the flow.
    pub(super) fn has_connection(&self) -> bool {
        !self.side.gone
    }

    /// Returns whether the flow is refused.
    pub(super) fn is_refusing(&self) -> bool {
        matches!(self.phase, FlowPhase::Refusing { .. })
    }

    /// Returns what the flow uses of its back end.
    pub(super) fn usage(&self) -> BackendUse {
        let connected = !self.is_refusing() && !self.is_lingering() && !self.is_over();
        BackendUse {
            busy: u32::from(connected && self.activity.is_busy()),
            connections: u32::from(connected),
        }
    }

    /// Returns whether both directions ended and the flow only waits for late
    /// packets.
    pub(super) fn is_lingering(&self) -> bool {
        let terminator = self.terminator.as_ref();
        terminator.is_some_and(FlowTerminator::is_lingering)
    }

    /// Returns whether nothing is left to do.
    pub(super) fn is_over(&self) -> bool {
        let closed = self.terminator.as_ref().is_some_and(|it| it.is_closed());
        closed || (self.aborted && self.terminator.is_none())
    }

    /// Returns whether the caller has acknowledged everything.
    pub(super) fn is_flushed(&self) -> bool {
        let terminator = self.terminator.as_ref();
        self.to_caller.is_empty() && terminator.is_none_or(FlowTerminator::is_flushed)
    }

    /// Moves bytes both ways as far as they go, and sends what is due.
    pub(super) fn pump(&mut self, now: Timestamp, id: FlowId, outputs: &mut VecDeque<AgentOutput>) {
        let Some(mut terminator) = self.terminator.take() else {
            return;
        };
        // Only a deliberate fault refuses a flow whose request was passed on.
        let asked = self.dispatch == DispatchState::Sent;
        match &mut self.phase {
            FlowPhase::Refusing { answer } => pump_refusal(&mut terminator, answer, asked),
            _ => {
                self.pump_request(now, id, &mut terminator, outputs);
                self.pump_answer(id, &mut terminator, outputs);
            }
        }
        terminator.handle_timeout(now);
        while let Some(packet) = terminator.poll_packet() {
            outputs.push_back(AgentOutput::Packet(packet));
        }
        self.terminator = Some(terminator);
    }

    /// Returns when the flow wants to be called.
    pub(super) fn poll_timeout(
        &mut self,
        now: Timestamp,
        connect_timeout: Duration,
        idle: Duration,
    ) -> Option<Timestamp> {
        let flushed = self.is_flushed();
        let packets = self.terminator.as_mut().and_then(|it| it.poll_timeout(now));
        let limit = self.time_limit(connect_timeout, idle);
        let quiet = self.activity.poll_timeout(flushed);
        [packets, Some(limit), quiet].into_iter().flatten().min()
    }

    /// Returns when the flow has to be given up if nothing moves.
    pub(super) fn time_limit(&self, connect_timeout: Duration, idle: Duration) -> Timestamp {
        let established = self
            .terminator
            .as_ref()
            .is_some_and(|it| it.is_established());
        match self.phase {
            FlowPhase::Connecting { .. } => self.started_at + connect_timeout,
            FlowPhase::Refusing { .. } => self.started_at + REFUSAL_TIMEOUT,
            FlowPhase::Open if !established => self.started_at + HANDSHAKE_TIMEOUT,
            FlowPhase::Open => self.moved_at + idle,
        }
    }

    /// Copies bytes from the caller to the back end.
    fn pump_request(
        &mut self,
        now: Timestamp,
        id: FlowId,
        terminator: &mut FlowTerminator,
        outputs: &mut VecDeque<AgentOutput>,
    ) {
        if self.side.gone || self.side.finished_writing {
            // Nobody takes what the caller sends after the answer ended.
            if terminator.can_read() && terminator.is_flushed() && self.to_caller.is_empty() {
                terminator.abort();
            }
            return;
        }
        if self.side.writing {
            return;
        }
        let bytes = terminator.read(WRITE_LIMIT);
        if !bytes.is_empty() {
            self.dispatch.mark_sent();
            self.activity.handle_request(now);
            self.side.writing = true;
            outputs.push_back(AgentOutput::Write { flow: id, bytes });
        } else if terminator.is_read_finished() {
            self.side.finished_writing = true;
            outputs.push_back(AgentOutput::Finish { flow: id });
        }
    }

    /// Copies bytes from the back end to the caller.
    fn pump_answer(
        &mut self,
        id: FlowId,
        terminator: &mut FlowTerminator,
        outputs: &mut VecDeque<AgentOutput>,
    ) {
        loop {
            let (bytes, _) = self.to_caller.as_slices();
            let count = terminator.write(bytes);
            if count == 0 {
                break;
            }
            self.to_caller.drain(..count);
        }
        if self.to_caller.is_empty() && self.side.finished_reading {
            terminator.finish();
        }
        let pause = self.to_caller.len() >= PAUSE_BYTES;
        let resume = self.to_caller.is_empty();
        if pause && !self.side.paused {
            self.side.paused = true;
            outputs.push_back(AgentOutput::PauseReading { flow: id });
        } else if resume && self.side.paused {
            self.side.paused = false;
            outputs.push_back(AgentOutput::ResumeReading { flow: id });
        }
    }
}

/// Drops what the caller sends, and answers its first bytes.
fn pump_refusal(terminator: &mut FlowTerminator, answer: &mut Option<Vec<u8>>, asked_before: bool) {
    let mut asked = asked_before || terminator.is_read_finished();
    while !terminator.read(WRITE_LIMIT).is_empty() {
        asked = true;
    }
    if !asked {
        return;
    }
    if let Some(answer) = answer.take() {
        terminator.write(&answer);
        terminator.finish();
    }
}
