//! Election time after a power loss: replicas start one after the other, with
//! disks that were written to different points.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::consensus::{
    EntryPayload, HardState, LogEntry, LogPosition, Membership, PersistentState, ReplicaSettings,
    Role, Snapshot,
};
use petrellatch_core::identity::NodeId;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::cluster::{Cluster, replica_id};

const SEED_COUNT: u64 = 1_000;
const ZONES: u64 = 3;
const ZONE_DELAY_MICROS: u64 = 3_500;
const MAX_JITTER_MICROS: u64 = 400;
/// Replicas that don't start late start within this time.
const START_WINDOW_MICROS: u64 = 500_000;
/// One of this many replicas starts late.
const LATE_START_ONE_IN: u64 = 6;
/// Maximum delay of a late start after the end of the start window.
const MAX_EXTRA_LATE_MICROS: u64 = 500_000;
/// Length of the complete log, in entries.
const LOG_ENTRIES: u64 = 12;
const LAST_TERM: u64 = 5;
/// Limit for the 99th percentile of the time from the start of the majority to
/// the election of a leader.
const MAX_P99_ELECTION_TIME: Duration = Duration::from_millis(60);

fn settings() -> ReplicaSettings {
    ReplicaSettings {
        election_timeout: Duration::from_millis(200),
        heartbeat_interval: Duration::from_millis(50),
        elects_at_start: true,
        ..ReplicaSettings::default()
    }
}

/// The first `count` entries of the group's log. The older entries are of the term
/// before the last one.
fn entries(count: u64) -> Vec<LogEntry> {
    let entry = |index| LogEntry {
        position: LogPosition {
            term: LAST_TERM - u64::from(index < LOG_ENTRIES / 2),
            index,
        },
        payload: EntryPayload::Command(index.to_le_bytes().to_vec()),
    };
    (1..=count).map(entry).collect()
}

/// A voter's disk at the power loss: most have the complete log and the last
/// term, some lack entries, and some are in later terms whose elections failed.
fn disk(random: &mut ChaCha8Rng, voters: u64) -> PersistentState {
    let missing = match random.random_range(0..3) {
        0 => random.random_range(1..=3),
        _ => 0,
    };
    let later_terms = match random.random_range(0..4) {
        0 => random.random_range(1..=3),
        _ => 0,
    };
    let voted_for = (later_terms > 0).then(|| replica_id(random.random_range(1..=voters)));
    let snapshot = Snapshot {
        position: LogPosition::default(),
        membership: Membership::of_voters((1..=voters).map(replica_id)),
        data: Vec::new(),
    };
    PersistentState {
        hard_state: HardState {
            term: LAST_TERM + later_terms,
            voted_for,
        },
        snapshot: Some(Arc::new(snapshot)),
        entries: entries(LOG_ENTRIES - missing),
    }
}

/// Start times of the voters, in microseconds.
fn start_times(random: &mut ChaCha8Rng, voters: u64) -> BTreeMap<u64, NodeId> {
    let mut times = BTreeMap::new();
    for node in 1..=voters {
        let mut at = random.random_range(0..START_WINDOW_MICROS);
        if random.random_range(0..LATE_START_ONE_IN) == 0 {
            at = START_WINDOW_MICROS + random.random_range(0..MAX_EXTRA_LATE_MICROS);
        }
        while times.contains_key(&at) {
            at += 1;
        }
        times.insert(at, NodeId(node));
    }
    times
}

/// Outcome of one restart after a power loss.
struct RestartOutcome {
    /// Time from the start of the majority to the election of a leader.
    election_time: Duration,
    /// Number of terms that were started but got no leader.
    leaderless_terms: u64,
}

fn restart_after_power_loss(seed: u64, voters: u64, sync_micros: u64) -> RestartOutcome {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut cluster = Cluster::stopped(seed, voters, &settings());
    cluster.network.zones = ZONES;
    cluster.network.zone_delay_micros = ZONE_DELAY_MICROS;
    cluster.network.max_delay_micros = MAX_JITTER_MICROS;
    cluster.sync_micros = sync_micros;
    for node in 1..=voters {
        cluster.node(NodeId(node)).disk = disk(&mut random, voters);
    }
    let majority = voters / 2 + 1;
    let mut majority_at = None;
    let mut highest_term = 0;
    let mut elected_at = None;
    for (started, (at, node)) in (1..).zip(start_times(&mut random, voters)) {
        let at = Timestamp::from_micros(at);
        elected_at = elected_at.or_else(|| run_until_leader(&mut cluster, at));
        cluster.run_for(at.saturating_since(cluster.now));
        let term = cluster.nodes[&node].disk.hard_state.term;
        if elected_at.is_none() {
            highest_term = highest_term.max(term);
        }
        cluster.restart(node);
        if started == majority {
            majority_at = Some(cluster.now);
        }
    }
    let limit = cluster.now + settings().election_timeout * 20;
    elected_at = elected_at.or(run_until_leader(&mut cluster, limit));
    let (elected_at, term) = elected_at.expect("a leader");
    // Runs on, so that the checker also sees replicas that start late or lost
    // the election.
    cluster.run_for(settings().election_timeout * 3);
    assert_eq!(cluster.checker.violations, [], "seed {seed}");
    RestartOutcome {
        election_time: elected_at.saturating_since(majority_at.expect("all start")),
        leaderless_terms: term.saturating_sub(highest_term + 1),
    }
}

