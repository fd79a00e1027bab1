//! A list of machines that lags, without input or output.

use std::collections::VecDeque;
use std::time::Duration;

use petrellatch_core::Timestamp;
use serde::{Deserialize, Serialize};

/// What follows the name of a machine that is leaving.
const LEAVING: &str = "leaving";

/// One machine of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The node name.
    pub name: String,
    /// Whether it is about to stop.
    pub leaving: bool,
}

/// A list as it was at some time.
#[derive(Debug)]
struct Version {
    since: Timestamp,
    machines: Vec<Machine>,
}

/// Shows each list only some time after it was given.
#[derive(Debug)]
pub struct LaggingList {
    lag: Duration,
    versions: VecDeque<Version>,
}

impl LaggingList {
    /// Makes an empty list that lags by this time.
    pub fn new(lag: Duration) -> LaggingList {
        LaggingList {
            lag,
            versions: VecDeque::new(),
        }
    }

    /// Takes in the list as it is now.
    pub fn handle_list(&mut self, now: Timestamp, machines: Vec<Machine>) {
        let is_new = self
            .versions
            .back()
            .is_none_or(|version| version.machines != machines);
        if is_new {
            self.versions.push_back(Version {
                since: now,
                machines,
            });
        }
    }

    /// Returns the list as it is shown now; before the first list has come of
    /// age it is empty.
    pub fn machines(&mut self, now: Timestamp) -> &[Machine] {
        while self.is_over(now) {
            self.versions.pop_front();
        }
        match self.versions.front() {
            Some(version) if self.is_shown(version, now) => &version.machines,
            _ => &[],
        }
    }

    /// Tells whether the oldest list has been replaced by now.
    fn is_over(&self, now: Timestamp) -> bool {
        self.versions
            .get(1)
            .is_some_and(|next| self.is_shown(next, now))
    }

    fn is_shown(&self, version: &Version, now: Timestamp) -> bool {
        now.saturating_since(version.since) >= self.lag
    }
}

/// Reads one machine a line. Empty lines and what follows `#` are skipped.
pub fn parse_machines(content: &str) -> Vec<Machine> {
    content.lines().filter_map(parse_machine).collect()
}

fn parse_machine(line: &str) -> Option<Machine> {
    let mut words = line.split('#').next()?.split_whitespace();
    let name = words.next()?.to_owned();
    let leaving = words.next() == Some(LEAVING);
    Some(Machine { name, leaving })
}
