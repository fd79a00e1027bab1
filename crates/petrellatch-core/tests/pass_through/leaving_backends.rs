//! Agents that restart beside a back end that is leaving: it drains or has deregistered, still
//! runs, and still owns open flows.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::pass_through::{PacketView, Registration};
use petrellatch_proto::pass_through::{
    FlowColumns, FlowRecordResponse, GroupStatus, PassThroughBody, pack_address,
};

use super::codec::{empty, encode};
use super::world::{
    MILLI, REPLICA, ROUTE, SERVICE, World, agent_address, caller, initial_sequence,
};

const AGENT: u8 = 1;
/// Agents whose back ends started with them, so that they know all flows.
const OTHER_AGENTS: [u8; 2] = [2, 3];
const PORT: u16 = 1;
const BACKEND: &str = "backend";
/// The time in which a running back end registers at a restarted agent.
const PROVISIONAL_TIMEOUT: Duration = Duration::from_secs(2);

/// How a back end leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Departure {
    /// It says that it is draining, and goes on registering.
    Draining,
    /// It deregisters, and is silent from then on.
    Deregistered,
}

/// A case of a restart beside a leaving back end.
#[derive(Clone, Copy, Debug)]
struct Case {
    departure: Departure,
    /// Whether the back end reports its start time.
    reports_start_time: bool,
    /// How often the agent restarts.
    restarts: u32,
}

impl Case {
    fn all() -> impl Iterator<Item = Case> {
        let departures = [Departure::Draining, Departure::Deregistered];
        departures.into_iter().flat_map(|departure| {
            [false, true]
                .into_iter()
                .flat_map(move |reports_start_time| {
                    (1..=2).map(move |restarts| Case {
                        departure,
                        reports_start_time,
                        restarts,
                    })
                })
        })
    }

    fn registration(self, sequence: u64, draining: bool) -> Registration {
        Registration {
            id: BACKEND.to_owned(),
            service: SERVICE.to_owned(),
            started_at_millis: self.reports_start_time.then_some(1_000),
            sequence,
            slots: 4,
            draining,
            ..Registration::default()
        }
    }

    /// A world in which one back end leaves, with one open flow.
    fn world_with_leaving_backend(self) -> (World, SocketAddrV4) {
        let mut world = World::new(0, 4);
        world.start_agent(AGENT);
        world.send_registration(AGENT, &self.registration(1, false));
        world.run(5 * MILLI);
        world.open(PORT, 0);
        let agent = world.accepted_by(PORT).expect("a SYN-ACK");
        world.request(PORT, agent);
        for other in OTHER_AGENTS {
            world.start_agent(other);
            world.register(other, 4, false, 1);
            world.acknowledge_report(other, false);
        }
        world.run(3 * PROVISIONAL_TIMEOUT);
        match self.departure {
            Departure::Draining => world.send_registration(AGENT, &self.registration(9, true)),
            Departure::Deregistered => deregister(&mut world),
        }
        world.run(100 * MILLI);
        (world, agent)
    }

    /// Restarts the agent, and lets the back end register for some time if it still does.
    fn restart_agent(self, world: &mut World) {
        for _ in 0..self.restarts {
            world.restart_agent_with_draining(AGENT);
            acknowledge_report(world);
            for sequence in 10..14 {
                world.run(PROVISIONAL_TIMEOUT / 3);
                if self.departure == Departure::Draining {
                    world.send_registration(AGENT, &self.registration(sequence, true));
                }
            }
        }
    }
}

fn deregister(world: &mut World) {
    let now = world.now;
    let agent = world.agents.get_mut(&agent_address(AGENT));
    agent.expect("known").handle_deregistration(now, BACKEND);
}

/// A replica that knows the previous incarnation of the agent acknowledges its report.
fn acknowledge_report(world: &mut World) {
    let status = GroupStatus {
        has_report: true,
        knows_previous_incarnation: true,
        ..GroupStatus::default()
    };
    let now = world.now;
    let agent = world.agents.get_mut(&agent_address(AGENT));
    let body = PassThroughBody::GroupStatus(status);
    agent.expect("known").handle_message(now, REPLICA, body);
}

/// The caller sends a request through a balancer that doesn't know its flow.
fn request_through_another_balancer(world: &mut World, agent: SocketAddrV4) {
    world.restart_balancer();
    world.notify_complete_directory();
    world.request(PORT, agent);
    world.run(200 * MILLI);
}

