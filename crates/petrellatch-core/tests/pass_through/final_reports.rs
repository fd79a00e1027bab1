//! What an agent says before it ends, and how often.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    FlowRecordSettings, KnownReplicas, PassThroughAgent, PassThroughAgentSettings,
    PassThroughOutput, Registration,
};
use petrellatch_core::{EventKind, Timestamp};
use petrellatch_proto::pass_through::{
    AgentState, GroupStatus, PassThroughBody, Report, pack_address,
};

use super::codec::TestCodec;
use super::world::{MILLI, REPLICA, SERVICE, WARM_UP_BOUNDS, agent_address};

const STOP_LIMIT: Duration = Duration::from_secs(2);
const AWAITS_BACKEND: Duration = Duration::from_millis(1_300);

struct Leaving {
    now: Timestamp,
    agent: PassThroughAgent<TestCodec>,
    reports: Vec<Report>,
    events: Vec<EventKind>,
}

impl Leaving {
    /// An agent, whose back end has begun with it, after the replica has heard it.
    fn new() -> Leaving {
        let mut leaving = Leaving::beside_nobody();
        let call = Registration {
            id: "backend".to_owned(),
            service: SERVICE.to_owned(),
            started_at_millis: None,
            sequence: 1,
            slots: 4,
            draining: false,
            cold_for: Duration::ZERO,
            ..Registration::default()
        };
        let taken = leaving.agent.handle_registration(leaving.now, &call);
        taken.expect("it is of the agent's service");
        leaving.run(100 * MILLI);
        leaving.answer(0);
        leaving
    }

    /// An agent whose back end does not call.
    fn beside_nobody() -> Leaving {
        let now = Timestamp::from_millis(1_000);
        let settings = PassThroughAgentSettings {
            address: agent_address(1),
            zone: "a".to_owned(),
            service: SERVICE.to_owned(),
            first_start: false,
            report_interval: Duration::from_millis(500),
            silence_limit: Duration::from_secs(6),
            provisional_timeout: AWAITS_BACKEND,
            flow_lifetime: Duration::from_secs(60),
            queue_factor: 3,
            stop_timeout: STOP_LIMIT,
            warm_up_bounds: WARM_UP_BOUNDS,
            flow_record: FlowRecordSettings::default(),
        };
        let contacts = KnownReplicas::new(vec![REPLICA]);
        let agent = PassThroughAgent::new(now, settings, TestCodec, Incarnation(9), contacts);
        Leaving {
            now,
            agent,
            reports: Vec::new(),
            events: Vec::new(),
        }
    }

    fn begin_stop(&mut self) {
        self.reports.clear();
        self.agent.begin_stop(self.now);
        self.collect();
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end && !self.agent.is_stopped() {
            self.now = self.now + MILLI;
            if self.agent.poll_timeout() <= self.now {
                self.agent.handle_timeout(self.now);
            }
            self.collect();
        }
    }

    fn collect(&mut self) {
        while let Some(output) = self.agent.poll_output() {
            match output {
                PassThroughOutput::Send {
                    to: REPLICA,
                    body: PassThroughBody::Report(report),
                } => self.reports.push(report),
                PassThroughOutput::Event(event) => self.events.push(event.kind),
                _ => {}
            }
        }
    }

    /// The replica answers the report with this number.
    fn answer(&mut self, number: u64) {
        let group = GroupStatus {
            replicas: vec![pack_address(REPLICA)],
            has_report: true,
            acknowledged_report: number,
            ..GroupStatus::default()
        };
        let from: SocketAddrV4 = REPLICA;
        let body = PassThroughBody::GroupStatus(group);
        self.agent.handle_message(self.now, from, body);
        self.collect();
    }

    fn last_words(&self) -> Vec<u64> {
        let last = self.reports.iter();
        let last =
            last.filter(|it| it.state() == AgentState::Unavailable && it.next_report_millis == 0);
        last.map(|report| report.sequence).collect()
    }
}

#[test]
fn the_last_word_is_said_again_until_a_replica_has_heard_it() {
    let mut leaving = Leaving::new();
    leaving.begin_stop();
    leaving.run(100 * MILLI);
    assert!(!leaving.agent.is_stopped(), "nobody may have heard it");
    let words = leaving.last_words();
    assert!(words.len() >= 3, "said {} times", words.len());
    leaving.answer(words[1]);
    assert!(leaving.agent.is_stopped());
}

#[test]
fn an_answer_to_an_earlier_report_does_not_end_the_last_word() {
    let mut leaving = Leaving::new();
    let earlier = leaving.reports.last().expect("a report").sequence;
    leaving.begin_stop();
    leaving.answer(earlier);
    assert!(!leaving.agent.is_stopped());
}

#[test]
fn nobody_waits_long_for_a_replica_that_hears_nothing() {
    let mut leaving = Leaving::new();
    leaving.begin_stop();
    leaving.run(STOP_LIMIT / 4);
    assert!(leaving.agent.is_stopped());
}

#[test]
fn an_agent_whose_back_end_never_called_says_so_before_it_ends() {
    for heard_after in [5, 25, 45, 65, 85, 105, 205, 245] {
        let mut leaving = Leaving::beside_nobody();
        leaving.run(heard_after * MILLI);
        leaving.answer(0);
        leaving.run(1_000 * MILLI);
        leaving.begin_stop();
        leaving.run(STOP_LIMIT);
        assert!(leaving.agent.is_stopped());
        assert!(leaving.last_words().len() >= 3, "after {heard_after}");
        let is_told = leaving.events.contains(&EventKind::BackendSilent);
        assert!(is_told, "the log names it, after {heard_after}");
    }
}
