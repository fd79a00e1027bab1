//! Replicas that remember which agents there were: when a directory is whole after
//! replicas have started again.

use std::time::Duration;

use petrellatch_proto::pass_through::{SavedDaemons, pack_address};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::site::{REPLICAS, Site, agent_address};
use super::world::MILLI;

const SECOND: Duration = Duration::from_secs(1);
const AGENTS: u16 = 56;
/// With so many agents all have reported by themselves after this.
const ALL_REPORTED: Duration = Duration::from_millis(1_200);

/// Starts all agents of a site that has lost its power, one shortly after the other.
fn return_agents(site: &mut Site, agents: u16) {
    for index in 1..=agents {
        site.start_agent(index, 1);
        if index % agents.div_ceil(40) == 0 {
            site.run(5 * MILLI);
        }
    }
}

#[test]
fn the_first_dead_flow_is_told_soon_after_the_first_balancer_is_current() {
    for agents in [56, 204, 690] {
        let mut site = Site::new(agents);
        site.lose_power();
        site.run(SECOND);
        site.start_replicas();
        site.run(100 * MILLI);
        return_agents(&mut site, agents);
        site.run(200 * MILLI);
        site.start_balancer();
        site.request(1);
        site.run(150 * MILLI);
        assert_eq!(site.resets, 1, "{agents} agents");
        assert_eq!(site.packets_to_backends.len(), 0, "nobody may have it");
    }
}

#[test]
fn agents_that_run_on_report_at_once_to_replicas_that_start() {
    let mut site = Site::new(690);
    site.run(20 * SECOND);
    site.stop_replicas();
    site.run(5 * SECOND);
    site.start_replicas();
    let time = site.time_until_complete(REPLICAS.len(), 4 * SECOND);
    assert!(time.is_some(), "not by the time between two reports");
}

#[test]
fn a_remembered_agent_that_stays_away_is_waited_for() {
    let mut site = Site::new(AGENTS);
    site.lose_power();
    site.run(SECOND);
    site.start_replicas();
    return_agents(&mut site, AGENTS - 1);
    let limit = ALL_REPORTED - 200 * MILLI;
    assert_eq!(site.time_until_complete(1, limit - 200 * MILLI), None);
    assert!(
        site.time_until_complete(3, 2 * SECOND).is_some(),
        "not for ever"
    );
}

#[test]
fn an_agent_that_joined_after_the_last_save_and_runs_on_keeps_its_flows() {
    for outage in [MILLI, 250 * MILLI, SECOND, 4 * SECOND, 30 * SECOND] {
        let mut site = Site::new(AGENTS);
        let memories = site.saved_daemons.clone();
        let young = AGENTS + 1;
        site.start_agent(young, 100);
        site.run(20 * MILLI);
        site.saved_daemons = memories;
        site.stop_replicas();
        site.run(outage);
        site.start_replicas();
        site.start_balancer();
        for _ in 0..20 {
            site.request(1);
            site.run(100 * MILLI);
        }
        assert_eq!(site.resets, 0, "after {outage:?}");
        assert!(
            site.packets_to_backends.contains(&agent_address(young)),
            "it is asked"
        );
    }
}

#[test]
fn a_replica_that_was_down_when_an_agent_joined_waits_for_it() {
    let mut site = Site::new(AGENTS);
    let stale = site.saved_daemons[&REPLICAS[0]].clone();
    site.replicas.remove(&REPLICAS[0]);
    let young = AGENTS + 1;
    site.start_agent(young, 100);
    site.run(10 * SECOND);
    site.saved_daemons.insert(REPLICAS[0], stale);
    site.lose_power();
    site.run(SECOND);
    site.start_replicas();
    return_agents(&mut site, AGENTS);
    assert_eq!(
        site.time_until_complete(1, ALL_REPORTED - 400 * MILLI),
        None
    );
    site.start_agent(young, 100);
    assert!(site.time_until_complete(3, 600 * MILLI).is_some());
}

#[test]
fn a_replica_that_is_cut_off_from_the_others_waits_for_the_reports_of_all() {
    let mut site = Site::new(AGENTS);
    site.lose_power();
    site.run(SECOND);
    site.start_replica(REPLICAS[0]);
    return_agents(&mut site, AGENTS);
    assert_eq!(
        site.time_until_complete(1, ALL_REPORTED - 400 * MILLI),
        None
    );
}

