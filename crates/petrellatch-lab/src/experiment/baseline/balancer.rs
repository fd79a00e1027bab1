//! A balancer of a baseline.

use std::collections::HashMap;

use petrellatch_core::flow::PacketView;
use petrellatch_core::placement::FlowKey;
use rand::seq::IndexedRandom;

use crate::experiment::deployment::Deployment;
use crate::experiment::variant::BaselineKind;
use crate::simulator::engine::random::Random;

use super::tables::{BUCKETS, Configuration, ServiceTable};

/// Where a packet goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) backend: usize,
    /// Whom that machine asks if it does not have the flow.
    pub(super) previous: Option<usize>,
}

#[derive(Clone, Copy, Debug, Default)]
struct KnownLoad {
    reported: u32,
    /// New flows that this balancer sent there since the report.
    sent: u32,
}

/// One balancer.
pub(super) struct TableBalancer {
    pub(super) is_ready: bool,
    kind: BaselineKind,
    version: usize,
    configuration: Configuration,
    tables: Vec<ServiceTable>,
    flows: HashMap<FlowKey, usize>,
    loads: Vec<KnownLoad>,
}

impl TableBalancer {
    pub(super) fn new(
        deployment: &Deployment,
        configuration: &Configuration,
        kind: BaselineKind,
    ) -> Self {
        let services = 0..deployment.services.len();
        TableBalancer {
            is_ready: false,
            kind,
            version: 0,
            configuration: configuration.clone(),
            tables: services
                .map(|service| ServiceTable::new(service, configuration))
                .collect(),
            flows: HashMap::new(),
            loads: vec![KnownLoad::default(); deployment.backends().len()],
        }
    }

    /// Takes over a configuration unless a newer one is in force.
    pub(super) fn configure(&mut self, version: usize, configuration: &Configuration) {
        if version <= self.version {
            return;
        }
        self.version = version;
        self.configuration = configuration.clone();
        for (service, table) in self.tables.iter_mut().enumerate() {
            table.configure(service, configuration);
        }
    }

    pub(super) fn handle_report(&mut self, backend: usize, load: u32) {
        self.loads[backend] = KnownLoad {
            reported: load,
            sent: 0,
        };
    }

    /// Finds the back end by the tables.
    pub(super) fn route(&mut self, service: usize, view: &PacketView) -> Option<Target> {
        let bucket = view.key.bucket(BUCKETS);
        let table = &self.tables[service];
        let present = table.present(bucket)?;
        if self.kind == BaselineKind::OnePrevious {
            return Some(Target {
                backend: present,
                previous: table.previous(bucket),
            });
        }
        let backend = *self.flows.entry(view.key).or_insert(present);
        Some(Target {
            backend,
            previous: None,
        })
    }

    /// Chooses the less loaded one of two random back ends.
    pub(super) fn pick_of_two(&mut self, service: usize, random: &mut Random) -> Option<usize> {
        let receiving = self.configuration.receiving(service);
        let mut two: Vec<usize> = receiving.sample(random, 2).copied().collect();
        two.sort_by(|left, right| self.score(*left).total_cmp(&self.score(*right)));
        let picked = two.first().copied()?;
        self.loads[picked].sent += 1;
        Some(picked)
    }

    fn score(&self, backend: usize) -> f64 {
        let load = self.loads[backend];
        let weight = f64::from(self.configuration.weight(backend).max(1));
        f64::from(load.reported + load.sent + 1) / weight
    }
}
