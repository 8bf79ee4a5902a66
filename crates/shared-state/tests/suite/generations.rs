//! A process applies only a higher generation, whatever it is offered.

use config::{Head, ShardTexts};
use proptest::prelude::*;
use shared_state::{AppliedConfig, SharedState};
use types::Generation;

use crate::fixtures::{chain, proptest_config};

/// One thing that the store or a peer may offer.
#[derive(Clone, Debug)]
enum Offer {
    /// Configuration number n of the chain, whole.
    Whole(usize),
    /// Its head without one shard.
    Incomplete(usize),
    /// Its head with the shards of another one.
    Swapped(usize, usize),
    /// Its head with an altered shard under the right digest.
    Altered(usize),
}

const CHAIN: u64 = 12;

fn offer() -> impl Strategy<Value = Offer> {
    let one = || 0..CHAIN as usize;
    prop_oneof![
        4 => one().prop_map(Offer::Whole),
        1 => one().prop_map(Offer::Incomplete),
        1 => (one(), one()).prop_map(|(head, shards)| Offer::Swapped(head, shards)),
        1 => one().prop_map(Offer::Altered),
    ]
}

fn objects(chain: &[(Head, ShardTexts)], offer: &Offer) -> (Head, ShardTexts) {
    match offer {
        Offer::Whole(index) => chain[*index].clone(),
        Offer::Incomplete(index) => {
            let (head, mut shards) = chain[*index].clone();
            shards.pop();
            (head, shards)
        }
        Offer::Swapped(head, shards) => (chain[*head].0.clone(), chain[*shards].1.clone()),
        Offer::Altered(index) => {
            let (head, mut shards) = chain[*index].clone();
            if let Some((_, text)) = shards.last_mut() {
                *text = text.replace("only", "evil").replace('}', "} ").into();
            }
            (head, shards)
        }
    }
}

proptest! {
    #![proptest_config(proptest_config(200))]

    /// Model: the generation in force is the highest whole configuration
    /// offered so far; older, repeated, incomplete and altered ones change
    /// nothing.
    #[test]
    fn the_generation_in_force_is_the_highest_whole_one(
        offers in prop::collection::vec(offer(), 1..30),
    ) {
        let chain = chain(CHAIN);
        let state = SharedState::fixed(Default::default(), Vec::new());
        let mut highest = Generation(0);

        for offer in &offers {
            let (head, shards) = objects(&chain, offer);
            let is_whole = match offer {
                Offer::Whole(_) => true,
                Offer::Swapped(head, shards) => head == shards,
                Offer::Incomplete(_) | Offer::Altered(_) => false,
            };
            let generation = head.generation;
            let result = state.apply(head, shards, "test");
            if is_whole && generation > highest {
                highest = generation;
                prop_assert_eq!(result, Ok(true));
                let target = state.config().document.classes["only"].first_token_target_ms;
                prop_assert_eq!(target, 100 + generation.0 - 1);
            }
            prop_assert_eq!(state.config().generation, highest);
        }
    }

    /// A peer that knows any older configuration gets the newer one from what
    /// it lacks only, and nothing if it is not behind.
    #[test]
    fn a_peer_catches_up_from_what_it_lacks(
        behind in 0..CHAIN as usize,
        ahead in 0..CHAIN as usize,
    ) {
        let chain = chain(CHAIN);
        let whole = |index: usize| {
            let (head, shards) = chain[index].clone();
            AppliedConfig::new(head, shards, &AppliedConfig::default()).expect("whole")
        };
        let (own, peer) = (whole(behind), whole(ahead));

        let bundle = peer.bundle(&own.fetch_params());

        prop_assert_eq!(bundle.is_some(), ahead > behind);
        if let Some(bundle) = bundle {
            for (digest, _) in &bundle.shards {
                prop_assert!(!own.shards.contains_key(digest), "sent a known shard");
            }
            let head = shared_state::parse_head(&bundle.head).expect("a head");
            let joined = own.merge_shards(&head, bundle);
            let applied = AppliedConfig::new(head, joined, &own).expect("whole");
            prop_assert_eq!(&applied.snapshot.document, &peer.snapshot.document);
        }
    }
}
