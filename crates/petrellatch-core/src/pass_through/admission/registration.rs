//! State of an agent's back end, which registers itself at the agent.

use std::collections::BTreeMap;
use std::time::Duration;

use petrellatch_proto::pass_through::{AgentState, BackendDescription};
use snafu::Snafu;

use crate::time::Timestamp;

use super::backend_incarnation::BackendIncarnation;
use super::leaving_backends::{LeavingBackends, RegisteredIncarnation};

/// Slots assumed for a back end that hasn't registered yet. If it has fewer, it queues or
/// returns the excess requests.
const PROVISIONAL_SLOTS: u32 = 4;
/// A sequence number up to this one is a sign that an incarnation has started recently. It may
/// also be that of a delayed registration, so that it proves nothing.
const EARLY_REGISTRATIONS: u64 = 3;
/// An incarnation whose start time is before that of the current one takes its place all the
/// same if it keeps registering for this long while the current one doesn't: its clock was set
/// back.
const EARLIER_START_TIMEOUT: Duration = Duration::from_secs(3);
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

/// State of an agent's back end, as its registrations and packets show it.
#[derive(Debug)]
pub struct RegistrationState {
    /// The incarnation that is likely to run. It gets new flows unless a leaving one may run
    /// instead.
    current: Option<Current>,
    /// Another incarnation that has registered, and may be newer or older than the current one.
    /// It is dropped once the current one registers again.
    contender: Option<Contender>,
    /// Back ends that must not get new flows again.
    leaving: LeavingBackends,
    /// Whether the back end has sent a packet, which shows that it runs.
    seen_alive: bool,
    /// Whether the address of the back end has refused a packet: nothing ran there then.
    was_absent: bool,
    /// Until when a back end that hasn't registered may get new flows.
    provisional_until: Timestamp,
    /// Whether the back end has returned a SYN since its last packet.
    returned_syn: bool,
    /// When the back end got the first SYN that it hasn't answered.
    unanswered_since: Option<Timestamp>,
    /// Whether the back end may have restarted, and be cold, since its last registration.
    may_have_restarted: bool,
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
    /// Number of registrations received, except for repeated ones.
    registrations: u32,
    slots: u32,
    draining_since: Option<Timestamp>,
    cold_until: Timestamp,
    last_seen_at: Timestamp,
    /// When its first registration was received.
    first_seen_at: Timestamp,
    /// When its latest registration was received.
    registered_at: Timestamp,
    labels: BTreeMap<String, String>,
}

impl Current {
    fn new(now: Timestamp, registration: &Registration) -> Current {
        Current {
            incarnation: registration.incarnation(),
            sequence: registration.sequence,
            registrations: 1,
            slots: registration.slots.max(1),
            draining_since: registration.draining.then_some(now),
            cold_until: now + registration.cold_for,
            last_seen_at: now,
            first_seen_at: now,
            registered_at: now,
            labels: registration.labels.clone(),
        }
    }

    /// Replaces what a later registration of the same incarnation reports.
    fn update(&mut self, now: Timestamp, registration: &Registration) {
        let is_repeated = registration.sequence == self.sequence;
        let registrations = self.registrations + u32::from(!is_repeated);
        let updated = Current::new(now, registration);
        *self = Current {
            registrations,
            // A departure is final: it was acknowledged.
            draining_since: self.draining_since.or(updated.draining_since),
            first_seen_at: self.first_seen_at,
            ..updated
        };
    }
}

/// An incarnation other than the current one that has registered.
///
/// A registration may arrive seconds late, even after its sender has crashed and a newer
/// incarnation has registered. Names don't show which incarnation is the newer one. Start times
/// do, unless a clock was set back in between.
#[derive(Debug)]
struct Contender {
    incarnation: BackendIncarnation,
    sequence: u64,
    /// Number of registrations received, except for repeated ones.
    registrations: u32,
    /// When its first registration since the last one of the current incarnation was received.
    registering_since: Timestamp,
}

impl RegistrationState {
    /// Creates the state without a back end. Until `provisional_until`, a running back end gets
    /// new flows although it hasn't registered.
    pub fn new(provisional_until: Timestamp) -> RegistrationState {
        RegistrationState {
            current: None,
            contender: None,
            leaving: LeavingBackends::default(),
            seen_alive: false,
            was_absent: false,
            provisional_until,
            returned_syn: false,
            unanswered_since: None,
            may_have_restarted: false,
            restored_serving: None,
            has_deregistered: false,
            description_revision: 0,
        }
    }

