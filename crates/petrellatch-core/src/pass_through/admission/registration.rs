//! State of an agent's back end, which registers itself at the agent.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use petrellatch_proto::pass_through::{AgentState, BackendDescription};
use snafu::Snafu;

use crate::time::Timestamp;

use crate::pass_through::digest::backend_digest;

/// Slots assumed for a back end that hasn't registered yet. If it has fewer, it queues or
/// returns the excess requests.
const PROVISIONAL_SLOTS: u32 = 4;
/// Registrations that a back end may have sent before its agent was running. A sequence number
/// up to this one still shows that an incarnation has just started.
const EARLY_REGISTRATIONS: u64 = 3;
/// An incarnation whose start time is before that of the current one is the newer one all the
/// same if it keeps registering for this long while the current one doesn't: its clock was set
/// back. Delayed registrations of a previous incarnation arrive within a moment, and the
/// current one registers about every second. An incarnation that has registered for this long has
/// run beside this agent.
const EARLIER_START_TIMEOUT: Duration = Duration::from_secs(3);
/// The same for an incarnation whose first registrations weren't received, beside a back end that
/// is leaving: that one is silent after its deregistration, and registrations of a previous
/// incarnation may be delayed by seconds.
const LATE_REGISTRATION_TIMEOUT: Duration = Duration::from_secs(10);
/// Minimum number of registrations within that time.
const MIN_LATE_REGISTRATIONS: u32 = 3;
/// Maximum number of deregistered incarnations that are kept, so that a delayed registration
/// doesn't bring one of them back.
const MAX_DEREGISTERED: usize = 16;
/// Maximum number of draining and deregistered incarnations in a report to the replica group.
const MAX_DRAINING_REPORTED: usize = 4;
/// A back end that hasn't answered a SYN for this long may have restarted, and be cold, when it
/// sends its next packet. A running one answers or returns a SYN at once.
const SYN_ACK_TIMEOUT: Duration = Duration::from_millis(500);

/// A registration of a back end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Registration {
    /// Name of the back end, which may restart under the same name.
    pub id: String,
    /// The service that it runs.
    pub service: String,
    /// Start time in milliseconds of the back end's own clock, which may have been set since;
    /// `None` if it isn't reported.
    pub started_at_millis: Option<u64>,
    /// Increases with each registration of an incarnation, and starts over with the next one.
    pub sequence: u64,
    /// Number of requests that the back end processes at once.
    pub slots: u32,
    /// Whether the back end drains, so that it gets no new flows.
    pub draining: bool,
    /// Remaining warm-up time.
    pub cold_for: Duration,
    /// Free-form labels, which placement policies read.
    pub labels: BTreeMap<String, String>,
}

impl Registration {
    fn incarnation(&self) -> BackendIncarnation {
        BackendIncarnation {
            id: self.id.clone(),
            started_at_millis: self.started_at_millis,
        }
    }
}

/// Why a registration is refused.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RegistrationRefusal {
    /// The agent belongs to another service.
    #[snafu(display("the back end beside this agent runs {own}, not {named}"))]
    WrongService {
        /// The service of the agent.
        own: String,
        /// The service that the registration names.
        named: String,
    },
}

/// One incarnation of a back end. The next one may have the same name, but shares nothing else
/// with it.
#[derive(Clone, Debug, PartialEq, Eq)]
struct BackendIncarnation {
    id: String,
    started_at_millis: Option<u64>,
}

impl BackendIncarnation {
    fn digest(&self) -> u64 {
        backend_digest(&self.id, self.started_at_millis)
    }

    /// Digest of its name alone.
    fn name_digest(&self) -> u64 {
        backend_digest(&self.id, None)
    }

    /// Whether it started after another one; `None` unless both report a start time.
    fn started_after(&self, other: &BackendIncarnation) -> Option<bool> {
        Some(self.started_at_millis? > other.started_at_millis?)
    }
}

