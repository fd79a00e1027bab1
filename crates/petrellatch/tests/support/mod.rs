//! Control replicas, balancers and agents in threads of the test process, and
//! the operator's command line as a process.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::PathBuf;
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use petrellatch::api::StatusDocument;
use petrellatch::command_line::DaemonOptions;
use petrellatch::error::ProgramError;
use petrellatch::logging::{LogFormat, LogLevel, make_logger};
use petrellatch::runtime::control::{ControlSockets, open_replica_folder};
use petrellatch::runtime::{
    DaemonSockets, DataFolder, Process, ReadyLine, StopHandle, StopSignal, agent, balancer, control,
};
use petrellatch::settings::{Role, Settings, SettingsFile, read_cluster_key, resolve};
use petrellatch_storage::StorageError;
use tempfile::TempDir;

/// Timeout of every wait in these tests.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// Default election timeout: minimum time without a leader before an election.
const ELECTION_TIMEOUT: Duration = Duration::from_millis(500);
/// Interval between checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The key of the cluster, and the key of another cluster.
pub const KEY: &str = "000102030405060708090a0b0c0d0e0f";
pub const OTHER_KEY: &str = "ffeeddccbbaa99887766554433221100";

/// Name and addresses of a control replica.
#[derive(Clone, Debug)]
pub struct ReplicaAddress {
    pub name: String,
    pub control: SocketAddrV4,
    pub operator: SocketAddrV4,
}

/// A daemon in a thread.
pub struct Running {
    pub ready: ReadyLine,
    stop: StopHandle,
    thread: JoinHandle<Result<(), ProgramError>>,
}

impl Running {
    /// Requests a graceful stop and waits until the daemon has ended.
    pub fn stop(mut self) {
        self.stop.stop();
        self.thread
            .join()
            .expect("the daemon does not panic")
            .expect("the daemon stops without an error");
    }

    /// Stops the daemon immediately, as if it was killed.
    pub fn kill(mut self) {
        self.stop.stop_immediately();
        self.thread
            .join()
            .expect("the daemon does not panic")
            .expect("the daemon ends without an error");
    }

    pub fn is_running(&self) -> bool {
        !self.thread.is_finished()
    }
}

/// Number of clusters that this process has started.
static CLUSTERS: AtomicU8 = AtomicU8::new(0);

/// Chooses two loopback addresses that no other cluster of any test uses, for
/// control replicas and for daemons. A port of a stopped replica therefore
/// stays free until it is started again.
fn choose_addresses() -> [Ipv4Addr; 2] {
    let cluster = CLUSTERS.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    let first = 1 + 2 * (cluster % 100);
    [first, first + 1].map(|second| Ipv4Addr::new(127, second, high, low))
}

/// A cluster on the loopback interface.
pub struct Cluster {
    /// Addresses that control replicas and daemons listen on.
    addresses: [Ipv4Addr; 2],
    election: Duration,
    pub folder: TempDir,
    pub replicas: Vec<ReplicaAddress>,
    pub running: BTreeMap<String, Running>,
}

impl Cluster {
    /// Starts a control group with this number of replicas.
    pub fn start(replicas: usize) -> Cluster {
        Cluster::start_with(replicas, ELECTION_TIMEOUT)
    }

    /// Starts a control group with this election timeout.
    pub fn start_with(replicas: usize, election: Duration) -> Cluster {
        let folder = tempfile::tempdir().expect("a scratch folder");
        std::fs::write(folder.path().join("key"), KEY).expect("the key is written");
        let mut cluster = Cluster {
            addresses: choose_addresses(),
            election,
            folder,
            replicas: Vec::new(),
            running: BTreeMap::new(),
        };
        // All sockets are bound before any address is passed on, so no other
        // process can take a port in between.
        let sockets: Vec<ControlSockets> = (1..=replicas)
            .map(|number| {
                let name = format!("control-{number}");
                let settings = cluster.settings_with(Role::Control, &name, true, &[]);
                let sockets = ControlSockets::open(&settings).expect("free ports");
                let ready = sockets.ready_line(&name, Default::default());
                cluster.replicas.push(ReplicaAddress {
                    name,
                    control: ready.control.expect("the address is open"),
                    operator: ready.operator.expect("the address is open"),
                });
                sockets
            })
            .collect();
        for (number, sockets) in (1..=replicas).zip(sockets) {
            let name = format!("control-{number}");
            let settings = cluster.settings(Role::Control, &name, true);
            cluster.run_control(settings, sockets);
        }
        cluster
    }

