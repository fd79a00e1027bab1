//! When a directory is complete after replicas have restarted and loaded their saved agents.

use std::time::Duration;

use petrellatch_proto::pass_through::{SavedDaemons, pack_address};
use prost::Message;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::site::{REPLICAS, Site, agent_address};
use super::world::MILLI;

const SECOND: Duration = Duration::from_secs(1);
const AGENTS: u16 = 56;
/// By this time after the start of the replicas, [`AGENTS`] agents have all reported without
/// being requested to.
const ALL_REPORTED: Duration = Duration::from_millis(1_200);

/// Restarts all agents of a site after a power loss, one shortly after the other.
fn restart_agents(site: &mut Site, agents: u16) {
    for index in 1..=agents {
        site.start_agent(index, 1);
        if index % agents.div_ceil(40) == 0 {
            site.run(5 * MILLI);
        }
    }
}

#[test]
fn an_orphaned_flow_is_reset_soon_after_the_first_balancer_is_up_to_date() {
    for agents in [56, 204, 690] {
        let mut site = Site::new(agents);
        site.lose_power();
        site.run(SECOND);
        site.start_replicas();
        site.run(100 * MILLI);
        restart_agents(&mut site, agents);
        site.run(200 * MILLI);
        site.start_balancer();
        // No replica remembers which agents were there before, so that each back end is asked.
        site.backends_own_nothing = true;
        site.request(1);
        site.run(150 * MILLI);
        assert_eq!(site.resets, 1, "{agents} agents");
        let asked = site.packets_to_backends.len();
        assert_eq!(asked, usize::from(agents), "one packet to each back end");
    }
}

#[test]
fn running_agents_report_at_once_to_restarted_replicas() {
    let mut site = Site::new(690);
    site.run(20 * SECOND);
    site.stop_replicas();
    site.run(5 * SECOND);
    site.start_replicas();
    let time = site.time_until_complete(REPLICAS.len(), 4 * SECOND);
    assert!(time.is_some(), "complete only after the report interval");
}

#[test]
fn replicas_wait_for_a_saved_agent_that_stays_away() {
    let mut site = Site::new(AGENTS);
    site.lose_power();
    site.run(SECOND);
    site.start_replicas();
    restart_agents(&mut site, AGENTS - 1);
    let limit = ALL_REPORTED - 200 * MILLI;
    assert_eq!(site.time_until_complete(1, limit - 200 * MILLI), None);
    assert!(
        site.time_until_complete(3, 2 * SECOND).is_some(),
        "the directory never became complete"
    );
}

#[test]
fn a_running_agent_that_joined_after_the_last_save_keeps_its_flows() {
    for outage in [MILLI, 250 * MILLI, SECOND, 4 * SECOND, 30 * SECOND] {
        let mut site = Site::new(AGENTS);
        let saved = site.saved_daemons.clone();
        let new_agent = AGENTS + 1;
        site.start_agent(new_agent, 100);
        site.run(20 * MILLI);
        site.saved_daemons = saved;
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
            site.packets_to_backends.contains(&agent_address(new_agent)),
            "the new agent was not found"
        );
    }
}

#[test]
fn a_replica_that_was_down_when_an_agent_joined_waits_for_it() {
    let mut site = Site::new(AGENTS);
    let stale = site.saved_daemons[&REPLICAS[0]].clone();
    site.replicas.remove(&REPLICAS[0]);
    let new_agent = AGENTS + 1;
    site.start_agent(new_agent, 100);
    site.run(10 * SECOND);
    site.saved_daemons.insert(REPLICAS[0], stale);
    site.lose_power();
    site.run(SECOND);
    site.start_replicas();
    restart_agents(&mut site, AGENTS);
    assert_eq!(
        site.time_until_complete(1, ALL_REPORTED - 400 * MILLI),
        None
    );
    site.start_agent(new_agent, 100);
    assert!(site.time_until_complete(3, 600 * MILLI).is_some());
}

#[test]
fn an_isolated_replica_waits_for_the_reports_of_all_agents() {
    let mut site = Site::new(AGENTS);
    site.lose_power();
    site.run(SECOND);
    site.start_replica(REPLICAS[0]);
    restart_agents(&mut site, AGENTS);
    assert_eq!(
        site.time_until_complete(1, ALL_REPORTED - 400 * MILLI),
        None
    );
}

