//! The attempts of one connection, as a state machine without I/O.
//!
//! An attempt is queued until the connection is established and all bytes before it have been
//! accepted by the socket. Then it is staged, and from its first written byte on it is in flight:
//! only then may it have run. Each attempt ends in exactly one [`ConnectionAttemptEnded`].

use crate::chunk_queue::ChunkQueue;
use crate::memory::Reservation;
use crate::messages::{
    AttemptEnded, AttemptId, AttemptRequest, ConnectionAttemptEnded, ConnectionCommand,
};
use crate::server_protocol::{Answer, encode_cancel, encode_request};
use bytes::Bytes;
use chalkhall::interface::Outcome;
use std::collections::{HashMap, VecDeque};
use std::io::{self, IoSlice};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// An attempt of which at least one byte has been written.
struct InFlightAttempt {
    attempt: AttemptId,
    deadline: Instant,
    sent_at: Instant,
    /// Memory that is reserved for the answer.
    reservation: Rc<Reservation>,
}

/// All attempts of a connection, and the bytes to be written for them.
#[derive(Default)]
pub(super) struct Attempts {
    queued: VecDeque<Box<AttemptRequest>>,
    /// The attempt whose first byte is the next to be written. It is encoded at that time.
    staged: Option<Box<AttemptRequest>>,
    /// The attempts in flight, by the id of the request on the wire.
    in_flight: HashMap<Bytes, InFlightAttempt>,
    /// Encoded bytes that the socket has not accepted yet.
    write_buffer: ChunkQueue,
    cancel_lines: VecDeque<Bytes>,
    ended: VecDeque<ConnectionAttemptEnded>,
    last_received_at: Option<Instant>,
    /// How long nothing may be received after a request before the connection counts as dead.
    silence_timeout: Duration,
}

impl Attempts {
    /// Creates an empty set of attempts.
    pub(super) fn new(silence_timeout: Duration) -> Attempts {
        Attempts {
            silence_timeout,
            ..Attempts::default()
        }
    }

    /// Executes a command of the server's actor: queues or cancels an attempt.
    pub(super) fn handle(&mut self, now: Instant, command: ConnectionCommand) {
        match command {
            ConnectionCommand::Send(request) => self.queued.push_back(request),
            ConnectionCommand::Cancel(attempt) => self.cancel(now, &attempt),
            ConnectionCommand::Expire => self.expire(now),
        }
    }

    fn cancel(&mut self, now: Instant, attempt: &AttemptId) {
        self.withdraw_unsent(|request| request.attempt == *attempt);
        let in_flight = self.find_in_flight(|in_flight| in_flight.attempt == *attempt);
        if let Some(id) = in_flight {
            self.abandon(now, &id, Outcome::Cancelled);
        }
    }

    fn find_in_flight(&self, matches: impl Fn(&InFlightAttempt) -> bool) -> Option<Bytes> {
        self.in_flight
            .iter()
            .find(|(_, in_flight)| matches(in_flight))
            .map(|(id, _)| id.clone())
    }

    /// Ends the matching attempts of which no byte has been written: they did not run.
    fn withdraw_unsent(&mut self, matches: impl Fn(&AttemptRequest) -> bool) {
        if let Some(request) = self.staged.take_if(|request| matches(request)) {
            self.end(request.attempt, Outcome::NeverSent);
        }
        while let Some(index) = self.queued.iter().position(|request| matches(request)) {
            if let Some(request) = self.queued.remove(index) {
                self.end(request.attempt, Outcome::NeverSent);
            }
        }
    }

    /// Ends an attempt in flight, which may have run, and sends a cancellation to the server.
    fn abandon(&mut self, now: Instant, id: &Bytes, outcome: Outcome) {
        let Some(in_flight) = self.in_flight.remove(id) else {
            return;
        };
        let is_silent = self.is_silent_since(now, in_flight.sent_at);
        self.ended.push_back(ConnectionAttemptEnded {
            ended: AttemptEnded {
                attempt: in_flight.attempt,
                outcome,
                answer: None,
            },
            is_silent,
        });
        self.cancel_lines.push_back(encode_cancel(id));
    }

    /// Whether nothing has been received since `sent_at`, for as long as a new connection may take
    /// to be established: the connection may be dead.
    fn is_silent_since(&self, now: Instant, sent_at: Instant) -> bool {
        let nothing_received = self
            .last_received_at
            .is_none_or(|received_at| received_at < sent_at);
        nothing_received && now.saturating_duration_since(sent_at) >= self.silence_timeout
    }

    fn end(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.ended.push_back(ConnectionAttemptEnded {
            ended: AttemptEnded {
                attempt,
                outcome,
                answer: None,
            },
            is_silent: false,
        });
    }

    /// Takes the next result that has not been reported yet.
    pub(super) fn next_ended(&mut self) -> Option<ConnectionAttemptEnded> {
        self.ended.pop_front()
    }

