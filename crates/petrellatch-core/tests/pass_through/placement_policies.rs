//! Placement policies at a balancer: which back ends receive new flows, how often policies
//! are evaluated, and that open flows don't move.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::pass_through::Registration;
use petrellatch_proto::pass_through::{
    GroupStatus, PassThroughBody, PlacementPolicy, PolicySet, VersionConfirmed, pack_address,
};

use super::world::{FIRST_OWN_PORT, MILLI, REPLICA, ROUTE, SERVICE, World, agent_address};

const SLOTS: u32 = 50;
const SECOND: Duration = Duration::from_secs(1);

fn policy(name: &str, eligible: &str, weight: &str) -> PlacementPolicy {
    PlacementPolicy {
        name: name.to_owned(),
        eligible: eligible.to_owned(),
        weight: weight.to_owned(),
        services: vec![SERVICE.to_owned()],
        routes: Vec::new(),
    }
}

/// Sends a replica's update with these policies to the balancer.
fn send_policies(world: &mut World, index: u64, policies: &[PlacementPolicy]) {
    let status = GroupStatus {
        directory_revision: world.revision,
        has_leader: true,
        policies: Some(PolicySet {
            index,
            policies: policies.to_vec(),
        }),
        ..GroupStatus::default()
    };
    let body = PassThroughBody::GroupStatus(status);
    world.balancer.handle_message(world.now, REPLICA, body);
}

/// Registers the back end of an agent with a label, which the agent reports.
fn register_with_label(world: &mut World, index: u8, key: &str, value: &str) {
    let registration = Registration {
        id: format!("backend-{index}"),
        service: SERVICE.to_owned(),
        sequence: 2,
        slots: SLOTS,
        labels: BTreeMap::from([(key.to_owned(), value.to_owned())]),
        ..Registration::default()
    };
    world.send_registration(index, &registration);
}

/// A world in which the back ends of the agents `labelled` have a label, and all agents have
/// sent a report.
fn labelled_world(agents: u8, labelled: &[u8], key: &str, value: &str) -> World {
    let mut world = World::new(agents, SLOTS);
    for index in labelled {
        register_with_label(&mut world, *index, key, value);
    }
    world.run(SECOND);
    world
}

/// Lets seconds pass in which the back ends of these agents repeat their registrations.
fn run_with_registrations(world: &mut World, agents: &[u8], seconds: u64) {
    for _ in 0..seconds {
        for index in agents {
            let sequence = world.now.as_micros();
            world.register(*index, SLOTS, false, sequence);
        }
        world.run(SECOND);
    }
}

/// Opens flows and returns the agent of each.
fn open_flows(world: &mut World, ports: std::ops::Range<u16>) -> Vec<SocketAddrV4> {
    let mut agents = Vec::new();
    for port in ports {
        world.open(port, 0);
        world.run(2 * MILLI);
        agents.push(world.accepted_by(port).expect("an accepted flow"));
    }
    agents
}

/// Opens flows that are closed at once. Returns the number of flows of each agent.
fn open_and_close(world: &mut World, ports: std::ops::Range<u16>) -> BTreeMap<SocketAddrV4, usize> {
    let mut flows_by_agent = BTreeMap::new();
    for port in ports {
        world.open(port, 0);
        let agent = world.accepted_by(port).expect("an accepted flow");
        *flows_by_agent.entry(agent).or_default() += 1;
        world.request(port, agent);
        world.send_backend_data(agent, port);
        world.close_flow(port, agent);
        world.run(MILLI);
    }
    flows_by_agent
}

#[test]
fn a_canary_gets_its_share_of_new_flows_and_later_all_of_them() {
    let mut world = labelled_world(10, &[1], "version", "v2");
    let canary = "has(backend.labels.version) && backend.labels.version == 'v2'";
    let five_percent = format!("{canary} ? 9.0 / 19.0 : 1.0");
    send_policies(&mut world, 1, &[policy("canary", "true", &five_percent)]);
    let flows_by_agent = open_and_close(&mut world, 1..1_001);
    let share = flows_by_agent
        .get(&agent_address(1))
        .copied()
        .unwrap_or_default();
    assert!(
        (30..=70).contains(&share),
        "{share} of 1,000 at the new version"
    );
    send_policies(&mut world, 2, &[policy("canary", canary, "1.0")]);
    let flows_by_agent = open_and_close(&mut world, 2_000..2_050);
    assert_eq!(flows_by_agent.get(&agent_address(1)), Some(&50));
}

#[test]
fn equal_weights_select_the_same_agents_as_no_policy() {
    let mut plain = World::new(6, SLOTS);
    let mut placed = World::new(6, SLOTS);
    send_policies(&mut placed, 1, &[policy("all", "true", "1.0")]);
    let expected = open_flows(&mut plain, 1..60);
    assert_eq!(open_flows(&mut placed, 1..60), expected);
}

