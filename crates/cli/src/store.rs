//! `store`: works on the local cache in a directory, or queries that of a running router by its control socket.

use crate::Failure;
use bytesize::ByteSize;
use chalkhall_store::catalogue::{Catalogue, CatalogueLine, CatalogueSnapshot, FILE_NAME};
use chalkhall_store::copy::Copy;
use chalkhall_store::decide::disk::Fault;
use chalkhall_store::decide::purges::{GROUP_SLOTS, PurgeRecord, Purges, group_slot};
use chalkhall_store::files::{Directory, Files};
use chalkhall_store::format::FooterEntry;
use chalkhall_store::key;
use chalkhall_store::segment_files::{SegmentFiles, open_store, write_lines};
use indicatif::{ProgressBar, ProgressStyle};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

/// An opened store; its directory is locked while this value lives.
struct OpenedStore {
    files: Arc<dyn Files>,
    segment_files: SegmentFiles,
    catalogue: Catalogue,
    known: CatalogueSnapshot,
    purges: Purges,
    segments: Vec<u32>,
}

fn open_directory(path: &Path) -> Result<OpenedStore, Failure> {
    let fail = |what: &dyn std::fmt::Display| Failure::new(format!("{}: {what}", path.display()));
    if !path.join(FILE_NAME).is_file() {
        return Err(fail(&"not a store directory"));
    }
    let files: Arc<dyn Files> = Arc::new(Directory::lock(path).map_err(|e| fail(&e))?);
    let (catalogue, known, mut segments) = open_store(&files, 0, None).map_err(|e| fail(&e))?;
    segments.sort_unstable();
    let mut purges = Purges::default();
    known.purges.iter().for_each(|mark| purges.restore(*mark));
    Ok(OpenedStore {
        segment_files: SegmentFiles::new(files.clone(), known.store_id),
        files,
        catalogue,
        known,
        purges,
        segments,
    })
}

/// A record on disk.
struct Found {
    segment: u32,
    entry: FooterEntry,
    read: Result<(Copy, u8), Fault>,
    purged: bool,
    /// A newer copy of the same part exists.
    older: bool,
}

/// Visits every record. The bodies are read too, to verify their checksums. Returns the unreadable segments.
fn walk(
    opened: &mut OpenedStore,
    mut visit: impl FnMut(&mut OpenedStore, Found),
) -> Result<Vec<(u32, Fault)>, Failure> {
    let (mut listed, mut faults) = (Vec::new(), Vec::new());
    for segment in opened.segments.clone() {
        match opened.segment_files.list(segment) {
            Ok(entries) => listed.extend(entries.into_iter().map(|entry| (segment, entry))),
            Err(fault) => faults.push((segment, fault)),
        }
    }
    let mut newest: HashMap<u64, (u64, u32, u32)> = HashMap::new();
    for (segment, entry) in &listed {
        let (candidate, newest_copy) = (
            (entry.created_at_ms, *segment, entry.offset),
            newest.entry(entry.key).or_default(),
        );
        *newest_copy = candidate.max(*newest_copy);
    }
    let bar = ProgressBar::new(
        listed
            .iter()
            .map(|(_, entry)| u64::from(entry.length))
            .sum(),
    );
    let style = ProgressStyle::with_template("{bar:40} {bytes}/{total_bytes} {eta}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    for (segment, entry) in listed {
        let read = opened
            .segment_files
            .read(segment, entry.offset, entry.length);
        let purged =
            !opened
                .purges
                .survives(entry.object, entry.group as usize, entry.created_at_ms);
        let older = newest.get(&entry.key) != Some(&(entry.created_at_ms, segment, entry.offset));
        visit(
            opened,
            Found {
                segment,
                entry,
                read,
                purged,
                older,
            },
        );
        bar.inc(u64::from(entry.length));
    }
    bar.finish_and_clear();
    Ok(faults)
}

fn print(as_json: bool, report: &Value) {
    if as_json {
        println!("{report}");
    } else {
        print_fields("", report);
    }
}

/// Prints one `name: value` per line, with dots in the names of nested fields.
fn print_fields(prefix: &str, value: &Value) {
    match value {
        Value::Object(fields) => {
            for (name, value) in fields {
                let name = if prefix.is_empty() {
                    name.clone()
                } else {
                    format!("{prefix}.{name}")
                };
                print_fields(&name, value);
            }
        }
        Value::String(text) => println!("{prefix}: {text}"),
        Value::Number(n) if prefix.ends_with("bytes") || prefix.ends_with("most") => {
            println!("{prefix}: {n} ({})", ByteSize(n.as_u64().unwrap_or(0)));
        }
        other => println!("{prefix}: {other}"),
    }
}

