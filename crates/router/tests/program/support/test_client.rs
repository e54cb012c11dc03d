//! A client of the router: writes requests and reads answers.

use super::loopback::*;
use super::wait::*;
use std::fmt::Display;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};

/// A request id that is unique within this process.
pub fn new_id() -> String {
    static LAST: AtomicU32 = AtomicU32::new(0);
    format!("{:016x}", LAST.fetch_add(1, Ordering::Relaxed))
}

/// A connection of a client to the router.
pub struct TestClient {
    reader: BufReader<TcpStream>,
}

/// A message of the client protocol: an array of byte strings.
pub fn frame(parts: &[&[u8]]) -> Vec<u8> {
    let mut bytes = format!("*{}\r\n", parts.len()).into_bytes();
    for part in parts {
        bytes.extend([format!("${}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat());
    }
    bytes
}

/// The message of a request.
fn request_frame(tag: impl Display, class: &str, fields: impl AsRef<[u8]>, body: &[u8]) -> Vec<u8> {
    frame(&[
        b"REQ",
        tag.to_string().as_bytes(),
        class.as_bytes(),
        fields.as_ref(),
        body,
    ])
}

/// A final answer from the router.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct ClientAnswer {
    /// The tag of the request that it answers.
    pub tag: u64,
    /// The kind of answer: `ACK`, `NAK`, `FAIL`, or a health state.
    pub word: String,
    /// Comma-separated fields.
    pub fields: String,
    pub body: Vec<u8>,
}

impl ClientAnswer {
    /// An answer to compare with.
    pub fn new(tag: u64, word: &str, fields: &str, body: impl AsRef<[u8]>) -> ClientAnswer {
        ClientAnswer {
            tag,
            word: word.to_owned(),
            fields: fields.to_owned(),
            body: body.as_ref().to_vec(),
        }
    }
}

impl TestClient {
    /// Sends a message of these parts.
    pub fn send(&mut self, parts: &[&[u8]]) {
        self.write(&frame(parts));
    }

    /// Connects; `None` if the connection is refused.
    pub fn connect(address: SocketAddr) -> Option<TestClient> {
        let stream = TcpStream::connect(address).ok()?;
        stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        stream.set_nodelay(true).unwrap();
        Some(TestClient {
            reader: BufReader::new(stream),
        })
    }

    /// Waits for an answer; `None` if the connection ends without one.
    pub fn try_read_answer(&mut self) -> Option<ClientAnswer> {
        let ended = self.reader.fill_buf().is_ok_and(<[u8]>::is_empty);
        (!ended).then(|| self.read_answer())
    }

    /// Requests the router's health state; `None` if the connection ends without an answer.
    pub fn try_health(&mut self) -> Option<String> {
        self.reader
            .get_mut()
            .write_all(&frame(&[b"HEALTH", b"1000", b""]))
            .ok()?;
        let has_answer = self.reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty());
        has_answer.then(|| self.read_answer_word())
    }

    /// Shuts down the write side; the read side stays open.
    pub fn half_close(&self) {
        self.reader.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    /// Resets the connection instead of closing it.
    pub fn reset(self) {
        reset_on_drop(self.reader.get_ref());
    }

    /// Reads to the end: the router has closed the connection without a reset and without further
    /// data.
    pub fn is_closed_in_order(&mut self) -> bool {
        matches!(self.reader.read_to_end(&mut Vec::new()), Ok(0))
    }

    /// Writes bytes as they are.
    pub fn write(&mut self, bytes: &[u8]) {
        self.reader.get_mut().write_all(bytes).unwrap();
    }

    /// Requests the object with the same number as the tag, with further fields; returns the
    /// request id. The deadline is 4 s unless the fields give one.
    pub fn send_request(
        &mut self,
        tag: u64,
        class: &str,
        more_fields: &str,
        body: &[u8],
    ) -> String {
        let id = new_id();
        let fields = format!(
            "i={id},o={tag:016x},lot=1,m=10.5{}{more_fields}",
            if more_fields.is_empty() { "" } else { "," }
        );
        let fields = if more_fields.contains("d=") {
            fields
        } else {
            format!("{fields},d=4000")
        };
        self.send_raw_request(tag, class, &fields, body);
        id
    }

    /// Requests the object with the same number as the tag; false if the connection is closed.
    pub fn try_send_request(&mut self, tag: u64, class: &str, limit_ms: u64) -> bool {
        let id = new_id();
        let fields = format!("i={id},o={tag:016x},lot=1,m=1,d={limit_ms}");
        let request = request_frame(tag, class, &fields, b"");
        self.reader.get_mut().write_all(&request).is_ok()
    }

    /// Sends a request with exactly these fields.
    pub fn send_raw_request(
        &mut self,
        tag: impl Display,
        class: &str,
        fields: impl AsRef<[u8]>,
        body: &[u8],
    ) {
        self.write(&request_frame(tag, class, fields, body));
    }

    /// Cancels the request with this tag.
    pub fn abort(&mut self, tag: u64) {
        self.send(&[b"ABORT", tag.to_string().as_bytes()]);
    }

    /// Waits for an answer.
    pub fn read_answer(&mut self) -> ClientAnswer {
        let parts = self.read_number('*');
        let parts: Vec<Vec<u8>> = (0..parts).map(|_| self.read_part()).collect();
        let text = |part: &Vec<u8>| String::from_utf8(part.clone()).unwrap();
        ClientAnswer {
            tag: text(&parts[0]).parse().unwrap(),
            word: text(&parts[1]),
            fields: text(&parts[2]),
            body: parts[3].clone(),
        }
    }

    fn read_part(&mut self) -> Vec<u8> {
        let mut part = vec![0; self.read_number('$') + 2];
        self.reader.read_exact(&mut part).unwrap();
        part.truncate(part.len() - 2);
        part
    }

    fn read_number(&mut self, sign: char) -> usize {
        let mut line = String::new();
        self.reader.read_line(&mut line).unwrap();
        let number = line.trim_end().strip_prefix(sign);
        number
            .and_then(|n| n.parse().ok())
            .unwrap_or_else(|| panic!("not a length line of the client protocol: {line:?}"))
    }

    /// Unread data or the end of the connection has arrived.
    pub fn has_unread_data(&mut self) -> bool {
        has_unread_data(&self.reader)
    }

    /// Waits for an answer and returns its kind.
    pub fn read_answer_word(&mut self) -> String {
        self.read_answer().word
    }

    /// Reads to the end: the router has closed or reset the connection.
    pub fn is_closed(&mut self) -> bool {
        let mut rest = Vec::new();
        match self.reader.read_to_end(&mut rest) {
            Ok(_) => true,
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// Requests the router's health state: `GREEN` when ready, `RED` when shutting down.
    pub fn health(&mut self) -> String {
        self.send(&[b"HEALTH", b"1000", b""]);
        self.read_answer_word()
    }
}
