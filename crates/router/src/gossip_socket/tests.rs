use super::*;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// This many calls while no time passes count as a busy loop.
const BUSY_LOOP_CALLS: usize = 10_000;

/// A socket that fails with the given errors, one per call (0: the call succeeds), or permanently
/// with the first one.
struct FailingSocket {
    receiving: RefCell<VecDeque<i32>>,
    is_permanent: bool,
    sending: RefCell<VecDeque<i32>>,
    received: Cell<usize>,
    sent: RefCell<Vec<Vec<u8>>>,
}

impl FailingSocket {
    fn new(receiving: &[i32], is_permanent: bool, sending: &[i32]) -> Rc<FailingSocket> {
        Rc::new(FailingSocket {
            receiving: RefCell::new(receiving.iter().copied().collect()),
            is_permanent,
            sending: RefCell::new(sending.iter().copied().collect()),
            received: Cell::new(0),
            sent: RefCell::default(),
        })
    }
}

impl DatagramSocket for Rc<FailingSocket> {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.received.set(self.received.get() + 1);
        assert!(self.received.get() < BUSY_LOOP_CALLS, "a busy loop");
        yield_now().await;
        let errno = match &mut *self.receiving.borrow_mut() {
            script if self.is_permanent => script.front().copied(),
            script => script.pop_front(),
        };
        if let Some(errno) = errno {
            return Err(io::Error::from_raw_os_error(errno));
        }
        sleep(Duration::from_millis(1)).await;
        buffer[0] = 7;
        Ok((1, peer()))
    }

    fn send(&self, bytes: &[u8], _: SocketAddr) -> io::Result<usize> {
        if let Some(errno) = self
            .sending
            .borrow_mut()
            .pop_front()
            .filter(|errno| *errno != 0)
        {
            return Err(io::Error::from_raw_os_error(errno));
        }
        self.sent.borrow_mut().push(bytes.to_vec());
        Ok(bytes.len())
    }
}

fn peer() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn peers() -> Peers {
    Peers {
        listen: peer(),
        all: peer(),
        each: vec![peer()],
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn no_receive_failure_makes_a_busy_loop() {
    for errno in [
        libc::EPERM,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EINTR,
        libc::ECONNREFUSED,
    ] {
        let socket = FailingSocket::new(&[errno], true, &[]);
        let (_sender, outbound) = channel();
        let (decider, _messages) = mpsc::channel(8);
        let running = run(socket.clone(), peers(), outbound, decider);
        assert!(
            timeout(Duration::from_secs(1), running).await.is_err(),
            "errno {errno}: the actor has stopped"
        );
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn datagrams_are_received_after_any_failure() {
    let failures = [
        libc::ECONNREFUSED,
        libc::EINTR,
        libc::ENOBUFS,
        libc::EPERM,
        libc::ENOMEM,
    ];
    let socket = FailingSocket::new(&failures, false, &[]);
    let (_sender, outbound) = channel();
    let (decider, mut messages) = mpsc::channel(8);
    let receive = async {
        match messages.recv().await {
            Some(Message::PeerDatagram(0, bytes)) => assert_eq!(*bytes, [7]),
            _ => panic!("unexpected message"),
        }
    };
    tokio::select! {
        () = run(socket, peers(), outbound, decider) => panic!("the actor has stopped"),
        received = timeout(Duration::from_secs(1), receive) => received.expect("no datagram"),
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn an_interrupted_send_is_repeated_and_a_failed_one_loses_only_its_datagram() {
    let socket = FailingSocket::new(&[], false, &[libc::EINTR, 0, libc::ENOBUFS, libc::EPERM]);
    let (mut sender, outbound) = channel();
    let (decider, _messages) = mpsc::channel(8);
    for byte in 1..=4 {
        sender.send(Destination::All, &[byte]);
    }
    // The actor stops when all senders are dropped, after everything is sent.
    drop(sender);
    run(socket.clone(), peers(), outbound, decider).await;
    assert_eq!(*socket.sent.borrow(), [[1], [4]]);
}
