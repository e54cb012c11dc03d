//! One client's connection, as a state machine: reads requests, writes their answers in the order
//! in which they come.
//!
//! ```text
//!            slot needed for another         idle
//! Serving --------------------------> Evicting ------> closed
//!     |                                  |
//!     +------------ router ended --------+-----> RouterEnded ------> closed
//!                                                   all written, nothing unread
//! ```
//!
//! In any state it is closed when the client closes it, breaks the protocol or takes no answers in
//! time.

mod admission;
mod closing;
mod read_buffer;
mod read_watch;
mod requests;
mod write_buffer;

use crate::clock::Clock;
use crate::io_errors::set_nodelay;
use crate::lifecycle::Phase;
use crate::messages::{
    CancellationFlag, ClientReply, ConnectionSlot, Message, SlotStatus, SlotUpdate,
};
use crate::server_connection::at;
use chalkhall::interface::Id;
use closing::{CloseReason, ProtocolViolation};
use read_buffer::ReadBuffer;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpStream, tcp::WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use write_buffer::{PIECES_PER_RESPONSE, WriteBuffer};

/// A connection carries up to 32 open requests.
const MAX_OPEN_REQUESTS: usize = 32;
/// More pieces than this wait to be written only for a client that sends more requests than a
/// connection carries, or cancels many: further ones are rejected.
const REJECT_AT_PIECES: usize = PIECES_PER_RESPONSE * MAX_OPEN_REQUESTS;
/// From this many on nothing more is read from it, and none of its requests stays open: a
/// cancellation or its close would lie unread while attempts begin.
const STOP_READING_AT_PIECES: usize = 4 * REJECT_AT_PIECES;
/// The mailbox holds an answer to each open request, and to those cancelled while it was not looked
/// into.
const MAX_REPLIES: usize = 4 * MAX_OPEN_REQUESTS;
/// A connection that takes no byte of its answers for this long is closed, once no client waits for
/// one any more.
const WRITE_TIMEOUT: Duration = Duration::from_secs(6);
/// Clients close their idle connections after 4 s; those who keep them for good hold descriptors
/// for nothing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The first message, and each that has begun, must be complete within this time.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// As the router ends, unread requests are looked for in all for this long.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(40);

/// What all clients' connections share.
pub struct ClientFrontend {
    /// The names of the classes, by index.
    pub classes: Vec<String>,
    /// The names of the tenants, by index; empty: they are known by their numbers.
    pub tenants: Vec<String>,
    /// The highest transfer rate of one answer, in KB a second; 0: not configured.
    pub max_kb_per_s: f64,
    /// When a client may send a request again that came as the router ended.
    pub retry_after: Option<Duration>,
    /// The router's clock.
    pub clock: Clock,
}

/// A connection that has been accepted, and what it needs of the router.
pub struct ClientConnection {
    /// What all connections share.
    pub frontend: Rc<ClientFrontend>,
    /// The mailbox of the decider.
    pub decider: mpsc::Sender<Message>,
    /// The router's phase.
    pub phase: watch::Receiver<Phase>,
    /// Its slot at the listener.
    pub slot: ConnectionSlot,
}

impl ClientConnection {
    /// Serves the connection until it is closed.
    pub async fn run(self, mut stream: TcpStream) {
        let mut session = Session::new(self);
        let reason = session.serve(&mut stream).await;
        session.close(stream, &reason).await;
    }
}

/// Where a connection is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Serving,
    /// Its slot is needed: it is closed as soon as it is idle.
    Evicting,
    /// What came before the router's end is still looked for until this time, and rejected.
    RouterEnded {
        read_until: Instant,
    },
}

/// What a connection has waited for.
enum Event {
    Written(io::Result<()>),
    Reply(ClientReply),
    RouterEnded,
    /// Bytes were read, none at the stream's end; they may have lain unread for so long.
    Read {
        result: io::Result<usize>,
        unread_for: Duration,
    },
    EvictionRequested,
    TimedOut,
}

/// A request of this connection, until its final answer or its cancellation.
struct OpenRequest {
    id: Id,
    cancellation: CancellationFlag,
}

