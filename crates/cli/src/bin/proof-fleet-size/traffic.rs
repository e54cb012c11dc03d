//! A router's clients: requests at random times, mostly for a few popular objects.

use chalkhall_harness::connections;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, sleep, sleep_until, timeout};

const CONNECTIONS: usize = 4;
const OBJECTS: usize = 4_000;
/// Exponent by which an object's popularity falls with its rank.
const ZIPF_EXPONENT: f64 = 0.9;
/// Share of the requests that have a side effect: they go to the origin and must not run twice.
const SIDE_EFFECT_SHARE: f64 = 0.1;
const DEADLINE_MS: u64 = 2_500;
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// The number of requests sent, and of those served.
#[derive(Default)]
pub struct RequestCounts {
    pub requests: Cell<u64>,
    pub served: Cell<u64>,
}

/// Draws objects by popularity, and the pauses between requests.
struct RequestSampler {
    rng: fastrand::Rng,
    cumulative_weights: Vec<f64>,
}

impl RequestSampler {
    fn new(seed: u64) -> RequestSampler {
        let mut sum = 0.0;
        let cumulative_weights = (1..=OBJECTS).map(|rank| {
            sum += (rank as f64).powf(-ZIPF_EXPONENT);
            sum
        });
        RequestSampler {
            cumulative_weights: cumulative_weights.collect(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    fn object(&mut self) -> u64 {
        let drawn = self.rng.f64() * self.cumulative_weights.last().copied().unwrap_or_default();
        self.cumulative_weights.partition_point(|sum| *sum < drawn) as u64 + 1
    }

    fn pause(&mut self, rate: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.rng.f64()).ln() / rate)
    }
}

fn frame(parts: &[&str]) -> Vec<u8> {
    let mut text = format!("*{}\r\n", parts.len());
    parts
        .iter()
        .for_each(|part| text.push_str(&format!("${}\r\n{part}\r\n", part.len())));
    text.into_bytes()
}

/// Waits until the router's health check answers that it takes requests.
///
/// # Errors
/// It is not ready in time.
pub async fn wait_until_ready(router: SocketAddr) -> Result<(), String> {
    let green = async {
        while !connections::is_serving(router).await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(READY_TIMEOUT, green)
        .await
        .map_err(|_| format!("{router} was not ready within 60 s"))
}

/// Counts the answers on one connection until it ends.
async fn count_answers(reader: OwnedReadHalf, counts: Rc<RequestCounts>) {
    let mut reader = BufReader::new(reader);
    while let Some(served) = read_answer(&mut reader).await {
        counts.served.set(counts.served.get() + u64::from(served));
    }
}

/// Whether the next answer is `ACK`; none at the end of the connection.
async fn read_answer(reader: &mut BufReader<OwnedReadHalf>) -> Option<bool> {
    let parts = read_length(reader, '*').await?;
    let mut served = false;
    for index in 0..parts {
        let mut part = vec![0; read_length(reader, '$').await? + 2];
        reader.read_exact(&mut part).await.ok()?;
        served |= index == 1 && part == b"ACK\r\n";
    }
    Some(served)
}

async fn read_length(reader: &mut BufReader<OwnedReadHalf>, prefix: char) -> Option<usize> {
    let mut line = String::new();
    reader.read_line(&mut line).await.ok()?;
    line.trim_end().strip_prefix(prefix)?.parse().ok()
}

/// A connection of a client. The client reconnects when the router has closed it, which it may do while no request is
/// open.
struct Connection {
    writer: OwnedWriteHalf,
    reader: JoinHandle<()>,
}

impl Connection {
    async fn open(router: SocketAddr, counts: &Rc<RequestCounts>) -> Result<Connection, String> {
        let stream = TcpStream::connect(router)
            .await
            .map_err(|e| format!("{router}: {e}"))?;
        stream
            .set_nodelay(true)
            .map_err(|e| format!("{router}: {e}"))?;
        let (reader, writer) = stream.into_split();
        Ok(Connection {
            writer,
            reader: spawn_local(count_answers(reader, counts.clone())),
        })
    }

    /// Returns false if the router has closed the connection.
    async fn send(&mut self, request: &[u8]) -> bool {
        !self.reader.is_finished() && self.writer.write_all(request).await.is_ok()
    }
}

/// Runs the clients of one router for `length`, and then waits until all requests are past their deadlines.
///
/// # Errors
/// The router accepts no connection.
pub async fn run(
    router: SocketAddr,
    seed: u64,
    rate: f64,
    length: Duration,
    counts: Rc<RequestCounts>,
) -> Result<(), String> {
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        connections.push(Connection::open(router, &counts).await?);
    }
    let mut sampler = RequestSampler::new(seed);
    let end = Instant::now() + length;
    let mut at = Instant::now();
    for tag in 1.. {
        at += sampler.pause(rate);
        if at >= end {
            break;
        }
        sleep_until(at).await;
        let request = request(&mut sampler, seed, tag);
        let connection = &mut connections[tag as usize % CONNECTIONS];
        if !connection.send(&request).await {
            *connection = Connection::open(router, &counts).await?;
            connection.send(&request).await;
        }
        counts.requests.set(counts.requests.get() + 1);
    }
    sleep(Duration::from_millis(DEADLINE_MS)).await;
    connections
        .iter()
        .for_each(|connection| connection.reader.abort());
    Ok(())
}

fn request(sampler: &mut RequestSampler, seed: u64, tag: u64) -> Vec<u8> {
    let object = sampler.object();
    let class = if sampler.rng.f64() < SIDE_EFFECT_SHARE {
        "confirm"
    } else {
        "page"
    };
    let id = (seed << 32).wrapping_add(tag);
    let fields = format!(
        "i={id:016x},d={DEADLINE_MS},o={object:016x},lot={},m=64",
        object % 256
    );
    frame(&["REQ", &tag.to_string(), class, &fields, ""])
}
