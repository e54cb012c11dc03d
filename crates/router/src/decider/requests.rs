//! The table of open requests and their attempts.

use crate::memory::Reservation;
use crate::messages::{CancellationFlag, ClientReply, ServerCommand};
use crate::server_protocol::ForwardedFields;
use chalkhall::interface::{Id, IncomingRequest};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc;

/// The recipient of the final answer of a request.
pub(super) enum Requester {
    /// A client, with a reserved slot in its reply channel.
    Client(mpsc::OwnedPermit<ClientReply>),
    /// The local cache, which revalidates a copy. It is informed by the result of the attempt.
    LocalCache,
}

/// A request that has no final answer yet or has attempts in progress.
pub(super) struct PendingRequest {
    /// `None` once the final answer has been sent or the client has left.
    pub(super) requester: Option<Requester>,
    pub(super) tag: u64,
    pub(super) cancellation: CancellationFlag,
    pub(super) arrival: IncomingRequest,
    pub(super) forwarded: ForwardedFields,
    pub(super) is_non_idempotent: bool,
    pub(super) received_at: Duration,
    pub(super) attempts: Vec<Attempt>,
}

impl PendingRequest {
    /// Whether its final answer has been sent or is no longer awaited.
    pub(super) fn is_resolved(&self) -> bool {
        self.requester.is_none() || !self.cancellation.is_active()
    }

    /// Whether nothing waits for its final answer any more and all its attempts have ended.
    fn is_finished(&self) -> bool {
        self.requester.is_none() && self.attempts.iter().all(|attempt| !attempt.is_open)
    }

    /// Whether it was sent with this tag by the client that has this reply channel.
    fn belongs_to(&self, tag: u64, client: &mpsc::Sender<ClientReply>) -> bool {
        self.tag == tag
            && matches!(&self.requester,
                Some(Requester::Client(reply_permit)) if reply_permit.same_channel_as_sender(client))
    }
}

/// One attempt of a request at a server.
pub(super) struct Attempt {
    /// The mailbox of the server's actor; `None` if the server is not listed or is the local cache.
    pub(super) commands: Option<mpsc::Sender<ServerCommand>>,
    pub(super) server: Id,
    pub(super) sent_at: Duration,
    pub(super) is_open: bool,
    /// Memory that is reserved for its answer.
    pub(super) reservation: Rc<Reservation>,
}

/// All open requests, by id.
#[derive(Default)]
pub(super) struct RequestTable {
    requests: HashMap<Id, PendingRequest>,
}

impl RequestTable {
    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn contains(&self, id: &Id) -> bool {
        self.requests.contains_key(id)
    }

    pub(super) fn get(&self, id: &Id) -> Option<&PendingRequest> {
        self.requests.get(id)
    }

    pub(super) fn get_mut(&mut self, id: &Id) -> Option<&mut PendingRequest> {
        self.requests.get_mut(id)
    }

    pub(super) fn insert(&mut self, request: PendingRequest) {
        self.requests.insert(request.arrival.id.clone(), request);
    }

    pub(super) fn ids(&self) -> Vec<Id> {
        self.requests.keys().cloned().collect()
    }

    /// The number of requests that clients wait for.
    pub(super) fn waiting_clients(&self) -> usize {
        let has_client =
            |request: &&PendingRequest| matches!(request.requester, Some(Requester::Client(_)));
        self.requests.values().filter(has_client).count()
    }

    /// Marks a request as abandoned by its client. Returns false if the request belongs to another
    /// client, which may have sent the same id.
    pub(super) fn abandon(
        &mut self,
        id: &Id,
        tag: u64,
        client: &mpsc::Sender<ClientReply>,
    ) -> bool {
        let Some(request) = self
            .requests
            .get_mut(id)
            .filter(|request| request.belongs_to(tag, client))
        else {
            return false;
        };
        request.cancellation.cancel();
        request.requester = None;
        true
    }

    /// Removes a request that is finished, and returns it.
    pub(super) fn remove_if_finished(&mut self, id: &Id) -> Option<PendingRequest> {
        let is_finished = self.get(id).is_some_and(PendingRequest::is_finished);
        is_finished.then(|| self.requests.remove(id)).flatten()
    }
}
