use super::*;
use crate::messages::CancellationFlag;
use crate::server_protocol::ForwardedFields;
use chalkhall::interface::Fill;

fn no_fill() -> Fill {
    Fill {
        source: "s".into(),
        rank: 0,
        oldest: None,
        join: false,
        only_held: false,
        parent_keeps: true,
        renew: false,
    }
}

/// Has the system take so many bytes at most; what they are.
fn write(state: &mut State, most: usize) -> String {
    let mut taken = String::new();
    let into = |bytes: &[u8]| {
        let part = &bytes[..bytes.len().min(most)];
        taken = String::from_utf8_lossy(part).into_owned();
        if part.is_empty() {
            Err(io::ErrorKind::WouldBlock.into())
        } else {
            Ok(part.len())
        }
    };
    let result = state.write(Instant::now(), into);
    assert_eq!(result.is_err(), taken.is_empty());
    taken
}

fn ask(id: &'static str, due: Duration, leave_by: Duration) -> Box<Ask> {
    let passed = ForwardedFields {
        id: Bytes::from_static(id.as_bytes()),
        ..ForwardedFields::default()
    };
    let now = Instant::now();
    Box::new(Ask {
        key: (id.into(), 0),
        passed,
        server: "s".into(),
        fill: no_fill(),
        once: false,
        wanted: CancellationFlag::default(),
        due: now + due,
        leave_by: now + leave_by,
    })
}

fn ends(state: &mut State) -> Vec<(String, Outcome)> {
    state
        .ended
        .drain(..)
        .map(|(key, outcome, _, _)| (key.0.to_string(), outcome))
        .collect()
}

#[test]
fn a_server_is_not_blamed_for_our_descriptors() {
    let outcome = |error: io::Error| not_connected(ConnectFailure::from(&error));
    assert_eq!(
        outcome(io::Error::from_raw_os_error(libc::EMFILE)),
        Outcome::NeverSent
    );
    assert_eq!(
        outcome(io::ErrorKind::ConnectionRefused.into()),
        Outcome::Unreachable
    );
    assert_eq!(
        outcome(io::ErrorKind::TimedOut.into()),
        Outcome::Unreachable
    );
}

#[test]
fn only_what_was_written_may_have_run() {
    let (long, none) = (Duration::from_secs(60), Duration::ZERO);
    let mut state = State::default();
    for (id, due, leave_by) in [
        ("a", long, long),
        ("b", long, long),
        ("c", long, none),
        ("d", none, long),
    ] {
        state.take(ConnectionCommand::Ask(ask(id, due, leave_by)));
    }
    state.fill();
    assert_eq!(write(&mut state, 1), "A");
    state.take(ConnectionCommand::Quit(("a".into(), 0)));
    state.take(ConnectionCommand::Quit(("b".into(), 0)));
    state.expire(Instant::now());
    let never = |id: &str| (id.to_owned(), Outcome::NeverSent);
    assert_eq!(
        ends(&mut state),
        [
            ("a".into(), Outcome::Cancelled),
            never("b"),
            never("c"),
            never("d")
        ]
    );
    state.take(ConnectionCommand::Ask(ask("e", long, long)));
    state.writing.clear();
    state.fill();
    assert_eq!(state.writing, "QUIT a\r\n", "before what comes later");
    state.broken(Outcome::NeverSent);
    assert_eq!(ends(&mut state), [never("e")]);
}

/// The system takes nothing while a server hangs: for as long it has not begun, whatever ends it meanwhile.
#[test]
fn what_waits_behind_a_full_socket_has_not_begun() {
    let (long, none) = (Duration::from_secs(60), Duration::ZERO);
    let never = [("a".to_owned(), Outcome::NeverSent)];
    let front = |leave_by| {
        let (mut state, ask) = (State::default(), ask("a", long, leave_by));
        let wanted = ask.wanted.clone();
        state.take(ConnectionCommand::Ask(ask));
        state.fill();
        assert!(state.has_to_write() && state.next_due().is_some());
        (state, wanted)
    };
    // Its client leaves, or has its answer; the grace passes; it is called off; the connection breaks.
    let (mut left, wanted) = front(long);
    wanted.end();
    left.expire(Instant::now());
    let (mut late, _) = front(none);
    late.expire(Instant::now());
    let (mut off, _) = front(long);
    off.take(ConnectionCommand::Quit(("a".into(), 0)));
    let (mut broken, _) = front(long);
    broken.broken(Outcome::NeverSent);
    for mut state in [left, late, off, broken] {
        assert_eq!(ends(&mut state), never);
        state.fill();
        assert!(
            !state.has_to_write() && state.quits.is_empty(),
            "nothing of it goes out any more"
        );
    }
    // From its first byte on it may have run.
    let (mut state, wanted) = front(none);
    assert_eq!(write(&mut state, 1), "A");
    wanted.end();
    state.expire(Instant::now());
    assert!(ends(&mut state).is_empty());
    state.broken(Outcome::NeverSent);
    assert_eq!(ends(&mut state), [("a".to_owned(), Outcome::Broken)]);
}

