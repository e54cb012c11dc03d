//! Measures ways: a word to a cache server and back, over connections of its own, each with one word out at a
//! time. What does not come back within the model's patience is reported as lost; a connection that broke or
//! fell silent is opened anew for the next word. Nothing waits for it, and what comes too fast is not
//! measured.

use crate::io_errors::{ConnectFailure, set_nodelay};
use crate::messages::Message;
use crate::uninterrupted::Uninterrupted;
use chalkhall_latency::model::PATIENCE;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// A word that is to be sent to a cache server of an edge.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    pub edge: usize,
    pub dial: SocketAddr,
}

/// Probes on their way to the actor; more are not made.
pub const PROBES_MOST: usize = 128;
/// Connections at once; one that carried nothing for so long is closed.
const CONNECTIONS_MOST: usize = 64;
const IDLE: Duration = Duration::from_secs(3);
const LINE_MOST: u64 = 512;

/// Ends with the decider.
pub async fn run(mut probes: mpsc::Receiver<Probe>, decider: mpsc::Sender<Message>) {
    let mut ways: HashMap<SocketAddr, mpsc::Sender<usize>> = HashMap::new();
    while let Some(Probe { edge, dial }) = probes.recv().await {
        ways.retain(|_, way| !way.is_closed());
        if ways.len() >= CONNECTIONS_MOST && !ways.contains_key(&dial) {
            continue;
        }
        let way = ways.entry(dial).or_insert_with(|| {
            let (sender, receiver) = mpsc::channel(1);
            spawn_local(measure(dial, receiver, decider.clone()));
            sender
        });
        let _ = way.try_send(edge);
    }
}

async fn measure(
    dial: SocketAddr,
    mut edges: mpsc::Receiver<usize>,
    decider: mpsc::Sender<Message>,
) {
    let (mut stream, mut tag) = (None, 0u64);
    while let Ok(Some(edge)) = timeout(IDLE, edges.recv()).await {
        tag += 1;
        let way = match timeout(PATIENCE, word(dial, &mut stream, tag)).await {
            Ok(Ok(way)) => Some(way),
            // Nothing was sent: this says nothing of the way.
            Ok(Err(Failure::Local)) => continue,
            // Refused, broken or silent: nothing came back.
            _ => {
                stream = None;
                None
            }
        };
        if decider.send(Message::Way(edge, way)).await.is_err() {
            return;
        }
    }
}

/// Why a word did not come back.
enum Failure {
    /// This machine lacked something to connect with.
    Local,
    /// The other side refused it, or the connection broke.
    Lost,
}

impl From<io::Error> for Failure {
    fn from(_: io::Error) -> Failure {
        Failure::Lost
    }
}

async fn connect(dial: SocketAddr) -> Result<TcpStream, Failure> {
    let made =
        TcpStream::connect(dial)
            .await
            .map_err(|error| match ConnectFailure::from(&error) {
                ConnectFailure::Interrupted | ConnectFailure::LocalResources => Failure::Local,
                ConnectFailure::Server => Failure::Lost,
            })?;
    set_nodelay(&made);
    Ok(made)
}

async fn word(
    dial: SocketAddr,
    stream: &mut Option<BufReader<Uninterrupted<TcpStream>>>,
    tag: u64,
) -> Result<Duration, Failure> {
    if stream.is_none() {
        *stream = Some(BufReader::new(Uninterrupted::new(connect(dial).await?)));
    }
    let Some(stream) = stream else {
        return Err(Failure::Lost);
    };
    let (sent, tag) = (Instant::now(), tag.to_string());
    stream
        .get_mut()
        .write_all(format!("NOOP {tag}\r\n").as_bytes())
        .await?;
    loop {
        let mut line = String::new();
        let read = tokio::io::AsyncReadExt::take(&mut *stream, LINE_MOST)
            .read_line(&mut line)
            .await?;
        if read == 0 {
            return Err(Failure::Lost);
        }
        // Between answers there are empty lines.
        if line.split_whitespace().next() == Some(tag.as_str()) {
            return Ok(sent.elapsed());
        }
    }
}

#[cfg(test)]
mod tests;