/// Prints what the store in a directory holds.
pub fn stat(path: &Path, as_json: bool) -> Result<(), Failure> {
    let mut opened = open_directory(path)?;
    let (mut parts, mut bytes, mut damaged, mut older, mut purged, mut ranks) =
        (0u64, 0u64, 0u64, 0u64, 0u64, [0u64; 4]);
    let mut faults = 0;
    let mut listed: Vec<(u32, FooterEntry)> = Vec::new();
    for segment in opened.segments.clone() {
        match opened.segment_files.list(segment) {
            Ok(entries) => listed.extend(entries.into_iter().map(|entry| (segment, entry))),
            Err(_) => faults += 1,
        }
    }
    let mut newest: HashMap<u64, (u64, u32, u32)> = HashMap::new();
    for (segment, entry) in &listed {
        let candidate = (entry.created_at_ms, *segment, entry.offset);
        let newest_copy = newest.entry(entry.key).or_default();
        *newest_copy = candidate.max(*newest_copy);
    }
    for (segment, entry) in &listed {
        if newest.get(&entry.key) != Some(&(entry.created_at_ms, *segment, entry.offset)) {
            older += 1;
        } else if !opened
            .purges
            .survives(entry.object, entry.group as usize, entry.created_at_ms)
        {
            purged += 1;
        } else {
            parts += 1;
            bytes += u64::from(entry.length);
            ranks[entry.rank as usize & 3] += 1;
        }
    }
    damaged += faults;
    let report = json!({
        "store": format!("{:016x}", opened.known.store_id), "segments": opened.segments.len(), "parts": parts,
        "record_bytes": bytes, "older": older, "purged": purged, "segments_unreadable": damaged,
        "rank_1": ranks[1], "rank_2": ranks[2], "rank_3": ranks[3], "purges_known": opened.known.purges.len(),
        "board_heard_until_ms": opened.known.confirmed_up_to_ms,
    });
    print(as_json, &report);
    Ok(())
}

/// Sends a command to a running router's control socket and prints the answer.
pub fn query_router(socket: &Path, words: &str, as_json: bool) -> Result<(), Failure> {
    let fail = |what: &dyn std::fmt::Display| Failure::new(format!("{}: {what}", socket.display()));
    let mut stream = UnixStream::connect(socket).map_err(|e| fail(&e))?;
    stream
        .set_read_timeout(Some(Duration::from_secs(5)))
        .map_err(|e| fail(&e))?;
    stream
        .write_all(format!("{words}\n").as_bytes())
        .map_err(|e| fail(&e))?;
    let mut line = String::new();
    BufReader::new(stream)
        .read_line(&mut line)
        .map_err(|e| fail(&e))?;
    let answer: Value = serde_json::from_str(&line).map_err(|e| fail(&e))?;
    if let Some(what) = answer.get("error").and_then(Value::as_str) {
        return Err(fail(&what));
    }
    print(as_json, &answer);
    Ok(())
}

/// Lists the parts on disk.
pub fn list(path: &Path, object: Option<&str>, as_json: bool) -> Result<(), Failure> {
    let mut opened = open_directory(path)?;
    let mut out = std::io::stdout().lock();
    let mut broken = false;
    walk(&mut opened, |_, found| {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        let Ok((copy, rank)) = &found.read else {
            return;
        };
        if broken || object.is_some_and(|object| object.as_bytes() != copy.object) {
            return;
        }
        let (at, length) = (found.entry.offset, copy.body.len());
        let line = if as_json {
            json!({"object": text(&copy.object), "part": copy.part, "group": copy.group, "rank": rank,
                "bytes": length, "made": copy.created_at_ms, "tag": text(&copy.etag), "category": text(&copy.class),
                "segment": found.segment, "at": at, "purged": found.purged, "older": found.older})
            .to_string()
        } else {
            let flags = if found.purged { " purged" } else { "" }.to_owned()
                + if found.older { " older" } else { "" };
            let (object, tag, segment) = (text(&copy.object), text(&copy.etag), found.segment);
            format!(
                "{object} {} {} {rank} {length} {} {tag} {segment}:{at}{flags}",
                copy.part, copy.group, copy.created_at_ms
            )
        };
        // The reader may have closed the pipe, as `head` does.
        broken = writeln!(out, "{line}").is_err();
    })?;
    Ok(())
}

/// Reads every record and reports the damaged ones.
pub fn verify(path: &Path, as_json: bool) -> Result<(), Failure> {
    let mut opened = open_directory(path)?;
    let (mut whole, mut bytes, mut damaged, mut purged) = (0u64, 0u64, Vec::new(), 0u64);
    let faults = walk(&mut opened, |_, found| {
        match &found.read {
        Ok((copy, _)) => {
            whole += 1;
            bytes += copy.body.len() as u64;
            purged += u64::from(found.purged);
        }
        Err(fault) => damaged.push(
            json!({"segment": found.segment, "at": found.entry.offset, "what": format!("{fault:?}")}),
        ),
    }
    })?;
    damaged.extend(
        faults
            .iter()
            .map(|(segment, fault)| json!({"segment": segment, "what": format!("{fault:?}")})),
    );
    let count = damaged.len();
    if as_json {
        println!(
            "{}",
            json!({"whole": whole, "body_bytes": bytes, "purged": purged, "damaged": damaged})
        );
    } else {
        damaged.iter().for_each(|d| println!("damaged: {d}"));
        println!(
            "whole: {whole} parts, {}; purged among them: {purged}; damaged: {count}",
            ByteSize(bytes)
        );
    }
    if count == 0 {
        Ok(())
    } else {
        Err(Failure::new(format!(
            "{count} damaged; `chalkhall store repair` removes them"
        )))
    }
}

