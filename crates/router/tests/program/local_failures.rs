//! Temporary failures of the local machine: unreadable files and exhausted descriptors.

use crate::support::*;

/// The files exist but cannot be read: they are replaced by directories, of which the read fails
/// after a successful open, as with a disk error.
#[test]
fn files_unreadable_at_a_reload_change_nothing_and_are_logged() {
    let mut environment = TestEnvironment::new().with_directives("peers {\n tell off\n}\n");
    let mut router = environment.start();
    let _old = environment.discovery.accept_watch();
    let (configuration, operators_file) = (
        environment.configuration_path(),
        environment
            .configuration_path()
            .with_file_name("chalkhall.conf"),
    );
    for path in [&configuration, &operators_file] {
        std::fs::remove_file(path).unwrap();
        std::fs::create_dir(path).unwrap();
    }
    router.reload();
    // The router keeps its configuration: it serves, and follows the same discovery service.
    let mut client = router.connect();
    client.send_request(1, "page", "", b"");
    environment.server("c1").accept().respond_hit(b"x");
    assert_eq!(client.read_answer_word(), "ACK");
    // Files that can be read again are applied at the next signal.
    for path in [&configuration, &operators_file] {
        std::fs::remove_dir(path).unwrap();
    }
    std::fs::write(&operators_file, &environment.directives).unwrap();
    environment.move_discovery();
    environment.write_configuration();
    wait_until("a watch of the new discovery service", || {
        router.reload();
        environment.discovery.accept_watch().after_revision == 1
    });
    router.terminate();
    let RouterExit { status, log } = router.wait_for_exit();
    assert!(status.success(), "{log}");
    for message in [
        "configuration reload rejected",
        "operator's file reload rejected",
    ] {
        assert!(log.contains(message), "{message}: {log}");
    }
}

/// Idle clients hold every descriptor: both files are read nevertheless.
#[test]
fn both_files_are_reloaded_with_no_descriptor_left() {
    const DESCRIPTORS: usize = 48;
    let mut environment = TestEnvironment::new()
        .with_machine_limit("sockets", 1024)
        .with_directives("peers {\n tell off\n}\n");
    let mut router = environment.spawn(&format!("ulimit -n {DESCRIPTORS};"));
    let _old = environment.discovery.accept_watch();
    let idle_clients = IdleClients::connect(300, router.address(), true);
    for _ in 0..5 {
        wait_until("descriptors to run out", || {
            router.open_descriptors() + 2 >= DESCRIPTORS
        });
        environment.move_discovery();
        environment.write_configuration();
        router.reload();
        assert_eq!(environment.discovery.accept_watch().after_revision, 1);
    }
    drop(idle_clients);
    router.terminate();
    let RouterExit { status, log } = router.wait_for_exit();
    assert!(status.success(), "{log}");
    assert!(!log.contains("reload rejected"), "{log}");
}
