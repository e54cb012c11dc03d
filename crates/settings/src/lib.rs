//! Reads the settings of a deployment, as JSON, into what a router is told at its start. Unknown keys are
//! skipped.
//!
//! ```
//! let settings = serde_json::json!({
//!     "Classes": [{"Name": "page", "Effect": "pure", "HardLimit": 2500}],
//!     "Obligations": {"DrainGrace": 500}
//! });
//! let told = chalkhall_settings::deployment(7, settings.as_object().unwrap()).unwrap();
//! assert_eq!(told.drain_grace.as_millis(), 500);
//!
//! let faulty = serde_json::json!({"Classes": [{"Name": "page", "Effect": "odd"}]});
//! let what = chalkhall_settings::deployment(7, faulty.as_object().unwrap()).unwrap_err();
//! assert!(what.contains("Effect"));
//! ```

use chalkhall::interface::{
    Class, ColdStart, Customer, Deployment, Effect, Group, Hints, Siblings, Telling,
};
use serde_json::{Map, Value};
use std::time::Duration;

pub type Fields = Map<String, Value>;

/// Milliseconds on the wire, spans inside.
pub fn span(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms.max(0.0) / 1000.0).unwrap_or(Duration::MAX)
}

pub fn ms(span: Duration) -> f64 {
    span.as_nanos() as f64 / 1e6
}

/// Any figure of a deployment is far below this; spans made of greater ones could not be added up.
const GREATEST: f64 = 1e12;

pub fn number(fields: &Fields, name: &str) -> Result<f64, String> {
    match fields.get(name).map(Value::as_f64) {
        _ if fields.get(name).is_none_or(Value::is_null) => Ok(0.0),
        Some(Some(v)) if v.abs() <= GREATEST => Ok(v),
        Some(Some(v)) => Err(format!("{name} is out of range: {v}")),
        _ => Err(format!("{name} is not a number")),
    }
}

pub fn whole(fields: &Fields, name: &str) -> Result<u64, String> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(0),
        Some(v) => v
            .as_u64()
            .or_else(|| {
                v.as_f64()
                    .filter(|f| *f >= 0.0 && f.fract() == 0.0)
                    .map(|f| f as u64)
            })
            .ok_or_else(|| format!("{name} is not a whole number")),
    }
}

pub fn flag(fields: &Fields, name: &str) -> Result<bool, String> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(false),
        Some(v) => v
            .as_bool()
            .ok_or_else(|| format!("{name} is not true or false")),
    }
}

pub fn text<'a>(fields: &'a Fields, name: &str) -> Result<&'a str, String> {
    match fields.get(name) {
        None | Some(Value::Null) => Ok(""),
        Some(v) => v.as_str().ok_or_else(|| format!("{name} is not a text")),
    }
}

fn part(options: &Fields, name: &str) -> Result<Fields, String> {
    match options.get(name) {
        None | Some(Value::Null) => Ok(Fields::new()),
        Some(Value::Object(found)) => Ok(found.clone()),
        Some(_) => Err(format!("{name} is not an object")),
    }
}

fn list<'a>(options: &'a Fields, name: &str) -> Result<&'a [Value], String> {
    match options.get(name) {
        None | Some(Value::Null) => Ok(&[]),
        Some(Value::Array(found)) => Ok(found),
        Some(_) => Err(format!("{name} is not an array")),
    }
}

fn numbers(options: &Fields, name: &str) -> Result<Vec<f64>, String> {
    let wrong = || format!("{name} holds something that is not a number");
    list(options, name)?
        .iter()
        .map(|v| v.as_f64().ok_or_else(wrong))
        .collect::<Result<_, String>>()
}

fn objects(options: &Fields, name: &str) -> Result<Vec<Fields>, String> {
    let wrong = || format!("{name} holds something that is not an object");
    list(options, name)?
        .iter()
        .map(|v| v.as_object().cloned().ok_or_else(wrong))
        .collect::<Result<_, String>>()
}

