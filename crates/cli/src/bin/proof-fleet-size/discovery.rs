//! A stand-in for the discovery service, one per router. It sends the numbered events that follow the one that the
//! router names, and the number of the last event at least every second.

use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{JoinSet, spawn_local};
use tokio::time::timeout;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);
/// The number of the event that the routers know from their configuration.
const FIRST_EVENT: usize = 1;

/// The events after the first one, which are the same for all routers, and the bytes of all events sent.
#[derive(Default)]
pub struct Events {
    lines: RefCell<Vec<String>>,
    changed: Notify,
    pub sent_bytes: Cell<u64>,
}

impl Events {
    /// Publishes these entries as one event.
    pub fn publish(&self, entries: &[Value]) {
        let number = FIRST_EVENT + 1 + self.lines.borrow().len();
        let pool = serde_json::json!({"seq": number, "whole": false, "hosts": entries});
        self.lines.borrow_mut().push(format!(
            "{}\n",
            serde_json::json!({"rev": number, "pool": pool})
        ));
        self.changed.notify_waiters();
    }

    fn events_after(&self, number: usize) -> String {
        self.lines
            .borrow()
            .iter()
            .skip(number.saturating_sub(FIRST_EVENT))
            .map(String::as_str)
            .collect()
    }

    fn last(&self) -> usize {
        FIRST_EVENT + self.lines.borrow().len()
    }
}

/// Starts a listener for one router.
///
/// # Errors
/// The address can't be bound.
pub async fn listen(
    address: SocketAddr,
    events: &Rc<Events>,
    tasks: &mut JoinSet<()>,
) -> Result<(), String> {
    let listener = TcpListener::bind(address)
        .await
        .map_err(|e| format!("{address}: {e}"))?;
    let events = events.clone();
    tasks.spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve_router(stream, events.clone()));
        }
    });
    Ok(())
}

async fn serve_router(stream: TcpStream, events: Rc<Events>) {
    let (reader, mut writer) = stream.into_split();
    let mut watch = String::new();
    let _ = BufReader::new(reader).read_line(&mut watch).await;
    let Some(mut sent) = watch
        .trim_end()
        .strip_prefix("watch ")
        .and_then(|n| n.parse().ok())
    else {
        return;
    };
    loop {
        let (mut text, last) = (events.events_after(sent), events.last());
        events
            .sent_bytes
            .set(events.sent_bytes.get() + text.len() as u64);
        text.push_str(&format!("{last}\n"));
        if writer.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        sent = last;
        // Unless there are new events already, waits for them, at most until the number is due again.
        if events.last() == sent {
            let _ = timeout(HEARTBEAT_INTERVAL, events.changed.notified()).await;
        }
    }
}
