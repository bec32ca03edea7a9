/** Materials of the spring calculator, with their shear modulus. */
export const SHEAR_MODULUS_MPA = {
  musicWire: 79_300,
  stainless302: 69_000,
  chromeSilicon: 77_200,
  phosphorBronze: 41_400,
} as const;

/** Input of the spring calculator. */
export interface SpringRequest {
  readonly springKind: 'compression' | 'torsion';
  readonly wireDiameterMm: number;
  readonly coilDiameterMm: number;
  readonly activeTurns: number;
  readonly material: keyof typeof SHEAR_MODULUS_MPA;
  /** Travel of a compression spring, or 0. */
  readonly travelMm: number;
}

/** A valid request for the spring calculator. */
export const EXAMPLE_SPRING: SpringRequest = {
  springKind: 'compression',
  wireDiameterMm: 2,
  coilDiameterMm: 20,
  activeTurns: 8,
  material: 'musicWire',
  travelMm: 10,
};

/** Result of the spring calculator. */
export interface SpringAnswer {
  /** N/mm for a compression spring, N mm per degree for a torsion spring. */
  readonly rate: number;
  readonly rateUnit: 'N/mm' | 'N*mm/deg';
  readonly loadN: number;
  readonly springIndex: number;
}

// Young's modulus from the shear modulus with a Poisson ratio of 0.3.
const YOUNG_PER_SHEAR = 2.6;
// Divisor of the usual formula for a torsion spring, friction between coils included.
const TORSION_DIVISOR = 3_888;

/** Calculates the rate and load of a round-wire spring by the usual design formulas. */
export function calculateSpring(request: SpringRequest): SpringAnswer {
  const { wireDiameterMm: wire, coilDiameterMm: coil, activeTurns: turns } = request;
  const shear = SHEAR_MODULUS_MPA[request.material];
  const springIndex = coil / wire;
  if (request.springKind === 'compression') {
    const rate = (shear * wire ** 4) / (8 * coil ** 3 * turns);
    return { rate, rateUnit: 'N/mm', loadN: rate * request.travelMm, springIndex };
  }
  const rate = (shear * YOUNG_PER_SHEAR * wire ** 4) / (TORSION_DIVISOR * coil * turns);
  return { rate, rateUnit: 'N*mm/deg', loadN: 0, springIndex };
}
