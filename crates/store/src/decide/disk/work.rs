//! Background work: what goes at a turn.

use super::*;

impl Disk {
    /// A turn of the program came so much later than it was due.
    pub fn turn(&mut self, now: Duration, late: Duration) {
        self.work.turn(now, late);
    }

    /// Whatever is due. Call it often; it does little at a time.
    pub fn tick(
        &mut self,
        now: Duration,
        purges: &Purges,
        in_memory: &dyn Fn(Key) -> bool,
        out: &mut dyn Outlet,
    ) {
        self.recover(out);
        if !matches!(self.phase, Phase::Recovering | Phase::Ready) {
            return;
        }
        self.mark_on(now, out);
        self.retry_files(now, out);
        self.sync(now, out, false);
        if now >= self.heard_said + HEARD_EVERY {
            self.say_heard(now, out);
        }
        self.offer(now);
        // No more at a turn than requests can wait for.
        for _ in 0..64 {
            let Some(kind) = self.work.next(now) else {
                break;
            };
            self.go(kind, now, purges, in_memory, out);
        }
        self.reclaim_on(now, out);
    }

    /// When `tick` has something to do, if nothing else happens.
    pub fn next_look(&self, now: Duration) -> Option<Duration> {
        // One that is due and was not taken is tried again soon, not at once.
        let waits = self
            .written
            .values()
            .filter(|(_, unsynced)| unsynced.under_way.is_none());
        let syncs = waits
            .filter_map(|(_, u)| Some((u.since? + self.wanted.sync_after).max(now + SYNC_AGAIN)));
        let retries = [
            &self.mark_retry,
            &self.reclaim_retry,
            &self.remove_retry,
            &self.read_retry,
        ];
        let retries = retries
            .into_iter()
            .filter_map(|retry| retry.due())
            .map(|due| due.max(now + SYNC_AGAIN));
        self.work
            .next_look(now)
            .into_iter()
            .chain(syncs)
            .chain(retries)
            .min()
    }

    pub(super) fn offer(&mut self, now: Duration) {
        let none = |work: &Scheduler, kind| work.held(kind) == (0, 0);
        let one = Cost {
            operations: 1.0,
            ..Cost::default()
        };
        let short = self.segments.free() <= RESERVE || self.index.is_full();
        let short = short && self.reclaim_retry.is_due(now);
        if short
            && self.reclaim.is_none()
            && none(&self.work, RECLAIM)
            && self.segments.victim(now).is_some()
        {
            self.work.offer(now, RECLAIM, one);
        }
        let unproven = !self.asked.is_empty() || self.seeking.is_some();
        if unproven && self.wanted.revalidate > 0.0 && self.work.held(REVALIDATE).0 == 0 {
            self.work.offer(now, REVALIDATE, one);
        }
        if self.phase == Phase::Ready && !self.index.is_empty() {
            if self.wanted.scrub > 0 && none(&self.work, SCRUB) {
                let mean = self.segments.bytes().1 as f64 / self.index.len() as f64;
                self.work.offer(
                    now,
                    SCRUB,
                    Cost {
                        bytes: mean,
                        ..Cost::default()
                    },
                );
            }
            if none(&self.work, SWEEP) {
                self.work.offer(now, SWEEP, one);
            }
        }
    }

