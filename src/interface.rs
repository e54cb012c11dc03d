//! Data types exchanged between a front end and the router. This module contains no decision logic.

use std::rc::Rc;
use std::time::Duration;

/// An identifier of a request, cache server or object, as the front end supplies it.
pub type Id = Rc<str>;

/// The effect of executing a request more than once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// Repeated execution is harmless.
    #[default]
    Idempotent,
    /// The request carries a key by which a group of cache servers drops repeats for a limited
    /// time.
    Deduplicated,
    /// The request must not be executed twice.
    NonIdempotent,
}

/// The set of cache servers that drop repeats of a deduplicated request that any of them has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    #[default]
    /// All servers.
    All,
    /// The servers of a zone.
    Zone,
    /// The servers of a cohort.
    Cohort,
}

/// A class of requests and its service objectives.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// The effect of executing a request more than once.
    pub effect: Effect,
    /// The servers that drop repeats of a deduplicated request.
    pub group: Group,
    /// How long repeats are recognised, counted from the first attempt that may have been executed.
    pub dedup_window: Duration,
    /// The latency objective, after which an answer earns only `late_value`.
    pub soft_deadline: Duration,
    /// The soft deadline is extended by this multiple of the answer's transfer time.
    pub soft_deadline_multiple: f64,
    /// The hard deadline, after which an answer has no value.
    pub deadline: Duration,
    /// The value of an answer within the soft deadline.
    pub value: f64,
    /// The fraction of the value that an answer after the soft deadline earns.
    pub late_value: f64,
    /// How long a copy stays fresh; `None`: until it is purged.
    pub fresh: Option<Duration>,
    /// How long after `fresh` has passed a stale copy may still be served.
    pub max_staleness: Duration,
    /// The fraction of the value that an answer from a stale copy earns.
    pub stale_value: f64,
    /// Whether caches may keep a copy. Requests of other classes are executed at the origin.
    pub cacheable: bool,
    /// Objects consist of parts that are requested one after another.
    pub in_parts: bool,
    /// Answers are streamed; an answer that has started is not interrupted.
    pub streamed: bool,
}

/// The quota and the entitlement of one customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Quota in requests per second.
    pub per_second: f64,
    /// The fraction of the service capacity that the customer is entitled to.
    pub share: f64,
}

/// Slow-start parameters: how much load a server bears after it has started.
#[derive(Clone, Copy, Debug, Default)]
pub struct SlowStartSettings {
    /// The minimum fraction of its capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// The time after which the server has its full capacity at the latest.
    pub warm_up_time: Duration,
    /// The server fails when it is sent more than this multiple of its current capacity...
    pub overload_multiple: f64,
    /// ...over this period.
    pub window: Duration,
}

/// The meaning of the capacity hints in the endpoint list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CapacityHints {
    #[default]
    /// The list has no capacity hints.
    None,
    /// The design capacity of the server.
    Nominal,
    /// An estimate of the capacity.
    Rough,
    /// The current capacity of the server.
    Live,
}

/// Which caches can be the source of a fill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Siblings {
    #[default]
    /// None; misses are filled from parents and origins only.
    None,
    /// Caches of the same zone.
    Zone,
    /// All caches.
    Any,
}

/// Which details of hits and fills answers report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ReportedDetails {
    #[default]
    /// No details.
    Nothing,
    /// Whether the answer was a hit.
    Hits,
    /// Whether the answer was a hit, and where a fill came from.
    All,
}

/// The static configuration of a router. By default every number is zero and every capability is
/// disabled.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// The index of this router among all routers.
    pub router_index: u64,
    /// The seed of the random number generator.
    pub seed: u64,
    /// The number of routers in the deployment.
    pub routers: usize,
    /// The zone of this router.
    pub zone: usize,
    /// The number of routers in each zone.
    pub routers_per_zone: Vec<usize>,
    /// The hub to which each zone is connected.
    pub hub_by_zone: Vec<usize>,
    /// The bandwidth of each zone's link; 0: unknown.
    pub link_kb_per_s: Vec<f64>,
    /// The request classes, by class number.
    pub classes: Vec<Class>,
    /// The customers, by customer number.
    pub customers: Vec<Customer>,
    /// The minimum interval between two calls of the router.
    pub min_call_interval: Duration,

    /// The maximum transfer rate of one answer; the unit of capacity.
    pub client_kb_per_s: f64,
    /// The maximum number of attempts per request.
    pub max_attempts: usize,
    /// Whether hedged requests are allowed.
    pub allows_hedging: bool,
    /// Whether attempts can be cancelled.
    pub may_cancel: bool,
    /// The maximum retry delay that clients honour after a rejection; `None`: rejections carry no
    /// delay.
    pub max_retry_after: Option<Duration>,
    /// Slow-start parameters of caches.
    pub cold_cache: SlowStartSettings,
    /// Slow-start parameters of parents.
    pub cold_parent: SlowStartSettings,
    /// How long after the notice of a drain attempts may still be sent.
    pub drain_grace: Duration,
    /// How long after the notice of a purge older copies may still be served.
    pub purge_grace: Duration,
    /// The time after which a purge has removed every older copy.
    pub purge_done: Duration,
    /// Whether attempts can be sent to parents and origins directly.
    pub pass_through: bool,
    /// Whether a server can let a request wait for a fill of the same part that is in progress.
    pub joins_fills: bool,
    /// Which caches can be the source of a fill.
    pub siblings: Siblings,
    /// Which details of hits and fills answers report.
    pub reported_details: ReportedDetails,
    /// The meaning of the capacity hints in the endpoint list.
    pub hints: CapacityHints,
    /// Whether the endpoint list is delivered only on request. A list counts as received once
    /// `list_request_interval` has passed without a request.
    pub list_on_request: bool,
    /// The maximum interval between two requests for the list.
    pub list_request_interval: Duration,
    /// The memory that the access history may take, in bytes; `None`: unlimited, up to a fixed
    /// number of parts.
    pub access_history_bytes: Option<usize>,
}

