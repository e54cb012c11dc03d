//! Takes clients' connections, gives their places to those who ask, and waits for the last answers at the
//! end.

use crate::client_connection::{Client, ClientFrontend};
use crate::io_errors::{AcceptFailure, is_retryable};
use crate::lifecycle::Phase;
use crate::messages::{Message, Place, Word};
use crate::rate_limited_log::RateLimitedLog;
use crate::server_connection::at;
use std::collections::{BTreeMap, HashMap};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{JoinSet, yield_now};
use tokio::time::{Instant, sleep, timeout};

const WAITING_TO_BE_TAKEN: u32 = 1024;
/// After an accept failed for want of descriptors or memory, or for no reason that will pass by itself.
const PAUSE: Duration = Duration::from_millis(20);
/// Connections that fail as they are accepted, one after the other; after more there is a pause too, lest
/// nothing else gets done.
const FAILED_IN_A_ROW: usize = 32;
/// Accepts that fail as the router ends are tried again for so long.
const FAILED_LOOKS: Duration = Duration::from_millis(40);
/// Within this a connection that the system has taken is there to be accepted.
const LAST_LOOK: Duration = Duration::from_millis(1);
/// For the last answers to be written.
const LAST_WORDS: Duration = Duration::from_millis(200);
/// So many of those who never asked may have come just now.
const NEWEST: usize = 16;
/// Clients that were asked to leave and are not gone yet.
const LEAVING_MOST: usize = 16;
/// What clients say of their places, until it is heard.
const WORDS_MOST: usize = 64;

/// Between tries to bind where something is short for a moment; doubled each time.
const BIND_PAUSE: Duration = Duration::from_millis(10);
const BIND_TRIES: u32 = 7;

/// Listens at an address. What is short for a moment as the router starts is waited for, a second at most;
/// an address that is taken or forbidden is not.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    bind_with(|| try_bind(address)).await
}

/// Binds, again where something is short for a moment.
pub async fn bind_with<T>(mut bind: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    let mut pause = BIND_PAUSE;
    for _ in 1..BIND_TRIES {
        match bind() {
            Err(error) if is_retryable(&error) => log::debug!("listen: {error}; tried again"),
            bound => return bound,
        }
        sleep(pause).await;
        pause *= 2;
    }
    bind()
}

fn try_bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(WAITING_TO_BE_TAKEN)
}

/// Where clients' connections come from: the listening socket, or what stands for it in a test.
pub trait Accept {
    /// Waits for the next connection. Given up, it has taken none.
    fn accept(&self) -> impl Future<Output = io::Result<TcpStream>>;
}

impl Accept for TcpListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        TcpListener::accept(self).await.map(|(stream, _)| stream)
    }
}

struct Held {
    leave: mpsc::Sender<()>,
    /// Where it stands among the idle: who has asked once or who never did, and since when.
    idle: Option<(usize, u64)>,
    leaving: bool,
}

/// Who holds the places. Connections that carry nothing must not keep out who asks.
#[derive(Default)]
struct Places {
    held: HashMap<u64, Held>,
    /// Who never asked, and who did but has nothing open, each in the order in which they became so.
    idle: [BTreeMap<u64, u64>; 2],
    leaving: usize,
    last: u64,
}

impl Places {
    fn take(&mut self, says: mpsc::Sender<Word>) -> Place {
        let (leave, told) = mpsc::channel(1);
        self.last += 1;
        let number = self.last;
        self.held.insert(
            number,
            Held {
                leave,
                idle: None,
                leaving: false,
            },
        );
        self.note(Word {
            number,
            idle: true,
            asked: false,
        });
        Place {
            number,
            leave: told,
            says,
        }
    }

    fn note(&mut self, word: Word) {
        let Some(held) = self.held.get_mut(&word.number) else {
            return;
        };
        if held.leaving {
            // Its word crossed ours: it leaves once it has nothing open, and nobody else need go for it.
            return;
        }
        if let Some((kind, since)) = held.idle.take() {
            self.idle[kind].remove(&since);
        }
        if word.idle {
            self.last += 1;
            held.idle = Some((usize::from(word.asked), self.last));
            self.idle[usize::from(word.asked)].insert(self.last, word.number);
        }
    }

    fn gone(&mut self, number: u64) {
        self.note(Word {
            number,
            idle: false,
            asked: false,
        });
        let left = self.held.remove(&number);
        self.leaving -= usize::from(left.is_some_and(|held| held.leaving));
    }

    /// Asks one to leave: who never asked, but for the newest, whose first message may be on its way; else
    /// who has had nothing open for longest. One that has asked for something meanwhile is answered first.
    fn make_room(&mut self) {
        let [silent, rested] = &mut self.idle;
        let kind = if silent.len() > NEWEST || rested.is_empty() {
            silent
        } else {
            rested
        };
        let Some((_, number)) = kind.pop_first() else {
            return;
        };
        let Some(held) = self.held.get_mut(&number) else {
            return;
        };
        held.idle = None;
        held.leaving = held.leave.try_send(()).is_ok();
        self.leaving += usize::from(held.leaving);
    }

