//! The most important causes of failures, in order of time.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::column::Column;
use super::slice::Slice;
use super::{ProcessEvent, Summary};

/// Slices with overload are joined into one cause if the gap between them is at most this
/// many milliseconds, and so are process restarts: twice the time for which an agent is
/// suspected after its first missed reply. A silence before restarts is reported from this
/// length on.
const JOIN_MILLIS: u64 = 500;
/// Slices with other events are joined into one cause if the gap between them is at most
/// this many milliseconds: a flow search ends when its caller was silent for this long.
const JOIN_EVENTS_MILLIS: u64 = 2_500;
/// Refusals and suspicions per second up to which the load counts as ordinary.
const ORDINARY_PER_SECOND: u64 = 20;
/// Refusals within this time after process restarts, in milliseconds, are attributed to
/// them: callers retry at once, and back ends are cold for two seconds.
const AFTER_RESTARTS_MILLIS: u64 = 2_000;
/// Maximum number of reported causes: half a screen.
const MAX_CAUSES: usize = 12;

/// An event, or a group of them, that explains the failures that followed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Cause {
    /// Start in milliseconds since 1970, by the clocks of the lines.
    pub from: u64,
    /// End in milliseconds since 1970.
    pub until: u64,
    /// Number of flows or processes concerned; the causes of the highest weight are
    /// reported.
    pub weight: u64,
    /// Description of the events and what they indicate.
    pub text: String,
}

/// The causes of the highest weight, in order of time.
pub(super) fn causes(summary: &Summary) -> Vec<Cause> {
    let restarts = restarts(summary);
    let mut causes = overloads(summary, &restarts);
    causes.extend(inconclusive_searches(summary));
    causes.extend(congested_links(summary));
    causes.extend(lost_elections(summary));
    causes.extend(single_events(summary));
    causes.extend(restarts);
    causes.sort_by_key(|cause| std::cmp::Reverse(cause.weight));
    causes.truncate(MAX_CAUSES);
    causes.sort_by_key(|cause| cause.from);
    causes
}

/// Runs of slices for which `is_in` holds, with gaps of at most `gap_millis`. Returns start,
/// end and sum of each run.
fn runs(
    summary: &Summary,
    gap_millis: u64,
    is_in: impl Fn(&Slice) -> bool,
) -> Vec<(u64, u64, Slice)> {
    let mut runs: Vec<(u64, u64, Slice)> = Vec::new();
    for (index, slice) in summary.slices.iter().filter(|(_, slice)| is_in(slice)) {
        let (from, until) = (index * summary.width, (index + 1) * summary.width);
        match runs.last_mut() {
            Some((_, end, sum)) if from <= *end + gap_millis => {
                *end = until;
                sum.merge(slice);
            }
            _ => runs.push((from, until, slice.clone())),
        }
    }
    runs
}

/// Refusals and suspicions: too little capacity, or links that offers have congested.
fn overloads(summary: &Summary, restarts: &[Cause]) -> Vec<Cause> {
    let ordinary = ORDINARY_PER_SECOND * summary.width / 1_000;
    let runs = runs(summary, JOIN_MILLIS, |slice| {
        slice.refused() + slice.count(Column::Suspected) > ordinary
    });
    let agents = summary.slices.values().map(|slice| slice.agents).max();
    let causes = runs.into_iter().map(|(from, until, slice)| {
        let mut text = refusals(&slice);
        if slice.cold > 0 {
            let Slice { cold, agents, .. } = slice;
            text.push_str(&format!(", up to {cold} of {agents} agents cold"));
        }
        text.push_str(&suspicions(&slice, agents.unwrap_or(0), until - from));
        let restart = restarts
            .iter()
            .rev()
            .find(|restart| restart.from <= until && from <= restart.until + AFTER_RESTARTS_MILLIS);
        if let Some(restart) = restart {
            let count = restart.weight;
            text.push_str(&format!(
                "; at the time of the restart of {count} processes"
            ));
        }
        Cause {
            from,
            until,
            weight: slice.refused() + slice.count(Column::Suspected),
            text,
        }
    });
    causes.collect()
}