/// The state of a connection while it is served.
struct Session {
    connection: ClientConnection,
    state: State,
    /// By tag.
    open: HashMap<u64, OpenRequest>,
    write_buffer: WriteBuffer,
    reply_sender: mpsc::Sender<ClientReply>,
    replies: mpsc::Receiver<ClientReply>,
    /// When a message was last received, bytes were written or an answer came to an empty buffer.
    last_progress: Instant,
    has_received: bool,
    /// What the listener knows.
    reported_status: SlotStatus,
}

impl Session {
    fn new(connection: ClientConnection) -> Session {
        let (reply_sender, replies) = mpsc::channel(MAX_REPLIES);
        Session {
            connection,
            state: State::Serving,
            open: HashMap::new(),
            write_buffer: WriteBuffer::default(),
            reply_sender,
            replies,
            last_progress: Instant::now(),
            has_received: false,
            reported_status: SlotStatus::Unused,
        }
    }

    async fn serve(&mut self, stream: &mut TcpStream) -> CloseReason {
        set_nodelay(stream);
        let (reader, mut writer) = stream.split();
        let mut read_buffer = ReadBuffer::new(reader);
        loop {
            if let Err(reason) = self.step(&mut read_buffer, &mut writer).await {
                return reason;
            }
        }
    }

    /// Does what its state asks for, waits for an event and handles it.
    async fn step(
        &mut self,
        read_buffer: &mut ReadBuffer<'_>,
        writer: &mut WriteHalf<'_>,
    ) -> Result<(), CloseReason> {
        self.check_phase();
        if let State::RouterEnded { read_until } = self.state {
            self.take_replies();
            if self.write_buffer.is_empty() {
                return self.reject_unread(read_buffer, read_until).await;
            }
        }
        self.report_status(read_buffer).await;
        let is_evictable = self.state == State::Evicting && self.is_idle(read_buffer);
        if is_evictable && !read_buffer.has_unread().await {
            return Err(CloseReason::Evicted);
        }
        if self.write_buffer.len() >= STOP_READING_AT_PIECES {
            self.fail_open_requests().await;
        }
        let event = self.next_event(read_buffer, writer).await;
        self.handle_event(event, read_buffer).await
    }

    fn check_phase(&mut self) {
        let is_noted = matches!(self.state, State::RouterEnded { .. });
        if !is_noted && *self.connection.phase.borrow() == Phase::Ended {
            self.state = State::RouterEnded {
                read_until: Instant::now() + FINAL_READ_TIMEOUT,
            };
        }
    }

    async fn next_event(
        &mut self,
        read_buffer: &mut ReadBuffer<'_>,
        writer: &mut WriteHalf<'_>,
    ) -> Event {
        let deadline = self.deadline(read_buffer);
        let is_idle = self.is_idle(read_buffer);
        let has_ended = matches!(self.state, State::RouterEnded { .. });
        let may_write = !self.write_buffer.is_empty();
        let may_read = !has_ended && self.write_buffer.len() < STOP_READING_AT_PIECES;
        let ClientConnection { phase, slot, .. } = &mut self.connection;
        if may_read {
            read_buffer.watch.begin();
        }
        // What was received is read before a time-out counts against the client: the program may be
        // late itself.
        let mut event = tokio::select! {
            biased;
            written = self.write_buffer.write(writer), if may_write => Event::Written(written),
            Some(reply) = self.replies.recv() => Event::Reply(reply),
            _ = phase.wait_for(|phase| *phase == Phase::Ended), if !has_ended => Event::RouterEnded,
            result = read_buffer.read(), if may_read => {
                Event::Read { result, unread_for: Duration::ZERO }
            }
            // A request that has just come is answered first.
            Some(()) = slot.eviction_requests.recv(), if is_idle => Event::EvictionRequested,
            () = at(deadline) => Event::TimedOut,
        };
        if let Event::Read { unread_for, .. } = &mut event {
            *unread_for = read_buffer.watch.unread_for();
        }
        if may_read {
            read_buffer.watch.end();
        }
        event
    }

    async fn handle_event(
        &mut self,
        event: Event,
        read_buffer: &mut ReadBuffer<'_>,
    ) -> Result<(), CloseReason> {
        match event {
            Event::Written(result) => {
                result?;
                self.last_progress = Instant::now();
                self.report_written().await;
            }
            Event::Reply(reply) => {
                if self.write_buffer.is_empty() {
                    self.last_progress = Instant::now();
                }
                self.take_reply(reply);
                // One for a request that its client has cancelled leaves nothing to write.
                self.report_written().await;
            }
            // Noted at the begin of the next step.
            Event::RouterEnded => {}
            Event::Read { result, unread_for } => {
                if result? == 0 {
                    return Err(CloseReason::ClosedByClient);
                }
                self.handle_messages(read_buffer, unread_for).await?;
            }
            Event::EvictionRequested => self.state = State::Evicting,
            Event::TimedOut => self.handle_timeout(read_buffer).await?,
        }
        Ok(())
    }

