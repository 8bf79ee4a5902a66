//! A process applies only valid configurations of a higher generation.

use config::{Head, ShardTexts};
use proptest::prelude::*;
use shared_state::{AppliedConfig, SharedState};
use types::Generation;

use crate::fixtures::{chain, proptest_config};

/// A configuration that the store or a peer may return; the numbers are indices
/// into the chain.
#[derive(Clone, Debug)]
enum ReceivedConfig {
    /// A head with all its shards.
    Complete(usize),
    /// A head without its last shard.
    Incomplete(usize),
    /// A head with the shards of another one.
    OtherShards(usize, usize),
    /// A head with an altered shard under the original digest.
    Altered(usize),
}

/// Number of configurations in the chain.
const CHAIN: u64 = 12;

fn received_config() -> impl Strategy<Value = ReceivedConfig> {
    let index = || 0..CHAIN as usize;
    prop_oneof![
        4 => index().prop_map(ReceivedConfig::Complete),
        1 => index().prop_map(ReceivedConfig::Incomplete),
        1 => (index(), index()).prop_map(|(head, shards)| ReceivedConfig::OtherShards(head, shards)),
        1 => index().prop_map(ReceivedConfig::Altered),
    ]
}

fn objects(chain: &[(Head, ShardTexts)], received_config: &ReceivedConfig) -> (Head, ShardTexts) {
    match received_config {
        ReceivedConfig::Complete(index) => chain[*index].clone(),
        ReceivedConfig::Incomplete(index) => {
            let (head, mut shards) = chain[*index].clone();
            shards.pop();
            (head, shards)
        }
        ReceivedConfig::OtherShards(head, shards) => {
            (chain[*head].0.clone(), chain[*shards].1.clone())
        }
        ReceivedConfig::Altered(index) => {
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

    /// The generation in force is that of the highest complete configuration
    /// applied so far; older, repeated, incomplete and altered ones change
    /// nothing.
    #[test]
    fn only_complete_configurations_of_higher_generations_are_applied(
        received_configs in prop::collection::vec(received_config(), 1..30),
    ) {
        let chain = chain(CHAIN);
        let state = SharedState::fixed(Default::default(), Vec::new());
        let mut highest = Generation(0);

        for received_config in &received_configs {
            let (head, shards) = objects(&chain, received_config);
            let is_complete = match received_config {
                ReceivedConfig::Complete(_) => true,
                ReceivedConfig::OtherShards(head, shards) => head == shards,
                ReceivedConfig::Incomplete(_) | ReceivedConfig::Altered(_) => false,
            };
            let generation = head.generation;
            let result = state.apply(head, shards, "test");
            if is_complete && generation > highest {
                highest = generation;
                prop_assert_eq!(result, Ok(true));
                let target = state.config().document.classes["only"].first_token_target_ms;
                prop_assert_eq!(target, 100 + generation.0 - 1);
            }
            prop_assert_eq!(state.config().generation, highest);
        }
    }

    /// A peer with an older configuration receives only the shards that it
    /// lacks, which yield the newer one; a peer that is not behind gets nothing.
    #[test]
    fn bundle_contains_only_missing_shards_and_yields_newer_configuration(
        own_index in 0..CHAIN as usize,
        peer_index in 0..CHAIN as usize,
    ) {
        let chain = chain(CHAIN);
        let applied = |index: usize| {
            let (head, shards) = chain[index].clone();
            AppliedConfig::new(head, shards, &AppliedConfig::default()).expect("the chain is valid")
        };
        let (own, peer) = (applied(own_index), applied(peer_index));

        let bundle = peer.bundle(&own.fetch_params());

        prop_assert_eq!(bundle.is_some(), peer_index > own_index);
        if let Some(bundle) = bundle {
            for (digest, _) in &bundle.shards {
                prop_assert!(
                    !own.shards.contains_key(digest),
                    "the bundle contains known shard {digest}"
                );
            }
            let head = shared_state::parse_head(&bundle.head).expect("the bundle has a valid head");
            let merged = own.merge_shards(&head, bundle);
            let applied = AppliedConfig::new(head, merged, &own)
                .expect("own and received shards are complete");
            prop_assert_eq!(&applied.snapshot.document, &peer.snapshot.document);
        }
    }
}
