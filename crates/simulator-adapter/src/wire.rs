//! Batches in, replies out: every event becomes a call on its router, every answer of a router a line.

use chalkhall::control::Router;
use chalkhall::interface::{
    Arrival, Ended, Fill, Id, ListKind, Load, Member, Outcome, Outlet, Remark, Standing, Tier,
};
use chalkhall_settings::{self as deployment, Fields, flag, ms, number, span, text, whole};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::time::Duration;

fn id(fields: &Fields, name: &str) -> Result<Id, String> {
    match text(fields, name)? {
        "" => Err(format!("{name} is missing")),
        found => Ok(found.into()),
    }
}

/// Writes a router's answers as lines of the reply.
struct Lines<'a, W: Write> {
    router: u64,
    output: &'a mut W,
    failed: Option<String>,
}

impl<W: Write> Lines<'_, W> {
    fn put(&mut self, name: &str, mut fields: Value) {
        fields["Router"] = self.router.into();
        if let Err(e) = writeln!(self.output, "{}", json!({ name: fields })) {
            self.failed = Some(format!("standard output: {e}"));
        }
    }
}

impl<W: Write> Outlet for Lines<'_, W> {
    fn attempt(&mut self, request: &Id, server: &Id, limit: Duration, fill: &Fill) {
        let manner = u8::from(fill.join)
            | u8::from(fill.only_held) << 1
            | u8::from(!fill.parent_keeps) << 2
            | u8::from(fill.renew) << 3;
        let mut fields = json!({"OpId": &**request, "Server": &**server, "GiveUpAfter": ms(limit)});
        fields["Source"] = (*fill.source).into();
        fields["Rank"] = fill.rank.into();
        fields["Manner"] = manner.into();
        if let Some(oldest) = fill.oldest {
            fields["HowOld"] = ms(oldest).into();
        }
        self.put("ServeOrFill", fields);
    }

    fn reject(&mut self, request: &Id, advice: Option<Duration>) {
        self.put(
            "Refuse",
            json!({"OpId": &**request, "HoldOff": advice.map_or(0.0, ms)}),
        );
    }

    fn fail(&mut self, request: &Id) {
        self.put("FinishError", json!({"OpId": &**request}));
    }

    fn cancel(&mut self, request: &Id, attempt: usize) {
        self.put("CallOff", json!({"OpId": &**request, "N": attempt}));
    }

    fn wake_at(&mut self, at: Duration, mark: u64) {
        self.put("NotifyMe", json!({"When": ms(at), "Mark": mark}));
    }

    fn watch_list(&mut self) {
        self.put("Listen", json!({"Enable": true}));
    }
}

/// An entry of a list with its kind: which of them are parents or the origin each router is told.
fn member(entry: &Value) -> Result<(Member, u64), String> {
    let f = entry
        .as_object()
        .ok_or("an entry of Members is not an object")?;
    let started = number(f, "LastStart")?;
    let member = Member {
        server: id(f, "Server")?,
        zone: whole(f, "Area")? as usize,
        tier: Tier::Cache,
        cohort: whole(f, "Cohort")?,
        standing: match text(f, "Mode")? {
            "active" => Standing::Active,
            "leaving" => Standing::Draining,
            "left" => Standing::Gone,
            other => return Err(format!("unknown Mode {other:?}")),
        },
        capacity: number(f, "CapacityHint")?,
        started: (started > 0.0).then(|| span(started)),
        ..Member::default()
    };
    Ok((member, whole(f, "Sku")?))
}

fn outcome(code: &str) -> Result<Outcome, String> {
    Ok(match code {
        "OK" => Outcome::Served,
        "INTERNAL" => Outcome::Error,
        "RESOURCE_EXHAUSTED" => Outcome::Full,
        "DEADLINE_EXCEEDED" => Outcome::TimedOut,
        "UNAVAILABLE" => Outcome::Unreachable,
        "ABORTED" => Outcome::Broken,
        "CANCELLED" => Outcome::Cancelled,
        "TOO_LATE" => Outcome::NeverSent,
        "NOT_FOUND" => Outcome::Missing,
        other => return Err(format!("unknown StateCode {other:?}")),
    })
}

