//! The router's configuration: reads and validates environment variables and a JSON file, and
//! applies defaults. Each error names the invalid key.

use crate::clock::Clock;
use crate::discovery_events::{DeploymentNames, EventError, NumberedEvent, parse_event};
use chalkhall::interface::Deployment;
use chalkhall_settings::{self as deployment, Fields};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Defaults for limits that the platform does not set.
const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_SOCKETS: u64 = 1024;
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const DEFAULT_IDLE_CLOSE: Duration = Duration::from_secs(30);
const DEFAULT_STREAMS: u64 = 100;
const DEFAULT_OPEN_REQUESTS: u64 = 20_000;
/// The part of the process' memory that the access history may take.
const ACCESS_HISTORY_DIVISOR: u64 = 8;
/// Minimum number of descriptors that a router needs to run.
const MIN_SOCKETS: u64 = 64;

/// The environment variable that holds the path of the configuration file.
const FILE_VARIABLE: &str = "ROUTER_CONFIG";

/// Why a configuration is invalid.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    #[error("ROUTER_CONFIG is not set")]
    VariableNotSet,
    /// The file cannot be read.
    #[error("ROUTER_CONFIG: {path}: {source}")]
    Unreadable {
        path: String,
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("ROUTER_CONFIG: {path}: {source}")]
    InvalidJson {
        path: String,
        source: serde_json::Error,
    },
    /// The file is JSON, but not an object.
    #[error("ROUTER_CONFIG: the file is not a JSON object")]
    NotAnObject,
    /// A key without a default is missing.
    #[error("{key} is missing")]
    Missing {
        /// The key, or the environment variable that takes precedence over it.
        key: String,
    },
    /// The value of a key has the wrong type.
    #[error("{key} is not {expected}")]
    WrongType {
        key: &'static str,
        /// The expected type, with its article.
        expected: &'static str,
    },
    /// The value of a key is not a socket address.
    #[error("{key} is not an address: {found:?}")]
    InvalidAddress {
        /// The key, or the environment variable that takes precedence over it.
        key: String,
        found: String,
    },
    /// The settings define no class of requests.
    #[error("settings: Classes is empty")]
    NoClasses,
    /// The platform allows too few descriptors.
    #[error("limits: sockets is below {MIN_SOCKETS}")]
    TooFewSockets,
    /// A field in a section of the file is invalid.
    #[error("{section}: {fault}")]
    Section {
        section: &'static str,
        fault: FieldError,
    },
    /// A top-level field is invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// One of the discovery events known at the start is invalid.
    #[error("known: {0}")]
    Event(#[from] EventError),
}

/// A field is invalid. The message of the settings reader names the field and what is expected.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct FieldError(pub String);

impl FieldError {
    fn in_section(self, section: &'static str) -> ConfigurationError {
        let fault = self;
        ConfigurationError::Section { section, fault }
    }
}

/// Converts an error message of the settings reader for a field in this section.
fn in_section(section: &'static str) -> impl Fn(String) -> ConfigurationError {
    move |fault| FieldError(fault).in_section(section)
}

/// The configuration of a router.
#[derive(Debug)]
pub struct Configuration {
    /// The router's name.
    pub name: String,
    /// The address on which clients are accepted.
    pub listen: SocketAddr,
    /// The address of the discovery service.
    pub discovery: SocketAddr,
    /// The number of the last event in `known_events`.
    pub last_event: u64,
    /// The discovery events up to the start.
    pub known_events: Vec<NumberedEvent>,
    /// The names that discovery events use.
    pub names: DeploymentNames,
    pub deployment: Deployment,
    /// The names of the request classes by index.
    pub classes: Vec<String>,
    /// The names of the tenants by index.
    pub tenants: Vec<String>,
    pub limits: Limits,
    /// How many responses at the client transfer rate the router's own link carries concurrently,
    /// if known.
    pub link_capacity: Option<f64>,
    /// The addresses for gossip. None: gossip is not allowed, or no addresses are configured.
    pub peers: Option<Peers>,
    /// The values of `RESTART_ONLY_KEYS`.
    restart_only_values: Vec<Value>,
}

/// The gossip addresses of the routers of the tier.
#[derive(Clone, Debug)]
pub struct Peers {
    /// The address on which this router receives.
    pub listen: SocketAddr,
    /// The address that reaches all routers.
    pub all: SocketAddr,
    /// The routers' addresses by number.
    pub each: Vec<SocketAddr>,
}

/// The keys whose changes take effect only after a restart.
const RESTART_ONLY_KEYS: [&str; 9] = [
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
    /// The keys that differ in `new` and require a restart.
    pub fn changed_restart_only_keys(&self, new: &Configuration) -> Vec<&'static str> {
        let pairs = self
            .restart_only_values
            .iter()
            .zip(&new.restart_only_values)
            .zip(RESTART_ONLY_KEYS);
        let changed = pairs.filter(|((old, new), _)| old != new);
        changed.map(|(_, key)| key).collect()
    }
}

