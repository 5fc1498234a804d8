//! The message of each error in the configuration and in its settings, and which error is reported first.

#[path = "../src/config/error.rs"]
#[allow(dead_code)]
mod config_error;

#[path = "../src/core/fixed_settings.rs"]
#[allow(dead_code)]
mod fixed_settings;

#[path = "../src/discovery/endpoint_json.rs"]
#[allow(dead_code)]
pub mod endpoint_json;

/// The module path under which the program's modules import the endpoint format.
mod discovery {
    pub use super::endpoint_json;
}

use config_error::ConfigError;
use dahliaspoke::endpoints::{Endpoint, EndpointSet};
use dahliaspoke::policy::{Idempotency, Settings};
use dahliaspoke::settings::{object, parse_settings};
use endpoint_json::EndpointJsonError;
use fixed_settings::FixedSettings;
use serde_json::{json, Value};
use std::path::{Path, PathBuf};
use std::process::Command;

/// The function that `endpoint_json` imports from its parent module.
fn start_time(unix_ms: f64) -> Option<f64> {
    Some(unix_ms / 1000.0).filter(|seconds| *seconds > 0.0)
}

fn settings_error(value: &Value) -> String {
    let map = object(value, "settings").expect("an object");
    parse_settings(map).expect_err("invalid settings").to_string()
}

#[test]
fn each_kind_of_settings_error_has_its_message() {
    let class = |class: Value| json!({"classes": [class]});
    let cases = [
        (json!({"fleetSize": "x"}), "setting fleetSize is not a number"),
        (json!({"limits": {"cancel": 1}}), "setting cancel is not true or false"),
        (json!({"locality": 1}), "setting locality is not a text"),
        (json!({"classes": 4}), "setting classes is not a list"),
        (json!({"flavors": ["std", 1]}), "setting flavors has an element that is not a text"),
        (json!({"rules": 4}), "setting rules is not an object"),
        (json!({"classes": [1]}), "a class is not an object"),
        (json!({"tenants": [1]}), "a tenant is not an object"),
        (class(json!({})), "a class has no name"),
        (class(json!({"name": 1})), "a class has no name"),
        (class(json!({"name": "q", "effect": "odd"})), "setting effect: unknown odd"),
        (class(json!({"name": "q", "group": "odd"})), "setting group: unknown odd"),
        (class(json!({"name": "q", "runsOn": [1]})), "setting runsOn has an element that is not a text"),
        (
            json!({"classes": [{"name": "q"}], "familyInfo": {"classThreads": ["x"]}}),
            "setting classThreads has an element of the wrong type",
        ),
        (
            json!({"classes": [{"name": "q"}], "familyInfo": {"loads": [1]}}),
            "setting loads has an element of the wrong type",
        ),
    ];
    for (value, text) in cases {
        assert_eq!(settings_error(&value), text);
    }
    assert_eq!(object(&json!(1), "settings").expect_err("a number").to_string(), "settings is not an object");
}

/// Removes the value at a path of keys.
fn remove(value: &mut Value, path: &str) {
    let (parent, key) = path.rsplit_once('/').expect("a path");
    let parent = value.pointer_mut(parent).expect("an existing parent").as_object_mut().expect("an object");
    assert!(parent.remove(key).is_some(), "{path}");
}

/// The next error: the path of the setting to remove afterwards, the message, and what else to repair.
type Step<'a> = (&'a str, &'a str, &'a dyn Fn(&mut Value));

