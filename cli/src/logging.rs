//! Log output: JSON lines on standard output for daemons, text on standard error otherwise.

use std::io::Write as _;

use env_logger::Builder;
use env_logger::Env;
use env_logger::Target;
use env_logger::fmt::Formatter;
use log::Record;
use log::kv::Key;
use log::kv::Value;
use log::kv::VisitSource;
use log::kv::VisitValue;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;

/// The log filter if `RUST_LOG` is not set; the level in the settings limits it further.
const DEFAULT_FILTER: &str = "warn,beryltray=trace,beryltray_lib=trace,beryltray_platform=trace,\
                              beryltray_stand_ins=trace";
/// Log lines buffered for a slow reader of standard output; further lines are dropped.
const BUFFER_LINES: usize = 8 * 1024;

/// Starts logging; the returned guard flushes the buffered lines when it is dropped.
pub(crate) fn start(is_daemon: bool) -> Option<WorkerGuard> {
    let mut builder = Builder::from_env(Env::default().default_filter_or(DEFAULT_FILTER));
    let guard = is_daemon.then(|| {
        // A slow log reader must not block requests: lines beyond the buffer are dropped.
        let (writer, guard) = NonBlockingBuilder::default()
            .lossy(true)
            .buffered_lines_limit(BUFFER_LINES)
            .finish(std::io::stdout());
        builder.target(Target::Pipe(Box::new(writer)));
        builder.format(write_json);
        guard
    });
    builder.init();
    if std::env::var_os(env_logger::DEFAULT_FILTER_ENV).is_none() {
        // The default level; an entry replaces it with the level in its settings.
        log::set_max_level(log::LevelFilter::Info);
    }
    guard
}

struct JsonFields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for JsonFields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let mut json = JsonValue(serde_json::Value::Null);
        value.visit(&mut json)?;
        self.0.insert(key.as_str().to_owned(), json.0);
        Ok(())
    }
}

/// A value as JSON: numbers, booleans and absent values as such, all others as text.
struct JsonValue(serde_json::Value);

impl<'v> VisitValue<'v> for JsonValue {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), log::kv::Error> {
        self.0 = value.to_string().into();
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), log::kv::Error> {
        self.0 = serde_json::Value::Null;
        Ok(())
    }

    fn visit_u64(&mut self, number: u64) -> Result<(), log::kv::Error> {
        self.0 = number.into();
        Ok(())
    }

    fn visit_i64(&mut self, number: i64) -> Result<(), log::kv::Error> {
        self.0 = number.into();
        Ok(())
    }

    fn visit_f64(&mut self, number: f64) -> Result<(), log::kv::Error> {
        self.0 = number.into();
        Ok(())
    }

    fn visit_bool(&mut self, is_true: bool) -> Result<(), log::kv::Error> {
        self.0 = is_true.into();
        Ok(())
    }
}

fn write_json(formatter: &mut Formatter, record: &Record<'_>) -> std::io::Result<()> {
    let mut fields = JsonFields(serde_json::Map::new());
    let time = formatter.timestamp_millis().to_string();
    fields.0.insert(String::from("time"), time.into());
    fields
        .0
        .insert(String::from("level"), record.level().as_str().into());
    fields
        .0
        .insert(String::from("message"), record.args().to_string().into());
    record
        .key_values()
        .visit(&mut fields)
        .map_err(std::io::Error::other)?;
    serde_json::to_writer(&mut *formatter, &fields.0)?;
    writeln!(formatter)
}
