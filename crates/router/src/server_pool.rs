//! The actor of a cache server, a parent or the origin: it shares a few connections among the
//! attempts that are sent to it.

mod connection_pool;
mod connection_slots;
mod pooled_connection;

use crate::messages::{
    AttemptEnded, AttemptId, AttemptRequest, ConnectionAttemptEnded, ConnectionCommand,
    ConnectionEvent, Message, ServerCommand,
};
use crate::server_connection::{Connection, at};
use chalkhall::interface::{Id, Outcome};
use connection_pool::{ConnectionPool, Requirements};
pub use connection_slots::ConnectionSlots;
use pooled_connection::PooledConnection;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Commands queued for one connection; more attempts are reported never sent.
const CONNECTION_MAILBOX_CAPACITY: usize = 256;
/// Commands queued for a server's actor, which takes them at once; more attempts are reported never
/// sent.
const SERVER_MAILBOX_CAPACITY: usize = 1024;
/// An actor that has neither a connection nor an open attempt ends after so long without a command.
/// Long enough that a server that refuses connections keeps its actor over a few retries; it takes
/// some KB.
pub const ACTOR_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the actor of a server when the first attempt is sent to it: one router sends nothing to
/// most of the servers of a large fleet, and an actor with its mailboxes takes several KB.
pub struct ServerActors {
    /// The most attempts on one connection.
    pub max_streams: usize,
    /// How long a connect may take.
    pub connect_timeout: Duration,
    /// An idle connection is closed after so long.
    pub idle_timeout: Duration,
    /// The mailbox of the decider.
    pub decider: mpsc::Sender<Message>,
    /// The bound on the connections of all servers together.
    pub slots: Rc<ConnectionSlots>,
}

impl ServerActors {
    /// Starts an actor and returns its mailbox. The actor closes the mailbox as it ends: what is
    /// refused then was not taken.
    pub fn spawn(
        &self,
        name: Id,
        address: SocketAddr,
        max_connections: usize,
    ) -> mpsc::Sender<ServerCommand> {
        let (sender, commands) = mpsc::channel(SERVER_MAILBOX_CAPACITY);
        let (connection_events, from_connections) = mpsc::channel(SERVER_MAILBOX_CAPACITY);
        let server = ServerActor {
            name,
            address,
            max_connections,
            max_streams: self.max_streams,
            connect_timeout: self.connect_timeout,
            idle_timeout: self.idle_timeout,
            commands,
            connection_events,
            decider: self.decider.clone(),
            slots: self.slots.clone(),
            pool: ConnectionPool::default(),
        };
        spawn_local(server.run(from_connections));
        sender
    }
}

/// The actor of one server.
struct ServerActor {
    name: Id,
    address: SocketAddr,
    max_connections: usize,
    max_streams: usize,
    connect_timeout: Duration,
    idle_timeout: Duration,
    commands: mpsc::Receiver<ServerCommand>,
    /// Given to each connection for its events.
    connection_events: mpsc::Sender<ServerCommand>,
    decider: mpsc::Sender<Message>,
    slots: Rc<ConnectionSlots>,
    pool: ConnectionPool,
}

impl ServerActor {
    /// Runs until the decider has dropped the mailbox and all attempts have ended, or until there
    /// was nothing to do for long enough.
    async fn run(mut self, mut from_connections: mpsc::Receiver<ServerCommand>) {
        let mut is_listed = true;
        let mut last_command_at = Instant::now();
        let slots = self.slots.clone();
        while is_listed || !self.pool.open_attempts.is_empty() {
            let timer = self.next_timer(last_command_at);
            let command = tokio::select! {
                command = self.commands.recv(), if is_listed => {
                    is_listed = command.is_some();
                    command
                }
                command = from_connections.recv() => command,
                () = slots.running_low(), if self.pool.has_idle() => {
                    self.pool.retire_longest_idle();
                    None
                }
                () = at(timer) => None,
            };
            if let Some(command) = command {
                last_command_at = Instant::now();
                self.handle(command).await;
            }
            self.pool.close_idle(Instant::now(), self.idle_timeout);
            if is_listed && self.pool.is_empty() && self.is_idle_timeout_over(last_command_at) {
                return self.stop().await;
            }
        }
    }

    /// When an idle connection is to be closed, or else when the actor may end.
    fn next_timer(&self, last_command_at: Instant) -> Option<Instant> {
        let end_of_actor = self
            .pool
            .is_empty()
            .then_some(last_command_at + ACTOR_IDLE_TIMEOUT);
        self.pool
            .next_idle_deadline(self.idle_timeout)
            .or(end_of_actor)
    }

    /// No command came for long enough, and none is in the mailbox: one that came just now is taken
    /// first.
    fn is_idle_timeout_over(&self, last_command_at: Instant) -> bool {
        Instant::now() >= last_command_at + ACTOR_IDLE_TIMEOUT && self.commands.is_empty()
    }

    /// The decider, whose tasks run on this thread too, finds the mailbox closed from here on and
    /// starts another actor; nothing can have come between the check of the mailbox and this.
    async fn stop(mut self) {
        self.commands.close();
        // Without a decider nobody needs to know.
        let _ = self.decider.send(Message::ServerRests(self.name)).await;
    }

    async fn handle(&mut self, command: ServerCommand) {
        match command {
            ServerCommand::Send(request) => self.send(request).await,
            ServerCommand::Cancel(attempt) => self.cancel(attempt),
            ServerCommand::Reconnect {
                address,
                started_at,
            } => self.reconnect(address, started_at),
            ServerCommand::Connection { number, event } => {
                self.handle_connection_event(number, event).await
            }
        }
    }

