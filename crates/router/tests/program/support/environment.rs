//! What surrounds a router under test: its configuration, its servers and discovery.

use super::fake_discovery::FakeDiscovery;
use super::fake_server::{FakeServer, LineConnection};
use super::loopback::*;
use super::router_process::RouterProcess;
use super::settings::default_settings;
use super::test_client::TestClient;
use super::wait::*;
use serde_json::{Value, json};
use std::fs::File;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};

/// `O_NONBLOCK`, for `open`: fails where it would wait.
const NONBLOCK: i32 = 0o4000;

/// The configuration of a router and the fakes around it; a test changes them before the start.
pub struct TestEnvironment {
    pub discovery: FakeDiscovery,
    pub servers: Vec<FakeServer>,
    /// The configuration file.
    pub file: Value,
    /// The operator's file; empty: there is none.
    pub directives: String,
    /// The shell command that starts the router, where it is not the program by itself.
    pub command_override: Option<String>,
    listen: SocketAddr,
    dir: PathBuf,
}

/// Starts a router in the default environment and connects a client to it.
pub fn start_router() -> (TestEnvironment, RouterProcess, TestClient) {
    start_router_in(TestEnvironment::new())
}

/// Starts a router with directives in the operator's file and connects a client to it.
pub fn start_router_with(directives: &str) -> (TestEnvironment, RouterProcess, TestClient) {
    start_router_in(TestEnvironment::new().with_directives(directives))
}

/// Starts a router in an environment and connects a client to it.
pub fn start_router_in(
    mut environment: TestEnvironment,
) -> (TestEnvironment, RouterProcess, TestClient) {
    let router = environment.start();
    let client = router.connect();
    (environment, router, client)
}

/// Builders: what differs from the default environment.
impl TestEnvironment {
    /// A cache server `c1`, a parent `p1` and the origin `o1`.
    pub fn new() -> TestEnvironment {
        let servers = vec![
            FakeServer::new("c1", "cache"),
            FakeServer::new("p1", "parent"),
            FakeServer::new("o1", "origin"),
        ];
        let discovery = FakeDiscovery::new();
        let listen = unused_address();
        let file = json!({"name": "n1", "listen": listen.to_string(), "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1, "memory_mb": 192, "sockets": 1024},
            "board": discovery.address().to_string(),
            "known": null, "settings": default_settings()});
        TestEnvironment {
            discovery,
            servers,
            file,
            directives: String::new(),
            command_override: None,
            listen,
            dir: new_directory(),
        }
    }

    /// A setting of a group, such as `with_setting("Limits", "ConnectTimeout", 100)`.
    pub fn with_setting(mut self, group: &str, name: &str, value: impl Into<Value>) -> Self {
        self.file["settings"][group][name] = value.into();
        self
    }

    /// A limit of the machine, such as `with_machine_limit("sockets", 512)`.
    pub fn with_machine_limit(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.file["limits"][name] = value.into();
        self
    }

    /// One more server.
    pub fn with_server(mut self, name: &str, kind: &'static str) -> Self {
        self.servers.push(FakeServer::new(name, kind));
        self
    }

    /// Lines of the operator's file.
    pub fn with_directives(mut self, directives: &str) -> Self {
        self.directives = directives.to_owned();
        self
    }

    /// The endpoints that the configuration lists, where they are not all servers as `active`.
    pub fn with_known_endpoints(mut self, endpoints: &[Value]) -> Self {
        self.file["known"] =
            json!({"rev": 1, "notices": [{"rev": 1, "pool": {"whole": true, "hosts": endpoints}}]});
        self
    }
}

/// An environment in which nothing can be sent anywhere, since every server drains: whatever is
/// requested is rejected at once.
pub fn all_servers_draining() -> TestEnvironment {
    let environment = TestEnvironment::new();
    let entries: Vec<Value> = environment
        .servers
        .iter()
        .map(|s| s.entry("leaving"))
        .collect();
    environment.with_known_endpoints(&entries)
}

/// Changes and starts.
impl TestEnvironment {
    /// The server of a name.
    pub fn server(&self, name: &str) -> &FakeServer {
        self.servers.iter().find(|s| s.name == name).unwrap()
    }