// Guards against the reset of open flows of a leaving back end after a restart of its agent.
#[test]
fn a_restarted_agent_does_not_deny_the_flows_of_a_leaving_back_end() {
    for case in Case::all() {
        let (mut world, agent) = case.world_with_leaving_backend();
        case.restart_agent(&mut world);
        let received = world.data_packets_at(agent);
        request_through_another_balancer(&mut world, agent);
        assert_eq!(world.resets(), 0, "{case:?}");
        assert_eq!(world.data_packets_at(agent), received + 1, "{case:?}");
    }
}

// Guards against the reset of such flows while their agent, which has stopped, can't be asked.
#[test]
fn the_flows_of_a_leaving_back_end_are_not_reset_after_a_planned_stop_of_its_restarted_agent() {
    for case in Case::all() {
        let (mut world, agent) = case.world_with_leaving_backend();
        case.restart_agent(&mut world);
        stop_agent(&mut world, agent);
        request_after_stop(&mut world, agent);
        assert_eq!(world.resets(), 0, "{case:?}");
    }
}

// Guards against callers that wait for an agent that has stopped after its leaving back end has
// ended: it has to find that out before its final report.
#[test]
fn callers_are_reset_once_the_agent_of_an_ended_leaving_back_end_has_stopped() {
    for case in Case::all() {
        let (mut world, agent) = case.world_with_leaving_backend();
        case.restart_agent(&mut world);
        recover_record(&mut world, agent);
        world.refusing.push(agent);
        stop_agent(&mut world, agent);
        world.restart_balancer();
        world.repeat_reports();
        world.notify_complete_directory();
        world.request(PORT, agent);
        world.run(200 * MILLI);
        assert_eq!(world.resets(), 1, "{case:?}");
    }
}

// Guards against the same if the probe packet is taken for a sign that the back end has ended.
#[test]
fn a_leaving_back_end_that_drops_the_probe_packet_keeps_its_flows_after_a_stop() {
    for case in Case::all() {
        let (mut world, agent) = case.world_with_leaving_backend();
        case.restart_agent(&mut world);
        recover_record(&mut world, agent);
        stop_agent(&mut world, agent);
        request_after_stop(&mut world, agent);
        assert_eq!(world.resets(), 0, "{case:?}");
    }
}

/// A replica sends the restarted agent the record of its previous incarnation.
fn recover_record(world: &mut World, agent: SocketAddrV4) {
    let sequence = initial_sequence(agent);
    let probe_packet = PacketView {
        ack: true,
        ack_number: sequence.wrapping_add(1),
        ..empty(caller(PORT), ROUTE)
    };
    let record = FlowRecordResponse {
        incarnation: world.incarnation(AGENT),
        backend_incarnation: 1,
        revision: 1,
        part: 0,
        parts: 1,
        flows: FlowColumns {
            routes: vec![pack_address(ROUTE)],
            callers: vec![pack_address(caller(PORT))],
            route_indexes: vec![0],
            sequences: vec![sequence],
            acknowledged_steps: vec![0],
        },
        backend_started_at_millis: 0,
        probe_packets: vec![encode(&probe_packet)],
    };
    let now = world.now;
    let body = PassThroughBody::FlowRecordResponse(record);
    let restarted = world.agents.get_mut(&agent).expect("known");
    restarted.handle_message(now, REPLICA, body);
    world.settle();
}

/// Stops the agent as planned.
fn stop_agent(world: &mut World, agent: SocketAddrV4) {
    let now = world.now;
    world.agents.get_mut(&agent).expect("known").begin_stop(now);
    world.run(2 * PROVISIONAL_TIMEOUT);
    assert!(world.agents[&agent].is_stopped());
    world.paused.push(agent);
}

/// The caller sends requests through a balancer that doesn't know its flow, while the agent of
/// its back end has stopped.
fn request_after_stop(world: &mut World, agent: SocketAddrV4) {
    world.restart_balancer();
    world.repeat_reports();
    for _ in 0..6 {
        world.notify_complete_directory();
        world.request(PORT, agent);
        world.run(200 * MILLI);
    }
}

