//! Stand-ins for cache servers, parents and the origin, all in this process. Each listens at its own address and
//! answers every request at once, as a hit, with an object of a fixed size.

use crate::settings::{ListedServer, Tier};
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinSet, spawn_local};

const OBJECT_BYTES: usize = 2_000;

/// Connections and requests that all stand-ins have received.
#[derive(Default)]
pub struct Counts {
    pub connections: Cell<u64>,
    pub requests: Cell<u64>,
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// Starts a listener for each server. They stop when the returned task set is dropped.
///
/// # Errors
/// An address can't be bound, for example because the process is out of descriptors.
pub async fn listen(servers: &[ListedServer], counts: &Rc<Counts>) -> Result<JoinSet<()>, String> {
    let mut listeners = JoinSet::new();
    for server in servers {
        let bound = TcpListener::bind(server.address).await;
        let listener = bound.map_err(|e| format!("{}: {e}", server.address))?;
        let tier = server.tier;
        let counts = counts.clone();
        listeners.spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // The bound applies to connections to cache servers only.
                if tier == Tier::Cache {
                    increment(&counts.connections);
                }
                spawn_local(serve(stream, counts.clone()));
            }
        });
    }
    Ok(listeners)
}

/// Serves a connection until the router closes it.
async fn serve(stream: TcpStream, counts: Rc<Counts>) {
    let _ = stream.set_nodelay(true);
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::with_capacity(512, reader);
    let object = vec![b'x'; OBJECT_BYTES];
    let mut line = String::new();
    loop {
        line.clear();
        if !reader
            .read_line(&mut line)
            .await
            .is_ok_and(|bytes| bytes > 0)
        {
            return;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let ["ASK", id, _, length] = words.as_slice() else {
            continue;
        };
        let mut body = vec![0; length.parse().unwrap_or(0) + 2];
        if reader.read_exact(&mut body).await.is_err() {
            return;
        }
        increment(&counts.requests);
        let mut answer =
            format!("{id} OK tell=hit,etag=4be0c1927d55a6f3,made=1 {OBJECT_BYTES}\r\n")
                .into_bytes();
        answer.extend_from_slice(&object);
        answer.extend_from_slice(b"\r\n");
        if writer.write_all(&answer).await.is_err() {
            return;
        }
    }
}
