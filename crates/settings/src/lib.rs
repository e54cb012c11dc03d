//! Parses the JSON settings of a deployment into a router's startup parameters. Unknown keys are ignored.
//!
//! ```
//! let settings = serde_json::json!({
//!     "Classes": [{"Name": "page", "Effect": "pure", "HardLimit": 2500}],
//!     "Obligations": {"DrainGrace": 500}
//! });
//! let deployment = chalkhall_settings::deployment(7, settings.as_object().unwrap()).unwrap();
//! assert_eq!(deployment.drain_grace.as_millis(), 500);
//!
//! let invalid = serde_json::json!({"Classes": [{"Name": "page", "Effect": "odd"}]});
//! let error = chalkhall_settings::deployment(7, invalid.as_object().unwrap()).unwrap_err();
//! assert!(error.contains("Effect"));
//! ```

use chalkhall::interface::{
    CapacityHints, Class, Customer, Deployment, Effect, Group, ReportedDetails, Siblings,
    SlowStartSettings,
};
use serde_json::{Map, Value};
use std::time::Duration;

pub type Fields = Map<String, Value>;

/// Converts milliseconds, as in the settings, to a duration. Negative values become zero.
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1000.0).unwrap_or(Duration::MAX)
}

pub fn duration_to_ms(duration: Duration) -> f64 {
    duration.as_nanos() as f64 / 1e6
}

/// Upper bound of any number in the settings; durations made of larger ones could overflow when added.
const MAX_NUMBER: f64 = 1e12;

/// Reads a number; a missing or null field is 0.
pub fn number(fields: &Fields, name: &str) -> Result<f64, String> {
    match fields.get(name).map(Value::as_f64) {
        _ if fields.get(name).is_none_or(Value::is_null) => Ok(0.0),
        Some(Some(v)) if v.abs() <= MAX_NUMBER => Ok(v),
        Some(Some(v)) => Err(format!("{name} is out of range: {v}")),
        _ => Err(format!("{name} is not a number")),
    }
}

/// Reads a non-negative integer; a missing or null field is 0.
pub fn unsigned(fields: &Fields, name: &str) -> Result<u64, String> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(0),
        Some(v) => v
            .as_u64()
            .or_else(|| {
                v.as_f64()
                    .filter(|f| *f >= 0.0 && f.fract() == 0.0)
                    .map(|f| f as u64)
            })
            .ok_or_else(|| format!("{name} is not a non-negative integer")),
    }
}

/// Reads a boolean; a missing or null field is false.
pub fn flag(fields: &Fields, name: &str) -> Result<bool, String> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(v) => v
            .as_bool()
            .ok_or_else(|| format!("{name} is not true or false")),
    }
}

/// Reads a string; a missing or null field is empty.
pub fn string<'a>(fields: &'a Fields, name: &str) -> Result<&'a str, String> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(""),
        Some(v) => v.as_str().ok_or_else(|| format!("{name} is not a string")),
    }
}

fn object(options: &Fields, name: &str) -> Result<Fields, String> {
    match options.get(name) {
        None | Some(Value::Null) => Ok(Fields::new()),
        Some(Value::Object(found)) => Ok(found.clone()),
        Some(_) => Err(format!("{name} is not an object")),
    }
}

fn array<'a>(options: &'a Fields, name: &str) -> Result<&'a [Value], String> {
    match options.get(name) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(found)) => Ok(found),
        Some(_) => Err(format!("{name} is not an array")),
    }
}

fn numbers(options: &Fields, name: &str) -> Result<Vec<f64>, String> {
    let error = || format!("an element of {name} is not a number");
    array(options, name)?
        .iter()
        .map(|v| v.as_f64().ok_or_else(error))
        .collect::<Result<_, String>>()
}

fn objects(options: &Fields, name: &str) -> Result<Vec<Fields>, String> {
    let error = || format!("an element of {name} is not an object");
    array(options, name)?
        .iter()
        .map(|v| v.as_object().cloned().ok_or_else(error))
        .collect::<Result<_, String>>()
}

/// The indices of the server kinds of the parents and of the origin, where configured.
pub fn parent_and_origin(options: &Fields) -> [Option<u64>; 2] {
    let family = options.get("FamilyInfo");
    ["ShieldKind", "SourceKind"]
        .map(|name| family.and_then(|f| f.get(name)).and_then(Value::as_u64))
}

/// The names of the values in the servers' load reports, in order.
pub fn report_fields(options: &Fields) -> Vec<String> {
    let names = options
        .get("Feedback")
        .and_then(|f| f.get("Fields"))
        .and_then(Value::as_array);
    names
        .into_iter()
        .flatten()
        .map(|v| v.as_str().unwrap_or("").to_owned())
        .collect()
}

