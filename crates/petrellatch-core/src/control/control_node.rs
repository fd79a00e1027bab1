//! A control replica with everything around its log.

mod leadership;
mod replica_outputs;
mod requests;
mod stop;

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use petrellatch_proto::consensus::ConsensusMessage;
use petrellatch_proto::dissemination::{Heartbeat, HeartbeatReply};
use petrellatch_proto::envelope::{Body, Envelope};
use prost::Message;

use crate::consensus::{PersistTicket, Replica, ReplicaStart};
use crate::dissemination::{Relay, RelayOutput};
use crate::event::{Event, EventKind};
use crate::identity::NodeId;
use crate::membership::PlatformMachine;
use crate::node::NodeIdentity;
use crate::time::Timestamp;

use super::control_output::ControlOutput;
use super::control_settings::ControlSettings;
use super::control_state::ControlState;
use super::operator::OperatorRequest;
use super::pending_checks::PendingChecks;
use super::pending_requests::{PendingRead, PendingRequests};
use leadership::Leadership;
use stop::StopPhase;

/// One control process: a replica of the log, the state that it leads to, a
/// relay to serve it, and while it leads, members and placements. See the
/// [module page](super).
pub struct ControlNode {
    settings: ControlSettings,
    identity: NodeIdentity,
    replica: Replica,
    state: ControlState,
    relay: Relay,
    leadership: Option<Leadership>,
    platform: Vec<PlatformMachine>,
    requests: PendingRequests,
    checks: PendingChecks,
    ready_reads: Vec<PendingRead>,
    stop: StopPhase,
    outputs: VecDeque<ControlOutput>,
}

impl ControlNode {
    /// Starts from what was read back from disk.
    pub fn new(
        now: Timestamp,
        settings: ControlSettings,
        identity: NodeIdentity,
        start: ReplicaStart,
    ) -> Self {
        let mut node = ControlNode {
            replica: Replica::new(now, settings.replica.clone(), start),
            state: ControlState::new(settings.mutations),
            relay: Relay::new(settings.relay.clone()),
            leadership: None,
            platform: Vec::new(),
            requests: PendingRequests::new(settings.request_limit, settings.request_timeout),
            checks: PendingChecks::default(),
            ready_reads: Vec::new(),
            stop: StopPhase::Running,
            outputs: VecDeque::new(),
            settings,
            identity,
        };
        node.drive(now);
        node
    }

    /// Takes a control message.
    pub fn handle_control(&mut self, now: Timestamp, from: SocketAddrV4, envelope: Envelope) {
        if !self.identity.is_recipient(&envelope) {
            return;
        }
        let sender = NodeId(envelope.sender);
        match envelope.body {
            Some(Body::Consensus(bytes)) => self.handle_consensus(now, sender, &bytes),
            Some(Body::Subscribe(subscribe)) => {
                let view = self.state.view();
                self.relay
                    .handle_subscribe(now, from, sender, &subscribe, view);
            }
            Some(Body::SnapshotRequest(request)) => {
                let view = self.state.view();
                self.relay
                    .handle_snapshot_request(now, from, sender, &request, view);
            }
            Some(Body::Heartbeat(heartbeat)) => {
                self.handle_heartbeat(now, from, sender, &heartbeat);
            }
            Some(Body::HeartbeatReply(reply)) => self.relay.handle_reply(&reply),
            _ => {}
        }
        self.drive(now);
    }

    /// Takes an operator's request. It is answered by
    /// [`ControlOutput::Respond`] with the same token.
    pub fn handle_request(&mut self, now: Timestamp, token: u64, request: OperatorRequest) {
        self.start_request(now, token, request);
        self.drive(now);
    }

    /// Takes the platform's list of machines, as a hint.
    pub fn handle_platform_list(&mut self, now: Timestamp, machines: Vec<PlatformMachine>) {
        self.platform = machines;
        if let Some(leadership) = &mut self.leadership {
            leadership.tracker.handle_platform_list(&self.platform);
        }
        self.drive(now);
    }

    /// Notes that everything asked for by [`ControlOutput::Persist`] up to
    /// this ticket is synced to disk.
    pub fn handle_persisted(&mut self, now: Timestamp, ticket: PersistTicket) {
        self.replica.handle_persisted(now, ticket);
        self.drive(now);
    }