    /// Handles a registration. Returns whether the current incarnation or its draining state
    /// changed.
    pub fn handle_registration(&mut self, now: Timestamp, registration: &Registration) -> bool {
        let before = self.drain_state();
        let incarnation = registration.incarnation();
        if self.leaving.contains(incarnation.digest()) {
            self.leaving.note_registration(now, incarnation.digest());
        } else {
            self.note_registration(now, incarnation, registration);
        }
        before != self.drain_state()
    }

    /// Notes a registration of an incarnation that hasn't left.
    fn note_registration(
        &mut self,
        now: Timestamp,
        incarnation: BackendIncarnation,
        registration: &Registration,
    ) {
        let labels = self.current.as_ref().map(|current| current.labels.clone());
        match &mut self.current {
            Some(current) if current.incarnation == incarnation => {
                if registration.sequence < current.sequence {
                    return;
                }
                current.update(now, registration);
            }
            Some(current) => {
                let is_older = incarnation.started_after(&current.incarnation) == Some(false);
                if !self.is_newer(now, &incarnation, registration) {
                    // It may be the one that runs unless it is older.
                    if registration.draining && !is_older {
                        self.leaving.note(now, now, &incarnation);
                    }
                    self.note_contender(now, incarnation, registration);
                    return;
                }
                self.replace_current(now, registration);
                self.description_revision += 1;
            }
            None => {
                self.current = Some(Current::new(now, registration));
                self.description_revision += 1;
            }
        }
        if labels.is_some_and(|labels| labels != registration.labels) {
            self.description_revision += 1;
        }
        self.contender = None;
        self.unanswered_since = None;
        self.may_have_restarted = false;
    }

    /// Whether an incarnation is likely to be newer than the current one: its start time is
    /// later, or it has just started, or it keeps registering while the other one doesn't.
    fn is_newer(
        &self,
        now: Timestamp,
        incarnation: &BackendIncarnation,
        registration: &Registration,
    ) -> bool {
        let Some(current) = &self.current else {
            return true;
        };
        let contender = self.contender.as_ref().filter(|contender| {
            contender.incarnation == *incarnation && contender.sequence < registration.sequence
        });
        let registers_for = |contender: &Contender| {
            now.saturating_since(contender.registering_since) >= EARLIER_START_TIMEOUT
        };
        if contender.is_some_and(registers_for) {
            return true;
        }
        let has_just_started = registration.sequence <= EARLY_REGISTRATIONS;
        let registers_again = contender.is_some();
        incarnation
            .started_after(&current.incarnation)
            .unwrap_or(registers_again || (has_just_started && current.draining_since.is_none()))
    }

    /// Notes a registration of an incarnation that isn't known to be newer.
    fn note_contender(
        &mut self,
        now: Timestamp,
        incarnation: BackendIncarnation,
        registration: &Registration,
    ) {
        let known = self
            .contender
            .take_if(|contender| contender.incarnation == incarnation);
        let is_repeated = |known: &Contender| known.sequence == registration.sequence;
        let repeated = known.as_ref().is_some_and(is_repeated);
        let registering_since = known.as_ref().map(|known| known.registering_since);
        let registrations = known.map_or(0, |known| known.registrations);
        self.contender = Some(Contender {
            incarnation,
            sequence: registration.sequence,
            registrations: registrations + u32::from(!repeated),
            registering_since: registering_since.unwrap_or(now),
        });
    }

    /// Replaces the current incarnation with another one. If it was draining, it must not come
    /// back.
    fn replace_current(&mut self, now: Timestamp, registration: &Registration) {
        let mut current = Current::new(now, registration);
        let contender = self.contender.take();
        if let Some(contender) = contender.filter(|it| it.incarnation == current.incarnation) {
            current.registrations += contender.registrations;
            current.first_seen_at = contender.registering_since;
        }
        let replaced = self.current.replace(current);
        let draining = replaced.and_then(|it| Some((it.draining_since?, it.incarnation)));
        if let Some((draining_since, incarnation)) = draining {
            self.leaving.note(now, draining_since, &incarnation);
        }
    }

    /// Handles a deregistration. The back end keeps its flows, and its later registrations are
    /// ignored. Returns whether the current incarnation or its draining state changed.
    ///
    /// A deregistration names no start time. It may come from an incarnation that hasn't
    /// registered since the start of this agent, so it holds for each one of the name.
    pub fn handle_deregistration(&mut self, now: Timestamp, id: &str) -> bool {
        let before = self.drain_state();
        let of_name = BackendIncarnation {
            id: id.to_owned(),
            started_at_millis: None,
        };
        let is_repeated = self.leaving.contains(of_name.digest());
        for incarnation in self.registered_incarnations(id) {
            self.leaving.note(now, now, &incarnation);
        }
        self.leaving.note(now, now, &of_name);
        if !is_repeated {
            self.restored_serving = None;
            self.has_deregistered = true;
        }
        before != self.drain_state()
    }

