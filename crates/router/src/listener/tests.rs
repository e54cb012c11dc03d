use super::*;

#[test]
fn who_never_asked_goes_first_but_the_newest_then_who_stood_idle_longest() {
    let (says, _words) = mpsc::channel(8);
    let mut places = Places::default();
    let mut taken: Vec<Place> = (0..4 + NEWEST).map(|_| places.take(says.clone())).collect();
    let say = |places: &mut Places, at: usize, idle| {
        places.note(Word { number: taken[at].number, idle, asked: true });
    };
    say(&mut places, 0, false);
    say(&mut places, 1, false);
    say(&mut places, 1, true);
    say(&mut places, 0, true);
    say(&mut places, 2, false);
    let mut left = Vec::new();
    for _ in 0..4 {
        places.make_room();
        left.extend((0..taken.len()).filter(|at| taken[*at].leave.try_recv().is_ok()));
    }
    assert_eq!(left, [3, 1, 0, 4], "the newest only when nobody else is idle");
    assert_eq!(places.staying(), NEWEST, "who has something open stays");
    // Words that crossed ours make nobody else go.
    for idle in [false, true] {
        places.note(Word { number: taken[1].number, idle, asked: true });
        assert_eq!(places.staying(), NEWEST);
    }
    taken.iter().for_each(|place| places.gone(place.number));
    assert_eq!((places.held.len(), places.idle[0].len(), places.idle[1].len()), (0, 0, 0));
    assert_eq!(places.leaving, 0);
}

/// Accepts go on failing until those who were asked to leave have gone: nobody else has to go for that.
#[test]
fn failing_accepts_let_go_of_no_more_than_may_be_on_their_way_out() {
    let (says, _words) = mpsc::channel(8);
    let mut places = Places::default();
    let taken: Vec<Place> = (0..60).map(|_| places.take(says.clone())).collect();
    places.note(Word { number: taken[0].number, idle: true, asked: true });
    (0..3).for_each(|_| places.make_much_room());
    assert_eq!((places.leaving, places.staying()), (LEAVING_MOST, 60 - LEAVING_MOST));
    places.gone(taken[1].number);
    places.make_much_room();
    assert_eq!((places.leaving, places.staying()), (LEAVING_MOST, 60 - LEAVING_MOST - 1));
}

/// The router ends while connections wait for it to accept them, with requests on them: each is answered.
#[tokio::test(flavor = "current_thread")]
async fn connections_that_wait_as_the_router_ends_are_answered() {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let inside = async {
        let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let at = listener.local_addr().unwrap();
        let (_phase, phase_of) = watch::channel(Phase::Ended);
        let (decider, _mailbox) = mpsc::channel(8);
        let clock = crate::clock::Clock::start();
        let (classes, tenants) = (vec!["page".to_owned()], Vec::new());
        let door = Rc::new(Door { classes, tenants, kb_per_s: 0.0, advice: None, clock });
        let request = "*5\r\n$3\r\nREQ\r\n$1\r\n1\r\n$4\r\npage\r\n$48\r\n\
            i=00000000000000a1,d=1500,o=00000000000000b1,m=9\r\n$0\r\n\r\n";
        let mut waiting = Vec::new();
        for _ in 0..3 {
            let mut client = tokio::net::TcpStream::connect(at).await.unwrap();
            client.write_all(request.as_bytes()).await.unwrap();
            waiting.push(client);
        }
        run(listener, 100, door, decider, phase_of).await;
        for mut client in waiting {
            let mut said = String::new();
            client.read_to_string(&mut said).await.expect("no reset");
            assert_eq!(said, "*4\r\n$1\r\n1\r\n$3\r\nNAK\r\n$0\r\n\r\n$0\r\n\r\n");
        }
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}
