//! Messages about evacuated zones: commands by operators, and their acknowledgements.

/// An operator's command to evacuate or restore a zone: one command of the replicated log.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ZoneCommand {
    /// Random identifier of the command.
    #[prost(fixed64, tag = "1")]
    pub command_id: u64,
    /// Name of the zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Whether to evacuate the zone, rather than restore it.
    #[prost(bool, tag = "3")]
    pub evacuated: bool,
    /// Time at which the leader received the command, in milliseconds of Unix time by its
    /// clock. For operators only.
    #[prost(uint64, tag = "4")]
    pub issued_at_millis: u64,
}

/// Latest command for a zone.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ZoneStatus {
    /// Name of the zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Whether the zone is evacuated.
    #[prost(bool, tag = "2")]
    pub evacuated: bool,
    /// See [`ZoneCommand::command_id`].
    #[prost(fixed64, tag = "3")]
    pub command_id: u64,
    /// Log index of the command.
    #[prost(uint64, tag = "4")]
    pub index: u64,
    /// See [`ZoneCommand::issued_at_millis`].
    #[prost(uint64, tag = "5")]
    pub issued_at_millis: u64,
}

/// Zones for which there was ever a command.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ZoneStatuses {
    /// Log index of the latest command that changed a zone; zero if there was none. Statuses
    /// with a higher index are newer.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The zones.
    #[prost(message, repeated, tag = "2")]
    pub zones: Vec<ZoneStatus>,
}

/// Agent to replica: acknowledges [`ZoneStatuses`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EvacuationsAck {
    /// Address of the agent.
    #[prost(fixed64, tag = "1")]
    pub address: u64,
    /// [`ZoneStatuses::index`] that the agent has received.
    #[prost(uint64, tag = "2")]
    pub index: u64,
}