/// The administrative state of a listed server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerState {
    #[default]
    /// The server accepts requests.
    Active,
    /// The server accepts no new requests and completes those in progress.
    Draining,
    /// The server is no longer listed.
    Removed,
}

/// The tier of a server. Local caches are not part of the discovered endpoint list; a front end
/// that has them adds them as members.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Tier {
    #[default]
    /// A cache server of one zone.
    Cache,
    /// A parent cache that serves all zones.
    Parent,
    /// The origin.
    Origin,
    /// A local cache of this router: its memory tier or its disk tier.
    Local,
}

/// An entry of the endpoint list: a cache server, parent, origin or local cache.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// The server's name.
    pub server: Id,
    /// The server's zone.
    pub zone: usize,
    /// The server's tier.
    pub tier: Tier,
    /// The server's cohort.
    pub cohort: u64,
    /// The server's administrative state.
    pub state: ServerState,
    /// The capacity hint. For a local cache, the number of answers that this router's link can
    /// transfer in parallel at the clients' rate.
    pub capacity: f64,
    /// The time of the last start; `None`: long ago.
    pub started: Option<Duration>,
    /// The server's cells, in ascending order.
    pub cells: Rc<[u32]>,
}

/// The kind of an endpoint list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the entries that changed.
    Changes,
    /// The complete list.
    Snapshot,
    /// The complete list as it was last received, restored from storage.
    Restored,
    /// The request for the list failed.
    Failed,
}

/// An incoming request.
#[derive(Clone, Debug, Default)]
pub struct IncomingRequest {
    /// The request's identifier.
    pub id: Id,
    /// The request's class, as an index of [`Deployment::classes`].
    pub class: usize,
    /// The customer who sent it, as an index of [`Deployment::customers`].
    pub customer: usize,
    /// The requested object.
    pub object: Id,
    /// The requested part of the object.
    pub part: u64,
    /// The purge group of the object.
    pub group: u64,
    /// The size of the answer in kilobytes, as the client states it; 0: unknown.
    pub kb: f64,
    /// The number of the client's connection; 0 where connections are not told apart.
    pub connection: u64,
    /// The request's cell, which restricts it to caches of that cell; `None`: no restriction.
    pub cell: Option<u32>,
    /// The zone whose caches serve all attempts of the request; `None`: the router's own zone.
    pub zone: Option<usize>,
    /// The time left until the client's deadline.
    pub time_left: Duration,
    /// The client marked the request as a retry.
    pub is_retry: bool,
}

/// The outcome of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was answered.
    Served,
    /// The server returned an error; the request may have been executed.
    Error,
    /// The server rejected the request unprocessed, or the source refused the fill; not executed.
    Full,
    /// No answer within the time limit; the request may have been executed.
    TimedOut,
    /// The connection could not be established; not executed.
    Unreachable,
    /// The connection was lost; the request may have been executed.
    Broken,
    /// The router cancelled the attempt; the request may have been executed.
    Cancelled,
    /// The attempt was never sent; not executed.
    NeverSent,
    /// The server holds no suitable copy; not executed.
    Missing,
}

impl Outcome {
    /// Whether the request may have been executed.
    pub fn may_have_run(self) -> bool {
        use Outcome::{Broken, Cancelled, Error, Served, TimedOut};
        matches!(self, Served | Error | TimedOut | Broken | Cancelled)
    }
}

