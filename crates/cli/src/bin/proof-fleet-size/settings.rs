//! Names, addresses and the configuration of the routers of one size.

use serde_json::{Value, json};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{SystemTime, UNIX_EPOCH};

pub const ZONES: usize = 4;
pub const PARENTS: usize = 4;
/// Routers of the whole tier at the usual size and at the larger one, of which only some are started; and
/// what all cache servers together can do, for each router of the tier.
const TIER: [usize; 2] = [300, 900];
const CAPACITY_EACH_ROUTER: f64 = 8.0 / 3.0;
const PORT: u16 = 6050;
/// Where nobody listens.
const CLOSED_PORT: u16 = 6049;

/// A block of the loopback range that no other run on this machine uses, held by a listener.
pub struct Block {
    number: u8,
    _held: TcpListener,
}

impl Block {
    /// # Errors
    /// All blocks are taken.
    pub fn take() -> Result<Block, String> {
        let first = std::process::id() % 40;
        for n in 0..40 {
            let number = 160 + ((first + n) % 40) as u8;
            if let Ok(held) = TcpListener::bind((Ipv4Addr::new(127, number, 255, 254), PORT)) {
                return Ok(Block {
                    number,
                    _held: held,
                });
            }
        }
        Err("no block of the loopback range is free".into())
    }

    fn address(&self, third: u8, place: usize, port: u16) -> SocketAddr {
        let [.., high, low] = (place as u32).to_be_bytes();
        SocketAddr::from((Ipv4Addr::new(127, self.number, third + high, low), port))
    }

    pub fn cache_server(&self, place: usize) -> SocketAddr {
        self.address(0, place, PORT)
    }

    pub fn router(&self, place: usize) -> SocketAddr {
        self.address(200, place, PORT)
    }

    pub fn discovery(&self, place: usize) -> SocketAddr {
        self.address(210, place, PORT)
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Tier {
    Cache,
    Parent,
    Origin,
}

/// A server as discovery tells of it.
#[derive(Clone)]
pub struct Listed {
    pub name: String,
    pub address: SocketAddr,
    pub tier: Tier,
    pub zone: usize,
    pub capacity: f64,
    pub born_ms: u64,
}

impl Listed {
    pub fn entry(&self, health: &str) -> Value {
        let (site, class) = match self.tier {
            Tier::Cache => (format!("z{}", self.zone), "cache"),
            Tier::Parent => ("hub".to_owned(), "parent"),
            Tier::Origin => ("hub".to_owned(), "origin"),
        };
        json!({"host": self.name, "dial": self.address.to_string(), "site": site, "class": class,
            "block": 0, "health": health, "share": self.capacity, "born_ms": self.born_ms})
    }

    /// The same, at an address at which connections are refused.
    pub fn refusing(mut self) -> Listed {
        self.address.set_port(CLOSED_PORT);
        self
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis() as u64)
}

fn tier_size(larger: bool) -> usize {
    TIER[usize::from(larger)]
}

/// All servers: cache servers spread over the zones, parents and the origin.
pub fn servers(block: &Block, cache_servers: usize, larger: bool) -> Vec<Listed> {
    let capacity = CAPACITY_EACH_ROUTER * tier_size(larger) as f64 / cache_servers as f64;
    let cache = |n: usize| (format!("c-{n:05}"), Tier::Cache, n % ZONES, capacity);
    let parent = |n: usize| (format!("p-{n}"), Tier::Parent, 0, 100.0);
    let origin = ("o-0".to_owned(), Tier::Origin, 0, 400.0);
    let all = (0..cache_servers)
        .map(cache)
        .chain((0..PARENTS).map(parent))
        .chain([origin]);
    let listed = all
        .enumerate()
        .map(|(place, (name, tier, zone, capacity))| {
            let address = block.cache_server(place);
            Listed {
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

/// The settings of the site.
fn settings(router: usize, larger: bool) -> Value {
    let zones: Vec<String> = (0..ZONES)
        .map(|n| format!("z{n}"))
        .chain(["hub".to_owned()])
        .collect();
    let tier = tier_size(larger);
    let crews: Vec<usize> = [tier / ZONES; ZONES].into_iter().chain([0]).collect();
    json!({
        "Classes": [class("page", "pure"), class("confirm", "side_effect")],
        "FamilyInfo": {"ClassFresh": [12000, 0], "ClassWrite": [false, true], "ClientKbPerS": 8800,
            "CrewByZone": crews, "HomeHub": vec![ZONES; ZONES + 1], "ObeyAfter": 500, "PassThroughOk": true,
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

/// A router's configuration, with the whole list as the first event.
pub fn configuration(
    block: &Block,
    router: usize,
    larger: bool,
    seed: u64,
    listed: &[Listed],
) -> Value {
    let entries: Vec<Value> = listed.iter().map(|server| server.entry("active")).collect();
    let first = json!({"rev": 1, "pool": {"seq": 1, "whole": true, "hosts": entries}});
    json!({"name": format!("n{router}"), "listen": block.router(router).to_string(),
        "seed": format!("{:016x}", seed.wrapping_mul(7919) ^ router as u64),
        "limits": {"cores": 1, "memory_mb": 64, "sockets": 1024},
        "board": block.discovery(router).to_string(),
        "known": {"rev": 1, "notices": [first]}, "settings": settings(router, larger)})
}
