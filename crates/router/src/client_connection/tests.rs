//! A client's connection by itself: the test stands for the client, the listener and the decider.

use super::*;
use std::ops::RangeInclusive;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local, yield_now};

/// More bytes than the system keeps for a connection.
const LARGE: usize = 32_000_000;

struct Rig {
    peer: TcpStream,
    messages: mpsc::Receiver<Message>,
    phase: watch::Sender<Phase>,
    leave: mpsc::Sender<()>,
    _words: mpsc::Receiver<Word>,
}

/// A connection that is taken with so much of it already come, and a decider that answers when the test does.
async fn rig(phase: Phase, come: &[u8]) -> Rig {
    rig_with_mailbox(4096, phase, come).await
}

/// The same, with a decider whose mailbox takes so many messages.
async fn rig_with_mailbox(messages_most: usize, phase: Phase, come: &[u8]) -> Rig {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    peer.write_all(come).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (decider, messages) = mpsc::channel(messages_most);
    let (phase, phase_of) = watch::channel(phase);
    let (leave, told) = mpsc::channel(1);
    let (says, words) = mpsc::channel(4096);
    let door = ClientFrontend {
        classes: vec!["page".into()],
        tenants: Vec::new(),
        kb_per_s: 0.0,
        advice: Some(Duration::from_millis(70)),
        clock: Clock::start(),
    };
    let place = Place {
        number: 1,
        leave: told,
        says,
    };
    let client = Client {
        door: Rc::new(door),
        decider,
        phase: phase_of,
        place,
    };
    spawn_local(client.run(stream));
    Rig {
        peer,
        messages,
        phase,
        leave,
        _words: words,
    }
}

fn message(parts: &[&str]) -> Vec<u8> {
    let parts = parts
        .iter()
        .map(|part| format!("${}\r\n{part}\r\n", part.len()));
    format!("*{}\r\n{}", parts.len(), parts.collect::<String>()).into_bytes()
}

fn request(tag: u64) -> Vec<u8> {
    request_within(tag, 4000)
}

/// Of a client that waits for so many milliseconds.
fn request_within(tag: u64, ms: u64) -> Vec<u8> {
    let fields = format!("i={:016x},o={tag:016x},lot=1,m=1,d={ms}", 0xabc_0000 + tag);
    message(&["REQ", &tag.to_string(), "page", &fields, ""])
}

impl Rig {
    async fn request(&mut self) -> Box<NewRequest> {
        match self.messages.recv().await {
            Some(Message::Request(new)) => new,
            _ => panic!("not heard"),
        }
    }

    /// Lets the connection do all that it can do without its client.
    async fn settle(&mut self) {
        for _ in 0..500 {
            yield_now().await;
        }
    }

    /// Serves the requests of these tags, the first with more bytes than the sockets take.
    async fn serve(&mut self, tags: RangeInclusive<u64>) {
        for tag in tags {
            let new = self.request().await;
            assert_eq!(new.tag, tag);
            let body = Bytes::from(vec![7; if tag == 1 { LARGE } else { 1 }]);
            let last = FinalAnswer::Served { etag: None, body };
            drop(new.client.send(ClientReply {
                tag,
                id: new.arrival.id,
                last,
            }));
        }
        self.settle().await;
    }

    /// The first whole answer, unless the connection ends before it.
    async fn first_answer(&mut self) -> Option<(String, String)> {
        let mut bytes = BytesMut::with_capacity(2 * LARGE);
        while self.peer.read_buf(&mut bytes).await.ok()? > 0 {
            if bytes.len() > LARGE
                && let Some(answer) = next_answer(&mut bytes.clone())
            {
                return Some(answer);
            }
        }
        None
    }

    /// All that is said until the router shuts its side in order; none: it reset the connection.
    async fn rest(&mut self) -> Option<Vec<(String, String)>> {
        let mut bytes = BytesMut::new();
        while self.peer.read_buf(&mut bytes).await.ok()? > 0 {}
        let mut said = Vec::new();
        while let Some(answer) = next_answer(&mut bytes) {
            said.push(answer);
        }
        Some(said)
    }
}

