//! The few first causes, in the order of time.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::column::Column;
use super::slice::Slice;
use super::{Step, Summary};

/// Events this close belong together, in milliseconds: twice the time in which
/// a suspected agent is asked again.
const JOIN_MILLIS: u64 = 500;
/// Single events this close are told together, in milliseconds: how long a
/// caller looks for its flow.
const JOIN_EVENTS_MILLIS: u64 = 2_500;
/// A second's refusals and suspicions, below which it is ordinary load.
const ORDINARY_PER_SECOND: u64 = 20;
/// Refusals this soon after starts are told as theirs, in milliseconds: callers
/// come back at once, and back ends are cold for two seconds.
const AFTER_STARTS_MILLIS: u64 = 2_000;
/// Causes told, at most: half a screen.
const MAX_CAUSES: usize = 12;

/// Something that explains what followed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Cause {
    /// When it began, in milliseconds since 1970 by the lines' clocks.
    pub from: u64,
    /// When it ended.
    pub until: u64,
    /// Flows or processes that it is about; the table keeps the heaviest.
    pub weight: u64,
    /// What happened, and what it points to.
    pub text: String,
}

/// The heaviest causes, in the order of time.
pub(super) fn causes(summary: &Summary) -> Vec<Cause> {
    let starts = starts(summary);
    let mut causes = overloads(summary, &starts);
    causes.extend(inconclusive_searches(summary));
    causes.extend(congested_links(summary));
    causes.extend(lost_elections(summary));
    causes.extend(single_events(summary));
    causes.extend(starts);
    causes.sort_by_key(|cause| std::cmp::Reverse(cause.weight));
    causes.truncate(MAX_CAUSES);
    causes.sort_by_key(|cause| cause.from);
    causes
}

/// Runs of slices that `is_in`, with what they count together.
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

