//! Multi-level feedback scheduling: a request's level follows from the number
//! of tokens that it has generated.

/// A feedback level. Requests move to a later lane, with a lower priority at
/// the engine, as they generate more tokens. Unrelated to the lanes of
/// [`crate::placement`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct FeedbackLane(u8);

impl FeedbackLane {
    /// Number of lanes, and thus of engine priorities per class.
    pub(super) const COUNT: u8 = 3;
    /// Tokens after which a request leaves the first lane.
    pub(super) const FIRST_QUANTUM_TOKENS: u32 = 64;
    /// Tokens after which a request enters the last lane.
    pub(super) const SECOND_QUANTUM_TOKENS: u32 = 512;

    /// Returns the lane of a request that has generated `tokens`.
    pub(super) fn of(tokens: u32) -> Self {
        match tokens {
            0..Self::FIRST_QUANTUM_TOKENS => Self(0),
            Self::FIRST_QUANTUM_TOKENS..Self::SECOND_QUANTUM_TOKENS => Self(1),
            _ => Self(2),
        }
    }

    pub(super) fn is_last(self) -> bool {
        self.0 == Self::COUNT - 1
    }

    /// Returns the priority to pass to the engine. Classes are ordered first;
    /// within a class, an earlier lane has the higher priority.
    pub(super) fn engine_priority(self, class_rank: usize) -> u8 {
        let rank = u8::try_from(class_rank).unwrap_or(u8::MAX);
        rank.saturating_mul(Self::COUNT)
            .saturating_add(Self::COUNT - 1 - self.0)
    }
}
