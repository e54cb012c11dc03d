//! Actors of servers come and go; paused time orders the events.

use super::*;
use crate::messages::fixtures::attempt_id;
use crate::messages::{AttemptEnded, AttemptRequest, CancellationFlag, Message};
use crate::server_pool::{ACTOR_IDLE_TIMEOUT, ConnectionSlots};
use crate::server_protocol::ForwardedFields;
use bytes::Bytes;
use chalkhall::interface::{Fill, Outcome};
use std::rc::Rc;
use tokio::task::LocalSet;
use tokio::time::{advance, resume, sleep_until, timeout};

const LONG: Duration = Duration::from_secs(60);

/// Servers of which all hear from actors with so many places for connections.
fn handles(places: usize) -> (ServerHandles, mpsc::Receiver<Message>) {
    let (decider, messages) = mpsc::channel(8);
    let actors = ServerActors {
        max_streams: 100,
        connect_timeout: LONG,
        idle_timeout: LONG,
        decider,
        slots: Rc::new(ConnectionSlots::new(places)),
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

fn nowhere() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 9))
}

fn ask(id: &str) -> ServerCommand {
    let due = Instant::now() + LONG;
    let passed = ForwardedFields {
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
        rank: 0,
        oldest: None,
        join: false,
        only_held: false,
        parent_keeps: true,
        renew: false,
    };
    ServerCommand::Send(Box::new(AttemptRequest {
        attempt,
        forwarded: passed,
        server,
        fill,
        is_non_idempotent: true,
        cancellation,
        deadline: due,
        send_by: due,
    }))
}

async fn rested(messages: &mut mpsc::Receiver<Message>) -> Id {
    match messages.recv().await {
        Some(Message::ServerRests(server)) => server,
        _ => panic!("something else was said"),
    }
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_server_has_an_actor_from_its_first_order_until_it_has_rested() {
    let inside = async {
        let (mut handles, mut messages) = handles(1);
        let names = ["a", "b", "c"].map(Id::from);
        names
            .iter()
            .for_each(|name| handles.update(name, listed(nowhere())));
        assert_eq!(handles.with_actor(), 0, "nothing was sent to any");
        let begun = Instant::now();
        let commands = handles.commands_to(&names[1]).expect("it is listed");
        assert!(
            commands
                .try_send(ServerCommand::Cancel(attempt_id("x", 0)))
                .is_ok()
        );
        assert!(
            commands.same_channel(&handles.commands_to(&names[1]).unwrap()),
            "one actor a server"
        );
        assert_eq!(handles.with_actor(), 1);
        let name = rested(&mut messages).await;
        assert_eq!((&*name, commands.is_closed()), ("b", true));
        assert!(
            begun.elapsed() >= ACTOR_IDLE_TIMEOUT && begun.elapsed() < ACTOR_IDLE_TIMEOUT * 2,
            "{:?}",
            begun.elapsed()
        );
        handles.forget_stopped_actor(&name);
        assert_eq!(
            handles.with_actor(),
            0,
            "its mailbox takes memory for nothing"
        );
    };
    LocalSet::new().run_until(inside).await;
}

/// The actor that has rested says so late: the one that was started meanwhile keeps its mailbox.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn the_end_of_an_actor_does_not_take_the_mailbox_of_the_next() {
    let inside = async {
        let (mut handles, mut messages) = handles(1);
        let name = Id::from("a");
        handles.update(&name, listed(nowhere()));
        let first = handles.commands_to(&name).unwrap();
        let name = rested(&mut messages).await;
        let second = handles.commands_to(&name).unwrap();
        assert!(!first.same_channel(&second) && !second.is_closed());
        handles.forget_stopped_actor(&name);
        assert!(handles.commands_to(&name).unwrap().same_channel(&second));
    };
    LocalSet::new().run_until(inside).await;
}

/// An order that comes in the very moment in which the actor ends is carried out by it or by the
/// next one. The order in which both are woken is chance's: many rounds.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn an_order_in_the_moment_in_which_an_actor_ends_is_not_lost() {
    let inside = async {
        // Without a place for a connection all is reported never sent, without a socket.
        let (mut handles, mut messages) = handles(0);
        let name = Id::from("a");
        handles.update(&name, listed(nowhere()));
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
                    .try_send(ask(&id))
                    .is_ok(),
                "round {round}"
            );
            loop {
                match timeout(ACTOR_IDLE_TIMEOUT / 2, messages.recv())
                    .await
                    .expect("nothing was said of it")
                {
                    Some(Message::ServerRests(name)) => handles.forget_stopped_actor(&name),
                    Some(Message::Ended(AttemptEnded {
                        attempt, outcome, ..
                    })) => {
                        assert_eq!((&*attempt.request, outcome), (&*id, Outcome::NeverSent));
                        break;
                    }
                    _ => panic!("something else was said"),
                }
            }
            advance(ACTOR_IDLE_TIMEOUT * 2).await;
            assert_eq!(rested(&mut messages).await, name);
            handles.forget_stopped_actor(&name);
        }
    };
    LocalSet::new().run_until(inside).await;
}

/// It moves while nobody has noticed yet that its actor has ended: the next one goes to where it is
/// now.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_server_that_moves_as_its_actor_ends_is_reached_where_it_is() {
    let inside = async {
        let (mut handles, mut messages) = handles(1);
        let name = Id::from("a");
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
        handles.update(&name, listed(nowhere()));
        handles.commands_to(&name).unwrap();
        let told_late = rested(&mut messages).await;
        handles.update(&name, listed(listener.local_addr().unwrap()));
        resume();
        assert!(
            handles
                .commands_to(&name)
                .unwrap()
                .try_send(ask("x"))
                .is_ok()
        );
        handles.forget_stopped_actor(&told_late);
        assert!(
            handles.with_actor() == 1 && timeout(LONG, listener.accept()).await.unwrap().is_ok()
        );
    };
    LocalSet::new().run_until(inside).await;
}
