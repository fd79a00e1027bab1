//! The Raft replica: its state, inputs and outputs.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Range;
use std::sync::Arc;

use petrellatch_proto::consensus::{ConsensusBody, ConsensusMessage};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Timestamp;
use crate::identity::NodeId;

use super::entry::{LogIndex, LogPosition, Term};
use super::leadership::Leadership;
use super::log::Log;
use super::membership::{Membership, ReplicaId};
use super::membership_history::MembershipHistory;
use super::output::{ElectionLoss, ReplicaOutput, Role};
use super::persistence::{HardState, PersistRequest, PersistTicket, Snapshot};
use super::settings::{ReplicaSettings, ReplicaStart};
use super::snapshot_assembly::SnapshotAssembly;
use super::startup_election::StartupElection;
use super::write_queue::WriteQueue;

/// One replica of the log. See the [module page](super) for its guarantees
/// and an example.
#[derive(Debug)]
pub struct Replica {
    pub(super) settings: ReplicaSettings,
    pub(super) id: ReplicaId,
    pub(super) random: ChaCha8Rng,
    /// Time of the latest input.
    pub(super) now: Timestamp,
    pub(super) hard_state: HardState,
    pub(super) log: Log,
    pub(super) snapshot: Option<Arc<Snapshot>>,
    pub(super) memberships: MembershipHistory,
    pub(super) commit_index: LogIndex,
    pub(super) applied_index: LogIndex,
    pub(super) role_state: RoleState,
    pub(super) leader: Option<NodeId>,
    /// When a candidate repeats its requests for missing votes.
    pub(super) vote_retry_at: Timestamp,
    /// Number of pre-votes started since the process start.
    pre_votes: u32,
    pub(super) startup_election: StartupElection,
    /// Why this replica was not elected in the current term.
    pub(super) lost_election: Option<ElectionLoss>,
    /// Time of the last message from a leader. Initialized with the start time
    /// unless `elects_at_start` is set: the previous run may have promised a
    /// leader not to vote, and such promises aren't stored.
    pub(super) last_leader_contact: Option<Timestamp>,
    pub(super) election_deadline: Timestamp,
    pub(super) join_deadline: Timestamp,
    /// Nodes that this replica announces itself to, in addition to the members
    /// of its own membership.
    pub(super) join_targets: BTreeSet<NodeId>,
    pub(super) assembly: Option<SnapshotAssembly>,
    /// The write that makes an installed snapshot durable. The application gets
    /// the snapshot once it completes.
    pub(super) pending_restore: Option<PersistTicket>,
    pub(super) writes: WriteQueue,
    pub(super) own_proposals: BTreeMap<LogIndex, Term>,
    /// Applied index at which a snapshot was last requested from the application.
    pub(super) snapshot_requested_at: LogIndex,
    pub(super) outputs: VecDeque<ReplicaOutput>,
    /// The role and term that were emitted last.
    emitted_role: (Role, Term),
}

/// How long a replica waits for a leader before it starts a pre-vote, in
/// election timeouts.
const ELECTION_DELAY_IN_TIMEOUTS: Range<f64> = 1.0..2.0;
/// Interval between pre-votes of a startup election, in election timeouts.
const STARTUP_PRE_VOTE_INTERVAL_IN_TIMEOUTS: Range<f64> = 0.2..0.4;
/// Number of pre-votes after which the ordinary election delay applies.
const MAX_STARTUP_PRE_VOTES: u32 = 50;
/// How long a voter waits for the candidate that it voted for in a startup
/// election, in election timeouts.
const STARTUP_ELECTION_DELAY_IN_TIMEOUTS: Range<f64> = 0.4..0.8;

/// The replica's role and the state that belongs to it.
#[derive(Debug)]
pub(super) enum RoleState {
    Follower,
    PreCandidate {
        /// Voters that would grant their vote.
        granted: BTreeSet<NodeId>,
    },
    Candidate {
        /// Voters that granted their vote.
        granted: BTreeSet<NodeId>,
    },
    Leader(Leadership),
}

