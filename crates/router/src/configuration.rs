//! The router's configuration: its environment and one JSON file, read, checked and given defaults
//! here alone. Each error names the key that is at fault.

use crate::clock::Clock;
use crate::discovery_events::{DeploymentNames, EventError, NumberedEvent, parse_event};
use chalkhall::interface::Deployment;
use chalkhall_settings::{self as deployment, Fields};
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;

/// Defaults where the platform sets no limits.
const DEFAULT_MEMORY_MB: u64 = 192;
const DEFAULT_SOCKETS: u64 = 1024;
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
const DEFAULT_IDLE_CLOSE: Duration = Duration::from_secs(30);
const DEFAULT_STREAMS: u64 = 100;
const DEFAULT_OPEN_REQUESTS: u64 = 20_000;
/// Fewer descriptors are not enough to run.
const MIN_SOCKETS: u64 = 64;

/// The environment variable that holds the path of the configuration file.
const FILE_VARIABLE: &str = "ROUTER_CONFIG";

/// Why a configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigurationError {
    /// The environment does not name a file.
    #[error("ROUTER_CONFIG is not set")]
    NoFile,
    /// The file cannot be read.
    #[error("ROUTER_CONFIG: {path}: {source}")]
    Unreadable {
        /// The file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file is not JSON.
    #[error("ROUTER_CONFIG: {path}: {source}")]
    NotJson {
        /// The file.
        path: String,
        /// Where and why.
        source: serde_json::Error,
    },
    /// The file is JSON, but not an object.
    #[error("ROUTER_CONFIG: the file does not hold an object")]
    NotAnObject,
    /// A key that has no default is not there.
    #[error("{key} is missing")]
    Missing {
        /// The key, or the environment variable that stands for it.
        key: String,
    },
    /// A key holds something of another kind.
    #[error("{key} is not {expected}")]
    Unexpected {
        /// The key at fault.
        key: &'static str,
        /// What it is to hold.
        expected: &'static str,
    },
    /// An address cannot be read.
    #[error("{key} is not an address: {found:?}")]
    NotAnAddress {
        /// The key, or the environment variable that stands for it.
        key: String,
        /// What it holds.
        found: String,
    },
    /// The settings name no class of requests.
    #[error("settings: Classes is empty")]
    NoClasses,
    /// The platform allows too few descriptors.
    #[error("limits: sockets is under {MIN_SOCKETS}")]
    TooFewSockets,
    /// A field of a section cannot be used; the fault names the field and what is expected of it.
    #[error("{section}: {fault}")]
    Section {
        /// The section of the file.
        section: &'static str,
        /// The field's fault.
        fault: FieldError,
    },
    /// A field outside of any section cannot be used.
    #[error(transparent)]
    Field(#[from] FieldError),
    /// An event among those that are known at the start cannot be read.
    #[error("known: {0}")]
    Event(#[from] EventError),
}

/// A field cannot be used. The text is that of the reader of the settings: it names the field and
/// what is expected of it.
#[derive(Debug, Error)]
#[error("{0}")]
pub struct FieldError(pub String);

impl FieldError {
    fn in_section(self, section: &'static str) -> ConfigurationError {
        let fault = self;
        ConfigurationError::Section { section, fault }
    }
}

/// A fault of the reader of the settings, in a section of the file.
fn in_section(section: &'static str) -> impl Fn(String) -> ConfigurationError {
    move |fault| FieldError(fault).in_section(section)
}

/// What a router is started with.
#[derive(Debug)]
pub struct Configuration {
    /// Its name.
    pub name: String,
    /// Where clients reach it.
    pub listen: SocketAddr,
    /// Where discovery is.
    pub discovery: SocketAddr,
    /// The number of the last event in `known_events`.
    pub last_event: u64,
    /// The events of discovery up to the start.
    pub known_events: Vec<NumberedEvent>,
    /// The names that events use.
    pub names: DeploymentNames,
    /// The settings of the deployment.
    pub deployment: Deployment,
    /// The names of the classes of requests, by index.
    pub classes: Vec<String>,
    /// The names of the tenants, by index.
    pub tenants: Vec<String>,
    /// The limits of transport.
    pub limits: Limits,
    /// How many answers at a client's rate the router's own link carries at once; none: unknown.
    pub link_answers: Option<f64>,
    /// Where routers gossip; none: they may not, or their addresses are not configured.
    pub peers: Option<Peers>,
    /// The values of `FIXED_KEYS`.
    fixed: Vec<Value>,
}

/// The addresses of the routers of the tier.
#[derive(Clone, Debug)]
pub struct Peers {
    /// Where this router listens.
    pub listen: SocketAddr,
    /// The address that reaches all of them.
    pub all: SocketAddr,
    /// Each router's, by number.
    pub each: Vec<SocketAddr>,
}

/// The keys that a running router does not take over.
const FIXED_KEYS: [&str; 9] = [
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
    /// The keys that differ in another configuration, where only a restart takes it over.
    pub fn changed_fixed_keys(&self, new: &Configuration) -> Vec<&'static str> {
        let pairs = self.fixed.iter().zip(&new.fixed).zip(FIXED_KEYS);
        let changed = pairs.filter(|((old, new), _)| old != new);
        changed.map(|(_, key)| key).collect()
    }
}

/// The limits of transport.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Bytes of memory.
    pub memory: u64,
    /// Descriptors.
    pub sockets: usize,
    /// For a connection to a server to be made.
    pub connect_timeout: Duration,
    /// When servers close a connection that carries nothing.
    pub idle_close: Duration,
    /// Attempts on one connection at a time.
    pub streams: usize,
    /// Requests that may be open at a time.
    pub open_requests: usize,
}

