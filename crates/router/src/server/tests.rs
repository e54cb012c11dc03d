use super::*;
use crate::lines::Passed;
use crate::messages::Wanted;
use bytes::{Bytes, BytesMut};

const WAIT: Duration = Duration::from_secs(1);

/// A server that is never reached, and what its mailboxes hang on.
fn server() -> (Server, impl Sized) {
    let (orders_of_links, from_links) = mpsc::channel(8);
    let (sender, orders) = mpsc::channel(8);
    let (decider, messages) = mpsc::channel(8);
    let server = Server {
        name: "s".into(),
        dial: SocketAddr::from(([127, 0, 0, 1], 9)),
        connections_most: 4,
        streams: 100,
        connect_timeout: WAIT,
        idle: WAIT,
        orders,
        orders_of_links,
        decider,
    };
    (server, (from_links, sender, messages))
}

fn ask(id: &'static str) -> Box<Ask> {
    let due = Instant::now() + WAIT;
    let passed = Passed { id: Bytes::from_static(id.as_bytes()), ..Passed::default() };
    let (key, line, wanted) = ((id.into(), 0), BytesMut::new(), Wanted::default());
    Box::new(Ask { key, passed, line, once: false, wanted, due, leave_by: due })
}

async fn ended(server: &mut Server, hands: &mut Hands, link: u64, id: &str) {
    let key: Key = (id.into(), 0);
    let ended = Report::Ended { key, outcome: Outcome::Honoured, answer: None, silent: false };
    server.order(hands, Order::Link(link, ended)).await;
}

#[tokio::test(flavor = "current_thread")]
async fn an_id_that_was_out_does_not_come_again_on_its_connection() {
    let inside = async {
        let ((mut server, _kept), mut hands) = (server(), Hands::default());
        server.open(&mut hands);
        hands.links[0].up = true;
        assert!(server.pass(&mut hands, ask("a")));
        assert_eq!(hands.links.len(), 1, "shared while it may be");
        ended(&mut server, &mut hands, 1, "a").await;
        assert!(server.pass(&mut hands, ask("a")));
        let open: Vec<usize> = hands.links.iter().map(|link| link.open).collect();
        assert_eq!(open, [0, 1], "a second copy would pass for the second one's");
    };
    tokio::task::LocalSet::new().run_until(inside).await;
}
