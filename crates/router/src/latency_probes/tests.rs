use super::*;
use tokio::net::TcpListener;

#[test]
fn answered_probes_are_measured_and_others_are_reported_lost() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (decider, mut messages) = mpsc::channel(8);
        let (probes, receiver) = mpsc::channel(8);
        spawn_local(run(receiver, decider));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let closed_listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let refusing_address = closed_listener.local_addr().unwrap();
        drop(closed_listener);
        probes.send(Probe { edge: 3, address }).await.unwrap();
        let (stream, _) = listener.accept().await.unwrap();
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        stream.read_line(&mut line).await.unwrap();
        assert_eq!(line, "NOOP 1\r\n");
        stream
            .get_mut()
            .write_all(b"9 UP - 0\r\n\r\n1 UP - 0\r\n\r\n")
            .await
            .unwrap();
        assert!(matches!(
            messages.recv().await,
            Some(Message::LatencyMeasured(3, Some(_)))
        ));
        // The connection is reused. When it breaks, the probe is lost, and the next one uses a new
        // connection.
        probes.send(Probe { edge: 3, address }).await.unwrap();
        line.clear();
        stream.read_line(&mut line).await.unwrap();
        assert_eq!(line, "NOOP 2\r\n");
        drop(stream);
        assert!(matches!(
            messages.recv().await,
            Some(Message::LatencyMeasured(3, None))
        ));
        probes
            .send(Probe {
                edge: 4,
                address: refusing_address,
            })
            .await
            .unwrap();
        assert!(matches!(
            messages.recv().await,
            Some(Message::LatencyMeasured(4, None))
        ));
        probes.send(Probe { edge: 3, address }).await.unwrap();
        assert!(listener.accept().await.is_ok());
    });
}

/// Connecting to the broadcast address of the loopback network fails at once on Linux, without a
/// route (ENETUNREACH).
#[tokio::test(flavor = "current_thread")]
async fn a_probe_that_was_not_sent_is_not_reported() {
    let test = async {
        let (decider, mut messages) = mpsc::channel(8);
        let (edges, receiver) = mpsc::channel(8);
        edges.send(3).await.unwrap();
        drop(edges);
        let address = SocketAddr::from(([127, 255, 255, 255], 9));
        Prober::new(address, decider).run(receiver).await;
        assert!(messages.recv().await.is_none());
    };
    tokio::task::LocalSet::new().run_until(test).await;
}
