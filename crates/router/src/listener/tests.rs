use super::binding::MAX_BIND_ATTEMPTS;
use super::connection_slots::MAX_EVICTING;
use super::*;
use crate::client_connection::test_support::frontend;
use crate::messages::ConnectionSlot;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The router ends while connections with requests are in the accept queue: each request is
/// answered.
#[tokio::test(flavor = "current_thread")]
async fn connections_in_the_accept_queue_are_answered_as_the_router_ends() {
    let inside = async {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
        let at = listener.local_addr().unwrap();
        let (_phase, phase_receiver) = watch::channel(Phase::Ended);
        let (decider, _messages) = mpsc::channel(8);
        let request = "*5\r\n$3\r\nREQ\r\n$1\r\n1\r\n$4\r\npage\r\n$48\r\n\
            i=00000000000000a1,d=1500,o=00000000000000b1,m=9\r\n$0\r\n\r\n";
        let mut clients = Vec::new();
        for _ in 0..3 {
            let mut client = tokio::net::TcpStream::connect(at).await.unwrap();
            client.write_all(request.as_bytes()).await.unwrap();
            clients.push(client);
        }
        run(listener, 100, frontend(None), decider, phase_receiver).await;
        for mut client in clients {
            let mut received = String::new();
            client
                .read_to_string(&mut received)
                .await
                .expect("the connection is closed without a reset");
            assert_eq!(
                received,
                "*4\r\n$1\r\n1\r\n$3\r\nNAK\r\n$0\r\n\r\n$0\r\n\r\n"
            );
        }
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}

/// A listener that fails with the errnos of a script, one for each call, before it accepts.
struct FailingListener {
    listener: TcpListener,
    script: RefCell<VecDeque<i32>>,
    calls: Rc<Cell<usize>>,
}

impl FailingListener {
    async fn new(script: &[i32]) -> (FailingListener, SocketAddr, Rc<Cell<usize>>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (at, calls) = (listener.local_addr().unwrap(), Rc::new(Cell::new(0)));
        let script = RefCell::new(script.iter().copied().collect());
        (
            FailingListener {
                listener,
                script,
                calls: calls.clone(),
            },
            at,
            calls,
        )
    }
}

impl Accept for FailingListener {
    async fn accept(&self) -> io::Result<TcpStream> {
        self.calls.set(self.calls.get() + 1);
        if let Some(errno) = self.script.borrow_mut().pop_front() {
            return Err(io::Error::from_raw_os_error(errno));
        }
        Accept::accept(&self.listener).await
    }
}

/// The test's ends of a running listener's channels.
struct Harness {
    _phase: watch::Sender<Phase>,
    _messages: mpsc::Receiver<Message>,
}

fn start(listener: FailingListener, phase: Phase) -> (Harness, impl Future<Output = ()>) {
    let (_phase, phase_receiver) = watch::channel(phase);
    let (decider, _messages) = mpsc::channel(8);
    (
        Harness { _phase, _messages },
        run(listener, 100, frontend(None), decider, phase_receiver),
    )
}

/// The time until a connecting client is answered.
async fn answered_after(script: &[i32]) -> Duration {
    let (listener, at, _) = FailingListener::new(script).await;
    let (_harness, running) = start(listener, Phase::Serving);
    let running = tokio::task::spawn_local(running);
    let mut client = TcpStream::connect(at).await.unwrap();
    let begin = Instant::now();
    client
        .write_all(b"*2\r\n$6\r\nHEALTH\r\n$1\r\n1\r\n")
        .await
        .unwrap();
    let mut received = [0; 4];
    client.read_exact(&mut received).await.unwrap();
    running.abort();
    begin.elapsed()
}

/// Time is paused: it advances only when all tasks wait, to the end of a pause.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_connection_that_fails_as_it_is_accepted_delays_no_other() {
    let inside = async {
        use libc::*;
        let per_connection = [
            ECONNABORTED,
            EPERM,
            EPROTO,
            ENETDOWN,
            ENOPROTOOPT,
            EHOSTDOWN,
            ENONET,
            EHOSTUNREACH,
            EOPNOTSUPP,
            ENETUNREACH,
            EINTR,
        ];
        for errno in per_connection {
            assert_eq!(
                answered_after(&[errno]).await,
                Duration::ZERO,
                "errno {errno}"
            );
        }
        assert_eq!(answered_after(&per_connection).await, Duration::ZERO);
        for errno in [EMFILE, ENFILE, ENOBUFS, ENOMEM] {
            assert!(
                answered_after(&[errno]).await >= ACCEPT_PAUSE,
                "errno {errno}"
            );
        }
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}

/// The router ends while connections are in the accept queue, and the first accept fails: they are
/// answered nevertheless.
#[tokio::test(flavor = "current_thread")]
async fn a_failed_accept_as_the_router_ends_loses_no_other_connection() {
    let inside = async {
        for errno in [libc::ECONNABORTED, libc::EINTR, libc::ENFILE, libc::ENOBUFS] {
            let (listener, at, _) = FailingListener::new(&[errno]).await;
            let mut client = TcpStream::connect(at).await.unwrap();
            client
                .write_all(b"*2\r\n$6\r\nHEALTH\r\n$1\r\n1\r\n")
                .await
                .unwrap();
            let (_harness, running) = start(listener, Phase::Ended);
            running.await;
            let mut received = String::new();
            client
                .read_to_string(&mut received)
                .await
                .expect("the connection is closed without a reset");
            assert!(received.contains("RED"), "errno {errno}: {received:?}");
        }
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}

/// Closing an idle connection frees a descriptor, which helps against no other failure.
#[test]
fn idle_connections_are_evicted_only_for_descriptors() {
    use AcceptFailure::*;
    let evicted = |failure, consecutive_failures| {
        let (status_updates, _receiver) = mpsc::channel(8);
        let mut slots = ConnectionSlots::default();
        let _allocated: Vec<ConnectionSlot> = (0..60)
            .map(|_| slots.take(status_updates.clone()))
            .collect();
        let pause = after_failed_accept(failure, consecutive_failures, &mut slots);
        (pause, 60 - slots.not_evicting())
    };
    for failure in [Interrupted, PerConnection] {
        assert_eq!(evicted(failure, 1), (None, 0), "{failure:?}");
        assert_eq!(
            evicted(failure, PAUSE_AFTER_FAILURES),
            (Some(ACCEPT_PAUSE), 0),
            "{failure:?}"
        );
    }
    // The shortage may be temporary: the first failure only causes a pause.
    assert_eq!(evicted(DescriptorsExhausted, 1), (Some(ACCEPT_PAUSE), 0));
    assert_eq!(
        evicted(DescriptorsExhausted, 2),
        (Some(ACCEPT_PAUSE), MAX_EVICTING)
    );
    assert_eq!(evicted(MemoryExhausted, 2), (Some(ACCEPT_PAUSE), 0));
    assert_eq!(evicted(Listener, 2), (Some(ACCEPT_PAUSE), 0));
}

/// Whatever error persists, accept is not called in a busy loop.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn accepts_that_keep_failing_are_retried_at_a_bounded_rate() {
    let inside = async {
        for errno in [
            libc::ECONNABORTED,
            libc::EINTR,
            libc::EMFILE,
            libc::ENOMEM,
            libc::EBADF,
        ] {
            let (listener, _, calls) = FailingListener::new(&vec![errno; 100_000]).await;
            let (_harness, running) = start(listener, Phase::Serving);
            assert!(timeout(Duration::from_secs(1), running).await.is_err());
            let max_calls = PAUSE_AFTER_FAILURES * 51;
            assert!(
                (50..=max_calls).contains(&calls.get()),
                "errno {errno}: {} calls in 1 s",
                calls.get()
            );
        }
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn binding_is_retried_for_a_second_at_most_while_a_resource_is_unavailable() {
    let tries = async |errno: i32, failures: usize| {
        let (begin, mut calls) = (Instant::now(), 0);
        let bound = bind_with(|| {
            calls += 1;
            if calls > failures {
                Ok(())
            } else {
                Err(io::Error::from_raw_os_error(errno))
            }
        });
        (bound.await.is_ok(), calls, begin.elapsed())
    };
    for errno in [
        libc::ENFILE,
        libc::ENOBUFS,
        libc::EADDRNOTAVAIL,
        libc::EINTR,
    ] {
        let (bound, calls, _) = tries(errno, 2).await;
        assert_eq!((bound, calls), (true, 3), "errno {errno}");
        let (bound, calls, took) = tries(errno, usize::MAX).await;
        assert_eq!(
            (bound, calls),
            (false, MAX_BIND_ATTEMPTS as usize),
            "errno {errno}"
        );
        assert!(took <= Duration::from_secs(1), "{took:?}");
    }
    assert_eq!(tries(libc::EADDRINUSE, 2).await, (false, 1, Duration::ZERO));
}

/// Lets all other tasks run without advancing time.
async fn run_other_tasks() {
    for _ in 0..256 {
        yield_now().await;
    }
}

/// The process is delayed during shutdown until the time for its connections is over: a request
/// that arrived meanwhile on an idle connection is answered before the connection is closed. Time
/// advances only where the test says so.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn connections_are_polled_after_the_process_was_delayed_during_shutdown() {
    use std::io::{Read, Write};
    let inside = async {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.unwrap();
        let address = listener.local_addr().unwrap();
        let mut client = std::net::TcpStream::connect(address).unwrap();
        let (phase, phase_receiver) = watch::channel(Phase::Serving);
        let (decider, _messages) = mpsc::channel(8);
        // As in the real process, the listener is polled before its connections.
        let ends = async {
            run_other_tasks().await;
            phase.send_replace(Phase::Ended);
            run_other_tasks().await;
            // The listener has found the accept queue empty, and waits for the open connections.
            tokio::time::advance(FINAL_ACCEPT_TIMEOUT).await;
            run_other_tasks().await;
            let request = "*5\r\n$3\r\nREQ\r\n$1\r\n1\r\n$4\r\npage\r\n$48\r\n\
                i=00000000000000a1,d=1500,o=00000000000000b1,m=9\r\n$0\r\n\r\n";
            client.write_all(request.as_bytes()).unwrap();
            tokio::time::advance(FINAL_WRITE_TIMEOUT).await;
            client
        };
        let running = run(listener, 100, frontend(None), decider, phase_receiver);
        let ((), mut client) = tokio::join!(running, ends);
        let timeout = Some(Duration::from_secs(5));
        client.set_read_timeout(timeout).unwrap();
        let mut received = String::new();
        let read = client.read_to_string(&mut received);
        read.expect("the connection is closed without a reset");
        assert_eq!(
            received,
            "*4\r\n$1\r\n1\r\n$3\r\nNAK\r\n$0\r\n\r\n$0\r\n\r\n"
        );
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}