#[test]
fn first_settings_error_in_reading_order_is_reported() {
    let mut value =
        json!({"familyInfo": 1, "limits": 1, "rules": 1, "prices": 1, "classes": 1, "flavors": 1});
    for key in ["familyInfo", "limits", "rules", "prices"] {
        assert_eq!(settings_error(&value), format!("setting {key} is not an object"));
        remove(&mut value, &format!("/{key}"));
    }

    // Every value has a type that its setting does not accept; each error is removed after it was reported.
    let mut value = json!({
        "classes": [{"effect": 1, "group": 1, "giveUp": "x", "objective": "x", "aimStretch": "x",
            "importance": "x", "lateValue": "x", "memorySpan": "x", "inTurn": 1, "stream": 1, "zonesAllowed": 1,
            "runsOn": 1}],
        "familyInfo": {"classThreads": 1, "loads": 1, "yieldsToLoads": 1, "sizeCores": 1, "sizeMb": 1,
            "lanesCount": 1, "grantsCount": 1, "bills": 1},
        "flavors": 1,
        "tenants": [{"name": 1, "quotaPerS": "x"}],
        "fleetSize": "x", "me": "x", "locality": 1, "discovery": 1, "granularity": "x",
        "prices": {"crossZone": "x", "handshake": "x"},
        "limits": {"cancel": 1, "parallelTries": 1, "retryAfter": 1, "maxRetryAfter": "x", "tryLimit": "x"},
        "rules": {"coldShare": "x", "cold": "x", "fallMultiple": "x", "overloadFor": "x", "orderSettle": "x",
            "budgetFree": "x", "resendRatio": "x", "lookBack": "x"},
    });
    let name = |value: &mut Value| value["classes"][0]["name"] = "q".into();
    let kinds = |value: &mut Value| value["flavors"] = json!(["std"]);
    let retries = |value: &mut Value| value["limits"]["retryAfter"] = true.into();
    let none = |_: &mut Value| {};
    let steps: [Step; 44] = [
        ("/classes/0/effect", "setting effect is not a text", &none),
        ("/classes/0/group", "setting group is not a text", &none),
        ("/classes/0/giveUp", "setting giveUp is not a number", &none),
        ("", "a class has no name", &name),
        ("/classes/0/objective", "setting objective is not a number", &none),
        ("/classes/0/aimStretch", "setting aimStretch is not a number", &none),
        ("/classes/0/importance", "setting importance is not a number", &none),
        ("/classes/0/lateValue", "setting lateValue is not a number", &none),
        ("/classes/0/memorySpan", "setting memorySpan is not a number", &none),
        ("/classes/0/inTurn", "setting inTurn is not true or false", &none),
        ("/classes/0/stream", "setting stream is not true or false", &none),
        ("/classes/0/zonesAllowed", "setting zonesAllowed is not a list", &none),
        ("/classes/0/runsOn", "setting runsOn is not a list", &none),
        ("/familyInfo/classThreads", "setting classThreads is not a list", &none),
        ("/familyInfo/loads", "setting loads is not a list", &none),
        ("/familyInfo/yieldsToLoads", "setting yieldsToLoads is not a list", &none),
        ("/flavors", "setting flavors is not a list", &kinds),
        ("/familyInfo/sizeCores", "setting sizeCores is not a list", &none),
        ("/familyInfo/sizeMb", "setting sizeMb is not a list", &none),
        ("/tenants/0/name", "setting name is not a text", &none),
        ("/tenants/0/quotaPerS", "setting quotaPerS is not a number", &none),
        ("/fleetSize", "setting fleetSize is not a number", &none),
        ("/me", "setting me is not a number", &none),
        ("/locality", "setting locality is not a text", &none),
        ("/prices/crossZone", "setting crossZone is not a number", &none),
        ("/prices/handshake", "setting handshake is not a number", &none),
        ("/discovery", "setting discovery is not a text", &none),
        ("/limits/cancel", "setting cancel is not true or false", &none),
        ("/limits/parallelTries", "setting parallelTries is not true or false", &none),
        ("/limits/retryAfter", "setting retryAfter is not true or false", &retries),
        ("/limits/maxRetryAfter", "setting maxRetryAfter is not a number", &none),
        ("/familyInfo/lanesCount", "setting lanesCount is not true or false", &none),
        ("/familyInfo/grantsCount", "setting grantsCount is not true or false", &none),
        ("/familyInfo/bills", "setting bills is not true or false", &none),
        ("/limits/tryLimit", "setting tryLimit is not a number", &none),
        ("/granularity", "setting granularity is not a number", &none),
        ("/rules/coldShare", "setting coldShare is not a number", &none),
        ("/rules/cold", "setting cold is not a number", &none),
        ("/rules/fallMultiple", "setting fallMultiple is not a number", &none),
        ("/rules/overloadFor", "setting overloadFor is not a number", &none),
        ("/rules/orderSettle", "setting orderSettle is not a number", &none),
        ("/rules/budgetFree", "setting budgetFree is not a number", &none),
        ("/rules/resendRatio", "setting resendRatio is not a number", &none),
        ("/rules/lookBack", "setting lookBack is not a number", &none),
    ];
    for (path, text, repair) in steps {
        assert_eq!(settings_error(&value), text);
        if !path.is_empty() {
            remove(&mut value, path);
        }
        repair(&mut value);
    }
    assert!(parse_settings(object(&value, "settings").expect("an object")).is_ok());
}