#[test]
fn a_policy_of_a_route_takes_precedence_over_one_of_its_service() {
    let mut world = labelled_world(4, &[3], "member", "two");
    let of_service = policy("others", "!has(backend.labels.member)", "1.0");
    let of_route = PlacementPolicy {
        services: Vec::new(),
        routes: vec![pack_address(ROUTE)],
        ..policy("member", "has(backend.labels.member)", "1.0")
    };
    send_policies(&mut world, 1, std::slice::from_ref(&of_service));
    let agents = open_flows(&mut world, 1..20);
    assert!(!agents.contains(&agent_address(3)));
    send_policies(&mut world, 2, &[of_service, of_route]);
    let agents = open_flows(&mut world, 21..40);
    assert!(agents.iter().all(|agent| *agent == agent_address(3)));
}

#[test]
fn the_callers_zone_is_preferred_while_it_has_free_slots() {
    let mut world = World::new(2, 2);
    world.zone_of = |index| if index == 2 { "b" } else { "a" };
    world.start_agent(2);
    world.register(2, 2, false, 1);
    world.run(SECOND);
    let weight = "backend.zone == service.zone ? 1.0 : 0.000001";
    send_policies(&mut world, 1, &[policy("near", "true", weight)]);
    let agents = open_flows(&mut world, 1..3);
    assert!(agents.iter().all(|agent| *agent == agent_address(1)));
    // Both slots are busy, so that the next flow goes to the other zone.
    let agents = open_flows(&mut world, 3..4);
    assert_eq!(agents, [agent_address(2)]);
}

#[test]
fn a_back_end_gets_no_flow_before_the_age_that_a_policy_requires() {
    let mut world = World::new(3, SLOTS);
    let new_agent = 3;
    run_with_registrations(&mut world, &[1, 2], 70);
    world.start_agent(new_agent);
    run_with_registrations(&mut world, &[1, 2, new_agent], 1);
    send_policies(
        &mut world,
        1,
        &[policy("grown", "backend.age_seconds >= 60.0", "1.0")],
    );
    let agents = open_flows(&mut world, 1..30);
    assert!(!agents.contains(&agent_address(new_agent)));
    run_with_registrations(&mut world, &[1, 2, new_agent], 61);
    let agents = open_flows(&mut world, 31..60);
    assert!(agents.contains(&agent_address(new_agent)));
}

#[test]
fn flows_without_an_eligible_back_end_are_refused_and_this_is_logged_once() {
    let mut world = World::new(3, SLOTS);
    send_policies(&mut world, 1, &[policy("none", "false", "1.0")]);
    for port in 1..=5 {
        world.open(port, 0);
    }
    assert_eq!(world.resets(), 5);
    assert!(
        world
            .refusals
            .iter()
            .all(|it| it.contains("no_eligible_backend"))
    );
    assert_eq!(world.without_eligible.len(), 1);
    send_policies(&mut world, 2, &[]);
    open_flows(&mut world, 6..8);
    send_policies(&mut world, 3, &[policy("none", "true", "0.0")]);
    world.open(9, 0);
    assert_eq!(world.resets(), 6);
}

#[test]
fn a_policy_that_fails_for_a_back_end_excludes_it() {
    let mut world = labelled_world(3, &[2], "share", "many");
    let weight = "has(backend.labels.share) ? double(backend.labels.share) : 1.0";
    send_policies(&mut world, 1, &[policy("by label", "true", weight)]);
    let agents = open_flows(&mut world, 1..30);
    assert!(!agents.contains(&agent_address(2)));
}

#[test]
fn older_policies_have_no_effect() {
    let mut world = World::new(2, SLOTS);
    send_policies(&mut world, 5, &[]);
    send_policies(&mut world, 4, &[policy("none", "false", "1.0")]);
    assert_eq!(world.balancer.policies_index(), 5);
    open_flows(&mut world, 1..3);
}

