//! Tests of the platform client: mapping of responses to results, and rate
//! limits.

mod era;
mod rate_limit;
mod responses;
