//! The socket on which routers talk to one another: it carries what `chalkhall_gossip` says, and hands on
//! what comes with the number of who sent it. Nothing waits for it; what it cannot take at once is lost, as
//! any datagram may be: whoever waits for a place in the decider's mailbox goes before it. Who is not in the
//! list is dropped here.

use crate::configuration::Peers;
use crate::io_errors::{DatagramFailure, INTERRUPTIONS_MOST};
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

/// After receiving failed for what may last, or failed so often in a row: nothing is received for so long.
const PAUSE: Duration = Duration::from_millis(20);
const FAILED_IN_A_ROW: usize = 32;
/// Datagrams on their way out, and on their way to the decider. More are dropped.
const MOST: usize = 256;

/// What is to be said, for the socket's actor.
#[derive(Clone)]
pub struct GossipSender(mpsc::Sender<(To, Vec<u8>)>);

impl Mouth for GossipSender {
    fn say(&mut self, to: To, bytes: &[u8]) {
        let _ = self.0.try_send((to, bytes.to_vec()));
    }
}

/// The mouth of a socket's actor, and what it is to carry.
pub fn saying() -> (GossipSender, mpsc::Receiver<(To, Vec<u8>)>) {
    let (sender, receiver) = mpsc::channel(MOST);
    (GossipSender(sender), receiver)
}

/// A socket of datagrams, or what stands for it in a test.
pub trait Datagrams {
    /// Waits for the next datagram. Given up, it has taken none.
    fn receive(&self, buffer: &mut [u8]) -> impl Future<Output = io::Result<(usize, SocketAddr)>>;
    /// Sends one at once, or not at all.
    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize>;
}

impl Datagrams for UdpSocket {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.recv_from(buffer).await
    }

    fn send(&self, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
        self.try_send_to(bytes, to)
    }
}

fn try_bind(address: SocketAddr) -> io::Result<UdpSocket> {
    let socket = std::net::UdpSocket::bind(address)?;
    socket.set_nonblocking(true)?;
    UdpSocket::from_std(socket)
}

/// None: nobody is talked to, which costs hints. A start does not fail for them, as where an earlier process
/// still has the address for a moment.
pub async fn bind(peers: &Peers) -> Option<UdpSocket> {
    let bound = bind_with(|| try_bind(peers.listen)).await;
    bound
        .map_err(|what| {
            log::warn!(
                "peer_listen: {}: {what}; peers are not talked to",
                peers.listen
            )
        })
        .ok()
}

/// Sends a datagram, again where a signal interrupted it. What fails otherwise is lost.
fn send_uninterrupted(socket: &impl Datagrams, bytes: &[u8], to: SocketAddr) -> io::Result<usize> {
    let mut sent = socket.send(bytes, to);
    for _ in 1..INTERRUPTIONS_MOST {
        match &sent {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                sent = socket.send(bytes, to)
            }
            _ => break,
        }
    }
    sent
}

/// Ends with the decider.
pub async fn run(
    socket: impl Datagrams,
    peers: Peers,
    mut sayings: mpsc::Receiver<(To, Vec<u8>)>,
    decider: mpsc::Sender<Message>,
) {
    let numbers: HashMap<SocketAddr, u64> = peers.each.iter().copied().zip(0..).collect();
    let mut strangers = RateLimitedLog::default();
    // One byte more than there may be tells what is too long from what is not.
    let mut buffer = [0; MOST_BYTES + 1];
    let (mut pause, mut failed_in_a_row) = (None, 0);
    loop {
        tokio::select! {
            said = sayings.recv() => {
                let Some((to, bytes)) = said else { return };
                let address = match to {
                    To::All => Some(peers.all),
                    To::One(number) => peers.each.get(number as usize).copied(),
                };
                if let Some(address) = address
                    && let Err(what) = send_uninterrupted(&socket, &bytes, address)
                {
                    log::debug!("peers: {address}: {what}");
                }
            }
            () = at(pause), if pause.is_some() => pause = None,
            come = socket.receive(&mut buffer), if pause.is_none() => match come {
                Ok((length, from)) => {
                    failed_in_a_row = 0;
                    let Some(number) = numbers.get(&from) else {
                        strangers.log(&format!("peers: a datagram from {from}, which is none of them"));
                        continue;
                    };
                    let _ = decider.try_send(Message::Peer(*number, buffer[..length].into()));
                }
                Err(what) => {
                    log::debug!("peers: {what}");
                    failed_in_a_row += 1;
                    let lasting = DatagramFailure::from(&what) == DatagramFailure::Lasting;
                    if lasting || failed_in_a_row >= FAILED_IN_A_ROW {
                        (pause, failed_in_a_row) = (Some(Instant::now() + PAUSE), 0);
                    }
                }
            },
        }
    }
}

#[cfg(test)]
mod tests;
