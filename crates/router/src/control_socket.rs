//! The control socket: one line of words in, one JSON object out, for `chalkhall`'s commands against a live
//! router.

use crate::io_errors::AcceptFailure;
use crate::messages::{Message, OperatorQuery};
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

/// Who asks and is not answered yet; more wait to be taken.
const ASKING_MOST: usize = 4;
const LINE_MOST: u64 = 256;
const PATIENCE: Duration = Duration::from_secs(2);
/// After an accept failed, unless only one connection did.
const PAUSE: Duration = Duration::from_millis(100);
/// Connections that fail as they are accepted, one after the other; after more there is a pause too.
const FAILED_IN_A_ROW: usize = 32;

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

/// Listens at a path. A socket that an earlier life left there is taken away; anything else is not.
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

pub async fn run(socket: ControlSocket, decider: mpsc::Sender<Message>) {
    let (done, mut ended) = mpsc::channel::<()>(ASKING_MOST);
    let (mut asking, mut failed_in_a_row, mut refused) = (0, 0, RateLimitedLog::default());
    loop {
        tokio::select! {
            taken = socket.listener.accept(), if asking < ASKING_MOST => match taken {
                Ok((stream, _)) => {
                    failed_in_a_row = 0;
                    let (decider, done) = (decider.clone(), done.clone());
                    asking += 1;
                    spawn_local(async move {
                        if let Ok(Err(what)) = timeout(PATIENCE, answer(stream, decider)).await {
                            log::debug!("control socket: {what}");
                        }
                        let _ = done.send(()).await;
                    });
                }
                Err(what) => {
                    failed_in_a_row += 1;
                    if AcceptFailure::from(&what).is_transient() && failed_in_a_row < FAILED_IN_A_ROW {
                        continue;
                    }
                    failed_in_a_row = 0;
                    refused.log(&format!("control socket: {what}"));
                    sleep(PAUSE).await;
                }
            },
            Some(()) = ended.recv() => asking -= 1,
        }
    }
}

async fn answer(stream: UnixStream, decider: mpsc::Sender<Message>) -> io::Result<()> {
    let (reader, writer) = stream.into_split();
    let (reader, mut writer) = (Uninterrupted::new(reader), Uninterrupted::new(writer));
    let mut line = String::new();
    BufReader::new(reader.take(LINE_MOST))
        .read_line(&mut line)
        .await?;
    let words = line.split_whitespace().map(str::to_owned).collect();
    let (answer, told) = oneshot::channel();
    let asked = decider
        .send(Message::OperatorQuery(OperatorQuery { words, answer }))
        .await;
    let said = match (asked, told.await) {
        (Ok(()), Ok(said)) => said,
        _ => json!({"error": "the router has ended"}),
    };
    writer.write_all(format!("{said}\n").as_bytes()).await
}
