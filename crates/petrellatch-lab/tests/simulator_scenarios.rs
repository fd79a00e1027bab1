//! A small fixed set of runs of every scenario, and proof that the checkers can
//! fail. The whole set is run by `petrellatch-lab sim --seeds 1..200`.

use petrellatch_lab::simulator::mutation::Mutation;
use petrellatch_lab::simulator::runner::{self, RunResult};
use petrellatch_lab::simulator::scenario::{RunSettings, Scenario};
use petrellatch_lab::simulator::scenarios;

const THREADS: usize = 3;

fn scenario(name: &str) -> &'static dyn Scenario {
    let all = scenarios::all();
    let mut found = all.into_iter().filter(|it| it.name() == name);
    found.next().expect("there is such a scenario")
}

fn run(name: &str, seeds: std::ops::RangeInclusive<u64>, settings: RunSettings) -> Vec<RunResult> {
    runner::run_all(&[scenario(name)], seeds, settings, THREADS).unwrap()
}

/// A mutation, the scenario and checker that notice it, and the first seed.
struct Noticed(Mutation, &'static str, &'static str, u64);

/// How many seeds are tried from the first on.
const SEEDS: u64 = 3;

/// `docs/PROOF.md` lists the switches that no scenario has shown yet.
const NOTICED: &[Noticed] = &[
    Noticed(
        Mutation::IgnoreReplicaIncarnation,
        "lost-disk-does-not-vote",
        "log-entries",
        2,
    ),
    Noticed(
        Mutation::SkipQuorumCheck,
        "control-cut-off",
        "fresh-reads",
        8,
    ),
    Noticed(
        Mutation::NoRequestDedupe,
        "operators-race",
        "changes-stay",
        1,
    ),
    Noticed(Mutation::IgnoreBasedOn, "operators-race", "one-winner", 1),
    Noticed(
        Mutation::ApplyOlderVersions,
        "leaving-gets-no-work",
        "versions-never-go-back",
        1,
    ),
    Noticed(Mutation::IgnoreLease, "at-most-once", "one-owner", 2),
    Noticed(
        Mutation::AdmitBeforeRelease,
        "open-flows-survive",
        "one-owner",
        1,
    ),
    Noticed(
        Mutation::ForgetRedirects,
        "open-flows-survive",
        "unbroken",
        1,
    ),
    Noticed(Mutation::AlterAnswers, "whole-own-answers", "own-answer", 1),
    Noticed(Mutation::CrossServices, "own-service", "own-service", 1),
    Noticed(
        Mutation::StopAtOnce,
        "planned-stop-cuts-nothing",
        "unbroken",
        1,
    ),
    Noticed(
        Mutation::ResetsCountAsNotRun,
        "not-run-did-not-run",
        "not-run",
        1,
    ),
    Noticed(
        Mutation::ResetsCountAsNotRun,
        "not-run-did-not-run",
        "at-most-once",
        1,
    ),
    Noticed(
        Mutation::LosePlacementEdits,
        "leaving-gets-no-work",
        "no-new-work",
        1,
    ),
    Noticed(
        Mutation::LosePlacementEdits,
        "accepted-stays-in-force",
        "policy-in-force",
        1,
    ),
];

#[test]
fn no_scenario_breaks_a_promise() {
    let all = scenarios::all();
    let results = runner::run_all(&all, 1..=1, RunSettings::default(), THREADS).unwrap();
    assert_eq!(results.len(), all.len());
    for result in results {
        let command = result.command(RunSettings::default());
        let violations = &result.report.violations;
        assert!(result.passed(), "{command}: {violations:?}");
    }
}

/// A second setup lifts exclusions; the checker once took it for none.
#[test]
fn a_late_setup_is_no_reverted_change() {
    let name = "accepted-stays-in-force";
    for result in run(name, 130..=130, RunSettings::default()) {
        let violations = &result.report.violations;
        assert!(result.passed(), "{violations:?}");
    }
}

#[test]
fn a_seed_determines_the_trace_on_any_number_of_threads() {
    let chosen = [scenario("many-failures"), scenario("own-service")];
    let settings = RunSettings::default();
    let alone = runner::run_all(&chosen, 3..=5, settings, 1).unwrap();
    let together = runner::run_all(&chosen, 3..=5, settings, THREADS).unwrap();
    let reports = |results: &[RunResult]| {
        let reports = results.iter().map(|result| result.report.clone());
        reports.collect::<Vec<_>>()
    };
    assert_eq!(reports(&alone), reports(&together));
    assert_ne!(alone[0].report.trace, alone[1].report.trace);
}

#[test]
fn every_mutation_is_noticed_by_its_scenario() {
    for Noticed(mutation, name, checker, first) in NOTICED {
        let settings = RunSettings {
            mutation: Some(*mutation),
            ..RunSettings::default()
        };
        let results = run(name, *first..=first + SEEDS - 1, settings);
        let mut violations = results.iter().flat_map(|it| &it.report.violations);
        assert!(
            violations.any(|violation| violation.checker == *checker),
            "{checker} of {name} does not notice {}",
            mutation.name()
        );
    }
}
