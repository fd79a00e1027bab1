//! The admission lease of one life, by the local clock.

use std::time::Duration;

use crate::event::{Event, EventKind};
use crate::time::Timestamp;

/// Holds the end of the lease and reports when it is gained or runs out.
#[derive(Clone, Debug, Default)]
pub(super) struct LeaseClock {
    until: Option<Timestamp>,
    held: bool,
    event: Option<Event>,
}

impl LeaseClock {
    /// Takes a grant that counts from when the heartbeat was sent. Returns
    /// the new end if it is later than the one before.
    pub(super) fn renew(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        milliseconds: u32,
    ) -> Option<Timestamp> {
        if milliseconds == 0 {
            return None;
        }
        let until = sent_at + Duration::from_millis(u64::from(milliseconds));
        if self.until.is_some_and(|known| known >= until) {
            return None;
        }
        self.until = Some(until);
        if !self.held && until > now {
            self.held = true;
            self.event = Some(Event::new(EventKind::LeaseAcquired, "admission lease"));
        }
        Some(until)
    }

    /// The end of the lease.
    pub(super) fn valid_until(&self) -> Option<Timestamp> {
        self.until
    }

    /// Returns the report of a lease that was gained, once.
    pub(super) fn take_event(&mut self) -> Option<Event> {
        self.event.take()
    }

    /// Returns the report of a lease that ran out, once.
    pub(super) fn handle_timeout(&mut self, now: Timestamp) -> Option<Event> {
        let over = self.held && self.until.is_some_and(|until| until <= now);
        if !over {
            return None;
        }
        self.held = false;
        Some(Event::new(EventKind::LeaseExpired, "admission lease"))
    }

    /// When the lease runs out.
    pub(super) fn poll_timeout(&self) -> Option<Timestamp> {
        self.until.filter(|_| self.held)
    }
}
