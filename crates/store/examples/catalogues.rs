//! Benchmark of three ways to index parts: an in-memory index that is rebuilt from the segments' footers, and
//! two embedded databases. `cargo run --release -p chalkhall-store --example catalogues [PARTS]`
//!
//! Parts are added in batches of 64, as many as a sync of 8 MB holds at 128 KB each; each batch is durable before
//! the next one starts.

use chalkhall_store::decide::index::{Index, IndexEntry};
use chalkhall_store::format::{FooterEntry, decode_footer, encode_footer};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::fs;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::time::Instant;

const BATCH: u64 = 64;
const PARTS_PER_SEGMENT: u64 = 256;
const TABLE: TableDefinition<u64, &[u8]> = TableDefinition::new("parts");

fn entry(n: u64) -> FooterEntry {
    let key = n.wrapping_mul(0x9E37_79B9_7F4A_7C15);
    let offset = 64 + (n % PARTS_PER_SEGMENT) as u32 * 131_072;
    FooterEntry {
        key,
        object: key ^ 1,
        offset,
        length: 131_072,
        created_at_ms: 1_800_000_000_000 + n,
        group: 3,
        rank: 2,
        tag: n as u32,
    }
}

fn index_entry(entry: &FooterEntry, segment: u32) -> IndexEntry {
    let FooterEntry {
        offset,
        length,
        tag,
        created_at_ms,
        group,
        rank,
        ..
    } = *entry;
    IndexEntry {
        segment,
        offset,
        length,
        tag,
        created_at_ms,
        group,
        rank,
        read_count: 0,
        proven: true,
    }
}

fn row(entry: &FooterEntry) -> [u8; 32] {
    let mut row = [0; 32];
    row[..8].copy_from_slice(&entry.created_at_ms.to_le_bytes());
    row[8..12].copy_from_slice(&entry.offset.to_le_bytes());
    row[12..16].copy_from_slice(&entry.length.to_le_bytes());
    row
}

/// Bytes that this process has written through system calls.
fn written_bytes() -> u64 {
    let io = fs::read_to_string("/proc/self/io").unwrap_or_default();
    let line = io.lines().find_map(|line| line.strip_prefix("wchar: "));
    line.and_then(|n| n.parse().ok()).unwrap_or(0)
}

/// The anonymous resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|n| n.trim().trim_end_matches(" kB").parse::<u64>().ok())
        .unwrap_or(0)
        << 10
}

fn report(name: &str, parts: u64, wrote: u64, filled: f64, memory: u64, reopened: f64) {
    println!(
        "{name:<22} {:>7.1} bytes written per part, filled in {filled:>6.2} s, {:>6.1} bytes of memory per part, \
         reopened in {reopened:>6.3} s",
        wrote as f64 / parts as f64,
        memory as f64 / parts as f64
    );
}

fn rebuilt_index(folder: &Path, parts: u64) {
    let (before, wrote, started) = (resident_bytes(), written_bytes(), Instant::now());
    let mut index = Index::new(u64::MAX);
    for segment in 0..parts / PARTS_PER_SEGMENT {
        let entries: Vec<FooterEntry> = (0..PARTS_PER_SEGMENT)
            .map(|n| entry(segment * PARTS_PER_SEGMENT + n))
            .collect();
        for entry in &entries {
            let _ = index.put(entry.key, &index_entry(entry, segment as u32));
        }
        let mut file = fs::File::create(folder.join(format!("{segment}"))).expect("a file");
        file.write_all(&encode_footer(&entries, 1, segment as u32, 0))
            .expect("written");
        file.sync_data().expect("synced");
    }
    let (filled, memory, wrote) = (
        started.elapsed().as_secs_f64(),
        resident_bytes() - before,
        written_bytes() - wrote,
    );
    drop(index);
    let started = Instant::now();
    let mut index = Index::new(u64::MAX);
    for segment in 0..parts / PARTS_PER_SEGMENT {
        let bytes = fs::read(folder.join(format!("{segment}"))).expect("read");
        for entry in decode_footer(&bytes, 1, segment as u32, 0).expect("whole") {
            let _ = index.put(entry.key, &index_entry(&entry, segment as u32));
        }
    }
    assert_eq!(index.len() as u64, parts);
    report(
        "index from footers",
        parts,
        wrote,
        filled,
        memory,
        started.elapsed().as_secs_f64(),
    );
}

