//! A session of forms that yields exactly one validated document.
//!
//! Pure: the session is a state machine that asks questions and is fed
//! answers; where they come from, a terminal or a file, is not its matter.
//! Every field is checked as it is entered, with the rules of the document.

mod fields;
mod question;
mod session;

pub use question::{Question, QuestionKind, RejectedAnswer};
pub use session::{FormSession, Step};

/// A part of the document with a form of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Section {
    Classes,
    Teams,
    Upstreams,
    Services,
    Limits,
}

impl Section {
    /// Name in the document.
    fn path(self) -> &'static str {
        match self {
            Section::Classes => "classes",
            Section::Teams => "teams",
            Section::Upstreams => "upstreams",
            Section::Services => "services",
            Section::Limits => "limits",
        }
    }

    /// One item of it.
    fn item(self) -> &'static str {
        match self {
            Section::Classes => "class",
            Section::Teams => "team",
            Section::Upstreams => "upstream",
            Section::Services => "service",
            Section::Limits => "limits",
        }
    }
}

/// What the menu offers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MenuItem {
    Edit(Section),
    Remove(Section),
    NewKey,
    RemoveKey,
    Difference,
    Finish,
    GiveUp,
}

impl MenuItem {
    const ALL: &'static [(&'static str, MenuItem)] = &[
        ("class", MenuItem::Edit(Section::Classes)),
        ("team", MenuItem::Edit(Section::Teams)),
        ("new key", MenuItem::NewKey),
        ("upstream", MenuItem::Edit(Section::Upstreams)),
        ("service", MenuItem::Edit(Section::Services)),
        ("limits", MenuItem::Edit(Section::Limits)),
        ("remove class", MenuItem::Remove(Section::Classes)),
        ("remove team", MenuItem::Remove(Section::Teams)),
        ("remove key", MenuItem::RemoveKey),
        ("remove upstream", MenuItem::Remove(Section::Upstreams)),
        ("remove service", MenuItem::Remove(Section::Services)),
        ("difference", MenuItem::Difference),
        ("finish", MenuItem::Finish),
        ("give up", MenuItem::GiveUp),
    ];

    fn parse(answer: &str) -> Option<MenuItem> {
        let found = Self::ALL.iter().find(|(name, _)| *name == answer);
        found.map(|(_, item)| *item)
    }
}
