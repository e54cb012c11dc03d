use super::*;

#[test]
fn what_the_machine_cannot_hold_is_refused_with_the_figure() {
    assert_eq!(check_machine_limits(1), Ok(()));
    let what = check_machine_limits(10_000_000).unwrap_err();
    assert!(what.contains("400001000 descriptors"), "{what}");
}
