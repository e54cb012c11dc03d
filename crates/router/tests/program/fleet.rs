//! Requirements of a large fleet on each router: the `run` line of the deploy file starts exactly
//! one process, and peers exchange messages by gossip.

use crate::support::*;
use serde_json::json;
use std::net::UdpSocket;
use std::os::unix::fs::MetadataExt;
use std::path::Path;

/// The inodes of the sockets that a process holds.
fn sockets_of(process: u32) -> Vec<u64> {
    let held = std::fs::read_dir(format!("/proc/{process}/fd"))
        .unwrap()
        .flatten();
    let inode = |path: &Path| std::fs::metadata(path).ok().map(|m| m.ino());
    let sockets = held.filter(|fd| {
        std::fs::read_link(fd.path()).is_ok_and(|to| to.to_string_lossy().starts_with("socket:"))
    });
    sockets.filter_map(|fd| inode(&fd.path())).collect()
}

/// The local addresses of a process's sockets in a state, as `/proc/net` writes them: `0A` is
/// listening (TCP), `07` is bound (UDP).
fn local_addresses_in_state(process: u32, table: &str, state: &str) -> Vec<String> {
    let held = sockets_of(process);
    let text = std::fs::read_to_string(format!("/proc/{process}/net/{table}")).unwrap_or_default();
    let lines = text
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let sockets =
        lines.filter(|columns| columns[3] == state && held.contains(&columns[9].parse().unwrap()));
    sockets.map(|columns| columns[1].to_owned()).collect()
}

/// The `run` line of the deploy file, with the path of the router binary of this build.
fn deploy_run_command() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let line = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \""))
        .expect("a run line in deploy/balancer.toml");
    let line = line
        .split_once('"')
        .expect("the closing quote of the run line")
        .0;
    assert!(
        line.starts_with("exec target/release/chalkhall-router "),
        "{line}"
    );
    let line = line.replace(
        "target/release/chalkhall-router",
        env!("CARGO_BIN_EXE_chalkhall-router"),
    );
    format!("cd {} && {line}", root.display())
}

#[test]
fn the_deploy_files_run_line_starts_one_process_that_listens_and_stops_as_configured() {
    let mut environment = TestEnvironment::new();
    environment.command_override = Some(deploy_run_command());
    let mut router = environment.start();
    let process = router.id();
    // The shell was replaced by `exec`: the started process is the router itself.
    let proc_file =
        |name: &str| std::fs::read_to_string(format!("/proc/{process}/{name}")).unwrap();
    assert!(
        proc_file("comm").starts_with("chalkhall-route"),
        "{}",
        proc_file("comm")
    );
    let maps = proc_file("maps");
    assert!(
        maps.contains("/libc.so.6") && maps.contains("/ld-linux"),
        "linked statically:\n{maps}"
    );
    let mut client = router.connect();
    client.send_request(1, "page", "", b"");
    environment.server("c1").accept().respond_hit(b"body");
    assert_eq!(client.read_answer_word(), "ACK");
    for task in std::fs::read_dir(format!("/proc/{process}/task"))
        .unwrap()
        .flatten()
    {
        let children = std::fs::read_to_string(task.path().join("children")).unwrap();
        assert_eq!(children, "", "the router has started another process");
    }
    let listening = local_addresses_in_state(process, "tcp", "0A");
    assert_eq!(listening.len(), 1, "the router listens at {listening:?}");
    assert!(
        listening[0].ends_with(":13BA"),
        "{listening:?} is not port 5050"
    );
    for table in ["tcp6", "udp", "udp6"] {
        assert_eq!(
            local_addresses_in_state(process, table, "0A"),
            Vec::<String>::new(),
            "{table}"
        );
        assert_eq!(
            local_addresses_in_state(process, table, "07"),
            Vec::<String>::new(),
            "{table}"
        );
    }
    // Signals arrive through a pair of unnamed sockets, which no other process can connect to.
    let (held, unix) = (sockets_of(process), proc_file("net/unix"));
    let is_own = |line: &&str| {
        line.split_whitespace()
            .any(|word| word.parse().is_ok_and(|n| held.contains(&n)))
    };
    assert!(
        unix.lines().filter(is_own).all(|line| !line.contains('/')),
        "a Unix socket with a name:\n{unix}"
    );
    drop(client);
    router.terminate();
    assert_eq!(router.wait_for_exit().status.code(), Some(0));
}

