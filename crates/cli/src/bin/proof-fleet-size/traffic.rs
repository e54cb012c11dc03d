//! A router's clients: requests at random times, for objects of which few are wanted often.

use chalkhall_harness::wire;
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
/// How steeply wishes fall with the place of an object.
const ZIPF: f64 = 0.9;
/// Share of the requests that must not run twice and go to the origin.
const CONFIRMS: f64 = 0.1;
const PATIENCE_MS: u64 = 2_500;
const READY_WITHIN: Duration = Duration::from_secs(60);

/// What was asked, and what was served of it.
#[derive(Default)]
pub struct Asked {
    pub requests: Cell<u64>,
    pub served: Cell<u64>,
}

/// Draws objects by how much they are wanted.
struct Wishes {
    chance: fastrand::Rng,
    sums: Vec<f64>,
}

impl Wishes {
    fn new(seed: u64) -> Wishes {
        let mut sum = 0.0;
        let sums = (1..=OBJECTS).map(|place| {
            sum += (place as f64).powf(-ZIPF);
            sum
        });
        Wishes {
            sums: sums.collect(),
            chance: fastrand::Rng::with_seed(seed),
        }
    }

    fn object(&mut self) -> u64 {
        let drawn = self.chance.f64() * self.sums.last().copied().unwrap_or_default();
        self.sums.partition_point(|sum| *sum < drawn) as u64 + 1
    }

    fn pause(&mut self, rate: f64) -> Duration {
        Duration::from_secs_f64(-(1.0 - self.chance.f64()).ln() / rate)
    }
}

fn frame(parts: &[&str]) -> Vec<u8> {
    let mut text = format!("*{}\r\n", parts.len());
    parts
        .iter()
        .for_each(|part| text.push_str(&format!("${}\r\n{part}\r\n", part.len())));
    text.into_bytes()
}

/// Waits until the router says that it serves.
///
/// # Errors
/// It does not in time.
pub async fn ready(router: SocketAddr) -> Result<(), String> {
    let green = async {
        while !wire::green(router).await {
            sleep(Duration::from_millis(20)).await;
        }
    };
    timeout(READY_WITHIN, green)
        .await
        .map_err(|_| format!("{router} does not serve"))
}

/// The answers of one connection, until it ends.
async fn answers(reader: OwnedReadHalf, asked: Rc<Asked>) {
    let mut reader = BufReader::new(reader);
    while let Some(served) = answer(&mut reader).await {
        asked.served.set(asked.served.get() + u64::from(served));
    }
}

/// Whether the next answer is one that serves; none: there is none.
async fn answer(reader: &mut BufReader<OwnedReadHalf>) -> Option<bool> {
    let parts = length(reader, '*').await?;
    let mut served = false;
    for place in 0..parts {
        let mut part = vec![0; length(reader, '$').await? + 2];
        reader.read_exact(&mut part).await.ok()?;
        served |= place == 1 && part == b"ACK\r\n";
    }
    Some(served)
}

async fn length(reader: &mut BufReader<OwnedReadHalf>, sign: char) -> Option<usize> {
    let mut line = String::new();
    reader.read_line(&mut line).await.ok()?;
    line.trim_end().strip_prefix(sign)?.parse().ok()
}

/// One connection of a client, made anew where the router has closed it: it may, with no request open.
struct Connection {
    writer: OwnedWriteHalf,
    reader: JoinHandle<()>,
}

impl Connection {
    async fn open(router: SocketAddr, asked: &Rc<Asked>) -> Result<Connection, String> {
        let stream = TcpStream::connect(router)
            .await
            .map_err(|e| format!("{router}: {e}"))?;
        stream
            .set_nodelay(true)
            .map_err(|e| format!("{router}: {e}"))?;
        let (reader, writer) = stream.into_split();
        Ok(Connection {
            writer,
            reader: spawn_local(answers(reader, asked.clone())),
        })
    }

    /// False: the router has closed it.
    async fn send(&mut self, request: &[u8]) -> bool {
        !self.reader.is_finished() && self.writer.write_all(request).await.is_ok()
    }
}

/// Clients of one router, for as long as the day lasts and all answers need to come.
///
/// # Errors
/// The router takes no connection.
pub async fn play(
    router: SocketAddr,
    seed: u64,
    rate: f64,
    length: Duration,
    asked: Rc<Asked>,
) -> Result<(), String> {
    let mut connections = Vec::new();
    for _ in 0..CONNECTIONS {
        connections.push(Connection::open(router, &asked).await?);
    }
    let mut wishes = Wishes::new(seed);
    let end = Instant::now() + length;
    let mut at = Instant::now();
    for tag in 1.. {
        at += wishes.pause(rate);
        if at >= end {
            break;
        }
        sleep_until(at).await;
        let request = request(&mut wishes, seed, tag);
        let connection = &mut connections[tag as usize % CONNECTIONS];
        if !connection.send(&request).await {
            *connection = Connection::open(router, &asked).await?;
            connection.send(&request).await;
        }
        asked.requests.set(asked.requests.get() + 1);
    }
    sleep(Duration::from_millis(PATIENCE_MS)).await;
    connections
        .iter()
        .for_each(|connection| connection.reader.abort());
    Ok(())
}

fn request(wishes: &mut Wishes, seed: u64, tag: u64) -> Vec<u8> {
    let object = wishes.object();
    let class = if wishes.chance.f64() < CONFIRMS {
        "confirm"
    } else {
        "page"
    };
    let id = (seed << 32).wrapping_add(tag);
    let fields = format!(
        "i={id:016x},d={PATIENCE_MS},o={object:016x},lot={},m=64",
        object % 256
    );
    frame(&["REQ", &tag.to_string(), class, &fields, ""])
}
