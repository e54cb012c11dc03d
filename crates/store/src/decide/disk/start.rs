//! The start, and what an earlier life left: which of it may be served.

use super::*;

impl Disk {
    /// The directory is open: what its catalogue says, and which segments there are.
    pub fn opened(&mut self, known: &Known, segments: Vec<u32>, purges: &mut Purges, out: &mut dyn Outlet) {
        self.store = known.store;
        known.marks.iter().for_each(|mark| purges.restore(*mark));
        self.heard_before = known.heard;
        // A clock that was set back says neither how old a copy is nor what happened meanwhile.
        self.clock_went_back |= known.heard.is_some_and(|heard| heard > self.start_ms);
        let mut segments = segments;
        segments.sort_unstable();
        segments.last().into_iter().for_each(|last| self.segments.number_from(*last));
        // The newest first: what was written last was wanted last.
        self.to_recover = segments.into_iter().rev().collect();
        self.phase = Phase::Recovering;
        self.recover(out);
    }

    /// The wall clock was set back since an earlier start: of what that left nothing is served unproven. To be
    /// called before `opened`.
    pub fn distrust_earlier_starts(&mut self) {
        self.clock_went_back = true;
    }

    /// The directory cannot be used: nothing is read from it or written to it.
    pub fn refused(&mut self, why: String) {
        self.phase = Phase::Refused(why);
        (self.to_recover, self.demoting, self.demoting_bytes) = (VecDeque::new(), VecDeque::new(), 0);
    }

    pub(super) fn recover(&mut self, out: &mut dyn Outlet) {
        while self.recovering < RECOVERING_MOST {
            let Some(segment) = self.to_recover.front().copied() else { break };
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
    pub(super) fn is_proven(&self, made: u64) -> bool {
        let covered =
            self.heard_before.is_some_and(|heard| heard >= self.known_since) || made >= self.known_since;
        covered && !self.clock_went_back && made <= self.start_ms
    }

    pub fn recovered(
        &mut self,
        now: Duration,
        segment: u32,
        found: Result<Recovered, Failed>,
        purges: &Purges,
        out: &mut dyn Outlet,
    ) {
        self.recovering = self.recovering.saturating_sub(1);
        match found {
            Ok(found) => {
                self.segments.found(segment, found.class as usize, found.end, now);
                self.counts.damaged += found.damaged;
                self.counts.torn_bytes += found.torn;
                let mut held = 0;
                for entry in found.entries {
                    held += usize::from(self.take_back(segment, entry, purges));
                }
                if held == 0 {
                    self.segments.set(segment, State::Failed);
                }
            }
            // What cannot be read, or is another version's, is left alone, and takes its place.
            Err(_) => {
                self.counts.foreign += 1;
                self.segments.most = self.segments.most.saturating_sub(1);
            }
        }
        self.recover(out);
    }

    pub(super) fn take_back(&mut self, segment: u32, entry: Entry, purges: &Purges) -> bool {
        if !purges.survives(entry.object, entry.group as usize, entry.made) {
            return false;
        }
        let proven = self.is_proven(entry.made);
        if !proven && self.wanted.revalidate <= 0.0 {
            self.counts.dropped_unproven += 1;
            return false;
        }
        let Entry { at, length, made, group, rank, tag, .. } = entry;
        let spot = Spot { segment, at, length, tag, made, group, rank, heat: 0, proven };
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
                old.into_iter().for_each(|old| self.segments.take(old.segment, old.length));
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
        self.index.get(key).is_some_and(|spot| (spot.segment, spot.at) == (segment, at))
    }
}
