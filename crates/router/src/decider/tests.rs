//! The decider by itself, without sockets.

use super::*;
use crate::discovery_events::{DiscoveredServer, DiscoveryEvent};
use crate::messages::fixtures::attempt_id;
use crate::messages::{
    AttemptRequest, CancellationFlag, ClientReply, FinalAnswer, NewRequest, ServerCommand,
};
use crate::server_protocol::ForwardedFields;
use chalkhall::interface::{Arrival, Fill, Id};

fn decider(phase: Phase) -> (Decider, mpsc::Sender<Message>, watch::Receiver<Phase>) {
    let (phase, phase_of) = watch::channel(phase);
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
        longest_advice: Some(Duration::from_millis(90)),
        ..Deployment::default()
    };
    let subsystems = Subsystems {
        local_cache: None,
        cell_routing: None,
        gossip: None,
        zone_failover: None,
    };
    let to = messages.clone();
    (
        Decider::start(
            Clock::start(),
            &deployment,
            limits,
            phase,
            messages,
            subsystems,
        ),
        to,
        phase_of,
    )
}

fn new(tag: u64, client: &mpsc::Sender<ClientReply>) -> NewRequest {
    let id: Id = format!("{tag:016x}").as_str().into();
    let left = Duration::from_secs(4);
    let arrival = Arrival {
        id: id.clone(),
        object: id,
        left,
        kb: 1.0,
        ..Arrival::default()
    };
    let client = client.clone().try_reserve_owned().unwrap();
    NewRequest {
        arrival,
        passed: ForwardedFields::default(),
        received_after: Duration::ZERO,
        tag,
        client,
        wanted: CancellationFlag::default(),
    }
}

/// An attempt at a server, with time to spare.
fn attempt_at(server: &Id) -> AttemptRequest {
    let due = tokio::time::Instant::now() + Duration::from_secs(5);
    let fill = Fill {
        source: server.clone(),
        rank: 0,
        oldest: None,
        join: false,
        only_held: false,
        parent_keeps: true,
        renew: false,
    };
    AttemptRequest {
        attempt: attempt_id(server, 0),
        forwarded: ForwardedFields::default(),
        server: server.clone(),
        fill,
        is_non_idempotent: true,
        cancellation: CancellationFlag::default(),
        deadline: due,
        send_by: due,
    }
}

/// Time to end has come while requests lie in its mailbox, or none more can be put there: none of
/// them is lost.
#[tokio::test(flavor = "current_thread")]
async fn what_lies_in_the_mailbox_as_the_router_ends_is_rejected() {
    let (decider, _messages, phase) = decider(Phase::Draining {
        since: Duration::ZERO,
        until: Duration::from_secs(1),
    });
    let (to_decider, mailbox) = mpsc::channel(8);
    let (_noticed, notices) = mpsc::channel(1);
    let (client, mut answers) = mpsc::channel(8);
    for tag in 1..=3 {
        to_decider
            .try_send(Message::Request(Box::new(new(tag, &client))))
            .unwrap_or_else(|_| panic!("full"));
    }
    tokio::task::LocalSet::new()
        .run_until(decider.run(mailbox, notices))
        .await;
    assert_eq!(*phase.borrow(), Phase::Ended);
    for tag in 1..=3 {
        let reply = answers.try_recv().expect("an answer");
        assert_eq!(reply.tag, tag);
        let advised = Duration::from_millis(90);
        assert!(matches!(reply.last, FinalAnswer::Rejected(Some(wait)) if wait == advised));
    }
    assert!(
        to_decider.try_send(Message::Stop).is_err(),
        "it takes nothing more"
    );
}

/// One that left before it was looked at goes nowhere, and its place comes back.
#[tokio::test(flavor = "current_thread")]
async fn one_that_left_before_it_was_looked_at_goes_nowhere() {
    let (mut decider, _messages, _phase) = decider(Phase::Serving);
    let (client, _answers) = mpsc::channel(1);
    let left = new(1, &client);
    left.wanted.end();
    assert_eq!(client.capacity(), 0);
    decider.handle(Message::Request(Box::new(left)));
    assert_eq!(
        (decider.dispatcher.requests.len(), client.capacity()),
        (0, 1)
    );
}

/// Bodies that a slow reader has not taken yet hold the end back, until they are written or time is
/// up.
#[tokio::test(flavor = "current_thread")]
async fn the_end_waits_for_what_is_not_written_yet() {
    let (mut decider, _messages, _phase) = decider(Phase::Serving);
    assert_eq!(decider.open_work(), 0);
    decider.dispatcher.unwritten_bytes = 1;
    assert_eq!(decider.open_work(), 1);
    decider.handle(Message::Written(1));
    assert_eq!(decider.open_work(), 0);
}

/// A server's start comes while its actor's mailbox is full: nothing more goes to where it was
/// before.
#[tokio::test(flavor = "current_thread")]
async fn a_server_that_moves_while_its_mailbox_is_full_is_followed() {
    let inside = async {
        let (mut decider, _messages, _phase) = decider(Phase::Serving);
        let mut listeners = Vec::new();
        for _ in 0..2 {
            listeners.push(tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap());
        }
        let [old, new] = [0, 1].map(|n| listeners[n].local_addr().unwrap());
        let id: Id = "c1".into();
        let mut list = |dial, started| {
            let member = Member {
                server: id.clone(),
                started,
                ..Member::default()
            };
            decider.apply_discovery_event(DiscoveryEvent::List {
                whole: false,
                servers: vec![DiscoveredServer {
                    member,
                    address: dial,
                }],
            });
            decider
                .dispatcher
                .servers
                .commands_to(&id)
                .expect("it is listed")
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
                .try_send(ServerCommand::Send(Box::new(attempt_at(&id))))
                .is_ok(),
            "it takes no orders"
        );
        tokio::select! {
            _ = listeners[0].accept() => panic!("sent to where the server was"),
            at_new = listeners[1].accept() => drop(at_new.unwrap()),
        }
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}
