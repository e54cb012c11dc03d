//! Sets up logging to standard error: one event per line, with fields, as text or JSON.

use chalkhall_config::{Log, LogFormat};
use structured_logger::json::new_writer;

/// Initializes logging; to be called once per process. `RUST_LOG` takes precedence over the
/// operator's file.
pub fn init(settings: &Log) {
    let level = std::env::var("RUST_LOG")
        .ok()
        .or_else(|| settings.level.clone());
    let level = level.unwrap_or_else(|| "info".to_owned());
    match settings.format {
        LogFormat::Text => env_logger::Builder::new().parse_filters(&level).init(),
        LogFormat::Json => {
            structured_logger::Builder::with_level(&level)
                .with_target_writer("*", new_writer(std::io::stderr()))
                .init();
        }
    }
}
