//! The platform's lagging list.

use std::time::{Duration, Instant};

use gumdrop::Options;
use petrellatch_core::Timestamp;
use petrellatch_lab::platform::lagging_list::parse_machines;
use petrellatch_lab::platform::{LaggingList, Machine, PlatformOptions, PlatformServer};
use petrellatch_lab::support::process::StopFlag;

fn machine(name: &str, leaving: bool) -> Machine {
    Machine {
        name: name.to_owned(),
        leaving,
    }
}

#[test]
fn a_list_is_read_a_line_a_machine() {
    let content = "# agents\nmachine-1\n\n machine-2 leaving # soon\n";
    let expected = [machine("machine-1", false), machine("machine-2", true)];
    assert_eq!(parse_machines(content), expected);
}

#[test]
fn a_list_is_shown_after_the_lag() {
    let at = Timestamp::from_millis;
    let mut list = LaggingList::new(Duration::from_secs(3));
    list.handle_list(at(0), vec![machine("a", false)]);
    list.handle_list(at(1_000), vec![machine("a", false)]);
    list.handle_list(at(2_000), vec![machine("a", true)]);
    list.handle_list(at(2_500), vec![]);
    assert_eq!(list.machines(at(2_999)), []);
    assert_eq!(list.machines(at(3_000)), [machine("a", false)]);
    assert_eq!(list.machines(at(5_000)), [machine("a", true)]);
    assert_eq!(list.machines(at(5_500)), []);
}

#[test]
fn the_file_is_served() {
    let name = format!("petrellatch-machines-{}.txt", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, "machine-1 leaving\n").unwrap();
    let arguments = [
        "--listen",
        "127.0.0.1:0",
        "--lag-ms",
        "0",
        "--machines-file",
    ];
    let path_text = path.to_str().unwrap();
    let arguments: Vec<&str> = arguments.into_iter().chain([path_text]).collect();
    let options = PlatformOptions::parse_args_default(&arguments).unwrap();
    let platform = PlatformServer::start(options, StopFlag::default()).unwrap();
    let url = format!("http://{}/machines", platform.address());
    let limit = Instant::now() + Duration::from_secs(30);
    let expected = r#"[{"name":"machine-1","leaving":true}]"#;
    loop {
        let body = ureq::get(&url).call().unwrap().body_mut().read_to_string();
        if body.unwrap() == expected {
            break;
        }
        assert!(Instant::now() < limit, "the list never came");
    }
    platform.stop();
    std::fs::remove_file(&path).unwrap();
}
