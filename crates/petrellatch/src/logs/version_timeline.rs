//! How one version of the configuration came into force.

use std::collections::BTreeSet;
use std::fmt;

use petrellatch_core::EventKind;

use super::log_line::LogLine;

/// The lines about one version in their order, and the balancers that did not
/// tell that they have it, or a newer one, in force.
#[derive(Clone, Debug)]
pub struct VersionTimeline {
    version: u64,
    lines: Vec<LogLine>,
    nodes_without: Vec<String>,
}

impl VersionTimeline {
    /// Finds the story in lines that are in the order of their times.
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

    /// Balancers without the version.
    pub fn nodes_without(&self) -> &[String] {
        &self.nodes_without
    }
}

/// Nodes that applied some version, but neither this one nor a newer one.
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
            writeln!(formatter, "missing: every line about it")?;
        }
        for node in &self.nodes_without {
            writeln!(formatter, "missing: neither it nor a newer one at {node}")?;
        }
        Ok(())
    }
}
