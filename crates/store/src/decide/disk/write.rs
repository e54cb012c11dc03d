//! What is written, where, and when it counts as there.

use super::*;

impl Disk {
    /// A copy that memory has no place for. It waits for its turn to be written, or is let go of.
    pub fn demote(&mut self, now: Duration, copy: Rc<Copy>, rank: u8) {
        let bytes = copy.body.len();
        let taken = !matches!(self.phase, Phase::Refused(_))
            && self.demoting_bytes + bytes <= DEMOTING_MOST;
        if !taken
            || !self.work.offer(
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
        self.demoting_bytes += bytes;
        self.demoting.push_back((copy, rank));
    }

    /// Writes a copy, if it is worth it and there is a place.
    pub fn admit(
        &mut self,
        now: Duration,
        copy: &Copy,
        rank: u8,
        purges: &Purges,
        out: &mut dyn Outlet,
    ) -> Result<(), Refusal> {
        let admitted = self.admitted(now, copy, rank, purges, out);
        match admitted {
            Ok(()) => {}
            Err(Refusal::Expires) => self.counts.refused_expires += 1,
            Err(Refusal::TooLarge) => self.counts.refused_size += 1,
            Err(Refusal::Budget) => self.counts.refused_budget += 1,
            Err(Refusal::Disk) => self.counts.refused_disk += 1,
            Err(Refusal::Outdated) => self.counts.outdated += 1,
        }
        admitted
    }

    pub(super) fn admitted(
        &mut self,
        now: Duration,
        copy: &Copy,
        rank: u8,
        purges: &Purges,
        out: &mut dyn Outlet,
    ) -> Result<(), Refusal> {
        let object = key::object(&copy.object);
        let key = key::part(object, copy.part);
        let rank = if self.wanted.admit_all { 1 } else { rank };
        if !purges.survives(object, group_slot(copy.group), copy.made) {
            return Err(Refusal::Outdated);
        }
        let held = self
            .index
            .get(key)
            .filter(|spot| self.segments.get(spot.segment).is_some());
        let same =
            |held: Spot| held.made == copy.made && held.tag == tag_hash(&copy.tag) && held.proven;
        if held.is_some_and(|held| held.made > copy.made || same(held)) {
            self.rank(key, rank);
            return Err(Refusal::Outdated);
        }
        if self
            .writing
            .values()
            .any(|w| w.key == key && w.spot.made >= copy.made)
        {
            return Err(Refusal::Outdated);
        }
        let length = record_len(copy);
        if !fits_in_record(copy) || length as u64 > u64::from(self.wanted.segment / LARGEST_SHARE) {
            return Err(Refusal::TooLarge);
        }
        if !self.may_write(now, length) || self.index.is_full() {
            return Err(Refusal::Disk);
        }
        let age = self.unix_ms(now).saturating_sub(copy.made);
        let fresh = (copy.fresh > 0).then(|| Duration::from_millis(copy.fresh.saturating_sub(age)));
        self.admission.admits(
            now,
            length,
            if self.wanted.admit_all { 3 } else { rank },
            fresh,
        )?;
        if self.write(now, copy, rank, false, out).is_none() {
            return Err(Refusal::Disk);
        }
        Ok(())
    }

    /// The Unix time, as far as this start's clock tells it.
    pub(super) fn unix_ms(&self, now: Duration) -> u64 {
        // `now` counts from a zero of its own; both were read at the start.
        self.start_ms + now.saturating_sub(self.heard_zero()).as_millis() as u64
    }

    pub(super) fn heard_zero(&self) -> Duration {
        self.admission.started()
    }

    pub(super) fn may_write(&self, now: Duration, length: usize) -> bool {
        matches!(self.phase, Phase::Recovering | Phase::Ready)
            && self.writes.sound(now)
            && self.writing_bytes + length <= WRITING_MOST
    }

    /// Orders a record to be written. None: there is no place for it now.
    pub(super) fn write(
        &mut self,
        now: Duration,
        copy: &Copy,
        rank: u8,
        carried: bool,
        out: &mut dyn Outlet,
    ) -> Option<u32> {
        let length = record_len(copy);
        let class = class_of(length);
        let (segment, at) = match self.place(class, length) {
            Some(place) => place,
            None => {
                // What is carried over may take the last free one: a reclaim gives one back.
                if self.segments.free() <= usize::from(!carried) {
                    return None;
                }
                self.seal(class, out);
                let head = SEGMENT_HEADER_LEN as u32;
                let segment = self.segments.begin(class, head, now)?;
                if !out.begin(segment, class as u32) {
                    self.segments.removed(segment);
                    return None;
                }
                self.written.insert(segment, Default::default());
                (segment, head)
            }
        };
        let place = format::DiskAddress {
            store_id: self.store,
            segment,
            at,
        };
        let mut record = Vec::with_capacity(length);
        format::encode_record(&mut record, copy, rank, place);
        debug_assert_eq!(record.len(), length);
        let ticket = self.tickets + 1;
        if !out.append(ticket, segment, at, record) {
            return None;
        }
        self.tickets = ticket;
        self.writes.sent(now);
        self.segments.wrote(segment, length, now);
        let object = key::object(&copy.object);
        let (key, group, tag) = (
            key::part(object, copy.part),
            group_slot(copy.group) as u16,
            tag_hash(&copy.tag),
        );
        let (length, made) = (length as u32, copy.made);
        let entry = Entry {
            key,
            object,
            at,
            length,
            made,
            group,
            rank,
            tag,
        };
        let (entries, unsynced) = self.written.entry(segment).or_default();
        entries.push(entry);
        unsynced.bytes += u64::from(length);
        unsynced.since.get_or_insert(now);
        let spot = Spot {
            segment,
            at,
            length,
            tag,
            made,
            group,
            rank,
            heat: 0,
            proven: true,
        };
        self.writing.insert(
            ticket,
            Writing {
                key,
                object,
                spot,
                carried,
            },
        );
        self.writing_bytes += length as usize;
        self.counts.written_bytes += u64::from(length);
        Some(segment)
    }

    /// Where a record goes in the open segment of its size group, with room for the footer behind it.
    pub(super) fn place(&self, class: usize, length: usize) -> Option<(u32, u32)> {
        let (segment, _) = self.segments.place(class, length)?;
        let entries = self
            .written
            .get(&segment)
            .map_or(0, |(entries, _)| entries.len());
        self.segments.place(
            class,
            length + (entries + 1) * format::FOOTER_ENTRY_LEN + FOOTER_TRAILER_LEN,
        )
    }

    pub(super) fn seal(&mut self, class: usize, out: &mut dyn Outlet) {
        let Some(segment) = self.segments.open(class) else {
            return;
        };
        let Some(end) = self.segments.get(segment).map(|s| s.end) else {
            return;
        };
        let entries = self
            .written
            .get(&segment)
            .map_or(&[][..], |(entries, _)| entries);
        let footer = format::encode_footer(entries, self.store, segment, end);
        // Where the order is not taken nothing is lost: the next start walks through it.
        let state = if out.seal(segment, end, footer) {
            State::Sealing
        } else {
            State::Failed
        };
        self.segments.set(segment, state);
    }

    pub fn appended(
        &mut self,
        now: Duration,
        ticket: u64,
        result: Result<(), Fault>,
        purges: &Purges,
        out: &mut dyn Outlet,
    ) {
        let Some(Writing {
            key,
            object,
            spot,
            carried,
        }) = self.writing.remove(&ticket)
        else {
            return;
        };
        self.writing_bytes -= spot.length as usize;
        match result {
            Ok(()) => {
                self.writes.judge(now, false, 1.0);
                self.counts.written += u64::from(!carried);
                self.counts.carried += u64::from(carried);
                // Purged or replaced while it waited to be written.
                let stale = !purges.survives(object, spot.group as usize, spot.made)
                    || self
                        .index
                        .get(key)
                        .is_some_and(|held| held.made > spot.made);
                if !stale && !self.put(key, spot) {
                    self.counts.unknown += 1;
                }
            }
            Err(_) => {
                self.counts.write_faults += 1;
                self.writes.judge(now, true, 1.0);
                // What stands behind it there can be read, but nothing more is written: its end is not known.
                if self
                    .segments
                    .get(spot.segment)
                    .is_some_and(|s| s.state == State::Open)
                {
                    self.segments.set(spot.segment, State::Failed);
                }
            }
        }
        if carried {
            self.carry_back(now, out);
        }
    }

    pub fn synced(
        &mut self,
        now: Duration,
        segment: u32,
        up_to: u32,
        result: Result<(), Fault>,
        out: &mut dyn Outlet,
    ) {
        self.settle_sync(now, segment, up_to, result.is_ok(), out);
        self.reclaim_on(now, out);
    }

    pub fn sealed(
        &mut self,
        now: Duration,
        segment: u32,
        up_to: u32,
        result: Result<(), Fault>,
        out: &mut dyn Outlet,
    ) {
        let sealed = result.is_ok();
        self.settle_sync(now, segment, up_to, sealed, out);
        if sealed {
            self.segments.set(segment, State::Sealed);
        }
        self.written.remove(&segment);
        self.reclaim_on(now, out);
    }

    pub(super) fn settle_sync(
        &mut self,
        now: Duration,
        segment: u32,
        up_to: u32,
        synced: bool,
        out: &mut dyn Outlet,
    ) {
        let before = self.segments.get(segment).map_or(0, |s| s.synced);
        self.writes.judge(now, !synced, 1.0);
        let Some((entries, unsynced)) = self.written.get_mut(&segment) else {
            return;
        };
        unsynced.under_way = None;
        let settled: Vec<Entry> = entries
            .iter()
            .filter(|e| e.at >= before && e.at < up_to)
            .copied()
            .collect();
        if synced {
            unsynced.bytes = entries
                .iter()
                .filter(|e| e.at >= up_to)
                .map(|e| u64::from(e.length))
                .sum();
            unsynced.since = (unsynced.bytes > 0).then_some(now);
            self.segments.synced(segment, up_to);
            for entry in settled {
                if self.leads_to(entry.key, segment, entry.at) {
                    out.outlives(entry.key, entry.made);
                }
            }
            return;
        }
        // Once a sync has failed, another one that succeeds proves nothing of what was written before it. All
        // that was not synced is let go of, and the segment goes first.
        self.counts.sync_faults += 1;
        let lost: Vec<Entry> = entries.iter().filter(|e| e.at >= before).copied().collect();
        (unsynced.bytes, unsynced.since) = (0, None);
        for entry in lost {
            self.forget_at(entry.key, segment, entry.at, out);
        }
        self.segments.set(segment, State::Failed);
    }

    /// What was written up to now is to be synced.
    pub(super) fn sync(&mut self, now: Duration, out: &mut dyn Outlet, all: bool) {
        let (after, most) = (self.wanted.sync_after, self.wanted.sync_bytes);
        for (segment, (_, unsynced)) in &mut self.written {
            let due = unsynced.bytes >= most
                || unsynced
                    .since
                    .is_some_and(|since| all || now >= since + after);
            // Of one that failed, what was written before lasts all the same once it is synced.
            let written = self.segments.get(*segment);
            let written = written.filter(|s| matches!(s.state, State::Open | State::Failed));
            if let Some(found) = written.filter(|_| due && unsynced.under_way.is_none()) {
                unsynced.under_way = out.sync(*segment, found.end).then_some(found.end);
            }
        }
    }
}