    /// Restarts a control replica with its folder and addresses.
    pub fn restart_control(&mut self, name: &str) {
        let settings = self.settings(Role::Control, name, false);
        self.restart_control_with(settings);
    }

    /// Restarts a control replica with these settings.
    pub fn restart_control_with(&mut self, settings: Settings) {
        let sockets = open_when_free(|| ControlSockets::open(&settings));
        self.run_control(settings, sockets);
    }

    fn run_control(&mut self, settings: Settings, sockets: ControlSockets) {
        let name = settings.name.clone();
        let (process, stop) = process(settings);
        let folder = open_when_free(|| open_replica_folder(&process.settings, &process.key));
        let ready = sockets.ready_line(&name, folder.incarnation);
        let thread = thread::spawn(move || control::run(process, sockets, folder));
        self.running.insert(
            name,
            Running {
                ready,
                stop,
                thread,
            },
        );
    }

    /// Starts a balancer or agent.
    pub fn start_daemon(&mut self, role: Role, name: &str) {
        let settings = self.settings(role, name, false);
        self.start_daemon_with(role, settings);
    }

    /// Starts a balancer or agent with these settings.
    pub fn start_daemon_with(&mut self, role: Role, settings: Settings) {
        let name = settings.name.clone();
        let sockets = DaemonSockets::open(&settings).expect("free ports");
        let folder = open_when_free(|| DataFolder::open(&settings.data_folder));
        let ready = sockets.ready_line(&name);
        let (process, stop) = process(settings);
        let thread = thread::spawn(move || match role {
            Role::Agent => agent::run(process, sockets, folder),
            _ => balancer::run(process, sockets, folder),
        });
        self.running.insert(
            name,
            Running {
                ready,
                stop,
                thread,
            },
        );
    }

    /// Takes a daemon out of `running`, to stop or kill it.
    pub fn take(&mut self, name: &str) -> Running {
        self.running.remove(name).expect("the daemon is running")
    }

