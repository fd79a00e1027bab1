//! The parents that a daemon may use and the one that it uses now.

use std::net::SocketAddrV4;

use petrellatch_proto::dissemination::Attach;

use crate::identity::NodeId;

/// A parent by address. The node of a control replica named in the settings
/// is not known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ParentAddress {
    pub(super) node: Option<NodeId>,
    pub(super) control: SocketAddrV4,
}

/// Parents in order of preference: first those that the leader chose, then
/// the control replicas.
#[derive(Clone, Debug)]
pub(super) struct ParentList {
    attached: Vec<ParentAddress>,
    controls: Vec<ParentAddress>,
    current: usize,
}

impl ParentList {
    /// Makes a list of the control replicas that starts with one of them,
    /// chosen by `offset`.
    pub(super) fn new(controls: &[SocketAddrV4], offset: usize) -> Self {
        let mut controls: Vec<ParentAddress> = controls.iter().map(unnamed).collect();
        let middle = offset % controls.len().max(1);
        controls.rotate_left(middle);
        ParentList {
            attached: Vec::new(),
            controls,
            current: 0,
        }
    }

    /// Returns the parent in use, if any is known.
    pub(super) fn current(&self) -> Option<ParentAddress> {
        self.get(self.current)
    }

    /// Moves on to the next parent.
    pub(super) fn advance(&mut self) {
        let count = self.attached.len() + self.controls.len();
        self.current = (self.current + 1) % count.max(1);
    }

    /// Takes over the leader's choice. Returns whether the parent in use
    /// changes by it.
    pub(super) fn attach(&mut self, attach: &Attach, own_node: NodeId) -> bool {
        let attached: Vec<ParentAddress> = attach
            .parents
            .iter()
            .filter(|parent| parent.node != own_node.0)
            .map(|parent| ParentAddress {
                node: Some(NodeId(parent.node)),
                control: parent.control.into(),
            })
            .collect();
        if attached == self.attached {
            return self.return_to_attached();
        }
        let before = self.current();
        self.attached = attached;
        self.current = 0;
        self.current() != before
    }

    /// The leader repeats its choice when a daemon uses another parent.
    fn return_to_attached(&mut self) -> bool {
        let stays = self.attached.is_empty() || self.current < self.attached.len();
        if stays {
            return false;
        }
        self.current = 0;
        true
    }

    fn get(&self, index: usize) -> Option<ParentAddress> {
        let mut all = self.attached.iter().chain(&self.controls);
        all.nth(index).copied()
    }
}

fn unnamed(control: &SocketAddrV4) -> ParentAddress {
    ParentAddress {
        node: None,
        control: *control,
    }
}
