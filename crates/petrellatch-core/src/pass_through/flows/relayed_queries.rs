//! Flow queries that this agent relays to other agents for balancers.

use std::collections::{HashMap, VecDeque};
use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_proto::pass_through::{
    AggregatedFlowReply, AggregatedReplies, FlowMessage, FlowQuery, FlowsNotOwned, FlowsOwned,
    unpack_address,
};

use crate::time::Timestamp;

use super::agent_set::AgentSet;
use crate::pass_through::packet::FlowId;

/// How long the first replies are aggregated: agents of other zones reply within a few
/// milliseconds, and a balancer's round takes 60 ms.
const FIRST_GATHERING: Duration = Duration::from_millis(12);
/// How long later replies are aggregated.
const LATER_GATHERING: Duration = Duration::from_millis(25);
/// Later replies are dropped: the balancer has queried again.
const QUESTION_LIMIT: Duration = Duration::from_millis(600);
/// Maximum number of concurrent queries. Each balancer has a few of them and spreads them
/// over all agents. Above the limit the oldest query is dropped.
const MAX_QUESTIONS: usize = 512;

/// Replies for one flow of a query.
#[derive(Debug)]
struct FlowAnswers {
    flow: FlowId,
    certain: AgentSet,
    uncertain: AgentSet,
    held: AgentSet,
}

/// Reply of one agent for a flow.
#[derive(Clone, Copy, Debug)]
enum Answer {
    Certain,
    Uncertain,
    Held,
}

/// A balancer's query, with the replies so far.
#[derive(Debug)]
struct GatheredQuestion {
    balancer: SocketAddrV4,
    number: u64,
    /// Agents in the order of the query, this agent last.
    agents: Vec<SocketAddrV4>,
    flows: Vec<FlowAnswers>,
    /// Number of agents that haven't replied.
    awaited: usize,
    /// Time at which new replies are sent to the balancer.
    tell_at: Option<Timestamp>,
    ends_at: Timestamp,
}

/// All queries that this agent relays.
#[derive(Debug, Default)]
pub(crate) struct RelayedQueries {
    questions: VecDeque<GatheredQuestion>,
}

impl RelayedQueries {
    /// Begins to aggregate the replies to a balancer's query. `own` is the address of this
    /// agent, which replies like the others.
    pub(crate) fn begin(
        &mut self,
        now: Timestamp,
        balancer: SocketAddrV4,
        seek: &FlowQuery,
        own: SocketAddrV4,
    ) {
        if self.questions.len() == MAX_QUESTIONS {
            self.questions.pop_front();
        }
        let others = seek.relay_to.iter().copied().map(unpack_address);
        let agents: Vec<SocketAddrV4> = others.chain([own]).collect();
        let flows = seek.flows.iter().map(|sought| FlowAnswers {
            flow: sought.flow.into(),
            certain: AgentSet::default(),
            uncertain: AgentSet::default(),
            held: AgentSet::default(),
        });
        self.questions.push_back(GatheredQuestion {
            balancer,
            number: seek.query_id,
            flows: flows.collect(),
            awaited: agents.len(),
            agents,
            tell_at: None,
            ends_at: now + QUESTION_LIMIT,
        });
    }

    /// Handles an agent's reply about flows that it doesn't know.
    pub(crate) fn handle_flows_not_owned(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        lacks: &FlowsNotOwned,
    ) {
        let certain = lacks.not_owned.iter().map(|flow| (*flow, Answer::Certain));
        let uncertain = lacks
            .possibly_owned
            .iter()
            .map(|flow| (*flow, Answer::Uncertain));
        self.handle_answers(now, from, certain.chain(uncertain));
    }

    /// Handles an agent's reply about flows that its back end owns. The balancer gets it too.
    pub(crate) fn handle_flows_owned(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        holds: &FlowsOwned,
    ) {
        let held = holds.flows.iter().map(|held| (held.flow, Answer::Held));
        self.handle_answers(now, from, held);
    }

    fn handle_answers(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        answers: impl Iterator<Item = (FlowMessage, Answer)>,
    ) {
        let answers: HashMap<FlowId, Answer> =
            answers.map(|(flow, it)| (flow.into(), it)).collect();
        for question in &mut self.questions {
            question.handle_answers(now, from, &answers);
        }
    }

    /// Takes the messages to send to balancers now.
    pub(crate) fn take_due(&mut self, now: Timestamp) -> Vec<(SocketAddrV4, AggregatedReplies)> {
        let mut due = Vec::new();
        for question in &mut self.questions {
            if question.tell_at.is_some_and(|at| at <= now) {
                question.tell_at = None;
                due.push((question.balancer, question.answers()));
            }
        }
        self.questions
            .retain(|question| now < question.ends_at && !question.is_complete());
        due
    }

    /// When [`RelayedQueries::take_due`] returns messages next, or a query expires.
    pub(crate) fn poll_timeout(&self) -> Option<Timestamp> {
        let told = self.questions.iter().filter_map(|it| it.tell_at).min();
        let ended = self.questions.iter().map(|it| it.ends_at).min();
        told.into_iter().chain(ended).min()
    }
}

impl GatheredQuestion {
    fn handle_answers(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        answers: &HashMap<FlowId, Answer>,
    ) {
        let Some(agent) = self.agents.iter().position(|agent| *agent == from) else {
            return;
        };
        let mut is_news = false;
        for gathered in &mut self.flows {
            is_news |= match answers.get(&gathered.flow) {
                Some(Answer::Certain) => gathered.certain.insert(agent),
                Some(Answer::Uncertain) => gathered.uncertain.insert(agent),
                Some(Answer::Held) => gathered.held.insert(agent),
                None => false,
            };
        }
        if !is_news {
            return;
        }
        self.awaited = self.awaited.saturating_sub(1);
        let started_at = self.ends_at - QUESTION_LIMIT;
        let first_at = started_at + FIRST_GATHERING;
        let tell_at = match self.awaited {
            0 => now,
            _ if now <= first_at => first_at,
            _ => now + LATER_GATHERING,
        };
        self.tell_at = Some(self.tell_at.map_or(tell_at, |at| at.min(tell_at)));
    }

    /// Whether all agents have replied and the balancer was sent all replies.
    fn is_complete(&self) -> bool {
        self.awaited == 0 && self.tell_at.is_none()
    }

    fn answers(&self) -> AggregatedReplies {
        let flows = self.flows.iter().map(|answers| AggregatedFlowReply {
            flow: answers.flow.into(),
            not_owned: answers.certain.to_bytes(),
            possibly_owned: answers.uncertain.to_bytes(),
            owned: answers.held.to_bytes(),
        });
        AggregatedReplies {
            query_id: self.number,
            flows: flows.collect(),
        }
    }
}
