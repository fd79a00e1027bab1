//! Test harness: a group of configuration replicas with a simulated network and disks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::consensus::{
    Membership, PersistRequest, PersistentState, ReplicaId, ReplicaStart,
};
use petrellatch_core::identity::Incarnation;
use petrellatch_core::pass_through::{
    Configuration, ConfigurationNode, ConfigurationNodeSettings, ConfigurationOutput,
    ConfigurationRequest, ConfigurationResponse, RecordFileWrite, node_id_of_address,
};
use petrellatch_proto::pass_through::{PassThroughBody, RouteRecord, RouteShare, ServiceRecord};

/// Delay of a message.
const MESSAGE_DELAY: Duration = Duration::from_millis(1);
/// Time that a write and its sync take.
const WRITE_TIME: Duration = Duration::from_millis(5);
/// Granularity of the virtual clock.
const STEP: Duration = Duration::from_millis(1);

/// Machines from this number on are daemons, not replicas.
pub const FIRST_DAEMON: u8 = 100;

/// Address of machine number `index`.
pub fn address(index: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, index), 7000)
}

/// A configuration with `routes` routes.
pub fn configuration(version: u64, routes: u8) -> Configuration {
    let route = |index: u8| RouteRecord {
        address: (u64::from(index) << 16) | 80,
        shares: vec![RouteShare {
            service: "desk".to_owned(),
            weight: 1,
        }],
        annotation: vec![index; 40],
        position: 0,
        latency_objective_millis: 0,
        ..RouteRecord::default()
    };
    let services = vec![ServiceRecord {
        service: "desk".to_owned(),
        warm_up_millirequests_per_second: 0,
    }];
    let routes = (0..routes).map(route).collect();
    Configuration::new(version, routes, services, Vec::new()).expect("the configuration is valid")
}

struct Machine {
    node: Option<ConfigurationNode>,
    disk: PersistentState,
    incarnation: Incarnation,
    seeds: Vec<u8>,
    writes: VecDeque<(Timestamp, PersistRequest)>,
    /// Records in the file of departures.
    departures: Vec<Vec<u8>>,
    departure_write: Option<(Timestamp, RecordFileWrite)>,
    disk_responds: bool,
}

/// The replicas of a group, with their network and disks.
pub struct Group {
    pub now: Timestamp,
    machines: BTreeMap<u8, Machine>,
    messages: VecDeque<(Timestamp, u8, u8, PassThroughBody)>,
    cut_links: BTreeSet<(u8, u8)>,
    responses: BTreeMap<u64, ConfigurationResponse>,
    next_token: u64,
    next_incarnation: u64,
    /// Messages of replicas to daemons: the sender, the receiver and the message.
    pub sent_to_daemons: Vec<(u8, u8, PassThroughBody)>,
    /// Zone of machine number `n` at index `n`; empty if all are in one zone.
    zones: Vec<&'static str>,
}

/// Incarnation of a machine that founds the group.
fn founder(index: u8) -> Incarnation {
    Incarnation(1_000 + u64::from(index))
}

impl Group {
    /// Starts machines 1 to `count` for the first time; 1 to 3 are the seeds.
    pub fn start(count: u8) -> Group {
        Group::start_in(count, Vec::new())
    }

    /// Like [`Group::start`], with machine number `n` in the zone `zones[n]`. The group
    /// tolerates the loss of one zone, or of two machines.
    pub fn start_in(count: u8, zones: Vec<&'static str>) -> Group {
        let mut group = Group {
            now: Timestamp::ZERO,
            machines: BTreeMap::new(),
            messages: VecDeque::new(),
            cut_links: BTreeSet::new(),
            responses: BTreeMap::new(),
            next_token: 0,
            next_incarnation: 5_000,
            sent_to_daemons: Vec::new(),
            zones,
        };
        for index in 1..=count {
            let seeds = vec![1, 2, 3];
            if index <= 3 {
                group.add(index, founder(index), seeds);
            } else {
                group.add_empty(index, seeds);
            }
        }
        group
    }

