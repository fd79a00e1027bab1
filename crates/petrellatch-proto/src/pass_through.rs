//! Messages of the pass-through tier: balancers, agents and configuration
//! replicas that hand on the packets of flows without ending them.
//!
//! [`PassThroughMessage`] is the frame of every datagram between them.

/// Encoded messages stay below this size, in bytes, so that they rarely need
/// more than a few fragments. Log entries of other replicas are the exception.
pub const MAX_PART_BYTES: usize = 8 * 1024;

/// A flow, by its two ends as the caller sees them.
#[derive(Clone, Copy, PartialEq, Eq, Hash, prost::Message)]
pub struct FlowMessage {
    /// The caller's address and port, see [`pack_address`].
    #[prost(fixed64, tag = "1")]
    pub caller: u64,
    /// The route's address and port.
    #[prost(fixed64, tag = "2")]
    pub route: u64,
}

/// The frame of every datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PassThroughMessage {
    /// The message.
    #[prost(
        oneof = "PassThroughBody",
        tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18"
    )]
    pub body: Option<PassThroughBody>,
}

/// The kinds of message.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum PassThroughBody {
    /// Between replicas: the replicated log, already encoded.
    #[prost(bytes, tag = "1")]
    Consensus(Vec<u8>),
    /// Balancer to agent: a caller's packet.
    #[prost(message, tag = "2")]
    Carry(Carry),
    /// Agent to balancer: the back end answered an opening packet.
    #[prost(message, tag = "3")]
    Accepted(Accepted),
    /// Agent to balancer: an opening packet was not taken.
    #[prost(message, tag = "4")]
    Declined(Declined),
    /// Agent to balancer: the flows that its back end has.
    #[prost(message, tag = "5")]
    Holds(Holds),
    /// Agent to replica: what it serves.
    #[prost(message, tag = "6")]
    Report(Report),
    /// Balancer to replica: asks for news.
    #[prost(message, tag = "7")]
    Follow(Follow),
    /// Replica to daemon: the replicas of the group.
    #[prost(message, tag = "8")]
    Group(Group),
    /// Replica to balancer: the agents.
    #[prost(message, tag = "9")]
    Directory(Directory),
    /// Replica to balancer: a part of a configuration or of a change to it.
    #[prost(message, tag = "10")]
    Configuration(ConfigurationPart),
    /// Replica to balancer: the newest version at a time after the question.
    #[prost(message, tag = "11")]
    Confirmed(Confirmed),
    /// Agent to balancer: the back end does not have the flow.
    #[prost(message, tag = "12")]
    NotHeld(NotHeld),
    /// Balancer to agents: who has these flows.
    #[prost(message, tag = "13")]
    Seek(Seek),
    /// Agent to balancer: flows that it does not know.
    #[prost(message, tag = "14")]
    Lacks(Lacks),
    /// Agent to balancer: what several agents answered to a question.
    #[prost(message, tag = "15")]
    GatheredAnswers(GatheredAnswers),
    /// Agent to replica: which zones it knows to be out of service.
    #[prost(message, tag = "16")]
    EvacuationsKnown(EvacuationsKnown),
    /// Agent to balancer: an opening packet waits for a place.
    #[prost(message, tag = "17")]
    Waiting(Waiting),
    /// Between replicas: the zone of the sender.
    #[prost(message, tag = "18")]
    ReplicaZone(ReplicaZone),
}

/// An operator's order that takes a zone out of service, or back into it. It is
/// one command of the log.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ZoneOrder {
    /// Drawn at random for the order.
    #[prost(fixed64, tag = "1")]
    pub order: u64,
    /// The zone.
    #[prost(string, tag = "2")]
    pub zone: String,
    /// Whether it goes out of service.
    #[prost(bool, tag = "3")]
    pub evacuated: bool,
    /// When the leader took the order, in milliseconds of Unix time by its
    /// clock. Only operators read it.
    #[prost(uint64, tag = "4")]
    pub ordered_at_millis: u64,
}