/// An environment of two routers in a zone, of which the test plays the second. Returns it with the
/// sockets at the address of the peer and at the one for messages to all peers.
fn environment_with_peer(tell: &str) -> (TestEnvironment, UdpSocket, UdpSocket) {
    let mut environment = TestEnvironment::new();
    let socket = || {
        let socket = UdpSocket::bind(unused_address()).unwrap();
        socket.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        socket
    };
    let (peer, all, own_address) = (socket(), socket(), unused_address());
    let address_of = |socket: &UdpSocket| socket.local_addr().unwrap().to_string();
    environment.file["settings"]["FamilyInfo"]["CrewByZone"] = json!([2]);
    environment.file["settings"]["PeersTotal"] = json!(2);
    environment.file["settings"]["Limits"]["PeerMessages"] = json!(true);
    environment.file["peer_listen"] = json!(own_address.to_string());
    environment.file["peers"] = json!([own_address.to_string(), address_of(&peer)]);
    environment.file["peers_all"] = json!(address_of(&all));
    environment.directives = format!("peers {{\n tell {tell}\n}}\n");
    (environment, peer, all)
}

fn receive_datagram(socket: &UdpSocket) -> (Vec<u8>, std::net::SocketAddr) {
    let mut buffer = [0; 512];
    let (length, from) = socket.recv_from(&mut buffer).unwrap();
    (buffer[..length].to_vec(), from)
}

#[test]
fn a_peer_is_discovered_and_sent_an_observation() {
    let (mut environment, peer, all) = environment_with_peer("on");
    let router = environment.start();
    let (peer_search, router_address) = receive_datagram(&all);
    assert_eq!(
        peer_search,
        [0xC1, 1, 0, 0],
        "its format, looking for peers, in zone 0"
    );
    // Invalid datagrams and those of unknown senders change nothing: the router goes on, and sends
    // to its peer.
    peer.send_to(&[0xC1, 0xFF, 0, 0, 1], router_address)
        .unwrap();
    all.send_to(&[0xC1, 0, 0, 0], router_address).unwrap();
    peer.send_to(&[0xC1, 1, 0, 0], router_address).unwrap();
    assert_eq!(receive_datagram(&peer).0, [0xC1, 0, 0, 0], "a heartbeat");
    let mut client = router.connect();
    client.send_request(1, "page", "", b"");
    environment.server("c1").accept().respond_hit(b"body");
    assert_eq!(client.read_answer_word(), "ACK");
    let mut message = receive_datagram(&peer).0;
    while message.len() == 4 {
        message = receive_datagram(&peer).0;
    }
    assert_eq!(
        (&message[..4], message.len()),
        (&[0xC1, 0, 0, 0][..], 9),
        "one observation"
    );
}

#[test]
fn a_gossip_address_in_use_disables_gossip_but_not_the_router() {
    let (mut environment, _peer, all) = environment_with_peer("on");
    environment.file["peer_listen"] = json!(all.local_addr().unwrap().to_string());
    let router = environment.start();
    let mut client = router.connect();
    client.send_request(1, "page", "", b"");
    environment.server("c1").accept().respond_hit(b"body");
    assert_eq!(client.read_answer_word(), "ACK");
    assert_eq!(
        local_addresses_in_state(router.id(), "udp", "07"),
        Vec::<String>::new()
    );
}