/// Refusals and suspicions: too little room, or links full of questions.
fn overloads(summary: &Summary, starts: &[Cause]) -> Vec<Cause> {
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
        let started = starts
            .iter()
            .rev()
            .find(|start| start.from <= until && from <= start.until + AFTER_STARTS_MILLIS);
        if let Some(started) = started {
            let count = started.weight;
            text.push_str(&format!(
                "; beside {count} processes that had started again"
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

fn refusals(slice: &Slice) -> String {
    let reasons = [
        (Column::RefusedFull, "all that answered were full"),
        (Column::RefusedLate, "no agent answered in time"),
        (Column::RefusedUnknown, "no agent was known"),
        (Column::RefusedOther, "mixed or other"),
    ];
    let reasons = reasons.iter().filter_map(|(column, reason)| {
        let count = slice.count(*column);
        (count > 0).then(|| format!("{count} {reason}"))
    });
    let reasons: Vec<String> = reasons.collect();
    match reasons.is_empty() {
        true => "no flow refused".to_owned(),
        false => format!("{} flows refused ({})", slice.refused(), reasons.join(", ")),
    }
}

/// Suspicions, and whether they mean agents or the balancers themselves. An
/// agent that dies is suspected alone, and others take its flows; when half of all agents are suspected at
/// once, it is the way to them, which their answers have filled.
fn suspicions(slice: &Slice, agents: u64, millis: u64) -> String {
    let count = slice.count(Column::Suspected);
    if count == 0 {
        return String::new();
    }
    let (suspected, balancers) = (slice.suspected.len() as u64, slice.balancers.len());
    let rate = count * 1_000 / millis.max(1_000);
    let mut text = format!(
        "; {count} suspicions ({rate} a second) of {suspected} agents at {balancers} balancers"
    );
    // Most balancers suspect most agents; a single late answer says little.
    let by_most = count * 2 >= suspected * balancers as u64;
    let most_at_once = agents > 0 && suspected * 2 >= agents && by_most;
    if most_at_once && slice.count(Column::RefusedFull) > 0 && slice.refused() * 2 >= count {
        text.push_str(
            ": CONGESTION COLLAPSE, most agents are late at once while some decline as full; \
             the balancers' links are full of questions",
        );
    }
    text
}

/// What else holds a verdict up.
const BLOCKERS: [(Column, &str); 5] = [
    (
        Column::BlockedByLate,
        "agents that should have answered, or most agents, did not",
    ),
    (
        Column::BlockedByUncertain,
        "agents or back ends could not know",
    ),
    (
        Column::BlockedByIncompleteDirectory,
        "the balancer's list of agents was not whole",
    ),
    (
        Column::NoResponseAwaited,
        "the caller waits for no answer (it closed the flow)",
    ),
    (
        Column::BlockedByNone,
        "all agents lack the flow, and the caller may have closed it first",
    ),
];

/// Searches for flows that ended without a verdict, and who held it up.
fn inconclusive_searches(summary: &Summary) -> Vec<Cause> {
    let runs = runs(summary, JOIN_EVENTS_MILLIS, |slice| {
        slice.count(Column::SearchInconclusive) > 0
    });
    let causes = runs.into_iter().map(|(from, until, slice)| {
        let weight = slice.count(Column::SearchInconclusive);
        let mut text = format!("{weight} flows sought without a verdict");
        let blocked = slice.count(Column::BlockedByAbsent);
        if blocked > 0 {
            text.push_str(&format!(
                "; for {blocked} of them SILENCED BY A STOPPED AGENT: up to {} agents lack the flow, \
                 all but at most {} that nobody expects to answer",
                slice.not_owned, slice.missing
            ));
        }
        for (column, reason) in BLOCKERS {
            let count = slice.count(column);
            if count > 0 {
                text.push_str(&format!("; for {count} {reason}"));
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

/// Links of balancers that carried less than was to be sent.
fn congested_links(summary: &Summary) -> Vec<Cause> {
    let runs = runs(summary, JOIN_EVENTS_MILLIS, |slice| {
        slice.count(Column::LinkCongested) > 0
    });
    let causes = runs.into_iter().map(|(from, until, slice)| {
        let weight = slice.count(Column::LinkCongested);
        let (links, wait) = (slice.congested_links.len(), slice.link_wait);
        let text = format!(
            "links of {links} balancers became FULL, {weight} times: callers send more at once \
             than these carry, and long flows wait, {wait} ms and more"
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

/// Elections without a leader, close to each other.
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

/// The seconds and milliseconds of a time.
fn second_of_minute(millis: u64) -> String {
    const SECOND_MILLIS: u64 = 1_000;
    const MINUTE_SECONDS: u64 = 60;
    let (seconds, millis) = (millis / SECOND_MILLIS, millis % SECOND_MILLIS);
    format!("{}.{millis:03}", seconds % MINUTE_SECONDS)
}

/// What counts each time that it happens.
fn single_events(summary: &Summary) -> Vec<Cause> {
    let kinds = [
        (
            Column::BackendEjected,
            "back ends left out because they fail requests",
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

/// Processes that started again, together.
fn starts(summary: &Summary) -> Vec<Cause> {
    let mut steps = summary.steps.clone();
    steps.sort();
    let mut stopped = BTreeSet::new();
    let mut groups: Vec<Starts> = Vec::new();
    for step in &steps {
        let Some(role) = &step.role else {
            stopped.insert(step.node);
            continue;
        };
        let planned = stopped.remove(&step.node);
        if summary.first_seen.get(&step.node) == Some(&step.millis) {
            continue;
        }
        match groups.last_mut() {
            Some(group) if step.millis <= group.until + JOIN_MILLIS => {
                group.add(step, role, planned);
            }
            _ => groups.push(Starts::new(step, role, planned)),
        }
    }
    groups.iter().map(|group| group.cause(summary)).collect()
}

struct Starts {
    from: u64,
    until: u64,
    planned: u64,
    roles: BTreeMap<String, u64>,
}

impl Starts {
    fn new(step: &Step, role: &str, planned: bool) -> Starts {
        let (from, until) = (step.millis, step.millis);
        let mut starts = Starts {
            from,
            until,
            planned: 0,
            roles: BTreeMap::new(),
        };
        starts.add(step, role, planned);
        starts
    }

    fn add(&mut self, step: &Step, role: &str, planned: bool) {
        self.until = step.millis;
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
        let mut text = format!("{weight} processes started again ({})", roles.join(", "));
        match weight - self.planned {
            0 => text.push_str(", as asked"),
            killed => text.push_str(&format!(", {killed} without having been asked to stop")),
        }
        let silence = silence_before(summary, self.from);
        if silence >= JOIN_MILLIS {
            text.push_str(&format!(", after {silence} ms without a line of anyone"));
        }
        Cause {
            from: self.from,
            until: self.until,
            weight,
            text,
        }
    }
}

/// Milliseconds before a time in which nobody wrote a line.
fn silence_before(summary: &Summary, millis: u64) -> u64 {
    let slice = millis / summary.width;
    let last = summary.slices.range(..slice).next_back();
    last.map_or(0, |(index, _)| {
        millis.saturating_sub((index + 1) * summary.width)
    })
}