/// Also where it may not be called off: what waits for a connection goes nowhere once its client has left.
#[test]
fn what_waits_for_a_connection_ends_with_its_client() {
    let long = Duration::from_secs(60);
    let (mut state, asks) = (
        State::default(),
        [ask("a", long, long), ask("b", long, long)],
    );
    let wanted = asks[0].wanted.clone();
    asks.into_iter()
        .for_each(|ask| state.take(ConnectionCommand::Ask(ask)));
    wanted.end();
    state.expire(Instant::now());
    assert_eq!(ends(&mut state), [("a".to_owned(), Outcome::NeverSent)]);
    state.fill();
    assert_eq!(
        state.beginning.map(|ask| ask.key.0.to_string()).as_deref(),
        Some("b")
    );
}

/// The errors by which Linux says that this machine, for a moment, can make no connection at all.
#[test]
fn a_server_is_not_blamed_for_what_this_machine_lacks() {
    use libc::{EADDRNOTAVAIL, EAGAIN, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM};
    for errno in [
        ENFILE,
        ENOBUFS,
        ENOMEM,
        EADDRNOTAVAIL,
        EAGAIN,
        ENETUNREACH,
        ENETDOWN,
    ] {
        let failure = io::Error::from_raw_os_error(errno);
        assert_eq!(
            not_connected(ConnectFailure::from(&failure)),
            Outcome::NeverSent,
            "{failure}"
        );
    }
}

/// A server whose socket takes little at a time: the system moves a part of what is written, and a part of
/// what is read, each time.
#[tokio::test(flavor = "current_thread")]
async fn a_request_and_its_answer_arrive_complete_in_the_smallest_pieces() {
    use tokio::io::AsyncWriteExt;
    const BODY: usize = 200_000;
    let inside = async {
        let listener = tokio::net::TcpSocket::new_v4().unwrap();
        listener.set_recv_buffer_size(1).unwrap();
        listener
            .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .unwrap();
        let listener = listener.listen(1).unwrap();
        let (orders, receiver) = mpsc::channel(8);
        let (server, mut reports) = mpsc::channel(8);
        let places = std::sync::Arc::new(tokio::sync::Semaphore::new(1));
        let connection = Connection {
            number: 1,
            dial: listener.local_addr().unwrap(),
            connect_timeout: Duration::from_secs(10),
            orders: receiver,
            server,
            _place: places.try_acquire_owned().unwrap(),
        };
        let running = tokio::task::spawn_local(connection.run());
        let long = Duration::from_secs(60);
        let mut ask = ask("a", long, long);
        let body: Vec<u8> = (0..BODY).map(|n| (n % 251) as u8).collect();
        ask.passed.body = body.clone().into();
        orders.send(ConnectionCommand::Ask(ask)).await.unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut line = Vec::new();
        while !line.ends_with(b"\r\n") {
            line.push(stream.read_u8().await.unwrap());
        }
        assert!(
            line.starts_with(b"ASK a ") && line.ends_with(b" 200000\r\n"),
            "{line:?}"
        );
        let mut read = vec![0; BODY + 2];
        // Many reads of a few bytes; the writer meets a full socket again and again.
        for piece in read.chunks_mut(97) {
            stream.read_exact(piece).await.unwrap();
        }
        assert!(read == [&body[..], b"\r\n"].concat(), "not what was sent");
        for byte in b"a OK tell=hit 5\r\nhello\r\n" {
            stream.write_all(&[*byte]).await.unwrap();
            tokio::task::yield_now().await;
        }
        let ended = loop {
            match reports.recv().await.unwrap() {
                ServerCommand::Connection(
                    1,
                    ConnectionEvent::Ended {
                        outcome, answer, ..
                    },
                ) => break (outcome, answer),
                ServerCommand::Connection(1, ConnectionEvent::Up) => {}
                _ => panic!("another report"),
            }
        };
        assert_eq!(
            (ended.0, ended.1.map(|answer| answer.body)),
            (Outcome::Served, Some("hello".into()))
        );
        drop(orders);
        while reports.recv().await.is_some() {}
        running.await.unwrap();
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}

/// The server is told of the time that is left when the first byte leaves, however long the line waited for
/// that, and of the age that was allowed at the decision; the rest of a line that has begun is not worded again.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_line_tells_the_time_left_as_its_first_byte_leaves() {
    let ms = Duration::from_millis;
    let mut state = State::default();
    let mut late = ask("a", ms(1000), ms(800));
    late.fill.oldest = Some(Duration::from_micros(50_900));
    state.take(ConnectionCommand::Ask(late));
    tokio::time::advance(Duration::from_micros(300_500)).await;
    state.fill();
    // The system takes nothing of it for a while.
    assert_eq!(write(&mut state, 0), "");
    tokio::time::advance(ms(400)).await;
    let line = "ASK a cls=,item=,chunk=,limit=299,maxage=50 0\r\n\r\n";
    assert_eq!(write(&mut state, 20), line[..20]);
    tokio::time::advance(ms(200)).await;
    state.fill();
    assert_eq!(write(&mut state, 1000), line[20..]);
    assert!(!state.has_to_write());
}

