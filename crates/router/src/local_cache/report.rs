//! The state and counters of the local cache, for operators.

use chalkhall_store::decide::Store;
use chalkhall_store::decide::disk::{Disk, Phase};
use serde_json::{Value, json};
use std::time::Duration;

/// Reports the contents and the counters of a store, and how long ago discovery last confirmed
/// that all purges have been received: for longer than two seconds, copies made before are not used.
pub fn report(store: &Store, discovery_confirmed_ago: Duration) -> Value {
    let mut report = json!({
        "memory": memory(store),
        "discovery_confirmed_ms_ago": discovery_confirmed_ago.as_millis() as u64,
    });
    if let Some(disk) = store.disk() {
        report["disk"] = disk_tier(disk);
        report["work"] = background_work(disk);
    }
    report
}

fn memory(store: &Store) -> Value {
    let (memory, counts) = (store.memory(), store.counts());
    json!({
        "bytes": memory.bytes(),
        "most": memory.limit(),
        "parts": memory.len(),
        "hits": counts.hits,
        "hit_bytes": counts.hit_bytes,
        "kept": counts.kept,
        "not_kept": counts.rejected,
        "left": counts.evicted,
        "gave_way": counts.evicted_for_memory,
        "outdated": counts.outdated,
        "purges": counts.purges,
    })
}

fn disk_tier(disk: &Disk) -> Value {
    let (counts, (bytes, live)) = (disk.counts(), disk.segments().bytes());
    json!({
        "phase": phase(disk.phase()),
        "set_aside": disk.is_ejected(),
        "parts": disk.index().len(),
        "index_bytes": disk.index().bytes(),
        "segments": disk.segments().len(),
        "segments_most": disk.segments().max_segments,
        "bytes": bytes,
        "live_bytes": live,
        "hits": counts.hits,
        "hit_bytes": counts.hit_bytes,
        "written": counts.written,
        "carried": counts.carried,
        "admitted_bytes": counts.admitted_bytes,
        "written_bytes": counts.written_bytes,
        "reclaimed": counts.reclaimed,
        "recovered": counts.recovered,
        "unproven": counts.unproven,
        "revalidated": counts.revalidated,
        "dropped_unproven": counts.dropped_unproven,
        "unknown": counts.unknown,
        "damaged": counts.damaged,
        "torn_bytes": counts.torn_bytes,
        "foreign": counts.foreign,
        "read_ahead": counts.read_ahead,
        "scrubbed": counts.scrubbed,
        "refused": {
            "expires": counts.refused_expires,
            "size": counts.refused_size,
            "budget": counts.refused_budget,
            "disk": counts.refused_disk,
            "outdated": counts.outdated,
        },
        "faults": {
            "reads": counts.read_faults,
            "writes": counts.write_faults,
            "syncs": counts.sync_faults,
        },
    })
}

fn phase(phase: &Phase) -> String {
    match phase {
        Phase::Opening => "opening".to_owned(),
        Phase::Recovering => "recovering".to_owned(),
        Phase::Ready => "ready".to_owned(),
        Phase::Refused(why) => format!("not used: {why}"),
    }
}

fn background_work(disk: &Disk) -> Value {
    let work = disk.work_report().map(|(name, waiting, under_way, done)| {
        let kind = json!({
            "waiting": waiting,
            "under_way": under_way,
            "done": done.tasks,
            "bytes": done.bytes as u64,
            "late": done.overdue,
            "starved": done.starved,
            "refused": done.refused,
        });
        (name.to_owned(), kind)
    });
    Value::Object(work.collect())
}
