use super::*;

#[test]
fn a_fleet_beyond_the_machine_limits_is_refused_with_the_figure() {
    assert_eq!(check_machine_limits(1), Ok(()));
    let error = check_machine_limits(10_000_000).unwrap_err();
    assert!(error.contains("400001000 descriptors"), "{error}");
}