impl Replica {
    /// Starts a replica from the state read back from disk.
    pub fn new(now: Timestamp, settings: ReplicaSettings, start: ReplicaStart) -> Replica {
        let id = ReplicaId {
            node: start.id,
            incarnation: start.incarnation,
        };
        let first_start = start.persisted.is_empty();
        let join_targets = bootstrap_peers(id, start.bootstrap.as_ref());
        let bootstrap = start.bootstrap.filter(|membership| membership.contains(id));
        let bootstrap_snapshot = bootstrap.filter(|_| first_start).map(initial_snapshot);
        let persisted = start.persisted;
        let restored = persisted.snapshot;
        let snapshot = restored.or_else(|| bootstrap_snapshot.clone());
        let base = snapshot.as_ref().map(|snapshot| snapshot.position);
        let base = base.unwrap_or_default();
        let base_membership = snapshot
            .as_ref()
            .map(|snapshot| snapshot.membership.clone());
        let base_membership = base_membership.unwrap_or_default();
        let mut memberships = MembershipHistory::new(base.index, base_membership);
        for entry in &persisted.entries {
            memberships.record(entry);
        }
        let mut hard_state = persisted.hard_state;
        if settings.mutations.forget_vote_on_restart {
            hard_state.voted_for = None;
        }
        let log = Log::new(base, persisted.entries);
        let mut writes = WriteQueue::new(log.last_index());
        if let Some(snapshot) = bootstrap_snapshot {
            writes.note_snapshot(snapshot);
        }
        let mut replica = Replica {
            id,
            random: ChaCha8Rng::seed_from_u64(start.seed),
            now,
            emitted_role: (Role::Follower, hard_state.term),
            hard_state,
            log,
            snapshot,
            memberships,
            commit_index: base.index,
            applied_index: base.index,
            role_state: RoleState::Follower,
            leader: None,
            last_leader_contact: (!settings.elects_at_start).then_some(now),
            election_deadline: now,
            pre_votes: 0,
            startup_election: StartupElection::default(),
            lost_election: None,
            vote_retry_at: now,
            join_deadline: now,
            join_targets,
            assembly: None,
            pending_restore: None,
            writes,
            own_proposals: BTreeMap::new(),
            snapshot_requested_at: base.index,
            outputs: VecDeque::new(),
            settings,
        };
        replica.emit_initial_state();
        replica.reset_first_election_timer();
        replica.reset_join_timer();
        replica
    }

    /// Handles a message from the replica on node `from`.
    pub fn handle_message(&mut self, now: Timestamp, from: NodeId, message: ConsensusMessage) {
        self.observe_clock(now);
        if from == self.id.node || !self.is_addressed(&message) {
            return;
        }
        let sender = ReplicaId {
            node: from,
            incarnation: crate::identity::Incarnation(message.from_incarnation),
        };
        let term = message.term;
        match message.body {
            Some(ConsensusBody::PreVoteRequest(request)) => {
                self.handle_pre_vote_request(sender, term, &request);
            }
            Some(ConsensusBody::PreVoteResponse(response)) => {
                self.handle_pre_vote_response(sender, term, &response);
            }
            Some(ConsensusBody::VoteRequest(request)) => {
                self.handle_vote_request(sender, term, &request);
            }
            Some(ConsensusBody::VoteResponse(response)) => {
                self.handle_vote_response(sender, term, &response);
            }
            Some(ConsensusBody::AppendRequest(request)) => {
                self.handle_append_request(sender, term, request);
            }
            Some(ConsensusBody::AppendResponse(response)) => {
                self.handle_append_response(sender, term, &response);
            }
            Some(ConsensusBody::SnapshotChunk(chunk)) => {
                self.handle_snapshot_chunk(sender, term, chunk);
            }
            Some(ConsensusBody::SnapshotChunkResponse(response)) => {
                self.handle_snapshot_chunk_response(sender, term, &response);
            }
            Some(ConsensusBody::JoinRequest(_)) => self.handle_join_request(sender),
            Some(ConsensusBody::TransferRequest(_)) => self.handle_transfer_request(sender, term),
            None => {}
        }
    }

    /// Runs the timers that have expired. Call it when the time that
    /// [`Replica::poll_timeout`] returned is reached; earlier calls are harmless.
    pub fn handle_timeout(&mut self, now: Timestamp) {
        self.observe_clock(now);
        if self.heartbeat_is_due() {
            self.send_heartbeats();
        }
        self.start_election_if_due();
        if self.election_is_due() {
            self.start_pre_vote();
        }
        self.repeat_vote_requests();
        self.continue_transfer();
        if self.join_is_due() {
            self.announce_join();
        }
    }

    /// Notes that all [`ReplicaOutput::Persist`] requests up to this ticket are
    /// synced to disk.
    pub fn handle_persisted(&mut self, now: Timestamp, ticket: PersistTicket) {
        self.observe_clock(now);
        let released = self.writes.complete(ticket);
        self.outputs.extend(released);
        self.finish_restore(ticket);
        self.count_own_vote();
        self.advance_commit();
        self.apply_committed();
        self.continue_transfer();
    }

    /// Returns the next output. Messages with entries and disk writes are
    /// created here, so that inputs handled together are batched into one.
    pub fn poll_output(&mut self) -> Option<ReplicaOutput> {
        self.emit_role_change();
        if self.outputs.is_empty() {
            self.replicate();
            self.request_write();
        }
        self.outputs.pop_front()
    }