#[test]
fn open_flows_stay_through_fifty_policy_changes_that_new_flows_follow() {
    let mut world = labelled_world(8, &[1, 2, 3, 4], "half", "first");
    let first = "has(backend.labels.half)";
    let owners = open_flows(&mut world, 1..40);
    for (port, owner) in (1..).zip(&owners) {
        world.request(port, *owner);
    }
    let mut port = 100;
    for change in 1..=50_u64 {
        let is_first = change % 2 == 0;
        let eligible = if is_first {
            first.to_owned()
        } else {
            format!("!{first}")
        };
        send_policies(&mut world, change, &[policy("half", &eligible, "1.0")]);
        if change == 20 {
            // A restarted balancer gets the policies before it is up to date.
            world.restart_balancer();
            send_policies(&mut world, change, &[policy("half", &eligible, "1.0")]);
        }
        if change == 30 {
            // One agent stops reporting, so that its state becomes outdated.
            world.paused = vec![agent_address(8)];
        }
        for _ in 0..2 {
            world.open(port, 0);
            world.run(400 * MILLI);
            let agent = world.accepted_by(port).expect("an accepted flow");
            let index = agent.ip().octets()[3];
            assert_eq!(index <= 4, is_first, "change {change}");
            port += 1;
        }
    }
    world.paused.clear();
    for (port, owner) in (1..).zip(&owners) {
        let before = world.data_packets_at(*owner);
        world.request(port, *owner);
        world.run(200 * MILLI);
        assert!(
            world.data_packets_at(*owner) > before,
            "the flow of port {port} moved"
        );
    }
}

#[test]
fn a_policy_is_evaluated_only_when_its_inputs_change() {
    let mut world = World::new(20, SLOTS);
    send_policies(
        &mut world,
        1,
        &[policy("static", "backend.zone == 'a'", "backend.slots")],
    );
    open_and_close(&mut world, 1..200);
    let stats = world.balancer.policy_stats();
    assert_eq!(stats[0].placed, 199);
    assert!(stats[0].evaluations <= 2 * 20, "{stats:?}");
    send_policies(
        &mut world,
        2,
        &[policy("load", "true", "1.0 + backend.free_slots")],
    );
    open_and_close(&mut world, 200..400);
    let stats = world.balancer.policy_stats();
    let each = stats[0].evaluations as f64 / stats[0].placed as f64;
    assert!(each <= 4.0, "{each} evaluations per flow");
}

#[test]
fn a_registration_with_a_ready_agent_is_reported_at_once() {
    let mut world = World::new(2, SLOTS);
    world.start_agent(1);
    // The agent sees packets of a back end that has not registered with the agent's
    // current incarnation.
    world.send_backend_data(agent_address(1), 900);
    world.run(SECOND);
    send_policies(
        &mut world,
        1,
        &[policy("one", "backend.name == 'backend-1'", "1.0")],
    );
    world.open(1, 0);
    assert_eq!(world.resets(), 1);
    world.register(1, SLOTS, false, 100);
    world.run(5 * MILLI);
    assert_eq!(open_flows(&mut world, 2..3), [agent_address(1)]);
}

/// Evaluations per flow of a policy that doesn't read the load, and of one that does.
fn evaluations_with(agents: u8) -> [f64; 2] {
    let mut world = World::new(agents, SLOTS);
    let mut per_flow = Vec::new();
    for (index, weight) in [(1, "backend.slots"), (2, "1.0 + backend.free_slots")] {
        let before = world.balancer.policy_stats();
        let before = before
            .first()
            .map_or((0, 0), |it| (it.placed, it.evaluations));
        send_policies(&mut world, index, &[policy("counted", "true", weight)]);
        let first = 1 + 1_000 * index as u16;
        open_and_close(&mut world, first..first + 200);
        let after = &world.balancer.policy_stats()[0];
        let placed = (after.placed - before.0) as f64;
        // The first evaluation for each back end is not counted.
        let evaluations = (after.evaluations - before.1 - u64::from(agents)) as f64;
        per_flow.push(evaluations / placed);
    }
    [per_flow[0], per_flow[1]]
}

#[test]
fn evaluations_per_flow_do_not_grow_with_the_number_of_back_ends() {
    for agents in [35, 205] {
        let [without_load, with_load] = evaluations_with(agents);
        // A policy that reads the load is evaluated again for an agent after an offer, after
        // its reply, after packets that change its load, and after its reports.
        assert!(without_load <= 0.1, "{agents} agents: {without_load}");
        assert!(with_load <= 5.0, "{agents} agents: {with_load}");
    }
}

#[test]
fn a_policy_that_does_not_compile_makes_no_back_end_eligible() {
    let mut world = World::new(3, SLOTS);
    let owner = open_flows(&mut world, 1..2)[0];
    send_policies(
        &mut world,
        1,
        &[policy("newer", "backend.unheard_of > 1", "1.0")],
    );
    world.open(2, 0);
    assert_eq!(world.resets(), 1);
    assert!(world.refusals[0].contains("no_eligible_backend"));
    assert_eq!(world.without_eligible.len(), 1);
    let before = world.data_packets_at(owner);
    world.request(1, owner);
    assert!(
        world.data_packets_at(owner) > before,
        "an open flow was not served"
    );
    send_policies(&mut world, 2, &[policy("newer", "true", "1.0")]);
    open_flows(&mut world, 3..6);
}

