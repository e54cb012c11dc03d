use super::*;

#[test]
fn evicts_the_oldest_unused_slots_then_the_longest_idle_and_the_newest_unused_last() {
    let (status_updates, _receiver) = mpsc::channel(8);
    let mut slots = ConnectionSlots::default();
    let mut allocated: Vec<ConnectionSlot> = (0..4 + PROTECTED_UNUSED)
        .map(|_| slots.take(status_updates.clone()))
        .collect();
    let update = |slots: &mut ConnectionSlots, at: usize, idle| {
        slots.update(SlotUpdate {
            slot: allocated[at].id,
            status: if idle {
                SlotStatus::Idle
            } else {
                SlotStatus::Busy
            },
        });
    };
    update(&mut slots, 0, false);
    update(&mut slots, 1, false);
    update(&mut slots, 1, true);
    update(&mut slots, 0, true);
    update(&mut slots, 2, false);
    let mut evicted = Vec::new();
    for _ in 0..4 {
        slots.evict_one();
        evicted.extend(
            (0..allocated.len()).filter(|at| allocated[*at].eviction_requests.try_recv().is_ok()),
        );
    }
    assert_eq!(
        evicted,
        [3, 1, 0, 4],
        "protected slots are evicted only when no other is idle"
    );
    assert_eq!(
        slots.not_evicting(),
        PROTECTED_UNUSED,
        "busy slots are not evicted"
    );
    // Updates sent before the eviction request was received evict no other slot.
    for idle in [false, true] {
        slots.update(SlotUpdate {
            slot: allocated[1].id,
            status: if idle {
                SlotStatus::Idle
            } else {
                SlotStatus::Busy
            },
        });
        assert_eq!(slots.not_evicting(), PROTECTED_UNUSED);
    }
    allocated.iter().for_each(|slot| slots.release(slot.id));
    assert_eq!(
        (
            slots.slots.len(),
            slots.idle_queues.unused.len(),
            slots.idle_queues.idle.len()
        ),
        (0, 0, 0)
    );
    assert_eq!(slots.evicting, 0);
}

/// Accepts fail until the evicted connections have closed: no further ones are evicted for that.
#[test]
fn repeated_failures_evict_no_more_slots_than_may_be_evicting_at_once() {
    let (status_updates, _receiver) = mpsc::channel(8);
    let mut slots = ConnectionSlots::default();
    let allocated: Vec<ConnectionSlot> = (0..60)
        .map(|_| slots.take(status_updates.clone()))
        .collect();
    slots.update(SlotUpdate {
        slot: allocated[0].id,
        status: SlotStatus::Idle,
    });
    (0..3).for_each(|_| slots.evict_many());
    assert_eq!(
        (slots.evicting, slots.not_evicting()),
        (MAX_EVICTING, 60 - MAX_EVICTING)
    );
    slots.release(allocated[1].id);
    slots.evict_many();
    assert_eq!(
        (slots.evicting, slots.not_evicting()),
        (MAX_EVICTING, 60 - MAX_EVICTING - 1)
    );
}
