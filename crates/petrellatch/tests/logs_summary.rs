//! The summary of the `logs` command: counts by time and the most important causes, from
//! lines of all processes in any order.

use std::process::Command;

use petrellatch::logs::{Column, LogLine, Summary, SummaryReport};

fn line(millis: u64, node: &str, event: &str, subject: &str) -> String {
    let (seconds, millis) = (millis / 1_000, millis % 1_000);
    serde_json::json!({
        "msg": event, "level": "INFO", "ts": format!("2026-07-27T10:00:{seconds:02}.{millis:03}Z"),
        "node": node, "subject": subject, "event": 1,
    })
    .to_string()
}

fn report(texts: &[String]) -> SummaryReport {
    let mut summary = Summary::default();
    // The files of several processes are read one after the other, so lines are not
    // sorted by time.
    for line in texts.iter().rev().filter_map(|text| LogLine::parse(text)) {
        summary.add(&line);
    }
    summary.report(None)
}

fn cause_texts(report: &SummaryReport) -> Vec<&str> {
    let causes = report.causes().iter();
    causes.map(|cause| cause.text.as_str()).collect()
}

/// The lines of a congestion collapse: within one second, eight balancers refuse a
/// thousand flows after eight declined offers each, and suspect all of 42 agents.
fn collapse() -> Vec<String> {
    let lines = (0..1_000).flat_map(|number: u64| {
        let (at, balancer) = (5_000 + number, format!("front-{}", number % 8));
        let flow = format!("flow=100.64.0.7:{number}>198.18.0.1:80");
        let refused = format!(
            "{flow} reason=no_agent priority=2 version=4 \
             asked=8 full=8 late=0 other=0 agents=42 leaving=0 evacuated=0"
        );
        let suspected = format!("agent=10.1.0.{}:7000 {flow}", number % 42);
        [
            line(at, &balancer, "FlowRefused", &refused),
            line(at, &balancer, "AgentSuspected", &suspected),
        ]
    });
    lines.collect()
}

#[test]
fn a_congestion_collapse_is_reported_but_a_single_stopped_agent_is_not() {
    let collapsed = report(&collapse());
    let causes = cause_texts(&collapsed);
    assert_eq!(causes.len(), 1, "{causes:?}");
    assert!(causes[0].contains("1000 flows refused"), "{causes:?}");
    assert!(
        causes[0].contains("1000 suspicions (1000 per second)"),
        "{causes:?}"
    );
    assert!(causes[0].contains("42 agents at 8 balancers"), "{causes:?}");
    assert!(causes[0].contains("CONGESTION COLLAPSE"), "{causes:?}");
    let text = collapsed.to_string();
    assert!(
        text.contains("refused: 1000 reason=no_agent priority=2"),
        "{text}"
    );
    assert!(
        text.lines().count() < 50,
        "the report does not fit on a screen: {text}"
    );

    let one_stopped = collapse().into_iter().map(|text| {
        let (head, tail) = text.split_once("10.1.0.").unwrap_or((&text, ""));
        match tail.split_once(':') {
            Some((_, rest)) => format!("{head}10.1.0.1:{rest}"),
            None => text,
        }
    });
    let one_stopped = report(&one_stopped.collect::<Vec<_>>());
    assert_eq!(one_stopped.total(Column::Suspected), 1_000);
    assert!(
        !one_stopped.to_string().contains("COLLAPSE"),
        "{one_stopped}"
    );
}

#[test]
fn refusals_by_full_agents_without_repeated_suspicions_are_no_collapse() {
    let suspected = |text: &String| text.contains("AgentSuspected");
    let (suspicions, mut texts): (Vec<String>, Vec<String>) =
        collapse().into_iter().partition(suspected);
    // Each agent replies late once, to one balancer.
    texts.extend(suspicions.into_iter().take(42));
    let report = report(&texts);
    assert_eq!(report.total(Column::Suspected), 42);
    assert!(!report.to_string().contains("COLLAPSE"), "{report}");
}

