//! Pages made from the code: the settings tables and the event catalogue.
//!
//! A page holds generated parts between two marker lines; the rest is
//! written by hand and kept.

use std::{fmt::Write, fs, io, path::Path};

use clap::{Arg, Command};
use telemetry::EventSpec;

/// A page with a generated part.
#[derive(Debug)]
pub struct Page {
    /// Path below the project's root.
    pub path: &'static str,
    /// Name in the marker lines.
    pub part: &'static str,
    /// The generated text, with a final newline.
    pub text: String,
}

/// A page could not be made.
#[derive(Debug, thiserror::Error)]
pub enum DocsError {
    /// A file could not be read or written.
    #[error("{path}: {source}")]
    File {
        /// The file.
        path: String,
        /// The system's word.
        source: io::Error,
    },
    /// A page lacks its marker lines.
    #[error("{path} lacks the lines `{begin}` and `{end}`")]
    Markers {
        /// The file.
        path: String,
        /// First marker.
        begin: String,
        /// Second marker.
        end: String,
    },
}

/// All generated parts.
pub fn pages() -> Vec<Page> {
    vec![
        Page {
            path: "docs/events.md",
            part: "events",
            text: events_table(&telemetry::events::catalogue()),
        },
        Page {
            path: "docs/OPERATIONS.md",
            part: "settings",
            text: settings_tables(&limpetgw::command()),
        },
    ]
}

/// Puts a generated part into a page's text.
///
/// # Errors
///
/// [`DocsError::Markers`] when the page lacks the marker lines.
pub fn insert(page: &Page, current: &str) -> Result<String, DocsError> {
    let begin = format!("<!-- begin {} -->\n", page.part);
    let end = format!("<!-- end {} -->\n", page.part);
    let missing = || DocsError::Markers {
        path: page.path.into(),
        begin: begin.trim().into(),
        end: end.trim().into(),
    };
    let (before, rest) = current.split_once(&begin).ok_or_else(missing)?;
    let (_, after) = rest.split_once(&end).ok_or_else(missing)?;
    Ok(format!("{before}{begin}{}{end}{after}", page.text))
}

/// Renews the generated parts below `root`.
///
/// # Errors
///
/// [`DocsError`] when a page can't be read, written or lacks its markers.
pub fn write_pages(root: &Path) -> Result<(), DocsError> {
    for page in pages() {
        let path = root.join(page.path);
        let file_error = |source| DocsError::File {
            path: path.display().to_string(),
            source,
        };
        let current = fs::read_to_string(&path).map_err(file_error)?;
        let renewed = insert(&page, &current)?;
        fs::write(&path, renewed).map_err(file_error)?;
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
        // Writing to a string can't fail.
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
    add_command(&mut text, "limpetgw", command);
    text
}

fn add_command(text: &mut String, path: &str, command: &Command) {
    let args: Vec<&Arg> = command
        .get_arguments()
        .filter(|arg| !matches!(arg.get_id().as_str(), "help" | "version"))
        .collect();
    if !args.is_empty() {
        add_table(text, path, command, &args);
    }
    for subcommand in command.get_subcommands() {
        add_command(
            text,
            &format!("{path} {}", subcommand.get_name()),
            subcommand,
        );
    }
}

fn add_table(text: &mut String, path: &str, command: &Command, args: &[&Arg]) {
    let about = command
        .get_about()
        .map(ToString::to_string)
        .unwrap_or_default();
    // Writing to a string can't fail.
    let _ = writeln!(text, "### `{path}`\n\n{about}.\n");
    text.push_str("| setting | variable | default | meaning |\n|---|---|---|---|\n");
    for arg in args {
        let name = match arg.get_long() {
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
            "| `{name}` | {variable} | {} | {} |",
            defaults.join(", "),
            help.replace('\n', " "),
        );
    }
    text.push('\n');
}
