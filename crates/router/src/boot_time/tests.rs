use super::*;

const HOUR_MS: u64 = 3_600_000;

/// A temporary directory, removed when dropped.
struct TemporaryDirectory(std::path::PathBuf);

impl TemporaryDirectory {
    fn new(name: &str) -> TemporaryDirectory {
        let path = std::env::temp_dir().join(format!("chalkhall-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        TemporaryDirectory(path)
    }
}

impl Drop for TemporaryDirectory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn at(boot_id: &str, unix_ms: u64) -> BootTime {
    BootTime {
        boot_id: boot_id.into(),
        unix_ms,
    }
}

#[test]
fn two_readings_of_one_wall_clock_agree() {
    let [one, other] = [Clock::start(), Clock::start()]
        .map(|clock| BootTime::read(&clock).expect("the system provides it"));
    assert_eq!(one.boot_id, other.boot_id);
    assert!(
        one.unix_ms.abs_diff(other.unix_ms) <= TOLERANCE_MS,
        "{one:?} {other:?}"
    );
}

#[test]
fn a_clock_set_back_since_an_earlier_start_is_detected_at_every_start() {
    let directory = TemporaryDirectory::new("boot-time-back");
    let start = |unix_ms| at("one", unix_ms).detect_step_back(&directory.0).step_ms;
    let first = 50 * HOUR_MS;
    assert_eq!(start(first), 0, "first use of the directory");
    assert_eq!(start(first - TOLERANCE_MS), 0, "within the tolerance");
    for back in [TOLERANCE_MS + 1, 5000, HOUR_MS] {
        assert_eq!(start(first - back), back, "set back by {back} ms");
        assert_eq!(start(first - back), back, "and again at the next start");
    }
    assert_eq!(
        start(first + HOUR_MS),
        0,
        "set forward: copies only seem older"
    );
    assert_eq!(start(first), HOUR_MS, "set back again");
}

#[test]
fn another_boot_and_an_unreadable_file_are_no_evidence_of_a_step() {
    let directory = TemporaryDirectory::new("boot-time-other");
    assert_eq!(
        at("one", 9 * HOUR_MS)
            .detect_step_back(&directory.0)
            .step_ms,
        0
    );
    assert_eq!(
        at("two", 2 * HOUR_MS)
            .detect_step_back(&directory.0)
            .step_ms,
        0,
        "another boot"
    );
    assert_eq!(
        at("two", HOUR_MS).detect_step_back(&directory.0).step_ms,
        HOUR_MS
    );
    for text in [
        "",
        "two",
        "two x",
        "two -1",
        "two 99999999999999999999",
        "\u{0}",
    ] {
        fs::write(directory.0.join(FILE_NAME), text).unwrap();
        assert_eq!(
            at("two", HOUR_MS).detect_step_back(&directory.0).step_ms,
            0,
            "{text:?}"
        );
        assert_eq!(
            at("two", 1).detect_step_back(&directory.0).step_ms,
            HOUR_MS - 1,
            "the file was rewritten after {text:?}"
        );
    }
    fs::write(directory.0.join(FILE_NAME), format!("two {}", u64::MAX)).unwrap();
    assert_eq!(
        at("two", 1).detect_step_back(&directory.0).step_ms,
        u64::MAX - 1
    );
}

#[test]
fn a_directory_that_cannot_be_written_is_reported() {
    let step = at("one", 1).detect_step_back(Path::new("/proc/nowhere"));
    assert!(step.step_ms == 0 && step.recorded.is_err());
}