/// The latest order about a zone.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ZoneRecord {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
    /// Whether it is out of service.
    #[prost(bool, tag = "2")]
    pub evacuated: bool,
    /// See [`ZoneOrder::order`].
    #[prost(fixed64, tag = "3")]
    pub order: u64,
    /// Index of the order in the log.
    #[prost(uint64, tag = "4")]
    pub index: u64,
    /// See [`ZoneOrder::ordered_at_millis`].
    #[prost(uint64, tag = "5")]
    pub ordered_at_millis: u64,
}

/// All zones that there was ever an order about.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ZoneRecords {
    /// Index of the latest order in the log that changed them; zero if there was
    /// none. The greater one of two is the newer one.
    #[prost(uint64, tag = "1")]
    pub index: u64,
    /// The zones.
    #[prost(message, repeated, tag = "2")]
    pub zones: Vec<ZoneRecord>,
}

/// Where a replica runs. The leader chooses members of the group by it.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ReplicaZone {
    /// The zone.
    #[prost(string, tag = "1")]
    pub zone: String,
}

/// An agent has taken [`ZoneRecords`].
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct EvacuationsKnown {
    /// Address of the agent.
    #[prost(fixed64, tag = "1")]
    pub address: u64,
    /// [`ZoneRecords::index`].
    #[prost(uint64, tag = "2")]
    pub index: u64,
}

/// A flow whose agent is not known.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct SoughtFlow {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// What its caller acknowledges.
    #[prost(fixed32, tag = "2")]
    pub acknowledged: u32,
}

/// Asks for the agents whose back ends have these flows. Each agent answers
/// for each flow, with [`Holds`] or [`Lacks`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Seek {
    /// The flows.
    #[prost(message, repeated, tag = "1")]
    pub flows: Vec<SoughtFlow>,
    /// Other agents that the receiver asks too. It gathers what they lack into
    /// [`GatheredAnswers`], so that a balancer with a thin link sends one question
    /// and gets few answers.
    #[prost(fixed64, repeated, tag = "2")]
    pub others: Vec<u64>,
    /// Number of a question with others; its answers repeat it.
    #[prost(uint64, tag = "3")]
    pub question: u64,
    /// The balancer, if another agent passed the question on; otherwise zero.
    #[prost(fixed64, tag = "4")]
    pub origin: u64,
}

/// What the agents of one question have answered so far.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GatheredAnswers {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub question: u64,
    /// The flows of the question.
    #[prost(message, repeated, tag = "2")]
    pub flows: Vec<GatheredFlow>,
}

/// What agents answered for a flow. Bit `n` of each set, the lowest of each byte first,
/// stands for agent `n` of [`Seek::others`], and the one after the last for the
/// agent that was asked to ask them.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GatheredFlow {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// Agents whose back ends do not have it for certain.
    #[prost(bytes = "vec", tag = "2")]
    pub certain: Vec<u8>,
    /// Agents that do not know it, but whose back ends may have it.
    #[prost(bytes = "vec", tag = "3")]
    pub uncertain: Vec<u8>,
    /// Agents whose back ends have it; they tell the balancer themselves.
    #[prost(bytes = "vec", tag = "4")]
    pub held: Vec<u8>,
}

/// Flows that an agent does not know. An answer to [`Seek`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Lacks {
    /// Flows that its back end does not have for certain.
    #[prost(message, repeated, tag = "1")]
    pub certain: Vec<FlowMessage>,
    /// Flows that its back end may have: the agent has started beside a back
    /// end that may have had flows before.
    #[prost(message, repeated, tag = "2")]
    pub uncertain: Vec<FlowMessage>,
}

/// Why a balancer hands a packet to an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum CarryReason {
    /// Not given; dropped.
    Unspecified = 0,
    /// An opening packet, for an agent with room.
    Open = 1,
    /// An opening packet that others declined: a full agent may queue it.
    OpenQueued = 2,
    /// A packet of a flow that the agent is known to have.
    Deliver = 3,
    /// A packet of a flow that the agent's back end may have.
    Try = 4,
}

