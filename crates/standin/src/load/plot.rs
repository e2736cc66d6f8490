//! Plots the latency and goodput of a load by class over time, as SVG.

use std::{error::Error, path::Path};

use indexmap::IndexMap;
use plotters::prelude::{
    BLACK, ChartBuilder, Color, DrawingArea, IntoDrawingArea, LineSeries, Palette, Palette99,
    PathElement, SVGBackend, WHITE,
};

use crate::load::collect;

const WIDTH_PX: u32 = 960;
const HEIGHT_PX: u32 = 720;
const CAPTION_SIZE_PX: u32 = 20;
const LABEL_SIZE_PX: u32 = 40;
const LEGEND_LENGTH_PX: i32 = 16;

/// Points of a line: time in seconds and value.
pub type PlotLine = Vec<(f64, f64)>;

/// The plotted time series.
#[derive(Debug, Clone, Default)]
pub struct LoadSeries {
    /// 99th percentile of the latency, in milliseconds, by class.
    pub latency: IndexMap<String, PlotLine>,
    /// Goodput per second, by class.
    pub goodput: IndexMap<String, PlotLine>,
}

impl LoadSeries {
    /// Returns the time series of a load.
    pub fn new(collector: &collect::LoadCollector) -> Self {
        let (classes, point) = collector.series();
        let seconds = point.as_secs_f64();
        let mut series = Self::default();
        for (class, points) in classes {
            let mut latency = PlotLine::new();
            let mut goodput = PlotLine::new();
            for (index, point) in points.iter().enumerate() {
                let at = index as f64 * seconds;
                goodput.push((at, point.value as f64 / seconds));
                if !point.latency.is_empty() {
                    let micros = point.latency.value_at_quantile(0.99);
                    latency.push((at, micros as f64 / 1000.0));
                }
            }
            series.latency.insert(class.clone(), latency);
            series.goodput.insert(class, goodput);
        }
        series
    }

    /// Writes the plot to a file.
    pub fn write(&self, path: &Path) -> Result<(), Box<dyn Error>> {
        let root = SVGBackend::new(path, (WIDTH_PX, HEIGHT_PX)).into_drawing_area();
        root.fill(&WHITE)?;
        let (upper, lower) = root.split_vertically(HEIGHT_PX / 2);
        draw(&upper, "p99 latency, ms", &self.latency)?;
        draw(&lower, "goodput per second", &self.goodput)?;
        root.present()?;
        Ok(())
    }
}

type PlotArea<'a> = DrawingArea<SVGBackend<'a>, plotters::coord::Shift>;

fn draw(
    area: &PlotArea<'_>,
    caption: &str,
    lines: &IndexMap<String, PlotLine>,
) -> Result<(), Box<dyn Error>> {
    let points = || lines.values().flatten();
    let end = points().fold(1.0, |end: f64, (at, _)| end.max(*at));
    let max_value = points().fold(1.0, |highest: f64, (_, value)| highest.max(*value));
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", CAPTION_SIZE_PX))
        .margin(8)
        .x_label_area_size(LABEL_SIZE_PX)
        .y_label_area_size(LABEL_SIZE_PX)
        .build_cartesian_2d(0.0..end, 0.0..max_value * 1.05)?;
    chart.configure_mesh().x_desc("seconds").draw()?;
    for (index, (class, line)) in lines.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(
                line.iter().copied(),
                colour.stroke_width(2),
            ))?
            .label(class.clone())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_LENGTH_PX, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    Ok(())
}
