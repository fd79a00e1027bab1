//! The replicated state: what the commands of the log lead to.

use std::collections::BTreeMap;

use petrellatch_proto::command::{Command, CommandKind, OperatorChange, RefuseChange};
use petrellatch_proto::dissemination::Delta;
use petrellatch_proto::record::RecordChange;
use prost::Message;

use crate::cluster::ClusterView;
use crate::error_kind::ErrorKind;
use crate::identity::NodeId;

use super::assignments::Assignments;
use super::change_draft::{ChangeDraft, FinishedDraft};
use super::changed_view::ChangedView;
use super::configuration_size;
use super::fenced_lives::{FencedLives, Life};
use super::limits::{
    MAX_CHANGE_BYTES, MAX_CONFIGURATION_BYTES, MAX_DELTA_BYTES, MAX_EDITS, MAX_REQUEST_ID_BYTES,
};
use super::mutations::ControlMutations;
use super::outcome::{AcceptedChange, Applied, ChangeAnswer, ChangeRefusal, CommandOutcome};
use super::request_window::{DecidedRequest, RequestWindow, content_hash};
use super::validation::{EditError, require};

/// The state that all control replicas derive from the same log. Applying a
/// command is deterministic: it depends on the state and the command alone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ControlState {
    pub(super) view: ClusterView,
    pub(super) config_version: u64,
    pub(super) assignments: Assignments,
    /// The encoded size of all services, back ends and policies.
    pub(super) configuration_bytes: usize,
    /// The version at which each member's present life was registered.
    pub(super) registrations: BTreeMap<NodeId, u64>,
    pub(super) fenced: FencedLives,
    pub(super) requests: RequestWindow,
    pub(super) mutations: ControlMutations,
}

impl ControlState {
    /// Makes the state before the first command.
    pub fn new(mutations: ControlMutations) -> Self {
        ControlState {
            mutations,
            ..ControlState::default()
        }
    }

    /// The records at the newest version.
    pub fn view(&self) -> &ClusterView {
        &self.view
    }

    /// The version of the last accepted operator change, on which the next
    /// one must be based.
    pub fn config_version(&self) -> u64 {
        self.config_version
    }

    /// The version at which the present life of a member was registered.
    pub fn registered_at(&self, node: NodeId) -> Option<u64> {
        self.registrations.get(&node).copied()
    }

    /// Whether this life was fenced, as far as is remembered.
    pub fn is_fenced(&self, life: Life) -> bool {
        self.fenced.contains(life)
    }

    /// Returns the answer to a change that was decided earlier.
    pub fn earlier_answer(&self, change: &OperatorChange) -> Option<ChangeAnswer> {
        if self.mutations.no_request_dedupe {
            return None;
        }
        let decided = self.requests.find(&change.request_id)?;
        if decided.content == content_hash(change) {
            return Some(decided.answer.clone());
        }
        let message = "the request id was used for another change";
        Some(Err(self.refusal(ErrorKind::Invalid, message)))
    }

    /// Checks whether a change would be accepted now, without effect.
    pub fn check_change(&self, change: &OperatorChange) -> Result<(), ChangeRefusal> {
        self.try_change(change).map(|_| ())
    }