/// A caller's packet on its way to an agent.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Carry {
    /// Digest of the service's name; the agent must serve it.
    #[prost(fixed64, tag = "1")]
    pub service: u64,
    /// A [`CarryReason`].
    #[prost(enumeration = "CarryReason", tag = "2")]
    pub reason: i32,
    /// The packet as it came.
    #[prost(bytes = "vec", tag = "3")]
    pub packet: Vec<u8>,
    /// With an opening packet: by when a request should be answered, in
    /// milliseconds; zero if that is not known.
    #[prost(uint32, tag = "4")]
    pub objective_millis: u32,
    /// With [`CarryReason::Try`]: other agents that the receiver passes the packet
    /// on to, so that a balancer sends it once.
    #[prost(fixed64, repeated, tag = "5")]
    pub others: Vec<u64>,
    /// The balancer, if another agent passed the packet on; otherwise zero.
    #[prost(fixed64, tag = "6")]
    pub origin: u64,
    /// With an opening packet: [`ServiceRecord::cold_millirequests_per_second`] of
    /// the service; zero if that is not known.
    #[prost(uint32, tag = "7")]
    pub cold_millirequests_per_second: u32,
    /// With an opening packet: how long ago its caller sent the first copy, at
    /// least, in milliseconds.
    #[prost(uint32, tag = "8")]
    pub age_millis: u32,
    /// With an opening packet: so many back ends of the service fail that none is to be
    /// left out for that.
    #[prost(bool, tag = "9")]
    pub despite_failures: bool,
    /// With an opening packet: [`RouteRecord::priority`].
    #[prost(uint32, tag = "10")]
    pub priority: u32,
    /// With an opening packet: [`RouteRecord::deadline_millis`].
    #[prost(uint32, tag = "11")]
    pub deadline_millis: u32,
}

/// How busy an agent's back end is.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub struct LoadMessage {
    /// Requests that wait for their answers.
    #[prost(uint32, tag = "1")]
    pub busy: u32,
    /// Requests that the back end works on at once.
    #[prost(uint32, tag = "2")]
    pub capacity: u32,
    /// Whether the back end still warms up.
    #[prost(bool, tag = "3")]
    pub cold: bool,
    /// How much longer the back end is left out, in milliseconds, as it failed the
    /// requests that it got.
    #[prost(uint32, tag = "4")]
    pub left_out_millis: u32,
    /// The mean time that the back end works on a request from when it got a slot, in
    /// microseconds; zero if that is not known.
    #[prost(uint32, tag = "5")]
    pub work_micros: u32,
    /// Flows that are open at the back end, also those that rest.
    #[prost(uint32, tag = "6")]
    pub open_flows: u32,
    /// Slots that the open flows keep busy in the mean of the last seconds, in
    /// thousandths of a slot.
    #[prost(uint32, tag = "7")]
    pub demand_millislots: u32,
}

/// The back end answered an opening packet.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Accepted {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// First sequence number of the back end.
    #[prost(fixed32, tag = "2")]
    pub sequence: u32,
    /// The load with this flow.
    #[prost(message, required, tag = "3")]
    pub load: LoadMessage,
}

/// An opening packet waits at the agent until fresh ones leave a place. The agent
/// tells later what became of it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Waiting {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// The load.
    #[prost(message, required, tag = "2")]
    pub load: LoadMessage,
}

/// Why an opening packet was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, prost::Enumeration)]
#[repr(i32)]
pub enum DeclineReason {
    /// Not given.
    Unspecified = 0,
    /// All slots are taken.
    Full = 1,
    /// The back end leaves.
    Draining = 2,
    /// No back end has registered, or it is silent.
    NoBackend = 3,
    /// The agent serves another service.
    WrongService = 4,
    /// The back end returned the packet.
    Returned = 5,
    /// The zone of the back end is out of service.
    Evacuated = 6,
    /// The back end still warms up, and bears no more for now.
    Cold = 7,
    /// The back end is left out, as it failed the requests that it got.
    Failing = 8,
}

