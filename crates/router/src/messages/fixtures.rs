//! Builders of attempt messages for tests.

use super::{AttemptId, AttemptRequest, CancellationFlag};
use crate::memory::{MemoryBudget, Reservation};
use crate::server_protocol::ForwardedFields;
use bytes::Bytes;
use chalkhall::interface::Fill;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// The id of the attempt with this number.
pub fn attempt_id(request: &str, number: usize) -> AttemptId {
    AttemptId {
        request: request.into(),
        number,
    }
}

/// The first attempt of a request, to a server `s` that must not fill.
pub fn attempt_request(
    request: &str,
    timeout: Duration,
    send_within: Duration,
) -> Box<AttemptRequest> {
    let now = Instant::now();
    Box::new(AttemptRequest {
        attempt: attempt_id(request, 0),
        forwarded: ForwardedFields {
            id: Bytes::copy_from_slice(request.as_bytes()),
            ..ForwardedFields::default()
        },
        server: "s".into(),
        fill: no_fill(),
        is_non_idempotent: false,
        cancellation: CancellationFlag::default(),
        incarnation: CancellationFlag::default(),
        deadline: now + timeout,
        send_by: now + send_within,
        reservation: no_reservation(),
    })
}

/// The reservation of nothing, in a budget that is never exceeded.
pub fn no_reservation() -> Rc<Reservation> {
    MemoryBudget::new(u64::MAX).reserve(0)
}

fn no_fill() -> Fill {
    Fill {
        source: "s".into(),
        priority: 0,
        max_age: None,
        may_join: false,
        only_held: false,
        parent_keeps: true,
        revalidate: false,
    }
}
