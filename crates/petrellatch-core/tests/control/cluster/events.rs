//! What happens in the cluster, one moment after another.

use std::net::SocketAddrV4;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::consensus::PersistRequest;
use petrellatch_core::control::{ControlNode, ControlOutput};
use petrellatch_core::dissemination::{DaemonLink, LinkOutput};
use petrellatch_core::identity::Incarnation;
use petrellatch_proto::envelope::Envelope;
use prost::Message;
use rand::RngExt;

use super::{Cluster, Event, SYNC_TIME, control_address};

impl Cluster {
    pub(super) fn step(&mut self, end: Timestamp) -> bool {
        let event = self.queue.keys().next().map(|key| key.0);
        let nodes = self.controls.iter().filter_map(|it| it.node.as_ref());
        let control = nodes.filter_map(ControlNode::poll_timeout).min();
        let links = self.daemons.values().map(|it| &it.link);
        let link = links.filter_map(DaemonLink::poll_timeout).min();
        let Some(next) = [event, control, link].into_iter().flatten().min() else {
            return false;
        };
        if next > end {
            return false;
        }
        self.now = self.now.max(next);
        self.handle_events();
        self.handle_timeouts();
        self.check_leases();
        true
    }

    fn handle_events(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            match entry.remove() {
                Event::Deliver { from, to, envelope } => self.deliver(from, to, envelope),
                Event::Synced {
                    node,
                    life,
                    request,
                } => self.synced(node, life, &request),
            }
        }
    }

    fn deliver(&mut self, from: SocketAddrV4, to: SocketAddrV4, envelope: Envelope) {
        let is_cut = self.cut.contains(&from) || self.cut.contains(&to);
        if is_cut || self.cut_pairs.contains(&(from, to)) {
            return;
        }
        *self.received_bytes.entry(to).or_default() += envelope.encoded_len() as u64;
        if let Some(daemon) = self.daemons.get_mut(&to) {
            daemon.link.handle_control(self.now, from, &envelope);
            self.flush_daemon(to);
            return;
        }
        let index = usize::from(to.port() - 1);
        if let Some(node) = &mut self.controls[index].node {
            node.handle_control(self.now, from, envelope);
            self.flush_control(index);
        }
    }

    fn synced(&mut self, index: usize, life: u64, request: &PersistRequest) {
        let control = &mut self.controls[index];
        if control.life != life || control.node.is_none() {
            return;
        }
        control.disk.apply(request);
        if let Some(node) = &mut control.node {
            node.handle_persisted(self.now, request.ticket);
            self.flush_control(index);
        }
    }

    fn handle_timeouts(&mut self) {
        let now = self.now;
        let is_due = |at: Option<Timestamp>| at.is_some_and(|at| at <= now);
        for index in 0..self.controls.len() {
            if let Some(node) = &mut self.controls[index].node
                && is_due(node.poll_timeout())
            {
                node.handle_timeout(now);
                self.flush_control(index);
            }
        }
        let daemons = self.daemons.iter();
        let due: Vec<SocketAddrV4> = daemons
            .filter(|(_, daemon)| is_due(daemon.link.poll_timeout()))
            .map(|(address, _)| *address)
            .collect();
        for address in due {
            let daemon = self.daemons.get_mut(&address).expect("known");
            daemon.link.handle_timeout(now);
            self.flush_daemon(address);
        }
    }

    pub(super) fn flush_control(&mut self, index: usize) {
        loop {
            let control = &mut self.controls[index];
            let Some(output) = control.node.as_mut().and_then(ControlNode::poll_output) else {
                return;
            };
            match output {
                ControlOutput::Send { to, envelope } => {
                    self.send(control_address(index), to, envelope);
                }
                ControlOutput::Persist(request) => {
                    let event = Event::Synced {
                        node: index,
                        life: control.life,
                        request,
                    };
                    self.schedule(SYNC_TIME, event);
                }
                ControlOutput::Respond { token, result } => {
                    self.responses.insert(token, result);
                }
                ControlOutput::Event(_) => {}
                ControlOutput::Failed { message } => panic!("control {index}: {message}"),
            }
        }
    }

    pub(super) fn flush_daemon(&mut self, address: SocketAddrV4) {
        loop {
            let daemon = self.daemons.get_mut(&address).expect("known");
            match daemon.link.poll_output() {
                Some(LinkOutput::Send { to, envelope }) => self.send(address, to, envelope),
                Some(LinkOutput::Fenced) => {
                    daemon.lives += 1;
                    let next = Incarnation(daemon.link.identity().incarnation.0 + 1);
                    daemon.link.new_life(self.now, next);
                }
                Some(_) => {}
                None => return,
            }
        }
    }

    pub(super) fn send(&mut self, from: SocketAddrV4, to: SocketAddrV4, envelope: Envelope) {
        *self.sent_bytes.entry(from).or_default() += envelope.encoded_len() as u64;
        if self.random.random_bool(self.faults.loss) {
            return;
        }
        let copies = 1 + u64::from(self.random.random_bool(self.faults.duplication));
        for _ in 0..copies {
            let jitter = self.random.random_range(0..=self.faults.jitter_micros);
            let event = Event::Deliver {
                from,
                to,
                envelope: envelope.clone(),
            };
            let slow = self.slow.get(&to).copied().unwrap_or_default();
            self.schedule(slow + Duration::from_micros(500 + jitter), event);
        }
    }

    pub(super) fn schedule(&mut self, delay: Duration, event: Event) {
        self.events += 1;
        self.queue.insert((self.now + delay, self.events), event);
    }

    /// Whoever holds a valid lease must be a member in the newest view.
    pub(super) fn check_leases(&mut self) {
        if self.view().version() > self.newest_view.version() {
            self.newest_view = self.view().clone();
        }
        let view = &self.newest_view;
        let mut found = Vec::new();
        for daemon in self.daemons.values() {
            let identity = daemon.link.identity();
            let is_valid = daemon.link.lease_until().is_some_and(|at| at > self.now);
            if is_valid && !view.is_member(identity.node, identity.incarnation) {
                found.push(format!("{} at {}", identity.name, self.now));
            }
        }
        self.violations.extend(found);
    }
}
