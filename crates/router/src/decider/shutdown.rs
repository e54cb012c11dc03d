//! The end of the decider: every request still gets its one final answer.

use super::Decider;
use crate::lifecycle::Phase;
use crate::local_cache::LocalCache;
use crate::messages::{ClientReply, FinalAnswer, Message};
use tokio::sync::mpsc;

impl Decider {
    /// What still holds the end back: requests of clients, and answers that a slow client has not
    /// read yet.
    pub(super) fn open_work(&self) -> usize {
        let has_unwritten = self.dispatcher.unwritten_bytes > 0;
        self.dispatcher.requests.waiting_clients() + usize::from(has_unwritten)
    }

    /// Begins to drain: new requests are still taken until clients have learnt of it.
    pub(super) fn begin_draining(&mut self) {
        let open_requests = self.dispatcher.requests.len();
        log::info!(open_requests = open_requests; "asked to stop");
        let phase = *self.phase.borrow();
        let draining = phase.asked_to_stop(self.dispatcher.now, self.longest_deadline);
        self.phase.send_replace(draining);
    }

    /// Answers all that is left, in order: requests that were never looked at are rejected, those
    /// in flight fail, the local cache is closed, and the end of the decisions is announced.
    pub(super) fn shut_down(&mut self, mailbox: mpsc::Receiver<Message>) {
        self.reject_unread_requests(mailbox);
        self.fail_open_requests();
        let local_cache = self.dispatcher.local_cache.take();
        local_cache.into_iter().for_each(LocalCache::close);
        self.phase.send_replace(Phase::Ended);
    }

    /// What still lies in the mailbox has never run.
    fn reject_unread_requests(&self, mut mailbox: mpsc::Receiver<Message>) {
        mailbox.close();
        while let Ok(message) = mailbox.try_recv() {
            let Message::Request(new) = message else {
                continue;
            };
            new.client.send(ClientReply {
                tag: new.tag,
                id: new.arrival.id,
                last: FinalAnswer::Rejected(self.router.advice),
            });
        }
    }

    /// An end without an answer would lose the request.
    fn fail_open_requests(&mut self) {
        for id in self.dispatcher.requests.ids() {
            if self.dispatcher.reply(&id, FinalAnswer::Failed) {
                let now = self.dispatcher.now;
                self.router.left(now, &id, &mut self.dispatcher);
            }
        }
    }
}
