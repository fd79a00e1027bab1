//! Flows that other agents have.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::Timestamp;
use crate::identity::{BackendId, NodeId};
use crate::placement::FlowKey;
use crate::routing::AgentIncarnation;

/// How long packets are passed on to a life that was fenced. It may be alive
/// and only cut off from the control group, or come back under a new life and
/// claim its flows.
pub(super) const ORPHAN_GRACE: Duration = Duration::from_secs(60);

/// How long a redirect that was just made is kept against the word of the
/// holder that it does not have the flow: the word may be older.
const SETTLE_TIME: Duration = Duration::from_millis(200);

/// How long the answer to a hunt is awaited. A caller's TCP repeats its opening
/// packet after a second at the earliest (RFC 6298), so that what comes sooner
/// was doubled on its way.
pub const HUNT_PATIENCE: Duration = Duration::from_millis(900);

/// A flow that another agent has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Redirect {
    /// The agent that has it.
    pub holder: AgentIncarnation,
    /// The flow was passed to the holder as a new one, and the holder has not
    /// answered yet.
    pub pending: Option<PendingHunt>,
    made_at: Timestamp,
    used_at: Timestamp,
    orphaned_at: Option<Timestamp>,
}

/// A new flow that was passed to a second candidate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PendingHunt {
    /// The packet that opens the flow.
    pub opening: Vec<u8>,
    /// The back ends that were asked, in order.
    pub asked: Vec<BackendId>,
}

/// The redirects of one service at one agent.
#[derive(Clone, Debug, Default)]
pub struct RedirectTable {
    redirects: BTreeMap<FlowKey, Redirect>,
}

impl RedirectTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        RedirectTable::default()
    }

    /// Notes that `holder` has the flow.
    pub fn insert(&mut self, now: Timestamp, key: FlowKey, holder: AgentIncarnation) {
        let redirect = Redirect {
            holder,
            pending: None,
            made_at: now,
            used_at: now,
            orphaned_at: None,
        };
        self.redirects.insert(key, redirect);
    }

    /// Notes that the new flow was passed to `holder`, which has to answer.
    pub fn insert_pending(
        &mut self,
        now: Timestamp,
        key: FlowKey,
        holder: AgentIncarnation,
        pending: PendingHunt,
    ) {
        self.insert(now, key, holder);
        if let Some(redirect) = self.redirects.get_mut(&key) {
            redirect.pending = Some(pending);
        }
    }

    /// Returns the redirect of a flow.
    pub fn get(&self, key: &FlowKey) -> Option<&Redirect> {
        self.redirects.get(key)
    }

    /// Returns the redirect of a flow of which a packet came.
    pub fn get_for_packet(&mut self, now: Timestamp, key: &FlowKey) -> Option<&Redirect> {
        let redirect = self.redirects.get_mut(key)?;
        redirect.used_at = now;
        Some(redirect)
    }

    /// Notes the answer of `holder` that it admitted the flow.
    pub fn confirm(&mut self, key: &FlowKey, holder: AgentIncarnation) {
        if let Some(redirect) = self.redirects.get_mut(key)
            && redirect.holder == holder
        {
            redirect.pending = None;
        }
    }

    /// Takes out a pending hunt that `holder` refused.
    pub fn take_refused(&mut self, key: &FlowKey, holder: AgentIncarnation) -> Option<PendingHunt> {
        let redirect = self.redirects.get(key)?;
        if redirect.holder != holder || redirect.pending.is_none() {
            return None;
        }
        self.redirects.remove(key)?.pending
    }

    /// Takes out a pending hunt, whoever was asked.
    pub fn take_pending(&mut self, key: &FlowKey) -> Option<PendingHunt> {
        self.redirects.get(key)?.pending.as_ref()?;
        self.redirects.remove(key)?.pending
    }

    /// Forgets a flow that ended at `holder`, unless the redirect is so new
    /// that the message may be about an earlier flow of the same caller port.
    pub fn handle_ended(&mut self, now: Timestamp, key: &FlowKey, holder: NodeId) {
        self.handle_not_here(now, key, holder);
    }

    /// Forgets a flow, whoever has it.
    pub fn forget(&mut self, key: &FlowKey) {
        self.redirects.remove(key);
    }

    /// Handles the word of a node that it does not have the flow. Returns
    /// whether the flow is unknown now.
    pub fn handle_not_here(&mut self, now: Timestamp, key: &FlowKey, holder: NodeId) -> bool {
        let Some(redirect) = self.redirects.get(key) else {
            return true;
        };
        let settled = now.saturating_since(redirect.made_at) >= SETTLE_TIME;
        if redirect.holder.node != holder || !settled {
            return false;
        }
        self.redirects.remove(key);
        true
    }

    /// Forgets the redirects to earlier lives of the node: the new life has
    /// said which flows it took over.
    pub fn replace_former_lives(&mut self, life: AgentIncarnation) {
        self.redirects
            .retain(|_, redirect| redirect.holder.node != life.node || redirect.holder == life);
    }

    /// Marks the redirects to lives that are not members any more.
    pub fn mark_orphans(&mut self, now: Timestamp, is_member: impl Fn(AgentIncarnation) -> bool) {
        for redirect in self.redirects.values_mut() {
            if is_member(redirect.holder) {
                redirect.orphaned_at = None;
            } else if redirect.orphaned_at.is_none() {
                redirect.orphaned_at = Some(now);
            }
        }
    }

    /// Forgets redirects that no packet used for `idle`, and orphans whose
    /// grace ran out.
    pub fn expire(&mut self, now: Timestamp, idle: Duration) {
        self.redirects.retain(|_, redirect| {
            let orphan_expired = redirect
                .orphaned_at
                .is_some_and(|since| now.saturating_since(since) >= ORPHAN_GRACE);
            let used = now.saturating_since(redirect.used_at) < idle;
            used && !orphan_expired
        });
    }

    /// Forgets redirects for which `is_foreign` is true and that no packet
    /// used for [`ORPHAN_GRACE`].
    pub fn expire_foreign(&mut self, now: Timestamp, is_foreign: impl Fn(&FlowKey) -> bool) {
        self.redirects.retain(|key, redirect| {
            let unused = now.saturating_since(redirect.used_at) >= ORPHAN_GRACE;
            !(unused && is_foreign(key))
        });
    }

    /// Returns all redirects by flow.
    pub fn iter(&self) -> impl Iterator<Item = (&FlowKey, &Redirect)> {
        self.redirects.iter()
    }

    /// Returns whether a life of the node has any of the flows.
    pub fn leads_to(&self, node: NodeId) -> bool {
        let mut redirects = self.redirects.values();
        redirects.any(|redirect| redirect.holder.node == node)
    }

    /// Returns how many there are.
    pub fn len(&self) -> usize {
        self.redirects.len()
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.redirects.is_empty()
    }
}

impl Redirect {
    /// Returns whether the flow was passed to the holder so recently that its
    /// answer may be on its way.
    pub fn was_just_passed(&self, now: Timestamp) -> bool {
        self.pending.is_some() && now.saturating_since(self.made_at) < HUNT_PATIENCE
    }

    /// Returns whether the holder's life is over as far as the view says.
    pub fn is_orphaned(&self) -> bool {
        self.orphaned_at.is_some()
    }
}
