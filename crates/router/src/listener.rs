//! Accepts clients' connections while there are slots for them, and waits for the last answers at
//! the end.

mod binding;
mod connection_slots;

pub use binding::{bind, bind_with};

use crate::client_connection::{ClientConnection, ClientFrontend};
use crate::io_errors::AcceptFailure;
use crate::lifecycle::Phase;
use crate::messages::{Message, SlotId, SlotUpdate};
use crate::rate_limited_log::RateLimitedLog;
use crate::server_connection::at;
use binding::ACCEPT_BACKLOG;
use connection_slots::ConnectionSlots;
use std::collections::HashMap;
use std::future::Future;
use std::io;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{Id as TaskId, JoinError, JoinSet, yield_now};
use tokio::time::{Instant, sleep, timeout};

/// The pause after an accept failed for want of descriptors or memory, or for a reason that will
/// not pass by itself.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// After so many connections in a row that failed as they were accepted there is a pause too, lest
/// nothing else gets done.
const PAUSE_AFTER_FAILURES: usize = 32;
/// Accepts that fail as the router ends are tried again for so long.
const FINAL_ACCEPT_RETRIES: Duration = Duration::from_millis(40);
/// Within this a connection that the system has accepted can be taken.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(1);
/// For the last answers to be written.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// For what is left to be done where the program itself was held up for as long.
const FINAL_TURN_TIMEOUT: Duration = Duration::from_millis(20);
/// Status updates of connections that wait for the listener.
const MAX_QUEUED_UPDATES: usize = 64;

/// Where clients' connections come from: the listening socket, or a test double of it.
pub trait Accept {
    /// Waits for the next connection. Dropped before it is ready, it has taken none.
    fn accept(&self) -> impl Future<Output = io::Result<TcpStream>>;
}

impl Accept for TcpListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        TcpListener::accept(self).await.map(|(stream, _)| stream)
    }
}

/// What follows an accept that failed, the last of so many in a row: idle connections are evicted
/// where no descriptor is left and a pause did not bring one, and nothing is accepted for the time
/// that is returned.
fn after_failed_accept(
    failure: AcceptFailure,
    failures_in_a_row: usize,
    slots: &mut ConnectionSlots,
) -> Option<Duration> {
    match failure {
        AcceptFailure::Interrupted | AcceptFailure::PerConnection => failures_in_a_row
            .is_multiple_of(PAUSE_AFTER_FAILURES)
            .then_some(ACCEPT_PAUSE),
        AcceptFailure::DescriptorsExhausted => {
            if failures_in_a_row > 1 {
                slots.evict_many();
            }
            Some(ACCEPT_PAUSE)
        }
        AcceptFailure::MemoryExhausted | AcceptFailure::Listener => Some(ACCEPT_PAUSE),
    }
}

/// The next connection that the system has accepted before the router's end. None: there is none,
/// or it cannot be had in time.
async fn next_waiting(listener: &impl Accept, give_up_at: Instant) -> Option<TcpStream> {
    loop {
        let error = match timeout(FINAL_ACCEPT_TIMEOUT, listener.accept()).await {
            Ok(Ok(stream)) => return Some(stream),
            Ok(Err(error)) => error,
            Err(_) => return None,
        };
        if Instant::now() >= give_up_at {
            return None;
        }
        if AcceptFailure::from(&error).is_transient() {
            yield_now().await;
        } else {
            // Clients that have their last answers close meanwhile.
            sleep(FINAL_ACCEPT_TIMEOUT).await;
        }
    }
}

/// Runs until the router has ended and the last answers are written.
///
/// Past `max_connections`, idle connections are evicted; where none is idle, new ones wait to be
/// accepted until one closes.
pub async fn run(
    listener: impl Accept,
    max_connections: usize,
    frontend: Rc<ClientFrontend>,
    decider: mpsc::Sender<Message>,
    phase: watch::Receiver<Phase>,
) {
    let (status_sender, status_updates) = mpsc::channel(MAX_QUEUED_UPDATES);
    let mut accept_loop = AcceptLoop {
        listener,
        max_connections,
        frontend,
        decider,
        phase,
        connections: JoinSet::new(),
        slots: ConnectionSlots::default(),
        slot_of_task: HashMap::new(),
        status_sender,
        status_updates,
        failures_log: RateLimitedLog::default(),
        failures_in_a_row: 0,
        paused_until: None,
    };
    accept_loop.run_until_end().await;
    accept_loop.shut_down().await;
}

/// What the accept loop has waited for.
enum Event {
    RouterEnded,
    StatusChanged(SlotUpdate),
    ConnectionClosed(Result<(TaskId, ()), JoinError>),
    PauseElapsed,
    Accepted(io::Result<TcpStream>),
}