    /// Returns when [`Replica::handle_timeout`] must be called next.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        if let RoleState::Leader(leadership) = &self.role_state {
            if self.settings.mutations.skip_quorum_check {
                return Some(leadership.next_heartbeat);
            }
            let candidates = [
                Some(leadership.next_heartbeat),
                Some(self.step_down_deadline(leadership)),
                leadership.transfer_deadline,
            ];
            return candidates.into_iter().flatten().min();
        }
        if matches!(self.role_state, RoleState::Candidate { .. }) {
            return Some(self.election_deadline.min(self.vote_retry_at));
        }
        if self.may_campaign() {
            let candidacy_due_at = self.candidacy_due_at();
            return candidacy_due_at.or(Some(self.election_deadline));
        }
        Some(self.join_deadline)
    }

    /// Advances the clock to the time of an input. A leader first checks
    /// whether its quorum has been silent for too long by its own clock, for
    /// example after a process pause, and steps down before it handles the
    /// input.
    pub(super) fn observe_clock(&mut self, now: Timestamp) {
        self.now = self.now.max(now);
        let RoleState::Leader(leadership) = &self.role_state else {
            return;
        };
        let lost_quorum = self.now >= self.step_down_deadline(leadership);
        if lost_quorum && !self.settings.mutations.skip_quorum_check {
            self.become_follower();
            self.leader = None;
        }
    }

    /// Enters a higher term, as a follower.
    pub(super) fn observe_term(&mut self, term: Term) {
        if term <= self.hard_state.term {
            return;
        }
        self.end_candidacy(ElectionLoss::HigherTerm);
        self.report_lost_election();
        self.stop_deferring_to_candidate();
        self.hard_state = HardState {
            term,
            voted_for: None,
        };
        self.writes.note_hard_state();
        self.become_follower();
        self.leader = None;
    }

    pub(super) fn become_follower(&mut self) {
        self.reset_candidacy();
        let previous = std::mem::replace(&mut self.role_state, RoleState::Follower);
        if let RoleState::Leader(leadership) = previous {
            for read in leadership.reads {
                self.emit(ReplicaOutput::ReadLost { token: read.token });
            }
        }
        self.reset_election_timer();
    }

    pub(super) fn emit(&mut self, output: ReplicaOutput) {
        self.outputs.push_back(output);
    }

    /// Draws a random time at which this replica stops waiting for a leader.
    pub(super) fn random_deadline(&mut self) -> Timestamp {
        self.deadline_after(match self.in_startup_election() {
            true => STARTUP_ELECTION_DELAY_IN_TIMEOUTS,
            false => ELECTION_DELAY_IN_TIMEOUTS,
        })
    }

    /// Starts the first election at once in a startup election, where there is
    /// no leader to wait for.
    fn reset_first_election_timer(&mut self) {
        match self.in_startup_election() {
            true => self.election_deadline = self.now,
            false => self.reset_election_timer(),
        }
    }

    /// Sets the time of the next pre-vote. In a startup election it follows
    /// soon, because other voters of the quorum may start a little later.
    pub(super) fn reset_pre_vote_timer(&mut self) {
        self.pre_votes += 1;
        let timeouts = match self.in_startup_election() && self.pre_votes <= MAX_STARTUP_PRE_VOTES {
            true => STARTUP_PRE_VOTE_INTERVAL_IN_TIMEOUTS,
            false => ELECTION_DELAY_IN_TIMEOUTS,
        };
        self.election_deadline = self.deadline_after(timeouts);
    }

    /// Draws a random time in this range of election timeouts from now.
    fn deadline_after(&mut self, timeouts: Range<f64>) -> Timestamp {
        let factor = self.random.random_range(timeouts);
        self.now + self.settings.election_timeout.mul_f64(factor)
    }

    fn request_write(&mut self) {
        let request = self.writes.next_request(self.hard_state, &self.log);
        let Some(request) = request else {
            return;
        };
        self.emit_write(request);
    }

    fn emit_write(&mut self, request: PersistRequest) {
        self.emit(ReplicaOutput::Persist(request));
    }

    fn emit_role_change(&mut self) {
        let current = (self.role(), self.hard_state.term);
        if current == self.emitted_role {
            return;
        }
        self.emitted_role = current;
        let (role, term) = current;
        self.emit(ReplicaOutput::RoleChanged { role, term });
    }

    fn emit_initial_state(&mut self) {
        if let Some(snapshot) = self.snapshot.clone() {
            self.emit_restore(&snapshot);
        }
        let membership = self.membership().clone();
        self.emit(ReplicaOutput::MembershipChanged(membership));
    }
}

fn bootstrap_peers(id: ReplicaId, bootstrap: Option<&Membership>) -> BTreeSet<NodeId> {
    let members = bootstrap.map(Membership::members).unwrap_or_default();
    let nodes = members.iter().map(|member| member.replica.node);
    nodes.filter(|node| *node != id.node).collect()
}

fn initial_snapshot(membership: Membership) -> Arc<Snapshot> {
    Arc::new(Snapshot {
        position: LogPosition::default(),
        membership,
        data: Vec::new(),
    })
}
