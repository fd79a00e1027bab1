//! What the pass-through tier costs, for docs/CAPACITY.md:
//! `cargo run --release -p petrellatch-core --example pass_through_figures`.

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::{Duration, Instant};

use petrellatch_core::Timestamp;
use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    Configuration, FlowId, KnownReplicas, PacketCodec, PacketView, PassThroughBalancer,
    PassThroughBalancerSettings,
};
use petrellatch_proto::pass_through::{
    Accepted, AgentState, ConfigurationChange, ConfigurationPart, DirectoryChange, DirectoryEntry,
    DirectoryPart, LoadMessage, PassThroughBody, Report, RouteRecord, RouteShare, ServiceRecord,
    VersionConfirmed, pack_address, unpack_address,
};
use prost::Message;

const REPLICA: SocketAddrV4 = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, 1), 7000);
const TARGET_ROUTES: u32 = 67_000;

/// Packets are 18 bytes: both ends, what is acknowledged, and whether they open.
#[derive(Debug)]
struct Codec;

impl PacketCodec for Codec {
    fn view(&self, packet: &[u8]) -> Option<PacketView> {
        let number = |place: usize| {
            Some(u64::from_be_bytes(
                packet.get(place..place + 8)?.try_into().ok()?,
            ))
        };
        let opens = *packet.get(16)? == 1;
        Some(PacketView {
            source: unpack_address(number(0)?),
            destination: unpack_address(number(8)?),
            syn: opens,
            ack: !opens,
            fin: false,
            rst: false,
            returned: false,
            sequence_number: 0,
            ack_number: 1,
            data_bytes: 0,
        })
    }

    fn reset(&self, _flow: FlowId, _sequence: u32) -> Vec<u8> {
        Vec::new()
    }
}

fn route(index: u32) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::from(0xc612_0000 + index), 443)
}

fn record(index: u32) -> RouteRecord {
    let name = format!("r-{index:06}");
    let service = format!("service-{:05}", index / 3);
    let annotation = format!(
        r#"{{"Name":"{name}","Address":"{}","Kind":"safe","TimeoutMs":2500,"Objective":250,"Priority":2,"Service":"{service}","Attempts":2}}"#,
        route(index)
    );
    RouteRecord {
        address: pack_address(route(index)),
        shares: vec![RouteShare { service, weight: 1 }],
        annotation: annotation.into_bytes(),
        position: 0,
        latency_objective_millis: 0,
        ..RouteRecord::default()
    }
}

fn configuration(version: u64, routes: u32) -> Configuration {
    let records: Vec<RouteRecord> = (0..routes).map(record).collect();
    let service = |record: &RouteRecord| ServiceRecord {
        service: record.shares[0].service.clone(),
        warm_up_millirequests_per_second: 0,
    };
    let services = records.iter().map(service).collect();
    Configuration::new(version, records, services, Vec::new()).expect("it is valid")
}

fn resident_bytes() -> usize {
    const PAGE: usize = 4_096;
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm
        .split(' ')
        .nth(1)
        .and_then(|it| it.parse::<usize>().ok());
    pages.unwrap_or(0) * PAGE
}

fn packet(flow: u32, route: SocketAddrV4, opens: bool) -> Vec<u8> {
    let caller = SocketAddrV4::new(
        Ipv4Addr::from(0x6440_0000 + flow / 50_000),
        (flow % 50_000) as u16,
    );
    let mut bytes = pack_address(caller).to_be_bytes().to_vec();
    bytes.extend(pack_address(route).to_be_bytes());
    bytes.extend([u8::from(opens), 0]);
    bytes
}

fn main() {
    // The largest first: later ones reuse its memory, and their bytes say
    // nothing.
    for flows in [400_000, 100_000, 10_000] {
        balancer(flows);
    }
    for routes in [1_000, 10_000, TARGET_ROUTES] {
        replacement(routes);
    }
}

fn replacement(routes: u32) {
    let before = configuration(1, routes);
    let resident = resident_bytes();
    let mut after = configuration(2, routes);
    let held = resident_bytes().saturating_sub(resident);
    let first = *after.routes.keys().next().expect("there are some");
    after
        .routes
        .get_mut(&first)
        .expect("known")
        .annotation
        .push(b' ');
    let start = Instant::now();
    let small = before.change_to(&after);
    let compared = start.elapsed();
    let whole = Configuration::default().change_to(&after).encode_to_vec();
    let start = Instant::now();
    let packed = lz4_flex::compress_prepend_size(&whole).len();
    let compressed = start.elapsed();
    println!(
        "routes={routes} records_of_a_small_change={} bytes_of_it={} compared_ms={:.1} whole_kb={} whole_packed_kb={} compressed_ms={:.1} held_kb={}",
        small.put.len(),
        small.encoded_len(),
        compared.as_secs_f64() * 1e3,
        whole.len() / 1_000,
        packed / 1_000,
        compressed.as_secs_f64() * 1e3,
        held / 1_000
    );
}