    /// As many as may be on their way out at once: those that are and hold their descriptors still count.
    fn make_much_room(&mut self) {
        (self.leaving..LEAVING_MOST).for_each(|_| self.make_room());
    }

    fn staying(&self) -> usize {
        self.held.len() - self.leaving
    }
}

/// What follows an accept that failed, the last of so many in a row: idle clients make room where there is no
/// descriptor left and a pause did not bring one, and nothing is accepted for the time that is returned.
fn after_failed_accept(
    failure: AcceptFailure,
    in_a_row: usize,
    places: &mut Places,
) -> Option<Duration> {
    match failure {
        AcceptFailure::Interrupted | AcceptFailure::PerConnection => {
            in_a_row.is_multiple_of(FAILED_IN_A_ROW).then_some(PAUSE)
        }
        AcceptFailure::DescriptorsExhausted => {
            if in_a_row > 1 {
                places.make_much_room();
            }
            Some(PAUSE)
        }
        AcceptFailure::MemoryExhausted | AcceptFailure::Listener => Some(PAUSE),
    }
}

/// The next connection that the system has taken before the router's end. None: there is none, or it can't
/// be had in time.
async fn next_waiting(listener: &impl Accept, give_up: Instant) -> Option<TcpStream> {
    loop {
        let error = match timeout(LAST_LOOK, listener.accept()).await {
            Ok(Ok(stream)) => return Some(stream),
            Ok(Err(error)) => error,
            Err(_) => return None,
        };
        if Instant::now() >= give_up {
            return None;
        }
        if AcceptFailure::from(&error).is_transient() {
            yield_now().await;
        } else {
            // Clients that have their last answers close meanwhile.
            sleep(LAST_LOOK).await;
        }
    }
}

/// Runs until the router has ended. Past `most` clients, idle ones make room; where all have something open,
/// others wait to be taken until one of them has not.
pub async fn run(
    listener: impl Accept,
    most: usize,
    door: Rc<ClientFrontend>,
    decider: mpsc::Sender<Message>,
    mut phase: watch::Receiver<Phase>,
) {
    let (mut clients, mut places) = (JoinSet::new(), Places::default());
    let (says, mut words) = mpsc::channel(WORDS_MOST);
    let (mut numbers, mut refused, phase_of) =
        (HashMap::new(), RateLimitedLog::default(), phase.clone());
    // After a failed accept: none before then. Clients' words are heard meanwhile, lest they wait with
    // theirs.
    let (mut pause, mut failed_in_a_row) = (None, 0);
    let client = |place| Client {
        door: door.clone(),
        decider: decider.clone(),
        phase: phase_of.clone(),
        place,
    };
    loop {
        let full = places.staying() >= most || places.held.len() >= most + LEAVING_MOST;
        tokio::select! {
            biased;
            _ = phase.wait_for(|phase| *phase == Phase::Ended) => break,
            Some(word) = words.recv() => {
                places.note(word);
                while let Ok(word) = words.try_recv() {
                    places.note(word);
                }
            }
            Some(gone) = clients.join_next_with_id() => {
                let task = match gone {
                    Ok((task, ())) => task,
                    Err(what) => {
                        log::error!("client: {what}");
                        what.id()
                    }
                };
                numbers.remove(&task).into_iter().for_each(|number| places.gone(number));
            }
            () = at(pause), if pause.is_some() => pause = None,
            taken = listener.accept(), if !full && pause.is_none() => match taken {
                Ok(stream) => {
                    let place = places.take(says.clone());
                    let number = place.number;
                    failed_in_a_row = 0;
                    numbers.insert(clients.spawn_local(client(place).run(stream)).id(), number);
                }
                Err(what) => {
                    failed_in_a_row += 1;
                    let wait = after_failed_accept(AcceptFailure::from(&what), failed_in_a_row, &mut places);
                    if wait.is_some() {
                        refused.log(&format!("no connection could be taken: {what}"));
                    } else {
                        log::debug!("a connection failed before it could be taken: {what}");
                    }
                    pause = wait.map(|wait| Instant::now() + wait);
                }
            },
        }
        // One place is kept free for who comes next.
        if places.staying() >= most && places.leaving < LEAVING_MOST {
            places.make_room();
        }
    }
    drop(words);
    // The system has taken connections that wait here: what came on them is owed an end too.
    let give_up = Instant::now() + FAILED_LOOKS;
    for _ in 0..WAITING_TO_BE_TAKEN {
        let Some(stream) = next_waiting(&listener, give_up).await else {
            break;
        };
        clients.spawn_local(client(places.take(says.clone())).run(stream));
    }
    drop(listener);
    let all = async { while clients.join_next().await.is_some() {} };
    let _ = timeout(LAST_WORDS, all).await;
}

#[cfg(test)]
mod tests;
