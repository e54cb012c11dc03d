//! Takes clients' connections, gives their places to those who ask, and waits for the last answers at the end.

use crate::brief::Brief;
use crate::client::{Client, Door};
use crate::decider::Message;
use crate::phase::Phase;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

const WAITING_TO_BE_TAKEN: u32 = 1024;
/// After an accept failed, for want of descriptors perhaps.
const PAUSE: Duration = Duration::from_millis(20);
/// For the last answers to be written.
const LAST_WORDS: Duration = Duration::from_millis(200);
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

/// A client's place: through it the client says whether it has anything open, and hears that another needs it.
pub struct Place {
    pub number: u64,
    pub leave: mpsc::Receiver<()>,
    pub says: mpsc::Sender<Word>,
}

/// What a client says of itself when it changes: nothing is open, or something; it has asked for something once.
#[derive(Clone, Copy, Debug)]
pub struct Word {
    pub number: u64,
    pub idle: bool,
    pub asked: bool,
}

struct Held {
    leave: mpsc::Sender<()>,
    /// Where it stands among the idle.
    idle: Option<(bool, u64)>,
    leaving: bool,
}

/// Who holds the places. Connections that carry nothing must not keep out who asks.
#[derive(Default)]
struct Places {
    held: HashMap<u64, Held>,
    /// In the order in which they go: first who never asked, then who has had nothing open for longest.
    idle: BTreeMap<(bool, u64), u64>,
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
        self.leaving -= usize::from(std::mem::take(&mut held.leaving));
        if let Some(before) = held.idle.take() {
            self.idle.remove(&before);
        }
        if word.idle {
            self.last += 1;
            held.idle = Some((word.asked, self.last));
            self.idle.insert((word.asked, self.last), word.number);
        }
    }

    fn gone(&mut self, number: u64) {
        self.note(Word { number, idle: false, asked: false });
        self.held.remove(&number);
    }

    /// Asks whoever goes first to leave. One that has been asked something meanwhile stays.
    fn make_room(&mut self) {
        let Some((_, number)) = self.idle.pop_first() else { return };
        let Some(held) = self.held.get_mut(&number) else { return };
        held.idle = None;
        held.leaving = held.leave.try_send(()).is_ok();
        self.leaving += usize::from(held.leaving);
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
    let (mut numbers, mut refused) = (HashMap::new(), Brief::default());
    loop {
        let ended = phase.clone();
        let full = places.staying() >= most || places.held.len() >= most + LEAVING_MOST;
        tokio::select! {
            taken = listener.accept(), if !full => match taken {
                Ok((stream, _)) => {
                    let place = places.take(says.clone());
                    let number = place.number;
                    let client = Client { door: door.clone(), decider: decider.clone(), phase: ended, place };
                    numbers.insert(clients.spawn_local(client.run(stream)).id(), number);
                }
                Err(what) => {
                    refused.log(&format!("no connection could be taken: {what}"));
                    (0..LEAVING_MOST).for_each(|_| places.make_room());
                    sleep(PAUSE).await;
                }
            },
            Some(word) = words.recv() => places.note(word),
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
            _ = phase.wait_for(|phase| *phase == Phase::Ended) => break,
        }
        // One place is kept free for who comes next.
        if places.staying() >= most && places.leaving < LEAVING_MOST {
            places.make_room();
        }
    }
    drop(words);
    let all = async { while clients.join_next().await.is_some() {} };
    let _ = timeout(LAST_WORDS, all).await;
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn who_never_asked_goes_first_then_who_stood_idle_longest() {
        let (says, _words) = mpsc::channel(8);
        let mut places = Places::default();
        let mut taken: Vec<Place> = (0..4).map(|_| places.take(says.clone())).collect();
        let say = |places: &mut Places, at: usize, idle| {
            places.note(Word { number: taken[at].number, idle, asked: true });
        };
        say(&mut places, 0, false);
        say(&mut places, 1, false);
        say(&mut places, 1, true);
        say(&mut places, 0, true);
        say(&mut places, 2, false);
        let mut left = Vec::new();
        for _ in 0..5 {
            places.make_room();
            left.extend((0..4).filter(|at| taken[*at].leave.try_recv().is_ok()));
        }
        assert_eq!((left, places.staying()), (vec![3, 1, 0], 1), "who has something open stays");
        // One that was asked something before it heard counts as staying.
        places.note(Word { number: taken[1].number, idle: false, asked: true });
        assert_eq!(places.staying(), 2);
        (0..4).for_each(|at| places.gone(taken[at].number));
        assert_eq!((places.held.len(), places.idle.len(), places.leaving), (0, 0, 0));
    }
}
