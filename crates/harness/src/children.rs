//! Router processes as children of this one: started, signalled by their own process ids alone, and never
//! left behind: each is begun by a starter of this program that asks the kernel to kill it when its parent
//! dies, and becomes the router then.

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

/// What a router takes at most, by measure, and the descriptors that this process needs for it.
const ROUTER_MB: u64 = 14;
const DESCRIPTORS_PER_ROUTER: u64 = 40;
const DESCRIPTORS_OTHER: u64 = 1000;

/// Turns this process into PROGRAM, which dies with its parent.
///
/// # Errors
/// Only returns where that failed.
pub fn become_child(parent: u32, command: &[OsString]) -> Result<std::convert::Infallible, String> {
    let [program, arguments @ ..] = command else {
        return Err("no program was named".into());
    };
    set_parent_process_death_signal(Some(Signal::KILL)).map_err(|e| e.to_string())?;
    // A parent that died before that call sends no signal any more.
    if std::os::unix::process::parent_id() != parent {
        return Err("who started this is gone".into());
    }
    let what = Command::new(program).args(arguments).exec();
    Err(format!("{}: {what}", program.display()))
}

/// Refuses what the machine cannot hold, naming the figure that falls short.
///
/// # Errors
/// In words.
pub fn check_machine_limits(routers: usize) -> Result<(), String> {
    let routers = routers as u64;
    let descriptors = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let wanted = routers * DESCRIPTORS_PER_ROUTER + DESCRIPTORS_OTHER;
    if descriptors < wanted {
        return Err(format!(
            "{routers} routers need {wanted} descriptors here, the limit is {descriptors} (ulimit -n)"
        ));
    }
    let memory = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let available = memory
        .lines()
        .find_map(|line| line.strip_prefix("MemAvailable:"));
    let available = available.and_then(|kb| kb.split_whitespace().next()?.parse::<u64>().ok());
    match available.map(|kb| kb / 1024) {
        Some(mb) if mb < routers * ROUTER_MB => Err(format!(
            "{routers} routers take up to {} MB, {mb} MB are there",
            routers * ROUTER_MB
        )),
        _ => Ok(()),
    }
}

/// How a router is started: the starter with the router's own command behind it.
#[derive(Clone, Debug)]
pub struct Program {
    /// This program, by which [`become_child`] is reached, and the words that lead there.
    pub starter: Vec<OsString>,
    pub router: Vec<OsString>,
}

pub struct Router {
    child: Child,
    ended: Option<ExitStatus>,
    frozen: bool,
}

impl Router {
    /// # Errors
    /// Of the system.
    pub fn start(
        program: &Program,
        config: &Path,
        directives: Option<&Path>,
        log: Option<File>,
    ) -> std::io::Result<Router> {
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
        Ok(Router {
            child: command.spawn()?,
            ended: None,
            frozen: false,
        })
    }

    /// The id of its process, for as long as it has not been waited for.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        if self.ended.is_none()
            && let Some(pid) = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw)
        {
            // It may have ended meanwhile; its id is not given to another before it was waited for.
            let _ = kill_process(pid, signal);
        }
    }

    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        self.ended = self.ended.or_else(|| self.child.wait().ok());
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

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.ended = self.ended.or_else(|| self.child.try_wait().ok().flatten());
        self.ended
    }
}

/// A router that is wanted: its files, which are written before it starts.
pub struct StartRequest {
    pub router: usize,
    /// Which of its lives this is: a late start of an earlier one is dropped.
    pub incarnation: u32,
    pub config: PathBuf,
    pub config_text: String,
    pub directives: PathBuf,
    pub log: Option<PathBuf>,
}

enum Task {
    Start(Box<StartRequest>),
    Reap(Router),
}

/// Starts and buries on a thread of its own: writing files, starting and waiting for what was killed take
/// long when there are a hundred at once. Children die with the thread that started them, so it lives as long
/// as they do.
pub struct Starter {
    tasks: mpsc::Sender<Task>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Starter {
    /// `started` hears of each.
    pub fn new(
        program: Program,
        started: impl Fn(usize, u32, Result<Router, String>) + Send + 'static,
    ) -> Starter {
        let (tasks, taken) = mpsc::channel();
        let thread = thread::spawn(move || {
            for order in taken {
                match order {
                    Task::Start(wanted) => {
                        started(wanted.router, wanted.incarnation, start(&program, &wanted))
                    }
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
        // The thread is there until this is dropped.
        let _ = self.tasks.send(Task::Start(Box::new(wanted)));
    }

    /// Kills it now, and waits for it elsewhere.
    pub fn kill(&self, router: Router) {
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

fn start(program: &Program, wanted: &StartRequest) -> Result<Router, String> {
    let config = &wanted.config;
    std::fs::write(config, &wanted.config_text)
        .map_err(|e| format!("{}: {e}", config.display()))?;
    let log = wanted
        .log
        .as_ref()
        .map(|path| File::options().create(true).append(true).open(path))
        .transpose();
    let log = log.map_err(|e| format!("logs: {e}"))?;
    let child = Router::start(program, config, Some(&wanted.directives), log);
    child.map_err(|e| format!("a router could not be started: {e}"))
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

#[cfg(test)]
mod tests;
