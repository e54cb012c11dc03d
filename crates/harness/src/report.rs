//! Results of a run: one line of figures, JSON, and one self-contained page of plots.

use crate::play::{Play, Requirements};
use crate::run::Shown;
use plotters::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Describes every requirement that was not met; the rules are always required.
pub fn short(shown: &Shown, must: &Requirements) -> Vec<String> {
    let mut unmet = Vec::new();
    let breaks = shown.breaks;
    if breaks.all() > 0 {
        unmet.push(format!("rules: {breaks:?}"));
    }
    if shown.crashed > 0 {
        unmet.push(format!(
            "{} routers crashed or could not be started",
            shown.crashed
        ));
    }
    if shown.datagrams.too_long > 0 {
        unmet.push(format!(
            "{} datagrams longer than 256 bytes",
            shown.datagrams.too_long
        ));
    }
    let mut check_at_most = |name: &str, value: f64, limit: Option<f64>| {
        unmet.extend(
            limit
                .filter(|limit| value > *limit)
                .map(|limit| format!("{name} {value:.3}, at most {limit:.3}")),
        );
    };
    check_at_most(
        "peak over peak with full knowledge",
        peak_ratio(shown),
        must.peak,
    );
    check_at_most("idle", shown.even["real"].idle, must.idle);
    check_at_most("herd", shown.herd, must.herd);
    check_at_most("swing", shown.even["real"].swing, must.swing);
    check_at_most("needless", shown.of_places.needless, must.needless);
    let plan = shown
        .of_places
        .plan
        .map_or(f64::INFINITY, |plan| plan.as_secs_f64());
    check_at_most("plan", plan, must.plan.map(|limit| limit.as_secs_f64()));
    if let Some(least) = must
        .lost_service
        .filter(|least| shown.of_places.lost_service < *least)
    {
        unmet.push(format!(
            "lost service {:.3}, at least {least:.3}",
            shown.of_places.lost_service
        ));
    }
    if let Some(least) = must.service.filter(|least| shown.service_after < *least) {
        unmet.push(format!(
            "service {:.3}, at least {least:.3}",
            shown.service_after
        ));
    }
    unmet
}

/// `peak` over that of the assignment with full knowledge.
pub fn peak_ratio(shown: &Shown) -> f64 {
    let limit = shown.even["sees_all"].peak;
    if limit > 0.0 {
        shown.even["real"].peak / limit
    } else {
        0.0
    }
}

fn figures(shown: &Shown) -> Vec<(&'static str, String)> {
    let three_decimals = |value: f64| format!("{value:.3}");
    let real = shown.even["real"];
    let breaks = shown.breaks;
    vec![
        ("routers", shown.routers.to_string()),
        ("servers", shown.servers.to_string()),
        ("seed", shown.seed.to_string()),
        ("service", three_decimals(shown.service)),
        ("service_after", three_decimals(shown.service_after)),
        ("hits", three_decimals(shown.hit_share)),
        ("peak", three_decimals(real.peak)),
        ("peak_limit", three_decimals(shown.even["sees_all"].peak)),
        ("peak_hash", three_decimals(shown.even["hash"].peak)),
        ("peak_two", three_decimals(shown.even["two"].peak)),
        ("idle", three_decimals(real.idle)),
        ("jain", three_decimals(real.jain)),
        ("swing", format!("{}", real.swing)),
        ("herd", three_decimals(shown.herd)),
        ("strain", three_decimals(shown.strain)),
        ("lost_service", three_decimals(shown.of_places.lost_service)),
        ("lost_limit", three_decimals(shown.of_places.lost_limit)),
        (
            "plan_s",
            shown
                .of_places
                .plan
                .map_or_else(|| "-".into(), |plan| three_decimals(plan.as_secs_f64())),
        ),
        ("abroad", three_decimals(shown.of_places.abroad)),
        ("needless", three_decimals(shown.of_places.needless)),
        ("toppled", shown.of_places.toppled.to_string()),
        ("bytes_s", three_decimals(shown.bytes_s())),
        (
            "p50_ms",
            shown.response_ms.value_at_quantile(0.5).to_string(),
        ),
        (
            "p99_ms",
            shown.response_ms.value_at_quantile(0.99).to_string(),
        ),
        ("retries", shown.retries.to_string()),
        ("datagrams", shown.datagrams.datagrams.to_string()),
        ("double_runs", breaks.double_runs.to_string()),
        ("lost", (breaks.lost + breaks.twice).to_string()),
        ("drain_breaks", breaks.drain.to_string()),
        ("cold_falls", breaks.cold.to_string()),
        ("stale", breaks.stale.to_string()),
        ("strange", breaks.strange.to_string()),
        ("crashed", shown.crashed.to_string()),
        (
            "late_p99_ms",
            shown.timer_delay_ms.value_at_quantile(0.99).to_string(),
        ),
    ]
}

