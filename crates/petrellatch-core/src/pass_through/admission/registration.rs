//! State of an agent's back end, which registers itself at the agent.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use petrellatch_proto::pass_through::{AgentState, BackendDescription};
use snafu::Snafu;

use crate::time::Timestamp;

use crate::pass_through::digest::backend_digest;

/// Slots assumed for a back end that hasn't registered yet. If it has fewer, it queues or
/// returns the excess requests.
const PROVISIONAL_CAPACITY: u32 = 4;
/// Registrations that a back end may have sent before its agent was running. A sequence number
/// up to this one still shows that an incarnation has just started.
const EARLY_CALLS: u64 = 3;
/// An incarnation whose start time is before that of the current one is the newer one all the
/// same if it keeps registering for this long while the current one doesn't: its clock was set
/// back. Delayed registrations of a previous incarnation arrive within a moment, and the
/// current one registers about every second.
const EARLIER_BORN_PATIENCE: Duration = Duration::from_secs(3);
/// Number of deregistered incarnations that are kept, so that a delayed registration doesn't
/// bring one of them back.
const MAX_DEPARTED: usize = 16;
/// Number of draining and deregistered incarnations in a report to the replica group.
const MAX_LEAVING_TOLD: usize = 4;
/// A back end that hasn't answered a SYN for this long may have restarted, and be cold, when it
/// sends its next packet. A running one answers or returns a SYN at once.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(500);

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
    fn life(&self) -> Life {
        Life {
            id: self.id.clone(),
            born: self.started_at_millis,
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
struct Life {
    id: String,
    born: Option<u64>,
}

impl Life {
    fn digest(&self) -> u64 {
        backend_digest(&self.id, self.born)
    }

    /// Whether it started after another one; `None` unless both report a start time.
    fn is_born_after(&self, other: &Life) -> Option<bool> {
        Some(self.born? > other.born?)
    }
}

/// State of an agent's back end, as its registrations and packets show it.
#[derive(Debug)]
pub struct RegistrationState {
    current: Option<Current>,
    /// Another incarnation that has registered, and may be newer or older than the current one.
    /// It is dropped once the current one registers again.
    rival: Option<Rival>,
    /// Whether the back end has sent a packet, which shows that it runs.
    seen_alive: bool,
    /// Until when a back end that hasn't registered may get new flows.
    provisional_until: Timestamp,
    /// Whether the back end has returned a SYN since its last packet.
    returned_opening: bool,
    /// Sequence number of the first registration received.
    first_call: Option<u64>,
    /// Whether an incarnation has replaced another one.
    was_replaced: bool,
    /// When the back end got the first SYN that it hasn't answered.
    unanswered_since: Option<Timestamp>,
    /// Whether the back end may have restarted, and be cold, since its last registration.
    is_doubtful: bool,
    /// Digests of deregistered incarnations, which must not get new flows again.
    departed: VecDeque<u64>,
    /// Increases when another incarnation registers or when the labels change.
    description_revision: u64,
}

#[derive(Debug)]
struct Current {
    life: Life,
    call_number: u64,
    capacity: u32,
    draining: bool,
    cold_until: Timestamp,
    heard_at: Timestamp,
    /// When its first registration was received.
    known_since: Timestamp,
    labels: BTreeMap<String, String>,
}

/// An incarnation other than the current one that has registered or deregistered.
///
/// A registration may arrive seconds late, even after its sender has crashed and a newer
/// incarnation has registered. Names don't show which incarnation is the newer one. Start times
/// do, unless a clock was set back in between.
#[derive(Debug)]
struct Rival {
    life: Life,
    call_number: u64,
    draining: bool,
    /// When its first registration since the last one of the current incarnation was received;
    /// `None` if there is none.
    called_since: Option<Timestamp>,
}

impl RegistrationState {
    /// Creates the state without a back end. Until `provisional_until`, a running back end gets
    /// new flows although it hasn't registered.
    pub fn new(provisional_until: Timestamp) -> RegistrationState {
        RegistrationState {
            current: None,
            rival: None,
            seen_alive: false,
            provisional_until,
            returned_opening: false,
            first_call: None,
            was_replaced: false,
            unanswered_since: None,
            is_doubtful: false,
            departed: VecDeque::new(),
            description_revision: 0,
        }
    }

    /// Handles a registration. Returns whether the current incarnation or its draining state
    /// changed.
    pub fn handle_registration(&mut self, now: Timestamp, call: &Registration) -> bool {
        let life = call.life();
        if self.departed.contains(&life.digest()) {
            return false;
        }
        let before = self.offer();
        let mut known_since = now;
        self.first_call.get_or_insert(call.sequence);
        if let Some(current) = &mut self.current
            && current.life == life
        {
            if call.sequence < current.call_number {
                return false;
            }
            known_since = current.known_since;
        } else if self.current.is_some() {
            if !self.is_newer(now, &life, call) {
                self.note_rival(now, life, call);
                return before != self.offer();
            }
            self.replace_current();
        }
        let is_described = |it: &Current| it.life == life && it.labels == call.labels;
        if !self.current.as_ref().is_some_and(is_described) {
            self.description_revision += 1;
        }
        self.rival = None;
        self.unanswered_since = None;
        self.is_doubtful = false;
        self.current = Some(Current {
            life,
            call_number: call.sequence,
            capacity: call.slots.max(1),
            draining: call.draining,
            cold_until: now + call.cold_for,
            heard_at: now,
            known_since,
            labels: call.labels.clone(),
        });
        before != self.offer()
    }

    /// Whether an incarnation is newer than the current one: its start time is later, or it has
    /// just started, or it keeps registering while the current one doesn't.
    ///
    /// A low sequence number shows nothing if the current one drains, as it may have sent its
    /// last registration, or if the start time is earlier than that of the current one.
    fn is_newer(&self, now: Timestamp, life: &Life, call: &Registration) -> bool {
        let Some(current) = &self.current else {
            return true;
        };
        let is_born_after = life.is_born_after(&current.life);
        let goes_on = |rival: &&Rival| rival.life == *life && rival.call_number < call.sequence;
        if let Some(rival) = self.rival.as_ref().filter(goes_on) {
            let called_for = rival.called_since.map(|since| now.saturating_since(since));
            let outlives = called_for.is_some_and(|time| time >= EARLIER_BORN_PATIENCE);
            return is_born_after != Some(false) || outlives;
        }
        let has_just_begun = call.sequence <= EARLY_CALLS;
        is_born_after.unwrap_or(has_just_begun && !current.draining)
    }

    /// Notes a registration of an incarnation that isn't known to be newer. If its start time
    /// is earlier than that of the current one, its draining state has no effect.
    fn note_rival(&mut self, now: Timestamp, life: Life, call: &Registration) {
        let current = self.current.as_ref().map(|current| &current.life);
        let is_former = current.and_then(|current| life.is_born_after(current)) == Some(false);
        let known = self.rival.as_ref().filter(|rival| rival.life == life);
        let called_since = known.and_then(|rival| rival.called_since);
        self.rival = Some(Rival {
            life,
            call_number: call.sequence,
            draining: call.draining && !is_former,
            called_since: called_since.or(Some(now)),
        });
    }

    /// Removes the current incarnation in favour of another one. If it was draining, it must
    /// not come back.
    fn replace_current(&mut self) {
        let Some(former) = self.current.take() else {
            return;
        };
        self.was_replaced = true;
        if former.draining {
            self.note_departed(former.life.digest());
        }
    }

    /// Handles a deregistration. The back end keeps its flows, and its later registrations are
    /// ignored. Returns whether the current incarnation or its draining state changed.
    pub fn handle_deregistration(&mut self, id: &str) -> bool {
        let before = self.offer();
        let life = self.withdrawn_life(id);
        let has_left_before = self.departed.contains(&life.digest());
        self.note_departed(life.digest());
        if let Some(current) = &mut self.current
            && current.life == life
        {
            current.draining = true;
        } else if self.current.is_some() && !has_left_before {
            // The current one may be a previous incarnation whose registration was delayed.
            self.rival = Some(Rival {
                life,
                call_number: u64::MAX,
                draining: true,
                called_since: None,
            });
        }
        before != self.offer()
    }

    /// The incarnation that deregisters under a name: the last one that registered under it.
    fn withdrawn_life(&self, id: &str) -> Life {
        let current = self.current.as_ref().map(|current| &current.life);
        let rival = self.rival.as_ref().map(|rival| &rival.life);
        let mut known = rival.into_iter().chain(current);
        let known = known.find(|life| life.id == id).cloned();
        known.unwrap_or_else(|| Life {
            id: id.to_owned(),
            born: None,
        })
    }

    /// Notes a packet of the back end, which shows that it runs. A returned packet doesn't
    /// count: packets for a back end that has ended are returned as well.
    pub fn note_alive(&mut self, now: Timestamp) {
        self.is_doubtful |= self.is_unanswered(now);
        self.unanswered_since = None;
        self.seen_alive = true;
        self.returned_opening = false;
        if let Some(current) = &mut self.current {
            current.heard_at = now;
        }
    }

    /// Notes a returned SYN. A back end that hasn't registered gets no new flows until it
    /// registers or sends a packet.
    pub fn note_returned_opening(&mut self) {
        self.returned_opening = true;
    }

    /// State of the back end. It is unavailable if it was silent for `silence_limit`.
    pub fn state(&self, now: Timestamp, limit: Duration) -> AgentState {
        match &self.current {
            Some(current) if current.draining || self.rival_leaves() => AgentState::Draining,
            Some(current) if now.saturating_since(current.heard_at) < limit => AgentState::Ready,
            None if self.is_provisional(now) && self.seen_alive => AgentState::Ready,
            None if self.is_provisional(now) => AgentState::Starting,
            Some(_) | None => AgentState::Unavailable,
        }
    }

    /// Whether a back end that hasn't registered may get new flows. It may not after a
    /// deregistration, as packets may come from the incarnation that deregistered.
    fn is_provisional(&self, now: Timestamp) -> bool {
        self.departed.is_empty() && !self.returned_opening && now < self.provisional_until
    }

    /// Number of requests that the back end processes at once.
    pub fn capacity(&self) -> u32 {
        match &self.current {
            Some(current) => current.capacity,
            None => PROVISIONAL_CAPACITY,
        }
    }

    /// Whether one of the first registrations of an incarnation was received.
    pub fn called_early(&self) -> bool {
        self.first_call.is_some_and(|call| call <= EARLY_CALLS)
    }

    /// Whether a back end has registered.
    pub fn has_called(&self) -> bool {
        self.current.is_some()
    }

    /// Revision of the back end's description, which increases with each change.
    pub fn description_revision(&self) -> u64 {
        self.description_revision
    }

    /// Description of the registered back end for placement policies, if there is one.
    pub fn description(&self, now: Timestamp) -> Option<BackendDescription> {
        let current = self.current.as_ref()?;
        let age = now.saturating_since(current.known_since);
        Some(BackendDescription {
            name: current.life.id.clone(),
            labels: current.labels.clone(),
            age_millis: age.as_millis() as u64,
        })
    }

    /// Digest of the registered incarnation, if there is one.
    pub fn backend(&self) -> Option<u64> {
        let current = self.current.as_ref()?;
        Some(current.life.digest())
    }

    /// Whether that digest identifies a single incarnation: the back end reports its start
    /// time.
    pub fn tells_lives_apart(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.life.born.is_some())
    }

    /// Whether the current incarnation replaced another one while this agent ran.
    pub fn was_replaced(&self) -> bool {
        self.was_replaced
    }

    /// Whether the back end still warms up, as it registered.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        let cold = |current: &Current| now < current.cold_until;
        self.current.as_ref().is_some_and(cold)
    }

    /// Notes that a SYN was delivered to the back end.
    pub fn note_offered(&mut self, now: Timestamp) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Notes that the back end may have restarted. It counts as cold until it registers.
    pub fn note_doubt(&mut self) {
        self.is_doubtful = true;
    }

    /// Whether the back end may be warming up: it has registered so, hasn't registered yet, or
    /// may have restarted since.
    pub fn may_be_cold(&self, now: Timestamp) -> bool {
        let is_in_doubt = self.is_doubtful || self.is_unanswered(now);
        self.current.is_none() || self.is_cold(now) || is_in_doubt
    }

    fn is_unanswered(&self, now: Timestamp) -> bool {
        let is_late = |since| now.saturating_since(since) >= UNANSWERED_LIMIT;
        self.unanswered_since.is_some_and(is_late)
    }

    /// Whether the contender drains; it may be the incarnation that runs.
    fn rival_leaves(&self) -> bool {
        self.rival.as_ref().is_some_and(|rival| rival.draining)
    }

    fn offer(&self) -> Option<(Life, bool)> {
        let current = self.current.as_ref()?;
        let leaves = current.draining || self.rival_leaves();
        Some((current.life.clone(), leaves))
    }

    /// Digests of draining and deregistered incarnations, the latest last.
    pub fn leaving(&self) -> Vec<u64> {
        let current = self.current.iter().filter(|current| current.draining);
        let current = current.map(|current| current.life.digest());
        let rival = self.rival.iter().filter(|rival| rival.draining);
        let rival = rival.map(|rival| rival.life.digest());
        let departed = self.departed.iter().copied();
        let mut leaving: Vec<u64> = departed.chain(rival).chain(current).collect();
        leaving.dedup();
        leaving.split_off(leaving.len().saturating_sub(MAX_LEAVING_TOLD))
    }

    /// Restores what a previous incarnation of the agent reported with
    /// [`RegistrationState::draining_backends`].
    pub fn recall(&mut self, leaving: &[u64]) {
        for digest in leaving {
            self.note_departed(*digest);
        }
        if let Some(current) = &mut self.current
            && leaving.contains(&current.life.digest())
        {
            current.draining = true;
        }
    }

    fn note_departed(&mut self, digest: u64) {
        if self.departed.contains(&digest) {
            return;
        }
        self.departed.push_back(digest);
        if self.departed.len() > MAX_DEPARTED {
            self.departed.pop_front();
        }
    }
}
