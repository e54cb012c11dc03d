//! Follows discovery: hands on its events in order, none twice and none left out.

use crate::clock::Clock;
use crate::discovery_events::{
    DeploymentNames, DiscoveryEvent, EventError, NumberedEvent, parse_event,
};
use crate::io_errors::{retry_at_once, set_nodelay};
use crate::timestamps::EventTimes;
use crate::uninterrupted::Uninterrupted;
use serde_json::Value;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// Discovery sends its last number each second: after this long without it the connection is dead.
/// What a silent discovery service holds back counts as known 4 s after it stopped.
const SILENCE: Duration = Duration::from_millis(1800);
/// A service that is slow to begin would never be read if each watch were given up before its first
/// line: the oldest silent watch is kept open for so long, beside newer ones.
const SLOW_START: Duration = Duration::from_millis(7200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The backoff between attempts to connect: at first, and at most.
const INITIAL_PAUSE: Duration = Duration::from_millis(20);
const MAX_PAUSE: Duration = Duration::from_millis(320);
/// A list of all servers fits well into this.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// Why a watch has ended, or could not begin.
#[derive(Debug, Error)]
enum WatchError {
    #[error("the router has ended")]
    RouterEnded,
    #[error("no connection in time")]
    ConnectTimeout,
    #[error("silent")]
    Silent,
    #[error("silent, or nothing new")]
    NothingNew,
    #[error("closed, or a line too long")]
    IncompleteLine,
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error("not JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    #[error("an event without a number")]
    Unnumbered,
    #[error("at {number}, {last} came last")]
    Missed { number: u64, last: u64 },
    #[error("event {number} after {last}")]
    Gap { number: u64, last: u64 },
    #[error(transparent)]
    Event(#[from] EventError),
}

/// The actor that follows discovery.
pub struct Discovery {
    /// Where the service is.
    pub address: SocketAddr,
    /// The number of the last event that was handed on.
    pub last_event: u64,
    /// An event that could not be read: it is asked for once more, then skipped, lest it hide all
    /// after it.
    pub unreadable_event: Option<u64>,
    /// The names that events use.
    pub names: DeploymentNames,
    /// The router's clock.
    pub clock: Clock,
    /// Bounds the stamps of the events.
    pub event_times: EventTimes,
    /// Where events go.
    pub decider: mpsc::Sender<DiscoveryEvent>,
    /// Jitter: spreads the attempts of a whole fleet that lost its discovery service at one moment.
    pub random: fastrand::Rng,
    /// The descriptor of the next connection, reserved before the first client comes: when idle
    /// clients have taken all others, the list could otherwise be followed only after they have
    /// gone.
    pub spare_socket: Option<TcpSocket>,
}

/// A descriptor to connect to an address with.
///
/// # Errors
/// The system has none left.
pub fn socket(address: SocketAddr) -> std::io::Result<TcpSocket> {
    retry_at_once(|| {
        if address.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        }
    })
}

/// What a configuration that was read again says of discovery.
pub struct NewDiscovery {
    /// Where the service is.
    pub address: SocketAddr,
    /// The events in the configuration.
    pub known_events: Vec<NumberedEvent>,
}

/// What a line of discovery shows.
enum Progress {
    /// Discovery is not behind this router.
    Current,
    /// It repeats what the router has.
    Behind,
}

/// What survives from one watch to the next.
struct WatchState {
    /// Before the next attempt to connect.
    pause: Duration,
    /// An earlier watch that has not sent anything yet.
    silent_watch: Option<Watch>,
    /// The error that was logged last: while the service is down each attempt fails alike.
    logged_error: String,
}

impl WatchState {
    fn new() -> WatchState {
        WatchState {
            pause: INITIAL_PAUSE,
            silent_watch: None,
            logged_error: String::new(),
        }
    }
}

impl Discovery {
    /// Follows discovery until the decider has ended.
    pub async fn run(mut self, mut reconfigured: mpsc::Receiver<NewDiscovery>) {
        let mut state = WatchState::new();
        while !self.decider.is_closed() {
            let last_before = self.last_event;
            let ended = tokio::select! {
                biased;
                // Whatever the old service is doing: nothing more comes of it, perhaps without a
                // close.
                Some(new) = reconfigured.recv() => Err(new),
                error = self.follow(&mut state) => Ok(error),
            };
            // The descriptor is reserved again before any other task runs.
            self.spare_socket = socket(self.address).ok();
            match ended {
                Ok(error) => {
                    let has_progressed = self.last_event > last_before;
                    self.log_error(&error, has_progressed, &mut state);
                    self.back_off(&mut state, has_progressed, &mut reconfigured)
                        .await;
                }
                Err(new) => {
                    self.reconfigure(new).await;
                    (state.pause, state.silent_watch) = (INITIAL_PAUSE, None);
                }
            }
        }
    }

    fn log_error(&self, error: &WatchError, has_progressed: bool, state: &mut WatchState) {
        let reason = error.to_string();
        let level = if has_progressed || reason != state.logged_error {
            log::Level::Info
        } else {
            log::Level::Debug
        };
        log::log!(
            level, reason = reason.as_str(), last_event = self.last_event;
            "discovery: reconnecting"
        );
        state.logged_error = reason;
    }

    /// Waits before the next attempt, but not past a new configuration.
    async fn back_off(
        &mut self,
        state: &mut WatchState,
        has_progressed: bool,
        reconfigured: &mut mpsc::Receiver<NewDiscovery>,
    ) {
        if has_progressed {
            state.pause = INITIAL_PAUSE;
        }
        tokio::select! {
            biased;
            Some(new) = reconfigured.recv() => {
                self.reconfigure(new).await;
                state.silent_watch = None;
            }
            () = sleep(self.with_jitter(state.pause)) => {}
        }
        state.pause = (state.pause * 2).min(MAX_PAUSE);
    }

    /// At most so long, and at least half of it: each router by its own seed.
    fn with_jitter(&mut self, pause: Duration) -> Duration {
        pause.mul_f64(1.0 - self.random.f64() / 2.0)
    }

    async fn reconfigure(&mut self, new: NewDiscovery) {
        if self.address.is_ipv4() != new.address.is_ipv4() {
            self.spare_socket = socket(new.address).ok();
        }
        self.address = new.address;
        self.event_times.interrupted();
        for event in new.known_events {
            // Past a gap the service itself sends what is between.
            if event.number == self.last_event + 1 && self.forward(event).await.is_err() {
                return;
            }
        }
        log::info!(
            address:% = self.address, last_event = self.last_event;
            "discovery: reconfigured"
        );
    }

    /// Hands an event on. Cancelled while it waits, it has handed on nothing and counts nothing.
    async fn forward(&mut self, event: NumberedEvent) -> Result<(), WatchError> {
        let slot = self.decider.reserve().await;
        let slot = slot.map_err(|_| WatchError::RouterEnded)?;
        self.last_event = event.number;
        if let Some(mut event) = event.event {
            self.event_times.bound(&mut event);
            slot.send(event);
        }
        self.event_times.passed();
        Ok(())
    }

    /// Connects, and hands on what comes, until that fails.
    async fn follow(&mut self, state: &mut WatchState) -> WatchError {
        let Err(error) = self.try_follow(state).await;
        error
    }

    async fn try_follow(&mut self, state: &mut WatchState) -> Result<Infallible, WatchError> {
        self.event_times.interrupted();
        let watch = self.watch().await?;
        let mut watch = Watch::first_to_respond(watch, &mut state.silent_watch).await?;
        // Only what shows that nothing newer is held back counts: a service that stays behind, or
        // goes on with what it sent before, is worth as little as a silent one.
        let mut current_at = watch.opened_at;
        loop {
            if let Progress::Current = self.process_line(&watch.line).await? {
                (current_at, state.pause) = (Instant::now(), INITIAL_PAUSE);
            }
            let line = timeout_at(current_at + SILENCE, watch.next()).await;
            line.map_err(|_| WatchError::NothingNew)??;
        }
    }

    /// Connects, and asks for all events after the last.
    async fn watch(&mut self) -> Result<Watch, WatchError> {
        let spare = self.spare_socket.take();
        let socket = spare.map_or_else(|| socket(self.address), Ok)?;
        let connect = async {
            let stream = socket.connect(self.address).await?;
            set_nodelay(&stream);
            let mut stream = Uninterrupted::new(stream);
            let request = format!("watch {}\n", self.last_event);
            stream.write_all(request.as_bytes()).await?;
            std::io::Result::Ok(stream)
        };
        let stream = timeout(CONNECT_TIMEOUT, connect).await;
        let stream = stream.map_err(|_| WatchError::ConnectTimeout)??;
        Ok(Watch {
            lines: BufReader::new(stream),
            line: Vec::new(),
            opened_at: Instant::now(),
        })
    }

    async fn process_line(&mut self, line: &[u8]) -> Result<Progress, WatchError> {
        let value: Value = serde_json::from_slice(line).map_err(WatchError::NotJson)?;
        match value.as_u64() {
            Some(number) => self.process_heartbeat(number),
            None => self.process_event(&value).await,
        }
    }

    /// The service sends the number of its last event.
    fn process_heartbeat(&mut self, number: u64) -> Result<Progress, WatchError> {
        let last = self.last_event;
        if number > last {
            return Err(WatchError::Missed { number, last });
        }
        if number < last {
            return Ok(Progress::Behind);
        }
        self.event_times.nothing_newer();
        // Where the mailbox is full the next heartbeat will do.
        let _ = self.decider.try_send(DiscoveryEvent::UpToDate);
        Ok(Progress::Current)
    }

    async fn process_event(&mut self, value: &Value) -> Result<Progress, WatchError> {
        let number = value.get("rev").and_then(Value::as_u64);
        let number = number.ok_or(WatchError::Unnumbered)?;
        let last = self.last_event;
        if number <= last {
            return Ok(Progress::Behind);
        }
        if number > last + 1 {
            return Err(WatchError::Gap { number, last });
        }
        let event = match parse_event(value, &self.names, &self.clock) {
            Ok(event) => event,
            Err(error) if self.unreadable_event == Some(number) => {
                log::warn!(event = number, reason:% = error; "discovery: an event is skipped");
                NumberedEvent {
                    number,
                    event: None,
                }
            }
            Err(error) => {
                self.unreadable_event = Some(number);
                return Err(error.into());
            }
        };
        self.forward(event).await?;
        Ok(Progress::Current)
    }
}

/// One connection on which discovery has been asked for events.
struct Watch {
    lines: BufReader<Uninterrupted<TcpStream>>,
    /// The last line, or the beginning of the next.
    line: Vec<u8>,
    opened_at: Instant,
}

impl Watch {
    /// Waits for the next line. Cancelled while it waits, it keeps what has come of it.
    async fn next(&mut self) -> Result<(), WatchError> {
        if self.line.last() == Some(&b'\n') {
            self.line.clear();
        }
        let room = MAX_LINE_BYTES - self.line.len() as u64;
        let mut bounded = (&mut self.lines).take(room);
        bounded.read_until(b'\n', &mut self.line).await?;
        if self.line.last() == Some(&b'\n') {
            Ok(())
        } else {
            Err(WatchError::IncompleteLine)
        }
    }

    /// Waits for the first line of a new watch, or of an earlier one that has been silent so far.
    async fn first_to_respond(
        mut new: Watch,
        earlier: &mut Option<Watch>,
    ) -> Result<Watch, WatchError> {
        let give_up_at = new.opened_at + SILENCE;
        loop {
            let earlier_line = tokio::select! {
                biased;
                line = Watch::next_of(earlier) => line,
                line = new.next() => {
                    line?;
                    *earlier = None;
                    return Ok(new);
                }
                () = sleep_until(give_up_at) => {
                    let is_given_up = |watch: &Watch| watch.opened_at.elapsed() >= SLOW_START;
                    if earlier.as_ref().is_none_or(is_given_up) {
                        *earlier = Some(new);
                    }
                    return Err(WatchError::Silent);
                }
            };
            if let Some(watch) = earlier.take().filter(|_| earlier_line.is_ok()) {
                return Ok(watch);
            }
        }
    }

    async fn next_of(watch: &mut Option<Watch>) -> Result<(), WatchError> {
        match watch {
            Some(watch) => watch.next().await,
            None => std::future::pending().await,
        }
    }
}

#[cfg(test)]
mod tests;
