//! What is found and read for requests, and what is read ahead.

use super::*;

impl Disk {
    /// Where a part is that may be served.
    pub fn find(&mut self, key: Key, object: Key, group: usize, purges: &Purges) -> Option<Spot> {
        let spot = self.index.get(key)?;
        // What leads to a segment that has gone leads nowhere.
        let there = self
            .segments
            .get(spot.segment)
            .is_some_and(|s| s.state != State::Removing);
        let sound = there
            && purges.survives(object, spot.group as usize, spot.made)
            && purges.survives(object, group, spot.made);
        if sound && !spot.proven && self.asked.len() < ASKED_MOST && !self.asked.contains(&key) {
            self.asked.push_back(key);
        }
        (sound && spot.proven).then_some(spot)
    }

    /// Reads a part for a request; ends in `Outlet::fetched`. None: not taken.
    pub fn fetch(
        &mut self,
        key: Key,
        spot: Spot,
        object: &[u8],
        part: u64,
        group: usize,
        out: &mut dyn Outlet,
    ) -> Option<u64> {
        let purpose = Purpose::Answer {
            key,
            spot,
            object: object.to_vec(),
            part,
            group,
        };
        self.order_read(spot, purpose, out)
    }

    pub(super) fn order_read(
        &mut self,
        spot: Spot,
        purpose: Purpose,
        out: &mut dyn Outlet,
    ) -> Option<u64> {
        let ticket = self.tickets + 1;
        if !out.read(ticket, spot.segment, spot.at, spot.length) {
            return None;
        }
        self.tickets = ticket;
        self.reads.insert(ticket, purpose);
        Some(ticket)
    }

    /// Nobody waits for this read any more.
    pub fn leave(&mut self, ticket: u64) {
        self.reads
            .get_mut(&ticket)
            .into_iter()
            .for_each(|purpose| *purpose = Purpose::Nobody);
    }

    /// A read has ended. Returned is what goes to memory, and at which rank.
    pub fn read(
        &mut self,
        now: Duration,
        ticket: u64,
        result: Result<(Copy, u8), Fault>,
        purges: &Purges,
        out: &mut dyn Outlet,
    ) -> Option<(Rc<Copy>, u8)> {
        let purpose = self.reads.remove(&ticket)?;
        self.counts.read_faults += u64::from(matches!(result, Err(Fault::Io(_) | Fault::Full)));
        let damaged = matches!(result, Err(Fault::Damaged));
        let mut settle = |disk: &mut Disk, key: Key, spot: &Spot| {
            if damaged && disk.leads_to(key, spot.segment, spot.at) {
                disk.counts.damaged += 1;
                disk.forget(key, out);
            }
        };
        match purpose {
            Purpose::Answer {
                key,
                spot,
                object,
                part,
                group,
            } => {
                settle(self, key, &spot);
                let fetched = match result {
                    Ok((copy, rank)) => {
                        // Purged or replaced while it was read: it must not be served any more.
                        let current = self
                            .index
                            .get(key)
                            .filter(|c| (c.segment, c.at) == (spot.segment, spot.at));
                        let object_key = key::object(&object);
                        let good = current.filter(|current| {
                            current.proven
                                && *copy.object == *object
                                && copy.part == part
                                && purges.survives(object_key, current.group as usize, current.made)
                                && purges.survives(object_key, group, current.made)
                        });
                        good.map_or((Fetched::Gone, None), |current| {
                            let copy = Rc::new(Copy {
                                made: current.made,
                                ..copy
                            });
                            self.hit(now, key, &current, &copy);
                            (
                                Fetched::Copy(copy.clone()),
                                Some((copy, rank.max(current.rank))),
                            )
                        })
                    }
                    Err(Fault::Damaged) => (Fetched::Gone, None),
                    Err(_) => (Fetched::Failed, None),
                };
                out.fetched(ticket, fetched.0);
                fetched.1
            }
            Purpose::Ahead { key, spot } => {
                settle(self, key, &spot);
                self.work.done(
                    AHEAD,
                    Cost {
                        bytes: f64::from(spot.length),
                        operations: 1.0,
                        core: 0.0,
                    },
                );
                let (copy, rank) = result.ok()?;
                let good = self.leads_to(key, spot.segment, spot.at)
                    && purges.survives(key::object(&copy.object), spot.group as usize, spot.made);
                self.counts.read_ahead += u64::from(good);
                good.then(|| {
                    (
                        Rc::new(Copy {
                            made: spot.made,
                            ..copy
                        }),
                        rank,
                    )
                })
            }
            Purpose::Scrub { key, spot } => {
                settle(self, key, &spot);
                self.counts.scrubbed += 1;
                self.work.done(
                    SCRUB,
                    Cost {
                        bytes: f64::from(spot.length),
                        ..Cost::default()
                    },
                );
                None
            }
            Purpose::Revalidate { key, spot } => {
                settle(self, key, &spot);
                self.work.done(
                    REVALIDATE,
                    Cost {
                        operations: 1.0,
                        ..Cost::default()
                    },
                );
                match result {
                    Ok((copy, _)) if self.leads_to(key, spot.segment, spot.at) => {
                        out.revalidate(&copy)
                    }
                    _ => self.forget_at(key, spot.segment, spot.at, out),
                }
                None
            }
            Purpose::Carry { entry } => {
                self.carried(now, entry, result, purges, out);
                None
            }
            Purpose::Nobody => None,
        }
    }

    pub(super) fn hit(&mut self, now: Duration, key: Key, spot: &Spot, copy: &Copy) {
        self.counts.hits += 1;
        self.counts.hit_bytes += copy.body.len() as u64;
        self.index
            .change(key, |spot| spot.heat = (spot.heat + 1).min(3));
        self.segments.used(spot.segment, now);
    }

    /// A further sighting sets the rank anew.
    pub fn rank(&mut self, key: Key, rank: u8) {
        self.index.change(key, |spot| spot.rank = rank);
    }

    /// A part was asked for; where that is in turn, those after it are read ahead, as far as they are here
    /// and not in memory already.
    pub fn sighted(&mut self, now: Duration, object: Key, part: u64) {
        if self.wanted.read_ahead == 0 {
            return;
        }
        let last = &mut self.turns[key::slot(object, TURNS_MOST)];
        let before = std::mem::replace(last, (object, part));
        if before.0 == object && before.1.checked_add(1) == Some(part) {
            self.in_turn = Some((object, part));
            self.work.offer(
                now,
                AHEAD,
                Cost {
                    operations: 1.0,
                    ..Cost::default()
                },
            );
        }
    }
}
