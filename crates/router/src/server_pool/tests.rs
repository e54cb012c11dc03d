use super::*;
use crate::messages::CancellationFlag;
use crate::server_protocol::ForwardedFields;
use bytes::Bytes;
use chalkhall::interface::Fill;

const WAIT: Duration = Duration::from_secs(1);

/// A server that is never reached, with so many places for connections; and what its mailboxes hang on.
fn server(places: usize) -> (Server, impl Sized) {
    let (orders_of_connections, from_connections) = mpsc::channel(8);
    let (sender, orders) = mpsc::channel(8);
    let (decider, messages) = mpsc::channel(8);
    let server = Server {
        name: "s".into(),
        dial: SocketAddr::from(([127, 0, 0, 1], 9)),
        connections_most: 4,
        streams: 100,
        connect_timeout: WAIT,
        idle: WAIT,
        orders,
        orders_of_connections,
        decider,
        places: Rc::new(ConnectionPlaces::new(places)),
    };
    (server, (from_connections, sender, messages))
}

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

fn ask(id: &'static str) -> Box<Ask> {
    let due = Instant::now() + WAIT;
    let passed = ForwardedFields {
        id: Bytes::from_static(id.as_bytes()),
        ..ForwardedFields::default()
    };
    let (server, fill) = (Id::from("s"), no_fill());
    let (key, wanted) = ((id.into(), 0), CancellationFlag::default());
    Box::new(Ask {
        key,
        passed,
        server,
        fill,
        once: false,
        wanted,
        due,
        leave_by: due,
    })
}

async fn ended(server: &mut Server, hands: &mut ConnectionPool, connection: u64, id: &str) {
    let key: Key = (id.into(), 0);
    let ended = ConnectionEvent::Ended {
        key,
        outcome: Outcome::Served,
        answer: None,
        silent: false,
    };
    server
        .order(hands, ServerCommand::Connection(connection, ended))
        .await;
}

