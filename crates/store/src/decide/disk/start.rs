//! Start and recovery: which copies of earlier runs may be served.

use super::*;

impl Disk {
    /// The directory is open: applies the catalogue's contents and starts to recover the segments.
    pub fn complete_open(
        &mut self,
        known: &CatalogueSnapshot,
        segments: Vec<u32>,
        purges: &mut Purges,
        backend: &mut dyn DiskBackend,
    ) {
        self.store_id = known.store_id;
        known
            .purges
            .iter()
            .for_each(|record| purges.restore(*record));
        self.confirmed_before_start = known.confirmed_up_to_ms;
        (self.purges_missed_up_to, self.times_unreliable_up_to) =
            (known.purges_missed_up_to, known.times_unreliable_up_to);
        let mut segments = segments;
        segments.sort_unstable();
        if let Some(last) = segments.last().copied() {
            self.segments.reserve_numbers_up_to(last);
            self.limit_trust(known, last);
        }
        // Newest first: the latest copies are the most likely to be requested.
        self.recovery_queue = segments.into_iter().rev().collect();
        self.phase = Phase::Recovering;
        self.recover(backend);
    }

    /// The wall clock was set back since an earlier start: all copies of earlier runs must be revalidated. To be
    /// called before `complete_open`.
    pub fn distrust_earlier_starts(&mut self) {
        self.earlier_starts_distrusted = true;
    }

    /// Queues, before any confirmation of this run, up to which segment such confirmations do not apply, because
    /// purges may have been missed before this start or times were read from a clock that was stepped.
    fn limit_trust(&mut self, known: &CatalogueSnapshot, last: u32) {
        // After a step of the clock, neither the age of copies nor the length of the gap is known.
        let is_confirmation_in_future = known
            .confirmed_up_to_ms
            .is_some_and(|confirmed| confirmed > self.start_ms);
        if self.earlier_starts_distrusted || known.clock_stepped || is_confirmation_in_future {
            self.times_unreliable_up_to = self.times_unreliable_up_to.max(last);
            self.queued_lines
                .insert(0, CatalogueLine::TimesUnreliableUpTo(last));
        }
        if !self.is_gap_covered() {
            self.purges_missed_up_to = self.purges_missed_up_to.max(last);
            self.queued_lines
                .insert(0, CatalogueLine::PurgesMissedUpTo(last));
        }
    }

    /// Whether discovery's first list reaches back to the last confirmation of earlier runs.
    fn is_gap_covered(&self) -> bool {
        self.confirmed_before_start
            .is_some_and(|confirmed| confirmed >= self.purges_known_since)
    }

    /// Disables the tier, because its directory cannot be used.
    pub fn disable(&mut self, reason: String) {
        self.phase = Phase::Refused(reason);
        (
            self.recovery_queue,
            self.demotion_queue,
            self.demotion_queue_bytes,
        ) = (VecDeque::new(), VecDeque::new(), 0);
    }

    pub(super) fn recover(&mut self, backend: &mut dyn DiskBackend) {
        while self.active_recoveries < MAX_CONCURRENT_RECOVERIES {
            let Some(segment) = self.recovery_queue.front().copied() else {
                break;
            };
            if !backend.recover(segment) {
                break;
            }
            self.recovery_queue.pop_front();
            self.active_recoveries += 1;
        }
        if self.phase == Phase::Recovering
            && self.active_recoveries == 0
            && self.recovery_queue.is_empty()
        {
            self.phase = Phase::Ready;
            self.unproven_scan = (self.counts.unproven > 0).then_some((3, 0));
        }
    }

    /// Whether no purge can have been missed since this copy was made.
    pub(super) fn is_proven(&self, segment: u32, created_at_ms: u64) -> bool {
        let covered = self.is_gap_covered() && segment > self.purges_missed_up_to
            || created_at_ms >= self.purges_known_since;
        covered && segment > self.times_unreliable_up_to && created_at_ms <= self.start_ms
    }

