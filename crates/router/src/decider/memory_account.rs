//! The memory that the router holds for clients and servers, in one account: a new request is
//! rejected if it does not fit in.

use crate::memory::{IncomingBodies, MemoryBudget, Reservation, release_freed_pages};
use crate::server_protocol::Answer;
use serde_json::{Value, json};
use std::rc::Rc;

/// The largest body that the protocol allows.
const MAX_BODY_BYTES: f64 = 240_000.0;
/// Stated sizes are in KB; the protocol has the bytes of a body in proportion, and never above.
const MAX_BYTES_PER_KB: f64 = 1024.0;
/// Weight of each received body in the moving averages.
const SMOOTHING: f64 = 1.0 / 64.0;
/// The memory that one open request takes besides its bodies: entries of tables, its id, its
/// timers and its attempts.
const REQUEST_BYTES: usize = 2048;

/// Freed pages are returned to the system once they are this part of the process' memory.
const FREED_PAGES_DIVISOR: u64 = 16;

/// The expected size of answers, learned from those received.
#[derive(Debug)]
struct ExpectedBody {
    mean_bytes: f64,
    bytes_per_kb: f64,
}

impl ExpectedBody {
    /// The expected size of an answer that the client says has `kb`. Clients may state too little,
    /// so that the mean is expected at least.
    fn bytes(&self, kb: f64) -> usize {
        let stated = kb * self.bytes_per_kb;
        stated.max(self.mean_bytes).min(MAX_BODY_BYTES) as usize
    }

    /// Records a received body. A larger proportion than before counts at once, a smaller one
    /// little by little.
    fn record(&mut self, kb: f64, body_bytes: usize) {
        self.mean_bytes += (body_bytes as f64 - self.mean_bytes) * SMOOTHING;
        // Answers without a body, as to writes, say nothing about the sizes of objects.
        if kb <= 0.0 || body_bytes == 0 {
            return;
        }
        let proportion = (body_bytes as f64 / kb).min(MAX_BYTES_PER_KB);
        let smoothed = self.bytes_per_kb + (proportion - self.bytes_per_kb) * SMOOTHING;
        self.bytes_per_kb = proportion.max(smoothed);
    }
}

/// The bytes held, by use, and their limit.
#[derive(Debug)]
pub(super) struct MemoryAccount {
    /// All memory of the process, with what is reserved for the answers of attempts in progress.
    budget: Rc<MemoryBudget>,
    /// The limit for the uses below together.
    limit: usize,
    /// Freed pages of up to this many bytes remain in memory.
    max_freed_bytes: usize,
    open_requests: usize,
    /// Bodies of open requests.
    request_bodies: usize,
    /// Bodies of answers that have not been written to clients yet.
    unwritten_answers: usize,
    expected_body: ExpectedBody,
    /// Bodies that are on their way to the decider.
    incoming_bodies: Rc<IncomingBodies>,
    /// Requests that did not fit in.
    rejected: u64,
    /// Answers that did not fit in.
    dropped_answers: u64,
}

impl MemoryAccount {
    /// Creates an empty account. Half of the process' memory is for what it holds; the rest is for
    /// the program, buffers of connections and fragmentation.
    pub(super) fn new(process_memory: u64) -> MemoryAccount {
        let budget = MemoryBudget::new(process_memory);
        MemoryAccount {
            incoming_bodies: IncomingBodies::new(process_memory, budget.clone()),
            budget,
            limit: (process_memory / 2) as usize,
            max_freed_bytes: (process_memory / FREED_PAGES_DIVISOR) as usize,
            open_requests: 0,
            request_bodies: 0,
            unwritten_answers: 0,
            expected_body: ExpectedBody {
                mean_bytes: MAX_BODY_BYTES,
                bytes_per_kb: MAX_BYTES_PER_KB,
            },
            rejected: 0,
            dropped_answers: 0,
        }
    }

    /// The bytes held.
    fn present(&self) -> usize {
        self.open_requests * REQUEST_BYTES + self.request_bodies + self.unwritten_answers
    }

    /// The bytes held and reserved.
    pub(super) fn held(&self) -> usize {
        self.present() + self.budget.reserved()
    }

