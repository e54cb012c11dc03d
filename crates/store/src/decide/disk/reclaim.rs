//! Reclaims segments: carries the most valuable records over to open segments, then removes the file.

use super::*;

impl Disk {
    pub(super) fn start_reclaim(&mut self, now: Duration, backend: &mut dyn DiskBackend) {
        let victim = self
            .segments
            .select_victim(now)
            .filter(|_| self.reclaim.is_none());
        let Some(segment) = victim.filter(|segment| backend.list(*segment)) else {
            return self.scheduler.complete(RECLAIM, Cost::default());
        };
        let previous_state = self
            .segments
            .get(segment)
            .map_or(State::Failed, |found| found.state);
        self.segments.set_state(segment, State::Reclaiming);
        let (to_carry, sync_first) = (VecDeque::new(), None);
        self.reclaim = Some(Reclaim {
            segment,
            previous_state,
            to_carry,
            in_flight: 1,
            sync_first,
            removing: false,
        });
    }

    /// Selects the records of the reclaimed segment to carry over: those that are still valid and were read or
    /// have the highest rank, up to a share of the admitted bytes. The others are dropped.
    pub fn complete_list(
        &mut self,
        now: Duration,
        segment: u32,
        result: Result<Vec<FooterEntry>, Fault>,
        purges: &Purges,
        backend: &mut dyn DiskBackend,
    ) {
        let Some(mut reclaim) = self.reclaim.take_if(|reclaim| reclaim.segment == segment) else {
            return;
        };
        if matches!(result, Err(Fault::Io(_) | Fault::Full)) {
            self.reclaim_retry.failed();
            if self.reclaim_retry.failures() < MAX_LIST_FAILURES {
                // The error may be transient: the segment is kept, and listed again later.
                self.counts.read_faults += 1;
                self.segments.set_state(segment, reclaim.previous_state);
                return self.scheduler.complete(RECLAIM, Cost::default());
            }
        }
        self.reclaim_retry.succeeded();
        reclaim.in_flight -= 1;
        let mut candidates = Vec::new();
        for entry in result.unwrap_or_default() {
            if !self.index_refers_to(entry.key, segment, entry.offset) {
                continue;
            }
            let index_entry = self.index.get(entry.key).filter(|index_entry| {
                let group = index_entry.group as usize;
                index_entry.proven
                    && purges.survives(entry.object, group, index_entry.created_at_ms)
                    && (index_entry.read_count > 0 || index_entry.rank > 2)
            });
            match index_entry
                .filter(|_| !self.settings.admit_all && self.write_health.is_available(now))
            {
                Some(index_entry) => candidates.push((
                    (
                        index_entry.read_count > 0,
                        index_entry.rank,
                        index_entry.read_count,
                    ),
                    entry,
                )),
                None => self.forget(entry.key, backend),
            }
        }
        candidates.sort_by_key(|(value, _)| std::cmp::Reverse(*value));
        for (_, entry) in candidates {
            if self
                .admission
                .admits_carry(now, entry.length as usize, self.settings.carry)
            {
                reclaim.to_carry.push_back(entry);
            } else {
                self.forget(entry.key, backend);
            }
        }
        self.reclaim = Some(reclaim);
        self.continue_reclaim(now, backend);
    }

    pub(super) fn complete_carry(
        &mut self,
        now: Duration,
        entry: FooterEntry,
        result: Result<(Copy, u8), Fault>,
        purges: &Purges,
        backend: &mut dyn DiskBackend,
    ) {
        let segment = self.reclaim.as_ref().map_or(0, |reclaim| reclaim.segment);
        let index_entry = self.index.get(entry.key).filter(|index_entry| {
            (index_entry.segment, index_entry.offset) == (segment, entry.offset)
        });
        let valid = index_entry.filter(|index_entry| {
            purges.survives(
                entry.object,
                index_entry.group as usize,
                index_entry.created_at_ms,
            )
        });
        let written = match (result, valid) {
            (Ok((copy, _)), Some(index_entry)) if self.can_write(now, entry.length as usize) => {
                let copy = Copy {
                    created_at_ms: index_entry.created_at_ms,
                    ..copy
                };
                self.append_record(now, &copy, index_entry.rank, true, backend)
            }
            _ => None,
        };
        match (written, &mut self.reclaim) {
            // The pending append takes over the read's place among the operations in flight.
            (Some(_), Some(_)) => {}
            _ => {
                self.forget_at(entry.key, segment, entry.offset, backend);
                self.carry_ended(now, backend);
            }
        }
    }

