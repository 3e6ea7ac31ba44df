/**
 * Routing expectations: what must hold of the decisions is written down beside the configuration, and proved or
 * refuted by playing the unchanged decision module on virtual time, without a socket. Nothing here reads a file, a
 * clock or a random source: the same fleet, expectations and seed give the same verdicts and the same counterexample.
 *
 * <p>{@link barleyspur.expect.ScenarioSimulation} plays one scenario, {@link barleyspur.expect.ExpectationEvaluator} judges each moment of it,
 * {@link barleyspur.expect.ScenarioGenerator} says which scenarios to play, {@link barleyspur.expect.Shrinker} makes a
 * counterexample small, and {@link barleyspur.expect.Checker} puts them together.
 */
package barleyspur.expect;
