//! Parses the events of discovery, which are server list changes and purges, without I/O.

use crate::cell_routing::CellPlan;
use crate::clock::Clock;
use chalkhall::interface::{Id, Member, ServerState, Tier};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The names of zones and kinds of servers in the settings, to which discovery refers.
#[derive(Clone, Debug, Default)]
pub struct DeploymentNames {
    /// The zones, by index.
    pub zones: Vec<String>,
    /// The kinds of servers, by index.
    pub kinds: Vec<String>,
    /// The index of the kind of parent caches.
    pub parent: Option<u64>,
    /// The index of the kind of origins.
    pub origin: Option<u64>,
}

/// An entry of the server list.
#[derive(Debug)]
pub struct DiscoveredServer {
    /// The server as the routing logic sees it.
    pub member: Member,
    /// Its address.
    pub address: SocketAddr,
}

/// A change at run time.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// The zones that the operator's file drains. This event does not come from discovery.
    DrainedZones(Vec<usize>),
    /// A list of servers, or changes to it.
    List {
        /// Whether the list is complete: servers that are not in it have left.
        is_snapshot: bool,
        /// The servers.
        servers: Vec<DiscoveredServer>,
    },
    /// A purge of copies.
    Purge {
        /// The purged object; `None` if a group is purged.
        object: Option<Id>,
        /// The group.
        group: u64,
        /// The time of the purge, in Unix milliseconds.
        purged_at_unix_ms: u64,
    },
    /// Discovery has sent all of its events.
    UpToDate {
        /// The time at which that was true. The report may have been read later.
        as_of: Duration,
    },
    /// A new cell map from the operator's file. This event does not come from discovery.
    CellMap(Box<CellPlan>),
}

/// A numbered event of discovery.
#[derive(Debug)]
pub struct NumberedEvent {
    /// The number of the event; the numbers are consecutive.
    pub number: u64,
    /// The event; `None` if this router does not know its kind.
    pub event: Option<DiscoveryEvent>,
}

/// The error if an event cannot be parsed.
#[derive(Debug, Error)]
pub enum EventError {
    /// A key is missing or has a value of another type.
    #[error("{key} is not {expected}")]
    Unexpected {
        /// The invalid key.
        key: &'static str,
        /// The expected value.
        expected: &'static str,
    },
    /// A zone or a kind of server is not in the settings.
    #[error("{key} {name:?} is not in the settings")]
    NotInSettings {
        /// The key.
        key: &'static str,
        /// Its value.
        name: String,
    },
    /// A server has an unknown health state.
    #[error("unknown health {0:?}")]
    UnknownHealth(String),
    /// The address of a server cannot be parsed.
    #[error("dial {0:?} is not an address")]
    NotAnAddress(String),
    /// A purge has neither an object nor a group.
    #[error("flush has neither asset nor collection")]
    PurgeWithoutTarget,
}

/// The number of the last event, if a line is a heartbeat: the number alone, bare or as the only
/// member of an object.
pub fn parse_heartbeat(line: &Value) -> Option<u64> {
    match line {
        Value::Object(members) if members.len() == 1 => members.get("rev")?.as_u64(),
        _ => line.as_u64(),
    }
}

const UNSIGNED_INTEGER: &str = "a whole number";

/// Parses one numbered event.
///
/// # Errors
/// A part of the event is missing or invalid.
pub fn parse_event(
    event: &Value,
    names: &DeploymentNames,
    clock: &Clock,
) -> Result<NumberedEvent, EventError> {
    let number = required(event, "rev", "rev", UNSIGNED_INTEGER, Value::as_u64)?;
    let event = match (event.get("pool"), event.get("flush")) {
        (Some(list), _) => Some(parse_list(list, names, clock)?),
        (None, Some(purge)) => Some(parse_purge(purge)?),
        (None, None) => None,
    };
    Ok(NumberedEvent { number, event })
}

fn parse_list(
    list: &Value,
    names: &DeploymentNames,
    clock: &Clock,
) -> Result<DiscoveryEvent, EventError> {
    let hosts = required(list, "hosts", "pool.hosts", "an array", Value::as_array)?;
    let servers = hosts.iter().map(|host| parse_server(host, names, clock));
    Ok(DiscoveryEvent::List {
        is_snapshot: list.get("whole").and_then(Value::as_bool).unwrap_or(false),
        servers: servers.collect::<Result<_, _>>()?,
    })
}

fn parse_purge(purge: &Value) -> Result<DiscoveryEvent, EventError> {
    let object = purge.get("asset").and_then(Value::as_str).map(Id::from);
    let group = purge.get("collection").and_then(Value::as_u64);
    if object.is_none() && group.is_none() {
        return Err(EventError::PurgeWithoutTarget);
    }
    Ok(DiscoveryEvent::Purge {
        object,
        group: group.unwrap_or(0),
        purged_at_unix_ms: required(purge, "ms", "flush.ms", UNSIGNED_INTEGER, Value::as_u64)?,
    })
}

fn parse_server(
    host: &Value,
    names: &DeploymentNames,
    clock: &Clock,
) -> Result<DiscoveredServer, EventError> {
    let kind = Some(index_in(&names.kinds, host, "class")? as u64);
    let address = text(host, "dial")?;
    let member = Member {
        server: text(host, "host")?.into(),
        zone: index_in(&names.zones, host, "site")?,
        tier: match kind {
            kind if kind == names.parent => Tier::Parent,
            kind if kind == names.origin => Tier::Origin,
            _ => Tier::Cache,
        },
        cohort: host.get("block").and_then(Value::as_u64).unwrap_or(0),
        state: parse_health(text(host, "health")?)?,
        capacity: parse_capacity(host),
        started: parse_start(host, clock),
        ..Member::default()
    };
    let address = address
        .parse()
        .map_err(|_| EventError::NotAnAddress(address.to_owned()))?;
    Ok(DiscoveredServer { member, address })
}

fn parse_health(health: &str) -> Result<ServerState, EventError> {
    match health {
        "active" => Ok(ServerState::Active),
        "leaving" => Ok(ServerState::Draining),
        "left" => Ok(ServerState::Removed),
        other => Err(EventError::UnknownHealth(other.to_owned())),
    }
}

fn parse_capacity(host: &Value) -> f64 {
    let share = host.get("share").and_then(Value::as_f64);
    share.filter(|share| *share >= 0.0).unwrap_or(1.0)
}

/// The start time of the server; `None` if discovery does not know it.
fn parse_start(host: &Value, clock: &Clock) -> Option<Duration> {
    let unix_ms = host.get("born_ms").and_then(Value::as_u64)?;
    (unix_ms > 0).then(|| clock.at_unix_ms(unix_ms))
}

fn text<'a>(host: &'a Value, key: &'static str) -> Result<&'a str, EventError> {
    required(host, key, key, "a string", Value::as_str)
}

/// The index of the zone or kind that a key refers to.
fn index_in(names: &[String], host: &Value, key: &'static str) -> Result<usize, EventError> {
    let name = text(host, key)?;
    let index = names.iter().position(|known| known == name);
    index.ok_or_else(|| EventError::NotInSettings {
        key,
        name: name.to_owned(),
    })
}

/// The value of a required key. `path` is the key with its context, for error messages.
fn required<'a, T>(
    object: &'a Value,
    key: &str,
    path: &'static str,
    expected: &'static str,
    read: impl FnOnce(&'a Value) -> Option<T>,
) -> Result<T, EventError> {
    let found = object.get(key).and_then(read);
    found.ok_or(EventError::Unexpected {
        key: path,
        expected,
    })
}

#[cfg(test)]
mod tests;
