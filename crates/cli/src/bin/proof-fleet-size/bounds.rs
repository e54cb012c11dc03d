//! Bounds on how much more a router may need when there are more cache servers.

use crate::scenario::{Conditions, Figures};

/// Means at both sizes, and the number of cache servers at the larger one.
pub struct Growth {
    pub base: Figures,
    pub larger: Figures,
    pub cache_servers: usize,
}

/// An upper bound at the larger size: a multiple of the figure at the base size, plus a constant, plus an amount for
/// each thousand cache servers.
struct Bound {
    name: &'static str,
    figure: fn(&Figures) -> f64,
    factor: f64,
    constant: f64,
    per_thousand_servers: f64,
    /// The figure is a duration, which depends on other work on the machine.
    timed: bool,
}

const fn bound(
    name: &'static str,
    figure: fn(&Figures) -> f64,
    factor: f64,
    constant: f64,
    per_thousand_servers: f64,
) -> Bound {
    Bound {
        name,
        figure,
        factor,
        constant,
        per_thousand_servers,
        timed: false,
    }
}

/// Bounds for production, under conditions in which requests are served.
const NORMAL_BOUNDS: [Bound; 5] = [
    Bound {
        timed: true,
        ..bound("cpu_s", |f| f.cpu_s, 1.4, 0.02, 0.03)
    },
    bound("peak_memory_mb", |f| f.peak_memory_mb, 1.5, 8.0, 4.0),
    bound("descriptors", |f| f.descriptors, 2.0, 40.0, 0.0),
    bound("connections", |f| f.connections, 2.5, 40.0, 0.0),
    bound("list_bytes", |f| f.list_bytes, 2.0, 64e3, 500e3),
];
/// Minimum share of requests served at the larger size, over that at the base size.
const MIN_SERVED_RATIO: f64 = 0.85;
/// Memory that each listed server may take in an idle router.
const MAX_IDLE_KB_PER_SERVER: f64 = 4.0;
/// Bound on the processor time per request where every server refuses connections.
const REFUSING_BOUND: Bound = Bound {
    timed: true,
    ..bound(
        "cpu_us_per_request",
        |f| f.cpu_us_per_request,
        1.3,
        0.0,
        0.0,
    )
};

impl Bound {
    fn violation(&self, growth: &Growth) -> Option<String> {
        let thousands = growth.cache_servers as f64 / 1000.0;
        let limit = self.factor * (self.figure)(&growth.base)
            + self.constant
            + self.per_thousand_servers * thousands;
        let value = (self.figure)(&growth.larger);
        (value > limit).then(|| format!("{} is {value:.3}, at most {limit:.3}", self.name))
    }
}

fn idle_kb_per_server(growth: &Growth, base_servers: f64) -> f64 {
    let added_kb = (growth.larger.idle_memory_mb - growth.base.idle_memory_mb) * 1024.0;
    added_kb / (growth.cache_servers as f64 - base_servers)
}

/// Descriptions of the figures that exceed their bounds.
pub fn violations(conditions: Conditions, growth: &Growth, counted_only: bool) -> Vec<String> {
    let bounds: &[Bound] = if conditions == Conditions::Normal {
        &NORMAL_BOUNDS
    } else {
        &[REFUSING_BOUND]
    };
    let bounds = bounds.iter().filter(|bound| !(bound.timed && counted_only));
    let mut violations: Vec<String> = bounds.filter_map(|bound| bound.violation(growth)).collect();
    if conditions == Conditions::Normal {
        let limit = MIN_SERVED_RATIO * growth.base.served;
        if growth.larger.served < limit {
            violations.push(format!(
                "served is {:.3}, at least {limit:.3}",
                growth.larger.served
            ));
        }
        let idle_kb = idle_kb_per_server(growth, growth.base.cache_servers);
        if idle_kb > MAX_IDLE_KB_PER_SERVER {
            violations.push(format!(
                "kb_a_server is {idle_kb:.2}, at most {MAX_IDLE_KB_PER_SERVER:.2}"
            ));
        }
    }
    violations
}

/// The figures at both sizes as one line, each with the ratio of the larger size to the base size.
pub fn format_figures(conditions: Conditions, growth: &Growth) -> String {
    let (base, larger) = (&growth.base, &growth.larger);
    let pair = |name: &str, figure: fn(&Figures) -> f64| {
        let (base, larger) = (figure(base), figure(larger));
        format!(
            "{name}={base:.3}/{larger:.3} {name}_ratio={:.3}",
            larger / base.max(1e-9)
        )
    };
    if conditions == Conditions::AllRefusing {
        return pair("refusing_cpu_us_per_request", |f| f.cpu_us_per_request);
    }
    let idle_kb = idle_kb_per_server(growth, base.cache_servers);
    let [start, cpu] = [
        pair("cpu_start_s", |f| f.cpu_start_s),
        pair("cpu_s", |f| f.cpu_s),
    ];
    [
        format!(
            "cache_servers={}/{} requests={:.0}",
            base.cache_servers, growth.cache_servers, base.requests
        ),
        start,
        cpu,
        pair("cpu_us_per_request", |f| f.cpu_us_per_request),
        pair("idle_memory_mb", |f| f.idle_memory_mb),
        format!("kb_a_server={idle_kb:.2}"),
        pair("peak_memory_mb", |f| f.peak_memory_mb),
        pair("descriptors", |f| f.descriptors),
        pair("connections", |f| f.connections),
        pair("list_bytes", |f| f.list_bytes),
        pair("served", |f| f.served),
    ]
    .join(" ")
}