fn class_of(i: usize, class: &Fields, family: &Fields) -> Result<Class, String> {
    let class_number =
        |name| Ok::<_, String>(numbers(family, name)?.get(i).copied().unwrap_or(0.0));
    let class_flag =
        |name| array(family, name).map(|l| l.get(i).and_then(Value::as_bool).unwrap_or(false));
    let fresh = class_number("ClassFresh")?;
    Ok(Class {
        effect: match string(class, "Effect")? {
            "pure" => Effect::Idempotent,
            "token" => Effect::Deduplicated,
            "side_effect" => Effect::NonIdempotent,
            other => return Err(format!("unknown Effect {other:?}")),
        },
        group: match string(class, "Group")? {
            "zone" => Group::Zone,
            "cell" => Group::Cohort,
            "all" | "" => Group::All,
            other => return Err(format!("unknown Group {other:?}")),
        },
        dedup_window: duration_from_ms(number(class, "Window")?),
        soft_deadline: duration_from_ms(number(class, "Aim")?),
        soft_deadline_multiple: number(class, "AimStretch")?,
        deadline: duration_from_ms(number(class, "HardLimit")?),
        value: number(class, "Worth")?,
        late_value: number(class, "LateWorth")?,
        fresh: (fresh > 0.0).then(|| duration_from_ms(fresh)),
        max_staleness: duration_from_ms(class_number("StaleFor")?),
        stale_value: class_number("StaleEarns")?,
        cacheable: !class_flag("ClassWrite")?,
        in_parts: class_flag("Segmented")?,
        streamed: flag(class, "Stream")?,
    })
}

/// Parses the settings of a deployment.
///
/// # Errors
/// The first field with an invalid type or value.
pub fn deployment(seed: u64, options: &Fields) -> Result<Deployment, String> {
    let family = object(options, "FamilyInfo")?;
    let limits = object(options, "Limits")?;
    let rules = object(options, "Obligations")?;
    let classes = objects(options, "Classes")?;
    let duration_of = |from: &Fields, name: &str| number(from, name).map(duration_from_ms);
    let counts = |name| {
        Ok::<_, String>(
            numbers(&family, name)?
                .iter()
                .map(|n| *n as usize)
                .collect(),
        )
    };
    let fall = duration_of(&rules, "Fall")?;
    Ok(Deployment {
        router_index: unsigned(options, "MyNumber")?,
        seed,
        routers: unsigned(options, "PeersTotal")? as usize,
        zone: unsigned(options, "Locality")? as usize,
        routers_per_zone: counts("CrewByZone")?,
        hub_by_zone: counts("HomeHub")?,
        link_kb_per_s: numbers(&family, "PipeKbPerS")?,
        classes: classes
            .iter()
            .enumerate()
            .map(|(i, class)| class_of(i, class, &family))
            .collect::<Result<_, _>>()?,
        customers: objects(options, "Tenants")?
            .iter()
            .map(|t| {
                Ok(Customer {
                    per_second: number(t, "QuotaPerS")?,
                    share: number(t, "Share")?,
                })
            })
            .collect::<Result<_, String>>()?,
        min_call_interval: duration_of(options, "Granularity")?,

        client_kb_per_s: number(&family, "ClientKbPerS")?,
        max_attempts: unsigned(&limits, "MaxAttempts")? as usize,
        allows_hedging: flag(&limits, "SecondCopies")?,
        may_cancel: flag(&limits, "MayCancel")?,
        max_retry_after: flag(&limits, "RetryAfter")?
            .then(|| duration_of(&limits, "MaxRetryAfter"))
            .transpose()?,
        cold_cache: SlowStartSettings {
            initial_capacity: number(&rules, "ColdFrom")?,
            warm_up_time: duration_of(&rules, "WarmWithin")?,
            overload_multiple: number(&rules, "TipMultiple")?,
            window: fall,
        },
        cold_parent: SlowStartSettings {
            initial_capacity: number(&family, "ParentFloor")?,
            warm_up_time: duration_of(&family, "ParentRamp")?,
            overload_multiple: number(&family, "ParentFallMultiple")?,
            window: fall,
        },
        drain_grace: duration_of(&rules, "DrainGrace")?,
        purge_grace: duration_of(&family, "ObeyAfter")?,
        purge_done: duration_of(&family, "PurgeDone")?,

        pass_through: flag(&family, "PassThroughOk")?,
        joins_fills: flag(&family, "SharesFills")?,
        siblings: match string(&family, "Neighbours")? {
            "location" => Siblings::Zone,
            "any" => Siblings::Any,
            _ => Siblings::None,
        },
        reported_details: match string(&family, "Says")? {
            "all" => ReportedDetails::All,
            "hit" => ReportedDetails::Hits,
            _ => ReportedDetails::Nothing,
        },
        hints: match string(options, "Weights")? {
            "nominal" => CapacityHints::Nominal,
            "rough" => CapacityHints::Rough,
            "live" => CapacityHints::Live,
            _ => CapacityHints::None,
        },
        list_on_request: string(options, "RegistryMode")? == "ask",
        list_request_interval: duration_of(&rules, "AskWithin")?,
        access_history_bytes: None,
    })
}

/// The deployment's names of zones, server kinds, classes and customers, in order of their indices.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub classes: Vec<String>,
    pub customers: Vec<String>,
}

pub fn names(options: &Fields) -> Result<Names, String> {
    let texts = |name: &str| {
        let error = || format!("an element of {name} is not a string");
        array(options, name)?
            .iter()
            .map(|v| v.as_str().map(str::to_owned).ok_or_else(error))
            .collect::<Result<_, String>>()
    };
    let names_of = |name: &str| {
        let all = objects(options, name)?;
        all.iter()
            .map(|one| string(one, "Name").map(str::to_owned))
            .collect::<Result<_, String>>()
    };
    Ok(Names {
        zones: texts("Zones")?,
        kinds: texts("Kinds")?,
        classes: names_of("Classes")?,
        customers: names_of("Tenants")?,
    })
}
