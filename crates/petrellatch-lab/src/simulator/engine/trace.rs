//! The digest of everything that happened in a run.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::VirtualTime;

/// Hashes every event as it happens. Two runs of the same seed have the same
/// digest, or the simulator is not deterministic.
#[derive(Clone, Debug)]
pub struct TraceHash {
    hasher: SipHasher13,
    events: u64,
}

impl Default for TraceHash {
    fn default() -> Self {
        TraceHash {
            hasher: SipHasher13::new_with_keys(0, 0),
            events: 0,
        }
    }
}

impl TraceHash {
    /// Adds one event: when, of which kind, about whom and with what content.
    pub fn add(&mut self, now: VirtualTime, kind: u8, subject: u64, content: &[u8]) {
        self.events += 1;
        self.hasher.write_u64(now.as_micros());
        self.hasher.write_u8(kind);
        self.hasher.write_u64(subject);
        self.hasher.write_usize(content.len());
        self.hasher.write(content);
    }

    /// Returns how many events were added.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// Returns the digest of all events so far.
    pub fn digest(&self) -> u64 {
        self.hasher.finish()
    }
}
