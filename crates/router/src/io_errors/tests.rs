use super::*;
use libc::{EAFNOSUPPORT, EBADF, EINVAL, EIO, ENOTCONN, ENOTSOCK, EPIPE};

fn classified<T: for<'a> From<&'a io::Error>>(errno: i32) -> T {
    T::from(&io::Error::from_raw_os_error(errno))
}

#[test]
fn a_connect_that_fails_for_want_of_something_here_is_not_the_servers_fault() {
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
        "a time-out of our own"
    );
}

#[test]
fn an_accept_fails_for_one_connection_or_for_want_of_something_here() {
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
fn a_stream_breaks_in_many_words_and_stands_after_an_interruption() {
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
fn a_refused_datagram_passes_and_a_shortage_lasts() {
    use DatagramFailure::{Lasting, Passing};
    let rows = [
        (EINTR, Passing),
        (EAGAIN, Passing),
        (ECONNREFUSED, Passing),
        (ECONNRESET, Passing),
        (EHOSTUNREACH, Passing),
        (EHOSTDOWN, Passing),
        (ENETUNREACH, Passing),
        (EPERM, Lasting),
        (ENOBUFS, Lasting),
        (ENOMEM, Lasting),
        (ENETDOWN, Lasting),
        (EBADF, Lasting),
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
fn a_start_waits_for_what_may_come_and_for_nothing_else() {
    let momentary = |errno| is_momentary(&io::Error::from_raw_os_error(errno));
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
        .all(momentary)
    );
    assert!(
        ![EADDRINUSE, EACCES, EINVAL, EAFNOSUPPORT]
            .into_iter()
            .any(momentary)
    );
}

#[test]
fn a_call_that_must_not_wait_is_made_a_few_times() {
    let tries = |errno, failures| {
        let mut calls = 0;
        let done = retry_at_once(|| {
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
