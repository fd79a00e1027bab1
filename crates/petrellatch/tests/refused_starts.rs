//! Processes that can't start, or can't continue, report the reason.

mod support;

use std::fs;
use std::io::Read;
use std::path::Path;
use std::process::{Command, Output, Stdio};
use std::time::Instant;

use petrellatch::error::ProgramError;
use petrellatch::runtime::DataFolder;
use petrellatch::runtime::control::open_replica_folder;
use petrellatch::settings::{Role, read_cluster_key};
use support::{Cluster, KEY, OTHER_KEY, TEST_TIMEOUT, is_in_use, policy, read_admin, wait_for};

/// A scratch folder with a key file.
fn scratch() -> tempfile::TempDir {
    let folder = tempfile::tempdir().expect("a scratch folder");
    fs::write(folder.path().join("key"), KEY).expect("the key is written");
    folder
}

fn control(folder: &Path, arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_petrellatch"));
    command
        .current_dir(folder)
        .args(["control", "--name", "control-1", "--zone", "zone-a"])
        .args(["--key-file", "key", "--data-folder", "data"])
        .args(arguments);
    command
}

fn assert_refused(output: &Output, code: i32, part: &str) {
    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(code), "{message}");
    assert!(message.contains(part), "'{part}' is not in: {message}");
}

/// Returns why a resource that was just closed can't be opened.
fn open_error<T>(mut open: impl FnMut() -> Result<T, ProgramError>) -> ProgramError {
    let mut open_error = None;
    wait_for("the lock of the previous incarnation is released", || {
        open_error = open().err();
        !open_error.as_ref().is_some_and(is_in_use)
    });
    open_error.expect("opening is refused")
}

#[test]
fn a_folder_in_use_is_refused() {
    let mut cluster = Cluster::start(1);
    cluster.start_daemon(Role::Balancer, "balancer-1");
    let folder = cluster.data_folder("balancer-1");
    let error = DataFolder::open(&folder).expect_err("opening is refused");
    assert!(is_in_use(&error), "{error}");
    let settings = cluster.settings(Role::Control, "control-1", false);
    let key = read_cluster_key(&settings.key_file).expect("a valid key");
    let error = open_replica_folder(&settings, &key).expect_err("opening is refused");
    assert!(is_in_use(&error), "{error}");
}

#[test]
fn an_address_in_use_is_named_in_the_error() {
    let folder = scratch();
    let holder = std::net::UdpSocket::bind("127.0.0.1:0").expect("a free port");
    let address = holder
        .local_addr()
        .expect("the socket is bound")
        .to_string();
    let replica = format!("control-1={address}");
    let output = control(folder.path(), &["--replica", &replica])
        .output()
        .expect("the program runs");
    assert_refused(
        &output,
        12,
        &format!("can't open {address} for control messages"),
    );
}

#[test]
fn a_folder_that_cannot_be_created_is_named_in_the_error() {
    let folder = scratch();
    fs::write(folder.path().join("data"), "a file").expect("the file is written");
    let arguments = ["--replica", "control-1=127.0.0.1:0"];
    let output = control(folder.path(), &arguments)
        .output()
        .expect("the program runs");
    assert_refused(&output, 14, "data");
}

#[test]
fn a_folder_of_another_cluster_is_refused() {
    let cluster = Cluster::start(1);
    let name = "control-1";
    let mut settings = cluster.settings(Role::Control, name, false);
    settings.data_folder = cluster.data_folder("copied");
    let key = read_cluster_key(&settings.key_file).expect("a valid key");
    drop(open_replica_folder(&settings, &key).expect("the folder is formatted"));
    fs::write(cluster.folder.path().join("other"), OTHER_KEY).expect("the file is written");
    let other = read_cluster_key(&cluster.folder.path().join("other")).expect("a valid key");
    let error = open_error(|| open_replica_folder(&settings, &other));
    assert_eq!(error.kind().response().name, "invalid_settings");
    assert!(error.to_string().contains("belongs to cluster"), "{error}");
}

