//! Names, addresses and router configurations at one size.

use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{SystemTime, UNIX_EPOCH};

pub const ZONES: usize = 4;
pub const PARENTS: usize = 4;
/// Routers of the whole tier at the base size and at the larger size. Only some of them are started.
const TIER_ROUTERS: [usize; 2] = [300, 900];
/// Capacity of all cache servers together, for each router of the tier.
const CAPACITY_PER_ROUTER: f64 = 8.0 / 3.0;
const PORT: u16 = 6050;
/// A port at which nothing listens.
const CLOSED_PORT: u16 = 6049;

/// A block of the loopback range that no other run on this machine uses, reserved by a listener.
pub struct AddressBlock {
    second_octet: u8,
    _lock: TcpListener,
}

impl AddressBlock {
    /// Reserves a block, starting at one derived from the process id.
    ///
    /// # Errors
    /// All blocks are in use.
    pub fn reserve() -> Result<AddressBlock, String> {
        let first = std::process::id() % 40;
        for n in 0..40 {
            let second_octet = 160 + ((first + n) % 40) as u8;
            if let Ok(lock) = TcpListener::bind((Ipv4Addr::new(127, second_octet, 255, 254), PORT))
            {
                return Ok(AddressBlock {
                    second_octet,
                    _lock: lock,
                });
            }
        }
        Err("no block of the loopback range is free".into())
    }

    fn address(&self, third_octet: u8, index: usize, port: u16) -> SocketAddr {
        let [.., high, low] = (index as u32).to_be_bytes();
        SocketAddr::from((
            Ipv4Addr::new(127, self.second_octet, third_octet + high, low),
            port,
        ))
    }

    pub fn cache_server(&self, index: usize) -> SocketAddr {
        self.address(0, index, PORT)
    }

    pub fn router(&self, index: usize) -> SocketAddr {
        self.address(200, index, PORT)
    }

    pub fn discovery(&self, index: usize) -> SocketAddr {
        self.address(210, index, PORT)
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    Cache,
    Parent,
    Origin,
}

/// A server as discovery lists it.
#[derive(Clone)]
pub struct ListedServer {
    pub name: String,
    pub address: SocketAddr,
    pub tier: Tier,
    pub zone: usize,
    pub capacity: f64,
    pub born_ms: u64,
}

impl ListedServer {
    pub fn entry(&self, health: &str) -> Value {
        let (site, class) = match self.tier {
            Tier::Cache => (format!("z{}", self.zone), "cache"),
            Tier::Parent => ("hub".to_owned(), "parent"),
            Tier::Origin => ("hub".to_owned(), "origin"),
        };
        json!({"host": self.name, "dial": self.address.to_string(), "site": site, "class": class,
            "block": 0, "health": health, "share": self.capacity, "born_ms": self.born_ms})
    }

    /// The same server, at a port at which connections are refused.
    pub fn refusing(mut self) -> ListedServer {
        self.address.set_port(CLOSED_PORT);
        self
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

fn tier_routers(larger: bool) -> usize {
    TIER_ROUTERS[usize::from(larger)]
}

/// All servers: cache servers spread over the zones, parents and the origin.
pub fn servers(block: &AddressBlock, cache_servers: usize, larger: bool) -> Vec<ListedServer> {
    let capacity = CAPACITY_PER_ROUTER * tier_routers(larger) as f64 / cache_servers as f64;
    let cache = |n: usize| (format!("c-{n:05}"), Tier::Cache, n % ZONES, capacity);
    let parent = |n: usize| (format!("p-{n}"), Tier::Parent, 0, 100.0);
    let origin = ("o-0".to_owned(), Tier::Origin, 0, 400.0);
    let all = (0..cache_servers)
        .map(cache)
        .chain((0..PARENTS).map(parent))
        .chain([origin]);
    let listed = all
        .enumerate()
        .map(|(index, (name, tier, zone, capacity))| {
            let address = block.cache_server(index);
            ListedServer {
                name,
                address,
                tier,
                zone,
                capacity,
                born_ms: 0,
            }
        });
    listed.collect()
}

fn class(name: &str, effect: &str) -> Value {
    json!({"Name": name, "Effect": effect, "Group": "all", "Window": 5000, "Aim": 500, "AimStretch": 2,
        "HardLimit": 3000, "Worth": 1, "LateWorth": 0.1, "Stream": false})
}

/// The site's settings.
fn settings(router: usize, larger: bool) -> Value {
    let zones: Vec<String> = (0..ZONES)
        .map(|n| format!("z{n}"))
        .chain(["hub".to_owned()])
        .collect();
    let tier = tier_routers(larger);
    let routers_by_zone: Vec<usize> = [tier / ZONES; ZONES].into_iter().chain([0]).collect();
    json!({
        "Classes": [class("page", "pure"), class("confirm", "side_effect")],
        "FamilyInfo": {"ClassFresh": [12000, 0], "ClassWrite": [false, true], "ClientKbPerS": 8800,
            "CrewByZone": routers_by_zone, "HomeHub": vec![ZONES; ZONES + 1], "ObeyAfter": 500, "PassThroughOk": true,
            "ParentFloor": 0.1, "ParentRamp": 20000, "ParentFallMultiple": 2, "PurgeDone": 6000,
            "Says": "all", "ShieldKind": 1, "SourceKind": 2},
        "Granularity": 2, "Kinds": ["cache", "parent", "origin"],
        "Limits": {"ConnectTimeout": 400, "IdleClose": 30000, "MaxAttempts": 8, "MaxOpen": 20000,
            "MaxRetryAfter": 500, "MayCancel": true, "RetryAfter": true, "StreamsPerConn": 100},
        "Locality": router % ZONES, "MyNumber": router, "PeersTotal": tier, "RegistryMode": "push",
        "Zones": zones, "Weights": "nominal",
        "Obligations": {"AnswerSlack": 8, "ColdFrom": 0.3, "DrainGrace": 500, "Fall": 1000,
            "TipMultiple": 2, "WarmWithin": 17000}})
}

/// A router's configuration, with the whole endpoint list as the first event.
pub fn configuration(
    block: &AddressBlock,
    router: usize,
    larger: bool,
    seed: u64,
    listed: &[ListedServer],
) -> Value {
    let entries: Vec<Value> = listed.iter().map(|server| server.entry("active")).collect();
    let first = json!({"rev": 1, "pool": {"seq": 1, "whole": true, "hosts": entries}});
    json!({"name": format!("n{router}"), "listen": block.router(router).to_string(),
        "seed": format!("{:016x}", seed.wrapping_mul(7919) ^ router as u64),
        "limits": {"cores": 1, "memory_mb": 64, "sockets": 1024},
        "board": block.discovery(router).to_string(),
        "known": {"rev": 1, "notices": [first]}, "settings": settings(router, larger)})
}
