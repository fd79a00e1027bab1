//! Seeded loss, duplication, reordering and delay of packets, without input or
//! output.

use std::collections::BTreeMap;
use std::time::Duration;

use petrellatch_core::Timestamp;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use snafu::{Snafu, ensure};

/// Longest extra delay of a packet that is held back.
const MAXIMUM_REORDER_DELAY: Duration = Duration::from_millis(4);

/// What is done to packets. Shares are from 0 to 1.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ImpairmentSettings {
    /// Share of packets lost.
    pub loss: f64,
    /// Share of packets delivered twice.
    pub duplicate: f64,
    /// Share of packets held back so that later ones overtake them.
    pub reorder: f64,
    /// Delay of every packet.
    pub delay: Duration,
}

/// A share that is not between 0 and 1.
#[derive(Debug, Snafu)]
#[snafu(display("{name} must be between 0 and 1, but is {value}"))]
pub struct ShareError {
    name: &'static str,
    value: f64,
}

impl ImpairmentSettings {
    /// Checks that all shares are possible.
    ///
    /// # Errors
    /// Fails on the first share that is not between 0 and 1.
    pub fn validate(&self) -> Result<(), ShareError> {
        check_share("loss", self.loss)?;
        check_share("duplicate", self.duplicate)?;
        check_share("reorder", self.reorder)
    }
}

fn check_share(name: &'static str, value: f64) -> Result<(), ShareError> {
    ensure!((0.0..=1.0).contains(&value), ShareSnafu { name, value });
    Ok(())
}

/// Which way a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Direction {
    /// From a caller to a balancer.
    ToBalancer,
    /// From an agent to a caller.
    ToCaller,
}

/// A packet that is due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ImpairedPacket {
    /// Which way it goes.
    pub direction: Direction,
    /// The IP packet.
    pub packet: Vec<u8>,
}

/// Orders packets by due time, then by arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    due: Timestamp,
    sequence: u64,
}

/// A link that loses, duplicates, reorders and delays packets.
#[derive(Debug)]
pub struct Impairment {
    settings: ImpairmentSettings,
    random: ChaCha8Rng,
    queue: BTreeMap<QueuePosition, ImpairedPacket>,
    sequence: u64,
    lost: u64,
}

impl Impairment {
    /// Makes an empty link.
    pub fn new(settings: ImpairmentSettings, seed: u64) -> Impairment {
        Impairment {
            settings,
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            sequence: 0,
            lost: 0,
        }
    }

    /// Returns how many packets were lost on purpose.
    pub fn lost(&self) -> u64 {
        self.lost
    }

    /// Takes in a packet.
    pub fn handle_packet(&mut self, now: Timestamp, packet: ImpairedPacket) {
        if self.happens(self.settings.loss) {
            self.lost += 1;
            return;
        }
        if self.happens(self.settings.duplicate) {
            self.enqueue(now, packet.clone());
        }
        self.enqueue(now, packet);
    }

    /// Returns the next packet that is due.
    pub fn poll_packet(&mut self, now: Timestamp) -> Option<ImpairedPacket> {
        let entry = self.queue.first_entry()?;
        (entry.key().due <= now).then(|| entry.remove())
    }

    /// Returns when the next packet is due.
    pub fn poll_timeout(&self) -> Option<Timestamp> {
        self.queue
            .first_key_value()
            .map(|(position, _)| position.due)
    }

    fn enqueue(&mut self, now: Timestamp, packet: ImpairedPacket) {
        let due = now + self.settings.delay + self.draw_reorder_delay();
        let position = QueuePosition {
            due,
            sequence: self.sequence,
        };
        self.sequence += 1;
        self.queue.insert(position, packet);
    }

    fn draw_reorder_delay(&mut self) -> Duration {
        if self.happens(self.settings.reorder) {
            MAXIMUM_REORDER_DELAY.mul_f64(self.random.random())
        } else {
            Duration::ZERO
        }
    }

    /// Draws only for shares above zero, so that an unimpaired link costs no
    /// randomness.
    fn happens(&mut self, share: f64) -> bool {
        share > 0.0 && self.random.random_bool(share)
    }
}
