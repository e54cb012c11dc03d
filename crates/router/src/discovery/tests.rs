use super::*;

fn discovery(seed: u64) -> Discovery {
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
        spare_socket: None,
    }
}

/// A fleet that lost its discovery service in one moment does not come back to it in one.
#[test]
fn routers_come_again_at_times_of_their_own() {
    let pause = Duration::from_millis(320);
    let mut tenths = [0; 10];
    for seed in 0..300 {
        let wait = discovery(seed).with_jitter(pause);
        assert!(wait > pause / 2 && wait <= pause, "{wait:?}");
        tenths[((wait - pause / 2).as_secs_f64() / 0.160 * 9.999) as usize] += 1;
    }
    assert!(tenths.iter().all(|n| (12..=60).contains(n)), "{tenths:?}");
}

/// An event has been read and finds the decider's mailbox full; then a new file comes. It is passed
/// by neither half: the new service tells it, or the new file, and it is passed once.
#[tokio::test(flavor = "current_thread")]
async fn an_event_half_passed_as_a_new_file_comes_is_passed_once() {
    use tokio::net::{TcpListener, TcpStream};
    use tokio::task::{LocalSet, spawn_local, yield_now};

    async fn watched(listener: &TcpListener) -> (BufReader<TcpStream>, String) {
        let (stream, _) = listener.accept().await.unwrap();
        let (mut stream, mut line) = (BufReader::new(stream), String::new());
        stream.read_line(&mut line).await.unwrap();
        (stream, line)
    }
    fn purge(number: u64) -> String {
        format!("{{\"rev\":{number},\"flush\":{{\"collection\":{number},\"ms\":5}}}}\n")
    }
    let inside = |file_knows: bool| async move {
        let (a, b) = (
            TcpListener::bind("127.0.0.1:0").await.unwrap(),
            TcpListener::bind("127.0.0.1:0"),
        );
        let b = b.await.unwrap();
        let (decider, mut notices) = mpsc::channel(1);
        let address = a.local_addr().unwrap();
        let (reconfigure, reconfigured) = mpsc::channel(1);
        spawn_local(
            Discovery {
                address,
                decider,
                ..discovery(1)
            }
            .run(reconfigured),
        );
        let (mut old, line) = watched(&a).await;
        assert_eq!(line, "watch 0\n");
        // Both in one piece: when the first is seen here, the second waits for its place.
        old.write_all([purge(1), purge(2)].concat().as_bytes())
            .await
            .unwrap();
        while notices.is_empty() {
            yield_now().await;
        }
        let known = if file_knows {
            vec![NumberedEvent {
                number: 2,
                event: Some(DiscoveryEvent::Purge {
                    object: None,
                    group: 2,
                    ms: 5,
                }),
            }]
        } else {
            vec![]
        };
        reconfigure
            .send(NewDiscovery {
                address: b.local_addr().unwrap(),
                known_events: known,
            })
            .await
            .unwrap();
        let mut groups = Vec::new();
        let mut take = |notice| match notice {
            Some(DiscoveryEvent::Purge { group, .. }) => groups.push(group),
            Some(_) => {}
            None => panic!("it has ended"),
        };
        if file_knows {
            take(notices.recv().await);
            take(notices.recv().await);
        }
        let (mut new, line) = watched(&b).await;
        assert_eq!(line, if file_knows { "watch 2\n" } else { "watch 1\n" });
        new.write_all([purge(2), purge(3)].concat().as_bytes())
            .await
            .unwrap();
        while groups.last() != Some(&3) {
            let Some(DiscoveryEvent::Purge { group, .. }) = notices.recv().await else {
                panic!("not a purge")
            };
            groups.push(group);
        }
        assert_eq!(groups, [1, 2, 3]);
    };
    for file_knows in [false, true] {
        LocalSet::new().run_until(inside(file_knows)).await;
    }
}

/// Turns of all tasks, so many that the system's events are looked at several times.
async fn turns() {
    for _ in 0..256 {
        tokio::task::yield_now().await;
    }
}

/// What the router is told next, with no time passing.
async fn noticed(notices: &mut mpsc::Receiver<DiscoveryEvent>) -> DiscoveryEvent {
    loop {
        match notices.try_recv() {
            Ok(notice) => return notice,
            Err(mpsc::error::TryRecvError::Empty) => tokio::task::yield_now().await,
            Err(mpsc::error::TryRecvError::Disconnected) => panic!("it has ended"),
        }
    }
}

