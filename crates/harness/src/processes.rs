//! Router processes as children of this process. They are started and signalled by process id, and none
//! outlives this process: each is started through a small starter mode of this program, which asks the
//! kernel to kill it when its parent dies and then executes the router.

use rustix::process::{
    Pid, Resource, Signal, getrlimit, kill_process, set_parent_process_death_signal,
};
use std::ffi::OsString;
use std::fs::File;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::thread;

/// Upper bound of one router's resident memory, and the descriptors that this process needs per router
/// and beside them.
const ROUTER_MB: u64 = 14;
const DESCRIPTORS_PER_ROUTER: u64 = 40;
const DESCRIPTORS_OTHER: u64 = 1000;

/// Replaces this process with PROGRAM, which the kernel kills when its parent dies.
///
/// # Errors
/// Returns only if that failed.
pub fn exec_as_child(
    parent: u32,
    command: &[OsString],
) -> Result<std::convert::Infallible, String> {
    let [program, arguments @ ..] = command else {
        return Err("no program given".into());
    };
    set_parent_process_death_signal(Some(Signal::KILL)).map_err(|e| e.to_string())?;
    // A parent that died before the call above no longer triggers the signal.
    if std::os::unix::process::parent_id() != parent {
        return Err("the parent process has already ended".into());
    }
    let error = Command::new(program).args(arguments).exec();
    Err(format!("{}: {error}", program.display()))
}

/// Refuses a fleet that exceeds the machine's descriptor limit or available memory.
///
/// # Errors
/// The message names the limit and the amount needed.
pub fn check_machine_limits(routers: usize) -> Result<(), String> {
    let routers = routers as u64;
    let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let needed = routers * DESCRIPTORS_PER_ROUTER + DESCRIPTORS_OTHER;
    if descriptors < needed {
        return Err(format!(
            "{routers} routers need {needed} descriptors here, the limit is {descriptors} (ulimit -n)"
        ));
    }
    let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let available = memory
        .lines()
        .find_map(|line| line.strip_prefix("MemAvailable:"));
    let available = available.and_then(|kb| kb.split_whitespace().next()?.parse::<u64>().ok());
    match available.map(|kb| kb / 1024) {
        Some(mb) if mb < routers * ROUTER_MB => Err(format!(
            "{routers} routers need up to {} MB of memory, {mb} MB are available",
            routers * ROUTER_MB
        )),
        _ => Ok(()),
    }
}

/// How a router is started: the starter command, followed by the router's own command.
#[derive(Clone, Debug)]
pub struct RouterCommand {
    /// This program with the arguments that lead to [`exec_as_child`].
    pub starter: Vec<OsString>,
    pub router: Vec<OsString>,
}

pub struct RouterProcess {
    child: Child,
    exit_status: Option<ExitStatus>,
    frozen: bool,
}

impl RouterProcess {
    /// # Errors
    /// The operating system's error.
    pub fn start(
        program: &RouterCommand,
        config: &Path,
        directives: Option<&Path>,
        log: Option<File>,
    ) -> std::io::Result<RouterProcess> {
        let (first, rest) = program
            .starter
            .split_first()
            .ok_or(std::io::ErrorKind::InvalidInput)?;
        let mut command = Command::new(first);
        command
            .args(rest)
            .arg(std::process::id().to_string())
            .args(&program.router);
        command.args(directives).env("ROUTER_CONFIG", config);
        command
            .env_remove("ROUTER_NAME")
            .env_remove("ROUTER_LISTEN");
        command.stdin(Stdio::null()).stdout(Stdio::null());
        command.stderr(log.map_or_else(Stdio::null, Stdio::from));
        Ok(RouterProcess {
            child: command.spawn()?,
            exit_status: None,
            frozen: false,
        })
    }

    /// The process id, valid until the process has been waited for.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        if self.exit_status.is_none()
            && let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw)
        {
            // The process may have ended, but its id is not reused until it has been waited for.
            let _ = kill_process(pid, signal);
        }
    }

    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.exit_status = self.exit_status.or_else(|| self.child.wait().ok());
    }

    pub fn terminate(&mut self) {
        self.thaw();
        self.signal(Signal::TERM);
    }

    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    pub fn freeze(&mut self) {
        self.frozen = true;
        self.signal(Signal::STOP);
    }

    pub fn thaw(&mut self) {
        if std::mem::take(&mut self.frozen) {
            self.signal(Signal::CONT);
        }
    }

    /// The exit status, if the process has ended.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.exit_status = self
            .exit_status
            .or_else(|| self.child.try_wait().ok().flatten());
        self.exit_status
    }
}

/// A request to start a router; its configuration file is written before the start.
pub struct StartRequest {
    pub router: usize,
    /// Number of this start of the router; the result of an outdated start is dropped.
    pub incarnation: u32,
    pub config: PathBuf,
    pub config_text: String,
    pub directives: PathBuf,
    pub log: Option<PathBuf>,
}

enum Task {
    Start(Box<StartRequest>),
    Reap(RouterProcess),
}

/// Starts and reaps processes on its own thread: writing files, starting processes and waiting for
/// killed ones blocks for long when there are a hundred at once. Children die with the thread that
/// started them, so the thread lives as long as they do.
pub struct Starter {
    tasks: mpsc::Sender<Task>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Starter {
    /// `started` is called with the result of each start.
    pub fn new(
        program: RouterCommand,
        started: impl Fn(usize, u32, Result<RouterProcess, String>) + Send + 'static,
    ) -> Starter {
        let (tasks, received) = mpsc::channel();
        let thread = thread::spawn(move || {
            for task in received {
                match task {
                    Task::Start(request) => started(
                        request.router,
                        request.incarnation,
                        start(&program, &request),
                    ),
                    Task::Reap(router) => drop(router),
                }
            }
        });
        Starter {
            tasks,
            thread: Some(thread),
        }
    }

    pub fn start(&self, wanted: StartRequest) {
        // The thread runs until this value is dropped, so the channel is open.
        let _ = self.tasks.send(Task::Start(Box::new(wanted)));
    }

    /// Kills the router now; the starter thread waits for its end.
    pub fn kill(&self, router: RouterProcess) {
        router.signal(Signal::KILL);
        let _ = self.tasks.send(Task::Reap(router));
    }
}

impl Drop for Starter {
    fn drop(&mut self) {
        self.tasks = mpsc::channel().0;
        let _ = self.thread.take().map(thread::JoinHandle::join);
    }
}

fn start(program: &RouterCommand, wanted: &StartRequest) -> Result<RouterProcess, String> {
    let config = &wanted.config;
    std::fs::write(config, &wanted.config_text)
        .map_err(|e| format!("{}: {e}", config.display()))?;
    let log = wanted
        .log
        .as_ref()
        .map(|path| File::options().create(true).append(true).open(path))
        .transpose();
    let log = log.map_err(|e| format!("logs: {e}"))?;
    let child = RouterProcess::start(program, config, Some(&wanted.directives), log);
    child.map_err(|e| format!("cannot start a router: {e}"))
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

#[cfg(test)]
mod tests;
