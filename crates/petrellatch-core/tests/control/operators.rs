//! Operators that race, resend and overload.

use std::time::Duration;

use assert_matches::assert_matches;
use petrellatch_core::ErrorKind;
use petrellatch_core::control::{
    ControlMutations, ControlSettings, OperatorRequest, OperatorResponse,
};
use petrellatch_proto::command::EditKind;
use petrellatch_proto::record::PolicyRecord;

use crate::changes::{desk, put_policy, request};
use crate::cluster::{Cluster, ROUGH, RequestResult, control_address};

fn accepted_version(result: &RequestResult) -> u64 {
    match result {
        Ok(OperatorResponse::Changed(accepted)) => accepted.version,
        other => panic!("not accepted: {other:?}"),
    }
}

fn with_mutations(mutations: ControlMutations) -> ControlSettings {
    ControlSettings {
        mutations,
        ..ControlSettings::default()
    }
}

/// Submits two changes with equal versions and returns how many won.
fn race(seed: u64, mutations: ControlMutations) -> (usize, Vec<RequestResult>) {
    let mut cluster = Cluster::new(seed, with_mutations(mutations));
    let limit = Duration::from_secs(10);
    cluster.run_until(limit, "a leader", |it| it.leader().is_some());
    let leader = cluster.leader().expect("just found");
    let tokens: Vec<u64> = (0..5)
        .map(|number| {
            let edits = vec![put_policy(&format!("policy-{number}"))];
            cluster.submit(leader, request(&format!("race-{number}"), 0, edits))
        })
        .collect();
    cluster.run_until(limit, "answers", |it| it.responses.len() == tokens.len());
    let results: Vec<RequestResult> = tokens
        .iter()
        .map(|token| cluster.responses[token].clone())
        .collect();
    (results.iter().filter(|it| it.is_ok()).count(), results)
}

#[test]
fn of_racing_changes_one_wins_and_the_others_learn_the_version() {
    for seed in 0..5 {
        let (winners, results) = race(seed, ControlMutations::default());
        assert_eq!(winners, 1);
        let version = accepted_version(results.iter().find(|it| it.is_ok()).expect("a winner"));
        for error in results.iter().filter_map(|it| it.as_ref().err()) {
            assert_eq!(error.kind, ErrorKind::Conflict);
            assert_eq!(error.config_version, Some(version));
        }
    }
    let faulty = ControlMutations {
        ignore_based_on: true,
        ..ControlMutations::default()
    };
    assert_eq!(race(1, faulty).0, 5, "the fault for the lab shows");
}

/// Loses the leader just after it got a change, and resends the change to the
/// next one until it is answered. Returns all accepted versions.
fn resend_over_failover(seed: u64, mutations: ControlMutations) -> Vec<u64> {
    let mut cluster = Cluster::new(seed, with_mutations(mutations));
    cluster.faults = ROUGH;
    let limit = Duration::from_secs(20);
    cluster.run_until(limit, "a leader", |it| it.leader().is_some());
    let first = cluster.leader().expect("just found");
    let resend = || request("same", 0, vec![put_policy("once")]);
    let token = cluster.submit(first, resend());
    // The change may or may not reach a quorum in this time.
    cluster.run_for(Duration::from_millis(seed % 12));
    cluster.crash(first);
    let mut versions: Vec<u64> = cluster
        .responses
        .get(&token)
        .map(accepted_version)
        .into_iter()
        .collect();
    while versions.len() < 3 {
        match cluster.ask(resend()) {
            Ok(OperatorResponse::Changed(accepted)) => versions.push(accepted.version),
            Err(error) => assert!(error.kind.response().retryable, "{error:?}"),
            Ok(other) => panic!("{other:?}"),
        }
    }
    versions
}

#[test]
fn resent_change_gets_the_first_answer_after_the_leader_was_lost() {
    for seed in 0..24 {
        let versions = resend_over_failover(seed, ControlMutations::default());
        assert!(
            versions.iter().all(|version| *version == versions[0]),
            "seed {seed}: {versions:?}"
        );
    }
    let faulty = ControlMutations {
        no_request_dedupe: true,
        ignore_based_on: true,
        ..ControlMutations::default()
    };
    let versions = resend_over_failover(3, faulty);
    assert!(versions[0] != versions[1], "the fault for the lab shows");
}