    pub(super) fn carry_ended(&mut self, now: Duration, backend: &mut dyn DiskBackend) {
        if let Some(reclaim) = &mut self.reclaim {
            reclaim.in_flight = reclaim.in_flight.saturating_sub(1);
        }
        self.continue_reclaim(now, backend);
    }

    /// Continues the reclaim: reads the records to carry over, syncs the segments that they were written to,
    /// then removes the reclaimed segment.
    pub(super) fn continue_reclaim(&mut self, now: Duration, backend: &mut dyn DiskBackend) {
        let Some(mut reclaim) = self.reclaim.take() else {
            return;
        };
        while reclaim.in_flight < MAX_CONCURRENT_CARRIES {
            let Some(entry) = reclaim.to_carry.pop_front() else {
                break;
            };
            let Some(index_entry) = self
                .index
                .get(entry.key)
                .filter(|s| (s.segment, s.offset) == (reclaim.segment, entry.offset))
            else {
                continue;
            };
            if self
                .start_read(index_entry, ReadPurpose::Carry { entry }, backend)
                .is_none()
            {
                reclaim.to_carry.push_front(entry);
                break;
            }
            reclaim.in_flight += 1;
        }
        if reclaim.in_flight == 0 && reclaim.to_carry.is_empty() {
            // A copy that was durable in this segment must be durable elsewhere before the segment is removed:
            // both carried records and newer copies that replaced records of this segment.
            let all = || {
                let unsynced = self
                    .unsealed
                    .iter()
                    .filter(|(_, (_, unsynced))| unsynced.bytes > 0);
                unsynced.map(|(segment, _)| *segment).collect()
            };
            let sync_first: &mut HashSet<u32> = reclaim.sync_first.get_or_insert_with(all);
            sync_first.retain(|segment| {
                let unsynced = self
                    .unsealed
                    .get(segment)
                    .is_some_and(|(_, u)| u.bytes > 0 || u.in_flight_up_to.is_some());
                unsynced
                    && self.segments.get(*segment).is_some_and(|s| {
                        matches!(s.state, State::Open | State::Sealing | State::Failed)
                    })
            });
            if !sync_first.is_empty() {
                self.sync(now, backend, true);
            } else if !reclaim.removing {
                reclaim.removing = backend.remove(reclaim.segment);
                if reclaim.removing {
                    self.segments.set_state(reclaim.segment, State::Removing);
                }
            }
        }
        self.reclaim = Some(reclaim);
    }

    pub fn complete_removal(
        &mut self,
        now: Duration,
        segment: u32,
        result: Result<(), Fault>,
        backend: &mut dyn DiskBackend,
    ) {
        if self.retrying_removal && self.failed_removals.front() == Some(&segment) {
            return self.complete_removal_retry(result);
        }
        if self
            .reclaim
            .take_if(|reclaim| reclaim.segment == segment)
            .is_none()
        {
            return;
        }
        let removed_bytes = self.segments.get(segment).map_or(0, |s| s.end);
        self.scheduler.complete(
            RECLAIM,
            Cost {
                bytes: f64::from(removed_bytes),
                operations: 1.0,
                core: 0.0,
            },
        );
        self.unsealed.remove(&segment);
        self.segments.remove_segment(segment);
        match result {
            Ok(()) => self.counts.reclaimed += 1,
            // The file may still exist. Nothing refers to it, but it takes up space, so one segment fewer is
            // allowed until it is removed.
            Err(_) => {
                self.counts.write_faults += 1;
                self.segments.max_segments = self.segments.max_segments.saturating_sub(1);
                self.failed_removals.push_back(segment);
                self.remove_retry.failed();
            }
        }
        self.continue_reclaim(now, backend);
    }

    /// Handles the result of a retried removal.
    fn complete_removal_retry(&mut self, result: Result<(), Fault>) {
        self.retrying_removal = false;
        if result.is_err() {
            self.remove_retry.failed();
            // The next retry is for another segment.
            return self.failed_removals.rotate_left(1);
        }
        self.failed_removals.pop_front();
        self.remove_retry.succeeded();
        self.segments.max_segments += 1;
        self.counts.reclaimed += 1;
    }
}
