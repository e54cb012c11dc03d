//! Cell maps: bindings, reloads, tenant rates and migrations.

use crate::support::*;
use serde_json::json;
use std::collections::BTreeSet;
use std::time::Instant;

/// The default environment with the caches `c2` and `c3` beside `c1`, and an operator's file.
fn environment(directives: &str) -> TestEnvironment {
    let mut environment = TestEnvironment::new()
        .with_server("c2", "cache")
        .with_server("c3", "cache");
    environment.directives = directives.to_owned();
    environment
}

/// Requests 20 objects of a group, answers them at whichever servers they reach, and returns the
/// names of those servers.
fn servers_of_requests(
    environment: &TestEnvironment,
    client: &mut TestClient,
    connections: &mut Vec<(String, LineConnection)>,
    from: u64,
    group: u64,
) -> BTreeSet<String> {
    let mut reached = BTreeSet::new();
    for tag in from..from + 20 {
        let fields = format!(
            "i={:016x},o={tag:016x},lot={group},m=1,d=4000",
            tag + 0xcc00
        );
        client.send_raw_request(tag, "page", &fields, b"");
    }
    // Polled without pauses, as a migration takes many requests.
    let (end, mut answered) = (Instant::now() + WAIT_LIMIT, 0);
    while answered < 20 {
        assert!(Instant::now() < end, "timed out waiting for an answer");
        for server in &environment.servers {
            if let Some(connection) = server.try_accept() {
                connections.push((server.name.clone(), connection));
            }
        }
        for (name, connection) in connections.iter_mut() {
            if connection.has_unread_data() {
                connection.respond_hit(b"x");
                reached.insert(name.clone());
            }
        }
        if client.has_unread_data() {
            assert_eq!(client.read_answer_word(), "ACK");
            answered += 1;
        }
    }
    reached
}

fn server_names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn bound_requests_stay_in_their_cell_and_a_reloaded_cell_map_applies_while_serving() {
    let cell_map = |epoch: u64, gold: &str| {
        format!(
            "cells {{\n epoch {epoch}\n cell gold list {gold}\n cell rest list c2 c3\n \
             bind group 1-3 gold\n \
             otherwise rest\n}}\n"
        )
    };
    let mut environment = environment(&cell_map(5, "c1"));
    let router = environment.start();
    let (mut client, mut connections) = (router.connect(), Vec::new());
    assert_eq!(
        servers_of_requests(&environment, &mut client, &mut connections, 100, 2),
        server_names(&["c1"])
    );
    assert_eq!(
        servers_of_requests(&environment, &mut client, &mut connections, 200, 7),
        server_names(&["c2", "c3"])
    );
    // A map of an older epoch and a faulty map are ignored; neither interrupts serving.
    let file = environment
        .configuration_path()
        .with_file_name("chalkhall.conf");
    let mut from = 300;
    for (text, gold) in [
        (cell_map(4, "c2"), "c1"),
        ("cells {\n cell x list\n}\n".into(), "c1"),
        (cell_map(6, "c3"), "c3"),
    ] {
        std::fs::write(&file, text).unwrap();
        router.reload();
        let mut reached = BTreeSet::new();
        wait_until("the expected map to be in force", || {
            from += 20;
            reached = servers_of_requests(&environment, &mut client, &mut connections, from, 2);
            reached == server_names(&[gold])
        });
    }
}

