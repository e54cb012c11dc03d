//! End-to-end tests of the commands.

use chalkhall_cli::rig::{Rig, unix_ms};
use chalkhall_store::decide::disk::DiskSettings;
use chalkhall_store::stand_ins::TestPart;
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Folder {
        let path =
            std::env::temp_dir().join(format!("chalkhall-cli-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A lock to hold while starting a process. Between fork and exec, a child holds all descriptors of this process,
/// including the locks of other tests' stores; after acquiring this lock, no such child is left.
fn lock_process_start() -> MutexGuard<'static, ()> {
    static PROCESS_START: Mutex<()> = Mutex::new(());
    PROCESS_START.lock().unwrap_or_else(PoisonError::into_inner)
}

fn chalkhall(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_chalkhall"));
    command
        .args(arguments)
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped());
    let child = {
        let _guard = lock_process_start();
        command.spawn().unwrap()
    };
    child.wait_with_output().unwrap()
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

fn json(arguments: &[&str]) -> Value {
    let output = chalkhall(arguments);
    serde_json::from_slice(&output.stdout)
        .unwrap_or_else(|_| panic!("{arguments:?}: {}", text(&output)))
}

const PARTS: u64 = 12;

fn test_part(object: u64) -> TestPart {
    TestPart { object, part: 2 }
}

/// Fills a store with one part of each of twelve objects and closes it cleanly. Returns the body of object 3.
fn fill_store(path: &Path) -> Vec<u8> {
    let settings = DiskSettings {
        bytes: 16 << 20,
        segment: 1 << 20,
        min_freshness: Duration::ZERO,
        ..DiskSettings::default()
    };
    let mut rig = Rig::open(path, 0, settings, 1).unwrap();
    for n in 0..PARTS {
        let now = rig.now();
        rig.store.insert(
            now,
            test_part(n).copy_of_version(1, unix_ms() - 5, 9000),
            2,
            &mut rig.connector,
        );
    }
    let written = |rig: &mut Rig| {
        rig.store
            .disk()
            .is_some_and(|disk| disk.index().len() as u64 == PARTS)
    };
    assert!(rig.until(Duration::from_secs(10), written));
    rig.close(Duration::from_secs(10));
    drop(lock_process_start());
    test_part(3).copy_of_version(1, 0, 9000).body.to_vec()
}

#[test]
fn help_version_completions_and_unknown_commands() {
    let help = chalkhall(&["--help"]);
    assert!(
        help.status.success()
            && text(&help).contains("store")
            && text(&help).contains("Exit codes")
    );
    assert!(text(&chalkhall(&["--version"])).contains(env!("CARGO_PKG_VERSION")));
    let unknown_command = chalkhall(&["stoer"]);
    assert_eq!(unknown_command.status.code(), Some(2));
    assert!(
        text(&unknown_command).contains("store"),
        "no suggestion: {}",
        text(&unknown_command)
    );
    for shell in ["bash", "zsh", "fish"] {
        assert!(text(&chalkhall(&["completions", shell])).contains("chalkhall"));
    }
    let folder = Folder::new("man");
    assert!(
        chalkhall(&["man", folder.0.to_str().unwrap()])
            .status
            .success()
    );
    assert!(
        folder.0.join("chalkhall.1").is_file()
            && folder.0.join("chalkhall-store-verify.1").is_file()
    );
}

#[test]
fn check_reports_all_faults_at_once() {
    let folder = Folder::new("check");
    let file = folder.0.join("a.conf");
    std::fs::write(
        &file,
        "include b.conf\nstore {\n  memory lots\n  segmnt 8MB\n}\nmemory 5MB\n",
    )
    .unwrap();
    std::fs::write(
        folder.0.join("b.conf"),
        "log-format text\nlog-format json\ninclude a.conf\n",
    )
    .unwrap();
    let output = chalkhall(&["check", file.to_str().unwrap()]);
    assert_eq!(output.status.code(), Some(1));
    let report = text(&output);
    for part in [
        "a.conf:3:10: \"lots\" is not a size",
        "a.conf:4:3: segmnt is not a directive of store; segment is",
        "a.conf:6:1: memory is not a directive; it belongs in store",
        "b.conf:2:1: log-format was given before",
        "includes are nested more than",
    ] {
        assert!(report.contains(part), "{part} in {report}");
    }
    std::fs::write(&file, "store {\n  memory 25%\n}\n").unwrap();
    assert_eq!(
        chalkhall(&["check", file.to_str().unwrap()]).status.code(),
        Some(0)
    );
    let faults = json(&["check", "--json", folder.0.join("none").to_str().unwrap()]);
    assert_eq!(faults["faults"].as_array().map(Vec::len), Some(1));
}

#[test]
fn the_example_file_is_valid_and_has_every_directive() {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/chalkhall.conf");
    assert_eq!(
        chalkhall(&["check", example.to_str().unwrap()])
            .status
            .code(),
        Some(0)
    );
    let written = std::fs::read_to_string(example).unwrap();
    for entry in chalkhall_config::DIRECTIVES.entries() {
        let is_listed = written
            .lines()
            .any(|l| l.trim().trim_start_matches('#').split(' ').next() == Some(entry.name));
        assert!(is_listed, "{}", entry.name);
    }
    // The commented-out directives must be valid too.
    let uncommented: String = written
        .lines()
        .filter(|line| !line.starts_with("# ") && !line.starts_with("#  "))
        .map(|line| {
            let directive = line.trim().starts_with('#');
            let bare = if directive {
                line.replacen('#', " ", 1)
            } else {
                line.to_owned()
            };
            bare + "\n"
        })
        .collect();
    let (_, faults) = chalkhall_config::read_text(&uncommented);
    assert_eq!(faults, []);
}

#[test]
fn a_store_is_inspected_listed_verified_exported_and_purged() {
    let folder = Folder::new("store");
    let path = folder.0.to_str().unwrap();
    let body = fill_store(&folder.0);
    let report = json(&["store", "stat", path, "--json"]);
    assert_eq!(
        (report["parts"].as_u64(), report["rank_2"].as_u64()),
        (Some(PARTS), Some(PARTS))
    );
    let name = String::from_utf8(test_part(3).name().to_vec()).unwrap();
    let listed = text(&chalkhall(&["store", "list", path, "--object", &name]));
    assert!(
        listed.starts_with(&format!("{name} 2 ")) && listed.lines().count() == 1,
        "{listed}"
    );
    assert_eq!(
        chalkhall(&["store", "export", path, &name, "2"]).stdout,
        body
    );
    assert_eq!(
        json(&["store", "verify", path, "--json"])["whole"].as_u64(),
        Some(PARTS)
    );

    assert!(
        chalkhall(&["store", "drop", path, "--object", &name])
            .status
            .success()
    );
    let gone = chalkhall(&["store", "export", path, &name, "2"]);
    assert!(
        gone.status.code() == Some(1) && text(&gone).contains("was purged"),
        "{}",
        text(&gone)
    );
    assert_eq!(
        json(&["store", "stat", path, "--json"])["purged"].as_u64(),
        Some(1)
    );
    assert!(
        chalkhall(&["store", "drop", path, "--all"])
            .status
            .success()
    );
    assert_eq!(
        json(&["store", "stat", path, "--json"])["parts"].as_u64(),
        Some(0)
    );
    assert_eq!(chalkhall(&["store", "drop", path]).status.code(), Some(2));
}

#[test]
fn damage_is_reported_and_removed_and_the_rest_is_kept() {
    let folder = Folder::new("damage");
    let path = folder.0.to_str().unwrap();
    fill_store(&folder.0);
    let names = std::fs::read_dir(&folder.0)
        .unwrap()
        .map(|e| e.unwrap().path());
    let segment = names
        .into_iter()
        .find(|p| p.to_string_lossy().contains("segment-"))
        .unwrap();
    let mut bytes = std::fs::read(&segment).unwrap();
    bytes[64 + 5000] ^= 4;
    std::fs::write(&segment, bytes).unwrap();
    let verified = chalkhall(&["store", "verify", path]);
    assert_eq!(verified.status.code(), Some(1));
    assert!(
        text(&verified).contains("damaged: 1"),
        "{}",
        text(&verified)
    );
    assert!(text(&chalkhall(&["store", "repair", path, "--dry-run"])).contains("would remove 1"));
    assert_eq!(chalkhall(&["store", "verify", path]).status.code(), Some(1));
    assert!(text(&chalkhall(&["store", "repair", path])).contains("removed 1 damaged"));
    let verified = json(&["store", "verify", path, "--json"]);
    assert_eq!(
        (
            verified["whole"].as_u64(),
            verified["damaged"].as_array().map(Vec::len)
        ),
        (Some(PARTS - 1), Some(0))
    );
}

#[test]
fn other_directories_and_locked_stores_are_not_modified() {
    let folder = Folder::new("held");
    let path = folder.0.to_str().unwrap();
    let none = chalkhall(&["store", "stat", path]);
    assert!(none.status.code() == Some(1) && text(&none).contains("not a store directory"));
    assert_eq!(std::fs::read_dir(&folder.0).unwrap().count(), 0);
    fill_store(&folder.0);
    let held = chalkhall_store::files::Directory::lock(&folder.0).unwrap();
    let refused = chalkhall(&["store", "drop", path, "--all"]);
    assert!(
        text(&refused).contains(&format!("is held by process {}", std::process::id())),
        "{}",
        text(&refused)
    );
    drop(held);
    assert_eq!(
        json(&["store", "stat", path, "--json"])["parts"].as_u64(),
        Some(PARTS)
    );
}

#[test]
fn no_copy_is_torn_stale_or_lost_after_kills() {
    let folder = Folder::new("torture");
    let path = folder.0.join("copies");
    let found = json(&[
        "store",
        "torture",
        path.to_str().unwrap(),
        "--kills",
        "6",
        "--seed",
        "3",
        "--json",
    ]);
    assert_eq!(found["kills"].as_u64(), Some(6));
    for what in ["torn", "stale", "lost_synced", "unproven_served"] {
        assert_eq!(found[what].as_u64(), Some(0), "{found}");
    }
    assert!(
        found["answers"].as_u64() > Some(0) && found["durable"].as_u64() > Some(0),
        "{found}"
    );
}

#[test]
fn a_cell_map_is_computed_and_its_faults_are_reported() {
    let folder = Folder::new("cells");
    let file = folder.0.join("cells.conf");
    let path = file.to_str().unwrap();
    let directives = "cells {\n epoch 3\n cell a list s1 s2\n cell b shuffle 2\n bind group 0-9 a\n otherwise b\n}\n";
    std::fs::write(&file, directives).unwrap();
    let servers = [
        "--server", "s1", "--server", "s2", "--server", "s3", "--server", "s4",
    ];
    let drawn = json(&[&["cells", "check", path, "--json"], &servers[..]].concat());
    assert_eq!(
        (drawn["epoch"].as_u64(), &drawn["cells"][0]["servers"]),
        (Some(3), &serde_json::json!(["s1", "s2"]))
    );
    assert_eq!(
        drawn["cells"][1]["servers"],
        serde_json::json!(["s3", "s4"])
    );
    let few = chalkhall(&["cells", "check", path, "--server", "s1"]);
    assert_eq!(few.status.code(), Some(1));
    assert!(
        text(&few).contains("cell a has 1 of 2 servers")
            && text(&few).contains("cell b has 0 of 2")
    );
    // With a router's configuration: only its own caches and classes are known.
    let config = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/example.json");
    let config = config.to_str().unwrap();
    std::fs::write(
        &file,
        "cells {\n cell a list c1\n bind category page a\n}\n",
    )
    .unwrap();
    assert_eq!(
        chalkhall(&["cells", "check", path, "--config", config])
            .status
            .code(),
        Some(0)
    );
    std::fs::write(
        &file,
        "cells {\n cell a list c1\n bind category cakes a\n}\n",
    )
    .unwrap();
    let unknown = chalkhall(&["cells", "check", path, "--config", config]);
    assert!(
        text(&unknown).contains("cakes is not a category"),
        "{}",
        text(&unknown)
    );
}

#[test]
fn a_plan_reports_moves_reasons_and_costs() {
    let folder = Folder::new("plan");
    let file = folder.0.join("fleet.json");
    let path = file.to_str().unwrap();
    let cell = |name: &str| serde_json::json!({"name": name, "capacity": 10, "cold": 0.3});
    fn tenant(name: &str, load: f64, fill: f64, cell: &str) -> serde_json::Value {
        serde_json::json!({"name": name, "load": load, "fill_kb": fill, "cell": cell})
    }
    let fleet = serde_json::json!({
        "cells": [cell("a"), cell("b")],
        "tenants": [tenant("dear", 3.0, 900.0, "a"), tenant("cheap", 2.5, 100.0, "a"),
            tenant("big", 4.5, 800.0, "a")],
    });
    std::fs::write(&file, fleet.to_string()).unwrap();
    let report = text(&chalkhall(&["cells", "plan", path, "--why"]));
    let expected = "move cheap from a to b: its cell is at 100 % of its capacity; 100 KB to fill";
    assert!(report.starts_with(expected), "{report}");
    assert_eq!(
        json(&["cells", "plan", path, "--json"])["fullest_after"].as_f64(),
        Some(0.75)
    );
    // At a limit of 20 % no tenant fits into the other cell.
    let output = chalkhall(&["cells", "plan", path, "--most", "20%"]);
    assert!(
        output.status.code() == Some(1) && text(&output).contains("no cell has room for"),
        "{}",
        text(&output)
    );
    assert_eq!(
        chalkhall(&["cells", "plan", path, "--most", "most"])
            .status
            .code(),
        Some(2)
    );
}
