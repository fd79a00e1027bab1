//! Tests every policy and every error message in `docs/POLICIES.md`.

use std::time::Duration;

use petrellatch_core::identity::{BackendId, ServiceId};
use petrellatch_core::policy::{
    BackendView, HEALTH_SCALE, Policy, PolicyError, PolicySource, ServiceView,
};

const PAGE: &str = include_str!("../../../docs/POLICIES.md");

/// The zones of the deployments in the page.
const ZONES: [&str; 4] = ["baguio-hall", "tarlac-hall", "midrand-a", "samrand"];

fn service() -> ServiceView {
    ServiceView {
        id: ServiceId(1),
        name: "valuation-desk".to_owned(),
        zone: None,
    }
}

fn backends() -> Vec<BackendView> {
    (1..)
        .zip(ZONES)
        .map(|(id, zone)| BackendView {
            id: BackendId(id),
            name: format!("backend-{id}"),
            zone: zone.to_owned(),
            slots: 7,
            free_slots: 2,
            health: HEALTH_SCALE,
            age: Duration::from_secs(20),
            ..BackendView::default()
        })
        .collect()
}

/// Compiles and checks a policy.
fn compile_and_check(source: &PolicySource) -> Result<(), PolicyError> {
    Policy::compile(source)?.check(&service(), &backends())
}

/// Returns the text of the fenced TOML blocks of the page.
fn toml_blocks() -> Vec<&'static str> {
    PAGE.split("```toml\n")
        .skip(1)
        .filter_map(|rest| rest.split("```\n").next())
        .collect()
}

/// Returns the policies of one block.
fn policies(block: &str) -> Vec<PolicySource> {
    let document: toml::Table = block.parse().expect("a TOML document");
    let policies = document["policies"].as_array().expect("an array");
    let text = |policy: &toml::Value, key: &str| policy[key].as_str().expect("text").to_owned();
    policies
        .iter()
        .map(|policy| PolicySource {
            eligible: text(policy, "eligible"),
            weight: text(policy, "weight"),
        })
        .collect()
}

#[test]
fn every_policy_of_the_cookbook_is_accepted() {
    let all: Vec<PolicySource> = toml_blocks().into_iter().flat_map(policies).collect();
    assert!(all.len() >= 10, "{} policies found", all.len());
    for source in all {
        let checked = compile_and_check(&source);
        assert!(checked.is_ok(), "{source:?}: {checked:?}");
    }
}

#[test]
fn every_error_message_of_the_page_is_the_actual_one() {
    let rows: Vec<(&str, &str)> = PAGE
        .lines()
        .skip_while(|line| !line.starts_with("## What is refused"))
        .take_while(|line| !line.starts_with("## Cookbook"))
        .filter_map(|line| line.strip_prefix("| `")?.strip_suffix(" |"))
        .filter_map(|row| row.split_once("` | "))
        .collect();
    assert!(rows.len() >= 8, "{} error messages found", rows.len());
    for (weight, expected_message) in rows {
        let source = PolicySource {
            eligible: "true".to_owned(),
            weight: weight.to_owned(),
        };
        let error = compile_and_check(&source).expect_err(weight);
        assert_eq!(error.to_string(), expected_message);
    }
}
