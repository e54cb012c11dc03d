use super::*;
use crate::lifecycle::Phase;
use std::future::pending;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::advance;

/// With a longest deadline of 0.4 s, a kill may follow 1.1 s after the request to stop, and
/// draining lasts up to 0.85 s. The final writes have taken 0.2 s of the remaining time when the
/// wait for a hanging disk starts: it must end before the kill.
#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_hanging_disk_does_not_delay_the_end_until_a_kill() {
    let ms = Duration::from_millis;
    let draining = Phase::Serving.drain(Duration::ZERO, ms(400));
    assert_eq!(draining.at(ms(850), || 1), Phase::Ended);
    let inside = async {
        let ended = Instant::now();
        advance(ms(200)).await;
        wait_for_disk(ended, spawn_local(pending())).await;
        assert!(
            ms(850) + ended.elapsed() < ms(400 + 700),
            "{:?} after the end",
            ended.elapsed()
        );
    };
    LocalSet::new().run_until(inside).await;
}
