//! One connection to a server: writes requests, reads answers, watches the time of each attempt.
//!
//! An attempt waits unwritten until the connection stands and all before it has gone to the system; only
//! from its first byte on may it have run. Each ends in one `ConnectionEvent::Ended`.

use crate::io_errors::{
    ConnectFailure, INTERRUPTIONS_MOST, MEMORY_PAUSE, StreamFailure, set_nodelay,
};
use crate::messages::{Ask, ConnectionCommand, ConnectionEvent, Key, ServerCommand};
use crate::scheduling_delay;
use crate::server_protocol::{Answer, Answers, ask, quit};
use crate::uninterrupted::Uninterrupted;
use bytes::{Buf, Bytes, BytesMut};
use chalkhall::interface::Outcome;
use std::collections::{HashMap, VecDeque};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpStream, tcp::ReadHalf};
use tokio::sync::{OwnedSemaphorePermit, mpsc};
use tokio::time::{Instant, sleep, sleep_until, timeout};

const READ_AT_ONCE: usize = 16 * 1024;
const LEAST_READ: usize = 1024;
/// Before the one further try of a connect for which this machine was short of something.
const LOCAL_RETRY: Duration = Duration::from_millis(2);

pub struct Connection {
    pub number: u64,
    pub dial: SocketAddr,
    pub connect_timeout: Duration,
    pub orders: mpsc::Receiver<ConnectionCommand>,
    pub server: mpsc::Sender<ServerCommand>,
    /// Held for as long as its descriptor may be.
    pub _place: OwnedSemaphorePermit,
}

struct Out {
    key: Key,
    due: Instant,
    sent: Instant,
}

#[derive(Default)]
struct State {
    unwritten: VecDeque<Box<Ask>>,
    /// By the id as the server sees it.
    out: HashMap<Bytes, Out>,
    /// What is on its way to the system.
    writing: BytesMut,
    /// The attempt whose first byte is the next to be written, and which is worded then.
    beginning: Option<Box<Ask>>,
    quits: VecDeque<Bytes>,
    ended: VecDeque<(Key, Outcome, Option<Box<Answer>>, bool)>,
    heard: Option<Instant>,
    patience: Duration,
}

impl State {
    fn take(&mut self, order: ConnectionCommand) {
        match order {
            ConnectionCommand::Ask(ask) => self.unwritten.push_back(ask),
            ConnectionCommand::Quit(key) => {
                self.withdraw(|ask| ask.key == key);
                if let Some(id) = self
                    .out
                    .iter()
                    .find(|(_, o)| o.key == key)
                    .map(|(id, _)| id.clone())
                {
                    self.abandon(id, Outcome::Cancelled);
                }
            }
        }
    }

    /// Takes back attempts of which not a byte has gone.
    fn withdraw(&mut self, which: impl Fn(&Ask) -> bool) {
        if let Some(ask) = self.beginning.take_if(|ask| which(ask)) {
            self.ended
                .push_back((ask.key, Outcome::NeverSent, None, false));
        }
        while let Some(at) = self.unwritten.iter().position(|ask| which(ask)) {
            let ask = self.unwritten.remove(at);
            self.ended
                .extend(ask.map(|ask| (ask.key, Outcome::NeverSent, None, false)));
        }
    }

    /// Gives up one that may have run. Where nothing was heard since it went out, for as long as a new
    /// connection may take to come up, this one may be dead.
    fn abandon(&mut self, id: Bytes, outcome: Outcome) {
        let Some(out) = self.out.remove(&id) else {
            return;
        };
        let silent =
            self.heard.is_none_or(|heard| heard < out.sent) && out.sent.elapsed() >= self.patience;
        self.ended.push_back((out.key, outcome, None, silent));
        self.quits.push_back(quit(&id));
    }

    fn next_due(&self) -> Option<Instant> {
        let unwritten = self.beginning.iter().chain(&self.unwritten);
        let unwritten = unwritten.map(|ask| ask.due.min(ask.leave_by));
        unwritten.chain(self.out.values().map(|o| o.due)).min()
    }

    fn expire(&mut self, now: Instant) {
        // Sent later than this it could reach a server after the grace of a drain or a purge told meanwhile,
        // or run for a client that has left or has its answer.
        self.withdraw(|ask| now >= ask.due.min(ask.leave_by) || !ask.wanted.still());
        while let Some(id) = self
            .out
            .iter()
            .find(|(_, o)| now >= o.due)
            .map(|(id, _)| id.clone())
        {
            self.abandon(id, Outcome::TimedOut);
        }
    }

