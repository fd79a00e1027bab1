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

/// Virtual time without any input.
const IDLE_TIME: Duration = Duration::from_secs(5);

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

    measure_steady_work(&mut leader, &workload);
    measure_replacements(&mut leader, &workload);
    measure_bytes(&leader, &workload, resident);
}

fn measure_steady_work(leader: &mut Leader, workload: &Workload) {
    let spent = leader.measure(|leader| leader.run_for(IDLE_TIME));
    let seconds = usize::try_from(IDLE_TIME.as_secs()).expect("a small number");
    print_mean("a second without input", spent, seconds);

    leader.heartbeat_all();
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
    leader.heartbeat_until_settled(workload.service_count());
    let mut deltas = 0;
    let mut spent = Measured::default();
    for number in 0..SAMPLE_REPLACEMENTS {
        let before = leader.version();
        spent += leader.measure(|leader| leader.replace_agent(number));
        deltas += leader.version() - before;
    }
    print_mean("replaced agent", spent, SAMPLE_REPLACEMENTS as usize);
    let per_agent = deltas as f64 / f64::from(SAMPLE_REPLACEMENTS);
    println!("  versions of a replaced agent: {per_agent:.1}");
}

fn measure_bytes(leader: &Leader, workload: &Workload, resident: u64) {
    const MIB: f64 = (1 << 20) as f64;
    let all = resident_bytes().saturating_sub(resident);
    println!("  resident, log included: {:.1} MiB", all as f64 / MIB);
    let before = resident_bytes();
    let view = leader.view().clone();
    let bytes = resident_bytes().saturating_sub(before);
    println!("  one view: {:.1} MiB", bytes as f64 / MIB);
    drop(view);
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
    println!(
        "  {what}: {:.1} us ({count} measured, longest call {:.1?})",
        spent.total.as_secs_f64() * 1e6 / f64::from(count),
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
