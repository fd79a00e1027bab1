//! What happens to the balancers and back ends of a run.

use petrellatch_core::Timestamp;

use crate::experiment::churn::ChurnAction;
use crate::experiment::system::System;

use super::fabric::NOTICE_TIME;
use super::{Emulator, Event};

impl<S: System> Emulator<S> {
    pub(super) fn churn(&mut self, now: Timestamp, number: usize) {
        let action = self.churn[number].action.clone();
        self.last_cause = action.cause();
        match &action {
            ChurnAction::BalancerJoins(balancer) => self.fabric.start(*balancer),
            ChurnAction::BalancerStops(balancer) => self.fabric.begin_stop(*balancer),
            ChurnAction::BalancerDies(balancer) => {
                self.fabric.kill(*balancer);
                let balancer = *balancer;
                self.after(NOTICE_TIME, Event::Delist { balancer });
            }
            ChurnAction::DrainBegins(backend) => self.draining[*backend] = true,
            ChurnAction::DrainEnds(backend) => self.draining[*backend] = false,
            ChurnAction::BackendDies(backend) => self.servers[*backend].die(),
            ChurnAction::BackendReturns(backend) | ChurnAction::ServerRestarts(backend) => {
                self.servers[*backend].start(now);
            }
            ChurnAction::ServerCrashes(backend) => {
                self.servers[*backend].die();
                self.drop_connections(*backend);
            }
            ChurnAction::PolicyChanges { zone, weight } => {
                self.policy_weight.fill(1_000);
                self.policy_weight[*zone] = *weight;
            }
            ChurnAction::BackendSheds(backend, duration) => {
                self.servers[*backend].sheds_until = now + *duration;
            }
            ChurnAction::BackendLies(backend, duration) => {
                self.servers[*backend].lies_until = now + *duration;
            }
            ChurnAction::BalancerLags(..) | ChurnAction::BackendCutOff(..) => {}
        }
        let effects = self.system.handle_churn(now, &action);
        self.carry_out(effects);
    }
}
