import {parse, View} from 'vega';
import {compile, type TopLevelSpec} from 'vega-lite';
import type {DaySummary, Point} from './summarize-day.js';

const WIDTH = 720;
const HEIGHT = 130;

function createPanel(title: string, axis: string, mark: 'bar' | 'line' | 'point', points: readonly Point[]) {
	return {
		title,
		width: WIDTH,
		height: HEIGHT,
		data: {values: [...points]},
		mark: {type: mark, tooltip: false},
		encoding: {
			x: {field: 'second', type: 'quantitative' as const, title: 'seconds'},
			y: {field: 'value', type: 'quantitative' as const, title: axis},
			color: {field: 'kind', type: 'nominal' as const, title: ''},
		},
	};
}

/** Renders the time series of a day as an SVG document. */
export async function drawDay(name: string, {outcomes, waits, skews, processes}: DaySummary): Promise<string> {
	const spec: TopLevelSpec = {
		$schema: 'https://vega.github.io/schema/vega-lite/v6.json',
		title: name,
		background: 'white',
		resolve: {scale: {color: 'independent'}},
		vconcat: [
			createPanel('Calls that ended', 'a second', 'bar', outcomes),
			createPanel('Waiting', 'mean, ms', 'line', waits),
			createPanel('Skew of the expert maps', 'largest rank over mean', 'point', skews),
			createPanel('Processes', 'a second', 'bar', processes),
		],
	};
	const view = new View(parse(compile(spec).spec), {renderer: 'none'});
	return view.toSVG();
}