    /// Takes the next thing to write, when all before it has gone.
    fn fill(&mut self) {
        if self.has_to_write() {
            return;
        }
        self.writing.clear();
        while let Some(quit) = self.quits.pop_front() {
            self.writing.extend_from_slice(&quit);
        }
        if !self.writing.is_empty() {
            return;
        }
        self.beginning = self.unwritten.pop_front();
    }

    fn has_to_write(&self) -> bool {
        !self.writing.is_empty() || self.beginning.is_some()
    }

    /// ConnectionPool what is to be written to `write`, which says how many bytes of it the system took.
    ///
    /// An attempt is worded here, for its line says how much time its client has left: since the decision it
    /// may have waited for a connection to come up or behind a full socket.
    fn write(
        &mut self,
        now: Instant,
        write: impl FnOnce(&[u8]) -> io::Result<usize>,
    ) -> io::Result<()> {
        let Some(beginning) = &self.beginning else {
            let bytes = write(&self.writing)?;
            self.gone(now, bytes);
            return Ok(());
        };
        let left = beginning.due.saturating_duration_since(now);
        let mut line = ask(&beginning.passed, &beginning.server, left, &beginning.fill);
        line.extend_from_slice(&beginning.passed.body);
        line.extend_from_slice(b"\r\n");
        let bytes = write(&line)?;
        if bytes > 0 {
            self.writing = line;
            self.gone(now, bytes);
        }
        Ok(())
    }

    /// So many bytes have gone to the system: from the first on an attempt may run. To a server that hangs
    /// the socket may be full for long before.
    fn gone(&mut self, now: Instant, bytes: usize) {
        self.writing.advance(bytes);
        if let Some(ask) = self.beginning.take_if(|_| bytes > 0) {
            let ask = *ask;
            self.out.insert(
                ask.passed.id,
                Out {
                    key: ask.key,
                    due: ask.due,
                    sent: now,
                },
            );
        }
    }

    fn answer(&mut self, answer: Answer) {
        // Answers that crossed a QUIT come for nobody.
        let Some(out) = self.out.remove(&answer.id) else {
            return;
        };
        self.ended
            .push_back((out.key, answer.outcome, Some(Box::new(answer)), false));
    }

    /// The connection is gone: what was written of may have run, the rest did not.
    fn broken(&mut self, unwritten: Outcome) {
        let not_begun = self
            .beginning
            .take()
            .into_iter()
            .chain(self.unwritten.drain(..));
        self.ended
            .extend(not_begun.map(|ask| (ask.key, unwritten, None, false)));
        self.ended.extend(
            self.out
                .drain()
                .map(|(_, out)| (out.key, Outcome::Broken, None, false)),
        );
    }
}

impl Connection {
    pub async fn run(mut self) {
        let mut state = State {
            patience: self.connect_timeout,
            ..State::default()
        };
        match self.connect(&mut state).await {
            Some(Ok(stream)) => {
                self.report(ConnectionEvent::Up).await;
                if let Err(what) = self.serve(stream, &mut state).await {
                    log::debug!("{}: {what}", self.dial);
                }
                state.broken(Outcome::NeverSent);
            }
            Some(Err(what)) => {
                log::debug!("{}: {what}", self.dial);
                let failure = ConnectFailure::from(&what);
                if failure != ConnectFailure::Server {
                    self.report(ConnectionEvent::LocalFailure).await;
                }
                state.broken(not_connected(failure));
            }
            None => {}
        }
        // Orders that crossed the break get their ends too.
        self.orders.close();
        while let Some(order) = self.orders.recv().await {
            state.take(order);
        }
        state.broken(Outcome::NeverSent);
        self.tell(&mut state).await;
        self.report(ConnectionEvent::Down).await;
    }

    async fn report(&self, report: ConnectionEvent) {
        let _ = self
            .server
            .send(ServerCommand::Connection(self.number, report))
            .await;
    }

    async fn tell(&self, state: &mut State) {
        while let Some((key, outcome, answer, silent)) = state.ended.pop_front() {
            self.report(ConnectionEvent::Ended {
                key,
                outcome,
                answer,
                silent,
            })
            .await;
        }
    }