    pub fn complete_recovery(
        &mut self,
        now: Duration,
        segment: u32,
        found: Result<Recovered, RecoveryError>,
        purges: &Purges,
        backend: &mut dyn DiskBackend,
    ) {
        let is_retry = self.failed_recoveries.front() == Some(&segment) && self.retrying_recovery;
        if is_retry {
            self.retrying_recovery = false;
        } else {
            self.active_recoveries = self.active_recoveries.saturating_sub(1);
        }
        match found {
            Ok(found) => {
                if is_retry {
                    self.failed_recoveries.pop_front();
                    self.recovery_retry.succeeded();
                    self.segments.max_segments += 1;
                }
                self.segments
                    .add_recovered(segment, found.class as usize, found.end, now);
                self.counts.damaged += found.damaged;
                self.counts.torn_bytes += found.torn_bytes;
                let mut indexed = 0;
                for entry in found.entries {
                    indexed += usize::from(self.index_recovered(segment, entry, purges));
                }
                if indexed == 0 {
                    self.segments.set_state(segment, State::Failed);
                }
            }
            Err(RecoveryError::Io(_)) => self.record_recovery_failure(segment, is_retry),
            // A segment of another format version is left unchanged and counts towards the limit.
            Err(RecoveryError::UnsupportedVersion(_)) => {
                self.counts.foreign += 1;
                if is_retry {
                    self.failed_recoveries.pop_front();
                } else {
                    self.segments.max_segments = self.segments.max_segments.saturating_sub(1);
                }
            }
        }
        if is_retry && self.counts.unproven > 0 {
            self.unproven_scan.get_or_insert((3, 0));
        }
        self.recover(backend);
    }

    /// A segment that could not be read counts towards the limit and is recovered again later, because it may
    /// hold copies that were reported as durable.
    fn record_recovery_failure(&mut self, segment: u32, is_retry: bool) {
        self.recovery_retry.failed();
        if is_retry {
            // The next retry is for another segment.
            self.failed_recoveries.rotate_left(1);
            return;
        }
        self.counts.read_faults += 1;
        self.segments.max_segments = self.segments.max_segments.saturating_sub(1);
        self.failed_recoveries.push_back(segment);
    }

    /// Retries failed removals and recoveries, one of each at a time.
    pub(super) fn retry_files(&mut self, now: Duration, backend: &mut dyn DiskBackend) {
        let failed_removals = self
            .failed_removals
            .front()
            .copied()
            .filter(|_| !self.retrying_removal);
        if let Some(segment) = failed_removals.filter(|_| self.remove_retry.is_due(now)) {
            self.retrying_removal = backend.remove(segment);
        }
        let failed_recoveries = self
            .failed_recoveries
            .front()
            .copied()
            .filter(|_| !self.retrying_recovery);
        if let Some(segment) = failed_recoveries.filter(|_| self.recovery_retry.is_due(now)) {
            self.retrying_recovery = backend.recover(segment);
        }
    }

    /// Indexes a recovered record if it may be served or revalidated.
    pub(super) fn index_recovered(
        &mut self,
        segment: u32,
        entry: FooterEntry,
        purges: &Purges,
    ) -> bool {
        if !purges.survives(entry.object, entry.group as usize, entry.created_at_ms) {
            return false;
        }
        let proven = self.is_proven(segment, entry.created_at_ms);
        if !proven && self.settings.revalidate <= 0.0 {
            self.counts.dropped_unproven += 1;
            return false;
        }
        let FooterEntry {
            offset,
            length,
            created_at_ms,
            group,
            rank,
            tag,
            ..
        } = entry;
        let index_entry = IndexEntry {
            segment,
            offset,
            length,
            tag,
            created_at_ms,
            group,
            rank,
            read_count: 0,
            proven,
        };
        if self.index.get(entry.key).is_some_and(|held| {
            (held.created_at_ms, held.segment, held.offset) > (created_at_ms, segment, offset)
        }) {
            return false;
        }
        let put = self.put(entry.key, index_entry);
        self.counts.recovered += u64::from(put);
        self.counts.unproven += u64::from(put && !proven);
        self.counts.unknown += u64::from(!put);
        put
    }

    /// Inserts an entry into the index and updates the live bytes of segments. False: the index is full.
    pub(super) fn put(&mut self, key: Key, index_entry: IndexEntry) -> bool {
        match self.index.put(key, &index_entry) {
            Ok(old) => {
                old.into_iter()
                    .for_each(|old| self.segments.subtract_live_bytes(old.segment, old.length));
                self.segments
                    .add_live_bytes(index_entry.segment, index_entry.length);
                true
            }
            Err(IndexFull) => false,
        }
    }

    pub(super) fn forget(&mut self, key: Key, backend: &mut dyn DiskBackend) {
        if let Some(removed) = self.index.remove(key) {
            self.segments
                .subtract_live_bytes(removed.segment, removed.length);
            backend.copy_dropped(key);
        }
    }

    /// Forgets a part only if the index still refers to this position.
    pub(super) fn forget_at(
        &mut self,
        key: Key,
        segment: u32,
        offset: u32,
        backend: &mut dyn DiskBackend,
    ) {
        if self.index_refers_to(key, segment, offset) {
            self.forget(key, backend);
        }
    }

    pub(super) fn index_refers_to(&self, key: Key, segment: u32, offset: u32) -> bool {
        self.index.get(key).is_some_and(|index_entry| {
            (index_entry.segment, index_entry.offset) == (segment, offset)
        })
    }
}
