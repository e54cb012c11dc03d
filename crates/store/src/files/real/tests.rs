use super::*;

#[test]
fn the_second_is_told_who_holds_it() {
    let path = std::env::temp_dir().join(format!("chalkhall-lock-{}", std::process::id()));
    let first = Directory::take(&path).unwrap();
    let what = Directory::take(&path).err().unwrap().to_string();
    assert!(
        what.contains(&format!("is held by process {}", std::process::id())),
        "{what}"
    );
    drop(first);
    assert!(Directory::take(&path).is_ok_and(|again| again.list().unwrap().is_empty()));
    fs::remove_dir_all(path).unwrap();
}

#[test]
fn a_directory_is_made_with_all_above_it() {
    let above = std::env::temp_dir().join(format!("chalkhall-store-above-{}", std::process::id()));
    let path = above.join("one").join("two");
    drop(Directory::take(&path).expect("made"));
    drop(Directory::take(&path).expect("there already"));
    std::fs::write(above.join("file"), b"").expect("writable");
    assert!(
        Directory::take(&above.join("file").join("three")).is_err(),
        "below a file"
    );
    std::fs::remove_dir_all(&above).expect("removable");
}

#[test]
fn an_error_of_the_system_keeps_its_kind() {
    let full = OpenOptions::new()
        .read(true)
        .write(true)
        .open("/dev/full")
        .expect("the system has it");
    let error = File::write_at(&full, b"bytes", 0).expect_err("it is always full");
    assert_eq!(
        (error.kind(), error.raw_os_error()),
        (io::ErrorKind::StorageFull, Some(28))
    );
}
