//! Prints the figures of `docs/design/03-policies.md`: the time of compiling,
//! checking and evaluating policies.

use std::hint::black_box;
use std::time::{Duration, Instant};

use petrellatch_core::identity::{BackendId, ServiceId};
use petrellatch_core::policy::{
    BackendView, HEALTH_SCALE, MAXIMUM_LABELS, MAXIMUM_SOURCE_BYTES, Policy, PolicySource,
    ServiceView, shares,
};

/// How often each evaluation is repeated.
const REPEATS: u32 = 100_000;

/// How often each compilation and check is repeated.
const FEW_REPEATS: u32 = 20;

/// A policy with a name for the output.
struct Sample {
    name: &'static str,
    source: PolicySource,
}

fn main() {
    for sample in samples() {
        print_policy(&sample);
    }
    print_shares();
    print_hostile();
}

fn samples() -> Vec<Sample> {
    vec![
        Sample {
            name: "constant",
            source: source("true", "1.0"),
        },
        Sample {
            name: "healthy, by free slots",
            source: source(
                "!backend.draining && backend.health > 0.0",
                "backend.slots > 0.0 ? backend.free_slots / backend.slots : 0.0",
            ),
        },
        Sample {
            name: "zone, label and warm-up",
            source: source(
                "!backend.draining && !('pinned' in backend.labels)",
                "(has(service.zone) && backend.zone == service.zone ? 1.0 : 0.25) \
                 * math.least(1.0, math.greatest(0.1, backend.age_seconds / 60.0))",
            ),
        },
        Sample {
            name: "as large as allowed",
            source: source(&largest("a"), &format!("{} ? 1.0 : 2.0", largest("b"))),
        },
    ]
}

/// Returns an expression near the limits that never stops early.
fn largest(prefix: &str) -> String {
    let conditions: Vec<String> = (0..30)
        .map(|number| {
            let label = number % MAXIMUM_LABELS;
            format!("!('{prefix}{label}' in backend.labels && false)")
        })
        .collect();
    conditions.join(" && ")
}

fn source(eligible: &str, weight: &str) -> PolicySource {
    PolicySource {
        eligible: eligible.to_owned(),
        weight: weight.to_owned(),
    }
}

fn service() -> ServiceView {
    ServiceView {
        id: ServiceId(1),
        name: "valuation-desk".to_owned(),
        zone: Some("baguio-hall".to_owned()),
    }
}

fn backend(id: u64) -> BackendView {
    BackendView {
        id: BackendId(id),
        name: format!("valuation-{id}"),
        zone: "tarlac-hall".to_owned(),
        labels: [("pool".to_owned(), "maps".to_owned())].into(),
        slots: 7,
        free_slots: 3,
        connections: 40,
        health: HEALTH_SCALE,
        draining: false,
        age: Duration::from_secs(30),
    }
}

/// Returns the mean time of `work` in microseconds.
fn mean_micros(repeats: u32, mut work: impl FnMut()) -> f64 {
    let started = Instant::now();
    for _ in 0..repeats {
        work();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(repeats)
}

fn print_policy(sample: &Sample) {
    let service = service();
    let backends: Vec<BackendView> = (1..=7).map(backend).collect();
    let policy = Policy::compile(&sample.source).expect("a valid policy");
    policy.check(&service, &backends).expect("a safe policy");
    let compile = mean_micros(FEW_REPEATS, || {
        black_box(Policy::compile(&sample.source)).expect("a valid policy");
    });
    let check = mean_micros(FEW_REPEATS, || {
        policy.check(&service, &backends).expect("a safe policy");
    });
    let evaluate = mean_micros(REPEATS, || {
        black_box(policy.evaluate(&service, &backends[0])).expect("a safe policy");
    });
    println!(
        "{:24} compile {compile:7.1} us, check {:5.2} ms, evaluate {evaluate:5.2} us",
        sample.name,
        check / 1e3
    );
}

/// Prints the time of all shares of a service of seven back ends.
fn print_shares() {
    let backends: Vec<BackendView> = (1..=7).map(backend).collect();
    for sample in samples() {
        let policy = Policy::compile(&sample.source).expect("a valid policy");
        let time = mean_micros(REPEATS / 10, || {
            black_box(shares(&policy, &service(), &backends));
        });
        println!("{:24} shares of 7 back ends {time:6.2} us", sample.name);
    }
}

/// Prints the longest time that a source of the largest size keeps the
/// compiler busy.
fn print_hostile() {
    for repeated in [
        "(", "[", "{1:", "a.", "true?1:", "1+", "true||", "-", "!", "a(", "'", "1<",
    ] {
        let text = repeated.repeat(MAXIMUM_SOURCE_BYTES / repeated.len());
        let source = source("true", &text);
        let started = Instant::now();
        let refused = Policy::compile(&source).is_err();
        let millis = started.elapsed().as_secs_f64() * 1e3;
        println!("{repeated:8} repeated: refused {refused} after {millis:6.2} ms");
    }
}
