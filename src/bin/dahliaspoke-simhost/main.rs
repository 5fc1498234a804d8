//! Adapter for the bench's simulator: handles events from standard input and writes the resulting actions to
//! standard output. The library makes all decisions.

mod wire;

use std::io::{BufRead, Write};
use std::process::ExitCode;

fn serve() -> Result<(), String> {
    let mut input = std::io::stdin().lock();
    let mut output = std::io::stdout().lock();
    let mut host = wire::Host::default();
    let mut line = Vec::new();
    for number in 1u64.. {
        line.clear();
        let read = input.read_until(b'\n', &mut line).map_err(|e| format!("line {number}: {e}"))?;
        if read == 0 {
            break;
        }
        let reply = host.batch(&line).map_err(|e| format!("line {number}: {e}"))?;
        output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .map_err(|e| format!("output: {e}"))?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match serve() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("dahliaspoke-simhost: {message}");
            ExitCode::FAILURE
        }
    }
}
