//! Scenarios with fleets of real routers: short versions of what `make proof-even` runs at full size.

use serde_json::Value;
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

fn chalkhall() -> Command {
    Command::new(env!("CARGO_BIN_EXE_chalkhall"))
}

/// A temporary scenario file.
struct File(PathBuf);

impl File {
    fn new(name: &str, text: &str) -> File {
        let path =
            std::env::temp_dir().join(format!("chalkhall-{name}-{}.play", std::process::id()));
        std::fs::write(&path, text).unwrap();
        File(path)
    }
}

impl Drop for File {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn text(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned() + &String::from_utf8_lossy(&output.stderr)
}

/// Serializes the scenario runs: each needs the whole machine.
static RUN_LOCK: std::sync::Mutex<()> = std::sync::Mutex::new(());

/// Runs a scenario, up to three times while the run is inconclusive because the machine was too busy.
fn play(file: &File, arguments: &[&str]) -> Output {
    let _guard = RUN_LOCK
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    let mut output = None;
    for _ in 0..3 {
        let played = chalkhall()
            .args(["fleet", "play"])
            .arg(&file.0)
            .args(arguments)
            .output()
            .unwrap();
        let void = played.status.code() == Some(3);
        output = Some(played);
        if !void {
            break;
        }
    }
    output.unwrap()
}

const FLEET: &str = "fleet {
    routers 40
    locations 4
    caches 16
    parents 4
    warm-within 6s
    directive peers tell on
    directive peers even-load on
    directive store memory 4MB
}
work {
    seconds 9
    lead 2s
    rate 240
    writes 5%
}
";

#[test]
fn forty_routers_keep_the_rules_under_injected_faults() {
    let file = File::new(
        "all-breaks",
        &format!(
            "{FLEET}faults {{
    at 0s for 9s datagrams lost 30%
    at 0s for 9s datagrams doubled 20%
    at 0s for 9s datagrams turned 20%
    at 1s for 3s silent caches 1/8 to routers 1/2
    at 2s for 1s kill routers 1/4
    at 3s drain caches 2
    at 3s join 4
    at 4s for 1s lose location 1
    at 4s for 3s resets caches 1/4 3%
    at 4s purge 20
    at 5s for 3s errors caches 1/16
    at 5s for 3s lists late 1s
    at 6s over 2s restart routers 1/4
}}
must {{
    service 60%
    after 0s
}}
"
        ),
    );
    let output = play(&file, &["--json"]);
    let report: Value =
        serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("{}", text(&output)));
    assert!(output.status.success(), "{}", text(&output));
    let figure = |name: &str| {
        report["figures"][name]
            .as_f64()
            .unwrap_or_else(|| panic!("no {name}: {report}"))
    };
    for rule in [
        "double_runs",
        "lost",
        "drain_breaks",
        "cold_falls",
        "stale",
        "strange",
        "crashed",
    ] {
        assert_eq!(figure(rule), 0.0, "{rule}: {}", text(&output));
    }
    assert_eq!(figure("routers"), 40.0);
    assert!(
        figure("datagrams") > 1000.0 && figure("hits") > 0.1 && figure("retries") > 10.0,
        "{report}"
    );
    assert!(
        report["events"]
            .as_array()
            .is_some_and(|events| events.len() > 15),
        "{report}"
    );
}

/// Two regions of two zones each; one zone is lost for 3 s while the paths between the regions lose 20 % of the
/// datagrams.
fn zone_lost(in_common: &str) -> Value {
    let play_text = format!(
        "fleet {{
    routers 40
    locations 4
    caches 16
    parents 4
    warm-within 3s
    regions 2
    near 2ms
    far 20ms
    pass-through off
    directive peers tell on
    directive regions in-common {in_common}
    directive regions measure on
    directive regions abroad on
}}
work {{
    seconds 14
    lead 3s
    rate 240
    writes 5%
}}
faults {{
    at 3s for 9s ways 1 2 lose 20%
    at 3s for 9s ways 2 1 lose 20%
    at 5s for 3s lose location 1
    at 6s for 1s kill routers 1/10
}}
"
    );
    let file = File::new(&format!("location-lost-{in_common}"), &play_text);
    let output = play(&file, &["--json", "--seed", "2"]);
    let report: Value =
        serde_json::from_slice(&output.stdout).unwrap_or_else(|_| panic!("{}", text(&output)));
    assert!(output.status.success(), "{}", text(&output));
    report["figures"].clone()
}

