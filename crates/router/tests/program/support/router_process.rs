//! The router process: signals, its exit, and its state in `/proc`.

use super::test_client::TestClient;
use super::wait::*;
use std::io::Read;
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus};

/// A started router; it is killed on drop, and its log is printed if the test has failed.
pub struct RouterProcess {
    pub child: Child,
    listen: SocketAddr,
}

/// The exit of a router.
pub struct RouterExit {
    pub status: ExitStatus,
    /// Everything it logged.
    pub log: String,
}

impl RouterProcess {
    /// Wraps a child process whose configuration has it listen at this address.
    pub fn new(child: Child, listen: SocketAddr) -> RouterProcess {
        RouterProcess { child, listen }
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// The address at which it accepts clients.
    pub fn address(&self) -> SocketAddr {
        self.listen
    }

    /// Connects a client; `None` if the connection is refused.
    pub fn try_connect(&self) -> Option<TestClient> {
        TestClient::connect(self.listen)
    }

    /// Connects a client.
    pub fn connect(&self) -> TestClient {
        self.try_connect().expect("the router listens")
    }

    /// A health check on a new connection reports `GREEN`.
    pub fn is_ready(&self) -> bool {
        self.try_connect()
            .is_some_and(|mut client| client.health() == "GREEN")
    }

    /// Waits until a health check reports `GREEN`.
    pub fn wait_until_ready(&self) {
        wait_until("the router to be ready", || self.is_ready());
    }

    /// Waits until health checks of new clients report `RED`: it is shutting down.
    pub fn wait_until_draining(&self) {
        wait_until("the router to drain", || self.connect().health() == "RED");
    }

    /// Requests a graceful shutdown (SIGTERM).
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Makes it reload its configuration (SIGHUP).
    pub fn reload(&self) {
        self.signal("HUP");
    }

    /// Pauses it (SIGSTOP), as a loaded shared machine may, and waits until it has stopped.
    pub fn pause(&self) {
        self.signal("STOP");
        wait_until("the router to be paused", || self.is_in_state('T'));
    }

    /// Ends a pause (SIGCONT).
    pub fn resume(&self) {
        self.signal("CONT");
    }

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let sent = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {}", self.id())])
            .status();
        assert!(sent.unwrap().success());
    }

    /// Its state in `/proc/PID/stat` is this letter, such as `T` for stopped.
    pub fn is_in_state(&self, state: char) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap();
        stat.rsplit(") ")
            .next()
            .is_some_and(|rest| rest.starts_with(state))
    }

    /// The number of descriptors that it has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id()))
            .unwrap()
            .count()
    }

    /// Its resident memory in KB, with the pages of files.
    pub fn resident_kb(&self) -> u64 {
        self.status_kb("VmRSS:")
    }

    /// Its resident memory in KB, without the pages of files.
    pub fn anonymous_kb(&self) -> u64 {
        self.status_kb("RssAnon:")
    }

    /// A line of `/proc/PID/status` in KB.
    fn status_kb(&self, name: &str) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.id())).unwrap();
        let value = text.lines().find_map(|line| line.strip_prefix(name));
        let number = value.and_then(|value| value.split_whitespace().next());
        let kb = number.and_then(|number| number.parse().ok());
        kb.unwrap_or_else(|| panic!("no {name} in the status of the router"))
    }

    /// Waits until it exits.
    pub fn wait_for_exit(&mut self) -> RouterExit {
        let mut status = None;
        wait_until("the router to exit", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        let mut log = String::new();
        let mut stderr = self.child.stderr.take().unwrap();
        stderr.read_to_string(&mut log).unwrap();
        RouterExit {
            status: status.unwrap(),
            log,
        }
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let log = self.child.stderr.take();
        if let Some(mut log) = log.filter(|_| std::thread::panicking()) {
            let mut text = String::new();
            let _ = log.read_to_string(&mut text);
            eprintln!("the router's log:\n{text}");
        }
    }
}
