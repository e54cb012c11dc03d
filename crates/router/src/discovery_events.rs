//! What discovery tells: changes of the list of servers, and purges. Pure: no I/O.

use crate::cell_routing::Plan;
use crate::clock::Clock;
use chalkhall::interface::{Id, Member, Standing, Tier};
use serde_json::Value;
use std::net::SocketAddr;

/// The names by which discovery calls zones and kinds, from the settings.
#[derive(Clone, Debug, Default)]
pub struct Places {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub parent: Option<u64>,
    pub origin: Option<u64>,
}

#[derive(Debug)]
pub enum DiscoveryEvent {
    /// By SIGHUP: these zones are emptied.
    Drained(Vec<usize>),
    List {
        whole: bool,
        members: Vec<(Member, SocketAddr)>,
    },
    Purge {
        object: Option<Id>,
        group: u64,
        ms: u64,
    },
    /// Discovery has nothing newer than what it told.
    Heard,
    /// Not of discovery: the operator has told another map of cells.
    Cells(Box<Plan>),
}

/// One numbered event; an event of a kind that is not known is none.
pub fn numbered(
    event: &Value,
    places: &Places,
    clock: &Clock,
) -> Result<(u64, Option<DiscoveryEvent>), String> {
    let number = event
        .get("rev")
        .and_then(Value::as_u64)
        .ok_or("rev is not a whole number")?;
    let notice = match (event.get("pool"), event.get("flush")) {
        (Some(list), _) => {
            let entries = list
                .get("hosts")
                .and_then(Value::as_array)
                .ok_or("pool.hosts is not an array")?;
            let whole = list.get("whole").and_then(Value::as_bool).unwrap_or(false);
            let members = entries
                .iter()
                .map(|e| member(e, places, clock))
                .collect::<Result<_, _>>()?;
            Some(DiscoveryEvent::List { whole, members })
        }
        (_, Some(purge)) => {
            let object = purge.get("asset").and_then(Value::as_str).map(Id::from);
            let group = purge.get("collection").and_then(Value::as_u64);
            if object.is_none() && group.is_none() {
                return Err("flush names neither asset nor collection".into());
            }
            let ms = purge
                .get("ms")
                .and_then(Value::as_u64)
                .ok_or("flush.ms is not a whole number")?;
            Some(DiscoveryEvent::Purge {
                object,
                group: group.unwrap_or(0),
                ms,
            })
        }
        _ => None,
    };
    Ok((number, notice))
}

fn member(entry: &Value, places: &Places, clock: &Clock) -> Result<(Member, SocketAddr), String> {
    let text = |name: &str| {
        entry
            .get(name)
            .and_then(Value::as_str)
            .ok_or_else(|| format!("{name} is not a text"))
    };
    let whole = |name: &str| entry.get(name).and_then(Value::as_u64);
    let place = |among: &[String], name: &str| {
        let called = text(name)?;
        let found = among.iter().position(|n| n == called);
        found.ok_or_else(|| format!("{name} {called:?} is not in the settings"))
    };
    let kind = Some(place(&places.kinds, "class")? as u64);
    let dial = text("dial")?;
    let member = Member {
        server: text("host")?.into(),
        zone: place(&places.zones, "site")?,
        tier: match kind {
            kind if kind == places.parent => Tier::Parent,
            kind if kind == places.origin => Tier::Origin,
            _ => Tier::Cache,
        },
        cohort: whole("block").unwrap_or(0),
        standing: match text("health")? {
            "active" => Standing::Active,
            "leaving" => Standing::Draining,
            "left" => Standing::Gone,
            other => return Err(format!("unknown health {other:?}")),
        },
        capacity: entry
            .get("share")
            .and_then(Value::as_f64)
            .filter(|v| *v >= 0.0)
            .unwrap_or(1.0),
        started: whole("born_ms")
            .filter(|ms| *ms > 0)
            .map(|ms| clock.at_unix_ms(ms)),
        ..Member::default()
    };
    Ok((
        member,
        dial.parse()
            .map_err(|_| format!("dial {dial:?} is not an address"))?,
    ))
}

#[cfg(test)]
mod tests;