#[tokio::test(flavor = "current_thread")]
async fn an_id_that_was_out_does_not_come_again_on_its_connection() {
    let inside = async {
        let ((mut server, _kept), mut hands) = (server(3), ConnectionPool::default());
        server.open(&mut hands);
        hands.connections[0].up = true;
        assert!(server.pass(&mut hands, ask("a")));
        assert_eq!(hands.connections.len(), 1, "shared while it may be");
        ended(&mut server, &mut hands, 1, "a").await;
        assert!(server.pass(&mut hands, ask("a")));
        let open: Vec<usize> = hands
            .connections
            .iter()
            .map(|connection| connection.open)
            .collect();
        assert_eq!(
            open,
            [0, 1],
            "a second copy would pass for the second one's"
        );
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}

/// The order comes in the very moment in which the connection has stood idle for long enough, before the
/// timer that lets go of it: it may cross the server's close.
#[tokio::test(flavor = "current_thread")]
async fn a_connection_that_stood_idle_for_too_long_takes_nothing_though_nobody_let_go_of_it() {
    let inside = async {
        let ((mut server, _kept), mut hands) = (server(3), ConnectionPool::default());
        assert!(server.pass(&mut hands, ask("a")));
        hands.connections[0].up = true;
        ended(&mut server, &mut hands, 1, "a").await;
        assert_eq!(
            hands.next_idle(WAIT),
            Some(hands.connections[0].used + WAIT),
            "the timer is exact"
        );
        hands.connections[0].used = Instant::now() - WAIT;
        assert!(server.pass(&mut hands, ask("b")));
        let open: Vec<(u64, usize)> = hands
            .connections
            .iter()
            .map(|connection| (connection.number, connection.open))
            .collect();
        assert_eq!(open, [(2, 1)]);
        // One that carries something is in use, however long ago the last was passed to it.
        hands.connections[0].used = Instant::now() - WAIT;
        assert!(server.pass(&mut hands, ask("c")));
        assert_eq!(hands.connections[0].open, 2);
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}

/// All servers' connections together stay within their part of the descriptors; what finds none never ran.
#[tokio::test(flavor = "current_thread")]
async fn no_connection_is_opened_past_the_descriptors() {
    let inside = async {
        let ((mut one, _kept), mut hands) = (server(2), ConnectionPool::default());
        let (mut other, _also_kept) = server(2);
        other.places = one.places.clone();
        let mut others = ConnectionPool::default();
        assert!(one.pass(&mut hands, ask("a")) && other.pass(&mut others, ask("b")));
        assert!(one.pass(&mut hands, ask("c")), "shared");
        one.streams = 2;
        assert!(
            !one.pass(&mut hands, ask("d")),
            "there is no place, and no connection that takes it"
        );
        assert_eq!((hands.connections.len(), hands.out.len()), (1, 2));
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}

/// A connection's mailbox is full: what finds no place there never ran, and a QUIT that finds none holds
/// nothing back, for what was called off does not begin.
#[tokio::test(flavor = "current_thread")]
async fn what_finds_a_connections_mailbox_full_never_ran_and_what_was_called_off_never_begins() {
    use tokio::io::AsyncReadExt;
    let inside = async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let ((mut server, _kept), mut hands) = (server(3), ConnectionPool::default());
        let (decider, mut messages) = mpsc::channel(8);
        let (from, mut reports) = mpsc::channel(1024);
        (server.decider, server.orders_of_connections) = (decider, from);
        (server.dial, server.streams, server.connections_most) =
            (listener.local_addr().unwrap(), 1000, 1);
        let mut wanted = Vec::new();
        for n in 0..ORDERS_MOST {
            let mut ask = ask("a");
            ask.key = ("a".into(), n);
            ask.passed.id = Bytes::from(format!("a{n}"));
            wanted.push(ask.wanted.clone());
            server.order(&mut hands, ServerCommand::Ask(ask)).await;
        }
        assert_eq!(
            (hands.connections[0].orders.capacity(), hands.out.len()),
            (0, ORDERS_MOST)
        );
        server.order(&mut hands, ServerCommand::Ask(ask("b"))).await;
        let Ok(Message::Ended(ended)) = messages.try_recv() else {
            panic!("nothing was said of it")
        };
        assert_eq!((&*ended.key.0, ended.outcome), ("b", Outcome::NeverSent));
        // Called off: the flag ends with the final answer or the client, the QUIT finds no place.
        wanted[7].end();
        server
            .order(&mut hands, ServerCommand::Quit(("a".into(), 7)))
            .await;
        assert_eq!(
            hands.connections[0].orders.capacity(),
            0,
            "it took the QUIT"
        );
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut read = Vec::new();
        let last = format!("ASK a{} ", ORDERS_MOST - 1);
        while !read.windows(last.len()).any(|part| part == last.as_bytes())
            || !read.ends_with(b"\r\n\r\n")
        {
            assert!(stream.read_buf(&mut read).await.unwrap() > 0);
        }
        let text = String::from_utf8(read).unwrap();
        assert_eq!(text.matches("ASK").count(), ORDERS_MOST - 1);
        assert!(
            !text.contains("ASK a7 ") && !text.contains("QUIT"),
            "{text}"
        );
        let mut never = Vec::new();
        while let Ok(order) = reports.try_recv() {
            if let ServerCommand::Connection(_, ConnectionEvent::Ended { key, outcome, .. }) = order
            {
                never.push((key.1, outcome));
            }
        }
        assert_eq!(never, [(7, Outcome::NeverSent)]);
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}

/// Ended, it would drop the connection and what is out on it.
#[tokio::test(flavor = "current_thread")]
async fn an_actor_with_a_connection_or_something_out_does_not_rest() {
    let inside = async {
        let ((mut server, _kept), mut hands) = (server(3), ConnectionPool::default());
        assert!(hands.is_resting());
        assert!(server.pass(&mut hands, ask("a")));
        assert!(!hands.is_resting(), "a connection, and something out on it");
        ended(&mut server, &mut hands, 1, "a").await;
        assert!(!hands.is_resting(), "an idle connection");
        assert!(server.pass(&mut hands, ask("b")));
        hands.connections.clear();
        assert!(
            !hands.is_resting(),
            "the end of an attempt is still to come"
        );
        ended(&mut server, &mut hands, 1, "b").await;
        assert!(hands.is_resting());
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}

/// Answers one attempt; what came next on the connection.
async fn answers_once(listener: &tokio::net::TcpListener) -> tokio::net::TcpStream {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut read = Vec::new();
    while !read.ends_with(b"\r\n") {
        assert!(stream.read_buf(&mut read).await.unwrap() > 0);
    }
    stream.write_all(b"x OK tell=hit 1\r\nx\r\n").await.unwrap();
    stream
}

/// Idle connections to the many servers of a large fleet take all places: the one that was idle for longest goes,
/// and a server without one is reached.
#[tokio::test(flavor = "current_thread")]
async fn the_longest_idle_connection_of_all_servers_makes_room_when_places_run_out() {
    use tokio::io::AsyncReadExt;
    let inside = async {
        let (decider, mut messages) = mpsc::channel(8);
        let places = Rc::new(ConnectionPlaces::new(2));
        let actors = ServerActors {
            streams: 100,
            connect_timeout: WAIT,
            idle: WAIT * 60,
            decider,
            places,
        };
        let mut streams = Vec::new();
        let mut senders = Vec::new();
        for name in ["first", "second", "third"] {
            let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
            let orders = actors.spawn(name.into(), listener.local_addr().unwrap(), 1);
            assert!(orders.try_send(ServerCommand::Ask(ask("x"))).is_ok());
            streams.push(answers_once(&listener).await);
            let Some(Message::Ended(ended)) = messages.recv().await else {
                panic!("{name}: nothing came")
            };
            assert_eq!(ended.outcome, Outcome::Served, "{name}");
            senders.push(orders);
            if name == "second" {
                // Both places are taken, both connections idle.
                let closed = tokio::time::timeout(WAIT * 10, streams[0].read(&mut [0; 8])).await;
                assert_eq!(closed.expect("the first is still open").unwrap(), 0);
                assert_eq!(
                    streams[1].try_read(&mut [0; 8]).unwrap_err().kind(),
                    std::io::ErrorKind::WouldBlock
                );
                while actors.places.free.available_permits() == 0 {
                    tokio::task::yield_now().await;
                }
            }
        }
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}

/// This machine can make no connection to the server (TCP has no route to the broadcast address of the
/// loopback network, ENETUNREACH), while request after request is sent to it.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn connections_that_this_machine_cannot_make_are_tried_at_a_bounded_rate() {
    let inside = async {
        let ((mut server, _kept), mut hands) = (server(3), ConnectionPool::default());
        let (orders_of_connections, mut from_connections) = mpsc::channel(8);
        let (decider, mut messages) = mpsc::channel(8);
        (server.orders_of_connections, server.decider) = (orders_of_connections, decider);
        server.dial = SocketAddr::from(([127, 255, 255, 255], 9));
        let (begin, mut sent) = (Instant::now(), 0);
        while begin.elapsed() < Duration::from_secs(2) {
            server.order(&mut hands, ServerCommand::Ask(ask("a"))).await;
            sent += 1;
            let ended = loop {
                tokio::select! {
                    Some(order) = from_connections.recv() => server.order(&mut hands, order).await,
                    Some(Message::Ended(ended)) = messages.recv() => break ended,
                }
            };
            assert_eq!(
                ended.outcome,
                Outcome::NeverSent,
                "nothing ran, and it is not the server's fault"
            );
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        assert!(
            sent > 1000 && (8..=20).contains(&hands.last),
            "{} connections, {sent} requests",
            hands.last
        );
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}
