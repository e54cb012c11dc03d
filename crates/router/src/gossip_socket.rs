//! The UDP socket for gossip between routers. It sends the datagrams that `chalkhall_gossip`
//! encodes, and passes received ones to the decider with the number of their sender.
//!
//! Gossip never blocks. A datagram that cannot be queued at once is dropped, as any datagram may be
//! lost; clients that wait for space in the decider's mailbox have priority. Datagrams from unknown
//! senders are dropped here.

use crate::configuration::Peers;
use crate::io_errors::{DatagramFailure, MAX_INTERRUPTED_RETRIES};
use crate::listener::bind_with;
use crate::messages::Message;
use crate::rate_limited_log::RateLimitedLog;
use crate::server_connection::sleep_until_opt;
use chalkhall_gossip::codec::MAX_DATAGRAM_BYTES;
use chalkhall_gossip::{DatagramSender, Destination};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// The pause before the next receive after a persistent failure, or after many consecutive ones.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);
/// The number of consecutive failures of any kind that causes a pause.
const MAX_CONSECUTIVE_FAILURES: usize = 32;
/// The capacity of the queue of outbound datagrams; more are dropped.
const SEND_QUEUE_CAPACITY: usize = 256;
/// One byte more than the maximum length, so that datagrams that are too long can be recognized.
const RECEIVE_BUFFER_BYTES: usize = MAX_DATAGRAM_BYTES + 1;

/// An encoded datagram to be sent.
#[derive(Debug)]
pub struct OutboundDatagram {
    destination: Destination,
    bytes: Vec<u8>,
}

/// Queues datagrams for the socket's actor.
#[derive(Clone)]
pub struct GossipSender(mpsc::Sender<OutboundDatagram>);

impl DatagramSender for GossipSender {
    fn send(&mut self, to: Destination, bytes: &[u8]) {
        let datagram = OutboundDatagram {
            destination: to,
            bytes: bytes.to_vec(),
        };
        // The datagram is dropped if the queue is full.
        let _ = self.0.try_send(datagram);
    }
}

/// Creates the queue of outbound datagrams: a sender, and the receiver for [`run`].
pub fn channel() -> (GossipSender, mpsc::Receiver<OutboundDatagram>) {
    let (sender, receiver) = mpsc::channel(SEND_QUEUE_CAPACITY);
    (GossipSender(sender), receiver)
}

/// A datagram socket, or its stand-in in tests.
pub trait DatagramSocket {
    /// Waits for the next datagram, and returns its length and sender. If cancelled, no datagram is
    /// lost.
    fn receive(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
    /// Sends a datagram without waiting.
    fn send(&self, bytes: &[u8], destination: SocketAddr) -> io::Result<usize>;
}

impl DatagramSocket for UdpSocket {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.recv_from(buffer).await
    }

    fn send(&self, bytes: &[u8], destination: SocketAddr) -> io::Result<usize> {
        self.try_send_to(bytes, destination)
    }
}

/// Binds the socket. If that fails, logs a warning and returns `None`: the router runs without
/// gossip, which only provides hints. An earlier process may still hold the address for a moment.
pub async fn bind(peers: &Peers) -> Option<UdpSocket> {
    match bind_with(|| try_bind(peers.listen)).await {
        Ok(socket) => Some(socket),
        Err(error) => {
            log::warn!(
                address:% = peers.listen, reason:% = error;
                "peer_listen: bind failed; gossip is off"
            );
            None
        }
    }
}

fn try_bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// Sends and receives until all senders are dropped.
pub async fn run(
    socket: impl DatagramSocket,
    peers: Peers,
    mut outbound: mpsc::Receiver<OutboundDatagram>,
    decider: mpsc::Sender<Message>,
) {
    let mut inbound = Inbound::new(&peers, decider);
    let mut buffer = [0; RECEIVE_BUFFER_BYTES];
    let mut paused_until = None;
    loop {
        tokio::select! {
            datagram = outbound.recv() => {
                let Some(datagram) = datagram else { return };
                send(&socket, &peers, &datagram);
            }
            () = sleep_until_opt(paused_until), if paused_until.is_some() => paused_until = None,
            received = socket.receive(&mut buffer), if paused_until.is_none() => match received {
                Ok((length, sender)) => inbound.received(sender, &buffer[..length]),
                Err(error) => paused_until = inbound.record_failure(Instant::now(), &error),
            },
        }
    }
}

/// Sends a datagram to its destination. It is lost if that fails or the destination is unknown.
fn send(socket: &impl DatagramSocket, peers: &Peers, datagram: &OutboundDatagram) {
    let address = match datagram.destination {
        Destination::All => Some(peers.all),
        Destination::One(number) => usize::try_from(number)
            .ok()
            .and_then(|number| peers.each.get(number))
            .copied(),
    };
    let Some(address) = address else {
        return;
    };
    if let Err(error) = send_with_retries(socket, &datagram.bytes, address) {
        log::debug!(peer:% = address, reason:% = error; "sending a gossip datagram failed");
    }
}

/// Sends a datagram, with a retry after each interruption by a signal.
fn send_with_retries(
    socket: &impl DatagramSocket,
    bytes: &[u8],
    destination: SocketAddr,
) -> io::Result<usize> {
    let mut sent = socket.send(bytes, destination);
    for _ in 1..MAX_INTERRUPTED_RETRIES {
        match &sent {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                sent = socket.send(bytes, destination)
            }
            _ => break,
        }
    }
    sent
}

/// Forwards received datagrams to the decider.
struct Inbound {
    numbers: HashMap<SocketAddr, u64>,
    decider: mpsc::Sender<Message>,
    unknown_senders: RateLimitedLog,
    consecutive_failures: usize,
}

impl Inbound {
    fn new(peers: &Peers, decider: mpsc::Sender<Message>) -> Inbound {
        Inbound {
            numbers: peers.each.iter().copied().zip(0..).collect(),
            decider,
            unknown_senders: RateLimitedLog::default(),
            consecutive_failures: 0,
        }
    }

    fn received(&mut self, sender: SocketAddr, bytes: &[u8]) {
        self.consecutive_failures = 0;
        let Some(number) = self.numbers.get(&sender) else {
            let line = format!("peers: datagram dropped: its sender {sender} is not a known peer");
            return self.unknown_senders.log(&line);
        };
        // The datagram is dropped if the mailbox is full.
        let _ = self
            .decider
            .try_send(Message::PeerDatagram(*number, bytes.into()));
    }

    /// Records a failure to receive. Returns the end of a pause, if one is necessary.
    fn record_failure(&mut self, now: Instant, error: &io::Error) -> Option<Instant> {
        log::debug!(reason:% = error; "receiving a gossip datagram failed");
        self.consecutive_failures += 1;
        let is_persistent = DatagramFailure::from(error) == DatagramFailure::Persistent;
        if !is_persistent && self.consecutive_failures < MAX_CONSECUTIVE_FAILURES {
            return None;
        }
        self.consecutive_failures = 0;
        Some(now + RECEIVE_PAUSE)
    }
}

#[cfg(test)]
mod tests;
