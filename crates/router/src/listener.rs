//! Takes clients' connections, gives their places to those who ask, and waits for the last answers at the
//! end.

use crate::brief::Brief;
use crate::client::{Client, Door};
use crate::connection::at;
use crate::messages::{Message, Place, Word};
use crate::phase::Phase;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};

const WAITING_TO_BE_TAKEN: u32 = 1024;
/// After an accept failed, for want of descriptors perhaps.
const PAUSE: Duration = Duration::from_millis(20);
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

pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(WAITING_TO_BE_TAKEN)
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
        self.held.insert(number, Held { leave, idle: None, leaving: false });
        self.note(Word { number, idle: true, asked: false });
        Place { number, leave: told, says }
    }

    fn note(&mut self, word: Word) {
        let Some(held) = self.held.get_mut(&word.number) else { return };
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
        self.note(Word { number, idle: false, asked: false });
        let left = self.held.remove(&number);
        self.leaving -= usize::from(left.is_some_and(|held| held.leaving));
    }

    /// Asks one to leave: who never asked, but for the newest, whose first message may be on its way; else
    /// who has had nothing open for longest. One that has asked for something meanwhile is answered first.
    fn make_room(&mut self) {
        let [silent, rested] = &mut self.idle;
        let kind = if silent.len() > NEWEST || rested.is_empty() { silent } else { rested };
        let Some((_, number)) = kind.pop_first() else { return };
        let Some(held) = self.held.get_mut(&number) else { return };
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

/// Runs until the router has ended. Past `most` clients, idle ones make room; where all have something open,
/// others wait to be taken until one of them has not.
pub async fn run(
    listener: TcpListener,
    most: usize,
    door: Rc<Door>,
    decider: mpsc::Sender<Message>,
    mut phase: watch::Receiver<Phase>,
) {
    let (mut clients, mut places) = (JoinSet::new(), Places::default());
    let (says, mut words) = mpsc::channel(WORDS_MOST);
    let (mut numbers, mut refused, phase_of) = (HashMap::new(), Brief::default(), phase.clone());
    // After a failed accept: none before then. Clients' words are heard meanwhile, lest they wait with
    // theirs.
    let mut pause = None;
    let client =
        |place| Client { door: door.clone(), decider: decider.clone(), phase: phase_of.clone(), place };
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
                Ok((stream, _)) => {
                    let place = places.take(says.clone());
                    let number = place.number;
                    numbers.insert(clients.spawn_local(client(place).run(stream)).id(), number);
                }
                Err(what) => {
                    refused.log(&format!("no connection could be taken: {what}"));
                    places.make_much_room();
                    pause = Some(Instant::now() + PAUSE);
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
    for _ in 0..WAITING_TO_BE_TAKEN {
        let Ok(Ok((stream, _))) = timeout(LAST_LOOK, listener.accept()).await else { break };
        clients.spawn_local(client(places.take(says.clone())).run(stream));
    }
    drop(listener);
    let all = async { while clients.join_next().await.is_some() {} };
    let _ = timeout(LAST_WORDS, all).await;
}

#[cfg(test)]
mod tests;
