//! Follows the discovery service, and forwards its events to the decider in order, each exactly
//! once.

use crate::clock::Clock;
use crate::discovery_events::{
    DeploymentNames, DiscoveryEvent, EventError, NumberedEvent, parse_event, parse_heartbeat,
};
use crate::io_errors::{retry_immediately, set_nodelay};
use crate::read_wait::ReadWait;
use crate::retrying_stream::RetryingStream;
use crate::timestamps::EventTimes;
use serde_json::Value;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until, timeout, timeout_at};

/// The time without a heartbeat after which a connection counts as dead. Discovery sends the number
/// of its last event each second. Events that a silent service withholds count as known to this
/// router 4 s after it stopped.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1800);
/// How long the oldest watch without a first line is kept open beside newer ones. If every watch
/// were closed after [`SILENCE_TIMEOUT`], a service that is slow to respond would never be read.
const FIRST_LINE_TIMEOUT: Duration = Duration::from_millis(7200);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The initial and the maximum backoff between attempts to connect.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(320);
/// The maximum length of a line; a list of all servers is much shorter.
const MAX_LINE_BYTES: u64 = 1 << 20;

/// The reason for which a watch ended or could not be opened.
#[derive(Debug, Error)]
enum WatchError {
    #[error("the router has ended")]
    RouterEnded,
    #[error("connecting timed out")]
    ConnectTimeout,
    #[error("no response in time")]
    Silent,
    #[error("no current event or heartbeat in time")]
    NothingNew,
    #[error("connection closed, or line too long")]
    IncompleteLine,
    #[error(transparent)]
    Io(#[from] std::io::Error),
    #[error("invalid JSON: {0}")]
    NotJson(#[source] serde_json::Error),
    #[error("event without a number")]
    Unnumbered,
    #[error("heartbeat {number} is ahead of the last event received, {last}")]
    Missed { number: u64, last: u64 },
    #[error("event {number} received after event {last}")]
    Gap { number: u64, last: u64 },
    #[error(transparent)]
    Event(#[from] EventError),
}

/// The actor that follows the discovery service.
pub struct Discovery {
    /// The address of the service.
    pub address: SocketAddr,
    /// The number of the last event that was forwarded.
    pub last_event: u64,
    /// An event that could not be parsed. It is requested once more and then skipped, so that it
    /// does not block all later events.
    pub unreadable_event: Option<u64>,
    /// The names to which events refer.
    pub names: DeploymentNames,
    /// The router's clock.
    pub clock: Clock,
    /// Corrects the timestamps of the events.
    pub event_times: EventTimes,
    /// The channel on which the decider receives events.
    pub decider: mpsc::Sender<DiscoveryEvent>,
    /// The source of jitter, which spreads the reconnects of a fleet that has lost its discovery
    /// service at once.
    pub random: fastrand::Rng,
    /// A descriptor that is reserved for the next connection before the first client is accepted.
    /// Otherwise, when idle clients use all descriptors, reconnecting would have to wait until they
    /// leave.
    pub reserved_socket: Option<TcpSocket>,
}

/// Creates a socket to connect to an address with.
///
/// # Errors
/// The system has no descriptor left.
pub fn new_socket(address: SocketAddr) -> std::io::Result<TcpSocket> {
    retry_immediately(|| {
        if address.is_ipv4() {
            TcpSocket::new_v4()
        } else {
            TcpSocket::new_v6()
        }
    })
}

/// The discovery settings of a reloaded configuration.
pub struct NewDiscovery {
    /// The address of the service.
    pub address: SocketAddr,
    /// The events in the configuration file.
    pub known_events: Vec<NumberedEvent>,
}

/// The state of the discovery service that a line indicates.
enum Progress {
    /// The service is up to date with this router.
    Current,
    /// The service is behind: it sent what the router already has.
    Behind,
}

/// The state that is kept from one watch to the next.
struct WatchState {
    /// The time before the next attempt to connect.
    backoff: Duration,
    /// An earlier watch on which nothing has been received yet.
    silent_watch: Option<Watch>,
    /// The last logged error; repetitions, as while the service is down, are logged at debug level.
    logged_error: String,
}

impl WatchState {
    fn new() -> WatchState {
        WatchState {
            backoff: INITIAL_BACKOFF,
            silent_watch: None,
            logged_error: String::new(),
        }
    }
}

impl Discovery {
    /// Follows discovery until the decider ends.
    pub async fn run(mut self, mut reconfigured: mpsc::Receiver<NewDiscovery>) {
        let mut state = WatchState::new();
        while !self.decider.is_closed() {
            let last_before = self.last_event;
            let ended = tokio::select! {
                biased;
                // This takes priority over whatever the old service does: it may have stopped
                // without closing the connection.
                Some(new) = reconfigured.recv() => Err(new),
                error = self.follow(&mut state) => Ok(error),
            };
            // The descriptor is reserved again before another task can take it.
            self.reserved_socket = new_socket(self.address).ok();
            match ended {
                Ok(error) => {
                    let has_progressed = self.last_event > last_before;
                    self.log_error(&error, has_progressed, &mut state);
                    self.back_off(&mut state, has_progressed, &mut reconfigured)
                        .await;
                }
                Err(new) => {
                    self.reconfigure(new).await;
                    (state.backoff, state.silent_watch) = (INITIAL_BACKOFF, None);
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

    /// Waits before the next attempt, or until a new configuration is received.
    async fn back_off(
        &mut self,
        state: &mut WatchState,
        has_progressed: bool,
        reconfigured: &mut mpsc::Receiver<NewDiscovery>,
    ) {
        if has_progressed {
            state.backoff = INITIAL_BACKOFF;
        }
        tokio::select! {
            biased;
            Some(new) = reconfigured.recv() => {
                self.reconfigure(new).await;
                state.silent_watch = None;
            }
            () = sleep(self.with_jitter(state.backoff)) => {}
        }
        state.backoff = (state.backoff * 2).min(MAX_BACKOFF);
    }

    /// Reduces a backoff randomly by up to half.
    fn with_jitter(&mut self, backoff: Duration) -> Duration {
        backoff.mul_f64(1.0 - self.random.f64() / 2.0)
    }

    async fn reconfigure(&mut self, new: NewDiscovery) {
        if self.address.is_ipv4() != new.address.is_ipv4() {
            self.reserved_socket = new_socket(new.address).ok();
        }
        self.address = new.address;
        self.event_times.connection_lost();
        for event in new.known_events {
            // After a gap, the service itself sends the missing events.
            if event.number == self.last_event + 1 && self.forward(event).await.is_err() {
                return;
            }
        }
        log::info!(
            address:% = self.address, last_event = self.last_event;
            "discovery: configuration reloaded"
        );
    }

    /// Forwards an event to the decider. If cancelled while it waits, the event is not forwarded
    /// and does not count as received.
    async fn forward(&mut self, event: NumberedEvent) -> Result<(), WatchError> {
        let slot = self.decider.reserve().await;
        let slot = slot.map_err(|_| WatchError::RouterEnded)?;
        self.last_event = event.number;
        if let Some(mut event) = event.event {
            self.event_times.correct(&mut event);
            slot.send(event);
        }
        self.event_times.event_forwarded();
        Ok(())
    }

    /// Connects and forwards events until an error occurs.
    async fn follow(&mut self, state: &mut WatchState) -> WatchError {
        let Err(error) = self.try_follow(state).await;
        error
    }

    async fn try_follow(&mut self, state: &mut WatchState) -> Result<Infallible, WatchError> {
        self.event_times.connection_lost();
        let watch = self.watch().await?;
        let mut watch = Watch::first_to_respond(watch, &mut state.silent_watch).await?;
        // Only lines that show that no newer event is withheld count. A service that stays behind
        // or repeats old events is treated like a silent one.
        let mut current_at = watch.opened_at;
        loop {
            if let Progress::Current = self.process_line(&watch).await? {
                (current_at, state.backoff) = (Instant::now(), INITIAL_BACKOFF);
            }
            let line = timeout_at(current_at + SILENCE_TIMEOUT, watch.next_line()).await;
            line.map_err(|_| WatchError::NothingNew)??;
        }
    }

    /// Connects, and requests all events after the last one received.
    async fn watch(&mut self) -> Result<Watch, WatchError> {
        let spare = self.reserved_socket.take();
        let socket = spare.map_or_else(|| new_socket(self.address), Ok)?;
        let connect = async {
            let stream = socket.connect(self.address).await?;
            set_nodelay(&stream);
            let mut stream = RetryingStream::new(stream);
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
            wait: ReadWait::new(),
            unread_for: Duration::ZERO,
        })
    }

    async fn process_line(&mut self, watch: &Watch) -> Result<Progress, WatchError> {
        let value: Value = serde_json::from_slice(&watch.line).map_err(WatchError::NotJson)?;
        match parse_heartbeat(&value) {
            Some(number) => self.process_heartbeat(number, watch.unread_for),
            None => self.process_event(&value).await,
        }
    }

    /// Processes a heartbeat: the number of the last event of the service. It was unread for at
    /// most `unread_for`; events that the service could not send may be newer.
    fn process_heartbeat(
        &mut self,
        number: u64,
        unread_for: Duration,
    ) -> Result<Progress, WatchError> {
        let last = self.last_event;
        if number > last {
            return Err(WatchError::Missed { number, last });
        }
        if number < last {
            return Ok(Progress::Behind);
        }
        self.event_times.confirm_up_to_date();
        // If the mailbox is full, the next heartbeat is sufficient.
        let as_of = self.clock.now().saturating_sub(unread_for);
        let _ = self.decider.try_send(DiscoveryEvent::UpToDate { as_of });
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
                log::warn!(
                    event = number, reason:% = error;
                    "discovery: skipping an event that cannot be parsed"
                );
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

/// A connection on which events have been requested from discovery.
struct Watch {
    lines: BufReader<RetryingStream<TcpStream>>,
    /// The last line, or the received part of the next one.
    line: Vec<u8>,
    opened_at: Instant,
    wait: ReadWait,
    /// The longest time for which the last line can have been unread.
    unread_for: Duration,
}

impl Watch {
    /// Waits for the next line. If cancelled, the received part of the line is kept.
    async fn next_line(&mut self) -> Result<(), WatchError> {
        if self.line.last() == Some(&b'\n') {
            self.line.clear();
        }
        let remaining = MAX_LINE_BYTES - self.line.len() as u64;
        let mut bounded = (&mut self.lines).take(remaining);
        self.wait.begin();
        bounded.read_until(b'\n', &mut self.line).await?;
        self.unread_for = self.wait.unread_for();
        self.wait.end();
        if self.line.last() == Some(&b'\n') {
            Ok(())
        } else {
            Err(WatchError::IncompleteLine)
        }
    }

    /// Waits for the first line of a new watch, or of an earlier one that has not responded yet.
    async fn first_to_respond(
        mut new: Watch,
        earlier: &mut Option<Watch>,
    ) -> Result<Watch, WatchError> {
        let response_deadline = new.opened_at + SILENCE_TIMEOUT;
        loop {
            let earlier_line = tokio::select! {
                biased;
                line = Watch::next_line_of(earlier) => line,
                line = new.next_line() => {
                    line?;
                    *earlier = None;
                    return Ok(new);
                }
                () = sleep_until(response_deadline) => {
                    let is_late = |watch: &Watch| watch.opened_at.elapsed() >= FIRST_LINE_TIMEOUT;
                    if earlier.as_ref().is_none_or(is_late) {
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

    async fn next_line_of(watch: &mut Option<Watch>) -> Result<(), WatchError> {
        match watch {
            Some(watch) => watch.next_line().await,
            None => std::future::pending().await,
        }
    }
}

#[cfg(test)]
mod tests;
