//! A caller with a TCP implementation of its own.

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use smoltcp::iface::{Config, Interface, SocketHandle, SocketSet};
use smoltcp::phy::{Device, DeviceCapabilities, Medium, RxToken, TxToken};
use smoltcp::socket::tcp::{Socket, SocketBuffer, State};
use smoltcp::time::Instant;
use smoltcp::wire::{HardwareAddress, IpAddress, IpCidr};

use crate::Timestamp;

pub(super) struct Caller {
    interface: Interface,
    sockets: SocketSet<'static>,
    socket: SocketHandle,
    wire: Wire,
    pub(super) received: Vec<u8>,
    to_send: Vec<u8>,
    finish: bool,
}

#[derive(Default)]
struct Wire {
    received: VecDeque<Vec<u8>>,
    outgoing: VecDeque<Vec<u8>>,
}

impl Caller {
    /// Opens a connection; the SYN is among the first packets.
    pub(super) fn connect(now: Timestamp, source: SocketAddrV4, service: SocketAddrV4) -> Self {
        let mut wire = Wire::default();
        let mut config = Config::new(HardwareAddress::Ip);
        config.random_seed = u64::from(source.port()) ^ now.as_micros();
        let mut interface = Interface::new(config, &mut wire, instant(now));
        interface.update_ip_addrs(|addresses| {
            let cidr = IpCidr::new(IpAddress::Ipv4(*source.ip()), 32);
            addresses.push(cidr).unwrap();
        });
        let buffer = || SocketBuffer::new(vec![0; 32 << 10]);
        let mut sockets = SocketSet::new(vec![]);
        let socket = sockets.add(Socket::new(buffer(), buffer()));
        let remote = (IpAddress::Ipv4(*service.ip()), service.port());
        let context = interface.context();
        let end: &mut Socket<'_> = sockets.get_mut(socket);
        end.connect(context, remote, source.port()).unwrap();
        Caller {
            interface,
            sockets,
            socket,
            wire,
            received: Vec::new(),
            to_send: Vec::new(),
            finish: false,
        }
    }

    pub(super) fn send(&mut self, bytes: &[u8]) {
        self.to_send.extend_from_slice(bytes);
    }

    pub(super) fn finish(&mut self) {
        self.finish = true;
    }

    pub(super) fn handle_packet(&mut self, packet: Vec<u8>) {
        self.wire.received.push_back(packet);
    }

    /// Moves bytes and returns the packets to send.
    pub(super) fn poll(&mut self, now: Timestamp) -> Vec<Vec<u8>> {
        self.interface
            .poll(instant(now), &mut self.wire, &mut self.sockets);
        let socket: &mut Socket<'_> = self.sockets.get_mut(self.socket);
        if socket.can_send() {
            let count = socket.send_slice(&self.to_send).unwrap();
            self.to_send.drain(..count);
        }
        while socket.can_recv() {
            let mut bytes = [0; 4_096];
            let count = socket.recv_slice(&mut bytes).unwrap();
            self.received.extend_from_slice(&bytes[..count]);
        }
        if self.finish && self.to_send.is_empty() && socket.may_send() {
            socket.close();
        }
        self.interface
            .poll(instant(now), &mut self.wire, &mut self.sockets);
        self.wire.outgoing.drain(..).collect()
    }

    pub(super) fn poll_timeout(&mut self, now: Timestamp) -> Option<Timestamp> {
        let due = self.interface.poll_at(instant(now), &self.sockets)?;
        let micros = u64::try_from(due.total_micros()).unwrap();
        Some(Timestamp::from_micros(micros).max(now))
    }

    pub(super) fn state(&self) -> State {
        self.sockets.get::<Socket<'_>>(self.socket).state()
    }

    pub(super) fn text(&self) -> String {
        String::from_utf8_lossy(&self.received).into_owned()
    }
}

fn instant(now: Timestamp) -> Instant {
    Instant::from_micros(i64::try_from(now.as_micros()).unwrap())
}

struct Received(Vec<u8>);

struct Permit<'a>(&'a mut VecDeque<Vec<u8>>);

impl Device for Wire {
    type RxToken<'a> = Received;
    type TxToken<'a> = Permit<'a>;

    fn receive(&mut self, _now: Instant) -> Option<(Received, Permit<'_>)> {
        let packet = self.received.pop_front()?;
        Some((Received(packet), Permit(&mut self.outgoing)))
    }

    fn transmit(&mut self, _now: Instant) -> Option<Permit<'_>> {
        Some(Permit(&mut self.outgoing))
    }

    fn capabilities(&self) -> DeviceCapabilities {
        let mut capabilities = DeviceCapabilities::default();
        capabilities.medium = Medium::Ip;
        capabilities.max_transmission_unit = 1_400;
        capabilities
    }
}

impl RxToken for Received {
    fn consume<R, F: FnOnce(&[u8]) -> R>(self, read: F) -> R {
        read(&self.0)
    }
}

impl TxToken for Permit<'_> {
    fn consume<R, F: FnOnce(&mut [u8]) -> R>(self, length: usize, write: F) -> R {
        let mut packet = vec![0; length];
        let result = write(&mut packet);
        self.0.push_back(packet);
        result
    }
}
