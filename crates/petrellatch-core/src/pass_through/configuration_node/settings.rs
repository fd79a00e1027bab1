//! Settings of a replica.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::consensus::ReplicaSettings;

/// Settings of a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationNodeSettings {
    /// Settings of the replicated log.
    pub replica: ReplicaSettings,
    /// Number of replicas that may be lost at once.
    pub max_lost_replicas: usize,
    /// Number of zones that may be lost at once; zero or one.
    pub max_lost_zones: usize,
    /// The zone of this replica.
    pub zone: String,
    /// Silence after which a member is removed, if enough others remain.
    pub member_silence_timeout: Duration,
    /// Time after which a request without an outcome gets the response that its outcome is
    /// unknown.
    pub request_timeout: Duration,
    /// A leader whose disk takes longer for a write resigns.
    pub write_timeout: Duration,
    /// Maximum time that a planned stop waits until another replica is the leader.
    pub stop_timeout: Duration,
    /// All zones. Commands for other zones are refused; if this is empty, commands for any
    /// zone are accepted.
    pub zones: BTreeSet<String>,
    /// Maximum memory of the flow records, in bytes.
    pub max_flow_record_bytes: usize,
    /// A flow record is removed after this time without a message of its agent, since no flow
    /// is kept that is idle for longer.
    pub flow_record_ttl: Duration,
    /// Whether the whole system starts for the first time, so that there was no agent before, and
    /// no back end that has left.
    pub first_start: bool,
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
            first_start: false,
        }
    }
}
