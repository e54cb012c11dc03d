//! Follows discovery: events in order, none twice, none left out.

use crate::clock::Clock;
use crate::discovery_events::{DiscoveryEvent, Places, numbered};
use crate::io_errors::{retry_at_once, set_nodelay};
use crate::timestamps::EventTimes;
use crate::uninterrupted::Uninterrupted;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Discovery says its last number each second: after this long without it the connection is dead. What a
/// silent discovery service holds back counts as told 4 s after it stopped.
const SILENCE: Duration = Duration::from_millis(1800);
/// A service that is slow to begin would never be heard if each watch were given up before its first word: the
/// oldest that has not spoken is listened to for so long, beside newer ones.
const SLOW_TO_BEGIN: Duration = Duration::from_millis(7200);
const CONNECT: Duration = Duration::from_millis(500);
/// Between tries to connect anew; doubled from the first to the second.
const PAUSE: Duration = Duration::from_millis(20);
const PAUSE_MOST: Duration = Duration::from_millis(320);
/// A list of all servers fits well into this.
const LINE_MOST: u64 = 1 << 20;

pub struct Discovery {
    pub address: SocketAddr,
    pub last: u64,
    /// An event that could not be read: watched for once more, then passed over, lest it hide all after it.
    pub faulty: Option<u64>,
    pub places: Places,
    pub clock: Clock,
    /// What bounds the stamps of the events.
    pub times: EventTimes,
    pub decider: mpsc::Sender<DiscoveryEvent>,
    /// Spreads the tries of a whole fleet that lost its discovery service in one moment.
    pub chance: fastrand::Rng,
    /// The descriptor of the next connection, held from before the first client on: when idle ones have taken
    /// all others, the list would else be followed only after they have gone.
    pub spare: Option<TcpSocket>,
}

/// A descriptor to connect to an address with.
pub fn socket(address: SocketAddr) -> std::io::Result<TcpSocket> {
    retry_at_once(|| {
        if address.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        }
    })
}

/// What a configuration read anew says of discovery.
pub struct NewDiscovery {
    pub address: SocketAddr,
    pub known: Vec<(u64, Option<DiscoveryEvent>)>,
}

impl Discovery {
    pub async fn run(mut self, mut anew: mpsc::Receiver<NewDiscovery>) {
        let (mut pause, mut silent, mut said) = (PAUSE, None, String::new());
        while !self.decider.is_closed() {
            let before = self.last;
            let what = tokio::select! {
                biased;
                // Whatever the old discovery service is at: it tells nothing more, perhaps without saying so.
                Some(anew) = anew.recv() => Err(anew),
                what = self.follow(&mut pause, &mut silent) => Ok(what.err().unwrap_or_default()),
            };
            // Its descriptor is taken again before anybody else has a turn.
            self.spare = socket(self.address).ok();
            let what = match what {
                Ok(what) => what,
                Err(anew) => {
                    self.take(anew).await;
                    (pause, silent) = (PAUSE, None);
                    continue;
                }
            };
            // While it is down each try fails alike: said once.
            let level = if self.last > before || what != said {
                log::Level::Info
            } else {
                log::Level::Debug
            };
            log::log!(level, "discovery: {what}; watching anew from {}", self.last);
            said = what;
            if self.last > before {
                pause = PAUSE;
            }
            tokio::select! {
                biased;
                Some(anew) = anew.recv() => {
                    self.take(anew).await;
                    silent = None;
                }
                () = sleep(self.spread(pause)) => {}
            }
            pause = (pause * 2).min(PAUSE_MOST);
        }
    }

    /// At most so long, and at least half of it: each router by its own seed.
    fn spread(&mut self, pause: Duration) -> Duration {
        pause.mul_f64(1.0 - self.chance.f64() / 2.0)
    }

    async fn take(&mut self, anew: NewDiscovery) {
        if self.address.is_ipv4() != anew.address.is_ipv4() {
            self.spare = socket(anew.address).ok();
        }
        self.address = anew.address;
        self.times.interrupted();
        for (number, notice) in anew.known {
            // Past a gap discovery itself tells what is between.
            if number == self.last + 1 && self.pass(number, notice).await.is_err() {
                return;
            }
        }
        log::info!(
            "discovery: {} from now on, from {}",
            self.address,
            self.last
        );
    }

    /// Given up while it waits, it has passed nothing and counts nothing.
    async fn pass(&mut self, number: u64, notice: Option<DiscoveryEvent>) -> Result<(), String> {
        let place = self
            .decider
            .reserve()
            .await
            .map_err(|_| "the router has ended")?;
        self.last = number;
        if let Some(mut notice) = notice {
            self.times.bound(&mut notice);
            place.send(notice);
        }
        self.times.passed();
        Ok(())
    }

