//! All that a router is told: its environment and one JSON file, read, checked and given defaults here alone.
//! A message names the key that is at fault.

use crate::clock::Clock;
use crate::discovery_events::{DiscoveryEvent, Places, numbered};
use chalkhall::interface::Deployment;
use chalkhall_settings::{self as deployment, Fields};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// Where the platform sets no limits: those of its scored days.
const MEMORY_MB: u64 = 192;
const SOCKETS: u64 = 1024;
const SOCKETS_LEAST: u64 = 64;
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const IDLE_CLOSE: Duration = Duration::from_secs(30);

#[derive(Debug)]
pub struct Configuration {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// The number of the last event in `known`, and the events.
    pub last_event: u64,
    pub known: Vec<(u64, Option<DiscoveryEvent>)>,
    pub places: Places,
    pub deployment: Deployment,
    pub classes: Vec<String>,
    pub tenants: Vec<String>,
    pub limits: Limits,
    /// How many answers at a client's pace its own link carries at once; none: not told.
    pub own_link: Option<f64>,
    /// Where routers talk to one another; none: they may not, or are not told how.
    pub peers: Option<Peers>,
    fixed: Vec<Value>,
}

/// The addresses of the routers of the tier, by number, and the one that reaches all of them.
#[derive(Clone, Debug)]
pub struct Peers {
    pub listen: SocketAddr,
    pub all: SocketAddr,
    pub each: Vec<SocketAddr>,
}

/// What a running router does not take over.
const FIXED: [&str; 9] = [
    "name",
    "listen",
    "limits",
    "settings",
    "peer_listen",
    "peers",
    "peers_all",
    "flow_bytes_per_s",
    "link_bytes_per_s",
];

impl Configuration {
    /// The keys in which another configuration differs where only a restart takes it over.
    pub fn fixed_otherwise(&self, anew: &Configuration) -> Vec<&'static str> {
        let pairs = self.fixed.iter().zip(&anew.fixed).zip(FIXED);
        pairs
            .filter_map(|((old, new), name)| (old != new).then_some(name))
            .collect()
    }
}

/// The limits of transport.
#[derive(Clone, Debug)]
pub struct Limits {
    pub memory: u64,
    pub sockets: usize,
    pub connect_timeout: Duration,
    /// When servers close a connection that carries nothing.
    pub idle_close: Duration,
    /// Attempts on one connection at a time.
    pub streams: usize,
    pub open_requests: usize,
}

pub fn told(env: impl Fn(&str) -> Option<String>, clock: &Clock) -> Result<Configuration, String> {
    let path = env("ROUTER_CONFIG").ok_or("ROUTER_CONFIG is not set")?;
    let text = std::fs::read_to_string(&path).map_err(|e| format!("ROUTER_CONFIG: {path}: {e}"))?;
    let file: Value =
        serde_json::from_str(&text).map_err(|e| format!("ROUTER_CONFIG: {path}: {e}"))?;
    let file = file
        .as_object()
        .ok_or("ROUTER_CONFIG: the file does not hold an object")?;
    read(file, env, clock)
}

fn read(
    file: &Fields,
    env: impl Fn(&str) -> Option<String>,
    clock: &Clock,
) -> Result<Configuration, String> {
    let text = |name: &str, variable: &str| match env(variable) {
        Some(found) => Ok((found, variable.to_owned())),
        None => deployment::text(file, name).map(|found| (found.to_owned(), name.to_owned())),
    };
    let address = |(found, name): (String, String)| match found.as_str() {
        "" => Err(format!("{name} is missing")),
        found => found
            .parse()
            .map_err(|_| format!("{name} is not an address: {found:?}")),
    };
    let (name, _) = text("name", "ROUTER_NAME")?;
    let listen = address(text("listen", "ROUTER_LISTEN")?)?;
    let discovery = address((
        deployment::text(file, "board")?.to_owned(),
        "board".to_owned(),
    ))?;

    let seed = match file.get("seed") {
        None | Some(Value::Null) => 0,
        Some(Value::String(hex)) => {
            u64::from_str_radix(hex, 16).map_err(|_| "seed is not 16 hex digits")?
        }
        Some(Value::Number(n)) => n.as_u64().ok_or("seed is not a whole number")?,
        Some(_) => return Err("seed is not 16 hex digits".into()),
    };
    let settings = object(file, "settings")?;
    let within = |what: String| format!("settings: {what}");
    let deployment = deployment::deployment(seed, settings).map_err(within)?;
    let names = deployment::names(settings).map_err(within)?;
    if deployment.classes.is_empty() {
        return Err("settings: Classes is empty".into());
    }
    let [parent, origin] = deployment::parent_and_origin(settings);
    let places = Places {
        zones: names.zones,
        kinds: names.kinds,
        parent,
        origin,
    };

    let known = object(file, "known")?;
    let last_event = deployment::whole(known, "rev").map_err(|e| format!("known: {e}"))?;
    let events = known
        .get("notices")
        .and_then(Value::as_array)
        .ok_or("known: notices is not an array")?;
    let events = events.iter().map(|event| numbered(event, &places, clock));
    let events = events
        .collect::<Result<Vec<_>, _>>()
        .map_err(|e| format!("known: {e}"))?;

    Ok(Configuration {
        name,
        listen,
        discovery,
        last_event,
        known: events,
        places,
        deployment,
        classes: names.classes,
        tenants: names.customers,
        limits: limits(file, settings)?,
        own_link: own_link(file)?,
        peers: peers(file, settings)?,
        fixed: FIXED
            .map(|name| file.get(name).cloned().unwrap_or_default())
            .to_vec(),
    })
}

