//! Changes of placement policies in a replica group: an acknowledged change is applied at all
//! replicas, and a refused one has no effect.

use std::time::Duration;

use petrellatch_core::pass_through::{
    ConfigurationRequest, ConfigurationResponse, MAX_PLACEMENT_POLICIES, PolicyRefusal,
};
use petrellatch_proto::pass_through::{
    AgentState, BackendDescription, LoadMessage, PassThroughBody, PlacementPolicy, Report,
    Subscribe, pack_address,
};
use proptest::prelude::*;

use super::group::{Group, address};

const SECOND: Duration = Duration::from_secs(1);
/// Indexes of the machines with an agent and with a balancer.
const AGENT: u8 = 120;
const BALANCER: u8 = 130;

fn policy(name: &str, eligible: &str, services: &[&str]) -> PlacementPolicy {
    PlacementPolicy {
        name: name.to_owned(),
        eligible: eligible.to_owned(),
        weight: "1.0".to_owned(),
        services: services.iter().map(|it| (*it).to_owned()).collect(),
        routes: Vec::new(),
    }
}

fn put(policy: &PlacementPolicy, base_index: Option<u64>) -> ConfigurationRequest {
    ConfigurationRequest::PutPolicy {
        policy: policy.clone(),
        base_index,
    }
}

fn remove(name: &str) -> ConfigurationRequest {
    ConfigurationRequest::RemovePolicy {
        name: name.to_owned(),
        base_index: None,
    }
}

fn start_group(count: u8) -> Group {
    let mut group = Group::start(count);
    group.replace(3, 1);
    group.run_until(10 * SECOND, "all vote", |it| {
        it.voters().len() == usize::from(count)
    });
    group
}

fn leader(group: &mut Group) -> u8 {
    group.run_until(10 * SECOND, "a leader", |it| it.leader().is_some());
    group.leader().expect("a leader")
}

/// Sends a request to the leader and waits for its response.
fn send_request(group: &mut Group, request: ConfigurationRequest) -> ConfigurationResponse {
    let leader = leader(group);
    let token = group.request(leader, request);
    group.run_until(2 * SECOND, "a response", |it| it.response(token).is_some());
    group.response(token).expect("a response").clone()
}

fn changed_index(response: &ConfigurationResponse) -> u64 {
    match response {
        ConfigurationResponse::PolicyChanged { index, .. } => *index,
        other => panic!("not accepted: {other:?}"),
    }
}

fn names_at(group: &Group, replica: u8) -> Vec<String> {
    let policies = group.node(replica).policies();
    policies.iter().map(|it| it.name.clone()).collect()
}

#[test]
fn an_accepted_policy_reaches_all_replicas_and_survives_their_restart() {
    let mut group = start_group(3);
    let near = policy("near", "true", &["desk"]);
    changed_index(&send_request(&mut group, put(&near, None)));
    group.run(SECOND);
    for replica in 1..=3 {
        assert_eq!(names_at(&group, replica), ["near"]);
    }
    for replica in 1..=3 {
        group.kill(replica);
    }
    for replica in 1..=3 {
        group.restart(replica);
    }
    let leader = leader(&mut group);
    group.run(SECOND);
    assert_eq!(names_at(&group, leader), ["near"]);
}

#[test]
fn a_policy_reaches_an_empty_replica_in_a_snapshot() {
    let mut group = start_group(5);
    changed_index(&send_request(
        &mut group,
        put(&policy("near", "true", &["desk"]), None),
    ));
    let first = leader(&mut group);
    for version in 10..1_300 {
        group.replace(version, 1);
    }
    group.wipe(first);
    group.restart(first);
    group.run(4 * SECOND);
    assert_eq!(names_at(&group, first), ["near"]);
}

#[test]
fn a_repeated_change_is_acknowledged_and_has_no_effect() {
    let mut group = start_group(3);
    let near = policy("near", "true", &["desk"]);
    let first = changed_index(&send_request(&mut group, put(&near, None)));
    // The response is regarded as lost, and the operator repeats the change.
    assert_eq!(
        changed_index(&send_request(&mut group, put(&near, None))),
        first
    );
    let removed = changed_index(&send_request(&mut group, remove("near")));
    assert_eq!(
        changed_index(&send_request(&mut group, remove("near"))),
        removed
    );
}

#[test]
fn of_two_changes_with_the_same_base_one_is_refused() {
    let mut group = start_group(3);
    let base = changed_index(&send_request(
        &mut group,
        put(&policy("near", "true", &["desk"]), None),
    ));
    let leader = leader(&mut group);
    let far = policy("near", "backend.zone == 'far'", &["desk"]);
    let old = policy("near", "backend.age_seconds > 60.0", &["desk"]);
    let tokens = [
        group.request(leader, put(&far, Some(base))),
        group.request(leader, put(&old, Some(base))),
    ];
    group.run(SECOND);
    let responses = tokens.map(|token| group.response(token).expect("a response").clone());
    let index = changed_index(&responses[0]);
    let refusal = PolicyRefusal::Conflict {
        based_on: base,
        current: index,
    };
    assert_eq!(responses[1], ConfigurationResponse::PolicyRefused(refusal));
    let stored = group.node(leader).policies().for_service("desk").cloned();
    assert_eq!(stored, Some(far));
}