/// Describes the refusals of a slice by reason.
fn refusals(slice: &Slice) -> String {
    let reasons = [
        (Column::RefusedFull, "all agents that replied were full"),
        (Column::RefusedLate, "no agent replied in time"),
        (Column::RefusedUnknown, "no agent was known"),
        (Column::RefusedOther, "mixed or other reasons"),
    ];
    let reasons = reasons.iter().filter_map(|(column, reason)| {
        let count = slice.count(*column);
        (count > 0).then(|| format!("{count}: {reason}"))
    });
    let reasons: Vec<String> = reasons.collect();
    match reasons.is_empty() {
        true => "no flow refused".to_owned(),
        false => format!("{} flows refused ({})", slice.refused(), reasons.join(", ")),
    }
}

/// Describes suspicions, and whether their cause is single agents or congestion. An agent
/// that stops is suspected alone, and others accept its flows. If half of all agents are
/// suspected at the same time, the path to them is congested by offers and replies.
fn suspicions(slice: &Slice, agents: u64, millis: u64) -> String {
    let count = slice.count(Column::Suspected);
    if count == 0 {
        return String::new();
    }
    let (suspected, balancers) = (slice.suspected.len() as u64, slice.balancers.len());
    let rate = count * 1_000 / millis.max(1_000);
    let mut text = format!(
        "; {count} suspicions ({rate} per second) of {suspected} agents at {balancers} balancers"
    );
    // A single late reply says little: most balancers must suspect most agents.
    let by_most = count * 2 >= suspected * balancers as u64;
    let most_at_once = agents > 0 && suspected * 2 >= agents && by_most;
    if most_at_once && slice.count(Column::RefusedFull) > 0 && slice.refused() * 2 >= count {
        text.push_str(
            ": CONGESTION COLLAPSE, most agents reply late at the same time while some decline \
             as full; offers congest the balancers' links",
        );
    }
    text
}

/// Other reasons why a search is inconclusive.
const BLOCKERS: [(Column, &str); 5] = [
    (
        Column::BlockedByLate,
        "agents that were expected to reply, or most agents, did not",
    ),
    (
        Column::BlockedByUncertain,
        "agents did not know whether their back ends own the flow, or speculative deliveries were \
         undecided",
    ),
    (
        Column::BlockedByIncompleteDirectory,
        "the balancer's agent directory was incomplete",
    ),
    (
        Column::NoResponseAwaited,
        "the caller awaited no response (it closed the flow)",
    ),
    (
        Column::BlockedByNone,
        "no back end owned the flow, and the caller may have closed it first",
    ),
];

/// Inconclusive flow searches, and what kept them from a conclusion.
fn inconclusive_searches(summary: &Summary) -> Vec<Cause> {
    let runs = runs(summary, JOIN_EVENTS_MILLIS, |slice| {
        slice.count(Column::SearchInconclusive) > 0
    });
    let causes = runs.into_iter().map(|(from, until, slice)| {
        let weight = slice.count(Column::SearchInconclusive);
        let mut text = format!("{weight} flow searches were inconclusive");
        let blocked = slice.count(Column::BlockedByAbsent);
        if blocked > 0 {
            text.push_str(&format!(
                "; {blocked} of them BLOCKED BY A STOPPED AGENT: up to {} agents replied that \
                 their back ends do not own the flow, and at most {}, not expected to reply, did \
                 not reply",
                slice.not_owned, slice.missing
            ));
        }
        for (column, reason) in BLOCKERS {
            let count = slice.count(column);
            if count > 0 {
                text.push_str(&format!("; {count} because {reason}"));
            }
        }
        Cause {
            from,
            until,
            weight,
            text,
        }
    });
    causes.collect()
}

/// Congested links of balancers.
fn congested_links(summary: &Summary) -> Vec<Cause> {
    let runs = runs(summary, JOIN_EVENTS_MILLIS, |slice| {
        slice.count(Column::LinkCongested) > 0
    });
    let causes = runs.into_iter().map(|(from, until, slice)| {
        let weight = slice.count(Column::LinkCongested);
        let (links, wait) = (slice.congested_links.len(), slice.link_wait);
        let text = format!(
            "links of {links} balancers became CONGESTED, {weight} times: callers send more at \
             once than the links carry, and packets of long flows wait {wait} ms or more"
        );
        Cause {
            from,
            until,
            weight,
            text,
        }
    });
    causes.collect()
}

