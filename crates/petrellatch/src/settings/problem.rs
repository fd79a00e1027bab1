//! Problems in the settings.

use std::fmt;

/// A problem in the settings: its place, and the permitted values.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsProblem {
    /// Name of the settings file, or "command line".
    pub file: String,
    /// The line in the file, from one, if known.
    pub line: Option<usize>,
    /// The key with its section, such as `node.zone`.
    pub key: String,
    /// The value as written; empty if there is none.
    pub value: String,
    /// Description of the problem.
    pub message: String,
    /// Description of the permitted values; empty if the message contains it.
    pub allowed: String,
}

impl fmt::Display for SettingsProblem {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(formatter, ":{line}")?;
        }
        if !self.key.is_empty() {
            write!(formatter, ": {}", self.key)?;
        }
        if !self.value.is_empty() {
            write!(formatter, " = {}", self.value)?;
        }
        write!(formatter, ": {}", self.message)?;
        if !self.allowed.is_empty() {
            write!(formatter, "; allowed: {}", self.allowed)?;
        }
        Ok(())
    }
}