    /// `silent`: an earlier watch that has not spoken yet.
    async fn follow(
        &mut self,
        pause: &mut Duration,
        silent: &mut Option<Watch>,
    ) -> Result<(), String> {
        self.times.interrupted();
        let mut watch = Watch::first_to_speak(self.watch().await?, silent).await?;
        // Only what shows that nothing newer is held back counts: a discovery service that stays behind, or
        // goes on with what it told before, tells as little as a silent one.
        let mut heard = watch.since;
        loop {
            if self.line(&watch.line).await? {
                (heard, *pause) = (Instant::now(), PAUSE);
            }
            let line = timeout_at(heard + SILENCE, watch.next()).await;
            line.map_err(|_| "silent, or nothing new")??;
        }
    }

    async fn watch(&mut self) -> Result<Watch, String> {
        let socket = self
            .spare
            .take()
            .map_or_else(|| socket(self.address), Ok)
            .map_err(|e| e.to_string())?;
        let watch = async {
            let stream = socket.connect(self.address).await?;
            set_nodelay(&stream);
            let mut stream = Uninterrupted::new(stream);
            stream
                .write_all(format!("watch {}\n", self.last).as_bytes())
                .await?;
            std::io::Result::Ok(stream)
        };
        let stream = timeout(CONNECT, watch)
            .await
            .map_err(|_| "no connection in time")?;
        let lines = BufReader::new(stream.map_err(|e| e.to_string())?);
        Ok(Watch {
            lines,
            line: Vec::new(),
            since: Instant::now(),
        })
    }

    /// Whether it shows that discovery is not behind this router.
    async fn line(&mut self, line: &[u8]) -> Result<bool, String> {
        let value: Value = serde_json::from_slice(line).map_err(|e| format!("not JSON: {e}"))?;
        if let Some(number) = value.as_u64() {
            if number > self.last {
                return Err(format!("at {number}, {} came last", self.last));
            }
            if number < self.last {
                return Ok(false);
            }
            self.times.nothing_newer();
            // Where it finds no place the next one will.
            let _ = self.decider.try_send(DiscoveryEvent::Heard);
            return Ok(true);
        }
        let number = value
            .get("rev")
            .and_then(Value::as_u64)
            .ok_or("an event without a number")?;
        if number <= self.last {
            return Ok(false);
        }
        if number > self.last + 1 {
            return Err(format!("event {number} after {}", self.last));
        }
        let notice = match numbered(&value, &self.places, &self.clock) {
            Ok((_, notice)) => notice,
            Err(what) if self.faulty == Some(number) => {
                log::warn!("discovery: event {number} is passed over: {what}");
                None
            }
            Err(what) => {
                self.faulty = Some(number);
                return Err(what);
            }
        };
        self.pass(number, notice).await.map(|()| true)
    }
}

/// One connection on which discovery has been asked for what comes.
struct Watch {
    lines: BufReader<Uninterrupted<TcpStream>>,
    /// The last line, or the beginning of the next.
    line: Vec<u8>,
    since: Instant,
}

impl Watch {
    /// Waits for the next line. Given up while it waits, it keeps what has come of it.
    async fn next(&mut self) -> Result<(), String> {
        if self.line.last() == Some(&b'\n') {
            self.line.clear();
        }
        let mut bounded = (&mut self.lines).take(LINE_MOST - self.line.len() as u64);
        bounded
            .read_until(b'\n', &mut self.line)
            .await
            .map_err(|e| e.to_string())?;
        if self.line.last() == Some(&b'\n') {
            Ok(())
        } else {
            Err("closed, or a line too long".into())
        }
    }

    /// Waits for the first line of a new watch, or of an earlier one that has been silent so far.
    async fn first_to_speak(mut new: Watch, earlier: &mut Option<Watch>) -> Result<Watch, String> {
        let given_up = new.since + SILENCE;
        loop {
            let earlier_spoke = tokio::select! {
                biased;
                spoke = Watch::next_of(earlier) => spoke,
                spoke = new.next() => {
                    spoke?;
                    *earlier = None;
                    return Ok(new);
                }
                () = sleep_until(given_up) => {
                    if earlier.as_ref().is_none_or(|watch| watch.since.elapsed() >= SLOW_TO_BEGIN) {
                        *earlier = Some(new);
                    }
                    return Err("silent".into());
                }
            };
            if let Some(watch) = earlier.take().filter(|_| earlier_spoke.is_ok()) {
                return Ok(watch);
            }
        }
    }

    async fn next_of(watch: &mut Option<Watch>) -> Result<(), String> {
        match watch {
            Some(watch) => watch.next().await,
            None => std::future::pending().await,
        }
    }
}

#[cfg(test)]
mod tests;
