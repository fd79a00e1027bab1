//! The load of many daemons on replicas, and the distribution of balancers over replicas.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    ConfigurationNode, ConfigurationOutput, FlowRecordSettings, KnownReplicas, PassThroughAgent,
    PassThroughAgentSettings, PassThroughBalancer, PassThroughBalancerSettings, PassThroughOutput,
};
use petrellatch_proto::pass_through::{
    GroupStatus, PassThroughBody, Subscribe, VersionConfirmed, pack_address,
};

use super::codec::TestCodec;
use super::replica::start_replica;
use super::world::WARM_UP_BOUNDS;

const STEP: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);
const START: Timestamp = Timestamp::ZERO;

fn replica_address(index: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index), 7000)
}

fn agent_address(index: u16) -> SocketAddrV4 {
    let [high, low] = index.to_be_bytes();
    SocketAddrV4::new(Ipv4Addr::new(10, 1, high, low), 7000)
}

fn agent(index: u16) -> PassThroughAgent<TestCodec> {
    let settings = PassThroughAgentSettings {
        address: agent_address(index),
        zone: "a".to_owned(),
        service: "desk".to_owned(),
        first_start: false,
        report_interval: Duration::from_millis(500),
        silence_timeout: Duration::from_secs(6),
        provisional_timeout: Duration::from_secs(2),
        flow_ttl: Duration::from_secs(60),
        default_requests_per_slot: 2,
        stop_timeout: Duration::from_secs(2),
        warm_up_bounds: WARM_UP_BOUNDS,
        flow_record: FlowRecordSettings::default(),
    };
    let known_replicas = KnownReplicas::new(vec![replica_address(1)]);
    let incarnation = Incarnation(u64::from(index) + 1);
    PassThroughAgent::new(START, settings, TestCodec, incarnation, known_replicas)
}

/// One replica and the agents that report to it.
struct Reports {
    now: Timestamp,
    replica: ConfigurationNode,
    agents: BTreeMap<SocketAddrV4, PassThroughAgent<TestCodec>>,
}

impl Reports {
    fn new(agents: u16) -> Reports {
        let agents = (0..agents).map(|index| (agent_address(index), agent(index)));
        Reports {
            now: START,
            replica: start_replica(START, replica_address(1), replica_address(1)),
            agents: agents.collect(),
        }
    }

    /// Lets time pass. Returns the number of reports that the replica received.
    fn run(&mut self, duration: Duration) -> usize {
        let end = self.now + duration;
        let mut reports = 0;
        while self.now < end {
            self.now = self.now + STEP;
            let now = self.now;
            for (address, agent) in &mut self.agents {
                if agent.poll_timeout() <= now {
                    agent.handle_timeout(now);
                }
                while let Some(output) = agent.poll_output() {
                    if let PassThroughOutput::Send { body, .. } = output {
                        reports += 1;
                        self.replica.handle_message(now, *address, body);
                    }
                }
            }
            self.run_replica();
        }
        reports
    }

    fn run_replica(&mut self) {
        let now = self.now;
        if self.replica.poll_timeout() <= now {
            self.replica.handle_timeout(now);
        }
        while let Some(output) = self.replica.poll_output() {
            match output {
                ConfigurationOutput::Send { to, body } => {
                    if let Some(agent) = self.agents.get_mut(&to) {
                        agent.handle_message(now, replica_address(1), body);
                    }
                }
                ConfigurationOutput::Persist(request) => {
                    self.replica.handle_persisted(now, request.ticket);
                }
                _ => {}
            }
        }
    }

    /// Number of agents that the replica knows. It follows from the report interval in a reply
    /// to a balancer, which is as long as 50 reports per second from all agents allow.
    fn known_agents(&mut self) -> u32 {
        let poll = Subscribe {
            wants_updates: true,
            ..Subscribe::default()
        };
        let balancer = replica_address(200);
        let body = PassThroughBody::Subscribe(poll);
        self.replica.handle_message(self.now, balancer, body);
        while let Some(output) = self.replica.poll_output() {
            if let ConfigurationOutput::Send { to, body } = output
                && to == balancer
                && let PassThroughBody::GroupStatus(status) = body
            {
                return status.report_interval_millis * 50 / 1_000;
            }
        }
        panic!("no reply");
    }
}

