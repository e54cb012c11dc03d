//! The simulator's protocol: each event of a batch becomes a call of a router, each output of a router a line of the
//! reply.

use chalkhall::control::Router;
use chalkhall::interface::{
    ActionSink, AttemptLimits, AttemptResult, Fill, Id, IncomingRequest, ListKind, Load, Member,
    Outcome, Remark, ServerState, Tier,
};
use chalkhall_settings::{
    self as deployment, Fields, duration_from_ms, duration_to_ms, flag, number, string, unsigned,
};
use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, Write};
use std::time::Duration;

fn id(fields: &Fields, name: &str) -> Result<Id, String> {
    match string(fields, name)? {
        "" => Err(format!("{name} is missing")),
        found => Ok(found.into()),
    }
}

/// Writes the outputs of a router as lines of the reply.
struct ReplyWriter<'a, W: Write> {
    router: u64,
    output: &'a mut W,
    failed: Option<String>,
}

impl<W: Write> ReplyWriter<'_, W> {
    fn write(&mut self, name: &str, mut fields: Value) {
        fields["Router"] = self.router.into();
        if let Err(e) = writeln!(self.output, "{}", json!({ name: fields })) {
            self.failed = Some(format!("standard output: {e}"));
        }
    }
}

impl<W: Write> ActionSink for ReplyWriter<'_, W> {
    fn attempt(&mut self, request: &Id, server: &Id, limits: AttemptLimits, fill: &Fill) {
        let manner = u8::from(fill.may_join)
            | u8::from(fill.only_held) << 1
            | u8::from(!fill.parent_keeps) << 2
            | u8::from(fill.revalidate) << 3;
        let mut fields = json!({"OpId": &**request, "Server": &**server, "GiveUpAfter": duration_to_ms(limits.duration)});
        fields["Source"] = (*fill.source).into();
        fields["Rank"] = fill.priority.into();
        fields["Manner"] = manner.into();
        if let Some(oldest) = fill.max_age {
            fields["HowOld"] = duration_to_ms(oldest).into();
        }
        self.write("ServeOrFill", fields);
    }

    fn reject(&mut self, request: &Id, retry_after: Option<Duration>) {
        self.write(
            "Refuse",
            json!({"OpId": &**request, "HoldOff": retry_after.map_or(0.0, duration_to_ms)}),
        );
    }

    fn fail(&mut self, request: &Id) {
        self.write("FinishError", json!({"OpId": &**request}));
    }

    fn cancel(&mut self, request: &Id, attempt: usize) {
        self.write("CallOff", json!({"OpId": &**request, "N": attempt}));
    }

    fn set_timer(&mut self, at: Duration, timer_id: u64) {
        self.write(
            "NotifyMe",
            json!({"When": duration_to_ms(at), "Mark": timer_id}),
        );
    }

    fn subscribe_list(&mut self) {
        self.write("Listen", json!({"Enable": true}));
    }
}

/// Parses an entry of a server list, with its server kind. Each router has its own settings of which kinds are
/// parents or the origin.
fn member(entry: &Value) -> Result<(Member, u64), String> {
    let f = entry
        .as_object()
        .ok_or("an entry of Members is not an object")?;
    let started = number(f, "LastStart")?;
    let member = Member {
        server: id(f, "Server")?,
        zone: unsigned(f, "Area")? as usize,
        tier: Tier::Cache,
        cohort: unsigned(f, "Cohort")?,
        state: match string(f, "Mode")? {
            "active" => ServerState::Active,
            "leaving" => ServerState::Draining,
            "left" => ServerState::Removed,
            other => return Err(format!("unknown Mode {other:?}")),
        },
        capacity: number(f, "CapacityHint")?,
        started: (started > 0.0).then(|| duration_from_ms(started)),
        ..Member::default()
    };
    Ok((member, unsigned(f, "Sku")?))
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
        9 => Remark::NoFillCapacity,
        10 => Remark::OriginFailed,
        _ => Remark::None,
    }
}

