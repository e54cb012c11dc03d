//! What a connection does with its client's messages: requests are admitted or rejected, cancelled
//! requests are withdrawn, health checks are answered.

use super::closing::{CloseReason, ProtocolViolation};
use super::read_buffer::{LAST_LOOK, ReadBuffer};
use super::requests::{ClientMessage, Command, ParsedRequest, RequestError};
use super::{MAX_OPEN_REQUESTS, OpenRequest, REJECT_AT_PIECES, Session};
use crate::client_protocol::ResponseStatus;
use crate::messages::{CancellationFlag, ClientReply, Message, NewRequest};
use std::collections::HashSet;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

impl Session {
    /// Handles one message, which came after the given time of the router's clock.
    pub(super) async fn handle_message(
        &mut self,
        message: ClientMessage,
        received_after: Duration,
    ) -> Result<(), CloseReason> {
        let tag = message.tag.ok_or(ProtocolViolation::MissingTag)?;
        if message.command != Command::Abort && self.open.contains_key(&tag) {
            // Two answers under one tag could not be told apart: it gets one, and no more is read.
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

    /// Admits a request, or says why it is not.
    async fn handle_request(
        &mut self,
        tag: u64,
        message: ClientMessage,
        received_after: Duration,
    ) -> Result<(), CloseReason> {
        match self.validate_request(message) {
            Ok(_) if self.write_buffer.len() >= REJECT_AT_PIECES => {
                self.reject(tag);
                Ok(())
            }
            Ok(request) => self.admit_request(tag, request, received_after).await,
            Err(error) => {
                log::debug!(tag = tag, reason:% = error; "invalid request");
                self.fail(tag);
                Ok(())
            }
        }
    }

    fn validate_request(&self, message: ClientMessage) -> Result<ParsedRequest, RequestError> {
        let request = ParsedRequest::parse(message, &self.connection.frontend)?;
        if self.open.len() >= MAX_OPEN_REQUESTS {
            return Err(RequestError::TooManyOpen);
        }
        Ok(request)
    }

    /// Hands a request to the decider, with the space for its answer.
    async fn admit_request(
        &mut self,
        tag: u64,
        request: ParsedRequest,
        received_after: Duration,
    ) -> Result<(), CloseReason> {
        let ParsedRequest { arrival, forwarded } = request;
        let deadline = received_after + arrival.left;
        let deadline = self.connection.frontend.clock.instant(deadline);
        self.write_buffer.await_until(deadline);
        let client = self.reserve_reply().await?;
        let cancellation = CancellationFlag::default();
        let open = OpenRequest {
            id: arrival.id.clone(),
            cancellation: cancellation.clone(),
        };
        self.open.insert(tag, open);
        let request = Message::Request(Box::new(NewRequest {
            arrival,
            passed: forwarded,
            received_after,
            tag,
            client,
            wanted: cancellation,
        }));
        if self.connection.decider.send(request).await.is_err() {
            // The router has ended meanwhile.
            self.open.remove(&tag);
            self.reject(tag);
        }
        Ok(())
    }

    /// Reserves space for an answer. There is more than may be open: that of cancelled requests
    /// comes back as soon as the decider has heard of it.
    async fn reserve_reply(&mut self) -> Result<mpsc::OwnedPermit<ClientReply>, CloseReason> {
        loop {
            tokio::select! {
                biased;
                Some(reply) = self.replies.recv() => self.take_reply(reply),
                permit = self.reply_sender.clone().reserve_owned() => {
                    return permit.map_err(|_| CloseReason::ReplyMailboxClosed);
                }
            }
        }
    }

    /// Withdraws a request that its client has given up.
    async fn cancel_request(&mut self, tag: u64) {
        if let Some(open) = self.open.remove(&tag) {
            open.cancellation.end();
            self.withdraw(tag, open).await;
        }
    }

    /// Withdraws all open requests, and answers each as failed.
    pub(super) async fn fail_open_requests(&mut self) {
        let tags: Vec<u64> = self.open.keys().copied().collect();
        tags.into_iter().for_each(|tag| self.fail(tag));
        self.cancel_open_requests().await;
    }

    /// Withdraws all open requests without an answer.
    pub(super) async fn cancel_open_requests(&mut self) {
        // All flags before the first message: no attempt may begin while the decider is told.
        self.open.values().for_each(|open| open.cancellation.end());
        for (tag, open) in std::mem::take(&mut self.open) {
            self.withdraw(tag, open).await;
        }
    }

    async fn withdraw(&self, tag: u64, open: OpenRequest) {
        let replies = self.reply_sender.clone();
        self.send_to_decider(Message::Left(open.id, tag, replies))
            .await;
    }

    /// As the router has ended: rejects what lies unread, and closes the connection when nothing
    /// does.
    pub(super) async fn reject_unread(
        &mut self,
        read_buffer: &mut ReadBuffer<'_>,
        read_until: Instant,
    ) -> Result<(), CloseReason> {
        let until = read_until.min(Instant::now() + LAST_LOOK);
        match timeout_at(until, read_buffer.read()).await {
            Ok(Ok(bytes)) if bytes > 0 => {}
            _ => return Err(CloseReason::RouterEnded),
        }
        while let Some(frame) = read_buffer.next_frame()? {
            self.answer_unhandled(&frame.into());
        }
        Ok(())
    }

    /// Complete messages behind one that ends the connection are answered too: they were read. Each
    /// tag has one answer; open requests get theirs at the close.
    pub(super) fn reject_rest(&mut self, read_buffer: &mut ReadBuffer<'_>) {
        let mut answered: HashSet<u64> = self.open.keys().copied().collect();
        while let Ok(Some(frame)) = read_buffer.next_frame() {
            let message = ClientMessage::from(frame);
            if message.tag.is_some_and(|tag| answered.insert(tag)) {
                self.answer_unhandled(&message);
            }
        }
    }

    /// Answers a message that is handled no more: what it asks for never ran.
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
