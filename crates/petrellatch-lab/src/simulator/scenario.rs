//! What a scenario is.

use std::time::Duration;

use snafu::Snafu;

use super::mutation::Mutation;

/// The promises that scenarios check: the points of "What must always hold" and
/// the sentences of "What fails" in the users' brief.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Promise {
    /// An open flow survives any planned change.
    OpenFlowsSurvivePlannedChanges,
    /// A packet reaches only back ends of its own service.
    FlowsReachTheirOwnService,
    /// A caller gets the whole answer to its own request.
    AnswersAreWholeAndOwn,
    /// What was refused as not run did not run.
    NotRunDidNotRun,
    /// What may not be repeated runs at most once.
    UnrepeatableRunsAtMostOnce,
    /// A leaving back end gets no new work after a few seconds.
    LeavingBackendGetsNoNewWork,
    /// A planned stop cuts no request in progress.
    PlannedStopCutsNothing,
    /// An accepted change is in force within seconds and stays in force.
    AcceptedChangesStayInForce,
    /// Balancers die and join.
    BalancersComeAndGo,
    /// Views of balancers differ for a while.
    ViewsDifferForAWhile,
    /// A control machine is cut off in silence.
    ControlIsCutOff,
    /// Operators race each other and resend changes.
    OperatorsRaceAndResend,
    /// A second machine is lost right after the first was repaired.
    SecondLossAfterRepair,
    /// Processes catch up after hundreds of changes.
    RestartAfterManyChanges,
    /// Failures come together and twice.
    FailuresCombine,
}

/// What one run showed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RunReport {
    /// Digest of every event of the run.
    pub trace: u64,
    /// How many events happened.
    pub events: u64,
    /// How much virtual time passed.
    pub simulated: Duration,
    /// What callers, back ends and operators did.
    pub counts: RunCounts,
    /// Everything that broke a promise or an invariant.
    pub violations: Vec<Violation>,
}

/// How much happened in a run, so that a run without work is noticed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunCounts {
    /// Tries of requests by callers.
    pub attempts: u64,
    /// Tries that got their answer.
    pub answered: u64,
    /// Tries that were refused as not run.
    pub refused: u64,
    /// Tries that were broken.
    pub broken: u64,
    /// Changes that operators got accepted.
    pub accepted_changes: u64,
}

/// One broken promise or invariant.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("{checker}: {detail}"))]
pub struct Violation {
    /// The checker that noticed it.
    pub checker: &'static str,
    /// What it noticed.
    pub detail: String,
}

/// How a run is done, besides its seed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RunSettings {
    /// A fault that is built in on purpose.
    pub mutation: Option<Mutation>,
    /// Whether every event is printed.
    pub prints_trace: bool,
}

/// One way to put a promise to the test.
pub trait Scenario: Sync {
    /// Returns its name on the command line.
    fn name(&self) -> &'static str;

    /// Returns the promise.
    fn promise(&self) -> Promise;

    /// Describes what fails in it.
    fn failure(&self) -> &'static str;

    /// Runs it once.
    fn run(&self, seed: u64, settings: RunSettings) -> RunReport;

    /// Looks for the smallest schedule that still fails with this seed and
    /// describes it, if the scenario generates its schedules.
    fn shrink(&self, _seed: u64, _settings: RunSettings) -> Option<String> {
        None
    }
}
