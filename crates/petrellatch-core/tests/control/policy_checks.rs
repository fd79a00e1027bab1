//! Checks of policies for many services, which must not hold up the leader.

use std::time::Duration;

use assert_matches::assert_matches;
use petrellatch_core::ErrorKind;
use petrellatch_core::control::{ControlSettings, OperatorRequest, OperatorResponse};
use petrellatch_core::policy::PolicySource;
use petrellatch_proto::command::{DrainTarget, EditKind};
use petrellatch_proto::record::PolicyRecord;

use crate::changes::{backend, drain, policy, put_policy, request, service};
use crate::cluster::Cluster;

const SERVICES: u32 = 60;
const LIMIT: Duration = Duration::from_secs(10);

/// A policy that fails for a back end with `cores` of the wrong form.
fn by_cores() -> PolicyRecord {
    PolicyRecord {
        weight: "\"cores\" in backend.labels ? double(backend.labels[\"cores\"]) : 1.0".to_owned(),
        ..policy("even")
    }
}

fn service_name(number: u32) -> String {
    format!("service-{number}")
}

/// A cluster with many services of one policy. The back end of the last one
/// has a label that is no number.
fn start() -> Cluster {
    let mut cluster = Cluster::new(1, ControlSettings::default());
    let mut edits = vec![put_policy("even")];
    for number in 0..SERVICES {
        let name = service_name(number);
        edits.push(EditKind::PutService(service(&name, 1_000 + number)));
        let mut edit = backend(
            &name,
            &format!("backend-{number}"),
            "agent-0",
            2_000 + number,
        );
        if number == SERVICES - 1 {
            let label = ("cores".to_owned(), "many".to_owned());
            edit.backend.labels.extend([label]);
        }
        edits.push(EditKind::PutBackend(edit));
    }
    cluster.ask(request("start", 0, edits)).expect("accepted");
    cluster
}

#[test]
fn another_change_need_not_wait_until_a_policy_is_checked_for_all_services() {
    let mut cluster = start();
    let leader = cluster.leader().expect("a leader");
    let based_on = cluster.config_version();
    let large = cluster.submit(leader, request("large", based_on, vec![put_policy("even")]));
    let edits = vec![drain(DrainTarget::Backend, "backend-0", true)];
    let small = cluster.submit(leader, request("small", based_on, edits));
    cluster.run_until(LIMIT, "answers", |it| {
        it.responses.contains_key(&large) && it.responses.contains_key(&small)
    });
    assert_matches!(&cluster.responses[&small], Ok(OperatorResponse::Changed(_)));
    assert_matches!(&cluster.responses[&large], Err(error) if error.kind == ErrorKind::Conflict);
}

#[test]
fn policy_is_checked_for_the_last_service_too() {
    let mut cluster = start();
    let based_on = cluster.config_version();
    let edits = vec![EditKind::PutPolicy(by_cores())];
    let refusal = cluster.ask(request("cores", based_on, edits));
    assert_matches!(&refusal, Err(error) if error.kind == ErrorKind::InvalidPolicy);
    let accepted = cluster.ask(request("even", based_on, vec![put_policy("even")]));
    assert_matches!(accepted, Ok(OperatorResponse::Changed(_)));
}

#[test]
fn policy_is_checked_without_effect_for_all_services() {
    let mut cluster = start();
    let mut check = |record: PolicyRecord| {
        cluster.ask(OperatorRequest::CheckPolicy {
            policy: PolicySource {
                eligible: record.eligible,
                weight: record.weight,
            },
            service: None,
        })
    };
    assert_matches!(check(policy("even")), Ok(OperatorResponse::PolicyAccepted));
    assert_matches!(check(by_cores()), Err(error) if error.kind == ErrorKind::InvalidPolicy);
}

#[test]
fn check_ends_with_the_leadership_and_the_answer_says_who_to_ask() {
    let mut cluster = start();
    let leader = cluster.leader().expect("a leader");
    let based_on = cluster.config_version();
    let large = cluster.submit(leader, request("large", based_on, vec![put_policy("even")]));
    cluster.stop(leader);
    assert_matches!(&cluster.responses[&large], Err(error) if error.kind == ErrorKind::NotLeader);
    let again = cluster.ask(request("large", based_on, vec![put_policy("even")]));
    assert_matches!(again, Ok(OperatorResponse::Changed(_)));
}
