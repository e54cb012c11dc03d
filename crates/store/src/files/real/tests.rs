use super::*;

#[test]
fn a_second_lock_attempt_names_the_holder() {
    let path = std::env::temp_dir().join(format!("chalkhall-lock-{}", std::process::id()));
    let first = Directory::lock(&path).unwrap();
    let message = Directory::lock(&path).err().unwrap().to_string();
    assert!(
        message.contains(&format!("is held by process {}", std::process::id())),
        "{message}"
    );
    drop(first);
    assert!(Directory::lock(&path).is_ok_and(|again| again.list().unwrap().is_empty()));
    fs::remove_dir_all(path).unwrap();
}

#[test]
fn missing_parent_directories_are_created() {
    let top = std::env::temp_dir().join(format!("chalkhall-store-parents-{}", std::process::id()));
    let path = top.join("one").join("two");
    drop(Directory::lock(&path).expect("created"));
    drop(Directory::lock(&path).expect("exists already"));
    std::fs::write(top.join("file"), b"").expect("writable");
    assert!(
        Directory::lock(&top.join("file").join("three")).is_err(),
        "below a file"
    );
    std::fs::remove_dir_all(&top).expect("removable");
}

#[test]
fn a_system_error_keeps_its_kind() {
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
