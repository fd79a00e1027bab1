//! Back ends that register themselves at the agent beside them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use petrellatch_proto::pass_through::{AgentState, BackendDescription};
use snafu::Snafu;

use crate::time::Timestamp;

use crate::pass_through::digest::backend_digest;

/// Requests that a back end which has not called yet is taken to work on at
/// once. One that has fewer slots queues or returns the rest.
const PROVISIONAL_CAPACITY: u32 = 4;
/// Calls that a back end may have made in vain before its agent was there.
const EARLY_CALLS: u64 = 3;
/// A life that says that it was born before the current one is a newer one all the same
/// if it goes on calling for so long without a call of that: its clock was set back. Late
/// calls of a former life come within a moment, and the current one calls about every
/// second.
const EARLIER_BORN_PATIENCE: Duration = Duration::from_secs(3);
/// How many departed back ends are remembered, so that a late call of one of
/// them does not bring it back.
const MAX_DEPARTED: usize = 16;
/// How many of them the control group is told.
const MAX_LEAVING_TOLD: usize = 4;
/// A back end that has not answered an opening packet for so long may be another
/// one, cold, when it speaks again. One that lives answers at once, or returns the
/// packet.
const UNANSWERED_LIMIT: Duration = Duration::from_millis(500);

/// One call of a back end.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Registration {
    /// The back end. It may start again under the same name.
    pub id: String,
    /// The service that it runs.
    pub service: String,
    /// When it was started, in milliseconds by its own clock, which may have been set
    /// meanwhile; none if it does not say so.
    pub started_at_millis: Option<u64>,
    /// Rises with each call of a life, and begins anew with the next one.
    pub sequence: u64,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it leaves.
    pub draining: bool,
    /// How much longer it is slow after its start.
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

/// Why a call names no back end to use.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum RegistrationRefusal {
    /// The agent is beside a back end of another service.
    #[snafu(display("the back end beside this agent runs {own}, not {named}"))]
    WrongService {
        /// The service of the agent.
        own: String,
        /// The service that the call names.
        named: String,
    },
}

/// One life of a back end: with the next one it has nothing in common but, at times, its
/// name.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Life {
    id: String,
    born: Option<u64>,
}

impl Life {
    fn digest(&self) -> u64 {
        backend_digest(&self.id, self.born)
    }

    /// Whether it began after another one, as far as both say so.
    fn is_born_after(&self, other: &Life) -> Option<bool> {
        Some(self.born? > other.born?)
    }
}

/// What an agent knows of its back end from the calls.
#[derive(Debug)]
pub struct RegistrationState {
    current: Option<Current>,
    /// Another life that has called, of which it is not known whether it is a newer
    /// one. It is forgotten once the current one calls again.
    rival: Option<Rival>,
    /// Whether packets show that a back end is alive that has not called.
    seen_alive: bool,
    /// Until when such a back end is offered.
    provisional_until: Timestamp,
    /// Whether the latest sign of it was a returned opening packet.
    returned_opening: bool,
    /// Number of the first call that was heard.
    first_call: Option<u64>,
    /// Whether another back end took the place of a former one.
    was_replaced: bool,
    /// When the back end got an opening packet that it has not answered.
    unanswered_since: Option<Timestamp>,
    /// Whether it may have turned cold since its latest call.
    is_doubtful: bool,
    /// Digests of back ends that must not be offered again.
    departed: VecDeque<u64>,
    /// Rises whenever another back end calls, or one says something else of itself.
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
    /// When its first call was heard.
    known_since: Timestamp,
    labels: BTreeMap<String, String>,
}

/// A call may come seconds late, also after its sender has crashed and a newer life
/// has called, and names do not tell which life is the newer one. The times at which they
/// were born tell it unless a clock was set back in between.
#[derive(Debug)]
struct Rival {
    life: Life,
    call_number: u64,
    draining: bool,
    /// When it was first heard since the current one called; none if it has not called.
    called_since: Option<Timestamp>,
}

impl RegistrationState {
    /// Starts without a back end. Until `provisional_until` one that is alive
    /// is offered although it has not called.
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

    /// Takes a call. Returns whether it changed what the agent offers.
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

    /// Whether a life that is not the current one is a newer one: it says that it was
    /// born later, or has begun just now, or it goes on calling while the current one is
    /// silent. Beside a current one that leaves, and may have said its last word, a first
    /// call shows nothing, nor does it from a life that says that it was born earlier.
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

    /// Notes a call of a life that is not known to be a newer one. What a life says that
    /// was born before the current one changes nothing.
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

    /// Gives up the current life for another one. If it left, it must not come back.
    fn replace_current(&mut self) {
        let Some(former) = self.current.take() else {
            return;
        };
        self.was_replaced = true;
        if former.draining {
            self.note_departed(former.life.digest());
        }
    }