    async fn send(&mut self, request: Box<AttemptRequest>) {
        let attempt = request.attempt.clone();
        if !self.try_send(request) {
            self.report(AttemptEnded {
                attempt,
                outcome: Outcome::NeverSent,
                answer: None,
            })
            .await;
        }
    }

    async fn report(&self, ended: AttemptEnded) {
        // Without a decider nobody waits for it.
        let _ = self.decider.send(Message::Ended(ended)).await;
    }

    /// Where the mailbox of the connection is full, the attempt ends by its own deadline.
    fn cancel(&mut self, attempt: AttemptId) {
        let Some(number) = self.pool.open_attempts.get(&attempt).copied() else {
            return;
        };
        if let Some(connection) = self.pool.connection_mut(number) {
            let _ = connection
                .commands
                .try_send(ConnectionCommand::Cancel(attempt));
        }
    }

    /// Retires the connections that lead to another address or to an earlier start of the server.
    fn reconnect(&mut self, address: SocketAddr, started_at: Option<Instant>) {
        let has_moved = address != self.address;
        self.address = address;
        if has_moved {
            // What kept this machine from reaching the old address says nothing about the new one.
            self.pool.backoff.reset();
        }
        self.pool.retire_if(|connection| {
            has_moved || started_at.is_some_and(|started_at| connection.created_at < started_at)
        });
    }

    async fn handle_connection_event(&mut self, number: u64, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Established => {
                if let Some(connection) = self.pool.connection_mut(number) {
                    connection.established();
                }
                self.pool.backoff.succeeded();
            }
            ConnectionEvent::LocalFailure => {
                // Attempts that come before its last event must not be given to it.
                if let Some(connection) = self.pool.connection_mut(number) {
                    connection.retire();
                }
                self.pool.backoff.failed(Instant::now());
            }
            ConnectionEvent::AttemptEnded(ended) => self.attempt_ended(number, ended).await,
            ConnectionEvent::Closed => self.pool.remove(number),
        }
    }

    async fn attempt_ended(&mut self, number: u64, ended: ConnectionAttemptEnded) {
        let ConnectionAttemptEnded { ended, is_silent } = ended;
        if self.pool.open_attempts.remove(&ended.attempt).is_none() {
            return;
        }
        if let Some(connection) = self.pool.connection_mut(number) {
            connection.attempt_ended(Instant::now());
            if is_silent {
                // A machine that vanished does not end its connections; a new one to it will not be
                // established, which proves that nothing ran.
                connection.retire();
            }
            if ended.outcome != Outcome::NeverSent {
                connection.remember(ended.attempt.request.clone());
            }
        }
        self.report(ended).await;
    }

    /// Gives an attempt to the least busy connection that may carry it. `false` if there is none.
    fn try_send(&mut self, mut request: Box<AttemptRequest>) -> bool {
        // An idle connection may be due for its close before the timer has fired.
        self.pool.close_idle(Instant::now(), self.idle_timeout);
        // A connection that broke a moment ago takes no commands; the next one may.
        for _ in 0..=self.max_connections {
            let Some(index) = self.connection_for(&request) else {
                return false;
            };
            let attempt = request.attempt.clone();
            let connection = &mut self.pool.connections[index];
            match connection
                .commands
                .try_send(ConnectionCommand::Send(request))
            {
                Ok(()) => {
                    connection.attempt_sent(Instant::now());
                    let number = connection.number;
                    self.pool.open_attempts.insert(attempt, number);
                    return true;
                }
                Err(mpsc::error::TrySendError::Closed(ConnectionCommand::Send(returned))) => {
                    connection.retire();
                    request = returned;
                }
                Err(_) => return false,
            }
        }
        false
    }

    /// The index of the connection that carries this attempt, which is opened if need be.
    fn connection_for(&mut self, request: &AttemptRequest) -> Option<usize> {
        let requirements = Requirements {
            request: &request.attempt.request,
            is_non_idempotent: request.is_non_idempotent,
            max_streams: self.max_streams,
            now: Instant::now(),
        };
        let selected = self.pool.select_least_busy(&requirements);
        if !self.pool.needs_another(selected, self.max_connections) {
            return selected;
        }
        if request.is_non_idempotent && self.pool.connections.len() >= self.max_connections {
            self.pool.close_stale(requirements.now);
        }
        // Past the bound only where no other may carry it: silent connections still take
        // descriptors.
        if self.pool.connections.len() >= self.max_connections * 2 {
            return None;
        }
        self.open_connection();
        self.pool.select_least_busy(&requirements)
    }

    /// Opens a connection, if a slot is free and this machine did not lack a resource just now.
    fn open_connection(&mut self) {
        let now = Instant::now();
        if !self.pool.backoff.allows(now) {
            return;
        }
        let Some(slot) = self.slots.reserve() else {
            return;
        };
        self.pool.last_number += 1;
        let number = self.pool.last_number;
        let (sender, commands) = mpsc::channel(CONNECTION_MAILBOX_CAPACITY);
        let pooled = PooledConnection::connecting(number, sender, now);
        self.pool.connections.push(pooled);
        let connection = Connection {
            number,
            server: self.name.clone(),
            address: self.address,
            connect_timeout: self.connect_timeout,
            commands,
            events: self.connection_events.clone(),
            _slot: slot,
        };
        log::debug!(
            server = &*self.name, address:% = self.address, connection = number;
            "connecting to a server"
        );
        spawn_local(connection.run());
    }
}

#[cfg(test)]
mod tests;