#[test]
fn refusals_are_repeated_and_a_reused_id_is_invalid() {
    let mut cluster = Cluster::new(1, ControlSettings::default());
    cluster
        .ask(request("a", 0, vec![put_policy("even")]))
        .expect("accepted");
    let late = || request("b", 0, vec![put_policy("late")]);
    let refusal = cluster.ask(late());
    assert_matches!(&refusal, Err(error) if error.kind == ErrorKind::Conflict);
    cluster
        .ask(request("c", 1, vec![put_policy("odd")]))
        .expect("accepted");
    assert_eq!(
        cluster.ask(late()),
        refusal,
        "with the version of that time"
    );

    let other = cluster.ask(request("a", 2, vec![put_policy("other")]));
    assert_matches!(other, Err(error) if error.kind == ErrorKind::Invalid);

    let bad = || {
        let policy = PolicyRecord {
            name: "bad".to_owned(),
            eligible: "true".to_owned(),
            weight: "backend.unknown".to_owned(),
        };
        request("d", 2, vec![EditKind::PutPolicy(policy)])
    };
    let refusal = cluster.ask(bad());
    assert_matches!(&refusal, Err(error) if error.kind == ErrorKind::InvalidPolicy
        && error.message.contains("unknown"));
    assert_eq!(cluster.ask(bad()), refusal);
}

#[test]
fn overload_is_refused_at_once() {
    let mut cluster = Cluster::new(1, ControlSettings::default());
    cluster
        .ask(request("a", 0, vec![put_policy("even")]))
        .expect("accepted");
    let leader = cluster.leader().expect("a leader");
    let tokens: Vec<u64> = (0..100)
        .map(|number| {
            let edits = vec![put_policy("even")];
            cluster.submit(leader, request(&format!("flood-{number}"), 1, edits))
        })
        .collect();
    let refused = tokens
        .iter()
        .filter_map(|token| cluster.responses.get(token));
    let refused: Vec<&RequestResult> = refused.collect();
    assert_eq!(
        refused.len(),
        100 - ControlSettings::default().request_limit
    );
    for result in refused {
        assert_matches!(result, Err(error)
            if error.kind == ErrorKind::Overloaded && error.retry_after.is_some());
    }
    cluster.run_for(Duration::from_secs(1));
    assert!(
        tokens
            .iter()
            .all(|token| cluster.responses.contains_key(token))
    );
}

#[test]
fn cut_off_leader_serves_no_stale_read_and_accepts_nothing() {
    for seed in 0..10 {
        let mut cluster = Cluster::new(seed, ControlSettings::default());
        cluster
            .ask(request("a", 0, vec![put_policy("even")]))
            .expect("accepted");
        let old = cluster.leader().expect("a leader");
        cluster.cut.insert(control_address(old));
        let early = cluster.submit(old, OperatorRequest::ReadConfiguration);
        let change = cluster.submit(old, request("lost", 1, vec![put_policy("lost")]));
        cluster
            .ask(request("b", 1, vec![put_policy("odd")]))
            .expect("accepted elsewhere");
        let late = cluster.submit(old, OperatorRequest::ReadConfiguration);
        cluster.run_for(Duration::from_secs(6));
        for token in [early, change, late] {
            assert_matches!(&cluster.responses[&token], Err(error)
                if error.kind == ErrorKind::Unavailable || error.kind == ErrorKind::NotLeader);
        }
    }
}

#[test]
fn accepted_changes_survive_crashes_of_control_nodes() {
    for seed in 0..12 {
        let mut cluster = Cluster::new(seed, ControlSettings::default());
        cluster.faults = ROUGH;
        cluster.ask(request("start", 0, desk(2))).expect("accepted");
        let mut accepted = Vec::new();
        for number in 0..30 {
            let name = format!("policy-{number}");
            let based_on = cluster.config_version();
            let change = request(&name, based_on, vec![put_policy(&name)]);
            if number % 5 == 4 {
                let victim = (number as usize + seed as usize) % 3;
                cluster.crash(victim);
                cluster.run_for(Duration::from_millis(40 * seed));
                cluster.start(victim);
            }
            if cluster.ask(change).is_ok() {
                accepted.push(name);
            }
        }
        assert!(accepted.len() > 15, "seed {seed}: {}", accepted.len());
        cluster.run_for(Duration::from_secs(2));
        let result = cluster.ask(OperatorRequest::ReadConfiguration);
        assert_matches!(result, Ok(OperatorResponse::Configuration(_)));
        for name in &accepted {
            assert!(cluster.view().policy(name).is_some(), "seed {seed}: {name}");
        }
    }
}
