//! Background work: what is done at each tick.

use super::*;

impl Disk {
    /// Reports by how much the event loop ran late; the scheduler pauses background work when it lags.
    pub fn record_loop_delay(&mut self, now: Duration, late: Duration) {
        self.scheduler.record_loop_delay(now, late);
    }

    /// Does the background work that is due, in small steps. Call it often.
    pub fn tick(
        &mut self,
        now: Duration,
        purges: &Purges,
        in_memory: &dyn Fn(Key) -> bool,
        backend: &mut dyn DiskBackend,
    ) {
        self.recover(backend);
        if !matches!(self.phase, Phase::Recovering | Phase::Ready) {
            return;
        }
        self.retry_catalogue(now, backend);
        self.retry_files(now, backend);
        self.sync(now, backend, false);
        if now >= self.last_confirmation + CONFIRMATION_INTERVAL {
            self.write_confirmation(now, backend);
        }
        self.offer_work(now);
        // Bounded, so that requests are not delayed.
        for _ in 0..64 {
            let Some(kind) = self.scheduler.next(now) else {
                break;
            };
            self.run_work(kind, now, purges, in_memory, backend);
        }
        self.continue_reclaim(now, backend);
    }

    /// When `tick` must be called next if nothing else happens. `None` if no work is planned.
    pub fn next_wakeup(&self, now: Duration) -> Option<Duration> {
        // A sync that was due but rejected is retried after a short delay, not at once.
        let idle = self
            .unsealed
            .values()
            .filter(|(_, unsynced)| unsynced.in_flight_up_to.is_none());
        let syncs = idle.filter_map(|(_, u)| {
            Some((u.since? + self.settings.sync_after).max(now + RETRY_DELAY))
        });
        let retries = [
            &self.catalogue_retry,
            &self.reclaim_retry,
            &self.remove_retry,
            &self.recovery_retry,
        ];
        let retries = retries
            .into_iter()
            .filter_map(|retry| retry.due())
            .map(|due| due.max(now + RETRY_DELAY));
        self.scheduler
            .next_wakeup(now)
            .into_iter()
            .chain(syncs)
            .chain(retries)
            .min()
    }

    pub(super) fn offer_work(&mut self, now: Duration) {
        let is_idle = |work: &Scheduler, kind| work.queue_lengths(kind) == (0, 0);
        let one_operation = Cost {
            operations: 1.0,
            ..Cost::default()
        };
        let is_low_on_space = self.segments.free() <= RESERVED_SEGMENTS || self.index.is_full();
        let is_low_on_space = is_low_on_space && self.reclaim_retry.is_due(now);
        if is_low_on_space
            && self.reclaim.is_none()
            && is_idle(&self.scheduler, RECLAIM)
            && self.segments.select_victim(now).is_some()
        {
            self.scheduler.offer(now, RECLAIM, one_operation);
        }
        let has_unproven = !self.requested_unproven.is_empty() || self.unproven_scan.is_some();
        if has_unproven
            && self.settings.revalidate > 0.0
            && self.scheduler.queue_lengths(REVALIDATE).0 == 0
        {
            self.scheduler.offer(now, REVALIDATE, one_operation);
        }
        if self.phase == Phase::Ready && !self.index.is_empty() {
            if self.settings.scrub > 0 && is_idle(&self.scheduler, SCRUB) {
                let mean = self.segments.bytes().1 as f64 / self.index.len() as f64;
                self.scheduler.offer(
                    now,
                    SCRUB,
                    Cost {
                        bytes: mean,
                        ..Cost::default()
                    },
                );
            }
            if is_idle(&self.scheduler, SWEEP) {
                self.scheduler.offer(now, SWEEP, one_operation);
            }
        }
    }

