//! The fabric between real TCP clients and a test agent, on loopback.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, SocketAddrV4, TcpStream, UdpSocket};
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use assert_matches::assert_matches;
use gumdrop::Options;
use petrellatch_lab::fabric::options::EdgeMapping;
use petrellatch_lab::fabric::{FabricOptions, FabricServer};
use petrellatch_lab::support::logging::discarding_logger;
use petrellatch_lab::support::process::StopFlag;
use support::echo_agent::EchoAgent;
use support::server_flow::Behaviour;

const SERVICE: &str = "10.0.0.1:80";
const PATIENCE: Duration = Duration::from_secs(30);

fn options(balancers: &[SocketAddr]) -> FabricOptions {
    let service: SocketAddrV4 = SERVICE.parse().unwrap();
    let mapping = EdgeMapping {
        listen: "127.0.0.1:0".parse().unwrap(),
        service,
    };
    FabricOptions {
        balancer: balancers.to_vec(),
        edge: vec![mapping],
        admin: Some("127.0.0.1:0".parse().unwrap()),
        ..FabricOptions::parse_args_default::<&str>(&["--listen", "127.0.0.1:0"]).unwrap()
    }
}

fn start(options: &FabricOptions, agent: &EchoAgent) -> FabricServer {
    let fabric = FabricServer::start(options, StopFlag::default(), discarding_logger()).unwrap();
    agent.set_fabric(fabric.address());
    fabric
}

fn connect(fabric: &FabricServer) -> TcpStream {
    let edge = fabric.edges()[&SERVICE.parse().unwrap()];
    let stream = TcpStream::connect(edge).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream
}

/// Sends `length` bytes, closes the sending direction and checks the echo.
fn exchange(mut stream: TcpStream, length: usize, salt: u8) {
    let sent: Vec<u8> = (0..length).map(|i| (i * 31) as u8 ^ salt).collect();
    let mut writer = stream.try_clone().unwrap();
    let copy = sent.clone();
    let writing = std::thread::spawn(move || {
        writer.write_all(&copy).unwrap();
        writer.shutdown(Shutdown::Write).unwrap();
    });
    let mut received = Vec::new();
    stream.read_to_end(&mut received).unwrap();
    writing.join().unwrap();
    assert!(received == sent, "{} of {length} bytes", received.len());
}

fn exchange_many(fabric: &FabricServer, connections: u8, length: usize) {
    std::thread::scope(|scope| {
        for salt in 0..connections {
            let stream = connect(fabric);
            scope.spawn(move || exchange(stream, length, salt));
        }
    });
}

