//! Dissemination under loss, restarts and failing relays.

mod catch_up;
mod network;

use std::time::Duration;

use assert_matches::assert_matches;
use petrellatch_core::Timestamp;
use petrellatch_core::dissemination::{
    AgentReport, DaemonLink, DisseminationMutations, LinkOutput, LinkSettings, RelaySettings,
    StoredView, StoredViewError,
};
use petrellatch_core::identity::Incarnation;
use petrellatch_proto::dissemination::{
    Attach, Delta, HeartbeatReply, HeartbeatReplyEntry, Parent, Update,
};
use petrellatch_proto::envelope::{Body, Envelope};
use petrellatch_proto::record::NodeRole;

use network::{Faults, Network, ROOT_PORT, WINDOW, address, identity, policy_change};

const ROUGH: Faults = Faults {
    loss: 0.2,
    duplication: 0.1,
    jitter_micros: 20_000,
};

fn settings() -> LinkSettings {
    LinkSettings {
        controls: vec![address(ROOT_PORT)],
        ..LinkSettings::default()
    }
}

fn agent(now: Timestamp, port: u16, stored: Option<StoredView>) -> DaemonLink {
    let identity = identity(port, NodeRole::Agent);
    DaemonLink::new(now, settings(), identity, 5, stored)
}

fn balancer(now: Timestamp, port: u16) -> DaemonLink {
    let settings = LinkSettings {
        relay: Some(RelaySettings::default()),
        ..settings()
    };
    DaemonLink::new(now, settings, identity(port, NodeRole::Balancer), 5, None)
}

fn attach(ports: &[u16]) -> Body {
    let parent = |port: &u16| Parent {
        node: identity(*port, NodeRole::Balancer).node.0,
        control: address(*port).into(),
    };
    Body::Attach(Attach {
        parents: ports.iter().map(parent).collect(),
    })
}

fn assert_only_forward(network: &Network) {
    for (address, versions) in &network.versions {
        assert!(
            versions.is_sorted_by(|a, b| a < b),
            "{address}: {versions:?}"
        );
    }
}

#[test]
fn daemons_catch_up_under_loss_duplication_and_reordering() {
    for seed in 0..30 {
        let mut network = Network::new(seed, ROUGH);
        network.add(agent(network.now, 10, None));
        network.add(agent(network.now, 11, None));
        for _ in 0..400 {
            network.commit(300);
            network.run_for(Duration::from_millis(10));
        }
        network.run_until(Duration::from_secs(30), Network::all_up_to_date);
        assert_only_forward(&network);
        for link in network.links.values() {
            assert_eq!(link.view(), &network.view, "seed {seed}");
        }
    }
}

#[test]
fn restart_after_hundreds_of_versions_starts_from_the_stored_copy() {
    for (missed, by_snapshot) in [(300, false), (3_000, true)] {
        let mut network = Network::new(1, ROUGH);
        network.commit(100);
        let stored = StoredView::of(&network.view);
        for _ in 0..missed {
            network.commit(100);
        }
        let stored = StoredView::from_bytes(&stored.to_bytes()).expect("a sound copy");
        let link = agent(network.now, 10, Some(stored));
        assert_eq!(link.view().version(), 1);
        assert!(!link.is_current());
        network.add(link);
        network.run_until(Duration::from_secs(30), Network::all_up_to_date);
        assert_only_forward(&network);
        let outputs = &network.outputs[&address(10)];
        let snapshot = outputs.iter().any(|output| {
            matches!(output, LinkOutput::Event(event) if event.subject.contains("version")
                && event.kind == petrellatch_core::EventKind::SnapshotApplied)
        });
        assert_eq!(snapshot, by_snapshot);
    }
}

