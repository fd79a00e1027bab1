//! `ctl policy`.

use std::fmt::Write;
use std::path::Path;

use petrellatch_core::ErrorKind;

use super::client::OperatorClient;
use super::output::print_document;
use super::request_error;
use crate::api::{
    Endpoint, PlacementPolicyFile, PlacementPolicyList, PolicyChangeAccepted, PolicyChangeRequest,
    PolicyCheck, PolicyCheckRequest, PolicyExplanation,
};
use crate::command_line::{OutputFormat, PolicyOptions};
use crate::error::ProgramError;

/// Checks the policies of a document, explains what a policy decides, or reads and
/// changes the policies of the pass-through tier.
pub fn run(
    client: &mut OperatorClient,
    options: &PolicyOptions,
    output: OutputFormat,
) -> Result<(), ProgramError> {
    match options.arguments.as_slice() {
        [verb, file] if verb == "check" => check(client, Path::new(file), output),
        [verb, service] if verb == "explain" => explain(client, service, output),
        [verb] if verb == "list" => list(client, output),
        [verb, file] if verb == "apply" => apply(client, Path::new(file), options.based_on, output),
        [verb, name] if verb == "remove" => remove(client, name, options.based_on, output),
        _ => {
            let message = "expected: policy check FILE, apply FILE, list, remove NAME, \
                           or explain SERVICE"
                .to_string();
            Err(ProgramError::Usage { message })
        }
    }
}

fn check(
    client: &mut OperatorClient,
    file: &Path,
    output: OutputFormat,
) -> Result<(), ProgramError> {
    for policy in &read_policies(file)?.policies {
        let request = PolicyCheckRequest {
            eligible: policy.eligible.clone(),
            weight: policy.weight.clone(),
            service: None,
        };
        let checked: PolicyCheck = client.post(Endpoint::CheckPolicy.path(), &request)?;
        print_document(output, &checked, || {
            format!("policy {}: nothing is wrong\n", policy.name)
        });
    }
    Ok(())
}

/// Reads the policies of a document: JSON if its name ends in `.json`, else TOML.
fn read_policies(path: &Path) -> Result<PlacementPolicyFile, ProgramError> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| request_error(ErrorKind::NotFound, format!("{name}: {error}")))?;
    let read = match path.extension().is_some_and(|it| it == "json") {
        true => serde_json::from_str(&text).map_err(|error| error.to_string()),
        false => toml::from_str(&text).map_err(|error| error.to_string()),
    };
    read.map_err(|error| request_error(ErrorKind::Invalid, format!("{name}: {error}")))
}

/// Puts the policies of a document one after the other. Each replaces one of the
/// same name.
fn apply(
    client: &mut OperatorClient,
    file: &Path,
    based_on: Option<u64>,
    output: OutputFormat,
) -> Result<(), ProgramError> {
    let mut based_on = based_on;
    for policy in read_policies(file)?.policies {
        let name = policy.name.clone();
        let request = PolicyChangeRequest {
            put: Some(policy),
            based_on,
            ..PolicyChangeRequest::default()
        };
        let accepted = change(client, &request, output, &format!("policy {name} in force"))?;
        // The next change is based on this one. A change without effect returns the
        // current index, which may come from another operator's change.
        if accepted.changed {
            based_on = based_on.map(|_| accepted.index);
        }
    }
    Ok(())
}

fn remove(
    client: &mut OperatorClient,
    name: &str,
    based_on: Option<u64>,
    output: OutputFormat,
) -> Result<(), ProgramError> {
    let request = PolicyChangeRequest {
        remove: Some(name.to_owned()),
        based_on,
        ..PolicyChangeRequest::default()
    };
    change(client, &request, output, &format!("policy {name} removed"))?;
    Ok(())
}

fn change(
    client: &mut OperatorClient,
    request: &PolicyChangeRequest,
    output: OutputFormat,
    result: &str,
) -> Result<PolicyChangeAccepted, ProgramError> {
    let path = Endpoint::ChangePolicies.path();
    let accepted: PolicyChangeAccepted = client.post(path, request)?;
    let index = accepted.index;
    print_document(output, &accepted, || format!("{result}: index {index}\n"));
    Ok(accepted)
}

fn list(client: &mut OperatorClient, output: OutputFormat) -> Result<(), ProgramError> {
    let list: PlacementPolicyList = client.get(Endpoint::Policies.path())?;
    print_document(output, &list, || describe_list(&list));
    Ok(())
}

fn describe_list(list: &PlacementPolicyList) -> String {
    let mut text = format!("policies at index {}\n", list.index);
    for policy in &list.policies {
        let services = policy.services.join(", ");
        let routes: Vec<String> = policy.routes.iter().map(ToString::to_string).collect();
        let _ = writeln!(text, "{}", policy.name);
        let _ = writeln!(text, "  eligible  {}", policy.eligible);
        let _ = writeln!(text, "  weight    {}", policy.weight);
        let _ = writeln!(text, "  services  {services}");
        let _ = writeln!(text, "  routes    {}", routes.join(", "));
    }
    text
}

fn explain(
    client: &mut OperatorClient,
    service: &str,
    output: OutputFormat,
) -> Result<(), ProgramError> {
    let path = format!("{}?service={service}", Endpoint::ExplainPolicy.path());
    let explanation: PolicyExplanation = client.get(&path)?;
    print_document(output, &explanation, || describe(&explanation));
    Ok(())
}

fn describe(explanation: &PolicyExplanation) -> String {
    let mut text = String::new();
    let (service, policy) = (&explanation.service, &explanation.policy);
    let _ = writeln!(text, "service {service}, policy {policy}");
    for decision in &explanation.backends {
        let eligible = if decision.eligible { "yes" } else { "no" };
        let _ = writeln!(
            text,
            "  {:<24} eligible {eligible:<3} weight {:>6}  {}",
            decision.backend, decision.weight, decision.reason
        );
    }
    text
}
