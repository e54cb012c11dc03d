use super::*;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

/// A busy loop is one that makes so many calls while no time passes.
const BUSY: usize = 10_000;

/// A socket that fails with these errors, one a call (0: it does not); or with the first of them
/// for good.
struct Failing {
    receiving: RefCell<VecDeque<i32>>,
    for_good: bool,
    sending: RefCell<VecDeque<i32>>,
    received: Cell<usize>,
    sent: RefCell<Vec<Vec<u8>>>,
}

impl Failing {
    fn new(receiving: &[i32], for_good: bool, sending: &[i32]) -> Rc<Failing> {
        Rc::new(Failing {
            receiving: RefCell::new(receiving.iter().copied().collect()),
            for_good,
            sending: RefCell::new(sending.iter().copied().collect()),
            received: Cell::new(0),
            sent: RefCell::default(),
        })
    }
}

impl DatagramSocket for Rc<Failing> {
    async fn receive(&self, buffer: &mut [u8]) -> io::Result<(usize, SocketAddr)> {
        self.received.set(self.received.get() + 1);
        assert!(self.received.get() < BUSY, "a busy loop");
        yield_now().await;
        let errno = match &mut *self.receiving.borrow_mut() {
            script if self.for_good => script.front().copied(),
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
        let socket = Failing::new(&[errno], true, &[]);
        let (_sender, outgoing) = channel();
        let (decider, _messages) = mpsc::channel(8);
        let running = run(socket.clone(), peers(), outgoing, decider);
        assert!(
            timeout(Duration::from_secs(1), running).await.is_err(),
            "errno {errno}: it has ended"
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
    let socket = Failing::new(&failures, false, &[]);
    let (_sender, outgoing) = channel();
    let (decider, mut messages) = mpsc::channel(8);
    let come = async {
        match messages.recv().await {
            Some(Message::Peer(0, bytes)) => assert_eq!(*bytes, [7]),
            _ => panic!("no datagram"),
        }
    };
    tokio::select! {
        () = run(socket, peers(), outgoing, decider) => panic!("it has ended"),
        come = timeout(Duration::from_secs(1), come) => come.expect("nothing came"),
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn an_interrupted_send_is_repeated_and_a_failed_one_loses_only_its_datagram() {
    let socket = Failing::new(&[], false, &[libc::EINTR, 0, libc::ENOBUFS, libc::EPERM]);
    let (mut sender, outgoing) = channel();
    let (decider, _messages) = mpsc::channel(8);
    for byte in 1..=4 {
        sender.say(To::All, &[byte]);
    }
    // The actor ends when all senders are dropped, once everything is sent.
    drop(sender);
    run(socket.clone(), peers(), outgoing, decider).await;
    assert_eq!(*socket.sent.borrow(), [[1], [4]]);
}