/// An opening packet was not taken; nothing of it ran.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Declined {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// A [`DeclineReason`].
    #[prost(enumeration = "DeclineReason", tag = "2")]
    pub reason: i32,
    /// The load.
    #[prost(message, required, tag = "3")]
    pub load: LoadMessage,
    /// With [`DeclineReason::Full`]: the time in which one place for a flow of this
    /// priority is likely to come free here for the balancer, among all balancers that
    /// ask, in microseconds; zero if that can't be foretold.
    #[prost(uint32, tag = "4")]
    pub turn_micros: u32,
}

/// One flow that an agent's back end has.
#[derive(Clone, PartialEq, prost::Message)]
pub struct HeldFlow {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// First sequence number of the back end, if it is known.
    #[prost(fixed32, optional, tag = "2")]
    pub sequence: Option<u32>,
}

/// Flows that an agent's back end has. An answer to [`Seek`], or what an agent leaves behind when it stops.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Holds {
    /// The flows.
    #[prost(message, repeated, tag = "1")]
    pub flows: Vec<HeldFlow>,
}

/// The back end returned a packet of a flow.
#[derive(Clone, PartialEq, prost::Message)]
pub struct NotHeld {
    /// The flow.
    #[prost(message, required, tag = "1")]
    pub flow: FlowMessage,
    /// What the packet acknowledged.
    #[prost(fixed32, tag = "2")]
    pub acknowledged: u32,
    /// Whether the packet carried data, so that its caller waits for an
    /// answer.
    #[prost(bool, tag = "3")]
    pub request: bool,
    /// Whether the back end has had the flow, so that no other one has it.
    #[prost(bool, tag = "4")]
    pub was_open: bool,
}

/// State of the back end beside an agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum AgentState {
    /// No back end has registered in this life of the agent, or it is silent.
    Empty = 0,
    /// New flows are welcome.
    Ready = 1,
    /// No new flows; open ones stay.
    Draining = 2,
    /// The agent has just started, and nothing was heard of its back end yet.
    /// It offers it flows that nobody else takes.
    Starting = 3,
}

/// What an agent serves.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Report {
    /// Where balancers send packets.
    #[prost(fixed64, tag = "1")]
    pub address: u64,
    /// Life of the agent.
    #[prost(fixed64, tag = "2")]
    pub incarnation: u64,
    /// Rises with each report of a life.
    #[prost(uint64, tag = "3")]
    pub sequence: u64,
    /// The service's name.
    #[prost(string, tag = "4")]
    pub service: String,
    /// The agent's zone.
    #[prost(string, tag = "5")]
    pub zone: String,
    /// An [`AgentState`].
    #[prost(enumeration = "AgentState", tag = "6")]
    pub state: i32,
    /// The load.
    #[prost(message, required, tag = "7")]
    pub load: LoadMessage,
    /// Digests of back ends that said that they leave, the latest last.
    #[prost(fixed64, repeated, tag = "9")]
    pub leaving: Vec<u64>,
    /// The time until the next report without news, in milliseconds.
    #[prost(uint32, tag = "10")]
    pub interval_millis: u32,
    /// [`ZoneRecords::index`] as the agent knows it.
    #[prost(uint64, tag = "11")]
    pub evacuations_index: u64,
}

/// A balancer asks for news.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Follow {
    /// Life of the balancer.
    #[prost(fixed64, tag = "1")]
    pub incarnation: u64,
    /// The configuration that it has; zero for none.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// If not zero, asks the leader for a [`Confirmed`] with this number.
    #[prost(uint64, tag = "3")]
    pub confirm: u64,
    /// The balancer leaves and wants no more news.
    #[prost(bool, tag = "4")]
    pub leaving: bool,
    /// The revision of the directory that it has from this replica.
    #[prost(uint64, tag = "5")]
    pub directory_revision: u64,
    /// It wants what it lacks of the configuration. It asks one replica only.
    #[prost(bool, tag = "6")]
    pub wants_configuration: bool,
    /// It wants the directory and each change of it and of the configuration
    /// from now on.
    #[prost(bool, tag = "7")]
    pub attached: bool,
    /// [`ZoneRecords::index`] as the balancer knows it.
    #[prost(uint64, tag = "8")]
    pub evacuations_index: u64,
}