    /// Handles all complete messages that were read.
    async fn handle_messages(
        &mut self,
        read_buffer: &mut ReadBuffer<'_>,
        unread_for: Duration,
    ) -> Result<(), CloseReason> {
        let now = self.connection.frontend.clock.now();
        let received_after = now.saturating_sub(unread_for);
        while let Some(frame) = read_buffer.next_frame()? {
            self.last_progress = Instant::now();
            self.has_received = true;
            if let Err(reason) = self.handle_message(frame.into(), received_after).await {
                self.reject_rest(read_buffer);
                return Err(reason);
            }
        }
        read_buffer.note_rest();
        Ok(())
    }

    /// Until when something has to happen; none: the open requests have deadlines of their own.
    fn deadline(&self, read_buffer: &ReadBuffer<'_>) -> Option<Instant> {
        if !self.write_buffer.is_empty() {
            let stuck_at = self.last_progress + WRITE_TIMEOUT;
            return Some(self.write_buffer.deadline(stuck_at));
        }
        if let Some(since) = read_buffer.incomplete_since {
            return Some(since + MESSAGE_TIMEOUT);
        }
        if !self.open.is_empty() {
            return None;
        }
        let idle_timeout = if self.has_received {
            IDLE_TIMEOUT
        } else {
            MESSAGE_TIMEOUT
        };
        Some(self.last_progress + idle_timeout)
    }

    /// Closes the connection for what did not happen in time, unless something has come meanwhile.
    async fn handle_timeout(&self, read_buffer: &ReadBuffer<'_>) -> Result<(), CloseReason> {
        if !self.write_buffer.is_empty() {
            return Err(CloseReason::AnswersNotTaken);
        }
        if read_buffer.incomplete_since.is_some() {
            return Err(ProtocolViolation::IncompleteMessage.into());
        }
        if read_buffer.has_unread().await {
            return Ok(());
        }
        Err(CloseReason::IdleTimeout)
    }

    /// Whether nothing would be lost by a close.
    fn is_idle(&self, read_buffer: &ReadBuffer<'_>) -> bool {
        self.open.is_empty()
            && self.write_buffer.is_empty()
            && read_buffer.incomplete_since.is_none()
    }

    /// Tells the listener of a new status.
    async fn report_status(&mut self, read_buffer: &ReadBuffer<'_>) {
        let status = match (self.is_idle(read_buffer), self.has_received) {
            (false, _) => SlotStatus::Busy,
            (true, true) => SlotStatus::Idle,
            (true, false) => SlotStatus::Unused,
        };
        if status == self.reported_status {
            return;
        }
        self.reported_status = status;
        let slot = &self.connection.slot;
        let update = SlotUpdate {
            slot: slot.id,
            status,
        };
        let _ = slot.status_updates.send(update).await;
    }

    /// Tells the decider of bodies that are in memory no more.
    async fn report_written(&mut self) {
        if !self.write_buffer.is_empty() {
            return;
        }
        let bytes = self.write_buffer.take_body_bytes();
        if bytes > 0 {
            self.send_to_decider(Message::Written(bytes)).await;
        }
    }

    /// Where the decider has ended, nobody needs the message.
    async fn send_to_decider(&self, message: Message) {
        let _ = self.connection.decider.send(message).await;
    }

    /// Takes the answers that have come.
    fn take_replies(&mut self) {
        while let Ok(reply) = self.replies.try_recv() {
            self.take_reply(reply);
        }
    }

    /// Buffers a request's final answer, unless the client has cancelled the request.
    fn take_reply(&mut self, reply: ClientReply) {
        let ClientReply { tag, id, last } = reply;
        if self.open.get(&tag).is_some_and(|open| open.id == id) {
            self.open.remove(&tag);
            self.write_buffer.push_answer(tag, last);
        } else {
            self.write_buffer.drop_answer(&last);
        }
    }
}

#[cfg(test)]
pub mod test_support;
#[cfg(test)]
mod tests;