#[test]
fn reports_of_many_agents_are_limited_to_60_per_second() {
    let mut reports = Reports::new(1_000);
    reports.run(40 * SECOND);
    let count = reports.run(60 * SECOND);
    assert!(count <= 60 * 60, "{count} reports in a minute");
    assert_eq!(reports.known_agents(), 1_000);
}

#[test]
fn ended_agents_are_removed_in_a_large_fleet() {
    let mut reports = Reports::new(400);
    reports.run(30 * SECOND);
    for index in 0..100 {
        reports.agents.remove(&agent_address(index));
    }
    reports.run(60 * SECOND);
    assert_eq!(reports.known_agents(), 300);
}

/// Exchanges messages between a replica that has just started and the first one.
fn exchange(starting: &mut ConfigurationNode, reports: &mut Reports) {
    let (first, newcomer) = (replica_address(1), replica_address(2));
    let now = reports.now;
    starting.handle_timeout(now);
    for _ in 0..3 {
        while let Some(output) = starting.poll_output() {
            if let ConfigurationOutput::Send { to, body } = output
                && to == first
            {
                reports.replica.handle_message(now, newcomer, body);
            }
        }
        while let Some(output) = reports.replica.poll_output() {
            if let ConfigurationOutput::Send { to, body } = output
                && to == newcomer
            {
                starting.handle_message(now, first, body);
            }
        }
    }
}

#[test]
fn a_starting_replica_fetches_the_directory_from_another() {
    let mut reports = Reports::new(300);
    reports.run(20 * SECOND);
    let mut starting = start_replica(reports.now, replica_address(2), replica_address(1));
    exchange(&mut starting, &mut reports);
    reports.replica = starting;
    assert_eq!(reports.known_agents(), 300);
}

#[test]
fn a_starting_replica_repeats_its_fetch_while_others_start() {
    let mut reports = Reports::new(300);
    let mut starting = start_replica(reports.now, replica_address(2), replica_address(1));
    exchange(&mut starting, &mut reports);
    for _ in 0..5 {
        reports.run(Duration::from_millis(200));
        exchange(&mut starting, &mut reports);
    }
    reports.replica = starting;
    assert_eq!(reports.known_agents(), 300);
}

/// One balancer, and replicas of which some may be silent or without a leader.
struct PollingTest {
    now: Timestamp,
    balancer: PassThroughBalancer<TestCodec>,
    silent: Vec<u8>,
    leaderless: Vec<u8>,
    /// Number of polls that ask for updates, by replica.
    polled: BTreeMap<u8, usize>,
    version: u64,
    /// Number of requests to confirm the newest version that the leader received.
    confirmation_requests: usize,
}

const REPLICAS: u8 = 9;

fn new_balancer(incarnation: u64) -> PassThroughBalancer<TestCodec> {
    let settings = PassThroughBalancerSettings {
        zone: "a".to_owned(),
        subscribe_interval: SECOND,
        flow_ttl: Duration::from_secs(60),
        stop_delay: Duration::from_secs(2),
        link_bytes_per_second: None,
    };
    let known_replicas = KnownReplicas::new((1..=REPLICAS).map(replica_address).collect());
    let incarnation = Incarnation(incarnation);
    PassThroughBalancer::new(START, settings, TestCodec, incarnation, known_replicas)
}

