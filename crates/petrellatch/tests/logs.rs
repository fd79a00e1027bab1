//! The timelines of the `logs` command.

use std::io::Write;
use std::process::{Command, Stdio};

use petrellatch::logs::{FlowTimeline, LogLine, VersionTimeline};

const FLOW: &str = "100.64.0.7:4001>198.18.0.1:80";

fn line(clock: &str, node: &str, event: &str, subject: &str) -> String {
    serde_json::json!({
        "msg": event, "level": "INFO", "ts": format!("2026-07-27T{clock}Z"),
        "node": node, "subject": subject, "event": 1,
    })
    .to_string()
}

fn lines(texts: &[String]) -> Vec<LogLine> {
    let mut lines: Vec<LogLine> = LogLine::parse_all(&texts.join("\n")).collect();
    lines.sort();
    lines
}

#[test]
fn lines_are_ordered_by_time_whatever_its_number_of_digits() {
    let texts = [
        line("05:44:34.3789442", "b", "FlowPlaced", "flow=x"),
        line("05:44:34.37", "a", "FlowPlaced", "flow=x"),
        line("05:44:34", "c", "FlowPlaced", "flow=x"),
        "no log line".to_owned(),
        format!(
            "  12.5 node {}",
            line("05:44:35", "d", "FlowPlaced", "flow=x")
        ),
    ];
    let nodes: Vec<String> = lines(&texts).into_iter().map(|it| it.node).collect();
    assert_eq!(nodes, ["c", "a", "b", "d"]);
}

#[test]
fn a_refusal_by_an_older_version_names_the_newer_one() {
    let texts = [
        line(
            "10:00:00.1",
            "replica",
            "ConfigurationReplaced",
            "version=9 put=1 removed=0",
        ),
        line(
            "10:00:00.2",
            "balancer",
            "FlowRefused",
            &format!("flow={FLOW} reason=no_route version=8"),
        ),
        line(
            "10:00:00.3",
            "balancer",
            "ConfigurationApplied",
            "version=9",
        ),
        line(
            "10:00:09.0",
            "balancer",
            "ConfigurationApplied",
            "version=10",
        ),
    ];
    let timeline = FlowTimeline::new(&lines(&texts), "100.64.0.7:4001");
    assert!(timeline.cause().contains("had version 8"), "{timeline}");
    assert!(
        timeline.cause().contains("accepted version 9"),
        "{timeline}"
    );
    let text = timeline.to_string();
    assert!(text.contains("ConfigurationApplied version=9"), "{text}");
    assert!(
        !text.contains("version=10"),
        "the line is too far from the flow's own lines: {text}"
    );
}

#[test]
fn missing_lines_are_reported() {
    let texts = [
        line(
            "10:00:00.1",
            "agent",
            "FlowDeclined",
            &format!("flow={FLOW} reason=Full busy=7"),
        ),
        line("10:00:01.0", "agent", "EntriesLeftOut", "40 entries"),
        line("10:00:01.0", "other", "EntriesLeftOut", "50 entries"),
    ];
    let timeline = FlowTimeline::new(&lines(&texts), FLOW);
    let missing = timeline.missing().join("; ");
    assert!(missing.contains("balancer"), "{missing}");
    assert!(missing.contains("40 entries at agent"), "{missing}");
    assert!(!missing.contains("50"), "{missing}");
    let no_lines = FlowTimeline::new(&lines(&texts), "100.64.0.7:9");
    assert!(no_lines.missing()[0].contains("all lines"));
    assert_eq!(no_lines.cause(), "unknown");
}

#[test]
fn the_timeline_of_a_version_names_the_balancers_without_it() {
    let texts = [
        line(
            "10:00:00.1",
            "replica",
            "ConfigurationReplaced",
            "version=9 put=1 removed=0",
        ),
        line("10:00:00.2", "one", "ConfigurationApplied", "version=9"),
        line("10:00:00.2", "two", "ConfigurationApplied", "version=8"),
        line("10:00:00.3", "three", "ConfigurationApplied", "version=11"),
    ];
    let timeline = VersionTimeline::new(&lines(&texts), 9);
    assert_eq!(timeline.nodes_without(), ["two"]);
}