#[test]
fn daemon_is_current_only_after_the_leader_answered() {
    let mut network = Network::new(1, Faults::default());
    network.commit(100);
    let update = Body::Update(Update {
        base: 0,
        deltas: vec![Delta {
            version: 1,
            changes: vec![policy_change(1, 100)],
        }],
    });
    network.add(agent(network.now, 10, None));
    network.send_from_root(address(10), update);
    network.cut.insert(address(ROOT_PORT));
    network.run_for(Duration::from_secs(20));
    assert!(!network.links[&address(10)].is_current());
    network.cut.clear();
    network.run_until(Duration::from_secs(10), Network::all_up_to_date);
}

#[test]
fn relay_failover_brings_changes_by_the_next_parent() {
    for seed in 0..10 {
        let mut network = Network::new(seed, Faults::default());
        network.add(balancer(network.now, 20));
        network.add(balancer(network.now, 21));
        network.add(agent(network.now, 10, None));
        network.run_until(Duration::from_secs(10), Network::all_up_to_date);
        network.send_from_root(address(10), attach(&[20, 21]));
        // The root forgets its former children by then.
        network.run_for(Duration::from_secs(15));
        network.commit(100);
        network.run_until(Duration::from_secs(1), Network::all_up_to_date);

        network.cut.insert(address(20));
        let gone = network.links.remove(&address(20));
        assert!(gone.is_some());
        network.commit(100);
        let taken = network.run_until(Duration::from_secs(6), Network::all_up_to_date);
        assert!(
            taken > Duration::from_secs(1),
            "it was attached to the lost relay"
        );
        assert_only_forward(&network);
    }
}

#[test]
fn relays_that_are_each_others_parents_are_left() {
    let mut network = Network::new(4, Faults::default());
    network.add(balancer(network.now, 20));
    network.add(balancer(network.now, 21));
    network.run_until(Duration::from_secs(10), Network::all_up_to_date);
    network.send_from_root(address(20), attach(&[21]));
    network.send_from_root(address(21), attach(&[20]));
    network.run_for(Duration::from_millis(100));
    network.commit(100);
    network.run_until(Duration::from_secs(10), Network::all_up_to_date);
}

#[test]
fn thousand_daemons_that_restart_at_once_cause_no_burst() {
    const DAEMONS: u16 = 1_000;
    const RELAYS: u16 = 10;
    let mut network = Network::new(2, Faults::default());
    for _ in 0..1_200 {
        network.commit(1_000);
    }
    for relay in 0..RELAYS {
        network.add(balancer(network.now, 100 + relay));
    }
    network.run_until(Duration::from_secs(20), Network::all_up_to_date);
    network.peak_window_bytes.clear();
    for daemon in 0..DAEMONS {
        let port = 1_000 + daemon;
        let mut link = agent(network.now, port, None);
        let relay = 100 + daemon % RELAYS;
        let envelope = Envelope {
            body: Some(attach(&[relay])),
            ..Envelope::default()
        };
        link.handle_control(network.now, address(ROOT_PORT), &envelope);
        network.add(link);
    }
    let taken = network.run_until(Duration::from_secs(60), Network::all_up_to_date);
    println!("1,000 daemons were current after {taken:?}");
    let settings = RelaySettings::default();
    let windows_per_second = 1_000 / WINDOW.as_millis() as u64;
    let push = settings.push_bytes_per_second / windows_per_second + settings.push_burst_bytes;
    let heartbeats = 30_000;
    for relay in 0..RELAYS {
        let peak = network.peak_window_bytes[&address(100 + relay)];
        assert!(peak <= push + heartbeats, "relay {relay}: {peak} bytes");
    }
    let root = network.peak_window_bytes[&address(ROOT_PORT)];
    assert!(root <= push + heartbeats, "root: {root} bytes");
}

fn reply(incarnation: Incarnation, sequence: u64, fenced: bool) -> Envelope {
    let answer = HeartbeatReplyEntry {
        node: identity(10, NodeRole::Agent).node.0,
        incarnation: incarnation.0,
        sequence,
        version: 0,
        lease_milliseconds: if fenced { 0 } else { 6_000 },
        registered: !fenced,
        fenced,
        term: 1,
    };
    Envelope {
        body: Some(Body::HeartbeatReply(HeartbeatReply {
            entries: vec![answer],
        })),
        ..Envelope::default()
    }
}

