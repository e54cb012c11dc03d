//! A discovery service for each router: tells numbered events after the one that the router names, and its
//! last number each second.

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

const EVERY: Duration = Duration::from_secs(1);
/// The number of the event that the routers know from their configuration.
const FIRST: usize = 1;

/// The events after the first, the same for all routers, and the bytes of all that was told.
#[derive(Default)]
pub struct Events {
    lines: RefCell<Vec<String>>,
    changed: Notify,
    pub bytes: Cell<u64>,
}

impl Events {
    /// Tells of these entries in one event.
    pub fn tell(&self, entries: &[Value]) {
        let number = FIRST + 1 + self.lines.borrow().len();
        let pool = serde_json::json!({"seq": number, "whole": false, "hosts": entries});
        self.lines.borrow_mut().push(format!(
            "{}\n",
            serde_json::json!({"rev": number, "pool": pool})
        ));
        self.changed.notify_waiters();
    }

    fn after(&self, number: usize) -> String {
        self.lines
            .borrow()
            .iter()
            .skip(number.saturating_sub(FIRST))
            .map(String::as_str)
            .collect()
    }

    fn last(&self) -> usize {
        FIRST + self.lines.borrow().len()
    }
}

/// Listens for one router.
///
/// # Errors
/// The address can't be bound.
pub async fn listen(
    at: SocketAddr,
    events: &Rc<Events>,
    tasks: &mut JoinSet<()>,
) -> Result<(), String> {
    let listener = TcpListener::bind(at)
        .await
        .map_err(|e| format!("{at}: {e}"))?;
    let events = events.clone();
    tasks.spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(follow(stream, events.clone()));
        }
    });
    Ok(())
}

async fn follow(stream: TcpStream, events: Rc<Events>) {
    let (reader, mut writer) = stream.into_split();
    let mut watch = String::new();
    let _ = BufReader::new(reader).read_line(&mut watch).await;
    let Some(mut told) = watch
        .trim_end()
        .strip_prefix("watch ")
        .and_then(|n| n.parse().ok())
    else {
        return;
    };
    loop {
        let (mut text, last) = (events.after(told), events.last());
        events.bytes.set(events.bytes.get() + text.len() as u64);
        text.push_str(&format!("{last}\n"));
        if writer.write_all(text.as_bytes()).await.is_err() {
            return;
        }
        told = last;
        // Told meanwhile or not, after a while the number is said again.
        if events.last() == told {
            let _ = timeout(EVERY, events.changed.notified()).await;
        }
    }
}
