//! Shutdown of the decider: every open request gets exactly one final answer.

use super::Decider;
use crate::lifecycle::Phase;
use crate::local_cache::LocalCache;
use crate::messages::{ClientReply, FinalAnswer, Message};
use tokio::sync::mpsc;

impl Decider {
    /// The work that delays the end of draining: clients' open requests, and answers that have not
    /// been written to slow clients yet.
    pub(super) fn open_work(&self) -> usize {
        let has_unwritten = self.dispatcher.memory.has_unwritten();
        self.dispatcher.requests.waiting_clients() + usize::from(has_unwritten)
    }

    /// Begins to drain. New requests are accepted until clients have been informed.
    pub(super) fn begin_draining(&mut self) {
        let open_requests = self.dispatcher.requests.len();
        log::info!(open_requests = open_requests; "stop requested; draining");
        let phase = *self.phase.borrow();
        let draining = phase.drain(self.dispatcher.now, self.max_deadline);
        self.phase.send_replace(draining);
    }

    /// Answers all remaining requests and stops: unread requests are rejected, open ones fail, the
    /// local cache is closed, and the phase is set to `Ended`.
    pub(super) fn shut_down(&mut self, mailbox: mpsc::Receiver<Message>) {
        self.reject_unread_requests(mailbox);
        self.fail_open_requests();
        let local_cache = self.dispatcher.local_cache.take();
        local_cache.into_iter().for_each(LocalCache::close);
        self.phase.send_replace(Phase::Ended);
    }

    /// Rejects the requests in the mailbox, none of which has run.
    fn reject_unread_requests(&self, mut mailbox: mpsc::Receiver<Message>) {
        mailbox.close();
        while let Ok(message) = mailbox.try_recv() {
            let Message::Request(new) = message else {
                continue;
            };
            new.reply_permit.send(ClientReply {
                tag: new.tag,
                id: new.arrival.id,
                answer: FinalAnswer::Rejected(self.router.retry_after),
            });
        }
    }

    /// Fails all open requests, so that none ends without an answer.
    fn fail_open_requests(&mut self) {
        for id in self.dispatcher.requests.ids() {
            if self.dispatcher.reply(&id, FinalAnswer::Failed) {
                let now = self.dispatcher.now;
                self.router.client_left(now, &id, &mut self.dispatcher);
            }
        }
    }
}
