//! Help, version and invalid command lines.

use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_petrellatch"))
        .args(arguments)
        .output()
        .expect("the program runs")
}

fn help_of(arguments: &[&str]) -> String {
    let output = run(arguments);
    assert_eq!(output.status.code(), Some(0), "{arguments:?}");
    String::from_utf8(output.stdout).expect("the help is text")
}

#[test]
fn every_command_has_help_with_an_explanation_and_an_example() {
    let commands: [&[&str]; 14] = [
        &["control"],
        &["balancer"],
        &["agent"],
        &["check"],
        &["ctl"],
        &["ctl", "apply"],
        &["ctl", "get"],
        &["ctl", "drain"],
        &["ctl", "undrain"],
        &["ctl", "evacuate"],
        &["ctl", "restore"],
        &["ctl", "wait"],
        &["ctl", "replica"],
        &["ctl", "policy"],
    ];
    for command in commands {
        let help = help_of(&[command, &["--help"]].concat());
        let usage = format!("Usage: petrellatch {}", command.join(" "));
        assert!(help.starts_with(&usage), "{help}");
        assert!(help.contains("Example:"), "{help}");
        assert!(help.lines().count() > 7, "{help}");
    }
}

#[test]
fn the_version_is_printed() {
    assert!(help_of(&["--version"]).starts_with("petrellatch 0."));
}

#[test]
fn an_invalid_command_line_exits_with_code_two() {
    for arguments in [&[][..], &["fly"], &["control", "--speed", "9"]] {
        let output = run(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}");
        assert!(!output.stderr.is_empty(), "{arguments:?}");
    }
}

#[test]
fn an_invalid_option_is_reported_with_its_allowed_values() {
    let output = run(&["balancer", "--name", "a b", "--data-address", "here"]);
    let message = String::from_utf8_lossy(&output.stderr).to_string();
    assert_eq!(output.status.code(), Some(2));
    for part in [
        "node.name = \"a b\"",
        "command line: addresses.data = \"here\"",
        "allowed: an IPv4 address and port",
        "node.zone: is missing",
    ] {
        assert!(message.contains(part), "'{part}' is not in: {message}");
    }
}
