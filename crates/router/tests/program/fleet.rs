//! What a fleet of hundreds asks of each router: one process as the line `run` starts it, and talk
//! with peers.

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

/// The local addresses, as the system writes them, at which a process listens (TCP) or is bound
/// (UDP).
fn local_addresses_in_state(process: u32, table: &str, state: &str) -> Vec<String> {
    let held = sockets_of(process);
    let text = std::fs::read_to_string(format!("/proc/{process}/net/{table}")).unwrap_or_default();
    let lines = text
        .lines()
        .skip(1)
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let own = lines.filter(|words| words[3] == state && held.contains(&words[9].parse().unwrap()));
    own.map(|words| words[1].to_owned()).collect()
}

/// `run` of the deploy file, with the program as this build left it.
fn deploy_run_command() -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deploy = std::fs::read_to_string(root.join("deploy/balancer.toml")).unwrap();
    let line = deploy
        .lines()
        .find_map(|line| line.strip_prefix("run = \""))
        .expect("run");
    let line = line.split_once('"').expect("its end").0;
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
    // The shell has given way: whom the platform started is the router itself.
    let of = |name: &str| std::fs::read_to_string(format!("/proc/{process}/{name}")).unwrap();
    assert!(of("comm").starts_with("chalkhall-route"), "{}", of("comm"));
    let maps = of("maps");
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
        assert_eq!(children, "", "it has started another process");
    }
    let listens = local_addresses_in_state(process, "tcp", "0A");
    assert_eq!(listens.len(), 1, "it listens at {listens:?}");
    assert!(
        listens[0].ends_with(":13BA"),
        "{listens:?} is not port 5050"
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
    // The signals come through a pair of sockets that have no name, so that nobody can come to
    // them.
    let (held, unix) = (sockets_of(process), of("net/unix"));
    let own = |line: &&str| {
        line.split_whitespace()
            .any(|word| word.parse().is_ok_and(|n| held.contains(&n)))
    };
    assert!(
        unix.lines().filter(own).all(|line| !line.contains('/')),
        "a Unix socket with a name:\n{unix}"
    );
    drop(client);
    router.terminate();
    assert_eq!(router.wait_for_exit().status.code(), Some(0));
}

/// A router of two at its zone, and what is told to it of the other.
fn environment_with_peer(tell: &str) -> (TestEnvironment, UdpSocket, UdpSocket) {
    let mut environment = TestEnvironment::new();
    let socket = || {
        let socket = UdpSocket::bind(unused_address()).unwrap();
        socket.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
        socket
    };
    let (peer, all, own) = (socket(), socket(), unused_address());
    let at = |socket: &UdpSocket| socket.local_addr().unwrap().to_string();
    environment.file["settings"]["FamilyInfo"]["CrewByZone"] = json!([2]);
    environment.file["settings"]["PeersTotal"] = json!(2);
    environment.file["settings"]["Limits"]["PeerMessages"] = json!(true);
    environment.file["peer_listen"] = json!(own.to_string());
    environment.file["peers"] = json!([own.to_string(), at(&peer)]);
    environment.file["peers_all"] = json!(at(&all));
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
    let (looking, router_address) = receive_datagram(&all);
    assert_eq!(
        looking,
        [0xC1, 1, 0, 0],
        "its format, looking for peers, at zone 0"
    );
    // Nonsense, and a stranger's word, change nothing: the router goes on, and tells its peer.
    peer.send_to(&[0xC1, 0xFF, 0, 0, 1], router_address)
        .unwrap();
    all.send_to(&[0xC1, 0, 0, 0], router_address).unwrap();
    peer.send_to(&[0xC1, 1, 0, 0], router_address).unwrap();
    assert_eq!(receive_datagram(&peer).0, [0xC1, 0, 0, 0], "a sign of life");
    let mut client = router.connect();
    client.send_request(1, "page", "", b"");
    environment.server("c1").accept().respond_hit(b"body");
    assert_eq!(client.read_answer_word(), "ACK");
    let mut told = receive_datagram(&peer).0;
    while told.len() == 4 {
        told = receive_datagram(&peer).0;
    }
    assert_eq!(
        (&told[..4], told.len()),
        (&[0xC1, 0, 0, 0][..], 9),
        "one finding"
    );
}

#[test]
fn a_taken_gossip_address_disables_gossip_but_not_the_start() {
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
        assert!(all.recv(&mut [0; 16]).is_err(), "something was said");
    }
}

/// One question at the control socket.
fn control_command(path: &std::path::Path, words: &str) -> serde_json::Value {
    use std::io::{BufRead, BufReader, Write};
    let mut stream = std::os::unix::net::UnixStream::connect(path).unwrap();
    stream.write_all(format!("{words}\n").as_bytes()).unwrap();
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
    for (words, what) in [
        ("latency observe z1 z2 5", "not this router's region"),
        ("latency observe north zz 5", "zz is not a zone"),
        ("latency observe north z2 -5", "MS is from 0"),
        ("latency observe north z2 5 0", "COUNT from 1"),
        ("latency observe north", "is written"),
        ("regions nonsense", "unknown words"),
    ] {
        let said = control_command(&control, words)["error"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        assert!(said.contains(what), "{words}: {said}");
    }
    assert_eq!(
        control_command(&control, "latency observe north z2 40 20")["observed"],
        20
    );
    assert_eq!(
        control_command(&control, "latency observe north z1 90 20")["observed"],
        20
    );
    let shown = control_command(&control, "steer show");
    let of = |edge: &str| {
        shown["edges"]
            .as_array()
            .unwrap()
            .iter()
            .find(|e| e["edge"] == edge)
            .unwrap()
            .clone()
    };
    let ms = |edge: &str| of(edge)["clients_ms"].as_f64().unwrap();
    assert!(
        (ms("z2") / 40.0 - 1.0).abs() < 0.06 && (ms("z1") / 90.0 - 1.0).abs() < 0.06,
        "{shown}"
    );
    assert_eq!(
        (shown["region"].as_str(), of("here")["share"].as_f64()),
        (Some("north"), Some(1.0)),
        "{shown}"
    );
    assert_eq!(control_command(&control, "regions stat")["bad"], false);
    // Its peer is told in words of the new kind, and nonsense of that kind changes nothing.
    let (bytes, router_address) = receive_datagram(&peer);
    assert_eq!(bytes[0], 0xC3);
    peer.send_to(&[0xC3, 0, 0, 9, 1], router_address).unwrap();
    wait_until("the nonsense", || {
        control_command(&control, "regions stat")["faulty"] == 1
    });
    drop(router);
}

#[test]
fn an_unknown_zone_in_regions_ends_the_start_with_its_name() {
    let (mut environment, _peer, _all) = environment_with_peer("off");
    environment.directives = "regions {\n in-common on\n drain atlantis\n}\n".into();
    let RouterExit { status, log } = environment.spawn("").wait_for_exit();
    assert!(
        !status.success() && log.contains("atlantis is not a zone"),
        "{log}"
    );
}
