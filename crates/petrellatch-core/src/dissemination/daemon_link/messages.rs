//! What a daemon's link does with the messages that arrive.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use petrellatch_proto::dissemination::{
    Attach, HeartbeatReply, HeartbeatReplyEntry, SnapshotPart, Update,
};
use petrellatch_proto::envelope::Body;
use petrellatch_proto::record::RecordKey;

use crate::event::{Event, EventKind};
use crate::identity::NodeId;
use crate::time::Timestamp;

use super::super::backoff::jitter;
use super::super::disseminated_view::DisseminatedView;
use super::super::link_output::LinkOutput;
use super::super::snapshot_assembly::SnapshotAssembly;
use super::DaemonLink;

impl<View: DisseminatedView> DaemonLink<View> {
    pub(super) fn handle_body(
        &mut self,
        now: Timestamp,
        from: SocketAddrV4,
        sender: NodeId,
        body: &Body,
    ) {
        match body {
            Body::Update(update) => self.handle_update(now, update),
            Body::SnapshotPart(part) => self.handle_snapshot_part(now, from, part),
            Body::Attach(attach) => self.handle_attach(now, attach),
            Body::HeartbeatReply(reply) => self.handle_reply(now, from, reply),
            _ => self.handle_child(now, from, sender, body),
        }
    }

    fn handle_child(&mut self, now: Timestamp, from: SocketAddrV4, sender: NodeId, body: &Body) {
        let Some(relay) = &mut self.relay else {
            return;
        };
        let view = self.updater.view();
        match body {
            Body::Subscribe(subscribe) => {
                relay.handle_subscribe(now, from, sender, subscribe, view);
            }
            Body::SnapshotRequest(request) => {
                relay.handle_snapshot_request(now, from, sender, request, view);
            }
            Body::Heartbeat(heartbeat) => {
                relay.handle_heartbeat(now, from, sender, heartbeat, view)
            }
            _ => {}
        }
    }

    fn handle_update(&mut self, now: Timestamp, update: &Update) {
        let outcome = self.updater.apply_update(update);
        if let Some(relay) = &mut self.relay {
            relay.publish(now, &outcome.applied, self.updater.view());
        }
        if outcome.has_gap {
            self.newest_known = self.newest_known.max(outcome.newest);
            self.subscription.lags(now, &mut self.random);
        }
        if outcome.applied.is_empty() {
            let lagging = self.is_lagging();
            self.subscription.answered(lagging);
            return;
        }
        self.after_change(now, outcome.keys);
    }

    fn handle_snapshot_part(&mut self, now: Timestamp, from: SocketAddrV4, part: &SnapshotPart) {
        if !self.updater.wants_snapshot(part.version) {
            return;
        }
        self.newest_known = self.newest_known.max(part.version);
        let parent = self.parents.current().map(|parent| parent.control);
        match &mut self.assembly {
            Some(assembly) if !assembly.is_replaced_by(parent, from, part) => assembly.insert(part),
            _ => self.assembly = SnapshotAssembly::start(from, part),
        }
        let complete = self.assembly.take_if(|assembly| assembly.is_complete());
        match complete {
            Some(assembly) => self.apply_snapshot(now, assembly),
            None => self.subscription.progressed(now, true, &mut self.random),
        }
    }

    fn apply_snapshot(&mut self, now: Timestamp, assembly: SnapshotAssembly) {
        let version = assembly.version();
        let keys = self.updater.replace(version, &assembly.into_records());
        if let Some(relay) = &mut self.relay {
            relay.restart(now, self.updater.view());
        }
        self.emit_event(Event::new(
            EventKind::SnapshotApplied,
            format!("version {version}"),
        ));
        self.after_change(now, keys);
    }

    fn after_change(&mut self, now: Timestamp, keys: BTreeSet<RecordKey>) {
        let version = self.view().version();
        self.newest_known = self.newest_known.max(version);
        let obsolete = |assembly: &mut SnapshotAssembly| assembly.version() <= version;
        self.assembly.take_if(obsolete);
        let lagging = self.is_lagging();
        self.subscription.progressed(now, lagging, &mut self.random);
        let keys = keys.into_iter().collect();
        self.outputs.push_back(LinkOutput::Changed { keys });
        self.become_current();
        self.heartbeats.hasten(now);
    }

    fn handle_attach(&mut self, now: Timestamp, attach: &Attach) {
        if self.parents.attach(attach, self.identity.node) {
            self.use_parent(now);
        }
    }

    fn handle_reply(&mut self, now: Timestamp, from: SocketAddrV4, reply: &HeartbeatReply) {
        if let Some(relay) = &mut self.relay {
            relay.handle_reply(reply);
        }
        let own_life = (self.identity.node.0, self.identity.incarnation.0);
        let own = reply
            .entries
            .iter()
            .filter(|answer| (answer.node, answer.incarnation) == own_life);
        for answer in own {
            self.handle_answer(now, from, answer);
        }
        self.become_current();
        if self.is_lagging() {
            self.subscription.lags(now, &mut self.random);
        }
        if let Some(event) = self.lease.take_event() {
            self.emit_event(event);
        }
    }

    fn handle_answer(&mut self, now: Timestamp, from: SocketAddrV4, answer: &HeartbeatReplyEntry) {
        let Some(sent_at) = self.heartbeats.handle_answer(now, answer) else {
            return;
        };
        self.newest_known = self.newest_known.max(answer.version);
        self.required.get_or_insert(answer.version);
        if answer.fenced {
            self.report_fence();
        }
        let counts_from = if self.settings.mutations.lease_from_arrival {
            now
        } else {
            sent_at
        };
        if !answer.fenced
            && let Some(until) = self
                .lease
                .renew(now, counts_from, answer.lease_milliseconds)
        {
            self.outputs.push_back(LinkOutput::Lease(until));
        }
        let in_use = self.parents.current().map(|parent| parent.control);
        if in_use == Some(from) {
            let margin = jitter(&mut self.random, self.settings.heartbeat_interval);
            self.silence_deadline = now + self.settings.parent_silence_limit + margin;
        }
    }

    fn report_fence(&mut self) {
        if !self.fenced {
            self.fenced = true;
            self.outputs.push_back(LinkOutput::Fenced);
        }
    }
}
