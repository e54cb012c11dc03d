use super::*;
use bytes::Bytes;

const PART: Part = Part {
    object: b"o",
    part: 3,
    group: 17,
};

fn copy(created_at_ms: u64, etag: &'static str, part: u64) -> Copy {
    let (object, etag) = (
        Bytes::from_static(b"o"),
        Bytes::from_static(etag.as_bytes()),
    );
    let body = Bytes::from_static(b"body");
    Copy {
        object,
        part,
        group: 17,
        created_at_ms,
        etag,
        body,
        is_multipart: true,
        ..Copy::default()
    }
}

/// Rejects all operations.
struct NoDisk;

impl DiskBackend for NoDisk {
    fn read(&mut self, _: u64, _: u32, _: u32, _: u32) -> bool {
        false
    }
    fn list(&mut self, _: u32) -> bool {
        false
    }
    fn recover(&mut self, _: u32) -> bool {
        false
    }
    fn create_segment(&mut self, _: u32, _: u32) -> bool {
        false
    }
    fn append(&mut self, _: u64, _: u32, _: u32, _: Vec<u8>) -> bool {
        false
    }
    fn sync(&mut self, _: u32, _: u32) -> bool {
        false
    }
    fn seal(&mut self, _: u32, _: u32, _: Vec<u8>) -> bool {
        false
    }
    fn remove(&mut self, _: u32) -> bool {
        false
    }
    fn write_catalogue(&mut self, _: Vec<crate::catalogue::CatalogueLine>) -> bool {
        false
    }
}

const NOW: Duration = Duration::ZERO;

#[test]
fn copies_older_than_a_purge_are_neither_found_nor_kept() {
    let mut store = Store::new(1 << 20, None);
    store.insert(NOW, copy(100, "a", 3), 2, &mut NoDisk);
    assert_eq!(
        store
            .find(PART, Some(b"a"))
            .map(|f| (f.created_at_ms, f.is_same_version)),
        Some((100, true))
    );
    store.purge(Some(b"o"), 0, 99, &mut NoDisk);
    assert!(store.get(NOW, PART).is_some(), "made after the purge");
    store.purge(None, 17, 100, &mut NoDisk);
    assert!(store.find(PART, None).is_none() && store.get(NOW, PART).is_none());
    // A fill that was in progress when the purge arrived.
    store.insert(NOW, copy(100, "a", 3), 2, &mut NoDisk);
    assert!(store.find(PART, None).is_none());
    store.insert(NOW, copy(101, "b", 3), 2, &mut NoDisk);
    assert!(store.find(PART, None).is_some_and(|f| !f.is_same_version));
    assert!(store.find(Part { part: 4, ..PART }, None).is_none());
}

#[test]
fn a_new_version_invalidates_older_parts_of_the_object() {
    let mut store = Store::new(1 << 20, None);
    store.insert(NOW, copy(100, "a", 2), 2, &mut NoDisk);
    store.insert(NOW, copy(150, "a", 3), 2, &mut NoDisk);
    store.insert(NOW, copy(200, "b", 3), 2, &mut NoDisk);
    assert!(
        store.find(Part { part: 2, ..PART }, None).is_none(),
        "of the older version"
    );
    assert!(store.find(PART, None).is_some());
    store.insert(NOW, copy(180, "a", 2), 2, &mut NoDisk);
    assert!(
        store.find(Part { part: 2, ..PART }, None).is_none(),
        "older than the newer version"
    );
    store.insert(NOW, copy(190, "a", 3), 2, &mut NoDisk);
    assert_eq!(
        store.find(PART, None).map(|f| f.created_at_ms),
        Some(200),
        "the newer one stays"
    );
}

#[test]
fn refreshing_the_same_version_keeps_the_other_parts() {
    let mut store = Store::new(1 << 20, None);
    store.insert(NOW, copy(100, "a", 2), 2, &mut NoDisk);
    store.insert(NOW, copy(100, "a", 3), 2, &mut NoDisk);
    store.insert(NOW, copy(200, "a", 3), 2, &mut NoDisk);
    assert!(store.find(Part { part: 2, ..PART }, None).is_some());
}
