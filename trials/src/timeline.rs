//! A trial as a picture and as a table: a row an ingress, with what was done to it and whom it took for dead, and below
//! them the requests that came to real servers, by second.

use crate::check::Outcome;
use crate::script::{FaultKind, Script};
use plotters::prelude::*;
use std::path::Path;

const WIDTH: i32 = 1200;
const LEFT: i32 = 60;
const ROW: i32 = 14;
const FOOT: i32 = 90;

/// The picture.
///
/// # Errors
/// Where it cannot be drawn.
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
    let bottom = 30 + rows * ROW;
    let x = |at: f64| LEFT + ((WIDTH - LEFT - 10) as f64 * at / script.length.max(1) as f64) as i32;
    let y = |n: usize| 30 + n as i32 * ROW;
    let area = SVGBackend::with_string(text, (WIDTH as u32, (bottom + FOOT) as u32)).into_drawing_area();
    area.fill(&WHITE)?;
    area.draw(&Text::new(title.to_owned(), (LEFT, 8), ("sans-serif", 14)))?;
    for n in 0..script.ingresses {
        area.draw(&Text::new(format!("n{n}"), (8, y(n) + 1), ("sans-serif", 11)))?;
        area.draw(&PathElement::new([(LEFT, y(n) + ROW - 2), (WIDTH - 10, y(n) + ROW - 2)], WHITE.mix(0.0)))?;
    }
    for fault in &script.faults {
        let colour = match &fault.kind {
            FaultKind::Kill(_) | FaultKind::Term(_) => RED,
            FaultKind::Start(_) | FaultKind::Upgrade(_) => GREEN,
            FaultKind::Pause { .. } => YELLOW,
            FaultKind::DisableBackend { .. }
            | FaultKind::DrainIngress { .. }
            | FaultKind::DrainBackends { .. } => MAGENTA,
            _ => BLUE,
        };
        let whom =
            if fault.ingresses().is_empty() { (0..script.ingresses).collect() } else { fault.ingresses() };
        let (from, to) = (x(fault.at as f64), x(fault.end() as f64).max(x(fault.at as f64) + 3));
        for n in whom {
            area.draw(&Rectangle::new([(from, y(n)), (to, y(n) + ROW - 4)], colour.mix(0.35).filled()))?;
        }
    }
    for seen in outcome.state_changes.iter().filter(|seen| seen.state == "dead" || seen.state == "alive") {
        let colour = if seen.state == "dead" { RED } else { GREEN };
        let at = x(seen.at as f64);
        area.draw(&PathElement::new(
            [(at, y(seen.observer)), (at, y(seen.observer) + ROW - 4)],
            colour.stroke_width(1),
        ))?;
    }
    let by_second = seconds(script, outcome);
    let most = by_second.iter().copied().max().unwrap_or(1).max(1);
    for (second, count) in by_second.iter().enumerate() {
        let (from, to) = (x(second as f64 * 1000.0), x((second + 1) as f64 * 1000.0 - 1.0));
        let high = (*count as f64 / most as f64 * f64::from(FOOT - 40)) as i32;
        let base = bottom + FOOT - 20;
        area.draw(&Rectangle::new([(from, base - high), (to, base)], BLACK.mix(0.3).filled()))?;
    }
    let foot = format!("requests at real servers, at most {most} a second; {} s", script.length / 1000);
    area.draw(&Text::new(foot, (LEFT, bottom + FOOT - 16), ("sans-serif", 11)))?;
    area.present()?;
    Ok(())
}

fn seconds(script: &Script, outcome: &Outcome) -> Vec<u64> {
    let mut all = vec![0; (script.length / 1000) as usize + 1];
    for arrival in &outcome.record.arrivals {
        let second = usize::try_from(arrival.at / 1000).unwrap_or_default();
        all.get_mut(second).into_iter().for_each(|count| *count += 1);
    }
    all
}

/// The changes that doors showed, as CSV.
///
/// # Errors
/// Where they cannot be written.
pub fn csv(outcome: &Outcome) -> Result<Vec<u8>, String> {
    let mut out = csv::Writer::from_writer(Vec::new());
    for seen in &outcome.state_changes {
        out.serialize(seen).map_err(|e| e.to_string())?;
    }
    out.into_inner().map_err(|e| e.to_string())
}

/// Writes both into a folder, named after the script.
///
/// # Errors
/// Where a file cannot be written.
pub fn write(folder: &Path, script_path: &Path, script: &Script, outcome: &Outcome) -> Result<(), String> {
    let name = script_path.file_stem().unwrap_or_default().to_string_lossy();
    let told = |e: std::io::Error| format!("{}: {e}", folder.display());
    std::fs::create_dir_all(folder).map_err(told)?;
    std::fs::write(folder.join(format!("{name}.svg")), svg(script, outcome, &name)?).map_err(told)?;
    std::fs::write(folder.join(format!("{name}.csv")), csv(outcome)?).map_err(told)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::check::StateChange;

    #[test]
    fn a_picture_has_a_row_for_each_and_a_table_a_line_for_each_change() {
        let script = Script::parse(
            "ingresses = 3\nservers = 1\nlength = 20000\n[[faults]]\nat = 1000\ndo = { kill = [2] }",
        );
        let script = script.unwrap();
        let state_changes = vec![StateChange { at: 3000, observer: 0, member: 2, state: "dead".into() }];
        let outcome = Outcome { state_changes, ..Outcome::default() };
        let text = svg(&script, &outcome, "a kill").unwrap();
        assert!(["n0", "n1", "n2", "a kill"].iter().all(|part| text.contains(part)), "{text}");
        assert_eq!(csv(&outcome).unwrap(), b"at,by,of,state\n3000,0,2,dead\n");
    }
}