/// Lost elections: those that elected no leader.
fn lost_elections(summary: &Summary) -> Vec<Cause> {
    let runs = runs(summary, JOIN_EVENTS_MILLIS, |slice| {
        slice.count(Column::ElectionLost) > 0
    });
    let causes = runs.into_iter().map(|(from, until, slice)| {
        let weight = slice.count(Column::ElectionLost);
        let reasons = slice.elections_lost.iter();
        let reasons: Vec<String> = reasons
            .map(|(reason, count)| format!("{count} {reason}"))
            .collect();
        let (first, last) = slice.election_loss_period.unwrap_or((from, until));
        let text = format!(
            "elections LOST: {weight} ({}), first {}, last {}",
            reasons.join(", "),
            second_of_minute(first),
            second_of_minute(last)
        );
        Cause {
            from: first,
            until: last,
            weight,
            text,
        }
    });
    causes.collect()
}

/// Formats a time as seconds and milliseconds within its minute.
fn second_of_minute(millis: u64) -> String {
    const SECOND_MILLIS: u64 = 1_000;
    const MINUTE_SECONDS: u64 = 60;
    let (seconds, millis) = (millis / SECOND_MILLIS, millis % SECOND_MILLIS);
    format!("{}.{millis:03}", seconds % MINUTE_SECONDS)
}

/// Events that are causes by themselves, whatever their number.
fn single_events(summary: &Summary) -> Vec<Cause> {
    let kinds = [
        (
            Column::BackendEjected,
            "back ends ejected because their requests failed",
        ),
        (Column::BackendSilent, "back ends that fell silent"),
        (Column::WriteFailed, "writes to data folders that failed"),
        (Column::Elected, "elections"),
    ];
    let mut causes = Vec::new();
    for (column, text) in kinds {
        for (from, until, slice) in
            runs(summary, JOIN_EVENTS_MILLIS, |slice| slice.count(column) > 0)
        {
            let weight = slice.count(column);
            let text = format!("{text}: {weight}");
            causes.push(Cause {
                from,
                until,
                weight,
                text,
            });
        }
    }
    causes
}

/// Groups of processes that restarted at about the same time.
fn restarts(summary: &Summary) -> Vec<Cause> {
    let mut process_events = summary.process_events.clone();
    process_events.sort();
    let mut stopped = BTreeSet::new();
    let mut groups: Vec<RestartGroup> = Vec::new();
    for event in &process_events {
        let Some(role) = &event.role else {
            stopped.insert(event.node);
            continue;
        };
        let planned = stopped.remove(&event.node);
        // The first line of a node is its first start, not a restart.
        if summary.first_seen.get(&event.node) == Some(&event.millis) {
            continue;
        }
        match groups.last_mut() {
            Some(group) if event.millis <= group.until + JOIN_MILLIS => {
                group.add(event, role, planned);
            }
            _ => groups.push(RestartGroup::new(event, role, planned)),
        }
    }
    groups.iter().map(|group| group.cause(summary)).collect()
}

/// A group of restarts at about the same time.
struct RestartGroup {
    from: u64,
    until: u64,
    /// Number of processes that had been asked to stop.
    planned: u64,
    roles: BTreeMap<String, u64>,
}

impl RestartGroup {
    fn new(event: &ProcessEvent, role: &str, planned: bool) -> RestartGroup {
        let (from, until) = (event.millis, event.millis);
        let mut group = RestartGroup {
            from,
            until,
            planned: 0,
            roles: BTreeMap::new(),
        };
        group.add(event, role, planned);
        group
    }

    fn add(&mut self, event: &ProcessEvent, role: &str, planned: bool) {
        self.until = event.millis;
        self.planned += u64::from(planned);
        *self.roles.entry(role.to_owned()).or_default() += 1;
    }

    fn cause(&self, summary: &Summary) -> Cause {
        let weight: u64 = self.roles.values().sum();
        let roles = self
            .roles
            .iter()
            .map(|(role, count)| format!("{count} {role}"));
        let roles: Vec<String> = roles.collect();
        let mut text = format!("{weight} processes restarted ({})", roles.join(", "));
        match weight - self.planned {
            0 => text.push_str(", all after a planned stop"),
            killed => text.push_str(&format!(", {killed} of them without a planned stop")),
        }
        let silence = silence_before(summary, self.from);
        if silence >= JOIN_MILLIS {
            text.push_str(&format!(", after {silence} ms without any log line"));
        }
        Cause {
            from: self.from,
            until: self.until,
            weight,
            text,
        }
    }
}

/// Milliseconds before a time in which no process wrote a line.
fn silence_before(summary: &Summary, millis: u64) -> u64 {
    let slice = millis / summary.width;
    let last = summary.slices.range(..slice).next_back();
    last.map_or(0, |(index, _)| {
        millis.saturating_sub((index + 1) * summary.width)
    })
}