    /// Starts a machine with an empty disk.
    pub fn add_empty(&mut self, index: u8, seeds: Vec<u8>) {
        self.next_incarnation += 1;
        self.add(index, Incarnation(self.next_incarnation), seeds);
    }

    fn add(&mut self, index: u8, incarnation: Incarnation, seeds: Vec<u8>) {
        let machine = Machine {
            node: None,
            disk: PersistentState::default(),
            incarnation,
            seeds,
            writes: VecDeque::new(),
            departures: Vec::new(),
            departure_write: None,
            disk_responds: true,
        };
        self.machines.insert(index, machine);
        self.restart(index);
    }

    /// Restarts the process of a machine, from its disk.
    pub fn restart(&mut self, index: u8) {
        let now = self.now;
        let machine = self.machines.get_mut(&index).expect("the machine exists");
        let founders = machine.seeds.iter().map(|seed| ReplicaId {
            node: node_id_of_address(address(*seed)),
            incarnation: founder(*seed),
        });
        let start = ReplicaStart {
            id: node_id_of_address(address(index)),
            incarnation: machine.incarnation,
            seed: u64::from(index) + now.as_micros(),
            persisted: machine.disk.clone(),
            bootstrap: Some(Membership::of_voters(founders)),
        };
        let mut settings = ConfigurationNodeSettings::default();
        if let Some(zone) = self.zones.get(usize::from(index)) {
            settings.zone = (*zone).to_owned();
            settings.max_lost_zones = 1;
            settings.max_lost_replicas = 2;
        }
        settings.first_start = now == Timestamp::ZERO;
        let mut node = ConfigurationNode::new(now, settings, start);
        assert!(node.load_departures(now, &machine.departures));
        machine.node = Some(node);
    }

    /// Kills a process; writes that are not synced are lost.
    pub fn kill(&mut self, index: u8) {
        let machine = self.machines.get_mut(&index).expect("the machine exists");
        machine.node = None;
        machine.writes.clear();
        machine.departure_write = None;
    }

    /// Removes a machine for good.
    pub fn remove(&mut self, index: u8) {
        self.machines.remove(&index);
    }

    /// Kills a process and empties its disk; it restarts as another replica.
    pub fn wipe(&mut self, index: u8) {
        self.kill(index);
        self.next_incarnation += 1;
        let incarnation = Incarnation(self.next_incarnation);
        let machine = self.machines.get_mut(&index).expect("the machine exists");
        machine.disk = PersistentState::default();
        machine.departures.clear();
        machine.incarnation = incarnation;
    }

    /// Sets whether a disk completes writes.
    pub fn set_disk_responds(&mut self, index: u8, responds: bool) {
        self.machines
            .get_mut(&index)
            .expect("the machine exists")
            .disk_responds = responds;
    }

    /// Isolates one machine from all others.
    pub fn cut_off(&mut self, index: u8) {
        for other in self.machines.keys() {
            self.cut_links.insert((index, *other));
            self.cut_links.insert((*other, index));
        }
    }

    /// Reconnects all machines.
    pub fn heal(&mut self) {
        self.cut_links.clear();
    }

