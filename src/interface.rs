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
    All,
    Zone,
    Cohort,
}

/// One class of requests.
#[derive(Clone, Debug, Default)]
pub struct Class {
    pub effect: Effect,
    pub group: Group,
    /// How long repeats are recognised, from the first attempt that may have run.
    pub window: Duration,
    pub soft_deadline: Duration,
    /// The soft deadline grows by this multiple of the request's own sending time.
    pub soft_stretch: f64,
    pub deadline: Duration,
    pub value: f64,
    /// Share of the value that an answer after the soft deadline earns.
    pub late_value: f64,
    /// How long a copy is fresh; none: until it is purged.
    pub fresh: Option<Duration>,
    /// How long past that a copy may still be served, and the share of the value it then earns.
    pub stale_for: Duration,
    pub stale_value: f64,
    /// False where requests run at the origin and leave no copy.
    pub cacheable: bool,
    /// Objects come in parts, asked for in turn.
    pub in_parts: bool,
    pub streamed: bool,
}

#[derive(Clone, Debug)]
pub struct Customer {
    pub per_second: f64,
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
    None,
    Nominal,
    Rough,
    Live,
}

/// Which caches can be named as the source of a fill.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Siblings {
    #[default]
    None,
    Zone,
    Any,
}

/// How much the answers tell of hits and fills.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Telling {
    #[default]
    Nothing,
    Hits,
    All,
}

/// All that a router is told of its deployment at its start. By default nothing is there and nothing allowed.
#[derive(Clone, Debug, Default)]
pub struct Deployment {
    /// This router's number and how many there are.
    pub number: u64,
    /// Where chance starts from.
    pub seed: u64,
    pub routers: usize,
    pub zone: usize,
    /// By zone: how many routers serve it; the hub it is tied to; what its link carries (0: not told).
    pub routers_at: Vec<usize>,
    pub hub_of: Vec<usize>,
    pub link_kb_per_s: Vec<f64>,
    pub classes: Vec<Class>,
    pub customers: Vec<Customer>,
    /// Least time between two calls.
    pub tick: Duration,

    /// Top pace of one answer: the unit of capacity.
    pub client_kb_per_s: f64,
    pub max_attempts: usize,
    pub second_copies: bool,
    pub may_cancel: bool,
    /// The longest wait that clients heed after a rejection; none: they are not told.
    pub longest_advice: Option<Duration>,
    pub cold_cache: ColdStart,
    pub cold_parent: ColdStart,
    pub drain_grace: Duration,
    pub purge_grace: Duration,
    /// No older copy is left anywhere after this long.
    pub purge_done: Duration,
    /// Parents and origin take attempts too.
    pub pass_through: bool,
    pub joins: bool,
    pub siblings: Siblings,
    pub telling: Telling,
    pub hints: Hints,
    /// The list comes only to those who ask, and counts as told after this long without asking.
    pub list_on_request: bool,
    pub ask_within: Duration,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Standing {
    #[default]
    Active,
    Draining,
    Gone,
}

/// What a server is: a cache of a zone, a parent of all zones, the origin, or this router's own
/// copies in memory or on disk, of which the list never tells: who has such adds them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Tier {
    #[default]
    Cache,
    Parent,
    Origin,
    Own,
}

/// One entry of the list of cache servers, parents and origin.
#[derive(Clone, Debug, Default)]
pub struct Member {
    pub server: Id,
    pub zone: usize,
    pub tier: Tier,
    pub cohort: u64,
    pub standing: Standing,
    /// By the hint; of own copies: how many answers at a client's pace this router's link carries at once.
    pub capacity: f64,
    /// When it last started; none: long ago.
    pub started: Option<Duration>,
    /// The cells that it is in, in order.
    pub cells: Rc<[u32]>,
}

/// What a list says: the entries that changed, the whole, the whole as last seen, or that a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    Changes,
    Whole,
    Remembered,
    Failed,
}

/// A request as it comes in.
#[derive(Clone, Debug, Default)]
pub struct Arrival {
    pub id: Id,
    pub class: usize,
    pub customer: usize,
    pub object: Id,
    pub part: u64,
    pub group: u64,
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    Served,
    /// The server answered with an error; it may have run.
    Error,
    /// Turned away unseen, or its source refused: did not run.
    Full,
    TimedOut,
    /// No connection: did not run.
    Unreachable,
    /// The connection broke; it may have run.
    Broken,
    Cancelled,
    /// It never left: did not run.
    NeverSent,
    /// Nothing suitable held there: did not run.
    Missing,
}

/// What an answer tells of the copy or the fill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Remark {
    None,
    Hit,
    Filled,
    FilledByOrigin,
    Joined,
    Stale,
    SourceRefused,
    SourceUnreached,
    SourceLacks,
    NoFillPlace,
    OriginFailed,
}

/// A load report; what is not told is none.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    pub in_hand: Option<f64>,
    pub queued: Option<f64>,
    pub busy: Option<f64>,
    pub hit_share: Option<f64>,
    /// At a cache: how full its zone's link is; at a parent: fetches out.
    pub link: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct Ended {
    pub outcome: Outcome,
    pub remark: Remark,
    pub took: Duration,
    /// Time to the source's first byte, or to its failure, where told.
    pub first_byte: Option<Duration>,
    /// The request is over: nothing is owed for it any more.
    pub over: bool,
    pub load: Load,
}

/// Orders for a miss.
#[derive(Clone, Debug, PartialEq)]
pub struct Fill {
    pub source: Id,
    /// 0: no copy, no change; 1 to 3: the rank at which a copy is kept.
    pub rank: u8,
    /// Oldest copy that will do; none: as fresh as the class wants it. Never zero.
    pub oldest: Option<Duration>,
    pub join: bool,
    /// The source gives only what it holds.
    pub only_held: bool,
    pub parent_keeps: bool,
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
    fn cancel(&mut self, request: &Id, attempt: usize);
    /// Asks for a call of `wake` with this mark at or after `at`.
    fn wake_at(&mut self, at: Duration, mark: u64);
    /// Asks for the changes of the list, where they come only to those who ask.
    fn watch_list(&mut self);
    /// The own copy of what this request asks for, none where it is not known to be free of purges told.
    fn held(&mut self, _request: &Id) -> Option<Held> {
        None
    }
    /// A cache was found to hold a part, by its key, or was told to keep it, which was not known before.
    fn found(&mut self, _part: u32, _cache: &Id) {}
    /// What this request has just been served with is to be an own copy at this rank, from 1 to 3.
    fn keep(&mut self, _request: &Id, _rank: u8) {}
}