/// Time stands still but where the test moves it: an hour in which a service says its last number
/// each second, then a minute in which it shuts each connection at once, then its return with a
/// drain. The hour leaves nothing behind, the minute brings no storm, and the drain is passed on
/// with the first watch.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn an_hour_of_quiet_and_a_minute_down_end_in_one_watch_that_is_heard_at_once() {
    use std::io::Write;
    use tokio::time::advance;

    const STEP: Duration = Duration::from_millis(10);
    let inside = async {
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (decider, mut notices) = mpsc::channel(64);
        let (_reconfigure, reconfigured) = mpsc::channel(1);
        tokio::task::spawn_local(
            Discovery {
                address,
                decider,
                ..discovery(1)
            }
            .run(reconfigured),
        );
        turns().await;
        let (mut stream, _) = listener.accept().unwrap();
        listener.set_nonblocking(true).unwrap();
        for _ in 0..3600 {
            stream.write_all(b"0\n").unwrap();
            assert!(matches!(
                noticed(&mut notices).await,
                DiscoveryEvent::UpToDate
            ));
            advance(Duration::from_secs(1)).await;
        }
        assert!(
            listener.accept().is_err(),
            "watched again in the quiet hour"
        );

        drop(stream);
        let mut tries = 0;
        for _ in 0..6000 {
            turns().await;
            tries += std::iter::from_fn(|| listener.accept().ok()).count();
            advance(STEP).await;
        }
        // Pauses of 160 to 320 ms, but for the first few.
        assert!((150..=385).contains(&tries), "{tries} tries in a minute");

        let back = Instant::now();
        let mut stream = loop {
            turns().await;
            if let Ok((stream, _)) = listener.accept() {
                break stream;
            }
            advance(STEP).await;
            assert!(
                back.elapsed() <= MAX_PAUSE + STEP,
                "no watch {:?} after its return",
                back.elapsed()
            );
        };
        let drain = "{\"rev\":1,\"pool\":{\"hosts\":[{\"host\":\"c1\",\"dial\":\"127.0.0.1:9\",\
            \"site\":\"here\",\"class\":\"cache\",\"health\":\"leaving\"}]}}\n";
        stream.write_all(drain.as_bytes()).unwrap();
        assert!(matches!(
            noticed(&mut notices).await,
            DiscoveryEvent::List { .. }
        ));
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}

/// What discovery said last on the same connection bounds the stamp of an event; at the start, and
/// after a connection was lost, nothing does.
#[tokio::test(flavor = "current_thread")]
async fn the_last_word_on_a_connection_bounds_the_stamps_that_follow_on_it() {
    use tokio::net::TcpListener;
    use tokio::task::{LocalSet, spawn_local};

    const HOUR_MS: u64 = 3_600_000;

    let inside = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (decider, mut notices) = mpsc::channel(4);
        let watcher = Discovery {
            address: listener.local_addr().unwrap(),
            decider,
            ..discovery(1)
        };
        let clock = watcher.clock;
        let (_reconfigure, reconfigured) = mpsc::channel(1);
        spawn_local(watcher.run(reconfigured));
        let hour_ago = clock.unix_ms(clock.now()) - HOUR_MS;
        let event = |number: u64| {
            format!("{{\"rev\":{number},\"flush\":{{\"collection\":7,\"ms\":{hour_ago}}}}}\n")
        };
        let mut counts_as = async |said: String, stream: &mut tokio::net::TcpStream| {
            stream.write_all(said.as_bytes()).await.unwrap();
            loop {
                match notices.recv().await.expect("it goes on") {
                    DiscoveryEvent::Purge { ms, .. } => return ms,
                    DiscoveryEvent::UpToDate => {}
                    _ => panic!("not a purge"),
                }
            }
        };
        let (mut first, _) = listener.accept().await.unwrap();
        assert_eq!(
            counts_as(event(1), &mut first).await,
            hour_ago,
            "at the start"
        );
        let before = clock.unix_ms(clock.now());
        assert!(
            counts_as(format!("1\n{}", event(2)), &mut first).await >= before,
            "live"
        );
        assert!(
            counts_as(event(3), &mut first).await >= before,
            "behind a live event"
        );
        drop(first);
        let (mut second, _) = listener.accept().await.unwrap();
        assert!(counts_as(event(4), &mut second).await >= before, "replayed");
    };
    LocalSet::new().run_until(inside).await;
}