/// Reads the configuration that the environment names.
///
/// # Errors
/// The first fault that is found.
pub fn load(
    env: impl Fn(&str) -> Option<String>,
    clock: &Clock,
) -> Result<Configuration, ConfigurationError> {
    let path = env(FILE_VARIABLE).ok_or(ConfigurationError::NoFile)?;
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(ConfigurationError::Unreadable { path, source }),
    };
    let file: Value = match serde_json::from_str(&text) {
        Ok(file) => file,
        Err(source) => return Err(ConfigurationError::NotJson { path, source }),
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
    let discovery = Setting::of_key(file, "board")?.into_address()?;
    let seed = parse_seed(file)?;
    let settings = object(file, "settings")?;
    let deployment = deployment::deployment(seed, settings).map_err(in_section("settings"))?;
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
        last_event: deployment::whole(known, "rev").map_err(in_section("known"))?,
        known_events: parse_known_events(known, &names, clock)?,
        names,
        deployment,
        classes: named.classes,
        tenants: named.customers,
        limits: parse_limits(file, settings)?,
        link_answers: parse_link_answers(file)?,
        peers: parse_peers(file, settings)?,
        fixed: FIXED_KEYS
            .map(|key| file.get(key).cloned().unwrap_or_default())
            .to_vec(),
    })
}

/// A text, and what it was read from.
struct Setting {
    key: String,
    value: String,
}

impl Setting {
    fn of_key(file: &Fields, key: &str) -> Result<Setting, ConfigurationError> {
        let value = deployment::text(file, key).map_err(FieldError)?;
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
        address.map_err(|_| ConfigurationError::NotAnAddress { key, found: value })
    }
}

/// A key of the file, for which an environment variable may stand.
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
        None => Setting::of_key(file, key),
    }
}

fn parse_seed(file: &Fields) -> Result<u64, ConfigurationError> {
    const NOT_HEX: ConfigurationError = ConfigurationError::Unexpected {
        key: "seed",
        expected: "16 hex digits",
    };
    match file.get("seed") {
        None | Some(Value::Null) => Ok(0),
        Some(Value::String(hex)) => u64::from_str_radix(hex, 16).map_err(|_| NOT_HEX),
        Some(Value::Number(number)) => number.as_u64().ok_or(ConfigurationError::Unexpected {
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
    let events = events.ok_or(ConfigurationError::Unexpected {
        key: "known: notices",
        expected: "an array",
    })?;
    let events = events.iter().map(|event| parse_event(event, names, clock));
    Ok(events.collect::<Result<_, _>>()?)
}

fn parse_limits(file: &Fields, settings: &Fields) -> Result<Limits, ConfigurationError> {
    let empty = Fields::new();
    let of_platform = match file.get("limits") {
        None => &empty,
        Some(limits) => limits.as_object().ok_or(ConfigurationError::Unexpected {
            key: "limits",
            expected: "an object",
        })?,
    };
    let of_deployment = settings.get("Limits").and_then(Value::as_object);
    let of_deployment = of_deployment.unwrap_or(&empty);
    let of_platform = |key, default| {
        whole_or(of_platform, key, default).map_err(|fault| fault.in_section("limits"))
    };
    let sockets = of_platform("sockets", DEFAULT_SOCKETS)?;
    if sockets < MIN_SOCKETS {
        return Err(ConfigurationError::TooFewSockets);
    }
    Ok(Limits {
        memory: of_platform("memory_mb", DEFAULT_MEMORY_MB)? << 20,
        sockets: sockets as usize,
        connect_timeout: span_or(of_deployment, "ConnectTimeout", DEFAULT_CONNECT_TIMEOUT)?,
        idle_close: span_or(of_deployment, "IdleClose", DEFAULT_IDLE_CLOSE)?,
        streams: whole_or(of_deployment, "StreamsPerConn", DEFAULT_STREAMS)? as usize,
        open_requests: whole_or(of_deployment, "MaxOpen", DEFAULT_OPEN_REQUESTS)? as usize,
    })
}

/// A whole number, or its default where it is 0 or missing.
fn whole_or(fields: &Fields, key: &str, default: u64) -> Result<u64, FieldError> {
    let found = deployment::whole(fields, key).map_err(FieldError)?;
    Ok(if found == 0 { default } else { found })
}

/// A span in milliseconds, or its default where it is not positive or missing.
fn span_or(fields: &Fields, key: &str, default: Duration) -> Result<Duration, FieldError> {
    let ms = deployment::number(fields, key).map_err(FieldError)?;
    Ok(if ms > 0.0 {
        deployment::span(ms)
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
        address.map_err(|_| ConfigurationError::NotAnAddress {
            key: key.to_owned(),
            found: found.to_owned(),
        })
    };
    let address_of = |key: &str| {
        let found = deployment::text(file, key).map_err(FieldError)?;
        address(key, found)
    };
    let each = file.get("peers").and_then(Value::as_array);
    let each = each.ok_or(ConfigurationError::Unexpected {
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

fn parse_link_answers(file: &Fields) -> Result<Option<f64>, ConfigurationError> {
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
        Some(found) => found.as_object().ok_or(ConfigurationError::Unexpected {
            key,
            expected: "an object",
        }),
    }
}
