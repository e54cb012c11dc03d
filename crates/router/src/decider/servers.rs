//! The listed servers as the decider reaches them: where each is, and the mailbox of its actor while it has
//! one.

use crate::messages::ServerCommand;
use crate::server_pool::ServerActors;
use chalkhall::interface::Id;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A listed server.
struct ServerHandle {
    /// Of its actor; none: it has none, until something is sent.
    orders: Option<mpsc::Sender<ServerCommand>>,
    address: SocketAddr,
    started: Option<Duration>,
    connections_most: usize,
}

/// Where a server is by the list, when it last started, and how many connections it may have.
pub(super) struct Listed {
    pub(super) address: SocketAddr,
    pub(super) started: Option<Duration>,
    pub(super) started_at: Option<Instant>,
    pub(super) connections_most: usize,
}

/// All listed servers, by name.
pub(super) struct ServerHandles {
    handles: HashMap<Id, ServerHandle>,
    actors: ServerActors,
}

impl ServerHandles {
    pub(super) fn new(actors: ServerActors) -> ServerHandles {
        ServerHandles {
            handles: HashMap::new(),
            actors,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.handles.len()
    }

    pub(super) fn address(&self, server: &Id) -> Option<SocketAddr> {
        self.handles.get(server).map(|handle| handle.address)
    }

    /// The mailbox of a listed server's actor, which is started where there is none.
    pub(super) fn orders_to(&mut self, server: &Id) -> Option<mpsc::Sender<ServerCommand>> {
        let handle = self.handles.get_mut(server)?;
        if handle.orders.as_ref().is_none_or(mpsc::Sender::is_closed) {
            let orders = self
                .actors
                .spawn(server.clone(), handle.address, handle.connections_most);
            handle.orders = Some(orders);
        }
        handle.orders.clone()
    }

    /// Lets go of the mailbox of an actor that has ended, which takes memory until then. Another that was
    /// started meanwhile stays.
    pub(super) fn rests(&mut self, server: &Id) {
        if let Some(handle) = self.handles.get_mut(server) {
            handle.orders.take_if(|orders| orders.is_closed());
        }
    }

    /// The list tells of a server. It is known by its name: one of another name at an old address has an actor of
    /// its own.
    pub(super) fn list(&mut self, server: &Id, listed: Listed) {
        let Listed {
            address,
            started,
            started_at,
            connections_most,
        } = listed;
        let handle = self
            .handles
            .entry(server.clone())
            .or_insert_with(|| ServerHandle {
                orders: None,
                address,
                started,
                connections_most,
            });
        if (handle.address, handle.started) == (address, started) {
            return;
        }
        (handle.address, handle.started) = (address, started);
        // One that takes no more orders would go on at the old address, or on connections from before the
        // start: what is out there ends with it, and one of its own follows it.
        let moved = |orders: &mut mpsc::Sender<ServerCommand>| {
            orders
                .try_send(ServerCommand::Reconnect {
                    address,
                    started_at,
                })
                .is_ok()
        };
        handle.orders.take_if(|orders| !moved(orders));
    }

    /// What is out there still ends; its actor ends after it.
    pub(super) fn remove(&mut self, server: &Id) {
        self.handles.remove(server);
    }

    pub(super) fn keep_only(&mut self, listed: &HashSet<&Id>) {
        self.handles.retain(|name, _| listed.contains(name));
    }

    /// How many have an actor.
    #[cfg(test)]
    pub(super) fn with_actor(&self) -> usize {
        self.handles
            .values()
            .filter(|handle| handle.orders.is_some())
            .count()
    }
}

#[cfg(test)]
mod tests;
