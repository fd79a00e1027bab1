//! Balancers with agents whose back ends return SYNs.

use super::world::{World, agent_address};

#[test]
fn an_agent_whose_back_end_returned_a_syn_is_deprioritized() {
    let mut world = World::new(4, 8);
    let returning = agent_address(1);
    world.returning_syns = vec![returning];
    // The others have 24 slots.
    for port in 1..=20 {
        world.open(port, 0);
    }
    let returned = world.backends[&returning].received.len();
    assert!(returned <= 1, "{returned} flows were offered to it");
    for port in 1..=20 {
        assert!(world.accepted_by(port).is_some());
    }
}
