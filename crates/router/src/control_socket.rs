//! The control socket: one line of words in, one JSON object out, for `chalkhall`'s commands
//! against a live router.

use crate::io_errors::AcceptFailure;
use crate::messages::{Message, OperatorQuery};
use crate::operator_query::Query;
use crate::rate_limited_log::RateLimitedLog;
use crate::uninterrupted::Uninterrupted;
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

/// Connections that are not answered yet; more wait to be accepted.
const MAX_OPEN: usize = 4;
const MAX_LINE_BYTES: u64 = 256;
/// For a connection to be read and answered.
const CONNECTION_TIMEOUT: Duration = Duration::from_secs(2);
/// After an accept failed, unless only one connection did.
const PAUSE: Duration = Duration::from_millis(100);
/// Connections that fail as they are accepted, one after the other, before there is a pause all the
/// same.
const MAX_FAILURES_IN_A_ROW: usize = 32;

/// A socket that only its owner may use; it is removed at the end.
pub struct ControlSocket {
    listener: UnixListener,
    path: PathBuf,
}

impl Drop for ControlSocket {
    fn drop(&mut self) {
        let _ = fs::remove_file(&self.path);
    }
}

/// Listens at a path. A socket that an earlier process left there is removed; anything else is not.
///
/// # Errors
/// Another router listens there, or the system refuses.
pub fn listen(path: &Path) -> io::Result<ControlSocket> {
    if fs::symlink_metadata(path).is_ok_and(|found| found.file_type().is_socket()) {
        if std::os::unix::net::UnixStream::connect(path).is_ok() {
            return Err(io::Error::new(
                io::ErrorKind::AddrInUse,
                "another router listens there",
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
    /// Connections that are not answered yet.
    open: usize,
    /// Each connection reports its end here.
    done: mpsc::Sender<()>,
    failures_in_a_row: usize,
    log: RateLimitedLog,
}

/// Answers operators until the router ends.
pub async fn run(socket: ControlSocket, decider: mpsc::Sender<Message>) {
    let (done, mut ended) = mpsc::channel::<()>(MAX_OPEN);
    let mut acceptor = Acceptor {
        socket,
        decider,
        open: 0,
        done,
        failures_in_a_row: 0,
        log: RateLimitedLog::default(),
    };
    loop {
        tokio::select! {
            accepted = acceptor.socket.listener.accept(), if acceptor.open < MAX_OPEN => {
                match accepted {
                    Ok((stream, _)) => acceptor.serve(stream),
                    Err(error) => acceptor.back_off(&error).await,
                }
            }
            Some(()) = ended.recv() => acceptor.open -= 1,
        }
    }
}

impl Acceptor {
    /// Starts the task that answers a connection.
    fn serve(&mut self, stream: UnixStream) {
        self.failures_in_a_row = 0;
        self.open += 1;
        let (decider, done) = (self.decider.clone(), self.done.clone());
        spawn_local(async move {
            let answered = timeout(CONNECTION_TIMEOUT, answer(stream, decider)).await;
            if let Ok(Err(error)) = answered {
                log::debug!(reason:% = error; "control socket: a connection failed");
            }
            let _ = done.send(()).await;
        });
    }

    /// Pauses where accepting failed for what may last.
    async fn back_off(&mut self, error: &io::Error) {
        self.failures_in_a_row += 1;
        let is_transient = AcceptFailure::from(error).is_transient();
        if is_transient && self.failures_in_a_row < MAX_FAILURES_IN_A_ROW {
            return;
        }
        self.failures_in_a_row = 0;
        self.log.log(&format!("control socket: {error}"));
        sleep(PAUSE).await;
    }
}

/// Reads one query, and writes its answer.
async fn answer(stream: UnixStream, decider: mpsc::Sender<Message>) -> io::Result<()> {
    let (reader, writer) = stream.into_split();
    let (reader, mut writer) = (Uninterrupted::new(reader), Uninterrupted::new(writer));
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
        _ => json!({"error": "the router has ended"}),
    };
    writer.write_all(format!("{reply}\n").as_bytes()).await
}
