//! What one change of the view costs an agent and a balancer, by the size of
//! the cluster.

use std::time::{Duration, Instant};

use petrellatch_core::Timestamp;
use petrellatch_core::agent_node::{AgentNode, AgentSettings};
use petrellatch_core::balancer_node::{BalancerNode, BalancerSettings};
use petrellatch_core::cluster::ClusterView;
use petrellatch_core::dissemination::StoredView;
use petrellatch_core::identity::{Incarnation, NodeId};
use petrellatch_proto::dissemination::{Delta, Update};
use petrellatch_proto::envelope::{Body, Envelope};
use petrellatch_proto::record::{NodeRole, Record};

use super::BenchOptions;
use super::figure::{Figure, resident_bytes};
use super::large_cluster::{
    CONTROL, LargeCluster, agent_identity, agent_of, identity, member, put,
};

/// How many changes of each kind are timed; the median counts.
const REPETITIONS: u64 = 41;

/// The agent that is measured.
const MEASURED_AGENT: u64 = 3;

/// Kinds of changes.
#[derive(Clone, Copy, Debug)]
enum Kind {
    /// The placement of a service of which the agent has no part.
    OtherPlacement,
    /// The placement of a service of the agent.
    OwnPlacement,
    /// Another agent comes back under a new life.
    Member,
    /// A back end beside another agent changes.
    Backend,
}

const KINDS: [Kind; 4] = [
    Kind::OtherPlacement,
    Kind::OwnPlacement,
    Kind::Member,
    Kind::Backend,
];

/// A node that takes control messages.
trait Subject {
    fn handle(&mut self, now: Timestamp, envelope: Envelope);
    fn node(&self) -> NodeId;
    fn version(&self) -> u64;
}

/// Measures a balancer.
pub fn measure_balancer(options: &BenchOptions) -> Vec<Figure> {
    measure(options, |stored| Box::new(balancer(stored)))
}

/// Measures an agent.
pub fn measure_agent(options: &BenchOptions) -> Vec<Figure> {
    measure(options, |stored| Box::new(agent(stored)))
}

fn measure(
    options: &BenchOptions,
    start: impl FnOnce(StoredView) -> Box<dyn Subject>,
) -> Vec<Figure> {
    let cluster = LargeCluster::new(options.services);
    let mut figures = vec![
        Figure::new("services", f64::from(options.services), ""),
        Figure::new("back ends", cluster.backends() as f64, ""),
    ];
    let before = resident_bytes();
    let view = build_view(&cluster);
    figures.push(grown("memory of the view alone", before));
    // The view stays, so that the node does not get its memory.
    let mut subject = start(StoredView::of(&view));
    // Two views are in memory now and one is the node's.
    figures.push(grown("memory with a node that has another view", before));
    figures.extend(measure_subject(&cluster, subject.as_mut()));
    drop(view);
    figures
}

/// Builds the view record by record, so that nothing else is allocated.
fn build_view(cluster: &LargeCluster) -> ClusterView {
    let mut view = ClusterView::new();
    for change in cluster.records() {
        let version = view.version() + 1;
        let changes = vec![change];
        let applied = view.apply(&Delta { version, changes });
        applied.expect("versions follow");
    }
    view
}

fn grown(name: &str, before: u64) -> Figure {
    let grown = resident_bytes().saturating_sub(before);
    Figure::new(name, grown as f64 / 1e6, "MB")
}

fn measure_subject(cluster: &LargeCluster, subject: &mut dyn Subject) -> Vec<Figure> {
    KINDS
        .iter()
        .map(|kind| {
            let times = (0..REPETITIONS).map(|turn| time_change(cluster, subject, *kind, turn));
            let mut times: Vec<Duration> = times.collect();
            times.sort_unstable();
            let median = times[times.len() / 2].as_secs_f64() * 1e6;
            Figure::new(format!("change of {kind:?}"), median, "µs")
        })
        .collect()
}

fn time_change(
    cluster: &LargeCluster,
    subject: &mut dyn Subject,
    kind: Kind,
    turn: u64,
) -> Duration {
    let now = Timestamp::from_millis(1_000 + turn);
    let base = subject.version();
    let delta = Delta {
        version: base + 1,
        changes: vec![put(changed_record(cluster, kind, turn))],
    };
    let update = Update {
        base,
        deltas: vec![delta],
    };
    let control = identity("control-1", NodeRole::Control);
    let envelope = control.envelope(Some(subject.node()), Body::Update(update));
    let start = Instant::now();
    subject.handle(now, envelope);
    let elapsed = start.elapsed();
    assert_eq!(subject.version(), base + 1, "the change was applied");
    elapsed
}

fn changed_record(cluster: &LargeCluster, kind: Kind, turn: u64) -> Record {
    let own = own_service(cluster);
    let other = own + 100 + u32::try_from(turn).unwrap_or(0);
    match kind {
        Kind::OtherPlacement => Record::Placement(cluster.placement(other, 2)),
        Kind::OwnPlacement => Record::Placement(cluster.placement(own, 2 + turn)),
        Kind::Member => Record::Member(member(40 + turn, Incarnation(2 + turn))),
        Kind::Backend => {
            let id = cluster.backends_of(other).start;
            let mut record = cluster.backend(other, id);
            record.draining = true;
            Record::Backend(record)
        }
    }
}

/// Returns a service with a back end beside the measured agent.
fn own_service(cluster: &LargeCluster) -> u32 {
    let is_own = |service: &u32| {
        let mut backends = cluster.backends_of(*service);
        backends.any(|it| agent_of(it) == MEASURED_AGENT)
    };
    (1..100).find(is_own).expect("the agent has back ends")
}

fn balancer(stored: StoredView) -> BalancerNode {
    let mut settings = BalancerSettings::default();
    settings.link.controls = vec![CONTROL];
    let identity = identity("balancer-1", NodeRole::Balancer);
    BalancerNode::new(
        Timestamp::from_millis(1),
        settings,
        identity,
        1,
        Some(stored),
    )
}

fn agent(stored: StoredView) -> AgentNode {
    let mut settings = AgentSettings::default();
    settings.link.controls = vec![CONTROL];
    let identity = agent_identity(MEASURED_AGENT);
    AgentNode::new(
        Timestamp::from_millis(1),
        settings,
        identity,
        1,
        Some(stored),
    )
}

impl Subject for BalancerNode {
    fn handle(&mut self, now: Timestamp, envelope: Envelope) {
        self.handle_control(now, CONTROL, envelope);
        while self.poll_output().is_some() {}
    }

    fn node(&self) -> NodeId {
        self.link().identity().node
    }

    fn version(&self) -> u64 {
        self.link().view().version()
    }
}

impl Subject for AgentNode {
    fn handle(&mut self, now: Timestamp, envelope: Envelope) {
        self.handle_control(now, CONTROL, envelope);
        while self.poll_output().is_some() {}
    }

    fn node(&self) -> NodeId {
        self.link().identity().node
    }

    fn version(&self) -> u64 {
        self.link().view().version()
    }
}
