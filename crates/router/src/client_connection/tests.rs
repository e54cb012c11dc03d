//! Tests of a single client connection; the test plays the client, the listener and the decider.

use super::test_support::{
    connect, connect_with_capacity, disable_auto_advance, message, reply, request, request_within,
    response,
};
use super::*;
use crate::messages::FinalAnswer;
use tokio::io::AsyncWriteExt;
use tokio::task::{LocalSet, yield_now};

/// The router ends while two requests and a part of a third are unread on the connection.
#[tokio::test(flavor = "current_thread")]
async fn unread_requests_are_rejected_and_the_connection_is_closed_gracefully_as_the_router_ends() {
    let inside = async {
        let received = [request(1), request(2), b"*5\r\n$3\r\nREQ".to_vec()].concat();
        let mut harness = connect(Phase::Ended, &received).await;
        assert_eq!(
            harness.remaining_responses().await.unwrap(),
            [response(1, "NAK w=70"), response(2, "NAK w=70")]
        );
        assert!(
            harness.messages.try_recv().is_err_and(|_| true),
            "nothing was sent to the decider"
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// The decider has ended before the connection learns of it: a request read then has not run.
#[tokio::test(flavor = "current_thread")]
async fn a_request_is_rejected_when_the_decider_has_ended() {
    let inside = async {
        let mut harness = connect(Phase::Serving, b"").await;
        harness.messages.close();
        harness.peer.write_all(&request(1)).await.unwrap();
        let mut byte = [0];
        assert_eq!(harness.peer.peek(&mut byte).await.unwrap(), 1);
        harness.phase.send_replace(Phase::Ended);
        assert_eq!(
            harness.remaining_responses().await.unwrap(),
            [response(1, "NAK w=70")]
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// The eviction request is sent at the moment at which a request has been received.
#[tokio::test(flavor = "current_thread")]
async fn a_request_that_crosses_an_eviction_request_is_answered_before_the_close() {
    let inside = async {
        let mut harness = connect(Phase::Serving, b"").await;
        harness
            .peer
            .write_all(&message(&["HEALTH", "1", ""]))
            .await
            .unwrap();
        assert_eq!(harness.peer.peek(&mut [0]).await.unwrap(), 1);
        // Both arrive before the connection is polled again.
        harness.eviction_requests.try_send(()).unwrap();
        assert!(harness.peer.try_write(&request(2)).unwrap() > 0);
        let new = harness.request().await;
        reply(new, FinalAnswer::Rejected(None));
        let responses = harness.remaining_responses().await.unwrap();
        assert!(responses.contains(&response(2, "NAK")), "{responses:?}");
    };
    LocalSet::new().run_until(inside).await;
}

/// More requests are cancelled at once than the reply channel holds, and one that is not cancelled
/// follows. The decider replies to all of them late, before it has handled the cancellations.
#[tokio::test(flavor = "current_thread")]
async fn capacity_for_each_reply_is_reserved_before_its_request_reaches_the_decider() {
    let inside = async {
        let mut harness = connect(Phase::Serving, b"").await;
        let mut bytes = Vec::new();
        for tag in 1..=400u64 {
            bytes.extend([request(tag), message(&["ABORT", &tag.to_string()])].concat());
        }
        bytes.extend(request(1000));
        harness.peer.write_all(&bytes).await.unwrap();
        let (mut cancelled, mut max_queued, mut answered) = (0, 0, 0);
        while answered < 401 {
            // The connection sends all that it can without a reply.
            for _ in 0..200 {
                yield_now().await;
            }
            max_queued = max_queued.max(harness.messages.len());
            let mut first = Some(harness.messages.recv().await.unwrap());
            while let Some(message) = first.take().or_else(|| harness.messages.try_recv().ok()) {
                match message {
                    Message::Request(new) => {
                        answered += 1;
                        reply(new, FinalAnswer::Rejected(None));
                    }
                    Message::ClientLeft(..) => cancelled += 1,
                    _ => {}
                }
            }
        }
        assert!(
            max_queued <= 2 * MAX_REPLIES + 1,
            "{max_queued} without a reply"
        );
        harness.phase.send_replace(Phase::Ended);
        let responses = harness.remaining_responses().await.unwrap();
        assert!(
            responses.contains(&response(1000, "NAK")),
            "{} responses, {cancelled} cancelled",
            responses.len()
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// A connection to a server reads the flag while it waits for its socket. The cancellation must not
/// depend on the channels between the two.
#[tokio::test(flavor = "current_thread")]
async fn a_cancellation_or_close_ends_the_cancellation_flag_at_once() {
    let inside = async {
        for is_cancelled in [true, false] {
            let mut harness = connect(Phase::Serving, &request(1)).await;
            let new = harness.request().await;
            assert!(new.cancellation.is_active());
            if is_cancelled {
                harness
                    .peer
                    .write_all(&message(&["ABORT", "1"]))
                    .await
                    .unwrap();
            } else {
                harness.peer.shutdown().await.unwrap();
            }
            let Some(Message::ClientLeft(..)) = harness.messages.recv().await else {
                panic!("the decider was not notified")
            };
            assert!(!new.cancellation.is_active());
        }
    };
    LocalSet::new().run_until(inside).await;
}

/// Closing a socket with unread data would reset the connection and lose the final responses.
#[tokio::test(flavor = "current_thread")]
async fn final_responses_arrive_when_many_bytes_follow_a_protocol_violation() {
    let inside = async {
        let mut harness = connect(Phase::Serving, &request(1)).await;
        let _new = harness.request().await;
        harness.peer.write_all(b"*99\r\n").await.unwrap();
        harness.peer.write_all(&[b'x'; 60_000]).await.unwrap();
        assert_eq!(
            harness.remaining_responses().await.unwrap(),
            [response(1, "FAIL")]
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// The connection is closed gracefully after the response.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_request_that_comes_as_the_idle_timeout_fires_is_answered() {
    let inside = async {
        let mut harness = connect(Phase::Serving, &message(&["HEALTH", "1", ""])).await;
        assert_eq!(harness.peer.peek(&mut [0]).await.unwrap(), 1);
        // The connection is polled with its timer expired and nothing to read; then the request
        // arrives.
        tokio::time::advance(IDLE_TIMEOUT).await;
        assert!(harness.peer.try_write(&request(2)).unwrap() > 0);
        let new = harness.request().await;
        reply(new, FinalAnswer::Rejected(None));
        let responses = harness.remaining_responses().await.unwrap();
        assert!(responses.contains(&response(2, "NAK")), "{responses:?}");
    };
    LocalSet::new().run_until(inside).await;
}

/// The connection of a client that does not read its responses is still read, so that a
/// cancellation or a close withdraws the open requests.
#[tokio::test(flavor = "current_thread")]
async fn a_cancellation_or_close_is_read_while_the_client_reads_no_responses() {
    let inside = async {
        for is_cancelled in [true, false] {
            let received: Vec<u8> = (1..=32).flat_map(request).collect();
            let mut harness = connect(Phase::Serving, &received).await;
            harness.serve(1..=31).await;
            let open = harness.request().await;
            if is_cancelled {
                harness
                    .peer
                    .write_all(&message(&["ABORT", "32"]))
                    .await
                    .unwrap();
            } else {
                harness.peer.shutdown().await.unwrap();
            }
            harness.settle().await;
            assert!(!open.cancellation.is_active(), "cancelled: {is_cancelled}");
        }
    };
    LocalSet::new().run_until(inside).await;
}

/// More responses wait than a client can cause within the protocol's limits: new requests are
/// rejected without being sent to the decider.
#[tokio::test(flavor = "current_thread")]
async fn requests_are_rejected_while_too_many_responses_wait_for_the_client() {
    let inside = async {
        let received: Vec<u8> = (1..=32).flat_map(request).collect();
        let mut harness = connect(Phase::Serving, &received).await;
        harness.serve(1..=32).await;
        // A part of the first response is in the socket buffers, which leaves room for one more.
        harness.peer.write_all(&request(33)).await.unwrap();
        harness.serve(33..=33).await;
        harness.peer.write_all(&request(34)).await.unwrap();
        harness.settle().await;
        while let Ok(message) = harness.messages.try_recv() {
            assert!(
                !matches!(message, Message::Request(new) if new.tag == 34),
                "sent to the decider"
            );
        }
        harness.phase.send_replace(Phase::Ended);
        let responses = harness.remaining_responses().await.unwrap();
        assert!(
            responses.contains(&response(34, "NAK w=70")),
            "{} responses",
            responses.len()
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// If the requests stayed open, a cancellation could stay unread while their attempts start.
#[tokio::test(flavor = "current_thread")]
async fn open_requests_fail_when_reading_from_their_client_stops() {
    let inside = async {
        let mut harness = connect(Phase::Serving, &[request(1), request(2)].concat()).await;
        harness.serve(1..=1).await;
        let open = harness.request().await;
        let health: Vec<u8> = (3..3 + READ_PAUSE_THRESHOLD_CHUNKS as u64)
            .flat_map(|tag| message(&["HEALTH", &tag.to_string(), ""]))
            .collect();
        harness.peer.write_all(&health).await.unwrap();
        harness.settle().await;
        assert!(!open.cancellation.is_active());
        assert!(matches!(
            harness.messages.try_recv(),
            Ok(Message::ClientLeft(_, 2, _))
        ));
        drop(open);
        harness.phase.send_replace(Phase::Ended);
        let responses = harness.remaining_responses().await.unwrap();
        assert!(
            responses.contains(&response(2, "FAIL")),
            "{} responses",
            responses.len()
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// Before the deadlines, the client gets complete responses however late it reads them.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_client_that_reads_no_responses_is_closed_only_after_its_deadlines() {
    let inside = async {
        disable_auto_advance();
        for (within_ms, is_answered) in [(20_000, true), (4000, false)] {
            let mut harness = connect(Phase::Serving, &request_within(1, within_ms)).await;
            harness.serve(1..=1).await;
            tokio::time::advance(WRITE_TIMEOUT + Duration::from_millis(100)).await;
            harness.settle().await;
            let response = harness.first_response().await;
            assert_eq!(response.is_some(), is_answered, "within {within_ms} ms");
        }
    };
    LocalSet::new().run_until(inside).await;
}

/// After a protocol violation, a client that reads slowly still gets all responses until its
/// deadlines pass.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn responses_before_a_protocol_violation_reach_a_slow_reader() {
    let inside = async {
        disable_auto_advance();
        let mut harness = connect(Phase::Serving, &[request(1), request(2)].concat()).await;
        harness.serve(1..=1).await;
        let _open = harness.request().await;
        harness.peer.write_all(b"*99\r\n").await.unwrap();
        harness.settle().await;
        tokio::time::advance(Duration::from_millis(3000)).await;
        harness.settle().await;
        let responses = harness.remaining_responses().await.expect("reset");
        assert_eq!(
            (responses.len(), responses.last()),
            (2, Some(&response(2, "FAIL")))
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// The messages after the violation have been read, and the client waits for the responses.
#[tokio::test(flavor = "current_thread")]
async fn complete_messages_after_a_protocol_violation_are_answered_once() {
    let inside = async {
        let no_tag = message(&["REQ", "x", "page", "", ""]);
        for violation in [request(1), no_tag] {
            let behind = [
                request(2),
                message(&["HEALTH", "3", ""]),
                request(2),
                request(1),
            ]
            .concat();
            let mut harness =
                connect(Phase::Serving, &[request(1), violation, behind].concat()).await;
            let mut responses = harness.remaining_responses().await.unwrap();
            responses.sort();
            assert_eq!(
                responses,
                [
                    response(1, "FAIL"),
                    response(2, "NAK w=70"),
                    response(3, "GREEN")
                ]
            );
        }
    };
    LocalSet::new().run_until(inside).await;
}

/// The connection waits for capacity of the decider's channel while more requests arrive. No time
/// is charged to requests that arrive on an idle connection.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn time_spent_unread_while_the_connection_waited_counts_against_a_request() {
    let inside = async {
        disable_auto_advance();
        let mut harness =
            connect_with_capacity(1, Phase::Serving, &[request(1), request(2)].concat()).await;
        let clock = Clock::start();
        harness.settle().await;
        harness.peer.write_all(&request(3)).await.unwrap();
        tokio::time::advance(Duration::from_millis(700)).await;
        let [first, second, third] = [
            harness.request().await,
            harness.request().await,
            harness.request().await,
        ]
        .map(|new| new.received_after);
        assert_eq!(first, second);
        assert!(
            third < first + Duration::from_millis(60),
            "{:?} later",
            third.saturating_sub(first)
        );
        tokio::time::advance(Duration::from_millis(700)).await;
        harness.settle().await;
        harness.peer.write_all(&request(4)).await.unwrap();
        let fourth = harness.request().await.received_after;
        assert!(
            clock.now() - fourth < Duration::from_millis(60),
            "{:?} ago",
            clock.now() - fourth
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// Messages that a client has sent without a pause, several times as much as is read at a time.
const UNPAUSED_BYTES: usize = 96 * 1024;

/// Guards against clients that wait for long: the connection of one that sent without a pause read
/// on and on before any other task ran.
#[tokio::test(flavor = "current_thread")]
async fn other_tasks_run_between_the_reads_from_a_client_that_sends_without_a_pause() {
    let inside = async {
        let abort = message(&["ABORT", "1"]);
        let mut received = abort.repeat(UNPAUSED_BYTES / abort.len());
        received.extend(message(&["HEALTH", "2", ""]));
        let turns = Rc::new(std::cell::Cell::new(0));
        let counter = turns.clone();
        tokio::task::spawn_local(async move {
            loop {
                counter.set(counter.get() + 1);
                yield_now().await;
            }
        });
        let harness = connect(Phase::Serving, &received).await;
        turns.set(0);
        // The answer to the health check, which is the last message.
        assert_eq!(harness.peer.peek(&mut [0]).await.unwrap(), 1);
        let reads = UNPAUSED_BYTES / read_buffer::READ_CHUNK_BYTES;
        assert!(
            turns.get() >= reads,
            "{} turns in {reads} reads",
            turns.get()
        );
    };
    LocalSet::new().run_until(inside).await;
}
