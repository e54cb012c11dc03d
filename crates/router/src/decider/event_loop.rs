//! The decider's event loop: does what is due, then waits for the next event.

use super::{Decider, HELD_UP_AFTER, MAX_WAIT, TASK_ROUNDS};
use crate::discovery_events::DiscoveryEvent;
use crate::lifecycle::Phase;
use crate::messages::{Message, OperatorQuery};
use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::task::yield_now;
use tokio::time::sleep_until;

/// What the event loop was woken by.
enum Wakeup {
    Message(Message),
    /// Time, or an event of discovery that has been applied already.
    Other,
    /// Nobody can send to the decider any more.
    MailboxClosed,
}

impl Decider {
    /// Runs until the router has drained, or nobody can send to it any more.
    ///
    /// Events of discovery go before all else: after a pause of the whole program, as on a shared
    /// machine, a drain or a purge may wait unread for longer than its grace, behind requests and
    /// timers.
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
            if self.was_held_up() {
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

    /// Fires the timers that are due, and does background work.
    fn run_due_work(&mut self, planned_wakeup: Duration) {
        self.dispatcher.now = self.dispatcher.clock.now();
        self.fire_timers();
        let late = self.dispatcher.now.saturating_sub(planned_wakeup);
        self.run_background_work(late);
    }

    fn fire_timers(&mut self) {
        while let Some(Reverse((at, timer))) = self.dispatcher.timers.peek().copied() {
            if at > self.dispatcher.now {
                break;
            }
            self.dispatcher.timers.pop();
            let now = self.dispatcher.now;
            self.router.wake(now, timer, &mut self.dispatcher);
            self.settle();
        }
    }

    fn has_drained(&self) -> bool {
        let phase = *self.phase.borrow();
        phase.at(self.dispatcher.now, || self.open_work()) == Phase::Ended
    }

    fn next_wakeup(&self) -> Duration {
        let now = self.dispatcher.now;
        let timer = self.dispatcher.timers.peek().map(|Reverse((at, _))| *at);
        let phase = self.phase.borrow().next_look(now);
        let wakeups = [timer, phase, self.subsystems_wakeup()];
        let earliest = wakeups.into_iter().flatten().min();
        earliest.unwrap_or(Duration::MAX).min(now + MAX_WAIT)
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

    /// Whether the whole program stood still since this round of the loop began.
    fn was_held_up(&self) -> bool {
        self.dispatcher.clock.now() >= self.dispatcher.now + MAX_WAIT + HELD_UP_AFTER
    }

    pub(super) fn handle(&mut self, message: Message) {
        self.dispatcher.now = self.dispatcher.clock.now();
        match message {
            Message::Request(new) => self.receive_request(*new),
            Message::Left(id, tag, client) => {
                if self.dispatcher.requests.abandon(&id, tag, &client) {
                    self.dispatcher.maybe_finished.push(id.clone());
                    let now = self.dispatcher.now;
                    self.router.left(now, &id, &mut self.dispatcher);
                }
            }
            Message::Written(bytes) => self.dispatcher.release_written(bytes),
            Message::Ended(ended) => self.complete_attempt(ended),
            Message::ServerRests(server) => self.dispatcher.servers.forget_stopped_actor(&server),
            Message::Disk(end) => self.complete_disk_operation(end),
            Message::Way(edge, round_trip) => self.record_latency(edge, round_trip),
            Message::Peer(from, bytes) => self.receive_datagram(from, &bytes),
            Message::OperatorQuery(OperatorQuery { query, answer }) => {
                // Who asked may have gone.
                let _ = answer.send(self.answer_query(query));
            }
            Message::Stop => self.begin_draining(),
        }
        self.settle();
    }

    /// Reports to the decisions what ended without a server, and forgets requests that are
    /// finished.
    pub(super) fn settle(&mut self) {
        while let Some(ended) = self.dispatcher.local_results.pop_front() {
            self.complete_attempt(ended);
        }
        self.report_final_outcomes();
        for id in std::mem::take(&mut self.dispatcher.maybe_finished) {
            self.dispatcher.requests.remove_if_finished(&id);
        }
    }
}

/// Lets the other tasks run before the decisions do: those of discovery, and those of the
/// connections, lest answers that came while the program stood still pass for silence of their
/// servers. No more messages can come than attempts are open.
async fn let_other_tasks_run(
    mailbox: &mut mpsc::Receiver<Message>,
    messages: &mut VecDeque<Message>,
) {
    for _ in 0..TASK_ROUNDS {
        yield_now().await;
        while let Ok(message) = mailbox.try_recv() {
            messages.push_back(message);
        }
    }
}
