//! Macro that declares an event enum together with its catalogue entries.

macro_rules! events {
    (
        $(#[$enum_doc:meta])*
        $enum_name:ident {
            $(
                $number:literal $level:ident $name:ident {
                    $($(#[$field_doc:meta])* $field:ident: $type:ty,)*
                } = $meaning:literal, $action:literal;
            )*
        }
    ) => {
        $(#[$enum_doc])*
        #[derive(Clone, Debug, serde::Serialize)]
        #[serde(untagged)]
        pub enum $enum_name {
            $(
                #[doc = $meaning]
                $name {
                    $($(#[$field_doc])* $field: $type,)*
                },
            )*
        }

        impl $enum_name {
            /// Catalogue entries of this enum, ordered by number.
            pub const SPECS: &'static [$crate::events::EventSpec] = &[
                $($crate::events::EventSpec {
                    number: $number,
                    name: stringify!($name),
                    level: log::Level::$level,
                    fields: &[$(stringify!($field),)*],
                    meaning: $meaning,
                    action: $action,
                },)*
            ];
        }

        impl $crate::events::Event for $enum_name {
            fn spec(&self) -> &'static $crate::events::EventSpec {
                let number = match self {
                    $($enum_name::$name { .. } => $number,)*
                };
                let index = Self::SPECS.iter().position(|spec| spec.number == number);
                &Self::SPECS[index.unwrap_or_default()]
            }
        }
    };
}

pub(crate) use events;
