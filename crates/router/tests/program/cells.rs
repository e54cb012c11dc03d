//! Cells, through the program on loopback.

use crate::support::*;
use serde_json::json;
use std::collections::BTreeSet;
use std::time::Instant;

/// Two caches beside `c1`, and a file of the operator's.
fn environment(directives: &str) -> TestEnvironment {
    let mut environment = TestEnvironment::new()
        .with_server("c2", "cache")
        .with_server("c3", "cache");
    environment.directives = directives.to_owned();
    environment
}

/// Asks for so many objects of a group and answers for whoever is asked: who was.
fn servers_of_requests(
    environment: &TestEnvironment,
    client: &mut TestClient,
    lines: &mut Vec<(String, LineConnection)>,
    from: u64,
    group: u64,
) -> BTreeSet<String> {
    let mut who = BTreeSet::new();
    for tag in from..from + 20 {
        let fields = format!(
            "i={:016x},o={tag:016x},lot={group},m=1,d=4000",
            tag + 0xcc00
        );
        client.send_raw_request(tag, "page", &fields, b"");
    }
    // Looked at without a rest: a move takes many requests.
    let (end, mut answered) = (Instant::now() + WAIT_LIMIT, 0);
    while answered < 20 {
        assert!(Instant::now() < end, "an answer did not come");
        for server in &environment.servers {
            if let Some(line) = server.try_accept() {
                lines.push((server.name.clone(), line));
            }
        }
        for (name, line) in lines.iter_mut() {
            if line.has_unread_data() {
                line.respond_hit(b"x");
                who.insert(name.clone());
            }
        }
        if client.has_unread_data() {
            assert_eq!(client.read_answer_word(), "ACK");
            answered += 1;
        }
    }
    who
}

fn server_names(of: &[&str]) -> BTreeSet<String> {
    of.iter().map(|name| (*name).to_owned()).collect()
}

#[test]
fn bound_requests_stay_in_their_cell_and_a_reloaded_cell_map_applies_while_serving() {
    let told = |epoch: u64, gold: &str| {
        format!(
            "cells {{\n epoch {epoch}\n cell gold list {gold}\n cell rest list c2 c3\n \
             bind group 1-3 gold\n \
             otherwise rest\n}}\n"
        )
    };
    let mut environment = environment(&told(5, "c1"));
    let router = environment.start();
    let (mut client, mut lines) = (router.connect(), Vec::new());
    assert_eq!(
        servers_of_requests(&environment, &mut client, &mut lines, 100, 2),
        server_names(&["c1"])
    );
    assert_eq!(
        servers_of_requests(&environment, &mut client, &mut lines, 200, 7),
        server_names(&["c2", "c3"])
    );
    // An older map is never gone back to, a faulty one counts for nothing; neither stops anything.
    let file = environment
        .configuration_path()
        .with_file_name("chalkhall.conf");
    let mut from = 300;
    for (text, gold) in [
        (told(4, "c2"), "c1"),
        ("cells {\n cell x list\n}\n".into(), "c1"),
        (told(6, "c3"), "c3"),
    ] {
        std::fs::write(&file, text).unwrap();
        router.reload();
        let mut who = BTreeSet::new();
        wait_until("the map in force", || {
            from += 20;
            who = servers_of_requests(&environment, &mut client, &mut lines, from, 2);
            who == server_names(&[gold])
        });
    }
}

#[test]
fn a_tenant_over_its_rate_limit_is_rejected_and_other_tenants_are_served() {
    let mut environment = environment("cells {\n tenant-rate 20 40\n}\n");
    let router = environment.start();
    let (mut client, mut lines) = (router.connect(), Vec::new());
    // Both are known: served before.
    servers_of_requests(&environment, &mut client, &mut lines, 100, 1);
    servers_of_requests(&environment, &mut client, &mut lines, 200, 2);
    let mut rejected = 0;
    for tag in 1000..1100u64 {
        let fields = format!("i={tag:016x},o={tag:016x},lot=1,m=1,d=4000");
        client.send_raw_request(tag, "page", &fields, b"");
        wait_until("an answer", || {
            for (_, line) in lines.iter_mut() {
                if line.has_unread_data() {
                    line.respond_hit(b"x");
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
    // Another tenant is served, and what must not run twice is not turned away for its tenant's
    // rate.
    let fields = format!("i={:016x},o={:016x},lot=2,m=1,d=4000", 0xeeee, 0xeeee);
    client.send(&[b"REQ", b"5000", b"page", fields.as_bytes(), b""]);
    client.send_request(5001, "confirm", "", b"");
    let mut words = Vec::new();
    wait_until("two answers", || {
        for server in &environment.servers {
            if let Some(line) = server.try_accept() {
                lines.push((server.name.clone(), line));
            }
        }
        for (_, line) in lines.iter_mut() {
            if line.has_unread_data() {
                line.respond_hit(b"x");
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
fn an_invalid_cell_map_ends_the_start_with_every_fault_named() {
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
    let told = |epoch: u64, more: &str| {
        format!(
            "cells {{\n epoch {epoch}\n cell old list c1\n cell new list c2\n \
             bind group 1 old\n{more} otherwise old\n}}\n"
        )
    };
    let mut environment = environment(&told(1, " move group 1 new\n"));
    let router = environment.start();
    let mut discovery = environment.discovery.accept_watch();
    let (mut client, mut lines) = (router.connect(), Vec::new());
    // Everything that is sent to a server is answered from a copy there: as warm as the old one at
    // once.
    let mut from = 100;
    let mut who = BTreeSet::new();
    let mut both = false;
    wait_until("all of it in the new cell", || {
        // Discovery is alive: what it tells below comes on this connection.
        discovery.send("1\n");
        from += 20;
        who = servers_of_requests(&environment, &mut client, &mut lines, from, 1);
        both |= who.len() == 2;
        who == server_names(&["c2"])
    });
    assert!(both, "by and by");
    // The new cell loses all it has: what has settled only just goes back.
    let gone = environment.server("c2").entry("leaving");
    discovery.send(endpoints_event(2, &[gone]));
    wait_until("all of it back", || {
        from += 20;
        who = servers_of_requests(&environment, &mut client, &mut lines, from, 1);
        who == server_names(&["c1"])
    });
}
