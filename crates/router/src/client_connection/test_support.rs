//! Set-up shared by the tests of connections and of the listener: the test stands for the client,
//! the listener and the decider.

use super::{ClientConnection, ClientFrontend};
use crate::clock::Clock;
use crate::lifecycle::Phase;
use crate::messages::{ClientReply, ConnectionSlot, FinalAnswer, Message, NewRequest, SlotUpdate};
use bytes::{Buf, Bytes, BytesMut};
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, yield_now};

/// A frontend with the one class `page`, without tenants and without a transfer rate.
pub fn frontend(retry_after: Option<Duration>) -> Rc<ClientFrontend> {
    Rc::new(ClientFrontend {
        classes: vec!["page".to_owned()],
        tenants: Vec::new(),
        max_kb_per_s: 0.0,
        retry_after,
        clock: Clock::start(),
    })
}

/// More bytes than the system keeps for a connection.
pub const LARGE: usize = 32_000_000;

/// A connection that is served, and all that it talks to.
pub struct Harness {
    pub peer: TcpStream,
    pub messages: mpsc::Receiver<Message>,
    pub phase: watch::Sender<Phase>,
    pub eviction_requests: mpsc::Sender<()>,
    _status_updates: mpsc::Receiver<SlotUpdate>,
}

/// A connection that is accepted with these bytes already received, and a decider that answers when
/// the test does.
pub async fn connect(phase: Phase, received: &[u8]) -> Harness {
    connect_with_mailbox(4096, phase, received).await
}

/// The same, with a decider whose mailbox takes so many messages.
pub async fn connect_with_mailbox(max_messages: usize, phase: Phase, received: &[u8]) -> Harness {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    peer.write_all(received).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (decider, messages) = mpsc::channel(max_messages);
    let (phase, phase_receiver) = watch::channel(phase);
    let (eviction_sender, eviction_requests) = mpsc::channel(1);
    let (status_updates, status_receiver) = mpsc::channel(4096);
    let connection = ClientConnection {
        frontend: frontend(Some(Duration::from_millis(70))),
        decider,
        phase: phase_receiver,
        slot: ConnectionSlot {
            id: 1,
            eviction_requests,
            status_updates,
        },
    };
    spawn_local(connection.run(stream));
    Harness {
        peer,
        messages,
        phase,
        eviction_requests: eviction_sender,
        _status_updates: status_receiver,
    }
}

/// A message of a client.
pub fn message(parts: &[&str]) -> Vec<u8> {
    let parts = parts
        .iter()
        .map(|part| format!("${}\r\n{part}\r\n", part.len()));
    format!("*{}\r\n{}", parts.len(), parts.collect::<String>()).into_bytes()
}

/// A request of a client that waits for 4 s.
pub fn request(tag: u64) -> Vec<u8> {
    request_within(tag, 4000)
}

/// A request of a client that waits for so many milliseconds.
pub fn request_within(tag: u64, ms: u64) -> Vec<u8> {
    let fields = format!("i={:016x},o={tag:016x},lot=1,m=1,d={ms}", 0xabc_0000 + tag);
    message(&["REQ", &tag.to_string(), "page", &fields, ""])
}

impl Harness {
    /// The next message to the decider, which has to be a request.
    pub async fn request(&mut self) -> Box<NewRequest> {
        match self.messages.recv().await {
            Some(Message::Request(new)) => new,
            _ => panic!("the decider received no request"),
        }
    }

    /// Lets the connection do all that it can do without its client.
    pub async fn settle(&mut self) {
        for _ in 0..500 {
            yield_now().await;
        }
    }

    /// Serves the requests of these tags, the first with more bytes than the sockets take.
    pub async fn serve(&mut self, tags: RangeInclusive<u64>) {
        for tag in tags {
            let new = self.request().await;
            assert_eq!(new.tag, tag);
            let body = Bytes::from(vec![7; if tag == 1 { LARGE } else { 1 }]);
            let last = FinalAnswer::Served { etag: None, body };
            reply(new, last);
        }
        self.settle().await;
    }

    /// The first complete response, unless the connection ends before it.
    pub async fn first_response(&mut self) -> Option<Response> {
        let mut bytes = BytesMut::with_capacity(2 * LARGE);
        while self.peer.read_buf(&mut bytes).await.ok()? > 0 {
            if bytes.len() > LARGE
                && let Some(response) = next_response(&mut bytes.clone())
            {
                return Some(response);
            }
        }
        None
    }

    /// All responses until the router closes its side in order; none: it reset the connection.
    pub async fn remaining_responses(&mut self) -> Option<Vec<Response>> {
        let mut bytes = BytesMut::new();
        while self.peer.read_buf(&mut bytes).await.ok()? > 0 {}
        let mut responses = Vec::new();
        while let Some(response) = next_response(&mut bytes) {
            responses.push(response);
        }
        Some(responses)
    }
}

/// The next complete response; its body may be of any length.
fn next_response(bytes: &mut BytesMut) -> Option<Response> {
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
    Some(Response {
        tag: text(0),
        head: format!("{} {}", text(1), text(2)).trim().to_owned(),
    })
}

/// Gives a request its final answer, as the decider does.
pub fn reply(request: Box<NewRequest>, answer: FinalAnswer) {
    drop(request.client.send(ClientReply {
        tag: request.tag,
        id: request.arrival.id,
        last: answer,
    }));
}

/// Keeps paused time from moving by itself.
pub fn hold_time() {
    spawn_local(async {
        loop {
            yield_now().await;
        }
    });
}

/// A response as its client reads it, but for its body.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Response {
    pub tag: String,
    /// The status and the fields.
    pub head: String,
}

/// The response under this tag, with this status and these fields.
pub fn response(tag: u64, head: &str) -> Response {
    Response {
        tag: tag.to_string(),
        head: head.to_owned(),
    }
}
