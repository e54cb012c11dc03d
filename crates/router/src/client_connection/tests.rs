//! A client's connection by itself: the test stands for the client, the listener and the decider.

use super::test_support::{
    connect, connect_with_mailbox, hold_time, message, reply, request, request_within, response,
};
use super::*;
use crate::messages::FinalAnswer;
use tokio::io::AsyncWriteExt;
use tokio::task::{LocalSet, yield_now};

/// The router ends while two requests and half of a third lie unread on the connection.
#[tokio::test(flavor = "current_thread")]
async fn unread_requests_are_rejected_and_the_connection_is_closed_in_order_as_the_router_ends() {
    let inside = async {
        let received = [request(1), request(2), b"*5\r\n$3\r\nREQ".to_vec()].concat();
        let mut harness = connect(Phase::Ended, &received).await;
        assert_eq!(
            harness.remaining_responses().await.unwrap(),
            [response(1, "NAK w=70"), response(2, "NAK w=70")]
        );
        assert!(
            harness.messages.try_recv().is_err_and(|_| true),
            "nothing was sent on"
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// The decider has ended, and the connection has not heard of it yet: what is read then never ran.
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

/// The eviction request comes in the moment in which a request of the client has been received.
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
        // Both are there before the connection has its next turn.
        harness.eviction_requests.try_send(()).unwrap();
        assert!(harness.peer.try_write(&request(2)).unwrap() > 0);
        let new = harness.request().await;
        reply(new, FinalAnswer::Rejected(None));
        let responses = harness.remaining_responses().await.unwrap();
        assert!(responses.contains(&response(2, "NAK")), "{responses:?}");
    };
    LocalSet::new().run_until(inside).await;
}

/// More requests are cancelled at once than there is space for answers; one that is not follows.
/// The decider answers all of them late, before it has heard of the cancellations.
#[tokio::test(flavor = "current_thread")]
async fn space_for_each_answer_is_reserved_before_its_request_reaches_the_decider() {
    let inside = async {
        let mut harness = connect(Phase::Serving, b"").await;
        let mut bytes = Vec::new();
        for tag in 1..=400u64 {
            bytes.extend([request(tag), message(&["ABORT", &tag.to_string()])].concat());
        }
        bytes.extend(request(1000));
        harness.peer.write_all(&bytes).await.unwrap();
        let (mut left, mut most, mut answered) = (0, 0, 0);
        while answered < 401 {
            // All that the connection can hand on without an answer.
            for _ in 0..200 {
                yield_now().await;
            }
            most = most.max(harness.messages.len());
            let mut first = Some(harness.messages.recv().await.unwrap());
            while let Some(message) = first.take().or_else(|| harness.messages.try_recv().ok()) {
                match message {
                    Message::Request(new) => {
                        answered += 1;
                        reply(new, FinalAnswer::Rejected(None));
                    }
                    Message::Left(..) => left += 1,
                    _ => {}
                }
            }
        }
        assert!(most <= 2 * MAX_REPLIES + 1, "{most} without an answer");
        harness.phase.send_replace(Phase::Ended);
        let responses = harness.remaining_responses().await.unwrap();
        assert!(
            responses.contains(&response(1000, "NAK")),
            "{} answers, {left} left",
            responses.len()
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// A connection to a server that waits for its socket reads the flag: it must not depend on
/// mailboxes between the two.
#[tokio::test(flavor = "current_thread")]
async fn a_cancellation_or_close_ends_the_cancellation_flag_at_once() {
    let inside = async {
        for called_off in [true, false] {
            let mut harness = connect(Phase::Serving, &request(1)).await;
            let new = harness.request().await;
            assert!(new.wanted.still());
            if called_off {
                harness
                    .peer
                    .write_all(&message(&["ABORT", "1"]))
                    .await
                    .unwrap();
            } else {
                harness.peer.shutdown().await.unwrap();
            }
            let Some(Message::Left(..)) = harness.messages.recv().await else {
                panic!("not heard")
            };
            assert!(!new.wanted.still());
        }
    };
    LocalSet::new().run_until(inside).await;
}

/// A close over bytes that nobody has read yet takes nothing along that was responses before.
#[tokio::test(flavor = "current_thread")]
async fn final_answers_arrive_when_many_bytes_follow_a_protocol_violation() {
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

/// Afterwards, with nothing left to answer, the connection is closed in order.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_request_that_comes_as_the_idle_timeout_fires_is_answered() {
    let inside = async {
        let mut harness = connect(Phase::Serving, &message(&["HEALTH", "1", ""])).await;
        assert_eq!(harness.peer.peek(&mut [0]).await.unwrap(), 1);
        // Its turn comes with the timer fired and nothing to read; then the request is there.
        tokio::time::advance(IDLE_TIMEOUT).await;
        assert!(harness.peer.try_write(&request(2)).unwrap() > 0);
        let new = harness.request().await;
        reply(new, FinalAnswer::Rejected(None));
        let responses = harness.remaining_responses().await.unwrap();
        assert!(responses.contains(&response(2, "NAK")), "{responses:?}");
    };
    LocalSet::new().run_until(inside).await;
}

/// A client takes no answers: it is read on, for what it calls off or its close ends what is still
/// open.
#[tokio::test(flavor = "current_thread")]
async fn a_cancellation_or_close_is_read_while_the_client_takes_no_answers() {
    let inside = async {
        for called_off in [true, false] {
            let received: Vec<u8> = (1..=32).flat_map(request).collect();
            let mut harness = connect(Phase::Serving, &received).await;
            harness.serve(1..=31).await;
            let open = harness.request().await;
            if called_off {
                harness
                    .peer
                    .write_all(&message(&["ABORT", "32"]))
                    .await
                    .unwrap();
            } else {
                harness.peer.shutdown().await.unwrap();
            }
            harness.settle().await;
            assert!(!open.wanted.still(), "called off: {called_off}");
        }
    };
    LocalSet::new().run_until(inside).await;
}

/// More answers wait than a client that keeps to the protocol can have open: what it asks for then
/// is rejected before it goes on.
#[tokio::test(flavor = "current_thread")]
async fn requests_are_rejected_behind_too_many_answers_that_the_client_does_not_take() {
    let inside = async {
        let received: Vec<u8> = (1..=32).flat_map(request).collect();
        let mut harness = connect(Phase::Serving, &received).await;
        harness.serve(1..=32).await;
        // The system has taken a part of the first: there is space for one more.
        harness.peer.write_all(&request(33)).await.unwrap();
        harness.serve(33..=33).await;
        harness.peer.write_all(&request(34)).await.unwrap();
        harness.settle().await;
        while let Ok(message) = harness.messages.try_recv() {
            assert!(
                !matches!(message, Message::Request(new) if new.tag == 34),
                "handed on"
            );
        }
        harness.phase.send_replace(Phase::Ended);
        let responses = harness.remaining_responses().await.unwrap();
        assert!(
            responses.contains(&response(34, "NAK w=70")),
            "{} answers",
            responses.len()
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// Otherwise a cancellation would lie unread while attempts begin.
#[tokio::test(flavor = "current_thread")]
async fn open_requests_fail_once_their_client_is_read_no_more() {
    let inside = async {
        let mut harness = connect(Phase::Serving, &[request(1), request(2)].concat()).await;
        harness.serve(1..=1).await;
        let open = harness.request().await;
        let health: Vec<u8> = (3..3 + STOP_READING_AT_PIECES as u64)
            .flat_map(|tag| message(&["HEALTH", &tag.to_string(), ""]))
            .collect();
        harness.peer.write_all(&health).await.unwrap();
        harness.settle().await;
        assert!(!open.wanted.still());
        assert!(matches!(
            harness.messages.try_recv(),
            Ok(Message::Left(_, 2, _))
        ));
        drop(open);
        harness.phase.send_replace(Phase::Ended);
        let responses = harness.remaining_responses().await.unwrap();
        assert!(
            responses.contains(&response(2, "FAIL")),
            "{} answers",
            responses.len()
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// Before that it gets its answers complete, however late it takes them.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_client_that_takes_no_answers_is_closed_only_after_its_deadlines() {
    let inside = async {
        hold_time();
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

/// A protocol violation ends the connection of a slow reader: all that it is owed is written while
/// its time lasts.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn answers_before_a_protocol_violation_reach_a_slow_reader() {
    let inside = async {
        hold_time();
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

/// They have been read, and their client waits for their answers.
#[tokio::test(flavor = "current_thread")]
async fn complete_messages_behind_a_protocol_violation_are_answered_once() {
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

/// The connection waits to hand a request to the decider while more are received. Those that are
/// received on an idle connection lose no time.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn time_spent_unread_while_the_connection_waited_counts_against_a_request() {
    let inside = async {
        hold_time();
        let mut harness =
            connect_with_mailbox(1, Phase::Serving, &[request(1), request(2)].concat()).await;
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
