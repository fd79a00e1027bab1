//! Operators get on although a control replica does not answer.

mod support;

use std::net::TcpListener;
use std::time::{Duration, Instant};

use support::{Cluster, ReplicaAddress, policy};

/// The time after which a client gave a silent server up in earlier versions.
/// A command makes several requests, and must not wait so long even once.
const FORMER_ATTEMPT_LIMIT: Duration = Duration::from_secs(5);

#[test]
fn a_silent_replica_costs_a_command_little() {
    let mut cluster = Cluster::found(1);
    cluster.apply(&policy("before"));
    // It accepts connections and says nothing, like a frozen process.
    let frozen = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = match frozen.local_addr().expect("it is bound") {
        std::net::SocketAddr::V4(address) => address,
        std::net::SocketAddr::V6(address) => panic!("{address} is no IPv4 address"),
    };
    let silent = ReplicaAddress {
        name: "frozen".to_string(),
        control: address,
        operator: address,
    };
    cluster.replicas.insert(0, silent);
    let started = Instant::now();
    cluster.apply(&policy("after"));
    let elapsed = started.elapsed();
    assert!(elapsed < FORMER_ATTEMPT_LIMIT, "it took {elapsed:?}");
}
