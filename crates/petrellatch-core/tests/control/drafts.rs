//! Changes are tried on top of the view without a copy of it.

use assert_matches::assert_matches;
use petrellatch_core::ErrorKind;
use petrellatch_core::cluster::ClusterView;
use petrellatch_core::control::limits::MAX_CONFIGURATION_BYTES;
use petrellatch_core::control::{ChangedView, CommandOutcome, ControlMutations, ControlState};
use petrellatch_core::identity::ServiceId;
use petrellatch_proto::command::{CommandKind, DrainTarget, EditKind};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::changes::{backend, change, drain, policy, put_policy, service};

const NAMES: u32 = 4;

fn name(kind: &str, random: &mut ChaCha8Rng) -> String {
    format!("{kind}-{}", random.random_range(0..NAMES))
}

fn random_edit(random: &mut ChaCha8Rng) -> EditKind {
    let service_name = name("service", random);
    let backend_name = name("backend", random);
    let agent = name("agent", random);
    let port = 9_000 + random.random_range(0..NAMES);
    match random.random_range(0..8) {
        0 => put_policy(&name("policy", random)),
        1 => EditKind::RemovePolicy(name("policy", random)),
        2 | 3 => {
            let mut put = service(&service_name, 8_000 + random.random_range(0..NAMES));
            put.policy = name("policy", random);
            EditKind::PutService(put)
        }
        4 => EditKind::RemoveService(service_name),
        5 => EditKind::PutBackend(backend(&service_name, &backend_name, &agent, port)),
        6 => EditKind::RemoveBackend(backend_name),
        _ => drain(DrainTarget::Backend, &backend_name, random.random()),
    }
}

/// Everything that the checks of a change look up.
fn lookups(after: &ChangedView<'_>) -> Vec<String> {
    let mut found = vec![format!(
        "{} {} {}",
        after.service_count(),
        after.backend_count(),
        after.policy_count()
    )];
    for number in 0..NAMES {
        let policy = format!("policy-{number}");
        let mut services: Vec<u32> = after.services_of_policy(&policy).map(|it| it.id).collect();
        services.sort_unstable();
        let by_name = after.service_by_name(&format!("service-{number}"));
        let id = ServiceId(by_name.map_or(0, |service| service.id));
        let mut backends: Vec<u64> = after.backends_of(id).map(|it| it.id).collect();
        backends.sort_unstable();
        let address = service("any", 8_000 + number).address;
        found.push(format!(
            "{:?} {services:?} {by_name:?} {backends:?} {:?} {:?}",
            after.policy(&policy),
            after.backend_by_name(&format!("backend-{number}")),
            after.service_by_address(address.into()).map(|it| it.id),
        ));
    }
    found
}

/// The lookups in a view without changes on top.
fn plain_lookups(view: &ClusterView) -> Vec<String> {
    lookups(&ChangedView::new(view))
}

#[test]
fn view_after_a_change_is_the_view_that_the_change_leads_to() {
    let mut accepted = 0;
    for seed in 0..40 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut state = ControlState::new(ControlMutations::default());
        for number in 0..300 {
            let count = random.random_range(1..5);
            let edits = (0..count).map(|_| random_edit(&mut random)).collect();
            let change = change(&format!("{number}"), state.config_version(), edits);
            let expected = state.view_after(&change).map(|after| lookups(&after));
            let applied = state.apply(&CommandKind::Change(change).into());
            match expected {
                Ok(expected) => {
                    assert_eq!(plain_lookups(state.view()), expected, "seed {seed}");
                    accepted += 1;
                }
                Err(refusal) => {
                    assert_eq!(applied.outcome, CommandOutcome::Change(Err(refusal)));
                }
            }
        }
        let bytes = state.encode_snapshot();
        let decoded = ControlState::decode_snapshot(&bytes, ControlMutations::default());
        assert_eq!(decoded.expect("sound"), state, "seed {seed}");
    }
    assert!(accepted > 1_000, "{accepted}");
}

#[test]
fn configuration_is_bounded_in_bytes() {
    const LABELS: u32 = 16;
    const BACKENDS_OF_CHANGE: u32 = 9;
    const BACKENDS_OF_SERVICE: u32 = 252;
    let mut state = ControlState::new(ControlMutations::default());
    let mut requests = 0;
    let mut apply = |state: &mut ControlState, edits| {
        requests += 1;
        let change = change(
            &format!("request-{requests}"),
            state.config_version(),
            edits,
        );
        match state.apply(&CommandKind::Change(change).into()).outcome {
            CommandOutcome::Change(answer) => answer,
            other => panic!("{other:?}"),
        }
    };
    let mut edits = vec![EditKind::PutPolicy(policy("even"))];
    let mut refusal = None;
    for number in 0..20_000 {
        let service_name = format!("service-{:03}", number / BACKENDS_OF_SERVICE);
        if number % BACKENDS_OF_SERVICE == 0 {
            let port = 1 + number / BACKENDS_OF_SERVICE;
            edits.push(EditKind::PutService(service(&service_name, port)));
        }
        let name = format!("backend-{number}");
        let mut put = backend(&service_name, &name, &format!("agent-{number}"), 9_000);
        put.backend.labels = (0..LABELS)
            .map(|label| (format!("label-{label}"), "x".repeat(255)))
            .collect();
        edits.push(EditKind::PutBackend(put));
        if number % BACKENDS_OF_CHANGE == BACKENDS_OF_CHANGE - 1
            && let Err(error) = apply(&mut state, std::mem::take(&mut edits))
        {
            refusal = Some(error);
            break;
        }
    }
    let refusal = refusal.expect("the limit is reached");
    assert_eq!(refusal.kind, ErrorKind::TooLarge);
    let bytes: usize = state
        .view()
        .records()
        .iter()
        .map(Message::encoded_len)
        .sum();
    assert!(bytes > MAX_CONFIGURATION_BYTES - 50_000 && bytes < MAX_CONFIGURATION_BYTES * 11 / 10);
    // What makes it smaller is still accepted.
    let smaller = vec![EditKind::RemoveBackend("backend-0".to_owned())];
    assert_matches!(apply(&mut state, smaller), Ok(_));
}
