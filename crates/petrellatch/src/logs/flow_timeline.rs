//! The timeline of one flow and the cause of its failure.

use std::collections::BTreeSet;
use std::fmt;

use petrellatch_core::EventKind;

use super::log_line::LogLine;

/// Lines about the nodes of a flow are included if they are within this time of one of
/// the flow's own lines.
const NEARBY_MILLIS: u64 = 3_000;

/// Events of a node that are included besides the lines of the flow itself.
const NODE_EVENTS: [EventKind; 14] = [
    EventKind::ProcessStarted,
    EventKind::ProcessStopping,
    EventKind::AgentSuspected,
    EventKind::AgentReturned,
    EventKind::BackendRegistered,
    EventKind::BackendLeaving,
    EventKind::BackendSilent,
    EventKind::BackendAbsent,
    EventKind::ConfigurationApplied,
    EventKind::BecameReady,
    EventKind::BecameUnready,
    EventKind::LifeOver,
    EventKind::LifeUndecided,
    EventKind::FlowsTakenOver,
];

/// The lines of one flow in order of time, with the lines of its nodes that explain them,
/// what is missing, and the likely cause of its failure.
///
/// The flow is named as in the log, `CALLER:PORT>ROUTE:PORT`, or by `CALLER:PORT` alone.
#[derive(Clone, Debug)]
pub struct FlowTimeline {
    flow: String,
    lines: Vec<LogLine>,
    missing: Vec<String>,
    cause: String,
}

impl FlowTimeline {
    /// Builds the timeline of `flow` from lines that are sorted by time.
    pub fn new(lines: &[LogLine], flow: &str) -> FlowTimeline {
        let own = |line: &&LogLine| is_about(line, flow);
        let own: Vec<&LogLine> = lines.iter().filter(own).collect();
        let included = lines.iter().filter(|line| is_included(line, flow, &own));
        FlowTimeline {
            flow: flow.to_owned(),
            lines: included.cloned().collect(),
            missing: missing(lines, &own),
            cause: cause(lines, &own),
        }
    }

    /// Why the flow failed, according to the lines.
    pub fn cause(&self) -> &str {
        &self.cause
    }

    /// Descriptions of lines that are missing.
    pub fn missing(&self) -> &[String] {
        &self.missing
    }
}

impl fmt::Display for FlowTimeline {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "flow {}", self.flow)?;
        for line in &self.lines {
            writeln!(formatter, "  {line}")?;
        }
        for missing in &self.missing {
            writeln!(formatter, "missing: {missing}")?;
        }
        writeln!(formatter, "cause: {}", self.cause)
    }
}

/// Whether a line names the flow.
fn is_about(line: &LogLine, flow: &str) -> bool {
    let Some(named) = line.value("flow") else {
        return false;
    };
    let caller = named.split('>').next();
    named == flow || caller == Some(flow)
}

fn is_event(line: &LogLine, kind: EventKind) -> bool {
    line.event == kind.name()
}

/// Whether a line belongs to the timeline: it is about the flow, or it is an event of
/// one of the flow's nodes at about the same time.
fn is_included(line: &LogLine, flow: &str, own: &[&LogLine]) -> bool {
    if is_about(line, flow) {
        return true;
    }
    let is_node_event = NODE_EVENTS.iter().any(|kind| is_event(line, *kind));
    is_node_event
        && own
            .iter()
            .any(|it| it.node == line.node && is_near(it, line))
}

fn is_near(one: &LogLine, other: &LogLine) -> bool {
    match (one.millis_of_day(), other.millis_of_day()) {
        (Some(one), Some(other)) => one.abs_diff(other) <= NEARBY_MILLIS,
        _ => false,
    }
}

/// Describes the missing lines: those of balancers, and those that the log's rate limit
/// suppressed at the nodes of the flow.
fn missing(lines: &[LogLine], own: &[&LogLine]) -> Vec<String> {
    let mut missing = Vec::new();
    if own.is_empty() {
        missing.push(
            "all lines of the flow: it did not reach a balancer, or it was an ordinary flow \
             that was not sampled"
                .to_owned(),
        );
    }
    let from_balancer = own.iter().any(|line| {
        let kinds = [
            EventKind::FlowPlaced,
            EventKind::FlowRefused,
            EventKind::FlowSought,
            EventKind::FlowTried,
            EventKind::FlowGone,
            EventKind::FlowNotFound,
        ];
        kinds.iter().any(|kind| is_event(line, *kind))
    });
    if !own.is_empty() && !from_balancer {
        missing.push("lines of a balancer".to_owned());
    }
    let nodes: BTreeSet<&str> = own.iter().map(|line| line.node.as_str()).collect();
    let suppressed = lines.iter().filter(|line| {
        is_event(line, EventKind::EntriesLeftOut)
            && nodes.contains(line.node.as_str())
            && own.iter().any(|it| is_near(it, line))
    });
    missing
        .extend(suppressed.map(|line| format!("{} at {}, {}", line.subject, line.node, line.time)));
    missing
}

