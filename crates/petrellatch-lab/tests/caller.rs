//! The caller stand-in against a back end, without a fleet between them.

use std::net::SocketAddr;

use gumdrop::Options;
use petrellatch_lab::backend::{BackendOptions, BackendServer};
use petrellatch_lab::caller::tally::{ExecutionCounts, Outcome, Tally, Verdict};
use petrellatch_lab::caller::{CallerOptions, load};
use petrellatch_lab::support::logging::discarding_logger;
use petrellatch_lab::support::process::StopFlag;

fn start_backend(more: &[&str]) -> BackendServer {
    let arguments = ["--listen", "127.0.0.1:0", "--name", "b1", "--service", "s1"];
    let arguments: Vec<&str> = arguments.iter().chain(more).copied().collect();
    let options = BackendOptions::parse_args_default(&arguments).unwrap();
    BackendServer::start(options, StopFlag::default(), discarding_logger()).unwrap()
}

fn call(service: &str, backend: SocketAddr) -> Verdict {
    let target = format!("{service}={backend}");
    let backend = backend.to_string();
    let arguments = [
        "--target",
        &target,
        "--backend",
        &backend,
        "--seconds",
        "1",
        "--download-bytes",
        "20000",
        "--download-rate",
        "0",
    ];
    let options = CallerOptions::parse_args_default(&arguments).unwrap();
    load::run(&options, &discarding_logger()).unwrap()
}

#[test]
fn right_answers_are_counted() {
    let backend = start_backend(&["--mean-ms", "0", "--slots", "10"]);
    let verdict = call("s1", backend.address());
    assert!(verdict.is_clean(), "{verdict}");
    assert!(verdict.answered > 10, "{verdict}");
    assert_eq!(verdict.requests, verdict.answered);
}

#[test]
fn answers_of_another_service_are_misrouted() {
    let backend = start_backend(&["--mean-ms", "0", "--slots", "10"]);
    let verdict = call("s2", backend.address());
    assert_eq!(verdict.misrouted, verdict.requests);
    assert!(!verdict.is_clean());
}

#[test]
fn shed_requests_are_refusals() {
    let backend = start_backend(&["--connections", "0"]);
    let verdict = call("s1", backend.address());
    assert!(verdict.is_clean(), "{verdict}");
    assert_eq!(verdict.refused_not_run, verdict.requests);
}

#[test]
fn executions_decide_about_duplicates_and_false_refusals() {
    let mut tally = Tally::default();
    for (id, outcome) in [
        ("answered", Outcome::Answered),
        ("twice", Outcome::Answered),
        ("refused", Outcome::RefusedNotRun),
        ("refused-but-ran", Outcome::RefusedNotRun),
        ("cut", Outcome::Broken),
    ] {
        tally.record(id.to_owned(), outcome);
    }
    let runs = [("answered", 1), ("twice", 2), ("refused-but-ran", 1)];
    let runs = runs.map(|(id, count)| (id.to_owned(), count));
    let verdict = tally.judge(&ExecutionCounts::from(runs));
    let expected = "requests=5 answered=2 refused_not_run=1 broken=2 duplicated=1 misrouted=0";
    assert_eq!(verdict.to_string(), expected);
    assert!(!verdict.is_clean());
}