    /// When [`Attempts::expire`] is due next.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        let unsent = self.staged.iter().chain(&self.queued);
        let unsent = unsent.map(|request| request.deadline.min(request.send_by));
        let in_flight = self.in_flight.values().map(|in_flight| in_flight.deadline);
        unsent.chain(in_flight).min()
    }

    /// Ends the attempts that are past their deadline, and the unsent ones that are past their time
    /// to be sent, whose request is no longer awaited or whose server's process has gone.
    pub(super) fn expire(&mut self, now: Instant) {
        // Sent later, an attempt could reach a server after the grace period of a drain or a purge,
        // or run for a client that has left or already has its answer.
        self.withdraw_unsent(|request| {
            now >= request.deadline.min(request.send_by)
                || !request.cancellation.is_active()
                || !request.incarnation.is_active()
        });
        while let Some(id) = self.find_in_flight(|in_flight| now >= in_flight.deadline) {
            self.abandon(now, &id, Outcome::TimedOut);
        }
    }

    /// Stages the next write once all earlier bytes have been written: cancellations first, then
    /// the next attempt.
    pub(super) fn stage_next_write(&mut self) {
        if self.has_to_write() {
            return;
        }
        self.write_buffer = self.cancel_lines.drain(..).collect();
        if self.write_buffer.is_empty() {
            self.staged = self.queued.pop_front();
        }
    }

    /// Whether there is something to write.
    pub(super) fn has_to_write(&self) -> bool {
        !self.write_buffer.is_empty() || self.staged.is_some()
    }

    /// Whether the next byte to be written is the first one of an attempt.
    pub(super) fn has_staged_attempt(&self) -> bool {
        self.staged.is_some()
    }

    /// Passes the staged bytes to `write`, which returns how many of them the socket accepted.
    ///
    /// An attempt is encoded here because its line states the time that remains for it, part of
    /// which it may have spent waiting for a connection or behind a full socket.
    ///
    /// # Errors
    /// The error of `write`, in which case nothing was written.
    pub(super) fn write_with(
        &mut self,
        now: Instant,
        write: impl FnOnce(&[IoSlice<'_>]) -> io::Result<usize>,
    ) -> io::Result<()> {
        let Some(staged) = &self.staged else {
            let written = write(&self.write_buffer.slices())?;
            self.write_buffer.advance(written);
            return Ok(());
        };
        let encoded = encode_attempt(now, staged);
        let written = write(&encoded.slices())?;
        if written > 0 {
            self.write_buffer = encoded;
            self.write_buffer.advance(written);
            self.mark_in_flight(now);
        }
        Ok(())
    }

    /// Marks the staged attempt as in flight after its first byte was written: it may run.
    fn mark_in_flight(&mut self, now: Instant) {
        let Some(request) = self.staged.take() else {
            return;
        };
        let in_flight = InFlightAttempt {
            attempt: request.attempt,
            deadline: request.deadline,
            sent_at: now,
            reservation: request.reservation,
        };
        self.in_flight.insert(request.forwarded.id, in_flight);
    }

    /// Records that data was received from the server.
    pub(super) fn received(&mut self, now: Instant) {
        self.last_received_at = Some(now);
    }

    /// When data was last received from the server.
    pub(super) fn last_received_at(&self) -> Option<Instant> {
        self.last_received_at
    }

    /// Whether the answer to this request is still awaited.
    pub(super) fn is_in_flight(&self, id: &Bytes) -> bool {
        self.in_flight.contains_key(id)
    }

    /// Whether there is memory for the body of an answer to this request. A body that nothing waits
    /// for needs none.
    pub(super) fn admits_body(&self, id: &Bytes, bytes: usize) -> bool {
        let in_flight = self.in_flight.get(id);
        in_flight.is_some_and(|in_flight| in_flight.reservation.exchange(bytes))
    }

    /// Ends the attempt that an answer belongs to.
    pub(super) fn answered(&mut self, answer: Answer) {
        // The answer to a cancelled attempt may cross the cancellation; it is discarded.
        let Some(in_flight) = self.in_flight.remove(&answer.id) else {
            return;
        };
        self.ended.push_back(ConnectionAttemptEnded {
            ended: AttemptEnded {
                attempt: in_flight.attempt,
                outcome: answer.outcome,
                answer: Some(Box::new(answer)),
            },
            is_silent: false,
        });
    }

    /// Ends all attempts after the connection has ended: those in flight may have run and are
    /// `Broken`; the others did not run and get `unsent_outcome`.
    pub(super) fn disconnected(&mut self, unsent_outcome: Outcome) {
        let staged = self.staged.take();
        let queued = std::mem::take(&mut self.queued);
        for request in staged.into_iter().chain(queued) {
            self.end(request.attempt, unsent_outcome);
        }
        for (_, in_flight) in std::mem::take(&mut self.in_flight) {
            self.end(in_flight.attempt, Outcome::Broken);
        }
    }
}

fn encode_attempt(now: Instant, request: &AttemptRequest) -> ChunkQueue {
    let remaining = request.deadline.saturating_duration_since(now);
    encode_request(
        &request.forwarded,
        &request.server,
        remaining,
        &request.fill,
    )
}

#[cfg(test)]
mod tests;