// Guards against the loss of the flows of a back end whose departure no replica has heard of.
#[test]
fn a_restarted_agent_does_not_deny_flows_of_a_back_end_that_has_sent_packets() {
    let case = Case {
        departure: Departure::Deregistered,
        reports_start_time: false,
        restarts: 1,
    };
    let (mut world, agent) = case.world_with_leaving_backend();
    world.start_agent(AGENT);
    acknowledge_report(&mut world);
    // An answer to another flow.
    world.send_backend_data(agent, PORT + 1);
    world.run(3 * PROVISIONAL_TIMEOUT);
    request_through_another_balancer(&mut world, agent);
    assert_eq!(world.resets(), 0);
    stop_agent(&mut world, agent);
    request_after_stop(&mut world, agent);
    assert_eq!(world.resets(), 0);
}

// Guards against a verdict on flows before a replica has said whether a back end is leaving.
#[test]
fn an_agent_that_no_replica_has_answered_denies_no_flow() {
    let case = Case {
        departure: Departure::Deregistered,
        reports_start_time: false,
        restarts: 1,
    };
    let (mut world, agent) = case.world_with_leaving_backend();
    world.start_agent(AGENT);
    world.run(3 * PROVISIONAL_TIMEOUT);
    request_through_another_balancer(&mut world, agent);
    assert_eq!(world.resets(), 0);
}

// Guards against a back end that is full, and returns a SYN, being taken for absent.
#[test]
fn a_returned_syn_does_not_show_that_there_is_no_back_end() {
    let case = Case {
        departure: Departure::Deregistered,
        reports_start_time: false,
        restarts: 1,
    };
    let (mut world, agent) = case.world_with_leaving_backend();
    world.start_agent(AGENT);
    acknowledge_report(&mut world);
    world.returning_syns.push(agent);
    world.fill_from_other_balancer(AGENT, 1);
    world.settle();
    request_through_another_balancer(&mut world, agent);
    assert_eq!(world.resets(), 0);
}

// Callers of flows that have died are told at once, as the back end returns their packets.
#[test]
fn callers_of_flows_that_a_leaving_back_end_has_lost_are_reset() {
    for case in Case::all() {
        let (mut world, agent) = case.world_with_leaving_backend();
        case.restart_agent(&mut world);
        world.backends.get_mut(&agent).expect("known").flows.clear();
        request_through_another_balancer(&mut world, agent);
        assert_eq!(world.resets(), 1, "{case:?}");
    }
}

// Callers are also told if the back end has ended, so that its address refuses packets.
#[test]
fn callers_of_flows_of_a_leaving_back_end_that_has_ended_are_reset() {
    for case in Case::all() {
        let (mut world, agent) = case.world_with_leaving_backend();
        case.restart_agent(&mut world);
        world.refusing.push(agent);
        request_through_another_balancer(&mut world, agent);
        assert_eq!(world.resets(), 1, "{case:?}");
    }
}

/// A world with an open flow whose agent has restarted, beside a back end that hasn't left.
fn world_with_restarted_agent() -> (World, SocketAddrV4) {
    let mut world = World::new(1, 4);
    world.open(PORT, 0);
    let agent = world.accepted_by(PORT).expect("a SYN-ACK");
    world.request(PORT, agent);
    world.run(PROVISIONAL_TIMEOUT);
    world.start_agent(AGENT);
    acknowledge_report(&mut world);
    (world, agent)
}

// Guards against the reset of flows of a running back end whose registrations are delayed, or
// whose deregistration was lost with its agent.
#[test]
fn a_restarted_agent_does_not_deny_flows_of_a_silent_back_end() {
    for silence in [PROVISIONAL_TIMEOUT, 5 * PROVISIONAL_TIMEOUT] {
        let (mut world, agent) = world_with_restarted_agent();
        let received = world.data_packets_at(agent);
        world.run(silence);
        request_through_another_balancer(&mut world, agent);
        assert_eq!(world.resets(), 0, "{silence:?}");
        assert_eq!(world.data_packets_at(agent), received + 1, "{silence:?}");
    }
}

// Callers of a back end that crashed with its agent are told as soon as its address refuses a
// packet, also before a running one would have registered.
#[test]
fn callers_of_a_back_end_that_crashed_with_its_agent_are_reset() {
    for silence in [10 * MILLI, PROVISIONAL_TIMEOUT] {
        let (mut world, agent) = world_with_restarted_agent();
        world.refusing.push(agent);
        world.run(silence);
        request_through_another_balancer(&mut world, agent);
        assert_eq!(world.resets(), 1, "{silence:?}");
    }
}
