//! The socket on which routers talk to one another: it carries what `chalkhall_members` says, and hands on what
//! comes with the number of who sent it. Nothing waits for it; what it cannot take at once is lost, as any
//! datagram may be.

use crate::decider::Message;
use crate::told::Peers;
use chalkhall_members::codec::MOST_BYTES;
use chalkhall_members::{Mouth, To};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Datagrams on their way out, and on their way to the decider. More are dropped.
const MOST: usize = 256;

/// What is to be said, for the socket's actor.
pub struct Saying(mpsc::Sender<(To, Vec<u8>)>);

impl Mouth for Saying {
    fn say(&mut self, to: To, bytes: &[u8]) {
        let _ = self.0.try_send((to, bytes.to_vec()));
    }
}

/// The mouth of a socket's actor, and what it is to carry.
pub fn saying() -> (Saying, mpsc::Receiver<(To, Vec<u8>)>) {
    let (sender, receiver) = mpsc::channel(MOST);
    (Saying(sender), receiver)
}

pub async fn bind(peers: &Peers) -> io::Result<UdpSocket> {
    UdpSocket::bind(peers.listen).await
}

/// Ends with the decider.
pub async fn run(
    socket: UdpSocket,
    peers: Peers,
    mut sayings: mpsc::Receiver<(To, Vec<u8>)>,
    decider: mpsc::Sender<Message>,
) {
    let numbers: HashMap<SocketAddr, u64> = peers.each.iter().copied().zip(0..).collect();
    // One byte more than there may be tells what is too long from what is not.
    let mut buffer = [0; MOST_BYTES + 1];
    loop {
        tokio::select! {
            said = sayings.recv() => {
                let Some((to, bytes)) = said else { return };
                let address = match to {
                    To::All => Some(peers.all),
                    To::One(number) => peers.each.get(number as usize).copied(),
                };
                if let Some(address) = address
                    && let Err(what) = socket.try_send_to(&bytes, address)
                {
                    log::debug!("peers: {address}: {what}");
                }
            }
            come = socket.recv_from(&mut buffer) => match come {
                Ok((length, from)) => {
                    // Nobody has the number past all: who is not in the list is dropped as a stranger.
                    let from = numbers.get(&from).copied().unwrap_or(u64::MAX);
                    let _ = decider.try_send(Message::Peer(from, buffer[..length].into()));
                }
                // As a refusal that an earlier datagram met.
                Err(what) => log::debug!("peers: {what}"),
            },
        }
    }
}
