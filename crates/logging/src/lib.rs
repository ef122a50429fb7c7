//! The log: structured lines on standard error, for people or for machines. Every line has a stable event name
//! in its field `event`; lines of one origin are bounded, so that what goes wrong a thousand times a second does
//! not fill a disk.
#![warn(missing_docs)]

use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use operator::{LogFormat, LogLevel};
use tracing::callsite::Identifier;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::filter::LevelFilter;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::{fmt, reload, Layer, Registry};

pub use tracing::{debug, error, info, warn};

/// Most lines of one origin in each [`WINDOW`]; those past it are counted and left out.
const MOST: u32 = 200;
const WINDOW: Duration = Duration::from_secs(10);

/// Changes the log while it is written.
pub struct Handle {
    level: reload::Handle<LevelFilter, Registry>,
    left_out: Arc<AtomicU64>,
}

impl Handle {
    /// Logs so much from now on.
    pub fn set_level(&self, level: LogLevel) {
        // Fails only where the log itself is gone, which ends with the process.
        let _ = self.level.reload(filter(level));
    }

    /// Lines left out because there were too many of their kind.
    pub fn suppressed_lines(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }
}

/// Begins the log on standard error. The first call in a process counts.
pub fn start(level: LogLevel, format: LogFormat) -> Handle {
    let (level, handle) = reload::Layer::new(filter(level));
    let left_out = Arc::new(AtomicU64::new(0));
    let bound = Bound { left_out: left_out.clone(), lines: Mutex::default() };
    // A log that nobody reads any more is no reason to complain to it, let alone to end.
    let lines =
        fmt::layer().with_writer(io::stderr).with_ansi(false).with_target(false).log_internal_errors(false);
    let lines: Box<dyn Layer<_> + Send + Sync> = match format {
        LogFormat::Human => Box::new(lines.compact().with_filter(bound)),
        LogFormat::Json => Box::new(lines.json().flatten_event(true).with_filter(bound)),
    };
    let _ = tracing::subscriber::set_global_default(Registry::default().with(level).with(lines));
    Handle { level: handle, left_out }
}

fn filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::ERROR,
        LogLevel::Warn => LevelFilter::WARN,
        LogLevel::Info => LevelFilter::INFO,
        LogLevel::Debug => LevelFilter::DEBUG,
    }
}

/// Lets so many lines of each origin pass in each window. Origins are places in the program: there are only as
/// many as it has.
struct Bound {
    left_out: Arc<AtomicU64>,
    lines: Mutex<HashMap<Identifier, (Instant, u32)>>,
}

impl<S: Subscriber> Filter<S> for Bound {
    fn enabled(&self, _: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        true
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let now = Instant::now();
        let Ok(mut lines) = self.lines.lock() else { return true };
        let (from, count) = lines.entry(event.metadata().callsite()).or_insert((now, 0));
        if now.duration_since(*from) >= WINDOW {
            (*from, *count) = (now, 0);
        }
        *count += 1;
        let passes = *count <= MOST;
        self.left_out.fetch_add(u64::from(!passes), Ordering::Relaxed);
        passes
    }
}
