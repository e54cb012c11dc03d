//! The plain types between a front end and the decisions. Nothing is decided here.

use std::rc::Rc;
use std::time::Duration;

/// An id as the outside gave it: of a request, a cache server or an object.
pub type Id = Rc<str>;

/// What running a request twice would do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Effect {
    /// It may run again.
    #[default]
    Idempotent,
    /// It carries a mark by which a group of cache servers drops its repeats, for a while.
    Deduplicated,
    /// It must never run twice.
    NonIdempotent,
}

/// Which cache servers drop the repeats of a deduplicated request that one of them has seen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Group {
    #[default]
    /// All servers together.
    All,
    /// The servers of a zone.
    Zone,
    /// The servers of a cohort.
    Cohort,
}

/// One class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    /// What running a request twice would do.
    pub effect: Effect,
    /// Who drops the repeats of a deduplicated request.
    pub group: Group,
    /// How long repeats are recognised, from the first attempt that may have run.
    pub window: Duration,
    /// The latency objective: an answer after it is worth less.
    pub soft_deadline: Duration,
    /// The soft deadline grows by this multiple of the request's own sending time.
    pub soft_stretch: f64,
    /// An answer after it is worth nothing.
    pub deadline: Duration,
    /// What an answer in time is worth.
    pub value: f64,
    /// Share of the value that an answer after the soft deadline earns.
    pub late_value: f64,
    /// How long a copy is fresh; none: until it is purged.
    pub fresh: Option<Duration>,
    /// How long past that a copy may still be served.
    pub stale_for: Duration,
    /// Share of the value that an answer from such a copy earns.
    pub stale_value: f64,
    /// False where requests run at the origin and leave no copy.
    pub cacheable: bool,
    /// Objects come in parts, asked for in turn.
    pub in_parts: bool,
    /// Answers are streamed: what has begun belongs to the client.
    pub streamed: bool,
}

/// One customer.
#[derive(Clone, Debug)]
pub struct Customer {
    /// Its quota, in requests a second.
    pub per_second: f64,
    /// Its fraction of the service.
    pub share: f64,
}

/// The bounds within which something that has just started is not pushed over.
#[derive(Clone, Copy, Debug, Default)]
pub struct ColdStart {
    /// Share of its capacity at its start, at least.
    pub from: f64,
    /// It is warm after this long at most.
    pub warm_within: Duration,
    /// Sent more than this multiple of its present capacity...
    pub multiple: f64,
    /// ...for this long, it falls over.
    pub span: Duration,
}

/// What the capacity hints in the list mean.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Hints {
    #[default]
    /// There are none.
    None,
    /// What the servers were built for.
    Nominal,
    /// An estimate.
    Rough,
    /// What the servers bear now.
    Live,
}

/// Which caches can be named as the source of a fill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Siblings {
    #[default]
    /// None: misses are filled from parents and origins.
    None,
    /// Those of the same zone.
    Zone,
    /// All.
    Any,
}

/// How much the answers tell of hits and fills.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Telling {
    #[default]
    /// Neither.
    Nothing,
    /// Whether an answer was a hit.
    Hits,
    /// Hits, and where a fill came from.
    All,
}

