//! Start and stop of server actors. Paused time makes the order of events deterministic.

use super::*;
use crate::messages::fixtures::{attempt_id, no_reservation};
use crate::messages::{AttemptEnded, AttemptRequest, CancellationFlag, Message};
use crate::server_pool::{ACTOR_IDLE_TIMEOUT, ConnectionSlots};
use crate::server_protocol::ForwardedFields;
use bytes::Bytes;
use chalkhall::interface::{Fill, Outcome};
use std::rc::Rc;
use tokio::task::LocalSet;
use tokio::time::{advance, resume, sleep_until, timeout};

const LONG_TIMEOUT: Duration = Duration::from_secs(60);

/// Server handles whose actors share this many connection slots.
fn new_handles(slots: usize) -> (ServerHandles, mpsc::Receiver<Message>) {
    let (decider, messages) = mpsc::channel(8);
    let actors = ServerActorFactory {
        max_streams: 100,
        connect_timeout: LONG_TIMEOUT,
        idle_timeout: LONG_TIMEOUT,
        decider,
        slots: Rc::new(ConnectionSlots::new(slots)),
    };
    (ServerHandles::new(actors), messages)
}

fn listed(address: SocketAddr) -> ListedServer {
    ListedServer {
        address,
        started_at: None,
        started_instant: None,
        max_connections: 1,
    }
}

fn unused_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn send_command(id: &str) -> ServerCommand {
    let expires_at = Instant::now() + LONG_TIMEOUT;
    let fields = ForwardedFields {
        id: Bytes::copy_from_slice(id.as_bytes()),
        ..ForwardedFields::default()
    };
    let (attempt, server, cancellation) = (
        attempt_id(id, 0),
        Id::from("a"),
        CancellationFlag::default(),
    );
    let fill = Fill {
        source: server.clone(),
        priority: 0,
        max_age: None,
        may_join: false,
        only_held: false,
        parent_keeps: true,
        revalidate: false,
    };
    ServerCommand::Send(Box::new(AttemptRequest {
        attempt,
        forwarded: fields,
        server,
        fill,
        is_non_idempotent: true,
        cancellation,
        incarnation: CancellationFlag::default(),
        deadline: expires_at,
        send_by: expires_at,
        reservation: no_reservation(),
    }))
}

async fn next_stopped_actor(messages: &mut mpsc::Receiver<Message>) -> Id {
    match messages.recv().await {
        Some(Message::ServerActorStopped(server)) => server,
        _ => panic!("unexpected message"),
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_server_has_an_actor_from_its_first_command_until_the_idle_timeout() {
    let test = async {
        let (mut handles, mut messages) = new_handles(1);
        let names = ["a", "b", "c"].map(Id::from);
        names
            .iter()
            .for_each(|name| handles.update(name, listed(unused_address())));
        assert_eq!(
            handles.actor_count(),
            0,
            "an actor was started before its first command"
        );
        let started_at = Instant::now();
        let commands = handles
            .commands_to(&names[1])
            .expect("the server is listed");
        assert!(
            commands
                .try_send(ServerCommand::Cancel(attempt_id("x", 0)))
                .is_ok()
        );
        assert!(
            commands.same_channel(&handles.commands_to(&names[1]).unwrap()),
            "a second actor was started for the server"
        );
        assert_eq!(handles.actor_count(), 1);
        let name = next_stopped_actor(&mut messages).await;
        assert_eq!((&*name, commands.is_closed()), ("b", true));
        assert!(
            started_at.elapsed() >= ACTOR_IDLE_TIMEOUT
                && started_at.elapsed() < ACTOR_IDLE_TIMEOUT * 2,
            "{:?}",
            started_at.elapsed()
        );
        handles.forget_stopped_actor(&name);
        assert_eq!(
            handles.actor_count(),
            0,
            "the mailbox of the stopped actor was kept"
        );
    };
    LocalSet::new().run_until(test).await;
}

/// The message that an actor has stopped arrives after the next actor was started: the mailbox of
/// that one is kept.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_late_stop_message_does_not_drop_the_mailbox_of_the_next_actor() {
    let test = async {
        let (mut handles, mut messages) = new_handles(1);
        let name = Id::from("a");
        handles.update(&name, listed(unused_address()));
        let first = handles.commands_to(&name).unwrap();
        let name = next_stopped_actor(&mut messages).await;
        let second = handles.commands_to(&name).unwrap();
        assert!(!first.same_channel(&second) && !second.is_closed());
        handles.forget_stopped_actor(&name);
        assert!(handles.commands_to(&name).unwrap().same_channel(&second));
    };
    LocalSet::new().run_until(test).await;
}

/// A command that arrives at the moment in which the actor stops is executed by it or by the next
/// one. The order in which both tasks are woken is random, hence many rounds.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_command_sent_while_an_actor_stops_is_not_lost() {
    let test = async {
        // Without a free connection slot every attempt is reported as never sent, and no socket is
        // opened.
        let (mut handles, mut messages) = new_handles(0);
        let name = Id::from("a");
        handles.update(&name, listed(unused_address()));
        for round in 0..200 {
            let last = Instant::now();
            handles
                .commands_to(&name)
                .unwrap()
                .try_send(ServerCommand::Cancel(attempt_id("x", 0)))
                .ok()
                .unwrap();
            sleep_until(last + ACTOR_IDLE_TIMEOUT).await;
            let id = format!("r{round}");
            assert!(
                handles
                    .commands_to(&name)
                    .unwrap()
                    .try_send(send_command(&id))
                    .is_ok(),
                "round {round}"
            );
            loop {
                match timeout(ACTOR_IDLE_TIMEOUT / 2, messages.recv())
                    .await
                    .expect("the attempt was not reported")
                {
                    Some(Message::ServerActorStopped(name)) => handles.forget_stopped_actor(&name),
                    Some(Message::AttemptEnded(AttemptEnded {
                        attempt, outcome, ..
                    })) => {
                        assert_eq!((&*attempt.request, outcome), (&*id, Outcome::NeverSent));
                        break;
                    }
                    _ => panic!("unexpected message"),
                }
            }
            advance(ACTOR_IDLE_TIMEOUT * 2).await;
            assert_eq!(next_stopped_actor(&mut messages).await, name);
            handles.forget_stopped_actor(&name);
        }
    };
    LocalSet::new().run_until(test).await;
}

/// A server moves before its stopped actor has been removed: the next actor connects to the new
/// address.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_server_that_moves_as_its_actor_stops_is_reached_at_its_new_address() {
    let test = async {
        let (mut handles, mut messages) = new_handles(1);
        let name = Id::from("a");
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        handles.update(&name, listed(unused_address()));
        handles.commands_to(&name).unwrap();
        let stopped = next_stopped_actor(&mut messages).await;
        handles.update(&name, listed(listener.local_addr().unwrap()));
        resume();
        assert!(
            handles
                .commands_to(&name)
                .unwrap()
                .try_send(send_command("x"))
                .is_ok()
        );
        handles.forget_stopped_actor(&stopped);
        assert!(
            handles.actor_count() == 1
                && timeout(LONG_TIMEOUT, listener.accept())
                    .await
                    .unwrap()
                    .is_ok()
        );
    };
    LocalSet::new().run_until(test).await;
}