    /// None: nobody wants the connection any more.
    async fn connect(&mut self, state: &mut State) -> Option<io::Result<TcpStream>> {
        let connecting = timeout(
            self.connect_timeout,
            connect_with(|| TcpStream::connect(self.dial)),
        );
        tokio::pin!(connecting);
        loop {
            self.tell(state).await;
            let due = state.next_due();
            tokio::select! {
                made = &mut connecting => {
                    let made = made.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
                    return Some(made.inspect(set_nodelay));
                }
                order = self.orders.recv() => state.take(order?),
                () = at(due) => state.expire(Instant::now()),
            }
        }
    }

    async fn serve(&mut self, mut stream: TcpStream, state: &mut State) -> Result<(), String> {
        let (mut reader, writer) = stream.split();
        let (mut buffer, mut answers) = (BytesMut::new(), Answers::default());
        // When an answer that is not whole yet began to come.
        let mut begun: Option<Instant> = None;
        loop {
            state.expire(Instant::now());
            state.fill();
            self.tell(state).await;
            let due = state.next_due();
            // One that stops short holds up all behind it, and one that nobody wants any more may trickle for
            // ever.
            let wanted = answers
                .coming()
                .is_some_and(|id| state.out.contains_key(id));
            let last = if wanted { state.heard } else { begun };
            let stops = begun.and(last).map(|last| last + self.connect_timeout);
            tokio::select! {
                biased;
                ready = writer.writable(), if state.has_to_write() => {
                    ready.map_err(|e| e.to_string())?;
                    if state.beginning.is_some() {
                        // A client's leaving may lie unread: after a hold-up the order in which tasks have
                        // their turns is chance.
                        scheduling_delay::catch_up(|| {
                            while let Ok(order) = self.orders.try_recv() {
                                state.take(order);
                            }
                        })
                        .await;
                    }
                    // Looked at again here: the socket may have been full for long, or the program held up.
                    let now = Instant::now();
                    state.expire(now);
                    if state.has_to_write()
                        && let Err(e) = state.write(now, |bytes| writer.try_write(bytes))
                    {
                        match StreamFailure::from(&e) {
                            StreamFailure::Retry => {}
                            StreamFailure::MemoryExhausted => sleep(MEMORY_PAUSE).await,
                            StreamFailure::Broken => return Err(e.to_string()),
                        }
                    }
                }
                order = self.orders.recv() => match order {
                    Some(order) => state.take(order),
                    None => return Ok(()),
                },
                read = read(&mut reader, &mut buffer) => {
                    if read.map_err(|e| e.to_string())? == 0 {
                        return Err("closed by the server".into());
                    }
                    state.heard = Some(Instant::now());
                    while let Some(answer) = answers.next(&mut buffer).map_err(|e| e.0.to_string())? {
                        state.answer(answer);
                        begun = None;
                    }
                    if answers.coming().is_some() || !buffer.is_empty() {
                        begun = begun.or(state.heard);
                    } else {
                        // A body that is passed on keeps the buffer in which it came.
                        buffer = BytesMut::new();
                    }
                }
                () = at(stops) => return Err("an answer that stopped short".into()),
                () = at(due) => {}
            }
        }
    }
}

/// Waits until something has come before it takes memory for it.
async fn read(reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) -> io::Result<usize> {
    reader.readable().await?;
    if buffer.capacity() - buffer.len() < LEAST_READ {
        buffer.reserve(READ_AT_ONCE);
    }
    Uninterrupted::new(reader).read_buf(buffer).await
}

/// Connects, each time on a new socket: again at once where a signal interrupted it, and once more after a
/// moment where this machine was short of something, which may be over by then.
async fn connect_with<T, F>(mut connect: impl FnMut() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let (mut interrupted, mut retried) = (0, false);
    loop {
        let error = match connect().await {
            Ok(made) => return Ok(made),
            Err(error) => error,
        };
        match ConnectFailure::from(&error) {
            ConnectFailure::Interrupted if interrupted < INTERRUPTIONS_MOST => interrupted += 1,
            ConnectFailure::LocalResources if !retried => {
                retried = true;
                sleep(LOCAL_RETRY).await;
            }
            _ => return Err(error),
        }
    }
}

/// Nothing ran either way; but what this machine lacks is not held against the server.
fn not_connected(failure: ConnectFailure) -> Outcome {
    match failure {
        ConnectFailure::Interrupted | ConnectFailure::LocalResources => Outcome::NeverSent,
        ConnectFailure::Server => Outcome::Unreachable,
    }
}

/// Waits for a time; for ever where there is none.
pub async fn at(time: Option<Instant>) {
    match time {
        Some(time) => sleep_until(time).await,
        None => std::future::pending().await,
    }
}

#[cfg(test)]
mod tests;
