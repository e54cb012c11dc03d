//! The steps of the demo: a start, fills and a hit, a drain, a request to the origin, a rejection,
//! a shutdown.

use crate::client::{Answer, Client, Outcome};
use crate::configuration::{ConfigurationFile, DRAIN_GRACE, ReservedAddress, endpoint};
use crate::discovery::Discovery;
use crate::error::DemoError;
use crate::servers::{Fleet, Retrieval, ServerAnswer, Tier};
use crate::summary::{Step, Summary};
use chalkhall_cli::fleet::program;
use chalkhall_harness::processes::RouterProcess;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const OBJECT: &str = "00000000000000b1";
const ORDER: &str = "00000000000000b2";
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The drain grace, and some time for the router to read the event from its socket.
const CHANGE_EFFECT_DELAY: Duration = DRAIN_GRACE.saturating_add(Duration::from_millis(100));

/// The stand-ins, the router between them, and the results so far.
struct Demo {
    fleet: Rc<Fleet>,
    discovery: Rc<Discovery>,
    router: RouterProcess,
    client: Client,
    requests: u64,
    summary: Summary,
}

/// Runs all steps.
///
/// # Errors
/// The stand-ins or the router could not be started, or the router broke the connection.
pub async fn run() -> Result<Summary, DemoError> {
    let reserved = ReservedAddress::reserve()?;
    let fleet = start_servers(&reserved).await?;
    let (discovery, discovery_address) = Discovery::listen(reserved.any_port()).await?;
    let endpoints: Vec<_> = fleet
        .servers()
        .iter()
        .map(|server| endpoint(server, "active"))
        .collect();
    let file = ConfigurationFile::write(reserved.router(), discovery_address, &endpoints)?;

    let mut demo = Demo::start(&file, reserved.router(), fleet, discovery).await?;
    demo.fills_then_hit().await?;
    demo.drain_of_a_cache().await?;
    demo.request_for_the_origin().await?;
    demo.rejection_without_servers().await?;
    demo.graceful_shutdown().await?;
    Ok(demo.summary)
}

async fn start_servers(reserved: &ReservedAddress) -> Result<Rc<Fleet>, DemoError> {
    let fleet = Rc::new(Fleet::default());
    let servers = [
        ("c1", Tier::Cache),
        ("c2", Tier::Cache),
        ("p1", Tier::Parent),
        ("o1", Tier::Origin),
    ];
    for (name, tier) in servers {
        fleet.start(name, tier, reserved.any_port()).await?;
    }
    Ok(fleet)
}

impl Demo {
    /// Starts the router and waits until it answers `GREEN`.
    async fn start(
        file: &ConfigurationFile,
        address: SocketAddr,
        fleet: Rc<Fleet>,
        discovery: Rc<Discovery>,
    ) -> Result<Demo, DemoError> {
        let begun = Instant::now();
        let executable = std::env::current_exe().map_err(DemoError::Start)?;
        let program = program(&executable.with_file_name("chalkhall"), None);
        let started = RouterProcess::start(&program, file.path(), None, None);
        let mut router = started.map_err(DemoError::Start)?;
        let client = connect_when_healthy(&mut router, address).await?;
        let mut demo = Demo {
            fleet,
            discovery,
            router,
            client,
            requests: 0,
            summary: Summary::default(),
        };
        demo.summary.steps.push(Step {
            action: "start one router, ask HEALTH".to_owned(),
            elapsed: begun.elapsed(),
            observed: "GREEN".to_owned(),
            expected: "GREEN",
            succeeded: true,
        });
        Ok(demo)
    }

    /// Sends a request and records whether `accepts` holds for its outcome and path.
    async fn request(
        &mut self,
        action: &str,
        class: &str,
        object: &str,
        expected: &'static str,
        accepts: impl Fn(Outcome, &[ServerAnswer]) -> bool,
    ) -> Result<(), DemoError> {
        self.requests += 1;
        let id = format!("{:016x}", self.requests);
        let answer = self.client.request(class, &id, object).await?;
        let path = self.fleet.answers_to(&id);
        let succeeded = accepts(answer.outcome, &path);
        let observed = describe(&answer, &path);
        self.summary.steps.push(Step {
            action: action.to_owned(),
            elapsed: answer.elapsed,
            observed,
            expected,
            succeeded,
        });
        Ok(())
    }

