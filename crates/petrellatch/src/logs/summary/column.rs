//! The columns of the summary: what is counted in each slice of time.

use petrellatch_core::EventKind;

use crate::logs::LogLine;

macro_rules! columns {
    ($($name:ident $short:literal $meaning:literal;)*) => {
        /// A column of the summary: one count per slice of time.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Column {
            $(#[doc = $meaning] $name,)*
        }

        impl Column {
            /// All columns, in the order of the table.
            pub const ALL: &[Column] = &[$(Column::$name),*];

            /// Header of the column, and name of the count in JSON.
            pub fn name(self) -> &'static str {
                match self { $(Column::$name => $short,)* }
            }

            /// Description of what is counted.
            pub fn meaning(self) -> &'static str {
                match self { $(Column::$name => $meaning,)* }
            }
        }
    };
}

columns! {
    Started "start" "Processes that started.";
    Stopping "stop" "Processes that were asked to stop.";
    Elected "elect" "Elections: replicas that became leader.";
    ElectionLost "noel" "Lost elections: candidates whose term elected no leader.";
    Ready "ready" "Processes that became ready.";
    Unready "unrdy" "Processes that became unready.";
    RefusedFull "full" "Flows refused: each agent that replied declined as full.";
    RefusedLate "late" "Flows refused: no agent replied to the offers in time.";
    RefusedUnknown "noag" "Flows refused: the balancer knew no agent to offer them to.";
    RefusedRoute "route" "Flows refused: no such route.";
    RefusedOther "oth" "Flows refused for another reason, or after mixed replies.";
    Queued "waits" "Flows that waited in an admission queue.";
    Suspected "susp" "Suspicions: balancers that began to suspect an agent.";
    SuspectCleared "back" "Suspected agents that replied again.";
    Orphaned "gone" "Flow searches that found that no back end owns the flow; it was reset.";
    SearchInconclusive "lost" "Inconclusive flow searches; the caller gave up.";
    BlockedByAbsent "l.gone" "Of those, blocked only by a few agents that are not expected to reply.";
    BlockedByLate "l.late" "Of those, blocked by agents that were expected to reply, or by most agents.";
    BlockedByUncertain "l.unsu" "Of those, blocked by agents that did not know whether their back ends own the flow, or by undecided speculative deliveries.";
    BlockedByIncompleteDirectory "l.list" "Of those, blocked because the balancer's agent directory was incomplete.";
    NoResponseAwaited "l.end" "Of those, not reset because the caller awaited no response.";
    BlockedByNone "l.none" "Of those, blocked by no agent: no back end owns the flow; the caller may have closed it first.";
    PacketReturned "reset" "Packets that a back end returned because it does not own their flow any more.";
    Stalled "stall" "Flows whose agent does not reply.";
    BackendSilent "silent" "Back ends that fell silent.";
    BackendEjected "sick" "Back ends ejected because their requests failed.";
    LinkCongested "link" "Links of balancers that became congested.";
    WriteFailed "disk" "Writes to a data folder that failed.";
    LinesSuppressed "cut" "Entries that the rate limit of the logs suppressed.";
}

/// The columns in which a line is counted, with the amounts.
pub(super) fn counts(kind: EventKind, line: &LogLine) -> Vec<(Column, u64)> {
    let column = match kind {
        EventKind::ProcessStarted => Column::Started,
        EventKind::ProcessStopping => Column::Stopping,
        EventKind::LeaderElected => Column::Elected,
        EventKind::ElectionLost => Column::ElectionLost,
        EventKind::BecameReady => Column::Ready,
        EventKind::BecameUnready => Column::Unready,
        EventKind::FlowRefused => refusal(line),
        EventKind::FlowWaits => Column::Queued,
        EventKind::AgentSuspected => Column::Suspected,
        EventKind::AgentReturned => Column::SuspectCleared,
        EventKind::FlowGone => Column::Orphaned,
        EventKind::FlowNotFound => return inconclusive_search(line),
        EventKind::PacketReturned => Column::PacketReturned,
        EventKind::FlowStalled => Column::Stalled,
        EventKind::BackendSilent => Column::BackendSilent,
        EventKind::BackendLeftOut => Column::BackendEjected,
        EventKind::LinkFull => Column::LinkCongested,
        EventKind::WriteFailed => Column::WriteFailed,
        EventKind::EntriesLeftOut => {
            return vec![(Column::LinesSuppressed, suppressed_lines(line))];
        }
        _ => return Vec::new(),
    };
    vec![(column, 1)]
}

/// Why a balancer refused a flow, by the counts of replies in its line.
fn refusal(line: &LogLine) -> Column {
    match line.value("reason") {
        Some("no_route") => return Column::RefusedRoute,
        Some("no_agent") => {}
        _ => return Column::RefusedOther,
    }
    let Some(offered) = number(line, "asked") else {
        return Column::RefusedOther;
    };
    let full = number(line, "full").unwrap_or(0);
    let late = number(line, "late").unwrap_or(0);
    match offered {
        0 => Column::RefusedUnknown,
        _ if late >= offered => Column::RefusedLate,
        // A late reply is counted both as late and by what it says.
        _ if full > 0 && full + late >= offered => Column::RefusedFull,
        _ => Column::RefusedOther,
    }
}

/// An inconclusive search, and what kept it from a conclusion.
fn inconclusive_search(line: &LogLine) -> Vec<(Column, u64)> {
    let count = |name| number(line, name).unwrap_or(0);
    let mut columns = vec![(Column::SearchInconclusive, 1)];
    let undecided = count("uncertain") + count("tried");
    let has_value = |name, value| line.value(name) == Some(value);
    let blocked_by = match (
        count("expected"),
        undecided,
        count("missing"),
        count("lacks"),
    ) {
        (1.., ..) => Some(Column::BlockedByLate),
        (0, 1.., ..) => Some(Column::BlockedByUncertain),
        _ if has_value("awaits", "false") => Some(Column::NoResponseAwaited),
        _ if has_value("directory_whole", "false") => Some(Column::BlockedByIncompleteDirectory),
        (0, 0, missing @ 1.., not_owned) if missing < not_owned => Some(Column::BlockedByAbsent),
        (0, 0, 1.., _) => Some(Column::BlockedByLate),
        (0, 0, 0, 1..) => Some(Column::BlockedByNone),
        // No agent was queried.
        (0, 0, 0, 0) => None,
    };
    columns.extend(blocked_by.map(|column| (column, 1)));
    columns
}

/// Number of suppressed lines; the subject is `N entries`.
fn suppressed_lines(line: &LogLine) -> u64 {
    let count = line.subject.split(' ').next();
    count.and_then(|it| it.parse().ok()).unwrap_or(0)
}

/// A number in the subject of a line.
pub(super) fn number(line: &LogLine, name: &str) -> Option<u64> {
    line.value(name)?.parse().ok()
}