/// A hosted router, with the settings needed to decode its events.
struct Hosted {
    router: Router,
    /// The names of the values in load reports.
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
                "rif" => load.in_service = value.as_f64(),
                "q" => load.queued = value.as_f64(),
                "busy" => load.utilization = value.as_f64(),
                "x0" => load.hit_share = value.as_f64(),
                "x1" => load.link = value.as_f64(),
                _ => {}
            }
        }
        Ok(load)
    }

    fn ended(&self, f: &Fields) -> Result<AttemptResult, String> {
        let first_byte = f.get("Ttfb").filter(|v| !v.is_null());
        Ok(AttemptResult {
            outcome: outcome(string(f, "StateCode")?)?,
            remark: remark(unsigned(f, "Remark")?),
            duration: duration_from_ms(number(f, "Took")?),
            first_byte: first_byte
                .map(|_| number(f, "Ttfb").map(duration_from_ms))
                .transpose()?,
            is_complete: flag(f, "Last")?,
            load: self.load(f)?,
        })
    }
}

/// The routers of this process, and the numbered server lists that `Discovery` refers to.
#[derive(Default)]
struct Host {
    now: Duration,
    routers: HashMap<u64, Hosted>,
    server_lists: HashMap<u64, Vec<(Member, u64)>>,
}

