//! An invalid configuration aborts the startup with an error that names the value.

use crate::support::*;
use serde_json::json;
use std::net::TcpListener;

#[test]
fn an_invalid_configuration_value_is_named() {
    let wrong = [
        ("/listen", json!("nowhere"), "listen"),
        ("/board", json!(null), "board"),
        ("/board", json!("nowhere"), "board"),
        ("/seed", json!("not hex"), "seed"),
        ("/limits/sockets", json!(10), "sockets"),
        ("/limits/memory_mb", json!("much"), "memory_mb"),
        ("/settings", json!(null), "settings"),
        ("/settings/Classes", json!([]), "Classes"),
        ("/settings/Classes/0/Effect", json!("odd"), "Effect"),
        (
            "/settings/Obligations/DrainGrace",
            json!("long"),
            "DrainGrace",
        ),
        (
            "/settings/Limits/ConnectTimeout",
            json!([]),
            "ConnectTimeout",
        ),
        ("/settings/FamilyInfo", json!(3), "FamilyInfo"),
        ("/settings/Zones", json!([1]), "Zones"),
        ("/settings/Limits/IdleClose", json!(true), "IdleClose"),
        (
            "/settings/Limits/StreamsPerConn",
            json!(1.5),
            "StreamsPerConn",
        ),
        ("/settings/Limits/MaxOpen", json!("all"), "MaxOpen"),
        ("/limits", json!([]), "limits"),
        ("/known/rev", json!("x"), "rev"),
        ("/known", json!(7), "known"),
        ("/known/notices", json!(null), "notices"),
        ("/known/notices/0/pool/hosts/0/dial", json!("x"), "dial"),
    ];
    for (at, value, named) in wrong {
        let mut environment = TestEnvironment::new();
        let entries: Vec<_> = environment
            .servers
            .iter()
            .map(|s| s.entry("active"))
            .collect();
        environment = environment.with_known_endpoints(&entries);
        *environment
            .file
            .pointer_mut(at)
            .unwrap_or_else(|| panic!("{at}")) = value;
        let RouterExit { status, log } = environment.spawn("").wait_for_exit();
        assert!(!status.success(), "{at}");
        let last = log.lines().last().unwrap_or_default();
        assert!(
            last.starts_with("chalkhall-router: ") && last.contains(named),
            "{at}: {log}"
        );
    }
    let mut environment = TestEnvironment::new();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    environment.file["listen"] = json!(listener.local_addr().unwrap().to_string());
    assert!(environment.spawn("").wait_for_exit().log.contains("listen"));
}
