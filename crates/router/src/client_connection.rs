//! One client connection as a state machine: reads requests and writes responses in the order in
//! which they become available.
//!
//! ```text
//!            slot needed for another         idle
//! Serving --------------------------> Evicting ------> closed
//!     |                                  |
//!     +------------ router ended --------+-----> RouterEnded ------> closed
//!                                                   all written, nothing unread
//! ```
//!
//! In every state the connection is closed when the client closes it, violates the protocol or does
//! not read its responses in time.

mod admission;
mod body_memory;
mod closing;
mod read_buffer;
mod requests;
mod write_buffer;

use crate::clock::Clock;
use crate::io_errors::set_nodelay;
use crate::lifecycle::Phase;
use crate::memory::{BodyPermit, IncomingBodies};
use crate::messages::{
    CancellationFlag, ClientReply, ConnectionSlot, Message, SlotStatus, SlotUpdate,
};
use crate::server_connection::sleep_until_opt;
use body_memory::BodyWait;
use chalkhall::interface::Id;
use closing::{CloseReason, ProtocolViolation};
use read_buffer::ReadBuffer;
use requests::{ClientMessage, Command};
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpStream, tcp::WriteHalf};
use tokio::sync::{mpsc, watch};
use tokio::time::Instant;
use write_buffer::{CHUNKS_PER_RESPONSE, WriteBuffer};

/// The protocol allows 32 open requests on a connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// New requests are rejected while this many chunks wait to be written. Only a client that exceeds
/// the limit of open requests, or cancels many, gets this far.
const REJECT_THRESHOLD_CHUNKS: usize = CHUNKS_PER_RESPONSE * MAX_OPEN_REQUESTS;
/// While this many chunks wait to be written, nothing is read from the connection. Its open
/// requests fail first: a cancellation or a close would stay unread while attempts start.
const READ_PAUSE_THRESHOLD_CHUNKS: usize = 4 * REJECT_THRESHOLD_CHUNKS;
/// Capacity of the reply channel: a reply to each open request, and to those that were cancelled
/// before the channel was drained.
const MAX_REPLIES: usize = 4 * MAX_OPEN_REQUESTS;
/// A connection that accepts no response bytes for this long is closed, but not before the
/// deadlines of its requests have passed.
const WRITE_TIMEOUT: Duration = Duration::from_secs(6);
/// Idle connections are closed after this time. Clients close theirs after 4 s; connections that
/// are kept for longer waste descriptors.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time limit for the first message of a connection, and for the rest of a message that has begun.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// After the router has ended, unread requests are read for this long in total.
const FINAL_READ_TIMEOUT: Duration = Duration::from_millis(40);

/// State shared by all client connections.
pub struct ClientFrontend {
    /// Class names by index.
    pub classes: Vec<String>,
    /// Tenant names by index. Where this is empty, tenants are identified by number.
    pub tenants: Vec<String>,
    /// The highest transfer rate of one response in KB/s; 0 if not configured.
    pub max_kb_per_s: f64,
    /// The retry delay sent with rejections.
    pub retry_after: Option<Duration>,
    pub clock: Clock,
    /// The memory for bodies that are on their way to the decider.
    pub incoming_bodies: Rc<IncomingBodies>,
}

/// An accepted connection with its channels to the rest of the router.
pub struct ClientConnection {
    pub frontend: Rc<ClientFrontend>,
    /// Sends to the decider.
    pub decider: mpsc::Sender<Message>,
    pub phase: watch::Receiver<Phase>,
    /// The connection's slot at the listener.
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

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Serving,
    /// Another connection needs the slot: this one is closed as soon as it is idle.
    Evicting,
    /// Requests received before the router ended are still read until `read_until`, and rejected.
    RouterEnded {
        read_until: Instant,
    },
}