impl Host {
    fn event(&mut self, name: &str, f: &Fields, output: &mut impl Write) -> Result<(), String> {
        if name == "Table" {
            let entries = f
                .get("Members")
                .and_then(Value::as_array)
                .ok_or("Members is not an array")?;
            let entries = entries.iter().map(member).collect::<Result<_, _>>()?;
            self.server_lists.insert(unsigned(f, "Sheet")?, entries);
            return Ok(());
        }
        if !f.contains_key("Router") {
            return Err("Router is missing".into());
        }
        let router_number = unsigned(f, "Router")?;
        let out = &mut ReplyWriter {
            router: router_number,
            output,
            failed: None,
        };
        let now = self.now;
        if name == "Boot" {
            let options = f
                .get("Options")
                .and_then(Value::as_object)
                .ok_or("Options is not an object")?;
            let settings = deployment::deployment(unsigned(f, "Salt")?, options)?;
            let router = Router::start(now, &settings, out);
            let (report, classes) = (deployment::report_fields(options), settings.classes.len());
            let parent_and_origin = deployment::parent_and_origin(options);
            self.routers.insert(
                router_number,
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
            .get_mut(&router_number)
            .ok_or_else(|| format!("router {router_number} was not started"))?;
        match name {
            "Killed" => drop(self.routers.remove(&router_number)),
            "Discovery" => {
                let kind = match string(f, "How")? {
                    "incr" => ListKind::Changes,
                    "total" => ListKind::Snapshot,
                    "warm_copy" => ListKind::Restored,
                    "lost" => ListKind::Failed,
                    other => return Err(format!("unknown How {other:?}")),
                };
                let sheet = unsigned(f, "Sheet")?;
                let entries = match self.server_lists.get(&sheet) {
                    _ if kind == ListKind::Failed => &[],
                    Some(entries) => entries.as_slice(),
                    None => return Err(format!("unknown Sheet {sheet}")),
                };
                let [parent, origin] = hosted.parent_and_origin;
                let with_tier = |(member, kind): &(Member, u64)| Member {
                    tier: match Some(*kind) {
                        kind if kind == parent => Tier::Parent,
                        kind if kind == origin => Tier::Origin,
                        _ => Tier::Cache,
                    },
                    ..member.clone()
                };
                let entries: Vec<Member> = entries.iter().map(with_tier).collect();
                hosted.router.update_list(now, kind, &entries, out);
            }
            "Accept" => {
                let arrival = IncomingRequest {
                    id: id(f, "OpId")?,
                    class: unsigned(f, "Priority")? as usize,
                    customer: unsigned(f, "Customer")? as usize,
                    object: string(f, "Item")?.into(),
                    part: unsigned(f, "Segment")?,
                    group: unsigned(f, "SetNo")?,
                    kb: number(f, "Kb")?,
                    connection: 0,
                    zone: None,
                    time_left: duration_from_ms(number(f, "Ttl")?),
                    is_retry: flag(f, "Repeat")?,
                    cell: None,
                };
                if arrival.class >= hosted.classes {
                    return Err(format!("Priority {} names no class", arrival.class));
                }
                hosted.router.request(now, arrival, out);
            }
            "Result" => {
                let ended = hosted.ended(f)?;
                hosted.router.attempt_ended(
                    now,
                    &id(f, "OpId")?,
                    unsigned(f, "N")? as usize,
                    &ended,
                    out,
                );
            }
            "First" => hosted.router.answer_started(&id(f, "OpId")?),
            "TimedOutClient" => hosted.router.client_left(now, &id(f, "OpId")?, out),
            "Timer" => hosted.router.wake(now, unsigned(f, "Mark")?, out),
            "ExpiredNow" => {
                let object = Some(string(f, "Item")?)
                    .filter(|item| !item.is_empty())
                    .map(Id::from);
                hosted.router.record_purge(
                    now,
                    object,
                    unsigned(f, "FamilyId")?,
                    duration_from_ms(number(f, "HowOld")?),
                );
            }
            // These routers neither send probes nor messages to one another.
            "ProbeDone" | "Message" => {}
            other => eprintln!("chalkhall-simulator-adapter: unknown event {other:?} skipped"),
        }
        out.failed.take().map_or(Ok(()), Err)
    }
}

/// Processes batches until the input ends.
///
/// # Errors
/// An invalid message, with its line number, or an I/O error.
pub fn run(mut input: impl BufRead, output: &mut impl Write) -> Result<(), String> {
    let mut host = Host::default();
    let mut turn: Option<Value> = None;
    let mut line = String::new();
    for at in 1u64.. {
        line.clear();
        let at_line = |what: String| format!("line {at}: {what}");
        if input
            .read_line(&mut line)
            .map_err(|e| at_line(format!("cannot be read: {e}")))?
            == 0
        {
            break;
        }
        if line.trim().is_empty() {
            continue;
        }
        let message: Value =
            serde_json::from_str(&line).map_err(|e| at_line(format!("not a JSON message: {e}")))?;
        let Some((name, fields)) = message
            .as_object()
            .filter(|m| m.len() == 1)
            .and_then(|m| m.iter().next())
        else {
            return Err(at_line(
                "a message must be an object with a single key".into(),
            ));
        };
        let fields = fields
            .as_object()
            .ok_or_else(|| at_line(format!("{name} does not hold an object")))?;
        let in_message = |what: String| at_line(format!("{name}: {what}"));
        match (name.as_str(), &turn) {
            ("Turn", None) => {
                host.now = duration_from_ms(number(fields, "Ts").map_err(in_message)?);
                turn = Some(
                    fields
                        .get("turn")
                        .cloned()
                        .ok_or_else(|| in_message("turn is missing".into()))?,
                );
            }
            ("Turn", Some(_)) => return Err(in_message("the previous batch has not ended".into())),
            (_, None) => return Err(in_message("no batch has begun".into())),
            ("End", Some(number)) => {
                writeln!(output, "{}", json!({"Eor": {"turn": number}}))
                    .and_then(|()| output.flush())
                    .map_err(|e| format!("standard output: {e}"))?;
                turn = None;
            }
            (_, Some(_)) => host.event(name, fields, output).map_err(in_message)?,
        }
    }
    turn.map_or(Ok(()), |number| {
        Err(format!("input ended within batch {number}"))
    })
}
