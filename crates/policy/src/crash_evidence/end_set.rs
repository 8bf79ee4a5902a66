//! Set of ends, by their index in an evidence set.

/// Ends that a set can hold; more than an evidence set keeps.
const CAPACITY: usize = 512;
const WORDS: usize = CAPACITY / 64;

/// Set of indices below [`CAPACITY`]; others are ignored.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct EndSet([u64; WORDS]);

impl EndSet {
    pub(super) fn insert(&mut self, index: usize) {
        if let Some(word) = self.0.get_mut(index / 64) {
            *word |= 1 << (index % 64);
        }
    }

    pub(super) fn len(&self) -> usize {
        self.0.iter().map(|word| word.count_ones() as usize).sum()
    }

    pub(super) fn union(&self, other: &Self) -> Self {
        self.combine(other, |one, other| one | other)
    }

    pub(super) fn intersection(&self, other: &Self) -> Self {
        self.combine(other, |one, other| one & other)
    }

    pub(super) fn difference(&self, other: &Self) -> Self {
        self.combine(other, |one, other| one & !other)
    }

    /// Returns the indices in ascending order.
    pub(super) fn indices(mut self) -> impl Iterator<Item = usize> {
        std::iter::from_fn(move || {
            let number = self.0.iter().position(|word| *word != 0)?;
            let bit = self.0[number].trailing_zeros() as usize;
            self.0[number] &= self.0[number] - 1;
            Some(number * 64 + bit)
        })
    }

    fn combine(&self, other: &Self, operation: impl Fn(u64, u64) -> u64) -> Self {
        let mut words = self.0;
        for (word, other_word) in words.iter_mut().zip(other.0) {
            *word = operation(*word, other_word);
        }
        Self(words)
    }
}