/// An event that a connection waits for.
enum Event {
    Written(io::Result<()>),
    Reply(ClientReply),
    RouterEnded,
    /// Bytes were read (0 at the end of the stream) after being unread for at most `unread_for`.
    Read {
        result: io::Result<usize>,
        unread_for: Duration,
    },
    /// Memory for a body is available. None: there was none for too long.
    BodyMemory(Option<BodyPermit>),
    /// Another connection waits for memory for a body.
    MemoryShortage,
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
    /// The open requests, by tag.
    open_requests: HashMap<u64, OpenRequest>,
    write_buffer: WriteBuffer,
    /// The memory of the body that is being received.
    body_permit: Option<BodyPermit>,
    /// The wait for the memory of the next body, during which nothing is read.
    body_wait: Option<BodyWait>,
    reply_sender: mpsc::Sender<ClientReply>,
    replies: mpsc::Receiver<ClientReply>,
    /// When a message was last received, bytes were written or a reply was added to an empty write
    /// buffer.
    last_progress: Instant,
    has_received_message: bool,
    /// The status last sent to the listener.
    reported_status: SlotStatus,
}

impl Session {
    fn new(connection: ClientConnection) -> Session {
        let (reply_sender, replies) = mpsc::channel(MAX_REPLIES);
        Session {
            connection,
            state: State::Serving,
            open_requests: HashMap::new(),
            write_buffer: WriteBuffer::default(),
            body_permit: None,
            body_wait: None,
            reply_sender,
            replies,
            last_progress: Instant::now(),
            has_received_message: false,
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

    /// Acts on the current state, then waits for an event and handles it.
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
        if self.write_buffer.len() >= READ_PAUSE_THRESHOLD_CHUNKS {
            self.fail_open_requests().await;
        }
        let event = self.next_event(read_buffer, writer).await;
        self.handle_event(event, read_buffer).await
    }

    fn check_phase(&mut self) {
        let has_ended = matches!(self.state, State::RouterEnded { .. });
        if !has_ended && *self.connection.phase.borrow() == Phase::Ended {
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
        let may_read = !has_ended
            && self.body_wait.is_none()
            && self.write_buffer.len() < READ_PAUSE_THRESHOLD_CHUNKS;
        let may_give_way = may_read && read_buffer.decoder.has_admitted_part();
        let ClientConnection {
            phase,
            slot,
            frontend,
            ..
        } = &mut self.connection;
        if may_read {
            read_buffer.wait.begin_or_continue();
        } else {
            read_buffer.wait.end();
        }
        // Received data is read before a timeout is charged to the client: this process may be the
        // one that is late.
        let mut event = tokio::select! {
            biased;
            written = self.write_buffer.write(writer), if may_write => Event::Written(written),
            Some(reply) = self.replies.recv() => Event::Reply(reply),
            _ = phase.wait_for(|phase| *phase == Phase::Ended), if !has_ended => Event::RouterEnded,
            result = read_buffer.read(), if may_read => {
                Event::Read { result, unread_for: Duration::ZERO }
            }
            permit = body_memory::granted(&mut self.body_wait), if !has_ended => {
                Event::BodyMemory(permit)
            }
            () = frontend.incoming_bodies.shortage(), if may_give_way => Event::MemoryShortage,
            // Below the read, so that a request that has just arrived is answered first.
            Some(()) = slot.eviction_requests.recv(), if is_idle => Event::EvictionRequested,
            () = sleep_until_opt(deadline) => Event::TimedOut,
        };
        if let Event::Read { unread_for, .. } = &mut event {
            *unread_for = read_buffer.wait.unread_for();
        }
        if may_read {
            read_buffer.wait.end();
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
                // The reply to a cancelled request leaves nothing to write.
                self.report_written().await;
            }
            // `check_phase` changes the state in the next step.
            Event::RouterEnded => {}
            Event::Read { result, unread_for } => {
                if result? == 0 {
                    return Err(CloseReason::ClosedByClient);
                }
                self.handle_messages(read_buffer, unread_for).await?;
                read_buffer.let_other_tasks_run().await;
            }
            Event::BodyMemory(permit) => self.end_body_wait(read_buffer, permit).await?,
            Event::MemoryShortage => self.give_way(read_buffer),
            Event::EvictionRequested => self.state = State::Evicting,
            Event::TimedOut => self.handle_timeout(read_buffer).await?,
        }
        Ok(())
    }

    /// Handles all complete messages in the read buffer.
    async fn handle_messages(
        &mut self,
        read_buffer: &mut ReadBuffer<'_>,
        unread_for: Duration,
    ) -> Result<(), CloseReason> {
        let now = self.connection.frontend.clock.now();
        self.handle_messages_since(read_buffer, now.saturating_sub(unread_for))
            .await
    }

    /// Handles all complete messages, which arrived no earlier than `received_after`.
    async fn handle_messages_since(
        &mut self,
        read_buffer: &mut ReadBuffer<'_>,
        received_after: Duration,
    ) -> Result<(), CloseReason> {
        while let Some(frame) = read_buffer.next_frame()? {
            self.last_progress = Instant::now();
            self.has_received_message = true;
            let message = ClientMessage::from(frame);
            if message.command == Command::Request && read_buffer.is_closed_by_client() {
                // Nothing waits for its answer, however much of the stream is still unread.
                return Err(CloseReason::ClosedByClient);
            }
            if let Err(reason) = self.handle_message(message, received_after).await {
                self.reject_remaining(read_buffer);
                return Err(reason);
            }
        }
        read_buffer.update_incomplete_since();
        self.begin_body_wait(read_buffer, received_after);
        Ok(())
    }

    /// When the connection times out. None while requests are open: they have deadlines of their
    /// own.
    fn deadline(&self, read_buffer: &ReadBuffer<'_>) -> Option<Instant> {
        if !self.write_buffer.is_empty() {
            let write_timeout_at = self.last_progress + WRITE_TIMEOUT;
            return Some(self.write_buffer.deadline(write_timeout_at));
        }
        if let Some(since) = read_buffer.incomplete_since {
            return Some(since + MESSAGE_TIMEOUT);
        }
        if !self.open_requests.is_empty() {
            return None;
        }
        let idle_timeout = if self.has_received_message {
            IDLE_TIMEOUT
        } else {
            MESSAGE_TIMEOUT
        };
        Some(self.last_progress + idle_timeout)
    }

    /// Returns the reason to close the connection after a timeout, unless data has arrived
    /// meanwhile.
    async fn handle_timeout(&self, read_buffer: &ReadBuffer<'_>) -> Result<(), CloseReason> {
        if !self.write_buffer.is_empty() {
            return Err(CloseReason::WriteTimeout);
        }
        if read_buffer.incomplete_since.is_some() {
            return Err(ProtocolViolation::IncompleteMessage.into());
        }
        if read_buffer.has_unread().await {
            return Ok(());
        }
        Err(CloseReason::IdleTimeout)
    }

    /// Whether the connection can be closed without losing a request or a response.
    fn is_idle(&self, read_buffer: &ReadBuffer<'_>) -> bool {
        self.open_requests.is_empty()
            && self.write_buffer.is_empty()
            && read_buffer.incomplete_since.is_none()
    }

    /// Reports a changed status to the listener.
    async fn report_status(&mut self, read_buffer: &ReadBuffer<'_>) {
        let status = match (self.is_idle(read_buffer), self.has_received_message) {
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

    /// Reports body bytes that are no longer in memory to the decider.
    async fn report_written(&mut self) {
        if !self.write_buffer.is_empty() {
            return;
        }
        let bytes = self.write_buffer.take_body_bytes();
        if bytes > 0 {
            self.send_to_decider(Message::BodyWritten(bytes)).await;
        }
    }

    /// Sends a message, which is not needed any more if the decider has ended.
    async fn send_to_decider(&self, message: Message) {
        let _ = self.connection.decider.send(message).await;
    }

    /// Buffers all replies that have been received.
    fn take_replies(&mut self) {
        while let Ok(reply) = self.replies.try_recv() {
            self.take_reply(reply);
        }
    }

    /// Buffers the final answer to a request, unless the client has cancelled the request.
    fn take_reply(&mut self, reply: ClientReply) {
        let ClientReply { tag, id, answer } = reply;
        if self
            .open_requests
            .get(&tag)
            .is_some_and(|open| open.id == id)
        {
            self.open_requests.remove(&tag);
            self.write_buffer.push_answer(tag, answer);
        } else {
            self.write_buffer.discard_answer(&answer);
        }
    }
}

#[cfg(test)]
pub mod test_support;
#[cfg(test)]
mod tests;
