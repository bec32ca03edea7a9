import { expect } from 'chai';
import { ChartError, accepts, advance, compileChart } from '@bronzeyoke/chart';

const file = {
  id: 'door',
  initial: 'closed',
  states: {
    closed: { on: { open: { target: 'opened', actions: ['ring'] } } },
    opened: { on: { close: { target: 'closed' }, open: { actions: ['ring'] } } },
  },
};
const names = {
  states: ['closed', 'opened'],
  events: ['open', 'close'],
  actions: ['ring'],
} as const;

it('chart: follows a transition and returns its actions', () => {
  const chart = compileChart(file, names);
  expect(advance(chart, chart.initial, 'open')).to.deep.equal({
    state: 'opened',
    actions: ['ring'],
  });
});

it('chart: ignores an event that the state does not handle', () => {
  const chart = compileChart(file, names);
  expect(advance(chart, 'closed', 'close')).to.deep.equal({ state: 'closed', actions: [] });
  expect(accepts(chart, 'closed', 'close')).to.equal(false);
});

it('chart: keeps its state in a transition without a target', () => {
  expect(advance(compileChart(file, names), 'opened', 'open').state).to.equal('opened');
});

// Guards against a misspelt name in a chart file, which would drop events instead of failing at start.
it('chart: rejects names that the code does not handle', () => {
  const misspelt = { ...file, states: { ...file.states, closed: { on: { opne: {} } } } };
  expect(() => compileChart(misspelt, names)).to.throw(ChartError, 'unknown event "opne"');
  expect(() => compileChart({ ...file, initial: 'ajar' }, names)).to.throw(ChartError, 'ajar');
  const partial = { closed: file.states.closed };
  expect(() => compileChart({ ...file, states: partial }, names)).to.throw(ChartError, 'opened');
  expect(() => compileChart({ ...file, extra: 1 }, names)).to.throw(ChartError);
});
