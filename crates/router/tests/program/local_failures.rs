//! What this machine fails to do for a moment, while the program runs.

use crate::stand_ins::{Crowd, World, until};
use serde_json::json;

/// A file that is there and cannot be read: reading a directory fails after it was opened, as a disk's error
/// does.
#[test]
fn files_that_cannot_be_read_at_a_signal_change_nothing_and_are_named() {
    let mut world = World::new();
    world.directives = "peers {\n tell off\n}\n".into();
    let mut program = world.start();
    let (_old, _) = world.discovery.accept();
    let (told, operators) = (world.path(), world.path().with_file_name("chalkhall.conf"));
    for path in [&told, &operators] {
        std::fs::remove_file(path).unwrap();
        std::fs::create_dir(path).unwrap();
    }
    program.signal("HUP");
    // It goes on with what it has: it serves, and follows the same discovery service.
    let mut client = program.client();
    client.ask(1, "page", "", b"");
    world.server("c1").accept().serve(b"x");
    assert_eq!(client.word(), "ACK");
    // What can be read again is taken over at the next signal.
    for path in [&told, &operators] {
        std::fs::remove_dir(path).unwrap();
    }
    std::fs::write(&operators, &world.directives).unwrap();
    world.move_discovery();
    world.write();
    until("the new discovery", || {
        program.signal("HUP");
        world.discovery.accept().1 == 1
    });
    program.terminate();
    let (status, log) = program.ended();
    assert!(status.success(), "{log}");
    for named in [
        "the new configuration is not taken over",
        "the operator's file is not taken over",
    ] {
        assert!(log.contains(named), "{named}: {log}");
    }
}

/// Clients that rest hold every descriptor: both files are read all the same.
#[test]
fn both_files_are_read_at_a_signal_though_no_descriptor_is_left() {
    const DESCRIPTORS: usize = 48;
    let mut world = World::new();
    world.file["limits"]["sockets"] = json!(1024);
    world.directives = "peers {\n tell off\n}\n".into();
    let mut program = world.spawn(&format!("ulimit -n {DESCRIPTORS};"));
    let (_old, _) = world.discovery.accept();
    let crowd = Crowd::of(300, program.address(), true);
    for _ in 0..5 {
        until("no descriptor left", || {
            program.descriptors() + 2 >= DESCRIPTORS
        });
        world.move_discovery();
        world.write();
        program.signal("HUP");
        assert_eq!(world.discovery.accept().1, 1);
    }
    drop(crowd);
    program.terminate();
    let (status, log) = program.ended();
    assert!(status.success(), "{log}");
    assert!(!log.contains("is not taken over"), "{log}");
}
