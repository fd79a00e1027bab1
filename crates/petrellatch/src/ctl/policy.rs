//! `ctl policy`.

use std::fmt::Write;
use std::path::Path;

use super::apply::read_document;
use super::client::OperatorClient;
use super::output::print_document;
use crate::api::{Endpoint, PolicyCheck, PolicyCheckRequest, PolicyExplanation};
use crate::command_line::{OutputFormat, PolicyOptions};
use crate::error::ProgramError;

/// Checks the policies of a document, or explains what a policy decides.
pub fn run(
    client: &mut OperatorClient,
    options: &PolicyOptions,
    output: OutputFormat,
) -> Result<(), ProgramError> {
    match options.arguments.as_slice() {
        [verb, file] if verb == "check" => check(client, Path::new(file), output),
        [verb, service] if verb == "explain" => explain(client, service, output),
        _ => {
            let message = "say policy check FILE, or policy explain SERVICE".to_string();
            Err(ProgramError::Usage { message })
        }
    }
}

fn check(
    client: &mut OperatorClient,
    file: &Path,
    output: OutputFormat,
) -> Result<(), ProgramError> {
    let document = read_document(file)?;
    for policy in &document.policies {
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
