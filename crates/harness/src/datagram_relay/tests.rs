use super::*;
use tokio::task::LocalSet;
use tokio::time::timeout;

/// Sends datagrams from router 0 to router 1 under the given faults. Returns those that arrive, and
/// whether all came from router 0's relay address.
fn arrive(faults: DatagramFaults, count: u8) -> (Vec<u8>, bool) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, async {
        let routers = [
            UdpSocket::bind("127.0.0.1:0").await.unwrap(),
            UdpSocket::bind("127.0.0.1:0").await.unwrap(),
        ];
        let router_addresses = routers.iter().map(|r| r.local_addr().unwrap()).collect();
        let relay = DatagramRelay::open(router_addresses, "127.0.0.1")
            .await
            .unwrap();
        let (addresses, _) = relay.addresses();
        let (_faults, current_faults) = watch::channel(faults);
        relay.start(
            &current_faults,
            &watch::channel(DatagramCounters::default()).0,
        );
        for n in 0..count {
            routers[0].send_to(&[n], &addresses[1]).await.unwrap();
            tokio::task::yield_now().await;
        }
        let (mut arrived, mut from_relay, mut buffer) = (Vec::new(), true, [0; 8]);
        while let Ok(Ok((_, from))) = timeout(
            Duration::from_millis(900),
            routers[1].recv_from(&mut buffer),
        )
        .await
        {
            from_relay &= from.to_string() == addresses[0];
            arrived.push(buffer[0]);
        }
        (arrived, from_relay)
    })
}

#[test]
fn datagrams_arrive_from_their_senders_address_and_are_subject_to_the_faults() {
    assert_eq!(
        arrive(DatagramFaults::default(), 20),
        ((0..20).collect(), true)
    );
    let (arrived, from_relay) = arrive(
        DatagramFaults {
            loss_share: 0.5,
            ..DatagramFaults::default()
        },
        100,
    );
    assert!(
        from_relay && (25..75).contains(&arrived.len()),
        "{arrived:?}"
    );
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
    let (arrived, _) = arrive(
        DatagramFaults {
            reorder_share: 0.3,
            seed: 4,
            ..DatagramFaults::default()
        },
        40,
    );
    assert!(arrived.len() == 40 && !arrived.is_sorted(), "{arrived:?}");
}
