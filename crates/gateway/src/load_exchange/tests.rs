//! Encoding of load reports.

use peer_link::PAYLOAD_MAX_BYTES;
use policy::placement::{InstanceKey, InstanceLoad, LaneTotals, UpstreamTotals};
use rstest::rstest;

use super::codec::{encode, LoadPayload, OwnLoad, WireLoad, WireUpstream};

fn own_load(instances: u32, upstreams: u32) -> OwnLoad {
    let load = |number: u32| InstanceLoad {
        in_flight: u64::from(number % 7 + 1),
        memory_tokens: 48_000,
        unread_tokens: [16, 0, 3_200, 0, 0, 0, 0, 0, 0, 1_600],
    };
    let totals = UpstreamTotals {
        lanes: LaneTotals {
            prompts: u64::MAX,
            ..LaneTotals::default()
        },
        ..UpstreamTotals::default()
    };
    OwnLoad {
        upstreams: (0..upstreams).map(|number| (number, totals)).collect(),
        // Keys in no order, as hashes are.
        loads: (0..instances)
            .map(|number| {
                (
                    InstanceKey(number.wrapping_mul(2_654_435_761)),
                    load(number),
                )
            })
            .collect(),
    }
}

/// Guards against payloads that do not fit a frame, and against instances that no
/// payload covers, whose old load would stay until it expires.
#[rstest]
fn payloads_fit_and_cover_every_instance_once(
    #[values(0, 1, 41, 180, 2_000)] instances: u32,
    #[values(0, 3, 60)] upstreams: u32,
) {
    let own = own_load(instances, upstreams);

    let encoded = encode(7, &own);

    let mut loads = Vec::new();
    let mut totals = Vec::new();
    let mut next_key = 0;
    for payload in &encoded {
        assert!(payload.len() <= PAYLOAD_MAX_BYTES, "{}", payload.len());
        let payload: LoadPayload = postcard::from_bytes(payload).expect("decodes");
        let (first, last) = payload.range;
        let (first, last) = (u32::from_le_bytes(first), u32::from_le_bytes(last));
        if first <= last {
            assert_eq!(u64::from(first), next_key);
            next_key = u64::from(last) + 1;
        }
        loads.extend(payload.loads.iter().map(WireLoad::load));
        totals.extend(payload.upstreams.iter().map(WireUpstream::totals));
    }
    assert_eq!(next_key, 1 << 32);
    assert_eq!(
        totals,
        own.upstreams
            .iter()
            .map(|(_, totals)| *totals)
            .collect::<Vec<_>>()
    );
    let mut expected = own.loads;
    expected.sort_unstable_by_key(|(key, _)| *key);
    assert_eq!(loads, expected);
}

/// A gateway of deployment C has load at most of 41 engines; its report must stay
/// one frame.
#[test]
fn report_of_a_common_gateway_is_one_payload() {
    let encoded = encode(1, &own_load(41, 2));

    assert_eq!(encoded.len(), 1);
    println!("{} bytes", encoded[0].len());
}
