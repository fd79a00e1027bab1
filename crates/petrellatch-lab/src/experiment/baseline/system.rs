//! A baseline as a system under test.

use petrellatch_core::Timestamp;
use petrellatch_core::agent_node::BackendEvent;
use petrellatch_core::flow::PacketView;

use crate::experiment::churn::ChurnAction;
use crate::experiment::deployment::FIRST_BALANCERS;
use crate::experiment::emulator::{backend_ip, balancer_ip};
use crate::experiment::server::Server;
use crate::experiment::system::{Connection, Effect, System, SystemTotals};

use super::{
    Baseline, BaselineEffects, BaselineEvent, DETECTION_TIME, RECOVERY_TIME, REPORT_INTERVAL,
    START_TIME,
};

impl System for Baseline {
    type Event = BaselineEvent;

    fn start(&mut self, _now: Timestamp) -> BaselineEffects {
        for balancer in &mut self.balancers[..FIRST_BALANCERS] {
            balancer.is_ready = true;
        }
        vec![Effect::Schedule(REPORT_INTERVAL, BaselineEvent::Report)]
    }

    fn is_ready(&self, balancer: usize) -> bool {
        self.balancers[balancer].is_ready
    }

    fn handle_packet(
        &mut self,
        _now: Timestamp,
        balancer: usize,
        packet: Vec<u8>,
    ) -> BaselineEffects {
        self.totals.packets += 1;
        let Ok(view) = PacketView::parse(&packet) else {
            return Vec::new();
        };
        let Some(target) = self.route(balancer, &view) else {
            *self.totals.drops.entry("NoBackend".to_owned()).or_default() += 1;
            return Vec::new();
        };
        let arrivals = self
            .network
            .send(balancer_ip(balancer), backend_ip(target.backend));
        let event = BaselineEvent::AtHost {
            backend: target.backend,
            previous: target.previous,
            packet,
        };
        let delay = arrivals.first;
        delay
            .map(|delay| Effect::Schedule(delay, event))
            .into_iter()
            .collect()
    }

    fn handle_event(
        &mut self,
        now: Timestamp,
        event: BaselineEvent,
        servers: &[Server],
    ) -> BaselineEffects {
        let mut effects = Vec::new();
        match event {
            BaselineEvent::AtHost {
                backend,
                previous,
                packet,
            } => self.at_host(now, backend, previous, packet, &mut effects),
            BaselineEvent::FlowDue { backend, flow } => {
                self.hosts[backend].handle_due(now, flow, &mut effects);
            }
            BaselineEvent::Configured { balancer, version } => {
                let configuration = &self.configurations[version];
                self.balancers[balancer].configure(version, configuration);
            }
            BaselineEvent::Health { backend, is_well } => {
                self.reconfigure(now, &mut effects, |it| it.well[backend] = is_well);
            }
            BaselineEvent::Report => self.report(now, servers, &mut effects),
            BaselineEvent::Reported {
                balancer,
                backend,
                load,
            } => self.balancers[balancer].handle_report(backend, load),
            BaselineEvent::Ready { balancer } => self.balancers[balancer].is_ready = true,
        }
        effects
    }

    fn handle_backend(
        &mut self,
        now: Timestamp,
        connection: Connection,
        event: BackendEvent,
    ) -> BaselineEffects {
        let mut effects = Vec::new();
        self.hosts[connection.backend].handle_backend(now, connection, event, &mut effects);
        effects
    }

    fn handle_churn(&mut self, now: Timestamp, action: &ChurnAction) -> BaselineEffects {
        let mut effects = Vec::new();
        match action {
            ChurnAction::BalancerJoins(balancer) => {
                let version = self.configurations.len() - 1;
                let balancer = *balancer;
                self.balancers[balancer].configure(version, &self.configurations[version]);
                let event = BaselineEvent::Ready { balancer };
                effects.push(Effect::Schedule(START_TIME, event));
            }
            ChurnAction::BalancerStops(balancer) | ChurnAction::BalancerDies(balancer) => {
                self.balancers[*balancer].is_ready = false;
            }
            ChurnAction::BalancerLags(balancer, duration) => {
                self.lags_until[*balancer] = now + *duration;
            }
            ChurnAction::DrainBegins(backend) => {
                self.reconfigure(now, &mut effects, |it| it.draining[*backend] = true);
            }
            ChurnAction::DrainEnds(backend) => {
                self.reconfigure(now, &mut effects, |it| it.draining[*backend] = false);
            }
            ChurnAction::BackendDies(backend) => {
                self.hosts[*backend].die();
                Baseline::health_after(&mut effects, DETECTION_TIME, *backend, false);
            }
            ChurnAction::ServerCrashes(backend) => {
                Baseline::health_after(&mut effects, DETECTION_TIME, *backend, false);
            }
            ChurnAction::ServerRestarts(backend) => {
                Baseline::health_after(&mut effects, RECOVERY_TIME, *backend, true);
            }
            ChurnAction::BackendReturns(backend) => {
                self.hosts[*backend].start();
                Baseline::health_after(&mut effects, RECOVERY_TIME, *backend, true);
            }
            ChurnAction::PolicyChanges { zone, weight } => {
                self.reconfigure(now, &mut effects, |it| it.set_policy(*zone, *weight));
            }
            ChurnAction::BackendSheds(backend, duration) => {
                Baseline::health_after(&mut effects, DETECTION_TIME, *backend, false);
                let recovery = *duration + RECOVERY_TIME;
                Baseline::health_after(&mut effects, recovery, *backend, true);
            }
            ChurnAction::BackendCutOff(..) | ChurnAction::BackendLies(..) => {}
        }
        effects
    }

    fn totals(&self) -> SystemTotals {
        self.totals.clone()
    }
}
