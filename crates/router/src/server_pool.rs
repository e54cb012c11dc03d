//! A cache server, a parent or the origin: shares a few connections among the attempts sent to it.

use crate::backoff::Backoff;
use crate::messages::{
    Ask, ConnectionCommand, ConnectionEvent, Ended, Key, Message, ServerCommand,
};
use crate::server_connection::{Connection, at};
use crate::server_protocol::Answer;
use chalkhall::interface::{Id, Outcome};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// A second connection is opened where the least busy one carries this many.
const SHARED_FROM: usize = 4;
/// What must not run twice goes on a connection that was in use this lately, or on a new one: a server may
/// have let go of one that stands idle, long before it should, and says so only when a request has been
/// written.
const FRESH: Duration = Duration::from_millis(50);
/// Orders waiting for one connection; more are reported never sent.
const ORDERS_MOST: usize = 256;
/// Orders on their way to a server's actor, which takes them at once; more are reported never sent.
const MAILBOX_MOST: usize = 1024;
/// An actor that has neither a connection nor anything out ends after so long without an order. Long enough
/// that a server that refuses connections keeps its actor over a few retries; it holds some KB meanwhile.
pub const ENDS_AFTER: Duration = Duration::from_secs(2);
/// Ids that were out on a connection and of which another answer may come that nobody wants.
const OLD_IDS_MOST: usize = 256;

struct Held {
    number: u64,
    orders: mpsc::Sender<ConnectionCommand>,
    open: usize,
    up: bool,
    made: Instant,
    /// Takes nothing new: it fell silent, or stands idle, or leads elsewhere.
    retired: bool,
    used: Instant,
    /// An answer to one of these that crossed its QUIT, or a second copy, would pass for that to a later
    /// attempt.
    old: VecDeque<Id>,
}

/// Where as few of the places for connections are free as this part of them, idle ones are let go of.
const PLACES_KEPT_FREE: usize = 16;

/// The places for connections to all servers together: with the clients' they are the descriptors that there are.
pub struct ConnectionPlaces {
    free: Arc<Semaphore>,
    kept_free: usize,
    /// Waited for by the actors with an idle connection, those first in which nothing has happened for longest.
    short: Notify,
}

impl ConnectionPlaces {
    pub fn new(most: usize) -> ConnectionPlaces {
        let kept_free = most / PLACES_KEPT_FREE;
        ConnectionPlaces {
            free: Arc::new(Semaphore::new(most)),
            kept_free,
            short: Notify::new(),
        }
    }

    /// None: all are taken. Where few are left, an idle connection of some server is let go of: with many servers
    /// idle connections alone could take all places, and a server without one could be sent nothing.
    fn take(&self) -> Option<OwnedSemaphorePermit> {
        let place = self.free.clone().try_acquire_owned().ok();
        if self.free.available_permits() <= self.kept_free {
            self.short.notify_one();
        }
        place
    }
}

/// Starts the actor of a server when the first attempt is ordered for it: most of the servers of a large fleet
/// are never sent anything by one router, and an actor with its mailboxes takes several KB.
pub struct ServerActors {
    pub streams: usize,
    pub connect_timeout: Duration,
    pub idle: Duration,
    pub decider: mpsc::Sender<Message>,
    pub places: Rc<ConnectionPlaces>,
}

impl ServerActors {
    /// The mailbox of a new actor. It closes the mailbox as it ends: what finds it closed was not taken.
    pub fn spawn(
        &self,
        name: Id,
        dial: SocketAddr,
        connections_most: usize,
    ) -> mpsc::Sender<ServerCommand> {
        let (sender, orders) = mpsc::channel(MAILBOX_MOST);
        let (orders_of_connections, from_connections) = mpsc::channel(MAILBOX_MOST);
        let server = Server {
            name,
            dial,
            connections_most,
            streams: self.streams,
            connect_timeout: self.connect_timeout,
            idle: self.idle,
            orders,
            orders_of_connections,
            decider: self.decider.clone(),
            places: self.places.clone(),
        };
        spawn_local(server.run(from_connections));
        sender
    }
}

pub struct Server {
    pub name: Id,
    pub dial: SocketAddr,
    pub connections_most: usize,
    pub streams: usize,
    pub connect_timeout: Duration,
    pub idle: Duration,
    pub orders: mpsc::Receiver<ServerCommand>,
    pub orders_of_connections: mpsc::Sender<ServerCommand>,
    pub decider: mpsc::Sender<Message>,
    pub places: Rc<ConnectionPlaces>,
}

