//! Validates a document before it is submitted or applied.
//!
//! One pass reports every error with its path, value and rule, so that an
//! operator can fix all of them at once.

mod parse;
mod rules;
mod unique_keys;

use std::fmt;

use indexmap::IndexSet;
use serde::{Deserialize, Serialize};

use crate::Document;

/// A violated rule or a warning, with the field that it concerns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Issue {
    /// Path of the field, such as `classes.urgent.priority`.
    pub path: String,
    /// Value of the field as JSON text.
    pub value: String,
    /// Description of the allowed values, or of the warning.
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

/// A document violates rules and must not be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
#[error("the document has {} errors:{}", errors.len(), format_issues(errors))]
pub struct ValidationError {
    /// All errors of the document.
    pub errors: Vec<Issue>,
}

fn format_issues(errors: &[Issue]) -> String {
    errors
        .iter()
        .map(|issue| format!("\n  {issue}"))
        .collect::<String>()
}

impl Document {
    /// Parses and validates a document.
    ///
    /// # Errors
    ///
    /// [`ValidationError`] with every syntax error and violated rule.
    pub fn parse(text: &str) -> Result<Document, ValidationError> {
        let parsed = parse::parse(text);
        let mut errors = parsed.issues;
        rules::check(&parsed.document, &parsed.invalid_paths, &mut errors);
        if errors.is_empty() {
            return Ok(parsed.document);
        }
        Err(ValidationError { errors })
    }

    /// Checks the rules for single fields and between fields.
    ///
    /// # Errors
    ///
    /// [`ValidationError`] with every violated rule.
    pub fn validate(&self) -> Result<(), ValidationError> {
        let mut errors = Vec::new();
        rules::check(self, &IndexSet::new(), &mut errors);
        if errors.is_empty() {
            return Ok(());
        }
        Err(ValidationError { errors })
    }

    /// Returns warnings about settings that are valid but probably unintended.
    pub fn warnings(&self) -> Vec<Issue> {
        rules::warnings(self)
    }
}
