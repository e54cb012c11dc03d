//! The environment of a router under test: its configuration, its fake servers and fake discovery
//! service.

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

/// `O_NONBLOCK`: an `open` that would block fails instead.
const NONBLOCK: i32 = 0o4000;

/// The configuration of a router and the fakes that it talks to; a test adjusts them before the
/// router starts.
pub struct TestEnvironment {
    pub discovery: FakeDiscovery,
    pub servers: Vec<FakeServer>,
    /// The content of the configuration file.
    pub file: Value,
    /// The content of the operator's file; if empty, the router is started without one.
    pub directives: String,
    /// A shell command that starts the router instead of the default one.
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

/// Builders that change the default environment.
impl TestEnvironment {
    /// The default environment: a cache server `c1`, a parent `p1` and the origin `o1`.
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

    /// Sets a setting of a group, such as `with_setting("Limits", "ConnectTimeout", 100)`.
    pub fn with_setting(mut self, group: &str, name: &str, value: impl Into<Value>) -> Self {
        self.file["settings"][group][name] = value.into();
        self
    }

    /// Sets a limit of the machine, such as `with_machine_limit("sockets", 512)`.
    pub fn with_machine_limit(mut self, name: &str, value: impl Into<Value>) -> Self {
        self.file["limits"][name] = value.into();
        self
    }

    /// Adds a server.
    pub fn with_server(mut self, name: &str, kind: &'static str) -> Self {
        self.servers.push(FakeServer::new(name, kind));
        self
    }

    /// Sets the content of the operator's file.
    pub fn with_directives(mut self, directives: &str) -> Self {
        self.directives = directives.to_owned();
        self
    }

    /// Sets the endpoint list of the configuration; by default it has every server as `active`.
    pub fn with_known_endpoints(mut self, endpoints: &[Value]) -> Self {
        self.file["known"] =
            json!({"rev": 1, "notices": [{"rev": 1, "pool": {"whole": true, "hosts": endpoints}}]});
        self
    }
}

/// An environment in which every server drains: all requests are rejected at once.
pub fn all_servers_draining() -> TestEnvironment {
    let environment = TestEnvironment::new();
    let entries: Vec<Value> = environment
        .servers
        .iter()
        .map(|s| s.entry("leaving"))
        .collect();
    environment.with_known_endpoints(&entries)
}

/// Changes to the environment, and starts of the router.
impl TestEnvironment {
    /// The server with this name.
    pub fn server(&self, name: &str) -> &FakeServer {
        self.servers.iter().find(|s| s.name == name).unwrap()
    }

    /// The path of the configuration file.
    pub fn configuration_path(&self) -> PathBuf {
        self.dir.join("told.json")
    }

    /// Writes the configuration file, replacing an earlier one as a deployment does.
    pub fn write_configuration(&self) {
        std::fs::write(self.configuration_path(), self.file.to_string()).unwrap();
    }

    /// Adds an event to the known events of the configuration, as its latest revision.
    pub fn push_known_event(&mut self, revision: u64, event: &str) {
        let event: Value = serde_json::from_str(event).unwrap();
        self.file["known"]["rev"] = json!(revision);
        let notices = self.file["known"]["notices"].as_array_mut().unwrap();
        notices.push(event);
    }

    /// Replaces the discovery service by one at another address, also in the configuration.
    pub fn move_discovery(&mut self) {
        self.discovery = FakeDiscovery::new();
        self.file["board"] = json!(self.discovery.address().to_string());
    }

    /// Lists every server as `active` in the configuration unless a test has set the list.
    fn fill_known_endpoints(&mut self) {
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

    /// Starts the router without waiting for it; `limits` are shell commands that are run first,
    /// such as `ulimit -n 48;`, or empty.
    pub fn spawn(&mut self, limits: &str) -> RouterProcess {
        self.fill_known_endpoints();
        self.write_configuration();
        self.run(limits)
    }

    /// Starts the router with a pipe as its configuration file: it blocks until the test writes the
    /// configuration to the returned pipe.
    pub fn spawn_blocked_reading_configuration(&mut self) -> (RouterProcess, File) {
        self.fill_known_endpoints();
        let status = Command::new("mkfifo")
            .arg(self.configuration_path())
            .status();
        assert!(status.unwrap().success());
        let (router, mut pipe) = (self.run(""), None);
        wait_until("the router to open its configuration", || {
            // Non-blocking: the open fails until the router has the pipe open for reading.
            pipe = File::options()
                .write(true)
                .custom_flags(NONBLOCK)
                .open(self.configuration_path())
                .ok();
            pipe.is_some()
        });
        (router, pipe.unwrap())
    }

    /// Runs the router by the shell, with the operator's file if there is one.
    fn run(&mut self, limits: &str) -> RouterProcess {
        let path = self.configuration_path();
        let mut default_command =
            format!("{limits} exec {}", env!("CARGO_BIN_EXE_chalkhall-router"));
        if !self.directives.is_empty() {
            let operators_file = self.dir.join("chalkhall.conf");
            std::fs::write(&operators_file, &self.directives).unwrap();
            default_command += &format!(" {}", operators_file.display());
        }
        let shell_command = self.command_override.clone().unwrap_or(default_command);
        let mut command = Command::new("/bin/sh");
        command
            .args(["-c", &shell_command])
            .env("ROUTER_CONFIG", &path);
        let child = command
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        RouterProcess::new(child, self.listen)
    }

    /// Waits for the first connection to any server; returns the server's name and the connection.
    pub fn accept_from_any_server(&self) -> (&str, LineConnection) {
        let mut found = None;
        wait_until("a connection to any server", || {
            found = self
                .servers
                .iter()
                .find_map(|s| Some((s.name.as_str(), s.try_accept()?)));
            found.is_some()
        });
        found.unwrap()
    }

    /// No server has a connection that waits to be accepted.
    pub fn no_server_has_a_new_connection(&self) -> bool {
        self.servers.iter().all(|s| s.try_accept().is_none())
    }
}

impl Drop for TestEnvironment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

/// Creates a directory for one environment.
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
