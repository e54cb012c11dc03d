//! Requests that wait for something, in the order in which they began to. Each can leave at any
//! time, so that the queue holds nothing of requests that are over.

use crate::interface::Id;
use std::collections::BTreeMap;

/// The place of a request in one queue. No other request of that queue gets the same ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The waiting requests, by ticket.
#[derive(Debug, Default)]
pub struct WaitQueue {
    requests: BTreeMap<Ticket, Id>,
    last_ticket: u64,
}

impl WaitQueue {
    /// Appends a request. Its ticket identifies it in this queue.
    pub fn push(&mut self, request: &Id) -> Ticket {
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        self.requests.insert(ticket, request.clone());
        ticket
    }

    /// Whether the request with this ticket waits.
    pub fn contains(&self, ticket: Ticket) -> bool {
        self.requests.contains_key(&ticket)
    }

    /// Removes the request with this ticket; `None` if it does not wait any more.
    pub fn remove(&mut self, ticket: Ticket) -> Option<Id> {
        self.requests.remove(&ticket)
    }

    /// Keeps only the requests for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(&Id) -> bool) {
        self.requests.retain(|_, request| keep(request));
    }

    /// The waiting requests with their tickets, the longest-waiting first.
    pub fn iter(&self) -> impl Iterator<Item = (Ticket, &Id)> {
        self.requests
            .iter()
            .map(|(ticket, request)| (*ticket, request))
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// The number of waiting requests.
    #[cfg(test)]
    pub fn len(&self) -> usize {
        self.requests.len()
    }
}
