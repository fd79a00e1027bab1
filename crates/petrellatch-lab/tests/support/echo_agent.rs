//! Two balancers and an agent in one thread: terminates the flows that arrive
//! on either UDP port and echoes their bytes.

use std::collections::BTreeMap;
use std::net::{SocketAddr, SocketAddrV4, UdpSocket};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

use petrellatch_lab::fabric::packet::{PacketAddresses, reset_for};
use petrellatch_lab::support::process::{ProcessClock, StopFlag};

use super::server_flow::{Behaviour, Observations, ServerFlow};

/// A running agent; it stops when dropped.
pub struct EchoAgent {
    pub balancers: [SocketAddr; 2],
    pub observations: Arc<Observations>,
    fabric: Arc<Mutex<Option<SocketAddr>>>,
    stop: StopFlag,
    thread: Option<JoinHandle<()>>,
}

impl EchoAgent {
    pub fn start(behaviour: Behaviour) -> EchoAgent {
        let sockets = [bind(), bind()];
        let balancers = [
            sockets[0].local_addr().unwrap(),
            sockets[1].local_addr().unwrap(),
        ];
        let observations = Arc::new(Observations::default());
        let fabric = Arc::new(Mutex::new(None));
        let stop = StopFlag::default();
        let mut worker = Worker {
            sockets,
            fabric: Arc::clone(&fabric),
            observations: Arc::clone(&observations),
            behaviour,
            flows: BTreeMap::new(),
            clock: ProcessClock::start(),
        };
        let worker_stop = stop.clone();
        let thread = std::thread::spawn(move || worker.run(&worker_stop));
        EchoAgent {
            balancers,
            observations,
            fabric,
            stop,
            thread: Some(thread),
        }
    }

    /// Tells the agent where answers go.
    pub fn set_fabric(&self, address: SocketAddr) {
        *self.fabric.lock().unwrap() = Some(address);
    }
}

impl Drop for EchoAgent {
    fn drop(&mut self) {
        self.stop.set();
        let _ = self.thread.take().map(JoinHandle::join);
    }
}

fn bind() -> UdpSocket {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket
        .set_read_timeout(Some(Duration::from_micros(500)))
        .unwrap();
    socket
}

struct Worker {
    sockets: [UdpSocket; 2],
    fabric: Arc<Mutex<Option<SocketAddr>>>,
    observations: Arc<Observations>,
    behaviour: Behaviour,
    flows: BTreeMap<SocketAddrV4, ServerFlow>,
    clock: ProcessClock,
}

impl Worker {
    fn run(&mut self, stop: &StopFlag) {
        let mut buffer = [0; 2048];
        while !stop.is_set() {
            for index in 0..self.sockets.len() {
                while let Ok(length) = self.sockets[index].recv(&mut buffer) {
                    self.observations.packets[index].fetch_add(1, Ordering::Relaxed);
                    self.handle_packet(&buffer[..length]);
                }
            }
            let callers: Vec<_> = self.flows.keys().copied().collect();
            for caller in callers {
                self.advance(caller);
            }
        }
    }

    fn handle_packet(&mut self, packet: &[u8]) {
        let addresses = PacketAddresses::parse(packet).expect("the fabric sends TCP only");
        if self.behaviour == Behaviour::Refuse {
            reset_for(packet)
                .into_iter()
                .for_each(|reset| self.send(&reset));
            return;
        }
        let now = self.clock.now();
        let flow = self
            .flows
            .entry(addresses.source)
            .or_insert_with(|| ServerFlow::new(now, addresses.destination));
        flow.handle_packet(packet);
        self.advance(addresses.source);
    }

    fn advance(&mut self, caller: SocketAddrV4) {
        let now = self.clock.now();
        let flow = self.flows.get_mut(&caller).unwrap();
        let was_reset = flow.advance(now, self.behaviour, &self.observations);
        if was_reset {
            self.observations.resets.fetch_add(1, Ordering::Relaxed);
        }
        let packets: Vec<_> = std::iter::from_fn(|| flow.pop_packet()).collect();
        packets.iter().for_each(|packet| self.send(packet));
    }

    fn send(&self, packet: &[u8]) {
        let fabric = self.fabric.lock().unwrap().expect("the fabric is known");
        self.sockets[0].send_to(packet, fabric).unwrap();
    }
}