/// The limits on connections, requests and memory.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Memory in bytes.
    pub memory: u64,
    /// File descriptors.
    pub sockets: usize,
    /// The timeout for connecting to a server.
    pub connect_timeout: Duration,
    /// After this time servers close an idle connection.
    pub idle_close: Duration,
    /// Concurrent attempts on one connection to a server.
    pub streams: usize,
    /// Concurrent open requests.
    pub open_requests: usize,
}

/// Reads the configuration file that the environment names.
///
/// # Errors
/// The first error that is found.
pub fn load(
    env: impl Fn(&str) -> Option<String>,
    clock: &Clock,
) -> Result<Configuration, ConfigurationError> {
    let path = env(FILE_VARIABLE).ok_or(ConfigurationError::VariableNotSet)?;
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(ConfigurationError::Unreadable { path, source }),
    };
    let file: Value = match serde_json::from_str(&text) {
        Ok(file) => file,
        Err(source) => return Err(ConfigurationError::InvalidJson { path, source }),
    };
    let file = file.as_object().ok_or(ConfigurationError::NotAnObject)?;
    parse(file, env, clock)
}

fn parse(
    file: &Fields,
    env: impl Fn(&str) -> Option<String>,
    clock: &Clock,
) -> Result<Configuration, ConfigurationError> {
    let name = text_or_variable(file, "name", &env, "ROUTER_NAME")?;
    let listen = text_or_variable(file, "listen", &env, "ROUTER_LISTEN")?.into_address()?;
    let discovery = Setting::from_file(file, "board")?.into_address()?;
    let seed = parse_seed(file)?;
    let settings = object(file, "settings")?;
    let limits = parse_limits(file, settings)?;
    let mut deployment = deployment::deployment(seed, settings).map_err(in_section("settings"))?;
    deployment.access_history_bytes = Some((limits.memory / ACCESS_HISTORY_DIVISOR) as usize);
    let named = deployment::names(settings).map_err(in_section("settings"))?;
    if deployment.classes.is_empty() {
        return Err(ConfigurationError::NoClasses);
    }
    let [parent, origin] = deployment::parent_and_origin(settings);
    let names = DeploymentNames {
        zones: named.zones,
        kinds: named.kinds,
        parent,
        origin,
    };
    let known = object(file, "known")?;
    Ok(Configuration {
        name: name.value,
        listen,
        discovery,
        last_event: deployment::unsigned(known, "rev").map_err(in_section("known"))?,
        known_events: parse_known_events(known, &names, clock)?,
        names,
        deployment,
        classes: named.classes,
        tenants: named.customers,
        limits,
        link_capacity: parse_link_capacity(file)?,
        peers: parse_peers(file, settings)?,
        restart_only_values: RESTART_ONLY_KEYS
            .map(|key| file.get(key).cloned().unwrap_or_default())
            .to_vec(),
    })
}

/// A text value with the key or variable that it was read from.
struct Setting {
    key: String,
    value: String,
}

impl Setting {
    fn from_file(file: &Fields, key: &str) -> Result<Setting, ConfigurationError> {
        let value = deployment::string(file, key).map_err(FieldError)?;
        Ok(Setting {
            key: key.to_owned(),
            value: value.to_owned(),
        })
    }

    fn into_address(self) -> Result<SocketAddr, ConfigurationError> {
        let Setting { key, value } = self;
        if value.is_empty() {
            return Err(ConfigurationError::Missing { key });
        }
        let address = value.parse();
        address.map_err(|_| ConfigurationError::InvalidAddress { key, found: value })
    }
}

/// Reads an environment variable if it is set, or else a key of the file.
fn text_or_variable(
    file: &Fields,
    key: &str,
    env: impl Fn(&str) -> Option<String>,
    variable: &str,
) -> Result<Setting, ConfigurationError> {
    match env(variable) {
        Some(value) => Ok(Setting {
            key: variable.to_owned(),
            value,
        }),
        None => Setting::from_file(file, key),
    }
}

fn parse_seed(file: &Fields) -> Result<u64, ConfigurationError> {
    const NOT_HEX: ConfigurationError = ConfigurationError::WrongType {
        key: "seed",
        expected: "16 hex digits",
    };
    match file.get("seed") {
        None | Some(Value::Null) => Ok(0),
        Some(Value::String(hex)) => u64::from_str_radix(hex, 16).map_err(|_| NOT_HEX),
        Some(Value::Number(number)) => number.as_u64().ok_or(ConfigurationError::WrongType {
            key: "seed",
            expected: "a whole number",
        }),
        Some(_) => Err(NOT_HEX),
    }
}

