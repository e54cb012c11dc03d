//! Writes copies to segments, and tracks when they are durable.

use super::*;

impl Disk {
    /// Queues a copy evicted from memory for admission, or drops it if the queue is full.
    pub fn demote(&mut self, now: Duration, copy: Rc<Copy>, rank: u8) {
        let bytes = copy.body.len();
        let has_room = !matches!(self.phase, Phase::Refused(_))
            && self.demotion_queue_bytes + bytes <= MAX_DEMOTION_QUEUE_BYTES;
        if !has_room
            || !self.scheduler.offer(
                now,
                DEMOTE,
                Cost {
                    bytes: bytes as f64,
                    ..Cost::default()
                },
            )
        {
            self.counts.refused_disk += 1;
            return;
        }
        self.demotion_queue_bytes += bytes;
        self.demotion_queue.push_back((copy, rank));
    }

    /// Writes a copy if admission allows it and a segment has room.
    pub fn admit(
        &mut self,
        now: Duration,
        copy: &Copy,
        rank: u8,
        purges: &Purges,
        backend: &mut dyn DiskBackend,
    ) -> Result<(), Refusal> {
        let admitted = self.try_admit(now, copy, rank, purges, backend);
        match admitted {
            Ok(()) => {}
            Err(Refusal::ExpiresSoon) => self.counts.refused_expires += 1,
            Err(Refusal::TooLarge) => self.counts.refused_size += 1,
            Err(Refusal::OverBudget) => self.counts.refused_budget += 1,
            Err(Refusal::DiskUnavailable) => self.counts.refused_disk += 1,
            Err(Refusal::Outdated) => self.counts.outdated += 1,
        }
        admitted
    }

    pub(super) fn try_admit(
        &mut self,
        now: Duration,
        copy: &Copy,
        rank: u8,
        purges: &Purges,
        backend: &mut dyn DiskBackend,
    ) -> Result<(), Refusal> {
        let object = key::object(&copy.object);
        let key = key::part(object, copy.part);
        let rank = if self.settings.admit_all { 1 } else { rank };
        if !purges.survives(object, group_slot(copy.group), copy.created_at_ms) {
            return Err(Refusal::Outdated);
        }
        let held = self
            .index
            .get(key)
            .filter(|index_entry| self.segments.get(index_entry.segment).is_some());
        let same = |held: IndexEntry| {
            held.created_at_ms == copy.created_at_ms
                && held.tag == tag_hash(&copy.etag)
                && held.proven
        };
        if held.is_some_and(|held| held.created_at_ms > copy.created_at_ms || same(held)) {
            self.set_rank(key, rank);
            return Err(Refusal::Outdated);
        }
        if self
            .pending_appends
            .values()
            .any(|w| w.key == key && w.index_entry.created_at_ms >= copy.created_at_ms)
        {
            return Err(Refusal::Outdated);
        }
        let length = record_len(copy);
        if !fits_in_record(copy)
            || length as u64 > u64::from(self.settings.segment / MIN_SEGMENT_TO_RECORD_RATIO)
        {
            return Err(Refusal::TooLarge);
        }
        if !self.can_write(now, length) || self.index.is_full() {
            return Err(Refusal::DiskUnavailable);
        }
        let age = self.unix_ms(now).saturating_sub(copy.created_at_ms);
        let fresh = (copy.fresh_for_ms > 0)
            .then(|| Duration::from_millis(copy.fresh_for_ms.saturating_sub(age)));
        self.admission.admits(
            now,
            length,
            if self.settings.admit_all { 3 } else { rank },
            fresh,
        )?;
        if self
            .append_record(now, copy, rank, false, backend)
            .is_none()
        {
            return Err(Refusal::DiskUnavailable);
        }
        Ok(())
    }

    /// The Unix time by the clock as read at this start.
    pub(super) fn unix_ms(&self, now: Duration) -> u64 {
        // `now` has an arbitrary epoch; the start is known in both scales.
        self.start_ms + now.saturating_sub(self.start_time()).as_millis() as u64
    }

    pub(super) fn start_time(&self) -> Duration {
        self.admission.started()
    }

    pub(super) fn can_write(&self, now: Duration, length: usize) -> bool {
        matches!(self.phase, Phase::Recovering | Phase::Ready)
            && self.write_health.is_available(now)
            && self.pending_append_bytes + length <= MAX_PENDING_WRITE_BYTES
    }

