//! Fleets of real routers on loopback: `chalkhall fleet play|check|compare|words`.

use crate::Failure;
use crate::arguments::RunOptions;
use chalkhall_harness::children::{Program, become_child};
use chalkhall_harness::play::{PLAY, Play};
use chalkhall_harness::run::{Setup, Shown};
use chalkhall_harness::{play as plays, report, run};
use serde_json::json;
use std::ffi::OsString;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};

/// Exit code of an inconclusive run: the machine was too busy for its results to count.
const VOID_EXIT_CODE: u8 = 3;

/// The command that runs a router: `chalkhall serve`, or another program whose only argument is the operator's
/// file.
pub fn program(chalkhall: &Path, router: Option<&Path>) -> Program {
    let own = chalkhall.as_os_str().to_owned();
    let command = match router {
        Some(router) => vec![router.as_os_str().to_owned()],
        None => vec![own.clone(), "serve".into()],
    };
    Program {
        starter: vec![own, "fleet-child".into()],
        router: command,
    }
}

/// Runs a scenario on its own runtime.
///
/// # Errors
/// The scenario could not be run.
pub fn played(play: &Play, setup: Setup) -> Result<Shown, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Failure::new)?;
    tokio::task::LocalSet::new()
        .block_on(&runtime, run::play(play, setup))
        .map_err(Failure::new)
}

fn setup(options: &RunOptions) -> Result<Setup, Failure> {
    options
        .logs
        .as_deref()
        .map(run::logs)
        .transpose()
        .map_err(Failure::new)?;
    let own = std::env::current_exe().map_err(Failure::new)?;
    let program = program(&own, options.router.as_deref());
    Ok(Setup {
        program,
        seed: options.seed,
        logs: options.logs.clone(),
        progress: std::io::stderr().is_terminal(),
    })
}

fn read(file: &Path) -> Result<Play, Failure> {
    let (play, faults) = plays::read(file);
    let semantic_faults = play
        .faults_of_sense()
        .into_iter()
        .map(|what| format!("{}: {what}", file.display()));
    let all: Vec<String> = faults
        .iter()
        .map(ToString::to_string)
        .chain(semantic_faults)
        .collect();
    if all.is_empty() {
        Ok(play)
    } else {
        Err(Failure::new(all.join("\nchalkhall: ")))
    }
}

/// Runs a scenario and prints its figures.
///
/// # Errors
/// The requirements that were missed, or why the run is inconclusive.
pub fn play(
    file: &Path,
    options: &RunOptions,
    html: Option<&Path>,
    json: bool,
) -> Result<(), Failure> {
    let play = read(file)?;
    let result = played(&play, setup(options)?)?;
    let missed = report::short(&result, &play.must);
    if json {
        println!("{}", report::json(&result, &missed));
    } else {
        println!("{}", report::line(&result));
    }
    result
        .words
        .iter()
        .for_each(|what| eprintln!("rule: {what}"));
    if let Some(html) = html {
        let name = file
            .file_stem()
            .map_or_else(String::new, |name| name.to_string_lossy().into_owned());
        let page = report::html(&name, &play, &result, &missed).map_err(Failure::new)?;
        std::fs::write(html, page).map_err(|e| Failure::new(format!("{}: {e}", html.display())))?;
    }
    match (result.void, missed.is_empty()) {
        (Some(what), _) => Err(Failure {
            code: VOID_EXIT_CODE,
            what: format!("the run is inconclusive: {what}"),
        }),
        (None, false) => Err(Failure::new(format!("falls short: {}", missed.join("; ")))),
        (None, true) => Ok(()),
    }
}

/// Checks scenario files.
///
/// # Errors
/// All faults of all files.
pub fn check(files: &[PathBuf]) -> Result<(), Failure> {
    let faults: Vec<String> = files
        .iter()
        .filter_map(|file| read(file).err())
        .map(|failure| failure.what)
        .collect();
    if faults.is_empty() {
        Ok(())
    } else {
        Err(Failure::new(faults.join("\nchalkhall: ")))
    }
}

/// Runs a scenario unchanged and with each alternative directive or program, on the same seeds.
///
/// # Errors
/// A run failed.
pub fn compare(
    file: &Path,
    options: &RunOptions,
    with: &[String],
    and: &[PathBuf],
    seeds: u64,
) -> Result<(), Failure> {
    let play = read(file)?;
    let mut variants: Vec<(String, Play, Option<PathBuf>)> =
        vec![("unchanged".into(), play.clone(), options.router.clone())];
    for line in with {
        let Some((section, rest)) = line.split_once(' ') else {
            return Err(Failure {
                code: 2,
                what: format!("{line:?} does not start with a section"),
            });
        };
        let mut other = play.clone();
        let name = rest.split(' ').next().unwrap_or_default();
        let is_same = |(s, l): &(String, String)| s == section && l.split(' ').next() == Some(name);
        other
            .fleet
            .directives
            .retain(|directive| !is_same(directive));
        other
            .fleet
            .directives
            .push((section.to_owned(), rest.to_owned()));
        variants.push((line.clone(), other, options.router.clone()));
    }
    variants.extend(
        and.iter()
            .map(|path| (path.display().to_string(), play.clone(), Some(path.clone()))),
    );
    for seed in options.seed..options.seed + seeds {
        for (name, play, router) in &variants {
            let options = RunOptions {
                seed,
                router: router.clone(),
                logs: options.logs.clone(),
            };
            let result = played(play, setup(&options)?)?;
            let void = result
                .void
                .as_ref()
                .map_or(String::new(), |what| format!(" void: {what}"));
            println!("{name}: {}{void}", report::line(&result));
        }
    }
    Ok(())
}

/// Prints all directives of scenario files.
pub fn words(json: bool) {
    let entries = PLAY.entries().iter();
    if json {
        let all: Vec<_> = entries
            .map(
                |e| json!({"section": e.section, "name": e.name, "takes": e.usage, "says": e.help}),
            )
            .collect();
        println!("{}", json!(all));
        return;
    }
    for entry in entries {
        println!(
            "{:8} {} {}\n         {}",
            entry.section, entry.name, entry.usage, entry.help
        );
    }
}

/// Replaces this process by a router that is killed when its parent ends.
///
/// # Errors
/// The program could not be executed.
pub fn child(parent: u32, command: &[OsString]) -> Result<(), Failure> {
    become_child(parent, command)
        .map(|never| match never {})
        .map_err(Failure::new)
}
