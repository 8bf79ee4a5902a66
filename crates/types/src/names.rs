//! Immutable names that are cheap to clone.
//!
//! Each kind of name is a separate type, so that a team name cannot be passed
//! where a class name is expected. Names wrap an `Arc<str>`: cloning one on the
//! request path does not allocate.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates a name from text, without validation.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }

        impl From<String> for $name {
            fn from(text: String) -> Self {
                Self(text.into())
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

name_type! {
    /// Name of a request class, which defines a latency target and a priority.
    ClassName;
    /// Id of one process: an entry, a gateway, or an upstream's instance with
    /// its agent.
    InstanceId;
    /// Name of a language model, as used in requests.
    ModelName;
    /// Id of one request on its path from the caller to the engine and back.
    RequestId;
    /// Public name of a plain service, which is not a language model, as in
    /// `/services/<name>/`.
    RouteName;
    /// Name of a team, a customer that is identified by its API keys.
    TeamName;
    /// Name of an upstream, a pool of interchangeable instances.
    UpstreamName;
    /// Name of an availability zone.
    ZoneName;
}