fn redb(folder: &Path, parts: u64) {
    let (before, wrote, started) = (resident_bytes(), written_bytes(), Instant::now());
    let open = || {
        let mut builder = Database::builder();
        builder.set_cache_size(16 << 20);
        builder.create(folder.join("redb")).expect("opens")
    };
    let database = open();
    for batch in 0..parts / BATCH {
        let write = database.begin_write().expect("begins");
        {
            let mut table = write.open_table(TABLE).expect("opens");
            for n in batch * BATCH..(batch + 1) * BATCH {
                let entry = entry(n);
                table.insert(entry.key, &row(&entry)[..]).expect("inserted");
            }
        }
        write.commit().expect("durable");
    }
    let (filled, memory, wrote) = (
        started.elapsed().as_secs_f64(),
        resident_bytes() - before,
        written_bytes() - wrote,
    );
    // Not closed, as after a kill.
    std::mem::forget(database);
    fs::copy(folder.join("redb"), folder.join("redb-again")).expect("copied");
    let started = Instant::now();
    let database = Database::open(folder.join("redb-again")).expect("opens");
    let read = database.begin_read().expect("begins");
    let count = read
        .open_table(TABLE)
        .expect("opens")
        .iter()
        .expect("walks")
        .count();
    assert_eq!(count as u64, parts);
    report(
        "redb",
        parts,
        wrote,
        filled,
        memory,
        started.elapsed().as_secs_f64(),
    );
}

fn fjall(folder: &Path, parts: u64) {
    use fjall::{Database, KeyspaceCreateOptions, PersistMode};
    let (before, wrote, started) = (resident_bytes(), written_bytes(), Instant::now());
    let open = || {
        let database = Database::builder(folder.join("fjall"))
            .cache_size(16 << 20)
            .open()
            .expect("opens");
        let rows = database
            .keyspace("parts", KeyspaceCreateOptions::default)
            .expect("opens");
        (database, rows)
    };
    let (database, rows) = open();
    for batch in 0..parts / BATCH {
        let mut write = database.batch();
        for n in batch * BATCH..(batch + 1) * BATCH {
            let entry = entry(n);
            write.insert(&rows, entry.key.to_be_bytes(), row(&entry));
        }
        write.commit().expect("written");
        database.persist(PersistMode::SyncData).expect("durable");
    }
    let (filled, memory, wrote) = (
        started.elapsed().as_secs_f64(),
        resident_bytes() - before,
        written_bytes() - wrote,
    );
    drop((database, rows));
    let started = Instant::now();
    let (_database, rows) = open();
    assert_eq!(rows.iter().count() as u64, parts);
    report(
        "fjall",
        parts,
        wrote,
        filled,
        memory,
        started.elapsed().as_secs_f64(),
    );
}

fn main() {
    let parts: u64 = std::env::args()
        .nth(1)
        .and_then(|n| n.parse().ok())
        .unwrap_or(200_000);
    let parts = parts / PARTS_PER_SEGMENT * PARTS_PER_SEGMENT;
    let folder: PathBuf =
        std::env::temp_dir().join(format!("chalkhall-catalogues-{}", std::process::id()));
    for (name, run) in [
        ("index", rebuilt_index as fn(&Path, u64)),
        ("redb", redb),
        ("fjall", fjall),
    ] {
        let folder = folder.join(name);
        fs::create_dir_all(&folder).expect("a folder");
        run(&folder, parts);
    }
    fs::remove_dir_all(folder).expect("removed");
}
