use super::*;
use crate::messages::fixtures::{attempt_id, attempt_request};

fn send(request: Box<AttemptRequest>) -> ConnectionCommand {
    ConnectionCommand::Send(request)
}

fn cancel(request: &str) -> ConnectionCommand {
    ConnectionCommand::Cancel(attempt_id(request, 0))
}

fn text(chunks: &ChunkQueue) -> String {
    let slices = chunks.slices();
    let bytes: Vec<u8> = slices
        .iter()
        .flat_map(|chunk| chunk.iter().copied())
        .collect();
    String::from_utf8(bytes).unwrap()
}

/// Lets the socket accept at most this many bytes, and returns them.
fn write(attempts: &mut Attempts, max_bytes: usize) -> String {
    let mut accepted = String::new();
    let into = |chunks: &[IoSlice<'_>]| {
        let bytes: Vec<u8> = chunks
            .iter()
            .flat_map(|chunk| chunk.iter().copied())
            .collect();
        let part = &bytes[..bytes.len().min(max_bytes)];
        accepted = String::from_utf8_lossy(part).into_owned();
        if part.is_empty() {
            Err(io::ErrorKind::WouldBlock.into())
        } else {
            Ok(part.len())
        }
    };
    let result = attempts.write_with(Instant::now(), into);
    assert_eq!(result.is_err(), accepted.is_empty());
    accepted
}

fn take_ended(attempts: &mut Attempts) -> Vec<(String, Outcome)> {
    attempts
        .ended
        .drain(..)
        .map(|report| {
            (
                report.ended.attempt.request.to_string(),
                report.ended.outcome,
            )
        })
        .collect()
}

#[test]
fn only_attempts_with_a_written_byte_may_have_run() {
    let (long, none) = (Duration::from_secs(60), Duration::ZERO);
    let mut attempts = Attempts::default();
    for (id, timeout, send_timeout) in [
        ("a", long, long),
        ("b", long, long),
        ("c", long, none),
        ("d", none, long),
    ] {
        attempts.handle(
            Instant::now(),
            send(attempt_request(id, timeout, send_timeout)),
        );
    }
    attempts.stage_next_write();
    assert_eq!(write(&mut attempts, 1), "A");
    attempts.handle(Instant::now(), cancel("a"));
    attempts.handle(Instant::now(), cancel("b"));
    attempts.expire(Instant::now());
    let never_sent = |id: &str| (id.to_owned(), Outcome::NeverSent);
    assert_eq!(
        take_ended(&mut attempts),
        [
            ("a".into(), Outcome::Cancelled),
            never_sent("b"),
            never_sent("c"),
            never_sent("d")
        ]
    );
    attempts.handle(Instant::now(), send(attempt_request("e", long, long)));
    attempts.write_buffer = ChunkQueue::default();
    attempts.stage_next_write();
    assert_eq!(
        text(&attempts.write_buffer),
        "QUIT a\r\n",
        "cancellations are written before queued attempts"
    );
    attempts.disconnected(Outcome::NeverSent);
    assert_eq!(take_ended(&mut attempts), [never_sent("e")]);
}

/// The socket accepts nothing while a server hangs. An attempt that ends meanwhile, for any reason,
/// has not run.
#[test]
fn attempts_behind_a_full_socket_were_never_sent() {
    let (long, none) = (Duration::from_secs(60), Duration::ZERO);
    let never_sent = [("a".to_owned(), Outcome::NeverSent)];
    let stage = |send_timeout| {
        let mut attempts = Attempts::default();
        let request = attempt_request("a", long, send_timeout);
        let cancellation = request.cancellation.clone();
        attempts.handle(Instant::now(), send(request));
        attempts.stage_next_write();
        assert!(attempts.has_to_write() && attempts.next_deadline().is_some());
        (attempts, cancellation)
    };
    // The client leaves or gets its answer, the time to send passes, the attempt is cancelled, or
    // the connection breaks.
    let (mut left, cancellation) = stage(long);
    cancellation.cancel();
    left.expire(Instant::now());
    let (mut late, _) = stage(none);
    late.expire(Instant::now());
    let (mut cancelled, _) = stage(long);
    cancelled.handle(Instant::now(), cancel("a"));
    let (mut broken, _) = stage(long);
    broken.disconnected(Outcome::NeverSent);
    for mut attempts in [left, late, cancelled, broken] {
        assert_eq!(take_ended(&mut attempts), never_sent);
        attempts.stage_next_write();
        assert!(
            !attempts.has_to_write() && attempts.cancel_lines.is_empty(),
            "an ended attempt is still to be written"
        );
    }
    // Once its first byte is written, the attempt may have run.
    let (mut attempts, cancellation) = stage(none);
    assert_eq!(write(&mut attempts, 1), "A");
    cancellation.cancel();
    attempts.expire(Instant::now());
    assert!(take_ended(&mut attempts).is_empty());
    attempts.disconnected(Outcome::NeverSent);
    assert_eq!(
        take_ended(&mut attempts),
        [("a".to_owned(), Outcome::Broken)]
    );
}