#[test]
fn a_back_end_of_weight_zero_gets_no_flow_when_the_others_are_full() {
    let mut world = labelled_world(3, &[], "none", "");
    let weight = "backend.name == 'backend-2' ? 0.0 : 1.0";
    send_policies(&mut world, 1, &[policy("spare", "true", weight)]);
    world.fill_from_other_balancer(1, 4 * SLOTS as u16);
    world.fill_from_other_balancer(3, 4 * SLOTS as u16);
    for port in 1..=10 {
        world.open(port, 0);
        world.run(20 * MILLI);
    }
    let spare = (1..=10).filter(|port| world.accepted_by(*port) == Some(agent_address(2)));
    assert_eq!(spare.count(), 0);
}

#[test]
fn back_ends_of_weight_zero_do_not_count_for_the_ejection_limit() {
    let mut world = World::new(10, SLOTS);
    let weight = "backend.name == 'backend-1' ? 1.0 : 0.0";
    send_policies(&mut world, 1, &[policy("one", "true", weight)]);
    world.resetting = vec![agent_address(1)];
    for port in FIRST_OWN_PORT..FIRST_OWN_PORT + 20 {
        world.open(port, 0);
        if let Some(agent) = world.accepted_by(port) {
            world.request(port, agent);
        }
        world.run(MILLI);
    }
    let before = world.balancer.counters().further_asked;
    // No other back end is eligible, so that this one gets the flow despite its failures, with
    // the first offer.
    world.open(100, 0);
    world.run(5 * MILLI);
    assert_eq!(world.accepted_by(100), Some(agent_address(1)));
    assert_eq!(world.balancer.counters().further_asked, before);
}

#[test]
fn flows_of_a_weight_whose_back_ends_are_all_busy_go_to_another_weight() {
    let mut world = World::new(12, 2);
    world.zone_of = |_| "b";
    for index in 13..=24 {
        world.start_agent(index);
        world.register(index, 2, false, 1);
    }
    world.run(SECOND);
    let weight = "backend.zone == service.zone ? 1.0 : 0.000001";
    send_policies(&mut world, 1, &[policy("near", "true", weight)]);
    for index in 1..=12 {
        world.fill_from_other_balancer(index, 2);
    }
    // By the outdated load messages at the balancer, all of them have free slots.
    for port in 1..=10 {
        world.open(port, 0);
        world.run(5 * MILLI);
        let agent = world.accepted_by(port).expect("an accepted flow");
        assert!(agent.ip().octets()[3] > 12, "{agent} has no free slot");
    }
}

#[test]
fn a_back_end_that_has_just_started_is_eligible() {
    let mut world = World::new(3, SLOTS);
    world.start_agent(2);
    world.run(SECOND);
    let eligible = "backend.name == ''";
    send_policies(&mut world, 1, &[policy("unnamed", eligible, "1.0")]);
    for port in 1..=3 {
        world.open(port, 0);
        world.run(5 * MILLI);
    }
    assert_eq!(world.without_eligible, Vec::<String>::new());
}

#[test]
fn an_agent_at_the_address_of_a_removed_one_is_evaluated_again() {
    let mut world = labelled_world(2, &[2], "version", "v1");
    let eligible = "has(backend.labels.version) && backend.labels.version == 'v1'";
    send_policies(&mut world, 1, &[policy("v1", eligible, "1.0")]);
    open_flows(&mut world, 1..3);
    world.agents.remove(&agent_address(2));
    run_with_registrations(&mut world, &[1], 12);
    assert_eq!(world.balancer.table_sizes().1, 1);
    // The new agent sends as many updates as the removed one did, so that without distinct
    // revisions a cached result of the removed agent would be used.
    world.start_agent(2);
    world.register(2, SLOTS, false, 1);
    world.run(5 * MILLI);
    register_with_label(&mut world, 2, "version", "v2");
    world.run(SECOND);
    world.open(10, 0);
    world.run(5 * MILLI);
    assert_eq!(world.accepted_by(10), None, "its label has changed");
    let stats = world.balancer.policy_stats();
    assert_eq!(stats[0].eligible, 0);
}

#[test]
fn a_starting_balancer_has_the_policies_once_it_is_up_to_date() {
    let mut world = World::new(3, SLOTS);
    let confirmed = VersionConfirmed {
        confirmation_id: 7,
        version: 3,
        policies: Some(PolicySet {
            index: 9,
            policies: vec![policy("one", "backend.name == 'backend-2'", "1.0")],
        }),
        ..VersionConfirmed::default()
    };
    world.start_balancer_with(confirmed);
    assert!(world.balancer.is_ready(world.now));
    assert_eq!(world.balancer.policies_index(), 9);
    let agents = open_flows(&mut world, 1..10);
    assert!(agents.iter().all(|agent| *agent == agent_address(2)));
}
