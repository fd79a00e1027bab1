//! The back ends of a run.

use std::collections::BTreeSet;
use std::time::Duration;

use petrellatch_core::Timestamp;
use petrellatch_core::agent_node::BackendEvent;

use crate::experiment::flow::{Message, MessageKind};
use crate::experiment::server::{Intake, Job};
use crate::experiment::system::{Connection, System};

use super::{Emulator, Event, LOCAL_DELAY};

impl<S: System> Emulator<S> {
    pub(super) fn notify(&mut self, connection: Connection, event: BackendEvent) {
        self.after(LOCAL_DELAY, Event::FromServer { connection, event });
    }

    pub(super) fn connect(&mut self, now: Timestamp, connection: Connection) {
        let event = if self.servers[connection.backend].accepts(now) {
            self.connections.insert(connection);
            BackendEvent::Connected
        } else {
            BackendEvent::ConnectFailed
        };
        self.notify(connection, event);
    }

    pub(super) fn disconnect(&mut self, connection: Connection) {
        self.connections.remove(&connection);
        self.servers[connection.backend].forget(connection);
    }

    /// All connections of a back end are gone.
    pub(super) fn drop_connections(&mut self, backend: usize) {
        let all = std::mem::take(&mut self.connections);
        let (gone, kept) = all.into_iter().partition(|it| it.backend == backend);
        self.connections = kept;
        let gone: BTreeSet<Connection> = gone;
        for connection in gone {
            self.notify(connection, BackendEvent::Reset);
        }
    }

    pub(super) fn serve(&mut self, now: Timestamp, connection: Connection, bytes: &[u8]) {
        let place = self.places[connection.backend];
        if !self.servers[connection.backend].is_up {
            return;
        }
        let Some(request) = Message::parse(bytes) else {
            self.measures.misrouted += 1;
            return;
        };
        if usize::from(request.service) != place.service {
            self.measures.misrouted += 1;
            return;
        }
        let job = Job {
            connection,
            request: request.request,
            service_time: Duration::from_micros(request.service_micros),
            arrived_at: now,
        };
        match self.servers[connection.backend].take(now, job) {
            Intake::Runs(duration) => self.begin_job(now, job, duration),
            Intake::Waits => {}
            Intake::Shed => self.answer(job, MessageKind::Shed),
        }
    }

    pub(super) fn begin_job(&mut self, now: Timestamp, job: Job, duration: Duration) {
        let backend = job.connection.backend;
        let wait = now.saturating_since(job.arrived_at);
        let wanted_at = self.callers.wanted_at(job.request);
        let delay = wanted_at.map(|at| now.saturating_since(at));
        self.measures.begin_job(backend, job.request, wait, delay);
        let life = self.servers[backend].life;
        self.after(duration, Event::JobEnds { life, job });
    }

    pub(super) fn end_job(&mut self, now: Timestamp, life: u32, job: Job) {
        let server = &mut self.servers[job.connection.backend];
        if server.life != life {
            return;
        }
        let next = server.finish(now);
        self.answer(job, MessageKind::Answer);
        if let Some((job, duration)) = next {
            self.begin_job(now, job, duration);
        }
    }

    pub(super) fn answer(&mut self, job: Job, kind: MessageKind) {
        let place = self.places[job.connection.backend];
        let message = Message {
            kind,
            service: u8::try_from(place.service).unwrap_or(u8::MAX),
            request: job.request,
            service_micros: 0,
        };
        self.notify(job.connection, BackendEvent::Data(message.to_bytes()));
    }
}