fn parse_known_events(
    known: &Fields,
    names: &DeploymentNames,
    clock: &Clock,
) -> Result<Vec<NumberedEvent>, ConfigurationError> {
    let events = known.get("notices").and_then(Value::as_array);
    let events = events.ok_or(ConfigurationError::WrongType {
        key: "known: notices",
        expected: "an array",
    })?;
    let events = events.iter().map(|event| parse_event(event, names, clock));
    Ok(events.collect::<Result<_, _>>()?)
}

fn parse_limits(file: &Fields, settings: &Fields) -> Result<Limits, ConfigurationError> {
    let empty = Fields::new();
    let platform_limits = match file.get("limits") {
        None => &empty,
        Some(limits) => limits.as_object().ok_or(ConfigurationError::WrongType {
            key: "limits",
            expected: "an object",
        })?,
    };
    let deployment_limits = settings.get("Limits").and_then(Value::as_object);
    let deployment_limits = deployment_limits.unwrap_or(&empty);
    let platform_limits = |key, default| {
        whole_or_default(platform_limits, key, default).map_err(|fault| fault.in_section("limits"))
    };
    let sockets = platform_limits("sockets", DEFAULT_SOCKETS)?;
    if sockets < MIN_SOCKETS {
        return Err(ConfigurationError::TooFewSockets);
    }
    Ok(Limits {
        memory: platform_limits("memory_mb", DEFAULT_MEMORY_MB)? << 20,
        sockets: sockets as usize,
        connect_timeout: duration_or_default(
            deployment_limits,
            "ConnectTimeout",
            DEFAULT_CONNECT_TIMEOUT,
        )?,
        idle_close: duration_or_default(deployment_limits, "IdleClose", DEFAULT_IDLE_CLOSE)?,
        streams: whole_or_default(deployment_limits, "StreamsPerConn", DEFAULT_STREAMS)? as usize,
        open_requests: whole_or_default(deployment_limits, "MaxOpen", DEFAULT_OPEN_REQUESTS)?
            as usize,
    })
}

/// Reads a whole number, or the default if it is 0 or missing.
fn whole_or_default(fields: &Fields, key: &str, default: u64) -> Result<u64, FieldError> {
    let found = deployment::unsigned(fields, key).map_err(FieldError)?;
    Ok(if found == 0 { default } else { found })
}

/// Reads a duration in milliseconds, or the default if it is not positive or is missing.
fn duration_or_default(
    fields: &Fields,
    key: &str,
    default: Duration,
) -> Result<Duration, FieldError> {
    let ms = deployment::number(fields, key).map_err(FieldError)?;
    Ok(if ms > 0.0 {
        deployment::duration_from_ms(ms)
    } else {
        default
    })
}

fn parse_peers(file: &Fields, settings: &Fields) -> Result<Option<Peers>, ConfigurationError> {
    let limits = settings.get("Limits").and_then(Value::as_object);
    let is_allowed = limits.map_or(Ok(false), |limits| deployment::flag(limits, "PeerMessages"));
    let is_allowed = is_allowed.map_err(in_section("settings"))?;
    let keys = ["peer_listen", "peers", "peers_all"];
    if !is_allowed || !keys.iter().all(|key| file.contains_key(*key)) {
        return Ok(None);
    }
    let address = |key: &str, found: &str| {
        let address = found.parse::<SocketAddr>();
        address.map_err(|_| ConfigurationError::InvalidAddress {
            key: key.to_owned(),
            found: found.to_owned(),
        })
    };
    let address_of = |key: &str| {
        let found = deployment::string(file, key).map_err(FieldError)?;
        address(key, found)
    };
    let each = file.get("peers").and_then(Value::as_array);
    let each = each.ok_or(ConfigurationError::WrongType {
        key: "peers",
        expected: "an array",
    })?;
    let each = each
        .iter()
        .map(|peer| address("peers", peer.as_str().unwrap_or("")));
    Ok(Some(Peers {
        listen: address_of("peer_listen")?,
        all: address_of("peers_all")?,
        each: each.collect::<Result<_, _>>()?,
    }))
}

fn parse_link_capacity(file: &Fields) -> Result<Option<f64>, ConfigurationError> {
    let rate = |key| deployment::number(file, key).map_err(FieldError);
    let (answer_rate, link_rate) = (rate("flow_bytes_per_s")?, rate("link_bytes_per_s")?);
    let is_known = answer_rate > 0.0 && link_rate > 0.0;
    Ok(is_known.then(|| link_rate / answer_rate))
}

fn object<'a>(fields: &'a Fields, key: &'static str) -> Result<&'a Fields, ConfigurationError> {
    match fields.get(key) {
        None | Some(Value::Null) => Err(ConfigurationError::Missing {
            key: key.to_owned(),
        }),
        Some(found) => found.as_object().ok_or(ConfigurationError::WrongType {
            key,
            expected: "an object",
        }),
    }
}
