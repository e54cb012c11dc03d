//! The actor of a cache server, a parent or the origin. It multiplexes the attempts for its server
//! over a small pool of connections.

mod connection_pool;
mod connection_slots;
mod pooled_connection;

use crate::messages::{
    AttemptEnded, AttemptId, AttemptRequest, ConnectionAttemptEnded, ConnectionCommand,
    ConnectionEvent, Message, ServerCommand,
};
use crate::server_connection::{Connection, sleep_until_opt};
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

/// The capacity of a connection's mailbox; attempts beyond it are reported as never sent.
const CONNECTION_MAILBOX_CAPACITY: usize = 256;
/// The capacity of the mailbox of a server's actor, which handles commands without delay; attempts
/// beyond it are reported as never sent.
const SERVER_MAILBOX_CAPACITY: usize = 1024;
/// An actor that has neither a connection nor an open attempt stops after this time without a
/// command, to free the few KB that it takes. The actor of a server that refuses connections should
/// outlive a few retries.
pub const ACTOR_IDLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Starts the actors of servers. An actor is started when the first attempt is sent to its server:
/// in a large fleet a router sends nothing to most servers, and an actor with its mailboxes takes
/// several KB.
pub struct ServerActorFactory {
    /// The limit on concurrent attempts on one connection.
    pub max_streams: usize,
    /// The timeout for connecting.
    pub connect_timeout: Duration,
    /// The time after which an idle connection is closed.
    pub idle_timeout: Duration,
    /// The mailbox of the decider.
    pub decider: mpsc::Sender<Message>,
    /// The limit on the connections to all servers together.
    pub slots: Rc<ConnectionSlots>,
}

impl ServerActorFactory {
    /// Starts an actor and returns its mailbox. The actor closes the mailbox when it stops; a
    /// command that the mailbox refuses has not been executed.
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
    /// Each connection gets a clone of it for its events.
    connection_events: mpsc::Sender<ServerCommand>,
    decider: mpsc::Sender<Message>,
    slots: Rc<ConnectionSlots>,
    pool: ConnectionPool,
}

impl ServerActor {
    /// Runs until the decider has dropped the mailbox and all attempts have ended, or until the
    /// actor has been idle for [`ACTOR_IDLE_TIMEOUT`].
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
                () = sleep_until_opt(timer) => None,
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

    /// When the next idle connection is to be closed, or else when the idle actor may stop.
    fn next_timer(&self, last_command_at: Instant) -> Option<Instant> {
        let actor_timeout = self
            .pool
            .is_empty()
            .then_some(last_command_at + ACTOR_IDLE_TIMEOUT);
        self.pool
            .next_idle_deadline(self.idle_timeout)
            .or(actor_timeout)
    }

    /// Whether the idle timeout of the actor has passed and its mailbox is empty. A command that
    /// has just arrived is handled first.
    fn is_idle_timeout_over(&self, last_command_at: Instant) -> bool {
        Instant::now() >= last_command_at + ACTOR_IDLE_TIMEOUT && self.commands.is_empty()
    }

    /// Closes the mailbox and stops. Nothing can have arrived since the mailbox was checked,
    /// because the decider runs on the same thread. It starts another actor if it finds the mailbox
    /// closed.
    async fn stop(mut self) {
        self.commands.close();
        // If the decider has ended, the message is not needed.
        let _ = self
            .decider
            .send(Message::ServerActorStopped(self.name))
            .await;
    }

    async fn handle(&mut self, command: ServerCommand) {
        match command {
            ServerCommand::Send(request) => self.send(request).await,
            ServerCommand::Cancel(attempt) => self.cancel(attempt),
            ServerCommand::Removed => self.pool.expire_unsent(),
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
        // If the decider has ended, the result is not needed.
        let _ = self.decider.send(Message::AttemptEnded(ended)).await;
    }

    /// Cancels an attempt. If the mailbox of its connection is full, the attempt ends at its
    /// deadline.
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

    /// Updates the address, and retires the connections to another address or from before the
    /// server's last start.
    fn reconnect(&mut self, address: SocketAddr, started_at: Option<Instant>) {
        let has_moved = address != self.address;
        self.address = address;
        if has_moved {
            // Local failures to connect to the old address need not affect the new one.
            self.pool.backoff.reset();
        }
        self.pool.retire_if(|connection| {
            has_moved || started_at.is_some_and(|started_at| connection.created_at < started_at)
        });
        self.pool.expire_unsent();
    }

    async fn handle_connection_event(&mut self, number: u64, event: ConnectionEvent) {
        match event {
            ConnectionEvent::Established => {
                if let Some(connection) = self.pool.connection_mut(number) {
                    connection.established();
                }
                self.pool.backoff.record_success();
            }
            ConnectionEvent::LocalFailure => {
                // It must not get attempts that arrive before its `Closed` event.
                if let Some(connection) = self.pool.connection_mut(number) {
                    connection.retire();
                }
                self.pool.backoff.record_failure(Instant::now());
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
                // A host that has vanished does not close its connections. A new connection to it
                // is not established, which proves that its attempts did not run.
                connection.retire();
            }
            if ended.outcome != Outcome::NeverSent {
                connection.remember_request(ended.attempt.request.clone());
            }
        }
        self.report(ended).await;
    }

    /// Sends an attempt on the least busy connection that may carry it. Returns false if there is
    /// none.
    fn try_send(&mut self, mut request: Box<AttemptRequest>) -> bool {
        // The idle timeout of a connection may have passed without its timer having fired yet.
        self.pool.close_idle(Instant::now(), self.idle_timeout);
        // A connection that has just broken refuses commands; another one may accept them.
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

    /// The index of the connection for this attempt, which is opened if necessary.
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
        // The limit may be exceeded up to twofold if no existing connection may carry the attempt;
        // retired connections that are silent still use descriptors.
        if self.pool.connections.len() >= self.max_connections * 2 {
            return None;
        }
        self.open_connection();
        self.pool.select_least_busy(&requirements)
    }

    /// Opens a connection, unless no slot is free or the backoff after local failures applies.
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
            "connecting to server"
        );
        spawn_local(connection.run());
    }
}

#[cfg(test)]
mod tests;
