//! The listed servers: the address of each, and the mailbox of its actor if one is running.

use crate::messages::{CancellationFlag, ServerCommand};
use crate::server_pool::ServerActorFactory;
use chalkhall::interface::Id;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::Instant;

/// A listed server.
struct ServerHandle {
    /// The mailbox of its actor; `None` until the first attempt is sent.
    commands: Option<mpsc::Sender<ServerCommand>>,
    address: SocketAddr,
    started_at: Option<Duration>,
    max_connections: usize,
    /// Active as long as the address and the start time stay as they are.
    incarnation: CancellationFlag,
}

impl ServerHandle {
    /// Ends the attempts that have not started.
    fn end(self) {
        self.incarnation.cancel();
        if let Some(commands) = self.commands {
            // If the mailbox is full, they end before their first byte is sent.
            let _ = commands.try_send(ServerCommand::Removed);
        }
    }
}

/// The entry of a server in the list.
pub(super) struct ListedServer {
    pub(super) address: SocketAddr,
    pub(super) started_at: Option<Duration>,
    pub(super) started_instant: Option<Instant>,
    pub(super) max_connections: usize,
}

/// All listed servers, by name.
pub(super) struct ServerHandles {
    handles: HashMap<Id, ServerHandle>,
    actor_factory: ServerActorFactory,
}

impl ServerHandles {
    pub(super) fn new(actor_factory: ServerActorFactory) -> ServerHandles {
        ServerHandles {
            handles: HashMap::new(),
            actor_factory,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.handles.len()
    }

    pub(super) fn address(&self, server: &Id) -> Option<SocketAddr> {
        self.handles.get(server).map(|handle| handle.address)
    }

    /// Whether the process of a listed server is still the one that attempts are meant for now. An
    /// attempt at a server that is not listed never starts.
    pub(super) fn incarnation(&self, server: &Id) -> CancellationFlag {
        let handle = self.handles.get(server);
        handle.map_or_else(CancellationFlag::default, |handle| {
            handle.incarnation.clone()
        })
    }

    /// Returns the mailbox of a listed server's actor, which is started if none is running.
    pub(super) fn commands_to(&mut self, server: &Id) -> Option<mpsc::Sender<ServerCommand>> {
        let handle = self.handles.get_mut(server)?;
        if handle.commands.as_ref().is_none_or(mpsc::Sender::is_closed) {
            let commands =
                self.actor_factory
                    .spawn(server.clone(), handle.address, handle.max_connections);
            handle.commands = Some(commands);
        }
        handle.commands.clone()
    }

    /// Drops the mailbox of an actor that has stopped, to free its memory. An actor that was
    /// started meanwhile is kept.
    pub(super) fn forget_stopped_actor(&mut self, server: &Id) {
        if let Some(handle) = self.handles.get_mut(server) {
            handle.commands.take_if(|commands| commands.is_closed());
        }
    }

    /// Adds a server, or updates its address and start time. Servers are identified by name: a
    /// server of another name at a known address has its own actor.
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
                incarnation: CancellationFlag::default(),
            });
        if (handle.address, handle.started_at) == (address, started_at) {
            return;
        }
        (handle.address, handle.started_at) = (address, started_at);
        std::mem::take(&mut handle.incarnation).cancel();
        // An actor whose mailbox is full would keep the old address, or connections from before the
        // restart. Its mailbox is dropped: it stops after its open attempts, and the next command
        // starts another actor.
        let is_notified = |commands: &mut mpsc::Sender<ServerCommand>| {
            commands
                .try_send(ServerCommand::Reconnect {
                    address,
                    started_at: started_instant,
                })
                .is_ok()
        };
        handle.commands.take_if(|commands| !is_notified(commands));
    }

    /// Removes a server. Its actor stops once its open attempts have ended; those that have not
    /// started end at once, as the process of another server may be at the address now.
    pub(super) fn remove(&mut self, server: &Id) {
        if let Some(handle) = self.handles.remove(server) {
            handle.end();
        }
    }

    /// Removes the servers that are not listed.
    pub(super) fn retain(&mut self, listed: &HashSet<&Id>) {
        let removed = self.handles.extract_if(|name, _| !listed.contains(name));
        removed.for_each(|(_, handle)| handle.end());
    }

    /// The number of servers with a running actor.
    #[cfg(test)]
    pub(super) fn actor_count(&self) -> usize {
        self.handles
            .values()
            .filter(|handle| handle.commands.is_some())
            .count()
    }
}

#[cfg(test)]
mod tests;