#[derive(Default)]
struct ConnectionPool {
    connections: Vec<Held>,
    backoff: Backoff,
    last: u64,
    out: HashMap<Key, u64>,
}

impl ConnectionPool {
    fn next_idle(&self, idle: Duration) -> Option<Instant> {
        self.connections
            .iter()
            .filter(|l| l.open == 0)
            .map(|l| l.used + idle)
            .min()
    }

    fn has_idle(&self) -> bool {
        self.connections
            .iter()
            .any(|connection| connection.open == 0)
    }

    fn retire_longest_idle(&mut self) {
        let idle = self
            .connections
            .iter_mut()
            .filter(|connection| connection.open == 0);
        idle.min_by_key(|connection| connection.used)
            .into_iter()
            .for_each(|longest| longest.retired = true);
    }

    /// It has neither a connection nor anything out.
    fn is_resting(&self) -> bool {
        self.connections.is_empty() && self.out.is_empty()
    }
}

impl Server {
    /// Runs until the decider has let go of it and all that is out has ended, or until it has rested for long
    /// enough.
    pub async fn run(mut self, mut from_connections: mpsc::Receiver<ServerCommand>) {
        let mut hands = ConnectionPool::default();
        let mut wanted = true;
        let mut last_order = Instant::now();
        let places = self.places.clone();
        while wanted || !hands.out.is_empty() {
            let ends = hands.is_resting().then_some(last_order + ENDS_AFTER);
            let next = hands.next_idle(self.idle).or(ends);
            let order = tokio::select! {
                order = self.orders.recv(), if wanted => {
                    wanted = order.is_some();
                    order
                }
                order = from_connections.recv() => order,
                () = places.short.notified(), if hands.has_idle() => {
                    hands.retire_longest_idle();
                    None
                }
                () = at(next) => None,
            };
            if let Some(order) = order {
                last_order = Instant::now();
                self.order(&mut hands, order).await;
            }
            self.retire(&mut hands);
            if wanted && hands.is_resting() && self.has_rested(last_order) {
                return self.rest().await;
            }
        }
    }

    /// No order has come for long enough, and none lies in the mailbox: one that came in this very moment is
    /// taken first.
    fn has_rested(&self, last_order: Instant) -> bool {
        Instant::now() >= last_order + ENDS_AFTER && self.orders.is_empty()
    }

    /// The decider, whose tasks run on this thread too, finds the mailbox closed from here on and starts another
    /// actor; nothing can have come between the look into the mailbox and this.
    async fn rest(mut self) {
        self.orders.close();
        let _ = self.decider.send(Message::ServerRests(self.name)).await;
    }

    /// Closed before the other side does it: a request that crosses a close may have run.
    fn retire(&self, hands: &mut ConnectionPool) {
        let now = Instant::now();
        hands
            .connections
            .iter_mut()
            .for_each(|l| l.retired |= l.open == 0 && now >= l.used + self.idle);
        hands.connections.retain(|l| !(l.retired && l.open == 0));
    }

    async fn end(&self, key: Key, outcome: Outcome, answer: Option<Box<Answer>>) {
        let _ = self
            .decider
            .send(Message::Ended(Ended {
                key,
                outcome,
                answer,
            }))
            .await;
    }

    async fn order(&mut self, hands: &mut ConnectionPool, order: ServerCommand) {
        match order {
            ServerCommand::Ask(ask) => {
                let key = ask.key.clone();
                if !self.pass(hands, ask) {
                    self.end(key, Outcome::NeverSent, None).await;
                }
            }
            ServerCommand::Quit(key) => {
                let Some(number) = hands.out.get(&key) else {
                    return;
                };
                // Where the connection takes no orders its end is on the way.
                if let Some(connection) = hands.connections.iter().find(|l| l.number == *number) {
                    let _ = connection.orders.try_send(ConnectionCommand::Quit(key));
                }
            }
            ServerCommand::Reconnect { dial, started } => {
                let elsewhere = dial != self.dial;
                self.dial = dial;
                if elsewhere {
                    // What kept the old address from being reached says nothing of the new one.
                    hands.backoff = Backoff::default();
                }
                let before =
                    |connection: &Held| elsewhere || started.is_some_and(|at| connection.made < at);
                hands
                    .connections
                    .iter_mut()
                    .filter(|l| before(l))
                    .for_each(|l| l.retired = true);
            }
            ServerCommand::Connection(number, ConnectionEvent::Up) => {
                hands
                    .connections
                    .iter_mut()
                    .filter(|l| l.number == number)
                    .for_each(|l| l.up = true);
                hands.backoff.succeeded();
            }
            ServerCommand::Connection(number, ConnectionEvent::LocalFailure) => {
                // What comes before its last report must find it gone already.
                hands
                    .connections
                    .iter_mut()
                    .filter(|l| l.number == number)
                    .for_each(|l| l.retired = true);
                hands.backoff.failed(Instant::now());
            }
            ServerCommand::Connection(number, ConnectionEvent::Down) => {
                hands.connections.retain(|l| l.number != number)
            }
            ServerCommand::Connection(
                number,
                ConnectionEvent::Ended {
                    key,
                    outcome,
                    answer,
                    silent,
                },
            ) => {
                if hands.out.remove(&key).is_none() {
                    return;
                }
                if let Some(connection) = hands.connections.iter_mut().find(|l| l.number == number)
                {
                    connection.open -= 1;
                    connection.used = Instant::now();
                    // A machine that vanished says nothing; a new connection to it will not come up, which
                    // proves that nothing ran.
                    connection.retired |= silent;
                    if outcome != Outcome::NeverSent {
                        connection.old.push_back(key.0.clone());
                        connection
                            .old
                            .drain(..connection.old.len().saturating_sub(OLD_IDS_MOST));
                    }
                }
                self.end(key, outcome, answer).await;
            }
        }
    }

