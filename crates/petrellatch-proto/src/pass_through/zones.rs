//! Zones out of service: the orders about them, and who knows of these.

/// An operator's order that takes a zone out of service, or back into it. It is
/// one command of the log.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ZoneCommand {
    /// Drawn at random for the order.
    #[prost(fixed64, tag = "1")]
    pub command_id: u64,
    /// The zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Whether it goes out of service.
    #[prost(bool, tag = "3")]
    pub evacuated: bool,
    /// When the leader took the order, in milliseconds of Unix time by its
    /// clock. Only operators read it.
    #[prost(uint64, tag = "4")]
    pub issued_at_millis: u64,
}

/// The latest order about a zone.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ZoneStatus {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Whether it is out of service.
    #[prost(bool, tag = "2")]
    pub evacuated: bool,
    /// See [`ZoneCommand::command_id`].
    #[prost(fixed64, tag = "3")]
    pub command_id: u64,
    /// Index of the order in the log.
    #[prost(uint64, tag = "4")]
    pub index: u64,
    /// See [`ZoneCommand::issued_at_millis`].
    #[prost(uint64, tag = "5")]
    pub issued_at_millis: u64,
}

/// All zones that there was ever an order about.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ZoneStatuses {
    /// Index of the latest order in the log that changed them; zero if there was
    /// none. The greater one of two is the newer one.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The zones.
    #[prost(message, repeated, tag = "2")]
    pub zones: Vec<ZoneStatus>,
}

/// An agent has taken [`ZoneStatuses`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EvacuationsAck {
    /// Address of the agent.
    #[prost(fixed64, tag = "1")]
    pub address: u64,
    /// [`ZoneStatuses::index`].
    #[prost(uint64, tag = "2")]
    pub index: u64,
}
