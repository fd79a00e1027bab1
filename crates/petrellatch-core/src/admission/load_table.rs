//! What other agents say about the load of their back ends.

use std::collections::BTreeMap;
use std::time::Duration;

use petrellatch_proto::admission::LoadReport;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use crate::Timestamp;
use crate::identity::BackendId;
use crate::routing::AgentIncarnation;

use super::BackendUse;

/// How long a back end that refused a flow is left alone, unless it reports.
const REFUSAL_PAUSE: Duration = Duration::from_millis(200);

/// How long a back end whose agent did not answer is left alone, unless it
/// reports.
const SILENCE_PAUSE: Duration = Duration::from_secs(10);

/// Thousandths of a request.
const REQUEST: u64 = 1_000;

/// A back end that may receive a flow in place of the owner's one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerCandidate {
    /// The back end.
    pub backend: BackendId,
    /// The agent beside it.
    pub agent: AgentIncarnation,
    /// Its placement weight, positive.
    pub weight: u32,
    /// Its slots; zero stands for no limit.
    pub slots: u32,
}

/// The newest load report of each back end, with what was passed to it since.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    loads: BTreeMap<BackendId, PeerLoad>,
}

#[derive(Clone, Debug)]
struct PeerLoad {
    reporter: AgentIncarnation,
    /// The number of the report; zero before the first.
    sequence: u64,
    present: BackendUse,
    closed: bool,
    withdrawn: bool,
    /// Flows that this agent passed to it since the report.
    passed: u32,
    paused_until: Timestamp,
}

impl PeerLoad {
    /// What is assumed before the first report.
    fn unreported(agent: AgentIncarnation) -> Self {
        PeerLoad {
            reporter: agent,
            sequence: 0,
            present: BackendUse::default(),
            closed: false,
            withdrawn: false,
            passed: 0,
            paused_until: Timestamp::ZERO,
        }
    }
}

impl LoadTable {
    /// Makes an empty table.
    pub fn new() -> Self {
        LoadTable::default()
    }

    /// Takes a report. One that is older than the newest of the same life is
    /// ignored.
    pub fn handle_report(&mut self, reporter: AgentIncarnation, report: &LoadReport) {
        let backend = BackendId(report.backend);
        let known = self.loads.get(&backend);
        if known.is_some_and(|it| it.reporter == reporter && it.sequence >= report.sequence) {
            return;
        }
        let load = PeerLoad {
            reporter,
            sequence: report.sequence,
            present: BackendUse {
                busy: report.in_flight_requests,
                connections: report.connections,
            },
            closed: report.refuses_new_flows,
            withdrawn: report.withdrawn,
            passed: 0,
            paused_until: Timestamp::ZERO,
        };
        self.loads.insert(backend, load);
    }

    /// Notes that a flow is passed to the candidate.
    pub fn note_passed(&mut self, candidate: &PeerCandidate) {
        let load = self.loads.entry(candidate.backend);
        let load = load.or_insert_with(|| PeerLoad::unreported(candidate.agent));
        load.passed += 1;
    }

    /// Notes that the back end's agent refused a flow.
    pub fn note_refused(&mut self, now: Timestamp, backend: BackendId) {
        if let Some(load) = self.loads.get_mut(&backend) {
            load.paused_until = now + REFUSAL_PAUSE;
        }
    }

    /// Notes that the back end's agent did not answer about a flow.
    pub fn note_silent(&mut self, now: Timestamp, backend: BackendId) {
        if let Some(load) = self.loads.get_mut(&backend) {
            load.paused_until = now + SILENCE_PAUSE;
        }
    }

    /// Returns whether the back end's agent has said nothing since a flow was
    /// passed to it.
    pub fn is_silent(&self, backend: BackendId) -> bool {
        let load = self.loads.get(&backend);
        load.is_none_or(|load| load.passed > 0)
    }

    /// Returns whether the back end should get nothing new although it could.
    pub fn is_withdrawn(&self, backend: BackendId) -> bool {
        self.loads.get(&backend).is_some_and(|load| load.withdrawn)
    }

    /// Returns of how many back ends a report is known.
    pub fn reported_count(&self) -> usize {
        let loads = self.loads.values();
        loads.filter(|load| load.sequence > 0).count()
    }

    /// Forgets the reports of lives for which `keep` is false.
    pub fn retain(&mut self, keep: impl Fn(AgentIncarnation) -> bool) {
        self.loads.retain(|_, load| keep(load.reporter));
    }

    /// Returns the candidate with the least load for its weight that has
    /// room, one of them at random if there are several.
    pub fn least_loaded(
        &self,
        now: Timestamp,
        candidates: &[PeerCandidate],
        random: &mut ChaCha8Rng,
    ) -> Option<PeerCandidate> {
        let with_room = candidates.iter().filter(|it| self.has_room(now, it));
        self.least(with_room, random)
    }

    /// Returns the candidate with the least load for its weight that still
    /// takes flows, a free slot or not, one of them at random if there are
    /// several.
    pub fn least_waiting(
        &self,
        now: Timestamp,
        candidates: &[PeerCandidate],
        random: &mut ChaCha8Rng,
    ) -> Option<PeerCandidate> {
        let open = candidates.iter().filter(|it| self.is_open(now, it));
        self.least(open, random)
    }

    fn least<'a>(
        &self,
        candidates: impl Iterator<Item = &'a PeerCandidate>,
        random: &mut ChaCha8Rng,
    ) -> Option<PeerCandidate> {
        let scored: Vec<(u64, PeerCandidate)> = candidates
            .map(|it| (relative_load(self.busy(it.backend), it.weight), *it))
            .collect();
        let least = scored.iter().map(|(score, _)| *score).min()?;
        let best: Vec<PeerCandidate> = scored
            .into_iter()
            .filter(|(score, _)| *score == least)
            .map(|(_, candidate)| candidate)
            .collect();
        Some(best[random.random_range(0..best.len())])
    }

    /// Returns whether the load of `candidate` is lower than that of a back
    /// end with `busy` requests and `weight`, by at least `margin` thousandths
    /// of one request at that back end.
    pub fn is_clearly_less(
        &self,
        candidate: &PeerCandidate,
        busy: u32,
        weight: u32,
        margin: u64,
    ) -> bool {
        let load = self.loads.get(&candidate.backend);
        let known = load.is_some_and(|load| load.sequence > 0);
        let theirs = u64::from(self.busy(candidate.backend)) + 1;
        let scaled = theirs * u64::from(weight) * REQUEST / u64::from(candidate.weight.max(1));
        let ours = (u64::from(busy) + 1) * REQUEST;
        known && ours >= scaled + margin
    }

    fn has_room(&self, now: Timestamp, candidate: &PeerCandidate) -> bool {
        let full = candidate.slots > 0 && self.busy(candidate.backend) >= candidate.slots;
        !full && self.is_open(now, candidate)
    }

    fn is_open(&self, now: Timestamp, candidate: &PeerCandidate) -> bool {
        let load = self.loads.get(&candidate.backend);
        load.is_none_or(|load| !load.closed && load.paused_until <= now)
    }

    fn busy(&self, backend: BackendId) -> u32 {
        let load = self.loads.get(&backend);
        load.map_or(0, |it| it.present.busy.saturating_add(it.passed))
    }
}

/// Returns the load that one more request would make, relative to the weight.
fn relative_load(busy: u32, weight: u32) -> u64 {
    const SCALE: u64 = 1_000_000;
    (u64::from(busy) + 1) * SCALE / u64::from(weight.max(1))
}