    /// ConnectionPool an attempt to the least busy connection that may take it. False: there is none.
    fn pass(&mut self, hands: &mut ConnectionPool, mut ask: Box<Ask>) -> bool {
        // None of those that have stood idle for too long, also where this order comes before the time for
        // it.
        self.retire(hands);
        let (key, once, now) = (ask.key.clone(), ask.once, Instant::now());
        let fresh = |l: &Held| l.open > 0 || now < l.used + FRESH;
        // A connection that broke a moment ago takes no orders; the next one may.
        for _ in 0..=self.connections_most {
            let usable = |l: &Held| {
                !l.retired
                    && l.open < self.streams
                    && !l.old.contains(&key.0)
                    && (fresh(l) || !once)
            };
            let best = |connections: &[Held]| {
                let usable = connections.iter().enumerate().filter(|(_, l)| usable(l));
                usable
                    .min_by_key(|(_, l)| (!l.up, l.open))
                    .map(|(at, _)| at)
            };
            let found = best(&hands.connections);
            let crowded = found.is_none_or(|at| hands.connections[at].open >= SHARED_FROM);
            let connecting = hands.connections.iter().any(|l| !l.up && !l.retired);
            if found.is_none()
                || crowded && !connecting && hands.connections.len() < self.connections_most
            {
                if once && hands.connections.len() >= self.connections_most {
                    hands
                        .connections
                        .iter_mut()
                        .for_each(|l| l.retired |= !fresh(l));
                    hands.connections.retain(|l| !(l.retired && l.open == 0));
                }
                // Past the bound only where no other can take it: silent ones still hold descriptors.
                if hands.connections.len() >= self.connections_most * 2 {
                    return false;
                }
                self.open(hands);
            }
            let Some(connection) = best(&hands.connections).map(|at| &mut hands.connections[at])
            else {
                return false;
            };
            match connection.orders.try_send(ConnectionCommand::Ask(ask)) {
                Ok(()) => {
                    connection.open += 1;
                    connection.used = Instant::now();
                    hands.out.insert(key, connection.number);
                    return true;
                }
                Err(mpsc::error::TrySendError::Closed(ConnectionCommand::Ask(back))) => {
                    connection.retired = true;
                    ask = back;
                }
                Err(_) => return false,
            }
        }
        false
    }

    /// Opens one more, if there is a descriptor for it, and this machine was not short of something just now.
    fn open(&self, hands: &mut ConnectionPool) {
        if !hands.backoff.allows(Instant::now()) {
            return;
        }
        let Some(place) = self.places.take() else {
            return;
        };
        hands.last += 1;
        let (orders, receiver) = mpsc::channel(ORDERS_MOST);
        let now = Instant::now();
        let (number, old) = (hands.last, VecDeque::new());
        hands.connections.push(Held {
            number,
            orders,
            open: 0,
            up: false,
            made: now,
            retired: false,
            used: now,
            old,
        });
        let connection = Connection {
            number,
            dial: self.dial,
            connect_timeout: self.connect_timeout,
            orders: receiver,
            server: self.orders_of_connections.clone(),
            _place: place,
        };
        log::debug!("{}: connection {number} to {}", self.name, self.dial);
        spawn_local(connection.run());
    }
}

#[cfg(test)]
mod tests;
