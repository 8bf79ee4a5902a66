//! Events of the operator commands.

use types::Generation;

use super::macros::events;

events! {
    /// Events of the operator commands.
    OperatorEvent {
        4000 Info DocumentSubmitted {
            /// Generation of the submitted configuration document.
            generation: Generation,
            /// Session that submitted the document.
            session: String,
        } = "The platform's store accepted a configuration document.", "Nothing.";
    }
}
