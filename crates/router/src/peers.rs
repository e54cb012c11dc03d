//! The socket on which routers talk to one another: it carries what `chalkhall_gossip` says, and hands on
//! what comes with the number of who sent it. Nothing waits for it; what it cannot take at once is lost, as
//! any datagram may be: whoever waits for a place in the decider's mailbox goes before it. Who is not in the
//! list is dropped here.

use crate::brief::Brief;
use crate::messages::Message;
use crate::told::Peers;
use chalkhall_gossip::codec::MOST_BYTES;
use chalkhall_gossip::{Mouth, To};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// Datagrams on their way out, and on their way to the decider. More are dropped.
const MOST: usize = 256;

/// What is to be said, for the socket's actor.
#[derive(Clone)]
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

/// None: nobody is talked to, which costs hints. A start does not fail for them, as where an earlier process
/// still has the address for a moment.
pub async fn bind(peers: &Peers) -> Option<UdpSocket> {
    let bound = UdpSocket::bind(peers.listen).await;
    bound.map_err(|what| log::warn!("peer_listen: {}: {what}; peers are not talked to", peers.listen)).ok()
}

/// Ends with the decider.
pub async fn run(
    socket: UdpSocket,
    peers: Peers,
    mut sayings: mpsc::Receiver<(To, Vec<u8>)>,
    decider: mpsc::Sender<Message>,
) {
    let numbers: HashMap<SocketAddr, u64> = peers.each.iter().copied().zip(0..).collect();
    let mut strangers = Brief::default();
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
                    let Some(number) = numbers.get(&from) else {
                        strangers.log(&format!("peers: a datagram from {from}, which is none of them"));
                        continue;
                    };
                    let _ = decider.try_send(Message::Peer(*number, buffer[..length].into()));
                }
                // As a refusal that an earlier datagram met.
                Err(what) => log::debug!("peers: {what}"),
            },
        }
    }
}