#[test]
fn lease_counts_from_the_sending_and_belongs_to_one_life() {
    let mut link = agent(Timestamp::ZERO, 10, None);
    let life = link.identity().incarnation;
    let sent_at = Timestamp::from_millis(300);
    link.handle_timeout(sent_at);
    let late = Timestamp::from_millis(2_300);
    link.handle_control(late, address(ROOT_PORT), &reply(Incarnation(1), 1, false));
    assert_eq!(link.lease_until(), None, "the answer is for another life");
    link.handle_control(late, address(ROOT_PORT), &reply(life, 9, false));
    assert_eq!(link.lease_until(), None, "no such heartbeat was sent");
    link.handle_control(late, address(ROOT_PORT), &reply(life, 1, false));
    assert_eq!(link.lease_until(), Some(sent_at + Duration::from_secs(6)));

    let stopped = AgentReport {
        stopped: true,
        ..AgentReport::default()
    };
    link.set_report(late, stopped);
    link.set_report(late, AgentReport::default());
    assert_eq!(link.lease_until(), None, "a stopped life stays stopped");
}

#[test]
fn fenced_life_is_reported_once_and_followed_by_a_new_one() {
    let mut link = agent(Timestamp::ZERO, 10, None);
    let life = link.identity().incarnation;
    let now = Timestamp::from_millis(300);
    link.handle_timeout(now);
    link.handle_control(now, address(ROOT_PORT), &reply(life, 1, true));
    link.handle_timeout(now + Duration::from_secs(1));
    link.handle_control(now, address(ROOT_PORT), &reply(life, 2, true));
    let outputs: Vec<LinkOutput> = std::iter::from_fn(|| link.poll_output()).collect();
    let fences = outputs
        .iter()
        .filter(|output| **output == LinkOutput::Fenced);
    assert_eq!(fences.count(), 1);
    assert!(link.is_fenced());

    link.new_life(now + Duration::from_secs(1), Incarnation(77));
    assert!(!link.is_fenced());
    link.handle_timeout(now + Duration::from_secs(2));
    let registered = std::iter::from_fn(|| link.poll_output()).any(|output| {
        matches!(output, LinkOutput::Send { envelope: Envelope { body: Some(Body::Heartbeat(heartbeat)), .. }, .. }
            if heartbeat.entries[0].registration.as_ref().is_some_and(|record| record.incarnation == 77))
    });
    assert!(registered);
}

#[test]
fn damaged_copy_is_refused() {
    let mut bytes = StoredView::of(&Network::new(1, Faults::default()).view).to_bytes();
    bytes[0] ^= 1;
    assert_matches!(
        StoredView::from_bytes(&bytes),
        Err(StoredViewError::Damaged)
    );
    assert_matches!(
        StoredView::from_bytes(&bytes[..3]),
        Err(StoredViewError::Damaged)
    );
}

#[test]
fn lab_faults_are_visible() {
    let mutations = DisseminationMutations {
        apply_older_versions: true,
        skip_current_check: true,
        ..DisseminationMutations::default()
    };
    let settings = LinkSettings {
        mutations,
        ..settings()
    };
    let identity = identity(10, NodeRole::Agent);
    let mut link = DaemonLink::new(Timestamp::ZERO, settings, identity, 5, None);
    assert!(link.is_current());
    let delta = |version| Delta {
        version,
        changes: vec![policy_change(version, 10)],
    };
    for version in [1, 2, 3, 2] {
        let update = Update {
            base: version - 1,
            deltas: vec![delta(version)],
        };
        let envelope = Envelope {
            body: Some(Body::Update(update)),
            ..Envelope::default()
        };
        link.handle_control(Timestamp::ZERO, address(ROOT_PORT), &envelope);
    }
    assert_eq!(link.view().version(), 2);
}
