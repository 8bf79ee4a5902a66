//! A form session that edits a document interactively.
//!
//! The session is a state machine without I/O: it returns questions and accepts
//! answers, which come from a terminal or a file. Each field is validated when it
//! is entered, so that the resulting document is valid.

mod fields;
mod question;
mod session;

pub use question::{Question, QuestionKind, RejectedAnswer};
pub use session::{FormSession, Step};

/// A section of the document. Each section has its own form.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Section {
    Classes,
    Teams,
    Upstreams,
    Services,
    Limits,
}

impl Section {
    /// Returns the name of the section in the document.
    fn path(self) -> &'static str {
        match self {
            Section::Classes => "classes",
            Section::Teams => "teams",
            Section::Upstreams => "upstreams",
            Section::Services => "services",
            Section::Limits => "limits",
        }
    }

    /// Returns the name of one item of the section, as shown to the operator.
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

/// An entry of the main menu.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum MenuItem {
    Edit(Section),
    Remove(Section),
    NewKey,
    RemoveKey,
    ShowChanges,
    Submit,
    Abort,
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
        ("difference", MenuItem::ShowChanges),
        ("finish", MenuItem::Submit),
        ("give up", MenuItem::Abort),
    ];

    fn parse(answer: &str) -> Option<MenuItem> {
        let found = Self::ALL.iter().find(|(name, _)| *name == answer);
        found.map(|(_, item)| *item)
    }
}