impl PollingTest {
    fn new(incarnation: u64) -> PollingTest {
        let mut test = PollingTest {
            now: START,
            balancer: new_balancer(incarnation),
            silent: Vec::new(),
            leaderless: Vec::new(),
            polled: BTreeMap::new(),
            version: 0,
            confirmation_requests: 0,
        };
        test.run(SECOND);
        test
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            let now = self.now;
            if self.balancer.poll_timeout() <= now {
                self.balancer.handle_timeout(now);
            }
            self.exchange();
            // A message arrives in each step, so that the balancer doesn't poll more replicas
            // because of silence.
            let agent = agent_address(1);
            let body = PassThroughBody::FlowsOwned(Default::default());
            self.balancer.handle_message(now, agent, body);
        }
    }

    fn exchange(&mut self) {
        while let Some(output) = self.balancer.poll_output() {
            if let PassThroughOutput::Send { to, body } = output
                && let PassThroughBody::Subscribe(poll) = body
            {
                self.reply(to, &poll);
            }
        }
    }

    fn reply(&mut self, to: SocketAddrV4, poll: &Subscribe) {
        let index = to.ip().octets()[3];
        if poll.wants_updates {
            *self.polled.entry(index).or_default() += 1;
        }
        if self.silent.contains(&index) {
            return;
        }
        if poll.confirmation_id != 0 && index == 1 && !self.leaderless.contains(&1) {
            self.confirmation_requests += 1;
            let confirmed = VersionConfirmed {
                confirmation_id: poll.confirmation_id,
                version: self.version,
                zones: None,
                ..VersionConfirmed::default()
            };
            let body = PassThroughBody::VersionConfirmed(confirmed);
            self.balancer.handle_message(self.now, to, body);
        }
        let status = self.group_status(index);
        let body = PassThroughBody::GroupStatus(status);
        self.balancer.handle_message(self.now, to, body);
    }

    fn group_status(&self, index: u8) -> GroupStatus {
        let has_leader = !self.leaderless.contains(&index);
        let leader = pack_address(replica_address(1));
        let replicas = (1..=REPLICAS).map(|it| pack_address(replica_address(it)));
        GroupStatus {
            replicas: replicas.collect(),
            membership_index: 1,
            has_leader,
            leader: if has_leader { leader } else { 0 },
            ..GroupStatus::default()
        }
    }

    /// Takes the replicas that were polled since the last call.
    fn take_polled(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.polled).into_keys().collect()
    }
}

#[test]
fn balancers_spread_over_the_replicas_and_poll_two_of_them() {
    let mut subscribers = BTreeMap::<u8, usize>::new();
    for incarnation in 1..=200 {
        let mut test = PollingTest::new(incarnation);
        test.take_polled();
        test.run(3 * SECOND);
        assert!(test.polled.values().sum::<usize>() <= 8);
        let polled = test.take_polled();
        assert_eq!(polled.len(), 2);
        for replica in polled {
            *subscribers.entry(replica).or_default() += 1;
        }
    }
    let busiest = subscribers.values().max().copied();
    assert!(
        busiest < Some(75),
        "400 subscriptions at 9 replicas: {subscribers:?}"
    );
}

#[test]
fn a_replica_that_is_silent_or_leaderless_is_replaced_within_two_seconds() {
    for leaderless in [false, true] {
        let mut test = PollingTest::new(7);
        test.run(2 * SECOND);
        test.take_polled();
        test.run(2 * SECOND);
        let preferred = test.take_polled();
        match leaderless {
            true => test.leaderless.clone_from(&preferred),
            false => test.silent.clone_from(&preferred),
        }
        test.run(1_500 * Duration::from_millis(1));
        let polled = test.take_polled();
        let serving = polled.iter().filter(|it| !preferred.contains(it)).count();
        assert!(
            serving >= 2,
            "{polled:?} after {preferred:?} stopped serving"
        );
    }
}

#[test]
fn a_balancer_asks_a_new_leader_for_confirmation_at_once() {
    let mut test = PollingTest::new(7);
    test.balancer = new_balancer(8);
    test.leaderless = (1..=REPLICAS).collect();
    test.run(100 * Duration::from_millis(1));
    assert_eq!(test.balancer.version(), 0);
    test.confirmation_requests = 0;
    // All replicas have a leader now, and one of them notifies the balancer.
    test.leaderless.clear();
    let status = test.group_status(2);
    let (now, from) = (test.now, replica_address(2));
    let body = PassThroughBody::GroupStatus(status);
    test.balancer.handle_message(now, from, body);
    test.exchange();
    assert_eq!(
        test.confirmation_requests, 1,
        "without waiting for the next poll"
    );
}
