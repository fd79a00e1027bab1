//! When a daemon asks its parent for news.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;

use crate::time::Timestamp;

use super::backoff::{Backoff, jitter};

/// Whether the parent answered, and when to ask it (again).
#[derive(Clone, Debug)]
pub(super) struct Subscription {
    due: Option<Timestamp>,
    backoff: Backoff,
    lagging_since: Option<Timestamp>,
}

impl Subscription {
    /// The first request is due within `start_jitter`.
    pub(super) fn new(
        now: Timestamp,
        start_jitter: Duration,
        backoff: Backoff,
        random: &mut ChaCha8Rng,
    ) -> Self {
        Subscription {
            due: Some(now + jitter(random, start_jitter)),
            backoff,
            lagging_since: None,
        }
    }

    /// When the next request is due, if one is.
    pub(super) fn due(&self) -> Option<Timestamp> {
        self.due
    }

    /// A request is sent; it is repeated unless something arrives.
    pub(super) fn sent(&mut self, now: Timestamp, random: &mut ChaCha8Rng) {
        self.due = Some(now + self.backoff.next_delay(random));
    }

    /// Another parent is used from now on.
    pub(super) fn restart(&mut self, now: Timestamp) {
        self.backoff.reset();
        self.due = Some(now);
        self.lagging_since = self.lagging_since.map(|_| now);
    }

    /// Something arrived from the parent. `lagging` tells whether the view is
    /// still behind what is known to be committed.
    pub(super) fn progressed(&mut self, now: Timestamp, lagging: bool, random: &mut ChaCha8Rng) {
        self.backoff.reset();
        self.lagging_since = lagging.then_some(now);
        self.due = lagging.then(|| now + self.backoff.next_delay(random));
    }

    /// An answer came that brought nothing new.
    pub(super) fn answered(&mut self, lagging: bool) {
        if !lagging {
            self.backoff.reset();
            self.due = None;
        }
    }

    /// The view was found to be behind. The parent gets some time to push
    /// what is missing before it is asked.
    pub(super) fn lags(&mut self, now: Timestamp, random: &mut ChaCha8Rng) {
        self.lagging_since = self.lagging_since.or(Some(now));
        if self.due.is_none() {
            self.due = Some(now + self.backoff.next_delay(random));
        }
    }

    /// Since when the view has been behind without any progress.
    pub(super) fn lagging_since(&self) -> Option<Timestamp> {
        self.lagging_since
    }
}