#[test]
fn class_and_tenant_identities_cannot_change_in_service() {
    let value = json!({
        "classes": [{"name": "a", "effect": "repeatable"}, {"name": "b"}],
        "tenants": [{"name": "t"}, {"name": "u"}],
    });
    let base = parse_settings(object(&value, "settings").expect("an object")).expect("valid settings");
    let check_result = |change: fn(&mut Settings)| {
        let mut other = base.clone();
        change(&mut other);
        FixedSettings::of(&base).check(&other).map_err(|error| error.to_string())
    };
    let classes =
        Err("classes: names, order and effect cannot change in service, only at a restart".to_string());
    let tenants = Err("tenants: names and order cannot change in service, only at a restart".to_string());
    assert_eq!(check_result(|other| other.classes[0].client_timeout = 1.0), Ok(()));
    assert_eq!(check_result(|other| other.classes[0].name = "c".into()), classes);
    assert_eq!(check_result(|other| other.classes[0].idempotency = Idempotency::Never), classes);
    assert_eq!(check_result(|other| other.classes.swap(0, 1)), classes);
    assert_eq!(check_result(|other| other.classes.truncate(1)), classes);
    assert_eq!(check_result(|other| other.tenants[0].quota_per_s = 1.0), Ok(()));
    assert_eq!(check_result(|other| other.tenants[0].name = "v".into()), tenants);
    assert_eq!(check_result(|other| other.tenants.swap(0, 1)), tenants);
    let both = |other: &mut Settings| {
        other.tenants.clear();
        other.classes.clear();
    };
    assert_eq!(check_result(both), classes, "classes are checked first");
}

#[test]
fn errors_in_stored_values_name_the_stored_value() {
    let source = serde_json::from_str::<Value>("{").expect_err("truncated JSON");
    assert_eq!(
        ConfigError::StoredSettings(source).to_string(),
        "stored settings: EOF while parsing an object at line 1 column 1"
    );
    assert_eq!(
        ConfigError::StoredEngines(EndpointJsonError::NotAList).to_string(),
        "stored engines: the servers are not a list"
    );
}

/// A temporary directory with a `deploy` directory in it; removed when dropped.
struct ConfigDir(PathBuf);

impl ConfigDir {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("dahliaspoke-{}-{name}", std::process::id()));
        std::fs::create_dir_all(path.join("deploy")).expect("a new directory");
        Self(path)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, text).expect("a written file");
        path
    }

    /// The error that the program reports when run in this directory.
    fn reported_error(&self, arguments: &[&str], environment: &[(&str, &str)]) -> String {
        let command_output = Command::new(env!("CARGO_BIN_EXE_dahliaspoke"))
            .current_dir(&self.0)
            .args(arguments)
            .env_remove("NODE_CONFIG")
            .env_remove("NODE_CONSOLE")
            .env_remove("NODE_INHERITED_FD")
            .envs(environment.iter().copied())
            .output()
            .expect("the program starts");
        assert!(!command_output.status.success());
        String::from_utf8(command_output.stderr).expect("UTF-8").trim_end().to_string()
    }

    /// The error that the program reports when it checks a file.
    fn check_result(&self, path: &Path) -> String {
        self.reported_error(&["check", path.to_str().expect("UTF-8")], &[])
    }
}

impl Drop for ConfigDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

