//! Takes clients' connections, gives their places to those who ask, and waits for the last answers at the
//! end.

use crate::brief::Brief;
use crate::client::{Client, Door};
use crate::messages::{Message, Place, Word};
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
    fn who_never_asked_goes_first_but_the_newest_then_who_stood_idle_longest() {
        let (says, _words) = mpsc::channel(8);
        let mut places = Places::default();
        let mut taken: Vec<Place> = (0..4 + NEWEST).map(|_| places.take(says.clone())).collect();
        let say = |places: &mut Places, at: usize, idle| {
            places.note(Word { number: taken[at].number, idle, asked: true });
        };
        say(&mut places, 0, false);
        say(&mut places, 1, false);
        say(&mut places, 1, true);
        say(&mut places, 0, true);
        say(&mut places, 2, false);
        let mut left = Vec::new();
        for _ in 0..4 {
            places.make_room();
            left.extend((0..taken.len()).filter(|at| taken[*at].leave.try_recv().is_ok()));
        }
        assert_eq!(left, [3, 1, 0, 4], "the newest only when nobody else is idle");
        assert_eq!(places.staying(), NEWEST, "who has something open stays");
        // Words that crossed ours make nobody else go.
        for idle in [false, true] {
            places.note(Word { number: taken[1].number, idle, asked: true });
            assert_eq!(places.staying(), NEWEST);
        }
        taken.iter().for_each(|place| places.gone(place.number));
        assert_eq!((places.held.len(), places.idle[0].len(), places.idle[1].len()), (0, 0, 0));
        assert_eq!(places.leaving, 0);
    }
}