/// `name=value` pairs separated by spaces.
pub fn line(shown: &Shown) -> String {
    let all: Vec<String> = figures(shown)
        .into_iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    all.join(" ")
}

pub fn json(shown: &Shown, short: &[String]) -> Value {
    let figures: BTreeMap<&str, f64> = figures(shown)
        .into_iter()
        .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
        .collect();
    let seconds: Vec<Value> = shown
        .seconds
        .iter()
        .map(|s| {
            json!({"asked": s.requested, "earned": s.earned, "declined": s.rejected, "failed": s.failed,
                "opened": s.connections_opened, "executions": s.attempts, "fills": s.fills})
        })
        .collect();
    let events: Vec<Value> = shown
        .events
        .iter()
        .map(|(at, what)| json!({"at": at.as_secs_f64(), "what": what}))
        .collect();
    json!({"figures": figures, "seconds": seconds, "events": events, "short": short, "void": shown.void,
        "words": shown.words})
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

const SIZE: (u32, u32) = (960, 300);

/// Plots series over the seconds of the run, with its events as vertical lines.
fn plot_series(
    shown: &Shown,
    title: &str,
    lines: &[(&str, Vec<f64>, RGBColor)],
    text: &mut String,
) -> DrawResult {
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = shown.server_loads.first().map_or(1, Vec::len).max(1);
    let maximum = lines
        .iter()
        .flat_map(|(_, values, _)| values.iter().take(seconds).copied())
        .fold(1e-9, f64::max);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..maximum * 1.1)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .x_desc("seconds")
        .draw()?;
    for (at, _) in &shown.events {
        let x = at.as_secs_f64();
        chart.draw_series([PathElement::new(
            vec![(x, 0.0), (x, maximum * 1.1)],
            BLACK.mix(0.3),
        )])?;
    }
    for (name, values, color) in lines {
        let color = *color;
        let points = values
            .iter()
            .take(seconds)
            .enumerate()
            .map(|(n, value)| (n as f64 + 0.5, *value));
        let drawn = chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?;
        drawn
            .label(*name)
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .border_style(BLACK.mix(0.3))
        .background_style(WHITE.mix(0.8))
        .draw()?;
    area.present()?;
    Ok(())
}

/// Load of every cache by second: white is idle, red is over capacity.
fn plot_heat_map(shown: &Shown, text: &mut String) -> DrawResult {
    let mut rows: Vec<usize> = (0..shown.server_records.len())
        .filter(|n| shown.server_records[*n].zone != usize::MAX)
        .collect();
    rows.sort_by_key(|n| (shown.server_records[*n].zone, *n));
    let seconds = shown.server_loads.first().map_or(1, Vec::len).max(1);
    let area =
        SVGBackend::with_string(text, (SIZE.0, 60 + 9 * rows.len() as u32)).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "load of each cache by zone (over its capacity)",
            ("sans-serif", 16),
        )
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(48)
        .build_cartesian_2d(0.0..seconds as f64, 0.0..rows.len() as f64)?;
    chart
        .configure_mesh()
        .disable_mesh()
        .y_labels(0)
        .x_desc("seconds")
        .draw()?;
    for (row, server) in rows.iter().enumerate() {
        for (second, load) in shown.server_loads[*server].iter().enumerate() {
            let load_share = load.min(1.5) / 1.5;
            let color = HSLColor(0.6 - 0.6 * load_share, 0.8, 1.0 - 0.5 * load_share.sqrt());
            let (x, y) = (second as f64, row as f64);
            chart.draw_series([Rectangle::new(
                [(x, y), (x + 1.0, y + 0.92)],
                color.filled(),
            )])?;
        }
    }
    for (at, _) in &shown.events {
        let x = at.as_secs_f64();
        chart.draw_series([PathElement::new(
            vec![(x, 0.0), (x, rows.len() as f64)],
            BLACK.mix(0.5),
        )])?;
    }
    area.present()?;
    Ok(())
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}

