//! Overrides the values of the settings file with the command-line flags.

use std::fmt::Display;
use std::str::FromStr;

use serde::Deserialize;
use serde::de::IntoDeserializer;
use serde::de::value::{Error as ValueError, StrDeserializer};

use super::keys;
use super::problem::SettingsProblem;
use super::settings_file::{ReplicaSettings, SettingsFile};
use crate::command_line::DaemonOptions;

/// The file name in problems of flags.
const COMMAND_LINE: &str = "command line";

/// Overrides values of the file with the flags. Flags that can't be parsed are added to
/// `problems`.
pub(super) fn apply_flags(
    file: &mut SettingsFile,
    flags: &DaemonOptions,
    problems: &mut Vec<SettingsProblem>,
) {
    let node = &mut file.node;
    apply_flag(&mut node.name, "node.name", &flags.name, problems);
    apply_flag(&mut node.zone, "node.zone", &flags.zone, problems);
    apply_flag(
        &mut node.data_folder,
        "node.data_folder",
        &flags.data_folder,
        problems,
    );
    let key_file = &mut file.cluster.key_file;
    apply_flag(key_file, "cluster.key_file", &flags.key_file, problems);
    let addresses = &mut file.addresses;
    for (target, key, flag) in [
        (
            &mut addresses.control,
            "addresses.control",
            &flags.control_address,
        ),
        (&mut addresses.data, "addresses.data", &flags.data_address),
        (
            &mut addresses.admin,
            "addresses.admin",
            &flags.admin_address,
        ),
        (
            &mut addresses.operator,
            "addresses.operator",
            &flags.operator_address,
        ),
        (
            &mut addresses.fabric,
            "addresses.fabric",
            &flags.fabric_address,
        ),
    ] {
        apply_flag(target, key, flag, problems);
    }
    let list_url = &mut file.platform.list_url;
    apply_flag(
        list_url,
        "platform.list_url",
        &flags.platform_list_url,
        problems,
    );
    let health_path = &mut file.backends.health_path;
    apply_flag(
        health_path,
        "backends.health_path",
        &flags.health_path,
        problems,
    );
    apply_enum_flag(
        &mut file.log.format,
        "log.format",
        &flags.log_format,
        problems,
    );
    apply_enum_flag(&mut file.log.level, "log.level", &flags.log_level, problems);
    if !flags.replica.is_empty() {
        file.cluster.replicas = flags
            .replica
            .iter()
            .filter_map(|text| parse_replica(text, problems))
            .collect();
    }
}

/// Overrides `target` with the parsed flag, if the flag is set.
fn apply_flag<T>(
    target: &mut Option<T>,
    key: &str,
    flag: &Option<String>,
    problems: &mut Vec<SettingsProblem>,
) where
    T: FromStr,
    T::Err: Display,
{
    let Some(text) = flag else { return };
    match text.parse() {
        Ok(value) => *target = Some(value),
        Err(error) => problems.push(flag_problem(key, text, error.to_string())),
    }
}

/// Like [`apply_flag`], for values of an enumeration.
fn apply_enum_flag<T>(
    target: &mut Option<T>,
    key: &str,
    flag: &Option<String>,
    problems: &mut Vec<SettingsProblem>,
) where
    T: for<'a> Deserialize<'a>,
{
    let Some(text) = flag else { return };
    let deserializer: StrDeserializer<'_, ValueError> = text.as_str().into_deserializer();
    match T::deserialize(deserializer) {
        Ok(value) => *target = Some(value),
        Err(_) => problems.push(flag_problem(key, text, "is not allowed".to_string())),
    }
}

fn parse_replica(text: &str, problems: &mut Vec<SettingsProblem>) -> Option<ReplicaSettings> {
    let parsed = split_replica(text);
    if parsed.is_none() {
        let message = "expected NAME=CONTROL[,OPERATOR] with IPv4 addresses and ports";
        problems.push(flag_problem("cluster.replicas", text, message.to_string()));
    }
    parsed
}

/// Parses `NAME=CONTROL[,OPERATOR]`.
fn split_replica(text: &str) -> Option<ReplicaSettings> {
    let (name, addresses) = text.split_once('=')?;
    let (control, operator) = match addresses.split_once(',') {
        Some((control, operator)) => (control, Some(operator.parse().ok()?)),
        None => (addresses, None),
    };
    Some(ReplicaSettings {
        name: name.to_string(),
        control: control.parse().ok()?,
        operator,
    })
}

fn flag_problem(key: &str, value: &str, message: String) -> SettingsProblem {
    SettingsProblem {
        file: COMMAND_LINE.to_string(),
        line: None,
        key: key.to_string(),
        value: format!("{value:?}"),
        message,
        allowed: keys::allowed(key).to_string(),
    }
}