#[test]
fn replicas_whose_memories_are_lost_or_unreadable_wait_for_the_time() {
    for memory in [None, Some(vec![0xFF; 9])] {
        let mut site = Site::new(AGENTS);
        site.lose_power();
        site.saved_daemons.clear();
        if let Some(memory) = memory {
            site.saved_daemons = REPLICAS.map(|it| (it, memory.clone())).into();
        }
        site.run(SECOND);
        site.start_replicas();
        return_agents(&mut site, AGENTS);
        assert_eq!(site.time_until_complete(1, 350 * MILLI), None);
        assert!(site.time_until_complete(3, 2 * SECOND).is_some());
    }
}

fn remembers(site: &Site, agent: u16) -> bool {
    let agent = pack_address(agent_address(agent));
    let is_remembered = |memory: &Vec<u8>| {
        let memory = SavedDaemons::decode(memory.as_slice()).expect("readable");
        memory.agents.contains(&agent)
    };
    site.saved_daemons.values().all(is_remembered)
}

#[test]
fn what_is_remembered_follows_new_agents_and_those_that_leave() {
    let mut site = Site::new(AGENTS);
    let young = AGENTS + 1;
    site.start_agent(young, 1);
    site.run(300 * MILLI);
    assert!(remembers(&site, young));
    let now = site.now;
    let agent = site.agents.get_mut(&agent_address(young)).expect("known");
    agent.begin_stop(now);
    site.run(300 * MILLI);
    assert!(site.agents[&agent_address(young)].is_stopped());
    assert!(
        !remembers(&site, young),
        "it has left, and its back end has no flows"
    );
    site.agents.remove(&agent_address(1));
    site.run(20 * SECOND);
    assert!(remembers(&site, 1), "it may be cut off");
}

#[test]
fn agents_that_come_and_go_all_the_time_cost_few_writes() {
    let mut site = Site::new(AGENTS);
    site.writes = 0;
    for index in 1..=200 {
        site.start_agent(AGENTS + index, 1);
        site.run(10 * MILLI);
    }
    assert!(
        site.writes <= 9 * REPLICAS.len(),
        "{} in two seconds",
        site.writes
    );
}

#[test]
fn a_second_loss_of_power_in_the_midst_of_the_return_forgets_nobody() {
    let mut site = Site::new(AGENTS);
    site.lose_power();
    site.run(SECOND);
    site.start_replicas();
    return_agents(&mut site, AGENTS / 4);
    site.run(700 * MILLI);
    site.lose_power();
    assert!((1..=AGENTS).all(|index| remembers(&site, index)));
}

#[test]
fn an_agent_that_stopped_and_may_have_left_flows_is_expected_as_long_as_it_is_listed() {
    let mut site = Site::new(AGENTS);
    let leaving = AGENTS + 1;
    site.start_agent(leaving, 100);
    site.run(SECOND);
    let now = site.now;
    let agent = site.agents.get_mut(&agent_address(leaving)).expect("known");
    agent.begin_stop(now);
    site.run(300 * MILLI);
    assert!(site.agents[&agent_address(leaving)].is_stopped());
    site.agents.remove(&agent_address(leaving));
    site.run(SECOND);
    assert!(remembers(&site, leaving));
    site.run(8 * SECOND);
    assert!(
        !remembers(&site, leaving),
        "only another life of it may come back"
    );
}

/// Replicas and agents end and start at random.
fn disturb(site: &mut Site, random: &mut ChaCha8Rng, outage: bool) {
    let replica = REPLICAS[random.random_range(0..REPLICAS.len())];
    let index = random.random_range(1..=12);
    match random.random_range(0..8) {
        0 if outage => REPLICAS.into_iter().for_each(|it| site.stop_replica(it)),
        0 | 1 => site.stop_replica(replica),
        2..=4 if !site.replicas.contains_key(&replica) => site.start_replica(replica),
        5 => {
            site.agents.remove(&agent_address(index));
        }
        6 | 7 if !site.agents.contains_key(&agent_address(index)) => site.start_agent(index, 100),
        _ => {}
    }
}

#[test]
fn no_whole_directory_leaves_out_an_agent_that_runs() {
    for seed in 1..=20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut site = Site::new(6);
        let mut whole = 0;
        for round in 0..400 {
            disturb(&mut site, &mut random, seed % 2 == 0);
            let pause = random.random_range(1..=if round % 40 < 30 { 12 } else { 120 });
            for _ in 0..pause {
                site.run(5 * MILLI);
                whole += site.complete_replicas();
                assert_eq!(site.unlisted_agent(), None, "seed {seed}, round {round}");
            }
        }
        assert!(whole > 100, "{whole}");
    }
}
