use super::*;

fn new_discovery(seed: u64) -> Discovery {
    let (decider, _) = mpsc::channel(1);
    let address = SocketAddr::from(([127, 0, 0, 1], 9));
    let names = DeploymentNames {
        zones: vec!["here".into()],
        kinds: vec!["cache".into()],
        ..DeploymentNames::default()
    };
    let (clock, random) = (Clock::start(), fastrand::Rng::with_seed(seed));
    let event_times = EventTimes::new(clock);
    Discovery {
        address,
        last_event: 0,
        unreadable_event: None,
        names,
        clock,
        event_times,
        decider,
        random,
        reserved_socket: None,
    }
}

/// Follows the service at this address. Returns the clock of the actor, and its channel for a new
/// configuration.
fn follow(
    address: SocketAddr,
    decider: mpsc::Sender<DiscoveryEvent>,
) -> (Clock, mpsc::Sender<NewDiscovery>) {
    let discovery = Discovery {
        address,
        decider,
        ..new_discovery(1)
    };
    let clock = discovery.clock;
    let (reconfigure, reconfigured) = mpsc::channel(1);
    tokio::task::spawn_local(discovery.run(reconfigured));
    (clock, reconfigure)
}

/// The routers of a fleet that has lost its discovery service do not all reconnect at once.
#[test]
fn reconnects_of_different_routers_are_spread_by_jitter() {
    let backoff = Duration::from_millis(320);
    let mut tenths = [0; 10];
    for seed in 0..300 {
        let wait = new_discovery(seed).with_jitter(backoff);
        assert!(wait > backoff / 2 && wait <= backoff, "{wait:?}");
        tenths[((wait - backoff / 2).as_secs_f64() / 0.160 * 9.999) as usize] += 1;
    }
    assert!(tenths.iter().all(|n| (12..=60).contains(n)), "{tenths:?}");
}

/// The configuration is reloaded while an event waits for space in the decider's mailbox. The event
/// is then forwarded exactly once, from the new service or from the new file.
#[tokio::test(flavor = "current_thread")]
async fn an_event_interrupted_by_a_reload_is_forwarded_once() {
    use tokio::net::{TcpListener, TcpStream};
    use tokio::task::{LocalSet, spawn_local, yield_now};

    async fn accept_watch(listener: &TcpListener) -> (BufReader<TcpStream>, String) {
        let (stream, _) = listener.accept().await.unwrap();
        let (mut stream, mut line) = (BufReader::new(stream), String::new());
        stream.read_line(&mut line).await.unwrap();
        (stream, line)
    }
    fn purge(number: u64) -> String {
        format!("{{\"rev\":{number},\"flush\":{{\"collection\":{number},\"ms\":5}}}}\n")
    }
    let test = |is_in_file: bool| async move {
        let (a, b) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0"),
        );
        let b = b.await.unwrap();
        let (decider, mut events) = mpsc::channel(1);
        let address = a.local_addr().unwrap();
        let (reconfigure, reconfigured) = mpsc::channel(1);
        spawn_local(
            Discovery {
                address,
                decider,
                ..new_discovery(1)
            }
            .run(reconfigured),
        );
        let (mut old, line) = accept_watch(&a).await;
        assert_eq!(line, "watch 0\n");
        // Both are sent at once: when the first is in the channel, the second waits for space.
        old.write_all([purge(1), purge(2)].concat().as_bytes())
            .await
            .unwrap();
        while events.is_empty() {
            yield_now().await;
        }
        let file_events = if is_in_file {
            vec![NumberedEvent {
                number: 2,
                event: Some(DiscoveryEvent::Purge {
                    object: None,
                    group: 2,
                    purged_at_unix_ms: 5,
                }),
            }]
        } else {
            vec![]
        };
        reconfigure
            .send(NewDiscovery {
                address: b.local_addr().unwrap(),
                known_events: file_events,
            })
            .await
            .unwrap();
        let mut groups = Vec::new();
        let mut take = |event| match event {
            Some(DiscoveryEvent::Purge { group, .. }) => groups.push(group),
            Some(_) => {}
            None => panic!("discovery has ended"),
        };
        if is_in_file {
            take(events.recv().await);
            take(events.recv().await);
        }
        let (mut new, line) = accept_watch(&b).await;
        assert_eq!(line, if is_in_file { "watch 2\n" } else { "watch 1\n" });
        new.write_all([purge(2), purge(3)].concat().as_bytes())
            .await
            .unwrap();
        while groups.last() != Some(&3) {
            let Some(DiscoveryEvent::Purge { group, .. }) = events.recv().await else {
                panic!("not a purge")
            };
            groups.push(group);
        }
        assert_eq!(groups, [1, 2, 3]);
    };
    for is_in_file in [false, true] {
        LocalSet::new().run_until(test(is_in_file)).await;
    }
}