#[test]
fn the_command_reads_standard_input_and_requires_exactly_one_flow_or_version() {
    let program = env!("CARGO_BIN_EXE_petrellatch");
    let mut process = Command::new(program)
        .args(["logs", "--flow", FLOW])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let text = line(
        "10:00:00.2",
        "balancer",
        "FlowRefused",
        &format!("flow={FLOW} reason=no_agent version=8"),
    );
    let mut input = process.stdin.take().expect("standard input is piped");
    input
        .write_all(text.as_bytes())
        .expect("the program reads its standard input");
    drop(input);
    let output = process.wait_with_output().expect("the program exits");
    assert!(output.status.success());
    let printed = String::from_utf8_lossy(&output.stdout);
    assert!(printed.contains("cause: refused: no_agent"), "{printed}");

    for wrong in [
        vec!["logs"],
        vec!["logs", "--flow", FLOW, "--configuration", "3"],
    ] {
        let output = Command::new(program)
            .args(&wrong)
            .output()
            .expect("the program starts");
        assert_eq!(output.status.code(), Some(2), "{wrong:?}");
    }
}

#[test]
fn a_refusal_is_explained_by_its_own_line_when_other_lines_were_suppressed() {
    let refused = |counts: &str| {
        let subject = format!("flow={FLOW} reason=no_agent version=8 {counts}");
        let texts = [
            line("10:00:00.2", "balancer", "FlowRefused", &subject),
            line("10:00:01.0", "agent", "EntriesLeftOut", "3000 entries"),
        ];
        FlowTimeline::new(&lines(&texts), FLOW).cause().to_owned()
    };
    let full = refused("asked=8 full=7 late=1 other=0");
    assert!(
        full.contains("7 declined as full, 1 did not reply"),
        "{full}"
    );
    let cold = refused("asked=8 full=8 late=0 other=0 agents=9 leaving=0 evacuated=0 cold=9");
    assert!(
        cold.contains("of 9 known agents, 9 had cold back ends"),
        "{cold}"
    );
    let no_agent = refused("asked=0 full=0 late=0 other=0");
    assert!(no_agent.contains("knew no agent"), "{no_agent}");
    // A line without counts does not explain the refusal.
    let unknown = refused("");
    assert_eq!(unknown, "refused: no_agent");
}

#[test]
fn a_flow_without_an_owner_is_explained_by_the_replies_of_the_agents() {
    for (event, subject, cause) in [
        (
            "FlowGone",
            "waited=61 rounds=2 missing=0 expected=0 uncertain=0 tried=0 lacks=7",
            "no back end owns the flow any more, according to 7 agents",
        ),
        (
            "FlowGone",
            "agent=10.1.0.4:7000 was_open=true",
            "the back end at 10.1.0.4:7000 owned the flow",
        ),
        (
            "FlowTold",
            "cause=question known_for=12",
            "the back end at balancer does not own the flow any more; a balancer queried the flow",
        ),
        (
            "FlowTold",
            "cause=request known_for=0",
            "its caller awaited a response and was notified at once",
        ),
        (
            "FlowTold",
            "cause=pace known_for=180",
            "its caller was idle and was notified before its next request",
        ),
        (
            "FlowNotFound",
            "rounds=8 missing=3 expected=2 uncertain=5 tried=0 lacks=0",
            "not found among the agents: 3 did not reply, 5 could not tell",
        ),
        (
            "FlowNotFound",
            "rounds=0 missing=0 expected=0 uncertain=0 tried=0 lacks=0",
            "no agent was queried for the flow",
        ),
    ] {
        let subject = format!("flow={FLOW} {subject}");
        let texts = [
            line(
                "10:00:00.1",
                "balancer",
                "FlowSought",
                &format!("flow={FLOW} agents=8"),
            ),
            line("10:00:02.5", "balancer", event, &subject),
        ];
        let timeline = FlowTimeline::new(&lines(&texts), "100.64.0.7:4001");
        assert!(timeline.cause().contains(cause), "{timeline}");
        assert!(timeline.missing().is_empty(), "{timeline}");
    }
}
