//! Numbered events that the state machines report for the log.

/// How serious an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Severity {
    /// Of interest when looking for a fault.
    Debug,
    /// Normal operation.
    Info,
    /// Something an operator may want to look at.
    Warning,
    /// Something an operator has to look at.
    Error,
}

macro_rules! events {
    ($($(#[doc = $documentation:literal])* $name:ident = $number:literal, $severity:ident;)*) => {
        /// The closed list of events. The catalogue in `docs/EVENTS.md` is
        /// checked against it by a test.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum EventKind {
            $($(#[doc = $documentation])* $name,)*
        }

        impl EventKind {
            /// All kinds by number.
            pub const ALL: &'static [EventKind] = &[$(EventKind::$name,)*];

            /// Returns the number, which never changes its meaning.
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

            /// Returns the explanation that the catalogue gives.
            pub const fn explanation(self) -> &'static str {
                match self { $(EventKind::$name => concat!($($documentation),*),)* }
            }
        }
    };
}

events! {
    /// The process started and serves its addresses.
    ProcessStarted = 100, Info;
    /// The process was asked to stop and finishes what it has.
    ProcessStopping = 101, Info;
    /// The process stopped.
    ProcessStopped = 102, Info;
    /// A datagram was dropped because its seal or content was wrong.
    DatagramRejected = 103, Warning;
    /// The copy of the cluster view could not be stored; the next start takes longer.
    ViewNotStored = 104, Warning;
    /// The stored copy of the cluster view is damaged and is not used.
    StoredViewIgnored = 105, Warning;
    /// The platform's list of machines can't be read; the last one holds.
    PlatformListMissing = 106, Warning;
    /// A control replica became leader.
    LeaderElected = 200, Info;
    /// A control replica stopped being leader.
    LeaderSteppedDown = 201, Info;
    /// An operator's change was accepted.
    ChangeAccepted = 202, Info;
    /// An operator's change was refused.
    ChangeRefused = 203, Info;
    /// The torn end of the log was cut off at start.
    LogTailCut = 204, Warning;
    /// A replica without its disk asked to join again.
    ReplicaRejoining = 205, Warning;
    /// The set of replicas changed.
    ReplicasChanged = 206, Info;
    /// A control replica stood for election, and that term ended before it heard a leader.
    ElectionLost = 207, Warning;
    /// A balancer or agent was registered.
    MemberRegistered = 300, Info;
    /// A member stopped sending heartbeats.
    MemberSuspected = 301, Warning;
    /// A life of a member was fenced: it can admit nothing any more.
    MemberFenced = 302, Warning;
    /// A daemon changed its parent in the dissemination tree.
    ParentChanged = 303, Info;
    /// A daemon applied a snapshot.
    SnapshotApplied = 304, Info;
    /// A daemon is current: it has what was committed when it asked.
    BecameCurrent = 305, Info;
    /// An agent's admission lease ran out.
    LeaseExpired = 400, Warning;
    /// An agent received an admission lease after it had none.
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
    /// A new flow was offered to an agent that passes packets through.
    FlowPlaced = 500, Info;
    /// A new flow was refused because no agent takes it.
    FlowRefused = 501, Info;
    /// A packet belongs to a flow whose agent is not known; agents are asked.
    FlowSought = 502, Info;
    /// An agent did not answer an opening packet in time.
    AgentSuspected = 503, Warning;
    /// A suspected agent answered again.
    AgentReturned = 504, Info;
    /// An agent declined a new flow.
    FlowDeclined = 505, Info;
    /// A back end returned a packet of a flow that it does not have.
    PacketReturned = 506, Info;
    /// A packet of an open flow was handed to an agent that does not answer.
    FlowStalled = 507, Info;
    /// A packet of a flow that no agent knows was handed to those whose back ends may have it.
    FlowTried = 508, Info;
    /// A flow was reset because no back end has it.
    FlowGone = 509, Info;
    /// A back end registered itself at its agent.
    BackendRegistered = 510, Info;
    /// A back end said that it leaves.
    BackendLeaving = 511, Info;
    /// A back end has been silent for too long.
    BackendSilent = 512, Warning;
    /// The search for a flow ended without an answer; its caller has given up.
    FlowNotFound = 513, Info;
    /// A new flow that found the queue full waits for a place that is likely to come in time.
    FlowWaits = 514, Info;
    /// A back end failed the requests that it got; it is left out for a while.
    BackendLeftOut = 515, Warning;
    /// A back end that was left out answers requests again.
    BackendRecovered = 516, Info;
    /// A service has no room for new flows of a priority, or for more or fewer priorities than before.
    ServicePressed = 517, Warning;
    /// A service has had room for all new flows for a second.
    PressureEnded = 518, Info;
    /// A call that names no back end to use was refused at an agent.
    RegistrationRefused = 519, Warning;
    /// A balancer has a newer configuration in force.
    ConfigurationApplied = 520, Info;
    /// The configuration was replaced under a newer version.
    ConfigurationReplaced = 521, Info;
    /// A replacement of the configuration was not accepted.
    ReplacementRefused = 522, Info;
    /// An operator's request was answered.
    RequestAnswered = 523, Info;
    /// A zone was taken out of service by an order of an operator.
    ZoneEvacuated = 524, Info;
    /// A zone was taken back into service by an order of an operator.
    ZoneRestored = 525, Info;
    /// An order about a zone was refused; nothing of it was done.
    ZoneOrderRefused = 526, Warning;
    /// A daemon goes by newer orders about zones.
    ZonesApplied = 527, Info;
    /// The process became ready for traffic.
    BecameReady = 530, Info;
    /// The process is not ready for traffic any more.
    BecameUnready = 531, Info;
    /// The settings were read again.
    SettingsReloaded = 532, Info;
    /// Changed settings can't be used; the former ones hold.
    SettingsIgnored = 533, Warning;
    /// A write to the data folder failed and is tried again.
    WriteFailed = 534, Error;
    /// Entries were left out to keep the log's volume bounded.
    EntriesLeftOut = 535, Warning;
    /// The daemons of the former life can't be read or saved; they find the group
    /// by their settings.
    DaemonMemoryFailed = 536, Warning;
    /// The link of a balancer carries less than is to be sent; packets wait.
    LinkFull = 537, Warning;
    /// Nothing has waited for a balancer's link for a second.
    LinkClear = 538, Info;
    /// A replica has no room for the record of an agent's open flows.
    FlowRecordRefused = 539, Warning;
    /// An agent that started knows what replicas kept of its former life's flows.
    FormerFlowsRecalled = 540, Info;
    /// The records of open flows can't be read or written; they are kept in memory.
    FlowRecordsNotSaved = 541, Warning;
    /// Returned packets show that a life of a back end is over; the callers of its flows are told.
    LifeOver = 545, Info;
    /// Packets were handed to a back end that may be another one, and showed nothing.
    LifeUndecided = 546, Info;
    /// An agent took over the flows that a former life of it had recorded.
    FlowsTakenOver = 547, Info;
    /// A flow of a life that is over was told to its caller, or to a balancer.
    FlowTold = 548, Info;
    /// A placement policy was put or removed by an operator.
    PolicyChanged = 550, Info;
    /// A change of the placement policies was refused; nothing of it was done.
    PolicyRefused = 551, Warning;
    /// A balancer goes by newer placement policies.
    PoliciesApplied = 552, Info;
}

/// One event with what it is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// What happened.
    pub kind: EventKind,
    /// To what or whom, in a few words.
    pub subject: String,
}

impl Event {
    /// Makes an event.
    pub fn new(kind: EventKind, subject: impl Into<String>) -> Self {
        Event {
            kind,
            subject: subject.into(),
        }
    }
}
