//! What is counted in each slice of time.

use petrellatch_core::EventKind;

use crate::logs::LogLine;

macro_rules! columns {
    ($($name:ident $short:literal $meaning:literal;)*) => {
        /// One count of a slice.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum Column {
            $(#[doc = $meaning] $name,)*
        }

        impl Column {
            /// All of them, in the order of the table.
            pub const ALL: &[Column] = &[$(Column::$name),*];

            /// Head of the column and name of the count in JSON.
            pub fn name(self) -> &'static str {
                match self { $(Column::$name => $short,)* }
            }

            /// What is counted.
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
    ElectionLost "noel" "Elections that were lost: candidates whose term got no leader.";
    Ready "ready" "Processes that became ready.";
    Unready "unrdy" "Processes that became unready.";
    RefusedFull "full" "Flows refused: each agent that answered declined as full.";
    RefusedLate "late" "Flows refused: no agent that was asked answered in time.";
    RefusedUnknown "noag" "Flows refused: the balancer knew no agent to ask.";
    RefusedRoute "route" "Flows refused: no such route.";
    RefusedOther "oth" "Flows refused for another reason, or with mixed answers.";
    Queued "waits" "Flows that waited for a place.";
    Suspected "susp" "Suspicions of agents.";
    SuspectCleared "back" "Suspected agents that answered again.";
    Orphaned "gone" "Searches that found that no back end has the flow; it was reset.";
    SearchInconclusive "lost" "Searches without a verdict; the caller gave up.";
    BlockedByAbsent "l.gone" "Of those, held up only by few agents that nobody expects to answer.";
    BlockedByLate "l.late" "Of those, held up by agents that should have answered, or by most agents.";
    BlockedByUncertain "l.unsu" "Of those, held up by agents or back ends that could not know.";
    BlockedByIncompleteDirectory "l.list" "Of those, held up because the balancer's list of agents was not whole.";
    NoResponseAwaited "l.end" "Of those, with nobody to tell: the caller waits for no answer.";
    BlockedByNone "l.none" "Of those, held up by no agent: all lack the flow; the caller may have closed it first.";
    PacketReturned "reset" "Flows reset inside: a back end does not have them any more.";
    Stalled "stall" "Flows whose agent does not answer.";
    BackendSilent "silent" "Back ends that fell silent.";
    BackendEjected "sick" "Back ends left out because they fail their requests.";
    LinkCongested "link" "Links of balancers that became full.";
    WriteFailed "disk" "Writes to a data folder that failed.";
    LinesSuppressed "cut" "Entries that were left out of the logs.";
}

/// The columns in which a line counts, and how much.
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

/// Why the balancer refused, by the answers that its line counts.
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
        // An answer that comes late counts in both.
        _ if full > 0 && full + late >= offered => Column::RefusedFull,
        _ => Column::RefusedOther,
    }
}

/// A search without a verdict, and which agents held the verdict up.
fn inconclusive_search(line: &LogLine) -> Vec<(Column, u64)> {
    let count = |name| number(line, name).unwrap_or(0);
    let mut columns = vec![(Column::SearchInconclusive, 1)];
    let undecided = count("uncertain") + count("tried");
    let is = |name, value| line.value(name) == Some(value);
    let blocked_by = match (
        count("expected"),
        undecided,
        count("missing"),
        count("lacks"),
    ) {
        (1.., ..) => Some(Column::BlockedByLate),
        (0, 1.., ..) => Some(Column::BlockedByUncertain),
        _ if is("awaits", "false") => Some(Column::NoResponseAwaited),
        _ if is("directory_whole", "false") => Some(Column::BlockedByIncompleteDirectory),
        (0, 0, missing @ 1.., not_owned) if missing < not_owned => Some(Column::BlockedByAbsent),
        (0, 0, 1.., _) => Some(Column::BlockedByLate),
        (0, 0, 0, 1..) => Some(Column::BlockedByNone),
        // Nobody was asked.
        (0, 0, 0, 0) => None,
    };
    columns.extend(blocked_by.map(|column| (column, 1)));
    columns
}

/// The subject is `N entries`.
fn suppressed_lines(line: &LogLine) -> u64 {
    let count = line.subject.split(' ').next();
    count.and_then(|it| it.parse().ok()).unwrap_or(0)
}

pub(super) fn number(line: &LogLine, name: &str) -> Option<u64> {
    line.value(name)?.parse().ok()
}
