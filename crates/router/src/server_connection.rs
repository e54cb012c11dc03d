//! One connection to a server: writes requests, reads answers and enforces the deadlines of
//! attempts.
//!
//! This actor does the I/O; [`Attempts`] decides what is written and how each attempt ends.

mod attempts;
mod connect;
mod disconnect;
mod inbound;

use crate::io_errors::{ConnectFailure, MEMORY_RETRY_DELAY, StreamFailure, set_nodelay};
use crate::messages::{ConnectionCommand, ConnectionEvent, ServerCommand};
use crate::scheduling_delay;
use attempts::Attempts;
use chalkhall::interface::{Id, Outcome};
use connect::{connect_with_retry, outcome_of_connect_failure};
use disconnect::DisconnectReason;
use inbound::Inbound;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::net::tcp::WriteHalf;
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// The actor of one connection. It stops when the server's actor drops its mailbox, or when the
/// connection ends.
pub struct Connection {
    /// Its number among the connections of its server.
    pub number: u64,
    /// The name of the server, for the log.
    pub server: Id,
    /// Where the server is.
    pub address: SocketAddr,
    /// How long the connect may take.
    pub connect_timeout: Duration,
    /// Attempts to send and to cancel.
    pub commands: mpsc::Receiver<ConnectionCommand>,
    /// The mailbox of the server's actor, for events.
    pub events: mpsc::Sender<ServerCommand>,
    /// The slot that is held while the connection may use a descriptor.
    pub _slot: OwnedSemaphorePermit,
}

impl Connection {
    /// Connects, serves attempts until the connection ends, and reports the result of each.
    pub async fn run(mut self) {
        let mut attempts = Attempts::new(self.connect_timeout);
        match self.connect(&mut attempts).await {
            Some(Ok(stream)) => self.established(stream, &mut attempts).await,
            Some(Err(error)) => self.connect_failed(&error, &mut attempts).await,
            None => {}
        }
        // Attempts that were queued while the connection ended also have to be reported.
        self.commands.close();
        while let Some(command) = self.commands.recv().await {
            attempts.handle(Instant::now(), command);
        }
        attempts.disconnected(Outcome::NeverSent);
        self.report_ended(&mut attempts).await;
        self.report(ConnectionEvent::Closed).await;
    }

    async fn established(&mut self, stream: TcpStream, attempts: &mut Attempts) {
        self.report(ConnectionEvent::Established).await;
        if let Err(reason) = self.serve(stream, attempts).await {
            log::debug!(
                server = &*self.server, address:% = self.address, reason:%;
                "connection to server ended"
            );
        }
        attempts.disconnected(Outcome::NeverSent);
    }

    async fn connect_failed(&self, error: &io::Error, attempts: &mut Attempts) {
        log::debug!(
            server = &*self.server, address:% = self.address, reason:% = error;
            "connecting to server failed"
        );
        let failure = ConnectFailure::from(error);
        if failure != ConnectFailure::Server {
            self.report(ConnectionEvent::LocalFailure).await;
        }
        attempts.disconnected(outcome_of_connect_failure(failure));
    }

    async fn report(&self, event: ConnectionEvent) {
        let number = self.number;
        let command = ServerCommand::Connection { number, event };
        // If the server's actor has stopped, the event is not needed.
        let _ = self.events.send(command).await;
    }

    async fn report_ended(&self, attempts: &mut Attempts) {
        while let Some(ended) = attempts.next_ended() {
            self.report(ConnectionEvent::AttemptEnded(ended)).await;
        }
    }

    /// Connects. Returns `None` if the server's actor drops this connection meanwhile.
    async fn connect(&mut self, attempts: &mut Attempts) -> Option<io::Result<TcpStream>> {
        let connecting = timeout(
            self.connect_timeout,
            connect_with_retry(|| TcpStream::connect(self.address)),
        );
        tokio::pin!(connecting);
        loop {
            self.report_ended(attempts).await;
            let next_deadline = attempts.next_deadline();
            tokio::select! {
                connected = &mut connecting => {
                    let timed_out = |_| Err(io::ErrorKind::TimedOut.into());
                    return Some(connected.unwrap_or_else(timed_out).inspect(set_nodelay));
                }
                command = self.commands.recv() => attempts.handle(Instant::now(), command?),
                () = sleep_until_opt(next_deadline) => attempts.expire(Instant::now()),
            }
        }
    }

    /// Writes and reads until the server's actor drops this connection.
    async fn serve(
        &mut self,
        mut stream: TcpStream,
        attempts: &mut Attempts,
    ) -> Result<(), DisconnectReason> {
        let (mut reader, writer) = stream.split();
        let mut inbound = Inbound::default();
        loop {
            attempts.expire(Instant::now());
            attempts.stage_next_write();
            self.report_ended(attempts).await;
            let next_deadline = attempts.next_deadline();
            let stalled_at = inbound.stalled_at(attempts, self.connect_timeout);
            tokio::select! {
                biased;
                ready = writer.writable(), if attempts.has_to_write() => {
                    ready.map_err(DisconnectReason::Write)?;
                    self.write(&writer, attempts).await?;
                }
                command = self.commands.recv() => match command {
                    Some(command) => attempts.handle(Instant::now(), command),
                    None => return Ok(()),
                },
                read = inbound.read(&mut reader) => {
                    if read.map_err(DisconnectReason::Read)? == 0 {
                        return Err(DisconnectReason::ClosedByServer);
                    }
                    inbound.decode(Instant::now(), attempts)?;
                }
                () = sleep_until_opt(stalled_at) => return Err(DisconnectReason::AnswerStalled),
                () = sleep_until_opt(next_deadline) => {}
            }
        }
    }

    /// Writes as much as the socket accepts without waiting.
    async fn write(
        &mut self,
        writer: &WriteHalf<'_>,
        attempts: &mut Attempts,
    ) -> Result<(), DisconnectReason> {
        if attempts.has_staged_attempt() {
            self.catch_up(attempts).await;
        }
        // Checked again: the socket may have been full for a long time, or the process stalled.
        let now = Instant::now();
        attempts.expire(now);
        if !attempts.has_to_write() {
            return Ok(());
        }
        let Err(error) = attempts.write_with(now, |chunks| writer.try_write_vectored(chunks))
        else {
            return Ok(());
        };
        match StreamFailure::from(&error) {
            StreamFailure::Retry => {}
            StreamFailure::MemoryExhausted => sleep(MEMORY_RETRY_DELAY).await,
            StreamFailure::Broken => return Err(DisconnectReason::Write(error)),
        }
        Ok(())
    }

    /// Lets other tasks read what arrived during a scheduling delay: the disconnect of a client may
    /// still be unread, and the order in which tasks run is not defined. Commands are received
    /// meanwhile, so that the mailbox does not fill up.
    async fn catch_up(&mut self, attempts: &mut Attempts) {
        scheduling_delay::catch_up(|| {
            while let Ok(command) = self.commands.try_recv() {
                attempts.handle(Instant::now(), command);
            }
        })
        .await;
    }
}

/// Sleeps until a time, or forever if there is none.
pub async fn sleep_until_opt(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests;
