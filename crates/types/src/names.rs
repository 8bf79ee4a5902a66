//! Cheaply cloned immutable names.
//!
//! Every name is its own type, so that a team can't be passed for a class.
//! Cloning a name clones an `Arc<str>`: no allocation on the request path.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

macro_rules! name_type {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Makes a name from text.
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// The name as text.
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
    /// A request class: a latency target and a priority.
    ClassName;
    /// One process of the fleet: an entry, or an upstream's instance with its agent.
    InstanceId;
    /// A language model as callers name it.
    ModelName;
    /// Identifies one request from the caller to the engine and back.
    RequestId;
    /// The public name of a plain service, as in `/services/<name>/`.
    RouteName;
    /// A customer, identified by its API keys.
    TeamName;
    /// A pool of interchangeable back ends.
    UpstreamName;
    /// An availability zone.
    ZoneName;
}