fn remark(code: u64) -> Remark {
    match code {
        1 => Remark::Hit,
        2 => Remark::Filled,
        3 => Remark::FilledByOrigin,
        4 => Remark::Joined,
        5 => Remark::Stale,
        6 => Remark::SourceRefused,
        7 => Remark::SourceUnreached,
        8 => Remark::SourceLacks,
        9 => Remark::NoFillPlace,
        10 => Remark::OriginFailed,
        _ => Remark::None,
    }
}

/// One router, and the names of the values in the load reports it gets.
struct Hosted {
    router: Router,
    report: Vec<String>,
    classes: usize,
    parent_and_origin: [Option<u64>; 2],
}

impl Hosted {
    fn load(&self, fields: &Fields) -> Result<Load, String> {
        let mut load = Load::default();
        let Some(values) = fields.get("Metrics").filter(|v| !v.is_null()) else {
            return Ok(load);
        };
        let values = values.as_array().ok_or("Metrics is not an array")?;
        for (name, value) in self.report.iter().zip(values) {
            match name.as_str() {
                "rif" => load.in_hand = value.as_f64(),
                "q" => load.queued = value.as_f64(),
                "busy" => load.busy = value.as_f64(),
                "x0" => load.hit_share = value.as_f64(),
                "x1" => load.link = value.as_f64(),
                _ => {}
            }
        }
        Ok(load)
    }

    fn ended(&self, f: &Fields) -> Result<Ended, String> {
        let waited = f.get("Ttfb").filter(|v| !v.is_null());
        Ok(Ended {
            outcome: outcome(text(f, "StateCode")?)?,
            remark: remark(whole(f, "Remark")?),
            took: span(number(f, "Took")?),
            first_byte: waited.map(|_| number(f, "Ttfb").map(span)).transpose()?,
            over: flag(f, "Last")?,
            load: self.load(f)?,
        })
    }
}

/// What one process hosts: its routers, and the numbered lists that `Discovery` refers to.
#[derive(Default)]
struct Host {
    now: Duration,
    routers: HashMap<u64, Hosted>,
    sheets: HashMap<u64, Vec<(Member, u64)>>,
}