/// What an answer reports of the copy or the fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remark {
    /// The answer reports nothing.
    None,
    /// A cache hit.
    Hit,
    /// A miss, filled from the source.
    Filled,
    /// A miss, filled from a source that fetched the part from the origin.
    FilledByOrigin,
    /// The request waited for a fill of the same part that was in progress.
    Joined,
    /// A hit on a stale copy.
    Stale,
    /// The source refused the fill.
    SourceRefused,
    /// The source was unreachable.
    SourceUnreached,
    /// The source was asked for a held copy only, and has none.
    SourceLacks,
    /// The server had no capacity for another fill.
    NoFillCapacity,
    /// The origin failed.
    OriginFailed,
}

/// A load report; values that the server does not report are `None`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// The number of requests in service.
    pub in_service: Option<f64>,
    /// The number of queued requests.
    pub queued: Option<f64>,
    /// The server's utilization.
    pub utilization: Option<f64>,
    /// The recent hit ratio.
    pub hit_share: Option<f64>,
    /// Of a cache: the utilization of its zone's link. Of a parent: the number of fetches in
    /// flight.
    pub link: Option<f64>,
}

/// The result of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptResult {
    /// The outcome, which tells an answer from the kinds of failure.
    pub outcome: Outcome,
    /// What the answer reports of the copy or the fill.
    pub remark: Remark,
    /// The duration of the attempt.
    pub duration: Duration,
    /// The time to the source's first byte, or to its failure, where reported.
    pub first_byte: Option<Duration>,
    /// The request is complete; the client needs no further answer.
    pub is_complete: bool,
    /// The load report that came with the result.
    pub load: Load,
}

/// How a server handles a miss.
#[derive(Clone, Debug, PartialEq)]
pub struct Fill {
    /// The server to fill from; the server itself if it must not fill.
    pub source: Id,
    /// 0: the server keeps no new copy and changes none; 1 to 3: the priority at which it retains a
    /// copy.
    pub priority: u8,
    /// The maximum age of an acceptable copy; `None`: the class's freshness applies. Never zero.
    pub max_age: Option<Duration>,
    /// The request may wait for a fill of the same part that is in progress.
    pub may_join: bool,
    /// The source answers only from copies that it holds.
    pub only_held: bool,
    /// A parent that fetches the part retains a copy.
    pub parent_keeps: bool,
    /// A stale copy is served, and revalidated in the background.
    pub revalidate: bool,
}

/// How long an attempt may take, from the time at which it is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptLimits {
    /// The maximum duration of the attempt.
    pub duration: Duration,
    /// The first byte is sent within this time, or the attempt ends as [`Outcome::NeverSent`]:
    /// later, the rules that were checked for the decision may forbid it.
    pub send_within: Duration,
}

/// A local copy of the requested part.
#[derive(Clone, Debug)]
pub struct LocalCopy {
    /// The member of tier [`Tier::Local`] that has the copy.
    pub cache: Id,
    /// When the origin sent it.
    pub created_at: Duration,
    /// The client holds the same copy, so that a not-modified answer suffices.
    pub client_has_it: bool,
}

/// The actions of a router. Each call takes effect at once, in call order.
pub trait ActionSink {
    /// Sends an attempt, within its limits. Where `fill` names the server itself as the source, the
    /// server answers only from a copy that it holds.
    fn attempt(&mut self, request: &Id, server: &Id, limits: AttemptLimits, fill: &Fill);
    /// Gives the final answer: rejected. Guarantees the client that a retry is safe.
    fn reject(&mut self, request: &Id, retry_after: Option<Duration>);
    /// Gives the final answer: failed. Guarantees nothing.
    fn fail(&mut self, request: &Id);
    /// Cancels an attempt, identified by its number in send order.
    fn cancel(&mut self, request: &Id, attempt: usize);
    /// Schedules a call of `wake` with this timer ID at time `at` or later.
    fn set_timer(&mut self, at: Duration, timer_id: u64);
    /// Cancels a timer that was set for `at`, as its request is finished. A front end that cannot
    /// cancel timers may ignore this: `wake` has no effect for a cancelled timer.
    fn cancel_timer(&mut self, _at: Duration, _timer_id: u64) {}
    /// Subscribes to changes of the endpoint list, where it is delivered only on request.
    fn subscribe_list(&mut self);
    /// The local copy for this request; `None` if there is none, or if it is not known to be
    /// unaffected by the purges received.
    fn local_copy(&mut self, _request: &Id) -> Option<LocalCopy> {
        None
    }
    /// Reports a newly learned location of a copy: `cache` holds the part with this key, or was
    /// asked to keep it.
    fn holder_found(&mut self, _part: u32, _cache: &Id) {}
    /// Keeps the answer just served to this request as a local copy, at this priority from 1 to 3.
    fn keep_local_copy(&mut self, _request: &Id, _priority: u8) {}
}