/// All that a router is told of its deployment at its start. By default nothing is there and
/// nothing allowed.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// This router's number among all routers.
    pub number: u64,
    /// Where chance starts from.
    pub seed: u64,
    /// How many routers there are.
    pub routers: usize,
    /// This router's zone.
    pub zone: usize,
    /// How many routers serve each zone.
    pub routers_at: Vec<usize>,
    /// The hub that each zone is tied to.
    pub hub_of: Vec<usize>,
    /// What the link of each zone carries; 0: not known.
    pub link_kb_per_s: Vec<f64>,
    /// The classes of requests, by number.
    pub classes: Vec<Class>,
    /// The customers, by number.
    pub customers: Vec<Customer>,
    /// Least time between two calls.
    pub tick: Duration,

    /// Top pace of one answer: the unit of capacity.
    pub client_kb_per_s: f64,
    /// The most attempts of one request.
    pub max_attempts: usize,
    /// Hedged requests are allowed.
    pub second_copies: bool,
    /// Attempts can be cancelled.
    pub may_cancel: bool,
    /// The longest wait that clients heed after a rejection; none: they are not told.
    pub longest_advice: Option<Duration>,
    /// The slow start of caches.
    pub cold_cache: ColdStart,
    /// The slow start of parents.
    pub cold_parent: ColdStart,
    /// Attempts may still be sent so long after the notice of a drain.
    pub drain_grace: Duration,
    /// Older copies may still be served so long after the notice of a purge.
    pub purge_grace: Duration,
    /// No older copy is left anywhere after this long.
    pub purge_done: Duration,
    /// Parents and origin take attempts too.
    pub pass_through: bool,
    /// A server may have a request wait for a fill of the same part.
    pub joins: bool,
    /// Which caches can be named as the source of a fill.
    pub siblings: Siblings,
    /// How much the answers tell of hits and fills.
    pub telling: Telling,
    /// What the capacity hints in the list mean.
    pub hints: Hints,
    /// The list comes only to those who ask, and counts as told after this long without asking.
    pub list_on_request: bool,
    /// The longest time between two requests for the list.
    pub ask_within: Duration,
}

/// Whether a listed server takes requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    #[default]
    /// It takes requests.
    Active,
    /// It takes nothing new, and ends what it has.
    Draining,
    /// It is no longer listed.
    Gone,
}

/// What a server is: a cache of a zone, a parent of all zones, the origin, or this router's own
/// copies in memory or on disk, of which the list never tells: who has such adds them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Tier {
    #[default]
    /// A cache of a zone.
    Cache,
    /// A parent cache of all zones.
    Parent,
    /// The origin.
    Origin,
    /// A local cache of this router, in memory or on disk.
    Own,
}

/// One entry of the list of cache servers, parents and origin.
#[derive(Clone, Debug, Default)]
pub struct Member {
    /// Its name.
    pub server: Id,
    /// The zone that it is in.
    pub zone: usize,
    /// What it is.
    pub tier: Tier,
    /// The cohort that it is in.
    pub cohort: u64,
    /// Whether it takes requests.
    pub standing: Standing,
    /// By the hint; of own copies: how many answers at a client's pace this router's link carries
    /// at once.
    pub capacity: f64,
    /// When it last started; none: long ago.
    pub started: Option<Duration>,
    /// The cells that it is in, in order.
    pub cells: Rc<[u32]>,
}

/// What a list says: the entries that changed, the whole, the whole as last seen, or that a call
/// failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// The entries that changed.
    Changes,
    /// The whole list.
    Whole,
    /// The whole list as it was last seen.
    Remembered,
    /// The list could not be had.
    Failed,
}

/// A request as it comes in.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    /// The id of the request.
    pub id: Id,
    /// The number of its class.
    pub class: usize,
    /// The number of the customer it is from.
    pub customer: usize,
    /// The object that it asks for.
    pub object: Id,
    /// The part of the object.
    pub part: u64,
    /// The group by which the object can be purged.
    pub group: u64,
    /// The size of the answer.
    pub kb: f64,
    /// The cell it belongs to: only caches of that cell are asked for it; none: all are.
    pub cell: Option<u32>,
    /// The zone among whose caches it is drawn; none: the router's own. It keeps it for all its
    /// attempts.
    pub at: Option<usize>,
    /// The client's own time.
    pub left: Duration,
    /// The client says that it asks again.
    pub repeated: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The request was answered.
    Served,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen, or its source refused: did not run.
    Full,
    /// No answer within its limit; it may have run.
    TimedOut,
    /// No connection: did not run.
    Unreachable,
    /// The connection broke; it may have run.
    Broken,
    /// The router cancelled it; it may have run.
    Cancelled,
    /// It never left: did not run.
    NeverSent,
    /// Nothing suitable held there: did not run.
    Missing,
}

