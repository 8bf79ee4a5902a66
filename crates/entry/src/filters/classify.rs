//! Classify: which of its team's classes a request belongs to.

use std::time::Duration;

use config::Snapshot;
use trillium::Conn;
use types::{ErrorCode, Priority, TeamName};

use crate::{failure::Failure, request::ResolvedClass};

/// Header by which a caller asks for one of its team's classes.
const CLASS_HEADER: &str = "limpetgw-class";

/// Finds the class: the one asked for, or the team's first.
///
/// # Errors
///
/// `class_not_allowed` if the team is not bound to the class.
pub(crate) fn classify(
    conn: &Conn,
    config: &Snapshot,
    team_name: &TeamName,
) -> Result<ResolvedClass, Failure> {
    let team_classes = config
        .document
        .teams
        .get(team_name)
        .map_or(&[][..], |team| team.classes.as_slice());
    let name = match conn.request_headers().get_str(CLASS_HEADER) {
        Some(wanted) => team_classes.iter().find(|class| class.as_str() == wanted),
        None => team_classes.first(),
    };
    let found = name.and_then(|name| config.document.classes.get_key_value(name));
    let Some((name, class)) = found else {
        return Err(Failure::not_run(
            ErrorCode::ClassNotAllowed,
            "your team is not bound to this class; leave out `limpetgw-class` or name one of your team's classes",
        ));
    };
    Ok(ResolvedClass {
        class: name.clone(),
        priority: Priority(class.priority),
        deadline: Duration::from_millis(class.deadline_ms),
        first_token_target_ms: class.first_token_target_ms,
    })
}
