//! Placement policies: requests of operators, their responses, and updates for balancers.

use petrellatch_proto::pass_through::{PlacementPolicy, PolicyChange};

use super::*;
use crate::pass_through::policies::placement_policies::{
    MAX_POLICY_BYTES, PlacementPolicies, PolicyRefusal,
};
use crate::pass_through::policies::policy_check::{self, ExplainedPolicy};

impl ConfigurationNode {
    /// The placement policies, as far as the log is applied here.
    pub fn policies(&self) -> &PlacementPolicies {
        self.state.policies()
    }

    /// Proposes a change to the log once its policy has passed all checks. Repeated changes
    /// are proposed as well: only an applied log entry shows that the result is committed.
    pub(super) fn handle_policy_change(
        &mut self,
        now: Timestamp,
        token: u64,
        change: PolicyChange,
    ) {
        if self.replica.role() != Role::Leader {
            self.respond_not_leader(token);
            return;
        }
        if policy_size(&change) > MAX_POLICY_BYTES {
            self.refuse_policy(token, PolicyRefusal::TooLarge);
            return;
        }
        if let Some(policy) = &change.put
            && let Err(refusal) = policy_check::check(policy, &self.daemons.backends(now))
        {
            self.refuse_policy(token, refusal);
            return;
        }
        let command = ConfigurationState::policy_command(&change);
        match self.replica.propose(now, command) {
            Ok(_) => {
                let deadline = now + self.settings.request_timeout;
                self.pending_policy_changes
                    .add(change.change_id, token, deadline);
            }
            Err(_) => self.respond_not_leader(token),
        }
    }

    /// Checks a policy against the back ends that agents have reported to this replica,
    /// without storing it.
    pub(super) fn handle_policy_check(
        &mut self,
        now: Timestamp,
        token: u64,
        policy: &PlacementPolicy,
    ) {
        match policy_check::check(policy, &self.daemons.backends(now)) {
            Ok(()) => self.respond(token, ConfigurationResponse::PolicyValid),
            Err(refusal) => self.respond(token, ConfigurationResponse::PolicyRefused(refusal)),
        }
    }

    /// Explains what the policy of a service decides for each of its back ends. Only the
    /// leader receives the reports of all agents.
    pub(super) fn handle_policy_explanation(
        &mut self,
        now: Timestamp,
        token: u64,
        service: String,
    ) {
        if self.replica.role() != Role::Leader {
            self.respond_not_leader(token);
            return;
        }
        let policy = self.policies().for_service(&service).cloned();
        let mut explained = ExplainedPolicy {
            service,
            policy: String::new(),
            index: self.policies().index(),
            backends: Vec::new(),
        };
        if let Some(policy) = policy {
            let backends = self.daemons.backends(now);
            match policy_check::explain(now, &explained.service, &policy, &backends) {
                Ok(backends) => explained.backends = backends,
                Err(error) => {
                    let message = error.to_string();
                    self.refuse_policy(token, PolicyRefusal::Invalid { message });
                    return;
                }
            }
            explained.policy = policy.name;
        }
        self.respond(token, ConfigurationResponse::PolicyExplained(explained));
    }

    fn refuse_policy(&mut self, token: u64, refusal: PolicyRefusal) {
        self.emit_event(EventKind::PolicyRefused, refusal.to_string());
        self.respond(token, ConfigurationResponse::PolicyRefused(refusal));
    }

    /// Handles an applied change: responds to the request, and schedules updates for
    /// balancers.
    pub(super) fn note_policy_change(
        &mut self,
        change: &PolicyChange,
        outcome: Result<bool, PolicyRefusal>,
    ) {
        let index = self.policies().index();
        if outcome == Ok(true) {
            let subject = match &change.put {
                Some(policy) => format!("policy={} index={index}", policy.name),
                None => format!("removed={} index={index}", change.removed),
            };
            self.emit_event(EventKind::PolicyChanged, subject);
            self.update_notifier.note_balancers_due();
        }
        let Some(token) = self.pending_policy_changes.take(change.change_id) else {
            return;
        };
        match outcome {
            Ok(changed) => {
                self.respond(
                    token,
                    ConfigurationResponse::PolicyChanged { index, changed },
                );
            }
            Err(refusal) => self.refuse_policy(token, refusal),
        }
    }
}

/// Size of the policy that a change puts, in bytes.
fn policy_size(change: &PolicyChange) -> usize {
    change.put.as_ref().map_or(0, Message::encoded_len)
}