/// What an answer tells of the copy or the fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remark {
    /// Nothing.
    None,
    /// Answered from a copy.
    Hit,
    /// Filled from the source.
    Filled,
    /// Filled from a source that fetched it from the origin.
    FilledByOrigin,
    /// It waited for a fill of the same part that was under way.
    Joined,
    /// Answered from a copy past its fresh time.
    Stale,
    /// The source refused the fill.
    SourceRefused,
    /// The source could not be reached.
    SourceUnreached,
    /// The source, asked for what it holds, does not hold it.
    SourceLacks,
    /// The server had no capacity for another fill.
    NoFillPlace,
    /// The origin failed.
    OriginFailed,
}

/// A load report; what is not told is none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests in service.
    pub in_hand: Option<f64>,
    /// Requests in its queue.
    pub queued: Option<f64>,
    /// How busy it is.
    pub busy: Option<f64>,
    /// The share of hits lately.
    pub hit_share: Option<f64>,
    /// At a cache: how full its zone's link is; at a parent: fetches out.
    pub link: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Ended {
    /// Whether it was answered, and else what went wrong.
    pub outcome: Outcome,
    /// What the answer tells of the copy or the fill.
    pub remark: Remark,
    /// How long it took.
    pub took: Duration,
    /// Time to the source's first byte, or to its failure, where told.
    pub first_byte: Option<Duration>,
    /// The request is over: nothing is owed for it any more.
    pub over: bool,
    /// The load report that came with it.
    pub load: Load,
}

/// Orders for a miss.
#[derive(Clone, Debug, PartialEq)]
pub struct Fill {
    /// Where the server fills from; itself: it does not fill.
    pub source: Id,
    /// 0: no copy, no change; 1 to 3: the rank at which a copy is kept.
    pub rank: u8,
    /// Oldest copy that will do; none: as fresh as the class wants it. Never zero.
    pub oldest: Option<Duration>,
    /// It may wait for a fill of the same part that is under way.
    pub join: bool,
    /// The source gives only what it holds.
    pub only_held: bool,
    /// A parent that fetches the part keeps a copy.
    pub parent_keeps: bool,
    /// A copy past its fresh time is served, and renewed behind.
    pub renew: bool,
}

/// An own copy of what a request asks for.
#[derive(Clone, Debug)]
pub struct Held {
    /// Which member of tier `Own` has it.
    pub place: Id,
    /// When the origin gave it out.
    pub made: Duration,
    /// The client holds the same one: it need only be told.
    pub same: bool,
}

/// Through this a router acts. Each call takes effect at once, in the order made.
pub trait Outlet {
    /// One attempt, for at most `limit`; with no fill, the server is asked for what it holds.
    fn attempt(&mut self, request: &Id, server: &Id, limit: Duration, fill: &Fill);
    /// Final answer: rejected. Assures the client that trying again is safe.
    fn reject(&mut self, request: &Id, advice: Option<Duration>);
    /// Final answer: failed. Assures nothing.
    fn fail(&mut self, request: &Id);
    /// Cancels an attempt, by its number in the order sent.
    fn cancel(&mut self, request: &Id, attempt: usize);
    /// Asks for a call of `wake` with this mark at or after `at`.
    fn wake_at(&mut self, at: Duration, mark: u64);
    /// Asks for the changes of the list, where they come only to those who ask.
    fn watch_list(&mut self);
    /// The own copy of what this request asks for, none where it is not known to be free of purges
    /// told.
    fn held(&mut self, _request: &Id) -> Option<Held> {
        None
    }
    /// A cache was found to hold a part, by its key, or was told to keep it, which was not known
    /// before.
    fn found(&mut self, _part: u32, _cache: &Id) {}
    /// What this request has just been served with is to be an own copy at this rank, from 1 to 3.
    fn keep(&mut self, _request: &Id, _rank: u8) {}
}
