//! Settings of the router under test.

use serde_json::{Value, json};

/// A request class with long time limits.
pub fn class(name: &str, effect: &str) -> Value {
    json!({"Name": name, "Effect": effect, "Group": "all", "Window": 5000, "Aim": 3000,
        "AimStretch": 2, "HardLimit": 5000, "Worth": 1, "LateWorth": 0.1, "Stream": false})
}

/// The default settings of a test.
///
/// With a `ClientKbPerS` of 10 a part of 10 KB is expected to take a second, so that no attempt
/// counts as overdue while the test itself is delayed.
pub fn default_settings() -> Value {
    json!({
        "Classes": [class("page", "pure"), class("confirm", "side_effect")],
        "FamilyInfo": {"ClassFresh": [12000, 0], "ClassWrite": [false, true], "ClientKbPerS": 10,
            "CrewByZone": [1], "HomeHub": [0], "ObeyAfter": 500, "PassThroughOk": true,
            "ParentFloor": 0.1, "ParentRamp": 20000, "ParentFallMultiple": 2, "PurgeDone": 6000,
            "Says": "all", "ShieldKind": 1, "SourceKind": 2},
        "Granularity": 2, "Kinds": ["cache", "parent", "origin"],
        "Limits": {"ConnectTimeout": 400, "IdleClose": 30000, "MaxAttempts": 8, "MaxOpen": 20000,
            "MaxRetryAfter": 500, "MayCancel": true, "RetryAfter": true, "StreamsPerConn": 100},
        "Locality": 0, "MyNumber": 0, "PeersTotal": 1, "RegistryMode": "push", "Zones": ["here"],
        "Obligations": {"AnswerSlack": 8, "ColdFrom": 0.3, "DrainGrace": 500, "Fall": 1000,
            "TipMultiple": 2, "WarmWithin": 17000}})
}
