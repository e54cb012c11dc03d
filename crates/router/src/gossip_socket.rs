//! The socket on which routers gossip: it sends what `chalkhall_gossip` encodes, and hands received
//! datagrams to the decider with the number of their sender.
//!
//! Nothing waits for gossip. What cannot be taken at once is dropped, as any datagram may be lost:
//! clients that wait for capacity in the decider's mailbox go before it. Datagrams of unknown
//! senders are dropped here.

use crate::configuration::Peers;
use crate::io_errors::{DatagramFailure, MAX_INTERRUPTIONS};
use crate::listener::bind_with;
use crate::messages::Message;
use crate::rate_limited_log::RateLimitedLog;
use crate::server_connection::at;
use chalkhall_gossip::codec::MOST_BYTES;
use chalkhall_gossip::{Mouth, To};
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// Nothing is received for so long after a failure that may last, or after many in a row.
const RECEIVE_PAUSE: Duration = Duration::from_millis(20);
/// So many failures in a row end in a pause, whatever they are.
const MAX_CONSECUTIVE_FAILURES: usize = 32;
/// Datagrams queued for the socket; more are dropped.
const SEND_QUEUE_CAPACITY: usize = 256;
/// One byte more than a datagram may have tells one that is too long from one that is not.
const RECEIVE_BUFFER_BYTES: usize = MOST_BYTES + 1;

/// An encoded datagram that is to be sent.
#[derive(Debug)]
pub struct OutgoingDatagram {
    destination: To,
    bytes: Vec<u8>,
}

/// Queues datagrams for the socket's actor.
#[derive(Clone)]
pub struct GossipSender(mpsc::Sender<OutgoingDatagram>);

impl Mouth for GossipSender {
    fn say(&mut self, to: To, bytes: &[u8]) {
        let datagram = OutgoingDatagram {
            destination: to,
            bytes: bytes.to_vec(),
        };
        // Dropped if the queue is full.
        let _ = self.0.try_send(datagram);
    }
}

/// The sender for the decisions, and the queue for [`run`].
pub fn channel() -> (GossipSender, mpsc::Receiver<OutgoingDatagram>) {
    let (sender, receiver) = mpsc::channel(SEND_QUEUE_CAPACITY);
    (GossipSender(sender), receiver)
}

/// A socket of datagrams, or what stands for it in a test.
pub trait DatagramSocket {
    /// Waits for the next datagram: its length and its sender. If cancelled, it has taken none.
    fn receive(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
    /// Sends a datagram at once, or not at all.
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

/// Binds the socket. `None`, after a warning, if that fails: a start goes on without gossip, which
/// costs hints only, as where an earlier process still has the address for a moment.
pub async fn bind(peers: &Peers) -> Option<UdpSocket> {
    match bind_with(|| try_bind(peers.listen)).await {
        Ok(socket) => Some(socket),
        Err(error) => {
            log::warn!(
                address:% = peers.listen, reason:% = error;
                "peer_listen: no gossip with peers"
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
    mut outgoing: mpsc::Receiver<OutgoingDatagram>,
    decider: mpsc::Sender<Message>,
) {
    let mut incoming = Incoming::new(&peers, decider);
    let mut buffer = [0; RECEIVE_BUFFER_BYTES];
    let mut paused_until = None;
    loop {
        tokio::select! {
            datagram = outgoing.recv() => {
                let Some(datagram) = datagram else { return };
                send(&socket, &peers, &datagram);
            }
            () = at(paused_until), if paused_until.is_some() => paused_until = None,
            received = socket.receive(&mut buffer), if paused_until.is_none() => match received {
                Ok((length, sender)) => incoming.received(sender, &buffer[..length]),
                Err(error) => paused_until = incoming.failed(Instant::now(), &error),
            },
        }
    }
}

/// Sends a datagram to whom it is for. One that fails, or is for nobody, is lost.
fn send(socket: &impl DatagramSocket, peers: &Peers, datagram: &OutgoingDatagram) {
    let address = match datagram.destination {
        To::All => Some(peers.all),
        To::One(number) => usize::try_from(number)
            .ok()
            .and_then(|number| peers.each.get(number))
            .copied(),
    };
    let Some(address) = address else {
        return;
    };
    if let Err(error) = send_uninterrupted(socket, &datagram.bytes, address) {
        log::debug!(peer:% = address, reason:% = error; "a gossip datagram was not sent");
    }
}

/// Sends a datagram, again after each interruption by a signal.
fn send_uninterrupted(
    socket: &impl DatagramSocket,
    bytes: &[u8],
    destination: SocketAddr,
) -> io::Result<usize> {
    let mut sent = socket.send(bytes, destination);
    for _ in 1..MAX_INTERRUPTIONS {
        match &sent {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                sent = socket.send(bytes, destination)
            }
            _ => break,
        }
    }
    sent
}

/// The way of received datagrams to the decider.
struct Incoming {
    numbers: HashMap<SocketAddr, u64>,
    decider: mpsc::Sender<Message>,
    unknown_senders: RateLimitedLog,
    consecutive_failures: usize,
}

impl Incoming {
    fn new(peers: &Peers, decider: mpsc::Sender<Message>) -> Incoming {
        Incoming {
            numbers: peers.each.iter().copied().zip(0..).collect(),
            decider,
            unknown_senders: RateLimitedLog::default(),
            consecutive_failures: 0,
        }
    }

    fn received(&mut self, sender: SocketAddr, bytes: &[u8]) {
        self.consecutive_failures = 0;
        let Some(number) = self.numbers.get(&sender) else {
            let line = format!("peers: a datagram from {sender}, which is none of them");
            return self.unknown_senders.log(&line);
        };
        // Dropped if the mailbox is full.
        let _ = self.decider.try_send(Message::Peer(*number, bytes.into()));
    }

    /// Returns until when nothing should be received, if there has to be a pause.
    fn failed(&mut self, now: Instant, error: &io::Error) -> Option<Instant> {
        log::debug!(reason:% = error; "no gossip datagram was received");
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
