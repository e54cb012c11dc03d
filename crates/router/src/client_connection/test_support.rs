//! Set-up shared by the tests of connections and of the listener: the test plays the client, the
//! listener and the decider.

use super::{ClientConnection, ClientFrontend};
use crate::clock::Clock;
use crate::lifecycle::Phase;
use crate::memory::{IncomingBodies, MemoryBudget};
use crate::messages::{ClientReply, ConnectionSlot, FinalAnswer, Message, NewRequest, SlotUpdate};
use bytes::{Buf, Bytes, BytesMut};
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{spawn_local, yield_now};

/// A frontend with a single class, `page`, without tenants and without a transfer rate.
pub fn frontend(retry_after: Option<Duration>) -> Rc<ClientFrontend> {
    Rc::new(ClientFrontend {
        classes: vec!["page".to_owned()],
        tenants: Vec::new(),
        max_kb_per_s: 0.0,
        retry_after,
        clock: Clock::start(),
        incoming_bodies: IncomingBodies::new(u64::MAX, MemoryBudget::new(u64::MAX)),
    })
}

/// More bytes than the socket buffers of a connection hold.
pub const LARGE_BODY_BYTES: usize = 32_000_000;

/// A running connection, and the test's ends of its socket and channels.
pub struct Harness {
    pub peer: TcpStream,
    pub messages: mpsc::Receiver<Message>,
    pub phase: watch::Sender<Phase>,
    pub eviction_requests: mpsc::Sender<()>,
    _status_updates: mpsc::Receiver<SlotUpdate>,
}

/// Accepts a connection on which these bytes have already been received. The test replies as the
/// decider.
pub async fn connect(phase: Phase, received: &[u8]) -> Harness {
    connect_with_capacity(4096, phase, received).await
}

/// Like `connect`, with this capacity of the decider's channel.
pub async fn connect_with_capacity(
    message_capacity: usize,
    phase: Phase,
    received: &[u8],
) -> Harness {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    peer.write_all(received).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let (decider, messages) = mpsc::channel(message_capacity);
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

/// Encodes a client message.
pub fn message(parts: &[&str]) -> Vec<u8> {
    let parts = parts
        .iter()
        .map(|part| format!("${}\r\n{part}\r\n", part.len()));
    format!("*{}\r\n{}", parts.len(), parts.collect::<String>()).into_bytes()
}

/// A request with a deadline of 4 s.
pub fn request(tag: u64) -> Vec<u8> {
    request_within(tag, 4000)
}

/// A request with a deadline of this many milliseconds.
pub fn request_within(tag: u64, ms: u64) -> Vec<u8> {
    let fields = format!("i={:016x},o={tag:016x},lot=1,m=1,d={ms}", 0xabc_0000 + tag);
    message(&["REQ", &tag.to_string(), "page", &fields, ""])
}

impl Harness {
    /// The next message to the decider, which must be a request.
    pub async fn request(&mut self) -> Box<NewRequest> {
        match self.messages.recv().await {
            Some(Message::Request(new)) => new,
            _ => panic!("the decider received no request"),
        }
    }

    /// Runs the connection until it waits for its client.
    pub async fn settle(&mut self) {
        for _ in 0..500 {
            yield_now().await;
        }
    }

    /// Replies to the requests with these tags; the body for tag 1 does not fit the socket buffers.
    pub async fn serve(&mut self, tags: RangeInclusive<u64>) {
        for tag in tags {
            let new = self.request().await;
            assert_eq!(new.tag, tag);
            let body = Bytes::from(vec![7; if tag == 1 { LARGE_BODY_BYTES } else { 1 }]);
            let last = FinalAnswer::Served { etag: None, body };
            reply(new, last);
        }
        self.settle().await;
    }

    /// The first complete response, or none if the connection ends before it.
    pub async fn first_response(&mut self) -> Option<Response> {
        let mut bytes = BytesMut::with_capacity(2 * LARGE_BODY_BYTES);
        while self.peer.read_buf(&mut bytes).await.ok()? > 0 {
            if bytes.len() > LARGE_BODY_BYTES
                && let Some(response) = next_response(&mut bytes.clone())
            {
                return Some(response);
            }
        }
        None
    }

    /// All responses until the router closes its side, or none if it resets the connection.
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

/// Decodes the next complete response.
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

/// Sends the final answer to a request, as the decider does.
pub fn reply(request: Box<NewRequest>, answer: FinalAnswer) {
    drop(request.reply_permit.send(ClientReply {
        tag: request.tag,
        id: request.arrival.id,
        answer,
    }));
}

/// Keeps paused time from advancing by itself: one task is always ready.
pub fn disable_auto_advance() {
    spawn_local(async {
        loop {
            yield_now().await;
        }
    });
}

/// A response as its client reads it, without the body.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Response {
    pub tag: String,
    /// Status and fields.
    pub head: String,
}

/// The expected response: its tag, and its status and fields.
pub fn response(tag: u64, head: &str) -> Response {
    Response {
        tag: tag.to_string(),
        head: head.to_owned(),
    }
}
