//! Checks that the deploy file lists every part of the router.

use std::collections::BTreeSet;
use std::fs::{read_dir, read_to_string};

/// Collects the direct and transitive dependencies of a package within this repository.
fn collect_dependencies(package: &str, all: &mut BTreeSet<String>) {
    let manifest = read_to_string(format!("crates/{package}/Cargo.toml")).unwrap();
    let dependencies = manifest
        .split("[dependencies]")
        .nth(1)
        .unwrap_or("")
        .split("\n[")
        .next()
        .unwrap_or("");
    for line in dependencies
        .lines()
        .filter(|line| line.starts_with("chalkhall-"))
    {
        let name = line["chalkhall-".len()..]
            .split([' ', '='])
            .next()
            .unwrap()
            .to_owned();
        if all.insert(name.clone()) {
            collect_dependencies(&name, all);
        }
    }
}

#[test]
fn the_deploy_file_lists_every_package_that_the_router_links() {
    let mut packages = BTreeSet::from(["router".to_owned()]);
    collect_dependencies("router", &mut packages);
    assert!(packages.len() > 6, "{packages:?}");
    let deploy = read_to_string("deploy/balancer.toml").unwrap();
    let node = deploy
        .lines()
        .find(|line| line.starts_with("node"))
        .unwrap();
    for package in packages {
        assert!(
            node.contains(&format!("\"crates/{package}/src\"")),
            "{package} is missing"
        );
    }
}

#[test]
fn the_deploy_file_lists_every_source_file_of_the_decisions_once() {
    let deploy = read_to_string("deploy/balancer.toml").unwrap();
    for entry in read_dir("src").unwrap() {
        let name = entry.unwrap().file_name().into_string().unwrap();
        if name.ends_with(".rs") {
            let named = deploy.matches(&format!("\"src/{name}\"")).count();
            assert_eq!(named, 1, "{name}");
        }
    }
}
