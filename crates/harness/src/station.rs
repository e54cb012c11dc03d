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
        other
            .end
            .total_cmp(&self.end)
            .then(other.order.cmp(&self.order))
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
        Station {
            capacity,
            at: Duration::ZERO,
            served: 0.0,
            jobs: BinaryHeap::new(),
            count: 0,
        }
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
        self.jobs.push(Job {
            end: self.served + work.max(0.0),
            order: self.count,
            key,
        });
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
mod tests;
