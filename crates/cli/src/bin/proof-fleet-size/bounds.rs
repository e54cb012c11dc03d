//! How far what a router needs may grow with the number of cache servers.

use crate::scenario::{Day, Figures};

/// Means of both sizes, and how many cache servers the larger one has.
pub struct Growth {
    pub usual: Figures,
    pub larger: Figures,
    pub cache_servers: usize,
}

/// So many times what is needed at the usual size, plus so much, plus so much for each thousand cache servers.
struct Bound {
    name: &'static str,
    of: fn(&Figures) -> f64,
    times: f64,
    plus: f64,
    each_thousand: f64,
    /// It is measured in time, which other work on the machine changes.
    timed: bool,
}

const fn bound(
    name: &'static str,
    of: fn(&Figures) -> f64,
    times: f64,
    plus: f64,
    each_thousand: f64,
) -> Bound {
    Bound {
        name,
        of,
        times,
        plus,
        each_thousand,
        timed: false,
    }
}

/// Those of production, for a day on which requests are served.
const USUAL: [Bound; 5] = [
    Bound {
        timed: true,
        ..bound("cpu_s", |f| f.cpu_s, 1.4, 0.02, 0.03)
    },
    bound("peak_memory_mb", |f| f.peak_memory_mb, 1.5, 8.0, 4.0),
    bound("descriptors", |f| f.descriptors, 2.0, 40.0, 0.0),
    bound("connections", |f| f.connections, 2.5, 40.0, 0.0),
    bound("list_bytes", |f| f.list_bytes, 2.0, 64e3, 500e3),
];
const SERVED_LEAST: f64 = 0.85;
/// Of a listed server, in memory, before anything is asked.
const KB_A_SERVER: f64 = 4.0;
/// Where every server refuses: the processor time of a request grows by this at most.
const REFUSING: Bound = Bound {
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
    fn exceeded(&self, growth: &Growth) -> Option<String> {
        let thousands = growth.cache_servers as f64 / 1000.0;
        let most =
            self.times * (self.of)(&growth.usual) + self.plus + self.each_thousand * thousands;
        let found = (self.of)(&growth.larger);
        (found > most).then(|| format!("{} is {found:.3}, at most {most:.3}", self.name))
    }
}

fn kb_a_server(growth: &Growth, usual_servers: f64) -> f64 {
    let more_kb = (growth.larger.idle_memory_mb - growth.usual.idle_memory_mb) * 1024.0;
    more_kb / (growth.cache_servers as f64 - usual_servers)
}

/// What passed its bound, in words.
pub fn exceeded(day: Day, growth: &Growth, counted_only: bool) -> Vec<String> {
    let bounds: &[Bound] = if day == Day::Usual {
        &USUAL
    } else {
        &[REFUSING]
    };
    let bounds = bounds.iter().filter(|bound| !(bound.timed && counted_only));
    let mut short: Vec<String> = bounds.filter_map(|bound| bound.exceeded(growth)).collect();
    if day == Day::Usual {
        let least = SERVED_LEAST * growth.usual.served;
        if growth.larger.served < least {
            short.push(format!(
                "served is {:.3}, at least {least:.3}",
                growth.larger.served
            ));
        }
        let kb = kb_a_server(growth, growth.usual.cache_servers);
        if kb > KB_A_SERVER {
            short.push(format!("kb_a_server is {kb:.2}, at most {KB_A_SERVER:.2}"));
        }
    }
    short
}

/// The figures of both sizes, each with the larger over the usual.
pub fn line(day: Day, growth: &Growth) -> String {
    let (usual, larger) = (&growth.usual, &growth.larger);
    let pair = |name: &str, of: fn(&Figures) -> f64| {
        let (usual, larger) = (of(usual), of(larger));
        format!(
            "{name}={usual:.3}/{larger:.3} {name}_ratio={:.3}",
            larger / usual.max(1e-9)
        )
    };
    if day == Day::AllRefusing {
        return pair("refusing_cpu_us_per_request", |f| f.cpu_us_per_request);
    }
    let kb = kb_a_server(growth, usual.cache_servers);
    let [start, cpu] = [
        pair("cpu_start_s", |f| f.cpu_start_s),
        pair("cpu_s", |f| f.cpu_s),
    ];
    [
        format!(
            "cache_servers={}/{} requests={:.0}",
            usual.cache_servers, growth.cache_servers, usual.requests
        ),
        start,
        cpu,
        pair("cpu_us_per_request", |f| f.cpu_us_per_request),
        pair("idle_memory_mb", |f| f.idle_memory_mb),
        format!("kb_a_server={kb:.2}"),
        pair("peak_memory_mb", |f| f.peak_memory_mb),
        pair("descriptors", |f| f.descriptors),
        pair("connections", |f| f.connections),
        pair("list_bytes", |f| f.list_bytes),
        pair("served", |f| f.served),
    ]
    .join(" ")
}
