//! Takes clients' connections, and waits for the last answers at the end.

use crate::client::{Client, Door};
use crate::decider::Message;
use crate::phase::Phase;
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

pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(WAITING_TO_BE_TAKEN)
}

/// Runs until the router has ended. Clients past `most` wait to be taken until one of the others has gone.
pub async fn run(
    listener: TcpListener,
    most: usize,
    door: Rc<Door>,
    decider: mpsc::Sender<Message>,
    mut phase: watch::Receiver<Phase>,
) {
    let mut clients = JoinSet::new();
    loop {
        let ended = phase.clone();
        tokio::select! {
            taken = listener.accept(), if clients.len() < most => match taken {
                Ok((stream, _)) => {
                    let client = Client { door: door.clone(), decider: decider.clone(), phase: ended };
                    clients.spawn_local(client.run(stream));
                }
                Err(what) => {
                    log::warn!("no connection could be taken: {what}");
                    sleep(PAUSE).await;
                }
            },
            Some(gone) = clients.join_next() => {
                if let Err(what) = gone {
                    log::error!("client: {what}");
                }
            }
            _ = phase.wait_for(|phase| *phase == Phase::Ended) => break,
        }
    }
    let all = async { while clients.join_next().await.is_some() {} };
    let _ = timeout(LAST_WORDS, all).await;
}
