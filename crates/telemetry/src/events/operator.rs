//! Events of the operator commands.

use types::Generation;

use super::macros::events;

events! {
    /// Events of the operator commands.
    OperatorEvent {
        4000 Info DocumentSubmitted {
            /// Generation of the submitted document.
            generation: Generation,
            /// Session that submitted it.
            session: String,
        } = "A document was accepted by the platform's store.", "Nothing.";
    }
}
