use super::*;
use tokio::time::Instant;

#[test]
fn only_failures_of_the_server_count_as_unreachable() {
    let outcome = |error: io::Error| outcome_of_connect_failure(ConnectFailure::from(&error));
    assert_eq!(
        outcome(io::Error::from_raw_os_error(libc::EMFILE)),
        Outcome::NeverSent
    );
    assert_eq!(
        outcome(io::ErrorKind::ConnectionRefused.into()),
        Outcome::Unreachable
    );
    assert_eq!(
        outcome(io::ErrorKind::TimedOut.into()),
        Outcome::Unreachable
    );
}

/// The errors by which Linux reports that this machine temporarily cannot make any connection.
#[test]
fn local_resource_shortages_count_as_never_sent() {
    use libc::{EADDRNOTAVAIL, EAGAIN, ENETDOWN, ENETUNREACH, ENFILE, ENOBUFS, ENOMEM};
    for errno in [
        ENFILE,
        ENOBUFS,
        ENOMEM,
        EADDRNOTAVAIL,
        EAGAIN,
        ENETUNREACH,
        ENETDOWN,
    ] {
        let failure = io::Error::from_raw_os_error(errno);
        assert_eq!(
            outcome_of_connect_failure(ConnectFailure::from(&failure)),
            Outcome::NeverSent,
            "{failure}"
        );
    }
}

/// Connects with these failures first: whether it succeeded, the number of tries and the time
/// taken.
async fn connect_after(failures: &[i32]) -> (bool, usize, Duration) {
    let (begin, mut tries) = (Instant::now(), 0);
    let connecting = connect_with_retry(|| {
        tries += 1;
        let failure = failures
            .get(tries - 1)
            .map(|errno| io::Error::from_raw_os_error(*errno));
        std::future::ready(failure.map_or(Ok(()), Err))
    });
    (connecting.await.is_ok(), tries, begin.elapsed())
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_connect_is_retried_only_after_interruptions_and_once_after_local_shortages() {
    use libc::{ECONNREFUSED, EINTR, ENOBUFS};
    assert_eq!(
        connect_after(&[EINTR, EINTR]).await,
        (true, 3, Duration::ZERO)
    );
    assert_eq!(
        connect_after(&[EINTR; 99]).await,
        (false, 1 + MAX_INTERRUPTED_RETRIES, Duration::ZERO)
    );
    // One retry after a delay; the caller handles further failures.
    let (is_connected, tries, took) = connect_after(&[ENOBUFS]).await;
    assert!(is_connected && tries == 2 && took >= LOCAL_RETRY_DELAY);
    assert!(matches!(connect_after(&[ENOBUFS; 99]).await, (false, 2, _)));
    assert_eq!(
        connect_after(&[ECONNREFUSED]).await,
        (false, 1, Duration::ZERO)
    );
}
