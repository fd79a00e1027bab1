//! Settings of a replica.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::consensus::ReplicaSettings;

/// Settings of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationNodeSettings {
    /// Of the replicated log.
    pub replica: ReplicaSettings,
    /// How many machines may be lost at once.
    pub max_lost_replicas: usize,
    /// How many zones may be lost at once: none or one.
    pub max_lost_zones: usize,
    /// The zone of this replica.
    pub zone: String,
    /// A silent member is removed after this, if enough others stay.
    pub member_silence_timeout: Duration,
    /// A request that is not answered by then gets the answer that its
    /// outcome is unknown.
    pub request_timeout: Duration,
    /// A leader whose disk holds up a write for longer stops leading.
    pub write_timeout: Duration,
    /// The longest that a planned stop waits for a successor.
    pub stop_timeout: Duration,
    /// All zones. Orders about others are refused; if there are none here, orders
    /// about any zone are taken.
    pub zones: BTreeSet<String>,
    /// What the records of open flows may take in memory, in bytes.
    pub max_flow_record_bytes: usize,
    /// A record is forgotten if its agent was not heard of for so long: no flow rests for
    /// longer.
    pub flow_record_ttl: Duration,
}

impl Default for ConfigurationNodeSettings {
    fn default() -> Self {
        ConfigurationNodeSettings {
            replica: ReplicaSettings {
                compaction_threshold: 1024,
                compaction_bytes: 512 * 1024,
                max_batch_bytes: 16 * 1024,
                snapshot_chunk_bytes: 16 * 1024,
                readmit_retired: true,
                elects_at_start: true,
                ..ReplicaSettings::default()
            },
            max_lost_replicas: 1,
            max_lost_zones: 0,
            zone: String::new(),
            member_silence_timeout: Duration::from_secs(8),
            request_timeout: Duration::from_millis(850),
            write_timeout: Duration::from_millis(400),
            stop_timeout: Duration::from_secs(1),
            zones: BTreeSet::new(),
            max_flow_record_bytes: 16 * 1024 * 1024,
            flow_record_ttl: Duration::from_secs(60),
        }
    }
}
