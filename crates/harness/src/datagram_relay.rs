//! Relays the datagrams between routers and can lose, duplicate, delay or reorder them. It needs no
//! privileges: as its peers' addresses each router is given sockets of this relay, one per router. A
//! datagram from router i to router j's socket is recognized by its source address and forwarded from
//! i's socket to j, so each router sees its peers at the addresses it was given.

use crate::zone_network::ZoneNetwork;
use chalkhall_gossip::codec::{Datagram, Finding, KEY_BITS, MAX_DATAGRAM_BYTES};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Faults that currently apply to datagrams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DatagramFaults {
    pub loss_share: f64,
    pub duplicate_share: f64,
    pub reorder_share: f64,
    pub max_delay: Duration,
    /// By router: drops every datagram addressed to it.
    pub is_deaf: Vec<bool>,
    /// Seed of the random decisions.
    pub seed: u64,
    /// Delays and losses between zones; a router's zone is its number modulo `zones`.
    pub network: Option<Rc<ZoneNetwork>>,
    pub zones: usize,
}

/// Longer than the interval at which a router sends, so that the next datagram overtakes this one.
const REORDER_DELAY: Duration = Duration::from_millis(650);

#[derive(Clone, Copy, Debug, Default)]
pub struct DatagramCounters {
    pub datagrams: u64,
    pub bytes: u64,
    pub too_long: u64,
}

pub struct DatagramRelay {
    sockets: Rc<Vec<UdpSocket>>,
    broadcast: Rc<UdpSocket>,
    /// Addresses on which routers listen.
    routers: Rc<Vec<SocketAddr>>,
}

impl DatagramRelay {
    /// # Errors
    /// A socket could not be bound.
    pub async fn open(routers: Vec<SocketAddr>, address: &str) -> Result<DatagramRelay, String> {
        let mut sockets = Vec::with_capacity(routers.len());
        let bind = || async {
            UdpSocket::bind(format!("{address}:0"))
                .await
                .map_err(|e| format!("datagrams: {e}"))
        };
        for _ in &routers {
            sockets.push(bind().await?);
        }
        Ok(DatagramRelay {
            sockets: Rc::new(sockets),
            broadcast: Rc::new(bind().await?),
            routers: Rc::new(routers),
        })
    }

    /// Addresses to configure in the routers: one per peer, and one that reaches all peers.
    pub fn addresses(&self) -> (Vec<String>, String) {
        let at = |socket: &UdpSocket| {
            socket
                .local_addr()
                .map(|a| a.to_string())
                .unwrap_or_default()
        };
        (self.sockets.iter().map(at).collect(), at(&self.broadcast))
    }

    /// Relays until the sender of the faults is dropped.
    pub fn start(
        &self,
        faults: &watch::Receiver<DatagramFaults>,
        counters: &watch::Sender<DatagramCounters>,
    ) {
        for to in 0..=self.routers.len() {
            let (sockets, all, routers) = (
                self.sockets.clone(),
                self.broadcast.clone(),
                self.routers.clone(),
            );
            let (faults, counters) = (faults.clone(), counters.clone());
            spawn_local(async move {
                let mut rng = fastrand::Rng::with_seed(faults.borrow().seed ^ to as u64);
                let socket = sockets.get(to).unwrap_or(&all);
                let mut buffer = [0; 2 * MAX_DATAGRAM_BYTES];
                while let Ok((length, from)) = socket.recv_from(&mut buffer).await {
                    let Some(sender) = routers.iter().position(|at| *at == from) else {
                        continue;
                    };
                    counters.send_modify(|c| {
                        c.datagrams += 1;
                        c.bytes += length as u64;
                        c.too_long += u64::from(length > MAX_DATAGRAM_BYTES);
                    });
                    let receivers = if to < routers.len() {
                        to..to + 1
                    } else {
                        0..routers.len()
                    };
                    for receiver in receivers.filter(|r| *r != sender) {
                        let now = faults.borrow().clone();
                        forward(
                            &now,
                            &mut rng,
                            &sockets,
                            &routers,
                            (sender, receiver),
                            &buffer[..length],
                        );
                    }
                }
            });
        }
    }

    /// Sends well-formed datagrams in the name of a router with findings that no router made: random
    /// parts and caches.
    pub fn send_forged(
        &self,
        forged_sender: usize,
        zone: usize,
        peers: &[usize],
        rng: &mut fastrand::Rng,
    ) {
        let finding = |_| Finding {
            part: rng.u32(..1 << KEY_BITS),
            cache: rng.u8(1..),
        };
        let findings = (0..50).map(finding).collect();
        let bytes = Datagram {
            seeks_peers: rng.bool(),
            zone: zone as u16,
            findings,
        }
        .encode();
        for peer in peers.iter().filter(|peer| **peer != forged_sender) {
            let _ = self.sockets[forged_sender].try_send_to(&bytes, self.routers[*peer]);
        }
    }
}

fn forward(
    faults: &DatagramFaults,
    rng: &mut fastrand::Rng,
    sockets: &Rc<Vec<UdpSocket>>,
    routers: &Rc<Vec<SocketAddr>>,
    (sender, receiver): (usize, usize),
    bytes: &[u8],
) {
    if rng.f64() < faults.loss_share || faults.is_deaf.get(receiver) == Some(&true) {
        return;
    }
    let copies = 1 + usize::from(rng.f64() < faults.duplicate_share);
    for _ in 0..copies {
        let network_delay = faults.network.as_ref().map(|network| {
            let zone = |router: usize| router % faults.zones.max(1);
            network.datagram_delay(zone(sender), zone(receiver), rng)
        });
        let Some(network_delay) = network_delay.unwrap_or(Some(Duration::ZERO)) else {
            continue;
        };
        let mut wait = faults.max_delay.mul_f64(rng.f64()) + network_delay;
        if rng.f64() < faults.reorder_share {
            wait += REORDER_DELAY;
        }
        if wait.is_zero() {
            // A full buffer loses the datagram, as on any network.
            let _ = sockets[sender].try_send_to(bytes, routers[receiver]);
            continue;
        }
        let (sockets, routers, bytes) = (sockets.clone(), routers.clone(), bytes.to_vec());
        spawn_local(async move {
            sleep(wait).await;
            let _ = sockets[sender].try_send_to(&bytes, routers[receiver]);
        });
    }
}

#[cfg(test)]
mod tests;