impl Host {
    fn event(&mut self, name: &str, f: &Fields, output: &mut impl Write) -> Result<(), String> {
        if name == "Table" {
            let entries = f
                .get("Members")
                .and_then(Value::as_array)
                .ok_or("Members is not an array")?;
            let entries = entries.iter().map(member).collect::<Result<_, _>>()?;
            self.sheets.insert(whole(f, "Sheet")?, entries);
            return Ok(());
        }
        if !f.contains_key("Router") {
            return Err("Router is missing".into());
        }
        let number_of = whole(f, "Router")?;
        let out = &mut Lines {
            router: number_of,
            output,
            failed: None,
        };
        let now = self.now;
        if name == "Boot" {
            let options = f
                .get("Options")
                .and_then(Value::as_object)
                .ok_or("Options is not an object")?;
            let told = deployment::deployment(whole(f, "Salt")?, options)?;
            let router = Router::start(now, &told, out);
            let (report, classes) = (deployment::report_fields(options), told.classes.len());
            let parent_and_origin = deployment::parent_and_origin(options);
            self.routers.insert(
                number_of,
                Hosted {
                    router,
                    report,
                    classes,
                    parent_and_origin,
                },
            );
            return out.failed.take().map_or(Ok(()), Err);
        }
        let hosted = self
            .routers
            .get_mut(&number_of)
            .ok_or_else(|| format!("router {number_of} was not started"))?;
        match name {
            "Killed" => drop(self.routers.remove(&number_of)),
            "Discovery" => {
                let kind = match text(f, "How")? {
                    "incr" => ListKind::Changes,
                    "total" => ListKind::Whole,
                    "warm_copy" => ListKind::Remembered,
                    "lost" => ListKind::Failed,
                    other => return Err(format!("unknown How {other:?}")),
                };
                let sheet = whole(f, "Sheet")?;
                let entries = match self.sheets.get(&sheet) {
                    _ if kind == ListKind::Failed => &[],
                    Some(entries) => entries.as_slice(),
                    None => return Err(format!("Sheet {sheet} was never given")),
                };
                let [parent, origin] = hosted.parent_and_origin;
                let placed = |(member, kind): &(Member, u64)| Member {
                    tier: match Some(*kind) {
                        kind if kind == parent => Tier::Parent,
                        kind if kind == origin => Tier::Origin,
                        _ => Tier::Cache,
                    },
                    ..member.clone()
                };
                let entries: Vec<Member> = entries.iter().map(placed).collect();
                hosted.router.list(now, kind, &entries, out);
            }
            "Accept" => {
                let arrival = Arrival {
                    id: id(f, "OpId")?,
                    class: whole(f, "Priority")? as usize,
                    customer: whole(f, "Customer")? as usize,
                    object: text(f, "Item")?.into(),
                    part: whole(f, "Segment")?,
                    group: whole(f, "SetNo")?,
                    kb: number(f, "Kb")?,
                    at: None,
                    left: span(number(f, "Ttl")?),
                    repeated: flag(f, "Repeat")?,
                    cell: None,
                };
                if arrival.class >= hosted.classes {
                    return Err(format!("Priority {} names no class", arrival.class));
                }
                hosted.router.request(now, arrival, out);
            }
            "Result" => {
                let ended = hosted.ended(f)?;
                hosted
                    .router
                    .result(now, &id(f, "OpId")?, whole(f, "N")? as usize, &ended, out);
            }
            "First" => hosted.router.begun(&id(f, "OpId")?),
            "TimedOutClient" => hosted.router.left(now, &id(f, "OpId")?, out),
            "Timer" => hosted.router.wake(now, whole(f, "Mark")?, out),
            "ExpiredNow" => {
                let object = Some(text(f, "Item")?)
                    .filter(|item| !item.is_empty())
                    .map(Id::from);
                hosted.router.purged(
                    now,
                    object,
                    whole(f, "FamilyId")?,
                    span(number(f, "HowOld")?),
                );
            }
            // Routers neither probe nor tell one another anything.
            "ProbeDone" | "Message" => {}
            other => eprintln!("chalkhall-simulator-adapter: unknown event {other:?} skipped"),
        }
        out.failed.take().map_or(Ok(()), Err)
    }
}

/// Plays batches until input ends. An error says what was wrong, and in which line.
pub fn run(mut input: impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut turn: Option<Value> = None;
    let mut line = String::new();
    for at in 1u64.. {
        line.clear();
        let wrong = |what: String| format!("line {at}: {what}");
        if input
            .read_line(&mut line)
            .map_err(|e| wrong(format!("cannot be read: {e}")))?
            == 0
        {
            break;
        }
        if line.trim().is_empty() {
            continue;
        }
        let message: Value =
            serde_json::from_str(&line).map_err(|e| wrong(format!("not a JSON message: {e}")))?;
        let Some((name, fields)) = message
            .as_object()
            .filter(|m| m.len() == 1)
            .and_then(|m| m.iter().next())
        else {
            return Err(wrong(
                "a message must be an object with a single key".into(),
            ));
        };
        let fields = fields
            .as_object()
            .ok_or_else(|| wrong(format!("{name} does not hold an object")))?;
        let within = |what: String| wrong(format!("{name}: {what}"));
        match (name.as_str(), &turn) {
            ("Turn", None) => {
                host.now = span(number(fields, "Ts").map_err(within)?);
                turn = Some(
                    fields
                        .get("turn")
                        .cloned()
                        .ok_or_else(|| within("turn is missing".into()))?,
                );
            }
            ("Turn", Some(_)) => return Err(within("the batch before it has not ended".into())),
            (_, None) => return Err(within("no batch has begun".into())),
            ("End", Some(number)) => {
                writeln!(output, "{}", json!({"Eor": {"turn": number}}))
                    .and_then(|()| output.flush())
                    .map_err(|e| format!("standard output: {e}"))?;
                turn = None;
            }
            (_, Some(_)) => host.event(name, fields, output).map_err(within)?,
        }
    }
    turn.map_or(Ok(()), |number| {
        Err(format!("input ended within batch {number}"))
    })
}
