//! The control socket, by which `chalkhall` commands query a running router. Each connection sends
//! one line of words and receives one JSON object.

use crate::io_errors::AcceptFailure;
use crate::messages::{Message, OperatorQuery};
use crate::operator_query::Query;
use crate::rate_limited_log::RateLimitedLog;
use crate::retrying_stream::RetryingStream;
use serde_json::json;
use std::fs::{self, Permissions};
use std::io;
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The limit on concurrent connections; more wait to be accepted.
const MAX_CONNECTIONS: usize = 4;
const MAX_LINE_BYTES: u64 = 256;
/// The time limit for reading and answering a query.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause after a persistent failure to accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
/// The number of consecutive failures that causes a pause even if each one is transient.
const MAX_CONSECUTIVE_FAILURES: usize = 32;

/// A socket that is accessible only to its owner. The file is removed on drop.
pub struct ControlSocket {
    listener: UnixListener,
    path: PathBuf,
}

impl Drop for ControlSocket {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.path);
    }
}

/// Listens on a path. A stale socket of an earlier process is removed; a file of another type is
/// not.
///
/// # Errors
/// Another router listens on the path, or the socket cannot be created.
pub fn listen(path: &Path) -> io::Result<ControlSocket> {
    if fs::symlink_metadata(path).is_ok_and(|found| found.file_type().is_socket()) {
        if std::os::unix::net::UnixStream::connect(path).is_ok() {
            return Err(io::Error::new(
                io::ErrorKind::AddrInUse,
                "another router is listening on this path",
            ));
        }
        fs::remove_file(path)?;
    }
    let listener = UnixListener::bind(path)?;
    fs::set_permissions(path, Permissions::from_mode(0o600))?;
    Ok(ControlSocket {
        listener,
        path: path.to_path_buf(),
    })
}

/// The task that accepts connections.
struct Acceptor {
    socket: ControlSocket,
    decider: mpsc::Sender<Message>,
    /// The number of open connections.
    open_connections: usize,
    /// Notified by each connection when it ends.
    connection_ended: mpsc::Sender<()>,
    consecutive_failures: usize,
    log: RateLimitedLog,
}

/// Answers queries until the router ends.
pub async fn run(socket: ControlSocket, decider: mpsc::Sender<Message>) {
    let (connection_ended, mut ended) = mpsc::channel::<()>(MAX_CONNECTIONS);
    let mut acceptor = Acceptor {
        socket,
        decider,
        open_connections: 0,
        connection_ended,
        consecutive_failures: 0,
        log: RateLimitedLog::default(),
    };
    loop {
        tokio::select! {
            accepted = acceptor.socket.listener.accept(),
                if acceptor.open_connections < MAX_CONNECTIONS =>
            {
                match accepted {
                    Ok((stream, _)) => acceptor.serve(stream),
                    Err(error) => acceptor.back_off(&error).await,
                }
            }
            Some(()) = ended.recv() => acceptor.open_connections -= 1,
        }
    }
}

impl Acceptor {
    /// Starts the task that answers a connection.
    fn serve(&mut self, stream: UnixStream) {
        self.consecutive_failures = 0;
        self.open_connections += 1;
        let (decider, connection_ended) = (self.decider.clone(), self.connection_ended.clone());
        spawn_local(async move {
            let answered = timeout(CONNECTION_TIMEOUT, answer(stream, decider)).await;
            if let Ok(Err(error)) = answered {
                log::debug!(reason:% = error; "control socket: connection failed");
            }
            let _ = connection_ended.send(()).await;
        });
    }

    /// Pauses after a failure to accept that may persist.
    async fn back_off(&mut self, error: &io::Error) {
        self.consecutive_failures += 1;
        let is_transient = AcceptFailure::from(error).is_transient();
        if is_transient && self.consecutive_failures < MAX_CONSECUTIVE_FAILURES {
            return;
        }
        self.consecutive_failures = 0;
        self.log
            .log(&format!("control socket: accept failed: {error}"));
        sleep(ACCEPT_PAUSE).await;
    }
}

/// Reads a query and writes its answer.
async fn answer(stream: UnixStream, decider: mpsc::Sender<Message>) -> io::Result<()> {
    let (reader, writer) = stream.into_split();
    let (reader, mut writer) = (RetryingStream::new(reader), RetryingStream::new(writer));
    let mut line = String::new();
    BufReader::new(reader.take(MAX_LINE_BYTES))
        .read_line(&mut line)
        .await?;
    let (answer, answered) = oneshot::channel();
    let query = Query::parse(&line);
    let query = OperatorQuery { query, answer };
    let sent = decider.send(Message::OperatorQuery(query)).await;
    let reply = match (sent, answered.await) {
        (Ok(()), Ok(reply)) => reply,
        _ => json!({"error": "the router has stopped"}),
    };
    writer.write_all(format!("{reply}\n").as_bytes()).await
}
