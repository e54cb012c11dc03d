//! Keeps count of clients' connections, and chooses which idle one has to close for a new one.

use crate::messages::{ConnectionSlot, SlotId, SlotStatus, SlotUpdate};
use std::collections::{BTreeMap, HashMap};
use tokio::sync::mpsc;

/// The newest of the unused connections are not evicted while another can be: their first message
/// may be on its way.
pub(super) const NEWEST_UNUSED_SPARED: usize = 16;
/// How many connections may be evicted and not closed yet.
pub(super) const MAX_EVICTING: usize = 16;

/// The listener's end of a slot.
struct Slot {
    eviction_requests: mpsc::Sender<()>,
    idle_position: Option<IdlePosition>,
    is_evicting: bool,
}

/// Where a slot stands among those that may be evicted.
struct IdlePosition {
    status: SlotStatus,
    order: u64,
}

/// The slots that may be evicted, each queue in the order in which they got their status.
#[derive(Default)]
struct IdleQueues {
    unused: BTreeMap<u64, SlotId>,
    idle: BTreeMap<u64, SlotId>,
}

impl IdleQueues {
    fn of_status(&mut self, status: SlotStatus) -> Option<&mut BTreeMap<u64, SlotId>> {
        match status {
            SlotStatus::Unused => Some(&mut self.unused),
            SlotStatus::Idle => Some(&mut self.idle),
            SlotStatus::Busy => None,
        }
    }

    fn insert(&mut self, slot: SlotId, position: &IdlePosition) {
        if let Some(queue) = self.of_status(position.status) {
            queue.insert(position.order, slot);
        }
    }

    fn remove(&mut self, position: &IdlePosition) {
        if let Some(queue) = self.of_status(position.status) {
            queue.remove(&position.order);
        }
    }

    /// Takes the unused slot that is the oldest, but for the newest ones; else the one that has
    /// been idle for longest.
    fn pop(&mut self) -> Option<SlotId> {
        let queue = if self.unused.len() > NEWEST_UNUSED_SPARED || self.idle.is_empty() {
            &mut self.unused
        } else {
            &mut self.idle
        };
        queue.pop_first().map(|(_, slot)| slot)
    }
}

/// Who holds the slots. Connections that carry nothing must not keep out new ones.
#[derive(Default)]
pub(super) struct ConnectionSlots {
    slots: HashMap<SlotId, Slot>,
    idle_queues: IdleQueues,
    evicting: usize,
    /// The last number given to a slot or to a position in a queue.
    last_number: u64,
}

impl ConnectionSlots {
    /// Gives a slot to a new connection.
    pub(super) fn take(&mut self, status_updates: mpsc::Sender<SlotUpdate>) -> ConnectionSlot {
        let (sender, eviction_requests) = mpsc::channel(1);
        let id = self.next_number();
        let slot = Slot {
            eviction_requests: sender,
            idle_position: None,
            is_evicting: false,
        };
        self.slots.insert(id, slot);
        self.update(SlotUpdate {
            slot: id,
            status: SlotStatus::Unused,
        });
        ConnectionSlot {
            id,
            eviction_requests,
            status_updates,
        }
    }

    /// Notes the status of a connection.
    pub(super) fn update(&mut self, update: SlotUpdate) {
        let order = self.next_number();
        let Some(slot) = self.slots.get_mut(&update.slot) else {
            return;
        };
        if slot.is_evicting {
            // The update crossed the request: it closes once nothing is open, and no other has to
            // for it.
            return;
        }
        if let Some(position) = slot.idle_position.take() {
            self.idle_queues.remove(&position);
        }
        if update.status != SlotStatus::Busy {
            let status = update.status;
            let position = slot.idle_position.insert(IdlePosition { status, order });
            self.idle_queues.insert(update.slot, position);
        }
    }

    /// Takes back the slot of a connection that has closed.
    pub(super) fn release(&mut self, id: SlotId) {
        let Some(slot) = self.slots.remove(&id) else {
            return;
        };
        if let Some(position) = slot.idle_position {
            self.idle_queues.remove(&position);
        }
        self.evicting -= usize::from(slot.is_evicting);
    }

    /// Asks one idle connection to close. One that has received a request meanwhile answers it
    /// first.
    pub(super) fn evict_one(&mut self) {
        let Some(id) = self.idle_queues.pop() else {
            return;
        };
        let Some(slot) = self.slots.get_mut(&id) else {
            return;
        };
        slot.idle_position = None;
        slot.is_evicting = slot.eviction_requests.try_send(()).is_ok();
        self.evicting += usize::from(slot.is_evicting);
    }

    /// Asks as many as may be evicted at once: those that are already still hold their descriptors.
    pub(super) fn evict_many(&mut self) {
        (self.evicting..MAX_EVICTING).for_each(|_| self.evict_one());
    }

    /// Keeps one slot free for the next connection.
    pub(super) fn keep_one_free(&mut self, max_connections: usize) {
        if self.staying() >= max_connections && self.evicting < MAX_EVICTING {
            self.evict_one();
        }
    }

    /// Whether no connection may be accepted now.
    pub(super) fn is_full(&self, max_connections: usize) -> bool {
        self.staying() >= max_connections || self.slots.len() >= max_connections + MAX_EVICTING
    }

    /// Connections that were not asked to close.
    pub(super) fn staying(&self) -> usize {
        self.slots.len() - self.evicting
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

#[cfg(test)]
mod tests;
