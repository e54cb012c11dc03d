//! Clients: what they ask, what they are answered, when they ask again.

use super::{BACK_WITHIN, FRONT_LOOKS, LATE_VALUE, OPEN_MOST, Timer, World};
use crate::watch::{Final, Life};
use crate::wire::{Answer, Request};
use bytes::Bytes;
use std::time::Duration;

impl World {
    /// Sends a try of what a client wants to the router that the front has for it.
    pub(super) fn try_it(&mut self, want: usize) {
        let now = self.now();
        let (arrival, due) = (self.wants[want].arrival, self.wants[want].due);
        let left = due.saturating_sub(now);
        if left < Duration::from_millis(20) {
            return self.failed(want);
        }
        let home = arrival.router;
        let zone = self.routers[home].zone;
        let zones = self.play.fleet.zones;
        let here = (0..self.routers.len()).filter(|r| r % zones == zone && self.routers[*r].up);
        let chosen = if self.routers[home].up {
            Some(home)
        } else {
            let here: Vec<usize> = here.collect();
            (!here.is_empty()).then(|| here[self.chance.usize(..here.len())])
        };
        let Some(router) =
            chosen.filter(|r| self.routers[*r].open < OPEN_MOST * self.routers[*r].links.len())
        else {
            return self.again(want, now, Duration::ZERO);
        };
        self.last_id += 1;
        let id = self.last_id.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let (write, key) = (arrival.write, arrival.key);
        let fields = format!(
            "i={id:016x},d={},o={:016x},piece={},lot={},m={:.1}",
            left.as_millis(),
            key.0,
            key.1,
            key.0 % 256,
            arrival.kb
        );
        let class = if write { "confirm" } else { "page" };
        let body = if write {
            Bytes::from_static(b"confirmed")
        } else {
            Bytes::new()
        };
        let process = &mut self.routers[router];
        process.turn = (process.turn + 1) % process.links.len();
        if process.links[process.turn]
            .try_send(Request {
                id,
                class,
                fields,
                body,
            })
            .is_err()
        {
            return self.again(want, now, Duration::ZERO);
        }
        process.open += 1;
        self.tries.insert(id, (want, router));
        self.wants[want].tries += 1;
        self.truth
            .watch
            .begins(id, Life::new(router, write, key, now, due));
    }

    pub(super) fn answered(&mut self, now: Duration, id: u64, answer: Answer) {
        let Some((want, router)) = self.tries.remove(&id) else {
            return self.truth.watch.ends(now, id, Final::Wrong);
        };
        self.routers[router].open = self.routers[router].open.saturating_sub(1);
        let write = self.wants[want].arrival.write;
        let key = self.wants[want].arrival.key;
        let end = match &answer {
            // What a write is answered with says nothing of copies.
            Answer::Served(_) if write => Final::Served(key, u64::MAX),
            Answer::Served(Some((key, made))) => Final::Served(*key, *made),
            Answer::Served(None) | Answer::Wrong => Final::Wrong,
            Answer::Rejected(_) => Final::Rejected,
            Answer::Failed => Final::Failed,
        };
        self.truth.watch.ends(now, id, end);
        match answer {
            Answer::Served(_) => self.served(want, now),
            Answer::Rejected(wait) => {
                self.second(now).rejected += 1;
                self.again(want, now, wait.unwrap_or_default());
            }
            Answer::Failed | Answer::Wrong => {
                self.second(now).failed += 1;
                if write {
                    self.failed(want)
                } else {
                    self.again(want, now, Duration::ZERO)
                }
            }
        }
    }

    pub(super) fn served(&mut self, want: usize, now: Duration) {
        let (at, soft, due) = (
            self.wants[want].arrival.at,
            self.play.work.soft,
            self.wants[want].due,
        );
        self.wants[want].done = true;
        let earned = if now <= at + soft {
            1.0
        } else if now <= due {
            LATE_VALUE
        } else {
            0.0
        };
        let _ = self
            .answers
            .record(now.saturating_sub(at).as_millis().max(1) as u64);
        self.second(at).earned += earned;
        let zone = self.play.fleet.zones;
        self.kept
            .earned(self.wants[want].arrival.router % zone, at, earned);
    }

    /// The client has what it will get: nothing.
    pub(super) fn failed(&mut self, want: usize) {
        self.wants[want].done = true;
    }

    /// The client asks again, if it has the patience.
    pub(super) fn again(&mut self, want: usize, now: Duration, told: Duration) {
        let (tries, due) = (self.wants[want].tries, self.wants[want].due);
        let heeds = self.wants[want].arrival.heeds;
        let own = BACK_WITHIN.mul_f64(0.2 + 0.8 * self.chance.f64());
        let wait = if heeds && !told.is_zero() {
            told.mul_f64(1.0 + 0.2 * self.chance.f64())
        } else {
            own
        };
        if tries > self.play.work.retries || now + wait >= due {
            return self.failed(want);
        }
        self.retries += 1;
        self.after(now + wait, Timer::Again(want));
    }

    pub(super) fn broke(&mut self, now: Duration, router: usize, ids: Vec<u64>, refused: bool) {
        if refused && self.routers[router].up {
            self.routers[router].up = false;
            self.after(now + FRONT_LOOKS, Timer::Look(router));
        }
        for id in ids {
            let Some((want, at)) = self.tries.remove(&id) else {
                continue;
            };
            self.routers[at].open = self.routers[at].open.saturating_sub(1);
            // Refused: the router has never taken it. Broken: it has, and owed an answer, if it lives.
            let begun = self.truth.watch.life(id).map_or(now, |life| life.begun);
            if refused || !self.routers[at].owes(begun) {
                self.truth.watch.excuse(id);
            }
            self.truth.watch.ends(now, id, Final::Nothing);
            if self.wants[want].arrival.write && !refused {
                self.failed(want);
            } else {
                self.again(want, now, Duration::ZERO);
            }
        }
    }
}
