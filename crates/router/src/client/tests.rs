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
    let door =
        Door { categories: vec!["page".into()], tenants: Vec::new(), kb_per_s: 0.0, clock: Clock::start() };
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

/// Called off in one go, more than there are places for answers; then one that is wanted. The decider answers all
/// of them, late: before it has heard that they were called off.
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
                    Message::Access(new) => {
                        answered += 1;
                        let last = Last::Declined(None);
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

/// Whoever holds an execution back for a socket sees the leaving in the same moment, not by way of mailboxes.
#[tokio::test(flavor = "current_thread")]
async fn a_leaving_is_seen_where_the_first_byte_would_go() {
    let inside = async {
        for called_off in [true, false] {
            let mut rig = rig(Phase::Serving, &request(1)).await;
            let Some(Message::Access(new)) = rig.messages.recv().await else { panic!("not heard") };
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