    /// Returns the view as it would be after a change, to check policies
    /// against it.
    pub fn view_after(&self, change: &OperatorChange) -> Result<ChangedView<'_>, ChangeRefusal> {
        self.try_change(change).map(|finished| finished.view)
    }

    /// Applies the next command of the log. A command of an unknown kind
    /// changes nothing.
    pub fn apply(&mut self, command: &Command) -> Applied {
        match &command.kind {
            Some(CommandKind::Change(change)) => self.apply_change(change),
            Some(CommandKind::RefuseChange(refuse)) => self.apply_refusal(refuse),
            Some(CommandKind::Batch(batch)) => {
                let kinds = batch.commands.iter().filter_map(|it| it.kind.as_ref());
                self.apply_leader_commands(kinds)
            }
            Some(kind) => self.apply_leader_commands(std::iter::once(kind)),
            None => ignored(),
        }
    }

    fn apply_change(&mut self, change: &OperatorChange) -> Applied {
        if let Some(answer) = self.earlier_answer(change) {
            return decided(answer, None);
        }
        let (answer, delta) = match self.try_change(change) {
            Ok(finished) => {
                let assignments = finished.assignments;
                let changes = finished.view.into_changes();
                self.configuration_bytes = self.configuration_bytes_after(&changes);
                self.assignments.apply(assignments);
                let delta = self.commit(changes);
                self.config_version = delta.version;
                let accepted = AcceptedChange {
                    version: delta.version,
                };
                (Ok(accepted), Some(delta))
            }
            Err(refusal) => (Err(refusal), None),
        };
        self.remember(change, &answer);
        decided(answer, delta)
    }

    fn apply_refusal(&mut self, refuse: &RefuseChange) -> Applied {
        if let Some(answer) = self.earlier_answer(&refuse.change) {
            return decided(answer, None);
        }
        let refusal = self.refusal(ErrorKind::InvalidPolicy, refuse.message.clone());
        let answer = Err(refusal);
        self.remember(&refuse.change, &answer);
        decided(answer, None)
    }

    fn remember(&mut self, change: &OperatorChange, answer: &ChangeAnswer) {
        if change.request_id.len() > MAX_REQUEST_ID_BYTES {
            return;
        }
        self.requests.insert(DecidedRequest {
            request_id: change.request_id.clone(),
            content: content_hash(change),
            answer: answer.clone(),
        });
    }

    fn try_change(&self, change: &OperatorChange) -> Result<FinishedDraft<'_>, ChangeRefusal> {
        self.draft_change(change)
            .map_err(|error| self.refusal(error.kind, error.message))
    }

    fn draft_change(&self, change: &OperatorChange) -> Result<FinishedDraft<'_>, EditError> {
        check_frame(change)?;
        let based_on_current = change.based_on == self.config_version;
        if !based_on_current && !self.mutations.ignore_based_on {
            return Err(EditError {
                kind: ErrorKind::Conflict,
                message: format!(
                    "the change is based on version {}, the configuration is at {}",
                    change.based_on, self.config_version
                ),
            });
        }
        let mut draft = ChangeDraft::new(&self.view, &self.assignments);
        for edit in &change.edits {
            draft.apply(edit)?;
        }
        let finished = draft.finish();
        self.check_sizes(&finished.view)?;
        Ok(finished)
    }

    fn check_sizes(&self, after: &ChangedView<'_>) -> Result<(), EditError> {
        let changes = after.changes();
        let bytes: usize = changes.iter().map(Message::encoded_len).sum();
        if bytes > MAX_DELTA_BYTES {
            let message =
                format!("the change touches more than {MAX_DELTA_BYTES} bytes of records");
            return Err(EditError::too_large(message));
        }
        let total = self.configuration_bytes_after(&changes);
        if total > MAX_CONFIGURATION_BYTES && total > self.configuration_bytes {
            let message =
                format!("the configuration would have more than {MAX_CONFIGURATION_BYTES} bytes");
            return Err(EditError::too_large(message));
        }
        Ok(())
    }

    fn configuration_bytes_after(&self, changes: &[RecordChange]) -> usize {
        configuration_size::after(self.configuration_bytes, &self.view, changes)
    }

    fn refusal(&self, kind: ErrorKind, message: impl Into<String>) -> ChangeRefusal {
        ChangeRefusal {
            kind,
            message: message.into(),
            config_version: self.config_version,
        }
    }

    fn commit(&mut self, changes: Vec<RecordChange>) -> Delta {
        let delta = self.next_delta(changes);
        self.view
            .apply(&delta)
            .expect("the delta follows the version");
        delta
    }

    fn next_delta(&self, changes: Vec<RecordChange>) -> Delta {
        Delta {
            version: self.view.version() + 1,
            changes,
        }
    }
}

fn check_frame(change: &OperatorChange) -> Result<(), EditError> {
    let id = &change.request_id;
    let printable = id.bytes().all(|byte| byte.is_ascii_graphic());
    let sound = !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES && printable;
    require(sound, || {
        format!("the request id must be 1 to {MAX_REQUEST_ID_BYTES} printable characters")
    })?;
    require(!change.edits.is_empty(), || {
        "the change is empty".to_owned()
    })?;
    if change.edits.len() > MAX_EDITS {
        let message = format!("the change has more than {MAX_EDITS} edits");
        return Err(EditError::too_large(message));
    }
    if change.encoded_len() > MAX_CHANGE_BYTES {
        let message = format!("the change has more than {MAX_CHANGE_BYTES} bytes");
        return Err(EditError::too_large(message));
    }
    Ok(())
}

pub(super) fn ignored() -> Applied {
    Applied {
        outcome: CommandOutcome::Ignored,
        delta: None,
    }
}

fn decided(answer: ChangeAnswer, delta: Option<Delta>) -> Applied {
    Applied {
        outcome: CommandOutcome::Change(answer),
        delta,
    }
}