#[test]
fn invalid_policies_are_refused_with_the_position_of_the_error() {
    let mut group = start_group(3);
    for wrong in [
        "1.0 +",
        "backend.slots",
        "slots > 2",
        "backend.labels.x == 'y'",
    ] {
        match send_request(&mut group, put(&policy("wrong", wrong, &["desk"]), None)) {
            ConfigurationResponse::PolicyRefused(PolicyRefusal::Invalid { message }) => {
                assert!(message.contains("eligible, line 1"), "{wrong}: {message}");
            }
            other => panic!("{wrong}: {other:?}"),
        }
    }
    let leader = leader(&mut group);
    assert_eq!(group.node(leader).policies().index(), 0);
    let valid = ConfigurationRequest::CheckPolicy(policy("sound", "true", &[]));
    assert_eq!(
        send_request(&mut group, valid),
        ConfigurationResponse::PolicyValid
    );
}

#[test]
fn a_service_has_one_policy_and_the_number_of_policies_is_limited() {
    let mut group = start_group(3);
    changed_index(&send_request(
        &mut group,
        put(&policy("near", "true", &["desk"]), None),
    ));
    let second = send_request(&mut group, put(&policy("far", "true", &["desk"]), None));
    assert!(matches!(
        second,
        ConfigurationResponse::PolicyRefused(PolicyRefusal::SharedScope { .. })
    ));
    for number in 1..MAX_PLACEMENT_POLICIES {
        changed_index(&send_request(
            &mut group,
            put(&policy(&format!("p{number}"), "true", &[]), None),
        ));
    }
    let more = send_request(&mut group, put(&policy("more", "true", &[]), None));
    let refusal = ConfigurationResponse::PolicyRefused(PolicyRefusal::TooLarge);
    assert_eq!(more, refusal);
}

#[test]
fn subscribed_balancers_are_notified_of_policies_that_they_lack() {
    let mut group = start_group(3);
    let leader = leader(&mut group);
    let subscribe = |known| {
        PassThroughBody::Subscribe(Subscribe {
            incarnation: 1,
            wants_updates: true,
            policies_index: known,
            ..Subscribe::default()
        })
    };
    group.receive(leader, BALANCER, subscribe(0));
    group.sent_to_daemons.clear();
    let index = changed_index(&send_request(
        &mut group,
        put(&policy("near", "true", &["desk"]), None),
    ));
    let sent_indexes = |group: &Group| {
        let sent = group.sent_to_daemons.iter();
        let sent_indexes = sent.filter_map(|(_, _, body)| match body {
            PassThroughBody::GroupStatus(group) => group.policies.as_ref().map(|it| it.index),
            _ => None,
        });
        sent_indexes.collect::<Vec<u64>>()
    };
    assert_eq!(sent_indexes(&group), [index]);
    group.sent_to_daemons.clear();
    group.receive(leader, BALANCER, subscribe(index));
    assert!(sent_indexes(&group).is_empty());
    group.receive(leader, BALANCER, subscribe(0));
    assert_eq!(sent_indexes(&group), [index]);
}

#[test]
fn the_confirmation_of_the_newest_version_contains_the_policies() {
    let mut group = start_group(3);
    let index = changed_index(&send_request(
        &mut group,
        put(&policy("near", "true", &["desk"]), None),
    ));
    let leader = leader(&mut group);
    group.sent_to_daemons.clear();
    let poll = Subscribe {
        incarnation: 1,
        confirmation_id: 5,
        policies_index: index,
        ..Subscribe::default()
    };
    group.receive(leader, BALANCER, PassThroughBody::Subscribe(poll));
    group.run(SECOND);
    let confirmed = group
        .sent_to_daemons
        .iter()
        .find_map(|(_, _, body)| match body {
            PassThroughBody::VersionConfirmed(confirmed) => Some(confirmed),
            _ => None,
        });
    let policies = confirmed.expect("a confirmation").policies.as_ref();
    assert_eq!(policies.map(|it| it.index), Some(index));
}

#[test]
fn an_isolated_leader_accepts_no_change() {
    let mut group = start_group(3);
    let first = leader(&mut group);
    group.cut_off(first);
    let token = group.request(first, put(&policy("near", "true", &["desk"]), None));
    group.run(3 * SECOND);
    let response = group.response(token);
    assert_eq!(response, Some(&ConfigurationResponse::Unavailable));
    group.heal();
    group.run(3 * SECOND);
    for replica in 1..=3 {
        assert!(names_at(&group, replica).is_empty());
    }
}

