//! Faults that are built into the system on purpose, so that every checker can
//! be seen to fail.

use std::str::FromStr;

use petrellatch_core::admission::AdmissionMutations;
use petrellatch_core::consensus::ConsensusMutations;
use petrellatch_core::control::ControlMutations;
use petrellatch_core::dissemination::DisseminationMutations;
use snafu::Snafu;

macro_rules! mutations {
    ($($(#[doc = $documentation:literal])* $variant:ident = $name:literal,)*) => {
        /// A fault that is built in.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Mutation {
            $($(#[doc = $documentation])* $variant,)*
        }

        impl Mutation {
            /// All of them.
            pub const ALL: &'static [Mutation] = &[$(Mutation::$variant,)*];

            /// Returns the name on the command line.
            pub const fn name(self) -> &'static str {
                match self { $(Mutation::$variant => $name,)* }
            }

            /// Says what is wrong with the system then.
            pub const fn description(self) -> &'static str {
                match self { $(Mutation::$variant => concat!($($documentation),*),)* }
            }
        }
    };
}

mutations! {
    /// Acknowledgements of learners count for commits.
    LearnerCountsAsVoter = "learner-counts-as-voter",
    /// Replicas acknowledge before their disk has synced.
    AcknowledgeBeforeSync = "acknowledge-before-sync",
    /// A leader without a quorum goes on and serves reads.
    SkipQuorumCheck = "skip-quorum-check",
    /// A restarted replica forgets whom it voted for.
    ForgetVoteOnRestart = "forget-vote-on-restart",
    /// A replica that lost its disk counts as the one before.
    IgnoreReplicaIncarnation = "ignore-replica-incarnation",
    /// A resent change is applied again.
    NoRequestDedupe = "no-request-dedupe",
    /// A change is accepted whatever version it is based on.
    IgnoreBasedOn = "ignore-based-on",
    /// A silent agent is fenced before its lease can have run out.
    FenceWithoutWaiting = "fence-without-waiting",
    /// A new leader forgets the leases that earlier leaders granted.
    ForgetEarlierLeases = "forget-earlier-leases",
    /// A new life of an agent is registered while the former may still admit.
    RegisterOverFormerLife = "register-over-former-life",
    /// Placements are settled although former owners may not have reported.
    SettleWithoutReports = "settle-without-reports",
    /// Daemons apply updates of older versions too.
    ApplyOlderVersions = "apply-older-versions",
    /// A restarted daemon acts on its stored view.
    SkipCurrentCheck = "skip-current-check",
    /// Agents admit without a valid lease.
    IgnoreLease = "ignore-lease",
    /// A leader that hands leadership over goes on leading.
    LeadOnAfterTransfer = "lead-on-after-transfer",
    /// Agents admit before earlier owners have released a bucket.
    AdmitBeforeRelease = "admit-before-release",
    /// Reports name no flows, so that new owners know no redirects.
    ForgetRedirects = "forget-redirects",
    /// A flow whose back end failed is sent to the back end once more.
    RetryAfterSent = "retry-after-sent",
    /// Datagrams for another life of an agent are taken.
    IgnoreAgentIncarnation = "ignore-agent-incarnation",
    /// A flow without room at its back end is refused, never passed on.
    NoHunting = "no-hunting",
    /// A flow whose back end failed late is refused as not run.
    RefuseSentAsNotRun = "refuse-sent-as-not-run",
    /// A few bytes of answers are altered between back end and agent.
    AlterAnswers = "alter-answers",
    /// The last back end serves the first service in place of its own.
    CrossServices = "cross-services",
    /// A planned stop ends the process at once.
    StopAtOnce = "stop-at-once",
    /// A flow that is reset late counts as refused as not run.
    ResetsCountAsNotRun = "resets-count-as-not-run",
    /// Drains and policies are accepted and have no effect.
    LosePlacementEdits = "lose-placement-edits",
}

impl Mutation {
    /// Returns the switches of the replicated log.
    pub fn consensus(self) -> ConsensusMutations {
        ConsensusMutations {
            learner_counts_as_voter: self == Mutation::LearnerCountsAsVoter,
            acknowledge_before_sync: self == Mutation::AcknowledgeBeforeSync,
            skip_quorum_check: self == Mutation::SkipQuorumCheck,
            forget_vote_on_restart: self == Mutation::ForgetVoteOnRestart,
            ignore_incarnation: self == Mutation::IgnoreReplicaIncarnation,
            lead_on_after_transfer: self == Mutation::LeadOnAfterTransfer,
        }
    }

    /// Returns the switches of the control state.
    pub fn control(self) -> ControlMutations {
        ControlMutations {
            no_request_dedupe: self == Mutation::NoRequestDedupe,
            ignore_based_on: self == Mutation::IgnoreBasedOn,
            fence_without_waiting: self == Mutation::FenceWithoutWaiting,
            forget_earlier_leases: self == Mutation::ForgetEarlierLeases,
            register_over_former_life: self == Mutation::RegisterOverFormerLife,
            settle_without_reports: self == Mutation::SettleWithoutReports,
        }
    }

    /// Returns the switches of daemons' views.
    pub fn dissemination(self) -> DisseminationMutations {
        DisseminationMutations {
            apply_older_versions: self == Mutation::ApplyOlderVersions,
            skip_current_check: self == Mutation::SkipCurrentCheck,
            ..DisseminationMutations::default()
        }
    }

    /// Returns the switches of agents.
    pub fn admission(self) -> AdmissionMutations {
        AdmissionMutations {
            ignore_lease: self == Mutation::IgnoreLease,
            admit_before_release: self == Mutation::AdmitBeforeRelease,
            forget_redirects: self == Mutation::ForgetRedirects,
            retry_after_sent: self == Mutation::RetryAfterSent,
            ignore_incarnation: self == Mutation::IgnoreAgentIncarnation,
            no_hunting: self == Mutation::NoHunting,
            refuse_sent_as_not_run: self == Mutation::RefuseSentAsNotRun,
        }
    }
}

/// A name that no mutation has.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("there is no mutation {name:?}"))]
pub struct UnknownMutation {
    name: String,
}

impl FromStr for Mutation {
    type Err = UnknownMutation;

    fn from_str(name: &str) -> Result<Self, UnknownMutation> {
        let mut all = Mutation::ALL.iter().copied();
        let found = all.find(|mutation| mutation.name() == name);
        found.ok_or_else(|| UnknownMutation {
            name: name.to_owned(),
        })
    }
}
