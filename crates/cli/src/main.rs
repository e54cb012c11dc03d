//! `chalkhall`: the command-line program for operators.

use chalkhall_cli::arguments::{Cells, Chalkhall, Command, Fleet, Memory, Peers, Regions, Store};
use chalkhall_cli::{Failure, cells, check, fleet, store, torture};
use clap::{CommandFactory, Parser};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

fn main() -> ExitCode {
    let done = match Chalkhall::parse().command {
        Command::Serve { directives } => serve(directives),
        Command::Check { file, json } => check::check(&file, json),
        Command::Directives { json } => {
            check::directives(json);
            Ok(())
        }
        Command::Store(command) => run_store(command),
        Command::Peers(Peers::Stat { socket, json }) => {
            store::query_router(&socket, "peers stat", json)
        }
        Command::Memory(Memory::Stat { socket, json }) => {
            store::query_router(&socket, "memory stat", json)
        }
        Command::Regions(Regions::Stat { socket, json }) => {
            store::query_router(&socket, "regions stat", json)
        }
        Command::Regions(Regions::Steer { socket, json }) => {
            store::query_router(&socket, "steer show", json)
        }
        Command::Regions(Regions::Observe {
            region,
            edge,
            ms,
            count,
            socket,
            json,
        }) => store::query_router(
            &socket,
            &format!("latency observe {region} {edge} {ms} {count}"),
            json,
        ),
        Command::Cells(Cells::Stat { socket, json }) => {
            store::query_router(&socket, "cells stat", json)
        }
        Command::Cells(Cells::Plan {
            file,
            most,
            why,
            json,
        }) => cells::plan_moves(&file, &most, why, json),
        Command::Cells(Cells::Check {
            file,
            servers,
            config,
            json,
        }) => cells::check(&file, &servers, config.as_deref(), json),
        Command::Fleet(Fleet::Play {
            file,
            options,
            html,
            json,
        }) => fleet::play(&file, &options, html.as_deref(), json),
        Command::Fleet(Fleet::Check { files }) => fleet::check(&files),
        Command::Fleet(Fleet::Compare {
            file,
            options,
            with,
            and,
            plays,
        }) => fleet::compare(&file, &options, &with, &and, plays),
        Command::Fleet(Fleet::Words { json }) => {
            fleet::words(json);
            Ok(())
        }
        Command::FleetChild { parent, command } => fleet::child(parent, &command),
        Command::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Chalkhall::command(),
                "chalkhall",
                &mut std::io::stdout(),
            );
            Ok(())
        }
        Command::Man { folder } => man(&folder),
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(Failure { code, reason }) => {
            eprintln!("chalkhall: {reason}");
            ExitCode::from(code)
        }
    }
}

fn run_store(command: Store) -> Result<(), Failure> {
    match command {
        Store::Stat { path, socket, json } => match (path, socket) {
            (_, Some(socket)) => store::query_router(&socket, "store stat", json),
            (Some(path), None) => store::stat(&path, json),
            (None, None) => Err(Failure {
                code: 2,
                reason: "neither a directory nor a socket was given".into(),
            }),
        },
        Store::List { directory, object } => {
            store::list(&directory.path, object.as_deref(), directory.json)
        }
        Store::Verify { directory } => store::verify(&directory.path, directory.json),
        Store::Repair { directory, dry_run } => {
            store::repair(&directory.path, dry_run, directory.json)
        }
        Store::Export {
            path,
            object,
            part,
            out,
        } => store::export(&path, &object, part, out.as_deref()),
        Store::Drop {
            directory,
            object,
            group,
            all,
        } => store::drop_parts(
            &directory.path,
            object.as_deref(),
            group,
            all,
            directory.json,
        ),
        Store::Torture {
            directory,
            kills,
            seed,
        } => torture::command(&directory.path, kills, seed, directory.json),
        Store::TortureWriter { path, seed } => torture::writer(&path, seed),
    }
}

fn serve(file: Option<PathBuf>) -> Result<(), Failure> {
    let (directives, faults) = file
        .as_deref()
        .map(chalkhall_config::read)
        .unwrap_or_default();
    if !faults.is_empty() {
        let all: Vec<String> = faults.iter().map(ToString::to_string).collect();
        return Err(Failure::new(all.join("\nchalkhall: ")));
    }
    chalkhall_router::logging::init(&directives.log);
    chalkhall_router::serve(directives, file).map_err(|error| Failure::new(error.to_string()))
}

fn man(folder: &Path) -> Result<(), Failure> {
    std::fs::create_dir_all(folder).map_err(Failure::new)?;
    clap_mangen::generate_to(Chalkhall::command(), folder).map_err(Failure::new)
}
