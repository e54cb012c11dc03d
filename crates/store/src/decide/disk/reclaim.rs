//! Reclaiming a segment: what of it is carried over, and when it goes.

use super::*;

impl Disk {
    pub(super) fn begin_reclaim(&mut self, now: Duration, out: &mut dyn Outlet) {
        let victim = self.segments.victim(now).filter(|_| self.reclaim.is_none());
        let Some(segment) = victim.filter(|segment| out.list(*segment)) else {
            return self.work.done(RECLAIM, Cost::default());
        };
        let was = self
            .segments
            .get(segment)
            .map_or(State::Failed, |found| found.state);
        self.segments.set(segment, State::Reclaimed);
        let (todo, into) = (VecDeque::new(), None);
        self.reclaim = Some(Reclaim {
            segment,
            was,
            todo,
            open: 1,
            into,
            removing: false,
        });
    }

    /// What the segment that is reclaimed lists. The best of what is still wanted is carried over, within a
    /// share of what is admitted; the rest goes with it.
    pub fn listed(
        &mut self,
        now: Duration,
        segment: u32,
        result: Result<Vec<Entry>, Fault>,
        purges: &Purges,
        out: &mut dyn Outlet,
    ) {
        let Some(mut reclaim) = self.reclaim.take_if(|reclaim| reclaim.segment == segment) else {
            return;
        };
        if matches!(result, Err(Fault::Io(_) | Fault::Full)) {
            self.reclaim_retry.failed();
            if self.reclaim_retry.failures() < LIST_FAILURES_MOST {
                // What it holds may outlive the trouble: it stays, and is listed again later.
                self.counts.read_faults += 1;
                self.segments.set(segment, reclaim.was);
                return self.work.done(RECLAIM, Cost::default());
            }
        }
        self.reclaim_retry.succeeded();
        reclaim.open -= 1;
        let mut wanted = Vec::new();
        for entry in result.unwrap_or_default() {
            if !self.leads_to(entry.key, segment, entry.at) {
                continue;
            }
            let spot = self.index.get(entry.key).filter(|spot| {
                let group = spot.group as usize;
                spot.proven
                    && purges.survives(entry.object, group, spot.made)
                    && (spot.heat > 0 || spot.rank > 2)
            });
            match spot.filter(|_| !self.wanted.admit_all && self.writes.sound(now)) {
                Some(spot) => wanted.push(((spot.heat > 0, spot.rank, spot.heat), entry)),
                None => self.forget(entry.key, out),
            }
        }
        wanted.sort_by_key(|(worth, _)| std::cmp::Reverse(*worth));
        for (_, entry) in wanted {
            if self
                .admission
                .carries(now, entry.length as usize, self.wanted.carry)
            {
                reclaim.todo.push_back(entry);
            } else {
                self.forget(entry.key, out);
            }
        }
        self.reclaim = Some(reclaim);
        self.reclaim_on(now, out);
    }

    pub(super) fn carried(
        &mut self,
        now: Duration,
        entry: Entry,
        result: Result<(Copy, u8), Fault>,
        purges: &Purges,
        out: &mut dyn Outlet,
    ) {
        let segment = self.reclaim.as_ref().map_or(0, |reclaim| reclaim.segment);
        let spot = self
            .index
            .get(entry.key)
            .filter(|spot| (spot.segment, spot.at) == (segment, entry.at));
        let good =
            spot.filter(|spot| purges.survives(entry.object, spot.group as usize, spot.made));
        let written = match (result, good) {
            (Ok((copy, _)), Some(spot)) if self.may_write(now, entry.length as usize) => {
                let copy = Copy {
                    made: spot.made,
                    ..copy
                };
                self.write(now, &copy, spot.rank, true, out)
            }
            _ => None,
        };
        match (written, &mut self.reclaim) {
            // Its place is taken by what was read when it is written.
            (Some(_), Some(_)) => {}
            _ => {
                self.forget_at(entry.key, segment, entry.at, out);
                self.carry_back(now, out);
            }
        }
    }

