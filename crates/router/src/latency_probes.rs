//! Measures network paths: a probe to a cache server and back, on connections of its own, each with
//! one probe at a time.
//!
//! A probe that does not come back within [`PATIENCE`] is reported as lost; a connection that broke
//! or was silent is replaced for the next probe. Nothing waits for a probe, and probes beyond the
//! bounds are dropped.

use crate::io_errors::{ConnectFailure, set_nodelay};
use crate::messages::Message;
use crate::uninterrupted::Uninterrupted;
use chalkhall_latency::model::PATIENCE;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// Probes queued for the actor; more are dropped.
pub const PROBE_QUEUE_CAPACITY: usize = 128;
/// Probes to servers without a connection are dropped while there are so many connections.
const MAX_CONNECTIONS: usize = 64;
/// A connection without a probe for so long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// A longer line of an answer is taken in parts.
const MAX_LINE_BYTES: u64 = 512;
/// The word of the servers' wire for a request that does nothing.
const PROBE_REQUEST: &str = "NOOP";

type ProbeStream = BufReader<Uninterrupted<TcpStream>>;

/// A probe that is to be sent to a cache server.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// The network path that it measures.
    pub edge: usize,
    /// Where the cache server is.
    pub address: SocketAddr,
}

/// Why a probe did not come back.
#[derive(Debug, thiserror::Error)]
enum ProbeError {
    /// This machine lacked a resource to connect with: nothing was sent.
    #[error("not sent: {0}")]
    NotSent(#[source] io::Error),
    /// The server refused the connection, or it broke.
    #[error("lost: {0}")]
    Lost(#[from] io::Error),
    /// The server has closed the connection.
    #[error("closed by the server")]
    ClosedByServer,
    /// Nothing came back in time.
    #[error("no answer in time")]
    TimedOut,
}

/// Sends probes until the decider has dropped their queue.
pub async fn run(mut probes: mpsc::Receiver<Probe>, decider: mpsc::Sender<Message>) {
    let mut connections: HashMap<SocketAddr, mpsc::Sender<usize>> = HashMap::new();
    while let Some(Probe { edge, address }) = probes.recv().await {
        connections.retain(|_, connection| !connection.is_closed());
        if connections.len() >= MAX_CONNECTIONS && !connections.contains_key(&address) {
            continue;
        }
        let connection = connections.entry(address).or_insert_with(|| {
            let (sender, edges) = mpsc::channel(1);
            let prober = Prober::new(address, decider.clone());
            spawn_local(prober.run(edges));
            sender
        });
        // Dropped if the one before it is still queued.
        let _ = connection.try_send(edge);
    }
}

/// Sends the probes to one server.
struct Prober {
    address: SocketAddr,
    decider: mpsc::Sender<Message>,
    stream: Option<ProbeStream>,
    last_id: u64,
}

impl Prober {
    fn new(address: SocketAddr, decider: mpsc::Sender<Message>) -> Prober {
        Prober {
            address,
            decider,
            stream: None,
            last_id: 0,
        }
    }

    /// Ends when there was no probe for a while, or with the decider.
    async fn run(mut self, mut edges: mpsc::Receiver<usize>) {
        while let Ok(Some(edge)) = timeout(IDLE_TIMEOUT, edges.recv()).await {
            let measured = timeout(PATIENCE, self.probe()).await;
            let round_trip = match measured.unwrap_or(Err(ProbeError::TimedOut)) {
                Ok(round_trip) => Some(round_trip),
                Err(error) => {
                    log::debug!(
                        address:% = self.address, reason:% = error;
                        "a latency probe failed"
                    );
                    if matches!(error, ProbeError::NotSent(_)) {
                        // This says nothing about the path.
                        continue;
                    }
                    self.stream = None;
                    None
                }
            };
            let message = Message::Way(edge, round_trip);
            if self.decider.send(message).await.is_err() {
                return;
            }
        }
    }

    /// Sends one probe and waits for its answer: the round trip, without the connect.
    async fn probe(&mut self) -> Result<Duration, ProbeError> {
        self.last_id += 1;
        let id = self.last_id.to_string();
        let stream = match &mut self.stream {
            Some(stream) => stream,
            none => none.insert(connect(self.address).await?),
        };
        let sent_at = Instant::now();
        let request = format!("{PROBE_REQUEST} {id}\r\n");
        stream.get_mut().write_all(request.as_bytes()).await?;
        loop {
            let line = read_line(stream).await?;
            // There are empty lines between answers, and answers to probes that were given up.
            if line.split_whitespace().next() == Some(id.as_str()) {
                return Ok(sent_at.elapsed());
            }
        }
    }
}

async fn connect(address: SocketAddr) -> Result<ProbeStream, ProbeError> {
    let stream =
        TcpStream::connect(address)
            .await
            .map_err(|error| match ConnectFailure::from(&error) {
                ConnectFailure::Interrupted | ConnectFailure::LocalResources => {
                    ProbeError::NotSent(error)
                }
                ConnectFailure::Server => ProbeError::Lost(error),
            })?;
    set_nodelay(&stream);
    Ok(BufReader::new(Uninterrupted::new(stream)))
}

async fn read_line(stream: &mut ProbeStream) -> Result<String, ProbeError> {
    let mut line = String::new();
    let read = stream.take(MAX_LINE_BYTES).read_line(&mut line).await?;
    if read == 0 {
        return Err(ProbeError::ClosedByServer);
    }
    Ok(line)
}

#[cfg(test)]
mod tests;
