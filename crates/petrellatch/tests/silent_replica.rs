//! Operator commands work while a control replica does not respond.

mod support;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use support::{Cluster, ReplicaAddress, policy};

/// Earlier versions of the client waited this long for a silent server, at each
/// request. A command makes several requests; it must end before a single such
/// wait would.
const MAX_COMMAND_TIME: Duration = Duration::from_secs(5);

#[test]
fn a_silent_replica_delays_a_command_only_briefly() {
    let mut cluster = Cluster::start(1);
    cluster.apply(&policy("before"));
    // It accepts connections and never responds, like a frozen process.
    let frozen = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = match frozen.local_addr().expect("the listener is bound") {
        std::net::SocketAddr::V4(address) => address,
        std::net::SocketAddr::V6(address) => panic!("{address} is not an IPv4 address"),
    };
    let silent_replica = ReplicaAddress {
        name: "frozen".to_string(),
        control: address,
        operator: address,
    };
    cluster.replicas.insert(0, silent_replica);
    let started = Instant::now();
    cluster.apply(&policy("after"));
    let elapsed = started.elapsed();
    assert!(elapsed < MAX_COMMAND_TIME, "the command took {elapsed:?}");
}
