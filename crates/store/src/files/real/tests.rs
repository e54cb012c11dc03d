use super::*;

#[test]
fn the_second_is_told_who_holds_it() {
    let path = std::env::temp_dir().join(format!("chalkhall-lock-{}", std::process::id()));
    let first = Directory::take(&path).unwrap();
    let what = Directory::take(&path).err().unwrap().to_string();
    assert!(what.contains(&format!("is held by process {}", std::process::id())), "{what}");
    drop(first);
    assert!(Directory::take(&path).is_ok_and(|again| again.list().unwrap().is_empty()));
    fs::remove_dir_all(path).unwrap();
}