#[test]
fn replicas_without_readable_saved_agents_wait_for_the_report_interval() {
    for bytes in [None, Some(vec![0xFF; 9])] {
        let mut site = Site::new(AGENTS);
        site.lose_power();
        site.saved_daemons.clear();
        if let Some(bytes) = bytes {
            site.saved_daemons = REPLICAS.map(|it| (it, bytes.clone())).into();
        }
        site.run(SECOND);
        site.start_replicas();
        restart_agents(&mut site, AGENTS);
        assert_eq!(site.time_until_complete(1, 350 * MILLI), None);
        assert!(site.time_until_complete(3, 2 * SECOND).is_some());
    }
}

fn is_saved(site: &Site, agent: u16) -> bool {
    let agent = pack_address(agent_address(agent));
    let contains_agent = |bytes: &Vec<u8>| {
        let saved = SavedDaemons::decode(bytes.as_slice()).expect("readable");
        saved.agents.contains(&agent)
    };
    site.saved_daemons.values().all(contains_agent)
}

#[test]
fn saved_agents_follow_new_and_stopped_agents() {
    let mut site = Site::new(AGENTS);
    let new_agent = AGENTS + 1;
    site.start_agent(new_agent, 1);
    site.run(300 * MILLI);
    assert!(is_saved(&site, new_agent));
    let now = site.now;
    let agent = site
        .agents
        .get_mut(&agent_address(new_agent))
        .expect("the agent exists");
    agent.begin_stop(now);
    site.run(300 * MILLI);
    assert!(site.agents[&agent_address(new_agent)].is_stopped());
    assert!(
        !is_saved(&site, new_agent),
        "it has stopped without open flows"
    );
    site.agents.remove(&agent_address(1));
    site.run(20 * SECOND);
    assert!(is_saved(&site, 1), "it may be cut off");
}

#[test]
fn frequent_changes_of_agents_cost_few_writes() {
    let mut site = Site::new(AGENTS);
    site.writes = 0;
    for index in 1..=200 {
        site.start_agent(AGENTS + index, 1);
        site.run(10 * MILLI);
    }
    assert!(
        site.writes <= 9 * REPLICAS.len(),
        "{} writes in two seconds",
        site.writes
    );
}

#[test]
fn a_second_power_loss_during_recovery_loses_no_saved_agent() {
    let mut site = Site::new(AGENTS);
    site.lose_power();
    site.run(SECOND);
    site.start_replicas();
    restart_agents(&mut site, AGENTS / 4);
    site.run(700 * MILLI);
    site.lose_power();
    assert!((1..=AGENTS).all(|index| is_saved(&site, index)));
}

#[test]
fn a_stopped_agent_that_may_have_flows_is_saved_as_long_as_it_is_listed() {
    let mut site = Site::new(AGENTS);
    let stopping = AGENTS + 1;
    site.start_agent(stopping, 99);
    site.run(300 * MILLI);
    site.start_agent(stopping, 100);
    site.run(SECOND);
    let now = site.now;
    let agent = site
        .agents
        .get_mut(&agent_address(stopping))
        .expect("the agent exists");
    agent.begin_stop(now);
    site.run(300 * MILLI);
    assert!(site.agents[&agent_address(stopping)].is_stopped());
    site.agents.remove(&agent_address(stopping));
    site.run(SECOND);
    assert!(is_saved(&site, stopping));
    site.run(8 * SECOND);
    assert!(
        !is_saved(&site, stopping),
        "only another incarnation may come back"
    );
}

/// Stops or starts a random replica or agent, or stops all replicas if `may_stop_all`.
fn stop_or_start_at_random(site: &mut Site, random: &mut ChaCha8Rng, may_stop_all: bool) {
    let replica = REPLICAS[random.random_range(0..REPLICAS.len())];
    let index = random.random_range(1..=12);
    match random.random_range(0..8) {
        0 if may_stop_all => REPLICAS.into_iter().for_each(|it| site.stop_replica(it)),
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
fn no_complete_directory_lacks_a_running_agent() {
    for seed in 1..=20 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut site = Site::new(6);
        let mut complete = 0;
        for round in 0..400 {
            stop_or_start_at_random(&mut site, &mut random, seed % 2 == 0);
            let steps = random.random_range(1..=if round % 40 < 30 { 12 } else { 120 });
            for _ in 0..steps {
                site.run(5 * MILLI);
                complete += site.complete_replicas();
                assert_eq!(site.unlisted_agent(), None, "seed {seed}, round {round}");
            }
        }
        assert!(complete > 100, "{complete} complete directories");
    }
}