/// State of an agent's back end, as its registrations and packets show it.
#[derive(Debug)]
pub struct RegistrationState {
    current: Option<Current>,
    /// Another incarnation that has registered, and may be newer or older than the current one.
    /// It is dropped once the current one registers again.
    contender: Option<Contender>,
    /// Whether the back end has sent a packet, which shows that it runs.
    seen_alive: bool,
    /// Whether the address of the back end has refused a packet: nothing ran there then.
    was_absent: bool,
    /// Until when a back end that hasn't registered may get new flows.
    provisional_until: Timestamp,
    /// Whether the back end has returned a SYN since its last packet.
    returned_syn: bool,
    /// Whether an incarnation has started after another one had run beside this agent.
    saw_restart: bool,
    /// When the back end got the first SYN that it hasn't answered.
    unanswered_since: Option<Timestamp>,
    /// Whether the back end may have restarted, and be cold, since its last registration.
    may_have_restarted: bool,
    /// Digests of deregistered incarnations, which must not get new flows again. A digest without
    /// a start time stands for each incarnation of its name that isn't known to be newer.
    deregistered: VecDeque<u64>,
    /// Digest of the back end that took new flows at the end of the agent's previous incarnation.
    restored_serving: Option<u64>,
    /// Whether a back end has deregistered since the start, so that the one that served before it
    /// may be that one. Replicas go on naming it.
    has_deregistered: bool,
    /// Increases when another incarnation registers or when the labels change.
    description_revision: u64,
}

#[derive(Debug)]
struct Current {
    incarnation: BackendIncarnation,
    sequence: u64,
    slots: u32,
    draining: bool,
    cold_until: Timestamp,
    last_seen_at: Timestamp,
    /// When its first registration was received.
    first_seen_at: Timestamp,
    /// When its latest registration was received.
    registered_at: Timestamp,
    /// Whether it certainly runs: its first registrations were received, or it has registered for
    /// a long time. Otherwise it may be a previous incarnation whose registration was delayed.
    is_confirmed: bool,
    labels: BTreeMap<String, String>,
}

/// An incarnation other than the current one that has registered or deregistered.
///
/// A registration may arrive seconds late, even after its sender has crashed and a newer
/// incarnation has registered. Names don't show which incarnation is the newer one. Start times
/// do, unless a clock was set back in between.
#[derive(Debug)]
struct Contender {
    incarnation: BackendIncarnation,
    /// Sequence number of its first registration received.
    first_sequence: u64,
    sequence: u64,
    draining: bool,
    /// Number of registrations received.
    registrations: u32,
    /// When its first registration since the last one of the current incarnation was received;
    /// `None` if there is none.
    registering_since: Option<Timestamp>,
}

impl Contender {
    /// Whether it has registered for so long that it runs, and not the back end before it.
    fn outlasts(&self, now: Timestamp, is_leaving: bool) -> bool {
        let registers_for = |time| {
            self.registering_since
                .is_some_and(|since| now.saturating_since(since) >= time)
        };
        match is_leaving && self.first_sequence > EARLY_REGISTRATIONS {
            false => registers_for(EARLIER_START_TIMEOUT),
            true => {
                self.registrations >= MIN_LATE_REGISTRATIONS
                    && registers_for(LATE_REGISTRATION_TIMEOUT)
            }
        }
    }
}

impl RegistrationState {
    /// Creates the state without a back end. Until `provisional_until`, a running back end gets
    /// new flows although it hasn't registered.
    pub fn new(provisional_until: Timestamp) -> RegistrationState {
        RegistrationState {
            current: None,
            contender: None,
            seen_alive: false,
            was_absent: false,
            provisional_until,
            returned_syn: false,
            saw_restart: false,
            unanswered_since: None,
            may_have_restarted: false,
            deregistered: VecDeque::new(),
            restored_serving: None,
            has_deregistered: false,
            description_revision: 0,
        }
    }

