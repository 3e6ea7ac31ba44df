/**
 * Checks routing expectations: properties of routing decisions that operators write beside the configuration. The
 * checker simulates scenarios with the production routing policy on virtual time, without sockets, and reports which
 * expectations hold. Nothing in this package reads a file, a clock or an unseeded random source: the same deployment,
 * expectations and seed give the same verdicts and counterexamples.
 *
 * <p>{@link barleyspur.expect.ScenarioSimulation} simulates one scenario,
 * {@link barleyspur.expect.ExpectationEvaluator} evaluates the expectations on each of its events,
 * {@link barleyspur.expect.ScenarioGenerator} generates the scenarios, {@link barleyspur.expect.Shrinker} shrinks
 * counterexamples, and {@link barleyspur.expect.Checker} combines them.
 */
package barleyspur.expect;
