//! Invalid settings files and the messages of `petrellatch check` about them.

use std::path::Path;
use std::process::{Command, Output};

use tempfile::TempDir;

const VALID: &str = r#"
[node]
name = "agent-1"
zone = "tarlac-hall"
data_folder = "data"

[cluster]
replicas = [{ name = "control-1", control = "127.0.0.1:7400" }]

[addresses]
fabric = "127.0.0.1:9000"
"#;

fn check(content: &str, key: &str) -> (Output, TempDir) {
    let folder = tempfile::tempdir().expect("a temporary folder is created");
    let key_file = folder.path().join("cluster.key");
    std::fs::write(&key_file, key).expect("the key is written");
    let settings = folder.path().join("settings.toml");
    let key_line = format!("[cluster]\nkey_file = {:?}", key_file.display().to_string());
    let content = content.replace("[cluster]", &key_line);
    std::fs::write(&settings, content).expect("the settings are written");
    (run_check(&settings), folder)
}

fn run_check(settings: &Path) -> Output {
    Command::new(env!("CARGO_BIN_EXE_petrellatch"))
        .args(["check", "--role", "agent"])
        .arg(settings)
        .output()
        .expect("the program runs")
}

fn valid_key() -> String {
    "0123456789abcdef".repeat(2)
}

fn assert_refused(content: &str, expected: &[&str]) {
    let (output, _folder) = check(content, &valid_key());
    assert_refusal(&output, expected);
}

fn assert_refusal(output: &Output, expected: &[&str]) {
    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(2), "{message}");
    for part in expected {
        assert!(message.contains(part), "'{part}' is not in: {message}");
    }
}

#[test]
fn a_valid_file_is_accepted() {
    let (output, _folder) = check(VALID, &valid_key());
    let message = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(0), "{message}");
}

#[test]
fn an_unknown_key_is_refused_with_the_known_ones() {
    let content = VALID.replace("zone =", "zoom =");
    let expected = ["settings.toml:4: node.zoom", "\"tarlac-hall\"", "`zone`"];
    assert_refused(&content, &expected);
}

#[test]
fn an_unknown_section_is_refused() {
    let content = format!("{VALID}\n[nodes]\nname = \"x\"\n");
    assert_refused(&content, &["settings.toml:14: nodes", "unknown field"]);
}

#[test]
fn invalid_toml_is_refused_with_its_line() {
    let content = VALID.replace("name = \"agent-1\"", "name = \"agent-1");
    assert_refused(&content, &["settings.toml:3:"]);
}

#[test]
fn an_address_without_port_is_refused() {
    let content = VALID.replace("127.0.0.1:9000", "127.0.0.1");
    let expected = [
        "settings.toml:12: addresses.fabric",
        "allowed: an IPv4 address and port",
    ];
    assert_refused(&content, &expected);
}

#[test]
fn a_number_out_of_range_is_refused() {
    let content = format!("{VALID}\n[timing]\nheartbeat_milliseconds = 1\n");
    let expected = [
        "timing.heartbeat_milliseconds = 1",
        "out of range",
        "from 50 to 10000",
    ];
    assert_refused(&content, &expected);
}

#[test]
fn a_lease_shorter_than_three_heartbeats_is_refused() {
    let content = format!("{VALID}\n[timing]\nlease_milliseconds = 2000\n");
    assert_refused(
        &content,
        &["timing.lease_milliseconds = 2000", "three heartbeats"],
    );
}

#[test]
fn a_number_of_the_wrong_type_is_refused() {
    let content = format!("{VALID}\n[timing]\nstop_seconds = \"soon\"\n");
    assert_refused(
        &content,
        &["timing.stop_seconds = \"soon\"", "from 1 to 86400"],
    );
}

#[test]
fn two_replicas_are_refused() {
    let second = r#"[{ name = "control-2", control = "127.0.0.1:7401" }, "#;
    let content = VALID.replace("replicas = [", &format!("replicas = {second}"));
    assert_refused(
        &content,
        &["cluster.replicas: names 2 replicas", "1, 3 or 5"],
    );
}

#[test]
fn an_invalid_name_is_refused() {
    let content = VALID.replace("agent-1", "agent 1");
    assert_refused(&content, &["node.name = \"agent 1\"", "1 to 64 letters"]);
}

#[test]
fn a_missing_key_is_refused() {
    let content = VALID.replace("fabric = \"127.0.0.1:9000\"", "");
    assert_refused(&content, &["addresses.fabric: is missing"]);
}

#[test]
fn an_unknown_log_level_is_refused_with_the_allowed_ones() {
    let content = format!("{VALID}\n[log]\nlevel = \"loud\"\n");
    assert_refused(&content, &["log.level = \"loud\"", "\"debug\", \"info\""]);
}

#[test]
fn an_invalid_cluster_key_is_refused_without_printing_it() {
    let key = "0123456789abcdef0123456789abcdeg";
    let (output, _folder) = check(VALID, key);
    assert_refusal(&output, &["cluster.key_file", "32 hexadecimal digits"]);
    assert!(!String::from_utf8_lossy(&output.stderr).contains(key));
}

#[test]
fn all_problems_are_listed_in_one_run() {
    let content = VALID
        .replace("zone =", "zoom =")
        .replace("127.0.0.1:9000", "nowhere")
        .replace("127.0.0.1:7400", "nowhere");
    let expected = [
        "node.zoom",
        "addresses.fabric",
        "cluster.replicas.0.control",
    ];
    assert_refused(&content, &expected);
}

#[test]
fn a_missing_file_is_refused() {
    let output = run_check(Path::new("no-such-settings.toml"));
    assert_refusal(&output, &["no-such-settings.toml: can't read"]);
}

#[test]
fn a_url_or_path_with_a_wrong_beginning_is_refused() {
    let content = format!("{VALID}\n[platform]\nlist_url = \"ftp://here\"\n");
    assert_refused(&content, &["platform.list_url", "ftp://here", "http://"]);
    let content = format!("{VALID}\n[backends]\nhealth_path = \"health\"\n");
    assert_refused(&content, &["backends.health_path", "begins with /"]);
}
