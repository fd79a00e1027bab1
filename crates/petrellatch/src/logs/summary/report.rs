//! The report of a summary: a table for a terminal, or JSON.

use std::collections::BTreeMap;
use std::fmt;

use serde_json::{Map, Value, json};

use super::slice::Slice;
use super::{Cause, Column, Summary};

/// Maximum number of rows of the table, so that it fits on a screen with the causes.
const MAX_ROWS: u64 = 30;
/// Default widths of a slice, in milliseconds: round numbers that are easy to read.
const WIDTHS: [u64; 14] = [
    100, 250, 500, 1_000, 2_000, 5_000, 10_000, 30_000, 60_000, 120_000, 300_000, 600_000,
    1_800_000, 3_600_000,
];
const MILLIS_PER_DAY: u64 = 86_400_000;

/// Counts by slices of time, and the most important causes.
#[derive(Clone, Debug)]
pub struct SummaryReport {
    width: u64,
    rows: BTreeMap<u64, Slice>,
    total: Slice,
    refusals: BTreeMap<(String, String), u64>,
    causes: Vec<Cause>,
}

impl SummaryReport {
    pub(super) fn new(
        summary: &Summary,
        causes: Vec<Cause>,
        slice_millis: Option<u64>,
    ) -> SummaryReport {
        let width = match slice_millis {
            Some(width) => width,
            None => fitting_width(summary),
        };
        // The width must be a multiple of the width of the summary's slices.
        let width = width.max(1).div_ceil(summary.width) * summary.width;
        let mut rows: BTreeMap<u64, Slice> = BTreeMap::new();
        let mut total = Slice::default();
        for (index, slice) in &summary.slices {
            total.merge(slice);
            let from = index * summary.width;
            rows.entry(from - from % width).or_default().merge(slice);
        }
        let refusals = summary.refusals.clone();
        SummaryReport {
            width,
            rows,
            total,
            refusals,
            causes,
        }
    }

    /// The most important causes, in order of time.
    pub fn causes(&self) -> &[Cause] {
        &self.causes
    }

    /// The sum of a column over all slices.
    pub fn total(&self, column: Column) -> u64 {
        self.total.count(column)
    }

    /// The report as JSON. Times are in milliseconds since 1970.
    pub fn to_json(&self) -> Value {
        let rows = self.rows.iter().map(|(from, slice)| {
            let mut row = Map::new();
            row.insert("from".to_owned(), json!(from));
            row.insert("lines".to_owned(), json!(slice.lines));
            let counts = Column::ALL
                .iter()
                .filter(|column| slice.count(**column) > 0);
            row.extend(counts.map(|it| (it.name().to_owned(), json!(slice.count(*it)))));
            Value::Object(row)
        });
        let rows: Vec<Value> = rows.collect();
        let refusals = self.refusals.iter().map(|((reason, priority), count)| {
            json!({ "reason": reason, "priority": priority, "count": count })
        });
        let refusals: Vec<Value> = refusals.collect();
        json!({
            "slice_millis": self.width, "slices": rows, "refusals": refusals,
            "causes": self.causes,
        })
    }

    /// Columns with a count above zero.
    fn columns(&self) -> Vec<Column> {
        let counted = Column::ALL.iter().filter(|column| self.total(**column) > 0);
        counted.copied().collect()
    }

    fn write_table(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = self.columns();
        write!(formatter, "{:<12} {:>6}", "from", "lines")?;
        for column in &columns {
            write!(formatter, " {:>6}", column.name())?;
        }
        writeln!(formatter)?;
        for (from, slice) in &self.rows {
            write!(formatter, "{:<12} {:>6}", clock(*from), slice.lines)?;
            for column in &columns {
                match slice.count(*column) {
                    0 => write!(formatter, " {:>6}", ".")?,
                    count => write!(formatter, " {count:>6}")?,
                }
            }
            writeln!(formatter)?;
        }
        for column in columns {
            writeln!(formatter, "  {:<7} {}", column.name(), column.meaning())?;
        }
        Ok(())
    }
}

impl fmt::Display for SummaryReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "most important causes, in order of time:")?;
        for cause in &self.causes {
            let (from, until) = (clock(cause.from), clock(cause.until));
            writeln!(formatter, "  {from} to {until}  {}", cause.text)?;
        }
        if self.causes.is_empty() {
            writeln!(formatter, "  none found")?;
        }
        for ((reason, priority), count) in &self.refusals {
            writeln!(
                formatter,
                "refused: {count} reason={reason} priority={priority}"
            )?;
        }
        if self.total(Column::LinesSuppressed) > 0 {
            let count = self.total(Column::LinesSuppressed);
            writeln!(
                formatter,
                "missing: {count} entries were suppressed; all counts are lower bounds"
            )?;
        }
        writeln!(formatter, "slices of {} ms:", self.width)?;
        self.write_table(formatter)
    }
}

/// The smallest default width with which the table fits on a screen.
fn fitting_width(summary: &Summary) -> u64 {
    let rows = |width: u64| {
        let mut rows: Vec<u64> = summary
            .slices
            .keys()
            .map(|index| index * summary.width / width)
            .collect();
        rows.dedup();
        rows.len() as u64
    };
    let widths = WIDTHS.into_iter();
    let mut fitting = widths.filter(|width| rows(*width) <= MAX_ROWS);
    fitting.next().unwrap_or(MILLIS_PER_DAY)
}

/// Formats the time of day with milliseconds.
fn clock(millis: u64) -> String {
    let (seconds, millis) = (millis % MILLIS_PER_DAY / 1_000, millis % 1_000);
    let (hours, minutes) = (seconds / 3_600, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{millis:03}", seconds % 60)
}
