//! SVG plots.

use std::error::Error;
use std::fs;
use std::io;
use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoLogRange, LineSeries, Palette, Palette99,
    PathElement, Rectangle, SVGBackend, WHITE,
};
use snafu::{ResultExt, Snafu};

use crate::experiment::deployment::Deployment;
use crate::experiment::variant::VariantGroup;

use super::summary::Summary;

const SIZE: (u32, u32) = (720, 420);
const MARGIN: u32 = 12;
const AXIS_SPACE: u32 = 55;

/// Points of a curve.
const CURVE_POINTS: u32 = 120;

/// Why a plot could not be drawn.
#[derive(Debug, Snafu)]
pub enum PlotError {
    /// The folder could not be made.
    #[snafu(display("the folder can't be made: {source}"))]
    Folder {
        /// Why.
        source: io::Error,
    },
    /// A file could not be drawn.
    #[snafu(display("{file} can't be drawn: {source}"))]
    Draw {
        /// The file.
        file: String,
        /// Why.
        source: Box<dyn Error>,
    },
}

/// One bar.
struct Bar {
    name: &'static str,
    value: f64,
}

/// Draws all plots of a deployment into a folder. Ablations are left out.
pub fn draw(folder: &Path, deployment: &Deployment, all: &[Summary]) -> Result<(), PlotError> {
    fs::create_dir_all(folder).context(FolderSnafu)?;
    let summaries: Vec<&Summary> = all
        .iter()
        .filter(|it| it.group != VariantGroup::Ablation)
        .collect();
    let name = deployment.name;
    let file = format!("{name}-waits.svg");
    draw_waits(&folder.join(&file), &summaries).context(DrawSnafu { file })?;
    let file = format!("{name}-broken.svg");
    let title = "Broken flows in a million, without those on a dead machine";
    let bars = summaries.iter().map(|it| Bar {
        name: it.variant,
        value: it.avoidable_per_million.mean,
    });
    draw_bars(&folder.join(&file), title, &bars.collect::<Vec<Bar>>())
        .context(DrawSnafu { file })?;
    let file = format!("{name}-imbalance.svg");
    let title = "Busy slots, greatest over mean in windows of 1 s, worst service";
    let bars = summaries.iter().map(|it| Bar {
        name: it.variant,
        value: worst_imbalance(it),
    });
    draw_bars(&folder.join(&file), title, &bars.collect::<Vec<Bar>>()).context(DrawSnafu { file })
}

fn worst_imbalance(summary: &Summary) -> f64 {
    let services = summary.imbalance.iter();
    services.map(|it| it.max_over_mean.mean).fold(0.0, f64::max)
}

/// Draws for each share of requests how many wait longer.
fn draw_waits(path: &Path, summaries: &[&Summary]) -> Result<(), Box<dyn Error>> {
    const LEAST_SHARE: f64 = 1e-5;
    const LONGEST_MILLIS: f64 = 3_000.0;
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(
            "Share of requests that wait longer for a slot",
            ("sans-serif", 18),
        )
        .margin(MARGIN)
        .x_label_area_size(AXIS_SPACE)
        .y_label_area_size(AXIS_SPACE)
        .build_cartesian_2d(0.0..LONGEST_MILLIS, (LEAST_SHARE..1.0).log_scale())?;
    chart
        .configure_mesh()
        .x_desc("milliseconds")
        .y_desc("share")
        .draw()?;
    for (index, summary) in summaries.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let points = (0..=CURVE_POINTS).map(|step| {
            let millis = LONGEST_MILLIS * f64::from(step) / f64::from(CURVE_POINTS);
            let below = summary.queue_wait.quantile_below((millis * 1_000.0) as u64);
            (millis, (1.0 - below).max(LEAST_SHARE))
        });
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(summary.variant)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}

fn draw_bars(path: &Path, title: &str, bars: &[Bar]) -> Result<(), Box<dyn Error>> {
    const BAR_WIDTH: f64 = 0.7;
    let greatest = bars.iter().map(|bar| bar.value).fold(0.0, f64::max);
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let count = bars.len() as f64;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(MARGIN)
        .x_label_area_size(AXIS_SPACE)
        .y_label_area_size(AXIS_SPACE)
        .build_cartesian_2d(0.0..count, 0.0..(greatest * 1.1).max(1.0))?;
    chart.configure_mesh().disable_x_mesh().x_labels(0).draw()?;
    for (index, bar) in bars.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let left = index as f64 + (1.0 - BAR_WIDTH) / 2.0;
        let corners = [(left, 0.0), (left + BAR_WIDTH, bar.value)];
        let label = format!("{}: {:.2}", bar.name, bar.value);
        chart
            .draw_series([Rectangle::new(corners, color.filled())])?
            .label(label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(6)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()?;
    root.present()?;
    Ok(())
}
