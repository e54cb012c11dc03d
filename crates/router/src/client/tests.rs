//! A client's connection by itself: the test stands for the client, the listener and the decider.

use super::*;
use crate::resp::Frames;
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local, yield_now};

struct Rig {
    peer: TcpStream,
    messages: mpsc::Receiver<Message>,
    phase: watch::Sender<Phase>,
    leave: mpsc::Sender<()>,
    _words: mpsc::Receiver<Word>,
}

/// A connection that is taken with so much of it already come, and a decider that answers when the test does.
async fn rig(phase: Phase, come: &[u8]) -> Rig {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    peer.write_all(come).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (decider, messages) = mpsc::channel(4096);
    let (phase, phase_of) = watch::channel(phase);
    let (leave, told) = mpsc::channel(1);
    let (says, words) = mpsc::channel(4096);
    let door = Door {
        classes: vec!["page".into()],
        tenants: Vec::new(),
        kb_per_s: 0.0,
        advice: Some(Duration::from_millis(70)),
        clock: Clock::start(),
    };
    let place = Place { number: 1, leave: told, says };
    let client = Client { door: Rc::new(door), decider, phase: phase_of, place };
    spawn_local(client.run(stream));
    Rig { peer, messages, phase, leave, _words: words }
}

fn message(parts: &[&str]) -> Vec<u8> {
    let parts = parts.iter().map(|part| format!("${}\r\n{part}\r\n", part.len()));
    format!("*{}\r\n{}", parts.len(), parts.collect::<String>()).into_bytes()
}

fn request(tag: u64) -> Vec<u8> {
    let fields = format!("i={:016x},o={tag:016x},lot=1,m=1,d=4000", 0xabc_0000 + tag);
    message(&["REQ", &tag.to_string(), "page", &fields, ""])
}

impl Rig {
    /// All that is said until the router shuts its side in order; none: it reset the connection.
    async fn rest(&mut self) -> Option<Vec<(String, String)>> {
        let mut bytes = BytesMut::new();
        while self.peer.read_buf(&mut bytes).await.ok()? > 0 {}
        let (mut frames, mut said) = (Frames::default(), Vec::new());
        while let Ok(Some(frame)) = frames.next(&mut bytes) {
            let text = |at: usize| String::from_utf8_lossy(&frame[at]).into_owned();
            said.push((text(0), format!("{} {}", text(1), text(2)).trim().to_owned()));
        }
        Some(said)
    }
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
        assert_eq!(rig.rest().await.unwrap(), [told(1, "NAK w=70"), told(2, "NAK w=70")]);
        assert!(rig.messages.try_recv().is_err_and(|_| true), "nothing was sent on");
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
        rig.peer.write_all(&message(&["HEALTH", "1", ""])).await.unwrap();
        assert_eq!(rig.peer.peek(&mut [0]).await.unwrap(), 1);
        // Both are there before the connection has its next turn.
        rig.leave.try_send(()).unwrap();
        assert!(rig.peer.try_write(&request(2)).unwrap() > 0);
        let Some(Message::Request(new)) = rig.messages.recv().await else { panic!("not heard") };
        let last = Last::Rejected(None);
        drop(new.client.send(Reply { tag: 2, id: new.arrival.id, last }));
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
                        let last = Last::Rejected(None);
                        drop(new.client.send(Reply { tag: new.tag, id: new.arrival.id, last }));
                    }
                    Message::Left(..) => left += 1,
                    _ => {}
                }
            }
        }
        assert!(most <= 2 * REPLIES_MOST + 1, "{most} without an answer");
        rig.phase.send_replace(Phase::Ended);
        let said = rig.rest().await.unwrap();
        assert!(said.contains(&told(1000, "NAK")), "{} answers, {left} left", said.len());
    };
    LocalSet::new().run_until(inside).await;
}

/// Whoever holds an attempt back for a socket sees the leaving in the same moment, not by way of mailboxes.
#[tokio::test(flavor = "current_thread")]
async fn a_leaving_is_seen_where_the_first_byte_would_go() {
    let inside = async {
        for called_off in [true, false] {
            let mut rig = rig(Phase::Serving, &request(1)).await;
            let Some(Message::Request(new)) = rig.messages.recv().await else { panic!("not heard") };
            assert!(new.wanted.still());
            if called_off {
                rig.peer.write_all(&message(&["ABORT", "1"])).await.unwrap();
            } else {
                rig.peer.shutdown().await.unwrap();
            }
            let Some(Message::Left(..)) = rig.messages.recv().await else { panic!("not heard") };
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
        let Some(Message::Request(_new)) = rig.messages.recv().await else { panic!("not heard") };
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
        let Some(Message::Request(new)) = rig.messages.recv().await else { panic!("closed over it") };
        drop(new.client.send(Reply { tag: 2, id: new.arrival.id, last: Last::Rejected(None) }));
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
        unwritten.write(&mut writer).await.expect("an interrupted write is no break");
    }
    assert_eq!(writer.taken, b"*4\r\n$1\r\n7\r\n$3\r\nACK\r\n$0\r\n\r\n$3\r\nabc\r\n");
}
