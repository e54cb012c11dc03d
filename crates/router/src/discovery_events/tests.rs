use super::*;

fn names() -> DeploymentNames {
    let named = |names: &[&str]| names.iter().map(|n| n.to_string()).collect();
    let (zones, kinds) = (
        named(&["west", "east"]),
        named(&["std", "parent", "origin"]),
    );
    DeploymentNames {
        zones,
        kinds,
        parent: Some(1),
        origin: Some(2),
    }
}

fn parse(text: &str) -> Result<NumberedEvent, EventError> {
    parse_event(
        &serde_json::from_str(text).unwrap(),
        &names(),
        &Clock::start(),
    )
}

const LIST_EVENT: &str = r#"{"rev":41,"pool":{"seq":7,"whole":true,"hosts":[{"host":"s-1","dial":"10.1.0.9:5050",
        "site":"east","class":"parent","block":2,"health":"leaving","share":4,"born_ms":0}]}}"#;

#[test]
fn lists_and_purges_are_parsed() {
    let NumberedEvent {
        number,
        event: Some(DiscoveryEvent::List {
            is_snapshot,
            servers,
        }),
    } = parse(LIST_EVENT).unwrap()
    else {
        panic!("not a list")
    };
    assert_eq!((number, is_snapshot, servers.len()), (41, true, 1));
    let DiscoveredServer { member, address } = &servers[0];
    assert_eq!(
        (member.zone, member.tier, member.state),
        (1, Tier::Parent, ServerState::Draining)
    );
    assert_eq!(
        (member.started, address.port(), member.capacity),
        (None, 5050, 4.0)
    );
    let Some(DiscoveryEvent::Purge {
        object,
        group,
        purged_at_unix_ms,
    }) = parse(r#"{"rev":2,"flush":{"asset":"o","ms":5}}"#)
        .unwrap()
        .event
    else {
        panic!("not a purge")
    };
    assert_eq!(
        (object.as_deref(), group, purged_at_unix_ms),
        (Some("o"), 0, 5)
    );
    let unknown = parse(r#"{"rev":3,"other":{}}"#).unwrap();
    assert!(unknown.number == 3 && unknown.event.is_none());
}

#[test]
fn errors_name_the_invalid_key() {
    let invalid = [
        (LIST_EVENT.replace("east", "north"), "site"),
        (LIST_EVENT.replace("10.1.0.9:5050", "nowhere"), "dial"),
        (LIST_EVENT.replace("leaving", "odd"), "health"),
        (LIST_EVENT.replace(r#""host":"s-1","#, ""), "host"),
        (r#"{"rev":2,"flush":{"ms":5}}"#.into(), "asset"),
        (r#"{"flush":{"ms":5}}"#.into(), "rev"),
    ];
    for (text, key) in invalid {
        assert!(
            parse(&text).unwrap_err().to_string().contains(key),
            "{text}"
        );
    }
}

#[test]
fn a_heartbeat_is_the_last_number_alone() {
    let heartbeat = |line: &str| parse_heartbeat(&serde_json::from_str(line).unwrap());
    assert_eq!(heartbeat("41"), Some(41));
    assert_eq!(heartbeat("{\"rev\":41}"), Some(41));
    for other in [
        "{\"rev\":41,\"flush\":{\"collection\":1,\"ms\":5}}",
        "{\"rev\":41,\"unknown\":{}}",
        "{\"rev\":-1}",
        "{\"seq\":41}",
        "{}",
        "[41]",
        "\"41\"",
    ] {
        assert_eq!(heartbeat(other), None, "{other}");
    }
}