/// The cause, from the last line of the flow that reports an outcome.
fn cause(lines: &[LogLine], own: &[&LogLine]) -> String {
    let outcome = own.iter().rev().find(|line| {
        let kinds = [
            EventKind::FlowRefused,
            EventKind::FlowStalled,
            EventKind::PacketReturned,
            EventKind::FlowSought,
            EventKind::FlowGone,
            EventKind::FlowNotFound,
            EventKind::FlowTold,
        ];
        kinds.iter().any(|kind| is_event(line, *kind))
    });
    let Some(outcome) = outcome else {
        return match own.last() {
            Some(last) => format!("not logged; the last line is {}", last.event),
            None => "unknown".to_owned(),
        };
    };
    if is_event(outcome, EventKind::FlowStalled) {
        let agent = outcome.value("agent").unwrap_or("its agent");
        return format!("the agent {agent} of the flow does not reply");
    }
    if is_event(outcome, EventKind::FlowGone) {
        return orphaned(outcome);
    }
    if is_event(outcome, EventKind::FlowNotFound) {
        return search_inconclusive(outcome);
    }
    if is_event(outcome, EventKind::FlowTold) {
        return orphaned_by_restart(outcome);
    }
    if is_event(outcome, EventKind::PacketReturned) {
        return "the back end does not own the flow any more".to_owned();
    }
    if is_event(outcome, EventKind::FlowSought) {
        return "no agent replied that its back end owns the flow".to_owned();
    }
    match outcome.value("reason") {
        Some("no_route") => no_route(lines, outcome),
        Some("no_agent") => no_agent(outcome),
        Some(reason) => format!("refused: {reason}"),
        None => "refused".to_owned(),
    }
}

/// The flow was reset because no back end owns it any more.
fn orphaned(outcome: &LogLine) -> String {
    if outcome.value("was_open") == Some("true") {
        let agent = outcome.value("agent").unwrap_or("its agent");
        return format!(
            "the back end at {agent} owned the flow but does not any more; the flow was reset"
        );
    }
    let not_owned = outcome.value("lacks").unwrap_or("all");
    format!(
        "no back end owns the flow any more, according to {not_owned} agents; the flow was reset"
    )
}

/// The flow was orphaned by a restart of its back end, and its agent notified the caller or
/// a balancer.
fn orphaned_by_restart(outcome: &LogLine) -> String {
    let notified = match outcome.value("cause") {
        Some("request") => "its caller awaited a response and was notified at once",
        Some("question") => "a balancer queried the flow and was notified",
        _ => "its caller was idle and was notified before its next request",
    };
    format!(
        "the back end at {} does not own the flow any more; {notified}",
        outcome.node
    )
}

/// The search for the flow was inconclusive until its caller gave up.
fn search_inconclusive(outcome: &LogLine) -> String {
    let reasons = [
        ("missing", "did not reply"),
        ("uncertain", "could not tell"),
        ("tried", "had an undecided speculative delivery"),
        ("lacks", "did not own it"),
    ];
    let replies = reasons.iter().filter_map(|(name, reason)| {
        let count = outcome.value(name)?;
        (count != "0").then(|| format!("{count} {reason}"))
    });
    let replies: Vec<String> = replies.collect();
    match replies.is_empty() {
        true => "no agent was queried for the flow before its caller gave up".to_owned(),
        false => format!(
            "the flow was not found among the agents: {}",
            replies.join(", ")
        ),
    }
}

/// The route is not in the version that was active at the balancer.
fn no_route(lines: &[LogLine], outcome: &LogLine) -> String {
    let version = outcome.value("version").unwrap_or("0");
    let newer = lines.iter().find(|line| {
        let is_newer = |other: &str| other.parse::<u64>().ok() > version.parse::<u64>().ok();
        is_event(line, EventKind::ConfigurationReplaced)
            && line.time < outcome.time
            && line.value("version").is_some_and(is_newer)
    });
    match newer {
        Some(line) => format!(
            "{} had version {version} without the route, while {} had accepted version {}",
            outcome.node,
            line.node,
            line.value("version").unwrap_or("0")
        ),
        None => format!("version {version} has no such route"),
    }
}

/// The replies to the balancer's offers, according to its own line; the lines of the
/// agents may have been suppressed.
fn no_agent(outcome: &LogLine) -> String {
    let count = |name| outcome.value(name).and_then(|it| it.parse::<u32>().ok());
    let Some(offered) = count("asked") else {
        return "refused: no_agent".to_owned();
    };
    let replies = [
        (count("full"), "declined as full"),
        (count("late"), "did not reply"),
        (count("other"), "declined for another reason"),
    ];
    let replies = replies.iter().filter_map(|(count, reply)| match count {
        Some(count) if *count > 0 => Some(format!("{count} {reply}")),
        _ => None,
    });
    let replies: Vec<String> = replies.collect();
    let mut cause = match offered {
        0 => "the balancer knew no agent that was ready".to_owned(),
        _ => format!("no agent accepted the flow: {}", replies.join(", ")),
    };
    if let (Some(agents), Some(draining @ 1..)) = (count("agents"), count("leaving")) {
        cause.push_str(&format!(
            "; of {agents} known agents, {draining} were draining"
        ));
    }
    if let (Some(agents), Some(evacuated @ 1..)) = (count("agents"), count("evacuated")) {
        cause.push_str(&format!(
            "; of {agents} known agents, {evacuated} were in evacuated zones"
        ));
    }
    if let (Some(agents), Some(cold @ 1..)) = (count("agents"), count("cold")) {
        cause.push_str(&format!(
            "; of {agents} known agents, {cold} had cold back ends"
        ));
    }
    cause
}
