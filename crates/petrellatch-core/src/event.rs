//! Numbered events that the state machines emit for the log.

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Severity {
    /// Useful when analyzing a fault.
    Debug,
    /// Normal operation.
    Info,
    /// May need the attention of an operator.
    Warning,
    /// Needs the attention of an operator.
    Error,
}

macro_rules! events {
    ($($(#[doc = $documentation:literal])* $name:ident = $number:literal, $severity:ident;)*) => {
        /// The kinds of events. A test compares them with the catalogue in
        /// `docs/EVENTS.md`.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum EventKind {
            $($(#[doc = $documentation])* $name,)*
        }

        impl EventKind {
            /// All kinds, in ascending order of their numbers.
            pub const ALL: &'static [EventKind] = &[$(EventKind::$name,)*];

            /// Returns the number. The meaning of a number never changes.
            pub const fn number(self) -> u16 {
                match self { $(EventKind::$name => $number,)* }
            }

            /// Returns the name.
            pub const fn name(self) -> &'static str {
                match self { $(EventKind::$name => stringify!($name),)* }
            }

            /// Returns the severity.
            pub const fn severity(self) -> Severity {
                match self { $(EventKind::$name => Severity::$severity,)* }
            }

            /// Returns the explanation for the catalogue.
            pub const fn explanation(self) -> &'static str {
                match self { $(EventKind::$name => concat!($($documentation),*),)* }
            }
        }
    };
}

events! {
    /// The process started and serves its addresses.
    ProcessStarted = 100, Info;
    /// The process was asked to stop and finishes its work.
    ProcessStopping = 101, Info;
    /// The process stopped.
    ProcessStopped = 102, Info;
    /// A datagram was dropped because its seal or content was wrong.
    DatagramRejected = 103, Warning;
    /// The copy of the cluster view could not be stored; the next start takes longer.
    ViewNotStored = 104, Warning;
    /// The stored copy of the cluster view is damaged and is not used.
    StoredViewIgnored = 105, Warning;
    /// The platform's list of machines can't be read; the last list stays active.
    PlatformListMissing = 106, Warning;
    /// A control replica became leader.
    LeaderElected = 200, Info;
    /// A control replica is no longer leader.
    LeaderSteppedDown = 201, Info;
    /// An operator's change was accepted.
    ChangeAccepted = 202, Info;
    /// An operator's change was refused.
    ChangeRefused = 203, Info;
    /// An incomplete entry at the end of the log was cut off at start.
    LogTailCut = 204, Warning;
    /// A replica without its disk asked to join again.
    ReplicaRejoining = 205, Warning;
    /// The set of replicas changed.
    ReplicasChanged = 206, Info;
    /// A control replica was a candidate in a term that ended without a leader known to it.
    ElectionLost = 207, Warning;
    /// A balancer or agent was registered.
    MemberRegistered = 300, Info;
    /// A member stopped sending heartbeats.
    MemberSuspected = 301, Warning;
    /// An incarnation of a member was fenced: it can admit nothing any more.
    MemberFenced = 302, Warning;
    /// A daemon changed its parent in the dissemination tree.
    ParentChanged = 303, Info;
    /// A daemon applied a snapshot.
    SnapshotApplied = 304, Info;
    /// A daemon is up to date: it has everything that was committed when it asked.
    BecameCurrent = 305, Info;
    /// An agent's admission lease expired.
    LeaseExpired = 400, Warning;
    /// An agent without an admission lease acquired one.
    LeaseAcquired = 401, Info;
    /// A placement generation took effect at an agent.
    PlacementApplied = 402, Debug;
    /// All buckets of a generation were handed over to this agent.
    PlacementSettled = 403, Debug;
    /// A back end can't be reached by its agent.
    BackendUnreachable = 404, Warning;
    /// A back end can be reached again.
    BackendReachable = 405, Info;
    /// A service has no eligible back end.
    NoEligibleBackend = 406, Error;
    /// A new flow was offered to an agent of the pass-through tier.
    FlowPlaced = 500, Info;
    /// A new flow was refused: it has no route, no agent accepted it, or its service is overloaded.
    FlowRefused = 501, Info;
    /// A flow search started: a packet belongs to a flow whose agent is not known.
    FlowSought = 502, Info;
    /// An agent did not reply to the offer of a new flow in time and is suspected.
    AgentSuspected = 503, Warning;
    /// A suspected agent replied again.
    AgentReturned = 504, Info;
    /// An agent declined a new flow.
    FlowDeclined = 505, Info;
    /// A back end returned a packet of a flow that it does not own.
    PacketReturned = 506, Info;
    /// A packet of an open flow was forwarded to a suspected agent.
    FlowStalled = 507, Info;
    /// A packet of a flow without a known owner was delivered speculatively.
    FlowTried = 508, Info;
    /// A flow was reset because no back end owns it.
    FlowGone = 509, Info;
    /// A back end registered itself at its agent.
    BackendRegistered = 510, Info;
    /// A back end is draining or deregistered itself.
    BackendLeaving = 511, Info;
    /// A back end did not register for longer than the silence timeout.
    BackendSilent = 512, Warning;
    /// A flow search was inconclusive until the caller gave up.
    FlowNotFound = 513, Info;
    /// A new flow waits in the admission queue of a full agent; a slot is likely to free in time.
    FlowWaits = 514, Info;
    /// A back end failed its requests and was ejected for a while.
    BackendLeftOut = 515, Warning;
    /// An ejected back end responds to requests again.
    BackendRecovered = 516, Info;
    /// A service became overloaded for new flows of a priority, or the affected priorities changed.
    ServicePressed = 517, Warning;
    /// A service has had capacity for all new flows for a second.
    PressureEnded = 518, Info;
    /// An agent refused a registration or an invalid request.
    RegistrationRefused = 519, Warning;
    /// A newer configuration is active at a balancer.
    ConfigurationApplied = 520, Info;
    /// The configuration was replaced by a newer version.
    ConfigurationReplaced = 521, Info;
    /// A replacement of the configuration was not accepted.
    ReplacementRefused = 522, Info;
    /// A response to an operator's request was sent.
    RequestAnswered = 523, Info;
    /// A zone was evacuated by a command of an operator.
    ZoneEvacuated = 524, Info;
    /// A zone was restored by a command of an operator.
    ZoneRestored = 525, Info;
    /// A zone command was refused and changed nothing.
    ZoneOrderRefused = 526, Warning;
    /// Newer zone commands are active at a daemon.
    ZonesApplied = 527, Info;
    /// The process became ready for traffic.
    BecameReady = 530, Info;
    /// The process is not ready for traffic any more.
    BecameUnready = 531, Info;
    /// The settings were read again.
    SettingsReloaded = 532, Info;
    /// Changed settings are invalid; the previous ones stay active.
    SettingsIgnored = 533, Warning;
    /// A write to the data folder failed and is retried.
    WriteFailed = 534, Error;
    /// Log entries were suppressed by the rate limit of the log.
    EntriesLeftOut = 535, Warning;
    /// The saved daemons can't be read or written; daemons find the replica group
    /// by their settings.
    DaemonMemoryFailed = 536, Warning;
    /// A balancer's link is congested: there is more to send than it carries, and packets wait.
    LinkFull = 537, Warning;
    /// No packet has waited for a balancer's link for a second.
    LinkClear = 538, Info;
    /// A replica has no memory left for the flow record of an agent.
    FlowRecordRefused = 539, Warning;
    /// An agent that started finished the recovery of its previous incarnation's flow record.
    FormerFlowsRecalled = 540, Info;
    /// The flow records can't be read or written on disk; they are kept in memory.
    FlowRecordsNotSaved = 541, Warning;
    /// The departures of back ends can't be read or written on disk. Agents acknowledge them
    /// once a majority of the replicas has saved them.
    DeparturesNotSaved = 542, Warning;
    /// A departure of a back end was saved by a majority of the replicas, and is acknowledged.
    DepartureSaved = 543, Info;
    /// An agent that started knows which back ends have left, and may admit flows.
    DeparturesKnown = 544, Info;
    /// Returned packets show that an incarnation of a back end has ended; its callers are notified.
    LifeOver = 545, Info;
    /// A restart probe of a back end that may have restarted was inconclusive.
    LifeUndecided = 546, Info;
    /// An agent took over the flows that its previous incarnation had recorded.
    FlowsTakenOver = 547, Info;
    /// A caller or a balancer was notified that a flow is orphaned.
    FlowTold = 548, Info;
    /// The address of a back end refused a packet: no back end runs there, and flows of earlier
    /// incarnations have ended.
    BackendAbsent = 549, Info;
    /// A placement policy was put or removed by an operator.
    PolicyChanged = 550, Info;
    /// A change of the placement policies was refused and changed nothing.
    PolicyRefused = 551, Warning;
    /// Newer placement policies are active at a balancer.
    PoliciesApplied = 552, Info;
}

/// An event with its subject.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Kind of the event.
    pub kind: EventKind,
    /// The subject: words, or `name=value` pairs.
    pub subject: String,
}

impl Event {
    /// Creates an event.
    pub fn new(kind: EventKind, subject: impl Into<String>) -> Self {
        Event {
            kind,
            subject: subject.into(),
        }
    }
}
