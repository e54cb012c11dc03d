//! Fleets of real routers on loopback: `chalkhall fleet play|check|compare|words`.

use crate::Failure;
use crate::arguments::How;
use chalkhall_harness::children::{Program, become_child};
use chalkhall_harness::play::{PLAY, Play};
use chalkhall_harness::run::{Setup, Shown};
use chalkhall_harness::{play as plays, report, run};
use serde_json::json;
use std::ffi::OsString;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};

/// Of a play that is void.
const VOID: u8 = 3;

/// The router as `chalkhall` is it, or another program that takes the operator's file as its one argument.
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

/// Plays it on a runtime of its own.
///
/// # Errors
/// Where it could not be played.
pub fn played(play: &Play, setup: Setup) -> Result<Shown, Failure> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Failure::new)?;
    tokio::task::LocalSet::new()
        .block_on(&runtime, run::play(play, setup))
        .map_err(Failure::new)
}

fn setup(how: &How) -> Result<Setup, Failure> {
    how.logs
        .as_deref()
        .map(run::logs)
        .transpose()
        .map_err(Failure::new)?;
    let own = std::env::current_exe().map_err(Failure::new)?;
    let program = program(&own, how.router.as_deref());
    Ok(Setup {
        program,
        seed: how.seed,
        logs: how.logs.clone(),
        progress: std::io::stderr().is_terminal(),
    })
}

fn read(file: &Path) -> Result<Play, Failure> {
    let (play, faults) = plays::read(file);
    let senseless = play
        .faults_of_sense()
        .into_iter()
        .map(|what| format!("{}: {what}", file.display()));
    let all: Vec<String> = faults
        .iter()
        .map(ToString::to_string)
        .chain(senseless)
        .collect();
    if all.is_empty() {
        Ok(play)
    } else {
        Err(Failure::new(all.join("\nchalkhall: ")))
    }
}

/// # Errors
/// What fell short, or that the play is void.
pub fn play(file: &Path, how: &How, html: Option<&Path>, json: bool) -> Result<(), Failure> {
    let play = read(file)?;
    let shown = played(&play, setup(how)?)?;
    let short = report::short(&shown, &play.must);
    if json {
        println!("{}", report::json(&shown, &short));
    } else {
        println!("{}", report::line(&shown));
    }
    shown
        .words
        .iter()
        .for_each(|what| eprintln!("rule: {what}"));
    if let Some(html) = html {
        let name = file
            .file_stem()
            .map_or_else(String::new, |name| name.to_string_lossy().into_owned());
        let page = report::html(&name, &play, &shown, &short).map_err(Failure::new)?;
        std::fs::write(html, page).map_err(|e| Failure::new(format!("{}: {e}", html.display())))?;
    }
    match (shown.void, short.is_empty()) {
        (Some(what), _) => Err(Failure {
            code: VOID,
            what: format!("the play is void: {what}"),
        }),
        (None, false) => Err(Failure::new(format!("falls short: {}", short.join("; ")))),
        (None, true) => Ok(()),
    }
}

/// # Errors
/// Every fault of every file.
pub fn check(files: &[PathBuf]) -> Result<(), Failure> {
    let wrong: Vec<String> = files
        .iter()
        .filter_map(|file| read(file).err())
        .map(|failure| failure.what)
        .collect();
    if wrong.is_empty() {
        Ok(())
    } else {
        Err(Failure::new(wrong.join("\nchalkhall: ")))
    }
}

/// # Errors
/// Where one could not be played.
pub fn compare(
    file: &Path,
    how: &How,
    with: &[String],
    and: &[PathBuf],
    seeds: u64,
) -> Result<(), Failure> {
    let play = read(file)?;
    let mut ways: Vec<(String, Play, Option<PathBuf>)> =
        vec![("as it is".into(), play.clone(), how.router.clone())];
    for line in with {
        let Some((section, rest)) = line.split_once(' ') else {
            return Err(Failure {
                code: 2,
                what: format!("{line:?} has no section before it"),
            });
        };
        let mut other = play.clone();
        let name = rest.split(' ').next().unwrap_or_default();
        let same = |(s, l): &(String, String)| s == section && l.split(' ').next() == Some(name);
        other.fleet.directives.retain(|directive| !same(directive));
        other
            .fleet
            .directives
            .push((section.to_owned(), rest.to_owned()));
        ways.push((line.clone(), other, how.router.clone()));
    }
    ways.extend(
        and.iter()
            .map(|path| (path.display().to_string(), play.clone(), Some(path.clone()))),
    );
    for seed in how.seed..how.seed + seeds {
        for (name, play, router) in &ways {
            let how = How {
                seed,
                router: router.clone(),
                logs: how.logs.clone(),
            };
            let shown = played(play, setup(&how)?)?;
            let void = shown
                .void
                .as_ref()
                .map_or(String::new(), |what| format!(" void: {what}"));
            println!("{name}: {}{void}", report::line(&shown));
        }
    }
    Ok(())
}

pub fn words(json: bool) {
    let entries = PLAY.entries().iter();
    if json {
        let all: Vec<_> = entries
            .map(
                |e| json!({"section": e.section, "name": e.name, "takes": e.takes, "says": e.says}),
            )
            .collect();
        println!("{}", json!(all));
        return;
    }
    for entry in entries {
        println!(
            "{:8} {} {}\n         {}",
            entry.section, entry.name, entry.takes, entry.says
        );
    }
}

/// # Errors
/// Where it could not become the router.
pub fn child(parent: u32, command: &[OsString]) -> Result<(), Failure> {
    become_child(parent, command)
        .map(|never| match never {})
        .map_err(Failure::new)
}
