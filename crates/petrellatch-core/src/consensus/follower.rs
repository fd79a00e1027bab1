//! The follower's side of replication.

use petrellatch_proto::consensus::{AppendRequest, AppendResponse, ConsensusBody};

use crate::identity::NodeId;

use super::entry::{LogEntry, LogIndex, LogPosition, Term};
use super::membership::ReplicaId;
use super::replica::{Replica, RoleState};

/// Fields that a response copies from its request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Echo {
    pub(super) round: u64,
    pub(super) sent_at_micros: u64,
}

impl Replica {
    pub(super) fn handle_append_request(
        &mut self,
        sender: ReplicaId,
        term: Term,
        request: AppendRequest,
    ) {
        let echo = Echo {
            round: request.round,
            sent_at_micros: request.sent_at_micros,
        };
        let previous = LogPosition {
            term: request.previous_term,
            index: request.previous_index,
        };
        if !self.accept_leader(sender, term, echo) {
            return;
        }
        if !self.log_matches_at(previous) {
            self.refuse_append(sender, previous.index, echo);
            return;
        }
        let leader_commit = request.commit_index;
        let Some(entries) = decode_entries(previous.index, request) else {
            return;
        };
        let is_heartbeat = entries.is_empty();
        let last_new = previous.index + entries.len() as u64;
        self.merge_entries(entries);
        let match_index = last_new.max(self.commit_index);
        self.commit_index = self.commit_index.max(leader_commit.min(match_index));
        self.apply_committed();
        if is_heartbeat && self.writes.hard_state_is_durable() {
            // Responds at once, however long the disk takes for entries
            // received before, so that the leader sees that this replica runs.
            let durable_match = match_index.min(self.own_durable_index());
            let response = acknowledgement(durable_match, echo);
            self.send(sender, response);
        } else {
            self.acknowledge(sender, match_index, echo);
        }
    }

    /// Accepts the sender as the leader of `term`. Returns whether its message
    /// is to be handled.
    pub(super) fn accept_leader(&mut self, sender: ReplicaId, term: Term, echo: Echo) -> bool {
        if term < self.hard_state.term {
            // The term of the response makes the old leader step down. If that one leads the
            // present term by now, its rounds count from the start again, so that this round
            // must not confirm one of them.
            let echo = Echo { round: 0, ..echo };
            self.refuse_append(sender, 0, echo);
            return false;
        }
        self.observe_term(term);
        if matches!(self.role_state, RoleState::Leader(_)) {
            return false;
        }
        self.role_state = RoleState::Follower;
        self.reset_candidacy();
        self.lost_election = None;
        self.note_leader(sender.node);
        true
    }

    /// Acknowledges that the log matches the leader's up to `match_index`, once
    /// it is durable.
    pub(super) fn acknowledge(&mut self, leader: ReplicaId, match_index: LogIndex, echo: Echo) {
        self.send_durably(leader, acknowledgement(match_index, echo));
    }

    fn refuse_append(&mut self, leader: ReplicaId, refused_index: LogIndex, echo: Echo) {
        let last_index = self.log.last_index();
        let hint_index = if refused_index > last_index {
            last_index
        } else {
            self.log.before_term_of(refused_index)
        };
        let response = AppendResponse {
            accepted: false,
            match_index: 0,
            refused_index,
            hint_index,
            hint_term: self.log.term_at(hint_index).unwrap_or(0),
            round: echo.round,
            sent_at_micros: echo.sent_at_micros,
        };
        self.send_durably(leader, ConsensusBody::AppendResponse(response));
    }

    fn note_leader(&mut self, leader: NodeId) {
        self.leader = Some(leader);
        self.last_leader_contact = Some(self.now);
        self.reset_election_timer();
        self.reset_join_timer();
    }

    /// Whether this replica's log contains the entry at `position`. Committed
    /// entries match without a check, since every later leader has them.
    fn log_matches_at(&self, position: LogPosition) -> bool {
        let committed = position.index <= self.commit_index;
        committed || self.log.term_at(position.index) == Some(position.term)
    }

    fn merge_entries(&mut self, entries: Vec<LogEntry>) {
        for entry in entries {
            let position = entry.position;
            if position.index <= self.commit_index {
                continue;
            }
            match self.log.term_at(position.index) {
                Some(term) if term == position.term => continue,
                Some(_) => self.truncate_log(position.index),
                None => {}
            }
            self.append_to_log(entry);
        }
    }
}

fn acknowledgement(match_index: LogIndex, echo: Echo) -> ConsensusBody {
    ConsensusBody::AppendResponse(AppendResponse {
        accepted: true,
        match_index,
        round: echo.round,
        sent_at_micros: echo.sent_at_micros,
        ..AppendResponse::default()
    })
}

/// Decodes the entries. `None` if one is malformed or the indices aren't
/// consecutive.
fn decode_entries(previous: LogIndex, request: AppendRequest) -> Option<Vec<LogEntry>> {
    let mut entries = Vec::with_capacity(request.entries.len());
    for (message, expected) in request.entries.into_iter().zip(previous + 1..) {
        let entry = LogEntry::try_from(message).ok()?;
        if entry.position.index != expected {
            return None;
        }
        entries.push(entry);
    }
    Some(entries)
}
