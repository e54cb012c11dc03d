//! Tracks client connections, and selects the idle ones to evict for new ones.

use crate::messages::{ConnectionSlot, SlotId, SlotStatus, SlotUpdate};
use std::collections::{BTreeMap, HashMap};
use tokio::sync::mpsc;

/// This many of the newest unused connections are evicted only if no other can be: their first
/// message may be in flight.
pub(super) const PROTECTED_UNUSED: usize = 16;
/// Maximum number of connections that have been asked to close and are still open.
pub(super) const MAX_EVICTING: usize = 16;

/// The listener's end of a slot.
struct Slot {
    eviction_requests: mpsc::Sender<()>,
    idle_position: Option<IdlePosition>,
    is_evicting: bool,
}

/// The position of a slot in the eviction queues.
struct IdlePosition {
    status: SlotStatus,
    order: u64,
}

/// The slots that may be evicted. Each queue is ordered by when the slots got their status.
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

    /// Takes the oldest unused slot if there are unprotected ones or no idle slots, or else the
    /// slot that has been idle for longest.
    fn pop(&mut self) -> Option<SlotId> {
        let queue = if self.unused.len() > PROTECTED_UNUSED || self.idle.is_empty() {
            &mut self.unused
        } else {
            &mut self.idle
        };
        queue.pop_first().map(|(_, slot)| slot)
    }
}

/// The slots of all client connections. Idle connections must not keep out new ones.
#[derive(Default)]
pub(super) struct ConnectionSlots {
    slots: HashMap<SlotId, Slot>,
    idle_queues: IdleQueues,
    evicting: usize,
    /// The last number assigned to a slot or to a position in a queue.
    last_number: u64,
}

impl ConnectionSlots {
    /// Allocates a slot for a new connection.
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

    /// Updates the status of a connection.
    pub(super) fn update(&mut self, update: SlotUpdate) {
        let order = self.next_number();
        let Some(slot) = self.slots.get_mut(&update.slot) else {
            return;
        };
        if slot.is_evicting {
            // The update was sent before the eviction request was received. The connection closes
            // once it is idle, so no other one has to be evicted in its place.
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

    /// Frees the slot of a connection that has closed.
    pub(super) fn release(&mut self, id: SlotId) {
        let Some(slot) = self.slots.remove(&id) else {
            return;
        };
        if let Some(position) = slot.idle_position {
            self.idle_queues.remove(&position);
        }
        self.evicting -= usize::from(slot.is_evicting);
    }

    /// Asks one idle connection to close. If it has received a request meanwhile, it answers that
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

    /// Evicts until `MAX_EVICTING` connections are closing, which hold their descriptors until
    /// then.
    pub(super) fn evict_many(&mut self) {
        (self.evicting..MAX_EVICTING).for_each(|_| self.evict_one());
    }

    /// Evicts one connection if no slot is free for the next one.
    pub(super) fn keep_one_free(&mut self, max_connections: usize) {
        if self.not_evicting() >= max_connections && self.evicting < MAX_EVICTING {
            self.evict_one();
        }
    }

    /// Whether no further connection may be accepted.
    pub(super) fn is_full(&self, max_connections: usize) -> bool {
        self.not_evicting() >= max_connections || self.slots.len() >= max_connections + MAX_EVICTING
    }

    /// The number of connections that have not been asked to close.
    pub(super) fn not_evicting(&self) -> usize {
        self.slots.len() - self.evicting
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}

#[cfg(test)]
mod tests;
