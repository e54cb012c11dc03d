//! The decider's event loop: it does the work that is due, then waits for the next event.

use super::{CATCH_UP_ROUNDS, Decider, MAX_LOOP_WAIT, STALL_THRESHOLD};
use crate::discovery_events::DiscoveryEvent;
use crate::lifecycle::Phase;
use crate::messages::{Message, OperatorQuery};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::sleep_until;

/// Why the event loop was woken.
enum Wakeup {
    Message(Message),
    /// A timer, or a discovery event that has been applied already.
    Other,
    /// All senders to the decider have been dropped.
    MailboxClosed,
}

impl Decider {
    /// Runs until the router has drained or all senders to the mailbox have been dropped.
    ///
    /// Discovery events are handled before all others: after a stall of the whole process, as on a
    /// shared machine, a drain or a purge that waited behind requests and timers could be applied
    /// only after its grace period.
    pub async fn run(
        mut self,
        mut mailbox: mpsc::Receiver<Message>,
        mut events: mpsc::Receiver<DiscoveryEvent>,
    ) {
        let mut planned_wakeup = self.dispatcher.now;
        loop {
            self.run_due_work(planned_wakeup);
            if self.has_drained() {
                return self.shut_down(mailbox);
            }
            planned_wakeup = self.next_wakeup();
            let wakeup = self.wait(planned_wakeup, &mut mailbox, &mut events).await;
            let mut messages = VecDeque::new();
            let is_closed = matches!(wakeup, Wakeup::MailboxClosed);
            if let Wakeup::Message(message) = wakeup {
                messages.push_back(message);
            }
            if self.was_stalled() {
                let_other_tasks_run(&mut mailbox, &mut messages).await;
            }
            while let Ok(event) = events.try_recv() {
                self.apply_discovery_event(event);
            }
            if is_closed {
                return self.shut_down(mailbox);
            }
            for message in messages {
                self.handle(message);
            }
        }
    }

    /// Fires the timers that are due, and does the background work.
    fn run_due_work(&mut self, planned_wakeup: Duration) {
        self.dispatcher.now = self.dispatcher.clock.now();
        self.fire_timers();
        let late = self.dispatcher.now.saturating_sub(planned_wakeup);
        self.run_background_work(late);
        self.dispatcher.memory.release_freed_pages();
    }

    fn fire_timers(&mut self) {
        while let Some((at, timer)) = self.dispatcher.timers.first().copied() {
            if at > self.dispatcher.now {
                break;
            }
            self.dispatcher.timers.pop_first();
            let now = self.dispatcher.now;
            self.router.wake(now, timer, &mut self.dispatcher);
            self.process_completions();
        }
    }

    fn has_drained(&self) -> bool {
        let phase = *self.phase.borrow();
        phase.at(self.dispatcher.now, || self.open_work()) == Phase::Ended
    }

    fn next_wakeup(&self) -> Duration {
        let now = self.dispatcher.now;
        let timer = self.dispatcher.timers.first().map(|(at, _)| *at);
        let phase = self.phase.borrow().next_check(now);
        let wakeups = [timer, phase, self.subsystems_wakeup()];
        let earliest = wakeups.into_iter().flatten().min();
        earliest.unwrap_or(Duration::MAX).min(now + MAX_LOOP_WAIT)
    }

    async fn wait(
        &mut self,
        until: Duration,
        mailbox: &mut mpsc::Receiver<Message>,
        events: &mut mpsc::Receiver<DiscoveryEvent>,
    ) -> Wakeup {
        tokio::select! {
            biased;
            Some(event) = events.recv() => {
                self.apply_discovery_event(event);
                Wakeup::Other
            }
            message = mailbox.recv() => message.map_or(Wakeup::MailboxClosed, Wakeup::Message),
            () = sleep_until(self.dispatcher.clock.instant(until)) => Wakeup::Other,
        }
    }

    /// Whether the whole process was stalled since this iteration of the loop began.
    fn was_stalled(&self) -> bool {
        self.dispatcher.clock.now() >= self.dispatcher.now + MAX_LOOP_WAIT + STALL_THRESHOLD
    }

    pub(super) fn handle(&mut self, message: Message) {
        self.dispatcher.now = self.dispatcher.clock.now();
        match message {
            Message::Request(new) => self.receive_request(*new),
            Message::ClientLeft(id, tag, client) => {
                if self.dispatcher.requests.abandon(&id, tag, &client) {
                    self.dispatcher.maybe_finished.push(id.clone());
                    let now = self.dispatcher.now;
                    self.router.client_left(now, &id, &mut self.dispatcher);
                }
            }
            Message::BodyWritten(bytes) => self.dispatcher.memory.remove_unwritten(bytes),
            Message::AttemptEnded(ended) => self.complete_attempt(ended),
            Message::ServerActorStopped(server) => {
                self.dispatcher.servers.forget_stopped_actor(&server)
            }
            Message::DiskOperationEnded(operation) => self.complete_disk_operation(operation),
            Message::LatencyMeasured(edge, round_trip) => self.record_latency(edge, round_trip),
            Message::PeerDatagram(from, bytes) => self.receive_datagram(from, &bytes),
            Message::OperatorQuery(OperatorQuery { query, answer }) => {
                // The operator may have disconnected.
                let _ = answer.send(self.answer_query(query));
            }
            Message::Stop => self.begin_draining(),
        }
        self.process_completions();
    }

    /// Reports attempts that ended without a server to the routing logic, and removes requests that
    /// are finished.
    pub(super) fn process_completions(&mut self) {
        while let Some(ended) = self.dispatcher.local_results.pop_front() {
            self.complete_attempt(ended);
        }
        self.report_final_outcomes();
        for id in std::mem::take(&mut self.dispatcher.maybe_finished) {
            self.dispatcher.close_if_finished(&id);
        }
    }
}

/// Lets the tasks of discovery and of the connections run before timers fire. Otherwise answers
/// that arrived during a stall would be unread, and their servers would be taken for silent. The
/// number of messages is bounded by that of open attempts.
async fn let_other_tasks_run(
    mailbox: &mut mpsc::Receiver<Message>,
    messages: &mut VecDeque<Message>,
) {
    for _ in 0..CATCH_UP_ROUNDS {
        yield_now().await;
        while let Ok(message) = mailbox.try_recv() {
            messages.push_back(message);
        }
    }
}