/// Runs until there is a leader, at most until `end`. Returns the time of the
/// election and the leader's term.
fn run_until_leader(cluster: &mut Cluster, end: Timestamp) -> Option<(Timestamp, u64)> {
    cluster.run_while(end, |cluster| cluster.leader().is_none());
    let leader = cluster.leader()?;
    let replica = cluster.replica(leader);
    assert_eq!(replica.role(), Role::Leader);
    Some((cluster.now, replica.term()))
}

/// Restarts the group with many seeds and checks the election times.
fn check_election_times(voters: u64, sync_micros: u64) {
    let runs = (0..SEED_COUNT).map(|seed| restart_after_power_loss(seed, voters, sync_micros));
    let runs: Vec<RestartOutcome> = runs.collect();
    let mut times: Vec<Duration> = runs.iter().map(|run| run.election_time).collect();
    times.sort_unstable();
    let percentile = |percent: usize| times[times.len() * percent / 100];
    let leaderless = runs.iter().filter(|run| run.leaderless_terms > 0).count();
    let slow = runs
        .iter()
        .filter(|run| run.leaderless_terms == 0 && run.election_time > MAX_P99_ELECTION_TIME);
    let maximum = times[times.len() - 1];
    println!(
        "{voters} voters, sync {sync_micros} us: median {:?}, 90 % {:?}, 99 % {:?}, \
         maximum {maximum:?}; {leaderless} with leaderless terms, {} slow without one",
        percentile(50),
        percentile(90),
        percentile(99),
        slow.count(),
    );
    assert!(
        percentile(99) <= MAX_P99_ELECTION_TIME,
        "99th percentile of the election time is {:?}",
        percentile(99)
    );
    assert!(maximum <= settings().election_timeout * 2, "{maximum:?}");
}

#[test]
fn three_voters_elect_as_soon_as_two_have_started() {
    check_election_times(3, 2_000);
    check_election_times(3, 5_000);
}

#[test]
fn five_voters_elect_as_soon_as_three_have_started() {
    check_election_times(5, 2_000);
    check_election_times(5, 5_000);
}

#[test]
fn nine_voters_elect_as_soon_as_five_have_started() {
    check_election_times(9, 2_000);
    check_election_times(9, 5_000);
}

#[test]
fn fourteen_voters_elect_as_soon_as_eight_have_started() {
    check_election_times(14, 2_000);
    check_election_times(14, 5_000);
}

/// Starts voters with empty disks at the same time and returns the time until
/// they have elected a leader.
fn election_time_with_slow_disks(seed: u64, voters: u64, sync_micros: u64) -> Duration {
    let mut cluster = Cluster::stopped(seed, voters, &settings());
    cluster.sync_micros = sync_micros;
    for node in 1..=voters {
        cluster.restart(NodeId(node));
    }
    let limit = cluster.now + settings().election_timeout * 100;
    let elected_at = run_until_leader(&mut cluster, limit);
    assert_eq!(cluster.checker.violations, [], "seed {seed}");
    let (elected_at, _) = elected_at.expect("a leader");
    elected_at.saturating_since(Timestamp::ZERO)
}

#[test]
fn voters_with_slow_disks_elect_within_eight_election_timeouts() {
    let timeout = settings().election_timeout;
    for sync in [timeout / 4, timeout / 2] {
        for voters in [3, 5, 9] {
            let sync_micros = sync.as_micros() as u64;
            let times =
                (0..200).map(|seed| election_time_with_slow_disks(seed, voters, sync_micros));
            let longest = times.max().expect("at least one run");
            println!("{voters} voters, sync {sync:?}: maximum {longest:?}");
            assert!(longest <= timeout * 8, "{voters} voters: {longest:?}");
        }
    }
}
