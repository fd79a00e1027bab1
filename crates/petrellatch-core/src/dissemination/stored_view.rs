//! The copy of a view that a daemon keeps on its disk.

use std::hash::Hasher;
use std::time::Duration;

use petrellatch_proto::record::RecordChange;
use prost::Message;
use siphasher::sip::SipHasher24;
use snafu::{OptionExt, Snafu, ensure};

use crate::cluster::ClusterView;

/// Bytes of the checksum in front of the encoded content.
const CHECKSUM_BYTES: usize = 8;

/// The least time between two copies.
const SHORTEST_INTERVAL: Duration = Duration::from_secs(1);

/// The time between two copies grows by this with every record, because a copy
/// takes all of them.
const INTERVAL_PER_RECORD: Duration = Duration::from_millis(1);

/// Returns the least time between two copies of a view. What a copy lacks is
/// caught up by deltas after a restart.
pub fn store_interval(view: &ClusterView) -> Duration {
    let records = u32::try_from(view.record_count()).unwrap_or(u32::MAX);
    (INTERVAL_PER_RECORD * records).max(SHORTEST_INTERVAL)
}

/// Why a stored view was not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
pub enum StoredViewError {
    /// The file is shorter than its checksum, or the checksum is wrong.
    #[snafu(display("the stored view is damaged"))]
    Damaged,
    /// The content is of another format.
    #[snafu(display("the stored view has an unknown format"))]
    Malformed,
}

/// A view at one version, to start from after a restart.
#[derive(Clone, PartialEq, Message)]
pub struct StoredView {
    /// The version.
    #[prost(uint64, tag = "1")]
    pub version: u64,
    /// All records, as puts.
    #[prost(message, repeated, tag = "2")]
    pub records: Vec<RecordChange>,
}

impl StoredView {
    /// Copies a view.
    pub fn of(view: &ClusterView) -> Self {
        StoredView {
            version: view.version(),
            records: view.records(),
        }
    }

    /// Encodes the copy with a checksum.
    pub fn to_bytes(&self) -> Vec<u8> {
        let content = self.encode_to_vec();
        let mut bytes = checksum(&content).to_be_bytes().to_vec();
        bytes.extend_from_slice(&content);
        bytes
    }

    /// Reads back what [`StoredView::to_bytes`] wrote.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, StoredViewError> {
        let (expected, content) = bytes
            .split_first_chunk::<CHECKSUM_BYTES>()
            .context(DamagedSnafu)?;
        let sound = checksum(content).to_be_bytes() == *expected;
        ensure!(sound, DamagedSnafu);
        StoredView::decode(content).map_err(|_| StoredViewError::Malformed)
    }

    /// Makes the view again.
    pub fn to_view(&self) -> ClusterView {
        let mut view = ClusterView::new();
        if self.version > 0 {
            view.replace(self.version, &self.records)
                .expect("every version is newer than that of an empty view");
        }
        view
    }
}

fn checksum(content: &[u8]) -> u64 {
    let mut hasher = SipHasher24::new();
    hasher.write(content);
    hasher.finish()
}
