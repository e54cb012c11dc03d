use super::*;

#[test]
fn what_was_synced_outlives_every_crash_and_the_rest_may_not() {
    let disk = Disk::new();
    let file = disk.create("a").unwrap();
    file.write_at(&[1; 2000], 0).unwrap();
    file.sync().unwrap();
    disk.sync_names().unwrap();
    file.write_at(&[2; 2000], 2000).unwrap();
    disk.create("b").unwrap();
    let (mut lost, mut torn, mut named) = (0, 0, 0);
    for seed in 0..200 {
        let after = disk.crashed(seed);
        let bytes = after.bytes("a");
        assert_eq!(bytes[..2000], [1; 2000]);
        lost += usize::from(bytes.len() == 2000);
        torn += usize::from(bytes.len() > 2000 && bytes[2000..].contains(&0));
        named += usize::from(after.list().unwrap().len() == 2);
    }
    assert!(
        lost > 10 && torn > 10 && named > 50 && named < 150,
        "{lost} {torn} {named}"
    );
}
