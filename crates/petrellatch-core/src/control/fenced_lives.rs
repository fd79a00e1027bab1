//! Lives that were fenced and must not become members again.

use std::collections::{BTreeSet, VecDeque};

use crate::identity::{Incarnation, NodeId};

use super::limits::FENCED_WINDOW;

/// One life of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Life {
    /// The node.
    pub node: NodeId,
    /// The incarnation.
    pub incarnation: Incarnation,
}

/// The newest fenced lives. One that was forgotten could register again; it
/// then gets no lease before it has applied the version of that registration,
/// so that it can't act on what it knew before it was fenced.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct FencedLives {
    order: VecDeque<Life>,
    lives: BTreeSet<Life>,
}

impl FencedLives {
    pub(super) fn contains(&self, life: Life) -> bool {
        self.lives.contains(&life)
    }

    pub(super) fn insert(&mut self, life: Life) {
        if !self.lives.insert(life) {
            return;
        }
        self.order.push_back(life);
        if self.order.len() > FENCED_WINDOW
            && let Some(oldest) = self.order.pop_front()
        {
            self.lives.remove(&oldest);
        }
    }

    /// All lives, the one fenced first at the front.
    pub(super) fn iter(&self) -> impl Iterator<Item = Life> {
        self.order.iter().copied()
    }
}
