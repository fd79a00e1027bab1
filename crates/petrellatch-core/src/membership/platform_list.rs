//! The platform's list of machines.

use std::collections::BTreeMap;

use crate::identity::NodeId;

/// One entry of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlatformMachine {
    /// The node's name.
    pub name: String,
    /// Whether the platform says that the machine is leaving.
    pub is_leaving: bool,
}

/// The newest list. It lags, so it only makes silence more suspicious.
#[derive(Clone, Debug, Default)]
pub(super) struct PlatformList {
    leaving: BTreeMap<NodeId, bool>,
}

impl PlatformList {
    pub(super) fn replace(&mut self, machines: &[PlatformMachine]) {
        let entries = machines.iter();
        self.leaving = entries
            .map(|machine| (NodeId::from_name(&machine.name), machine.is_leaving))
            .collect();
    }

    /// Whether the list is known and says that the machine is gone or going.
    pub(super) fn doubts(&self, node: NodeId) -> bool {
        if self.leaving.is_empty() {
            return false;
        }
        self.leaving.get(&node).copied().unwrap_or(true)
    }
}
