//! Tests of the decider without client sockets.

use super::*;
use crate::discovery_events::{DiscoveredServer, DiscoveryEvent};
use crate::messages::fixtures::{attempt_id, no_reservation};
use crate::messages::{
    AttemptEnded, AttemptRequest, CancellationFlag, ClientReply, FinalAnswer, NewRequest,
    ServerCommand,
};
use crate::server_protocol::ForwardedFields;
use chalkhall::interface::{Fill, Id, IncomingRequest, Outcome, Tier};

fn start_decider(phase: Phase) -> (Decider, mpsc::Sender<Message>, watch::Receiver<Phase>) {
    let (phase, phase_receiver) = watch::channel(phase);
    let (messages, _) = mpsc::channel(8);
    let limits = Limits {
        memory: 64 << 20,
        sockets: 256,
        connect_timeout: Duration::from_millis(400),
        idle_close: Duration::from_secs(30),
        streams: 100,
        open_requests: 100,
    };
    let deployment = Deployment {
        classes: vec![Default::default()],
        max_retry_after: Some(Duration::from_millis(90)),
        ..Deployment::default()
    };
    let subsystems = Subsystems {
        local_cache: None,
        cell_routing: None,
        gossip: None,
        zone_failover: None,
    };
    let sender = messages.clone();
    (
        Decider::start(
            Clock::start(),
            &deployment,
            limits,
            phase,
            messages,
            subsystems,
        ),
        sender,
        phase_receiver,
    )
}

fn new_request(tag: u64, client: &mpsc::Sender<ClientReply>) -> NewRequest {
    let id: Id = format!("{tag:016x}").as_str().into();
    let time_left = Duration::from_secs(4);
    let arrival = IncomingRequest {
        id: id.clone(),
        object: id,
        time_left,
        kb: 1.0,
        ..IncomingRequest::default()
    };
    let reply_permit = client.clone().try_reserve_owned().unwrap();
    NewRequest {
        arrival,
        forwarded: ForwardedFields::default(),
        received_after: Duration::ZERO,
        tag,
        reply_permit,
        _body_permit: None,
        cancellation: CancellationFlag::default(),
    }
}

/// An attempt at a server with a distant deadline.
fn attempt_request_to(server: &Id) -> AttemptRequest {
    let expires_at = tokio::time::Instant::now() + Duration::from_secs(5);
    let fill = Fill {
        source: server.clone(),
        priority: 0,
        max_age: None,
        may_join: false,
        only_held: false,
        parent_keeps: true,
        revalidate: false,
    };
    AttemptRequest {
        attempt: attempt_id(server, 0),
        forwarded: ForwardedFields::default(),
        server: server.clone(),
        fill,
        is_non_idempotent: true,
        cancellation: CancellationFlag::default(),
        incarnation: CancellationFlag::default(),
        deadline: expires_at,
        send_by: expires_at,
        reservation: no_reservation(),
    }
}

/// The router ends while requests are in the decider's mailbox, which accepts no more: none of them
/// is lost.
#[tokio::test(flavor = "current_thread")]
async fn requests_left_in_the_mailbox_at_shutdown_are_rejected() {
    let (decider, _messages, phase) = start_decider(Phase::Draining {
        since: Duration::ZERO,
        until: Duration::from_secs(1),
    });
    let (sender, mailbox) = mpsc::channel(8);
    let (_events_sender, events) = mpsc::channel(1);
    let (client, mut answers) = mpsc::channel(8);
    for tag in 1..=3 {
        sender
            .try_send(Message::Request(Box::new(new_request(tag, &client))))
            .unwrap_or_else(|_| panic!("the mailbox is full"));
    }
    tokio::task::LocalSet::new()
        .run_until(decider.run(mailbox, events))
        .await;
    assert_eq!(*phase.borrow(), Phase::Ended);
    for tag in 1..=3 {
        let reply = answers.try_recv().expect("an answer");
        assert_eq!(reply.tag, tag);
        let retry_after = Duration::from_millis(90);
        assert!(matches!(reply.answer, FinalAnswer::Rejected(Some(wait)) if wait == retry_after));
    }
    assert!(
        sender.try_send(Message::Stop).is_err(),
        "the mailbox is still open"
    );
}

