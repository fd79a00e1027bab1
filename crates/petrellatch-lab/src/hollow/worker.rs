//! A thread that drives many hollow daemons.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io;
use std::sync::mpsc::{Receiver, Sender, TryRecvError, channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

use mio::{Events, Interest, Poll, Token};
use petrellatch_core::Timestamp;

use crate::support::process::ProcessClock;

use super::arrivals::Arrival;
use super::fleet::DaemonPlan;
use super::hollow_daemon::{HollowDaemon, Surroundings};
use super::orders::{DaemonReport, Order, Progress, WorkerReport};
use super::process_figures::thread_processor_time;
use super::udp::{LoopbackSocket, MAX_DATAGRAM_BYTES};

/// Receive buffer of one daemon, in bytes: a burst of snapshot parts.
const RECEIVE_BUFFER_BYTES: usize = 256 * 1024;

/// Longest sleep, so that orders are taken in time.
const LONGEST_SLEEP: Duration = Duration::from_millis(20);

/// Time between two looks at the progress of all daemons.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(100);

/// Events taken from the system in one go.
const EVENT_CAPACITY: usize = 1_024;

/// The handle of a worker's thread.
pub struct Worker {
    orders: Sender<Order>,
    progress: Arc<Mutex<Progress>>,
    thread: JoinHandle<()>,
}

impl Worker {
    /// Starts the thread.
    pub fn spawn(clock: ProcessClock, surroundings: Surroundings) -> io::Result<Self> {
        let (orders, inbox) = channel();
        let progress = Arc::new(Mutex::new(Progress::default()));
        let mut fleet = Fleet::new(clock, surroundings, inbox, Arc::clone(&progress))?;
        let builder = std::thread::Builder::new().name("daemons".to_owned());
        let thread = builder.spawn(move || fleet.run())?;
        Ok(Worker {
            orders,
            progress,
            thread,
        })
    }

    /// Gives an order. Orders to a thread that ended are lost.
    pub fn order(&self, order: Order) {
        let _ = self.orders.send(order);
    }

    /// How far the daemons are.
    pub fn progress(&self) -> Progress {
        *self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the measurement and waits for the report.
    pub fn end(&self) -> Option<WorkerReport> {
        let (sender, report) = channel();
        self.order(Order::End(sender));
        report.recv().ok()
    }

    /// Ends the thread.
    pub fn stop(self) {
        self.order(Order::Stop);
        let _ = self.thread.join();
    }
}

/// Daemons that wait for their start.
struct Starting {
    at: Timestamp,
    plan: DaemonPlan,
    version: u64,
}

/// The figures at the beginning of the measurement.
#[derive(Default)]
struct Baseline {
    at: Timestamp,
    processor_time: Duration,
    daemons: Vec<DaemonReport>,
    children: Vec<u64>,
    fences: u64,
}

struct Fleet {
    clock: ProcessClock,
    surroundings: Surroundings,
    inbox: Receiver<Order>,
    progress: Arc<Mutex<Progress>>,
    next_progress: Timestamp,
    poll: Poll,
    starting: Vec<Starting>,
    daemons: Vec<HollowDaemon>,
    /// When each daemon's next entry in `timers` is due.
    due: Vec<Timestamp>,
    timers: BinaryHeap<Reverse<(Timestamp, usize)>>,
    arrivals: Vec<Arrival>,
    baseline: Baseline,
    receive_buffer: Vec<u8>,
    send_buffer: Vec<u8>,
}

impl Fleet {
    fn new(
        clock: ProcessClock,
        surroundings: Surroundings,
        inbox: Receiver<Order>,
        progress: Arc<Mutex<Progress>>,
    ) -> io::Result<Self> {
        Ok(Fleet {
            clock,
            surroundings,
            inbox,
            progress,
            next_progress: Timestamp::ZERO,
            poll: Poll::new()?,
            starting: Vec::new(),
            daemons: Vec::new(),
            due: Vec::new(),
            timers: BinaryHeap::new(),
            arrivals: Vec::new(),
            baseline: Baseline::default(),
            receive_buffer: vec![0; MAX_DATAGRAM_BYTES],
            send_buffer: Vec::new(),
        })
    }

    fn run(&mut self) {
        let mut events = Events::with_capacity(EVENT_CAPACITY);
        while self.take_orders() {
            self.start_daemons();
            let sleep = self.sleep();
            if self.poll.poll(&mut events, Some(sleep)).is_err() {
                continue;
            }
            for event in &events {
                self.receive(event.token().0);
            }
            self.handle_timers();
            self.note_progress();
        }
    }

    fn take_orders(&mut self) -> bool {
        loop {
            match self.inbox.try_recv() {
                Ok(Order::Stop) | Err(TryRecvError::Disconnected) => return false,
                Ok(order) => self.carry_out(order),
                Err(TryRecvError::Empty) => return true,
            }
        }
    }

    fn carry_out(&mut self, order: Order) {
        let now = self.clock.now();
        match order {
            Order::Start {
                plans,
                version,
                spread,
            } => self.schedule_start(now, plans, version, spread),
            Order::Begin => self.begin(now),
            Order::End(sender) => {
                let report = self.end(now);
                let _ = sender.send(report);
            }
            Order::RestartAll => {
                for index in 0..self.daemons.len() {
                    self.with_daemon(now, index, HollowDaemon::restart);
                }
            }
            Order::Restart(index) => self.with_daemon(now, index, HollowDaemon::stop),
            Order::Fail(index) => self.with_daemon(now, index, HollowDaemon::fail),
            Order::Stop => {}
        }
    }

    fn schedule_start(
        &mut self,
        now: Timestamp,
        plans: Vec<DaemonPlan>,
        version: u64,
        spread: Duration,
    ) {
        let count = u32::try_from(plans.len().max(1)).unwrap_or(u32::MAX);
        let step = spread / count;
        let mut at = now;
        for plan in plans {
            self.starting.push(Starting { at, plan, version });
            at = at + step;
        }
        // The next one to start is the last in the list.
        self.starting.reverse();
    }

    fn start_daemons(&mut self) {
        let now = self.clock.now();
        while self.starting.last().is_some_and(|next| next.at <= now) {
            let Some(next) = self.starting.pop() else {
                return;
            };
            if let Err(error) = self.start(now, next) {
                eprintln!("a daemon could not be started: {error}");
            }
        }
    }

    fn start(&mut self, now: Timestamp, starting: Starting) -> io::Result<()> {
        let mut socket = LoopbackSocket::open(RECEIVE_BUFFER_BYTES)?;
        let index = self.daemons.len();
        let registry = self.poll.registry();
        registry.register(&mut socket.socket, Token(index), Interest::READABLE)?;
        let version = starting.version;
        let surroundings = &self.surroundings;
        let daemon = HollowDaemon::start(now, starting.plan, surroundings, socket, version);
        self.daemons.push(daemon);
        self.due.push(Timestamp::ZERO);
        self.reschedule(index);
        Ok(())
    }

    fn sleep(&self) -> Duration {
        let now = self.clock.now();
        let timer = self.timers.peek().map(|Reverse((at, _))| *at);
        let next = timer.map_or(LONGEST_SLEEP, |at| at.saturating_since(now));
        next.min(LONGEST_SLEEP)
    }

    fn receive(&mut self, index: usize) {
        loop {
            let now = self.clock.now();
            let Some(daemon) = self.daemons.get_mut(index) else {
                return;
            };
            let has_more = daemon.receive(now, &mut self.receive_buffer);
            daemon.flush(now, &mut self.send_buffer, &mut self.arrivals);
            if !has_more {
                break;
            }
        }
        self.reschedule(index);
    }

    fn handle_timers(&mut self) {
        let now = self.clock.now();
        while let Some(Reverse((at, index))) = self.timers.peek().copied() {
            if at > now {
                return;
            }
            self.timers.pop();
            // Only the newest entry of a daemon counts.
            if self.due[index] == at {
                self.due[index] = Timestamp::ZERO;
                self.with_daemon(now, index, HollowDaemon::handle_timeout);
            }
        }
    }

    fn with_daemon(
        &mut self,
        now: Timestamp,
        index: usize,
        act: impl FnOnce(&mut HollowDaemon, Timestamp),
    ) {
        let Some(daemon) = self.daemons.get_mut(index) else {
            return;
        };
        act(daemon, now);
        daemon.flush(now, &mut self.send_buffer, &mut self.arrivals);
        self.reschedule(index);
    }

    fn reschedule(&mut self, index: usize) {
        let at = self.daemons[index].poll_timeout();
        if self.due[index] != at {
            self.due[index] = at;
            self.timers.push(Reverse((at, index)));
        }
    }

    fn note_progress(&mut self) {
        let now = self.clock.now();
        if now < self.next_progress {
            return;
        }
        self.next_progress = now + PROGRESS_INTERVAL;
        let daemons = &self.daemons;
        let progress = Progress {
            started: daemons.len(),
            serving: daemons.iter().filter(|it| it.is_serving(now)).count(),
            least_version: daemons.iter().map(HollowDaemon::version).min().unwrap_or(0),
        };
        *self.progress.lock().unwrap_or_else(PoisonError::into_inner) = progress;
    }

    fn begin(&mut self, now: Timestamp) {
        self.arrivals.clear();
        self.baseline = Baseline {
            at: now,
            processor_time: thread_processor_time(),
            daemons: self.daemons.iter().map(totals).collect(),
            children: self.daemons.iter().map(|it| it.sent_to_children).collect(),
            fences: self.daemons.iter().map(|it| it.fences).sum(),
        };
    }

    fn end(&mut self, now: Timestamp) -> WorkerReport {
        let baseline = std::mem::take(&mut self.baseline);
        let before = baseline.daemons.iter().zip(&baseline.children);
        let daemons = self.daemons.iter().zip(before);
        let daemons = daemons.map(|(daemon, (earlier, children))| DaemonReport {
            received: daemon.received.since(&earlier.received),
            sent: daemon.sent.since(&earlier.sent),
            is_relay: daemon.sent_to_children > *children,
        });
        let fences: u64 = self.daemons.iter().map(|it| it.fences).sum();
        WorkerReport {
            elapsed: now.saturating_since(baseline.at),
            processor_time: thread_processor_time().saturating_sub(baseline.processor_time),
            daemons: daemons.collect(),
            arrivals: std::mem::take(&mut self.arrivals),
            fences: fences - baseline.fences,
        }
    }
}

fn totals(daemon: &HollowDaemon) -> DaemonReport {
    DaemonReport {
        received: daemon.received,
        sent: daemon.sent,
        is_relay: false,
    }
}
