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
    /// Whether any incarnation has registered or deregistered, even if that was ignored.
    has_called: bool,
    /// Whether the address of the back end has refused a packet: nothing ran there then.
    was_absent: bool,
    /// Until when a back end that hasn't registered may get new flows.
    provisional_until: Timestamp,
    /// Whether the back end has returned a SYN since its last packet.
    returned_syn: bool,
    /// Sequence number of the first registration received.
    first_sequence: Option<u64>,
    /// Whether an incarnation has started after another one had run beside this agent.
    saw_restart: bool,
    /// When the back end got the first SYN that it hasn't answered.
    unanswered_since: Option<Timestamp>,
    /// Whether the back end may have restarted, and be cold, since its last registration.
    may_have_restarted: bool,
    /// Digests of deregistered incarnations, which must not get new flows again.
    deregistered: VecDeque<u64>,
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
    sequence: u64,
    draining: bool,
    /// When its first registration since the last one of the current incarnation was received;
    /// `None` if there is none.
    registering_since: Option<Timestamp>,
}

impl RegistrationState {
    /// Creates the state without a back end. Until `provisional_until`, a running back end gets
    /// new flows although it hasn't registered.
    pub fn new(provisional_until: Timestamp) -> RegistrationState {
        RegistrationState {
            current: None,
            contender: None,
            seen_alive: false,
            has_called: false,
            was_absent: false,
            provisional_until,
            returned_syn: false,
            first_sequence: None,
            saw_restart: false,
            unanswered_since: None,
            may_have_restarted: false,
            deregistered: VecDeque::new(),
            description_revision: 0,
        }
    }

    /// Handles a registration. Returns whether the current incarnation or its draining state
    /// changed.
    pub fn handle_registration(&mut self, now: Timestamp, registration: &Registration) -> bool {
        self.has_called = true;
        let incarnation = registration.incarnation();
        if self.deregistered.contains(&incarnation.digest()) {
            return false;
        }
        let before = self.drain_state();
        let mut first_seen_at = now;
        self.first_sequence.get_or_insert(registration.sequence);
        if let Some(current) = &mut self.current
            && current.incarnation == incarnation
        {
            if registration.sequence < current.sequence {
                return false;
            }
            first_seen_at = current.first_seen_at;
        } else if self.current.is_some() {
            if !self.is_newer(now, &incarnation, registration) {
                self.note_contender(now, incarnation, registration);
                return before != self.drain_state();
            }
            self.replace_current(registration);
        }
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
            labels: registration.labels.clone(),
        });
        before != self.drain_state()
    }

    /// Whether an incarnation is newer than the current one: its start time is later, or it has
    /// just started, or it keeps registering while the current one doesn't.
    ///
    /// A low sequence number shows nothing if the current one drains, as it may have sent its
    /// last registration, or if the start time is earlier than that of the current one.
    fn is_newer(
        &self,
        now: Timestamp,
        incarnation: &BackendIncarnation,
        registration: &Registration,
    ) -> bool {
        let Some(current) = &self.current else {
            return true;
        };
        let started_after = incarnation.started_after(&current.incarnation);
        let keeps_registering = |contender: &&Contender| {
            contender.incarnation == *incarnation && contender.sequence < registration.sequence
        };
        if let Some(contender) = self.contender.as_ref().filter(keeps_registering) {
            let registering_for = contender
                .registering_since
                .map(|since| now.saturating_since(since));
            let outlasts = registering_for.is_some_and(|time| time >= EARLIER_START_TIMEOUT);
            return started_after != Some(false) || outlasts;
        }
        let has_just_started = registration.sequence <= EARLY_REGISTRATIONS;
        started_after.unwrap_or(has_just_started && !current.draining)
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
            .as_ref()
            .filter(|contender| contender.incarnation == incarnation);
        let registering_since = known.and_then(|contender| contender.registering_since);
        self.contender = Some(Contender {
            incarnation,
            sequence: registration.sequence,
            draining: registration.draining && !is_older,
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
    pub fn handle_deregistration(&mut self, id: &str) -> bool {
        self.has_called = true;
        let before = self.drain_state();
        let incarnation = self.deregistered_incarnation(id);
        let was_deregistered = self.deregistered.contains(&incarnation.digest());
        self.note_deregistered(incarnation.digest());
        if let Some(current) = &mut self.current
            && current.incarnation == incarnation
        {
            current.draining = true;
        } else if self.current.is_some() && !was_deregistered {
            // The current one may be a previous incarnation whose registration was delayed.
            self.contender = Some(Contender {
                incarnation,
                sequence: u64::MAX,
                draining: true,
                registering_since: None,
            });
        }
        before != self.drain_state()
    }

    /// The incarnation that deregisters under a name: the last one that registered under it.
    fn deregistered_incarnation(&self, id: &str) -> BackendIncarnation {
        let current = self.current.as_ref().map(|current| &current.incarnation);
        let contender = self
            .contender
            .as_ref()
            .map(|contender| &contender.incarnation);
        let mut known = contender.into_iter().chain(current);
        let known = known.find(|incarnation| incarnation.id == id).cloned();
        known.unwrap_or_else(|| BackendIncarnation {
            id: id.to_owned(),
            started_at_millis: None,
        })
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

    /// Whether the back end has shown no sign of life since the start, for as long as a running
    /// one needs to register, and none that may still run has left.
    pub fn is_silent_since_start(&self, now: Timestamp) -> bool {
        let may_run = self.seen_alive || self.has_called || self.has_left();
        now >= self.provisional_until && !may_run
    }

    /// Whether a back end is draining or has deregistered, may still own flows and hasn't
    /// registered since the start: it need not register again, and is silent without requests.
    fn has_left(&self) -> bool {
        self.current.is_none() && !self.was_absent && !self.deregistered.is_empty()
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

    /// Whether one of the first registrations of an incarnation was received.
    pub fn saw_first_registration(&self) -> bool {
        self.first_sequence
            .is_some_and(|sequence| sequence <= EARLY_REGISTRATIONS)
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

    /// Restores what a previous incarnation of the agent reported with
    /// [`RegistrationState::draining_backends`].
    pub fn restore_draining(&mut self, draining: &[u64]) {
        for digest in draining {
            self.note_deregistered(*digest);
        }
        if let Some(current) = &mut self.current
            && draining.contains(&current.incarnation.digest())
        {
            current.draining = true;
        }
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