#[test]
fn a_tenant_over_its_rate_limit_is_rejected_and_other_tenants_are_served() {
    let mut environment = environment("cells {\n tenant-rate 20 40\n}\n");
    let router = environment.start();
    let (mut client, mut connections) = (router.connect(), Vec::new());
    // Both tenants have been served before.
    servers_of_requests(&environment, &mut client, &mut connections, 100, 1);
    servers_of_requests(&environment, &mut client, &mut connections, 200, 2);
    let mut rejected = 0;
    for tag in 1000..1100u64 {
        let fields = format!("i={tag:016x},o={tag:016x},lot=1,m=1,d=4000");
        client.send_raw_request(tag, "page", &fields, b"");
        wait_until("an answer", || {
            for (_, connection) in connections.iter_mut() {
                if connection.has_unread_data() {
                    connection.respond_hit(b"x");
                }
            }
            client.has_unread_data()
        });
        let ClientAnswer { word, fields, .. } = client.read_answer();
        if word == "NAK" {
            assert!(fields.starts_with("w="), "{fields}");
            rejected += 1;
        }
    }
    assert!(rejected >= 40, "{rejected}");
    // Another tenant is served, and a non-idempotent request is not rejected for its tenant's rate.
    let fields = format!("i={:016x},o={:016x},lot=2,m=1,d=4000", 0xeeee, 0xeeee);
    client.send(&[b"REQ", b"5000", b"page", fields.as_bytes(), b""]);
    client.send_request(5001, "confirm", "", b"");
    let mut words = Vec::new();
    wait_until("both answers", || {
        for server in &environment.servers {
            if let Some(connection) = server.try_accept() {
                connections.push((server.name.clone(), connection));
            }
        }
        for (_, connection) in connections.iter_mut() {
            if connection.has_unread_data() {
                connection.respond_hit(b"x");
            }
        }
        if client.has_unread_data() {
            words.push(client.read_answer_word());
        }
        words.len() == 2
    });
    assert_eq!(words, ["ACK", "ACK"]);
}

#[test]
fn an_invalid_cell_map_aborts_startup_and_names_every_fault() {
    let mut environment = environment(
        "cells {\n cell a list c1\n cell b share 150%\n bind category cakes a\n bind group 1 z\n}\n",
    );
    let RouterExit { status, log: text } = environment.spawn("").wait_for_exit();
    assert!(
        !status.success() && text.contains(":3:15: \"150%\" is not a share"),
        "{text}"
    );
    environment.directives =
        "cells {\n cell a list c1\n cell b share 50%\n bind category cakes a\n bind group 1 z\n}\n"
            .into();
    environment.file["name"] = json!("n2");
    let RouterExit { status, log: text } = environment.spawn("").wait_for_exit();
    assert!(!status.success());
    for part in [
        "z is not a cell",
        "nothing belongs to cell b",
        "cakes is not a category",
    ] {
        assert!(text.contains(part), "{part} in {text}");
    }
}

#[test]
fn a_tenant_migrates_as_the_new_cell_warms_up_and_returns_when_that_fails() {
    let cell_map = |epoch: u64, more: &str| {
        format!(
            "cells {{\n epoch {epoch}\n cell old list c1\n cell new list c2\n \
             bind group 1 old\n{more} otherwise old\n}}\n"
        )
    };
    let mut environment = environment(&cell_map(1, " move group 1 new\n"));
    let router = environment.start();
    let mut discovery = environment.discovery.accept_watch();
    let (mut client, mut connections) = (router.connect(), Vec::new());
    // The servers answer every request as a cache hit, so the new cell is as warm as the old one at
    // once.
    let mut from = 100;
    let mut reached = BTreeSet::new();
    let mut used_both_cells = false;
    wait_until("all requests to reach the new cell", || {
        // Keeps the watch alive, so that the event below arrives on this connection.
        discovery.send("1\n");
        from += 20;
        reached = servers_of_requests(&environment, &mut client, &mut connections, from, 1);
        used_both_cells |= reached.len() == 2;
        reached == server_names(&["c2"])
    });
    assert!(used_both_cells, "the migration was not gradual");
    // The new cell loses its server: a migration that completed only recently is reversed.
    let leaving_entry = environment.server("c2").entry("leaving");
    discovery.send(endpoints_event(2, &[leaving_entry]));
    wait_until("all requests to return to the old cell", || {
        from += 20;
        reached = servers_of_requests(&environment, &mut client, &mut connections, from, 1);
        reached == server_names(&["c1"])
    });
}
