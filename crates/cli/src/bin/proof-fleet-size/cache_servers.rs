//! Cache servers, parents and the origin, all in this process: each listens at an address of its own and
//! answers at once, as a hit, with an object of a fixed size.

use crate::settings::{Listed, Tier};
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinSet, spawn_local};

const OBJECT_BYTES: usize = 2_000;

/// What has come to them all.
#[derive(Default)]
pub struct Counts {
    pub connections: Cell<u64>,
    pub requests: Cell<u64>,
}

fn add(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// Listens for each server, until the set of tasks is dropped.
///
/// # Errors
/// An address can't be bound, for instance for want of descriptors.
pub async fn listen(servers: &[Listed], counts: &Rc<Counts>) -> Result<JoinSet<()>, String> {
    let mut listening = JoinSet::new();
    for server in servers {
        let bound = TcpListener::bind(server.address).await;
        let listener = bound.map_err(|e| format!("{}: {e}", server.address))?;
        let tier = server.tier;
        let counts = counts.clone();
        listening.spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                // What is counted and bounded: connections to cache servers.
                if tier == Tier::Cache {
                    add(&counts.connections);
                }
                spawn_local(serve(stream, counts.clone()));
            }
        });
    }
    Ok(listening)
}

/// One connection, until the router closes it.
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
        add(&counts.requests);
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
