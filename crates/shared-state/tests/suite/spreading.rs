//! Generations spread among processes without the store.
