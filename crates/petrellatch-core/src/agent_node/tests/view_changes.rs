//! Single changes lead to the same state as the whole view.

use std::time::Duration;

use petrellatch_proto::record::{Record, RecordChange, RecordKey};

use crate::agent_node::AgentNode;
use crate::dissemination::StoredView;
use crate::identity::NodeId;

use super::control_stub::backend;
use super::world::{DESK, GALLERY, World};

/// Compares an agent that saw every change with one that starts with the
/// newest view.
fn assert_like_fresh(world: &World, name: &str) {
    let agent = &world.agents[name];
    let view = agent.link().view();
    assert_eq!(view.version(), world.control.view.version());
    let identity = agent.link().identity().clone();
    let stored = Some(StoredView::of(view));
    let fresh = AgentNode::new(world.now, world.settings.clone(), identity, 1, stored);
    let backends = |agent: &AgentNode| {
        let local = agent.backends.iter();
        local
            .map(|(id, it)| (*id, it.record.clone()))
            .collect::<Vec<_>>()
    };
    let services = |agent: &AgentNode| {
        let services = agent.services.iter();
        services
            .map(|(id, it)| {
                (
                    *id,
                    it.record.clone(),
                    it.candidates.clone(),
                    it.admission.generation(),
                )
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(backends(agent), backends(&fresh));
    assert_eq!(services(agent), services(&fresh));
    assert_eq!(agent.service_of_address, fresh.service_of_address);
    for node in ["a", "b", "c"].map(NodeId::from_name) {
        assert_eq!(agent.directory.member(node), fresh.directory.member(node));
    }
}

#[test]
fn changes_lead_to_the_same_state_as_the_whole_view() {
    let mut world = World::new(61, 3);
    let step = |world: &mut World| {
        world.publish();
        world.run(Duration::from_millis(200));
        for name in ["a", "b"] {
            assert_like_fresh(world, name);
        }
    };
    step(&mut world);
    world.control.place(GALLERY, &[(9, 1_000)], 0);
    step(&mut world);
    let mut draining = backend(2, DESK, "b");
    draining.draining = true;
    world.control.put(Record::Backend(draining));
    step(&mut world);
    // A back end moves from one machine to another.
    world.control.put(Record::Backend(backend(3, DESK, "a")));
    step(&mut world);
    world
        .control
        .place(DESK, &[(1, 1_000), (2, 0), (3, 500)], 1);
    step(&mut world);
    world.control.fence(NodeId::from_name("c"));
    step(&mut world);
    let remove = |key: RecordKey| RecordChange {
        put: None,
        remove: Some(key),
    };
    world.control.commit(remove(RecordKey::Backend(9)));
    step(&mut world);
    world.control.commit(remove(RecordKey::Placement(GALLERY)));
    world.control.commit(remove(RecordKey::Service(GALLERY)));
    step(&mut world);
}
