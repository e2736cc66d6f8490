//! Validates a settings file against the table of keys.

use std::net::SocketAddr;

use hazeltiller_units::{code, ids};
use serde_json::Value;

use super::{fault, schema};

/// Smallest Jaro-Winkler similarity at which a known key is suggested for an unknown one.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.8;

/// Returns all faults of a document.
pub fn check_document(document: &Value) -> Vec<fault::SettingsFault> {
    if !document.is_object() {
        return vec![fault::SettingsFault::of_file(
            "the file must contain one object".into(),
        )];
    }
    let rows = schema::rows();
    let mut faults = Vec::new();
    for row in &rows {
        check_row(document, row, &mut faults);
    }
    check_unknown_keys(document, "", &rows, &mut faults);
    if faults.is_empty() {
        check_roles(document, &mut faults);
    }
    faults
}

fn check_row(document: &Value, row: &schema::SettingRow, faults: &mut Vec<fault::SettingsFault>) {
    let value = lookup(document, &row.path).filter(|value| !value.is_null());
    let allowed = row.kind.allowed();
    match value {
        None if row.is_required => {
            faults.push(new_fault(
                &row.path,
                None,
                format!("is required; expected {allowed}"),
            ));
        }
        Some(value) if !is_valid(&row.kind, value) => {
            faults.push(new_fault(
                &row.path,
                Some(value),
                format!("expected {allowed}"),
            ));
        }
        _ => {}
    }
}

fn lookup<'a>(document: &'a Value, path: &str) -> Option<&'a Value> {
    path.split('.')
        .try_fold(document, |value, key| value.get(key))
}

fn is_valid(kind: &schema::SettingKind, value: &Value) -> bool {
    let text = value.as_str();
    let is_address = |value: &Value| {
        value
            .as_str()
            .is_some_and(|text| text.parse::<SocketAddr>().is_ok())
    };
    let is_role = |value: &Value| {
        value
            .as_str()
            .is_some_and(|role| schema::ROLES.contains(&role))
    };
    match kind {
        schema::SettingKind::Name => {
            text.is_some_and(|text| text.parse::<ids::InstanceName>().is_ok())
        }
        schema::SettingKind::Address => is_address(value),
        schema::SettingKind::AddressList => value
            .as_array()
            .is_some_and(|list| list.iter().all(is_address)),
        schema::SettingKind::RoleList => value
            .as_array()
            .is_some_and(|list| !list.is_empty() && list.iter().all(is_role)),
        schema::SettingKind::Path => text.is_some_and(|text| !text.is_empty()),
        schema::SettingKind::Level => text.is_some_and(|text| schema::LOG_LEVELS.contains(&text)),
        schema::SettingKind::OneOf(values) => text.is_some_and(|text| values.contains(&text)),
        schema::SettingKind::Boolean => value.is_boolean(),
        schema::SettingKind::Integer(range) => {
            value.as_u64().is_some_and(|number| range.contains(&number))
        }
        schema::SettingKind::Decimal(range) => {
            value.as_f64().is_some_and(|number| range.contains(&number))
        }
    }
}

/// Reports each key of an object, and of the objects in it, that is neither in the table nor a
/// prefix of a key in it.
fn check_unknown_keys(
    value: &Value,
    parent: &str,
    rows: &[schema::SettingRow],
    faults: &mut Vec<fault::SettingsFault>,
) {
    let Some(object) = value.as_object() else {
        let message = "expected an object".into();
        return faults.push(new_fault(parent, Some(value), message));
    };
    for (key, value) in object {
        let path = if parent.is_empty() {
            key.clone()
        } else {
            format!("{parent}.{key}")
        };
        let prefix = format!("{path}.");
        if rows.iter().any(|row| row.path.starts_with(&prefix)) {
            check_unknown_keys(value, &path, rows, faults);
        } else if !rows.iter().any(|row| row.path == path) {
            let mut unknown = new_fault(&path, None, "unknown key".into());
            unknown.near = closest_key(parent, key, rows);
            faults.push(unknown);
        }
    }
}

/// Returns the known key of the same object that is most similar to an unknown one, if any is
/// similar enough.
fn closest_key(parent: &str, key: &str, rows: &[schema::SettingRow]) -> Option<String> {
    let prefix = if parent.is_empty() {
        String::new()
    } else {
        format!("{parent}.")
    };
    let known = rows
        .iter()
        .filter_map(|row| row.path.strip_prefix(&prefix)?.split('.').next());
    let similarity = |known: &str| strsim::jaro_winkler(known, key);
    let best = known.max_by(|one, other| similarity(one).total_cmp(&similarity(other)))?;
    (similarity(best) >= MIN_SUGGESTION_SIMILARITY).then(|| best.into())
}

fn check_roles(document: &Value, faults: &mut Vec<fault::SettingsFault>) {
    let has_role = |role: &str| {
        document["roles"]
            .as_array()
            .is_some_and(|roles| roles.iter().any(|given| given == role))
    };
    let is_given = |path: &str| lookup(document, path).is_some_and(|value| !value.is_null());
    if has_role("control") && !is_given("data_folder") {
        let message = "the role control requires a folder for its durable state".into();
        faults.push(new_fault("data_folder", None, message));
    }
    let contacts = document["control"].as_array().map_or(0, Vec::len);
    if !has_role("control") && contacts == 0 {
        let message = "the role node requires the peers address of at least one control".into();
        faults.push(new_fault("control", None, message));
    }
}

fn new_fault(path: &str, value: Option<&Value>, allowed: String) -> fault::SettingsFault {
    fault::SettingsFault {
        code: code::ResultCode::SettingsInvalid,
        path: path.into(),
        value: value.map(Value::to_string).unwrap_or_default(),
        allowed,
        near: None,
    }
}
