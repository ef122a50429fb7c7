//! Changes of the operator's file over the control socket, each recorded, applied, watched and confirmed.

use super::{Bench, GROUP_SIZE};
use crate::error::socket_error;
use crate::report::{Quantity, Report};
use crate::{MeasureError, Pooler};
use control::{Call, Code, Request, Response};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::net::UnixStream;
use std::time::{Duration, Instant};

const CHANGES: [usize; 4] = [0, 2, 4, 8];
/// The shortest probation: the run measures the change, not the time that it is watched.
const SETTINGS: &str = "change.probation_s = 0.1";
/// A change is normally confirmed within this time; otherwise it is sent again.
const CONFIRM_DELAY: Duration = Duration::from_millis(350);
const TIMEOUT: Duration = Duration::from_secs(10);

/// Changes one after another, with a list of the default length.
pub(super) fn changes(bench: &mut Bench, report: &mut Report) -> Result<(), MeasureError> {
    for count in bench.shuffled(&CHANGES) {
        let members = bench.default_members();
        let setup = bench.setup_with(members, GROUP_SIZE, |_| {}, Some(SETTINGS))?;
        let before = setup.pooler.sample()?;
        let mut bytes = 0;
        for number in 0..count {
            bytes += apply_change(&setup.pooler, number)?;
        }
        let after = setup.pooler.sample()?;
        let processor = after.processor_time_since(&before).as_secs_f64();
        report.add(Quantity::ConfigurationProcessor, count as f64, processor);
        report.add(Quantity::ConfigurationBytes, count as f64, bytes as f64);
        bench.guard.check(&[setup.pooler.process])?;
    }
    Ok(())
}

/// Applies one change and waits until it has ended. Returns the bytes of the call and its answer.
fn apply_change(pooler: &Pooler, number: usize) -> Result<usize, MeasureError> {
    let text = pooler.operator_text(&format!("{SETTINGS}\nchange.least_requests = {}", 31 + number));
    let started_at = Instant::now();
    loop {
        let call = Call::Apply {
            text: text.clone(),
            note: String::new(),
            confirm_within_s: None,
            allow: Vec::new(),
        };
        let (response, bytes) = send_call(pooler, call)?;
        std::thread::sleep(CONFIRM_DELAY);
        match response.code {
            Code::Applied | Code::Confirmed | Code::Ok => return Ok(bytes),
            Code::Busy if started_at.elapsed() < TIMEOUT => {}
            _ => return Err(MeasureError::Refused { what: format!("{response:?}") }),
        }
    }
}

fn send_call(pooler: &Pooler, call: Call) -> Result<(Response, usize), MeasureError> {
    let what = "the control socket";
    let stream = UnixStream::connect(pooler.control_socket()).map_err(socket_error(what))?;
    stream.set_read_timeout(Some(TIMEOUT)).map_err(socket_error(what))?;
    let request = Request::new(call).to_line();
    let mut connection = BufReader::new(stream);
    connection.get_mut().write_all(&request).map_err(socket_error(what))?;
    let mut line = String::new();
    connection.read_line(&mut line).map_err(socket_error(what))?;
    let response =
        serde_json::from_str(&line).map_err(|error| MeasureError::Refused { what: error.to_string() })?;
    Ok((response, request.len() + line.len()))
}
