//! Commands of the leader that make one version together.

use petrellatch_core::control::limits::MAX_DELTA_BYTES;
use petrellatch_core::control::{CommandOutcome, ControlMutations, ControlState, Life};
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_proto::command::{Batch, CommandKind, FenceMember, SetPlacement};
use petrellatch_proto::record::{GenerationRecord, MemberRecord, NodeRole, ShareRecord};
use prost::Message;

use crate::changes::{change, put_policy, service};

fn member(name: &str, incarnation: u64) -> MemberRecord {
    MemberRecord {
        node: NodeId::from_name(name).0,
        incarnation,
        name: name.to_owned(),
        role: NodeRole::Agent as i32,
        ..MemberRecord::default()
    }
}

fn batch(kinds: Vec<CommandKind>) -> CommandKind {
    CommandKind::Batch(Batch {
        commands: kinds.into_iter().map(Into::into).collect(),
    })
}

fn fence(name: &str, incarnation: u64) -> CommandKind {
    CommandKind::FenceMember(FenceMember {
        node: NodeId::from_name(name).0,
        incarnation,
    })
}

#[test]
fn batch_makes_one_version_and_what_has_no_effect_hinders_nothing() {
    let mut state = ControlState::new(ControlMutations::default());
    state.apply(&CommandKind::RegisterMember(member("agent-0", 1)).into());
    let commands = vec![
        fence("agent-9", 1),
        fence("agent-0", 1),
        CommandKind::RegisterMember(member("agent-0", 2)),
        CommandKind::RegisterMember(member("agent-0", 3)),
        CommandKind::RegisterMember(member("agent-1", 1)),
    ];
    let applied = state.apply(&batch(commands).into());
    assert_eq!(applied.outcome, CommandOutcome::Done);
    let delta = applied.delta.expect("it has effects");
    assert_eq!((delta.version, delta.changes.len()), (2, 3));
    assert_eq!(state.view().version(), 2);
    let node = NodeId::from_name("agent-0");
    assert!(state.view().is_member(node, Incarnation(2)));
    assert_eq!(state.registered_at(node), Some(2));
    assert!(state.is_fenced(Life {
        node,
        incarnation: Incarnation(1)
    }));
    let again = state.apply(&batch(vec![fence("agent-9", 1)]).into());
    assert_eq!(again.outcome, CommandOutcome::Ignored);
    assert_eq!(state.view().version(), 2);
}

#[test]
fn operator_changes_and_batches_inside_a_batch_have_no_effect() {
    let mut state = ControlState::new(ControlMutations::default());
    let inner = CommandKind::Change(change("a", 0, vec![put_policy("even")]));
    let nested = batch(vec![CommandKind::RegisterMember(member("agent-0", 1))]);
    let applied = state.apply(&batch(vec![inner, nested]).into());
    assert_eq!(applied.outcome, CommandOutcome::Ignored);
    assert_eq!(state, ControlState::new(ControlMutations::default()));
}

#[test]
fn version_of_a_batch_stays_within_a_message() {
    const SERVICES: u32 = 40;
    let mut state = ControlState::new(ControlMutations::default());
    let services = (0..SERVICES).map(|number| {
        let name = format!("service-{number}");
        petrellatch_proto::command::EditKind::PutService(service(&name, 1 + number))
    });
    let edits = std::iter::once(put_policy("even"))
        .chain(services)
        .collect();
    state.apply(&CommandKind::Change(change("a", 0, edits)).into());
    state.apply(&CommandKind::RegisterMember(member("agent-0", 1)).into());
    let shares = |_| {
        let share = |backend| ShareRecord {
            backend,
            weight: 1,
            node: NodeId::from_name("agent-0").0,
            incarnation: 1,
        };
        (1..=256).map(share).collect()
    };
    let placements = (1..=SERVICES).map(|service| {
        CommandKind::SetPlacement(SetPlacement {
            service,
            generation: GenerationRecord {
                number: 1,
                shares: shares(service),
            },
        })
    });
    let mut rounds = 0;
    while state.view().placements().count() < SERVICES as usize {
        let applied = state.apply(&batch(placements.clone().collect()).into());
        let bytes = applied.delta.expect("more fit").encoded_len();
        assert!(bytes < MAX_DELTA_BYTES + 100, "{bytes}");
        rounds += 1;
    }
    assert!(rounds > 1);
}
