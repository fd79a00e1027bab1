//! What became of all requests.

use std::collections::BTreeMap;
use std::fmt;

/// What became of one request, as its caller saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole and right answer came.
    Answered,
    /// It was refused and said not to have run.
    RefusedNotRun,
    /// The connection ended early, or the answer was wrong.
    Broken,
    /// A back end of another service answered.
    Misrouted,
}

/// How often each request ran, by its identifier, over all back ends.
pub type ExecutionCounts = BTreeMap<String, u64>;

/// The outcomes of all requests, by their identifiers.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    outcomes: BTreeMap<String, Outcome>,
}

/// The verdict over all requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Verdict {
    /// Requests sent.
    pub requests: usize,
    /// Requests answered whole and right.
    pub answered: usize,
    /// Requests refused as not run, which did not run.
    pub refused_not_run: usize,
    /// Requests that were cut or answered wrongly, or that were refused as not
    /// run and did run.
    pub broken: usize,
    /// Requests that ran more than once.
    pub duplicated: usize,
    /// Requests that reached another service.
    pub misrouted: usize,
}

impl Tally {
    /// Records what became of a request.
    pub fn record(&mut self, id: String, outcome: Outcome) {
        self.outcomes.insert(id, outcome);
    }

    /// Adds the requests of another tally.
    pub fn merge(&mut self, other: Tally) {
        self.outcomes.extend(other.outcomes);
    }

    /// Compares what callers saw with what the back ends ran.
    pub fn judge(&self, executions: &ExecutionCounts) -> Verdict {
        let mut verdict = Verdict {
            requests: self.outcomes.len(),
            ..Verdict::default()
        };
        for (id, outcome) in &self.outcomes {
            let runs = executions.get(id).copied().unwrap_or(0);
            verdict.duplicated += usize::from(runs > 1);
            match outcome {
                Outcome::Answered => verdict.answered += 1,
                Outcome::RefusedNotRun if runs == 0 => verdict.refused_not_run += 1,
                Outcome::RefusedNotRun | Outcome::Broken => verdict.broken += 1,
                Outcome::Misrouted => verdict.misrouted += 1,
            }
        }
        verdict
    }
}

impl Verdict {
    /// Tells whether nothing went wrong. Refusals are no fault.
    pub fn is_clean(&self) -> bool {
        self.broken == 0 && self.duplicated == 0 && self.misrouted == 0
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "requests={} answered={} refused_not_run={} broken={} duplicated={} misrouted={}",
            self.requests,
            self.answered,
            self.refused_not_run,
            self.broken,
            self.duplicated,
            self.misrouted,
        )
    }
}
