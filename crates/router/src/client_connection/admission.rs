//! Handling of a client's messages: requests are admitted or rejected, cancelled requests are
//! withdrawn, health checks are answered.

use super::closing::{CloseReason, ProtocolViolation};
use super::read_buffer::{READABILITY_CHECK_TIMEOUT, ReadBuffer};
use super::requests::{ClientMessage, Command, ParsedRequest, RequestError};
use super::{MAX_OPEN_REQUESTS, OpenRequest, REJECT_THRESHOLD_CHUNKS, Session};
use crate::client_protocol::ResponseStatus;
use crate::memory::BodyPermit;
use crate::messages::{CancellationFlag, ClientReply, Message, NewRequest};
use std::collections::HashSet;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

impl Session {
    /// Handles one message that arrived no earlier than `received_after` by the router's clock.
    pub(super) async fn handle_message(
        &mut self,
        message: ClientMessage,
        received_after: Duration,
    ) -> Result<(), CloseReason> {
        let tag = message.tag.ok_or(ProtocolViolation::MissingTag)?;
        if message.command != Command::Abort && self.open_requests.contains_key(&tag) {
            // The client could not tell two responses with one tag apart: it gets one, and nothing
            // more is read.
            return Err(ProtocolViolation::TagInUse.into());
        }
        match message.command {
            Command::Request => return self.handle_request(tag, message, received_after).await,
            Command::Abort => self.cancel_request(tag).await,
            Command::HealthCheck => self.answer_health_check(tag),
            Command::Unknown => self.fail(tag),
        }
        Ok(())
    }

    /// Admits a request, rejects it for lack of memory or because of unwritten responses, or fails
    /// it if it is invalid.
    async fn handle_request(
        &mut self,
        tag: u64,
        message: ClientMessage,
        received_after: Duration,
    ) -> Result<(), CloseReason> {
        let is_body_discarded = message.is_body_discarded;
        let body_permit = self.body_permit.take();
        match self.validate_request(message) {
            Ok(_) if is_body_discarded || self.write_buffer.len() >= REJECT_THRESHOLD_CHUNKS => {
                self.reject(tag);
                Ok(())
            }
            Ok(request) => {
                self.admit_request(tag, request, body_permit, received_after)
                    .await
            }
            Err(error) => {
                log::debug!(tag = tag, reason:% = error; "invalid request");
                self.fail(tag);
                Ok(())
            }
        }
    }

    fn validate_request(&self, message: ClientMessage) -> Result<ParsedRequest, RequestError> {
        let mut request = ParsedRequest::parse(message, &self.connection.frontend)?;
        request.arrival.connection = self.connection.slot.id;
        if self.open_requests.len() >= MAX_OPEN_REQUESTS {
            return Err(RequestError::TooManyOpen);
        }
        Ok(request)
    }

    /// Sends a request to the decider, with reserved capacity for its reply.
    async fn admit_request(
        &mut self,
        tag: u64,
        request: ParsedRequest,
        body_permit: Option<BodyPermit>,
        received_after: Duration,
    ) -> Result<(), CloseReason> {
        let ParsedRequest { arrival, forwarded } = request;
        let deadline = received_after + arrival.time_left;
        let deadline = self.connection.frontend.clock.instant(deadline);
        self.write_buffer.extend_deadline(deadline);
        let reply_permit = self.reserve_reply().await?;
        let cancellation = CancellationFlag::default();
        let open = OpenRequest {
            id: arrival.id.clone(),
            cancellation: cancellation.clone(),
        };
        self.open_requests.insert(tag, open);
        let request = Message::Request(Box::new(NewRequest {
            arrival,
            forwarded,
            received_after,
            tag,
            reply_permit,
            _body_permit: body_permit,
            cancellation,
        }));
        if self.connection.decider.send(request).await.is_err() {
            // The decider has ended.
            self.open_requests.remove(&tag);
            self.reject(tag);
        }
        Ok(())
    }

