//! The experiment tool: same seed, same run; same work for every variant.

use std::time::Duration;

use petrellatch_lab::experiment::command::run_once;
use petrellatch_lab::experiment::deployment::Deployment;
use petrellatch_lab::experiment::emulator::RunSettings;
use petrellatch_lab::experiment::flow::{FlowEnd, Message, MessageKind};
use petrellatch_lab::experiment::measures::Measures;
use petrellatch_lab::experiment::report::summary::Estimate;
use petrellatch_lab::experiment::variant::{self, Variant};

const DEPLOYMENTS: [&str; 2] = ["assessment-gateway", "silver-protea"];

fn variant(name: &str) -> Variant {
    let found = variant::all().into_iter().find(|it| it.name == name);
    found.expect("there is such a variant")
}

/// A short run at a low load, so that it is fast without optimization. With
/// churn it lasts until the first drain and the first change of the policy.
fn run(deployment: &str, variant_name: &str, with_churn: bool) -> Measures {
    let seconds = if with_churn { 30 } else { 4 };
    let settings = RunSettings {
        deployment: deployment.parse::<Deployment>().expect("it exists"),
        seed: 7,
        load: 0.05,
        with_churn,
        opening_time: Duration::from_secs(seconds),
    };
    run_once(settings, variant(variant_name))
}

fn broken(measures: &Measures) -> u64 {
    measures.broken.values().sum()
}

#[test]
fn a_run_is_determined_by_its_seed() {
    let first = run("silver-protea", "product", true);
    let second = run("silver-protea", "product", true);
    assert!(first == second, "the runs differ");
}

#[test]
fn every_variant_gets_the_same_flows_and_answers_them_in_calm() {
    for deployment in DEPLOYMENTS {
        let mut opened = None;
        for name in ["product", "hash-flow-table", "one-previous", "power-of-two"] {
            let measures = run(deployment, name, false);
            assert_eq!(*opened.get_or_insert(measures.opened), measures.opened);
            assert!(measures.opened > 0);
            let complete = measures.ends[&FlowEnd::Complete];
            assert_eq!(complete + measures.still_open, measures.opened, "{name}");
            assert_eq!(measures.misrouted, 0);
            assert_eq!(measures.duplicated, 0);
        }
    }
}

#[test]
fn planned_changes_break_flows_of_a_baseline_only() {
    let product = run("assessment-gateway", "product", true);
    assert_eq!(broken(&product), 0);
    assert_eq!(product.duplicated, 0);
    assert_eq!(product.false_refusals, 0);
    let baseline = run("assessment-gateway", "hash-flow-table", true);
    assert!(broken(&baseline) > 0);
}

#[test]
fn without_the_handover_list_flows_break() {
    let measures = run("assessment-gateway", "forget-redirects", true);
    assert!(broken(&measures) > 0);
}

#[test]
fn messages_are_read_as_they_were_written() {
    for kind in [MessageKind::Request, MessageKind::Answer, MessageKind::Shed] {
        let message = Message {
            kind,
            service: 1,
            request: 77,
            service_micros: 1_234,
        };
        assert_eq!(Message::parse(&message.to_bytes()), Some(message));
    }
    assert_eq!(Message::parse(b"R"), None);
}

#[test]
fn an_estimate_carries_the_confidence_over_seeds() {
    let estimate = Estimate::of(&[1.0, 2.0, 3.0]);
    assert!((estimate.mean - 2.0).abs() < 1e-9);
    assert!((estimate.half_width - 4.303 / 3.0_f64.sqrt()).abs() < 1e-9);
    assert!(Estimate::of(&[5.0]).half_width.abs() < f64::EPSILON);
}