#[test]
fn bootstrapping_a_group_on_a_formatted_folder_is_refused() {
    let cluster = Cluster::start(1);
    let mut settings = cluster.settings(Role::Control, "control-1", true);
    settings.data_folder = cluster.data_folder("formatted");
    let key = read_cluster_key(&settings.key_file).expect("a valid key");
    drop(open_replica_folder(&settings, &key).expect("the folder is formatted"));
    let error = open_error(|| open_replica_folder(&settings, &key));
    assert!(
        error.to_string().contains("already holds a replica"),
        "{error}"
    );
}

#[test]
fn messages_of_a_daemon_with_another_key_are_rejected() {
    let mut cluster = Cluster::start(1);
    fs::write(cluster.folder.path().join("other"), OTHER_KEY).expect("the file is written");
    let mut settings = cluster.settings(Role::Balancer, "stranger", false);
    settings.key_file = cluster.folder.path().join("other");
    cluster.start_daemon_with(Role::Balancer, settings);
    let admin = cluster.running["control-1"]
        .ready
        .admin
        .expect("the address is open");
    wait_for("datagrams sealed with another key are counted", || {
        let (_, metrics) = read_admin(admin, "/metrics");
        let counted = |line: &str| {
            line.starts_with("petrellatch_rejected_datagrams_total") && !line.ends_with(" 0")
        };
        metrics.lines().any(counted)
    });
    let foreign = cluster.running["stranger"]
        .ready
        .admin
        .expect("the address is open");
    assert_eq!(read_admin(foreign, "/readyz").0, 503);
    assert_eq!(read_admin(foreign, "/healthz").0, 200);
    assert!(cluster.status().members.is_empty());
}

#[test]
fn a_replica_that_cannot_write_exits_with_an_error() {
    let folder = scratch();
    // A file size limit simulates a full disk. SIGXFSZ is ignored, so that the
    // write itself fails.
    let script = "trap '' XFSZ; ulimit -f 16; exec \"$@\"";
    let mut program = Command::new("sh");
    program
        .current_dir(folder.path())
        .args(["-c", script, "sh", env!("CARGO_BIN_EXE_petrellatch")])
        .args([
            "control",
            "--name",
            "control-1",
            "--zone",
            "zone-a",
            "--bootstrap",
        ])
        .args(["--key-file", "key", "--data-folder", "data"])
        .args(["--replica", "control-1=127.0.0.1:0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let mut child = program.spawn().expect("the program starts");
    let operator = read_operator(&mut child);
    let mut number = 0;
    let deadline = Instant::now() + TEST_TIMEOUT;
    let status = loop {
        if let Some(status) = child.try_wait().expect("the state of the child is known") {
            break status;
        }
        if Instant::now() > deadline {
            child.kill().expect("the child is killed");
            panic!("the replica still runs after {number} changes");
        }
        number += 1;
        apply(
            folder.path(),
            &operator,
            &policy(&format!("policy-{number}")),
        );
    };
    let mut errors = String::new();
    let mut stderr = child.stderr.take().expect("the stream is piped");
    stderr.read_to_string(&mut errors).expect("text");
    assert_eq!(status.code(), Some(14), "{errors}");
    assert!(errors.contains("data/log"), "{errors}");
}

fn read_operator(child: &mut std::process::Child) -> String {
    use std::io::{BufRead, BufReader};
    let stdout = child.stdout.take().expect("the stream is piped");
    let mut line = String::new();
    BufReader::new(stdout).read_line(&mut line).expect("a line");
    let ready: serde_json::Value = serde_json::from_str(&line).expect("JSON");
    ready["operator"].as_str().expect("an address").to_string()
}

fn apply(folder: &Path, operator: &str, document: &str) {
    fs::write(folder.join("document.toml"), document).expect("the file is written");
    Command::new(env!("CARGO_BIN_EXE_petrellatch"))
        .current_dir(folder)
        .args([
            "ctl",
            "--server",
            operator,
            "--deadline",
            "5",
            "--retries",
            "5",
        ])
        .args(["apply", "document.toml"])
        .output()
        .expect("the program runs");
}