    /// The bytes held with one more request: its body, and its answer, which has the stated size.
    pub(super) fn held_with(&self, body_bytes: usize, kb: f64) -> usize {
        self.held() + body_bytes + self.growth_with(kb)
    }

    /// The bytes that are allocated or reserved for one more request whose body has been received.
    fn growth_with(&self, kb: f64) -> usize {
        REQUEST_BYTES + self.expected_body.bytes(kb)
    }

    /// By how many bytes the memory of the process would be exceeded with one more request.
    pub(super) fn excess_with(&self, kb: f64) -> usize {
        self.budget.excess_with(self.growth_with(kb))
    }

    /// Whether one more request is within the limits. If not, it is counted as rejected.
    pub(super) fn admits(&mut self, body_bytes: usize, kb: f64) -> bool {
        let fits = self.held_with(body_bytes, kb) <= self.limit && self.excess_with(kb) == 0;
        self.rejected += u64::from(!fits);
        fits
    }

    /// Whether the body of a received answer is within the limit, and was admitted as it was
    /// received. Memory was reserved for it if its client stated its size. If not, the answer is
    /// counted as dropped. An answer without a body takes nothing.
    pub(super) fn admits_answer(&mut self, answer: &Answer) -> bool {
        let body_bytes = answer.body_length;
        let is_within_limit = self.present() + body_bytes <= self.limit;
        let fits = body_bytes == 0 || is_within_limit && !answer.is_body_discarded();
        self.dropped_answers += u64::from(!fits);
        fits
    }

    /// The memory for bodies that client connections receive and send to the decider.
    pub(super) fn incoming_bodies(&self) -> Rc<IncomingBodies> {
        self.incoming_bodies.clone()
    }

    /// Adds an open request with the bytes of its body.
    pub(super) fn open_request(&mut self, body_bytes: usize) {
        self.open_requests += 1;
        self.request_bodies += body_bytes;
    }

    /// Removes a request that is finished.
    pub(super) fn close_request(&mut self, body_bytes: usize) {
        self.open_requests -= 1;
        self.request_bodies -= body_bytes;
    }

    /// Reserves memory for the answer of an attempt.
    #[must_use]
    pub(super) fn reserve(&self, kb: f64) -> Rc<Reservation> {
        self.budget.reserve(self.expected_body.bytes(kb))
    }

    /// Returns the pages of freed memory to the system, once there are many.
    pub(super) fn release_freed_pages(&self) {
        release_freed_pages(self.max_freed_bytes);
    }

    /// Learns from a received answer how large answers are.
    pub(super) fn record_answer(&mut self, kb: f64, body_bytes: usize) {
        self.expected_body.record(kb, body_bytes);
    }

    /// Adds the body of an answer that is passed to a client's connection.
    pub(super) fn add_unwritten(&mut self, body_bytes: usize) {
        self.unwritten_answers += body_bytes;
    }

    /// Subtracts bytes of bodies that have been written to a client, or dropped.
    pub(super) fn remove_unwritten(&mut self, body_bytes: usize) {
        self.unwritten_answers = self.unwritten_answers.saturating_sub(body_bytes);
    }

    /// Whether clients have not read all of their answers yet.
    pub(super) fn has_unwritten(&self) -> bool {
        self.unwritten_answers > 0
    }

    /// The account as an operator sees it, in bytes. `local_copies` is the memory of the local
    /// cache, which gives way to the other uses.
    ///
    /// What is allocated for none of these uses, as by connections, tables and the program itself,
    /// is reported as `uncounted`.
    pub(super) fn report(&self, local_copies: u64) -> Value {
        let allocated = self.budget.allocated();
        let counted = self.present() + local_copies as usize;
        json!({
            "limit": self.limit,
            "allocated": allocated,
            "max_allocated": self.budget.limit(),
            "uncounted": allocated.saturating_sub(counted),
            "arriving_bodies": self.incoming_bodies.bytes(),
            "held": self.held(),
            "open_requests": self.open_requests * REQUEST_BYTES,
            "request_bodies": self.request_bodies,
            "expected_answers": self.budget.reserved(),
            "unwritten_answers": self.unwritten_answers,
            "local_copies": local_copies,
            "rejected": self.rejected,
            "dropped_answers": self.dropped_answers,
        })
    }
}

#[cfg(test)]
mod tests;