    /// Handles a registration. Returns whether the current incarnation or its draining state
    /// changed.
    pub fn handle_registration(&mut self, now: Timestamp, registration: &Registration) -> bool {
        let incarnation = registration.incarnation();
        let before = self.drain_state();
        if self.deregistered.contains(&incarnation.digest()) {
            self.handle_leaving_registration(now, incarnation, registration);
            return before != self.drain_state();
        }
        let mut first_seen_at = now;
        let mut is_confirmed = registration.sequence <= EARLY_REGISTRATIONS
            || self.restored_serving == Some(incarnation.digest());
        if let Some(current) = &mut self.current
            && current.incarnation == incarnation
        {
            if registration.sequence < current.sequence {
                return false;
            }
            first_seen_at = current.first_seen_at;
            let registered_for = now.saturating_since(first_seen_at);
            is_confirmed = current.is_confirmed || registered_for >= LATE_REGISTRATION_TIMEOUT;
        } else if self.current.is_some() || self.has_left() {
            if !self.is_newer(now, &incarnation, registration) {
                self.note_contender(now, incarnation, registration);
                return before != self.drain_state();
            }
            is_confirmed |= self.contender_outlasts(now, &incarnation, registration);
            self.replace_current(registration);
        }
        self.forget_deregistered_name(&incarnation);
        let is_described =
            |it: &Current| it.incarnation == incarnation && it.labels == registration.labels;
        if !self.current.as_ref().is_some_and(is_described) {
            self.description_revision += 1;
        }
        self.contender = None;
        self.unanswered_since = None;
        self.may_have_restarted = false;
        self.current = Some(Current {
            incarnation,
            sequence: registration.sequence,
            slots: registration.slots.max(1),
            draining: registration.draining,
            cold_until: now + registration.cold_for,
            last_seen_at: now,
            first_seen_at,
            registered_at: now,
            is_confirmed,
            labels: registration.labels.clone(),
        });
        before != self.drain_state()
    }

    /// Handles a registration of an incarnation that is leaving. It runs, unless the registration
    /// was delayed, so that another incarnation without a sign of its start may be a previous one.
    fn handle_leaving_registration(
        &mut self,
        now: Timestamp,
        incarnation: BackendIncarnation,
        registration: &Registration,
    ) {
        match &self.current {
            None => self.contender = None,
            Some(current) if current.is_confirmed || current.incarnation == incarnation => {}
            Some(_) => {
                let keeps_registering = self.registers_again(&incarnation, registration);
                self.note_contender(now, incarnation, registration);
                if let Some(contender) = &mut self.contender {
                    contender.draining = true;
                }
                if keeps_registering {
                    self.current = None;
                    self.contender = None;
                }
            }
        }
    }

    /// Whether an incarnation is newer than the current one, or than one that is leaving since
    /// before this agent started: its start time is later, or it has just started, or it keeps
    /// registering while the other one doesn't.
    ///
    /// A low sequence number shows nothing if the current one drains, as it may have sent its
    /// last registration, or if the start time is earlier than that of the current one. While a
    /// back end is leaving, registering twice shows nothing either.
    fn is_newer(
        &self,
        now: Timestamp,
        incarnation: &BackendIncarnation,
        registration: &Registration,
    ) -> bool {
        if self.contender_outlasts(now, incarnation, registration) {
            return true;
        }
        let has_just_started = registration.sequence <= EARLY_REGISTRATIONS;
        if self.is_deregistered_name(incarnation) && !has_just_started {
            return false;
        }
        let Some(current) = &self.current else {
            return has_just_started;
        };
        let started_after = incarnation.started_after(&current.incarnation);
        let contender = self.contender.as_ref();
        match contender.filter(|_| self.registers_again(incarnation, registration)) {
            Some(contender) if current.draining => {
                let had_just_started = contender.first_sequence <= EARLY_REGISTRATIONS;
                started_after.unwrap_or(had_just_started)
            }
            Some(_) => started_after != Some(false),
            None => started_after.unwrap_or(has_just_started && !current.draining),
        }
    }

    /// Whether the contender registers again.
    fn registers_again(
        &self,
        incarnation: &BackendIncarnation,
        registration: &Registration,
    ) -> bool {
        let contender = self.contender.as_ref();
        contender.is_some_and(|contender| {
            contender.incarnation == *incarnation && contender.sequence < registration.sequence
        })
    }

    /// Whether the contender registers again, and has registered for so long that it runs.
    fn contender_outlasts(
        &self,
        now: Timestamp,
        incarnation: &BackendIncarnation,
        registration: &Registration,
    ) -> bool {
        let current = self.current.as_ref();
        let is_leaving = current.is_none_or(|current| current.draining);
        let contender = self.contender.as_ref();
        contender.is_some_and(|contender| {
            self.registers_again(incarnation, registration) && contender.outlasts(now, is_leaving)
        })
    }

