//! What is told of a zone, in bytes: pure functions, both ways. What makes no sense is no word.
//!
//! | kind | to whom | bytes |
//! | --- | --- | --- |
//! | [`LOAD`] | its zone | demand in 1/100 of a transfer (2), good and bad outcomes in quarters (1, 1) |
//! | [`HOME`] | all | bit 0: bad, bit 1: drained (1), demand in tenths (2), strain in 1/255 (1) |
//! | [`PLAN`] | its zone | number (4), then an edge and its share in 1/255 (2), at most [`TAKERS_MOST`] |

/// Kinds of words; those before are the latency model's.
pub const LOAD: u8 = 8;
pub const HOME: u8 = 9;
pub const PLAN: u8 = 10;
/// Zones that a plan names.
pub const TAKERS_MOST: usize = 16;

/// What one router asks for, and what it saw of the zone's caches lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Transfers at a client's pace at once.
    pub demand: f64,
    pub good: f64,
    pub bad: f64,
}

fn low(value: f64) -> u8 {
    value.round().clamp(0.0, 255.0) as u8
}

fn two(value: f64) -> [u8; 2] {
    (value.round().clamp(0.0, 65535.0) as u16).to_be_bytes()
}

impl Load {
    pub fn encode(&self) -> Vec<u8> {
        let [a, b] = two(self.demand * 100.0);
        vec![a, b, low(self.good * 4.0), low(self.bad * 4.0)]
    }

    pub fn decode(bytes: &[u8]) -> Option<Load> {
        let [a, b, good, bad] = *bytes else {
            return None;
        };
        let demand = f64::from(u16::from_be_bytes([a, b])) / 100.0;
        Some(Load {
            demand,
            good: f64::from(good) / 4.0,
            bad: f64::from(bad) / 4.0,
        })
    }
}

/// What a zone tells of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Home {
    pub bad: bool,
    pub drained: bool,
    pub demand: f64,
    /// Share of its own requests that it could not serve in time.
    pub strain: f64,
}

impl Home {
    pub fn encode(&self) -> Vec<u8> {
        let [a, b] = two(self.demand * 10.0);
        vec![
            u8::from(self.bad) | u8::from(self.drained) << 1,
            a,
            b,
            low(self.strain * 255.0),
        ]
    }

    pub fn decode(bytes: &[u8]) -> Option<Home> {
        let [flags @ 0..=3, a, b, strain] = *bytes else {
            return None;
        };
        let demand = f64::from(u16::from_be_bytes([a, b])) / 10.0;
        let (bad, drained) = (flags & 1 != 0, flags & 2 != 0);
        Some(Home {
            bad,
            drained,
            demand,
            strain: f64::from(strain) / 255.0,
        })
    }
}

/// Who takes a zone's requests, by a number that only grows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub number: u32,
    /// Zones in order, the preferred first, and their shares: together 1 at most.
    pub shares: Vec<(usize, f64)>,
}

impl Plan {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.number.to_be_bytes().to_vec();
        let named = self
            .shares
            .iter()
            .filter(|(edge, share)| *edge < 256 && low(share * 255.0) > 0);
        // Rounded down: together no more than all.
        named
            .take(TAKERS_MOST)
            .for_each(|(edge, share)| bytes.extend([*edge as u8, (share * 255.0) as u8]));
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Plan> {
        let (number, rest) = bytes.split_at_checked(4)?;
        if rest.len() > 2 * TAKERS_MOST || !rest.len().is_multiple_of(2) {
            return None;
        }
        let number = u32::from_be_bytes([number[0], number[1], number[2], number[3]]);
        let shares: Vec<_> = rest
            .chunks_exact(2)
            .map(|c| (usize::from(c[0]), f64::from(c[1]) / 255.0))
            .collect();
        let sum: f64 = shares.iter().map(|(_, share)| share).sum();
        let twice = |n: usize| shares[..n].iter().any(|(edge, _)| *edge == shares[n].0);
        (sum <= 1.0 + 1e-9 && !(0..shares.len()).any(twice)).then_some(Plan { number, shares })
    }
}

#[cfg(test)]
mod tests;