    /// Takes the goodbye of a back end. It keeps the flows that it has, and
    /// nothing that it says later counts. Returns whether that changed what
    /// the agent offers.
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
            // The current one may be a former life, whose call came late.
            self.rival = Some(Rival {
                life,
                call_number: u64::MAX,
                draining: true,
                called_since: None,
            });
        }
        before != self.offer()
    }

    /// The life that takes its leave under a name: the latest that called under it.
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

    /// Notes that the back end gave another sign of life. A packet that it
    /// returned is none: those of a back end that is gone come back as well.
    pub fn note_alive(&mut self, now: Timestamp) {
        self.is_doubtful |= self.is_unanswered(now);
        self.unanswered_since = None;
        self.seen_alive = true;
        self.returned_opening = false;
        if let Some(current) = &mut self.current {
            current.heard_at = now;
        }
    }

    /// Notes that an opening packet came back. A back end that has not called is
    /// not offered any more, until it calls or speaks.
    pub fn note_returned_opening(&mut self) {
        self.returned_opening = true;
    }

    /// What the back end offers; one that was silent for longer than `limit`
    /// counts as gone.
    pub fn state(&self, now: Timestamp, limit: Duration) -> AgentState {
        match &self.current {
            Some(current) if current.draining || self.rival_leaves() => AgentState::Draining,
            Some(current) if now.saturating_since(current.heard_at) < limit => AgentState::Ready,
            None if self.is_provisional(now) && self.seen_alive => AgentState::Ready,
            None if self.is_provisional(now) => AgentState::Starting,
            Some(_) | None => AgentState::Unavailable,
        }
    }

    /// Whether a back end is offered although it has not called. If one of this
    /// machine has left, packets may be its.
    fn is_provisional(&self, now: Timestamp) -> bool {
        self.departed.is_empty() && !self.returned_opening && now < self.provisional_until
    }

    /// Requests that the back end works on at once.
    pub fn capacity(&self) -> u32 {
        match &self.current {
            Some(current) => current.capacity,
            None => PROVISIONAL_CAPACITY,
        }
    }

    /// Whether one of the first calls of a back end's life was heard.
    pub fn called_early(&self) -> bool {
        self.first_call.is_some_and(|call| call <= EARLY_CALLS)
    }

    /// Whether a back end has called.
    pub fn has_called(&self) -> bool {
        self.current.is_some()
    }

    /// Number of the latest description that differs from the one before.
    pub fn description_revision(&self) -> u64 {
        self.description_revision
    }

    /// What placement policies read of the back end that has called, if one has.
    pub fn description(&self, now: Timestamp) -> Option<BackendDescription> {
        let current = self.current.as_ref()?;
        let age = now.saturating_since(current.known_since);
        Some(BackendDescription {
            name: current.life.id.clone(),
            labels: current.labels.clone(),
            age_millis: age.as_millis() as u64,
        })
    }

    /// Digest of the life of the back end that has called, if one has.
    pub fn backend(&self) -> Option<u64> {
        let current = self.current.as_ref()?;
        Some(current.life.digest())
    }

    /// Whether that digest stands for one life only: the back end says when it was born.
    pub fn tells_lives_apart(&self) -> bool {
        let current = self.current.as_ref();
        current.is_some_and(|current| current.life.born.is_some())
    }

    /// Whether the back end has begun while it was watched, after another one.
    pub fn was_replaced(&self) -> bool {
        self.was_replaced
    }

    /// Whether the back end still warms up.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        let cold = |current: &Current| now < current.cold_until;
        self.current.as_ref().is_some_and(cold)
    }

    /// Notes that the back end got an opening packet.
    pub fn note_offered(&mut self, now: Timestamp) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Notes that the back end may have turned cold, until it calls.
    pub fn note_doubt(&mut self) {
        self.is_doubtful = true;
    }

    /// Whether the back end may warm up: it says so, has not called yet, or may be
    /// another one than the one that called.
    pub fn may_be_cold(&self, now: Timestamp) -> bool {
        let is_in_doubt = self.is_doubtful || self.is_unanswered(now);
        self.current.is_none() || self.is_cold(now) || is_in_doubt
    }

    fn is_unanswered(&self, now: Timestamp) -> bool {
        let is_late = |since| now.saturating_since(since) >= UNANSWERED_LIMIT;
        self.unanswered_since.is_some_and(is_late)
    }

    /// Whether the life that leaves may be the one that runs.
    fn rival_leaves(&self) -> bool {
        self.rival.as_ref().is_some_and(|rival| rival.draining)
    }

    fn offer(&self) -> Option<(Life, bool)> {
        let current = self.current.as_ref()?;
        let leaves = current.draining || self.rival_leaves();
        Some((current.life.clone(), leaves))
    }

    /// Back ends that said that they leave, the latest last.
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

    /// Takes back what a former life of the agent told with
    /// [`RegistrationState::leaving`].
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
