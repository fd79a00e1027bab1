//! The timeline of one version of the configuration.

use std::collections::BTreeSet;
use std::fmt;

use petrellatch_core::EventKind;

use super::log_line::LogLine;

/// The lines about one version in order of time, and the balancers that did not log
/// that this version, or a newer one, is active.
#[derive(Clone, Debug)]
pub struct VersionTimeline {
    version: u64,
    lines: Vec<LogLine>,
    nodes_without: Vec<String>,
}

impl VersionTimeline {
    /// Builds the timeline of `version` from lines that are sorted by time.
    pub fn new(lines: &[LogLine], version: u64) -> VersionTimeline {
        let is_about = |line: &&LogLine| {
            let named = line.value("version").and_then(|it| it.parse().ok());
            named == Some(version) && !line.subject.contains("flow=")
        };
        let accepted = format!("answer=accepted({version})");
        let included = lines
            .iter()
            .filter(|line| is_about(line) || line.subject.contains(&accepted));
        VersionTimeline {
            version,
            lines: included.cloned().collect(),
            nodes_without: nodes_without(lines, version),
        }
    }

    /// Names of the balancers that logged an older version, but neither this one nor a
    /// newer one.
    pub fn nodes_without(&self) -> &[String] {
        &self.nodes_without
    }
}

/// Names of the nodes that applied some version, but neither this one nor a newer one.
fn nodes_without(lines: &[LogLine], version: u64) -> Vec<String> {
    let applied: Vec<(&str, u64)> = lines
        .iter()
        .filter(|line| line.event == EventKind::ConfigurationApplied.name())
        .filter_map(|line| Some((line.node.as_str(), line.value("version")?.parse().ok()?)))
        .collect();
    let nodes: BTreeSet<&str> = applied.iter().map(|(node, _)| *node).collect();
    let has = |node: &str| {
        applied
            .iter()
            .any(|(it, applied)| *it == node && *applied >= version)
    };
    let without = nodes.into_iter().filter(|node| !has(node));
    without.map(str::to_owned).collect()
}

impl fmt::Display for VersionTimeline {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "configuration version {}", self.version)?;
        for line in &self.lines {
            writeln!(formatter, "  {line}")?;
        }
        if self.lines.is_empty() {
            writeln!(formatter, "missing: all lines about this version")?;
        }
        for node in &self.nodes_without {
            writeln!(
                formatter,
                "missing: neither this version nor a newer one at {node}"
            )?;
        }
        Ok(())
    }
}
