use super::pooled_connection::ConnectionState;
use super::*;
use crate::messages::fixtures::{attempt_id, attempt_request};
use bytes::Bytes;

const TIMEOUT: Duration = Duration::from_secs(1);

/// The actor of an unreachable server with this many connection slots, and the other ends of its
/// channels.
fn server_actor(slots: usize) -> (ServerActor, impl Sized) {
    let (connection_events, from_connections) = mpsc::channel(8);
    let (sender, commands) = mpsc::channel(8);
    let (decider, messages) = mpsc::channel(8);
    let server = ServerActor {
        name: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 9)),
        max_connections: 4,
        max_streams: 100,
        connect_timeout: TIMEOUT,
        idle_timeout: TIMEOUT,
        commands,
        connection_events,
        decider,
        slots: Rc::new(ConnectionSlots::new(slots)),
        pool: ConnectionPool::default(),
    };
    (server, (from_connections, sender, messages))
}

fn request(id: &str) -> Box<AttemptRequest> {
    attempt_request(id, TIMEOUT, TIMEOUT)
}

/// Reports that the first attempt of this request was served on this connection.
async fn report_served(server: &mut ServerActor, connection: u64, id: &str) {
    let ended = AttemptEnded {
        attempt: attempt_id(id, 0),
        outcome: Outcome::Served,
        answer: None,
    };
    let ended = ConnectionAttemptEnded {
        ended,
        is_silent: false,
    };
    let event = ConnectionEvent::AttemptEnded(ended);
    let number = connection;
    server
        .handle(ServerCommand::Connection { number, event })
        .await;
}