fn limits(file: &Fields, settings: &Fields) -> Result<Limits, String> {
    let empty = Fields::new();
    let given = file.get("limits").map_or(Ok(&empty), |v| {
        v.as_object().ok_or("limits is not an object")
    })?;
    let of_site = settings
        .get("Limits")
        .and_then(Value::as_object)
        .unwrap_or(&empty);
    let or = |from: &Fields, name: &str, default: u64| match deployment::whole(from, name)? {
        0 => Ok::<_, String>(default),
        found => Ok(found),
    };
    let span_or = |name: &str, default: Duration| match deployment::number(of_site, name)? {
        ms if ms > 0.0 => Ok::<_, String>(deployment::span(ms)),
        _ => Ok(default),
    };
    let sockets = or(given, "sockets", SOCKETS).map_err(|e| format!("limits: {e}"))?;
    if sockets < SOCKETS_LEAST {
        return Err(format!("limits: sockets is under {SOCKETS_LEAST}"));
    }
    Ok(Limits {
        memory: or(given, "memory_mb", MEMORY_MB).map_err(|e| format!("limits: {e}"))? << 20,
        sockets: sockets as usize,
        connect_timeout: span_or("ConnectTimeout", CONNECT_TIMEOUT)?,
        idle_close: span_or("IdleClose", IDLE_CLOSE)?,
        streams: or(of_site, "StreamsPerConn", 100)? as usize,
        open_requests: or(of_site, "MaxOpen", 20_000)? as usize,
    })
}

fn peers(file: &Fields, settings: &Fields) -> Result<Option<Peers>, String> {
    let limits = settings.get("Limits").and_then(Value::as_object);
    let allowed = limits.map_or(Ok(false), |limits| deployment::flag(limits, "PeerMessages"));
    let told = ["peer_listen", "peers", "peers_all"]
        .iter()
        .all(|key| file.contains_key(*key));
    if !allowed.map_err(|what| format!("settings: {what}"))? || !told {
        return Ok(None);
    }
    let address = |name: &str, found: &str| {
        found
            .parse::<SocketAddr>()
            .map_err(|_| format!("{name} is not an address: {found:?}"))
    };
    let each = file
        .get("peers")
        .and_then(Value::as_array)
        .ok_or("peers is not an array")?;
    let each = each
        .iter()
        .map(|one| address("peers", one.as_str().unwrap_or("")));
    Ok(Some(Peers {
        listen: address("peer_listen", deployment::text(file, "peer_listen")?)?,
        all: address("peers_all", deployment::text(file, "peers_all")?)?,
        each: each.collect::<Result<_, _>>()?,
    }))
}

fn own_link(file: &Fields) -> Result<Option<f64>, String> {
    let flow = deployment::number(file, "flow_bytes_per_s")?;
    let link = deployment::number(file, "link_bytes_per_s")?;
    Ok((flow > 0.0 && link > 0.0).then(|| link / flow))
}

fn object<'a>(from: &'a Fields, name: &str) -> Result<&'a Fields, String> {
    match from.get(name) {
        None | Some(Value::Null) => Err(format!("{name} is missing")),
        Some(found) => found
            .as_object()
            .ok_or_else(|| format!("{name} is not an object")),
    }
}