/// Waits until `condition` holds.
fn eventually(what: &str, condition: impl Fn() -> bool) {
    let limit = Instant::now() + PATIENCE;
    while !condition() {
        assert!(Instant::now() < limit, "waited in vain: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn outcome_of(fabric: &FabricServer, client: SocketAddr) -> String {
    let admin = fabric.admin_address().unwrap();
    ureq::get(format!("http://{admin}/outcome?client={client}"))
        .call()
        .unwrap()
        .body_mut()
        .read_to_string()
        .unwrap()
}

#[test]
fn flows_are_sprayed_and_half_closed() {
    let agent = EchoAgent::start(Behaviour::Echo);
    let fabric = start(&options(&agent.balancers), &agent);
    exchange_many(&fabric, 50, 40_000);
    eventually("all flows finish", || fabric.counters().edge_finished == 50);
    for packets in &agent.observations.packets {
        assert!(packets.load(Ordering::Relaxed) > 100);
    }
    assert_eq!(fabric.counters().edge_open, 0);
    fabric.stop().unwrap();
}

fn exchange_over_impaired_fabric(seed: u64) {
    let agent = EchoAgent::start(Behaviour::Echo);
    let settings = FabricOptions {
        seed,
        loss: 0.02,
        duplicate: 0.05,
        reorder: 0.2,
        delay_ms: 1,
        ..options(&agent.balancers)
    };
    let fabric = start(&settings, &agent);
    exchange_many(&fabric, 8, 30_000);
    assert!(fabric.counters().packets_lost > 0);
    fabric.stop().unwrap();
}

#[test]
fn bytes_arrive_whole_over_an_impaired_fabric() {
    std::thread::scope(|scope| {
        for seed in 1..=4 {
            scope.spawn(move || exchange_over_impaired_fabric(seed));
        }
    });
}

#[test]
fn refused_flow_resets_the_client_and_is_known_as_refused() {
    let agent = EchoAgent::start(Behaviour::Refuse);
    let fabric = start(&options(&agent.balancers), &agent);
    let mut stream = connect(&fabric);
    let client = stream.local_addr().unwrap();
    assert_matches!(stream.read(&mut [0]), Err(error)
        if error.kind() == std::io::ErrorKind::ConnectionReset);
    assert_eq!(outcome_of(&fabric, client), r#"{"outcome":"refused"}"#);
    fabric.stop().unwrap();
}

#[test]
fn reset_after_data_reaches_the_client() {
    let agent = EchoAgent::start(Behaviour::ResetAfter(5));
    let fabric = start(&options(&agent.balancers), &agent);
    let mut stream = connect(&fabric);
    let client = stream.local_addr().unwrap();
    stream.write_all(b"hello").unwrap();
    assert_matches!(stream.read(&mut [0; 8]), Err(error)
        if error.kind() == std::io::ErrorKind::ConnectionReset);
    assert_eq!(outcome_of(&fabric, client), r#"{"outcome":"reset"}"#);
    fabric.stop().unwrap();
}

#[test]
fn client_reset_reaches_the_agent() {
    let agent = EchoAgent::start(Behaviour::Echo);
    let fabric = start(&options(&agent.balancers), &agent);
    let mut stream = connect(&fabric);
    stream.write_all(b"hello").unwrap();
    stream.read_exact(&mut [0; 5]).unwrap();
    socket2::SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .unwrap();
    drop(stream);
    eventually("the agent sees the reset", || {
        agent.observations.resets.load(Ordering::Relaxed) == 1
    });
    eventually("the flow is counted", || {
        fabric.counters().edge_aborted == 1
    });
    fabric.stop().unwrap();
}

#[test]
fn slow_client_holds_the_server_back() {
    let agent = EchoAgent::start(Behaviour::Flood);
    let fabric = start(&options(&agent.balancers), &agent);
    let stream = connect(&fabric);
    let flooded = || agent.observations.flooded.load(Ordering::Relaxed);
    let mut previous = 0;
    // The kernel's buffers fill first; then nothing more may be taken.
    eventually("the flood stalls", || flooded() > 0);
    let limit = Instant::now() + PATIENCE;
    while flooded() != previous {
        assert!(Instant::now() < limit, "the flood never stalls");
        previous = flooded();
        std::thread::sleep(Duration::from_millis(500));
    }
    assert!(previous < 64 * 1024 * 1024, "{previous} bytes were taken");
    let mut half = vec![0; previous / 2];
    (&stream).read_exact(&mut half).unwrap();
    eventually("the flood goes on", || flooded() > previous);
    drop(stream);
    fabric.stop().unwrap();
}

#[test]
fn dead_balancer_is_left_out() {
    let agent = EchoAgent::start(Behaviour::Echo);
    let dead = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let fabric = start(&options(&[agent.balancers[0], dead]), &agent);
    exchange_many(&fabric, 10, 30_000);
    assert_eq!(fabric.counters().dropped_no_balancer, 0);
    fabric.stop().unwrap();
}

#[test]
fn changed_balancers_file_is_followed() {
    let agent = EchoAgent::start(Behaviour::Echo);
    let name = format!("petrellatch-balancers-{}.txt", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, "# none yet\n").unwrap();
    let settings = FabricOptions {
        balancers_file: Some(path.clone()),
        ..options(&[])
    };
    let fabric = start(&settings, &agent);
    let stream = connect(&fabric);
    eventually("the SYN finds no balancer", || {
        fabric.counters().dropped_no_balancer > 0
    });
    std::fs::write(&path, format!("{}\n", agent.balancers[1])).unwrap();
    exchange(stream, 1_000, 0);
    assert_eq!(agent.observations.packets[0].load(Ordering::Relaxed), 0);
    fabric.stop().unwrap();
    std::fs::remove_file(&path).unwrap();
}

#[test]
fn impossible_share_is_refused() {
    let settings = FabricOptions {
        loss: 1.5,
        ..options(&[])
    };
    let outcome = FabricServer::start(&settings, StopFlag::default(), discarding_logger());
    assert_matches!(outcome, Err(error) if error.to_string().contains("loss"));
}
