//! A fake cache server, parent or origin: its connections, the requests that it reads and the
//! responses that it writes.

use super::loopback::*;
use super::router_process::RouterProcess;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::thread::spawn;

/// Fields of a cache hit response.
pub const HIT_FIELDS: &str = "tell=hit,etag=4be0c1927d55a6f3,made=1";

/// A connection of the router that a fake server or the fake discovery service has accepted. It
/// carries lines of text, some of them followed by a body.
pub struct LineConnection {
    reader: BufReader<TcpStream>,
}

impl LineConnection {
    /// Wraps an accepted stream.
    pub fn new(stream: TcpStream) -> LineConnection {
        LineConnection {
            reader: BufReader::new(stream),
        }
    }

    /// Waits for the next line; empty at the end of the connection.
    pub fn read_line(&mut self) -> String {
        let mut line = String::new();
        match self.reader.read_line(&mut line) {
            Err(e) if e.kind() != std::io::ErrorKind::ConnectionReset => {
                panic!("reading a line from the router failed: {e}")
            }
            _ => line.trim_end().to_owned(),
        }
    }

    /// Unread data or the end of the connection has arrived.
    pub fn has_unread_data(&mut self) -> bool {
        has_unread_data(&self.reader)
    }

    /// Writes text to the router.
    pub fn send(&mut self, text: impl AsRef<[u8]>) {
        self.reader.get_mut().write_all(text.as_ref()).unwrap();
    }

    /// Resets the connection instead of closing it.
    pub fn reset(self) {
        reset_on_drop(self.reader.get_ref());
    }

    /// Shuts down the write side; the read side stays open.
    pub fn half_close(&self) {
        self.reader.get_ref().shutdown(Shutdown::Write).unwrap();
    }

    /// Writes text to the router; false once the router has closed the connection.
    pub fn try_send(&mut self, text: &str) -> bool {
        self.reader.get_mut().write_all(text.as_bytes()).is_ok()
    }

    /// Waits for the next request.
    pub fn read_request(&mut self) -> ReceivedRequest {
        self.read_request_or_close()
            .expect("the connection ended before a request")
    }

    /// Waits for the next request; `None` if the router closes the connection.
    pub fn read_request_or_close(&mut self) -> Option<ReceivedRequest> {
        let line = self.read_line();
        (!line.is_empty()).then(|| self.parse_request(&line))
    }

    /// Waits for the next request and ignores cancellations; `None` if the router closes the
    /// connection.
    pub fn next_request(&mut self) -> Option<ReceivedRequest> {
        loop {
            let line = self.read_line();
            if line.is_empty() {
                return None;
            }
            if !line.starts_with("QUIT ") {
                return Some(self.parse_request(&line));
            }
        }
    }

    /// Reads a request that has arrived; `None` if there is no data, or it is another line or the
    /// end of the connection.
    pub fn try_read_request(&mut self) -> Option<ReceivedRequest> {
        if !self.has_unread_data() {
            return None;
        }
        let line = self.read_line();
        line.starts_with("ASK ").then(|| self.parse_request(&line))
    }

    fn parse_request(&mut self, line: &str) -> ReceivedRequest {
        let words: Vec<&str> = line.split(' ').collect();
        assert!(
            words.len() == 4 && words[0] == "ASK",
            "not a request: {line:?}"
        );
        let fields = words[2].split(',').filter_map(|f| f.split_once('='));
        let fields = fields
            .map(|(name, value)| (name.to_owned(), value.to_owned()))
            .collect();
        let mut body = vec![0; words[3].parse::<usize>().unwrap() + 2];
        self.reader.read_exact(&mut body).unwrap();
        assert_eq!(body.split_off(body.len() - 2), b"\r\n");
        ReceivedRequest {
            id: words[1].to_owned(),
            fields,
            body,
        }
    }

    /// Reads a request and responds with a cache hit.
    pub fn respond_hit(&mut self, body: &[u8]) {
        let request = self.read_request();
        self.respond(&request, "OK", HIT_FIELDS, body);
    }

    /// Responds to a request with this status word, these fields and this body.
    pub fn respond(&mut self, request: &ReceivedRequest, word: &str, fields: &str, body: &[u8]) {
        self.send(
            [
                format!("{} {word} {fields} {}\r\n", request.id, body.len()).as_bytes(),
                body,
                b"\r\n",
            ]
            .concat(),
        );
    }
}

/// A request as the router wrote it.
pub struct ReceivedRequest {
    pub id: String,
    pub fields: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
    /// The value of a field; empty if the request does not carry it.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }
}

/// A fake server that listens on loopback; the test accepts, reads and responds step by step.
pub struct FakeServer {
    pub name: String,
    kind: &'static str,
    pub listener: TcpListener,
    pub dial: SocketAddr,
}

impl FakeServer {
    /// Listens at an address of its own.
    pub fn new(name: &str, kind: &'static str) -> FakeServer {
        let listener = listen();
        let dial = listener.local_addr().unwrap();
        FakeServer {
            name: name.to_owned(),
            kind,
            listener,
            dial,
        }
    }

    /// Its entry in an endpoint list, with this health state.
    pub fn entry(&self, health: &str) -> Value {
        json!({"host": self.name, "dial": self.dial.to_string(), "site": "here",
            "class": self.kind, "block": 0, "health": health, "share": 4, "born_ms": 0})
    }

    /// Waits for a connection of the router and accepts it.
    pub fn accept(&self) -> LineConnection {
        LineConnection::new(accept(&self.listener))
    }

    /// Accepts a connection of the router if one is pending.
    pub fn try_accept(&self) -> Option<LineConnection> {
        try_accept(&self.listener).map(LineConnection::new)
    }

    /// Closes a connection and waits until the router has closed it too.
    pub fn close_and_wait(&self, router: &RouterProcess, connection: LineConnection) {
        drop(connection);
        let mut client = router.connect();
        assert_eq!(client.health(), "GREEN");
    }

    /// Shrinks the receive buffers of its connections, so that one that is not read fills up soon.
    pub fn shrink_receive_buffer(&self) {
        socket2::SockRef::from(&self.listener)
            .set_recv_buffer_size(4096)
            .unwrap();
    }

    /// Fills its accept queue: no further connection is established while the returned ones are
    /// held.
    pub fn fill_accept_queue(&self) -> Vec<TcpStream> {
        fill_accept_queue(self.dial)
    }

    /// Accepts connections until the router's, which waited behind those that fill the queue.
    pub fn accept_behind(&self, queue: &[TcpStream]) -> TcpStream {
        let port = |stream: &TcpStream| stream.local_addr().unwrap().port();
        let ports: Vec<u16> = queue.iter().map(port).collect();
        loop {
            let (stream, from) = self.listener.accept().unwrap();
            if !ports.contains(&from.port()) {
                return stream;
            }
        }
    }
}

/// A body of this length in which adjacent bytes differ.
pub fn body_of_length(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n * 31 % 251) as u8).collect()
}

/// Answers each request at a server with a small body.
pub fn answer_each_request(listener: TcpListener) {
    listener.set_nonblocking(false).unwrap();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            stream.set_nodelay(true).unwrap();
            spawn(move || {
                let mut connection = LineConnection::new(stream);
                while let Some(request) = connection.next_request() {
                    connection.respond(&request, "OK", HIT_FIELDS, b"small");
                }
            });
        }
    });
}