#[test]
fn a_collapse_with_late_replies_is_reported_too() {
    let late = collapse().into_iter().enumerate().map(|(number, text)| {
        let is_late = number % 8 > 1;
        let counts = if is_late {
            "full=1 late=8"
        } else {
            "full=8 late=0"
        };
        text.replace("full=8 late=0", counts)
    });
    let mut texts: Vec<String> = late.collect();
    let lost = "flow=100.64.0.7:1>198.18.0.1:80 rounds=4 missing=42 expected=0 uncertain=0 tried=0 lacks=0";
    texts.push(line(6_000, "front-1", "FlowNotFound", lost));
    let report = report(&texts);
    assert_eq!(report.total(Column::RefusedLate), 750);
    assert!(
        report.to_string().contains("CONGESTION COLLAPSE"),
        "{report}"
    );
    // Most agents did not reply, so this is not the case of a single stopped agent.
    assert_eq!(report.total(Column::BlockedByAbsent), 0);
    assert_eq!(report.total(Column::BlockedByLate), 1);
}

#[test]
fn inconclusive_searches_are_counted_by_what_blocked_them() {
    let lost = |number: u64, counts: &str| {
        let subject = format!("flow=100.64.0.7:{number}>198.18.0.1:80 {counts}");
        line(8_000 + number, "front-1", "FlowNotFound", &subject)
    };
    let stopped = "rounds=5 missing=1 expected=0 uncertain=0 tried=0 lacks=44";
    // A caller that awaited a response before it closed the flow counts as well: it
    // should have been reset.
    let closed = "rounds=5 missing=1 expected=0 uncertain=0 tried=0 lacks=44 \
                  directory_whole=true awaits=true ended=true";
    let counts = |number| if number % 2 == 0 { stopped } else { closed };
    let mut texts: Vec<String> = (0..700)
        .map(|number| lost(number, counts(number)))
        .collect();
    for (number, counts) in [
        (
            700,
            "rounds=5 missing=3 expected=2 uncertain=0 tried=0 lacks=42",
        ),
        (
            701,
            "rounds=5 missing=1 expected=0 uncertain=4 tried=0 lacks=40",
        ),
        (
            702,
            "rounds=9 missing=0 expected=0 uncertain=0 tried=0 lacks=45",
        ),
        (
            704,
            "rounds=9 missing=1 expected=0 uncertain=0 tried=0 lacks=45 directory_whole=false awaits=true ended=false",
        ),
        (
            705,
            "rounds=9 missing=0 expected=0 uncertain=0 tried=0 lacks=45 directory_whole=false awaits=false ended=true",
        ),
        (
            703,
            "rounds=0 missing=0 expected=0 uncertain=0 tried=0 lacks=0",
        ),
    ] {
        texts.push(lost(number, counts));
    }
    let report = report(&texts);
    let causes = cause_texts(&report);
    assert_eq!(causes.len(), 1, "{causes:?}");
    for part in [
        "706 flow searches were inconclusive",
        "700 of them BLOCKED BY A STOPPED AGENT: up to 44 agents replied that their back ends do not own the flow, and at most 1, not",
        "1 because agents that were expected to reply, or most agents, did not",
        "1 because agents did not know whether their back ends own the flow, or speculative deliveries were undecided",
        "1 because the balancer's agent directory was incomplete",
        "1 because the caller awaited no response (it closed the flow)",
        "1 because no back end owned the flow, and the caller may have closed it first",
    ] {
        assert!(causes[0].contains(part), "{part}: {causes:?}");
    }
    let blocked = [
        Column::BlockedByAbsent,
        Column::BlockedByLate,
        Column::BlockedByUncertain,
        Column::BlockedByNone,
        Column::BlockedByIncompleteDirectory,
        Column::NoResponseAwaited,
    ];
    assert_eq!(
        blocked.map(|column| report.total(column)),
        [700, 1, 1, 1, 1, 1]
    );
}

#[test]
fn restarts_are_reported_before_the_refusals_that_they_cause() {
    let mut texts = vec![
        line(1_000, "side-1", "ProcessStarted", "agent first_start=true"),
        line(1_000, "front-1", "ProcessStarted", "balancer"),
        line(3_000, "front-1", "ProcessStopping", "asked to stop"),
        line(4_000, "side-1", "ProcessStarted", "agent first_start=false"),
        line(4_100, "front-1", "ProcessStarted", "balancer"),
        line(4_900, "side-1", "EntriesLeftOut", "40 entries"),
    ];
    texts.extend((0..50).map(|number| {
        let refused = "reason=no_agent version=4 asked=4 full=4 late=0 other=0 agents=7 cold=6";
        let subject = format!("flow=100.64.0.7:{number}>198.18.0.1:80 {refused}");
        line(4_200 + number, "front-1", "FlowRefused", &subject)
    }));
    let report = report(&texts);
    let causes = cause_texts(&report);
    assert_eq!(
        causes,
        [
            "2 processes restarted (1 agent, 1 balancer), 1 of them without a planned stop, \
             after 900 ms without any log line",
            "50 flows refused (50: all agents that replied were full), up to 6 of 7 agents cold; \
             at the time of the restart of 2 processes",
        ]
    );
    assert!(
        report
            .to_string()
            .contains("missing: 40 entries were suppressed"),
        "{report}"
    );
}

