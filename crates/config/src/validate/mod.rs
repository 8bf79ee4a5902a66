//! Checks a document before it is submitted or applied.
//!
//! Every error is found in one pass and names the path, the value and the
//! rule, so that an operator mends a document in one go.

mod parse;
mod rules;
mod unique_keys;

use std::fmt;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::Document;

/// Something wrong with a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Issue {
    /// Where, as `classes.urgent.priority`.
    pub path: String,
    /// The value found there, as JSON text.
    pub value: String,
    /// What is allowed there.
    pub rule: String,
}

impl Issue {
    pub(crate) fn new(
        path: impl Into<String>,
        value: impl Serialize,
        rule: impl Into<String>,
    ) -> Self {
        Self {
            path: path.into(),
            value: serde_json::to_string(&value).unwrap_or_default(),
            rule: rule.into(),
        }
    }
}

impl fmt::Display for Issue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.path, self.value, self.rule)
    }
}

/// A document breaks rules; nothing of it may come into force.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("the document has {} errors:{}", errors.len(), listed(errors))]
pub struct ValidationError {
    /// Every error found.
    pub errors: Vec<Issue>,
}

fn listed(errors: &[Issue]) -> String {
    errors
        .iter()
        .map(|issue| format!("\n  {issue}"))
        .collect::<String>()
}

impl Document {
    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// [`ValidationError`] with every error in the text.
    pub fn parse(text: &str) -> Result<Document, ValidationError> {
        let parsed = parse::parse(text);
        let mut errors = parsed.issues;
        rules::check(&parsed.document, &parsed.unreadable, &mut errors);
        if errors.is_empty() {
            return Ok(parsed.document);
        }
        Err(ValidationError { errors })
    }

    /// Checks the rules between and within the fields.
    ///
    /// # Errors
    ///
    /// [`ValidationError`] with every rule that is broken.
    pub fn validate(&self) -> Result<(), ValidationError> {
        let mut errors = Vec::new();
        rules::check(self, &IndexSet::new(), &mut errors);
        if errors.is_empty() {
            return Ok(());
        }
        Err(ValidationError { errors })
    }

    /// What is allowed but probably not meant.
    pub fn warnings(&self) -> Vec<Issue> {
        rules::warnings(self)
    }
}
