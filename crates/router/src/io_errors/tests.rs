use super::*;
use libc::{EAFNOSUPPORT, EBADF, EINVAL, EIO, ENOTCONN, ENOTSOCK, EPIPE};

fn classified<T: for<'a> From<&'a io::Error>>(errno: i32) -> T {
    T::from(&io::Error::from_raw_os_error(errno))
}

#[test]
fn connect_errors_distinguish_local_shortages_from_server_failures() {
    use ConnectFailure::{Interrupted, LocalResources, Server};
    let rows = [
        (EINTR, Interrupted),
        (EMFILE, LocalResources),
        (ENFILE, LocalResources),
        (ENOBUFS, LocalResources),
        (ENOMEM, LocalResources),
        (EADDRNOTAVAIL, LocalResources),
        (EADDRINUSE, LocalResources),
        (EAGAIN, LocalResources),
        (ENETUNREACH, LocalResources),
        (ENETDOWN, LocalResources),
        (EACCES, LocalResources),
        (EPERM, LocalResources),
        (ECONNREFUSED, Server),
        (ECONNRESET, Server),
        (ECONNABORTED, Server),
        (ETIMEDOUT, Server),
        (EHOSTUNREACH, Server),
        (EHOSTDOWN, Server),
        (ENONET, Server),
        (EAFNOSUPPORT, Server),
        (EINVAL, Server),
    ];
    for (errno, expected) in rows {
        assert_eq!(
            classified::<ConnectFailure>(errno),
            expected,
            "errno {errno}"
        );
    }
    assert_eq!(
        ConnectFailure::from(&io::ErrorKind::TimedOut.into()),
        Server,
        "a timeout of this process"
    );
}

#[test]
fn accept_errors_distinguish_single_connections_from_shortages() {
    use AcceptFailure::{
        DescriptorsExhausted, Interrupted, Listener, MemoryExhausted, PerConnection,
    };
    let rows = [
        (EINTR, Interrupted),
        (EAGAIN, Interrupted),
        (ECONNABORTED, PerConnection),
        (EPERM, PerConnection),
        (EPROTO, PerConnection),
        (ENETDOWN, PerConnection),
        (ENOPROTOOPT, PerConnection),
        (EHOSTDOWN, PerConnection),
        (ENONET, PerConnection),
        (EHOSTUNREACH, PerConnection),
        (EOPNOTSUPP, PerConnection),
        (ENETUNREACH, PerConnection),
        (ETIMEDOUT, PerConnection),
        (ECONNRESET, PerConnection),
        (EMFILE, DescriptorsExhausted),
        (ENFILE, DescriptorsExhausted),
        (ENOBUFS, MemoryExhausted),
        (ENOMEM, MemoryExhausted),
        (EBADF, Listener),
        (EINVAL, Listener),
        (ENOTSOCK, Listener),
    ];
    for (errno, expected) in rows {
        assert_eq!(
            classified::<AcceptFailure>(errno),
            expected,
            "errno {errno}"
        );
    }
}

#[test]
fn stream_errors_distinguish_broken_connections_from_retries() {
    use StreamFailure::{Broken, MemoryExhausted, Retry};
    let rows = [
        (EINTR, Retry),
        (EAGAIN, Retry),
        (ENOBUFS, MemoryExhausted),
        (ENOMEM, MemoryExhausted),
        (ECONNRESET, Broken),
        (EPIPE, Broken),
        (ETIMEDOUT, Broken),
        (EHOSTUNREACH, Broken),
        (ENETUNREACH, Broken),
        (ENETDOWN, Broken),
        (ECONNABORTED, Broken),
        (ECONNREFUSED, Broken),
        (ENOTCONN, Broken),
        (EIO, Broken),
    ];
    for (errno, expected) in rows {
        assert_eq!(
            classified::<StreamFailure>(errno),
            expected,
            "errno {errno}"
        );
    }
    assert_eq!(
        StreamFailure::from(&io::ErrorKind::WouldBlock.into()),
        Retry
    );
    assert_eq!(
        StreamFailure::from(&io::ErrorKind::UnexpectedEof.into()),
        Broken
    );
}

#[test]
fn datagram_errors_distinguish_transient_from_persistent_ones() {
    use DatagramFailure::{Persistent, Transient};
    let rows = [
        (EINTR, Transient),
        (EAGAIN, Transient),
        (ECONNREFUSED, Transient),
        (ECONNRESET, Transient),
        (EHOSTUNREACH, Transient),
        (EHOSTDOWN, Transient),
        (ENETUNREACH, Transient),
        (EPERM, Persistent),
        (ENOBUFS, Persistent),
        (ENOMEM, Persistent),
        (ENETDOWN, Persistent),
        (EBADF, Persistent),
    ];
    for (errno, expected) in rows {
        assert_eq!(
            classified::<DatagramFailure>(errno),
            expected,
            "errno {errno}"
        );
    }
}

#[test]
fn only_shortages_and_unavailable_addresses_are_retryable_at_start() {
    let retryable = |errno| is_retryable(&io::Error::from_raw_os_error(errno));
    assert!(
        [
            EMFILE,
            ENFILE,
            ENOBUFS,
            ENOMEM,
            EADDRNOTAVAIL,
            EAGAIN,
            EINTR
        ]
        .into_iter()
        .all(retryable)
    );
    assert!(
        ![EADDRINUSE, EACCES, EINVAL, EAFNOSUPPORT]
            .into_iter()
            .any(retryable)
    );
}

#[test]
fn a_call_that_must_not_wait_is_retried_a_bounded_number_of_times() {
    let tries = |errno, failures| {
        let mut calls = 0;
        let done = retry_immediately(|| {
            calls += 1;
            if calls > failures {
                Ok(())
            } else {
                Err(io::Error::from_raw_os_error(errno))
            }
        });
        (done.is_ok(), calls)
    };
    assert_eq!(tries(ENOBUFS, 1), (true, 2));
    assert_eq!(tries(ENOBUFS, usize::MAX), (false, MAX_IMMEDIATE_TRIES));
    assert_eq!(tries(EACCES, 1), (false, 1));
}