#[test]
fn first_configuration_error_in_reading_order_is_reported() {
    let directory = ConfigDir::new("configuration-order");
    let mut value = json!({
        "console": 1, "seed": 1, "name": 1, "listen": "nowhere", "names": "nowhere", "known": 1, "settings": 1,
        "limits": 1,
    });
    let address = "127.0.0.1:0";
    let steps = [
        ("console", "setting console is not a text", json!("nowhere")),
        ("console", "console \"nowhere\": invalid socket address syntax", json!(address)),
        ("seed", "setting seed is not a text", json!("xyz")),
        ("name", "setting name is not a text", json!("n1")),
        ("listen", "listen \"nowhere\": invalid socket address syntax", json!(1)),
        ("listen", "setting listen is not a text", Value::Null),
        ("listen", "listen \"\": invalid socket address syntax", json!(address)),
        ("seed", "seed \"xyz\": invalid digit found in string", json!("a7")),
        ("names", "names \"nowhere\": invalid socket address syntax", json!(address)),
        ("known", "setting known is not an object", json!({"events": [1]})),
        ("known", "an event is not an object", json!({})),
        ("settings", "setting settings is not an object", json!({"fleetSize": "x"})),
        ("settings", "setting fleetSize is not a number", json!({"limits": {"connIdle": "x"}})),
        ("limits", "setting limits is not an object", json!({"sockets": "x"})),
        ("limits", "setting sockets is not a number", json!({"memory_mb": "x"})),
        ("limits", "setting memory_mb is not a number", json!({})),
        ("settings", "setting connIdle is not a number", json!({"limits": {"connectTimeout": "x"}})),
        ("settings", "setting connectTimeout is not a number", json!({"limits": {"streamsPerConn": "x"}})),
        ("settings", "setting streamsPerConn is not a number", json!({"rules": {"drainGrace": "x"}})),
        ("settings", "setting drainGrace is not a number", json!(1)),
    ];
    for (key, text, next) in steps {
        let path = directory.write("config.json", &value.to_string());
        assert_eq!(directory.check_result(&path), format!("dahliaspoke: {}: {text}", path.display()));
        value[key] = next;
    }
    let path = directory.write("config.json", "[]");
    assert_eq!(
        directory.check_result(&path),
        format!("dahliaspoke: {}: the configuration is not an object", path.display())
    );
}

#[test]
fn environment_errors_name_the_variable_or_its_file() {
    let directory = ConfigDir::new("environment");
    let empty = directory.write("config.json", "{");
    let empty = empty.to_str().expect("UTF-8");
    let config =
        directory.write("good.json", &json!({"listen": "127.0.0.1:0", "names": "127.0.0.1:0"}).to_string());
    let config = config.to_str().expect("UTF-8");
    let cases: [(&[(&str, &str)], String); 5] = [
        (&[], "NODE_CONFIG: environment variable not found".into()),
        (&[("NODE_CONFIG", "none.json")], "none.json: No such file or directory (os error 2)".into()),
        (
            &[("NODE_CONFIG", empty)],
            format!("{empty}: not JSON: EOF while parsing an object at line 1 column 1"),
        ),
        (
            &[("NODE_CONFIG", config), ("NODE_CONSOLE", "nowhere"), ("NODE_INHERITED_FD", "x")],
            format!("{config}: NODE_CONSOLE \"nowhere\": invalid socket address syntax"),
        ),
        (
            &[("NODE_CONFIG", config), ("NODE_INHERITED_FD", "x")],
            format!("{config}: NODE_INHERITED_FD \"x\": invalid digit found in string"),
        ),
    ];
    for (environment, text) in cases {
        assert_eq!(directory.reported_error(&[], environment), format!("dahliaspoke: {text}"));
    }
}

#[test]
fn config_file_errors_name_the_line_and_the_key() {
    let directory = ConfigDir::new("files");
    let cases = [
        (
            "log.toml",
            "\nformat = \"xml\"\n",
            "line 2, \"format\": unknown variant `xml`, expected `text` or `json`",
        ),
        ("trace.toml", "colour = true\n", "line 1, \"colour\": unknown field `colour`, expected `requests`"),
        (
            "trace.toml",
            "requests = 1\n",
            "line 1, \"requests\": invalid type: integer `1`, expected a boolean",
        ),
        ("trace.toml", "requests\n", "line 1, \"requests\": key with no value, expected `=`"),
    ];
    for (name, text, reported_error) in cases {
        let path = directory.write(name, text);
        assert_eq!(
            directory.check_result(&path),
            format!("dahliaspoke: {}: {reported_error}", path.display())
        );
    }
    // An unreadable file is an error; only an absent one is optional.
    std::fs::create_dir(directory.0.join("deploy/log.toml")).expect("a new directory");
    assert_eq!(
        directory.reported_error(&[], &[]),
        "dahliaspoke: deploy/log.toml: Is a directory (os error 21)"
    );
}
