//! Parses the events of discovery: changes of the list of servers, and purges. No I/O.

use crate::cell_routing::Plan;
use crate::clock::Clock;
use chalkhall::interface::{Id, Member, Standing, Tier};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// The names by which discovery calls zones and kinds of servers, from the settings.
#[derive(Clone, Debug, Default)]
pub struct DeploymentNames {
    /// The zones, by index.
    pub zones: Vec<String>,
    /// The kinds of servers, by index.
    pub kinds: Vec<String>,
    /// The kind that is a parent cache.
    pub parent: Option<u64>,
    /// The kind that is the origin.
    pub origin: Option<u64>,
}

/// A server in the list, and where it is reached.
#[derive(Debug)]
pub struct DiscoveredServer {
    /// The server as the decisions see it.
    pub member: Member,
    /// Its address.
    pub address: SocketAddr,
}

/// Something that changed while the router runs.
#[derive(Debug)]
pub enum DiscoveryEvent {
    /// Not of discovery: these zones are drained by the operator's file.
    Drained(Vec<usize>),
    /// Servers were listed, or changed.
    List {
        /// Servers that are not among these have left.
        whole: bool,
        /// The servers.
        servers: Vec<DiscoveredServer>,
    },
    /// Copies were purged.
    Purge {
        /// Of this object, or of a whole group.
        object: Option<Id>,
        /// The group.
        group: u64,
        /// When, in Unix milliseconds.
        ms: u64,
    },
    /// Discovery has nothing newer than what it has sent.
    UpToDate,
    /// Not of discovery: the operator's file has another map of cells.
    Cells(Box<Plan>),
}

/// A numbered event of discovery.
#[derive(Debug)]
pub struct NumberedEvent {
    /// Its number; events count up by one.
    pub number: u64,
    /// The event; none where it is of a kind that this router does not know.
    pub event: Option<DiscoveryEvent>,
}

/// Why an event cannot be read.
#[derive(Debug, Error)]
pub enum EventError {
    /// A key is missing or holds something else.
    #[error("{key} is not {expected}")]
    Unexpected {
        /// The key at fault.
        key: &'static str,
        /// What it is to hold.
        expected: &'static str,
    },
    /// A zone or a kind of server is not among those of the settings.
    #[error("{key} {name:?} is not in the settings")]
    NotInSettings {
        /// The key at fault.
        key: &'static str,
        /// What it holds.
        name: String,
    },
    /// A server is in a state that this router does not know.
    #[error("unknown health {0:?}")]
    UnknownHealth(String),
    /// A server's address cannot be read.
    #[error("dial {0:?} is not an address")]
    NotAnAddress(String),
    /// A purge says neither of which object nor of which group.
    #[error("flush names neither asset nor collection")]
    PurgeWithoutTarget,
}

const WHOLE_NUMBER: &str = "a whole number";

/// Parses one numbered event.
///
/// # Errors
/// What is missing in it, or cannot be read.
pub fn parse_event(
    event: &Value,
    names: &DeploymentNames,
    clock: &Clock,
) -> Result<NumberedEvent, EventError> {
    let number = required(event, "rev", "rev", WHOLE_NUMBER, Value::as_u64)?;
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
        whole: list.get("whole").and_then(Value::as_bool).unwrap_or(false),
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
        ms: required(purge, "ms", "flush.ms", WHOLE_NUMBER, Value::as_u64)?,
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
        standing: parse_health(text(host, "health")?)?,
        capacity: parse_capacity(host),
        started: parse_start(host, clock),
        ..Member::default()
    };
    let address = address
        .parse()
        .map_err(|_| EventError::NotAnAddress(address.to_owned()))?;
    Ok(DiscoveredServer { member, address })
}

fn parse_health(health: &str) -> Result<Standing, EventError> {
    match health {
        "active" => Ok(Standing::Active),
        "leaving" => Ok(Standing::Draining),
        "left" => Ok(Standing::Gone),
        other => Err(EventError::UnknownHealth(other.to_owned())),
    }
}

fn parse_capacity(host: &Value) -> f64 {
    let share = host.get("share").and_then(Value::as_f64);
    share.filter(|share| *share >= 0.0).unwrap_or(1.0)
}

/// When the server started; none where discovery does not know.
fn parse_start(host: &Value, clock: &Clock) -> Option<Duration> {
    let unix_ms = host.get("born_ms").and_then(Value::as_u64)?;
    (unix_ms > 0).then(|| clock.at_unix_ms(unix_ms))
}

fn text<'a>(host: &'a Value, key: &'static str) -> Result<&'a str, EventError> {
    required(host, key, key, "a text", Value::as_str)
}

/// The index of the zone or kind that a key names.
fn index_in(names: &[String], host: &Value, key: &'static str) -> Result<usize, EventError> {
    let name = text(host, key)?;
    let index = names.iter().position(|known| known == name);
    index.ok_or_else(|| EventError::NotInSettings {
        key,
        name: name.to_owned(),
    })
}

/// What a key holds, which must be there. `path`: the key as an operator knows it.
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
