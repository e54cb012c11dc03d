//! A client of the router with one connection and one request at a time. Frames are RESP arrays of
//! bulk strings.

use crate::error::DemoError;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// The deadline of each request.
pub const REQUEST_DEADLINE: Duration = Duration::from_millis(1_500);
const MAX_PART_BYTES: usize = 300_000;

/// The router's final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The object was received.
    Served,
    /// The request never ran; the client may retry it.
    Rejected,
    /// The request may have run.
    Failed,
}

/// The router's answer to a request, and how long it took.
#[derive(Debug)]
pub struct Answer {
    pub outcome: Outcome,
    /// From the first byte sent to the last one received.
    pub elapsed: Duration,
}

/// A connection to the router.
pub struct Client {
    stream: BufReader<TcpStream>,
    last_tag: u64,
}

impl Client {
    /// Opens a connection to the router.
    ///
    /// # Errors
    /// The router refuses the connection, or does not listen yet.
    pub async fn connect(router: SocketAddr) -> Result<Client, DemoError> {
        let stream = TcpStream::connect(router).await?;
        stream.set_nodelay(true)?;
        Ok(Client {
            stream: BufReader::new(stream),
            last_tag: 0,
        })
    }

    /// Sends one request and waits for its final answer.
    ///
    /// # Errors
    /// The connection broke, or the answer violates the protocol.
    pub async fn request(
        &mut self,
        class: &str,
        id: &str,
        object: &str,
    ) -> Result<Answer, DemoError> {
        let deadline_ms = REQUEST_DEADLINE.as_millis();
        let fields = format!("i={id},d={deadline_ms},o={object},m=9");
        let begun = Instant::now();
        let keyword = self.exchange("REQ", &[class, &fields, ""]).await?;
        let outcome = match keyword.as_str() {
            "ACK" => Outcome::Served,
            "NAK" => Outcome::Rejected,
            "FAIL" => Outcome::Failed,
            _ => return Err(DemoError::InvalidAnswer("neither ACK, NAK nor FAIL")),
        };
        Ok(Answer {
            outcome,
            elapsed: begun.elapsed(),
        })
    }

    /// Whether the router answers `GREEN` (it takes requests) rather than `RED` (it is starting or
    /// draining).
    ///
    /// # Errors
    /// The connection broke, or the answer violates the protocol.
    pub async fn is_healthy(&mut self) -> Result<bool, DemoError> {
        Ok(self.exchange("HEALTH", &[]).await? == "GREEN")
    }

    /// Sends a frame under a new tag; returns the keyword of the answer.
    async fn exchange(&mut self, verb: &str, rest: &[&str]) -> Result<String, DemoError> {
        self.last_tag += 1;
        let tag = self.last_tag.to_string();
        let parts = [&[verb, &tag], rest].concat();
        let mut frame = format!("*{}\r\n", parts.len());
        for part in parts {
            frame.push_str(&format!("${}\r\n{part}\r\n", part.len()));
        }
        self.stream.write_all(frame.as_bytes()).await?;

        let answer = self.read_frame().await?;
        match answer.as_slice() {
            [answer_tag, keyword, ..] if *answer_tag == tag => Ok(keyword.clone()),
            _ => Err(DemoError::InvalidAnswer(
                "its tag is not that of the request",
            )),
        }
    }

    async fn read_frame(&mut self) -> Result<Vec<String>, DemoError> {
        let count = self.read_length('*').await?;
        let mut parts = Vec::new();
        for _ in 0..count {
            let length = self.read_length('$').await?;
            let mut part = vec![0; length + 2];
            self.stream.read_exact(&mut part).await?;
            part.truncate(length);
            parts.push(String::from_utf8_lossy(&part).into_owned());
        }
        Ok(parts)
    }

    async fn read_length(&mut self, prefix: char) -> Result<usize, DemoError> {
        let mut line = String::new();
        self.stream.read_line(&mut line).await?;
        let digits = line.trim_end().strip_prefix(prefix);
        digits
            .and_then(|digits| digits.parse().ok())
            .filter(|length| *length <= MAX_PART_BYTES)
            .ok_or(DemoError::InvalidAnswer("a length is missing or invalid"))
    }
}
