//! Processor sharing: each transfer runs at the client rate at most, and when there are more transfers
//! than the capacity allows, all get an equal share of it. The time is passed in. Transfers finish in
//! order, each with its exact finish time, however late they are collected.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::time::Duration;

#[derive(Clone, Debug)]
struct Job<K> {
    /// Value of `service_per_job` at which this transfer ends.
    ends_at_service: f64,
    sequence: u64,
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
    /// The order is reversed, so that the heap's top is the transfer that ends first.
    fn cmp(&self, other: &Job<K>) -> Ordering {
        other
            .ends_at_service
            .total_cmp(&self.ends_at_service)
            .then(other.sequence.cmp(&self.sequence))
    }
}

/// `K` identifies a transfer.
#[derive(Debug)]
pub struct ProcessorSharing<K> {
    /// Number of concurrent transfers at the full rate.
    capacity: f64,
    updated_at: Duration,
    /// Seconds of service that a transfer present from the start would have received.
    service_per_job: f64,
    jobs: BinaryHeap<Job<K>>,
    added: u64,
}

impl<K: Clone> ProcessorSharing<K> {
    pub fn new(capacity: f64) -> ProcessorSharing<K> {
        ProcessorSharing {
            capacity,
            updated_at: Duration::ZERO,
            service_per_job: 0.0,
            jobs: BinaryHeap::new(),
            added: 0,
        }
    }

    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    fn rate(&self) -> f64 {
        (self.capacity / self.jobs.len().max(1) as f64).clamp(1e-6, 1.0)
    }

    /// Advances to `now`; no transfer may end before it.
    fn advance_to(&mut self, now: Duration) {
        self.service_per_job += now.saturating_sub(self.updated_at).as_secs_f64() * self.rate();
        self.updated_at = self.updated_at.max(now);
    }

    /// When the next transfer ends if none is added.
    pub fn next_end(&self) -> Option<Duration> {
        let first = self.jobs.peek()?;
        let left = ((first.ends_at_service - self.service_per_job) / self.rate()).clamp(0.0, 1e6);
        Some(self.updated_at + Duration::from_secs_f64(left))
    }

    /// Removes the next transfer that has ended by `now` and returns it with its end time.
    pub fn take_finished(&mut self, now: Duration) -> Option<(K, Duration)> {
        let when = self.next_end().filter(|when| *when <= now)?;
        self.advance_to(when);
        let job = self.jobs.pop()?;
        self.service_per_job = self.service_per_job.max(job.ends_at_service);
        Some((job.key, when))
    }

    /// Adds a transfer that takes `work` seconds at the full rate. Transfers that ended by `now` must
    /// have been collected before.
    pub fn add(&mut self, now: Duration, key: K, work: f64) {
        self.advance_to(now);
        self.added += 1;
        self.jobs.push(Job {
            ends_at_service: self.service_per_job + work.max(0.0),
            sequence: self.added,
            key,
        });
    }

    /// Changes the capacity from `now` on.
    pub fn set_capacity(&mut self, now: Duration, capacity: f64) {
        self.advance_to(now);
        self.capacity = capacity;
    }

    /// Removes and returns the transfers for which `keep` is false.
    pub fn remove_unless(&mut self, now: Duration, keep: impl Fn(&K) -> bool) -> Vec<K> {
        self.advance_to(now);
        let (kept, dropped): (Vec<_>, Vec<_>) = self.jobs.drain().partition(|job| keep(&job.key));
        self.jobs = kept.into();
        dropped.into_iter().map(|job| job.key).collect()
    }
}

#[cfg(test)]
mod tests;
