//! Questions for flows that balancers do not know.

use std::net::SocketAddrV4;

use petrellatch_proto::pass_through::{
    AgentState, HeldFlow, Holds, Lacks, PassThroughBody, Seek, SoughtFlow, pack_address,
    unpack_address,
};

use super::PassThroughAgent;
use crate::pass_through::packet::{FlowId, PacketCodec};
use crate::time::Timestamp;

impl<C: PacketCodec> PassThroughAgent<C> {
    pub(super) fn handle_seek(&mut self, now: Timestamp, from: SocketAddrV4, seek: &Seek) {
        let balancer = match seek.origin {
            0 => from,
            origin => unpack_address(origin),
        };
        self.balancers.insert(balancer, now);
        let gone = seek.flows.iter().filter(|sought| self.seeks_gone(sought));
        let gone: Vec<SoughtFlow> = gone.cloned().collect();
        for sought in &gone {
            self.answer_gone(now, balancer, sought);
        }
        let (holds, lacks) = self.answer(now, seek);
        if !seek.others.is_empty() {
            self.ask_others(now, balancer, seek);
            let own = self.settings.address;
            self.gathered.handle_holds(now, own, &holds);
            self.gathered.handle_lacks(now, own, &lacks);
        } else if !lacks.certain.is_empty() || !lacks.uncertain.is_empty() {
            self.send(from, PassThroughBody::Lacks(lacks));
        }
        if holds.flows.is_empty() {
            return;
        }
        if from != balancer {
            self.send(from, PassThroughBody::Holds(holds.clone()));
        }
        self.send(balancer, PassThroughBody::Holds(holds));
    }

    /// What this agent knows of the flows in a question.
    fn answer(&self, now: Timestamp, seek: &Seek) -> (Holds, Lacks) {
        let knows_all = self.knows_all_flows(now);
        let mut holds = Holds::default();
        let mut lacks = Lacks::default();
        for sought in &seek.flows {
            let flow = FlowId::from(sought.flow);
            let known = self.flows.get(flow);
            if let Some(known) = known.filter(|it| it.owns(sought.acknowledged)) {
                holds.flows.push(HeldFlow {
                    flow: sought.flow,
                    sequence: known.sequence,
                });
            } else if knows_all || self.tried.was_returned(flow) || self.seeks_gone(sought) {
                lacks.certain.push(sought.flow);
            } else {
                lacks.uncertain.push(sought.flow);
            }
        }
        (holds, lacks)
    }

    /// Asks other agents on behalf of a balancer. Who has a flow tells the
    /// balancer; who lacks one tells this agent.
    fn ask_others(&mut self, now: Timestamp, balancer: SocketAddrV4, seek: &Seek) {
        self.gathered
            .begin(now, balancer, seek, self.settings.address);
        let passed_on = Seek {
            flows: seek.flows.clone(),
            origin: pack_address(balancer),
            ..Seek::default()
        };
        for other in &seek.others {
            let passed_on = PassThroughBody::Seek(passed_on.clone());
            self.send(unpack_address(*other), passed_on);
        }
    }

    /// Tells balancers what others have answered.
    pub(super) fn tell_gathered(&mut self, now: Timestamp) {
        for (balancer, lacks) in self.gathered.take_due(now) {
            self.send(balancer, PassThroughBody::GatheredAnswers(lacks));
        }
    }

    /// Whether every flow of the back end is known: this life of the agent has
    /// seen the back end begin, or lasts longer than any flow, or no back end
    /// has called or spoken for so long that there is none. A back end whose
    /// first calls come here has begun with this life, if there was none before.
    pub(super) fn knows_all_flows(&self, now: Timestamp) -> bool {
        let age = now.saturating_since(self.started_at);
        let is_first_life = self.had_former_life == Some(false);
        self.settings.first_start
            || self.registration.was_replaced()
            || (is_first_life && self.registration.called_early())
            || age >= self.settings.flow_lifetime
            || (self.state(now) == AgentState::Empty && !self.registration.has_called())
    }
}