    /// Does what is due by now.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.replica.handle_timeout(now);
        self.drive(now);
        self.relay.handle_timeout(now);
        if let Some(leadership) = &mut self.leadership {
            leadership.handle_timeout(now, &self.state);
        }
        self.continue_checks(now);
        for token in self.requests.take_expired(now) {
            self.respond_unknown(token);
        }
        self.drive(now);
    }

    /// When [`ControlNode::handle_timeout`] wants to be called.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        let leadership = self.leadership.as_ref();
        let candidates = [
            self.replica.poll_timeout(),
            self.relay.poll_timeout(),
            self.requests.poll_timeout(),
            self.checks.poll_timeout(),
            leadership.map(Leadership::poll_timeout),
            self.stop.deadline(),
        ];
        candidates.into_iter().flatten().min()
    }

    /// Returns the next thing to do.
    pub fn poll_output(&mut self) -> Option<ControlOutput> {
        self.outputs.pop_front()
    }

    /// The replicated state as far as it is known here. It may be old.
    pub fn state(&self) -> &ControlState {
        &self.state
    }

    /// The replica of the log.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// The identity of this process.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    fn handle_consensus(&mut self, now: Timestamp, sender: NodeId, bytes: &[u8]) {
        match ConsensusMessage::decode(bytes) {
            Ok(message) => self.replica.handle_message(now, sender, message),
            Err(error) => {
                let event = Event::new(EventKind::DatagramRejected, error.to_string());
                self.emit_event(event);
            }
        }
    }

    /// The leader answers heartbeats while it is sure to lead; others pass
    /// them on.
    fn handle_heartbeat(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        sender: NodeId,
        heartbeat: &Heartbeat,
    ) {
        let view = self.state.view();
        let is_sure = self.replica.is_leader_with_quorum(now);
        let Some(leadership) = self.leadership.as_mut().filter(|_| is_sure) else {
            self.relay
                .handle_heartbeat(now, from, sender, heartbeat, view);
            return;
        };
        let entries = self
            .relay
            .accept_heartbeat(now, from, sender, heartbeat, view);
        let tracker = &mut leadership.tracker;
        let answers = entries
            .iter()
            .filter_map(|entry| tracker.handle_heartbeat(now, entry, &self.state))
            .collect();
        leadership.follow_members(&self.state);
        self.relay
            .handle_reply(&HeartbeatReply { entries: answers });
    }

    /// Carries out what the parts want until none wants anything.
    fn drive(&mut self, now: Timestamp) {
        loop {
            let progressed = self.drain_replica(now);
            self.follow_role(now);
            self.answer_ready_reads(now);
            let proposed = self.drain_leadership(now);
            if !progressed && !proposed {
                break;
            }
        }
        self.follow_stop(now);
        self.drain_relay();
    }

    fn drain_relay(&mut self) {
        while let Some(output) = self.relay.poll_output() {
            match output {
                RelayOutput::Send {
                    to,
                    recipient,
                    body,
                } => self.send(to, recipient, body),
                RelayOutput::PassUp(heartbeat) => self.pass_to_leader(heartbeat),
            }
        }
    }

    /// Without a known leader heartbeats are dropped; daemons send new ones.
    fn pass_to_leader(&mut self, heartbeat: Heartbeat) {
        let leader = self.replica.leader();
        let Some(leader) = leader.filter(|leader| *leader != self.identity.node) else {
            return;
        };
        if let Some(address) = self.peer_address(leader) {
            self.send(address, leader, Body::Heartbeat(heartbeat));
        }
    }

    fn peer_address(&self, node: NodeId) -> Option<SocketAddrV4> {
        let peers = self.settings.peers.iter();
        peers
            .filter(|peer| peer.node == node)
            .map(|peer| peer.control)
            .next()
    }

    fn send(&mut self, to: SocketAddrV4, recipient: NodeId, body: Body) {
        let envelope = self.identity.envelope(Some(recipient), body);
        self.outputs.push_back(ControlOutput::Send { to, envelope });
    }

    fn emit_event(&mut self, event: Event) {
        self.outputs.push_back(ControlOutput::Event(event));
    }
}
