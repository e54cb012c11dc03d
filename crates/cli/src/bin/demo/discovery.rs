//! A stand-in for the discovery service. It sends one numbered event per line, and the number of
//! the last event at least every second.

use crate::error::DemoError;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::timeout;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The number of the event that the router knows from its configuration.
const FIRST_EVENT: usize = 1;

/// The events that were published after the first one.
#[derive(Default)]
pub struct Discovery {
    lines: RefCell<Vec<String>>,
    changed: Notify,
    /// The last event that was written to a router's connection.
    written: watch::Sender<usize>,
}

impl Discovery {
    /// Listens, and serves every router that connects.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn listen(address: SocketAddr) -> Result<(Rc<Discovery>, SocketAddr), DemoError> {
        let bound = TcpListener::bind(address).await;
        let listener = bound.map_err(|source| DemoError::Listen { address, source })?;
        let address = listener.local_addr().map_err(DemoError::LocalAddress)?;
        let discovery = Rc::new(Discovery::default());
        let shared = discovery.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(shared.clone().serve(stream));
            }
        });
        Ok((discovery, address))
    }

    /// Publishes a change of these endpoints, and returns once it is written to the router's
    /// connection.
    pub async fn publish(&self, endpoints: &[Value]) {
        let number = self.last_event() + 1;
        let pool = json!({"seq": number, "whole": false, "hosts": endpoints});
        let line = format!("{}\n", json!({"rev": number, "pool": pool}));
        self.lines.borrow_mut().push(line);
        self.changed.notify_waiters();
        // The sender is a field of `self`, so that the wait cannot fail.
        let _ = self
            .written
            .subscribe()
            .wait_for(|written| *written >= number)
            .await;
    }

    fn last_event(&self) -> usize {
        FIRST_EVENT + self.lines.borrow().len()
    }

    fn events_after(&self, number: usize) -> String {
        let known = number.saturating_sub(FIRST_EVENT);
        self.lines
            .borrow()
            .iter()
            .skip(known)
            .map(String::as_str)
            .collect()
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let (reader, mut writer) = stream.into_split();
        let mut line = String::new();
        // An error needs no handling: the router reconnects.
        let _ = BufReader::new(reader).read_line(&mut line).await;
        let number = line.trim_end().strip_prefix("watch ");
        let Some(mut sent) = number.and_then(|number| number.parse().ok()) else {
            return;
        };
        loop {
            let last = self.last_event();
            let text = format!("{}{last}\n", self.events_after(sent));
            if writer.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            sent = last;
            self.written.send_replace(last);
            if self.last_event() == sent {
                // Waits for a change, at most until a heartbeat is due.
                let _ = timeout(HEARTBEAT_INTERVAL, self.changed.notified()).await;
            }
        }
    }
}
