//! Lookups and reads for requests, and read-ahead.

use super::*;

impl Disk {
    /// The position of a part's copy, if the copy may be served.
    pub fn find(
        &mut self,
        key: Key,
        object: Key,
        group: usize,
        purges: &Purges,
    ) -> Option<IndexEntry> {
        let index_entry = self.index.get(key)?;
        // Entries of removed segments may remain until the next sweep.
        let segment_exists = self
            .segments
            .get(index_entry.segment)
            .is_some_and(|s| s.state != State::Removing);
        let valid = segment_exists
            && purges.survives(
                object,
                index_entry.group as usize,
                index_entry.created_at_ms,
            )
            && purges.survives(object, group, index_entry.created_at_ms);
        if valid
            && !index_entry.proven
            && self.requested_unproven.len() < MAX_REQUESTED_UNPROVEN
            && !self.requested_unproven.contains(&key)
        {
            self.requested_unproven.push_back(key);
        }
        (valid && index_entry.proven).then_some(index_entry)
    }

    /// Starts reading a part for a request. Completes with `DiskBackend::read_completed`. `None` if the read
    /// queue is full.
    pub fn start_request_read(
        &mut self,
        key: Key,
        index_entry: IndexEntry,
        object: &[u8],
        part: u64,
        group: usize,
        backend: &mut dyn DiskBackend,
    ) -> Option<u64> {
        let purpose = ReadPurpose::Request {
            key,
            index_entry,
            object: object.to_vec(),
            part,
            group,
        };
        self.start_read(index_entry, purpose, backend)
    }

    pub(super) fn start_read(
        &mut self,
        index_entry: IndexEntry,
        purpose: ReadPurpose,
        backend: &mut dyn DiskBackend,
    ) -> Option<u64> {
        let ticket = self.last_ticket + 1;
        if !backend.read(
            ticket,
            index_entry.segment,
            index_entry.offset,
            index_entry.length,
        ) {
            return None;
        }
        self.last_ticket = ticket;
        self.pending_reads.insert(ticket, purpose);
        Some(ticket)
    }

    /// Cancels a read: its result is discarded.
    pub fn cancel_read(&mut self, ticket: u64) {
        self.pending_reads
            .get_mut(&ticket)
            .into_iter()
            .for_each(|purpose| *purpose = ReadPurpose::Cancelled);
    }

