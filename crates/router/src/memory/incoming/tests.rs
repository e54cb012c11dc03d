use super::*;
use std::time::Duration;
use tokio::time::timeout;

const BODY_BYTES: usize = 64_000;

fn bodies(allocated: fn() -> usize) -> Rc<IncomingBodies> {
    IncomingBodies::new(0, MemoryBudget::with_meter(4 << 20, allocated))
}

#[tokio::test(flavor = "current_thread", start_paused = true)]
async fn a_body_beyond_the_memory_for_bodies_waits_until_another_is_released() {
    let bodies = bodies(|| 0);
    let mut permits = Vec::new();
    while bodies.bytes() + BODY_BYTES <= MIN_INCOMING_BYTES as usize {
        permits.push(bodies.clone().acquire(BODY_BYTES).await.unwrap());
    }
    assert!(!bodies.is_short());
    {
        let mut waiting = std::pin::pin!(bodies.clone().acquire(BODY_BYTES));
        let mut shortage = std::pin::pin!(bodies.shortage());
        assert!(timeout(Duration::ZERO, &mut shortage).await.is_err());
        assert!(timeout(Duration::ZERO, &mut waiting).await.is_err());
        assert!(bodies.is_short());
        shortage.await;
        permits.pop();
        assert!(waiting.await.is_some());
    }
    assert!(!bodies.is_short());
}

#[tokio::test(flavor = "current_thread")]
async fn no_body_is_received_while_the_memory_of_the_process_is_exhausted() {
    let bodies = bodies(|| 3 << 20);
    assert!(bodies.clone().acquire(BODY_BYTES).await.is_none());
    assert_eq!(bodies.bytes(), 0);
}
