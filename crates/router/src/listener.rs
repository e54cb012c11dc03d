//! Accepts client connections while there are free slots, and waits for the last responses to be
//! written at the end.

mod binding;
mod connection_slots;

pub use binding::{bind, bind_with};

use crate::client_connection::{ClientConnection, ClientFrontend};
use crate::io_errors::AcceptFailure;
use crate::lifecycle::Phase;
use crate::messages::{Message, SlotId, SlotUpdate};
use crate::rate_limited_log::RateLimitedLog;
use crate::server_connection::sleep_until_opt;
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

/// The pause after an accept that failed for lack of descriptors or memory, or for a reason that
/// may last.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Accepting also pauses after this many consecutive connections that failed while being accepted,
/// so that other tasks can run.
const PAUSE_AFTER_FAILURES: usize = 32;
/// Failed accepts are retried for this long after the router has ended.
const FINAL_ACCEPT_RETRY_TIMEOUT: Duration = Duration::from_millis(40);
/// A connection in the accept queue can be taken within this time.
const FINAL_ACCEPT_TIMEOUT: Duration = Duration::from_millis(1);
/// Time for connections to write the last responses and close.
const FINAL_WRITE_TIMEOUT: Duration = Duration::from_millis(200);
/// Additional time for connections to be polled if this process was delayed for all of
/// `FINAL_WRITE_TIMEOUT`.
const FINAL_POLL_TIMEOUT: Duration = Duration::from_millis(20);
/// Capacity of the channel for status updates of connections.
const MAX_QUEUED_UPDATES: usize = 64;

/// The source of client connections: the listening socket, or a test double of it.
pub trait Accept {
    /// Waits for the next connection. Cancel safe: if the future is dropped before it is ready, no
    /// connection has been taken.
    fn accept(&self) -> impl Future<Output = io::Result<TcpStream>>;
}

impl Accept for TcpListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        TcpListener::accept(self).await.map(|(stream, _)| stream)
    }
}

/// Handles a failed accept, the last of `consecutive_failures`. Idle connections are evicted if no
/// descriptor became free during an earlier pause. Returns how long to pause accepting.
fn after_failed_accept(
    failure: AcceptFailure,
    consecutive_failures: usize,
    slots: &mut ConnectionSlots,
) -> Option<Duration> {
    match failure {
        AcceptFailure::Interrupted | AcceptFailure::PerConnection => consecutive_failures
            .is_multiple_of(PAUSE_AFTER_FAILURES)
            .then_some(ACCEPT_PAUSE),
        AcceptFailure::DescriptorsExhausted => {
            if consecutive_failures > 1 {
                slots.evict_many();
            }
            Some(ACCEPT_PAUSE)
        }
        AcceptFailure::MemoryExhausted | AcceptFailure::Listener => Some(ACCEPT_PAUSE),
    }
}

/// Takes the next connection from the accept queue after the router has ended. None: the queue is
/// empty, or accepts fail until `retry_deadline`.
async fn next_pending(listener: &impl Accept, retry_deadline: Instant) -> Option<TcpStream> {
    loop {
        let error = match timeout(FINAL_ACCEPT_TIMEOUT, listener.accept()).await {
            Ok(Ok(stream)) => return Some(stream),
            Ok(Err(error)) => error,
            Err(_) => return None,
        };
        if Instant::now() >= retry_deadline {
            return None;
        }
        if AcceptFailure::from(&error).is_transient() {
            yield_now().await;
        } else {
            // Clients that have received their last responses close meanwhile and free resources.
            sleep(FINAL_ACCEPT_TIMEOUT).await;
        }
    }
}

/// Runs until the router has ended and the last responses have been written.
///
/// At `max_connections`, idle connections are evicted. If none is idle, new connections wait to be
/// accepted until another one closes.
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
        slots_by_task: HashMap::new(),
        status_sender,
        status_updates,
        failures_log: RateLimitedLog::default(),
        consecutive_failures: 0,
        paused_until: None,
    };
    accept_loop.run_until_end().await;
    accept_loop.shut_down().await;
}

/// An event that the accept loop waits for.
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
    slots_by_task: HashMap<TaskId, SlotId>,
    status_sender: mpsc::Sender<SlotUpdate>,
    status_updates: mpsc::Receiver<SlotUpdate>,
    failures_log: RateLimitedLog,
    consecutive_failures: usize,
    /// Accepting is paused until this time. Status updates are still received, so that connections
    /// are not blocked.
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
                Event::Accepted(Err(error)) => self.handle_accept_failure(&error),
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
            () = sleep_until_opt(self.paused_until), if is_paused => Event::PauseElapsed,
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
                log::error!(error:% = error; "client connection task failed");
                error.id()
            }
        };
        if let Some(slot) = self.slots_by_task.remove(&task) {
            self.slots.release(slot);
        }
    }

    fn start_connection(&mut self, stream: TcpStream) {
        self.consecutive_failures = 0;
        let slot = self.slots.take(self.status_sender.clone());
        let slot_id = slot.id;
        let connection = ClientConnection {
            frontend: self.frontend.clone(),
            decider: self.decider.clone(),
            phase: self.phase.clone(),
            slot,
        };
        let task = self.connections.spawn_local(connection.run(stream));
        self.slots_by_task.insert(task.id(), slot_id);
    }

    fn handle_accept_failure(&mut self, error: &io::Error) {
        self.consecutive_failures += 1;
        let failure = AcceptFailure::from(error);
        let pause = after_failed_accept(failure, self.consecutive_failures, &mut self.slots);
        if pause.is_some() {
            self.failures_log
                .log_error("accepting client connections failed", error);
        } else {
            log::debug!(error:% = error; "client connection failed before it was accepted");
        }
        self.paused_until = pause.map(|pause| Instant::now() + pause);
    }

    /// Serves the connections in the accept queue, since requests on them must be answered too.
    /// Then waits for the last responses to be written.
    async fn shut_down(mut self) {
        // Updates are not read any more: no connection may block on sending one.
        self.status_updates.close();
        while self.status_updates.try_recv().is_ok() {}
        let retry_deadline = Instant::now() + FINAL_ACCEPT_RETRY_TIMEOUT;
        for _ in 0..ACCEPT_BACKLOG {
            let Some(stream) = next_pending(&self.listener, retry_deadline).await else {
                break;
            };
            self.start_connection(stream);
        }
        drop(self.listener);
        let mut connections = self.connections;
        let mut all_closed = pin!(async { while connections.join_next().await.is_some() {} });
        if timeout(FINAL_WRITE_TIMEOUT, &mut all_closed).await.is_err() {
            // This process may have been delayed meanwhile. Its connections are polled once more,
            // so that unread requests are answered and not reset.
            let _ = timeout(FINAL_POLL_TIMEOUT, all_closed).await;
        }
    }
}

#[cfg(test)]
mod tests;
