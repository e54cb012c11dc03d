use super::*;

const HOUR_MS: u64 = 3_600_000;

/// A directory of its own, removed at the end.
struct Scratch(std::path::PathBuf);

impl Scratch {
    fn new(name: &str) -> Scratch {
        let path = std::env::temp_dir().join(format!("chalkhall-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Scratch(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

fn at(boot: &str, unix_ms: u64) -> BootTime {
    BootTime {
        boot: boot.into(),
        unix_ms,
    }
}

#[test]
fn two_readings_of_one_wall_clock_agree() {
    let [one, other] =
        [Clock::start(), Clock::start()].map(|clock| BootTime::read(&clock).expect("told"));
    assert_eq!(one.boot, other.boot);
    assert!(
        one.unix_ms.abs_diff(other.unix_ms) <= TOLERANCE_MS,
        "{one:?} {other:?}"
    );
}

#[test]
fn a_clock_set_back_since_an_earlier_start_is_found_out_as_long_as_it_stays_so() {
    let directory = Scratch::new("boot-time-back");
    let start = |unix_ms| at("one", unix_ms).set_back_by(&directory.0).ms;
    let first = 50 * HOUR_MS;
    assert_eq!(start(first), 0, "nothing was written by another clock");
    assert_eq!(start(first - TOLERANCE_MS), 0, "by the same clock");
    for back in [TOLERANCE_MS + 1, 5000, HOUR_MS] {
        assert_eq!(start(first - back), back, "set back by {back} ms");
        assert_eq!(
            start(first - back),
            back,
            "what was written before is still there"
        );
    }
    assert_eq!(start(first + HOUR_MS), 0, "forward: copies only look older");
    assert_eq!(start(first), HOUR_MS, "and back again");
}

#[test]
fn another_boot_and_a_file_that_cannot_be_read_say_nothing() {
    let directory = Scratch::new("boot-time-other");
    assert_eq!(at("one", 9 * HOUR_MS).set_back_by(&directory.0).ms, 0);
    assert_eq!(
        at("two", 2 * HOUR_MS).set_back_by(&directory.0).ms,
        0,
        "another boot"
    );
    assert_eq!(at("two", HOUR_MS).set_back_by(&directory.0).ms, HOUR_MS);
    for text in [
        "",
        "two",
        "two x",
        "two -1",
        "two 99999999999999999999",
        "\u{0}",
    ] {
        fs::write(directory.0.join(FILE), text).unwrap();
        assert_eq!(
            at("two", HOUR_MS).set_back_by(&directory.0).ms,
            0,
            "{text:?}"
        );
        assert_eq!(
            at("two", 1).set_back_by(&directory.0).ms,
            HOUR_MS - 1,
            "it is written anew after {text:?}"
        );
    }
    fs::write(directory.0.join(FILE), format!("two {}", u64::MAX)).unwrap();
    assert_eq!(at("two", 1).set_back_by(&directory.0).ms, u64::MAX - 1);
}

#[test]
fn a_directory_that_cannot_be_written_is_told() {
    let step = at("one", 1).set_back_by(Path::new("/proc/nowhere"));
    assert!(step.ms == 0 && step.recorded.is_err());
}
