//! What is worth a write: disks wear out, and a write takes time from reads.
//!
//! A copy comes here with the rank that its sightings gave it. Two budgets, a second's and a day's, are spent
//! on the best: the emptier the purse, the higher the rank it takes. What expires before it is likely to be
//! read again is never written.

use std::time::Duration;

const DAY: Duration = Duration::from_secs(24 * 3600);
/// The purse of a second's budget holds so much of it.
const PURSE: f64 = 10.0;
/// How full a purse must be for a rank, from 1 to 3.
const FULL_ENOUGH: [f64; 3] = [0.5, 0.25, 0.0];

/// Why a copy is not written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It is fresh for too short a time.
    Expires,
    /// Too large for a segment, or its texts for a record.
    TooLarge,
    /// The budget goes to higher ranks.
    Budget,
    /// The disk is set aside, not known yet, or writes wait already.
    Disk,
    /// Purged, or a newer one is held.
    Outdated,
}

pub struct Admission {
    /// Bytes a second and a day; none: as many as come.
    a_second: Option<f64>,
    a_day: Option<f64>,
    purses: [f64; 2],
    started: Duration,
    at: Duration,
    least_fresh: Duration,
    admitted: u64,
    carried: u64,
}

impl Admission {
    pub fn new(
        a_second: Option<u64>,
        a_day: Option<u64>,
        least_fresh: Duration,
        now: Duration,
    ) -> Admission {
        let [a_second, a_day] = [a_second, a_day].map(|bytes| bytes.map(|bytes| bytes as f64));
        let purses = [a_second.unwrap_or(0.0) * PURSE, a_day.unwrap_or(0.0)];
        Admission {
            a_second,
            a_day,
            purses,
            started: now,
            at: now,
            least_fresh,
            admitted: 0,
            carried: 0,
        }
    }

    /// May a copy of this rank be written, that is fresh for so long from now (none: until it is purged)?
    pub fn admits(
        &mut self,
        now: Duration,
        bytes: usize,
        rank: u8,
        fresh: Option<Duration>,
    ) -> Result<(), Refusal> {
        if fresh.is_some_and(|fresh| fresh < self.least_fresh) {
            return Err(Refusal::Expires);
        }
        self.fill(now);
        let need = FULL_ENOUGH[usize::from(rank.clamp(1, 3)) - 1];
        let most = [self.a_second.map(|a| a * PURSE), self.a_day];
        let poor = most.iter().zip(self.purses).any(|(most, purse)| {
            most.is_some_and(|most| purse < bytes as f64 || purse - (bytes as f64) < need * most)
        });
        if poor {
            return Err(Refusal::Budget);
        }
        self.spend(bytes);
        self.admitted += bytes as u64;
        Ok(())
    }

    /// May a record be carried over from a segment that is reclaimed? No more than this share of what is
    /// admitted: that bounds how often a byte is written over its life.
    pub fn carries(&mut self, now: Duration, bytes: usize, share: f64) -> bool {
        self.fill(now);
        let allowed = (self.carried + bytes as u64) as f64 <= share * self.admitted as f64;
        if allowed {
            self.spend(bytes);
            self.carried += bytes as u64;
        }
        allowed
    }

    /// When it began.
    pub fn started(&self) -> Duration {
        self.started
    }

    /// Bytes admitted, and carried over.
    pub fn written(&self) -> (u64, u64) {
        (self.admitted, self.carried)
    }

    fn spend(&mut self, bytes: usize) {
        self.purses
            .iter_mut()
            .for_each(|purse| *purse = (*purse - bytes as f64).max(0.0));
    }

    fn fill(&mut self, now: Duration) {
        let since = now.saturating_sub(self.at).as_secs_f64();
        self.at = self.at.max(now);
        let [second, day] = &mut self.purses;
        if let Some(a_second) = self.a_second {
            *second = (*second + a_second * since).min(a_second * PURSE);
        }
        if let Some(a_day) = self.a_day {
            *day = (*day + a_day * since / DAY.as_secs_f64()).min(a_day);
        }
    }
}

#[cfg(test)]
mod tests;
