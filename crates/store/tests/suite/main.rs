//! Tests of the platform's client: what each answer means, and the limiter.

mod answers;
mod limits;