    /// Lets time pass.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now = self.now + STEP;
            self.finish_writes();
            self.deliver();
            self.tick();
        }
    }

    /// Lets time pass until `done` holds; panics after `limit`.
    pub fn run_until(&mut self, limit: Duration, what: &str, done: impl Fn(&Group) -> bool) {
        let end = self.now + limit;
        while !done(self) {
            assert!(self.now < end, "not within {limit:?}: {what}");
            self.run(STEP);
        }
    }

    /// The leader that has contact with a quorum.
    pub fn leader(&self) -> Option<u8> {
        let is_leader = |(_, machine): &(&u8, &Machine)| {
            let node = machine.node.as_ref();
            node.is_some_and(|node| node.replica().is_leader_with_quorum(self.now))
        };
        self.machines
            .iter()
            .find(is_leader)
            .map(|(index, _)| *index)
    }

    /// The voters according to the leader; none without a leader.
    pub fn voters(&self) -> Vec<u8> {
        let Some(leader) = self.leader() else {
            return Vec::new();
        };
        let node = self.machines[&leader]
            .node
            .as_ref()
            .expect("the leader runs");
        let voters = node.replica().membership().voters();
        voters.map(|voter| (voter.node.0 >> 16) as u8).collect()
    }

    /// Sends a request to a machine; returns the token of the response.
    pub fn request(&mut self, index: u8, request: ConfigurationRequest) -> u64 {
        self.next_token += 1;
        let (now, token) = (self.now, self.next_token);
        if let Some(node) = self
            .machines
            .get_mut(&index)
            .and_then(|it| it.node.as_mut())
        {
            node.handle_request(now, token, request);
        }
        self.process_outputs(index);
        token
    }

    /// Requests the evacuation or restoration of a zone; returns the token of the response.
    pub fn set_zone_evacuated(&mut self, index: u8, zone: &str, evacuated: bool) -> u64 {
        let request = ConfigurationRequest::SetZoneEvacuated {
            zone: zone.to_owned(),
            evacuated,
            allow_last: false,
            issued_at_millis: 1_700_000_000_000,
        };
        self.request(index, request)
    }

    /// Evacuates or restores a zone through the leader, and retries until that is
    /// acknowledged.
    pub fn set_zone_evacuated_and_wait(&mut self, zone: &str, evacuated: bool) {
        for _ in 0..10 {
            self.run_until(Duration::from_secs(10), "a leader", |it| {
                it.leader().is_some()
            });
            let leader = self.leader().expect("there is a leader");
            let token = self.set_zone_evacuated(leader, zone, evacuated);
            self.run_until(Duration::from_secs(2), "a response", |it| {
                it.response(token).is_some()
            });
            if self.response(token) == Some(&ConfigurationResponse::ZoneCommandApplied) {
                return;
            }
        }
        panic!("the zone command is not acknowledged");
    }

    /// The evacuated zones, as a replica knows them.
    pub fn evacuated_zones_at(&self, index: u8) -> Vec<String> {
        let node = self.machines[&index]
            .node
            .as_ref()
            .expect("the machine runs");
        let zones = node.evacuations().evacuated_zones();
        zones.map(|status| status.zone.clone()).collect()
    }

    /// The node of a running replica.
    pub fn node(&self, index: u8) -> &ConfigurationNode {
        self.machines[&index]
            .node
            .as_ref()
            .expect("the machine runs")
    }

    /// Whether a replica runs.
    pub fn is_running(&self, index: u8) -> bool {
        let machine = self.machines.get(&index);
        machine.is_some_and(|machine| machine.node.is_some())
    }

    /// Delivers a message of another process to a replica.
    pub fn receive(&mut self, index: u8, from: u8, body: PassThroughBody) {
        let now = self.now;
        let machine = self.machines.get_mut(&index).expect("the machine exists");
        let node = machine.node.as_mut().expect("the machine runs");
        node.handle_message(now, address(from), body);
        self.process_outputs(index);
    }

    /// The response, if it has arrived.
    pub fn response(&self, token: u64) -> Option<&ConfigurationResponse> {
        self.responses.get(&token)
    }

    /// Replaces the configuration through the leader and waits until that is
    /// acknowledged.
    pub fn replace(&mut self, version: u64, routes: u8) {
        self.run_until(Duration::from_secs(5), "a leader", |it| {
            it.leader().is_some()
        });
        let leader = self.leader().expect("there is a leader");
        let request = ConfigurationRequest::Replace(configuration(version, routes));
        let token = self.request(leader, request);
        self.run_until(Duration::from_secs(2), "an acknowledgement", |it| {
            matches!(
                it.response(token),
                Some(ConfigurationResponse::Accepted { .. })
            )
        });
    }

    /// Reads the newest configuration through the leader.
    pub fn read(&mut self) -> Configuration {
        self.run_until(Duration::from_secs(5), "a leader", |it| {
            it.leader().is_some()
        });
        let leader = self.leader().expect("there is a leader");
        let token = self.request(leader, ConfigurationRequest::Read);
        self.run_until(Duration::from_secs(2), "a response", |it| {
            it.response(token).is_some()
        });
        match self.response(token) {
            Some(ConfigurationResponse::Read(read)) => read.clone(),
            other => panic!("expected a configuration, got {other:?}"),
        }
    }

    fn finish_writes(&mut self) {
        let now = self.now;
        let indices: Vec<u8> = self.machines.keys().copied().collect();
        for index in indices {
            let machine = self.machines.get_mut(&index).expect("the machine exists");
            let is_due = |writes: &VecDeque<(Timestamp, PersistRequest)>| {
                writes.front().is_some_and(|(at, _)| *at <= now)
            };
            while machine.disk_responds && is_due(&machine.writes) {
                let (_, request) = machine.writes.pop_front().expect("an entry is due");
                machine.disk.apply(&request);
                if let Some(node) = &mut machine.node {
                    node.handle_persisted(now, request.ticket);
                }
            }
            let disk_responds = machine.disk_responds;
            let due = machine
                .departure_write
                .take_if(|(at, _)| *at <= now && disk_responds);
            if let Some((_, write)) = due {
                match write {
                    RecordFileWrite::Append(records) => machine.departures.extend(records),
                    RecordFileWrite::Replace(records) => machine.departures = records,
                }
                if let Some(node) = &mut machine.node {
                    node.handle_departures_written(now, Ok(()));
                }
            }
            self.process_outputs(index);
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        while self.messages.front().is_some_and(|(at, ..)| *at <= now) {
            let (_, from, to, body) = self.messages.pop_front().expect("an entry is due");
            if self.cut_links.contains(&(from, to)) {
                continue;
            }
            if let Some(node) = self.machines.get_mut(&to).and_then(|it| it.node.as_mut()) {
                node.handle_message(now, address(from), body);
            }
            self.process_outputs(to);
        }
    }

    fn tick(&mut self) {
        let now = self.now;
        let indices: Vec<u8> = self.machines.keys().copied().collect();
        for index in indices {
            let machine = self.machines.get_mut(&index).expect("the machine exists");
            if let Some(node) = &mut machine.node
                && node.poll_timeout() <= now
            {
                node.handle_timeout(now);
            }
            self.process_outputs(index);
        }
    }

    fn process_outputs(&mut self, index: u8) {
        let now = self.now;
        let Some(machine) = self.machines.get_mut(&index) else {
            return;
        };
        let Some(node) = &mut machine.node else {
            return;
        };
        while let Some(output) = node.poll_output() {
            match output {
                ConfigurationOutput::Send { to, body } => {
                    let to = to.ip().octets()[3];
                    if to >= FIRST_DAEMON {
                        self.sent_to_daemons.push((index, to, body));
                        continue;
                    }
                    self.messages
                        .push_back((now + MESSAGE_DELAY, index, to, body));
                }
                ConfigurationOutput::Persist(request) => {
                    machine.writes.push_back((now + WRITE_TIME, request));
                }
                ConfigurationOutput::Respond { token, response } => {
                    self.responses.insert(token, response);
                }
                ConfigurationOutput::WriteDepartures(write) => {
                    assert!(machine.departure_write.is_none(), "one write at a time");
                    machine.departure_write = Some((now + WRITE_TIME, write));
                }
                ConfigurationOutput::WriteFlowRecords(_)
                | ConfigurationOutput::SaveDaemons(_)
                | ConfigurationOutput::Event(_) => {}
            }
        }
    }
}
