//! The resources of a router stay bounded as the number of cache servers grows: the short version of `make
//! proof-fleet-size`, limited to counted figures.

use std::process::Command;

#[test]
fn the_resources_of_a_router_do_not_grow_with_the_number_of_cache_servers() {
    let mut proof = Command::new(env!("CARGO_BIN_EXE_proof-fleet-size"));
    proof.args(["--cache-servers", "40", "--times", "16", "--routers", "2"]);
    proof.args([
        "--rate",
        "8",
        "--seconds",
        "8",
        "--seed",
        "1",
        "--counted-only",
    ]);
    let output = proof.output().expect("the proof was built with this test");
    let line = String::from_utf8_lossy(&output.stdout);
    assert!(
        output.status.success() && line.starts_with("proof-fleet-size: ok "),
        "{line}"
    );
    for figure in [
        "descriptors",
        "connections",
        "list_bytes",
        "served",
        "peak_memory_mb",
        "kb_a_server",
    ] {
        assert!(line.contains(&format!(" {figure}=")), "no {figure}: {line}");
    }
}