    /// Notes a registration of an incarnation that isn't known to be newer. If its start time
    /// is earlier than that of the current one, its draining state has no effect.
    fn note_contender(
        &mut self,
        now: Timestamp,
        incarnation: BackendIncarnation,
        registration: &Registration,
    ) {
        let current = self.current.as_ref().map(|current| &current.incarnation);
        let is_older =
            current.and_then(|current| incarnation.started_after(current)) == Some(false);
        let known = self
            .contender
            .take_if(|contender| contender.incarnation == incarnation);
        let registering_since = known.as_ref().and_then(|known| known.registering_since);
        let first_sequence = known.as_ref().map(|known| known.first_sequence);
        let registrations = known.map_or(0, |known| known.registrations);
        self.contender = Some(Contender {
            incarnation,
            first_sequence: first_sequence.unwrap_or(registration.sequence),
            sequence: registration.sequence,
            draining: registration.draining && !is_older,
            registrations: registrations + 1,
            registering_since: registering_since.or(Some(now)),
        });
    }

    /// Removes the current incarnation in favour of another one. If it was draining, it must
    /// not come back.
    ///
    /// A delayed registration may be replaced as well, by an incarnation that has run since
    /// before this agent started.
    fn replace_current(&mut self, registration: &Registration) {
        let Some(replaced) = self.current.take() else {
            return;
        };
        let registered_for = replaced
            .registered_at
            .saturating_since(replaced.first_seen_at);
        let has_just_started = registration.sequence <= EARLY_REGISTRATIONS;
        self.saw_restart |= has_just_started && registered_for >= EARLIER_START_TIMEOUT;
        if replaced.draining {
            self.note_deregistered(replaced.incarnation.digest());
        }
    }

    /// Handles a deregistration. The back end keeps its flows, and its later registrations are
    /// ignored. Returns whether the current incarnation or its draining state changed.
    ///
    /// A deregistration names no start time. It may come from an incarnation that hasn't
    /// registered since the start of this agent, so it holds for each one of the name that
    /// isn't known to have started later.
    pub fn handle_deregistration(&mut self, id: &str) -> bool {
        let before = self.drain_state();
        let of_name = BackendIncarnation {
            id: id.to_owned(),
            started_at_millis: None,
        };
        let was_deregistered = self.deregistered.contains(&of_name.digest());
        for digest in self.registered_digests(id) {
            self.note_deregistered(digest);
        }
        self.note_deregistered(of_name.digest());
        match &mut self.current {
            Some(current) if current.incarnation.id == id => current.draining = true,
            _ if was_deregistered => {}
            Some(current) if current.is_confirmed => {
                // The current one may be a previous incarnation whose registration was delayed.
                self.contender = Some(Contender {
                    incarnation: of_name,
                    first_sequence: u64::MAX,
                    sequence: u64::MAX,
                    draining: true,
                    registrations: 0,
                    registering_since: None,
                });
            }
            Some(_) => self.demote_unconfirmed(),
            None => {}
        }
        self.restored_serving = None;
        self.has_deregistered = true;
        before != self.drain_state()
    }

    /// Digests of the incarnations that have registered under a name.
    fn registered_digests(&self, id: &str) -> Vec<u64> {
        let current = self.current.iter().map(|current| &current.incarnation);
        let contender = self.contender.iter();
        let contender = contender.map(|contender| &contender.incarnation);
        let registered = contender.chain(current);
        let of_name = registered.filter(|incarnation| incarnation.id == id);
        of_name.map(BackendIncarnation::digest).collect()
    }

    /// Whether an incarnation with a start time has the name of one that deregistered without
    /// one.
    fn is_deregistered_name(&self, incarnation: &BackendIncarnation) -> bool {
        incarnation.started_at_millis.is_some()
            && self.deregistered.contains(&incarnation.name_digest())
    }

    /// A newer incarnation has the name of a deregistered one.
    fn forget_deregistered_name(&mut self, incarnation: &BackendIncarnation) {
        let digest = incarnation.name_digest();
        self.deregistered.retain(|it| *it != digest);
    }

    /// Makes the current incarnation a contender unless it certainly runs, as another one is
    /// leaving.
    fn demote_unconfirmed(&mut self) {
        let is_unconfirmed = |current: &mut Current| !current.is_confirmed && !current.draining;
        let Some(current) = self.current.take_if(is_unconfirmed) else {
            return;
        };
        self.contender = Some(Contender {
            incarnation: current.incarnation,
            first_sequence: current.sequence,
            sequence: current.sequence,
            draining: false,
            registrations: 1,
            registering_since: Some(current.first_seen_at),
        });
    }

