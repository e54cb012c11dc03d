//! Addresses, listeners and full accept queues on the loopback interface.

use super::wait::*;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

/// A loopback address that no other caller gets and that has never had a listener.
///
/// The address of a closed listener would not do: a process that another test is starting may have
/// inherited that listener and hold it open until its `exec`.
pub fn unused_address() -> SocketAddr {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let (n, process) = (LAST.fetch_add(1, Ordering::Relaxed), std::process::id());
    let [_, _, high, low] = n.to_be_bytes();
    SocketAddr::from((
        [
            127,
            1 + (process % 200) as u8,
            high ^ (process >> 8) as u8,
            low,
        ],
        5050,
    ))
}

/// Listens at an address of its own.
pub fn listen() -> TcpListener {
    TcpListener::bind(unused_address()).unwrap()
}

/// Accepts a connection if one is pending.
pub fn try_accept(listener: &TcpListener) -> Option<TcpStream> {
    listener.set_nonblocking(true).unwrap();
    let (stream, _) = listener.accept().ok()?;
    stream.set_nonblocking(false).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    Some(stream)
}

/// Waits for a connection and accepts it.
pub fn accept(listener: &TcpListener) -> TcpStream {
    let mut stream = None;
    wait_until("a connection", || {
        stream = try_accept(listener);
        stream.is_some()
    });
    stream.unwrap()
}

/// Fills the accept queue of a listener that accepts nothing: no further connection is established
/// while the returned ones are held.
pub fn fill_accept_queue(at: SocketAddr) -> Vec<TcpStream> {
    let connect = |_: &u32| TcpStream::connect_timeout(&at, Duration::from_millis(200)).ok();
    (0..8192).map_while(|n| connect(&n)).collect()
}

/// Unread data or the end of the connection has arrived.
pub fn has_unread_data(reader: &BufReader<TcpStream>) -> bool {
    let stream = reader.get_ref();
    stream.set_nonblocking(true).unwrap();
    let has_arrived = stream.peek(&mut [0]).is_ok();
    stream.set_nonblocking(false).unwrap();
    has_arrived || !reader.buffer().is_empty()
}

/// Makes a stream reset its connection when it is dropped, instead of closing it.
pub fn reset_on_drop(stream: &TcpStream) {
    let stream = socket2::SockRef::from(stream);
    stream.set_linger(Some(Duration::ZERO)).unwrap();
}