    /// Returns the data folder of a process.
    pub fn data_folder(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Returns the settings of a process.
    pub fn settings(&self, role: Role, name: &str, bootstrap: bool) -> Settings {
        self.settings_with(role, name, bootstrap, &self.replicas)
    }

    fn settings_with(
        &self,
        role: Role,
        name: &str,
        bootstrap: bool,
        replicas: &[ReplicaAddress],
    ) -> Settings {
        let mut replica: Vec<String> = replicas
            .iter()
            .map(|it| format!("{}={},{}", it.name, it.control, it.operator))
            .collect();
        if replica.is_empty() {
            replica.push(format!("{name}=127.0.0.1:0"));
        }
        let [control, daemon] = self.addresses;
        let listed = replicas.iter().find(|it| it.name == name);
        let operator = listed.map(|it| it.operator.to_string());
        let own = match role {
            Role::Control => control,
            Role::Balancer | Role::Agent => daemon,
        };
        let any_port = format!("{own}:0");
        let options = DaemonOptions {
            control_address: listed
                .map(|it| it.control.to_string())
                .or(Some(any_port.clone())),
            operator_address: operator.or(Some(any_port.clone())),
            data_address: Some(any_port.clone()),
            admin_address: Some(any_port.clone()),
            name: Some(name.to_string()),
            zone: Some("zone-a".to_string()),
            data_folder: Some(self.data_folder(name).display().to_string()),
            key_file: Some(self.folder.path().join("key").display().to_string()),
            fabric_address: Some("127.0.0.1:9".to_string()),
            replica,
            bootstrap,
            ..DaemonOptions::default()
        };
        let mut file = SettingsFile::default();
        file.timing.heartbeat_milliseconds = Some(100);
        file.timing.lease_milliseconds = Some(1_000);
        file.timing.election_milliseconds = Some(self.election.as_millis() as u64);
        file.timing.stop_seconds = Some(20);
        resolve("test", file, &options, Some(role)).expect("valid settings")
    }

    /// Runs `petrellatch ctl` against all replicas.
    pub fn ctl(&self, arguments: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_petrellatch"));
        command.arg("ctl");
        for replica in &self.replicas {
            command.arg("--server").arg(replica.operator.to_string());
        }
        command.args(["--output", "json", "--deadline", "50", "--retries", "1000"]);
        command.args(arguments).output().expect("the program runs")
    }

    /// Runs `petrellatch ctl`, which has to succeed, and returns its output.
    pub fn ctl_output(&self, arguments: &[&str]) -> String {
        let output = self.ctl(arguments);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert!(output.status.success(), "ctl {arguments:?}: {errors}");
        String::from_utf8(output.stdout).expect("text")
    }

    /// Applies a document and returns its version.
    pub fn apply(&self, document: &str) -> u64 {
        let path = self.folder.path().join("document.toml");
        std::fs::write(&path, document).expect("the document is written");
        let path = path.display().to_string();
        let output = self.ctl_output(&["apply", &path]);
        let result: serde_json::Value = serde_json::from_str(&output).expect("JSON");
        assert_eq!(result["result"], "accepted");
        result["version"].as_u64().expect("a version")
    }

    /// Reads the status from the leader.
    pub fn status(&self) -> StatusDocument {
        let output = self.ctl_output(&["status"]);
        serde_json::from_str(&output).expect("a status document")
    }

    /// Waits until the status meets a condition.
    pub fn wait_for_status(
        &self,
        what: &str,
        mut wanted: impl FnMut(&StatusDocument) -> bool,
    ) -> StatusDocument {
        let mut last = None;
        wait_for(what, || {
            let status = self.status();
            let found = wanted(&status);
            last = Some(status);
            found
        });
        last.expect("the status was read")
    }

    /// Returns the name of a control replica that is not the leader.
    pub fn follower(&self) -> String {
        let leader = self.status().leader;
        let mut names = self.replicas.iter().map(|replica| replica.name.clone());
        names
            .find(|name| *name != leader)
            .expect("the group has followers")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        for (_, mut running) in std::mem::take(&mut self.running) {
            running.stop.stop_immediately();
            let _ = running.thread.join();
        }
    }
}

fn process(settings: Settings) -> (Process, StopHandle) {
    let (stop, handle) = StopSignal::manual().expect("a pair of sockets");
    let key = read_cluster_key(&settings.key_file).expect("a valid key");
    let process = Process {
        logger: make_logger(LogFormat::Terminal, LogLevel::Error, &settings.name),
        key,
        stop,
        settings,
    };
    (process, handle)
}

/// Opens a resource that a previous incarnation of a process has closed.
///
/// A program that another test starts at this moment holds copies of all open
/// files of this process, its sockets and locks included, until it runs its
/// own code. So a resource that was just closed may still be in use for a moment.
pub fn open_when_free<T>(mut open: impl FnMut() -> Result<T, ProgramError>) -> T {
    let mut opened = None;
    wait_for("the closed resource is free", || match open() {
        Ok(value) => {
            opened = Some(value);
            true
        }
        Err(error) if is_in_use(&error) => false,
        Err(error) => panic!("{error}"),
    });
    opened.expect("the resource is free")
}

/// Returns whether an address or a folder is used by another process.
pub fn is_in_use(error: &ProgramError) -> bool {
    match error {
        ProgramError::Bind { source, .. } => source.kind() == ErrorKind::AddrInUse,
        ProgramError::Storage { source } => matches!(source, StorageError::FolderInUse { .. }),
        ProgramError::DataFolder { source, .. } => source.kind() == ErrorKind::ResourceBusy,
        _ => false,
    }
}

/// Waits until a condition is met.
pub fn wait_for(what: &str, mut is_met: impl FnMut() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !is_met() {
        assert!(Instant::now() < deadline, "waited too long: {what}");
        thread::sleep(POLL_INTERVAL);
    }
}

/// Reads a path of an admin address. Returns the status and the body.
pub fn read_admin(address: SocketAddrV4, path: &str) -> (u16, String) {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .build()
        .into();
    let url = format!("http://{address}{path}");
    let mut response = agent.get(&url).call().expect("a response");
    let body = response.body_mut().read_to_string().expect("a body");
    (response.status().as_u16(), body)
}

/// A document with one policy, one service and one back end.
pub const DOCUMENT: &str = r#"
[[policies]]
name = "even"
eligible = "!backend.draining"
weight = "1.0"

[[services]]
name = "valuation-desk"
address = "10.1.0.1:80"
policy = "even"

[[backends]]
name = "valuation-desk-1"
service = "valuation-desk"
agent = "agent-1"
zone = "zone-a"
server = "127.0.0.1:9"
slots = 7
"#;

/// A document with one more policy.
pub fn policy(name: &str) -> String {
    format!("[[policies]]\nname = \"{name}\"\neligible = \"true\"\nweight = \"1.0\"\n")
}
