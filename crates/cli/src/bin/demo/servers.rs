//! Stand-ins for cache servers, the parent and the origin, each with a listener of its own. Like a
//! real one, a cache or parent that does not hold an object fetches it over a connection from the
//! next tier.

use crate::error::DemoError;
use std::cell::RefCell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const OBJECT_BYTES: usize = 2_000;
const MAX_BODY_BYTES: usize = 64_000;

/// A server's position in the hierarchy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tier {
    /// Asked by the router first.
    Cache,
    /// Between the caches and the origin.
    Parent,
    /// Has every object.
    Origin,
}

/// A stand-in for a server.
pub struct Server {
    /// Its name in discovery's list.
    pub name: &'static str,
    /// The address at which it listens.
    pub address: SocketAddr,
    pub tier: Tier,
    held: RefCell<HashSet<String>>,
    fleet: Weak<Fleet>,
}

/// How a server obtained the object that it was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retrieval {
    /// It held the object.
    Hit,
    /// It fetched the object from the next tier.
    Filled,
    /// It could not obtain the object.
    Missing,
}

impl Retrieval {
    /// The keyword in the servers' protocol and in the summary.
    pub fn keyword(self) -> &'static str {
        match self {
            Retrieval::Hit => "hit",
            Retrieval::Filled => "filled",
            Retrieval::Missing => "miss",
        }
    }
}

/// How a server answered a request.
#[derive(Clone, Debug)]
pub struct ServerAnswer {
    /// The request's id.
    pub request: String,
    /// The server's name.
    pub server: &'static str,
    /// How it obtained the object.
    pub retrieval: Retrieval,
}

/// All stand-in servers, and what they answered, in order.
#[derive(Default)]
pub struct Fleet {
    servers: RefCell<Vec<Rc<Server>>>,
    answers: RefCell<Vec<ServerAnswer>>,
}

/// A request line of the servers' protocol: `ASK ID NAME=VALUE,... LENGTH`.
struct Request {
    id: String,
    object: String,
    source: Option<String>,
    retain: bool,
}

impl Fleet {
    /// Starts a server.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub async fn start(
        self: &Rc<Self>,
        name: &'static str,
        tier: Tier,
        address: SocketAddr,
    ) -> Result<(), DemoError> {
        let bound = TcpListener::bind(address).await;
        let listener = bound.map_err(|source| DemoError::Listen { address, source })?;
        let server = Rc::new(Server {
            name,
            address: listener.local_addr().map_err(DemoError::LocalAddress)?,
            tier,
            held: RefCell::default(),
            fleet: Rc::downgrade(self),
        });
        self.servers.borrow_mut().push(server.clone());
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(server.clone().serve(stream));
            }
        });
        Ok(())
    }

    /// All servers, in the order in which they were started.
    pub fn servers(&self) -> Vec<Rc<Server>> {
        self.servers.borrow().clone()
    }

    /// The answers of all servers to a request, starting with that of the server that the router
    /// asked.
    pub fn answers_to(&self, request: &str) -> Vec<ServerAnswer> {
        let answers = self.answers.borrow();
        let of_request = answers.iter().filter(|answer| answer.request == request);
        // A server records its answer after the server that it fetched from.
        of_request.rev().cloned().collect()
    }

    fn address_of(&self, name: &str) -> Option<SocketAddr> {
        let servers = self.servers.borrow();
        let server = servers.iter().find(|server| server.name == name);
        server.map(|server| server.address)
    }

    fn origin(&self) -> Option<String> {
        let servers = self.servers.borrow();
        let origin = servers.iter().find(|server| server.tier == Tier::Origin);
        origin.map(|server| server.name.to_owned())
    }
}

impl Server {
    /// Serves a connection until the other side closes it or sends an invalid request.
    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let (reader, mut writer) = stream.into_split();
        let mut reader = BufReader::new(reader);
        let mut line = String::new();
        loop {
            line.clear();
            if !matches!(reader.read_line(&mut line).await, Ok(bytes) if bytes > 0) {
                return;
            }
            if line.starts_with("QUIT ") {
                continue;
            }
            let Some((request, body_bytes)) = parse_request(&line) else {
                return;
            };
            let mut body = vec![0; body_bytes + 2];
            if reader.read_exact(&mut body).await.is_err() {
                return;
            }
            let answer = self.answer(&request).await;
            if writer.write_all(&answer).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, request: &Request) -> Vec<u8> {
        let retrieval = self.obtain(request).await;
        if let Some(fleet) = self.fleet.upgrade() {
            fleet.answers.borrow_mut().push(ServerAnswer {
                request: request.id.clone(),
                server: self.name,
                retrieval,
            });
        }
        let id = &request.id;
        if retrieval == Retrieval::Missing {
            return format!("{id} MISS - 0\r\n\r\n").into_bytes();
        }
        let (made, keyword) = (unix_ms(), retrieval.keyword());
        let head =
            format!("{id} OK tell={keyword},etag=4be0c1927d55a6f3,made={made} {OBJECT_BYTES}\r\n");
        let mut answer = head.into_bytes();
        answer.resize(answer.len() + OBJECT_BYTES, b'x');
        answer.extend_from_slice(b"\r\n");
        answer
    }

    /// Looks up the object or fetches it, and retains it if the request says so.
    async fn obtain(&self, request: &Request) -> Retrieval {
        if self.tier == Tier::Origin || self.held.borrow().contains(&request.object) {
            return Retrieval::Hit;
        }
        if !self.fetch(request).await {
            return Retrieval::Missing;
        }
        if request.retain {
            self.held.borrow_mut().insert(request.object.clone());
        }
        Retrieval::Filled
    }

    /// Fetches the object from the next tier. Returns whether it was received.
    async fn fetch(&self, request: &Request) -> bool {
        let Some(fleet) = self.fleet.upgrade() else {
            return false;
        };
        let source = match self.tier {
            Tier::Cache => request.source.clone(),
            Tier::Parent => fleet.origin(),
            Tier::Origin => None,
        };
        let Some(address) = source.and_then(|name| fleet.address_of(&name)) else {
            return false;
        };
        fetch_from(address, request).await.unwrap_or(false)
    }
}

async fn fetch_from(source: SocketAddr, request: &Request) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(source).await?;
    let line = format!(
        "ASK {} item={},keep=1 0\r\n\r\n",
        request.id, request.object
    );
    stream.write_all(line.as_bytes()).await?;
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    reader.read_line(&mut head).await?;
    let has_object = head.split(' ').nth(1) == Some("OK");
    if has_object {
        reader.read_exact(&mut [0; OBJECT_BYTES + 2]).await?;
    }
    Ok(has_object)
}

/// Parses a request line. Returns the request and the length of the body that follows.
fn parse_request(line: &str) -> Option<(Request, usize)> {
    let words: Vec<&str> = line.trim_end().split(' ').collect();
    let ["ASK", id, fields, length] = words.as_slice() else {
        return None;
    };
    let field = |name: &str| {
        let pairs = fields.split(',').filter_map(|pair| pair.split_once('='));
        let mut values = pairs.filter(|(key, _)| *key == name);
        values.next().map(|(_, value)| value.to_owned())
    };
    let request = Request {
        id: (*id).to_owned(),
        object: field("item")?,
        source: field("src"),
        retain: field("keep").is_some(),
    };
    let length = length.parse().ok()?;
    (length <= MAX_BODY_BYTES).then_some((request, length))
}

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis())
}
