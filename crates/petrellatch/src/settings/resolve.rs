//! Combines the settings file with flags and defaults, and checks the result.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use super::flags::apply_flags;
use super::keys;
use super::problem::SettingsProblem;
use super::settings_file::{ReplicaSettings, SettingsFile};
use crate::command_line::DaemonOptions;
use crate::logging::{LogFormat, LogLevel};

/// Maximum length of the name of a node or zone, in characters.
const MAX_NAME_CHARACTERS: usize = 64;
/// Permitted numbers of replicas in the control group.
const REPLICA_COUNTS: [usize; 3] = [1, 3, 5];
/// Minimum duration of a lease in heartbeats, so that one lost heartbeat does not end
/// it.
const MIN_HEARTBEATS_PER_LEASE: u64 = 3;

/// The role of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// A control replica.
    Control,
    /// A balancer.
    Balancer,
    /// An agent.
    Agent,
}

impl FromStr for Role {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "control" => Ok(Role::Control),
            "balancer" => Ok(Role::Balancer),
            "agent" => Ok(Role::Agent),
            other => Err(format!(
                "role '{other}' is not allowed; allowed: control, balancer, agent"
            )),
        }
    }
}

/// Effective intervals and timeouts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between heartbeats.
    pub heartbeat: Duration,
    /// Duration of an agent's admission lease.
    pub lease: Duration,
    /// Minimum time without a leader before an election.
    pub election: Duration,
    /// Maximum time for which a planned stop waits for open flows.
    pub stop: Duration,
}

/// The effective settings of a process.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The node name.
    pub name: String,
    /// The zone.
    pub zone: String,
    /// The folder for all files of the process.
    pub data_folder: PathBuf,
    /// The file with the cluster key.
    pub key_file: PathBuf,
    /// The control replicas.
    pub replicas: Vec<ReplicaSettings>,
    /// Address for control messages (UDP).
    pub control: SocketAddrV4,
    /// Address for callers' packets (UDP).
    pub data: SocketAddrV4,
    /// Address that serves health and metrics (HTTP).
    pub admin: SocketAddrV4,
    /// Address that serves operators (HTTP).
    pub operator: SocketAddrV4,
    /// Whether the data folder is formatted as that of a founding voter.
    pub bootstrap: bool,
    /// Address of the fabric; the unspecified address if there is none.
    pub fabric: SocketAddrV4,
    /// URL of the platform's list of machines, if there is one.
    pub platform_list_url: Option<String>,
    /// Path of the request that asks a back end whether it is draining, if back ends
    /// serve it.
    pub health_path: Option<String>,
    /// Intervals and timeouts.
    pub timing: Timing,
    /// Maximum number of operator requests in progress or queued.
    pub operator_requests: usize,
    /// Size of the kernel's receive buffer of each UDP socket, in bytes.
    pub receive_buffer_bytes: usize,
    /// Format of the log.
    pub log_format: LogFormat,
    /// Lowest level that is logged.
    pub log_level: LogLevel,
}

/// Overrides the file with the flags, adds defaults and checks the result for `role`.
/// Without a role, missing keys are no problem.
///
/// # Errors
///
/// Returns all problems of the flags and of the resulting values.
pub fn resolve(
    file_name: &str,
    mut file: SettingsFile,
    flags: &DaemonOptions,
    role: Option<Role>,
) -> Result<Settings, Vec<SettingsProblem>> {
    let mut problems = Vec::new();
    apply_flags(&mut file, flags, &mut problems);
    let mut resolver = Resolver {
        file_name,
        role,
        problems,
    };
    let mut settings = resolver.settings(&file);
    settings.bootstrap = flags.bootstrap;
    if resolver.problems.is_empty() {
        Ok(settings)
    } else {
        Err(resolver.problems)
    }
}

/// Reads values of the file and collects their problems.
struct Resolver<'a> {
    file_name: &'a str,
    role: Option<Role>,
    problems: Vec<SettingsProblem>,
}

