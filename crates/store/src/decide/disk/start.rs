//! The start, and what an earlier life left: which of it may be served.

use super::*;

impl Disk {
    /// The directory is open: what its catalogue says, and which segments there are.
    pub fn opened(
        &mut self,
        known: &Known,
        segments: Vec<u32>,
        purges: &mut Purges,
        out: &mut dyn Outlet,
    ) {
        self.store = known.store;
        known.marks.iter().for_each(|mark| purges.restore(*mark));
        self.heard_before = known.heard;
        (self.uncovered, self.undated) = (known.uncovered, known.undated);
        let mut segments = segments;
        segments.sort_unstable();
        if let Some(last) = segments.last().copied() {
            self.segments.number_from(last);
            self.limit_trust(known, last);
        }
        // The newest first: what was written last was wanted last.
        self.to_recover = segments.into_iter().rev().collect();
        self.phase = Phase::Recovering;
        self.recover(out);
    }

    /// The wall clock was set back since an earlier start: of what that left nothing is served unproven. To be
    /// called before `opened`.
    pub fn distrust_earlier_starts(&mut self) {
        self.earlier_starts_distrusted = true;
    }

    /// Writes down, before any word of this life on discovery, up to which segment what that word says does
    /// not count: purges were missed in a gap before this start, or times were told by another clock.
    fn limit_trust(&mut self, known: &Known, last: u32) {
        // A clock that was stepped says neither how old a copy is nor what happened meanwhile.
        let heard_in_the_future = known.heard.is_some_and(|heard| heard > self.start_ms);
        if self.earlier_starts_distrusted || known.clock_stepped || heard_in_the_future {
            self.undated = self.undated.max(last);
            self.unmarked.insert(0, Line::Undated(last));
        }
        if !self.is_gap_covered() {
            self.uncovered = self.uncovered.max(last);
            self.unmarked.insert(0, Line::Uncovered(last));
        }
    }

    /// What is known at this start reaches back to when discovery was last heard.
    fn is_gap_covered(&self) -> bool {
        self.heard_before
            .is_some_and(|heard| heard >= self.known_since)
    }

    /// The directory cannot be used: nothing is read from it or written to it.
    pub fn refused(&mut self, why: String) {
        self.phase = Phase::Refused(why);
        (self.to_recover, self.demoting, self.demoting_bytes) =
            (VecDeque::new(), VecDeque::new(), 0);
    }

    pub(super) fn recover(&mut self, out: &mut dyn Outlet) {
        while self.recovering < RECOVERING_MOST {
            let Some(segment) = self.to_recover.front().copied() else {
                break;
            };
            if !out.recover(segment) {
                break;
            }
            self.to_recover.pop_front();
            self.recovering += 1;
        }
        if self.phase == Phase::Recovering && self.recovering == 0 && self.to_recover.is_empty() {
            self.phase = Phase::Ready;
            self.seeking = (self.counts.unproven > 0).then_some((3, 0));
        }
    }

    /// Nothing that was told up to now can have been missed since this copy was made.
    pub(super) fn is_proven(&self, segment: u32, made: u64) -> bool {
        let covered = self.is_gap_covered() && segment > self.uncovered || made >= self.known_since;
        covered && segment > self.undated && made <= self.start_ms
    }