#[test]
fn gossip_is_off_unless_configured_and_allowed() {
    for (tell, allowed) in [("off", true), ("on", false)] {
        let (mut environment, _peer, all) = environment_with_peer(tell);
        environment.file["settings"]["Limits"]["PeerMessages"] = json!(allowed);
        let router = environment.start();
        assert_eq!(
            local_addresses_in_state(router.id(), "udp", "07"),
            Vec::<String>::new()
        );
        all.set_nonblocking(true).unwrap();
        assert!(all.recv(&mut [0; 16]).is_err(), "a datagram was sent");
    }
}

/// Sends one command to the control socket and returns its reply.
fn control_command(path: &std::path::Path, command: &str) -> serde_json::Value {
    use std::io::{BufRead, BufReader, Write};
    let mut stream = std::os::unix::net::UnixStream::connect(path).unwrap();
    stream.write_all(format!("{command}\n").as_bytes()).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    serde_json::from_str(&line).unwrap()
}

#[test]
fn measured_latencies_weight_zones_and_invalid_commands_are_refused_with_a_reason() {
    let (mut environment, peer, _all) = environment_with_peer("off");
    environment.file["settings"]["Zones"] = json!(["here", "z1", "z2"]);
    environment.file["settings"]["FamilyInfo"]["CrewByZone"] = json!([2, 0, 0]);
    let control = environment
        .configuration_path()
        .with_file_name("control.sock");
    environment.directives = format!(
        "control {}\nregions {{\n in-common on\n abroad on\n region north here z1\n}}\n",
        control.display()
    );
    let router = environment.start();
    for (command, expected) in [
        ("latency observe z1 z2 5", "not this router's region"),
        ("latency observe north zz 5", "zz is not a zone"),
        ("latency observe north z2 -5", "MS is from 0"),
        ("latency observe north z2 5 0", "COUNT from 1"),
        ("latency observe north", "is written"),
        ("regions nonsense", "unknown words"),
    ] {
        let error = control_command(&control, command)["error"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        assert!(error.contains(expected), "{command}: {error}");
    }
    assert_eq!(
        control_command(&control, "latency observe north z2 40 20")["observed"],
        20
    );
    assert_eq!(
        control_command(&control, "latency observe north z1 90 20")["observed"],
        20
    );
    let plan = control_command(&control, "steer show");
    let edge_entry = |edge: &str| {
        plan["edges"]
            .as_array()
            .unwrap()
            .iter()
            .find(|e| e["edge"] == edge)
            .unwrap()
            .clone()
    };
    let ms = |edge: &str| edge_entry(edge)["clients_ms"].as_f64().unwrap();
    assert!(
        (ms("z2") / 40.0 - 1.0).abs() < 0.06 && (ms("z1") / 90.0 - 1.0).abs() < 0.06,
        "{plan}"
    );
    assert_eq!(
        (
            plan["region"].as_str(),
            edge_entry("here")["share"].as_f64()
        ),
        (Some("north"), Some(1.0)),
        "{plan}"
    );
    assert_eq!(control_command(&control, "regions stat")["bad"], false);
    // The peer gets messages of the new format, and an invalid message of that format is counted
    // and otherwise ignored.
    let (bytes, router_address) = receive_datagram(&peer);
    assert_eq!(bytes[0], 0xC3);
    peer.send_to(&[0xC3, 0, 0, 9, 1], router_address).unwrap();
    wait_until("the invalid message to be counted", || {
        control_command(&control, "regions stat")["faulty"] == 1
    });
    drop(router);
}

#[test]
fn an_unknown_zone_in_regions_aborts_startup_and_is_named() {
    let (mut environment, _peer, _all) = environment_with_peer("off");
    environment.directives = "regions {\n in-common on\n drain atlantis\n}\n".into();
    let RouterExit { status, log } = environment.spawn("").wait_for_exit();
    assert!(
        !status.success() && log.contains("atlantis is not a zone"),
        "{log}"
    );
}
