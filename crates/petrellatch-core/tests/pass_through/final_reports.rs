//! The final report of an agent that stops, and its repetition.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    FlowRecordSettings, KnownReplicas, PassThroughAgent, PassThroughAgentSettings,
    PassThroughOutput, Registration,
};
use petrellatch_core::{EventKind, Timestamp};
use petrellatch_proto::pass_through::{AgentState, GroupStatus, PassThroughBody, Report};

use super::codec::TestCodec;
use super::world::{MILLI, REPLICA, SERVICE, WARM_UP_BOUNDS, agent_address, no_departures};

const STOP_TIMEOUT: Duration = Duration::from_secs(2);
const PROVISIONAL_TIMEOUT: Duration = Duration::from_millis(1_300);

struct StoppingAgent {
    now: Timestamp,
    agent: PassThroughAgent<TestCodec>,
    reports: Vec<Report>,
    events: Vec<EventKind>,
}

impl StoppingAgent {
    /// An agent whose back end has started with it, after a replica has acknowledged a report.
    fn new() -> StoppingAgent {
        let mut stopping = StoppingAgent::without_backend();
        let registration = Registration {
            id: "backend".to_owned(),
            service: SERVICE.to_owned(),
            started_at_millis: None,
            sequence: 1,
            slots: 4,
            draining: false,
            cold_for: Duration::ZERO,
            ..Registration::default()
        };
        let accepted = stopping
            .agent
            .handle_registration(stopping.now, &registration);
        accepted.expect("the registration is for the agent's service");
        stopping.run(100 * MILLI);
        stopping.acknowledge(0);
        stopping
    }

    /// An agent whose back end doesn't register.
    fn without_backend() -> StoppingAgent {
        let now = Timestamp::from_millis(1_000);
        let settings = PassThroughAgentSettings {
            address: agent_address(1),
            zone: "a".to_owned(),
            service: SERVICE.to_owned(),
            first_start: false,
            report_interval: Duration::from_millis(500),
            silence_timeout: Duration::from_secs(6),
            provisional_timeout: PROVISIONAL_TIMEOUT,
            flow_ttl: Duration::from_secs(60),
            default_requests_per_slot: 3,
            stop_timeout: STOP_TIMEOUT,
            warm_up_bounds: WARM_UP_BOUNDS,
            flow_record: FlowRecordSettings::default(),
        };
        let known_replicas = KnownReplicas::new(vec![REPLICA]);
        let mut agent =
            PassThroughAgent::new(now, settings, TestCodec, Incarnation(9), known_replicas);
        let body = PassThroughBody::GroupStatus(no_departures(REPLICA, 9));
        agent.handle_message(now, REPLICA, body);
        StoppingAgent {
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

    /// The replica acknowledges the report with this sequence number; zero stands for the
    /// latest one.
    fn acknowledge(&mut self, number: u64) {
        let group = GroupStatus {
            has_report: true,
            remembers_agents: true,
            acknowledged_report: number,
            ..no_departures(REPLICA, 9)
        };
        let from: SocketAddrV4 = REPLICA;
        let body = PassThroughBody::GroupStatus(group);
        self.agent.handle_message(self.now, from, body);
        self.collect();
    }

    fn final_reports(&self) -> Vec<u64> {
        let reports = self.reports.iter();
        let is_final =
            |it: &&Report| it.state() == AgentState::Unavailable && it.next_report_millis == 0;
        let reports = reports.filter(is_final);
        reports.map(|report| report.sequence).collect()
    }
}

#[test]
fn the_final_report_is_repeated_until_a_replica_acknowledges_it() {
    let mut stopping = StoppingAgent::new();
    stopping.begin_stop();
    stopping.run(100 * MILLI);
    assert!(
        !stopping.agent.is_stopped(),
        "no replica has acknowledged it"
    );
    let repeated = stopping.final_reports();
    assert!(repeated.len() >= 3, "sent {} times", repeated.len());
    stopping.acknowledge(repeated[1]);
    assert!(stopping.agent.is_stopped());
}

#[test]
fn an_acknowledgement_of_an_earlier_report_does_not_end_the_repetition() {
    let mut stopping = StoppingAgent::new();
    let earlier = stopping.reports.last().expect("a report").sequence;
    stopping.begin_stop();
    stopping.acknowledge(earlier);
    assert!(!stopping.agent.is_stopped());
}

#[test]
fn a_stop_does_not_wait_long_for_a_silent_replica() {
    let mut stopping = StoppingAgent::new();
    stopping.begin_stop();
    stopping.run(STOP_TIMEOUT / 4);
    assert!(stopping.agent.is_stopped());
}

#[test]
fn a_back_end_that_never_registered_is_reported_as_silent_before_the_stop() {
    for acknowledged_after in [5, 25, 45, 65, 85, 105, 205, 245] {
        let mut stopping = StoppingAgent::without_backend();
        stopping.run(acknowledged_after * MILLI);
        stopping.acknowledge(0);
        stopping.run(1_000 * MILLI);
        stopping.begin_stop();
        stopping.run(STOP_TIMEOUT);
        assert!(stopping.agent.is_stopped());
        assert!(
            stopping.final_reports().len() >= 3,
            "first report acknowledged after {acknowledged_after} ms"
        );
        let is_logged = stopping.events.contains(&EventKind::BackendSilent);
        assert!(
            is_logged,
            "the silence is not logged; first report acknowledged after {acknowledged_after} ms"
        );
    }
}
