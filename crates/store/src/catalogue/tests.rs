use super::*;
use crate::stand_ins::{Disk, Faults};

fn open(disk: &Disk, store_id: u64) -> Result<(Catalogue, CatalogueSnapshot), CatalogueError> {
    Catalogue::open(Arc::new(disk.clone()), store_id, None)
}

#[test]
fn written_lines_survive_a_crash() {
    let disk = Disk::new();
    let (mut catalogue, known) = open(&disk, 77).unwrap();
    assert_eq!((known.store_id, known.confirmed_up_to_ms), (77, None));
    catalogue
        .write(&[
            CatalogueLine::Purge(PurgeRecord::Object(1, 10)),
            CatalogueLine::Purge(PurgeRecord::Group(3, 20)),
        ])
        .unwrap();
    catalogue
        .write(&[
            CatalogueLine::Purge(PurgeRecord::Folded(1, 5, 10)),
            CatalogueLine::ConfirmedUpTo(30),
        ])
        .unwrap();
    drop(catalogue);
    let (_, known) = open(&disk.after_crash(1), 5).unwrap();
    assert_eq!((known.store_id, known.confirmed_up_to_ms), (77, Some(30)));
    assert_eq!(
        known.purges,
        [PurgeRecord::Folded(0, 5, 10), PurgeRecord::Group(3, 20)]
    );
}

#[test]
fn a_crash_at_any_operation_loses_no_written_line() {
    for crash_at in 1.. {
        let disk = Disk::new();
        disk.set_faults(Faults {
            crash_at: Some(crash_at),
            ..Faults::default()
        });
        let mut written = 0;
        if let Ok((mut catalogue, _)) = open(&disk, 77) {
            while written < 8 {
                let lines = [
                    CatalogueLine::Purge(PurgeRecord::Object(written, written + 1)),
                    CatalogueLine::ConfirmedUpTo(written + 1),
                ];
                if catalogue.write(&lines).is_err() {
                    break;
                }
                written += 1;
            }
        }
        for seed in 0..8 {
            let after = disk.after_crash(crash_at * 100 + seed);
            let (_, known) = open(&after, 77).unwrap_or_else(|e| panic!("{crash_at} {seed}: {e}"));
            let confirmed_up_to_ms = known.confirmed_up_to_ms.unwrap_or(0);
            assert!(
                confirmed_up_to_ms >= written,
                "{crash_at} {seed}: {confirmed_up_to_ms} of {written}"
            );
            // A confirmation is durable only together with every purge before it.
            assert_eq!(
                known.purges.len() as u64,
                confirmed_up_to_ms,
                "{crash_at} {seed}"
            );
        }
        if written == 8 {
            return;
        }
    }
}