#[tokio::test(flavor = "current_thread")]
async fn attempts_of_a_request_use_different_connections() {
    let test = async {
        let (mut server, _mailboxes) = server_actor(3);
        server.open_connection();
        server.pool.connections[0].state = ConnectionState::Established;
        assert!(server.try_send(request("a")));
        assert_eq!(
            server.pool.connections.len(),
            1,
            "the connection was not shared"
        );
        report_served(&mut server, 1, "a").await;
        assert!(server.try_send(request("a")));
        let open: Vec<usize> = server
            .pool
            .connections
            .iter()
            .map(|connection| connection.open_attempts)
            .collect();
        assert_eq!(
            open,
            [0, 1],
            "a late answer to the first attempt would be taken for the answer to the second"
        );
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// An attempt arrives after the idle timeout of the connection, before its timer has fired: on this
/// connection it could cross the server's close.
#[tokio::test(flavor = "current_thread")]
async fn a_connection_past_its_idle_timeout_carries_no_attempt_before_it_is_closed() {
    let test = async {
        let (mut server, _mailboxes) = server_actor(3);
        assert!(server.try_send(request("a")));
        server.pool.connections[0].state = ConnectionState::Established;
        report_served(&mut server, 1, "a").await;
        assert_eq!(
            server.pool.next_idle_deadline(TIMEOUT),
            Some(server.pool.connections[0].last_used_at + TIMEOUT),
            "the idle deadline differs from the timeout"
        );
        server.pool.connections[0].last_used_at = Instant::now() - TIMEOUT;
        assert!(server.try_send(request("b")));
        let open: Vec<(u64, usize)> = server
            .pool
            .connections
            .iter()
            .map(|connection| (connection.number, connection.open_attempts))
            .collect();
        assert_eq!(open, [(2, 1)]);
        // A connection with an open attempt is in use, however long ago the last one was sent.
        server.pool.connections[0].last_used_at = Instant::now() - TIMEOUT;
        assert!(server.try_send(request("c")));
        assert_eq!(server.pool.connections[0].open_attempts, 2);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// The connections to all servers together stay within the slots; an attempt that would need
/// another one is not sent.
#[tokio::test(flavor = "current_thread")]
async fn no_connection_is_opened_without_a_free_slot() {
    let test = async {
        let (mut one, _mailboxes) = server_actor(2);
        let (mut other, _other_mailboxes) = server_actor(2);
        other.slots = one.slots.clone();
        assert!(one.try_send(request("a")) && other.try_send(request("b")));
        assert!(one.try_send(request("c")), "the connection was not shared");
        one.max_streams = 2;
        assert!(
            !one.try_send(request("d")),
            "sent without a free slot or a usable connection"
        );
        assert_eq!(
            (one.pool.connections.len(), one.pool.open_attempts.len()),
            (1, 2)
        );
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// While the mailbox of a connection is full, further attempts are not sent. A cancel command that
/// does not fit is not needed, because a cancelled attempt is never written.
#[tokio::test(flavor = "current_thread")]
async fn attempts_beyond_a_full_mailbox_and_cancelled_ones_are_never_sent() {
    use tokio::io::AsyncReadExt;
    let test = async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (mut server, _mailboxes) = server_actor(3);
        let (decider, mut messages) = mpsc::channel(8);
        let (connection_events, mut reports) = mpsc::channel(1024);
        (server.decider, server.connection_events) = (decider, connection_events);
        (server.address, server.max_streams, server.max_connections) =
            (listener.local_addr().unwrap(), 1000, 1);
        let mut cancellations = Vec::new();
        for n in 0..CONNECTION_MAILBOX_CAPACITY {
            let mut request = request("a");
            request.attempt.number = n;
            request.forwarded.id = Bytes::from(format!("a{n}"));
            cancellations.push(request.cancellation.clone());
            server.handle(ServerCommand::Send(request)).await;
        }
        assert_eq!(
            (
                server.pool.connections[0].commands.capacity(),
                server.pool.open_attempts.len()
            ),
            (0, CONNECTION_MAILBOX_CAPACITY)
        );
        server.handle(ServerCommand::Send(request("b"))).await;
        let Ok(Message::AttemptEnded(ended)) = messages.try_recv() else {
            panic!("the attempt was not reported")
        };
        assert_eq!(
            (&*ended.attempt.request, ended.outcome),
            ("b", Outcome::NeverSent)
        );
        // The flag of the request is cancelled; the command does not fit into the mailbox.
        cancellations[7].cancel();
        server
            .handle(ServerCommand::Cancel(attempt_id("a", 7)))
            .await;
        assert_eq!(
            server.pool.connections[0].commands.capacity(),
            0,
            "the mailbox accepted the cancel command"
        );
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut read = Vec::new();
        let last = format!("ASK a{} ", CONNECTION_MAILBOX_CAPACITY - 1);
        while !read.windows(last.len()).any(|part| part == last.as_bytes())
            || !read.ends_with(b"\r\n\r\n")
        {
            assert!(stream.read_buf(&mut read).await.unwrap() > 0);
        }
        let text = String::from_utf8(read).unwrap();
        assert_eq!(text.matches("ASK").count(), CONNECTION_MAILBOX_CAPACITY - 1);
        assert!(
            !text.contains("ASK a7 ") && !text.contains("QUIT"),
            "{text}"
        );
        let mut never_sent = Vec::new();
        while let Ok(event) = reports.try_recv() {
            if let ServerCommand::Connection {
                event: ConnectionEvent::AttemptEnded(ConnectionAttemptEnded { ended, .. }),
                ..
            } = event
            {
                never_sent.push((ended.attempt.number, ended.outcome));
            }
        }
        assert_eq!(never_sent, [(7, Outcome::NeverSent)]);
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// An actor that stops drops its connections and the attempts on them.
#[tokio::test(flavor = "current_thread")]
async fn an_actor_with_a_connection_or_an_open_attempt_does_not_stop() {
    let test = async {
        let (mut server, _mailboxes) = server_actor(3);
        assert!(server.pool.is_empty());
        assert!(server.try_send(request("a")));
        assert!(!server.pool.is_empty(), "a connection with an open attempt");
        report_served(&mut server, 1, "a").await;
        assert!(!server.pool.is_empty(), "an idle connection");
        assert!(server.try_send(request("b")));
        server.pool.connections.clear();
        assert!(
            !server.pool.is_empty(),
            "an attempt whose end is not reported yet"
        );
        report_served(&mut server, 1, "b").await;
        assert!(server.pool.is_empty());
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Accepts a connection and answers one attempt on it.
async fn answer_once(listener: &tokio::net::TcpListener) -> tokio::net::TcpStream {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut read = Vec::new();
    while !read.ends_with(b"\r\n") {
        assert!(stream.read_buf(&mut read).await.unwrap() > 0);
    }
    stream.write_all(b"x OK tell=hit 1\r\nx\r\n").await.unwrap();
    stream
}

/// Idle connections to many servers take all slots. The one that was idle for longest is closed, so
/// that another server can be connected to.
#[tokio::test(flavor = "current_thread")]
async fn the_longest_idle_connection_of_all_servers_is_closed_when_slots_run_low() {
    use tokio::io::AsyncReadExt;
    let test = async {
        let (decider, mut messages) = mpsc::channel(8);
        let slots = Rc::new(ConnectionSlots::new(2));
        let actors = ServerActorFactory {
            max_streams: 100,
            connect_timeout: TIMEOUT,
            idle_timeout: TIMEOUT * 60,
            decider,
            slots,
        };
        let mut streams = Vec::new();
        let mut senders = Vec::new();
        for name in ["first", "second", "third"] {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let commands = actors.spawn(name.into(), listener.local_addr().unwrap(), 1);
            assert!(commands.try_send(ServerCommand::Send(request("x"))).is_ok());
            streams.push(answer_once(&listener).await);
            let Some(Message::AttemptEnded(ended)) = messages.recv().await else {
                panic!("{name}: no attempt ended")
            };
            assert_eq!(ended.outcome, Outcome::Served, "{name}");
            senders.push(commands);
            if name == "second" {
                // Both slots are taken by idle connections.
                let closed = tokio::time::timeout(TIMEOUT * 10, streams[0].read(&mut [0; 8])).await;
                assert_eq!(
                    closed.expect("the first connection is still open").unwrap(),
                    0
                );
                assert_eq!(
                    streams[1].try_read(&mut [0; 8]).unwrap_err().kind(),
                    std::io::ErrorKind::WouldBlock
                );
                while actors.slots.available() == 0 {
                    tokio::task::yield_now().await;
                }
            }
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Connects fail locally while requests are sent at a high rate: TCP has no route to the broadcast
/// address of the loopback network (ENETUNREACH).
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn connects_that_fail_locally_are_retried_at_a_bounded_rate() {
    let test = async {
        let (mut server, _mailboxes) = server_actor(3);
        let (connection_events, mut from_connections) = mpsc::channel(8);
        let (decider, mut messages) = mpsc::channel(8);
        (server.connection_events, server.decider) = (connection_events, decider);
        server.address = SocketAddr::from(([127, 255, 255, 255], 9));
        let (started_at, mut sent) = (Instant::now(), 0);
        while started_at.elapsed() < Duration::from_secs(2) {
            server.handle(ServerCommand::Send(request("a"))).await;
            sent += 1;
            let ended = loop {
                tokio::select! {
                    Some(event) = from_connections.recv() => server.handle(event).await,
                    Some(Message::AttemptEnded(ended)) = messages.recv() => break ended,
                }
            };
            assert_eq!(
                ended.outcome,
                Outcome::NeverSent,
                "a local failure was not reported as never sent"
            );
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert!(
            sent > 1000 && (8..=20).contains(&server.pool.last_number),
            "{} connections, {sent} requests",
            server.pool.last_number
        );
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