    /// An object passes through without being cached at its first request; from the second request
    /// on it is cached.
    async fn fills_then_hit(&mut self) -> Result<(), DemoError> {
        let is_filled =
            |outcome, path: &[ServerAnswer]| outcome == Outcome::Served && path.len() > 1;
        let first = "request an object for the first time";
        let expected = "served by way of a cache that fills from the parent";
        self.request(first, "page", OBJECT, expected, is_filled)
            .await?;
        let second = "the same object again: now it is cached";
        self.request(second, "page", OBJECT, expected, is_filled)
            .await?;
        let third = "the same object once more";
        let hit = |outcome, path: &[ServerAnswer]| {
            outcome == Outcome::Served && path.len() == 1 && path[0].retrieval == Retrieval::Hit
        };
        let expected = "a hit at the cache";
        self.request(third, "page", OBJECT, expected, hit).await?;
        Ok(())
    }

    /// The cache that holds the object drains: after the grace the router asks another cache.
    async fn drain_of_a_cache(&mut self) -> Result<(), DemoError> {
        let id = format!("{:016x}", self.requests);
        let draining = self
            .fleet
            .answers_to(&id)
            .first()
            .map(|answer| answer.server);
        self.publish(|server| Some(server) == draining, "leaving")
            .await;
        let action = format!("drain {}, ask again", draining.unwrap_or("nobody"));
        let elsewhere = move |outcome, path: &[ServerAnswer]| {
            outcome == Outcome::Served && path.iter().all(|answer| Some(answer.server) != draining)
        };
        let expected = "served without the draining cache";
        self.request(&action, "page", OBJECT, expected, elsewhere)
            .await?;
        Ok(())
    }

    /// A class that is never cached, and must not run twice, goes straight to the origin.
    async fn request_for_the_origin(&mut self) -> Result<(), DemoError> {
        let action = "a request with a side effect";
        let at_origin = |outcome, path: &[ServerAnswer]| {
            outcome == Outcome::Served && path.len() == 1 && path[0].server == "o1"
        };
        let expected = "served by the origin, which ran it once";
        self.request(action, "confirm", ORDER, expected, at_origin)
            .await?;
        Ok(())
    }

    /// With no server left the router rejects at once: it is certain that nothing ran.
    async fn rejection_without_servers(&mut self) -> Result<(), DemoError> {
        self.publish(|_| true, "left").await;
        let action = "remove all servers, ask again";
        let rejected =
            |outcome, path: &[ServerAnswer]| outcome == Outcome::Rejected && path.is_empty();
        let expected = "rejected, and no server was asked";
        self.request(action, "page", OBJECT, expected, rejected)
            .await?;
        Ok(())
    }

    /// On SIGTERM, the router answers `RED` to clients that are still connected, and exits with
    /// code 0.
    async fn graceful_shutdown(&mut self) -> Result<(), DemoError> {
        let begun = Instant::now();
        self.router.terminate();
        while self.client.is_healthy().await? {
            sleep(POLL_INTERVAL).await;
        }
        let status = loop {
            match self.router.exit_status() {
                Some(status) => break status,
                None => sleep(POLL_INTERVAL).await,
            }
        };
        self.summary.steps.push(Step {
            action: "SIGTERM".to_owned(),
            elapsed: begun.elapsed(),
            observed: format!("RED, then {status}"),
            expected: "RED, then exit code 0",
            succeeded: status.success(),
        });
        Ok(())
    }

    /// Publishes the health of some servers, and waits until the router must act on it.
    async fn publish(&self, is_affected: impl Fn(&str) -> bool, health: &str) {
        let servers = self.fleet.servers();
        let affected = servers.iter().filter(|server| is_affected(server.name));
        let endpoints: Vec<_> = affected.map(|server| endpoint(server, health)).collect();
        self.discovery.publish(&endpoints).await;
        sleep(CHANGE_EFFECT_DELAY).await;
    }
}

async fn connect_when_healthy(
    router: &mut RouterProcess,
    address: SocketAddr,
) -> Result<Client, DemoError> {
    loop {
        if let Some(status) = router.exit_status() {
            return Err(DemoError::ExitedEarly(status));
        }
        // Connections are refused until the router listens.
        if let Ok(mut client) = Client::connect(address).await
            && client.is_healthy().await.unwrap_or(false)
        {
            return Ok(client);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// The outcome and the path of the object, as in `served: c1 (filled) <- p1 (filled) <- o1 (hit)`.
fn describe(answer: &Answer, path: &[ServerAnswer]) -> String {
    let outcome = match answer.outcome {
        Outcome::Served => "served",
        Outcome::Rejected => "rejected",
        Outcome::Failed => "failed",
    };
    if path.is_empty() {
        return format!("{outcome}, no server was asked");
    }
    let hops = path
        .iter()
        .map(|answer| format!("{} ({})", answer.server, answer.retrieval.keyword()));
    format!("{outcome}: {}", hops.collect::<Vec<_>>().join(" <- "))
}