    /// Notes a packet of the back end, which shows that it runs. A returned packet doesn't
    /// count: packets for a back end that has ended are returned as well.
    pub fn note_alive(&mut self, now: Timestamp) {
        self.may_have_restarted |= self.is_unanswered(now);
        self.unanswered_since = None;
        self.seen_alive = true;
        self.returned_syn = false;
        if let Some(current) = &mut self.current {
            current.last_seen_at = now;
        }
    }

    /// Notes a returned SYN. A back end that hasn't registered gets no new flows until it
    /// registers or sends a packet.
    pub fn note_returned_syn(&mut self) {
        self.returned_syn = true;
    }

    /// Notes that the address of the back end refused a packet, as nothing runs there. Flows of
    /// earlier incarnations have ended with them.
    pub fn note_refused_packet(&mut self) {
        self.was_absent = true;
        self.seen_alive = false;
    }

    /// Whether no back end ran at some time since the start.
    pub fn was_absent(&self) -> bool {
        self.was_absent
    }

    /// Whether a back end that hasn't registered has sent packets.
    pub fn runs_unregistered(&self) -> bool {
        self.current.is_none() && self.seen_alive
    }

    /// Whether a back end is draining or has deregistered, may still own flows and hasn't
    /// registered since the start: it need not register again, and is silent without requests.
    fn has_left(&self) -> bool {
        let is_restored = self.restored_serving.is_none() && !self.deregistered.is_empty();
        self.current.is_none() && !self.was_absent && is_restored
    }

