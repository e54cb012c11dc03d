//! The router as a process: signals, its end, and what `/proc` says about it.

use super::test_client::TestClient;
use super::wait::*;
use std::io::Read;
use std::net::SocketAddr;
use std::process::{Child, Command, ExitStatus};

/// A started router; it is killed when this is dropped, and its log shown if the test has failed.
pub struct RouterProcess {
    pub child: Child,
    listen: SocketAddr,
}

/// How a router has ended.
pub struct RouterExit {
    pub status: ExitStatus,
    /// All that it logged.
    pub log: String,
}

impl RouterProcess {
    /// A child that is to listen at this address.
    pub fn new(child: Child, listen: SocketAddr) -> RouterProcess {
        RouterProcess { child, listen }
    }

    /// Its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Where clients reach it.
    pub fn address(&self) -> SocketAddr {
        self.listen
    }

    /// A new client, if the router takes the connection.
    pub fn try_connect(&self) -> Option<TestClient> {
        TestClient::connect(self.listen)
    }

    /// A new client.
    pub fn connect(&self) -> TestClient {
        self.try_connect().expect("the router listens")
    }

    /// A health check on a new connection says that it is ready.
    pub fn is_ready(&self) -> bool {
        self.try_connect()
            .is_some_and(|mut client| client.health() == "GREEN")
    }

    /// Waits until it says that it is ready.
    pub fn wait_until_ready(&self) {
        until("GREEN", || self.is_ready());
    }

    /// Waits until it tells new clients that it is shutting down.
    pub fn wait_until_draining(&self) {
        until("RED", || self.connect().health() == "RED");
    }

    /// Asks it to shut down.
    pub fn terminate(&self) {
        self.signal("TERM");
    }

    /// Has it read its configuration again.
    pub fn reload(&self) {
        self.signal("HUP");
    }

    /// Stops it as a machine that others share may, and waits until it has stopped.
    pub fn pause(&self) {
        self.signal("STOP");
        until("the pause", || self.is_in_state('T'));
    }

    /// Ends a pause.
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

    /// Its state in `/proc` is this letter.
    pub fn is_in_state(&self, state: char) -> bool {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.id())).unwrap();
        stat.rsplit(") ")
            .next()
            .is_some_and(|rest| rest.starts_with(state))
    }

    /// How many descriptors it has open.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.id()))
            .unwrap()
            .count()
    }

    /// Waits for its end.
    pub fn wait_for_exit(&mut self) -> RouterExit {
        let mut status = None;
        until("the router's end", || {
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
