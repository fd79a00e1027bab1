//! The steps of a schedule.

use std::time::Duration;

use crate::simulator::engine::disk::CrashOutcome;
use crate::simulator::engine::network::Disturbance;

/// Which machines a step is about. Numbers beyond the last one of a kind start
/// again from the first, so that any number is valid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Target {
    /// A control replica.
    Control(usize),
    /// The control replica that leads when the step happens.
    Leader,
    /// A control replica that does not lead when the step happens.
    Follower,
    /// The control replica that is neither the leader nor
    /// [`Follower`](Target::Follower) when the step happens.
    OtherFollower,
    /// A balancer.
    Balancer(usize),
    /// The machine of an agent and its back end.
    Agent(usize),
    /// All machines of a zone.
    Zone(usize),
    /// All control replicas.
    AllControl,
    /// All balancers.
    AllBalancers,
    /// Everybody who is not a machine of the fleet: operators.
    Operators,
}

/// Which datagrams of the machines are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CutDirection {
    /// Those that they send and those sent to them.
    Both,
    /// Those sent to them.
    Inbound,
    /// Those that they send.
    Outbound,
}

/// Something that fails.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Machines die and start again with a new life.
    Kill {
        /// Which.
        target: Target,
        /// For how long they are down.
        down: Duration,
        /// What becomes of their disks.
        disk: CrashOutcome,
    },
    /// Processes stand still while their clocks go on.
    Freeze {
        /// Which.
        target: Target,
        /// For how long.
        duration: Duration,
    },
    /// Machines are cut off from all others of the fleet and from operators.
    /// Packets of callers still reach them.
    Isolate {
        /// Which.
        target: Target,
        /// What is lost.
        direction: CutDirection,
        /// For how long.
        duration: Duration,
    },
    /// Nothing gets from one group of machines to another one.
    Cut {
        /// The senders.
        from: Target,
        /// The receivers.
        to: Target,
        /// For how long.
        duration: Duration,
    },
    /// The whole network is disturbed.
    Disturb {
        /// How.
        disturbance: Disturbance,
        /// For how long.
        duration: Duration,
    },
    /// Clocks run at another rate from now on.
    Drift {
        /// Whose.
        target: Target,
        /// Parts per million that they are too fast.
        drift_ppm: i32,
    },
    /// A machine dies for good, and another node starts at its address.
    ReuseAddress {
        /// Which.
        target: Target,
        /// After how long the other node starts.
        after: Duration,
    },
    /// Only the server process of a back end dies and starts again.
    KillServer {
        /// Beside which agent.
        agent: usize,
        /// For how long it is down.
        down: Duration,
    },
}

/// Something that is done to machines on purpose.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PlannedWork {
    /// A process is asked to stop; when it says that it has, its machine is
    /// down for `down` and then starts it again.
    Stop {
        /// Which.
        target: Target,
        /// For how long it is down afterwards.
        down: Duration,
    },
    /// A machine that was not part of the fleet so far starts.
    Join {
        /// Which; it is a spare one of the plan.
        target: Target,
    },
}

/// Something that an operator does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OperatorStep {
    /// Drains the back end beside an agent, or ends its drain.
    Drain {
        /// Beside which agent.
        agent: usize,
        /// Whether it drains from now on.
        draining: bool,
    },
    /// Puts a policy in force that allows only back ends whose number in their
    /// service is in `classes`, by the remainder modulo two.
    Policy {
        /// The number of the service.
        service: usize,
        /// Which remainders are eligible.
        eligible: Parity,
    },
    /// Several operators send different changes that are based on the same
    /// version at the same time.
    Race {
        /// How many.
        operators: usize,
    },
    /// One change after another that does not alter the placement of flows.
    Burst {
        /// How many.
        changes: usize,
    },
    /// Ends all drains and allows all back ends.
    Restore,
}

/// Which back ends of a service a policy allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Parity {
    /// All of them.
    All,
    /// Those with even numbers.
    Even,
    /// Those with odd numbers.
    Odd,
}

/// One thing that is done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Something fails.
    Fault(Fault),
    /// Something is done to a machine on purpose.
    Planned(PlannedWork),
    /// An operator does something.
    Operator(OperatorStep),
}

/// One thing that is done, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// The time since the start of the run.
    pub at: Duration,
    /// What is done.
    pub action: Action,
}

/// Everything that is done in one run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Schedule {
    /// The steps, in any order.
    pub steps: Vec<Step>,
}

impl Schedule {
    /// Adds a fault.
    pub fn fault(self, at: Duration, fault: Fault) -> Self {
        self.step(at, Action::Fault(fault))
    }

    /// Adds planned work.
    pub fn planned(self, at: Duration, work: PlannedWork) -> Self {
        self.step(at, Action::Planned(work))
    }

    /// Adds a step of an operator.
    pub fn operator(self, at: Duration, step: OperatorStep) -> Self {
        self.step(at, Action::Operator(step))
    }

    fn step(mut self, at: Duration, action: Action) -> Self {
        self.steps.push(Step { at, action });
        self
    }
}