    pub fn recovered(
        &mut self,
        now: Duration,
        segment: u32,
        found: Result<Recovered, RecoveryError>,
        purges: &Purges,
        out: &mut dyn Outlet,
    ) {
        let again = self.unread.front() == Some(&segment) && self.reading_again;
        if again {
            self.reading_again = false;
        } else {
            self.recovering = self.recovering.saturating_sub(1);
        }
        match found {
            Ok(found) => {
                if again {
                    self.unread.pop_front();
                    self.read_retry.succeeded();
                    self.segments.most += 1;
                }
                self.segments
                    .found(segment, found.class as usize, found.end, now);
                self.counts.damaged += found.damaged;
                self.counts.torn_bytes += found.torn_bytes;
                let mut held = 0;
                for entry in found.entries {
                    held += usize::from(self.take_back(segment, entry, purges));
                }
                if held == 0 {
                    self.segments.set(segment, State::Failed);
                }
            }
            Err(RecoveryError::Io(_)) => self.could_not_read(segment, again),
            // What is another version's is left alone, and takes its place.
            Err(RecoveryError::UnsupportedVersion(_)) => {
                self.counts.foreign += 1;
                if again {
                    self.unread.pop_front();
                } else {
                    self.segments.most = self.segments.most.saturating_sub(1);
                }
            }
        }
        if again && self.counts.unproven > 0 {
            self.seeking.get_or_insert((3, 0));
        }
        self.recover(out);
    }

    /// A segment that the system could not read takes its place, and is read again later: what it holds may
    /// have been said to outlive a crash.
    fn could_not_read(&mut self, segment: u32, again: bool) {
        self.read_retry.failed();
        if again {
            // Another one goes first next time.
            self.unread.rotate_left(1);
            return;
        }
        self.counts.read_faults += 1;
        self.segments.most = self.segments.most.saturating_sub(1);
        self.unread.push_back(segment);
    }

    /// Tries again what failed at files: one removal and one reading at a time.
    pub(super) fn retry_files(&mut self, now: Duration, out: &mut dyn Outlet) {
        let unremoved = self
            .unremoved
            .front()
            .copied()
            .filter(|_| !self.removing_again);
        if let Some(segment) = unremoved.filter(|_| self.remove_retry.is_due(now)) {
            self.removing_again = out.remove(segment);
        }
        let unread = self.unread.front().copied().filter(|_| !self.reading_again);
        if let Some(segment) = unread.filter(|_| self.read_retry.is_due(now)) {
            self.reading_again = out.recover(segment);
        }
    }

    pub(super) fn take_back(&mut self, segment: u32, entry: Entry, purges: &Purges) -> bool {
        if !purges.survives(entry.object, entry.group as usize, entry.made) {
            return false;
        }
        let proven = self.is_proven(segment, entry.made);
        if !proven && self.wanted.revalidate <= 0.0 {
            self.counts.dropped_unproven += 1;
            return false;
        }
        let Entry {
            at,
            length,
            made,
            group,
            rank,
            tag,
            ..
        } = entry;
        let spot = Spot {
            segment,
            at,
            length,
            tag,
            made,
            group,
            rank,
            heat: 0,
            proven,
        };
        if self
            .index
            .get(entry.key)
            .is_some_and(|held| (held.made, held.segment, held.at) > (made, segment, at))
        {
            return false;
        }
        let put = self.put(entry.key, spot);
        self.counts.recovered += u64::from(put);
        self.counts.unproven += u64::from(put && !proven);
        self.counts.unknown += u64::from(!put);
        put
    }

    /// Puts a spot into the index and keeps the segments' accounts.
    pub(super) fn put(&mut self, key: Key, spot: Spot) -> bool {
        match self.index.put(key, &spot) {
            Ok(old) => {
                old.into_iter()
                    .for_each(|old| self.segments.take(old.segment, old.length));
                self.segments.add(spot.segment, spot.length);
                true
            }
            Err(NoRoom) => false,
        }
    }

    pub(super) fn forget(&mut self, key: Key, out: &mut dyn Outlet) {
        if let Some(gone) = self.index.remove(key) {
            self.segments.take(gone.segment, gone.length);
            out.lets_go(key);
        }
    }

    /// Forgets it only where the index still leads there.
    pub(super) fn forget_at(&mut self, key: Key, segment: u32, at: u32, out: &mut dyn Outlet) {
        if self.leads_to(key, segment, at) {
            self.forget(key, out);
        }
    }

    pub(super) fn leads_to(&self, key: Key, segment: u32, at: u32) -> bool {
        self.index
            .get(key)
            .is_some_and(|spot| (spot.segment, spot.at) == (segment, at))
    }
}