    /// Reserves capacity for a reply. The channel holds more replies than there may be open
    /// requests; the decider frees the capacity of a cancelled request once it has handled the
    /// cancellation.
    async fn reserve_reply(&mut self) -> Result<mpsc::OwnedPermit<ClientReply>, CloseReason> {
        loop {
            tokio::select! {
                biased;
                Some(reply) = self.replies.recv() => self.take_reply(reply),
                permit = self.reply_sender.clone().reserve_owned() => {
                    return permit.map_err(|_| CloseReason::ReplyChannelClosed);
                }
            }
        }
    }

    /// Withdraws a request that its client has cancelled.
    async fn cancel_request(&mut self, tag: u64) {
        if let Some(open) = self.open_requests.remove(&tag) {
            open.cancellation.cancel();
            self.withdraw(tag, open).await;
        }
    }

    /// Withdraws all open requests, and answers each with a failure.
    pub(super) async fn fail_open_requests(&mut self) {
        let tags: Vec<u64> = self.open_requests.keys().copied().collect();
        tags.into_iter().for_each(|tag| self.fail(tag));
        self.cancel_open_requests().await;
    }

    /// Withdraws all open requests without an answer.
    pub(super) async fn cancel_open_requests(&mut self) {
        // All flags are set before the first message is sent: no attempt may start while the
        // decider is being notified.
        self.open_requests
            .values()
            .for_each(|open| open.cancellation.cancel());
        for (tag, open) in std::mem::take(&mut self.open_requests) {
            self.withdraw(tag, open).await;
        }
    }

    async fn withdraw(&self, tag: u64, open: OpenRequest) {
        let replies = self.reply_sender.clone();
        self.send_to_decider(Message::ClientLeft(open.id, tag, replies))
            .await;
    }

    /// After the router has ended: rejects unread requests, and closes the connection when there
    /// are none.
    pub(super) async fn reject_unread(
        &mut self,
        read_buffer: &mut ReadBuffer<'_>,
        read_until: Instant,
    ) -> Result<(), CloseReason> {
        let until = read_until.min(Instant::now() + READABILITY_CHECK_TIMEOUT);
        match timeout_at(until, read_buffer.read()).await {
            Ok(Ok(bytes)) if bytes > 0 => {}
            _ => return Err(CloseReason::RouterEnded),
        }
        while let Some(frame) = read_buffer.next_short_frame()? {
            self.answer_unhandled(&frame.into());
        }
        Ok(())
    }

    /// Answers the complete messages that follow a protocol violation, since they have been read.
    /// Each tag gets one response; open requests get theirs when the connection is closed.
    pub(super) fn reject_remaining(&mut self, read_buffer: &mut ReadBuffer<'_>) {
        let mut answered: HashSet<u64> = self.open_requests.keys().copied().collect();
        while let Ok(Some(frame)) = read_buffer.next_short_frame() {
            let message = ClientMessage::from(frame);
            if message.tag.is_some_and(|tag| answered.insert(tag)) {
                self.answer_unhandled(&message);
            }
        }
    }

    /// Answers a message that is not handled any more. A request is rejected: it never ran.
    fn answer_unhandled(&mut self, message: &ClientMessage) {
        let Some(tag) = message.tag else {
            return;
        };
        match message.command {
            Command::Request => self.reject(tag),
            Command::Abort => {}
            Command::HealthCheck => self.answer_health_check(tag),
            Command::Unknown => self.fail(tag),
        }
    }

    fn answer_health_check(&mut self, tag: u64) {
        let is_ready = self.connection.phase.borrow().is_ready();
        let status = if is_ready {
            ResponseStatus::Ready
        } else {
            ResponseStatus::NotReady
        };
        self.write_buffer.push_status(tag, status, "");
    }

    fn reject(&mut self, tag: u64) {
        let retry_after = self.connection.frontend.retry_after;
        self.write_buffer.push_rejection(tag, retry_after);
    }

    fn fail(&mut self, tag: u64) {
        self.write_buffer
            .push_status(tag, ResponseStatus::Failed, "");
    }
}