/// A queued attempt is not sent once its client has left, even without a cancel command.
#[test]
fn queued_attempts_end_when_their_client_leaves() {
    let long = Duration::from_secs(60);
    let mut attempts = Attempts::default();
    let requests = ["a", "b"].map(|id| attempt_request(id, long, long));
    let cancellation = requests[0].cancellation.clone();
    for request in requests {
        attempts.handle(Instant::now(), send(request));
    }
    cancellation.cancel();
    attempts.expire(Instant::now());
    assert_eq!(
        take_ended(&mut attempts),
        [("a".to_owned(), Outcome::NeverSent)]
    );
    attempts.stage_next_write();
    assert_eq!(
        attempts
            .staged
            .map(|request| request.attempt.request.to_string())
            .as_deref(),
        Some("b")
    );
}

/// The time limit in the line excludes the time for which the attempt was queued. The age limit is
/// the one of the decision, and a partly written line is not encoded again.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_request_states_the_time_that_remains_when_its_first_byte_leaves() {
    let ms = Duration::from_millis;
    let mut attempts = Attempts::default();
    let mut late = attempt_request("a", ms(1000), ms(800));
    late.fill.max_age = Some(Duration::from_micros(50_900));
    attempts.handle(Instant::now(), send(late));
    tokio::time::advance(Duration::from_micros(300_500)).await;
    attempts.stage_next_write();
    // The socket accepts nothing for a while.
    assert_eq!(write(&mut attempts, 0), "");
    tokio::time::advance(ms(400)).await;
    let line = "ASK a cls=,item=,chunk=,limit=299,maxage=50 0\r\n\r\n";
    assert_eq!(write(&mut attempts, 20), line[..20]);
    tokio::time::advance(ms(200)).await;
    attempts.stage_next_write();
    assert_eq!(write(&mut attempts, 1000), line[20..]);
    assert!(!attempts.has_to_write());
}

/// A line cannot state less than 1 ms, which it states as long as any time remains.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn attempts_without_remaining_time_are_not_sent() {
    let mut attempts = Attempts::default();
    for (id, timeout) in [("a", 300), ("b", 299)] {
        let timeout = Duration::from_micros(timeout);
        let request = attempt_request(id, timeout, Duration::from_secs(1));
        attempts.handle(Instant::now(), send(request));
    }
    tokio::time::advance(Duration::from_micros(299)).await;
    attempts.expire(Instant::now());
    assert_eq!(
        take_ended(&mut attempts),
        [("b".to_owned(), Outcome::NeverSent)]
    );
    attempts.stage_next_write();
    assert!(write(&mut attempts, 1000).contains(",limit=1 "));
}

#[test]
fn the_body_of_an_answer_that_nothing_waits_for_is_not_admitted() {
    let long = Duration::from_secs(60);
    let mut attempts = Attempts::default();
    attempts.handle(Instant::now(), send(attempt_request("a", long, long)));
    attempts.stage_next_write();
    assert!(
        !attempts.admits_body(&Bytes::from("a"), 10),
        "it was not sent yet"
    );
    write(&mut attempts, 1);
    assert!(attempts.admits_body(&Bytes::from("a"), 10));
    attempts.handle(Instant::now(), cancel("a"));
    assert!(!attempts.admits_body(&Bytes::from("a"), 10));
}