#[test]
fn a_lost_zone_fails_over_by_the_common_plan_and_other_zones_stay_local() {
    let (with, without) = (zone_lost("on"), zone_lost("off"));
    let figure = |of: &Value, name: &str| {
        of[name]
            .as_f64()
            .unwrap_or_else(|| panic!("no {name}: {of}"))
    };
    let (served, independent) = (
        figure(&with, "lost_service"),
        figure(&without, "lost_service"),
    );
    let limit = figure(&with, "lost_limit");
    // At least half of the gap between independent decisions and the optimum; two thirds at full size.
    assert!(
        served >= independent + (limit - independent) / 2.0,
        "{served}: independent {independent}, optimum {limit}"
    );
    assert!(figure(&with, "plan_s") <= 2.0, "{with}");
    assert!(
        figure(&with, "toppled") == 0.0 && figure(&with, "needless") <= 0.05,
        "{with}"
    );
    assert!(
        figure(&without, "abroad") == 0.0 && independent < 0.7,
        "{without}"
    );
}

#[test]
fn uniform_load_is_balanced_and_an_html_report_is_written() {
    let file = File::new(
        "even",
        &format!("{FLEET}must {{\n    peak 1.25\n    idle 1%\n    service 90%\n}}\n"),
    );
    let page = File::new("even-page", "");
    let output = play(&file, &["--html", page.0.to_str().unwrap(), "--seed", "3"]);
    assert!(output.status.success(), "{}", text(&output));
    let page = std::fs::read_to_string(&page.0).unwrap();
    assert!(
        page.matches("<svg").count() == 4 && page.contains("all that must hold holds"),
        "{}",
        page.len()
    );
    assert!(
        !page.contains("http://www.example") && !page.contains("<script"),
        "self-contained"
    );
}

/// The child processes of a process.
fn children(process: u32) -> Vec<u32> {
    let mut all = Vec::new();
    for task in std::fs::read_dir(format!("/proc/{process}/task"))
        .into_iter()
        .flatten()
        .flatten()
    {
        let pids = std::fs::read_to_string(task.path().join("children")).unwrap_or_default();
        all.extend(
            pids.split_whitespace()
                .filter_map(|word| word.parse::<u32>().ok()),
        );
    }
    all
}

fn is_alive(process: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    status
        .lines()
        .any(|line| line.starts_with("State:") && !line.contains('Z'))
}

fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !condition() {
        assert!(Instant::now() < end, "{what}: timed out");
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn no_router_outlives_a_killed_run() {
    let file = File::new("killed", FLEET);
    let mut runner: Child = chalkhall()
        .args(["fleet", "play"])
        .arg(&file.0)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap();
    let mut routers = Vec::new();
    wait_until("forty routers", || {
        routers = children(runner.id());
        routers.len() == 40
    });
    runner.kill().unwrap();
    runner.wait().unwrap();
    wait_until("their end", || {
        !routers.iter().any(|router| is_alive(*router))
    });
}

#[test]
fn invalid_scenarios_are_reported_with_their_place_or_limit() {
    let file = File::new(
        "faulty",
        "fleet {\n routrs 3\n}\nfaults {\n at 1s slow caches 1/8\n}\n",
    );
    let output = chalkhall()
        .args(["fleet", "check"])
        .arg(&file.0)
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(1));
    assert!(
        text(&output).contains(":2:2: routrs is not a directive of fleet; routers is"),
        "{}",
        text(&output)
    );
    assert!(
        text(&output).contains(":5:"),
        "not all faults were reported: {}",
        text(&output)
    );
    let many = File::new("many", "fleet {\n routers 300\n}\n");
    let program = env!("CARGO_BIN_EXE_chalkhall");
    let line = format!(
        "ulimit -n 2000; exec {program} fleet play {}",
        many.0.display()
    );
    let output = Command::new("/bin/sh")
        .args(["-c", &line])
        .output()
        .unwrap();
    assert!(
        text(&output).contains("need 13000 descriptors here, the limit is 2000"),
        "{}",
        text(&output)
    );
    let library = concat!(env!("CARGO_MANIFEST_DIR"), "/../harness/plays");
    let plays = std::fs::read_dir(library)
        .unwrap()
        .flatten()
        .map(|entry| entry.path());
    let plays: Vec<PathBuf> = plays
        .filter(|path| path.extension().is_some_and(|e| e == "play"))
        .collect();
    assert!(plays.len() >= 16, "{plays:?}");
    let output = chalkhall()
        .args(["fleet", "check"])
        .args(&plays)
        .output()
        .unwrap();
    assert!(output.status.success(), "{}", text(&output));
}