/// The replicas of the group.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Group {
    /// Their addresses.
    #[prost(fixed64, repeated, tag = "1")]
    pub replicas: Vec<u64>,
    /// Index of the membership, which only grows.
    #[prost(uint64, tag = "2")]
    pub index: u64,
    /// The version of the configuration that the sender has.
    #[prost(uint64, tag = "3")]
    pub version: u64,
    /// The revision of the sender's directory. Revisions of different lives
    /// and replicas differ.
    #[prost(uint64, tag = "4")]
    pub directory_revision: u64,
    /// To an agent: what former lives of it reported as
    /// [`Report::leaving`].
    #[prost(fixed64, repeated, tag = "5")]
    pub leaving: Vec<u64>,
    /// Whether the sender hears a leader, or is one, and so has news in time.
    #[prost(bool, tag = "6")]
    pub serves: bool,
    /// The leader as the sender knows it; zero for none.
    #[prost(fixed64, tag = "7")]
    pub leader: u64,
    /// To an agent: the time between two reports that the sender bears, in
    /// milliseconds. It grows with the number of agents.
    #[prost(uint32, tag = "8")]
    pub report_interval_millis: u32,
    /// Whether the sender's directory has every agent that runs: it has listened
    /// for as long as agents take to report, or took a whole directory over.
    #[prost(bool, tag = "9")]
    pub whole_directory: bool,
    /// To an agent: whether the sender has heard of a former life at its address.
    #[prost(bool, tag = "10")]
    pub had_former_life: bool,
    /// To an agent: whether the sender has heard a report of its present life.
    #[prost(bool, tag = "11")]
    pub answers_report: bool,
    /// The orders about zones, if the receiver may not know of the latest one.
    #[prost(message, optional, tag = "12")]
    pub zones: Option<ZoneRecords>,
}

/// The daemons that a replica remembers from one life to the next, to tell them
/// where the group is. It may be old, and is never more than a hint.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RememberedDaemons {
    /// Addresses of balancers that were attached to the replica.
    #[prost(fixed64, repeated, tag = "1")]
    pub balancers: Vec<u64>,
    /// Addresses of agents that reported to it.
    #[prost(fixed64, repeated, tag = "2")]
    pub agents: Vec<u64>,
}

/// One agent of a [`Directory`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct DirectoryEntry {
    /// What it reported last.
    #[prost(message, required, tag = "1")]
    pub report: Report,
    /// How long ago that was, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub age_millis: u32,
}

/// How a replica's directory differs from an earlier revision.
#[derive(Clone, PartialEq, prost::Message)]
pub struct DirectoryChange {
    /// Agents that are new or reported something else.
    #[prost(message, repeated, tag = "1")]
    pub agents: Vec<DirectoryEntry>,
    /// Addresses of agents that are not heard any more.
    #[prost(fixed64, repeated, tag = "2")]
    pub gone: Vec<u64>,
}

/// A part of an encoded and compressed [`DirectoryChange`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct Directory {
    /// The revision that the change is based on; zero for none.
    #[prost(uint64, tag = "1")]
    pub base_revision: u64,
    /// The revision that it makes.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Number of this part, from zero.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// How many parts there are.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// The bytes.
    #[prost(bytes = "vec", tag = "5")]
    pub bytes: Vec<u8>,
}

/// A service's share of a route's new flows.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ShareRecord {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Its weight among the shares of the route.
    #[prost(uint32, tag = "2")]
    pub weight: u32,
}

/// Where new flows of one address go.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct RouteRecord {
    /// The address and port that callers name.
    #[prost(fixed64, tag = "1")]
    pub address: u64,
    /// The services.
    #[prost(message, repeated, tag = "2")]
    pub shares: Vec<ShareRecord>,
    /// What the operator's interface keeps with the route. Balancers don't
    /// get it.
    #[prost(bytes = "vec", tag = "3")]
    pub annotation: Vec<u8>,
    /// Place in the operator's list: the greater, the later. Places have gaps,
    /// so that a route can be put between two others without moving them.
    #[prost(fixed64, tag = "4")]
    pub position: u64,
    /// By when a request should be answered, in milliseconds; zero if that is
    /// not known.
    #[prost(uint32, tag = "5")]
    pub objective_millis: u32,
    /// How urgent its requests are among those that compete for a place: zero is the
    /// most urgent.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// When callers give a request up, in milliseconds after they sent it; zero if
    /// that is not known.
    #[prost(uint32, tag = "7")]
    pub deadline_millis: u32,
}