/// A request whose client left before it was processed is dropped, and its reply slot is freed.
#[tokio::test(flavor = "current_thread")]
async fn a_request_abandoned_before_it_is_processed_is_dropped() {
    let (mut decider, _messages, _phase) = start_decider(Phase::Serving);
    let (client, _answers) = mpsc::channel(1);
    let abandoned = new_request(1, &client);
    abandoned.cancellation.cancel();
    assert_eq!(client.capacity(), 0);
    decider.handle(Message::Request(Box::new(abandoned)));
    assert_eq!(
        (decider.dispatcher.requests.len(), client.capacity()),
        (0, 1)
    );
}

/// Bodies that a slow client has not read yet delay the end of draining until they are written or
/// the drain times out.
#[tokio::test(flavor = "current_thread")]
async fn draining_waits_for_unwritten_bodies() {
    let (mut decider, _messages, _phase) = start_decider(Phase::Serving);
    assert_eq!(decider.open_work(), 0);
    decider.dispatcher.memory.add_unwritten(1);
    assert_eq!(decider.open_work(), 1);
    decider.handle(Message::BodyWritten(1));
    assert_eq!(decider.open_work(), 0);
}

/// A server restarts at another address while its actor's mailbox is full: nothing more is sent to
/// the old address.
#[tokio::test(flavor = "current_thread")]
async fn a_server_that_moves_while_its_mailbox_is_full_is_reached_at_its_new_address() {
    let test = async {
        let (mut decider, _messages, _phase) = start_decider(Phase::Serving);
        let mut listeners = Vec::new();
        for _ in 0..2 {
            listeners.push(tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let [old, new] = [0, 1].map(|n| listeners[n].local_addr().unwrap());
        let id: Id = "c1".into();
        let mut list = |server_address, started| {
            let member = Member {
                server: id.clone(),
                started,
                ..Member::default()
            };
            decider.apply_discovery_event(DiscoveryEvent::List {
                is_snapshot: false,
                servers: vec![DiscoveredServer {
                    member,
                    address: server_address,
                }],
            });
            decider
                .dispatcher
                .servers
                .commands_to(&id)
                .expect("the server is listed")
        };
        let before = list(old, None);
        while before
            .try_send(ServerCommand::Cancel(attempt_id(&id, 0)))
            .is_ok()
        {}
        assert_eq!(before.capacity(), 0);
        let after = list(new, Some(Duration::from_secs(1)));
        drop(before);
        assert!(
            after
                .try_send(ServerCommand::Send(Box::new(attempt_request_to(&id))))
                .is_ok(),
            "the mailbox of the new actor is full"
        );
        tokio::select! {
            _ = listeners[0].accept() => panic!("sent to the old address"),
            at_new = listeners[1].accept() => drop(at_new.unwrap()),
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Guards against memory that grows with withdrawn requests: nothing of them is kept until their
/// deadlines.
#[tokio::test(flavor = "current_thread")]
async fn withdrawn_requests_leave_neither_timers_nor_entries() {
    let test = async {
        let (mut decider, _messages, _phase) = start_decider(Phase::Serving);
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        let server = |name: &str, tier| DiscoveredServer {
            member: Member {
                server: name.into(),
                tier,
                capacity: 100.0,
                ..Member::default()
            },
            address: listener.local_addr().unwrap(),
        };
        decider.apply_discovery_event(DiscoveryEvent::List {
            is_snapshot: true,
            servers: vec![server("c1", Tier::Cache), server("o1", Tier::Origin)],
        });
        let (client, _answers) = mpsc::channel(8);
        for tag in 1..=100 {
            let new = NewRequest {
                received_after: decider.dispatcher.clock.now(),
                ..new_request(tag, &client)
            };
            let id = new.arrival.id.clone();
            decider.handle(Message::Request(Box::new(new)));
            assert!(!decider.dispatcher.timers.is_empty(), "no deadline is set");
            assert_eq!(decider.dispatcher.requests.len(), 1, "it was not sent");
            decider.handle(Message::ClientLeft(id.clone(), tag, client.clone()));
            assert!(decider.dispatcher.timers.is_empty());
            let ended = AttemptEnded {
                attempt: attempt_id(&id, 0),
                outcome: Outcome::Cancelled,
                answer: None,
            };
            decider.handle(Message::AttemptEnded(ended));
            assert_eq!(decider.dispatcher.requests.len(), 0);
        }
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