/// Lets all tasks run, often enough that the runtime polls for I/O several times.
async fn run_other_tasks() {
    for _ in 0..256 {
        tokio::task::yield_now().await;
    }
}

/// Receives the next event of the decider without letting paused time advance.
async fn next_event(events: &mut mpsc::Receiver<DiscoveryEvent>) -> DiscoveryEvent {
    loop {
        match events.try_recv() {
            Ok(event) => return event,
            Err(mpsc::error::TryRecvError::Empty) => tokio::task::yield_now().await,
            Err(mpsc::error::TryRecvError::Disconnected) => panic!("discovery has ended"),
        }
    }
}

/// Time is paused and advanced by the test: the service sends heartbeats for an hour, closes each
/// connection at once for a minute, and then returns with a drain. There is no reconnect in the
/// hour and no reconnect storm in the minute, and the drain is forwarded with the first watch.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_drain_after_an_idle_hour_and_a_minute_of_outage_is_forwarded_at_once() {
    use std::io::Write;
    use tokio::time::advance;

    const TIME_STEP: Duration = Duration::from_millis(10);
    let test = async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (decider, mut events) = mpsc::channel(64);
        let (_reconfigure, reconfigured) = mpsc::channel(1);
        tokio::task::spawn_local(
            Discovery {
                address,
                decider,
                ..new_discovery(1)
            }
            .run(reconfigured),
        );
        run_other_tasks().await;
        let (mut stream, _) = listener.accept().unwrap();
        listener.set_nonblocking(true).unwrap();
        for _ in 0..3600 {
            stream.write_all(b"0\n").unwrap();
            assert!(matches!(
                next_event(&mut events).await,
                DiscoveryEvent::UpToDate { .. }
            ));
            advance(Duration::from_secs(1)).await;
        }
        assert!(
            listener.accept().is_err(),
            "reconnected during the idle hour"
        );

        drop(stream);
        let mut tries = 0;
        for _ in 0..6000 {
            run_other_tasks().await;
            tries += std::iter::from_fn(|| listener.accept().ok()).count();
            advance(TIME_STEP).await;
        }
        // The backoff is 160 to 320 ms, except for the first few attempts.
        assert!((150..=385).contains(&tries), "{tries} connects in a minute");

        let recovered_at = Instant::now();
        let mut stream = loop {
            run_other_tasks().await;
            if let Ok((stream, _)) = listener.accept() {
                break stream;
            }
            advance(TIME_STEP).await;
            assert!(
                recovered_at.elapsed() <= MAX_BACKOFF + TIME_STEP,
                "no watch {:?} after the service returned",
                recovered_at.elapsed()
            );
        };
        let drain = "{\"rev\":1,\"pool\":{\"hosts\":[{\"host\":\"c1\",\"dial\":\"127.0.0.1:9\",\
            \"site\":\"here\",\"class\":\"cache\",\"health\":\"leaving\"}]}}\n";
        stream.write_all(drain.as_bytes()).unwrap();
        assert!(matches!(
            next_event(&mut events).await,
            DiscoveryEvent::List { .. }
        ));
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// An event counts as no earlier than the previous heartbeat or event on its connection. At the
/// start there is no such bound; after a lost connection an event counts as of its arrival.
#[tokio::test(flavor = "current_thread")]
async fn a_heartbeat_bounds_the_timestamps_of_later_events_on_its_connection() {
    use tokio::net::TcpListener;
    use tokio::task::LocalSet;

    const HOUR_MS: u64 = 3_600_000;

    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (decider, mut events) = mpsc::channel(4);
        let (clock, _reconfigure) = follow(listener.local_addr().unwrap(), decider);
        let hour_ago = clock.unix_ms(clock.now()) - HOUR_MS;
        let event = |number: u64| {
            format!("{{\"rev\":{number},\"flush\":{{\"collection\":7,\"ms\":{hour_ago}}}}}\n")
        };
        let mut bounded_ms = async |lines: String, stream: &mut tokio::net::TcpStream| {
            stream.write_all(lines.as_bytes()).await.unwrap();
            loop {
                match events.recv().await.expect("discovery has ended") {
                    DiscoveryEvent::Purge {
                        purged_at_unix_ms, ..
                    } => return purged_at_unix_ms,
                    DiscoveryEvent::UpToDate { .. } => {}
                    _ => panic!("not a purge"),
                }
            }
        };
        let (mut first, _) = listener.accept().await.unwrap();
        assert_eq!(
            bounded_ms(event(1), &mut first).await,
            hour_ago,
            "at the start"
        );
        let before = clock.unix_ms(clock.now());
        assert!(
            bounded_ms(format!("1\n{}", event(2)), &mut first).await >= before,
            "after a heartbeat"
        );
        assert!(
            bounded_ms(event(3), &mut first).await >= before,
            "after an event"
        );
        drop(first);
        let (mut second, _) = listener.accept().await.unwrap();
        assert!(
            bounded_ms(event(4), &mut second).await >= before,
            "after a lost connection"
        );
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against purged copies in answers after a stall: what was read late says nothing about the
/// time since, in which the connection may have broken.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_heartbeat_that_was_unread_for_a_while_confirms_only_the_time_before() {
    use std::io::Write;
    use tokio::time::advance;

    const STALL: Duration = Duration::from_secs(3);
    let test = async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let (decider, mut events) = mpsc::channel(2);
        let (clock, _reconfigure) = follow(listener.local_addr().unwrap(), decider);
        run_other_tasks().await;
        let (mut stream, _) = listener.accept().unwrap();
        // The decider takes two events; the third one waits, and the heartbeat behind it is unread.
        let event =
            |number: u64| format!("{{\"rev\":{number},\"flush\":{{\"collection\":7,\"ms\":5}}}}\n");
        let lines = [event(1), event(2), event(3), "3\n".to_owned()].concat();
        stream.write_all(lines.as_bytes()).unwrap();
        while events.len() < 2 {
            run_other_tasks().await;
        }
        run_other_tasks().await;
        let stalled_at = clock.now();
        advance(STALL).await;
        for _ in 0..2 {
            events.try_recv().expect("an event before the stall");
        }
        next_event(&mut events).await;
        let DiscoveryEvent::UpToDate { as_of } = next_event(&mut events).await else {
            panic!("not a heartbeat")
        };
        assert!(as_of <= stalled_at, "{:?} too late", as_of - stalled_at);
        // One that is read as it arrives confirms the present.
        advance(Duration::from_secs(1)).await;
        stream.write_all(b"3\n").unwrap();
        let DiscoveryEvent::UpToDate { as_of } = next_event(&mut events).await else {
            panic!("not a heartbeat")
        };
        assert_eq!(as_of, clock.now());
    };
    tokio::task::LocalSet::new().run_until(test).await;
}

