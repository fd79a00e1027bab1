//! Random runs: of one bucket, at most one agent admits at any time.

use std::collections::BTreeMap;

use petrellatch_proto::admission::{FlowReport, FlowReportAck};
use petrellatch_proto::dissemination::Delta;
use petrellatch_proto::record::{
    GenerationRecord, MemberRecord, NodeRole, PlacementRecord, Record, RecordChange, RecordKey,
    ServiceRecord, ShareRecord,
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Timestamp;
use crate::admission::{AdmissionMutations, ServiceAdmission, Standing};
use crate::cluster::ClusterView;
use crate::identity::{BucketIndex, Incarnation, NodeId, ServiceId};
use crate::routing::AgentIncarnation;

const AGENTS: u64 = 4;
const BUCKETS: u32 = 16;
const SERVICE: u32 = 1;
const MOST_GENERATIONS: usize = 4;

struct Agent {
    admission: ServiceAdmission,
    life: AgentIncarnation,
    view: ClusterView,
    /// Whether the lease is valid; it is renewed only for members.
    leased: bool,
}

enum Message {
    Report(AgentIncarnation, AgentIncarnation, FlowReport),
    Ack(AgentIncarnation, AgentIncarnation, FlowReportAck),
}

struct Model {
    now: Timestamp,
    random: ChaCha8Rng,
    truth: ClusterView,
    history: Vec<ClusterView>,
    /// The version that brought each generation.
    version_of: BTreeMap<u64, u64>,
    agents: Vec<Agent>,
    messages: Vec<Message>,
    next_life: u64,
    settled: u32,
}

fn service() -> ServiceRecord {
    ServiceRecord {
        id: SERVICE,
        name: "desk".to_owned(),
        address: "10.9.0.1:80"
            .parse::<std::net::SocketAddrV4>()
            .unwrap()
            .into(),
        buckets: BUCKETS,
        policy: String::new(),
        refusal: 0,
        new_flows_per_second: 0,
        idle_seconds: 0,
    }
}

impl Model {
    fn new(seed: u64, mutations: AdmissionMutations) -> Self {
        let mut model = Model {
            now: Timestamp::from_millis(1),
            random: ChaCha8Rng::seed_from_u64(seed),
            truth: ClusterView::new(),
            history: Vec::new(),
            version_of: BTreeMap::new(),
            agents: Vec::new(),
            messages: Vec::new(),
            next_life: 100,
            settled: 0,
        };
        model.commit(Some(Record::Service(service())), None);
        for node in 1..=AGENTS {
            let life = AgentIncarnation {
                node: NodeId(node),
                incarnation: Incarnation(node),
            };
            model.register(life);
            model.agents.push(Agent {
                admission: ServiceAdmission::new(&service(), life, mutations),
                life,
                view: ClusterView::new(),
                leased: true,
            });
        }
        model
    }

    fn commit(&mut self, put: Option<Record>, remove: Option<RecordKey>) {
        let version = self.truth.version() + 1;
        let changes = vec![RecordChange { put, remove }];
        self.truth.apply(&Delta { version, changes }).unwrap();
        self.history.push(self.truth.clone());
    }

    fn register(&mut self, life: AgentIncarnation) {
        let member = MemberRecord {
            node: life.node.0,
            incarnation: life.incarnation.0,
            role: NodeRole::Agent as i32,
            ..MemberRecord::default()
        };
        self.commit(Some(Record::Member(member)), None);
    }

    fn generations(&self) -> Vec<GenerationRecord> {
        let placement = self.truth.placement(ServiceId(SERVICE));
        placement.map_or(Vec::new(), |it| it.generations.clone())
    }

    fn set_generations(&mut self, generations: Vec<GenerationRecord>) {
        let placement = PlacementRecord {
            service: SERVICE,
            generations,
        };
        self.commit(Some(Record::Placement(placement)), None);
    }

    fn place(&mut self) {
        let mut generations = self.generations();
        if generations.len() >= MOST_GENERATIONS {
            return;
        }
        let number = generations.last().map_or(1, |it| it.number + 1);
        let members: Vec<(u64, u64)> = self
            .truth
            .members()
            .map(|it| (it.node, it.incarnation))
            .collect();
        let shares = members.into_iter().map(|(node, incarnation)| ShareRecord {
            backend: node,
            weight: self.random.random_range(0..4) * 500,
            node,
            incarnation,
        });
        let shares = shares.collect();
        generations.push(GenerationRecord { number, shares });
        self.set_generations(generations);
        self.version_of.insert(number, self.truth.version());
    }

    /// What the leader does when all agents have reported.
    fn settle(&mut self) {
        let generations = self.generations();
        let Some(newest) = generations.last().cloned() else {
            return;
        };
        let version = self.version_of[&newest.number];
        let involved = |life: AgentIncarnation| {
            let mut shares = generations.iter().flat_map(|it| &it.shares);
            shares.any(|it| (it.node, it.incarnation) == (life.node.0, life.incarnation.0))
        };
        let live = self.agents.iter().filter(|agent| {
            let life = agent.life;
            self.truth.is_member(life.node, life.incarnation) && involved(life)
        });
        let mut live = live;
        if live.all(|it| it.view.version() >= version && it.admission.is_settled()) {
            self.settled += u32::from(generations.len() > 1);
            self.set_generations(vec![newest]);
        }
    }

    fn apply_some(&mut self, index: usize) {
        let agent = &mut self.agents[index];
        let from = usize::try_from(agent.view.version()).unwrap();
        if from >= self.history.len() {
            return;
        }
        let to = self.random.random_range(from..self.history.len());
        agent.view = self.history[to].clone();
        agent
            .admission
            .apply(self.now, &agent.view, &service(), agent.life, &Vec::new);
    }

    fn exchange(&mut self) {
        for agent in &mut self.agents {
            while let Some(outgoing) = agent.admission.poll_report(self.now) {
                let message = Message::Report(agent.life, outgoing.recipient, outgoing.report);
                self.messages.push(message);
            }
        }
        if self.messages.is_empty() {
            return;
        }
        let chosen = self.random.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(chosen);
        if self.random.random_bool(0.2) {
            return;
        }
        match message {
            Message::Report(from, to, report) => self.deliver_report(from, to, &report),
            Message::Ack(from, to, ack) => {
                let agent = self.agents.iter_mut().find(|it| it.life.node == to.node);
                agent.unwrap().admission.handle_ack(from, &ack);
            }
        }
    }

    fn deliver_report(
        &mut self,
        from: AgentIncarnation,
        to: AgentIncarnation,
        report: &FlowReport,
    ) {
        let agent = self.agents.iter_mut().find(|it| it.life.node == to.node);
        let agent = agent.unwrap();
        let ack = agent
            .admission
            .handle_report(self.now, &agent.view, from, report);
        if let Some(ack) = ack {
            self.messages.push(Message::Ack(agent.life, from, ack));
        }
    }

    /// A lease runs out; only then the life may be fenced, and the process
    /// goes on under a new one.
    fn lose_lease(&mut self, index: usize) {
        self.agents[index].leased = false;
        let life = self.agents[index].life;
        if !self.random.random_bool(0.5) || !self.truth.is_member(life.node, life.incarnation) {
            return;
        }
        self.commit(None, Some(RecordKey::Member(life.node.0)));
        self.next_life += 1;
        let life = AgentIncarnation {
            node: life.node,
            incarnation: Incarnation(self.next_life),
        };
        self.register(life);
        self.agents[index].life = life;
        self.apply_some(index);
    }

    fn renew_lease(&mut self, index: usize) {
        let life = self.agents[index].life;
        if self.truth.is_member(life.node, life.incarnation) {
            self.agents[index].leased = true;
        }
    }

    fn step(&mut self) {
        self.now = self.now + std::time::Duration::from_millis(20);
        let index = self.random.random_range(0..self.agents.len());
        match self.random.random_range(0..100) {
            0..=5 => self.place(),
            6..=9 => self.settle(),
            10..=29 => self.apply_some(index),
            30..=31 => self.lose_lease(index),
            32..=37 => self.renew_lease(index),
            _ => self.exchange(),
        }
    }

    /// Returns a bucket that two agents admit in, if there is one, and whether
    /// any is admitted in at all.
    fn admitters(&self, bucket: u32) -> usize {
        let agents = self.agents.iter().filter(|it| it.leased);
        agents
            .filter(|it| {
                let standing = it.admission.standing(BucketIndex(bucket));
                matches!(standing, Standing::Owner(_))
            })
            .count()
    }
}

/// Runs one seed; returns whether two agents admitted at a time, how many
/// buckets were admitted in, and how many generations were settled.
fn run(seed: u64, mutations: AdmissionMutations) -> (bool, usize, u32) {
    let mut model = Model::new(seed, mutations);
    let mut admitted = 0;
    for _ in 0..600 {
        model.step();
        for bucket in 0..BUCKETS {
            match model.admitters(bucket) {
                0 => {}
                1 => admitted += 1,
                _ => return (true, admitted, model.settled),
            }
        }
    }
    (false, admitted, model.settled)
}

#[test]
fn at_most_one_agent_admits_in_a_bucket() {
    let mut settled = 0;
    for seed in 0..200 {
        let (violated, admitted, settled_here) = run(seed, AdmissionMutations::default());
        assert!(!violated, "seed {seed}");
        assert!(admitted > 0, "seed {seed} admits nothing at all");
        settled += settled_here;
    }
    assert!(settled > 200, "only {settled} generations were settled");
}

#[test]
fn the_check_notices_admission_before_release() {
    let mutations = AdmissionMutations {
        admit_before_release: true,
        ..AdmissionMutations::default()
    };
    let violations = (0..20).filter(|seed| run(*seed, mutations).0).count();
    assert!(violations >= 15, "{violations} of 20");
}
