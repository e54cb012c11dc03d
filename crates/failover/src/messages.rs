//! Encoding and decoding of messages about a zone, as pure functions over bytes. Malformed bytes
//! are decoded to `None`.
//!
//! | kind | recipients | bytes |
//! | --- | --- | --- |
//! | [`ROUTER_LOAD`] | the zone | demand in 1/100 of a transfer (2), good and bad outcomes in quarters (1, 1) |
//! | [`ZONE_STATE`] | all | bit 0: bad, bit 1: drained (1), demand in tenths (2), late share in 1/255 (1) |
//! | [`PLAN`] | the zone | number (4), then an edge and its share in 1/255 (2), at most [`MAX_PLAN_ZONES`] |

/// Kind of messages with a [`RouterLoad`]; lower kinds are those of the latency model.
pub const ROUTER_LOAD: u8 = 8;
/// Kind of messages with a [`ZoneState`].
pub const ZONE_STATE: u8 = 9;
/// Kind of messages with a [`Plan`].
pub const PLAN: u8 = 10;
/// Largest number of zones in a plan.
pub const MAX_PLAN_ZONES: usize = 16;

/// The demand of one router, and its recent outcomes at the zone's caches.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouterLoad {
    /// Concurrent transfers at a client's rate.
    pub demand: f64,
    pub good: f64,
    pub bad: f64,
}

fn saturating_u8(value: f64) -> u8 {
    value.round().clamp(0.0, 255.0) as u8
}

fn saturating_u16_bytes(value: f64) -> [u8; 2] {
    (value.round().clamp(0.0, 65535.0) as u16).to_be_bytes()
}

impl RouterLoad {
    pub fn encode(&self) -> Vec<u8> {
        let [a, b] = saturating_u16_bytes(self.demand * 100.0);
        vec![
            a,
            b,
            saturating_u8(self.good * 4.0),
            saturating_u8(self.bad * 4.0),
        ]
    }

    pub fn decode(bytes: &[u8]) -> Option<RouterLoad> {
        let [a, b, good, bad] = *bytes else {
            return None;
        };
        let demand = f64::from(u16::from_be_bytes([a, b])) / 100.0;
        Some(RouterLoad {
            demand,
            good: f64::from(good) / 4.0,
            bad: f64::from(bad) / 4.0,
        })
    }
}

/// The state that a zone publishes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneState {
    pub bad: bool,
    pub drained: bool,
    pub demand: f64,
    /// Share of its own requests that were not served in time.
    pub late_share: f64,
}

impl ZoneState {
    pub fn encode(&self) -> Vec<u8> {
        let [a, b] = saturating_u16_bytes(self.demand * 10.0);
        vec![
            u8::from(self.bad) | u8::from(self.drained) << 1,
            a,
            b,
            saturating_u8(self.late_share * 255.0),
        ]
    }

    pub fn decode(bytes: &[u8]) -> Option<ZoneState> {
        let [flags @ 0..=3, a, b, late_share] = *bytes else {
            return None;
        };
        let demand = f64::from(u16::from_be_bytes([a, b])) / 10.0;
        let (bad, drained) = (flags & 1 != 0, flags & 2 != 0);
        Some(ZoneState {
            bad,
            drained,
            demand,
            late_share: f64::from(late_share) / 255.0,
        })
    }
}

/// Which zones take a zone's requests. Later plans have higher numbers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Plan {
    pub number: u32,
    /// Zones in order of preference with their shares; the sum is at most 1.
    pub shares: Vec<(usize, f64)>,
}

impl Plan {
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = self.number.to_be_bytes().to_vec();
        let named = self
            .shares
            .iter()
            .filter(|(edge, share)| *edge < 256 && saturating_u8(share * 255.0) > 0);
        // Rounded down, so that the sum does not exceed 1.
        named
            .take(MAX_PLAN_ZONES)
            .for_each(|(edge, share)| bytes.extend([*edge as u8, (share * 255.0) as u8]));
        bytes
    }

    pub fn decode(bytes: &[u8]) -> Option<Plan> {
        let (number, rest) = bytes.split_at_checked(4)?;
        if rest.len() > 2 * MAX_PLAN_ZONES || !rest.len().is_multiple_of(2) {
            return None;
        }
        let number = u32::from_be_bytes([number[0], number[1], number[2], number[3]]);
        let shares: Vec<_> = rest
            .chunks_exact(2)
            .map(|c| (usize::from(c[0]), f64::from(c[1]) / 255.0))
            .collect();
        let sum: f64 = shares.iter().map(|(_, share)| share).sum();
        let is_duplicate = |n: usize| shares[..n].iter().any(|(edge, _)| *edge == shares[n].0);
        (sum <= 1.0 + 1e-9 && !(0..shares.len()).any(is_duplicate))
            .then_some(Plan { number, shares })
    }
}

#[cfg(test)]
mod tests;
