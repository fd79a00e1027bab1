//! Back ends at an agent's address that are leaving: they are draining or have deregistered.
//!
//! A leaving back end may run on for a long time, and must not get new flows again. So another
//! incarnation that registers gets new flows only once it is proved that it runs, and not the
//! leaving one. A registration may arrive seconds late, even after its sender has crashed, so
//! that neither its sequence number nor the number of registrations is a proof. The proofs are:
//!
//! * the incarnation started later than the leaving one, if both report their start times;
//! * it registers steadily, and still does [`MAX_REGISTRATION_DELAY`] after the other one left:
//!   any registration that was sent before that one started has arrived by then;
//! * a previous incarnation of the agent had one of these proofs;
//! * nothing ran at the address of the back end at some time since the other one left.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

use super::backend_incarnation::BackendIncarnation;

/// Longest time that a registration is expected to take to arrive.
pub(super) const MAX_REGISTRATION_DELAY: Duration = Duration::from_secs(10);
/// Minimum number of registrations of an incarnation that registers steadily.
pub(super) const MIN_STEADY_REGISTRATIONS: u32 = 3;
/// Maximum number of leaving back ends that are kept.
const MAX_LEAVING: usize = 16;

/// One leaving back end, or all incarnations of one name.
#[derive(Clone, Copy, Debug)]
struct LeavingBackend {
    /// Digest of the incarnation, or of a name if the start time of the one that deregistered
    /// isn't known.
    digest: u64,
    started_at_millis: Option<u64>,
    left_at: Timestamp,
    /// When it was said last that it leaves. Another incarnation of the same name may have said so
    /// again.
    left_again_at: Timestamp,
    /// When it registered last, if it has since it left.
    registered_at: Option<Timestamp>,
    /// Whether only a previous incarnation of the agent has seen it leave.
    is_restored: bool,
    /// Whether it has certainly ended.
    has_ended: bool,
}

/// An incarnation that registers and isn't known to be leaving.
#[derive(Clone, Copy, Debug)]
pub(super) struct RegisteredIncarnation<'a> {
    pub(super) incarnation: &'a BackendIncarnation,
    /// Number of its registrations, in the order in which they were sent.
    pub(super) registrations: u32,
    /// When the latest of them arrived.
    pub(super) registered_at: Timestamp,
    /// Whether a previous incarnation of the agent had a proof that it runs.
    pub(super) had_proof: bool,
}

impl RegisteredIncarnation<'_> {
    /// Whether it registers steadily, and has done so [`MAX_REGISTRATION_DELAY`] after `since`.
    pub(super) fn registers_steadily(&self, since: Timestamp) -> bool {
        self.registrations >= MIN_STEADY_REGISTRATIONS
            && self.registered_at >= since + MAX_REGISTRATION_DELAY
    }
}

/// The leaving back ends at one address, the latest last.
#[derive(Debug, Default)]
pub(super) struct LeavingBackends {
    backends: VecDeque<LeavingBackend>,
}

impl LeavingBackends {
    pub(super) fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    pub(super) fn contains(&self, digest: u64) -> bool {
        self.backends.iter().any(|it| it.digest == digest)
    }

    pub(super) fn digests(&self) -> impl Iterator<Item = u64> + '_ {
        self.backends.iter().map(|it| it.digest)
    }

    /// Notes that an incarnation says now that it leaves, and has said so first at `left_at`.
    /// Without a start time it stands for each incarnation of its name.
    pub(super) fn note(
        &mut self,
        now: Timestamp,
        left_at: Timestamp,
        incarnation: &BackendIncarnation,
    ) {
        self.add(LeavingBackend {
            digest: incarnation.digest(),
            started_at_millis: incarnation.started_at_millis,
            left_at,
            left_again_at: now,
            registered_at: None,
            is_restored: false,
            has_ended: false,
        });
    }

    /// Restores one that a previous incarnation of the agent has seen leave. Returns whether it
    /// is new.
    pub(super) fn restore(&mut self, left_at: Timestamp, digest: u64) -> bool {
        let is_new = !self.contains(digest);
        if is_new {
            self.add(LeavingBackend {
                digest,
                started_at_millis: None,
                left_at,
                left_again_at: left_at,
                registered_at: None,
                is_restored: true,
                has_ended: false,
            });
        }
        is_new
    }

    fn add(&mut self, backend: LeavingBackend) {
        if let Some(known) = self.get_mut(backend.digest) {
            known.left_again_at = backend.left_again_at;
            known.has_ended = false;
            return;
        }
        self.backends.push_back(backend);
        if self.backends.len() > MAX_LEAVING {
            self.backends.pop_front();
        }
    }

    fn get_mut(&mut self, digest: u64) -> Option<&mut LeavingBackend> {
        self.backends.iter_mut().find(|it| it.digest == digest)
    }

    /// Notes a registration of one that has left before.
    pub(super) fn note_registration(&mut self, now: Timestamp, digest: u64) {
        if let Some(known) = self.get_mut(digest) {
            known.registered_at = Some(now);
        }
    }

    /// Notes that nothing runs at the address of the back end.
    pub(super) fn note_absence(&mut self) {
        self.backends.iter_mut().for_each(|it| it.has_ended = true);
    }

    /// Whether one of them may be the back end that runs, and not `registered`.
    pub(super) fn may_run_instead_of(&self, registered: &RegisteredIncarnation) -> bool {
        self.backends
            .iter()
            .any(|it| it.may_run_instead_of(registered))
    }
}

impl LeavingBackend {
    fn may_run_instead_of(&self, registered: &RegisteredIncarnation) -> bool {
        let incarnation = registered.incarnation;
        if self.digest == incarnation.digest() {
            return true;
        }
        if self.has_ended || (self.is_restored && registered.had_proof) {
            return false;
        }
        // `registered` may be the very incarnation of this name that deregistered.
        let has_same_name = self.digest == incarnation.name_digest();
        let started_later = self.started_at_millis.zip(incarnation.started_at_millis);
        if !has_same_name && started_later.is_some_and(|(left, other)| other > left) {
            return false;
        }
        let since = match has_same_name {
            true => self.left_again_at,
            false => self.left_at,
        };
        let registered_later = self.registered_at > Some(registered.registered_at);
        registered_later || !registered.registers_steadily(since)
    }
}