    /// The incarnations that have registered under a name.
    fn registered_incarnations(&self, id: &str) -> Vec<BackendIncarnation> {
        let current = self.current.iter().map(|current| &current.incarnation);
        let contender = self.contender.iter();
        let contender = contender.map(|contender| &contender.incarnation);
        let registered = contender.chain(current);
        let of_name = registered.filter(|incarnation| incarnation.id == id);
        of_name.cloned().collect()
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
        self.leaving.note_absence();
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
    pub fn has_left(&self) -> bool {
        let is_restored = self.restored_serving.is_none() && !self.leaving.is_empty();
        self.current.is_none() && !self.was_absent && is_restored
    }

    /// Whether the current incarnation is leaving, or one that is leaving may run instead.
    fn is_leaving(&self, current: &Current) -> bool {
        current.draining_since.is_some()
            || self.leaving.may_run_instead_of(&self.registered(current))
    }

    fn registered<'a>(&self, current: &'a Current) -> RegisteredIncarnation<'a> {
        RegisteredIncarnation {
            incarnation: &current.incarnation,
            registrations: current.registrations,
            registered_at: current.registered_at,
            had_proof: self.restored_serving == Some(current.incarnation.digest()),
        }
    }

    /// Whether the current incarnation has registered steadily until so long after `since` that
    /// no registration sent before that is still on its way.
    pub fn registers_steadily(&self, since: Timestamp) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| self.registered(current).registers_steadily(since))
    }

    /// State of the back end. It is unavailable if it was silent for `silence_timeout`.
    pub fn state(&self, now: Timestamp, silence_timeout: Duration) -> AgentState {
        match &self.current {
            Some(current) if self.is_leaving(current) => AgentState::Draining,
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
        self.leaving.is_empty() && !self.returned_syn && now < self.provisional_until
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

    /// Start time of the registered incarnation, if it reports one. The digest then identifies a
    /// single incarnation.
    pub fn started_at_millis(&self) -> Option<u64> {
        self.current.as_ref()?.incarnation.started_at_millis
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

    fn drain_state(&self) -> Option<(BackendIncarnation, bool)> {
        let current = self.current.as_ref()?;
        Some((current.incarnation.clone(), self.is_leaving(current)))
    }

    /// Digests of draining and deregistered incarnations, the latest last.
    pub fn draining_backends(&self) -> Vec<u64> {
        let is_draining = |current: &&Current| current.draining_since.is_some();
        let current = self.current.iter().filter(is_draining);
        let current = current.map(|current| current.incarnation.digest());
        let mut draining: Vec<u64> = self.leaving.digests().collect();
        draining.extend(current);
        draining.split_off(draining.len().saturating_sub(MAX_DRAINING_REPORTED))
    }

    /// Digest of the back end that takes new flows, as far as this or the previous incarnation of
    /// the agent knows.
    pub fn serving_backend(&self) -> Option<u64> {
        match &self.current {
            Some(current) if self.is_leaving(current) => None,
            Some(current) => Some(current.incarnation.digest()),
            None => self.restored_serving,
        }
    }

    /// Restores what a previous incarnation of the agent reported with
    /// [`RegistrationState::draining_backends`], with the times since then, and with
    /// [`RegistrationState::serving_backend`]. Returns whether any of it is new.
    pub fn restore(
        &mut self,
        now: Timestamp,
        draining: impl IntoIterator<Item = (u64, Duration)>,
        serving: Option<u64>,
    ) -> bool {
        let serving = serving.filter(|_| !self.has_deregistered);
        if self.current.is_none() && !self.was_absent {
            self.restored_serving = self.restored_serving.or(serving);
        }
        let reused_name = self.reused_name_digest();
        let mut has_new = false;
        for (digest, age) in draining {
            if Some(digest) != reused_name {
                has_new |= self.leaving.restore(now - age, digest);
            }
        }
        has_new
    }

    /// Digest of the name of the current incarnation, if that is certainly newer than one of the
    /// same name that deregistered.
    fn reused_name_digest(&self) -> Option<u64> {
        let current = self.current.as_ref().filter(|current| {
            current.incarnation.started_at_millis.is_some() && !self.is_leaving(current)
        });
        current.map(|current| current.incarnation.name_digest())
    }
}