/// What the configuration says of a service.
#[derive(Clone, PartialEq, Eq, prost::Message)]
pub struct ServiceRecord {
    /// The service's name.
    #[prost(string, tag = "1")]
    pub service: String,
    /// Requests that one of its back ends bears in 1,000 s while it warms up; zero
    /// if that is not known.
    #[prost(uint32, tag = "2")]
    pub cold_millirequests_per_second: u32,
}

/// A replacement of the configuration, as records that differ from the one
/// with `base_version`.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationChange {
    /// The version that it is based on; zero for the empty configuration.
    #[prost(uint64, tag = "1")]
    pub base_version: u64,
    /// The version that it makes.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Routes that are new or differ.
    #[prost(message, repeated, tag = "3")]
    pub put: Vec<RouteRecord>,
    /// Addresses of routes that are gone.
    #[prost(fixed64, repeated, tag = "4")]
    pub removed: Vec<u64>,
    /// What the operator's interface keeps with the configuration as a whole,
    /// if it differs.
    #[prost(bytes, optional, tag = "5")]
    pub annotation: Option<Vec<u8>>,
    /// Services that are new or differ, of those that something is said of.
    #[prost(message, repeated, tag = "6")]
    pub put_services: Vec<ServiceRecord>,
    /// Names of services that nothing is said of any more.
    #[prost(string, repeated, tag = "7")]
    pub removed_services: Vec<String>,
}

/// One command of the log: a part of an encoded and compressed
/// [`ConfigurationChange`], or an order about a zone.
#[derive(Clone, PartialEq, prost::Message)]
pub struct GroupCommand {
    /// Same for all parts of a change, and drawn at random for it.
    #[prost(fixed64, tag = "1")]
    pub change: u64,
    /// Number of this part, from zero.
    #[prost(uint32, tag = "2")]
    pub part: u32,
    /// How many parts there are.
    #[prost(uint32, tag = "3")]
    pub parts: u32,
    /// The bytes.
    #[prost(bytes = "vec", tag = "4")]
    pub bytes: Vec<u8>,
    /// The order. The other fields are zero then.
    #[prost(message, optional, tag = "5")]
    pub zone_order: Option<ZoneOrder>,
}

/// A part of an encoded and compressed [`ConfigurationChange`] for balancers.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfigurationPart {
    /// The version that the change is based on.
    #[prost(uint64, tag = "1")]
    pub base_version: u64,
    /// The version that it makes.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// Number of this part, from zero.
    #[prost(uint32, tag = "3")]
    pub part: u32,
    /// How many parts there are.
    #[prost(uint32, tag = "4")]
    pub parts: u32,
    /// The bytes.
    #[prost(bytes = "vec", tag = "5")]
    pub bytes: Vec<u8>,
}

/// A quorum confirmed that this was the newest version after the question.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Confirmed {
    /// Number of the question.
    #[prost(uint64, tag = "1")]
    pub confirm: u64,
    /// The version.
    #[prost(uint64, tag = "2")]
    pub version: u64,
    /// The orders about zones at that time, if there was ever one.
    #[prost(message, optional, tag = "3")]
    pub zones: Option<ZoneRecords>,
}

/// Puts an IPv4 address and a port into one number.
pub fn pack_address(address: std::net::SocketAddrV4) -> u64 {
    (u64::from(u32::from(*address.ip())) << 16) | u64::from(address.port())
}

/// Takes apart what [`pack_address`] made.
pub fn unpack_address(packed: u64) -> std::net::SocketAddrV4 {
    let ip = std::net::Ipv4Addr::from((packed >> 16) as u32);
    std::net::SocketAddrV4::new(ip, packed as u16)
}