    /// Whether the current incarnation has registered until so long after `since` that no
    /// registration sent before that is still on its way.
    pub fn registers_steadily(&self, since: Timestamp) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|it| it.registered_at >= since + LATE_REGISTRATION_TIMEOUT)
    }

    /// State of the back end. It is unavailable if it was silent for `silence_timeout`.
    pub fn state(&self, now: Timestamp, silence_timeout: Duration) -> AgentState {
        match &self.current {
            Some(current) if current.draining || self.contender_drains() => AgentState::Draining,
            Some(current) if now.saturating_since(current.last_seen_at) < silence_timeout => {
                AgentState::Ready
            }
            None if self.is_provisional(now) && self.seen_alive => AgentState::Ready,
            None if self.is_provisional(now) => AgentState::Starting,
            None if self.has_left() => AgentState::Draining,
            Some(_) | None => AgentState::Unavailable,
        }
    }

    /// Whether a back end that hasn't registered may get new flows. It may not after a
    /// deregistration, as packets may come from the incarnation that deregistered.
    fn is_provisional(&self, now: Timestamp) -> bool {
        self.deregistered.is_empty() && !self.returned_syn && now < self.provisional_until
    }

    /// Number of requests that the back end processes at once.
    pub fn slots(&self) -> u32 {
        match &self.current {
            Some(current) => current.slots,
            None => PROVISIONAL_SLOTS,
        }
    }

    /// Whether a back end has registered.
    pub fn is_registered(&self) -> bool {
        self.current.is_some()
    }

    /// Revision of the back end's description, which increases with each change.
    pub fn description_revision(&self) -> u64 {
        self.description_revision
    }

    /// Description of the registered back end for placement policies, if there is one.
    pub fn description(&self, now: Timestamp) -> Option<BackendDescription> {
        let current = self.current.as_ref()?;
        let age = now.saturating_since(current.first_seen_at);
        Some(BackendDescription {
            name: current.incarnation.id.clone(),
            labels: current.labels.clone(),
            age_millis: age.as_millis() as u64,
        })
    }

    /// Digest of the registered incarnation, if there is one.
    pub fn incarnation_digest(&self) -> Option<u64> {
        let current = self.current.as_ref()?;
        Some(current.incarnation.digest())
    }

    /// Whether that digest identifies a single incarnation: the back end reports its start
    /// time.
    pub fn identifies_incarnation(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.incarnation.started_at_millis.is_some())
    }

    /// Whether an incarnation has started after another one had run beside this agent, so that
    /// no flow is older than the agent.
    pub fn saw_restart(&self) -> bool {
        self.saw_restart
    }

    /// Whether the back end still warms up, according to its last registration.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        let cold = |current: &Current| now < current.cold_until;
        self.current.as_ref().is_some_and(cold)
    }

    /// Notes that a SYN was delivered to the back end.
    pub fn note_syn_delivered(&mut self, now: Timestamp) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Notes that the back end may have restarted. It counts as cold until it registers.
    pub fn note_possible_restart(&mut self) {
        self.may_have_restarted = true;
    }

    /// Whether the back end may be warming up: its last registration says so, it hasn't
    /// registered yet, or it may have restarted since.
    pub fn may_be_cold(&self, now: Timestamp) -> bool {
        let may_have_restarted = self.may_have_restarted || self.is_unanswered(now);
        self.current.is_none() || self.is_cold(now) || may_have_restarted
    }

    fn is_unanswered(&self, now: Timestamp) -> bool {
        let is_late = |since| now.saturating_since(since) >= SYN_ACK_TIMEOUT;
        self.unanswered_since.is_some_and(is_late)
    }

    /// Whether the contender drains; it may be the incarnation that runs.
    fn contender_drains(&self) -> bool {
        self.contender
            .as_ref()
            .is_some_and(|contender| contender.draining)
    }

    fn drain_state(&self) -> Option<(BackendIncarnation, bool)> {
        let current = self.current.as_ref()?;
        let drains = current.draining || self.contender_drains();
        Some((current.incarnation.clone(), drains))
    }

    /// Digests of draining and deregistered incarnations, the latest last.
    pub fn draining_backends(&self) -> Vec<u64> {
        let current = self.current.iter().filter(|current| current.draining);
        let current = current.map(|current| current.incarnation.digest());
        let contender = self.contender.iter().filter(|contender| contender.draining);
        let contender = contender.map(|contender| contender.incarnation.digest());
        let deregistered = self.deregistered.iter().copied();
        let mut draining: Vec<u64> = deregistered.chain(contender).chain(current).collect();
        draining.dedup();
        draining.split_off(draining.len().saturating_sub(MAX_DRAINING_REPORTED))
    }

    /// Digest of the back end that takes new flows, as far as this or the previous incarnation of
    /// the agent knows.
    pub fn serving_backend(&self) -> Option<u64> {
        match &self.current {
            Some(current) if current.draining || self.contender_drains() => None,
            Some(current) => Some(current.incarnation.digest()),
            None => self.restored_serving,
        }
    }

    /// Restores what a previous incarnation of the agent reported with
    /// [`RegistrationState::draining_backends`] and [`RegistrationState::serving_backend`]. Returns
    /// whether any of it is new.
    pub fn restore(&mut self, draining: &[u64], serving: Option<u64>) -> bool {
        let mut has_new = false;
        let serving = serving.filter(|_| !self.has_deregistered);
        let reused_name = self.reused_name_digest();
        for digest in draining.iter().copied() {
            if Some(digest) != serving && Some(digest) != reused_name {
                has_new |= !self.deregistered.contains(&digest);
                self.note_deregistered(digest);
            }
        }
        if self.current.is_none() && !self.was_absent {
            self.restored_serving = self.restored_serving.or(serving);
        }
        let Some(current) = &mut self.current else {
            return has_new;
        };
        let digest = current.incarnation.digest();
        current.is_confirmed |= serving == Some(digest);
        if self.deregistered.contains(&digest) {
            current.draining = true;
        } else if has_new && serving.is_none() {
            self.demote_unconfirmed();
        }
        has_new
    }

    /// Digest of the name of the current incarnation, if that is certainly newer than one of the
    /// same name that deregistered.
    fn reused_name_digest(&self) -> Option<u64> {
        let current = self.current.as_ref().filter(|current| {
            current.is_confirmed && current.incarnation.started_at_millis.is_some()
        });
        current.map(|current| current.incarnation.name_digest())
    }

    fn note_deregistered(&mut self, digest: u64) {
        if self.deregistered.contains(&digest) {
            return;
        }
        self.deregistered.push_back(digest);
        if self.deregistered.len() > MAX_DEREGISTERED {
            self.deregistered.pop_front();
        }
    }
}
