//! Flows without any trouble.

use std::time::Duration;

use smoltcp::socket::tcp::State;

use super::world::World;

#[test]
fn callers_get_the_answers_to_their_own_requests() {
    let mut world = World::new(1, 3);
    for number in 0..60 {
        world.call(number, &format!("request-{number}\n"));
        world.run(Duration::from_millis(10));
    }
    world.run(Duration::from_secs(2));
    for number in 0..60 {
        let text = world.caller(number).text();
        assert!(text.ends_with(&format!(":request-{number};")), "{text}");
        assert_eq!(world.requests_like(&format!("request-{number}")), 1);
    }
}

#[test]
fn both_directions_end_in_good_order() {
    let mut world = World::new(2, 2);
    world.call(1, "only\n");
    world.run(Duration::from_secs(1));
    world.caller(1).finish();
    world.say(1, "");
    world.run(Duration::from_secs(12));
    assert_eq!(world.caller(1).state(), State::Closed);
    let open: usize = world.agents.values().map(|it| it.open_flows()).sum();
    assert_eq!(open, 0);
}