impl Resolver<'_> {
    fn settings(&mut self, file: &SettingsFile) -> Settings {
        let any_port = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 0);
        let addresses = &file.addresses;
        let own = self.own_replica(file);
        let own_control = own.map_or(any_port, |replica| replica.control);
        let own_operator = own.and_then(|replica| replica.operator);
        let settings = Settings {
            name: self.name("node.name", &file.node.name),
            zone: self.name("node.zone", &file.node.zone),
            data_folder: self.required("node.data_folder", &file.node.data_folder),
            key_file: self.required("cluster.key_file", &file.cluster.key_file),
            replicas: self.replicas(&file.cluster.replicas),
            control: addresses.control.unwrap_or(own_control),
            data: addresses.data.unwrap_or(any_port),
            admin: addresses.admin.unwrap_or(any_port),
            operator: addresses.operator.or(own_operator).unwrap_or(any_port),
            bootstrap: false,
            fabric: self.fabric(addresses.fabric),
            platform_list_url: self.beginning_with(
                "platform.list_url",
                &file.platform.list_url,
                "http://",
            ),
            health_path: self.beginning_with(
                "backends.health_path",
                &file.backends.health_path,
                "/",
            ),
            timing: self.timing(file),
            operator_requests: self.number(
                "limits.operator_requests",
                file.limits.operator_requests,
                64,
                keys::OPERATOR_REQUESTS,
            ) as usize,
            receive_buffer_bytes: self.number(
                "limits.receive_buffer_bytes",
                file.limits.receive_buffer_bytes,
                4 * 1024 * 1024,
                keys::RECEIVE_BUFFER_BYTES,
            ) as usize,
            log_format: file.log.format.unwrap_or_default(),
            log_level: file.log.level.unwrap_or_default(),
        };
        self.check_own_replica(&settings);
        settings
    }

    fn timing(&mut self, file: &SettingsFile) -> Timing {
        let timing = &file.timing;
        let heartbeat = self.number(
            "timing.heartbeat_milliseconds",
            timing.heartbeat_milliseconds,
            1_000,
            keys::HEARTBEAT_MILLISECONDS,
        );
        let lease = self.number(
            "timing.lease_milliseconds",
            timing.lease_milliseconds,
            6_000,
            keys::LEASE_MILLISECONDS,
        );
        let election = self.number(
            "timing.election_milliseconds",
            timing.election_milliseconds,
            1_000,
            keys::ELECTION_MILLISECONDS,
        );
        let stop = self.number(
            "timing.stop_seconds",
            timing.stop_seconds,
            3_600,
            keys::STOP_SECONDS,
        );
        if lease < heartbeat.saturating_mul(MIN_HEARTBEATS_PER_LEASE) {
            let message = format!("is shorter than three heartbeats of {heartbeat} ms");
            self.report("timing.lease_milliseconds", lease.to_string(), message);
        }
        Timing {
            heartbeat: Duration::from_millis(heartbeat),
            lease: Duration::from_millis(lease),
            election: Duration::from_millis(election),
            stop: Duration::from_secs(stop),
        }
    }

    fn name(&mut self, key: &str, value: &Option<String>) -> String {
        let name = self.required(key, value);
        if value.is_some() && !is_name(&name) {
            self.report(key, format!("{name:?}"), "is not a name".to_string());
        }
        name
    }

    fn replicas(&mut self, replicas: &[ReplicaSettings]) -> Vec<ReplicaSettings> {
        let count = replicas.len();
        let is_optional = count == 0 && self.role.is_none();
        if !is_optional && !REPLICA_COUNTS.contains(&count) {
            let message = format!("names {count} replicas");
            self.report("cluster.replicas", String::new(), message);
        }
        for (index, replica) in replicas.iter().enumerate() {
            if !is_name(&replica.name) {
                let value = format!("{:?}", replica.name);
                self.report("cluster.replicas.name", value, "is not a name".to_string());
            }
            let earlier = &replicas[..index];
            if earlier.iter().any(|other| other.name == replica.name) {
                let value = format!("{:?}", replica.name);
                let message = "is used twice".to_string();
                self.report("cluster.replicas.name", value, message);
            }
            if earlier.iter().any(|other| other.control == replica.control) {
                let value = replica.control.to_string();
                let message = "is the address of two replicas".to_string();
                self.report("cluster.replicas.control", value, message);
            }
        }
        replicas.to_vec()
    }

    /// The entry of this process among the replicas, which contains its addresses.
    fn own_replica<'a>(&self, file: &'a SettingsFile) -> Option<&'a ReplicaSettings> {
        let name = file.node.name.as_ref();
        let mut replicas = file.cluster.replicas.iter();
        replicas
            .find(|replica| Some(&replica.name) == name)
            .filter(|_| self.role == Some(Role::Control))
    }

    /// Reports a control replica that is not in the list of replicas.
    fn check_own_replica(&mut self, settings: &Settings) {
        if self.role != Some(Role::Control) || settings.replicas.is_empty() {
            return;
        }
        let mut replicas = settings.replicas.iter();
        if !replicas.any(|replica| replica.name == settings.name) {
            let value = format!("{:?}", settings.name);
            let message = "is not among cluster.replicas".to_string();
            self.report("node.name", value, message);
        }
    }

    /// Checks that the value, if set, begins with `beginning`.
    fn beginning_with(
        &mut self,
        key: &str,
        value: &Option<String>,
        beginning: &str,
    ) -> Option<String> {
        if let Some(text) = value
            && !text.starts_with(beginning)
        {
            let message = format!("does not begin with {beginning}");
            self.report(key, format!("{text:?}"), message);
        }
        value.clone()
    }

    fn fabric(&mut self, address: Option<SocketAddrV4>) -> SocketAddrV4 {
        if self.role == Some(Role::Agent) && address.is_none() {
            self.report("addresses.fabric", String::new(), "is missing".to_string());
        }
        address.unwrap_or(SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0))
    }

    fn required<T: Clone + Default>(&mut self, key: &str, value: &Option<T>) -> T {
        if value.is_none() && self.role.is_some() {
            self.report(key, String::new(), "is missing".to_string());
        }
        value.clone().unwrap_or_default()
    }

    fn number(
        &mut self,
        key: &str,
        value: Option<u64>,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> u64 {
        let number = value.unwrap_or(default);
        if !range.contains(&number) {
            self.report(key, number.to_string(), "is out of range".to_string());
        }
        number
    }

    fn report(&mut self, key: &str, value: String, message: String) {
        self.problems.push(SettingsProblem {
            file: self.file_name.to_string(),
            line: None,
            key: key.to_string(),
            value,
            message,
            allowed: keys::allowed(key).to_string(),
        });
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.chars().count() <= MAX_NAME_CHARACTERS && text.chars().all(allowed)
}