    pub(super) fn carry_back(&mut self, now: Duration, out: &mut dyn Outlet) {
        if let Some(reclaim) = &mut self.reclaim {
            reclaim.open = reclaim.open.saturating_sub(1);
        }
        self.reclaim_on(now, out);
    }

    /// Goes on with the reclaim: reads what is carried over, syncs it where it is now, then removes the
    /// segment.
    pub(super) fn reclaim_on(&mut self, now: Duration, out: &mut dyn Outlet) {
        let Some(mut reclaim) = self.reclaim.take() else {
            return;
        };
        while reclaim.open < CARRYING_MOST {
            let Some(entry) = reclaim.todo.pop_front() else {
                break;
            };
            let Some(spot) = self
                .index
                .get(entry.key)
                .filter(|s| (s.segment, s.at) == (reclaim.segment, entry.at))
            else {
                continue;
            };
            if self
                .order_read(spot, Purpose::Carry { entry }, out)
                .is_none()
            {
                reclaim.todo.push_front(entry);
                break;
            }
            reclaim.open += 1;
        }
        if reclaim.open == 0 && reclaim.todo.is_empty() {
            // What was synced there must outlive a crash here, before it goes there: what was carried over, and
            // what has replaced a copy there.
            let all = || {
                let unsynced = self
                    .written
                    .iter()
                    .filter(|(_, (_, unsynced))| unsynced.bytes > 0);
                unsynced.map(|(segment, _)| *segment).collect()
            };
            let into: &mut HashSet<u32> = reclaim.into.get_or_insert_with(all);
            into.retain(|into| {
                let unsynced = self
                    .written
                    .get(into)
                    .is_some_and(|(_, u)| u.bytes > 0 || u.under_way.is_some());
                unsynced
                    && self.segments.get(*into).is_some_and(|s| {
                        matches!(s.state, State::Open | State::Sealing | State::Failed)
                    })
            });
            if !into.is_empty() {
                self.sync(now, out, true);
            } else if !reclaim.removing {
                reclaim.removing = out.remove(reclaim.segment);
                if reclaim.removing {
                    self.segments.set(reclaim.segment, State::Removing);
                }
            }
        }
        self.reclaim = Some(reclaim);
    }

    pub fn removed(
        &mut self,
        now: Duration,
        segment: u32,
        result: Result<(), Fault>,
        out: &mut dyn Outlet,
    ) {
        if self.removing_again && self.unremoved.front() == Some(&segment) {
            return self.removed_again(result);
        }
        if self
            .reclaim
            .take_if(|reclaim| reclaim.segment == segment)
            .is_none()
        {
            return;
        }
        let gone = self.segments.get(segment).map_or(0, |s| s.end);
        self.work.done(
            RECLAIM,
            Cost {
                bytes: f64::from(gone),
                operations: 1.0,
                core: 0.0,
            },
        );
        self.written.remove(&segment);
        self.segments.removed(segment);
        match result {
            Ok(()) => self.counts.reclaimed += 1,
            // Its file may still be there: nothing leads to it, and it takes its place until it is removed.
            Err(_) => {
                self.counts.write_faults += 1;
                self.segments.most = self.segments.most.saturating_sub(1);
                self.unremoved.push_back(segment);
                self.remove_retry.failed();
            }
        }
        self.reclaim_on(now, out);
    }

    /// A removal that had failed was tried again.
    fn removed_again(&mut self, result: Result<(), Fault>) {
        self.removing_again = false;
        if result.is_err() {
            self.remove_retry.failed();
            // Another one goes first next time.
            return self.unremoved.rotate_left(1);
        }
        self.unremoved.pop_front();
        self.remove_retry.succeeded();
        self.segments.most += 1;
        self.counts.reclaimed += 1;
    }
}
