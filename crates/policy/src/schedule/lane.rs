//! Lanes by attained service (multi-level feedback).

/// A level of attained service; lower lanes hold longer streams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Lane(u8);

impl Lane {
    /// Number of lanes.
    pub(super) const COUNT: u8 = 3;
    /// Tokens after which a stream falls out of the first lane.
    pub(super) const FIRST_QUANTUM_TOKENS: u32 = 64;
    /// Tokens after which a stream falls into the last lane.
    pub(super) const SECOND_QUANTUM_TOKENS: u32 = 512;

    /// The lane of a stream that has generated `tokens`.
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

    /// Priority passed to the engine: the class first, then the lane.
    pub(super) fn engine_priority(self, class_rank: usize) -> u8 {
        let rank = u8::try_from(class_rank).unwrap_or(u8::MAX);
        rank.saturating_mul(Self::COUNT)
            .saturating_add(Self::COUNT - 1 - self.0)
    }
}