/// The HTML page of one run.
///
/// # Errors
/// A plot could not be drawn.
pub fn html(name: &str, play: &Play, shown: &Shown, short: &[String]) -> Result<String, String> {
    let per_second = |get: &dyn Fn(&crate::run::SecondTotals) -> f64| {
        shown.seconds.iter().map(get).collect::<Vec<f64>>()
    };
    let service = per_second(&|s| {
        if s.requested > 0.0 {
            s.earned / s.requested
        } else {
            0.0
        }
    });
    let mut plots = vec![String::new(); 4];
    let draw = |plots: &mut [String]| -> DrawResult {
        plot_series(
            shown,
            "service (value earned over value requested)",
            &[("service", service, BLUE)],
            &mut plots[0],
        )?;
        let rejected = ("rejected", per_second(&|s| s.rejected as f64), RED);
        let failed = ("failed", per_second(&|s| s.failed as f64), MAGENTA);
        plot_series(
            shown,
            "rejected and failed responses per second",
            &[rejected, failed],
            &mut plots[1],
        )?;
        let sent = ("attempts", per_second(&|s| s.attempts as f64), BLUE);
        let fills = ("with a source", per_second(&|s| s.fills as f64), CYAN);
        let opened = (
            "connections opened",
            per_second(&|s| s.connections_opened as f64),
            RED,
        );
        plot_series(
            shown,
            "attempts, fills and opened connections per second",
            &[sent, fills, opened],
            &mut plots[2],
        )?;
        plot_heat_map(shown, &mut plots[3])
    };
    draw(&mut plots).map_err(|error| format!("cannot draw the plots: {error}"))?;
    let mut page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{}</title>",
        escaped(name)
    );
    page.push_str(
        "<style>body{font:14px sans-serif;max-width:62em;margin:2em auto}td{padding:0 1em 0 0}</style>",
    );
    let verdict = match (&shown.void, short) {
        (Some(reason), _) => format!("void: {reason}"),
        (None, []) => "all that must hold holds".to_owned(),
        (None, short) => format!("falls short: {}", short.join("; ")),
    };
    let _ = write!(
        page,
        "<h1>{}</h1><p>{}</p>",
        escaped(name),
        escaped(&verdict)
    );
    let _ = write!(
        page,
        "<p>{} routers, {} servers, {} requests a second for {:?}, seed {}.</p><table>",
        shown.routers, shown.servers, play.work.requests_per_s, play.work.duration, shown.seed
    );
    for (name, value) in figures(shown) {
        let _ = write!(page, "<tr><td>{name}<td>{value}");
    }
    page.push_str("</table>");
    plots.iter().for_each(|plot| page.push_str(plot));
    page.push_str("<h2>Events</h2><table>");
    for (at, description) in &shown.events {
        let _ = write!(
            page,
            "<tr><td>{:.1} s<td>{}",
            at.as_secs_f64(),
            escaped(description)
        );
    }
    page.push_str("</table>");
    if !shown.words.is_empty() {
        page.push_str("<h2>Rules broken</h2><ul>");
        for description in &shown.words {
            let _ = write!(page, "<li>{}", escaped(description));
        }
        page.push_str("</ul>");
    }
    Ok(page)
}
