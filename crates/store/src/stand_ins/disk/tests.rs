use super::*;

#[test]
fn synced_data_survives_every_crash_and_unsynced_data_may_be_lost() {
    let disk = Disk::new();
    let file = disk.create("a").unwrap();
    file.write_at(&[1; 2000], 0).unwrap();
    file.sync().unwrap();
    disk.sync_names().unwrap();
    file.write_at(&[2; 2000], 2000).unwrap();
    disk.create("b").unwrap();
    let (mut lost, mut torn, mut with_name) = (0, 0, 0);
    for seed in 0..200 {
        let after = disk.after_crash(seed);
        let bytes = after.bytes("a");
        assert_eq!(bytes[..2000], [1; 2000]);
        lost += usize::from(bytes.len() == 2000);
        torn += usize::from(bytes.len() > 2000 && bytes[2000..].contains(&0));
        with_name += usize::from(after.list().unwrap().len() == 2);
    }
    assert!(
        lost > 10 && torn > 10 && with_name > 50 && with_name < 150,
        "{lost} {torn} {with_name}"
    );
}
