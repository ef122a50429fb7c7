//! Changes of the operator's file over the control socket, each put on record, applied, watched and confirmed.

use super::{Bench, GROUP_SIZE};
use crate::error::socket;
use crate::report::{Quantity, Report};
use crate::{MeasureError, Pooler};
use control::{Call, Code, Request, Response};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

const CHANGES: [usize; 4] = [0, 2, 4, 8];
/// The shortest probation: what is measured is a change, not how long it is watched.
const SETTINGS: &str = "change.probation_s = 0.1";
/// A change is confirmed within this; one that is not is asked about again.
const CONFIRMED: Duration = Duration::from_millis(350);
const PATIENCE: Duration = Duration::from_secs(10);

/// So many changes one after another, in a list of the usual length.
pub(super) fn changes(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    for count in bench.shuffled(&CHANGES) {
        let databases = bench.usual_databases();
        let scene = bench.scene_with(databases, GROUP_SIZE, |_| {}, Some(SETTINGS))?;
        let before = scene.pooler.sample()?;
        let mut bytes = 0;
        for number in 0..count {
            bytes += change(&scene.pooler, number)?;
        }
        let after = scene.pooler.sample()?;
        let processor = after.processor_time_since(&before).as_secs_f64();
        report.add(Quantity::ConfigurationProcessor, count as f64, processor);
        report.add(Quantity::ConfigurationBytes, count as f64, bytes as f64);
        bench.guard.check(&[scene.pooler.process])?;
    }
    Ok(())
}

/// Applies one change and waits for its end; the bytes of the call and its answer.
fn change(pooler: &Pooler, number: usize) -> Result<usize, MeasureError> {
    let text = pooler.operator_text(&format!("{SETTINGS}\nchange.least_requests = {}", 31 + number));
    let begun = Instant::now();
    loop {
        let call = Call::Apply {
            text: text.clone(),
            note: String::new(),
            confirm_within_s: None,
            allow: Vec::new(),
        };
        let (response, bytes) = ask(pooler, call)?;
        std::thread::sleep(CONFIRMED);
        match response.code {
            Code::Applied | Code::Confirmed | Code::Ok => return Ok(bytes),
            Code::Busy if begun.elapsed() < PATIENCE => {}
            _ => return Err(MeasureError::Refused { what: format!("{response:?}") }),
        }
    }
}

fn ask(pooler: &Pooler, call: Call) -> Result<(Response, usize), MeasureError> {
    let what = "the control socket";
    let stream = UnixStream::connect(pooler.control_socket()).map_err(socket(what))?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(socket(what))?;
    let request = Request::new(call).to_line();
    let mut connection = BufReader::new(stream);
    connection.get_mut().write_all(&request).map_err(socket(what))?;
    let mut line = String::new();
    connection.read_line(&mut line).map_err(socket(what))?;
    let response =
        serde_json::from_str(&line).map_err(|error| MeasureError::Refused { what: error.to_string() })?;
    Ok((response, request.len() + line.len()))
}
