//! Writes a trial as a picture (SVG) and as a table (CSV). The picture has a row for each ingress, with the
//! faults that affected it and the deaths and returns of members that it saw, and below them the requests at
//! backends by second.

use crate::check::Outcome;
use crate::script::{FaultKind, Script};
use plotters::prelude::*;
use std::path::Path;

/// The width of the picture, in pixels.
const WIDTH_PX: i32 = 1200;
/// The width of the labels at the left, in pixels.
const LEFT_MARGIN_PX: i32 = 60;
/// The height of an ingress's row, in pixels.
const ROW_HEIGHT_PX: i32 = 14;
/// The height of the chart of requests below the rows, in pixels.
const FOOTER_HEIGHT_PX: i32 = 90;

/// Returns the picture of a trial, as the text of an SVG file.
///
/// # Errors
/// The error of the drawing library.
pub fn svg(script: &Script, outcome: &Outcome, title: &str) -> Result<String, String> {
    let mut text = String::new();
    draw(script, outcome, title, &mut text).map_err(|e| e.to_string())?;
    Ok(text)
}

fn draw(
    script: &Script,
    outcome: &Outcome,
    title: &str,
    text: &mut String,
) -> Result<(), Box<dyn std::error::Error>> {
    let rows = script.ingresses as i32;
    let bottom = 30 + rows * ROW_HEIGHT_PX;
    let x = |at: f64| {
        LEFT_MARGIN_PX + ((WIDTH_PX - LEFT_MARGIN_PX - 10) as f64 * at / script.length.max(1) as f64) as i32
    };
    let y = |n: usize| 30 + n as i32 * ROW_HEIGHT_PX;
    let area = SVGBackend::with_string(text, (WIDTH_PX as u32, (bottom + FOOTER_HEIGHT_PX) as u32))
        .into_drawing_area();
    area.fill(&WHITE)?;
    area.draw(&Text::new(title.to_owned(), (LEFT_MARGIN_PX, 8), ("sans-serif", 14)))?;
    for n in 0..script.ingresses {
        area.draw(&Text::new(format!("n{n}"), (8, y(n) + 1), ("sans-serif", 11)))?;
        area.draw(&PathElement::new(
            [(LEFT_MARGIN_PX, y(n) + ROW_HEIGHT_PX - 2), (WIDTH_PX - 10, y(n) + ROW_HEIGHT_PX - 2)],
            WHITE.mix(0.0),
        ))?;
    }
    for fault in &script.faults {
        let colour = match &fault.kind {
            FaultKind::Kill(_) | FaultKind::Term(_) => RED,
            FaultKind::Start(_) | FaultKind::Upgrade(_) | FaultKind::BrokenUpgrade { .. } => GREEN,
            FaultKind::Pause { .. } => YELLOW,
            FaultKind::DisableBackend { .. }
            | FaultKind::DrainIngress { .. }
            | FaultKind::DrainBackends { .. } => MAGENTA,
            _ => BLUE,
        };
        let affected =
            if fault.ingresses().is_empty() { (0..script.ingresses).collect() } else { fault.ingresses() };
        let (from, to) = (x(fault.at as f64), x(fault.end() as f64).max(x(fault.at as f64) + 3));
        for n in affected {
            area.draw(&Rectangle::new(
                [(from, y(n)), (to, y(n) + ROW_HEIGHT_PX - 4)],
                colour.mix(0.35).filled(),
            ))?;
        }
    }
    for change in
        outcome.state_changes.iter().filter(|change| change.state == "dead" || change.state == "alive")
    {
        let colour = if change.state == "dead" { RED } else { GREEN };
        let at = x(change.at as f64);
        area.draw(&PathElement::new(
            [(at, y(change.observer)), (at, y(change.observer) + ROW_HEIGHT_PX - 4)],
            colour.stroke_width(1),
        ))?;
    }
    let arrivals = arrivals_per_second(script, outcome);
    let peak = arrivals.iter().copied().max().unwrap_or(1).max(1);
    for (second, count) in arrivals.iter().enumerate() {
        let (from, to) = (x(second as f64 * 1000.0), x((second + 1) as f64 * 1000.0 - 1.0));
        let height = (*count as f64 / peak as f64 * f64::from(FOOTER_HEIGHT_PX - 40)) as i32;
        let base = bottom + FOOTER_HEIGHT_PX - 20;
        area.draw(&Rectangle::new([(from, base - height), (to, base)], BLACK.mix(0.3).filled()))?;
    }
    let footer = format!("requests at backends, peak {peak} a second; {} s", script.length / 1000);
    area.draw(&Text::new(footer, (LEFT_MARGIN_PX, bottom + FOOTER_HEIGHT_PX - 16), ("sans-serif", 11)))?;
    area.present()?;
    Ok(())
}

/// Returns the number of requests that arrived at backends, by second of the trial.
fn arrivals_per_second(script: &Script, outcome: &Outcome) -> Vec<u64> {
    let mut counts = vec![0; (script.length / 1000) as usize + 1];
    for arrival in &outcome.record.arrivals {
        let second = usize::try_from(arrival.at / 1000).unwrap_or_default();
        counts.get_mut(second).into_iter().for_each(|count| *count += 1);
    }
    counts
}

/// Returns the members' state changes of a trial as CSV, with a header.
///
/// # Errors
/// The error of the CSV writer.
pub fn csv(outcome: &Outcome) -> Result<Vec<u8>, String> {
    let mut out = csv::Writer::from_writer(Vec::new());
    for change in &outcome.state_changes {
        out.serialize(change).map_err(|e| e.to_string())?;
    }
    out.into_inner().map_err(|e| e.to_string())
}

/// Writes the picture and the table to files in a folder, which is created if it does not exist. They are
/// named after the script's file.
///
/// # Errors
/// A message that names the folder if a file cannot be written.
pub fn write(folder: &Path, script_path: &Path, script: &Script, outcome: &Outcome) -> Result<(), String> {
    let name = script_path.file_stem().unwrap_or_default().to_string_lossy();
    let context = |e: std::io::Error| format!("{}: {e}", folder.display());
    std::fs::create_dir_all(folder).map_err(context)?;
    std::fs::write(folder.join(format!("{name}.svg")), svg(script, outcome, &name)?).map_err(context)?;
    std::fs::write(folder.join(format!("{name}.csv")), csv(outcome)?).map_err(context)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::check::StateChange;

    #[test]
    fn draws_a_row_per_ingress_and_writes_a_line_per_state_change() {
        let script = Script::parse(
            "ingresses = 3\nservers = 1\nlength = 20000\n[[faults]]\nat = 1000\ndo = { kill = [2] }",
        );
        let script = script.unwrap();
        let state_changes = vec![StateChange { at: 3000, observer: 0, member: 2, state: "dead".into() }];
        let outcome = Outcome { state_changes, ..Outcome::default() };
        let text = svg(&script, &outcome, "a kill").unwrap();
        assert!(["n0", "n1", "n2", "a kill"].iter().all(|label| text.contains(label)), "{text}");
        assert_eq!(csv(&outcome).unwrap(), b"at,by,of,state\n3000,0,2,dead\n");
    }
}
