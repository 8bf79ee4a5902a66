//! Encoding of the load of one gateway in payloads of the link.

use peer_link::PAYLOAD_MAX_BYTES;
use policy::placement::{
    InstanceKey, InstanceLoad, LaneTotals, QueueTotals, UpstreamTotals, RANKS,
};
use serde::{Deserialize, Serialize};

/// Tokens are rounded up to a multiple of this, which saves a byte for most values.
const TOKEN_UNIT: u64 = 16;

/// Bytes of a payload besides its items, at most: number, range and two lengths.
const OVERHEAD_BYTES: usize = 24;

/// A payload of the topic `Load`.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
pub(super) struct LoadPayload {
    /// Number of the report, the same for all of its payloads.
    pub(super) number: u64,
    /// First and last instance that the payload covers; empty if the first one is
    /// above the last one.
    pub(super) range: ([u8; 4], [u8; 4]),
    pub(super) upstreams: Vec<WireUpstream>,
    pub(super) loads: Vec<WireLoad>,
}

/// Totals of one upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct WireUpstream {
    pub(super) key: [u8; 4],
    waiting_prompts: u32,
    waiting_tokens: u32,
    prefilled_tokens: u64,
    prompts: u64,
    short_tokens: u64,
    long_tokens: u64,
    pauses: u64,
    pause_permille: u64,
}

/// Load at one instance; tokens in units of [`TOKEN_UNIT`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(super) struct WireLoad {
    key: [u8; 4],
    in_flight: u32,
    memory: u32,
    /// Rank and unread tokens, without ranks that have none.
    unread: Vec<(u8, u32)>,
}

/// Load that this gateway reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct OwnLoad {
    pub(super) upstreams: Vec<(u32, UpstreamTotals)>,
    pub(super) loads: Vec<(InstanceKey, InstanceLoad)>,
}

fn to_units(tokens: u64) -> u32 {
    u32::try_from(tokens.div_ceil(TOKEN_UNIT)).unwrap_or(u32::MAX)
}

impl WireUpstream {
    fn new(key: u32, totals: &UpstreamTotals) -> Self {
        let (queue, lanes) = (&totals.queue, &totals.lanes);
        let bounded = |value: u64| u32::try_from(value).unwrap_or(u32::MAX);
        Self {
            key: key.to_le_bytes(),
            waiting_prompts: bounded(queue.waiting_prompts),
            waiting_tokens: bounded(queue.waiting_tokens),
            prefilled_tokens: queue.prefilled_tokens,
            prompts: lanes.prompts,
            short_tokens: lanes.short_tokens,
            long_tokens: lanes.long_tokens,
            pauses: lanes.pauses,
            pause_permille: lanes.pause_permille,
        }
    }

    pub(super) fn totals(&self) -> UpstreamTotals {
        UpstreamTotals {
            queue: QueueTotals {
                waiting_prompts: u64::from(self.waiting_prompts),
                waiting_tokens: u64::from(self.waiting_tokens),
                prefilled_tokens: self.prefilled_tokens,
            },
            lanes: LaneTotals {
                prompts: self.prompts,
                short_tokens: self.short_tokens,
                long_tokens: self.long_tokens,
                pauses: self.pauses,
                pause_permille: self.pause_permille,
            },
        }
    }
}

impl WireLoad {
    fn new(key: InstanceKey, load: &InstanceLoad) -> Self {
        let ranks = load.unread_tokens.iter().enumerate();
        Self {
            key: key.0.to_le_bytes(),
            in_flight: u32::try_from(load.in_flight).unwrap_or(u32::MAX),
            memory: to_units(load.memory_tokens),
            unread: ranks
                .filter(|(_, tokens)| **tokens > 0)
                .map(|(rank, tokens)| (rank as u8, to_units(*tokens)))
                .collect(),
        }
    }

    pub(super) fn load(&self) -> (InstanceKey, InstanceLoad) {
        let mut unread_tokens = [0; RANKS];
        for (rank, units) in &self.unread {
            if let Some(tokens) = unread_tokens.get_mut(usize::from(*rank)) {
                *tokens = u64::from(*units) * TOKEN_UNIT;
            }
        }
        let load = InstanceLoad {
            in_flight: u64::from(self.in_flight),
            memory_tokens: u64::from(self.memory) * TOKEN_UNIT,
            unread_tokens,
        };
        (InstanceKey(u32::from_le_bytes(self.key)), load)
    }
}

/// Splits a report into payloads of at most [`PAYLOAD_MAX_BYTES`].
pub(super) fn encode(number: u64, own: &OwnLoad) -> Vec<Vec<u8>> {
    let mut loads = own.loads.clone();
    loads.sort_unstable_by_key(|(key, _)| *key);
    let empty = |number| LoadPayload {
        number,
        range: ([1, 0, 0, 0], [0; 4]),
        ..LoadPayload::default()
    };
    let mut payloads = vec![empty(number)];
    let mut size_bytes = OVERHEAD_BYTES;
    // Returns the payload that has room for an item of this size.
    let mut payload_for = |payloads: &mut Vec<LoadPayload>, item_bytes: usize| -> usize {
        size_bytes += item_bytes;
        if size_bytes > PAYLOAD_MAX_BYTES {
            size_bytes = OVERHEAD_BYTES + item_bytes;
            payloads.push(empty(number));
        }
        payloads.len() - 1
    };
    for (key, totals) in &own.upstreams {
        let item = WireUpstream::new(*key, totals);
        let index = payload_for(&mut payloads, encoded_bytes(&item));
        payloads[index].upstreams.push(item);
    }
    let mut next_key = 0_u32;
    for (key, load) in &loads {
        let item = WireLoad::new(*key, load);
        let index = payload_for(&mut payloads, encoded_bytes(&item));
        let payload = &mut payloads[index];
        if payload.loads.is_empty() {
            payload.range.0 = next_key.to_le_bytes();
        }
        payload.range.1 = key.0.to_le_bytes();
        payload.loads.push(item);
        next_key = key.0.saturating_add(1);
    }
    // The last payload covers the instances behind the last one with load.
    if let Some(last) = payloads.last_mut() {
        if last.loads.is_empty() {
            last.range.0 = next_key.to_le_bytes();
        }
        last.range.1 = [u8::MAX; 4];
    }
    // A payload holds only numbers and lists of these, so that encoding can't fail.
    let encoded = payloads.iter().map(postcard::to_allocvec);
    encoded.filter_map(Result::ok).collect()
}

fn encoded_bytes(item: &impl Serialize) -> usize {
    postcard::to_allocvec(item).map_or(PAYLOAD_MAX_BYTES, |bytes| bytes.len())
}
