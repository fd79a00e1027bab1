//! A parsed log line.

use std::fmt;

use serde::Deserialize;

/// Maximum number of fractional digits of a second in the times of log lines.
const FRACTION_DIGITS: usize = 9;
const MILLIS_PER_SECOND: u64 = 1_000;
const MILLIS_PER_DAY: u64 = 86_400_000;
/// Days from the first of March of year 0 to the start of 1970, plus one because the
/// days of a month count from 1.
const DAYS_BEFORE_1970: u64 = 719_469;

/// One log line of a process. Lines are ordered by their time, which comes from the
/// clock of the machine that wrote them.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LogLine {
    /// Date and time in RFC 3339, padded to nine fractional digits so that the order of
    /// the texts is the order of the times.
    pub time: String,
    /// Name of the node that wrote the line.
    pub node: String,
    /// Name of the event.
    pub event: String,
    /// Subject of the event: words, or `name=value` pairs.
    pub subject: String,
}

#[derive(Deserialize)]
struct Document {
    msg: String,
    ts: String,
    node: String,
    #[serde(default)]
    subject: String,
}

impl LogLine {
    /// Parses a line of JSON. Text before the first brace is ignored, since log
    /// collectors put a prefix there. Returns `None` for any other line.
    pub fn parse(line: &str) -> Option<LogLine> {
        let document = &line[line.find('{')?..];
        let document: Document = serde_json::from_str(document).ok()?;
        Some(LogLine {
            time: with_all_digits(&document.ts),
            node: document.node,
            event: document.msg,
            subject: document.subject,
        })
    }

    /// Parses all log lines of a text and skips its other lines.
    pub fn parse_all(text: &str) -> impl Iterator<Item = LogLine> + '_ {
        text.lines().filter_map(LogLine::parse)
    }

    /// Returns a value of the subject, which has the form `name=value name=value`.
    pub fn value(&self, name: &str) -> Option<&str> {
        let words = self.subject.split(' ');
        let mut pairs = words.filter_map(|word| word.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the milliseconds since the start of the line's day.
    pub fn millis_of_day(&self) -> Option<u64> {
        let (_, clock) = self.time.split_once('T')?;
        let mut parts = clock.trim_end_matches('Z').splitn(3, ':');
        let hours: u64 = parts.next()?.parse().ok()?;
        let minutes: u64 = parts.next()?.parse().ok()?;
        let seconds: f64 = parts.next()?.parse().ok()?;
        let minutes_millis = (hours * 60 + minutes) * 60 * MILLIS_PER_SECOND;
        Some(minutes_millis + (seconds * MILLIS_PER_SECOND as f64) as u64)
    }

    /// Returns the milliseconds since the start of 1970, which order lines of several
    /// days.
    pub fn millis(&self) -> Option<u64> {
        let (date, _) = self.time.split_once('T')?;
        let mut parts = date.splitn(3, '-').map(|part| part.parse::<u64>().ok());
        let (year, month, day) = (parts.next()??, parts.next()??, parts.next()??);
        let days = days_since_1970(year, month, day)?;
        Some(days * MILLIS_PER_DAY + self.millis_of_day()?)
    }
}

/// Days from the start of 1970 to a date of the Gregorian calendar. Years are counted
/// from March, so that a leap day is the last day of its year.
fn days_since_1970(year: u64, month: u64, day: u64) -> Option<u64> {
    let years = if month > 2 {
        year
    } else {
        year.checked_sub(1)?
    };
    let months = (month + 9) % 12;
    let leap_days = years / 4 - years / 100 + years / 400;
    let days = years * 365 + leap_days + (months * 153 + 2) / 5 + day;
    days.checked_sub(DAYS_BEFORE_1970)
}

impl fmt::Display for LogLine {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LogLine {
            time,
            node,
            event,
            subject,
        } = self;
        write!(formatter, "{time} {node} {event} {subject}")
    }
}

/// Pads a time to the maximum number of fractional digits.
fn with_all_digits(time: &str) -> String {
    let time = time.trim_end_matches('Z');
    let (seconds, fraction) = time.split_once('.').unwrap_or((time, ""));
    format!("{seconds}.{fraction:0<FRACTION_DIGITS$}Z")
}
