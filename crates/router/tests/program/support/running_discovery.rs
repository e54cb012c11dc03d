//! A discovery service that runs by itself, for tests in which it is up: it confirms the last
//! revision several times a second, and sends the events that the test publishes.

use super::fake_discovery::{FakeDiscovery, Watch};
use super::loopback::try_accept;
use super::wait::CHECK_INTERVAL;
use serde_json::json;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{JoinHandle, sleep, spawn};
use std::time::{Duration, Instant};

/// Shorter than the second of a real service, so that the router is up to date soon.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);

/// An event line with its revision.
#[derive(Clone)]
struct PublishedEvent {
    revision: u64,
    line: String,
}

/// The service. It stops, and closes all its connections, when it is dropped.
pub struct RunningDiscovery {
    events: Arc<Mutex<Vec<PublishedEvent>>>,
    is_stopped: Arc<AtomicBool>,
    has_sent_heartbeat: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// A watch with the revision of the last event that was sent on it.
struct ServedWatch {
    watch: Watch,
    last_revision: u64,
    last_heartbeat: Option<Instant>,
}

impl RunningDiscovery {
    /// Runs the service of a fake: accepts the router's watches and serves them.
    pub fn start(fake: &FakeDiscovery) -> RunningDiscovery {
        let listener = fake.listener.try_clone().unwrap();
        let events = Arc::new(Mutex::new(Vec::new()));
        let is_stopped = Arc::new(AtomicBool::new(false));
        let has_sent_heartbeat = Arc::new(AtomicBool::new(false));
        let service = Service {
            listener,
            watches: Vec::new(),
            events: events.clone(),
            has_sent_heartbeat: has_sent_heartbeat.clone(),
        };
        let thread = {
            let is_stopped = is_stopped.clone();
            spawn(move || service.run(&is_stopped))
        };
        RunningDiscovery {
            events,
            is_stopped,
            has_sent_heartbeat,
            thread: Some(thread),
        }
    }

    /// The router has been sent a heartbeat.
    pub fn has_sent_heartbeat(&self) -> bool {
        self.has_sent_heartbeat.load(Ordering::Relaxed)
    }

    /// Publishes an event line, whose revision is the next one after the earlier events.
    pub fn publish(&self, revision: u64, line: String) {
        let mut events = self.events.lock().unwrap();
        events.push(PublishedEvent { revision, line });
    }
}

impl Drop for RunningDiscovery {
    fn drop(&mut self) {
        self.is_stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// The state of the service's thread.
struct Service {
    listener: TcpListener,
    watches: Vec<ServedWatch>,
    events: Arc<Mutex<Vec<PublishedEvent>>>,
    has_sent_heartbeat: Arc<AtomicBool>,
}

impl Service {
    fn run(mut self, is_stopped: &AtomicBool) {
        while !is_stopped.load(Ordering::Relaxed) {
            self.accept();
            self.send();
            sleep(CHECK_INTERVAL);
        }
    }

    fn accept(&mut self) {
        if let Some(stream) = try_accept(&self.listener)
            && let Some(watch) = Watch::accepted(stream)
        {
            self.watches.push(ServedWatch {
                last_revision: watch.after_revision,
                last_heartbeat: None,
                watch,
            });
        }
    }

    /// Sends what is due on each watch, and drops those that the router has closed.
    fn send(&mut self) {
        let published = self.events.lock().unwrap().clone();
        self.watches.retain_mut(|watch| watch.send(&published));
        let has_sent = |watch: &ServedWatch| watch.last_heartbeat.is_some();
        if self.watches.iter().any(has_sent) {
            self.has_sent_heartbeat.store(true, Ordering::Relaxed);
        }
    }
}

impl ServedWatch {
    /// Sends new events, or else a heartbeat if one is due. Returns false if the router has closed
    /// the watch.
    fn send(&mut self, published: &[PublishedEvent]) -> bool {
        let last_revision = self.last_revision;
        for event in published.iter().filter(|e| e.revision > last_revision) {
            if !self.watch.try_send(&event.line) {
                return false;
            }
            self.last_revision = event.revision;
        }
        let is_due = |at: Instant| at.elapsed() >= HEARTBEAT_INTERVAL;
        if !self.last_heartbeat.is_none_or(is_due) {
            return true;
        }
        self.last_heartbeat = Some(Instant::now());
        let heartbeat = json!({"rev": self.last_revision});
        self.watch.try_send(&format!("{heartbeat}\n"))
    }
}