    /// Starts writing a record. `None` if no segment has room for it now or the write queue is full.
    pub(super) fn append_record(
        &mut self,
        now: Duration,
        copy: &Copy,
        rank: u8,
        carried: bool,
        backend: &mut dyn DiskBackend,
    ) -> Option<u32> {
        let length = record_len(copy);
        let class = size_class(length);
        let (segment, offset) = match self.append_position(class, length) {
            Some(target) => target,
            None => {
                // Carried records may use the last free segment, since the reclaim frees one.
                if self.segments.free() <= usize::from(!carried) {
                    return None;
                }
                self.seal(class, backend);
                let head = SEGMENT_HEADER_LEN as u32;
                let segment = self.segments.open_new(class, head, now)?;
                if !backend.create_segment(segment, class as u32) {
                    self.segments.remove_segment(segment);
                    return None;
                }
                self.unsealed.insert(segment, Default::default());
                (segment, head)
            }
        };
        let address = format::DiskAddress {
            store_id: self.store_id,
            segment,
            offset,
        };
        let mut record = Vec::with_capacity(length);
        format::encode_record(&mut record, copy, rank, address);
        debug_assert_eq!(record.len(), length);
        let ticket = self.last_ticket + 1;
        if !backend.append(ticket, segment, offset, record) {
            return None;
        }
        self.last_ticket = ticket;
        self.write_health.record_sent(now);
        self.segments.record_append(segment, length, now);
        let object = key::object(&copy.object);
        let (key, group, tag) = (
            key::part(object, copy.part),
            group_slot(copy.group) as u16,
            tag_hash(&copy.etag),
        );
        let (length, created_at_ms) = (length as u32, copy.created_at_ms);
        let entry = FooterEntry {
            key,
            object,
            offset,
            length,
            created_at_ms,
            group,
            rank,
            tag,
        };
        let (entries, unsynced) = self.unsealed.entry(segment).or_default();
        entries.push(entry);
        unsynced.bytes += u64::from(length);
        unsynced.since.get_or_insert(now);
        let index_entry = IndexEntry {
            segment,
            offset,
            length,
            tag,
            created_at_ms,
            group,
            rank,
            read_count: 0,
            proven: true,
        };
        self.pending_appends.insert(
            ticket,
            PendingAppend {
                key,
                object,
                index_entry,
                carried,
            },
        );
        self.pending_append_bytes += length as usize;
        self.counts.written_bytes += u64::from(length);
        Some(segment)
    }

    /// The position for a record in the open segment of its size class, if the footer also fits behind it.
    pub(super) fn append_position(&self, class: usize, length: usize) -> Option<(u32, u32)> {
        let (segment, _) = self.segments.append_position(class, length)?;
        let entries = self
            .unsealed
            .get(&segment)
            .map_or(0, |(entries, _)| entries.len());
        self.segments.append_position(
            class,
            length + (entries + 1) * format::FOOTER_ENTRY_LEN + FOOTER_TRAILER_LEN,
        )
    }

    pub(super) fn seal(&mut self, class: usize, backend: &mut dyn DiskBackend) {
        let Some(segment) = self.segments.open(class) else {
            return;
        };
        let Some(end) = self.segments.get(segment).map(|s| s.end) else {
            return;
        };
        let entries = self
            .unsealed
            .get(&segment)
            .map_or(&[][..], |(entries, _)| entries);
        let footer = format::encode_footer(entries, self.store_id, segment, end);
        // If the operation is rejected nothing is lost: the next start scans the segment.
        let state = if backend.seal(segment, end, footer) {
            State::Sealing
        } else {
            State::Failed
        };
        self.segments.set_state(segment, state);
    }

