//! The decider by itself, without sockets.

use super::*;

fn decider(phase: Phase) -> (Decider, mpsc::Sender<Message>, watch::Receiver<Phase>) {
    let (phase, phase_of) = watch::channel(phase);
    let (messages, _) = mpsc::channel(8);
    let limits = Limits {
        memory: 64 << 20,
        sockets: 256,
        connect_timeout: Duration::from_millis(400),
        idle_close: Duration::from_secs(30),
        streams: 100,
        open_accesses: 100,
    };
    let deployment = Deployment {
        categories: vec![Default::default()],
        longest_advice: Some(Duration::from_millis(90)),
        ..Deployment::default()
    };
    let beside = Beside { own: None, confined: None, talk: None, abroad: None };
    let to = messages.clone();
    (Decider::start(Clock::start(), &deployment, limits, phase, messages, beside), to, phase_of)
}

fn new(tag: u64, client: &mpsc::Sender<Reply>) -> New {
    let id: Id = format!("{tag:016x}").as_str().into();
    let left = Duration::from_secs(4);
    let arrival = Arrival { id: id.clone(), object: id, left, kb: 1.0, ..Arrival::default() };
    let client = client.clone().try_reserve_owned().unwrap();
    New {
        arrival,
        passed: Passed::default(),
        read_at: Duration::ZERO,
        tag,
        client,
        wanted: Wanted::default(),
    }
}

/// One that left before it was looked at goes nowhere, and its place comes back.
#[tokio::test(flavor = "current_thread")]
async fn one_that_left_before_it_was_looked_at_goes_nowhere() {
    let (mut decider, _messages, _phase) = decider(Phase::Serving);
    let (client, _answers) = mpsc::channel(1);
    let left = new(1, &client);
    left.wanted.end();
    assert_eq!(client.capacity(), 0);
    decider.take(Message::Access(Box::new(left)));
    assert_eq!((decider.desk.accesses.len(), client.capacity()), (0, 1));
}