/// Guards against heartbeats that are taken for events: the watch was opened anew after each 1.8 s
/// without an event, and nothing confirmed that the router was up to date.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn heartbeats_keep_a_watch_open_as_bare_numbers_and_as_objects() {
    use std::io::Write;
    use tokio::time::advance;

    let test = |heartbeat: &'static str| async move {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let (decider, mut events) = mpsc::channel(4);
        let (_, _reconfigure) = follow(listener.local_addr().unwrap(), decider);
        run_other_tasks().await;
        let (mut stream, _) = listener.accept().unwrap();
        listener.set_nonblocking(true).unwrap();
        for _ in 0..60 {
            stream.write_all(heartbeat.as_bytes()).unwrap();
            run_other_tasks().await;
            assert!(
                listener.accept().is_err(),
                "{heartbeat:?} is not recognised: a new watch"
            );
            assert!(matches!(
                events.try_recv(),
                Ok(DiscoveryEvent::UpToDate { .. })
            ));
            advance(Duration::from_secs(1)).await;
        }
    };
    for heartbeat in ["0\n", "{\"rev\":0}\n", "{ \"rev\": 0 }\r\n"] {
        tokio::task::LocalSet::new()
            .run_until(test(heartbeat))
            .await;
    }
}

/// Guards against lost events: a number ahead of the last event says that events were missed. It is
/// not an event itself, after which the missed one would be skipped.
#[tokio::test(flavor = "current_thread")]
async fn a_heartbeat_ahead_of_the_last_event_requests_the_missed_events() {
    use tokio::net::TcpListener;
    use tokio::task::LocalSet;

    let test = |heartbeat: &'static str| async move {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (decider, _events) = mpsc::channel(4);
        let (_, _reconfigure) = follow(listener.local_addr().unwrap(), decider);
        let mut lines = Vec::new();
        for _ in 0..2 {
            let (stream, _) = listener.accept().await.unwrap();
            let (mut stream, mut line) = (BufReader::new(stream), String::new());
            stream.read_line(&mut line).await.unwrap();
            stream.write_all(heartbeat.as_bytes()).await.unwrap();
            lines.push(line);
            // Until the router closes the watch.
            let _ = stream.read_line(&mut String::new()).await;
        }
        assert_eq!(lines, ["watch 0\n", "watch 0\n"], "{heartbeat:?}");
    };
    for heartbeat in ["1\n", "{\"rev\":1}\n"] {
        LocalSet::new().run_until(test(heartbeat)).await;
    }
}