#[test]
fn a_day_of_lines_fits_in_thirty_slices() {
    let mut summary = Summary::default();
    for second in 0..86_400_u64 {
        let clock = format!(
            "{:02}:{:02}:{:02}",
            second / 3_600,
            second / 60 % 60,
            second % 60
        );
        let text =
            format!("{{\"msg\":\"FlowWaits\",\"ts\":\"2026-02-28T{clock}Z\",\"node\":\"side-1\"}}");
        summary.add(&LogLine::parse(&text).expect("the line is valid"));
    }
    let next_day = "{\"msg\":\"FlowWaits\",\"ts\":\"2026-03-01T00:00:00Z\",\"node\":\"side-1\"}";
    summary.add(&LogLine::parse(next_day).expect("the line is valid"));
    let report = summary.report(None);
    assert_eq!(report.total(Column::Queued), 86_401);
    let slices = report.to_json()["slices"].as_array().map_or(0, Vec::len);
    assert!((20..=30).contains(&slices), "{slices} slices");
}

#[test]
fn the_command_prints_json_and_refuses_conflicting_options() {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let file = folder.path().join("all.log");
    std::fs::write(&file, collapse().join("\n")).expect("the file is written");
    let logs = |arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_petrellatch"));
        let output = command.arg("logs").args(arguments).arg(&file).output();
        output.expect("the program starts")
    };
    let output = logs(&["--summary", "--json", "--slice", "500"]);
    assert!(output.status.success());
    let json: serde_json::Value =
        serde_json::from_slice(&output.stdout).expect("the output is JSON");
    assert_eq!(json["slice_millis"], 500);
    let full = json["slices"]
        .as_array()
        .expect("the report has slices")
        .iter();
    let full: Vec<u64> = full.filter_map(|slice| slice["full"].as_u64()).collect();
    assert_eq!(full, [500, 500]);
    assert_eq!(json["refusals"][0]["priority"], "2");
    for wrong in [
        vec!["--summary", "--configuration", "3"],
        vec!["--json", "--configuration", "3"],
        vec!["--slice", "500", "--flow", "100.64.0.7:1"],
    ] {
        assert_eq!(logs(&wrong).status.code(), Some(2), "{wrong:?}");
    }
}

#[test]
fn congested_links_are_reported_as_a_cause() {
    let congested = (0..6).map(|number: u64| {
        let balancer = format!("front-{}", number % 3);
        let subject = format!("wait={} copies=0 dropped=0", 100 + number);
        line(3_000 + 10 * number, &balancer, "LinkFull", &subject)
    });
    let congested: Vec<String> = congested.collect();
    let report = report(&congested);
    let causes = cause_texts(&report);
    assert_eq!(causes.len(), 1, "{causes:?}");
    let expected = "links of 3 balancers became CONGESTED, 6 times";
    assert!(causes[0].contains(expected), "{causes:?}");
    assert!(causes[0].contains("105 ms or more"), "{causes:?}");
}

#[test]
fn lost_elections_are_reported_with_the_times_of_the_first_and_the_last() {
    let lost = [
        (3_257, "core-1", "term=3 reason=denied"),
        (3_259, "core-2", "term=3 reason=denied"),
        (3_486, "core-3", "term=4 reason=higher_term"),
    ];
    let mut lines: Vec<String> = lost
        .iter()
        .map(|(at, node, subject)| line(*at, node, "ElectionLost", subject))
        .collect();
    lines.push(line(3_497, "core-1", "LeaderElected", "term=5"));
    let report = report(&lines);
    let causes = cause_texts(&report);
    let expected = "elections LOST: 3 (2 denied, 1 higher_term), first 3.257, last 3.486";
    assert!(causes.contains(&expected), "{causes:?}");
    assert!(causes.contains(&"elections: 1"), "{causes:?}");
    assert_eq!(report.total(Column::ElectionLost), 3);
}
