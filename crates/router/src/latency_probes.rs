//! Measures the round trip of network paths with probes to cache servers, on separate connections
//! with one probe at a time.
//!
//! A probe without an answer within [`PROBE_TIMEOUT`] is reported as lost, and the next one uses a
//! new connection. Probes never block, and those that exceed the limits are dropped.

use crate::io_errors::{ConnectFailure, set_nodelay};
use crate::messages::Message;
use crate::retrying_stream::RetryingStream;
use chalkhall_latency::model::PROBE_TIMEOUT;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, timeout};

/// The capacity of the probe queue; more probes are dropped.
pub const PROBE_QUEUE_CAPACITY: usize = 128;
/// The limit on connections; probes that would need another one are dropped.
const MAX_CONNECTIONS: usize = 64;
/// The time without a probe after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// The maximum read at a time; longer lines of an answer are read in parts.
const MAX_LINE_BYTES: u64 = 512;
/// The word for a request without effect in the server protocol.
const PROBE_REQUEST: &str = "NOOP";

type ProbeStream = BufReader<RetryingStream<TcpStream>>;

/// A probe to be sent to a cache server.
#[derive(Clone, Copy, Debug)]
pub struct Probe {
    /// The zone whose edge it measures.
    pub edge: usize,
    /// The address of the cache server.
    pub address: SocketAddr,
}

/// The error if a probe got no answer.
#[derive(Debug, thiserror::Error)]
enum ProbeError {
    /// Connecting failed for lack of a local resource: nothing was sent.
    #[error("not sent: {0}")]
    NotSent(#[source] io::Error),
    /// The server refused the connection, or it broke.
    #[error("lost: {0}")]
    Lost(#[from] io::Error),
    /// The server has closed the connection.
    #[error("closed by the server")]
    ClosedByServer,
    /// There was no answer in time.
    #[error("no answer in time")]
    TimedOut,
}

/// Sends probes until the decider drops the queue.
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
        // The probe is dropped if the previous one is still queued.
        let _ = connection.try_send(edge);
    }
}

/// Sends probes to one server.
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

    /// Runs until the idle timeout has passed without a probe, or the decider has ended.
    async fn run(mut self, mut edges: mpsc::Receiver<usize>) {
        while let Ok(Some(edge)) = timeout(IDLE_TIMEOUT, edges.recv()).await {
            let measured = timeout(PROBE_TIMEOUT, self.probe()).await;
            let round_trip = match measured.unwrap_or(Err(ProbeError::TimedOut)) {
                Ok(round_trip) => Some(round_trip),
                Err(error) => {
                    log::debug!(
                        address:% = self.address, reason:% = error;
                        "latency probe failed"
                    );
                    if matches!(error, ProbeError::NotSent(_)) {
                        // A local failure is no evidence on the path.
                        continue;
                    }
                    self.stream = None;
                    None
                }
            };
            let message = Message::LatencyMeasured(edge, round_trip);
            if self.decider.send(message).await.is_err() {
                return;
            }
        }
    }

    /// Sends one probe, waits for its answer and returns the round trip, which excludes connecting.
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
            // Empty lines between answers, and late answers to earlier probes, are skipped.
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
    Ok(BufReader::new(RetryingStream::new(stream)))
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
