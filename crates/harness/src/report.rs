//! Results of a run: one line of figures, JSON, and one self-contained page of plots.

use crate::run::RunResults;
use crate::scenario::{Requirements, Scenario};
use plotters::prelude::*;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fmt::Write;

/// Describes every requirement that was not met; the rules are always required.
pub fn unmet_requirements(results: &RunResults, requirements: &Requirements) -> Vec<String> {
    let mut unmet = Vec::new();
    let violations = results.violations;
    if violations.all() > 0 {
        unmet.push(format!("rules: {violations:?}"));
    }
    if results.crashed > 0 {
        unmet.push(format!(
            "{} routers crashed or could not be started",
            results.crashed
        ));
    }
    if results.datagrams.too_long > 0 {
        unmet.push(format!(
            "{} datagrams longer than 256 bytes",
            results.datagrams.too_long
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
        peak_ratio(results),
        requirements.peak,
    );
    check_at_most("idle", results.load_balance["real"].idle, requirements.idle);
    check_at_most("herd", results.herd, requirements.herd);
    check_at_most(
        "swing",
        results.load_balance["real"].swing,
        requirements.swing,
    );
    check_at_most(
        "needless",
        results.zone_metrics.needless_redirects,
        requirements.needless,
    );
    let plan = results
        .zone_metrics
        .time_to_redirect
        .map_or(f64::INFINITY, |plan| plan.as_secs_f64());
    check_at_most(
        "plan",
        plan,
        requirements.plan.map(|limit| limit.as_secs_f64()),
    );
    if let Some(least) = requirements
        .lost_service
        .filter(|least| results.zone_metrics.lost_service < *least)
    {
        unmet.push(format!(
            "lost service {:.3}, at least {least:.3}",
            results.zone_metrics.lost_service
        ));
    }
    if let Some(least) = requirements
        .service
        .filter(|least| results.service_after_faults < *least)
    {
        unmet.push(format!(
            "service {:.3}, at least {least:.3}",
            results.service_after_faults
        ));
    }
    unmet
}

/// `peak` over that of the assignment with full knowledge.
pub fn peak_ratio(results: &RunResults) -> f64 {
    let limit = results.load_balance["sees_all"].peak;
    if limit > 0.0 {
        results.load_balance["real"].peak / limit
    } else {
        0.0
    }
}

fn figures(results: &RunResults) -> Vec<(&'static str, String)> {
    let three_decimals = |value: f64| format!("{value:.3}");
    let real = results.load_balance["real"];
    let violations = results.violations;
    vec![
        ("routers", results.routers.to_string()),
        ("servers", results.servers.to_string()),
        ("seed", results.seed.to_string()),
        ("service", three_decimals(results.service)),
        (
            "service_after",
            three_decimals(results.service_after_faults),
        ),
        ("hits", three_decimals(results.hit_share)),
        ("peak", three_decimals(real.peak)),
        (
            "peak_limit",
            three_decimals(results.load_balance["sees_all"].peak),
        ),
        (
            "peak_hash",
            three_decimals(results.load_balance["hash"].peak),
        ),
        ("peak_two", three_decimals(results.load_balance["two"].peak)),
        ("idle", three_decimals(real.idle)),
        ("jain", three_decimals(real.jain)),
        ("swing", format!("{}", real.swing)),
        ("herd", three_decimals(results.herd)),
        ("strain", three_decimals(results.overload_ratio)),
        (
            "lost_service",
            three_decimals(results.zone_metrics.lost_service),
        ),
        (
            "lost_limit",
            three_decimals(results.zone_metrics.lost_limit),
        ),
        (
            "plan_s",
            results
                .zone_metrics
                .time_to_redirect
                .map_or_else(|| "-".into(), |plan| three_decimals(plan.as_secs_f64())),
        ),
        ("abroad", three_decimals(results.zone_metrics.abroad)),
        (
            "needless",
            three_decimals(results.zone_metrics.needless_redirects),
        ),
        (
            "toppled",
            results.zone_metrics.overloaded_zone_seconds.to_string(),
        ),
        ("bytes_s", three_decimals(results.datagram_bytes_per_s())),
        (
            "p50_ms",
            results.response_ms.value_at_quantile(0.5).to_string(),
        ),
        (
            "p99_ms",
            results.response_ms.value_at_quantile(0.99).to_string(),
        ),
        ("retries", results.retries.to_string()),
        ("datagrams", results.datagrams.datagrams.to_string()),
        ("double_runs", violations.double_runs.to_string()),
        ("lost", (violations.lost + violations.twice).to_string()),
        ("drain_breaks", violations.drain.to_string()),
        ("cold_falls", violations.cold.to_string()),
        ("stale", violations.stale.to_string()),
        ("strange", violations.strange.to_string()),
        ("crashed", results.crashed.to_string()),
        (
            "late_p99_ms",
            results.timer_delay_ms.value_at_quantile(0.99).to_string(),
        ),
    ]
}

/// `name=value` pairs separated by spaces.
pub fn figures_line(results: &RunResults) -> String {
    let all: Vec<String> = figures(results)
        .into_iter()
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    all.join(" ")
}

pub fn json(results: &RunResults, unmet: &[String]) -> Value {
    let figures: BTreeMap<&str, f64> = figures(results)
        .into_iter()
        .filter_map(|(name, value)| Some((name, value.parse().ok()?)))
        .collect();
    let seconds: Vec<Value> = results
        .seconds
        .iter()
        .map(|s| {
            json!({"asked": s.requested, "earned": s.earned, "declined": s.rejected, "failed": s.failed,
                "opened": s.connections_opened, "executions": s.attempts, "fills": s.fills})
        })
        .collect();
    let events: Vec<Value> = results
        .events
        .iter()
        .map(|(at, what)| json!({"at": at.as_secs_f64(), "what": what}))
        .collect();
    json!({"figures": figures, "seconds": seconds, "events": events, "short": unmet, "void": results.void,
        "words": results.violation_descriptions})
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

const SIZE: (u32, u32) = (960, 300);

/// Plots series over the seconds of the run, with its events as vertical lines.
fn plot_series(
    results: &RunResults,
    title: &str,
    lines: &[(&str, Vec<f64>, RGBColor)],
    text: &mut String,
) -> DrawResult {
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let seconds = results.server_loads.first().map_or(1, Vec::len).max(1);
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
    for (at, _) in &results.events {
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
fn plot_heat_map(results: &RunResults, text: &mut String) -> DrawResult {
    let mut rows: Vec<usize> = (0..results.server_records.len())
        .filter(|n| results.server_records[*n].zone != usize::MAX)
        .collect();
    rows.sort_by_key(|n| (results.server_records[*n].zone, *n));
    let seconds = results.server_loads.first().map_or(1, Vec::len).max(1);
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
        for (second, load) in results.server_loads[*server].iter().enumerate() {
            let load_share = load.min(1.5) / 1.5;
            let color = HSLColor(0.6 - 0.6 * load_share, 0.8, 1.0 - 0.5 * load_share.sqrt());
            let (x, y) = (second as f64, row as f64);
            chart.draw_series([Rectangle::new(
                [(x, y), (x + 1.0, y + 0.92)],
                color.filled(),
            )])?;
        }
    }
    for (at, _) in &results.events {
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
pub fn html(
    name: &str,
    scenario: &Scenario,
    results: &RunResults,
    unmet: &[String],
) -> Result<String, String> {
    let per_second = |get: &dyn Fn(&crate::run::SecondTotals) -> f64| {
        results.seconds.iter().map(get).collect::<Vec<f64>>()
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
            results,
            "service (value earned over value requested)",
            &[("service", service, BLUE)],
            &mut plots[0],
        )?;
        let rejected = ("rejected", per_second(&|s| s.rejected as f64), RED);
        let failed = ("failed", per_second(&|s| s.failed as f64), MAGENTA);
        plot_series(
            results,
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
            results,
            "attempts, fills and opened connections per second",
            &[sent, fills, opened],
            &mut plots[2],
        )?;
        plot_heat_map(results, &mut plots[3])
    };
    draw(&mut plots).map_err(|error| format!("cannot draw the plots: {error}"))?;
    let mut page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{}</title>",
        escaped(name)
    );
    page.push_str(
        "<style>body{font:14px sans-serif;max-width:62em;margin:2em auto}td{padding:0 1em 0 0}</style>",
    );
    let verdict = match (&results.void, unmet) {
        (Some(reason), _) => format!("void: {reason}"),
        (None, []) => "all that must hold holds".to_owned(),
        (None, unmet) => format!("requirements not met: {}", unmet.join("; ")),
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
        results.routers,
        results.servers,
        scenario.workload.requests_per_s,
        scenario.workload.duration,
        results.seed
    );
    for (name, value) in figures(results) {
        let _ = write!(page, "<tr><td>{name}<td>{value}");
    }
    page.push_str("</table>");
    plots.iter().for_each(|plot| page.push_str(plot));
    page.push_str("<h2>Events</h2><table>");
    for (at, description) in &results.events {
        let _ = write!(
            page,
            "<tr><td>{:.1} s<td>{}",
            at.as_secs_f64(),
            escaped(description)
        );
    }
    page.push_str("</table>");
    if !results.violation_descriptions.is_empty() {
        page.push_str("<h2>Rules broken</h2><ul>");
        for description in &results.violation_descriptions {
            let _ = write!(page, "<li>{}", escaped(description));
        }
        page.push_str("</ul>");
    }
    Ok(page)
}