    pub(super) fn run_work(
        &mut self,
        kind: usize,
        now: Duration,
        purges: &Purges,
        in_memory: &dyn Fn(Key) -> bool,
        backend: &mut dyn DiskBackend,
    ) {
        match kind {
            DEMOTE => {
                let bytes = self.demotion_queue.pop_front().map_or(0, |(copy, rank)| {
                    self.demotion_queue_bytes -= copy.body.len();
                    let _ = self.admit(now, &copy, rank, purges, backend);
                    copy.body.len()
                });
                self.scheduler.complete(
                    DEMOTE,
                    Cost {
                        bytes: bytes as f64,
                        ..Cost::default()
                    },
                );
            }
            RECLAIM => self.start_reclaim(now, backend),
            REVALIDATE => {
                let started = self.next_unproven().and_then(|(key, index_entry)| {
                    self.start_read(
                        index_entry,
                        ReadPurpose::Revalidate { key, index_entry },
                        backend,
                    )
                });
                if started.is_none() {
                    self.scheduler.complete(REVALIDATE, Cost::default());
                }
            }
            SCRUB => {
                let (found, next) = self.index.buckets_from(self.scrub_position, 1);
                let found: Vec<(Key, IndexEntry)> = found.collect();
                // One entry per bucket and round; the choice varies from round to round.
                let picked = found
                    .get(self.last_ticket as usize % found.len().max(1))
                    .copied();
                self.scrub_position = next.unwrap_or(0);
                let started = picked.and_then(|(key, index_entry)| {
                    self.start_read(
                        index_entry,
                        ReadPurpose::Scrub { key, index_entry },
                        backend,
                    )
                });
                if started.is_none() {
                    self.scheduler.complete(SCRUB, Cost::default());
                }
            }
            SWEEP => {
                let (found, next) = self.index.buckets_from(self.sweep_position, SWEEP_BUCKETS);
                let stale =
                    |index_entry: &IndexEntry| self.segments.get(index_entry.segment).is_none();
                let stale: Vec<Key> = found
                    .filter(|(_, index_entry)| stale(index_entry))
                    .map(|(key, _)| key)
                    .collect();
                self.sweep_position = next.unwrap_or(0);
                stale.into_iter().for_each(|key| self.forget(key, backend));
                self.scheduler.complete(
                    SWEEP,
                    Cost {
                        operations: 1.0,
                        ..Cost::default()
                    },
                );
            }
            READ_AHEAD => {
                let started = self
                    .next_read_ahead(purges, in_memory)
                    .map(|(key, index_entry)| {
                        self.start_read(
                            index_entry,
                            ReadPurpose::ReadAhead { key, index_entry },
                            backend,
                        )
                    });
                if started.flatten().is_none() {
                    self.scheduler.complete(READ_AHEAD, Cost::default());
                }
            }
            _ => {}
        }
    }

    /// The next part to read ahead after the last sequential read.
    pub(super) fn next_read_ahead(
        &mut self,
        purges: &Purges,
        in_memory: &dyn Fn(Key) -> bool,
    ) -> Option<(Key, IndexEntry)> {
        let (object, part) = self.sequential_read?;
        (1..=self.settings.read_ahead as u64).find_map(|step| {
            let key = key::part(object, part.checked_add(step)?);
            let index_entry = self.find(key, object, 0, purges)?;
            let in_flight = self
                .pending_reads
                .values()
                .any(|p| matches!(p, ReadPurpose::ReadAhead { key: k, .. } if *k == key));
            (!in_flight && !in_memory(key)).then_some((key, index_entry))
        })
    }

    /// The next unproven copy to revalidate: a requested one, otherwise by rank.
    pub(super) fn next_unproven(&mut self) -> Option<(Key, IndexEntry)> {
        while let Some(key) = self.requested_unproven.pop_front() {
            if let Some(index_entry) = self
                .index
                .get(key)
                .filter(|index_entry| !index_entry.proven)
            {
                return Some((key, index_entry));
            }
        }
        let (rank, from) = self.unproven_scan?;
        let in_flight: HashSet<Key> = self
            .pending_reads
            .values()
            .filter_map(|p| match p {
                ReadPurpose::Revalidate { key, .. } => Some(*key),
                _ => None,
            })
            .collect();
        let (found, next) = self.index.buckets_from(from, SWEEP_BUCKETS);
        let mut found = found.filter(|(key, index_entry)| {
            !index_entry.proven && index_entry.rank == rank && !in_flight.contains(key)
        });
        let first = found.next();
        let more = found.next().is_some();
        drop(found);
        if !more {
            self.unproven_scan = match next {
                Some(next) => Some((rank, next)),
                None if rank > 1 => Some((rank - 1, 0)),
                None => None,
            };
        }
        first
    }

    /// The source confirmed that the version with this entity tag was current at `created_at_ms`.
    pub fn confirm_version(&mut self, key: Key, tag: &[u8], created_at_ms: u64) {
        let is_current = self
            .index
            .get(key)
            .is_some_and(|index_entry| index_entry.tag == tag_hash(tag));
        if is_current {
            self.counts.revalidated += 1;
            self.index.update(key, |index_entry| {
                (index_entry.proven, index_entry.created_at_ms) =
                    (true, index_entry.created_at_ms.max(created_at_ms))
            });
        }
    }

    /// Drops a copy if it is still unproven: its source has another version or could not be reached.
    pub fn drop_unproven(&mut self, key: Key, backend: &mut dyn DiskBackend) {
        if self
            .index
            .get(key)
            .is_some_and(|index_entry| !index_entry.proven)
        {
            self.counts.dropped_unproven += 1;
            self.forget(key, backend);
        }
    }
}
