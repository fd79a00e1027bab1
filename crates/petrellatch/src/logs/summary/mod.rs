//! A summary of all log lines: counts by slices of time, and the most important causes.
//!
//! Lines are counted in any order and not kept, so that memory is bounded by the number
//! of slices and names, not by the number of lines.

mod causes;
mod column;
mod report;
mod slice;

use std::collections::BTreeMap;

use petrellatch_core::EventKind;

pub use causes::Cause;
pub use column::Column;
pub use report::SummaryReport;
use slice::Slice;

use super::LogLine;

/// Width of the finest slice, in milliseconds: a congestion collapse begins within
/// 200 ms.
const FINEST_MILLIS: u64 = 100;
/// Maximum number of slices. Beyond it the width is doubled; slices of 12.8 s hold a day.
const MAX_SLICES: usize = 8_192;
/// Maximum number of names of nodes and agents: four for each of 1,000 machines.
const MAX_NAMES: usize = 4_096;
/// Maximum number of recorded starts and stops: eight for each of 1,000 machines.
const MAX_PROCESS_EVENTS: usize = 8_192;
/// Maximum number of pairs of reason and priority; there are about ten.
const MAX_REASONS: usize = 64;

/// The start of a process, or the request to stop it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ProcessEvent {
    millis: u64,
    node: u32,
    /// Role of the process that started; `None` for a stop.
    role: Option<String>,
}

/// Counts log lines and reports the counts.
#[derive(Clone, Debug)]
pub struct Summary {
    width: u64,
    slices: BTreeMap<u64, Slice>,
    names: BTreeMap<String, u32>,
    first_seen: BTreeMap<u32, u64>,
    process_events: Vec<ProcessEvent>,
    refusals: BTreeMap<(String, String), u64>,
}

impl Default for Summary {
    fn default() -> Summary {
        Summary {
            width: FINEST_MILLIS,
            slices: BTreeMap::new(),
            names: BTreeMap::new(),
            first_seen: BTreeMap::new(),
            process_events: Vec::new(),
            refusals: BTreeMap::new(),
        }
    }
}

impl Summary {
    /// Counts a line. Lines without a known event or a valid time are ignored.
    pub fn add(&mut self, line: &LogLine) {
        let kind = EventKind::ALL.iter().find(|it| it.name() == line.event);
        let (Some(kind), Some(millis)) = (kind, line.millis()) else {
            return;
        };
        let node = self.name_number(&line.node);
        let seen = self.first_seen.entry(node).or_insert(millis);
        *seen = millis.min(*seen);
        self.note_process_event(*kind, line, millis, node);
        if *kind == EventKind::FlowRefused {
            self.note_refusal(line);
        }
        let agent = line.value("agent").map(|agent| self.name_number(agent));
        let slice = self.slices.entry(millis / self.width).or_default();
        slice.lines += 1;
        slice.add(*kind, line, node, agent);
        if self.slices.len() > MAX_SLICES {
            self.double_width();
        }
    }

    /// Returns the report of the lines. `slice_millis` is the width of the table's slices
    /// in milliseconds; by default the table fits on a screen.
    pub fn report(&self, slice_millis: Option<u64>) -> SummaryReport {
        let causes = causes::causes(self);
        SummaryReport::new(self, causes, slice_millis)
    }

    fn note_process_event(&mut self, kind: EventKind, line: &LogLine, millis: u64, node: u32) {
        let role = match kind {
            EventKind::ProcessStarted => line.subject.split(' ').next().map(str::to_owned),
            EventKind::ProcessStopping => None,
            _ => return,
        };
        if self.process_events.len() < MAX_PROCESS_EVENTS {
            self.process_events
                .push(ProcessEvent { millis, node, role });
        }
    }

    fn note_refusal(&mut self, line: &LogLine) {
        let value = |name| line.value(name).unwrap_or("-").to_owned();
        let mut key = (value("reason"), value("priority"));
        if self.refusals.len() >= MAX_REASONS && !self.refusals.contains_key(&key) {
            key = ("others".to_owned(), "-".to_owned());
        }
        *self.refusals.entry(key).or_default() += 1;
    }

    /// Returns the number of a name. All names beyond the limit share the last number.
    fn name_number(&mut self, name: &str) -> u32 {
        if let Some(number) = self.names.get(name) {
            return *number;
        }
        let next = self.names.len();
        if next < MAX_NAMES {
            self.names.insert(name.to_owned(), next as u32);
        }
        next as u32
    }

    fn double_width(&mut self) {
        self.width *= 2;
        for (index, slice) in std::mem::take(&mut self.slices) {
            self.slices.entry(index / 2).or_default().merge(&slice);
        }
    }
}