/// Rewrites segments without their damaged records.
pub fn repair(path: &Path, dry_run: bool, as_json: bool) -> Result<(), Failure> {
    let mut opened = open_directory(path)?;
    let mut intact: HashMap<u32, Vec<FooterEntry>> =
        opened.segments.iter().map(|s| (*s, Vec::new())).collect();
    let mut damaged: HashMap<u32, u64> = HashMap::new();
    let faults = walk(&mut opened, |_, found| match found.read {
        Ok(_) => intact.entry(found.segment).or_default().push(found.entry),
        Err(_) => *damaged.entry(found.segment).or_default() += 1,
    })?;
    let mut repaired: Vec<(u32, u64)> = damaged.into_iter().collect();
    repaired.sort_unstable();
    if !dry_run {
        for (segment, _) in &repaired {
            let entries = intact.remove(segment).unwrap_or_default();
            opened
                .segment_files
                .rewrite(*segment, entries)
                .map_err(|f| Failure::new(format!("segment {segment}: {f:?}")))?;
        }
    }
    let unreadable: Vec<u32> = faults.iter().map(|(segment, _)| *segment).collect();
    if as_json {
        let report: Vec<Value> = repaired
            .iter()
            .map(|(s, n)| json!({"segment": s, "taken_out": n}))
            .collect();
        println!(
            "{}",
            json!({"dry_run": dry_run, "mended": report, "unreadable": unreadable})
        );
    } else {
        let verb = if dry_run { "would remove" } else { "removed" };
        repaired
            .iter()
            .for_each(|(segment, n)| println!("segment {segment}: {verb} {n} damaged"));
        unreadable
            .iter()
            .for_each(|segment| println!("segment {segment}: unreadable, left unchanged"));
        println!(
            "{} segments repaired",
            if dry_run { 0 } else { repaired.len() }
        );
    }
    Ok(())
}

/// Writes the body of one part to a file or to standard output.
pub fn export(path: &Path, object: &str, part: u64, out: Option<&Path>) -> Result<(), Failure> {
    let mut opened = open_directory(path)?;
    let settings = key::part(key::object(object.as_bytes()), part);
    let mut newest: Option<(u64, u32, FooterEntry)> = None;
    for segment in opened.segments.clone() {
        for entry in opened
            .segment_files
            .list(segment)
            .unwrap_or_default()
            .into_iter()
            .filter(|e| e.key == settings)
        {
            if newest.is_none_or(|(created_at_ms, of, _)| {
                (created_at_ms, of) <= (entry.created_at_ms, segment)
            }) {
                newest = Some((entry.created_at_ms, segment, entry));
            }
        }
    }
    let (_, segment, entry) =
        newest.ok_or_else(|| Failure::new(format!("{object} part {part} is not here")))?;
    if !opened
        .purges
        .survives(entry.object, entry.group as usize, entry.created_at_ms)
    {
        return Err(Failure::new(format!("{object} part {part} was purged")));
    }
    let (copy, _) = opened
        .segment_files
        .read(segment, entry.offset, entry.length)
        .map_err(|f| Failure::new(format!("{f:?}")))?;
    if copy.object != object.as_bytes() || copy.part != part {
        return Err(Failure::new(format!("{object} part {part} is not here")));
    }
    match out {
        Some(file) => std::fs::write(file, &copy.body)
            .map_err(|e| Failure::new(format!("{}: {e}", file.display()))),
        None => std::io::stdout()
            .write_all(&copy.body)
            .map_err(Failure::new),
    }
}

/// Purges an object or a group, or removes all segments.
pub fn drop_parts(
    path: &Path,
    object: Option<&str>,
    group: Option<u64>,
    all: bool,
    as_json: bool,
) -> Result<(), Failure> {
    let mut opened = open_directory(path)?;
    let now = crate::store_driver::unix_ms();
    let records = match (object, group) {
        (Some(object), _) => opened
            .purges
            .purge_object(key::object(object.as_bytes()), now)
            .into_iter()
            .flatten()
            .collect(),
        (_, Some(group)) => vec![opened.purges.purge_group(group, now)],
        _ => Vec::<PurgeRecord>::new(),
    };
    debug_assert!(group.is_none_or(|group| group_slot(group) < GROUP_SLOTS));
    let written: Vec<CatalogueLine> = records.into_iter().map(CatalogueLine::Purge).collect();
    write_lines(&mut opened.catalogue, &written).map_err(|f| Failure::new(format!("{f:?}")))?;
    let mut removed = 0;
    if all {
        for segment in opened.segments.clone() {
            opened
                .segment_files
                .remove(segment)
                .map_err(|f| Failure::new(format!("segment {segment}: {f:?}")))?;
            removed += 1;
        }
        opened.files.sync_names().map_err(Failure::new)?;
    }
    print(
        as_json,
        &json!({"purged_at_ms": now, "segments_removed": removed}),
    );
    Ok(())
}
