//! Generates documentation sections from the code: the settings tables and the
//! event catalogue.
//!
//! A generated section is delimited by two marker lines in its file. Text
//! outside of the markers is written by hand and left unchanged.

use std::{fmt::Write, fs, io, path::Path};

use clap::{Arg, Command};
use telemetry::EventSpec;

/// A generated section of a documentation file.
#[derive(Debug)]
pub struct GeneratedSection {
    /// Path of the file, relative to the project's root.
    pub path: &'static str,
    /// Name of the section in the marker lines.
    pub name: &'static str,
    /// Generated text, which ends with a newline.
    pub text: String,
}

/// Error while updating a documentation file.
#[derive(Debug, thiserror::Error)]
pub enum DocsError {
    /// The file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// Path of the documentation file.
        path: String,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The file has no marker lines for the section.
    #[error("{path} has no marker lines `{begin}` and `{end}`")]
    MissingMarkers {
        /// Path of the documentation file, relative to the project's root.
        path: String,
        /// Line that must precede the section.
        begin: String,
        /// Line that must follow the section.
        end: String,
    },
}

/// Generates the event catalogue for `docs/events.md` and the settings tables for
/// `docs/OPERATIONS.md`.
pub fn generated_sections() -> Vec<GeneratedSection> {
    vec![
        GeneratedSection {
            path: "docs/events.md",
            name: "events",
            text: events_table(&telemetry::events::catalogue()),
        },
        GeneratedSection {
            path: "docs/OPERATIONS.md",
            name: "settings",
            text: settings_tables(&limpetgw::command()),
        },
    ]
}

/// Returns `current`, the text of a file, with the section replaced.
///
/// # Errors
///
/// Returns [`DocsError::MissingMarkers`] if the text has no marker lines for
/// the section.
pub fn replace_section(section: &GeneratedSection, current: &str) -> Result<String, DocsError> {
    let begin = format!("<!-- begin {} -->\n", section.name);
    let end = format!("<!-- end {} -->\n", section.name);
    let missing = || DocsError::MissingMarkers {
        path: section.path.into(),
        begin: begin.trim().into(),
        end: end.trim().into(),
    };
    let (before, rest) = current.split_once(&begin).ok_or_else(missing)?;
    let (_, after) = rest.split_once(&end).ok_or_else(missing)?;
    Ok(format!("{before}{begin}{}{end}{after}", section.text))
}

/// Updates all generated sections in the files below `root`.
///
/// # Errors
///
/// Returns a [`DocsError`] if a file cannot be read or written, or if it has no
/// marker lines.
pub fn update_docs(root: &Path) -> Result<(), DocsError> {
    for section in generated_sections() {
        let path = root.join(section.path);
        let file_error = |source| DocsError::File {
            path: path.display().to_string(),
            source,
        };
        let current = fs::read_to_string(&path).map_err(file_error)?;
        let updated = replace_section(&section, &current)?;
        fs::write(&path, updated).map_err(file_error)?;
    }
    Ok(())
}

fn events_table(specs: &[&EventSpec]) -> String {
    let mut text =
        String::from("| number | event | level | fields | what happened | what to do |\n");
    text.push_str("|---|---|---|---|---|---|\n");
    for spec in specs {
        let fields: Vec<String> = spec
            .fields
            .iter()
            .map(|field| format!("`{field}`"))
            .collect();
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "| {} | {} | {} | {} | {} | {} |",
            spec.number,
            spec.name,
            spec.level.as_str().to_lowercase(),
            fields.join(", "),
            spec.meaning,
            spec.action,
        );
    }
    text
}

fn settings_tables(command: &Command) -> String {
    let mut text = String::new();
    append_command(&mut text, "limpetgw", command);
    text
}

fn append_command(text: &mut String, path: &str, command: &Command) {
    let args: Vec<&Arg> = command
        .get_arguments()
        .filter(|arg| !matches!(arg.get_id().as_str(), "help" | "version"))
        .collect();
    if !args.is_empty() {
        append_settings_table(text, path, command, &args);
    }
    for subcommand in command.get_subcommands() {
        append_command(
            text,
            &format!("{path} {}", subcommand.get_name()),
            subcommand,
        );
    }
}

fn append_settings_table(text: &mut String, path: &str, command: &Command, args: &[&Arg]) {
    let about = command
        .get_about()
        .map(ToString::to_string)
        .unwrap_or_default();
    // Writing to a string cannot fail.
    let _ = writeln!(text, "### `{path}`\n\n{about}.\n");
    text.push_str("| setting | variable | default | meaning |\n|---|---|---|---|\n");
    for arg in args {
        let setting = match arg.get_long() {
            Some(long) => format!("--{long}"),
            None => arg.get_id().as_str().to_uppercase(),
        };
        let variable = arg
            .get_env()
            .map(|variable| format!("`{}`", variable.to_string_lossy()))
            .unwrap_or_default();
        let defaults: Vec<String> = arg
            .get_default_values()
            .iter()
            .filter(|_| arg.get_action().takes_values())
            .map(|value| format!("`{}`", value.to_string_lossy()))
            .collect();
        let help = arg.get_help().map(ToString::to_string).unwrap_or_default();
        let _ = writeln!(
            text,
            "| `{setting}` | {variable} | {} | {} |",
            defaults.join(", "),
            help.replace('\n', " "),
        );
    }
    text.push('\n');
}
