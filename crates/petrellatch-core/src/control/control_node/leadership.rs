//! What a control node does only while it leads.

use petrellatch_proto::command::{Command, CommandKind};
use petrellatch_proto::dissemination::Delta;
use petrellatch_proto::envelope::Body;
use petrellatch_proto::record::{RecordChange, RecordKey};
use prost::Message;

use crate::consensus::Role;
use crate::event::{Event, EventKind};
use crate::identity::NodeId;
use crate::membership::{MemberTracker, TermStart, TrackerOutput};
use crate::time::Timestamp;

use super::super::command_batcher::CommandBatcher;
use super::super::control_state::ControlState;
use super::super::placement_planner::{PlacementPlanner, PlannerOutput};
use super::ControlNode;

/// The leader's state in its term.
pub(super) struct Leadership {
    pub(super) tracker: MemberTracker,
    pub(super) planner: PlacementPlanner,
    batcher: CommandBatcher,
}

impl Leadership {
    pub(super) fn handle_applied(&mut self, now: Timestamp, delta: &Delta, state: &ControlState) {
        self.tracker.handle_applied(now, delta, state);
        self.planner.handle_applied(delta, state.view());
        self.follow_members(state);
    }

    pub(super) fn handle_timeout(&mut self, now: Timestamp, state: &ControlState) {
        self.tracker.handle_timeout(now, state);
        self.follow_members(state);
        self.planner
            .handle_timeout(now, state.view(), &self.tracker);
    }

    /// Lets placements follow what members have reported.
    pub(super) fn follow_members(&mut self, state: &ControlState) {
        let changes = self.tracker.take_changes();
        self.planner
            .handle_members(&changes, state.view(), &self.tracker);
    }

    pub(super) fn poll_timeout(&self) -> Timestamp {
        let tracker = self.tracker.poll_timeout();
        let planner = self.planner.poll_timeout();
        let batch = self.batcher.poll_timeout();
        planner
            .into_iter()
            .chain(batch)
            .fold(tracker, Timestamp::min)
    }
}

impl ControlNode {
    /// Takes up or gives up the leader's work. It is taken up only when
    /// everything committed by former leaders has been applied.
    pub(super) fn follow_role(&mut self, now: Timestamp) {
        let leads = self.replica.role() == Role::Leader;
        if !leads && self.leadership.take().is_some() {
            self.give_up_requests();
        }
        let is_sure = self.replica.is_leader_with_quorum(now);
        if self.leadership.is_none() && is_sure {
            self.begin_leadership(now);
        }
    }

    fn begin_leadership(&mut self, now: Timestamp) {
        let start = TermStart {
            term: self.replica.term(),
            election_timeout: self.settings.replica.election_timeout,
            mutations: self.settings.mutations,
        };
        let settings = self.settings.membership.clone();
        let mut tracker = MemberTracker::new(now, settings, start, &self.state);
        tracker.handle_platform_list(&self.platform);
        let planner = PlacementPlanner::new(now, self.state.view(), self.settings.mutations);
        self.leadership = Some(Leadership {
            tracker,
            planner,
            batcher: CommandBatcher::default(),
        });
    }

    /// Proposes what members and placements ask for. Returns whether anything
    /// was proposed.
    pub(super) fn drain_leadership(&mut self, now: Timestamp) -> bool {
        while let Some(output) = self.next_leader_output() {
            match output {
                LeaderOutput::Propose(command) => {
                    if let Some(leadership) = &mut self.leadership {
                        leadership.batcher.push(command);
                    }
                }
                LeaderOutput::Send { to, body } => {
                    let address = to.control.into();
                    self.send(address, NodeId(to.node), body);
                }
                LeaderOutput::Event(event) => self.emit_event(event),
            }
        }
        self.propose_batches(now)
    }

    fn propose_batches(&mut self, now: Timestamp) -> bool {
        let Some(leadership) = &mut self.leadership else {
            return false;
        };
        let batches = leadership.batcher.take_due(now, self.state.view());
        let mut proposed = false;
        for batch in batches {
            proposed |= self.propose(now, batch);
        }
        proposed
    }

    fn next_leader_output(&mut self) -> Option<LeaderOutput> {
        let leadership = self.leadership.as_mut()?;
        if let Some(output) = leadership.tracker.poll_output() {
            return Some(match output {
                TrackerOutput::Propose(command) => LeaderOutput::Propose(command),
                TrackerOutput::Attach { member, attach } => LeaderOutput::Send {
                    to: member,
                    body: Body::Attach(attach),
                },
                TrackerOutput::Event(event) => LeaderOutput::Event(event),
            });
        }
        Some(match leadership.planner.poll_output()? {
            PlannerOutput::Propose(command) => LeaderOutput::Propose(command),
            PlannerOutput::Event(event) => LeaderOutput::Event(event),
        })
    }

    /// A proposal that is refused is made again by whoever wanted it, as long
    /// as this replica leads.
    fn propose(&mut self, now: Timestamp, command: CommandKind) -> bool {
        let command = Command::from(command).encode_to_vec();
        self.replica.propose(now, command).is_ok()
    }

    fn give_up_requests(&mut self) {
        for token in self.requests.take_all() {
            self.respond_unknown(token);
        }
        self.give_up_checks();
    }

    /// Reports members that a version of the leader's commands changed.
    pub(super) fn report_command(&mut self, command: &CommandKind, delta: &Delta) {
        let concerns = |node| {
            let mut keys = delta.changes.iter().filter_map(RecordChange::key);
            keys.any(|key| key == RecordKey::Member(node))
        };
        let event = match command {
            CommandKind::RegisterMember(member) if concerns(member.node) => {
                Event::new(EventKind::MemberRegistered, member.name.clone())
            }
            CommandKind::FenceMember(fence) if concerns(fence.node) => {
                Event::new(EventKind::MemberFenced, NodeId(fence.node).to_string())
            }
            CommandKind::Batch(batch) => {
                let kinds = batch.commands.iter().filter_map(|it| it.kind.as_ref());
                kinds.for_each(|kind| self.report_command(kind, delta));
                return;
            }
            _ => return,
        };
        self.emit_event(event);
    }
}

/// Something that the leader's parts want.
enum LeaderOutput {
    Propose(CommandKind),
    Send {
        to: petrellatch_proto::record::MemberRecord,
        body: Body,
    },
    Event(Event),
}