/// The kinds that are parents and origin, where there are such.
pub fn parent_and_origin(options: &Fields) -> [Option<u64>; 2] {
    let family = options.get("FamilyInfo");
    ["ShieldKind", "SourceKind"]
        .map(|name| family.and_then(|f| f.get(name)).and_then(Value::as_u64))
}

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
    let by_class = |name| Ok::<_, String>(numbers(family, name)?.get(i).copied().unwrap_or(0.0));
    let marked =
        |name| list(family, name).map(|l| l.get(i).and_then(Value::as_bool).unwrap_or(false));
    let fresh = by_class("ClassFresh")?;
    Ok(Class {
        effect: match text(class, "Effect")? {
            "pure" => Effect::Idempotent,
            "token" => Effect::Deduplicated,
            "side_effect" => Effect::NonIdempotent,
            other => return Err(format!("unknown Effect {other:?}")),
        },
        group: match text(class, "Group")? {
            "zone" => Group::Zone,
            "cell" => Group::Cohort,
            "all" | "" => Group::All,
            other => return Err(format!("unknown Group {other:?}")),
        },
        window: span(number(class, "Window")?),
        soft_deadline: span(number(class, "Aim")?),
        soft_stretch: number(class, "AimStretch")?,
        deadline: span(number(class, "HardLimit")?),
        value: number(class, "Worth")?,
        late_value: number(class, "LateWorth")?,
        fresh: (fresh > 0.0).then(|| span(fresh)),
        stale_for: span(by_class("StaleFor")?),
        stale_value: by_class("StaleEarns")?,
        cacheable: !marked("ClassWrite")?,
        in_parts: marked("Segmented")?,
        streamed: flag(class, "Stream")?,
    })
}

pub fn deployment(seed: u64, options: &Fields) -> Result<Deployment, String> {
    let family = part(options, "FamilyInfo")?;
    let limits = part(options, "Limits")?;
    let rules = part(options, "Obligations")?;
    let classes = objects(options, "Classes")?;
    let span_of = |from: &Fields, name: &str| number(from, name).map(span);
    let count_all = |name| {
        Ok::<_, String>(
            numbers(&family, name)?
                .iter()
                .map(|n| *n as usize)
                .collect(),
        )
    };
    let fall = span_of(&rules, "Fall")?;
    Ok(Deployment {
        number: whole(options, "MyNumber")?,
        seed,
        routers: whole(options, "PeersTotal")? as usize,
        zone: whole(options, "Locality")? as usize,
        routers_at: count_all("CrewByZone")?,
        hub_of: count_all("HomeHub")?,
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
        tick: span_of(options, "Granularity")?,

        client_kb_per_s: number(&family, "ClientKbPerS")?,
        max_attempts: whole(&limits, "MaxAttempts")? as usize,
        second_copies: flag(&limits, "SecondCopies")?,
        may_cancel: flag(&limits, "MayCancel")?,
        longest_advice: flag(&limits, "RetryAfter")?
            .then(|| span_of(&limits, "MaxRetryAfter"))
            .transpose()?,
        cold_cache: ColdStart {
            from: number(&rules, "ColdFrom")?,
            warm_within: span_of(&rules, "WarmWithin")?,
            multiple: number(&rules, "TipMultiple")?,
            span: fall,
        },
        cold_parent: ColdStart {
            from: number(&family, "ParentFloor")?,
            warm_within: span_of(&family, "ParentRamp")?,
            multiple: number(&family, "ParentFallMultiple")?,
            span: fall,
        },
        drain_grace: span_of(&rules, "DrainGrace")?,
        purge_grace: span_of(&family, "ObeyAfter")?,
        purge_done: span_of(&family, "PurgeDone")?,

        pass_through: flag(&family, "PassThroughOk")?,
        joins: flag(&family, "SharesFills")?,
        siblings: match text(&family, "Neighbours")? {
            "location" => Siblings::Zone,
            "any" => Siblings::Any,
            _ => Siblings::None,
        },
        telling: match text(&family, "Says")? {
            "all" => Telling::All,
            "hit" => Telling::Hits,
            _ => Telling::Nothing,
        },
        hints: match text(options, "Weights")? {
            "nominal" => Hints::Nominal,
            "rough" => Hints::Rough,
            "live" => Hints::Live,
            _ => Hints::None,
        },
        list_on_request: text(options, "RegistryMode")? == "ask",
        ask_within: span_of(&rules, "AskWithin")?,
    })
}

/// The names by which a deployment calls its zones, kinds of machine, classes and customers, in their
/// order.
#[derive(Clone, Debug, Default)]
pub struct Names {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub classes: Vec<String>,
    pub customers: Vec<String>,
}

pub fn names(options: &Fields) -> Result<Names, String> {
    let texts = |name: &str| {
        let wrong = || format!("{name} holds something that is not a text");
        list(options, name)?
            .iter()
            .map(|v| v.as_str().map(str::to_owned).ok_or_else(wrong))
            .collect::<Result<_, String>>()
    };
    let called = |name: &str| {
        let all = objects(options, name)?;
        all.iter()
            .map(|one| text(one, "Name").map(str::to_owned))
            .collect::<Result<_, String>>()
    };
    Ok(Names {
        zones: texts("Zones")?,
        kinds: texts("Kinds")?,
        classes: called("Classes")?,
        customers: called("Tenants")?,
    })
}
