//! Thousands of agents that come back as new lives at once.

use std::collections::BTreeMap;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::control::{ControlMutations, ControlState};
use petrellatch_core::identity::NodeId;
use petrellatch_core::membership::{MemberTracker, MembershipSettings, TermStart, TrackerOutput};
use petrellatch_proto::command::CommandKind;
use petrellatch_proto::dissemination::HeartbeatEntry;
use petrellatch_proto::record::{MemberRecord, NodeRole};

const AGENTS: u64 = 2_000;
const TICK: Duration = Duration::from_millis(10);
const TICKS_OF_HEARTBEAT: u64 = 100;

fn member(number: u64, incarnation: u64) -> MemberRecord {
    let name = format!("agent-{number}");
    MemberRecord {
        node: NodeId::from_name(&name).0,
        incarnation,
        name,
        role: NodeRole::Agent as i32,
        ..MemberRecord::default()
    }
}

/// A leader's tracker with the state that its proposals lead to.
struct Leader {
    now: Timestamp,
    state: ControlState,
    tracker: MemberTracker,
    /// Proposed registrations by node, and all by second.
    proposals: BTreeMap<u64, u32>,
    by_second: BTreeMap<u64, u64>,
    fences: usize,
}

impl Leader {
    fn start() -> Self {
        let now = Timestamp::from_millis(1_000);
        let mut state = ControlState::new(ControlMutations::default());
        for number in 0..AGENTS {
            let register = CommandKind::RegisterMember(member(number, 1));
            state.apply(&register.into());
        }
        let start = TermStart {
            term: 1,
            election_timeout: Duration::from_millis(500),
            mutations: ControlMutations::default(),
        };
        let settings = MembershipSettings::default();
        Leader {
            now,
            tracker: MemberTracker::new(now, settings, start, &state),
            state,
            proposals: BTreeMap::new(),
            by_second: BTreeMap::new(),
            fences: 0,
        }
    }

    /// Every agent's new life sends its heartbeat, spread over the second.
    fn heartbeats(&mut self, tick: u64) {
        let round = tick / TICKS_OF_HEARTBEAT + 1;
        let mut number = tick % TICKS_OF_HEARTBEAT;
        while number < AGENTS {
            let record = member(number, 2);
            let registered = self.is_back(&record);
            let entry = HeartbeatEntry {
                node: record.node,
                incarnation: 2,
                sequence: round,
                version: self.state.view().version(),
                registration: (!registered).then_some(record),
                ..HeartbeatEntry::default()
            };
            self.tracker.handle_heartbeat(self.now, &entry, &self.state);
            number += TICKS_OF_HEARTBEAT;
        }
    }

    fn is_back(&self, record: &MemberRecord) -> bool {
        let member = self.state.view().member(NodeId(record.node));
        member.is_some_and(|member| member.incarnation == record.incarnation)
    }

    fn carry_out(&mut self) {
        while let Some(output) = self.tracker.poll_output() {
            let TrackerOutput::Propose(command) = output else {
                continue;
            };
            match &command {
                CommandKind::RegisterMember(record) => {
                    *self.proposals.entry(record.node).or_default() += 1;
                    let second = self.now.as_micros() / 1_000_000;
                    *self.by_second.entry(second).or_default() += 1;
                }
                CommandKind::FenceMember(_) => self.fences += 1,
                other => panic!("unexpected: {other:?}"),
            }
            if let Some(delta) = self.state.apply(&command.into()).delta {
                self.tracker.handle_applied(self.now, &delta, &self.state);
            }
        }
    }
}

#[test]
fn two_thousand_new_lives_are_registered_at_the_set_rate_and_each_once() {
    let settings = MembershipSettings::default();
    let mut leader = Leader::start();
    let start = leader.now;
    let all_back = |leader: &Leader| (0..AGENTS).all(|it| leader.is_back(&member(it, 2)));
    let mut tick = 0;
    while !(tick % TICKS_OF_HEARTBEAT == 0 && all_back(&leader)) {
        leader.heartbeats(tick);
        leader.tracker.handle_timeout(leader.now, &leader.state);
        leader.carry_out();
        leader.now = leader.now + TICK;
        tick += 1;
        assert!(tick < 100 * TICKS_OF_HEARTBEAT, "all are back");
    }
    let taken = leader.now.saturating_since(start);
    println!("{AGENTS} new lives were registered after {taken:?}");
    let at_rate = Duration::from_secs(AGENTS / settings.registrations_per_second);
    let lease_over = settings.lease_end() + Duration::from_millis(500);
    assert!(
        taken < lease_over + at_rate + Duration::from_secs(2),
        "{taken:?}"
    );
    assert_eq!(leader.fences as u64, AGENTS);
    assert_eq!(leader.proposals.len() as u64, AGENTS);
    assert!(leader.proposals.values().all(|count| *count == 1));
    let most = leader.by_second.values().max().copied().unwrap_or(0);
    let limit = settings.registrations_per_second + settings.registration_burst;
    assert!(most <= limit, "{most} in a second");
}
