//! `chalkhall-router`: one router on real sockets. Every decision is `chalkhall::control`'s.

mod board;
mod client;
mod clock;
mod decider;
mod lines;
mod link;
mod listener;
mod notices;
mod phase;
mod resp;
mod server;
mod told;

use board::Board;
use client::Door;
use clock::Clock;
use decider::{Decider, Message};
use phase::Phase;
use std::process::ExitCode;
use std::rc::Rc;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};
use told::Told;

/// Messages waiting for the decisions. Who brings more waits, and reads nothing meanwhile.
const MESSAGES_MOST: usize = 256;
/// Events of the notice board, which go before them; the board is read no further meanwhile.
const NOTICES_MOST: usize = 64;

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("info")).init();
    let clock = Clock::start();
    let ran = told::told(|name| std::env::var(name).ok(), &clock).and_then(|told| {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|e| e.to_string())?;
        LocalSet::new().block_on(&runtime, run(told, clock))
    });
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => {
            eprintln!("chalkhall-router: {what}");
            ExitCode::FAILURE
        }
    }
}

async fn run(told: Told, clock: Clock) -> Result<(), String> {
    let mut stop = signal(SignalKind::terminate()).map_err(|e| e.to_string())?;
    let (phase_of, phase) = watch::channel(Phase::Starting);
    let (decider, mailbox) = mpsc::channel(MESSAGES_MOST);
    let (limits, serving) = (told.limits.clone(), phase_of.clone());
    let mut decisions = Decider::start(clock, &told.deployment, limits, phase_of, decider.clone());
    // The list comes before the first access.
    told.known.into_iter().for_each(|notice| decisions.notice(notice));
    let socket = listener::bind(told.listen).map_err(|e| format!("listen: {}: {e}", told.listen))?;
    let (noticed, notices) = mpsc::channel(NOTICES_MOST);
    let deciding = spawn_local(decisions.run(mailbox, notices));

    let (address, last, places) = (told.board, told.last_event, told.places);
    spawn_local(Board { address, last, faulty: None, places, clock, decider: noticed }.run());
    let asked = decider.clone();
    spawn_local(async move {
        while stop.recv().await.is_some() {
            let _ = asked.send(Message::Stop).await;
        }
    });
    serving.send_replace(Phase::Serving);
    drop(serving);
    log::info!("{} serves on {}", told.name, told.listen);
    // Clients hold a third of the descriptors at most; a few more may be on their way out.
    let most = told.limits.sockets / 3 + 16;
    let door = Rc::new(Door { categories: told.categories, clock });
    listener::run(socket, most, door, decider, phase).await;
    // Without decisions nothing can be answered: better to be started anew than to go on.
    deciding.await.map_err(|what| format!("the decisions failed: {what}"))?;
    log::info!("{} ended", told.name);
    Ok(())
}
