import { expect } from 'chai';
import { planFaults } from '../plan';
import { selectFaults } from '../selection';

const SEED = 7;
const FAULTS_MS = 60_000;

function planSelected(list: string) {
  const result = selectFaults(list);
  if (result.kind !== 'selected') throw new RangeError(result.name);
  return planFaults(SEED, FAULTS_MS, result.selection).map(({ fault }) => fault);
}

// Guards against a run under chosen faults that has others too.
it('soak: a selection restricts the plan to its faults', () => {
  const faults = planSelected('agentWorker.refuse,pause');
  expect(new Set(faults.map(({ kind }) => kind))).to.deep.equal(new Set(['link', 'pause']));
  const links = faults.flatMap((fault) =>
    fault.kind === 'link' ? [`${fault.hop} ${fault.mode.kind}`] : [],
  );
  expect(new Set(links)).to.deep.equal(new Set(['agentWorker refuse']));
  const single = planSelected('agentWorker.refuse.one').flatMap((fault) =>
    fault.kind === 'link' ? [fault.scope.kind] : [],
  );
  expect(new Set(single)).to.deep.equal(new Set(['one']));
});

// Guards against a misspelt name that leaves a fault out without a word.
it('soak: a selection with an unknown name is refused', () => {
  expect(selectFaults('pause,agentWorker.refused')).to.deep.equal({
    kind: 'unknownName',
    name: 'agentWorker.refused',
  });
  expect(selectFaults('')).to.deep.equal({ kind: 'unknownName', name: '' });
});
