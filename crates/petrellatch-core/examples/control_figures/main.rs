//! Prints the leader's cost of changes, heartbeats, registrations and
//! placements, the figures of `docs/design/04-operator-changes.md`.
//!
//! The arguments are numbers of daemons; each daemon brings the back ends and
//! services that it has in the largest deployment.

mod leader;
mod workload;

use std::time::{Duration, Instant};

use leader::{Leader, Measured};
use workload::Workload;

/// Operator changes whose mean is printed.
const SAMPLE_CHANGES: u32 = 200;

/// Agents that are replaced, one after another.
const SAMPLE_REPLACEMENTS: u32 = 20;

/// Seconds in which there are only heartbeats.
const QUIET_SECONDS: usize = 10;

/// Copies of a view whose mean size is printed.
const VIEW_COPIES: usize = 3;

fn main() {
    let arguments: Vec<u32> = std::env::args()
        .skip(1)
        .filter_map(|argument| argument.parse().ok())
        .collect();
    let sizes = if arguments.is_empty() {
        vec![1_000]
    } else {
        arguments
    };
    for daemons in sizes {
        measure(Workload::new(daemons));
    }
}

fn measure(workload: Workload) {
    println!("{workload}");
    let mut leader = Leader::start();
    let resident = resident_bytes();

    let changes = workload.initial_changes();
    let count = changes.len();
    let spent = leader.measure(|leader| {
        for edits in changes {
            leader.change(edits);
        }
    });
    print_mean("initial change of up to 100 edits", spent, count);

    let members = workload.members();
    let count = members.len();
    let spent = leader.measure(|leader| leader.register(&members));
    print_mean("registration", spent, count);

    let services = workload.service_count();
    let spent = leader.measure(|leader| leader.heartbeat_until_settled(services));
    print_mean("first placement of a service", spent, services);

    let spent = leader.measure(Leader::restart);
    print_mean("restart and election", spent, 1);

    measure_steady_work(&mut leader, &workload);
    measure_replacements(&mut leader, &workload);
    measure_bytes(&leader, &workload, resident);
}

fn measure_steady_work(leader: &mut Leader, workload: &Workload) {
    leader.run_quietly(QUIET_SECONDS);
    let spent = leader.measure(|leader| leader.run_quietly(QUIET_SECONDS));
    print_mean("a second with one heartbeat of each", spent, QUIET_SECONDS);

    let count = workload.members().len();
    let spent = leader.measure(Leader::heartbeat_all);
    print_mean("heartbeat", spent, count);

    let spent = leader.measure(|leader| {
        for number in 0..SAMPLE_CHANGES {
            leader.change(vec![workload.drain(number)]);
        }
    });
    print_mean(
        "change that drains a back end",
        spent,
        SAMPLE_CHANGES as usize,
    );

    let spent = leader.measure(|leader| {
        for number in 0..SAMPLE_CHANGES {
            leader.change(vec![workload.added_service(number)]);
        }
    });
    print_mean("change that adds a service", spent, SAMPLE_CHANGES as usize);
}

fn measure_replacements(leader: &mut Leader, workload: &Workload) {
    leader.run_quietly(QUIET_SECONDS);
    leader.heartbeat_until_settled(workload.service_count());
    let (placements, settled) = (leader.placements, leader.settled);
    let mut versions = 0;
    let mut bytes = 0;
    let mut spent = Measured::default();
    for number in 0..SAMPLE_REPLACEMENTS {
        let before = leader.version();
        leader.subscribe();
        spent += leader.measure(|leader| leader.replace_agent(number));
        versions += leader.version() - before;
        bytes += leader.delta_bytes;
    }
    print_mean("replaced agent", spent, SAMPLE_REPLACEMENTS as usize);
    let of_agent = |count: u64| count as f64 / f64::from(SAMPLE_REPLACEMENTS);
    println!(
        "  of a replaced agent: {:.1} versions with {:.0} bytes, {:.1} placements set, {:.1} settled",
        of_agent(versions),
        of_agent(bytes as u64),
        of_agent(leader.placements - placements),
        of_agent(leader.settled - settled)
    );
}

fn measure_bytes(leader: &Leader, workload: &Workload, resident: u64) {
    const MIB: f64 = (1 << 20) as f64;
    let all = resident_bytes().saturating_sub(resident);
    println!("  resident, log included: {:.1} MiB", all as f64 / MIB);
    let mut copies = vec![leader.view().clone()];
    // The first copies fill what was free before.
    while copies.len() < VIEW_COPIES {
        copies.push(leader.view().clone());
    }
    let before = resident_bytes();
    for _ in 0..VIEW_COPIES {
        copies.push(leader.view().clone());
    }
    let bytes = resident_bytes().saturating_sub(before) / VIEW_COPIES as u64;
    println!("  one view: {:.1} MiB", bytes as f64 / MIB);
    drop(copies);
    let started = Instant::now();
    let encoded = leader.encode_snapshot();
    let taken = started.elapsed();
    let size = encoded.len() as f64;
    println!(
        "  snapshot: {:.1} MiB, {:.0} bytes a back end, encoded in {taken:.1?}",
        size / MIB,
        size / f64::from(workload.backend_count())
    );
}

fn print_mean(what: &str, spent: Measured, count: usize) {
    let count = u32::try_from(count.max(1)).expect("a small number");
    let mean = |time: Duration| time.as_secs_f64() * 1e6 / f64::from(count);
    println!(
        "  {what}: {:.1} us, heartbeats {:.1} us ({count} measured, longest call {:.1?})",
        mean(spent.total),
        mean(spent.heartbeats),
        spent.longest
    );
}

/// Resident memory of this process.
fn resident_bytes() -> u64 {
    const PAGE_BYTES: u64 = 4_096;
    let statistics = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statistics.split_whitespace().nth(1);
    pages.and_then(|it| it.parse().ok()).unwrap_or(0) * PAGE_BYTES
}