    pub fn complete_append(
        &mut self,
        now: Duration,
        ticket: u64,
        result: Result<(), Fault>,
        purges: &Purges,
        backend: &mut dyn DiskBackend,
    ) {
        let Some(PendingAppend {
            key,
            object,
            index_entry,
            carried,
        }) = self.pending_appends.remove(&ticket)
        else {
            return;
        };
        self.pending_append_bytes -= index_entry.length as usize;
        match result {
            Ok(()) => {
                self.write_health.record_outcome(now, false, 1.0);
                self.counts.written += u64::from(!carried);
                self.counts.carried += u64::from(carried);
                // The copy may have been purged or replaced while it was written.
                let stale = !purges.survives(
                    object,
                    index_entry.group as usize,
                    index_entry.created_at_ms,
                ) || self
                    .index
                    .get(key)
                    .is_some_and(|held| held.created_at_ms > index_entry.created_at_ms);
                if !stale && !self.put(key, index_entry) {
                    self.counts.unknown += 1;
                }
            }
            Err(_) => {
                self.counts.write_faults += 1;
                self.write_health.record_outcome(now, true, 1.0);
                // Records already written to the segment can be read, but nothing more is appended, because the
                // state of its end is unknown.
                if self
                    .segments
                    .get(index_entry.segment)
                    .is_some_and(|s| s.state == State::Open)
                {
                    self.segments.set_state(index_entry.segment, State::Failed);
                }
            }
        }
        if carried {
            self.carry_ended(now, backend);
        }
    }

    pub fn complete_sync(
        &mut self,
        now: Duration,
        segment: u32,
        up_to: u32,
        result: Result<(), Fault>,
        backend: &mut dyn DiskBackend,
    ) {
        self.apply_sync_result(now, segment, up_to, result.is_ok(), backend);
        self.continue_reclaim(now, backend);
    }

    pub fn complete_seal(
        &mut self,
        now: Duration,
        segment: u32,
        up_to: u32,
        result: Result<(), Fault>,
        backend: &mut dyn DiskBackend,
    ) {
        let sealed = result.is_ok();
        self.apply_sync_result(now, segment, up_to, sealed, backend);
        if sealed {
            self.segments.set_state(segment, State::Sealed);
        }
        self.unsealed.remove(&segment);
        self.continue_reclaim(now, backend);
    }

    pub(super) fn apply_sync_result(
        &mut self,
        now: Duration,
        segment: u32,
        up_to: u32,
        synced: bool,
        backend: &mut dyn DiskBackend,
    ) {
        let before = self.segments.get(segment).map_or(0, |s| s.synced_up_to);
        self.write_health.record_outcome(now, !synced, 1.0);
        let Some((entries, unsynced)) = self.unsealed.get_mut(&segment) else {
            return;
        };
        unsynced.in_flight_up_to = None;
        let synced_entries: Vec<FooterEntry> = entries
            .iter()
            .filter(|e| e.offset >= before && e.offset < up_to)
            .copied()
            .collect();
        if synced {
            unsynced.bytes = entries
                .iter()
                .filter(|e| e.offset >= up_to)
                .map(|e| u64::from(e.length))
                .sum();
            unsynced.since = (unsynced.bytes > 0).then_some(now);
            self.segments.record_sync(segment, up_to);
            for entry in synced_entries {
                if self.index_refers_to(entry.key, segment, entry.offset) {
                    backend.copy_durable(entry.key, entry.created_at_ms);
                }
            }
            return;
        }
        // After a failed sync, a later successful one does not prove that earlier writes are durable. All
        // unsynced records are dropped, and the segment is reclaimed first.
        self.counts.sync_faults += 1;
        let unsynced_entries: Vec<FooterEntry> = entries
            .iter()
            .filter(|e| e.offset >= before)
            .copied()
            .collect();
        (unsynced.bytes, unsynced.since) = (0, None);
        for entry in unsynced_entries {
            self.forget_at(entry.key, segment, entry.offset, backend);
        }
        self.segments.set_state(segment, State::Failed);
    }

    /// Starts the syncs that are due, or with `all`, of all unsynced segments.
    pub(super) fn sync(&mut self, now: Duration, backend: &mut dyn DiskBackend, all: bool) {
        let (after, max_bytes) = (self.settings.sync_after, self.settings.sync_bytes);
        for (segment, (_, unsynced)) in &mut self.unsealed {
            let due = unsynced.bytes >= max_bytes
                || unsynced
                    .since
                    .is_some_and(|since| all || now >= since + after);
            // Records written before a failed write in a segment still become durable when it is synced.
            let written = self.segments.get(*segment);
            let written = written.filter(|s| matches!(s.state, State::Open | State::Failed));
            if let Some(found) = written.filter(|_| due && unsynced.in_flight_up_to.is_none()) {
                unsynced.in_flight_up_to = backend.sync(*segment, found.end).then_some(found.end);
            }
        }
    }
}
