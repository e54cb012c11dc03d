//! What transfers share: each runs at a client's pace at most, and where more are under way than there is
//! room for, all get the same part of it (processor sharing). Time is handed in; ends come out in their
//! order, each with its own instant, however late they are asked for.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

#[derive(Clone, Debug)]
struct Job<K> {
    /// The service that each transfer will have had when this one ends.
    end: f64,
    order: u64,
    key: K,
}

impl<K> PartialEq for Job<K> {
    fn eq(&self, other: &Job<K>) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<K> Eq for Job<K> {}

impl<K> PartialOrd for Job<K> {
    fn partial_cmp(&self, other: &Job<K>) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<K> Ord for Job<K> {
    /// The one that ends first is the greatest.
    fn cmp(&self, other: &Job<K>) -> Ordering {
        other.end.total_cmp(&self.end).then(other.order.cmp(&self.order))
    }
}

/// `K`: what tells one transfer from another.
#[derive(Debug)]
pub struct Station<K> {
    /// Transfers at full pace at once.
    capacity: f64,
    at: Duration,
    /// Seconds of service that a transfer which was always there would have had.
    served: f64,
    jobs: BinaryHeap<Job<K>>,
    count: u64,
}

impl<K: Clone> Station<K> {
    pub fn new(capacity: f64) -> Station<K> {
        Station { capacity, at: Duration::ZERO, served: 0.0, jobs: BinaryHeap::new(), count: 0 }
    }

    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    fn pace(&self) -> f64 {
        (self.capacity / self.jobs.len().max(1) as f64).clamp(1e-6, 1.0)
    }

    /// Goes on to `now`, before which nothing ends.
    fn go(&mut self, now: Duration) {
        self.served += now.saturating_sub(self.at).as_secs_f64() * self.pace();
        self.at = self.at.max(now);
    }

    /// When the next transfer ends, as things stand.
    pub fn next(&self) -> Option<Duration> {
        let first = self.jobs.peek()?;
        let left = ((first.end - self.served) / self.pace()).clamp(0.0, 1e6);
        Some(self.at + Duration::from_secs_f64(left))
    }

    /// The next that has ended by `now`, and when.
    pub fn ended(&mut self, now: Duration) -> Option<(K, Duration)> {
        let when = self.next().filter(|when| *when <= now)?;
        self.go(when);
        let job = self.jobs.pop()?;
        self.served = self.served.max(job.end);
        Some((job.key, when))
    }

    /// A transfer of so many seconds at full pace. What has ended by `now` is to be taken out before.
    pub fn add(&mut self, now: Duration, key: K, work: f64) {
        self.go(now);
        self.count += 1;
        self.jobs.push(Job { end: self.served + work.max(0.0), order: self.count, key });
    }

    /// The capacity is another from now on.
    pub fn set(&mut self, now: Duration, capacity: f64) {
        self.go(now);
        self.capacity = capacity;
    }

    /// Drops what does not pass, and returns it.
    pub fn drop_but(&mut self, now: Duration, keep: impl Fn(&K) -> bool) -> Vec<K> {
        self.go(now);
        let (kept, dropped): (Vec<_>, Vec<_>) = self.jobs.drain().partition(|job| keep(&job.key));
        self.jobs = kept.into();
        dropped.into_iter().map(|job| job.key).collect()
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn ms(ms: u64) -> Duration {
        Duration::from_millis(ms)
    }

    fn about(found: Option<(u32, Duration)>, key: u32, at: u64) {
        let (found, when) = found.expect("an end");
        assert_eq!(found, key);
        assert!(when.abs_diff(ms(at)) < Duration::from_micros(10), "{when:?} is not {at} ms");
    }

    #[test]
    fn two_share_what_one_could_have_alone() {
        let mut station = Station::new(1.0);
        station.add(ms(0), 1, 0.1);
        station.add(ms(50), 2, 0.1);
        // The first has half of its work left at 50 ms, and half the pace.
        assert_eq!(station.ended(ms(149)), None);
        about(station.ended(ms(500)), 1, 150);
        about(station.ended(ms(500)), 2, 200);
        assert!(station.is_empty() && station.next().is_none());
    }

    #[test]
    fn with_room_for_all_each_runs_at_its_own_pace_and_a_cold_one_slower() {
        let mut station = Station::new(4.0);
        (0..4).for_each(|n| station.add(ms(0), n, 0.1 + f64::from(n) / 100.0));
        about(station.ended(ms(900)), 0, 100);
        about(station.ended(ms(900)), 1, 110);
        assert_eq!(station.drop_but(ms(110), |n| *n != 2), [2]);
        station.set(ms(110), 0.5);
        about(station.ended(ms(900)), 3, 150);
    }

    proptest! {
        /// Work is neither lost nor made: all that comes ends, not before its work at full pace, and all of
        /// it not before the station could have done it.
        #[test]
        fn work_is_kept(
            capacity in 0.2f64..8.0, works in prop::collection::vec((0u64..50, 0.001f64..0.2), 1..60),
        ) {
            let mut station = Station::new(capacity);
            let (mut now, mut ends, mut begins) = (ms(0), Vec::new(), Vec::new());
            for (n, (gap, work)) in works.iter().enumerate() {
                now += ms(*gap);
                while let Some(end) = station.ended(now) {
                    ends.push(end);
                }
                station.add(now, n, *work);
                begins.push(now);
            }
            while let Some(end) = station.ended(Duration::from_secs(3600)) {
                ends.push(end);
            }
            prop_assert_eq!(ends.len(), works.len());
            let last = ends.iter().map(|(_, at)| at.as_secs_f64()).fold(0.0, f64::max);
            let sum: f64 = works.iter().map(|(_, work)| work).sum();
            prop_assert!(last + 1e-6 >= sum / capacity);
            for (n, at) in ends {
                prop_assert!(at.as_secs_f64() + 1e-6 >= begins[n].as_secs_f64() + works[n].1);
            }
        }
    }
}