/// The tag of the next whole answer, and its word and fields; its body may be of any length.
fn next_answer(bytes: &mut BytesMut) -> Option<(String, String)> {
    let line = |bytes: &mut BytesMut| {
        let end = bytes.iter().position(|byte| *byte == b'\n')?;
        String::from_utf8(bytes.split_to(end + 1).to_vec()).ok()
    };
    assert_eq!(line(bytes)?, "*4\r\n");
    let mut parts = Vec::new();
    for _ in 0..4 {
        let length: usize = line(bytes)?[1..].trim_end().parse().unwrap();
        if bytes.len() < length + 2 {
            return None;
        }
        parts.push(bytes.split_to(length));
        bytes.advance(2);
    }
    let text = |at: usize| String::from_utf8_lossy(&parts[at]).into_owned();
    Some((
        text(0),
        format!("{} {}", text(1), text(2)).trim().to_owned(),
    ))
}

/// Keeps paused time from moving by itself.
fn hold_time() {
    spawn_local(async {
        loop {
            yield_now().await;
        }
    });
}

fn told(tag: u64, word: &str) -> (String, String) {
    (tag.to_string(), word.to_owned())
}

/// The router ends while two requests and half of a third lie unread on the connection.
#[tokio::test(flavor = "current_thread")]
async fn what_lies_unread_as_the_router_ends_is_rejected_and_the_connection_closed_in_order() {
    let inside = async {
        let come = [request(1), request(2), b"*5\r\n$3\r\nREQ".to_vec()].concat();
        let mut rig = rig(Phase::Ended, &come).await;
        assert_eq!(
            rig.rest().await.unwrap(),
            [told(1, "NAK w=70"), told(2, "NAK w=70")]
        );
        assert!(
            rig.messages.try_recv().is_err_and(|_| true),
            "nothing was sent on"
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// The decider has ended, and the connection has not heard of it yet: what is read then never ran.
#[tokio::test(flavor = "current_thread")]
async fn what_finds_no_decider_any_more_is_rejected() {
    let inside = async {
        let mut rig = rig(Phase::Serving, b"").await;
        rig.messages.close();
        rig.peer.write_all(&request(1)).await.unwrap();
        let mut byte = [0];
        assert_eq!(rig.peer.peek(&mut byte).await.unwrap(), 1);
        rig.phase.send_replace(Phase::Ended);
        assert_eq!(rig.rest().await.unwrap(), [told(1, "NAK w=70")]);
    };
    LocalSet::new().run_until(inside).await;
}

/// It is asked for its place, as idle, in the moment in which a request of its client has come: that is
/// heard.
#[tokio::test(flavor = "current_thread")]
async fn a_request_that_meets_a_wish_for_its_place_is_answered_first() {
    let inside = async {
        let mut rig = rig(Phase::Serving, b"").await;
        rig.peer
            .write_all(&message(&["HEALTH", "1", ""]))
            .await
            .unwrap();
        assert_eq!(rig.peer.peek(&mut [0]).await.unwrap(), 1);
        // Both are there before the connection has its next turn.
        rig.leave.try_send(()).unwrap();
        assert!(rig.peer.try_write(&request(2)).unwrap() > 0);
        let Some(Message::Request(new)) = rig.messages.recv().await else {
            panic!("not heard")
        };
        let last = FinalAnswer::Rejected(None);
        drop(new.client.send(ClientReply {
            tag: 2,
            id: new.arrival.id,
            last,
        }));
        let said = rig.rest().await.unwrap();
        assert!(said.contains(&told(2, "NAK")), "{said:?}");
    };
    LocalSet::new().run_until(inside).await;
}

/// Called off in one go, more than there are places for answers; then one that is wanted. The decider answers
/// all of them, late: before it has heard that they were called off.
#[tokio::test(flavor = "current_thread")]
async fn each_answer_has_its_place_before_its_request_goes_on() {
    let inside = async {
        let mut rig = rig(Phase::Serving, b"").await;
        let mut bytes = Vec::new();
        for tag in 1..=400u64 {
            bytes.extend([request(tag), message(&["ABORT", &tag.to_string()])].concat());
        }
        bytes.extend(request(1000));
        rig.peer.write_all(&bytes).await.unwrap();
        let (mut left, mut most, mut answered) = (0, 0, 0);
        while answered < 401 {
            // All that the connection can hand on without an answer.
            for _ in 0..200 {
                yield_now().await;
            }
            most = most.max(rig.messages.len());
            let mut first = Some(rig.messages.recv().await.unwrap());
            while let Some(message) = first.take().or_else(|| rig.messages.try_recv().ok()) {
                match message {
                    Message::Request(new) => {
                        answered += 1;
                        let last = FinalAnswer::Rejected(None);
                        drop(new.client.send(ClientReply {
                            tag: new.tag,
                            id: new.arrival.id,
                            last,
                        }));
                    }
                    Message::Left(..) => left += 1,
                    _ => {}
                }
            }
        }
        assert!(most <= 2 * REPLIES_MOST + 1, "{most} without an answer");
        rig.phase.send_replace(Phase::Ended);
        let said = rig.rest().await.unwrap();
        assert!(
            said.contains(&told(1000, "NAK")),
            "{} answers, {left} left",
            said.len()
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// Whoever holds an attempt back for a socket sees the leaving in the same moment, not by way of mailboxes.
#[tokio::test(flavor = "current_thread")]
async fn a_leaving_is_seen_where_the_first_byte_would_go() {
    let inside = async {
        for called_off in [true, false] {
            let mut rig = rig(Phase::Serving, &request(1)).await;
            let Some(Message::Request(new)) = rig.messages.recv().await else {
                panic!("not heard")
            };
            assert!(new.wanted.still());
            if called_off {
                rig.peer.write_all(&message(&["ABORT", "1"])).await.unwrap();
            } else {
                rig.peer.shutdown().await.unwrap();
            }
            let Some(Message::Left(..)) = rig.messages.recv().await else {
                panic!("not heard")
            };
            assert!(!new.wanted.still());
        }
    };
    LocalSet::new().run_until(inside).await;
}

/// A close over bytes that nobody has read yet takes nothing along that was said before.
#[tokio::test(flavor = "current_thread")]
async fn nonsense_with_much_behind_it_reads_its_last_word() {
    let inside = async {
        let mut rig = rig(Phase::Serving, &request(1)).await;
        let Some(Message::Request(_new)) = rig.messages.recv().await else {
            panic!("not heard")
        };
        rig.peer.write_all(b"*99\r\n").await.unwrap();
        rig.peer.write_all(&[b'x'; 60_000]).await.unwrap();
        assert_eq!(rig.rest().await.unwrap(), [told(1, "FAIL")]);
    };
    LocalSet::new().run_until(inside).await;
}

/// The time for which it may rest is over, and its timer has fired, as a request comes: that is heard. Once
/// it has nothing to say it is closed in order.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_request_that_meets_the_end_of_its_connections_rest_is_answered() {
    let inside = async {
        let mut rig = rig(Phase::Serving, &message(&["HEALTH", "1", ""])).await;
        assert_eq!(rig.peer.peek(&mut [0]).await.unwrap(), 1);
        // Its turn comes with the timer fired and nothing to read; then the request is there.
        tokio::time::advance(IDLE).await;
        assert!(rig.peer.try_write(&request(2)).unwrap() > 0);
        let Some(Message::Request(new)) = rig.messages.recv().await else {
            panic!("closed over it")
        };
        drop(new.client.send(ClientReply {
            tag: 2,
            id: new.arrival.id,
            last: FinalAnswer::Rejected(None),
        }));
        let said = rig.rest().await.unwrap();
        assert!(said.contains(&told(2, "NAK")), "{said:?}");
    };
    LocalSet::new().run_until(inside).await;
}

/// Takes one byte of each write, after it has been interrupted.
#[derive(Default)]
struct Interrupted {
    taken: Vec<u8>,
    interrupted: bool,
}

impl tokio::io::AsyncWrite for Interrupted {
    fn poll_write(
        mut self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
        bytes: &[u8],
    ) -> std::task::Poll<io::Result<usize>> {
        self.interrupted = !self.interrupted;
        if self.interrupted {
            return std::task::Poll::Ready(Err(io::Error::from_raw_os_error(libc::EINTR)));
        }
        self.taken.extend_from_slice(&bytes[..1]);
        std::task::Poll::Ready(Ok(1))
    }

    fn poll_flush(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<io::Result<()>> {
        std::task::Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: std::pin::Pin<&mut Self>,
        _: &mut std::task::Context<'_>,
    ) -> std::task::Poll<io::Result<()>> {
        std::task::Poll::Ready(Ok(()))
    }
}

#[tokio::test(flavor = "current_thread")]
async fn an_answer_arrives_complete_through_interrupted_and_short_writes() {
    let (mut unwritten, mut writer) = (Unwritten::default(), Interrupted::default());
    unwritten.push(answer(7, "ACK", "", 3), Bytes::from_static(b"abc"));
    while !unwritten.pieces.is_empty() {
        unwritten
            .write(&mut writer)
            .await
            .expect("an interrupted write is no break");
    }
    assert_eq!(
        writer.taken,
        b"*4\r\n$1\r\n7\r\n$3\r\nACK\r\n$0\r\n\r\n$3\r\nabc\r\n"
    );
}

/// A client takes no answers: it is read on, for what it calls off or its close ends what is still open.
#[tokio::test(flavor = "current_thread")]
async fn a_leaving_is_read_behind_answers_that_nobody_takes() {
    let inside = async {
        for called_off in [true, false] {
            let come: Vec<u8> = (1..=32).flat_map(request).collect();
            let mut rig = rig(Phase::Serving, &come).await;
            rig.serve(1..=31).await;
            let open = rig.request().await;
            if called_off {
                rig.peer
                    .write_all(&message(&["ABORT", "32"]))
                    .await
                    .unwrap();
            } else {
                rig.peer.shutdown().await.unwrap();
            }
            rig.settle().await;
            assert!(!open.wanted.still(), "called off: {called_off}");
        }
    };
    LocalSet::new().run_until(inside).await;
}

/// More answers wait than a client that keeps to the protocol can have open: what it asks for then is
/// rejected before it goes on.
#[tokio::test(flavor = "current_thread")]
async fn what_is_asked_behind_too_many_answers_that_nobody_takes_is_rejected() {
    let inside = async {
        let come: Vec<u8> = (1..=32).flat_map(request).collect();
        let mut rig = rig(Phase::Serving, &come).await;
        rig.serve(1..=32).await;
        // Part of the first has gone to the system: there is room for one more.
        rig.peer.write_all(&request(33)).await.unwrap();
        rig.serve(33..=33).await;
        rig.peer.write_all(&request(34)).await.unwrap();
        rig.settle().await;
        while let Ok(message) = rig.messages.try_recv() {
            assert!(
                !matches!(message, Message::Request(new) if new.tag == 34),
                "handed on"
            );
        }
        rig.phase.send_replace(Phase::Ended);
        let said = rig.rest().await.unwrap();
        assert!(
            said.contains(&told(34, "NAK w=70")),
            "{} answers",
            said.len()
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// Past a bound it is read no more: nothing of it is open then, lest a leaving lies unread meanwhile.
#[tokio::test(flavor = "current_thread")]
async fn a_client_that_is_read_no_more_has_nothing_open() {
    let inside = async {
        let mut rig = rig(Phase::Serving, &[request(1), request(2)].concat()).await;
        rig.serve(1..=1).await;
        let open = rig.request().await;
        let health: Vec<u8> = (3..3 + UNWRITTEN_MOST as u64)
            .flat_map(|tag| message(&["HEALTH", &tag.to_string(), ""]))
            .collect();
        rig.peer.write_all(&health).await.unwrap();
        rig.settle().await;
        assert!(!open.wanted.still());
        assert!(matches!(
            rig.messages.try_recv(),
            Ok(Message::Left(_, 2, _))
        ));
        drop(open);
        rig.phase.send_replace(Phase::Ended);
        let said = rig.rest().await.unwrap();
        assert!(said.contains(&told(2, "FAIL")), "{} answers", said.len());
    };
    LocalSet::new().run_until(inside).await;
}

/// A client that takes nothing for a while, and whose time is not up, gets its answers whole.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn who_takes_no_answers_is_closed_only_when_its_time_is_up() {
    let inside = async {
        hold_time();
        for (within_ms, whole) in [(20_000, true), (4000, false)] {
            let mut rig = rig(Phase::Serving, &request_within(1, within_ms)).await;
            rig.serve(1..=1).await;
            tokio::time::advance(STUCK + Duration::from_millis(100)).await;
            rig.settle().await;
            let said = rig.first_answer().await;
            assert_eq!(said.is_some(), whole, "within {within_ms} ms");
        }
    };
    LocalSet::new().run_until(inside).await;
}

/// ProtocolError ends the connection of a slow reader: all that it is owed is written while its time lasts.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn what_is_owed_before_nonsense_reaches_a_slow_reader() {
    let inside = async {
        hold_time();
        let mut rig = rig(Phase::Serving, &[request(1), request(2)].concat()).await;
        rig.serve(1..=1).await;
        let _open = rig.request().await;
        rig.peer.write_all(b"*99\r\n").await.unwrap();
        rig.settle().await;
        tokio::time::advance(Duration::from_millis(3000)).await;
        rig.settle().await;
        let said = rig.rest().await.expect("reset");
        assert_eq!((said.len(), said.last()), (2, Some(&told(2, "FAIL"))));
    };
    LocalSet::new().run_until(inside).await;
}

/// Whole messages behind one that ends the connection have been read: each is answered, once.
#[tokio::test(flavor = "current_thread")]
async fn whole_messages_behind_nonsense_are_answered() {
    let inside = async {
        let no_tag = message(&["REQ", "x", "page", "", ""]);
        for nonsense in [request(1), no_tag] {
            let behind = [
                request(2),
                message(&["HEALTH", "3", ""]),
                request(2),
                request(1),
            ]
            .concat();
            let mut rig = rig(Phase::Serving, &[request(1), nonsense, behind].concat()).await;
            let mut said = rig.rest().await.unwrap();
            said.sort();
            assert_eq!(
                said,
                [told(1, "FAIL"), told(2, "NAK w=70"), told(3, "GREEN")]
            );
        }
    };
    LocalSet::new().run_until(inside).await;
}

/// The connection waits to hand something on while more comes: that has used up some of its time when it is
/// read. What comes on a connection that has rested has not.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn what_lay_unread_while_its_connection_waited_has_used_its_time() {
    let inside = async {
        hold_time();
        let mut rig = rig_with_mailbox(1, Phase::Serving, &[request(1), request(2)].concat()).await;
        let clock = Clock::start();
        rig.settle().await;
        rig.peer.write_all(&request(3)).await.unwrap();
        tokio::time::advance(Duration::from_millis(700)).await;
        let [first, second, third] = [
            rig.request().await,
            rig.request().await,
            rig.request().await,
        ]
        .map(|new| new.received_after);
        assert_eq!(first, second);
        assert!(
            third < first + Duration::from_millis(60),
            "{:?} later",
            third.saturating_sub(first)
        );
        tokio::time::advance(Duration::from_millis(700)).await;
        rig.settle().await;
        rig.peer.write_all(&request(4)).await.unwrap();
        let fourth = rig.request().await.received_after;
        assert!(
            clock.now() - fourth < Duration::from_millis(60),
            "{:?} ago",
            clock.now() - fourth
        );
    };
    LocalSet::new().run_until(inside).await;
}
