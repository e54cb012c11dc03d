use super::*;
use crate::messages::ConnectionAttemptEnded;
use crate::messages::fixtures::attempt_request;
use tokio::io::AsyncReadExt;

/// A server with a minimal receive buffer: each write and each read transfers only a part of a
/// message.
#[tokio::test(flavor = "current_thread")]
async fn a_request_and_its_answer_are_complete_after_partial_writes_and_reads() {
    use tokio::io::AsyncWriteExt;
    const BODY: usize = 200_000;
    let test = async {
        let listener = tokio::net::TcpSocket::new_v4().unwrap();
        listener.set_recv_buffer_size(1).unwrap();
        listener
            .bind(SocketAddr::from(([127, 0, 0, 1], 0)))
            .unwrap();
        let listener = listener.listen(1).unwrap();
        let (to_connection, commands) = mpsc::channel(8);
        let (events, mut reports) = mpsc::channel(8);
        let slots = std::sync::Arc::new(tokio::sync::Semaphore::new(1));
        let connection = Connection {
            number: 1,
            server: "s".into(),
            address: listener.local_addr().unwrap(),
            connect_timeout: Duration::from_secs(10),
            commands,
            events,
            _slot: slots.try_acquire_owned().unwrap(),
        };
        let running = tokio::task::spawn_local(connection.run());
        let long_timeout = Duration::from_secs(60);
        let mut request = attempt_request("a", long_timeout, long_timeout);
        let body: Vec<u8> = (0..BODY).map(|n| (n % 251) as u8).collect();
        request.forwarded.body = body.clone().into();
        to_connection
            .send(ConnectionCommand::Send(request))
            .await
            .unwrap();
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
        // Reads of a few bytes, so that the writer repeatedly finds the socket full.
        for piece in read.chunks_mut(97) {
            stream.read_exact(piece).await.unwrap();
        }
        assert!(
            read == [&body[..], b"\r\n"].concat(),
            "the body differs from the one that was sent"
        );
        for byte in b"a OK tell=hit 5\r\nhello\r\n" {
            stream.write_all(&[*byte]).await.unwrap();
            tokio::task::yield_now().await;
        }
        let ended = loop {
            match reports.recv().await.unwrap() {
                ServerCommand::Connection {
                    number: 1,
                    event: ConnectionEvent::AttemptEnded(ConnectionAttemptEnded { ended, .. }),
                } => break ended,
                ServerCommand::Connection {
                    number: 1,
                    event: ConnectionEvent::Established,
                } => {}
                _ => panic!("unexpected event"),
            }
        };
        assert_eq!(
            (ended.outcome, ended.answer.map(|answer| answer.body)),
            (Outcome::Served, Some("hello".into()))
        );
        drop(to_connection);
        while reports.recv().await.is_some() {}
        running.await.unwrap();
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// After a scheduling delay a connection lets other tasks read before it sends an attempt. Its
/// mailbox must not fill up meanwhile.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_connection_accepts_commands_while_other_tasks_catch_up() {
    let test = async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (to_connection, commands) = mpsc::channel(4);
        let (events, _reports) = mpsc::channel(8);
        let slot = std::sync::Arc::new(tokio::sync::Semaphore::new(1))
            .try_acquire_owned()
            .unwrap();
        let address = listener.local_addr().unwrap();
        scheduling_delay::before_wait();
        tokio::time::advance(Duration::from_millis(100)).await;
        let connection = Connection {
            number: 1,
            server: "s".into(),
            address,
            connect_timeout: Duration::from_secs(60),
            commands,
            events,
            _slot: slot,
        };
        tokio::task::spawn_local(connection.run());
        let long_timeout = Duration::from_secs(60);
        for iteration in 0..200 {
            let command = ConnectionCommand::Send(attempt_request("a", long_timeout, long_timeout));
            assert!(
                to_connection.try_send(command).is_ok(),
                "the mailbox is full in iteration {iteration}"
            );
            tokio::task::yield_now().await;
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