#[test]
fn an_explanation_names_the_condition_and_the_age_of_its_inputs() {
    let mut group = start_group(3);
    changed_index(&send_request(
        &mut group,
        put(
            &policy("new", "true && backend.labels.size() > 0", &["desk"]),
            None,
        ),
    ));
    let leader = leader(&mut group);
    let report = Report {
        address: pack_address(address(AGENT)),
        incarnation: 1,
        sequence: 1,
        service: "desk".to_owned(),
        zone: "a".to_owned(),
        state: AgentState::Ready.into(),
        load: LoadMessage {
            slots: 4,
            ..LoadMessage::default()
        },
        backend: Some(BackendDescription {
            name: "desk-1".to_owned(),
            ..BackendDescription::default()
        }),
        ..Report::default()
    };
    group.receive(leader, AGENT, PassThroughBody::Report(report));
    group.run(300 * Duration::from_millis(1));
    let request = ConfigurationRequest::ExplainPolicy {
        service: "desk".to_owned(),
    };
    let ConfigurationResponse::PolicyExplained(explained) = send_request(&mut group, request)
    else {
        panic!("no explanation");
    };
    assert_eq!(explained.policy, "new");
    let backend = &explained.backends[0];
    assert_eq!(backend.explanation.name, "desk-1");
    let text = backend.explanation.explanation.to_string();
    assert!(
        text.contains("backend.labels.size() > 0 is false"),
        "{text}"
    );
    assert!(backend.age_millis >= 300);
}

#[test]
fn a_change_based_on_no_policies_is_refused_once_there_is_one() {
    let mut group = start_group(3);
    let near = policy("near", "true", &["desk"]);
    let index = changed_index(&send_request(&mut group, put(&near, Some(0))));
    let far = policy("near", "false", &["desk"]);
    let refusal = PolicyRefusal::Conflict {
        based_on: 0,
        current: index,
    };
    assert_eq!(
        send_request(&mut group, put(&far, Some(0))),
        ConfigurationResponse::PolicyRefused(refusal)
    );
    let again = ConfigurationResponse::PolicyChanged {
        index,
        changed: false,
    };
    assert_eq!(send_request(&mut group, put(&near, Some(0))), again);
}

#[derive(Clone, Debug)]
enum Operation {
    Put(u8, u8),
    Remove(u8),
    KillLeader,
}

fn operation() -> impl Strategy<Value = Operation> {
    prop_oneof![
        4 => (0..3_u8, 0..4_u8).prop_map(|(name, text)| Operation::Put(name, text)),
        2 => (0..3_u8).prop_map(Operation::Remove),
        1 => Just(Operation::KillLeader),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 12,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    })]

    /// Acknowledged changes are applied in the order of their acknowledgements, and the index
    /// never decreases, also when leaders are killed.
    #[test]
    fn acknowledged_changes_are_applied_and_the_index_increases(
        operations in prop::collection::vec(operation(), 1..14)
    ) {
        let mut group = start_group(3);
        let mut stored = std::collections::BTreeMap::new();
        let mut last = 0;
        for operation in operations {
            let (name, expected, request) = match operation {
                Operation::KillLeader => {
                    let leader = leader(&mut group);
                    group.kill(leader);
                    group.restart(leader);
                    continue;
                }
                Operation::Put(name, text) => {
                    let name = format!("p{name}");
                    let put_policy = policy(&name, &format!("backend.slots > {text}.0"), &[]);
                    (name, Some(put_policy.clone()), put(&put_policy, None))
                }
                Operation::Remove(name) => {
                    let name = format!("p{name}");
                    (name.clone(), None, remove(&name))
                }
            };
            let index = loop {
                match send_request(&mut group, request.clone()) {
                    ConfigurationResponse::PolicyChanged { index, .. } => break index,
                    // Operators send the request again unchanged.
                    ConfigurationResponse::Unavailable
                    | ConfigurationResponse::NotLeader { .. } => {}
                    other => panic!("{other:?}"),
                }
            };
            prop_assert!(index >= last);
            last = index;
            match expected {
                Some(policy) => stored.insert(name, policy),
                None => stored.remove(&name),
            };
            let read = match send_request(&mut group, ConfigurationRequest::ReadPolicies) {
                ConfigurationResponse::Policies(read) => read,
                other => panic!("{other:?}"),
            };
            let read = read.policies.into_iter().map(|it| (it.name.clone(), it));
            prop_assert_eq!(read.collect::<std::collections::BTreeMap<_, _>>(), stored.clone());
        }
    }
}

#[test]
fn a_policy_that_is_too_large_for_the_log_is_refused() {
    let mut group = start_group(3);
    let names: Vec<String> = (0..8_000).map(|it| format!("service-{it}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let refusal = ConfigurationResponse::PolicyRefused(PolicyRefusal::TooLarge);
    for count in [2_000, 8_000] {
        let large = policy("large", "true", &names[..count]);
        assert_eq!(send_request(&mut group, put(&large, None)), refusal);
    }
    let leader = leader(&mut group);
    assert_eq!(group.node(leader).policies().index(), 0);
}
