//! The listed servers as the decider reaches them: the address of each, and the mailbox of its
//! actor while it has one.

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
    /// The mailbox of its actor; none until something is sent.
    commands: Option<mpsc::Sender<ServerCommand>>,
    address: SocketAddr,
    started_at: Option<Duration>,
    max_connections: usize,
}

/// A server as the list has it.
pub(super) struct ListedServer {
    pub(super) address: SocketAddr,
    pub(super) started_at: Option<Duration>,
    pub(super) started_instant: Option<Instant>,
    pub(super) max_connections: usize,
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

    /// The mailbox of a listed server's actor, which is started if there is none.
    pub(super) fn commands_to(&mut self, server: &Id) -> Option<mpsc::Sender<ServerCommand>> {
        let handle = self.handles.get_mut(server)?;
        if handle.commands.as_ref().is_none_or(mpsc::Sender::is_closed) {
            let commands =
                self.actors
                    .spawn(server.clone(), handle.address, handle.max_connections);
            handle.commands = Some(commands);
        }
        handle.commands.clone()
    }

    /// Drops the mailbox of an actor that has ended, which takes memory until then. Another actor
    /// that was started meanwhile stays.
    pub(super) fn forget_stopped_actor(&mut self, server: &Id) {
        if let Some(handle) = self.handles.get_mut(server) {
            handle.commands.take_if(|commands| commands.is_closed());
        }
    }

    /// Adds a server, or takes over its new address or start. A server is known by its name: one of
    /// another name at an old address has an actor of its own.
    pub(super) fn update(&mut self, server: &Id, listed: ListedServer) {
        let ListedServer {
            address,
            started_at,
            started_instant,
            max_connections,
        } = listed;
        let handle = self
            .handles
            .entry(server.clone())
            .or_insert_with(|| ServerHandle {
                commands: None,
                address,
                started_at,
                max_connections,
            });
        if (handle.address, handle.started_at) == (address, started_at) {
            return;
        }
        (handle.address, handle.started_at) = (address, started_at);
        // An actor that takes no more commands would go on at the old address, or on connections
        // from before the start: it ends with its open attempts, and the next command starts
        // another.
        let is_moved = |commands: &mut mpsc::Sender<ServerCommand>| {
            commands
                .try_send(ServerCommand::Reconnect {
                    address,
                    started_at: started_instant,
                })
                .is_ok()
        };
        handle.commands.take_if(|commands| !is_moved(commands));
    }

    /// Attempts that are open still end; the actor ends after them.
    pub(super) fn remove(&mut self, server: &Id) {
        self.handles.remove(server);
    }

    pub(super) fn retain(&mut self, listed: &HashSet<&Id>) {
        self.handles.retain(|name, _| listed.contains(name));
    }

    /// How many have an actor.
    #[cfg(test)]
    pub(super) fn with_actor(&self) -> usize {
        self.handles
            .values()
            .filter(|handle| handle.commands.is_some())
            .count()
    }
}

#[cfg(test)]
mod tests;
