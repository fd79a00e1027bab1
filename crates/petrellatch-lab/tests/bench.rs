//! The measurements run and answer for what they measured.

use assert_matches::assert_matches;
use petrellatch_lab::bench::{self, BenchError, BenchOptions};

fn options(subject: &str) -> BenchOptions {
    BenchOptions {
        help: false,
        subject: subject.to_owned(),
        services: 300,
        seconds: 1,
        flows: 50,
    }
}

fn figures(subject: &str) -> String {
    let mut output = Vec::new();
    bench::run(&options(subject), &mut output).unwrap();
    String::from_utf8(output).unwrap()
}

#[test]
fn changes_are_measured_for_both_roles() {
    for subject in ["balancer-changes", "agent-changes"] {
        let text = figures(subject);
        assert_eq!(text.matches("change of").count(), 4, "{text}");
    }
}

#[test]
fn every_measured_flow_is_answered() {
    let text = figures("agent");
    let line = |name: &str| {
        let mut lines = text.lines();
        let line = lines.find(|line| line.starts_with(name)).unwrap();
        let value = line[name.len()..].split_whitespace().next().unwrap();
        value.parse::<f64>().unwrap()
    };
    assert_eq!(line("open flows"), 50.0);
    assert_eq!(line("short flows without an answer"), 0.0);
    assert!(line("short flows that ended") > 50.0);
}

#[test]
fn an_unknown_subject_is_refused() {
    let outcome = bench::run(&options("weather"), &mut Vec::new());
    assert_matches!(outcome, Err(BenchError::UnknownSubject { .. }));
}