    /// Where the configuration file is.
    pub fn configuration_path(&self) -> PathBuf {
        self.dir.join("told.json")
    }

    /// Writes the configuration file anew, as a deployment that replaces it does.
    pub fn write_configuration(&self) {
        std::fs::write(self.configuration_path(), self.file.to_string()).unwrap();
    }

    /// Adds an event to those that the configuration knows, as its latest revision.
    pub fn push_known_event(&mut self, revision: u64, event: &str) {
        let event: Value = serde_json::from_str(event).unwrap();
        self.file["known"]["rev"] = json!(revision);
        let notices = self.file["known"]["notices"].as_array_mut().unwrap();
        notices.push(event);
    }

    /// Replaces the discovery service by one at another address, in the configuration too.
    pub fn move_discovery(&mut self) {
        self.discovery = FakeDiscovery::new();
        self.file["board"] = json!(self.discovery.address().to_string());
    }

    fn list_known_endpoints(&mut self) {
        if self.file["known"].is_null() {
            let entries: Vec<Value> = self.servers.iter().map(|s| s.entry("active")).collect();
            let first = json!({"rev": 1, "pool": {"seq": 1, "whole": true, "hosts": entries}});
            self.file["known"] = json!({"rev": 1, "notices": [first]});
        }
    }

    /// Starts the router and waits until it is ready.
    pub fn start(&mut self) -> RouterProcess {
        let router = self.spawn("");
        router.wait_until_ready();
        router
    }

    /// Starts the router, after shell commands that set its limits (`ulimit -n 48;`) if any.
    pub fn spawn(&mut self, limits: &str) -> RouterProcess {
        self.list_known_endpoints();
        self.write_configuration();
        self.run(limits)
    }

    /// Starts the router and blocks it as it reads its configuration, until that is written to
    /// the returned pipe.
    pub fn spawn_blocked_on_its_configuration(&mut self) -> (RouterProcess, File) {
        self.list_known_endpoints();
        let made = Command::new("mkfifo")
            .arg(self.configuration_path())
            .status();
        assert!(made.unwrap().success());
        let (router, mut pipe) = (self.run(""), None);
        until("a reader of the configuration", || {
            // Without a wait: nobody can be written to before the router reads.
            pipe = File::options()
                .write(true)
                .custom_flags(NONBLOCK)
                .open(self.configuration_path())
                .ok();
            pipe.is_some()
        });
        (router, pipe.unwrap())
    }

    fn run(&mut self, limits: &str) -> RouterProcess {
        let path = self.configuration_path();
        let mut run = format!("{limits} exec {}", env!("CARGO_BIN_EXE_chalkhall-router"));
        if !self.directives.is_empty() {
            let operators = self.dir.join("chalkhall.conf");
            std::fs::write(&operators, &self.directives).unwrap();
            run += &format!(" {}", operators.display());
        }
        let run = self.command_override.clone().unwrap_or(run);
        let mut command = Command::new("/bin/sh");
        command.args(["-c", &run]).env("ROUTER_CONFIG", &path);
        let child = command
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        RouterProcess::new(child, self.listen)
    }

    /// Waits for the first connection to any server; the server's name and the connection.
    pub fn accept_from_any_server(&self) -> (&str, LineConnection) {
        let mut found = None;
        until("a connection to any server", || {
            found = self
                .servers
                .iter()
                .find_map(|s| Some((s.name.as_str(), s.try_accept()?)));
            found.is_some()
        });
        found.unwrap()
    }

    /// No server has been connected to that has not been accepted.
    pub fn no_server_was_connected_to(&self) -> bool {
        self.servers.iter().all(|s| s.try_accept().is_none())
    }
}

impl Drop for TestEnvironment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// A directory of one environment.
fn new_directory() -> PathBuf {
    static LAST: AtomicU32 = AtomicU32::new(0);
    let name = format!(
        "chalkhall-router-{}-{}",
        std::process::id(),
        LAST.fetch_add(1, Ordering::Relaxed)
    );
    let dir = std::env::temp_dir().join(name);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}
