//! Answers to recent operator changes, for resends.

use std::collections::{BTreeMap, VecDeque};
use std::hash::Hasher;

use petrellatch_proto::command::OperatorChange;
use prost::Message;
use siphasher::sip128::{Hasher128, SipHasher24};

use super::limits::REQUEST_WINDOW;
use super::outcome::ChangeAnswer;

/// Identifies the content of a change.
pub(super) type ContentHash = u128;

/// A change that was decided.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct DecidedRequest {
    pub(super) request_id: String,
    pub(super) content: ContentHash,
    pub(super) answer: ChangeAnswer,
}

/// The newest [`REQUEST_WINDOW`] decided changes, in the order of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct RequestWindow {
    decided: VecDeque<DecidedRequest>,
    dropped: u64,
    /// Number of each request since the beginning.
    numbers: BTreeMap<String, u64>,
}

impl RequestWindow {
    /// Finds the decision about a request id.
    pub(super) fn find(&self, request_id: &str) -> Option<&DecidedRequest> {
        let number = self.numbers.get(request_id)?;
        let position = usize::try_from(number - self.dropped).ok()?;
        self.decided.get(position)
    }

    /// Remembers a decision; the oldest is forgotten if there are too many.
    pub(super) fn insert(&mut self, decided: DecidedRequest) {
        let number = self.dropped + self.decided.len() as u64;
        self.numbers.insert(decided.request_id.clone(), number);
        self.decided.push_back(decided);
        if self.decided.len() > REQUEST_WINDOW {
            self.drop_oldest();
        }
    }

    /// All decisions, the oldest first.
    pub(super) fn iter(&self) -> impl Iterator<Item = &DecidedRequest> {
        self.decided.iter()
    }

    fn drop_oldest(&mut self) {
        let Some(oldest) = self.decided.pop_front() else {
            return;
        };
        let number = self.dropped;
        self.dropped += 1;
        // Without deduplication (a fault for the lab) an id may come again.
        if self.numbers.get(&oldest.request_id) == Some(&number) {
            self.numbers.remove(&oldest.request_id);
        }
    }
}

/// Hashes a change with everything in it. The hash is part of the replicated
/// state, so that it is the same at every replica.
pub(super) fn content_hash(change: &OperatorChange) -> ContentHash {
    let mut hasher = SipHasher24::new();
    hasher.write(&change.encode_to_vec());
    hasher.finish128().as_u128()
}
