//! A fake discovery service, which the router watches for events.

use super::fake_server::LineConnection;
use super::loopback::*;
use super::wait::wait_until;
use serde_json::{Value, json};
use std::cell::Cell;
use std::io::ErrorKind;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::ops::{Deref, DerefMut};

/// A discovery service whose events the test writes.
pub struct FakeDiscovery {
    pub listener: TcpListener,
    /// An accepted connection of the router that `accept_watch` has not returned yet.
    pending: Cell<Option<TcpStream>>,
}

/// A connection on which the router watches for events.
pub struct Watch {
    connection: LineConnection,
    /// The revision after which the router asks for events.
    pub after_revision: u64,
}

impl Watch {
    /// A watch on an accepted connection; `None` if the router closes it without a request.
    pub fn accepted(stream: TcpStream) -> Option<Watch> {
        let mut connection = LineConnection::new(stream);
        let line = connection.read_line();
        if line.is_empty() {
            return None;
        }
        let revision = line.strip_prefix("watch ").and_then(|n| n.parse().ok());
        Some(Watch {
            connection,
            after_revision: revision.unwrap_or_else(|| panic!("not a watch: {line:?}")),
        })
    }

    /// The connection without the revision.
    pub fn into_connection(self) -> LineConnection {
        self.connection
    }
}

impl Deref for Watch {
    type Target = LineConnection;

    fn deref(&self) -> &LineConnection {
        &self.connection
    }
}

impl DerefMut for Watch {
    fn deref_mut(&mut self) -> &mut LineConnection {
        &mut self.connection
    }
}

impl FakeDiscovery {
    /// Listens at an address of its own.
    pub fn new() -> FakeDiscovery {
        FakeDiscovery {
            listener: listen(),
            pending: Cell::default(),
        }
    }

    /// The address at which it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Stops listening; returns the address, at which connections are refused from now on.
    pub fn stop_listening(&mut self) -> SocketAddr {
        let at = self.address();
        self.listener = listen();
        at
    }

    /// Listens at this address again, as soon as it is free: a process that another test is
    /// starting may have inherited the earlier listener and hold it open until its `exec`.
    pub fn listen_again(&mut self, at: SocketAddr) {
        wait_until("the address to be free", || match TcpListener::bind(at) {
            Ok(listener) => {
                self.listener = listener;
                true
            }
            Err(error) if error.kind() == ErrorKind::AddrInUse => false,
            Err(error) => panic!("{at}: {error}"),
        });
    }

    /// The router has connected, and `accept_watch` has not returned that watch yet.
    pub fn has_pending_watch(&self) -> bool {
        let pending = self.pending.take().or_else(|| try_accept(&self.listener));
        let is_pending = pending.is_some();
        self.pending.set(pending);
        is_pending
    }

    /// Waits for the router to start a watch.
    pub fn accept_watch(&self) -> Watch {
        let stream = self.pending.take();
        let stream = stream.unwrap_or_else(|| accept(&self.listener));
        Watch::accepted(stream).expect("the router closed its connection without a request")
    }
}

/// An event with changed endpoints, as a line of the watch.
pub fn endpoints_event(revision: u64, entries: &[Value]) -> String {
    format!(
        "{}\n",
        json!({"rev": revision,
            "pool": {"seq": revision, "whole": false, "hosts": entries}})
    )
}

/// An event that purges collection 1 as of this time, as a line of the watch.
pub fn purge_event(revision: u64, unix_ms: u64) -> String {
    format!(
        "{}\n",
        json!({"rev": revision, "flush": {"collection": 1, "ms": unix_ms}})
    )
}