struct AcceptLoop<L> {
    listener: L,
    max_connections: usize,
    frontend: Rc<ClientFrontend>,
    decider: mpsc::Sender<Message>,
    phase: watch::Receiver<Phase>,
    connections: JoinSet<()>,
    slots: ConnectionSlots,
    slot_of_task: HashMap<TaskId, SlotId>,
    status_sender: mpsc::Sender<SlotUpdate>,
    status_updates: mpsc::Receiver<SlotUpdate>,
    failures_log: RateLimitedLog,
    failures_in_a_row: usize,
    /// After a failed accept: none before then. Status updates are taken meanwhile, lest
    /// connections wait.
    paused_until: Option<Instant>,
}

impl<L: Accept> AcceptLoop<L> {
    async fn run_until_end(&mut self) {
        loop {
            match self.next_event().await {
                Event::RouterEnded => return,
                Event::StatusChanged(update) => self.update_slots(update),
                Event::ConnectionClosed(ended) => self.release_slot(ended),
                Event::PauseElapsed => self.paused_until = None,
                Event::Accepted(Ok(stream)) => self.start_connection(stream),
                Event::Accepted(Err(error)) => self.note_failure(&error),
            }
            self.slots.keep_one_free(self.max_connections);
        }
    }

    async fn next_event(&mut self) -> Event {
        let is_paused = self.paused_until.is_some();
        let may_accept = !is_paused && !self.slots.is_full(self.max_connections);
        tokio::select! {
            biased;
            _ = self.phase.wait_for(|phase| *phase == Phase::Ended) => Event::RouterEnded,
            Some(update) = self.status_updates.recv() => Event::StatusChanged(update),
            Some(ended) = self.connections.join_next_with_id() => Event::ConnectionClosed(ended),
            () = at(self.paused_until), if is_paused => Event::PauseElapsed,
            accepted = self.listener.accept(), if may_accept => Event::Accepted(accepted),
        }
    }

    fn update_slots(&mut self, first: SlotUpdate) {
        self.slots.update(first);
        while let Ok(update) = self.status_updates.try_recv() {
            self.slots.update(update);
        }
    }

    fn release_slot(&mut self, ended: Result<(TaskId, ()), JoinError>) {
        let task = match ended {
            Ok((task, ())) => task,
            Err(error) => {
                log::error!(error:% = error; "a connection's task failed");
                error.id()
            }
        };
        if let Some(slot) = self.slot_of_task.remove(&task) {
            self.slots.release(slot);
        }
    }

    fn start_connection(&mut self, stream: TcpStream) {
        self.failures_in_a_row = 0;
        let slot = self.slots.take(self.status_sender.clone());
        let slot_id = slot.id;
        let connection = ClientConnection {
            frontend: self.frontend.clone(),
            decider: self.decider.clone(),
            phase: self.phase.clone(),
            slot,
        };
        let task = self.connections.spawn_local(connection.run(stream));
        self.slot_of_task.insert(task.id(), slot_id);
    }

    fn note_failure(&mut self, error: &io::Error) {
        self.failures_in_a_row += 1;
        let failure = AcceptFailure::from(error);
        let pause = after_failed_accept(failure, self.failures_in_a_row, &mut self.slots);
        if pause.is_some() {
            self.failures_log
                .log_error("no connection could be accepted", error);
        } else {
            log::debug!(error:% = error; "a connection failed before it was accepted");
        }
        self.paused_until = pause.map(|pause| Instant::now() + pause);
    }

    /// Serves the connections that the system has accepted already: what came on them is owed an
    /// answer too. Then waits for the last answers to be written.
    async fn shut_down(mut self) {
        // Nobody reads them any more: no connection may wait for that.
        self.status_updates.close();
        while self.status_updates.try_recv().is_ok() {}
        let give_up_at = Instant::now() + FINAL_ACCEPT_RETRIES;
        for _ in 0..ACCEPT_BACKLOG {
            let Some(stream) = next_waiting(&self.listener, give_up_at).await else {
                break;
            };
            self.start_connection(stream);
        }
        drop(self.listener);
        let mut connections = self.connections;
        let mut all_closed = pin!(async { while connections.join_next().await.is_some() {} });
        if timeout(FINAL_WRITE_TIMEOUT, &mut all_closed).await.is_err() {
            // The program itself may have been held up meanwhile: its connections have a turn after
            // that, lest requests that lie unread on them are reset.
            let _ = timeout(FINAL_TURN_TIMEOUT, all_closed).await;
        }
    }
}

#[cfg(test)]
mod tests;