    /// Handles the result of a read. Returns the copy to keep in memory, with its rank.
    pub fn complete_read(
        &mut self,
        now: Duration,
        ticket: u64,
        result: Result<(Copy, u8), Fault>,
        purges: &Purges,
        backend: &mut dyn DiskBackend,
    ) -> Option<(Rc<Copy>, u8)> {
        let purpose = self.pending_reads.remove(&ticket)?;
        self.counts.read_faults += u64::from(matches!(result, Err(Fault::Io(_) | Fault::Full)));
        let damaged = matches!(result, Err(Fault::Damaged));
        let mut drop_if_damaged = |disk: &mut Disk, key: Key, index_entry: &IndexEntry| {
            if damaged && disk.index_refers_to(key, index_entry.segment, index_entry.offset) {
                disk.counts.damaged += 1;
                disk.forget(key, backend);
            }
        };
        match purpose {
            ReadPurpose::Request {
                key,
                index_entry,
                object,
                part,
                group,
            } => {
                drop_if_damaged(self, key, &index_entry);
                let fetched = match result {
                    Ok((copy, rank)) => {
                        // A copy that was purged or replaced while it was read must not be served.
                        let current = self.index.get(key).filter(|c| {
                            (c.segment, c.offset) == (index_entry.segment, index_entry.offset)
                        });
                        let object_key = key::object(&object);
                        let valid = current.filter(|current| {
                            current.proven
                                && *copy.object == *object
                                && copy.part == part
                                && purges.survives(
                                    object_key,
                                    current.group as usize,
                                    current.created_at_ms,
                                )
                                && purges.survives(object_key, group, current.created_at_ms)
                        });
                        valid.map_or((ReadResult::Gone, None), |current| {
                            let copy = Rc::new(Copy {
                                created_at_ms: current.created_at_ms,
                                ..copy
                            });
                            self.record_hit(now, key, &current, &copy);
                            (
                                ReadResult::Copy(copy.clone()),
                                Some((copy, rank.max(current.rank))),
                            )
                        })
                    }
                    Err(Fault::Damaged) => (ReadResult::Gone, None),
                    Err(_) => (ReadResult::Failed, None),
                };
                backend.read_completed(ticket, fetched.0);
                fetched.1
            }
            ReadPurpose::ReadAhead { key, index_entry } => {
                drop_if_damaged(self, key, &index_entry);
                self.scheduler.complete(
                    READ_AHEAD,
                    Cost {
                        bytes: f64::from(index_entry.length),
                        operations: 1.0,
                        core: 0.0,
                    },
                );
                let (copy, rank) = result.ok()?;
                let valid = self.index_refers_to(key, index_entry.segment, index_entry.offset)
                    && purges.survives(
                        key::object(&copy.object),
                        index_entry.group as usize,
                        index_entry.created_at_ms,
                    );
                self.counts.read_ahead += u64::from(valid);
                valid.then(|| {
                    (
                        Rc::new(Copy {
                            created_at_ms: index_entry.created_at_ms,
                            ..copy
                        }),
                        rank,
                    )
                })
            }
            ReadPurpose::Scrub { key, index_entry } => {
                drop_if_damaged(self, key, &index_entry);
                self.counts.scrubbed += 1;
                self.scheduler.complete(
                    SCRUB,
                    Cost {
                        bytes: f64::from(index_entry.length),
                        ..Cost::default()
                    },
                );
                None
            }
            ReadPurpose::Revalidate { key, index_entry } => {
                drop_if_damaged(self, key, &index_entry);
                self.scheduler.complete(
                    REVALIDATE,
                    Cost {
                        operations: 1.0,
                        ..Cost::default()
                    },
                );
                match result {
                    Ok((copy, _))
                        if self.index_refers_to(key, index_entry.segment, index_entry.offset) =>
                    {
                        backend.revalidate(&copy)
                    }
                    _ => self.forget_at(key, index_entry.segment, index_entry.offset, backend),
                }
                None
            }
            ReadPurpose::Carry { entry } => {
                self.complete_carry(now, entry, result, purges, backend);
                None
            }
            ReadPurpose::Cancelled => None,
        }
    }

    pub(super) fn record_hit(
        &mut self,
        now: Duration,
        key: Key,
        index_entry: &IndexEntry,
        copy: &Copy,
    ) {
        self.counts.hits += 1;
        self.counts.hit_bytes += copy.body.len() as u64;
        self.index.update(key, |index_entry| {
            index_entry.read_count = (index_entry.read_count + 1).min(3)
        });
        self.segments.touch(index_entry.segment, now);
    }

    /// Changes a part's rank after another request for it.
    pub fn set_rank(&mut self, key: Key, rank: u8) {
        self.index
            .update(key, |index_entry| index_entry.rank = rank);
    }

    /// Records a request for a part. If parts are requested in sequence, the following ones are read ahead,
    /// unless they are already in memory.
    pub fn record_request(&mut self, now: Duration, object: Key, part: u64) {
        if self.settings.read_ahead == 0 {
            return;
        }
        let last = &mut self.last_parts[key::slot(object, SEQUENCE_SLOTS)];
        let before = std::mem::replace(last, (object, part));
        if before.0 == object && before.1.checked_add(1) == Some(part) {
            self.sequential_read = Some((object, part));
            self.scheduler.offer(
                now,
                READ_AHEAD,
                Cost {
                    operations: 1.0,
                    ..Cost::default()
                },
            );
        }
    }
}
