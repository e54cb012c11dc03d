//! Tests under other settings than the default ones: reduced versions of the sites in
//! `deploy/sites`.

use crate::support::*;
use serde_json::{Value, json};

/// A class with its limits in milliseconds.
fn class_with_limits(name: &str, effect: &str, soft: u64, hard: u64, window: u64) -> Value {
    let mut class = class(name, effect);
    for (key, ms) in [("Aim", soft), ("HardLimit", hard), ("Window", window)] {
        class[key] = json!(ms);
    }
    class
}

/// Like `kiosk-vouchers`: short time limits, a window shorter than those limits, mostly requests
/// that are not idempotent, few descriptors, little memory, and a short idle timeout of
/// connections.
pub fn short_deadline_environment() -> TestEnvironment {
    let mut environment = TestEnvironment::new();
    environment.file["limits"] = json!({"cores": 0.2, "memory_mb": 32, "sockets": 96});
    let settings = &mut environment.file["settings"];
    settings["Classes"] = json!([
        class_with_limits("seat-plan", "pure", 700, 900, 600),
        class_with_limits("hold-seat", "token", 300, 800, 600),
        class_with_limits("pay-voucher", "side_effect", 400, 1000, 600),
    ]);
    let family = &mut settings["FamilyInfo"];
    (family["ClassFresh"], family["ClassWrite"]) =
        (json!([4000, 0, 0]), json!([false, true, true]));
    (
        family["ObeyAfter"],
        family["PurgeDone"],
        family["ClientKbPerS"],
    ) = (json!(250), json!(4000), json!(20));
    settings["Limits"] = json!({"ConnectTimeout": 150, "IdleClose": 3000, "MaxAttempts": 3,
        "MaxOpen": 200, "MaxRetryAfter": 300, "MayCancel": true, "RetryAfter": true, "StreamsPerConn": 8});
    settings["Obligations"]["DrainGrace"] = json!(200);
    settings["Tenants"] = json!([]);
    environment
}

/// Like `museum-loans`: tenants, classes of all effects, long time limits, slow connections, and no
/// cancellation of attempts.
pub fn multi_tenant_environment() -> TestEnvironment {
    let mut environment = TestEnvironment::new();
    let settings = &mut environment.file["settings"];
    settings["Classes"] = json!([
        class_with_limits("picture", "pure", 900, 9000, 0),
        class_with_limits("catalogue-card", "pure", 400, 5000, 0),
        class_with_limits("condition-report", "token", 700, 8000, 3000),
        class_with_limits("loan-request", "token", 900, 6000, 4000),
        class_with_limits("loan-signature", "side_effect", 900, 6000, 0),
    ]);
    let family = &mut settings["FamilyInfo"];
    family["ClassFresh"] = json!([0, 15000, 0, 0, 0]);
    family["ClassWrite"] = json!([false, false, true, true, true]);
    (family["ObeyAfter"], family["PurgeDone"]) = (json!(700), json!(8000));
    settings["Limits"] = json!({"ConnectTimeout": 800, "IdleClose": 20000, "MaxAttempts": 5,
        "MaxOpen": 20000, "MaxRetryAfter": 2000, "MayCancel": false, "RetryAfter": true, "StreamsPerConn": 16});
    settings["Obligations"]["DrainGrace"] = json!(1000);
    let tenant = |name: &str, share: f64| json!({"Name": name, "QuotaPerS": 50, "Share": share});
    settings["Tenants"] = json!([
        tenant("city-museum", 0.5),
        tenant("harbour-museum", 0.3),
        tenant("archive", 0.2)
    ]);
    environment
}

/// Servers recognize a retry by its idempotency key: without it, a retry of an attempt that may
/// have run could take effect twice.
#[test]
fn every_attempt_carries_the_idempotency_key() {
    for (mut environment, class) in [
        (short_deadline_environment(), "hold-seat"),
        (multi_tenant_environment(), "loan-request"),
    ] {
        let router = environment.start();
        let mut client = router.connect();
        let key = "f1ff6cd8ff9b0f19bc938ad4212f62a0";
        let tenant = if class == "hold-seat" {
            ""
        } else {
            ",t=archive"
        };
        client.send_request(1, class, &format!("d=700,k={key}{tenant}"), b"row 4");
        let mut origin = environment.server("o1").accept();
        let request = origin.read_request();
        assert_eq!(
            (
                request.field("cls"),
                request.field("nonce"),
                &request.body[..]
            ),
            (class, key, &b"row 4"[..])
        );
        origin.respond(&request, "ERR", "-", b"");
        let mut server = environment.server("c1").accept();
        let retry = server.read_request();
        assert_eq!(
            (retry.field("nonce"), &retry.body[..]),
            (key, &b"row 4"[..])
        );
        server.respond(&retry, "OK", "tell=via_origin", b"done");
        assert_eq!(client.read_answer_word(), "ACK");
    }
}

#[test]
fn requests_of_unknown_tenants_fail() {
    let mut environment = multi_tenant_environment();
    let router = environment.start();
    let mut client = router.connect();
    for (tag, tenant) in [(1, "city-museum"), (2, "archive")] {
        client.send_request(tag, "picture", &format!("t={tenant}"), b"");
        let mut server = environment.server("c1").accept();
        server.respond_hit(b"x");
        assert_eq!(client.read_answer_word(), "ACK", "{tenant}");
        drop(server);
    }
    for (tag, tenant) in [(3, "nobody"), (4, "0"), (5, "")] {
        client.send_request(tag, "picture", &format!("t={tenant}"), b"");
        assert_eq!(
            client.read_answer(),
            ClientAnswer::new(tag, "FAIL", "", b""),
            "{tenant}"
        );
    }
}

#[test]
fn idempotency_keys_that_could_break_the_line_protocol_are_refused() {
    let mut environment = short_deadline_environment();
    let router = environment.start();
    let mut client = router.connect();
    let long = "a".repeat(65);
    for (tag, key) in (1..).zip(["", "a b", "a\r\nQUIT", "a=b", "\u{e9}", &long]) {
        client.send_request(tag, "hold-seat", &format!("k={key}"), b"");
        assert_eq!(
            client.read_answer(),
            ClientAnswer::new(tag, "FAIL", "", b""),
            "{key:?}"
        );
        assert!(
            environment.server("o1").try_accept().is_none(),
            "forwarded: {key:?}"
        );
    }
}