fn balancer(flows: u32) {
    let now = Timestamp::from_millis(1_000);
    let settings = PassThroughBalancerSettings {
        zone: "a".to_owned(),
        subscribe_interval: Duration::from_secs(1),
        flow_ttl: Duration::from_secs(60),
        stop_delay: Duration::from_secs(1),
        link_bytes_per_second: None,
    };
    let contacts = KnownReplicas::new(vec![REPLICA]);
    let mut balancer = PassThroughBalancer::new(now, settings, Codec, Incarnation(6), contacts);
    set_up(&mut balancer, now);
    let before = resident_bytes();
    let start = Instant::now();
    for flow in 0..flows {
        balancer.handle_packet(now, &packet(flow, route(0), true));
        accept_all(&mut balancer, now);
        balancer.handle_packet(now, &packet(flow, route(0), false));
        while balancer.poll_output().is_some() {}
    }
    let opened = start.elapsed();
    let held = resident_bytes().saturating_sub(before);
    let start = Instant::now();
    for flow in 0..flows {
        balancer.handle_packet(now, &packet(flow, route(0), false));
        while balancer.poll_output().is_some() {}
    }
    let delivered = start.elapsed();
    println!(
        "flows={flows} bytes_a_flow={} ns_to_open={} ns_a_packet={}",
        held / flows as usize,
        opened.as_nanos() / u128::from(flows),
        delivered.as_nanos() / u128::from(flows)
    );
}

/// Answers for the agent that was asked.
fn accept_all(balancer: &mut PassThroughBalancer<Codec>, now: Timestamp) {
    use petrellatch_core::pass_through::PassThroughOutput;
    while let Some(output) = balancer.poll_output() {
        let PassThroughOutput::Send { to, body } = output else {
            continue;
        };
        if let PassThroughBody::ForwardedPacket(carry) = body {
            let view = Codec.view(&carry.packet).expect("a packet");
            let accepted = Accepted {
                flow: view.flow_from_caller().into(),
                sequence: 0,
                load: LoadMessage::default(),
            };
            balancer.handle_message(now, to, PassThroughBody::Accepted(accepted));
        }
    }
}

fn set_up(balancer: &mut PassThroughBalancer<Codec>, now: Timestamp) {
    let change: ConfigurationChange = Configuration::default().change_to(&configuration(3, 1));
    let part = ConfigurationPart {
        base_version: 0,
        version: 3,
        part: 0,
        parts: 1,
        bytes: lz4_flex::compress_prepend_size(&change.encode_to_vec()),
    };
    balancer.handle_message(now, REPLICA, PassThroughBody::Configuration(part));
    let confirmed = VersionConfirmed {
        confirmation_id: 7,
        version: 3,
        zones: None,
        ..VersionConfirmed::default()
    };
    balancer.handle_message(now, REPLICA, PassThroughBody::VersionConfirmed(confirmed));
    let entry = |index: u8| DirectoryEntry {
        report: Report {
            address: pack_address(SocketAddrV4::new(Ipv4Addr::new(10, 0, 1, index), 7000)),
            incarnation: 1,
            sequence: 1,
            service: "service-00000".to_owned(),
            zone: "a".to_owned(),
            state: AgentState::Ready.into(),
            load: LoadMessage::default(),
            draining_backends: Vec::new(),
            serving_backend: 0,
            next_report_millis: 500,
            evacuations_index: 0,
            ..Report::default()
        },
        age_millis: 0,
    };
    let change = DirectoryChange {
        agents: (1..=10).map(entry).collect(),
        removed: Vec::new(),
    };
    println!(
        "bytes_of_ten_agents_in_a_directory={}",
        change.encoded_len()
    );
    let directory = DirectoryPart {
        base_revision: 0,
        revision: 1,
        part: 0,
        parts: 1,
        bytes: change.encode_to_vec(),
    };
    balancer.handle_message(now, REPLICA, PassThroughBody::DirectoryPart(directory));
}
