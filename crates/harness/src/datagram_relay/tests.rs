use super::*;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Sends from router 0 to router 1's place in some weather; how many arrive, and from whom they seem to
/// be.
fn arrive(weather: DatagramFaults, count: u8) -> (Vec<u8>, bool) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let routers = [
            UdpSocket::bind("127.0.0.1:0").await.unwrap(),
            UdpSocket::bind("127.0.0.1:0").await.unwrap(),
        ];
        let at = routers.iter().map(|r| r.local_addr().unwrap()).collect();
        let net = DatagramRelay::open(at, "127.0.0.1").await.unwrap();
        let (told, _) = net.addresses();
        let (_weather, watched) = watch::channel(weather);
        net.start(&watched, &watch::channel(DatagramCounters::default()).0);
        for n in 0..count {
            routers[0].send_to(&[n], &told[1]).await.unwrap();
            tokio::task::yield_now().await;
        }
        let (mut came, mut known, mut buffer) = (Vec::new(), true, [0; 8]);
        while let Ok(Ok((_, from))) = timeout(
            Duration::from_millis(900),
            routers[1].recv_from(&mut buffer),
        )
        .await
        {
            known &= from.to_string() == told[0];
            came.push(buffer[0]);
        }
        (came, known)
    })
}

#[test]
fn datagrams_pass_under_their_senders_address_and_meet_the_weather() {
    assert_eq!(
        arrive(DatagramFaults::default(), 20),
        ((0..20).collect(), true)
    );
    let (came, known) = arrive(
        DatagramFaults {
            loss_share: 0.5,
            ..DatagramFaults::default()
        },
        100,
    );
    assert!(known && (25..75).contains(&came.len()), "{came:?}");
    assert_eq!(
        arrive(
            DatagramFaults {
                duplicate_share: 1.0,
                ..DatagramFaults::default()
            },
            10
        )
        .0
        .len(),
        20
    );
    assert!(
        arrive(
            DatagramFaults {
                is_deaf: vec![false, true],
                ..DatagramFaults::default()
            },
            10
        )
        .0
        .is_empty()
    );
    let (came, _) = arrive(
        DatagramFaults {
            reorder_share: 0.3,
            seed: 4,
            ..DatagramFaults::default()
        },
        40,
    );
    assert!(came.len() == 40 && !came.is_sorted(), "{came:?}");
}