/// The least that a line can tell of is a millisecond: it is told while there is any time left, and what has
/// none left does not begin.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn what_has_no_time_left_does_not_begin() {
    let mut state = State::default();
    for (id, due) in [("a", 300), ("b", 299)] {
        state.take(ConnectionCommand::Ask(ask(
            id,
            Duration::from_micros(due),
            Duration::from_secs(1),
        )));
    }
    tokio::time::advance(Duration::from_micros(299)).await;
    state.expire(Instant::now());
    assert_eq!(ends(&mut state), [("b".to_owned(), Outcome::NeverSent)]);
    state.fill();
    assert!(write(&mut state, 1000).contains(",limit=1 "));
}

/// How a connect ends that fails with these first, and how often it was tried, in how long.
async fn connected(failures: &[i32]) -> (bool, usize, Duration) {
    let (begin, mut tries) = (Instant::now(), 0);
    let made = connect_with(|| {
        tries += 1;
        let failure = failures
            .get(tries - 1)
            .map(|errno| io::Error::from_raw_os_error(*errno));
        std::future::ready(failure.map_or(Ok(()), Err))
    });
    (made.await.is_ok(), tries, begin.elapsed())
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_connect_is_tried_again_where_nothing_speaks_against_it() {
    use libc::{ECONNREFUSED, EINTR, ENOBUFS};
    assert_eq!(connected(&[EINTR, EINTR]).await, (true, 3, Duration::ZERO));
    assert_eq!(
        connected(&[EINTR; 99]).await,
        (false, 1 + INTERRUPTIONS_MOST, Duration::ZERO)
    );
    // Once more, a moment later; after that others decide.
    let (made, tries, took) = connected(&[ENOBUFS]).await;
    assert!(made && tries == 2 && took >= LOCAL_RETRY);
    assert!(matches!(connected(&[ENOBUFS; 99]).await, (false, 2, _)));
    assert_eq!(connected(&[ECONNREFUSED]).await, (false, 1, Duration::ZERO));
}

/// After a hold-up a connection lets other tasks read before its attempt begins: what they order of it
/// meanwhile finds room in its mailbox.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_connection_takes_orders_while_it_lets_others_catch_up() {
    let inside = async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (to_connection, orders) = mpsc::channel(4);
        let (server, _reports) = mpsc::channel(8);
        let place = std::sync::Arc::new(tokio::sync::Semaphore::new(1))
            .try_acquire_owned()
            .unwrap();
        let (number, dial) = (1, listener.local_addr().unwrap());
        let connect_timeout = Duration::from_secs(60);
        scheduling_delay::before_wait();
        tokio::time::advance(Duration::from_millis(100)).await;
        let connection = Connection {
            number,
            dial,
            connect_timeout,
            orders,
            server,
            _place: place,
        };
        tokio::task::spawn_local(connection.run());
        let long = Duration::from_secs(60);
        for turn in 0..200 {
            let order = ConnectionCommand::Ask(ask("a", long, long));
            assert!(
                to_connection.try_send(order).is_ok(),
                "no room in turn {turn}"
            );
            tokio::task::yield_now().await;
        }
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}