    pub(super) fn go(
        &mut self,
        kind: usize,
        now: Duration,
        purges: &Purges,
        in_memory: &dyn Fn(Key) -> bool,
        out: &mut dyn Outlet,
    ) {
        match kind {
            DEMOTE => {
                let bytes = self.demoting.pop_front().map_or(0, |(copy, rank)| {
                    self.demoting_bytes -= copy.body.len();
                    let _ = self.admit(now, &copy, rank, purges, out);
                    copy.body.len()
                });
                self.work.done(
                    DEMOTE,
                    Cost {
                        bytes: bytes as f64,
                        ..Cost::default()
                    },
                );
            }
            RECLAIM => self.begin_reclaim(now, out),
            REVALIDATE => {
                let ordered = self.next_unproven().and_then(|(key, spot)| {
                    self.order_read(spot, Purpose::Revalidate { key, spot }, out)
                });
                if ordered.is_none() {
                    self.work.done(REVALIDATE, Cost::default());
                }
            }
            SCRUB => {
                let (found, next) = self.index.some(self.scrub, 1);
                let found: Vec<(Key, Spot)> = found.collect();
                // One of a bucket a round: which one changes from round to round.
                let pick = found
                    .get(self.tickets as usize % found.len().max(1))
                    .copied();
                self.scrub = next.unwrap_or(0);
                let ordered = pick.and_then(|(key, spot)| {
                    self.order_read(spot, Purpose::Scrub { key, spot }, out)
                });
                if ordered.is_none() {
                    self.work.done(SCRUB, Cost::default());
                }
            }
            SWEEP => {
                let (found, next) = self.index.some(self.sweep, SWEEP_BUCKETS);
                let stale = |spot: &Spot| self.segments.get(spot.segment).is_none();
                let stale: Vec<Key> = found
                    .filter(|(_, spot)| stale(spot))
                    .map(|(key, _)| key)
                    .collect();
                self.sweep = next.unwrap_or(0);
                stale.into_iter().for_each(|key| self.forget(key, out));
                self.work.done(
                    SWEEP,
                    Cost {
                        operations: 1.0,
                        ..Cost::default()
                    },
                );
            }
            AHEAD => {
                let ordered = self
                    .next_ahead(purges, in_memory)
                    .map(|(key, spot)| self.order_read(spot, Purpose::Ahead { key, spot }, out));
                if ordered.flatten().is_none() {
                    self.work.done(AHEAD, Cost::default());
                }
            }
            _ => {}
        }
    }

    /// The part after one that was asked for in turn lately.
    pub(super) fn next_ahead(
        &mut self,
        purges: &Purges,
        in_memory: &dyn Fn(Key) -> bool,
    ) -> Option<(Key, Spot)> {
        let (object, part) = self.in_turn?;
        (1..=self.wanted.read_ahead as u64).find_map(|step| {
            let key = key::part(object, part.checked_add(step)?);
            let spot = self.find(key, object, 0, purges)?;
            let coming = self
                .reads
                .values()
                .any(|p| matches!(p, Purpose::Ahead { key: k, .. } if *k == key));
            (!coming && !in_memory(key)).then_some((key, spot))
        })
    }

    /// An unproven copy to ask its source about: one that was asked for lately, else by rank.
    pub(super) fn next_unproven(&mut self) -> Option<(Key, Spot)> {
        while let Some(key) = self.asked.pop_front() {
            if let Some(spot) = self.index.get(key).filter(|spot| !spot.proven) {
                return Some((key, spot));
            }
        }
        let (rank, from) = self.seeking?;
        let busy: HashSet<Key> = self
            .reads
            .values()
            .filter_map(|p| match p {
                Purpose::Revalidate { key, .. } => Some(*key),
                _ => None,
            })
            .collect();
        let (found, next) = self.index.some(from, SWEEP_BUCKETS);
        let mut found =
            found.filter(|(key, spot)| !spot.proven && spot.rank == rank && !busy.contains(key));
        let first = found.next();
        let more = found.next().is_some();
        drop(found);
        if !more {
            self.seeking = match next {
                Some(next) => Some((rank, next)),
                None if rank > 1 => Some((rank - 1, 0)),
                None => None,
            };
        }
        first
    }

    /// A source says that a copy still holds, as of a copy made at `made`.
    pub fn proven(&mut self, key: Key, tag: &[u8], made: u64) {
        let holds = self
            .index
            .get(key)
            .is_some_and(|spot| spot.tag == tag_hash(tag));
        if holds {
            self.counts.revalidated += 1;
            self.index.change(key, |spot| {
                (spot.proven, spot.made) = (true, spot.made.max(made))
            });
        }
    }

    /// A source says otherwise, or of another version.
    pub fn disproven(&mut self, key: Key, out: &mut dyn Outlet) {
        if self.index.get(key).is_some_and(|spot| !spot.proven) {
            self.counts.dropped_unproven += 1;
            self.forget(key, out);
        }
    }
}
